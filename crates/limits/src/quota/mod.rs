//! Request quotas of client accounts, enforced over all instances together.
//!
//! ```text
//! request ─▶ QuotaHolder ─┬─ no share in force ─▶ admitted, counted
//!                │        └─ share ─▶ that part is admitted, the rest refused with a retry time
//!                │ UsageReport              ▲
//!                ▼                        │ ShareUpdate, to all nodes
//!            QuotaKeeper: token bucket of the account, and its demand
//! ```
//!
//! The design is for some tens of accounts, a few of them large, that send requests to all
//! instances of a fleet of a hundred. An instance gets a request of most accounts once in ten
//! seconds, so an even part of a quota would be a fraction of a token. Nearly all accounts stay
//! below their quota nearly always; occasionally one sends many times its usual rate.
//!
//! Every instance (the holder) therefore admits requests immediately and reports what it admitted
//! to the keepers of the account, two instances that all nodes determine by rendezvous hashing. A
//! keeper deducts the reported requests from the token bucket of the account, which may become
//! negative. Only when the demand exceeds what the bucket provides does the keeper send all
//! instances the share of the account's requests to admit. If the two keepers send different
//! shares, the smaller one applies. What was admitted in excess before the instances received the
//! share is deducted from what is admitted in the next second.
//!
//! A window can therefore exceed the quota by what is admitted within one report interval. The
//! interval follows from the overage that the operator allows ([`QuotaSettings::report_interval`]).
//!
//! Quotas are scaled by the part of the fleet that the keeper can reach: during a partition, each
//! side has a keeper, and both sides together admit no more than the quota.

mod holder;
mod keeper;
mod settings;

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, stable_hash};

pub use holder::QuotaHolder;
pub use keeper::QuotaKeeper;
pub use settings::QuotaSettings;

/// Stable hash of an account's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId(pub u64);

/// Quota of an account over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Sustained rate in requests per second.
    pub rate: f64,
    /// Maximum number of requests at once after a pause.
    pub burst: f64,
}

impl QuotaTerms {
    /// Returns the quota scaled to a part of the fleet.
    #[must_use]
    pub fn scaled(self, part: f64) -> Self {
        Self {
            rate: self.rate * part,
            burst: self.burst * part,
        }
    }
}

/// Report of one holder on one account since its previous report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Account that sent the requests.
    pub account: AccountId,
    /// Requests that the account sent to this holder.
    pub asked: u32,
    /// Requests admitted, less those that were refunded because they did not run.
    pub admitted: i32,
}

/// Update on one account from a keeper to all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// Account that the share applies to.
    pub account: AccountId,
    /// Share of its requests to admit, 0 to 1. `None` while the account is within its quota.
    pub share: Option<f64>,
}

/// Message about quotas between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaMessage {
    /// Reports from a holder to a keeper of the accounts.
    Report(Vec<UsageReport>),
    /// Updates from a keeper to a holder.
    Shares(Vec<ShareUpdate>),
}

/// Number of keepers of an account.
///
/// Holders keep reporting to a lost keeper until its death is detected, and a new keeper does not
/// know what was admitted before. The other keeper enforces the quota meanwhile.
const KEEPER_COUNT: usize = 2;

/// Returns the keepers of an account: the members that rank first for it.
///
/// Two nodes with the same membership agree on the keepers. If their memberships differ in one
/// node, they still have a keeper in common.
#[must_use]
pub fn keepers_of(account: AccountId, members: &[InstanceId]) -> Vec<InstanceId> {
    let account = account.0.to_be_bytes();
    let rank = |member: &InstanceId| stable_hash(&[&account, &member.node.0.to_be_bytes()]);
    let mut ranked: Vec<(u64, InstanceId)> = Vec::with_capacity(KEEPER_COUNT + 1);
    for member in members {
        ranked.push((rank(member), *member));
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        ranked.truncate(KEEPER_COUNT);
    }
    ranked.into_iter().map(|(_, member)| member).collect()
}
