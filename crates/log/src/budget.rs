//! Rate limit of a node's appends to the log.
//!
//! The log accepts several hundred appends a second from the whole fleet. A node that appends in a
//! loop would exhaust that rate for all others, including operators. Each node therefore has a
//! token bucket, in which background appends leave a reserve of tokens for urgent ones.

use std::time::Duration;

use sycamorelink_core::NodeClock;

/// Interval at which a wait for the budget checks whether the node is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Purpose of an append. Each record counts once, including a batch of changes in one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AppendPurpose {
    /// Change by an operator, one append per change. May use the whole budget.
    ContractChange,
    /// Change of the roster or of the guards of a key range, one append per change.
    RosterChange,
    /// Copy of current state, appended before retention trims the original. One append per stream
    /// and half of the retention time, made by the node that first finds it due.
    CarryForward,
}

impl AppendPurpose {
    /// Returns the number of tokens that must remain after the append.
    const fn reserve(self) -> f64 {
        match self {
            Self::ContractChange => 0.0,
            Self::RosterChange => 1.0,
            Self::CarryForward => 2.0,
        }
    }
}

/// Token bucket that limits one node's appends.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl AppendBudget {
    /// Creates a full bucket with a rate in appends per second and a burst size in appends.
    #[must_use]
    pub fn new(per_second: f64, burst: u32) -> Self {
        let burst = f64::from(burst);
        Self {
            per_second,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes the token of one append.
    ///
    /// # Errors
    ///
    /// Returns the time until the append is allowed.
    pub fn take(&mut self, now: Duration, purpose: AppendPurpose) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        let missing = 1.0 + purpose.reserve() - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::try_from_secs_f64(missing / self.per_second).unwrap_or(Duration::MAX))
    }
}

/// Waits until an append is allowed; returns false if the node stops first.
///
/// Without the check, a stopping daemon would work off its waiting appends at the rate of the
/// budget and take half a minute to exit. Dropping them is safe, as in an outage of the log: peers
/// hold the same state and append it when it is next due.
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
        tokio::time::sleep(wait.min(STOP_POLL_INTERVAL)).await;
    }
    true
}
