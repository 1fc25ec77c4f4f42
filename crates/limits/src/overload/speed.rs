//! Speed of a backend server relative to its service.
//!
//! The mean run time of a server depends on the kinds of work that it happened to run. The ratio of
//! each run time to the service's mean for the same kind does not.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of kinds with a mean; further kinds are not compared.
const MAX_KINDS: usize = 64;
/// Minimum number of samples of a mean that run times are compared with.
const MIN_KIND_SAMPLES: u32 = 16;
/// Lowest weight of a sample in the mean of its kind. The means change slowly, since they are what
/// servers of all nodes are compared with.
const MIN_KIND_WEIGHT: f64 = 1.0 / 256.0;
/// Minimum number of runs of a server before its speed is known.
const MIN_RUNS: u32 = 16;
/// Lowest weight of a run in the speed of a server. Run times spread by about their mean, so 64 runs
/// give the speed to a tenth.
const MIN_RUN_WEIGHT: f64 = 1.0 / 64.0;
/// Largest ratio of one run. Bounds the influence of the rare runs that take many times the mean.
const MAX_RATIO: f64 = 4.0;

/// Mean that weighs all samples alike at first, and newer ones more later.
#[derive(Clone, Copy, Debug, Default)]
struct SlowMean {
    value: f64,
    samples: u32,
}

impl SlowMean {
    fn add(&mut self, value: f64, min_weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(min_weight);
        self.value += (value - self.value) * weight;
    }
}

/// Mean run times of the servers of one service by kind of work, as one node sees them.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    kinds: BTreeMap<u64, SlowMean>,
}

impl ServiceTimes {
    /// Records a run time at any server of the service.
    pub fn record(&mut self, kind: u64, time: Duration) {
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&kind) {
            let mean = self.kinds.entry(kind).or_default();
            mean.add(time.as_secs_f64(), MIN_KIND_WEIGHT);
        }
    }

    /// Returns the mean run time of a kind; `None` while too few samples are known.
    #[must_use]
    pub fn mean_of(&self, kind: u64) -> Option<Duration> {
        let mean = self.kinds.get(&kind)?;
        let is_known = mean.samples >= MIN_KIND_SAMPLES && mean.value > 0.0;
        is_known.then(|| Duration::from_secs_f64(mean.value))
    }
}

/// Run times of one server relative to those of its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerSpeed {
    ratio: SlowMean,
}

impl ServerSpeed {
    /// Records a run time. `usual` is the mean run time of the service for the same kind, above
    /// zero.
    pub fn record(&mut self, time: Duration, usual: Duration) {
        if usual.is_zero() {
            return;
        }
        let ratio = time.as_secs_f64() / usual.as_secs_f64();
        self.ratio.add(ratio.min(MAX_RATIO), MIN_RUN_WEIGHT);
    }

    /// Returns the mean ratio of the server's run times to those of its service for the same kinds:
    /// above one for a slow server. `None` while too few runs are known.
    #[must_use]
    pub fn relative_run(&self) -> Option<f64> {
        (self.ratio.samples >= MIN_RUNS).then_some(self.ratio.value)
    }
}
