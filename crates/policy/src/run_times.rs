//! How long sound runs last, learned for each kind of work.
//!
//! Pattern: a backend server takes requests and never answers. No end of a run tells of it, only its
//! age does, and what age is suspicious differs from one kind of work to the next by ten times. So
//! the share of runs that last longer than a given time is learned from the runs that ended with a
//! reply, and an open run is weighed against it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Buckets of run times; each reaches further than the one before by the fourth root of two, so that
/// a time is told apart to a fifth of itself.
const BUCKETS: usize = 72;
/// Buckets to a doubling.
const STEPS: f64 = 4.0;
/// Upper end of the first bucket, in seconds.
const SHORTEST: f64 = 0.001;
/// Runs that an estimate starts from, spread evenly over the buckets from a fiftieth to half of the
/// time that the first caller gave. About this many real ones outweigh them.
const PRIOR_RUNS: f64 = 4.0;
/// Runs taken to last longer than any seen. It bounds what one open run can say: the first hundred
/// runs of a kind never show that one in a thousand does not last for long.
const LONGER_RUNS: f64 = 0.3;
/// Share of the earlier runs' weight that one more leaves: some two hundred count, which at a few
/// runs a second is a minute, so that a changed version of a server is learned within that.
const KEPT: f64 = 0.995;
/// Kinds of work that are told apart. A service has a few; those beyond it share one estimate.
const KINDS_MOST: usize = 64;
/// The kind that they share.
const OTHER_KIND: u64 = u64::MAX;

/// Run times of one kind of work.
#[derive(Clone, Debug)]
struct KindTimes {
    weights: [f64; BUCKETS],
    total: f64,
}

/// Run times of the kinds of work that one backend server does.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    kinds: BTreeMap<u64, KindTimes>,
}

impl RunTimes {
    /// Makes sure that a kind of work is known; `allowed` is the time that the caller gives.
    pub fn meet(&mut self, kind: u64, allowed: Duration) {
        let kind = self.place(kind);
        self.kinds
            .entry(kind)
            .or_insert_with(|| KindTimes::prior(allowed));
    }

    /// Counts a run that ended with a reply, by the chance that the server was sound.
    pub fn learn(&mut self, kind: u64, took: Duration, sound: f64) {
        let kind = self.place(kind);
        if let Some(times) = self.kinds.get_mut(&kind) {
            times.learn(took, sound);
        }
    }

    /// Share of the runs of a kind on a sound server that last longer than this. One for a kind that
    /// is not known.
    #[must_use]
    pub fn survival(&self, kind: u64, age: Duration) -> f64 {
        let kind = self.place(kind);
        self.kinds
            .get(&kind)
            .map_or(1.0, |times| times.survival(age))
    }

    fn place(&self, kind: u64) -> u64 {
        let full = self.kinds.len() >= KINDS_MOST;
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

    fn learn(&mut self, took: Duration, sound: f64) {
        let kept = 1.0 - (1.0 - KEPT) * sound;
        for weight in &mut self.weights {
            *weight *= kept;
        }
        self.weights[bucket_of(took)] += sound;
        self.total = self.total * kept + sound;
    }

    /// Within a bucket the runs are taken as spread evenly.
    fn survival(&self, age: Duration) -> f64 {
        let place = bucket_place(age);
        let bucket = bucket_of(age);
        let longer: f64 = self.weights[bucket + 1..].iter().sum();
        let within = (place - to_float(bucket)).clamp(0.0, 1.0);
        let rest = self.weights[bucket] * (1.0 - within);
        (longer + rest + LONGER_RUNS) / (self.total + LONGER_RUNS)
    }
}

/// Place on the scale of buckets, as a fraction.
fn bucket_place(time: Duration) -> f64 {
    let ratio = time.as_secs_f64().max(SHORTEST) / SHORTEST;
    ratio.log2() * STEPS
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the buckets"
)]
fn bucket_of(time: Duration) -> usize {
    let last = to_float(BUCKETS - 2);
    bucket_place(time).floor().clamp(0.0, last) as usize
}

#[expect(clippy::cast_precision_loss, reason = "a count of buckets")]
const fn to_float(count: usize) -> f64 {
    count as f64
}
