//! Topics of the small updates that other components of the daemon publish.

/// Largest body of a published update, in bytes.
pub const MAX_BODY_BYTES: usize = 512;

/// Newest offset in the contract log. Retained.
pub const CONTRACT_HEAD: u8 = 0;
/// Newest guard map. Retained.
pub const GUARD_MAP_HEAD: u8 = 1;
/// Signature of a request that crashes backend servers. Retained.
pub const CRASH_SIGNATURE: u8 = 2;
/// Newest limit shares of a customer. Transient.
pub const SHARE_HEAD: u8 = 3;
/// Evidence about an upstream. Transient.
pub const EVIDENCE: u8 = 4;

/// Returns whether the topic is retained: digests cover its newest versions, so that nodes that
/// missed the gossip receive them later.
#[must_use]
pub const fn is_retained(topic: u8) -> bool {
    topic <= CRASH_SIGNATURE
}
