//! Share of a service's upstreams that fail part of their requests at any time.
//!
//! On one deployment a server in a hundred fails now and then, on another a third of them fails all
//! the time. Where few fail, one bad outcome is strong evidence; where many do, a server without a
//! recent report is no better than one that failed a while ago. The share is learned from the
//! chances that the upstreams' own nodes report.

use std::time::Duration;

/// Prior share. Low, so that a fleet with few faults holds nothing off without evidence.
const PRIOR_SHARE: f64 = 0.03;
/// Seconds of reports that the prior weighs as much as: a few faults of usual length.
const PRIOR_SECONDS: f64 = 10.0;
/// Seconds of reports that the share remembers.
const MEMORY_SECONDS: f64 = 60.0;

/// Running average of the share, with the time that it covers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailingShare {
    pub(crate) share: f64,
    seconds: f64,
    updated_at: Option<Duration>,
}

impl FailingShare {
    pub(crate) const fn new() -> Self {
        Self {
            share: PRIOR_SHARE,
            seconds: PRIOR_SECONDS,
            updated_at: None,
        }
    }

    /// Adds the mean chance of failing over all upstreams at `now`.
    pub(crate) fn learn(&mut self, now: Duration, mean: f64) {
        let previous = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(previous).as_secs_f64().min(1.0);
        self.seconds = (self.seconds + elapsed).min(MEMORY_SECONDS);
        self.share += (mean - self.share) * elapsed / self.seconds;
    }
}
