//! Simulated demand of one customer, distributed over the daemons.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Poisson};

/// Time between two reshuffles of the busiest daemons.
const SHIFT_INTERVAL: Duration = Duration::from_secs(10);

/// Poisson arrivals, distributed over the daemons by a Zipf law whose ranking is drawn once, or
/// again every ten seconds.
pub struct ZipfDemand {
    rng: SmallRng,
    /// Cumulative share of all arrivals up to and including each rank.
    cumulative: Vec<f64>,
    /// Daemon of each rank.
    order: Vec<usize>,
    shift_period: u64,
    shifts: bool,
    arrivals: Poisson<f64>,
}

impl ZipfDemand {
    /// Creates demand for `count` daemons, with a mean of `per_step` arrivals in total. `shifts`
    /// selects whether the busiest daemons change.
    pub fn new(seed: u64, count: usize, per_step: f64, shifts: bool) -> Self {
        let weights: Vec<f64> = (1..=u32::try_from(count).unwrap_or(u32::MAX))
            .map(|rank| 1.0 / f64::from(rank))
            .collect();
        let total: f64 = weights.iter().sum();
        let cumulative = weights
            .iter()
            .scan(0.0, |sum, weight| {
                *sum += weight / total;
                Some(*sum)
            })
            .collect();
        let mut demand = Self {
            rng: SmallRng::seed_from_u64(seed),
            cumulative,
            order: (0..count).collect(),
            shift_period: 0,
            shifts,
            arrivals: Poisson::new(per_step).expect("the rate is positive"),
        };
        demand.order.shuffle(&mut demand.rng);
        demand
    }

    /// Appends the daemons that receive a request in this step to `out`, one entry per request.
    pub fn step(&mut self, now: Duration, out: &mut Vec<usize>) {
        let period = now.as_secs() / SHIFT_INTERVAL.as_secs();
        if self.shifts && period > self.shift_period {
            self.shift_period = period;
            self.order.shuffle(&mut self.rng);
        }
        let drawn: f64 = self.arrivals.sample(&mut self.rng);
        let mut left = drawn;
        while left >= 1.0 {
            left -= 1.0;
            let point: f64 = self.rng.random();
            let rank = self.cumulative.partition_point(|sum| *sum < point);
            out.push(self.order[rank.min(self.order.len() - 1)]);
        }
    }
}
