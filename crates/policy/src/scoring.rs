//! Scores from the outcomes of attempts.

use std::time::Duration;

use sycamorelink_core::UpstreamId;

use crate::baseline::{TAIL_DEVIATION, TAIL_SHARE};
use crate::flight::FlightCredit;
use crate::pool::ServicePool;
use crate::record::EvidenceView;
use crate::sample::{LoadHint, SampleKind, UpstreamSample};
use crate::score::{ScoreKind, finished_ratio, pending_ratio, share_ratio};

/// Time within which further losses count as one event: when a backend server ends, all of its
/// requests in flight are lost together, which is no more evidence than one loss.
const LOSS_WINDOW: Duration = Duration::from_secs(1);

/// Time for which an upstream counts as full after a refusal.
const REFUSAL_HOLD: Duration = Duration::from_millis(50);

/// Weight of one attempt in the running share of refused attempts.
const REFUSAL_STEP: f64 = 0.02;

/// Share of late replies of a faulty upstream in the tail test.
const FAULTY_TAIL_SHARE: f64 = 0.25;

/// Share of the waiting time that counts against an upstream in a caller's view. The rest may be
/// queueing, which is due to load.
const WAIT_WEIGHT: f64 = 0.5;

/// Bound of the lasting deviation that is taken as normal for an upstream, in nats of latency: a
/// quarter more or less.
const MAX_OFFSET: f64 = 0.223;

/// Weight of one reply in an upstream's lasting deviation.
const OFFSET_STEP: f64 = 0.002;

/// Factor of the baseline's learning rate while the cause is shared, because the usual values have
/// just changed.
const SHARED_RATE_FACTOR: f64 = 10.0;

impl ServicePool {
    /// Records that this node sent an attempt to an upstream.
    pub fn sent(&mut self, now: Duration, id: UpstreamId) {
        if let Some(&index) = self.index_by_id.get(&id) {
            self.records[index].flights.add(now);
        }
    }

    /// Records that an attempt from any caller took a slot of an upstream on this node.
    pub fn started_locally(&mut self, now: Duration, id: UpstreamId) {
        if let Some(&index) = self.index_by_id.get(&id) {
            self.records[index]
                .flights_for(EvidenceView::Beside)
                .add(now);
        }
    }

    /// Records a load hint about an upstream, whichever message carried it.
    pub fn hint(&mut self, now: Duration, id: UpstreamId, hint: LoadHint) {
        if let Some(&index) = self.index_by_id.get(&id) {
            self.records[index].hint = Some((now, hint));
        }
    }

    /// Records the outcome of an attempt that this node sent.
    pub fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        let Some(&index) = self.index_by_id.get(&id) else {
            return;
        };
        let sent = now.saturating_sub(sample.latency);
        let cap = self.score_cap();
        let record = &mut self.records[index];
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
            record.reset_used = false;
        }
        let replaced = record
            .connection_replaced_at
            .is_some_and(|replaced| sent <= replaced);
        let ignored = sample.excused || (replaced && sample.kind != SampleKind::Served);
        if ignored {
            record.add(
                EvidenceView::Caller,
                ScoreKind::Slow,
                -credited.evidence,
                cap,
            );
        } else {
            self.score_sample(now, index, EvidenceView::Caller, sample, credited);
        }
        self.records[index].combine();
        self.update_weight(now, index);
    }

    /// Records the outcome of an attempt from any caller that ran on an upstream on this node. The
    /// sample's latency is the time in the slot.
    pub fn ended_locally(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        let Some(&index) = self.index_by_id.get(&id) else {
            return;
        };
        let cap = self.score_cap();
        let record = &mut self.records[index];
        let credited = record
            .flights_for(EvidenceView::Beside)
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
            self.score_sample(now, index, EvidenceView::Beside, sample, credited);
        }
        self.records[index].combine();
        self.update_weight(now, index);
    }

    fn score_sample(
        &mut self,
        now: Duration,
        index: usize,
        view: EvidenceView,
        sample: &UpstreamSample,
        credited: FlightCredit,
    ) {
        match sample.kind {
            // A cancelled attempt has no result, so the evidence for its age stands.
            SampleKind::Cancelled => return,
            SampleKind::Served | SampleKind::Failed => {
                let failed = sample.kind == SampleKind::Failed;
                self.score_error_shares(index, view, failed.then_some(ScoreKind::Failing));
                self.score_latency(now, index, view, sample, credited);
                return;
            }
            SampleKind::Refused => {}
            SampleKind::Wrong => self.score_error_shares(index, view, Some(ScoreKind::Wrong)),
            SampleKind::Silent => self.score_error_shares(index, view, Some(ScoreKind::Silent)),
            SampleKind::Crashed => self.score_loss(now, index, view, ScoreKind::Failing),
            SampleKind::ConnectionLost => self.score_loss(now, index, view, ScoreKind::Silent),
        }
        // The outcome replaces the evidence for the attempt's age.
        let cap = self.score_cap();
        self.records[index].add(view, ScoreKind::Slow, -credited.evidence, cap);
    }

    /// Adds a loss unless it belongs to the same event as the last one.
    fn score_loss(&mut self, now: Duration, index: usize, view: EvidenceView, kind: ScoreKind) {
        let record = &mut self.records[index];
        let last = match view {
            EvidenceView::Caller => &mut record.lost_at,
            EvidenceView::Beside => &mut record.local_lost_at,
        };
        if last.is_some_and(|last| now.saturating_sub(last) < LOSS_WINDOW) {
            return;
        }
        *last = Some(now);
        self.score_error_shares(index, view, Some(kind));
    }

    /// Adds a reply to the scores for shares of bad replies.
    fn score_error_shares(&mut self, index: usize, view: EvidenceView, bad: Option<ScoreKind>) {
        let (usual, sick) = (self.settings.usual_rate, self.settings.sick_rate);
        for kind in [ScoreKind::Failing, ScoreKind::Wrong, ScoreKind::Silent] {
            self.score_share(index, view, kind, bad == Some(kind), usual, sick);
        }
    }

    fn score_share(
        &mut self,
        index: usize,
        view: EvidenceView,
        kind: ScoreKind,
        bad: bool,
        lowest: f64,
        sick: f64,
    ) {
        let usual = self.baseline.share(kind, lowest).min(sick * 0.8);
        let cap = self.score_cap();
        let trusted = self.is_trusted(index);
        let record = &mut self.records[index];
        if bad || record.view(view)[kind as usize] > 0.0 {
            record.add(view, kind, share_ratio(bad, usual, sick), cap);
        }
        if trusted && view == EvidenceView::Caller {
            let rate_factor = self.rate_factor();
            self.baseline.learn_share(kind, bad, rate_factor);
        }
    }

    /// Returns whether an upstream's replies update the baseline. Those of a faulty one don't;
    /// while the cause is shared all of them do, because otherwise the baseline would never adapt.
    fn is_trusted(&self, index: usize) -> bool {
        self.shared || self.records[index].suspicion < self.settings.shift_from
    }

    const fn rate_factor(&self) -> f64 {
        if self.shared { SHARED_RATE_FACTOR } else { 1.0 }
    }

    fn score_latency(
        &mut self,
        now: Duration,
        index: usize,
        view: EvidenceView,
        sample: &UpstreamSample,
        credited: FlightCredit,
    ) {
        let cap = self.score_cap();
        if self.is_warming_up(now, index) {
            self.records[index].add(view, ScoreKind::Slow, -credited.evidence, cap);
            return;
        }
        let trusted = self.is_trusted(index);
        if trusted && view == EvidenceView::Caller {
            let rate_factor = self.rate_factor();
            self.baseline
                .learn_latency(sample.latency, sample.service_time, rate_factor);
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
        let record = &mut self.records[index];
        let adjusted = x - record.offset / scale;
        if trusted {
            let gap = (x * scale).clamp(-1.0, 1.0) - record.offset;
            record.offset = (record.offset + OFFSET_STEP * gap).clamp(-MAX_OFFSET, MAX_OFFSET);
        }
        let shift = self.settings.slow_ratio.ln() / scale;
        let evidence = finished_ratio(adjusted, shift) - credited.evidence;
        record.add_latency_evidence(now, view, evidence, cap);
        if !credited.late {
            self.score_tail(index, view, adjusted > TAIL_DEVIATION);
        }
    }

    /// Adds a finished reply, or a request that is already late, to the tail score.
    pub(crate) fn score_tail(&mut self, index: usize, view: EvidenceView, late: bool) {
        self.score_share(
            index,
            view,
            ScoreKind::Tail,
            late,
            TAIL_SHARE,
            FAULTY_TAIL_SHARE,
        );
    }

    /// Cancels the tail evidence of requests that were late through no fault of the upstream.
    pub(crate) fn cancel_late_evidence(&mut self, index: usize, view: EvidenceView, late: u32) {
        let usual = self.baseline.share(ScoreKind::Tail, TAIL_SHARE);
        let ratio = share_ratio(true, usual.min(FAULTY_TAIL_SHARE * 0.8), FAULTY_TAIL_SHARE);
        let cap = self.score_cap();
        self.records[index].add(view, ScoreKind::Tail, -ratio * f64::from(late), cap);
    }

    /// Returns the age from which a request counts as late.
    pub(crate) fn late_after(&self, view: EvidenceView, offset: f64) -> Duration {
        let baseline = self.baseline.of(view);
        let usual = baseline.latency_at(TAIL_DEVIATION + offset / baseline.scale());
        match view {
            EvidenceView::Caller => usual.div_f64(WAIT_WEIGHT),
            EvidenceView::Beside => usual,
        }
    }

    /// Returns the deviation of a reply from the baseline, in scales, and the scale.
    ///
    /// While the upstream has a queue, waiting is due to its load, so only the time in the backend
    /// server counts. Otherwise a late reply counts against the upstream even if the time that its
    /// own node measured is normal, since that measurement may itself be affected by the fault.
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
        let excess = (outside / usual * WAIT_WEIGHT).max(1e-3).ln() / scale;
        (inside.max(excess), scale)
    }

    /// Returns the ratio for an attempt of this age that is still in flight.
    pub(crate) fn age_ratio(&self, view: EvidenceView, offset: f64, age: Duration) -> f64 {
        let baseline = self.baseline.of(view);
        let age = match view {
            EvidenceView::Caller => age.mul_f64(WAIT_WEIGHT),
            EvidenceView::Beside => age,
        };
        let x = baseline.deviation(age) - offset / baseline.scale();
        let shift = self.settings.slow_ratio.ln() / baseline.scale();
        pending_ratio(x, shift)
    }

    /// Returns whether an upstream is still warming up, so that its latency isn't scored.
    pub(crate) fn is_warming_up(&self, now: Duration, index: usize) -> bool {
        self.records[index]
            .ready_since
            .is_some_and(|since| now.saturating_sub(since) < self.settings.warm_up)
    }
}
