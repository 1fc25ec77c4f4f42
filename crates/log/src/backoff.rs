//! Back-off proportional to the duration of an outage.
//!
//! An exponential back-off doubles its delays and may wait as long as the outage has lasted: a log
//! that was down for five seconds would be unused for ten. Here the delay is a fixed fraction of
//! the outage so far. The recovery is noticed within that fraction, and an outage of hours costs
//! one call per maximum delay.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Settings of an [`OutageBackoff`].
#[derive(Clone, Copy, Debug)]
pub struct BackoffSettings {
    /// Minimum delay before jitter.
    pub least: Duration,
    /// Maximum delay before jitter.
    pub greatest: Duration,
    /// Delay as a fraction of the outage so far, from 0 to 1.
    pub share: f64,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            least: Duration::from_millis(50),
            greatest: Duration::from_secs(15),
            share: 0.1,
        }
    }
}

/// Delays between retries during an outage.
#[derive(Debug)]
pub struct OutageBackoff {
    settings: BackoffSettings,
    outage_since: Option<Duration>,
    rng: SmallRng,
}

impl OutageBackoff {
    /// Creates a back-off in the available state. The seed gives each node its own jitter.
    #[must_use]
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            outage_since: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Records a failure and returns the delay before the next try.
    pub fn fail(&mut self, now: Duration) -> Duration {
        let since = *self.outage_since.get_or_insert(now);
        let outage = now.saturating_sub(since);
        let delay = outage
            .mul_f64(self.settings.share)
            .clamp(self.settings.least, self.settings.greatest);
        // Jitter between half and the whole delay, so that nodes that lost the log at the same time
        // do not retry at the same time.
        delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Records a success, which ends the outage.
    pub fn succeed(&mut self) {
        self.outage_since = None;
    }

    /// Returns whether the last try failed.
    #[must_use]
    pub fn in_outage(&self) -> bool {
        self.outage_since.is_some()
    }

    /// Returns the time since the first failure of the current outage, or `None` without an outage.
    #[must_use]
    pub fn outage_duration(&self, now: Duration) -> Option<Duration> {
        self.outage_since.map(|since| now.saturating_sub(since))
    }
}
