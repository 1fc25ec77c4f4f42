//! Share of requests that goes to other failure domains.
//!
//! A request crosses to another domain if it is expected to start there earlier by more than the
//! cost of crossing. Reports about other domains are up to a second old. If every daemon followed
//! them at once, all requests would cross together, fill the other domain and return together. The
//! share of requests that crosses therefore grows with the difference of the waits and follows it
//! with a time constant.

use std::time::Duration;

/// Time constant with which the share follows the waits. A longer one delays the reaction as much as old
/// reports do and leaves less phase margin.
const TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Difference of the waits beyond the cost of crossing at which all requests cross, as a fraction of
/// the latency objective. With reports that are half a second old, a quarter of an objective of 4 s
/// leaves a phase margin of about 45 degrees.
pub(crate) const FULL_SHARE_WAIT: f64 = 0.25;
/// Upper bound of the share. Some requests stay, so that the own domain is still observed.
const MAX_SHARE: f64 = 0.9;
/// Longest step that one update covers. After a pause the waits are unknown, not constant.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Expected waits for a request of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainWaits {
    /// Expected wait at the servers of the own domain.
    pub near: Duration,
    /// Expected wait at the servers of the other domains.
    pub far: Duration,
}

/// Share of the requests of one service that goes to other failure domains.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpilloverShare {
    share: f64,
    updated_at: Duration,
}

impl SpilloverShare {
    /// Moves the share towards the one that the waits suggest.
    ///
    /// `crossing` is the cost of crossing as a wait, and `objective` the latency objective of the
    /// requests.
    pub fn update(
        &mut self,
        now: Duration,
        waits: DomainWaits,
        crossing: Duration,
        objective: Duration,
    ) {
        let gain = waits.near.as_secs_f64() - waits.far.as_secs_f64() - crossing.as_secs_f64();
        let full = (objective.as_secs_f64() * FULL_SHARE_WAIT).max(f64::MIN_POSITIVE);
        let target = (gain / full).clamp(0.0, MAX_SHARE);
        let step = now.saturating_sub(self.updated_at).min(MAX_STEP);
        let weight = 1.0 - (-step.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.share += (target - self.share) * weight;
        self.updated_at = now;
    }

    /// Returns the share of requests that goes to other domains, from 0 to 1.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a request crosses, given a random number from 0 to 1.
    ///
    /// `size_share` is by how much the replies to the request's kind of work are larger than those of
    /// the smallest kind, relative to the largest kind, from 0 to 1. Requests with large replies
    /// cross only once the share is large.
    #[must_use]
    pub fn crosses(&self, draw: f64, size_share: f64) -> bool {
        let share = (self.share * (1.0 + size_share) - size_share).max(0.0);
        draw < share
    }
}
