//! Running averages of a service's latency and error shares: the reference of every score.

use std::time::Duration;

use crate::record::EvidenceView;
use crate::score::{KIND_COUNT, ScoreKind};

/// Weight of one reply in the running averages of latency.
const LATENCY_STEP: f64 = 0.005;

/// Largest weight of one reply while few replies were observed.
const MAX_INITIAL_STEP: f64 = 0.2;

/// Weight of one reply in the running shares of bad replies.
const SHARE_STEP: f64 = 0.001;

/// Number of replies after which the averages are used to score others.
const READY_REPLIES: u32 = 150;

/// Lower bound of the scale of log latency. At 0.2 a steady service tolerates deviations of a
/// quarter.
const MIN_SCALE: f64 = 0.2;

/// Upper bound of the scale, so that a tenfold slowdown is visible in a service with widely spread
/// latencies.
const MAX_SCALE: f64 = 0.8;

/// Mean of the absolute value of a standard logistic variable, `2 ln 2`.
const LOGISTIC_DEVIATION: f64 = 1.386_294_361_119_890_6;

/// Deviation, in scales, at which the effect of one reply on the centre is clipped.
const CLIP_SCALES: f64 = 4.0;

/// Share of replies beyond [`TAIL_DEVIATION`] in a healthy service.
pub(crate) const TAIL_SHARE: f64 = 0.02;

/// Deviation, in scales, from which a reply belongs to the tail: about 3.5 times the usual latency
/// at an ordinary scale of 0.28.
pub(crate) const TAIL_DEVIATION: f64 = 4.5;

/// Running centre and scale of log latency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyBaseline {
    centre: f64,
    scale: f64,
    observed: u32,
}

impl LatencyBaseline {
    const fn new() -> Self {
        Self {
            centre: 0.0,
            scale: 0.35,
            observed: 0,
        }
    }

    /// Returns whether enough replies were observed to score others.
    pub(crate) const fn ready(&self) -> bool {
        self.observed >= READY_REPLIES
    }

    /// Returns the deviation of a latency from the centre, in scales.
    pub(crate) fn deviation(&self, latency: Duration) -> f64 {
        (log_latency(latency) - self.centre) / self.scale
    }

    /// Returns the scale of log latency.
    pub(crate) const fn scale(&self) -> f64 {
        self.scale
    }

    /// Returns the latency at a deviation, given in scales.
    pub(crate) fn latency_at(&self, deviation: f64) -> Duration {
        Duration::from_secs_f64(
            (self.centre + deviation * self.scale)
                .clamp(-14.0, 10.0)
                .exp(),
        )
    }

    fn learn(&mut self, latency: Duration, rate_factor: f64) {
        let value = log_latency(latency);
        if self.observed == 0 {
            self.centre = value;
            self.observed = 1;
            return;
        }
        let count = f64::from(self.observed.min(1_000));
        let step = (1.0 / (count + 1.0)).clamp(LATENCY_STEP * rate_factor, MAX_INITIAL_STEP);
        let limit = CLIP_SCALES * self.scale;
        let gap = (value - self.centre).clamp(-limit, limit);
        self.centre += step * gap;
        let spread = gap.abs() / LOGISTIC_DEVIATION;
        self.scale = (self.scale + step * (spread - self.scale)).clamp(MIN_SCALE, MAX_SCALE);
        self.observed = self.observed.saturating_add(1);
    }
}

/// Returns the natural logarithm of a latency in seconds; latencies below one microsecond count as
/// one.
fn log_latency(latency: Duration) -> f64 {
    latency.as_secs_f64().max(1e-6).ln()
}

/// Baselines of one service.
#[derive(Clone, Debug)]
pub(crate) struct PoolBaseline {
    /// Latency as measured by this node as a caller.
    pub(crate) latency: LatencyBaseline,
    /// Time in the backend server, as measured by the upstream's node.
    pub(crate) service: LatencyBaseline,
    shares: [f64; KIND_COUNT],
}

impl PoolBaseline {
    pub(crate) const fn new() -> Self {
        Self {
            latency: LatencyBaseline::new(),
            service: LatencyBaseline::new(),
            shares: [0.0; KIND_COUNT],
        }
    }

    /// Returns the latency baseline for a view.
    pub(crate) const fn of(&self, view: EvidenceView) -> &LatencyBaseline {
        match view {
            EvidenceView::Caller => &self.latency,
            EvidenceView::Beside => &self.service,
        }
    }

    /// Returns whether enough replies were observed to score a view.
    pub(crate) const fn ready(&self, view: EvidenceView) -> bool {
        self.of(view).ready()
    }

    /// Returns the usual share of bad replies of a kind, at least `lowest`.
    pub(crate) fn share(&self, kind: ScoreKind, lowest: f64) -> f64 {
        self.shares[kind as usize].max(lowest)
    }

    /// Updates the share of bad replies of a kind. `rate_factor` above one discounts old replies
    /// faster.
    pub(crate) fn learn_share(&mut self, kind: ScoreKind, bad: bool, rate_factor: f64) {
        let share = &mut self.shares[kind as usize];
        *share += SHARE_STEP * rate_factor * (f64::from(u8::from(bad)) - *share);
    }

    /// Updates the latency averages. `rate_factor` above one discounts old replies faster.
    pub(crate) fn learn_latency(
        &mut self,
        latency: Duration,
        service: Option<Duration>,
        rate_factor: f64,
    ) {
        self.latency.learn(latency, rate_factor);
        if let Some(service) = service {
            self.service.learn(service, rate_factor);
        }
    }
}
