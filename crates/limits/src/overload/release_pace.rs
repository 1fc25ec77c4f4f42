//! Pace at which waiting requests of one service are released.

use std::time::Duration;

/// Shortest time between two releases.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two trials while each is refused. A trial asks up to three servers, and
/// many nodes try at the same time.
const MAX_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of requests in one release, so that the requests that waited during a fault of a
/// whole service don't overload it afterwards.
const MAX_RELEASED: usize = 16;

/// Decides how many requests are released at a time.
///
/// One request is released as a trial. The number doubles with each release of which no request came
/// back, and returns to one with a longer interval when a request came back.
#[derive(Clone, Copy, Debug)]
pub struct ReleasePace {
    allowed: usize,
    interval: Duration,
    next: Duration,
    /// Whether a release was made since the last refusal.
    unrefused: bool,
}

impl Default for ReleasePace {
    fn default() -> Self {
        Self {
            allowed: 1,
            interval: MIN_INTERVAL,
            next: Duration::ZERO,
            unrefused: false,
        }
    }
}

impl ReleasePace {
    /// Returns the number of requests that may be released at `now`.
    #[must_use]
    pub fn allowance(&self, now: Duration) -> usize {
        if now < self.next {
            return 0;
        }
        if self.unrefused {
            (self.allowed * 2).min(MAX_RELEASED)
        } else {
            self.allowed
        }
    }

    /// Records a release of the whole allowance or a part of it.
    pub fn released(&mut self, now: Duration) {
        self.allowed = self.allowance(now).max(1);
        if self.unrefused {
            self.interval = MIN_INTERVAL;
        }
        self.unrefused = true;
        self.next = now + MIN_INTERVAL;
    }

    /// Records that a released request was refused.
    pub fn refused(&mut self, now: Duration) {
        if self.unrefused {
            self.unrefused = false;
            self.allowed = 1;
            self.interval = (self.interval * 2).min(MAX_INTERVAL);
            self.next = now + self.interval;
        }
    }

    /// Returns the time of the next release, since the node started; zero before the first one.
    #[must_use]
    pub const fn next_release(&self) -> Duration {
        self.next
    }
}
