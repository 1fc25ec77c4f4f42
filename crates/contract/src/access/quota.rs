//! Rate limit of the changes that a team may make.
//!
//! Each daemon counts the changes of every team as it reads them from the log, so the count covers
//! the whole fleet without coordination. Concurrent changes through several daemons may exceed the
//! quota together; later changes then have to wait longer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::AccessDenial;

const DEFAULT_PER_DAY: u32 = 2_000;
const DEFAULT_BURST: u32 = 200;
const DAY_SECONDS: f64 = 86_400.0;

/// Changes a team may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeQuota {
    /// Changes per day in the long run.
    pub per_day: u32,
    /// Changes at once after a pause.
    pub burst: u32,
}

impl Default for ChangeQuota {
    fn default() -> Self {
        Self {
            per_day: DEFAULT_PER_DAY,
            burst: DEFAULT_BURST,
        }
    }
}

/// Changes counted for a team at time `at`. The count decays at the daily rate.
#[derive(Clone, Copy, Debug)]
struct QuotaUse {
    used: f64,
    at: Duration,
}

/// Counts the changes of every team.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    quota: ChangeQuota,
    teams: BTreeMap<Arc<str>, QuotaUse>,
}

impl QuotaLedger {
    /// Creates a ledger without any counted changes.
    #[must_use]
    pub const fn new(quota: ChangeQuota) -> Self {
        Self {
            quota,
            teams: BTreeMap::new(),
        }
    }

    /// Counts a change that was read from the log. `now` is the time since the node started.
    pub fn record(&mut self, team: &Arc<str>, now: Duration) {
        let used = self.used(team, now) + 1.0;
        self.teams.insert(team.clone(), QuotaUse { used, at: now });
        let rate = self.per_second();
        self.teams
            .retain(|_, usage| usage.used > now.saturating_sub(usage.at).as_secs_f64() * rate);
    }

    /// Checks whether a team may make another change at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`AccessDenial::QuotaUsedUp`], with the time to wait, if the quota is exceeded.
    pub fn check(&self, team: &Arc<str>, now: Duration) -> Result<(), AccessDenial> {
        let excess = self.used(team, now) + 1.0 - f64::from(self.quota.burst);
        if excess <= 0.0 {
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(excess / self.per_second());
        Err(AccessDenial::QuotaUsedUp {
            team: team.clone(),
            wait_seconds: wait.map_or(u64::MAX, |wait| wait.as_secs() + 1),
        })
    }

    fn used(&self, team: &str, now: Duration) -> f64 {
        self.teams.get(team).map_or(0.0, |usage| {
            let replenished = now.saturating_sub(usage.at).as_secs_f64() * self.per_second();
            (usage.used - replenished).max(0.0)
        })
    }

    fn per_second(&self) -> f64 {
        f64::from(self.quota.per_day) / DAY_SECONDS
    }
}
