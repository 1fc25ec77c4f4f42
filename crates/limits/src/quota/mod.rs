//! How often a client account may call, over all instances together.
//!
//! ```text
//! request ─▶ QuotaHolder ─┬─ no share known ─▶ admitted, counted
//!                │        └─ share ─▶ its part is admitted, the rest refused with a time to come back
//!                │ UseReport              ▲
//!                ▼                        │ ShareNews, to all nodes
//!            QuotaKeeper: bucket of the account, and how much it asks for
//! ```
//!
//! Pattern: some tens of accounts, of which a few are large, call on all instances of a fleet of a
//! hundred. An instance sees a request of most of them once in ten seconds, so that its even part of a
//! quota is a fraction of a token, and nearly all accounts stay below their quota nearly always. Now
//! and then one sends many times its usual.
//!
//! So every instance admits at once and tells what it admitted to the keepers of the account, two
//! instances that all of them know by rendezvous hashing. A keeper takes it from the account's bucket,
//! which may go below empty. Only when the account asks for more than the bucket will give does it tell
//! all instances which share of the account's requests to admit; the lesser of two shares holds. What was
//! admitted beyond, before they knew, is taken from what is admitted in the next second.
//!
//! How far a window can go beyond the quota is thus what is admitted within one pause between reports;
//! the pause follows from how far the operator lets it go ([`QuotaSettings::report_pause`]).
//!
//! Quotas shrink with the part of the fleet that the keeper can see: on each side of a partition there
//! is a keeper, and the sides together admit no more than the quota.

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

/// How often an account may call, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Requests a second in the long run.
    pub rate: f64,
    /// Requests at once after a pause.
    pub burst: f64,
}

impl QuotaTerms {
    /// The same for a part of the fleet.
    #[must_use]
    pub fn scaled(self, part: f64) -> Self {
        Self {
            rate: self.rate * part,
            burst: self.burst * part,
        }
    }
}

/// What a holder tells of one account since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseReport {
    /// The account.
    pub account: AccountId,
    /// Requests that it sent to this holder.
    pub asked: u32,
    /// Requests admitted, less those that were given back unrun.
    pub admitted: i32,
}

/// What a keeper tells all nodes of one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareNews {
    /// The account.
    pub account: AccountId,
    /// Share of its requests to admit, 0 to 1; none while it is within its quota.
    pub share: Option<f64>,
}

/// One message between two nodes about quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaMessage {
    /// From a holder to the keeper of these accounts.
    Report(Vec<UseReport>),
    /// From a keeper to a holder.
    Shares(Vec<ShareNews>),
}

/// Keepers of an account. One that is lost is reported to until its death is known, and one that has just
/// become a keeper does not know what was admitted before; the other then holds the account to its quota.
const KEEPERS: usize = 2;

/// The keepers of an account: of these nodes those that rank first for it. Two nodes that know the same
/// others agree; if they differ in one, they still have a keeper in common.
#[must_use]
pub fn keepers_of(account: AccountId, members: &[InstanceId]) -> Vec<InstanceId> {
    let account = account.0.to_be_bytes();
    let rank = |member: &InstanceId| stable_hash(&[&account, &member.node.0.to_be_bytes()]);
    let mut ranked: Vec<(u64, InstanceId)> = Vec::with_capacity(KEEPERS + 1);
    for member in members {
        ranked.push((rank(member), *member));
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        ranked.truncate(KEEPERS);
    }
    ranked.into_iter().map(|(_, member)| member).collect()
}
