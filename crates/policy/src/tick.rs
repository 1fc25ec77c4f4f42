//! Periodic update of a pool: ages of requests in flight, shared causes, weights, ejection and
//! readmission.
//!
//! ```text
//!   in service ──score──> shifted ──score stays high, floor allows──> ejected
//!       ^                                                               │ ejection expires
//!       └────────── scores fall with real requests ────── probing <─────┘
//! ```

use std::time::Duration;

use crate::facts::UpstreamPhase;
use crate::finding::PoolFinding;
use crate::pool::ServicePool;
use crate::record::{EvidenceView, ServiceState, UpstreamRecord};

/// Deviation, in scales, from which a request in flight may be on a silent connection.
const STALE_DEVIATION: f64 = 5.0;

/// Share of refused attempts above which the pool is overloaded.
const OVERLOADED_SHARE: f64 = 0.01;

/// Least rise of a score between two ticks, in nats, that counts as new evidence. Smaller rises
/// come from reports that arrive while the scores decay.
const MIN_RISE: f64 = 0.5;

/// Share of the cap above which a score always counts as rising, since it has little room left to
/// rise.
const NEAR_CAP_SHARE: f64 = 0.95;

/// Minimum interval between two requests to probe the same connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a shared cause is assumed to last after it was last observed.
const SHARED_HOLD: Duration = Duration::from_secs(5);

/// Age up to which ejections are undone when the cause turns out to be shared.
const UNDO_WINDOW: Duration = Duration::from_secs(10);

impl ServicePool {
    /// Updates scores, weights and ejections of all upstreams and appends what changed to
    /// `findings`. Must be called about every 100 ms.
    pub fn tick(&mut self, now: Duration, findings: &mut Vec<PoolFinding>) {
        let step = now.saturating_sub(self.last_tick).as_secs_f64();
        self.last_tick = now;
        for index in 0..self.records.len() {
            self.score_pending(now, index, findings);
            self.fade(index, step);
            self.track_rise(now, index);
            self.update_trial(now, index);
            self.end_ejection(now, index);
        }
        self.detect_shared_cause(now, findings);
        self.learn_failing_share(now);
        self.enforce_floor(now);
        self.rank();
        self.eject(now, findings);
        self.set_weights(now);
        self.emit_findings(now, findings);
    }

    fn score_pending(&mut self, now: Duration, index: usize, findings: &mut Vec<PoolFinding>) {
        if self.records[index].flights.count() > 0 {
            if self.baseline.latency.ready() {
                self.request_connection_probe(now, index, findings);
            }
            self.score_ages(now, index, EvidenceView::Caller);
        }
        let local_flights = self.records[index].local_flights.as_ref();
        if local_flights.is_some_and(|local_flights| local_flights.count() > 0) {
            self.score_ages(now, index, EvidenceView::Beside);
        }
    }

    /// Adds evidence for the ages of attempts in flight: a late reply counts before it arrives.
    fn score_ages(&mut self, now: Duration, index: usize, view: EvidenceView) {
        if !self.baseline.ready(view) || self.is_warming_up(now, index) {
            return;
        }
        let offset = self.records[index].offset;
        let mut flights = std::mem::take(self.records[index].flights_for(view));
        let change = flights.update_evidence(now, |age| self.age_ratio(view, offset, age));
        let late = flights.mark_late(now, self.late_after(view, offset));
        let cap = self.score_cap();
        let record = &mut self.records[index];
        flights.add_credit(record.add_latency_evidence(now, view, change, cap));
        *record.flights_for(view) = flights;
        for _ in 0..late {
            self.score_tail(index, view, true);
        }
    }

    /// Requests a probe of the connection when the oldest request in flight is later than any
    /// ordinary one.
    fn request_connection_probe(
        &mut self,
        now: Duration,
        index: usize,
        findings: &mut Vec<PoolFinding>,
    ) {
        let stale = self.baseline.latency.latency_at(STALE_DEVIATION);
        let record = &mut self.records[index];
        let Some(oldest) = record.flights.oldest(now) else {
            return;
        };
        let requested = record
            .probe_requested_at
            .is_some_and(|requested| now.saturating_sub(requested) < PROBE_INTERVAL);
        if oldest < stale || requested {
            return;
        }
        record.probe_requested_at = Some(now);
        findings.push(PoolFinding::ConnectionSuspect {
            id: record.id,
            oldest,
        });
    }

    fn fade(&mut self, index: usize, step: f64) {
        let constant = self.settings.fade.as_secs_f64();
        let factor = (-step / constant).exp();
        self.records[index].fade(factor);
        if !self.records[index].peers.is_empty() {
            self.sum_peer_scores(index);
        }
        self.records[index].combine();
    }

    fn track_rise(&mut self, now: Duration, index: usize) {
        let near_cap = self.score_cap() * NEAR_CAP_SHARE;
        let record = &mut self.records[index];
        if record.suspicion > record.last_suspicion + MIN_RISE || record.highest_view() > near_cap {
            record.last_rise = now;
        }
        record.last_suspicion = record.suspicion;
    }

    /// Starts or ends the trial in which a shifted upstream regains its weight step by step. It
    /// starts after a time without new evidence. Few requests give little evidence either way, so
    /// without trials an upstream shifted by a short fault would get almost no requests long after
    /// the fault. A trial costs a faulty upstream about twenty requests, and the wait doubles from
    /// one shift to the next.
    fn update_trial(&mut self, now: Duration, index: usize) {
        let settings = &self.settings;
        let required_quiet = self.trial_wait(index);
        let record = &mut self.records[index];
        let suspicion = record.suspicion - self.common_score;
        if record.state != ServiceState::InService {
            record.trial = None;
            return;
        }
        match record.trial {
            None => {
                let quiet = now.saturating_sub(record.last_rise) >= required_quiet;
                if quiet && record.shifted {
                    record.discount_evidence();
                    record.trial = Some(now);
                }
            }
            Some(_) if suspicion >= settings.shift_full => record.trial = None,
            Some(since) if now.saturating_sub(since) >= settings.warm_up => {
                record.trial = None;
            }
            Some(_) => {}
        }
    }

    /// Returns how long a shifted upstream has to be quiet before its next trial.
    fn trial_wait(&self, index: usize) -> Duration {
        let hold = self.records[index].hold;
        if self.is_overloaded() {
            hold.min(self.settings.eject_for)
        } else {
            hold
        }
    }

    /// Returns whether requests are refused for lack of slots. In that case every recovered
    /// upstream is needed, and the wait for a trial no longer grows.
    fn is_overloaded(&self) -> bool {
        self.refused_share > OVERLOADED_SHARE
    }

    fn end_ejection(&mut self, now: Duration, index: usize) {
        let (overloaded, first) = (self.is_overloaded(), self.settings.eject_for);
        let record = &mut self.records[index];
        let ServiceState::Ejected { until, .. } = record.state else {
            return;
        };
        let early = overloaded && now >= record.ejected_at + first;
        if now < until && !early {
            return;
        }
        record.state = ServiceState::Probing { since: now };
        record.strike_at = now;
        record.discount_evidence();
    }

    /// Detects a cause outside the upstreams: when most of them look faulty at once, none of them
    /// is taken to be at fault.
    fn detect_shared_cause(&mut self, now: Duration, findings: &mut Vec<PoolFinding>) {
        let counts = self.count_suspects();
        let limit = self.settings.shared_share * f64::from(counts.active);
        let widespread = counts.suspects > 1 && f64::from(counts.suspects) > limit;
        if widespread {
            self.shared_until = now + SHARED_HOLD;
        }
        let shared = now < self.shared_until;
        let own = counts.own_suspects > 1 && f64::from(counts.own_suspects) > limit;
        let suspect = own && counts.confirmed * 2 < counts.own_suspects && self.has_peer_reports;
        if shared && !self.shared {
            self.undo_ejections(now);
            if !suspect {
                findings.push(PoolFinding::SharedCause {
                    suspects: counts.suspects,
                    active: counts.active,
                });
            }
        }
        if suspect && !self.observer_suspect {
            findings.push(PoolFinding::ObserverSuspect {
                suspects: counts.own_suspects,
                active: counts.active,
            });
        }
        if shared {
            // No upstream is worse than the others; scores only set their relative weights.
            for record in &mut self.records {
                record.shifted = false;
            }
        }
        self.shared = shared;
        self.observer_suspect = own;
        self.common_score = self.median_suspicion(counts);
    }

    fn count_suspects(&self) -> SuspectCount {
        let mut counts = SuspectCount::default();
        let from = self.settings.shift_from;
        let ready = |record: &&UpstreamRecord| record.phase == UpstreamPhase::Ready;
        for record in self.records.iter().filter(ready) {
            counts.active += 1;
            counts.suspects += u32::from(record.suspicion >= from || record.is_ejected());
            let own = record.own_suspicion() >= from;
            counts.own_suspects += u32::from(own);
            counts.confirmed += u32::from(own && record.remote_suspicion() >= from);
        }
        counts
    }

    /// Returns the lower median of the scores, which is zero unless more than half of the upstreams
    /// look faulty.
    fn median_suspicion(&mut self, counts: SuspectCount) -> f64 {
        if counts.active < 2 {
            return self.records.first().map_or(0.0, |record| record.suspicion);
        }
        self.scratch.clear();
        let scores = self
            .records
            .iter()
            .filter(|record| is_selectable(record))
            .map(|record| record.suspicion);
        self.scratch.extend(scores);
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    fn undo_ejections(&mut self, now: Duration) {
        for record in &mut self.records {
            let recent = record.ejected_at + UNDO_WINDOW > now;
            if record.state != ServiceState::InService && recent {
                record.state = ServiceState::InService;
                record.strikes = record.strikes.saturating_sub(1);
            }
        }
    }
}

/// Numbers of upstreams that look faulty.
#[derive(Clone, Copy, Debug, Default)]
struct SuspectCount {
    active: u32,
    suspects: u32,
    own_suspects: u32,
    /// Upstreams among `own_suspects` that other nodes suspect as well.
    confirmed: u32,
}

/// Returns whether an upstream is ready and not ejected.
pub(crate) fn is_selectable(record: &UpstreamRecord) -> bool {
    record.is_pickable()
}
