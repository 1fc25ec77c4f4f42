//! The whole membership in one answer, for a node that joins.
//!
//! Datagrams within the budget take minutes to tell one node of a thousand others. The caller carries
//! this over a connection instead, and bounds how often.

use super::NodeRoster;
use crate::digest::BUCKETS;
use crate::message::{MemberRumour, MessagePurpose, RosterMessage};

/// Bytes of one bucket hash.
const HASH_BYTES: usize = 4;

impl NodeRoster {
    /// Hashes of what this node holds, for [`Self::state_beyond`] of a peer.
    #[must_use]
    pub fn bucket_hashes(&self) -> Vec<u8> {
        let buckets = (0..BUCKETS).map(|bucket| self.table.digest().hash(bucket));
        buckets.flat_map(u32::to_le_bytes).collect()
    }

    /// What this node holds of the buckets in which it differs from a peer with these hashes, as a message that
    /// the peer takes like a datagram, but of any size. Hashes of another form differ everywhere.
    #[must_use]
    pub fn state_beyond(&self, hashes: &[u8]) -> RosterMessage {
        let theirs = read_hashes(hashes);
        let differing = (0..BUCKETS)
            .filter(|bucket| theirs.get(*bucket) != Some(&self.table.digest().hash(*bucket)));
        let members = differing.flat_map(|bucket| self.table.bucket(bucket));
        let rumours: Vec<MemberRumour> = members
            .flat_map(|entry| self.state_of(entry.instance().node))
            .collect();
        RosterMessage {
            from: self.own_instance(),
            root: self.told_root(),
            purpose: MessagePurpose::State,
            rumours,
        }
    }
}

/// Bucket hashes as [`NodeRoster::bucket_hashes`] writes them.
pub(super) fn read_hashes(bytes: &[u8]) -> Vec<u32> {
    let hashes = bytes.chunks_exact(HASH_BYTES);
    let hashes = hashes.filter_map(|bytes| bytes.try_into().ok());
    hashes.map(u32::from_le_bytes).collect()
}
