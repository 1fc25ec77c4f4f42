//! Inflow of work that can be served in time, as a fraction of a gate's capacity.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which the inflow is measured.
const WINDOW: Duration = Duration::from_secs(2);
/// Time whose inflow is added up in one entry. It bounds the number of entries.
const STEP: Duration = Duration::from_millis(100);

/// Expected run times of the work that arrived within the last two seconds.
#[derive(Debug, Default)]
pub struct InflowWindow {
    /// Start of each step and the expected run time of the work that arrived in it.
    steps: VecDeque<(Duration, Duration)>,
}

impl InflowWindow {
    /// Adds accepted work with its expected run time.
    pub fn record(&mut self, now: Duration, cost: Duration) {
        while let Some((since, _)) = self.steps.front()
            && *since + WINDOW < now
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
            .filter(|(since, _)| *since + WINDOW >= now);
        let inflow: Duration = recent.map(|(_, cost)| *cost).sum();
        let capacity = WINDOW * slots;
        (1.0 - inflow.as_secs_f64() / capacity.as_secs_f64()).clamp(0.0, 1.0)
    }
}
