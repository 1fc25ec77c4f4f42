//! Number of holders among which a fleet-wide limit is divided.

use std::time::Duration;

/// Largest number of holders observed recently.
///
/// Dividing a limit by the number of holders known at present makes each part too large while a
/// node knows only some of them: during a partition, each side considers the other dead, and both
/// together admit twice the limit. A lower count therefore takes effect only after a retention
/// period.
#[derive(Clone, Copy, Debug)]
pub struct HolderCount {
    retention: Duration,
    /// Maximum in the current period.
    current_max: usize,
    /// Maximum in the preceding period.
    previous_max: usize,
    period_start: Duration,
}

impl HolderCount {
    /// Creates a count that, when observed regularly, retains a maximum for between one and two
    /// times `retention`.
    #[must_use]
    pub const fn new(retention: Duration) -> Self {
        Self {
            retention,
            current_max: 0,
            previous_max: 0,
            period_start: Duration::ZERO,
        }
    }

    /// Records the present count and returns the count to divide by.
    pub fn observe(&mut self, now: Duration, count: usize) -> usize {
        let elapsed = now.saturating_sub(self.period_start);
        if elapsed >= self.retention {
            self.previous_max = if elapsed < self.retention * 2 {
                self.current_max
            } else {
                0
            };
            self.current_max = 0;
            self.period_start = now;
        }
        self.current_max = self.current_max.max(count);
        self.current_max.max(self.previous_max)
    }
}
