//! Differences between two fleet contracts, in the form in which nodes send them to each other.
//!
//! ```text
//! base ─┐                                        base ─┐
//!       ├─ FleetPatch::between ─ encode ─▶ decode ─┴─ apply ─▶ target, if its digest matches
//! target┘
//! ```
//!
//! The size of a patch follows what changed and not the size of the contract. A patch without a base
//! contains the whole contract.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, ServiceName};

use super::{FleetAccount, FleetContract, FleetRoute};
use crate::digest::ContentDigest;
use crate::terms::{DetectionLeaning, RetryBudget};

/// Compression level of patches. Higher levels take more processor time and save nothing, since names
/// and paths are mostly random.
const COMPRESSION_LEVEL: i32 = 1;
/// Maximum size of a decompressed patch, in bytes.
const MAX_PATCH_BYTES: usize = 8 << 20;
/// Binary logarithm of the maximum decompression window in bytes.
const MAX_WINDOW_LOG: u32 = 23;

/// Version of a fleet contract with the digest of its content.
///
/// The digest distinguishes contracts that have the same version, which happens when the source
/// loses a version and another one is published in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContractStamp {
    /// Version of the contract.
    pub version: u64,
    /// Digest of the content, regardless of the order of routes, accounts and services.
    pub digest: ContentDigest,
}

/// Changes that turn one fleet contract into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetPatch {
    base: Option<ContractStamp>,
    target: ContractStamp,
    services: Vec<ServiceName>,
    dropped_routes: Vec<RouteKey>,
    /// Added and changed routes.
    routes: Vec<FleetRoute>,
    dropped_accounts: Vec<CustomerName>,
    /// Added and changed accounts.
    accounts: Vec<FleetAccount>,
    retry_budget: RetryBudget,
    retry_slack: u32,
    leaning: DetectionLeaning,
}

/// Host and path prefix of a route, which identify it within a contract.
type RouteKey = (Arc<str>, Arc<str>);

/// Reason why a patch cannot be encoded, decoded or applied.
#[derive(Debug, thiserror::Error)]
pub enum PatchError {
    /// The patch cannot be encoded.
    #[error("the patch cannot be encoded")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not the encoding of a patch.
    #[error("the patch cannot be decoded")]
    Decode(#[from] bincode::error::DecodeError),
    /// The patch cannot be compressed or decompressed.
    #[error("the patch cannot be compressed or decompressed")]
    Compression(#[from] std::io::Error),
    /// The decompressed patch is larger than 8 MiB.
    #[error("the decompressed patch has more than {MAX_PATCH_BYTES} bytes")]
    Oversized,
    /// The patch does not apply to the contract it was given.
    #[error("the patch has another base")]
    WrongBase,
    /// The result differs from the contract that the patch was made of.
    #[error("the patched contract has another digest")]
    WrongDigest,
}

impl FleetContract {
    /// Returns the version of the contract and the digest of its content.
    #[must_use]
    pub fn stamp(&self) -> ContractStamp {
        let mut routes: Vec<&FleetRoute> = self.routes.iter().collect();
        routes.sort_by_key(|route| (&route.host, &route.prefix));
        let mut accounts: Vec<&FleetAccount> = self.accounts.iter().collect();
        accounts.sort_by_key(|account| &account.name);
        let services: BTreeSet<&ServiceName> = self.services.iter().collect();
        let terms = (&self.retry_budget, self.retry_slack, self.leaning);
        let content = (self.version, services, routes, accounts, terms);
        let bytes = bincode::serde::encode_to_vec(content, bincode::config::standard());
        ContractStamp {
            version: self.version,
            digest: ContentDigest::of(&bytes.unwrap_or_default()),
        }
    }
}

impl FleetPatch {
    /// Returns the changes from `base` to `target`; the whole target without a base.
    #[must_use]
    pub fn between(
        base: Option<(ContractStamp, &FleetContract)>,
        (stamp, target): (ContractStamp, &FleetContract),
    ) -> Self {
        let old_routes = base.map_or(&[][..], |(_, base)| &base.routes);
        let old_accounts = base.map_or(&[][..], |(_, base)| &base.accounts);
        let (dropped_routes, routes) = changes(old_routes, &target.routes, route_key);
        let (dropped_accounts, accounts) = changes(old_accounts, &target.accounts, |account| {
            account.name.clone()
        });
        Self {
            base: base.map(|(stamp, _)| stamp),
            target: stamp,
            services: target.services.clone(),
            dropped_routes,
            routes,
            dropped_accounts,
            accounts,
            retry_budget: target.retry_budget,
            retry_slack: target.retry_slack,
            leaning: target.leaning,
        }
    }

    /// Returns the contract that the patch applies to, or `None` if it contains the whole contract.
    #[must_use]
    pub const fn base(&self) -> Option<ContractStamp> {
        self.base
    }

    /// Returns the contract that the patch results in.
    #[must_use]
    pub const fn target(&self) -> ContractStamp {
        self.target
    }

    /// Returns the target contract.
    ///
    /// # Errors
    ///
    /// Fails if `base` is not the base of the patch, or if the result has another digest than the
    /// target.
    pub fn apply(
        self,
        base: Option<(ContractStamp, &FleetContract)>,
    ) -> Result<FleetContract, PatchError> {
        if base.map(|(stamp, _)| stamp) != self.base {
            return Err(PatchError::WrongBase);
        }
        let old_routes = base.map_or(&[][..], |(_, base)| &base.routes);
        let old_accounts = base.map_or(&[][..], |(_, base)| &base.accounts);
        let contract = FleetContract {
            version: self.target.version,
            services: self.services,
            routes: merge(old_routes, self.routes, self.dropped_routes, route_key),
            accounts: merge(
                old_accounts,
                self.accounts,
                self.dropped_accounts,
                |account| account.name.clone(),
            ),
            retry_budget: self.retry_budget,
            retry_slack: self.retry_slack,
            leaning: self.leaning,
        };
        if contract.stamp() == self.target {
            Ok(contract)
        } else {
            Err(PatchError::WrongDigest)
        }
    }

    /// Encodes and compresses the patch.
    ///
    /// # Errors
    ///
    /// Fails if the patch cannot be encoded or is larger than 8 MiB.
    pub fn encode(&self) -> Result<Vec<u8>, PatchError> {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())?;
        if bytes.len() > MAX_PATCH_BYTES {
            return Err(PatchError::Oversized);
        }
        Ok(zstd::bulk::compress(&bytes, COMPRESSION_LEVEL)?)
    }

    /// Decompresses and decodes a patch.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not the encoding of a patch, or if it is larger than 8 MiB.
    pub fn decode(bytes: &[u8]) -> Result<Self, PatchError> {
        let mut decoder = zstd::stream::read::Decoder::new(bytes)?;
        decoder.window_log_max(MAX_WINDOW_LOG)?;
        let mut plain = Vec::new();
        decoder
            .take(MAX_PATCH_BYTES as u64 + 1)
            .read_to_end(&mut plain)?;
        if plain.len() > MAX_PATCH_BYTES {
            return Err(PatchError::Oversized);
        }
        let config = bincode::config::standard().with_limit::<MAX_PATCH_BYTES>();
        let (patch, _) = bincode::serde::decode_from_slice(&plain, config)?;
        Ok(patch)
    }
}

fn route_key(route: &FleetRoute) -> RouteKey {
    (Arc::clone(&route.host), Arc::clone(&route.prefix))
}

/// Returns the keys of the items that only `old` has, and the items that are new or different in
/// `new`.
fn changes<K, T, F>(old: &[T], new: &[T], key: F) -> (Vec<K>, Vec<T>)
where
    K: Ord,
    T: Clone + PartialEq,
    F: Fn(&T) -> K,
{
    let mut old: BTreeMap<K, &T> = old.iter().map(|item| (key(item), item)).collect();
    let changed = new
        .iter()
        .filter(|item| old.remove(&key(item)) != Some(*item));
    let changed = changed.cloned().collect();
    (old.into_keys().collect(), changed)
}

/// Returns the items of `old` without the dropped ones, with the changed ones replaced or added.
fn merge<K, T, F>(old: &[T], changed: Vec<T>, dropped: Vec<K>, key: F) -> Vec<T>
where
    K: Ord,
    T: Clone,
    F: Fn(&T) -> K,
{
    let mut outdated: BTreeSet<K> = dropped.into_iter().collect();
    outdated.extend(changed.iter().map(&key));
    let kept = old.iter().filter(|item| !outdated.contains(&key(item)));
    kept.cloned().chain(changed).collect()
}
