//! Hashes with which two nodes find the differences between their rosters.
//!
//! Members are assigned to buckets by their ids. The hash of a bucket is the XOR of its members'
//! hashes, so an update is one operation and equal rosters have equal hashes regardless of the
//! order of the updates.

use sycamorelink_core::NodeId;

use crate::facts::MemberStanding;

/// Number of buckets; with 2,300 members the list of one bucket takes about 260 bytes.
pub(crate) const BUCKETS: usize = 128;

const BUCKET_SHIFT: u32 = 64 - BUCKETS.trailing_zeros();

/// Scrambles a number so that adjacent inputs give unrelated outputs (the `SplitMix64` finalizer).
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Mixes one number into a running hash.
pub(crate) const fn combine(hash: u64, value: u64) -> u64 {
    mix(hash.rotate_left(17) ^ value.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

/// Folds a hash to the 32 bits that are sent.
pub(crate) const fn fold(hash: u64) -> u32 {
    let [low @ .., _, _, _, _] = hash.to_le_bytes();
    let [_, _, _, _, high @ ..] = hash.to_le_bytes();
    u32::from_le_bytes(low) ^ u32::from_le_bytes(high)
}

/// Returns the bucket of a member.
pub(crate) fn bucket_of(node: NodeId) -> usize {
    usize::try_from(node.0 >> BUCKET_SHIFT).unwrap_or_default()
}

/// Returns the lowest and highest id of a bucket.
pub(crate) fn bucket_range(bucket: usize) -> (NodeId, NodeId) {
    let first = (bucket as u64) << BUCKET_SHIFT;
    let last = first | ((1 << BUCKET_SHIFT) - 1);
    (NodeId(first), NodeId(last))
}

/// Returns the digest hash of one member's state; `slots` is the hash of its slot table.
pub(crate) fn member_hash(
    node: NodeId,
    incarnation: u64,
    revision: u32,
    standing: MemberStanding,
    slots: u64,
) -> u32 {
    let hash = combine(mix(node.0), incarnation);
    let hash = combine(hash, u64::from(revision));
    let hash = combine(hash, standing as u64);
    fold(combine(hash, slots))
}

/// Hashes of all buckets and their XOR, the root.
#[derive(Debug)]
pub(crate) struct DigestTable {
    hashes: [u32; BUCKETS],
    root: u32,
}

impl DigestTable {
    pub(crate) const fn new() -> Self {
        Self {
            hashes: [0; BUCKETS],
            root: 0,
        }
    }

    /// Adds a member's hash, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, node: NodeId, hash: u32) {
        self.hashes[bucket_of(node)] ^= hash;
        self.root ^= hash;
    }

    pub(crate) const fn root(&self) -> u32 {
        self.root
    }

    pub(crate) fn hash(&self, bucket: usize) -> u32 {
        self.hashes[bucket]
    }
}
