//! Client accounts by the hash of their token.
//!
//! A slot contains the first bytes of the hash and the location of the full hash in the compact
//! form of the contract. 250,000 accounts take 4 MB this way, a quarter of the size with full
//! hashes and names. The slots are divided into shards, so that a change copies only a few.

use std::sync::Arc;

use super::rule::CustomerIndex;
use crate::digest::ContentDigest;

/// Number of shards. The first two bytes of the hash select the shard.
const SHARD_COUNT: usize = 1024;

/// Location of an account: the customer and the account's position in its contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AccountLocation {
    pub(super) customer: CustomerIndex,
    pub(super) number: u32,
}

#[derive(Clone, Copy, Debug)]
struct AccountSlot {
    prefix: u64,
    location: AccountLocation,
}

/// Index of all accounts, sorted by hash prefix within each shard.
#[derive(Clone, Debug)]
pub(super) struct AccountShards {
    shards: Vec<Arc<Vec<AccountSlot>>>,
}

impl Default for AccountShards {
    fn default() -> Self {
        Self {
            shards: vec![Arc::default(); SHARD_COUNT],
        }
    }
}

impl AccountShards {
    /// Returns the locations of accounts whose hash has the same prefix, nearly always at most one.
    /// The caller must compare the full hashes.
    pub(super) fn candidates(&self, hash: &ContentDigest) -> impl Iterator<Item = AccountLocation> {
        let prefix = hash_prefix(hash);
        let shard = &self.shards[shard_index(hash)];
        let first = shard.partition_point(|slot| slot.prefix < prefix);
        shard[first..]
            .iter()
            .take_while(move |slot| slot.prefix == prefix)
            .map(|slot| slot.location)
    }

    pub(super) fn count(&self) -> usize {
        self.shards.iter().map(|shard| shard.len()).sum()
    }

    pub(super) fn insert(&mut self, hash: &ContentDigest, location: AccountLocation) {
        let prefix = hash_prefix(hash);
        let shard = Arc::make_mut(&mut self.shards[shard_index(hash)]);
        let index = shard.partition_point(|slot| slot.prefix < prefix);
        shard.insert(index, AccountSlot { prefix, location });
    }

    pub(super) fn remove(&mut self, hash: &ContentDigest, location: AccountLocation) {
        let prefix = hash_prefix(hash);
        let shard = &mut self.shards[shard_index(hash)];
        let same = |slot: &AccountSlot| slot.prefix == prefix && slot.location == location;
        if let Some(index) = shard.iter().position(same) {
            Arc::make_mut(shard).remove(index);
        }
    }
}

fn hash_prefix(hash: &ContentDigest) -> u64 {
    u64::from_be_bytes(hash.0.first_chunk().copied().unwrap_or_default())
}

fn shard_index(hash: &ContentDigest) -> usize {
    usize::from(u16::from_be_bytes([hash.0[0], hash.0[1]])) % SHARD_COUNT
}
