//! Concurrency limit of one backend server, learned from its own run times.
//!
//! ```text
//! run ends ─▶ (concurrency over its time, run time / mean of its kind) ─▶ period of 10 s
//! periods  ─▶ growth curve: run time as a function of the number of concurrent runs
//! curve    ─▶ runs per second at n concurrent runs: n / growth(n) ─▶ limit
//! ```
//!
//! The curve is fitted within periods: each period has a level of its own. Otherwise a server that
//! becomes slower at all concurrencies would seem to grow slower with concurrency, because its runs
//! also overlap more.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::admission::WorkId;

/// Interval between two decisions on the limit.
const DECISION_INTERVAL: Duration = Duration::from_secs(5);
/// Duration of a period with a level of its own. It contains two decisions, so that a trial is
/// compared with the time before it.
const PERIOD: Duration = Duration::from_secs(10);
/// Number of periods that count. A server that has recovered is judged by its former run times for two
/// and a half minutes.
const MAX_PERIODS: usize = 15;
/// Minimum number of periods for a decrease: the two that are left out in turn, and three others.
const MIN_PERIODS: usize = 5;
/// Minimum number of samples of a period. A period with fewer is discarded.
const MIN_PERIOD_SAMPLES: f64 = 10.0;
/// Minimum number of samples since the last decision for an increase.
const MIN_TRIAL_SAMPLES: u32 = 5;
/// Maximum share of a period's runs that are no samples. A period with more is discarded, because
/// the server has probably failed before its breaker found it failing.
const MAX_EXCLUDED_SHARE: f64 = 0.2;
/// Factor of replies per second that justifies a decrease.
const MIN_GAIN: f64 = 1.05;
/// Minimum gain of a trial, as a fraction of the gain of a server whose run times do not grow.
const MIN_TRIAL_GAIN: f64 = 0.5;
/// Standard errors by which a gain must differ from zero. With 2.5, a server with steep growth keeps a
/// limit of two slots too many for several minutes.
const CONFIDENCE: f64 = 2.0;
/// Interval between the first two probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(15);
/// Longest interval between two probes. They then take 0.3% of the capacity.
const MAX_PROBE_INTERVAL: Duration = Duration::from_mins(8);
/// Minimum share of the time since the last decision in which work waited, for a probe. Below one, so
/// that a queue which is empty for moments does not prevent probes.
const MIN_WAITING_SHARE: f64 = 0.75;
/// The inverse of the share of the slots that a probe closes.
const PROBE_DIVISOR: u32 = 4;
/// Largest absolute logarithm of a ratio. Bounds the influence of the rare runs that take seven
/// times the mean.
const MAX_LOG_RATIO: f64 = 1.2;
/// Logarithm of a ratio below which a run is no sample. Regular runs are not five times faster than
/// the mean of their kind; errors are.
const MIN_LOG_RATIO: f64 = -1.6;
/// Lowest weight of a run in the mean of its kind. The mean must not follow the changes of
/// concurrency within a minute, because these are what the curve describes.
const MIN_MEAN_WEIGHT: f64 = 1.0 / 512.0;
/// Maximum number of kinds with a mean of their own; all others share one.
const MAX_KINDS: usize = 64;
/// Key of the mean that further kinds share.
const OTHER_KIND: u64 = u64::MAX;
/// Number of terms of the curve.
const TERMS: usize = 4;
/// Fractions of the slots at which the slope of the curve may change.
const KNOTS: [f64; TERMS] = [0.0, 0.5, 2.0 / 3.0, 5.0 / 6.0];
/// Penalty on the slopes, which keeps the curve flat where there are no samples.
const SLOPE_PENALTY: f64 = 0.05;

type Terms = [f64; TERMS];
type TermMatrix = [Terms; TERMS];

/// End of a run at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server replied without an error while its breaker considered it healthy.
    Served,
    /// Any other end: an error, no reply, a cancellation, or a server that its breaker does not
    /// consider healthy. The run time is not used.
    Excluded,
}

/// Cause of a change of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitCause {
    /// Fewer concurrent runs yield more runs per second.
    Decrease,
    /// The limit was moved by one to see what it yields.
    Trial,
    /// The trial or probe before yielded too little, or has ended.
    TrialEnd,
    /// All slots were open, and fewer are tried for one interval.
    Probe,
}

impl LimitCause {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Decrease => "decrease",
            Self::Trial => "trial",
            Self::TrialEnd => "trial-end",
            Self::Probe => "probe",
        }
    }
}

/// Change of a concurrency limit, and what it was decided from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Number of concurrent runs allowed before; for a decrease, before the trial or probe that led
    /// to it.
    pub from: u32,
    /// Number of concurrent runs allowed from now on.
    pub to: u32,
    /// Cause of the change.
    pub cause: LimitCause,
    /// Mean number of concurrent runs since the decision before.
    pub concurrency: f64,
    /// Mean run time of the samples since the decision before; zero without samples.
    pub mean_run: Duration,
    /// Number of samples since the decision before.
    pub samples: u32,
    /// Factor by which runs per second at the new limit are expected to exceed those at the former.
    pub gain: f64,
    /// Standard error of the logarithm of the gain.
    pub gain_error: f64,
}

/// Concurrency limit of one backend server.
///
/// The limit lies between half of the slots, rounded up, and all slots. It decreases to the
/// concurrency with the most runs per second if that yields at least a twentieth more. Every five
/// seconds in which the server was at its limit, it increases by one as a trial. With few samples it
/// does not change.
///
/// All times are durations since the start of the daemon.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: u32,
    /// Limit without the present trial.
    confirmed: u32,
    runs: BTreeMap<WorkId, OpenRun>,
    /// Integrals of the terms of the curve over time, in seconds.
    term_seconds: Terms,
    counted_at: Duration,
    means: BTreeMap<u64, KindMean>,
    period: GrowthPeriod,
    period_ends: Duration,
    periods: VecDeque<GrowthPeriod>,
    next_decision: Duration,
    decided_at: Duration,
    /// Value of the first of `term_seconds` at the last decision.
    decided_use: f64,
    trial_samples: u32,
    /// Run time of the samples since the last decision.
    trial_time: Duration,
    reached_limit: bool,
    /// Whether the last increase was not kept and no lower limit was tried since.
    trial_failed: bool,
    /// Times of the probes; `None` without probes.
    probe: Option<ProbeTimes>,
    /// Since when work waits for a slot.
    waiting_since: Option<Duration>,
    /// Earlier time since the last decision in which work waited.
    waited: Duration,
    /// The latest change, until it is taken.
    change: Option<LimitChange>,
}

/// Times at which the limit is lowered for one decision interval without evidence.
#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    next: Duration,
    interval: Duration,
}

impl ProbeTimes {
    fn after(now: Duration) -> Self {
        Self {
            next: now + MIN_PROBE_INTERVAL,
            interval: MIN_PROBE_INTERVAL,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenRun {
    /// Hash of the route; `None` if the concurrency over the time of the run is not known.
    kind: Option<u64>,
    started: Duration,
    term_seconds: Terms,
}

/// Mean of the logarithms of the run times of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindMean {
    log_seconds: f64,
    samples: f64,
}

impl KindMean {
    fn add(&mut self, log_seconds: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_MEAN_WEIGHT);
        self.log_seconds += (log_seconds - self.log_seconds) * weight;
    }
}

/// Sums over the samples of one period.
#[derive(Clone, Copy, Debug, Default)]
struct GrowthPeriod {
    samples: f64,
    excluded: f64,
    terms: Terms,
    log_ratio: f64,
    squares: TermMatrix,
    products: Terms,
    log_ratio_square: f64,
}

impl GrowthPeriod {
    fn add(&mut self, terms: &Terms, log_ratio: f64) {
        self.samples += 1.0;
        self.log_ratio += log_ratio;
        self.log_ratio_square += log_ratio * log_ratio;
        for (row, term) in terms.iter().enumerate() {
            self.terms[row] += term;
            self.products[row] += term * log_ratio;
            for (column, other) in terms.iter().enumerate() {
                self.squares[row][column] += term * other;
            }
        }
    }

    fn is_usable(&self) -> bool {
        let excluded = self.excluded / (self.samples + self.excluded).max(1.0);
        self.samples >= MIN_PERIOD_SAMPLES && excluded <= MAX_EXCLUDED_SHARE
    }

    /// Returns the sums of squares and products about the means of the period.
    fn centered(mut self) -> Self {
        for row in 0..TERMS {
            self.products[row] -= self.terms[row] * self.log_ratio / self.samples;
            for column in 0..TERMS {
                self.squares[row][column] -= self.terms[row] * self.terms[column] / self.samples;
            }
        }
        self.log_ratio_square -= self.log_ratio * self.log_ratio / self.samples;
        self
    }
}

/// Growth of the run time with the number of concurrent runs.
#[derive(Clone, Copy, Debug)]
struct GrowthCurve {
    slopes: Terms,
    /// Covariance of the slopes.
    covariance: TermMatrix,
}

impl GrowthCurve {
    /// Fits the curve to centered periods.
    fn fit<'a>(periods: impl Iterator<Item = &'a GrowthPeriod>) -> Self {
        let mut squares: TermMatrix = Default::default();
        let mut products: Terms = Default::default();
        let (mut total, mut samples) = (0.0, 0.0);
        for period in periods {
            total += period.log_ratio_square;
            samples += period.samples - 1.0;
            for row in 0..TERMS {
                products[row] += period.products[row];
                for (sum, value) in squares[row].iter_mut().zip(period.squares[row]) {
                    *sum += value;
                }
            }
        }
        for (row, values) in squares.iter_mut().enumerate() {
            values[row] += SLOPE_PENALTY;
        }
        let inverse = invert(squares);
        let slopes = inverse.map(|row| dot(&row, &products));
        let variance = (total - dot(&slopes, &products)).max(0.0) / f64::max(samples, 1.0);
        Self {
            slopes,
            covariance: inverse.map(|row| row.map(|value| value * variance)),
        }
    }

    /// Returns the logarithm of the factor by which runs per second at `to` concurrent runs exceed
    /// those at `from`, and its standard error.
    fn gain(&self, slots: u32, from: u32, to: u32) -> (f64, f64) {
        let (from, to) = (f64::from(from), f64::from(to));
        let (at_from, at_to) = (curve_terms(slots, from), curve_terms(slots, to));
        let mut change = at_from;
        for (value, term) in change.iter_mut().zip(at_to) {
            *value -= term;
        }
        let gain = (to / from).ln() + dot(&change, &self.slopes);
        let spread = self.covariance.map(|row| dot(&row, &change));
        (gain, dot(&change, &spread).max(0.0).sqrt())
    }
}

fn dot(left: &Terms, right: &Terms) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}

/// Returns the terms of the curve at a number of concurrent runs.
fn curve_terms(slots: u32, runs: f64) -> Terms {
    let used = runs / f64::from(slots);
    KNOTS.map(|knot| (used - knot).max(0.0))
}

/// Inverts a symmetric positive definite matrix by Gauss-Jordan elimination.
fn invert(mut matrix: TermMatrix) -> TermMatrix {
    let mut inverse: TermMatrix = Default::default();
    for (row, values) in inverse.iter_mut().enumerate() {
        values[row] = 1.0;
    }
    for pivot in 0..TERMS {
        let scale = 1.0 / matrix[pivot][pivot];
        matrix[pivot] = matrix[pivot].map(|value| value * scale);
        inverse[pivot] = inverse[pivot].map(|value| value * scale);
        let (matrix_pivot, inverse_pivot) = (matrix[pivot], inverse[pivot]);
        for row in (0..TERMS).filter(|row| *row != pivot) {
            let factor = matrix[row][pivot];
            for column in 0..TERMS {
                matrix[row][column] -= factor * matrix_pivot[column];
                inverse[row][column] -= factor * inverse_pivot[column];
            }
        }
    }
    inverse
}

impl ConcurrencyLimit {
    /// Creates a limit of all slots. At least one slot is assumed.
    #[must_use]
    pub fn new(now: Duration, slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: slots,
            confirmed: slots,
            runs: BTreeMap::new(),
            term_seconds: Terms::default(),
            counted_at: now,
            means: BTreeMap::new(),
            period: GrowthPeriod::default(),
            period_ends: now + PERIOD,
            periods: VecDeque::new(),
            next_decision: now + DECISION_INTERVAL,
            decided_at: now,
            decided_use: 0.0,
            trial_samples: 0,
            trial_time: Duration::ZERO,
            reached_limit: false,
            trial_failed: false,
            probe: None,
            waiting_since: Some(now),
            waited: Duration::ZERO,
            change: None,
        }
    }

    /// Enables probes: while the server is at all of its slots, the limit is lowered by a quarter of
    /// the slots for five seconds, first after 15 seconds and then at intervals that double up to
    /// eight minutes. They stay at 15 seconds while the run times so far suggest a gain.
    ///
    /// Without probes, a server that is always full shows how its run times grow only after its load
    /// has varied.
    #[must_use]
    pub fn with_probes(mut self, now: Duration) -> Self {
        self.probe = Some(ProbeTimes::after(now));
        self
    }

    /// Forgets everything for a new incarnation of the server with this number of slots. Runs of
    /// the former incarnation are no longer counted.
    pub fn restart(&mut self, now: Duration, slots: u32) {
        let probes = self.probe.is_some();
        *self = Self::new(now, slots);
        self.probe = probes.then(|| ProbeTimes::after(now));
    }

    /// Continues after a time in which the runs of the server were not counted. Open runs, the
    /// present period and a present trial are dropped; periods, mean run times and the limit are
    /// kept.
    pub fn resume(&mut self, now: Duration) {
        self.runs.clear();
        self.counted_at = now;
        self.period = GrowthPeriod::default();
        self.period_ends = now + PERIOD;
        self.limit = self.confirmed;
        self.start_interval(now);
        self.reached_limit = false;
    }

    /// Sets whether work waits for a slot; assumed before the first call. A probe starts only if work
    /// waited for most of the time since the decision before.
    pub fn set_waiting(&mut self, now: Duration, waits: bool) {
        if let Some(since) = self.waiting_since.filter(|_| !waits) {
            self.waited += now.saturating_sub(since);
        }
        self.waiting_since = waits.then_some(self.waiting_since.unwrap_or(now));
    }

    /// Returns whether work waited for most of the time since the last decision.
    fn has_waited(&self, now: Duration) -> bool {
        let since = self.waiting_since.unwrap_or(now);
        let waited = self.waited + now.saturating_sub(since);
        waited
            >= now
                .saturating_sub(self.decided_at)
                .mul_f64(MIN_WAITING_SHARE)
    }

    /// Removes and returns the latest change of the limit.
    pub const fn take_change(&mut self) -> Option<LimitChange> {
        self.change.take()
    }

    /// Returns the number of slots of the server.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the maximum number of concurrent runs.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of runs that were started and have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Counts the start of a run. `kind` is the hash of the route.
    pub fn started(&mut self, now: Duration, work: WorkId, kind: u64) {
        self.add_run(now, work, Some(kind));
    }

    /// Counts a run that started at an unknown concurrency. Its run time is no sample.
    pub fn adopted(&mut self, now: Duration, work: WorkId) {
        self.add_run(now, work, None);
    }

    fn add_run(&mut self, now: Duration, work: WorkId, kind: Option<u64>) {
        self.count_until(now);
        let run = OpenRun {
            kind,
            started: now,
            term_seconds: self.term_seconds,
        };
        self.runs.insert(work, run);
        self.reached_limit |= self.runs.len() >= self.limit as usize;
    }

    /// Counts the end of a run. An unknown run is ignored, and one that ended at the time of its
    /// start, since it was withdrawn before it ran.
    pub fn ended(&mut self, now: Duration, work: WorkId, end: RunEnd) {
        self.tick(now);
        self.count_until(now);
        let Some(run) = self.runs.remove(&work) else {
            return;
        };
        let time = now.saturating_sub(run.started);
        let Some(kind) = run.kind.filter(|_| !time.is_zero()) else {
            return;
        };
        if end == RunEnd::Excluded {
            self.period.excluded += 1.0;
            return;
        }
        let seconds = time.as_secs_f64();
        let mut terms = self.term_seconds;
        for (term, before) in terms.iter_mut().zip(run.term_seconds) {
            *term = (*term - before) / seconds;
        }
        let mean = self.mean_of(kind);
        let log_ratio = if mean.samples > 0.0 {
            seconds.ln() - mean.log_seconds
        } else {
            0.0
        };
        mean.add(seconds.ln());
        if log_ratio < MIN_LOG_RATIO {
            self.period.excluded += 1.0;
            return;
        }
        let log_ratio = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        self.period.add(&terms, log_ratio);
        self.trial_samples += 1;
        self.trial_time += time;
    }

    /// Decides on the limit if a decision is due. Returns the new limit if it changed.
    pub fn tick(&mut self, now: Duration) -> Option<u32> {
        if now >= self.period_ends {
            self.close_period();
            self.period_ends = now + PERIOD;
        }
        if now < self.next_decision {
            return None;
        }
        self.count_until(now);
        let former = self.limit;
        let mut from = former;
        let curve = GrowthCurve::fit(self.periods.iter());
        self.end_trial(&curve);
        let has_ended = self.limit != former;
        let mut cause = LimitCause::TrialEnd;
        if let Some(limit) = self.better_limit(&curve) {
            from = std::mem::replace(&mut self.confirmed, limit);
            self.limit = limit;
            cause = LimitCause::Decrease;
            if let Some(probe) = &mut self.probe {
                *probe = ProbeTimes::after(now);
            }
        } else if !has_ended && self.reached_limit && self.trial_samples >= MIN_TRIAL_SAMPLES {
            cause = self.start_trial(now, &curve);
        }
        if self.limit != former || cause == LimitCause::Decrease {
            self.change = Some(self.change_from(now, from, cause, &curve));
        }
        self.start_interval(now);
        (self.limit != former).then_some(self.limit)
    }

    fn change_from(
        &self,
        now: Duration,
        from: u32,
        cause: LimitCause,
        curve: &GrowthCurve,
    ) -> LimitChange {
        let (gain, gain_error) = curve.gain(self.slots, from, self.limit);
        let elapsed = now.saturating_sub(self.decided_at).as_secs_f64();
        let used = (self.term_seconds[0] - self.decided_use) / elapsed.max(f64::MIN_POSITIVE);
        LimitChange {
            from,
            to: self.limit,
            cause,
            concurrency: used * f64::from(self.slots),
            mean_run: self.trial_time / self.trial_samples.max(1),
            samples: self.trial_samples,
            gain: gain.exp(),
            gain_error,
        }
    }

    fn start_interval(&mut self, now: Duration) {
        self.next_decision = now + DECISION_INTERVAL;
        self.decided_at = now;
        self.decided_use = self.term_seconds[0];
        self.trial_samples = 0;
        self.trial_time = Duration::ZERO;
        self.waiting_since = self.waiting_since.map(|_| now);
        self.waited = Duration::ZERO;
        // Runs that continue occupy the limit without another start.
        self.reached_limit = self.runs.len() >= self.limit as usize;
    }

    /// Keeps the limit of a trial that yields enough more runs per second. Returns to the former
    /// limit otherwise, and after a probe.
    fn end_trial(&mut self, curve: &GrowthCurve) {
        if self.limit > self.confirmed {
            let ideal = (f64::from(self.limit) / f64::from(self.confirmed)).ln();
            let (gain, _) = curve.gain(self.slots, self.confirmed, self.limit);
            self.trial_failed = gain <= ideal * MIN_TRIAL_GAIN;
            if !self.trial_failed {
                self.confirmed = self.limit;
            }
        }
        self.limit = self.confirmed;
    }

    /// Increases the limit by one, or probes a lower one when all slots are open.
    ///
    /// After an increase that was not kept, the next trial is one below the limit. Otherwise a limit
    /// that is too high by two would stay, since nothing shows how the server runs below it.
    fn start_trial(&mut self, now: Duration, curve: &GrowthCurve) -> LimitCause {
        if self.limit < self.slots {
            if std::mem::take(&mut self.trial_failed) && self.limit > self.slots.div_ceil(2) {
                self.limit -= 1;
            } else {
                self.limit += 1;
            }
            return LimitCause::Trial;
        }
        let has_waited = self.has_waited(now);
        let probe = self.probe.as_mut().filter(|_| has_waited);
        let Some(probe) = probe.filter(|probe| now >= probe.next) else {
            return LimitCause::Trial;
        };
        let lowest = self.slots.div_ceil(2);
        let probed = (self.slots - self.slots.div_ceil(PROBE_DIVISOR)).max(lowest);
        probe.interval = if curve.gain(self.slots, self.slots, probed).0 >= MIN_GAIN.ln() {
            MIN_PROBE_INTERVAL
        } else {
            (probe.interval * 2).min(MAX_PROBE_INTERVAL)
        };
        probe.next = now + probe.interval;
        self.limit = probed;
        LimitCause::Probe
    }

    /// Returns the lower concurrency with the most runs per second, if there is evidence of a
    /// sufficient gain.
    ///
    /// The evidence must hold without any two successive periods. A change of the whole server, such
    /// as its warm-up, changes run times and concurrency together in one or two periods.
    fn better_limit(&self, curve: &GrowthCurve) -> Option<u32> {
        if self.periods.len() < MIN_PERIODS {
            return None;
        }
        let lowest = self.slots.div_ceil(2);
        let gain = |to: u32| curve.gain(self.slots, self.limit, to).0;
        let best = (lowest..self.limit).max_by(|a, b| gain(*a).total_cmp(&gain(*b)))?;
        let (total_gain, error) = curve.gain(self.slots, self.limit, best);
        let holds_without = |left_out: usize| {
            let kept = self.periods.iter().enumerate();
            let kept = kept.filter(|(index, _)| !(left_out..left_out + 2).contains(index));
            let curve = GrowthCurve::fit(kept.map(|(_, period)| period));
            curve.gain(self.slots, self.limit, best).0 >= MIN_GAIN.ln()
        };
        let holds = total_gain >= MIN_GAIN.ln().max(error * CONFIDENCE)
            && (0..self.periods.len() - 1).all(holds_without);
        holds.then_some(best)
    }

    fn close_period(&mut self) {
        let period = std::mem::take(&mut self.period);
        if period.is_usable() {
            self.periods.push_back(period.centered());
        }
        if self.periods.len() > MAX_PERIODS {
            self.periods.pop_front();
        }
    }

    fn count_until(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        let running = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        let terms = curve_terms(self.slots, f64::from(running));
        for (sum, term) in self.term_seconds.iter_mut().zip(terms) {
            *sum += elapsed * term;
        }
        self.counted_at = self.counted_at.max(now);
    }

    fn mean_of(&mut self, kind: u64) -> &mut KindMean {
        let is_other = self.means.len() >= MAX_KINDS && !self.means.contains_key(&kind);
        let key = if is_other { OTHER_KIND } else { kind };
        self.means.entry(key).or_default()
    }
}
