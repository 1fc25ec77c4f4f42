//! Running length and digest of a body.

use sycamorelink_core::stable_hash;

/// Byte count and digest of the chunks of a body. The digest depends on chunk boundaries, which is
/// acceptable because both ends of a connection see the same chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BodyChecksum {
    pub(crate) length: u64,
    pub(crate) digest: u64,
}

impl BodyChecksum {
    pub(crate) fn update(&mut self, chunk: &[u8]) {
        self.length += chunk.len() as u64;
        self.digest = stable_hash(&[&self.digest.to_le_bytes(), chunk]);
    }
}
