//! The clock interface. Decision logic takes the time from a [`NodeClock`], never from the system.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time source of one node.
pub trait NodeClock: Send + Sync {
    /// Returns the monotonic time since the node started.
    fn now(&self) -> Duration;

    /// Returns the wall-clock time since the Unix epoch.
    ///
    /// Wall clocks can jump and differ between instances, so no safety rule may depend on them.
    fn wall(&self) -> Duration;
}

/// Clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    started: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl NodeClock for SystemClock {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// Clock that advances only through [`ManualClock::advance`], for tests.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
    wall_offset: Duration,
}

impl ManualClock {
    /// Creates a clock with a monotonic time of zero and a wall-clock time of `wall_offset`.
    #[must_use]
    pub fn new(wall_offset: Duration) -> Self {
        Self {
            now: Mutex::new(Duration::ZERO),
            wall_offset,
        }
    }

    /// Advances both the monotonic and the wall-clock time by `step`.
    pub fn advance(&self, step: Duration) {
        if let Ok(mut now) = self.now.lock() {
            *now += step;
        }
    }
}

impl NodeClock for ManualClock {
    fn now(&self) -> Duration {
        self.now.lock().map(|now| *now).unwrap_or_default()
    }

    fn wall(&self) -> Duration {
        self.wall_offset + self.now()
    }
}
