//! Gradual opening of the slots of a backend server that started cold.

use std::time::Duration;

/// Warm-up of a backend server: one open slot at first, then linearly more up to all slots.
///
/// With all slots open at once, the first requests to a cold backend server would all time out
/// together. Opening the slots gradually lets each request warm the server up for the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUp {
    /// Start of the warm-up, as time since the node started.
    pub since: Duration,
    /// Time from one slot to all slots; zero opens all at once.
    pub length: Duration,
}

impl WarmUp {
    /// Returns the number of open slots out of `slots`, which is at least 1.
    #[must_use]
    pub fn open_slots(self, now: Duration, slots: u32) -> u32 {
        let age = now.saturating_sub(self.since);
        if age >= self.length {
            return slots;
        }
        let later = u128::from(slots.saturating_sub(1)) * age.as_micros();
        let opened = later / self.length.as_micros().max(1);
        1 + u32::try_from(opened).unwrap_or(slots)
    }
}
