//! Inflow of work that can be served in time, as a fraction of a gate's capacity.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which the inflow is measured by default.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);
/// Time whose inflow is added up in one entry. It bounds the number of entries.
const STEP: Duration = Duration::from_millis(100);

/// Expected run times of the work that arrived within the last seconds, two by default.
#[derive(Debug)]
pub struct InflowWindow {
    window: Duration,
    /// Start of each step and the expected run time of the work that arrived in it.
    steps: VecDeque<(Duration, Duration)>,
}

impl Default for InflowWindow {
    fn default() -> Self {
        Self::new(DEFAULT_WINDOW)
    }
}

impl InflowWindow {
    /// Creates a record of the inflow over `window`.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            steps: VecDeque::new(),
        }
    }

    /// Adds accepted work with its expected run time.
    pub fn record(&mut self, now: Duration, cost: Duration) {
        while let Some((since, _)) = self.steps.front()
            && *since + self.window < now
        {
            self.steps.pop_front();
        }
        match self.steps.back_mut() {
            Some((since, sum)) if now < *since + STEP => *sum += cost,
            _ => self.steps.push_back((now, cost)),
        }
    }

    /// Returns the fraction of this many slots that the inflow leaves, from 0 to 1.
    #[must_use]
    pub fn share_left(&self, now: Duration, slots: u32) -> f64 {
        let recent = self
            .steps
            .iter()
            .filter(|(since, _)| *since + self.window >= now);
        let inflow: Duration = recent.map(|(_, cost)| *cost).sum();
        let capacity = self.window * slots;
        (1.0 - inflow.as_secs_f64() / capacity.as_secs_f64()).clamp(0.0, 1.0)
    }
}
