//! Back-off in proportion to the outage.
//!
//! A doubling back-off sleeps for as long as the outage has lasted, so that a log which was away
//! for five seconds is missed for ten. Here the pause is a fixed share of the outage so far: the
//! log is found again at most that share of the outage after its return, and an outage of hours
//! costs no more than one call each greatest pause.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Settings of the back-off.
#[derive(Clone, Copy, Debug)]
pub struct BackoffSettings {
    /// Shortest pause.
    pub least: Duration,
    /// Longest pause.
    pub greatest: Duration,
    /// Pause as a share of the outage so far, from 0 to 1.
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

/// Pauses between tries while something is away.
#[derive(Debug)]
pub struct OutageBackoff {
    settings: BackoffSettings,
    away_since: Option<Duration>,
    rng: SmallRng,
}

impl OutageBackoff {
    /// Creates a back-off for something that is there. The seed spreads the nodes' tries.
    #[must_use]
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            away_since: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Notes a failed try and returns the pause before the next.
    pub fn fail(&mut self, now: Duration) -> Duration {
        let since = *self.away_since.get_or_insert(now);
        let away = now.saturating_sub(since);
        let pause = away
            .mul_f64(self.settings.share)
            .clamp(self.settings.least, self.settings.greatest);
        // Half to whole, so that nodes which lost the log together do not come back together.
        pause.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Notes a try that succeeded.
    pub fn succeed(&mut self) {
        self.away_since = None;
    }

    /// Whether the last try failed.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// How long it has been away.
    #[must_use]
    pub fn away_for(&self, now: Duration) -> Option<Duration> {
        self.away_since.map(|since| now.saturating_sub(since))
    }
}
