//! Rate limit of a backend server, as a token bucket.

use std::time::Duration;

/// Lowest rate in permits per second. A server that takes less, or nothing, still gets a request now
/// and then, since only its answers show that the limit has ended.
const MIN_RATE: f64 = 0.25;
/// Time whose permits the bucket holds at most. It bounds the burst after a pause.
const MAX_BURST: Duration = Duration::from_secs(1);
/// Tolerance for the rounding of fractions of permits.
const ROUNDING: f64 = 1e-6;
/// Longest wait that is reported.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Token bucket with a permit for each request that a backend server may get.
///
/// In any time `t` it gives out at most `rate * t` permits and those that the bucket holds, which are
/// one second's.
#[derive(Debug)]
pub struct PermitBucket {
    rate: f64,
    permits: f64,
    updated_at: Duration,
}

impl PermitBucket {
    /// Creates an empty bucket, because requests that were sent before are not counted.
    #[must_use]
    pub const fn new(now: Duration, rate: f64) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            permits: 0.0,
            updated_at: now,
        }
    }

    /// Changes the rate. Permits gained until now stay, up to the new capacity.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.permits = self.permits_at(now);
        self.updated_at = now;
        self.rate = rate.max(MIN_RATE);
        self.permits = self.permits.min(self.capacity());
    }

    /// Returns whether a permit is available.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        self.permits_at(now) >= 1.0 - ROUNDING
    }

    /// Takes a permit.
    pub fn withdraw(&mut self, now: Duration) {
        self.permits = self.permits_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the time until a permit is available to a request behind `ahead` others.
    #[must_use]
    pub fn wait(&self, now: Duration, ahead: usize) -> Duration {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let missing = (ahead + 1.0 - self.permits_at(now)).max(0.0);
        let seconds = (missing / self.rate).min(MAX_WAIT.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    fn permits_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.permits + elapsed * self.rate).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        (self.rate * MAX_BURST.as_secs_f64()).max(1.0)
    }
}
