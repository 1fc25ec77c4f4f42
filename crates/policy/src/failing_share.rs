//! Which share of a service's upstreams fails part of its requests at any time.
//!
//! Pattern: on one deployment a server in a hundred fails now and then, on another a third of them
//! does all the time. Where few fail, one bad end is strong evidence; where many do, a server about
//! which nothing is known is no better than one that failed a while ago. The share is learned from
//! what the nodes beside the upstreams tell.

use std::time::Duration;

/// Share before anything was heard: low, so that a quiet fleet holds nothing off without evidence.
const FIRST_SHARE: f64 = 0.03;
/// Seconds of what is told that this first share counts for: some faults of usual length.
const FIRST_WEIGHT: f64 = 10.0;
/// Seconds that the learned share reaches back.
const MEMORY: f64 = 60.0;

/// The share, and how much is known of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsualShare {
    pub(crate) share: f64,
    weight: f64,
    at: Option<Duration>,
}

impl UsualShare {
    pub(crate) const fn new() -> Self {
        Self {
            share: FIRST_SHARE,
            weight: FIRST_WEIGHT,
            at: None,
        }
    }

    /// Takes in the mean chance over the upstreams at `now`.
    pub(crate) fn learn(&mut self, now: Duration, mean: f64) {
        let before = self.at.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(before).as_secs_f64().min(1.0);
        self.weight = (self.weight + passed).min(MEMORY);
        self.share += (mean - self.share) * passed / self.weight;
    }
}
