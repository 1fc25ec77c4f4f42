//! Detection of pauses that the monotonic clock does not show.

use std::time::Duration;

/// Time by which the wall clock must advance further than the monotonic clock to count as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the reference is kept, so that slow corrections of the wall clock do not add up
/// to a pause. As long as a loan of repeats, which the pauses in between may exceed by twice
/// [`MIN_PAUSE`] at most.
const REFERENCE_LIFETIME: Duration = Duration::from_secs(1);

/// Compares the wall clock with the monotonic clock.
///
/// While a virtual machine is suspended, its monotonic clock may stand still. Rights that end by
/// that clock, such as loans of repeats, would outlast what other nodes count.
#[derive(Debug)]
pub struct ClockWatch {
    /// Wall-clock time at which the monotonic clock read zero.
    offset: Duration,
    /// Monotonic time at which `offset` was taken.
    taken_at: Duration,
}

impl ClockWatch {
    /// Creates a watch from a monotonic and a wall-clock time that were read together.
    #[must_use]
    pub const fn new(now: Duration, wall: Duration) -> Self {
        Self {
            offset: wall.saturating_sub(now),
            taken_at: now,
        }
    }

    /// Returns whether the process was paused since the last call without its monotonic clock
    /// showing it. A wall clock that is set forward counts as a pause, too.
    pub fn has_paused(&mut self, now: Duration, wall: Duration) -> bool {
        let offset = wall.saturating_sub(now);
        let paused = offset >= self.offset + MIN_PAUSE;
        let is_set_back = offset < self.offset;
        let is_old = now >= self.taken_at + REFERENCE_LIFETIME;
        if paused || is_set_back || is_old {
            self.offset = offset;
            self.taken_at = now;
        }
        paused
    }
}
