//! Distribution of the run times of completed runs, per kind of work.
//!
//! A backend server that accepts requests and never answers produces no outcomes: only the age of
//! its open runs is evidence. A suspicious age differs between kinds of work by a factor of ten.
//! The module therefore learns, from the runs that ended with a reply, the share of runs that last
//! longer than a given time, and the breaker weighs the age of an open run against it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of histogram buckets. Each upper bound is the fourth root of two times the one before,
/// which resolves a run time to a fifth.
const BUCKETS: usize = 72;
/// Buckets per doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Upper end of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Weight of the prior, in runs, spread evenly over the buckets from a fiftieth to half of the time
/// that the first caller waits. About as many observed runs outweigh it.
const PRIOR_RUNS: f64 = 4.0;
/// Weight, in runs, of run times longer than any observed one. It bounds the evidence of one open
/// run: a hundred runs of a kind don't show that one in a thousand isn't much longer.
const TAIL_RUNS: f64 = 0.3;
/// Factor by which one more run reduces the weight of the earlier ones. About two hundred runs
/// count, which is a minute at a few runs per second, so the times follow a new version of a server
/// within a minute.
const DECAY_FACTOR: f64 = 0.995;
/// Maximum number of kinds of work with a distribution of their own. A service has a few; further
/// kinds share one distribution.
const MAX_KINDS: usize = 64;
/// Key of the distribution that further kinds share.
const OTHER_KIND: u64 = u64::MAX;

/// Histogram of the run times of one kind of work.
#[derive(Clone, Debug)]
struct KindTimes {
    weights: [f64; BUCKETS],
    total: f64,
}

/// Run times of one backend server, per kind of work.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    kinds: BTreeMap<u64, KindTimes>,
}

impl RunTimes {
    /// Creates the distribution of a kind of work if it doesn't exist. `allowed` is the time that
    /// the caller waits and sets the prior.
    pub fn ensure_kind(&mut self, kind: u64, allowed: Duration) {
        let kind = self.kind_key(kind);
        self.kinds
            .entry(kind)
            .or_insert_with(|| KindTimes::prior(allowed));
    }

    /// Adds a run that ended with a reply, weighted by the chance that the server was healthy.
    pub fn learn(&mut self, kind: u64, took: Duration, weight: f64) {
        let kind = self.kind_key(kind);
        if let Some(times) = self.kinds.get_mut(&kind) {
            times.learn(took, weight);
        }
    }

    /// Returns the share of the runs of a kind that last longer than `age` on a healthy server, or
    /// 1 for an unknown kind.
    #[must_use]
    pub fn survival(&self, kind: u64, age: Duration) -> f64 {
        let kind = self.kind_key(kind);
        self.kinds
            .get(&kind)
            .map_or(1.0, |times| times.survival(age))
    }

    fn kind_key(&self, kind: u64) -> u64 {
        let full = self.kinds.len() >= MAX_KINDS;
        if full && !self.kinds.contains_key(&kind) {
            OTHER_KIND
        } else {
            kind
        }
    }
}

impl KindTimes {
    fn prior(allowed: Duration) -> Self {
        let first = bucket_of(allowed / 50);
        let last = bucket_of(allowed / 2);
        let mut weights = [0.0; BUCKETS];
        let count = last - first + 1;
        for weight in &mut weights[first..=last] {
            *weight = PRIOR_RUNS / to_float(count);
        }
        Self {
            weights,
            total: PRIOR_RUNS,
        }
    }

    fn learn(&mut self, took: Duration, weight: f64) {
        let retained = 1.0 - (1.0 - DECAY_FACTOR) * weight;
        for weight in &mut self.weights {
            *weight *= retained;
        }
        self.weights[bucket_of(took)] += weight;
        self.total = self.total * retained + weight;
    }

    /// Returns the share of runs that last longer than `age`. Runs are taken as evenly spread
    /// within a bucket.
    fn survival(&self, age: Duration) -> f64 {
        let position = bucket_position(age);
        let bucket = bucket_of(age);
        let longer: f64 = self.weights[bucket + 1..].iter().sum();
        let within = (position - to_float(bucket)).clamp(0.0, 1.0);
        let rest = self.weights[bucket] * (1.0 - within);
        (longer + rest + TAIL_RUNS) / (self.total + TAIL_RUNS)
    }
}

/// Returns the position of a time on the scale of buckets, as a fraction.
fn bucket_position(time: Duration) -> f64 {
    let ratio = time.as_secs_f64().max(FIRST_BUCKET_SECONDS) / FIRST_BUCKET_SECONDS;
    ratio.log2() * BUCKETS_PER_DOUBLING
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the buckets"
)]
fn bucket_of(time: Duration) -> usize {
    let last = to_float(BUCKETS - 2);
    bucket_position(time).floor().clamp(0.0, last) as usize
}

#[expect(clippy::cast_precision_loss, reason = "a count of buckets")]
const fn to_float(count: usize) -> f64 {
    count as f64
}
