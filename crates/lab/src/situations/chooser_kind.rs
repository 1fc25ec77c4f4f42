//! The upstream selection algorithms that the table compares.

use sycamorelink_policy::{Leaning, PoolSettings};

use super::baselines::{EjectionRule, LoadMetric, RoundRobinChooser, TwoChoicesChooser};
use super::chooser::{PoolChooser, UpstreamChooser};

/// Upstream selection algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChooserKind {
    /// [`PoolChooser`] with the default settings.
    Pool,
    /// [`PoolChooser`] tuned for few false ejections.
    PoolCareful,
    /// [`PoolChooser`] tuned for fast detection.
    PoolFast,
    /// Round robin without ejection.
    RoundRobin,
    /// Round robin, ejecting after five consecutive errors.
    Consecutive,
    /// Round robin, ejecting by success rate.
    SuccessRate,
    /// Power of two choices by requests in flight.
    LeastOfTwo,
    /// Power of two choices by peak EWMA latency.
    PeakEwma,
}

impl ChooserKind {
    /// All kinds, in the order of the table.
    pub const ALL: [Self; 8] = [
        Self::Pool,
        Self::PoolCareful,
        Self::PoolFast,
        Self::RoundRobin,
        Self::Consecutive,
        Self::SuccessRate,
        Self::LeastOfTwo,
        Self::PeakEwma,
    ];

    /// Returns the name printed in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pool => "sycamorelink",
            Self::PoolCareful => "sycamorelink-few-false",
            Self::PoolFast => "sycamorelink-fast",
            Self::RoundRobin => "round-robin",
            Self::Consecutive => "consecutive-5",
            Self::SuccessRate => "success-rate",
            Self::LeastOfTwo => "least-of-two",
            Self::PeakEwma => "peak-ewma",
        }
    }

    /// Returns the number of runs of this kind's rows: `wanted` for the default pool, a quarter of
    /// it for the others.
    #[must_use]
    pub const fn runs(self, wanted: usize) -> usize {
        match self {
            Self::Pool => wanted,
            _ => wanted.div_ceil(4),
        }
    }

    /// Builds a chooser of this kind for one daemon. `settings` apply to [`ChooserKind::Pool`]
    /// only.
    #[must_use]
    pub fn build(self, settings: &PoolSettings, seed: u64) -> Box<dyn UpstreamChooser> {
        let pool = |leaning| PoolChooser::new(PoolSettings::for_leaning(leaning), seed);
        match self {
            Self::Pool => Box::new(PoolChooser::new(settings.clone(), seed)),
            Self::PoolCareful => Box::new(pool(Leaning::FewFalseEjections)),
            Self::PoolFast => Box::new(pool(Leaning::FastDetection)),
            Self::RoundRobin => Box::new(RoundRobinChooser::new(EjectionRule::Never, seed)),
            Self::Consecutive => Box::new(RoundRobinChooser::new(EjectionRule::Consecutive, seed)),
            Self::SuccessRate => Box::new(RoundRobinChooser::new(EjectionRule::SuccessRate, seed)),
            Self::LeastOfTwo => Box::new(TwoChoicesChooser::new(LoadMetric::Outstanding, seed)),
            Self::PeakEwma => Box::new(TwoChoicesChooser::new(LoadMetric::PeakEwma, seed)),
        }
    }
}
