//! A node's share of the appends that the log takes.
//!
//! The log takes several hundred appends a second from the whole fleet. A node that appends in a
//! loop would take them from everybody, operators among them, so each node has a token bucket,
//! and its background appends leave a reserve to the urgent ones.

use std::time::Duration;

use sycamorelink_core::NodeClock;

/// Longest time until a wait for the budget notices that the node stops.
const STOP_GRAIN: Duration = Duration::from_millis(100);

/// What an append is for. One record each; a batch of changes in one record counts once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AppendPurpose {
    /// A change by an operator: one append for each change. May use the whole budget.
    ContractChange,
    /// A change of the roster or of custody: one append for each change.
    RosterChange,
    /// Carrying state forward before retention drops it: one append for each stream and half of
    /// the retention time, by whichever node sees it due first.
    CarryForward,
}

impl AppendPurpose {
    /// Tokens that must be left over after the append.
    const fn reserve(self) -> f64 {
        match self {
            Self::ContractChange => 0.0,
            Self::RosterChange => 1.0,
            Self::CarryForward => 2.0,
        }
    }
}

/// Token bucket of one node's appends.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled: Duration,
}

impl AppendBudget {
    /// Creates a full bucket with a rate in appends a second and a greatest burst.
    #[must_use]
    pub fn new(per_second: f64, burst: u32) -> Self {
        let burst = f64::from(burst);
        Self {
            per_second,
            burst,
            tokens: burst,
            refilled: Duration::ZERO,
        }
    }

    /// Takes one append.
    ///
    /// # Errors
    ///
    /// The wait until there is room for it.
    pub fn take(&mut self, now: Duration, purpose: AppendPurpose) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst);
        let missing = 1.0 + purpose.reserve() - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::try_from_secs_f64(missing / self.per_second).unwrap_or(Duration::MAX))
    }
}

/// Waits until there is room for an append; false when the node stops first.
///
/// Failure: appends that wait are worked off at the budget's rate after the node was told to stop,
/// and a drained daemon takes half a minute to end. They are not made instead, as in an outage of
/// the log: peers have agreed on what they tell, and append it when it is next due.
pub async fn await_budget<Stop>(
    budget: &mut AppendBudget,
    clock: &dyn NodeClock,
    purpose: AppendPurpose,
    is_stopping: Stop,
) -> bool
where
    Stop: Fn() -> bool,
{
    while let Err(wait) = budget.take(clock.now(), purpose) {
        if is_stopping() {
            return false;
        }
        tokio::time::sleep(wait.min(STOP_GRAIN)).await;
    }
    true
}
