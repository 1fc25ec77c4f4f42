//! From typed samples to scores.

use std::time::Duration;

use sycamorelink_core::UpstreamId;

use crate::baseline::{TAIL_MARK, TAIL_SHARE};
use crate::flight::FlightCredit;
use crate::pool::ServicePool;
use crate::record::EvidenceView;
use crate::sample::{LoadHint, SampleKind, UpstreamSample};
use crate::score::{ScoreKind, finished_ratio, pending_ratio, share_ratio};

/// Losses within this time of the first are one event: when a backend server ends, all of its
/// requests in flight are lost together, which says no more than one loss.
const COLLATERAL: Duration = Duration::from_secs(1);

/// How long a refusal counts as a full upstream.
const REFUSAL_HOLD: Duration = Duration::from_millis(50);

/// Weight of one attempt in the running share of refused ones.
const REFUSAL_STEP: f64 = 0.02;

/// Share of late replies that the tail test looks for.
const TAIL_SICK: f64 = 0.25;

/// Part of a wait, as a caller sees it, that counts: the rest may be a queue, which is load.
const WAIT_SHARE: f64 = 0.5;

/// Lasting deviation that is taken as an upstream's own, in nats of latency: a quarter more.
const OFFSET_MAX: f64 = 0.223;

/// Weight of one reply in an upstream's lasting deviation.
const OFFSET_STEP: f64 = 0.002;

/// Haste of the baseline while the cause is shared: what is usual has just changed.
const SHARED_HASTE: f64 = 10.0;

impl ServicePool {
    /// Notes that an attempt was sent.
    pub fn sent(&mut self, now: Duration, id: UpstreamId) {
        if let Some(&place) = self.index.get(&id) {
            self.records[place].flights.add(now);
        }
    }

    /// Notes that an attempt took a slot of the upstream beside this node, whoever sent it.
    pub fn started_here(&mut self, now: Duration, id: UpstreamId) {
        if let Some(&place) = self.index.get(&id) {
            self.records[place]
                .flights_of(EvidenceView::Beside)
                .add(now);
        }
    }

    /// Notes the load beside an upstream, from whatever message brought it.
    pub fn hint(&mut self, now: Duration, id: UpstreamId, hint: LoadHint) {
        if let Some(&place) = self.index.get(&id) {
            self.records[place].hint = Some((now, hint));
        }
    }

    /// Notes how an attempt that this node sent ended.
    pub fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        let Some(&place) = self.index.get(&id) else {
            return;
        };
        let sent = now.saturating_sub(sample.latency);
        let cap = self.score_cap();
        let record = &mut self.records[place];
        let credited = record.flights.finish(sent);
        if let Some(hint) = sample.load {
            record.hint = Some((now, hint));
        }
        let refused = sample.kind == SampleKind::Refused;
        if refused {
            record.refused_until = now + REFUSAL_HOLD;
        }
        self.refused_share += REFUSAL_STEP * (f64::from(u8::from(refused)) - self.refused_share);
        if sample.kind == SampleKind::Served {
            record.refund_spent = false;
        }
        let replaced = record.replaced_at.is_some_and(|replaced| sent <= replaced);
        let void = sample.excused || (replaced && sample.kind != SampleKind::Served);
        if void {
            record.add(
                EvidenceView::Caller,
                ScoreKind::Slow,
                -credited.evidence,
                cap,
            );
        } else {
            self.judge_sample(now, place, EvidenceView::Caller, sample, credited);
        }
        self.records[place].combine();
        self.weigh(now, place);
    }

    /// Notes how an attempt ended that ran on the upstream beside this node, whoever sent it. The
    /// sample's latency is the time in the slot.
    pub fn ended_here(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        let Some(&place) = self.index.get(&id) else {
            return;
        };
        let cap = self.score_cap();
        let record = &mut self.records[place];
        let credited = record
            .flights_of(EvidenceView::Beside)
            .finish(now.saturating_sub(sample.latency));
        record.samples = record.samples.saturating_add(1);
        if sample.excused {
            record.add(
                EvidenceView::Beside,
                ScoreKind::Slow,
                -credited.evidence,
                cap,
            );
        } else {
            self.judge_sample(now, place, EvidenceView::Beside, sample, credited);
        }
        self.records[place].combine();
        self.weigh(now, place);
    }

    fn judge_sample(
        &mut self,
        now: Duration,
        place: usize,
        view: EvidenceView,
        sample: &UpstreamSample,
        credited: FlightCredit,
    ) {
        match sample.kind {
            // It ended before it was late or not, so the evidence for its age stays as it is.
            SampleKind::Cancelled => return,
            SampleKind::Served | SampleKind::Failed => {
                let failed = sample.kind == SampleKind::Failed;
                self.judge_shares(place, view, failed.then_some(ScoreKind::Failing));
                self.judge_latency(now, place, view, sample, credited);
                return;
            }
            SampleKind::Refused => {}
            SampleKind::Wrong => self.judge_shares(place, view, Some(ScoreKind::Wrong)),
            SampleKind::Silent => self.judge_shares(place, view, Some(ScoreKind::Silent)),
            SampleKind::Crashed => self.judge_loss(now, place, view, ScoreKind::Failing),
            SampleKind::ConnectionLost => self.judge_loss(now, place, view, ScoreKind::Silent),
        }
        // It counts as what it was, no longer by its age.
        let cap = self.score_cap();
        self.records[place].add(view, ScoreKind::Slow, -credited.evidence, cap);
    }

    /// Counts a loss unless it comes with another one.
    fn judge_loss(&mut self, now: Duration, place: usize, view: EvidenceView, kind: ScoreKind) {
        let record = &mut self.records[place];
        let last = match view {
            EvidenceView::Caller => &mut record.lost_at,
            EvidenceView::Beside => &mut record.lost_here_at,
        };
        if last.is_some_and(|last| now.saturating_sub(last) < COLLATERAL) {
            return;
        }
        *last = Some(now);
        self.judge_shares(place, view, Some(kind));
    }

    /// Counts a reply under the tests for shares of bad replies.
    fn judge_shares(&mut self, place: usize, view: EvidenceView, bad: Option<ScoreKind>) {
        let (usual, sick) = (self.settings.usual_rate, self.settings.sick_rate);
        for kind in [ScoreKind::Failing, ScoreKind::Wrong, ScoreKind::Silent] {
            self.judge_share(place, view, kind, bad == Some(kind), usual, sick);
        }
    }

    fn judge_share(
        &mut self,
        place: usize,
        view: EvidenceView,
        kind: ScoreKind,
        bad: bool,
        lowest: f64,
        sick: f64,
    ) {
        let usual = self.baseline.share(kind, lowest).min(sick * 0.8);
        let cap = self.score_cap();
        let trusted = self.is_trusted(place);
        let record = &mut self.records[place];
        if bad || record.view(view)[kind as usize] > 0.0 {
            record.add(view, kind, share_ratio(bad, usual, sick), cap);
        }
        if trusted && view == EvidenceView::Caller {
            let haste = self.haste();
            self.baseline.learn_share(kind, bad, haste);
        }
    }

    /// Whether an upstream's replies may teach what is usual. A sick one must not; when the cause
    /// is shared, all of them do, or nothing would ever be usual again.
    fn is_trusted(&self, place: usize) -> bool {
        self.shared || self.records[place].suspicion < self.settings.shift_from
    }

    const fn haste(&self) -> f64 {
        if self.shared { SHARED_HASTE } else { 1.0 }
    }

    fn judge_latency(
        &mut self,
        now: Duration,
        place: usize,
        view: EvidenceView,
        sample: &UpstreamSample,
        credited: FlightCredit,
    ) {
        let cap = self.score_cap();
        if self.warming(now, place) {
            self.records[place].add(view, ScoreKind::Slow, -credited.evidence, cap);
            return;
        }
        let trusted = self.is_trusted(place);
        if trusted && view == EvidenceView::Caller {
            let haste = self.haste();
            self.baseline
                .learn_latency(sample.latency, sample.service_time, haste);
        }
        if !self.baseline.ready(view) {
            return;
        }
        let (x, scale) = match view {
            EvidenceView::Caller => self.deviation(sample),
            EvidenceView::Beside => {
                let service = sample.service_time.unwrap_or(sample.latency);
                let baseline = &self.baseline.service;
                (baseline.deviation(service), baseline.scale())
            }
        };
        let record = &mut self.records[place];
        let judged = x - record.offset / scale;
        if trusted {
            let gap = (x * scale).clamp(-1.0, 1.0) - record.offset;
            record.offset = (record.offset + OFFSET_STEP * gap).clamp(-OFFSET_MAX, OFFSET_MAX);
        }
        let shift = self.settings.slow_ratio.ln() / scale;
        let news = finished_ratio(judged, shift) - credited.evidence;
        record.add_slow(now, view, news, cap);
        if !credited.late {
            self.judge_tail(place, view, judged > TAIL_MARK);
        }
    }

    /// Counts a reply, or a request that is late before it ends, under the test for the tail.
    pub(crate) fn judge_tail(&mut self, place: usize, view: EvidenceView, late: bool) {
        self.judge_share(place, view, ScoreKind::Tail, late, TAIL_SHARE, TAIL_SICK);
    }

    /// Takes back what was counted for requests that were late through no fault of the upstream.
    pub(crate) fn take_back_late(&mut self, place: usize, view: EvidenceView, late: u32) {
        let usual = self.baseline.share(ScoreKind::Tail, TAIL_SHARE);
        let ratio = share_ratio(true, usual.min(TAIL_SICK * 0.8), TAIL_SICK);
        let cap = self.score_cap();
        self.records[place].add(view, ScoreKind::Tail, -ratio * f64::from(late), cap);
    }

    /// The age at which a request counts as late.
    pub(crate) fn late_after(&self, view: EvidenceView, offset: f64) -> Duration {
        let baseline = self.baseline.of(view);
        let usual = baseline.latency_at(TAIL_MARK + offset / baseline.scale());
        match view {
            EvidenceView::Caller => usual.div_f64(WAIT_SHARE),
            EvidenceView::Beside => usual,
        }
    }

    /// Deviation of a reply from what is usual, in scales, and the scale.
    ///
    /// While the upstream has a queue the wait is its load and not its fault, so only the time in
    /// the backend server counts. Otherwise a late reply counts against it even if the time
    /// measured beside it looks well: that measure may itself be part of what fails.
    fn deviation(&self, sample: &UpstreamSample) -> (f64, f64) {
        let Some(service) = sample.service_time else {
            let baseline = &self.baseline.latency;
            return (baseline.deviation(sample.latency), baseline.scale());
        };
        let scale = self.baseline.service.scale();
        let inside = self.baseline.service.deviation(service);
        let busy = sample
            .load
            .is_none_or(|hint| hint.queued > 0 || hint.in_use >= hint.slots);
        if busy {
            return (inside, scale);
        }
        let outside = sample.latency.saturating_sub(service).as_secs_f64();
        let usual = self.baseline.service.latency_at(0.0).as_secs_f64();
        let excess = (outside / usual * WAIT_SHARE).max(1e-3).ln() / scale;
        (inside.max(excess), scale)
    }

    /// Ratio for an attempt of this age that has not ended.
    pub(crate) fn age_ratio(&self, view: EvidenceView, offset: f64, age: Duration) -> f64 {
        let baseline = self.baseline.of(view);
        let age = match view {
            EvidenceView::Caller => age.mul_f64(WAIT_SHARE),
            EvidenceView::Beside => age,
        };
        let x = baseline.deviation(age) - offset / baseline.scale();
        let shift = self.settings.slow_ratio.ln() / baseline.scale();
        pending_ratio(x, shift)
    }

    /// Whether an upstream is too young to be judged by its latency.
    pub(crate) fn warming(&self, now: Duration, place: usize) -> bool {
        self.records[place]
            .ready_since
            .is_some_and(|since| now.saturating_sub(since) < self.settings.warm_up)
    }
}
