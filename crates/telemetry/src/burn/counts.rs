//! Requests counted by outcome.

use std::fmt;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use crate::event::EventCode;

/// Outcome of a request, as counted against the error budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnOutcome {
    /// Answered with a complete and correct reply, in time.
    Good,
    /// Refused although the customer was within its contract: overload, no upstream or drain.
    Refused,
    /// The backend server failed or its reply was truncated.
    Failed,
    /// Answered, but later than the objective's latency.
    Late,
    /// Answered with a refusal that says that the request may have run.
    Unknown,
    /// The reply belonged to another request or was malformed, and was dropped.
    Wrong,
}

impl BurnOutcome {
    /// Every outcome, [`Self::Good`] first.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Refused,
        Self::Failed,
        Self::Late,
        Self::Unknown,
        Self::Wrong,
    ];

    /// The outcomes that use up the error budget.
    pub const BAD: [Self; 5] = [
        Self::Refused,
        Self::Failed,
        Self::Late,
        Self::Unknown,
        Self::Wrong,
    ];

    /// Returns the name used in reports and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Unknown => "unknown",
            Self::Wrong => "wrong",
        }
    }

    /// Returns the events to look for when this is the main cause of a burn.
    #[must_use]
    pub const fn events(self) -> &'static [EventCode] {
        match self {
            Self::Good => &[],
            Self::Refused => &[
                EventCode::OverloadShedding,
                EventCode::NoUpstream,
                EventCode::GuardsUnreachable,
            ],
            Self::Failed => &[
                EventCode::UpstreamSuspected,
                EventCode::ReplyTruncated,
                EventCode::CrashSuspected,
            ],
            Self::Late => &[EventCode::WeightShifted, EventCode::FloorHeld],
            Self::Unknown => &[EventCode::RequestUnknown, EventCode::RunUnproven],
            Self::Wrong => &[EventCode::ReplyMismatched, EventCode::ReplyMalformed],
        }
    }
}

impl fmt::Display for BurnOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Requests by outcome, in the order of [`BurnOutcome::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BurnCounts([u64; 6]);

impl BurnCounts {
    /// Returns the number of requests with this outcome.
    #[must_use]
    pub const fn get(&self, outcome: BurnOutcome) -> u64 {
        self.0[outcome as usize]
    }

    /// Adds `count` requests with this outcome, saturating.
    pub const fn add(&mut self, outcome: BurnOutcome, count: u64) {
        let index = outcome as usize;
        self.0[index] = self.0[index].saturating_add(count);
    }

    /// Returns the number of all requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the number of requests that use up the error budget.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.total() - self.get(BurnOutcome::Good)
    }

    /// Returns the share of bad requests, from 0 to 1; 0 when there were no requests.
    #[must_use]
    pub fn bad_share(&self) -> f64 {
        share(self.bad(), self.total())
    }

    /// Returns the most frequent bad outcome, or `None` without bad requests.
    #[must_use]
    pub fn main_cause(&self) -> Option<BurnOutcome> {
        BurnOutcome::BAD
            .into_iter()
            .filter(|outcome| self.get(*outcome) > 0)
            .max_by_key(|outcome| self.get(*outcome))
    }
}

impl AddAssign for BurnCounts {
    fn add_assign(&mut self, other: Self) {
        for outcome in BurnOutcome::ALL {
            self.add(outcome, other.get(outcome));
        }
    }
}

/// Returns `part` divided by `whole`, or 0 when `whole` is 0.
pub(super) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    as_float(part) / as_float(whole)
}

/// Converts a count to a float; exact up to 2^53, which no count here reaches.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
pub(super) fn as_float(count: u64) -> f64 {
    count as f64
}
