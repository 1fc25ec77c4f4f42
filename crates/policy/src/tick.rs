//! The tick: ages of requests in flight, common cause, weights, ejection and readmission.
//!
//! ```text
//!   in service ──score──> shifted ──score stays high, floor allows──> ejected
//!       ^                                                               │ time is up
//!       └────────── scores fall with real requests ────── probing <─────┘
//! ```

use std::time::Duration;

use crate::facts::UpstreamPhase;
use crate::finding::PoolFinding;
use crate::pool::ServicePool;
use crate::record::{EvidenceView, ServiceState, UpstreamRecord};

/// A request in flight this many scales beyond the centre may sit on a silent connection.
const STALE_MARK: f64 = 5.0;

/// Share of refused attempts from which the pool is crowded.
const CROWDED_SHARE: f64 = 0.01;

/// Least rise of a score from one tick to the next that is new evidence, in nats. Smaller ones come
/// from reports that cross the fading of scores.
const RISE: f64 = 0.5;

/// Share of the cap above which a score cannot rise much and counts as rising.
const TOP_SHARE: f64 = 0.95;

/// Least time between two questions about the same connection.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// A shared cause is taken to last until nothing was seen of it for this time.
const SHARED_HOLD: Duration = Duration::from_secs(5);

/// Ejections younger than this are undone when the cause turns out to be shared.
const UNDO_WITHIN: Duration = Duration::from_secs(10);

impl ServicePool {
    /// Judges all upstreams; to be called about every 100 ms. Findings are added to `findings`.
    pub fn tick(&mut self, now: Duration, findings: &mut Vec<PoolFinding>) {
        let step = now.saturating_sub(self.ticked).as_secs_f64();
        self.ticked = now;
        for place in 0..self.records.len() {
            self.judge_ages(now, place, findings);
            self.fade(place, step);
            self.note_rise(now, place);
            self.try_again(now, place);
            self.end_ejection(now, place);
        }
        self.find_common_cause(now, findings);
        self.learn_usual(now);
        self.keep_floor(now);
        self.rank();
        self.eject(now, findings);
        self.set_weights(now);
        self.notice(now, findings);
    }

    fn judge_ages(&mut self, now: Duration, place: usize, findings: &mut Vec<PoolFinding>) {
        if self.records[place].flights.count() > 0 {
            if self.baseline.latency.ready() {
                self.ask_connection(now, place, findings);
            }
            self.credit_ages(now, place, EvidenceView::Caller);
        }
        let here = self.records[place].here.as_ref();
        if here.is_some_and(|here| here.count() > 0) {
            self.credit_ages(now, place, EvidenceView::Beside);
        }
    }

    /// Counts the ages of attempts that have not ended: a late reply is evidence before it comes.
    fn credit_ages(&mut self, now: Duration, place: usize, view: EvidenceView) {
        if !self.baseline.ready(view) || self.warming(now, place) {
            return;
        }
        let offset = self.records[place].offset;
        let mut flights = std::mem::take(self.records[place].flights_of(view));
        let change = flights.uncounted(now, |age| self.age_ratio(view, offset, age));
        let late = flights.mark_late(now, self.late_after(view, offset));
        let cap = self.score_cap();
        let record = &mut self.records[place];
        flights.counted(record.add_slow(now, view, change, cap));
        *record.flights_of(view) = flights;
        for _ in 0..late {
            self.judge_tail(place, view, true);
        }
    }

    /// Asks for a new connection when the oldest request in flight is later than any ordinary one.
    fn ask_connection(&mut self, now: Duration, place: usize, findings: &mut Vec<PoolFinding>) {
        let stale = self.baseline.latency.latency_at(STALE_MARK);
        let record = &mut self.records[place];
        let Some(oldest) = record.flights.oldest(now) else {
            return;
        };
        let asked = record
            .asked_at
            .is_some_and(|asked| now.saturating_sub(asked) < ASK_AGAIN);
        if oldest < stale || asked {
            return;
        }
        record.asked_at = Some(now);
        findings.push(PoolFinding::ConnectionSuspect {
            id: record.id,
            oldest,
        });
    }

    fn fade(&mut self, place: usize, step: f64) {
        let constant = self.settings.fade.as_secs_f64();
        let factor = (-step / constant).exp();
        self.records[place].fade(factor);
        if !self.records[place].peers.is_empty() {
            self.add_up_peers(place);
        }
        self.records[place].combine();
    }

    fn note_rise(&mut self, now: Duration, place: usize) {
        let top = self.score_cap() * TOP_SHARE;
        let record = &mut self.records[place];
        if record.suspicion > record.ticked_suspicion + RISE || record.highest_view() > top {
            record.risen_at = now;
        }
        record.ticked_suspicion = record.suspicion;
    }

    /// Gives a shifted upstream its weight back step by step when nothing bad was seen of it for a
    /// while. Failure: few requests give little evidence, good or bad. Symptom: an upstream shifted
    /// by a short fault would starve long after it. A trial costs a sick one some twenty requests,
    /// and the wait doubles from one shift to the next.
    fn try_again(&mut self, now: Duration, place: usize) {
        let settings = &self.settings;
        let wait = self.trial_wait(place);
        let record = &mut self.records[place];
        let suspicion = record.suspicion - self.common;
        if record.state != ServiceState::InService {
            record.trial = None;
            return;
        }
        match record.trial {
            None => {
                let quiet = now.saturating_sub(record.risen_at) >= wait;
                if quiet && record.shifted {
                    record.pay();
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

    /// How long a shifted upstream has to be quiet before it is tried again.
    fn trial_wait(&self, place: usize) -> Duration {
        let hold = self.records[place].hold;
        if self.crowded() {
            hold.min(self.settings.eject_for)
        } else {
            hold
        }
    }

    /// Whether requests are being refused for want of slots. Then every upstream that has recovered
    /// is needed, and the wait for a trial no longer grows.
    fn crowded(&self) -> bool {
        self.refused_share > CROWDED_SHARE
    }

    fn end_ejection(&mut self, now: Duration, place: usize) {
        let (crowded, first) = (self.crowded(), self.settings.eject_for);
        let record = &mut self.records[place];
        let ServiceState::Ejected { until, .. } = record.state else {
            return;
        };
        let early = crowded && now >= record.ejected_at + first;
        if now < until && !early {
            return;
        }
        record.state = ServiceState::Probing { since: now };
        record.strike_at = now;
        record.pay();
    }

    /// Looks for a cause outside the upstreams: when most look sick at once, none is.
    fn find_common_cause(&mut self, now: Duration, findings: &mut Vec<PoolFinding>) {
        let census = self.census();
        let limit = self.settings.shared_share * f64::from(census.active);
        let spread = census.suspects > 1 && f64::from(census.suspects) > limit;
        if spread {
            self.shared_until = now + SHARED_HOLD;
        }
        let shared = now < self.shared_until;
        let own = census.own_suspects > 1 && f64::from(census.own_suspects) > limit;
        let suspect = own && census.agreed * 2 < census.own_suspects && self.peers_heard;
        if shared && !self.shared {
            self.undo_ejections(now);
            if !suspect {
                findings.push(PoolFinding::SharedCause {
                    suspects: census.suspects,
                    active: census.active,
                });
            }
        }
        if suspect && !self.observer_suspect {
            findings.push(PoolFinding::ObserverSuspect {
                suspects: census.own_suspects,
                active: census.active,
            });
        }
        if shared {
            // Nobody is worse than the others: scores weigh them against each other, no more.
            for record in &mut self.records {
                record.shifted = false;
            }
        }
        self.shared = shared;
        self.observer_suspect = own;
        self.common = self.median_suspicion(census);
    }

    fn census(&self) -> PoolCensus {
        let mut census = PoolCensus::default();
        let from = self.settings.shift_from;
        let ready = |record: &&UpstreamRecord| record.phase == UpstreamPhase::Ready;
        for record in self.records.iter().filter(ready) {
            census.active += 1;
            census.suspects += u32::from(record.suspicion >= from || record.ejected());
            let own = record.own_suspicion() >= from;
            census.own_suspects += u32::from(own);
            census.agreed += u32::from(own && record.others_suspicion() >= from);
        }
        census
    }

    /// The lower median of the scores: zero unless more than half look suspect.
    fn median_suspicion(&mut self, census: PoolCensus) -> f64 {
        if census.active < 2 {
            return self.records.first().map_or(0.0, |record| record.suspicion);
        }
        self.scratch.clear();
        let scores = self
            .records
            .iter()
            .filter(|record| in_play(record))
            .map(|record| record.suspicion);
        self.scratch.extend(scores);
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    fn undo_ejections(&mut self, now: Duration) {
        for record in &mut self.records {
            let recent = record.ejected_at + UNDO_WITHIN > now;
            if record.state != ServiceState::InService && recent {
                record.state = ServiceState::InService;
                record.strikes = record.strikes.saturating_sub(1);
            }
        }
    }
}

/// How many upstreams look sick.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCensus {
    active: u32,
    suspects: u32,
    own_suspects: u32,
    /// Own suspects that some peer suspects as well.
    agreed: u32,
}

/// Whether an upstream is ready and not ejected.
pub(crate) fn in_play(record: &UpstreamRecord) -> bool {
    record.pickable()
}
