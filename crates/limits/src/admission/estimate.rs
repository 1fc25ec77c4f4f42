//! Service time estimates and `retry_after` hints for refused callers.

use std::time::Duration;

/// Inverse of the weight that the newest sample has in the moving average.
const SMOOTHING_DIVISOR: u32 = 16;
/// Upper bound of the `retry_after` hint in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Exponentially weighted moving average of the service time.
#[derive(Debug)]
pub struct ServiceEstimate {
    mean: Duration,
}

impl ServiceEstimate {
    /// Creates an estimate that starts from an assumed service time.
    #[must_use]
    pub const fn new(assumed: Duration) -> Self {
        Self { mean: assumed }
    }

    /// Records the service time of finished work.
    pub fn record(&mut self, elapsed: Duration) {
        self.mean = (self.mean * (SMOOTHING_DIVISOR - 1) + elapsed) / SMOOTHING_DIVISOR;
    }

    /// Returns the expected cost of work: `expected` if the caller gave one, else the average.
    #[must_use]
    pub fn cost(&self, expected: Duration) -> Duration {
        if expected.is_zero() {
            self.mean
        } else {
            expected
        }
    }
}

/// Source of `retry_after` hints that are spaced at the rate of the backend server.
///
/// Callers refused within the same second would otherwise all retry at the same moment, fill the
/// queue again and mostly be refused again. The hints are one service time apart, which is as fast
/// as the slots can take the retries.
#[derive(Debug, Default)]
pub struct RetryPacer {
    last: Duration,
}

impl RetryPacer {
    /// Returns the time until the next retry.
    ///
    /// The retry is at least `drain_time` from now and at least `spacing` after the previous hint.
    pub fn next(&mut self, now: Duration, drain_time: Duration, spacing: Duration) -> Duration {
        let next = (now + drain_time).max(self.last + spacing);
        self.last = next.min(now + MAX_RETRY_AFTER);
        self.last.saturating_sub(now)
    }
}
