//! Mean run time of each kind of work at one backend server.

use std::collections::BTreeMap;
use std::time::Duration;

/// Inverse of the weight that the newest sample has in a mean.
const SMOOTHING_DIVISOR: u32 = 16;
/// Maximum number of kinds with a mean of their own. It bounds the memory of a gate.
const MAX_KINDS: usize = 64;

/// Mean run times by kind of work, learned from the runs that ended with a reply.
#[derive(Debug)]
pub struct RunCosts {
    /// Run time assumed before the first run.
    assumed: Duration,
    overall: Option<Duration>,
    kinds: BTreeMap<u64, Duration>,
    /// Mean of the kinds beyond [`MAX_KINDS`].
    others: Option<Duration>,
}

impl RunCosts {
    /// Creates costs without samples, which assume one run time for all kinds.
    #[must_use]
    pub const fn new(assumed: Duration) -> Self {
        Self {
            assumed,
            overall: None,
            kinds: BTreeMap::new(),
            others: None,
        }
    }

    /// Records the run time of work that ended with a reply.
    pub fn record(&mut self, kind: u64, elapsed: Duration) {
        self.overall = Some(updated_mean(self.overall, elapsed));
        let is_tracked = self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&kind);
        if is_tracked {
            let mean = updated_mean(self.kinds.get(&kind).copied(), elapsed);
            self.kinds.insert(kind, mean);
        } else {
            self.others = Some(updated_mean(self.others, elapsed));
        }
    }

    /// Returns the mean run time of a kind; the mean over all kinds if no run of it ended yet.
    #[must_use]
    pub fn mean_of(&self, kind: u64) -> Duration {
        let shared = self.others.filter(|_| self.kinds.len() >= MAX_KINDS);
        let mean = self.kinds.get(&kind).copied().or(shared);
        mean.unwrap_or_else(|| self.mean())
    }

    /// Returns the mean run time over all kinds; the assumed run time before the first run.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.overall.unwrap_or(self.assumed)
    }

    /// Returns the expected cost of work: `expected` if the caller gave one, else the mean.
    #[must_use]
    pub fn cost_of(&self, kind: u64, expected: Duration) -> Duration {
        if expected.is_zero() {
            self.mean_of(kind)
        } else {
            expected
        }
    }
}

fn updated_mean(mean: Option<Duration>, elapsed: Duration) -> Duration {
    mean.map_or(elapsed, |mean| {
        (mean * (SMOOTHING_DIVISOR - 1) + elapsed) / SMOOTHING_DIVISOR
    })
}
