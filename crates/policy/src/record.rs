//! State that this node keeps for one upstream.

use std::time::Duration;

use sycamorelink_core::{NodeId, UpstreamId};

use crate::facts::{UpstreamFacts, UpstreamPhase};
use crate::finding::EjectionCause;
use crate::flight::FlightTable;
use crate::sample::LoadHint;
use crate::score::{KIND_COUNT, KindScores, ScoreKind};

/// Score in nats below which the scores of a peer are dropped.
const NEGLIGIBLE: f64 = 0.1;

/// Service state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServiceState {
    /// The upstream gets requests in proportion to its weight.
    InService,
    /// The upstream gets no requests.
    Ejected {
        cause: EjectionCause,
        until: Duration,
    },
    /// The upstream was ejected and gets few requests until it has proved healthy.
    Probing { since: Duration },
}

/// Highest level that was reported for an upstream, so that each finding is emitted once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NoticeLevel {
    Quiet,
    Suspected,
    Shifted,
}

/// Token bucket that limits how fast a latency score rises.
///
/// A backend server that pauses for a few hundred milliseconds makes all of its requests in flight
/// late at once, and each of them would count as evidence. With the limit, such a pause ends before
/// the score is high, while that of an upstream that stays slow rises on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RiseLimiter {
    level: f64,
    at: Duration,
}

impl RiseLimiter {
    /// Greatest sustained rise, in nats per second.
    const RATE: f64 = 14.0;

    /// Greatest rise at once, in nats.
    const BURST: f64 = 4.0;

    /// Returns the part of a rise that the limit allows. Falls aren't limited.
    fn grant(&mut self, now: Duration, requested: f64) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + age * Self::RATE).min(Self::BURST);
        self.at = now;
        let granted = requested.min(self.level);
        self.level -= granted.max(0.0);
        granted
    }
}

/// Scores last sent to peers for one view of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentScores {
    pub(crate) scores: KindScores,
    pub(crate) at: Duration,
}

/// Scores that one calling peer reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerScores {
    pub(crate) node: NodeId,
    pub(crate) scores: KindScores,
    /// Part of the scores that earlier ejections have discounted.
    pub(crate) discounted: KindScores,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRecord {
    pub(crate) id: UpstreamId,
    pub(crate) slots: u16,
    /// Index of the failure domain in the pool's table.
    pub(crate) domain_index: usize,
    pub(crate) phase: UpstreamPhase,
    pub(crate) state: ServiceState,
    pub(crate) weight: f64,
    /// Combined scores, per kind.
    pub(crate) scores: KindScores,
    /// Highest combined score.
    pub(crate) suspicion: f64,
    /// Scores of this node as a caller.
    pub(crate) own: KindScores,
    /// Scores of this node as the upstream's own node.
    pub(crate) beside: KindScores,
    /// Scores that the upstream's own node reported.
    pub(crate) reported: KindScores,
    /// Part of `reported` that earlier ejections have discounted.
    pub(crate) discounted: KindScores,
    /// Sum of the scores of calling peers.
    pub(crate) peer_sum: KindScores,
    pub(crate) peers: Vec<PeerScores>,
    /// Limiters of the latency scores, indexed by [`EvidenceView`].
    pub(crate) rise_limiters: [RiseLimiter; 2],
    pub(crate) sent_own: SentScores,
    pub(crate) sent_beside: SentScores,
    /// Attempts that ended on this node's own upstream since the last report.
    pub(crate) samples: u16,
    /// Lasting deviation of the upstream's log latency from the pool's.
    pub(crate) offset: f64,
    pub(crate) flights: FlightTable,
    /// Attempts that run on the upstream, if this is its own node.
    pub(crate) local_flights: Option<Box<FlightTable>>,
    /// Last load hint, with the time of its arrival.
    pub(crate) hint: Option<(Duration, LoadHint)>,
    /// When the upstream became ready; `None` if it was ready before this node first saw it.
    pub(crate) ready_since: Option<Duration>,
    pub(crate) above_threshold_since: Option<Duration>,
    /// Highest combined score at the last tick.
    pub(crate) last_suspicion: f64,
    /// When the highest score last rose.
    pub(crate) last_rise: Duration,
    /// Whether the upstream has lost its weight until a trial succeeds.
    pub(crate) shifted: bool,
    /// When the trial began in which a shifted upstream regains its weight step by step.
    pub(crate) trial: Option<Duration>,
    /// Time a shifted upstream has to be quiet before its next trial, or time for which an ejected
    /// one stays ejected.
    pub(crate) hold: Duration,
    /// Earlier shifts and ejections that still count; each doubles `hold`.
    pub(crate) strikes: u8,
    pub(crate) strike_at: Duration,
    pub(crate) ejected_at: Duration,
    pub(crate) notice: NoticeLevel,
    /// Whether the floor keeps an upstream in service that is due for ejection.
    pub(crate) floor_held: bool,
    /// When this node as a caller last scored a lost attempt.
    pub(crate) lost_at: Option<Duration>,
    /// When this node as the upstream's own node last scored a lost attempt.
    pub(crate) local_lost_at: Option<Duration>,
    pub(crate) connection_replaced_at: Option<Duration>,
    /// Whether evidence was cancelled for a replaced connection since the last served request.
    pub(crate) reset_used: bool,
    pub(crate) probe_requested_at: Option<Duration>,
    /// End of the time for which the upstream counts as full after a refusal.
    pub(crate) refused_until: Duration,
    /// Index in the pool's list of candidates, if the upstream may be picked.
    pub(crate) candidate_index: Option<usize>,
}

/// View from which this node collects evidence: as a caller, or beside the upstream as its own
/// node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceView {
    Caller,
    Beside,
}

impl UpstreamRecord {
    pub(crate) fn new(
        now: Duration,
        id: UpstreamId,
        facts: &UpstreamFacts,
        domain_index: usize,
    ) -> Self {
        Self {
            id,
            slots: facts.slots,
            domain_index,
            phase: facts.phase,
            state: ServiceState::InService,
            weight: 1.0,
            scores: [0.0; KIND_COUNT],
            suspicion: 0.0,
            own: [0.0; KIND_COUNT],
            beside: [0.0; KIND_COUNT],
            reported: [0.0; KIND_COUNT],
            discounted: [0.0; KIND_COUNT],
            peer_sum: [0.0; KIND_COUNT],
            peers: Vec::new(),
            rise_limiters: [RiseLimiter::default(); 2],
            sent_own: SentScores::default(),
            sent_beside: SentScores::default(),
            samples: 0,
            offset: 0.0,
            flights: FlightTable::default(),
            local_flights: None,
            hint: None,
            ready_since: None,
            above_threshold_since: None,
            last_suspicion: 0.0,
            last_rise: now,
            shifted: false,
            trial: None,
            hold: Duration::ZERO,
            strikes: 0,
            strike_at: now,
            ejected_at: Duration::ZERO,
            notice: NoticeLevel::Quiet,
            floor_held: false,
            lost_at: None,
            local_lost_at: None,
            connection_replaced_at: None,
            reset_used: false,
            probe_requested_at: None,
            refused_until: Duration::ZERO,
            candidate_index: None,
        }
    }

    /// Returns the kind of fault with the highest score.
    pub(crate) fn cause(&self) -> EjectionCause {
        let [failing, wrong, silent, slow, tail] = self.scores;
        let mut worst = (EjectionCause::Failing, failing);
        for (cause, score) in [
            (EjectionCause::Wrong, wrong),
            (EjectionCause::Silent, silent),
            (EjectionCause::Slow, slow.max(tail)),
        ] {
            if score > worst.1 {
                worst = (cause, score);
            }
        }
        worst.0
    }

    /// Returns the highest score of this node as a caller.
    pub(crate) fn own_suspicion(&self) -> f64 {
        highest(&self.own)
    }

    /// Returns the highest score of any single view.
    pub(crate) fn highest_view(&self) -> f64 {
        let reported = highest(&self.reported) - highest(&self.discounted);
        highest(&self.own).max(highest(&self.beside)).max(reported)
    }

    /// Returns the highest score that other nodes reported.
    pub(crate) fn remote_suspicion(&self) -> f64 {
        highest(&self.reported).max(highest(&self.peer_sum))
    }

    /// Returns whether the upstream may get requests.
    pub(crate) fn is_pickable(&self) -> bool {
        self.phase == UpstreamPhase::Ready && !self.is_ejected()
    }

    pub(crate) const fn is_ejected(&self) -> bool {
        matches!(self.state, ServiceState::Ejected { .. })
    }

    pub(crate) const fn is_probing(&self) -> bool {
        matches!(self.state, ServiceState::Probing { .. })
    }

    /// Returns the scores of one view of this node.
    pub(crate) const fn view(&mut self, view: EvidenceView) -> &mut KindScores {
        match view {
            EvidenceView::Caller => &mut self.own,
            EvidenceView::Beside => &mut self.beside,
        }
    }

    /// Returns the attempts in flight in one view of this node.
    pub(crate) fn flights_for(&mut self, view: EvidenceView) -> &mut FlightTable {
        match view {
            EvidenceView::Caller => &mut self.flights,
            EvidenceView::Beside => self.local_flights.get_or_insert_default(),
        }
    }

    /// Adds evidence to a score of this node. Scores stay between zero and `cap`.
    pub(crate) fn add(&mut self, view: EvidenceView, kind: ScoreKind, ratio: f64, cap: f64) {
        let score = &mut self.view(view)[kind as usize];
        *score = (*score + ratio).clamp(0.0, cap);
    }

    /// Adds latency evidence, as far as the limiter allows, and returns the part that was added.
    pub(crate) fn add_latency_evidence(
        &mut self,
        now: Duration,
        view: EvidenceView,
        ratio: f64,
        cap: f64,
    ) -> f64 {
        let granted = self.rise_limiters[view as usize].grant(now, ratio);
        self.add(view, ScoreKind::Slow, granted, cap);
        granted
    }

    /// Combines the views. The upstream's node and the callers observe the same attempts from two
    /// ends, so their scores aren't added up: the higher one counts.
    pub(crate) fn combine(&mut self) {
        for kind in 0..KIND_COUNT {
            self.discounted[kind] = self.discounted[kind].min(self.reported[kind]);
            let inside = self.beside[kind].max(self.reported[kind] - self.discounted[kind]);
            let outside = self.own[kind] + self.peer_sum[kind];
            self.scores[kind] = outside.max(inside);
        }
        self.suspicion = highest(&self.scores);
    }

    /// Multiplies all scores by a factor below one.
    pub(crate) fn fade(&mut self, factor: f64) {
        for scores in [
            &mut self.own,
            &mut self.beside,
            &mut self.reported,
            &mut self.discounted,
        ] {
            scale(scores, factor);
        }
        for peer in &mut self.peers {
            scale(&mut peer.scores, factor);
            scale(&mut peer.discounted, factor);
        }
        self.peers.retain(|peer| highest(&peer.scores) > NEGLIGIBLE);
    }

    /// Discounts the present evidence after an ejection or before a trial, so that only new
    /// evidence counts. The upstream's own node starts again from zero and reports that; otherwise
    /// a score at its cap would hide new evidence.
    pub(crate) fn discount_evidence(&mut self) {
        self.own = [0.0; KIND_COUNT];
        self.beside = [0.0; KIND_COUNT];
        for peer in &mut self.peers {
            peer.discounted = peer.scores;
        }
        self.peer_sum = [0.0; KIND_COUNT];
        for kind in 0..KIND_COUNT {
            self.discounted[kind] = self.reported[kind];
        }
        self.above_threshold_since = None;
        self.shifted = false;
        self.combine();
    }

    /// Clears all evidence, because it says nothing about a restarted backend server.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.reported = [0.0; KIND_COUNT];
        self.offset = 0.0;
        self.ready_since = Some(now);
        self.hint = None;
        self.discount_evidence();
    }
}

fn scale(scores: &mut KindScores, factor: f64) {
    for score in scores {
        *score *= factor;
    }
}

/// Returns the highest score, at least 0.
pub(crate) fn highest(scores: &KindScores) -> f64 {
    scores.iter().copied().fold(0.0, f64::max)
}
