//! Transfer of the complete membership to a joining node over a connection.
//!
//! Datagrams within the byte budget take minutes to transfer the state of a thousand members to one
//! node. The caller sends this state over a connection instead and limits how often it does so.

use super::NodeRoster;
use crate::digest::BUCKETS;
use crate::message::{MemberRumour, MessagePurpose, RosterMessage};

/// Encoded size of one bucket hash, in bytes.
const HASH_BYTES: usize = 4;

impl NodeRoster {
    /// Returns the bucket hashes of this node, the argument of [`Self::differing_state`] on a peer.
    #[must_use]
    pub fn bucket_hashes(&self) -> Vec<u8> {
        let buckets = (0..BUCKETS).map(|bucket| self.table.digest().hash(bucket));
        buckets.flat_map(u32::to_le_bytes).collect()
    }

    /// Returns a message with this node's state of all buckets whose hashes differ from the given
    /// ones.
    ///
    /// The peer handles the message like a datagram, but it may exceed the size of one. Hashes of
    /// the wrong length count as different.
    #[must_use]
    pub fn differing_state(&self, hashes: &[u8]) -> RosterMessage {
        let peer_hashes = read_hashes(hashes);
        let differing = (0..BUCKETS)
            .filter(|bucket| peer_hashes.get(*bucket) != Some(&self.table.digest().hash(*bucket)));
        let members = differing.flat_map(|bucket| self.table.bucket(bucket));
        let rumours: Vec<MemberRumour> = members
            .flat_map(|entry| self.state_of(entry.instance().node))
            .collect();
        RosterMessage {
            from: self.own_instance(),
            root: self.advertised_root(),
            purpose: MessagePurpose::State,
            rumours,
        }
    }
}

/// Decodes hashes written by [`NodeRoster::bucket_hashes`].
pub(super) fn read_hashes(bytes: &[u8]) -> Vec<u32> {
    let hashes = bytes.chunks_exact(HASH_BYTES);
    let hashes = hashes.filter_map(|bytes| bytes.try_into().ok());
    hashes.map(u32::from_le_bytes).collect()
}
