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
        let theirs: Vec<u32> = hashes
            .chunks_exact(HASH_BYTES)
            .filter_map(|bytes| bytes.try_into().ok())
            .map(u32::from_le_bytes)
            .collect();
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
