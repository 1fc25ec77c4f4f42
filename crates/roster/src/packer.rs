//! Assembly of one datagram up to its size limit.

use crate::message::{MemberRumour, MessagePurpose};
use crate::size::encoded_size;

/// Maximum encoded size of the rumour count, in bytes.
const COUNT_BYTES: usize = 3;

/// Returns the maximum size of a message without its rumours, in bytes.
pub(crate) fn base_size(purpose: &MessagePurpose) -> usize {
    /// Maximum encoded size of the sender's instance and the root hash, in bytes.
    const HEAD_BYTES: usize = 9 + 9 + 5;
    HEAD_BYTES + encoded_size(purpose)
}

/// Rumours collected for one datagram.
#[derive(Debug)]
pub(crate) struct DatagramPacker {
    limit: usize,
    used: usize,
    rumours: Vec<MemberRumour>,
}

impl DatagramPacker {
    /// Starts a datagram of `limit` bytes, of which the message without rumours takes `base`.
    pub(crate) const fn new(limit: usize, base: usize) -> Self {
        Self {
            limit,
            used: base + COUNT_BYTES,
            rumours: Vec::new(),
        }
    }

    /// Adds a rumour if the datagram then stays within its limit and within `allowed` bytes.
    /// Returns whether it was added.
    pub(crate) fn add(&mut self, rumour: MemberRumour, allowed: usize) -> bool {
        let used = self.used.saturating_add(encoded_size(&rumour));
        if used > self.limit.min(allowed) {
            return false;
        }
        self.used = used;
        self.rumours.push(rumour);
        true
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    pub(crate) fn into_rumours(self) -> Vec<MemberRumour> {
        self.rumours
    }
}
