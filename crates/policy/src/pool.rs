//! The pool of one service's upstreams, as one node sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sycamorelink_core::{DomainName, UpstreamId};

use crate::baseline::PoolBaseline;
use crate::facts::{UpstreamFacts, UpstreamPhase, UpstreamStanding, UpstreamView};
use crate::failing_share::UsualShare;
use crate::floor::{FloorLedger, FloorRule, FloorStatus};
use crate::record::{EvidenceView, ServiceState, UpstreamRecord, highest};
use crate::score::ScoreKind;
use crate::settings::PoolSettings;
use crate::trials::FIRST_AVOIDED;

/// Floor before a contract sets one: half of the known slots.
const FLOOR_SHARE: f64 = 0.5;

/// Scores stop rising at this multiple of `eject_at`, so that a long fault is soon forgotten.
const SCORE_CAP: f64 = 1.6;

/// Quantile of the hedge delay in scales: the 95th percentile of a logistic variable.
const HEDGE_MARK: f64 = 2.944;

/// One service's upstreams as seen by one node.
#[derive(Clone, Debug)]
pub struct ServicePool {
    pub(crate) settings: PoolSettings,
    pub(crate) rule: FloorRule,
    pub(crate) random: SmallRng,
    pub(crate) index: BTreeMap<UpstreamId, usize>,
    pub(crate) records: Vec<UpstreamRecord>,
    pub(crate) candidates: Vec<usize>,
    pub(crate) domains: Vec<DomainName>,
    /// Failure domain whose upstreams are taken first; none treats all alike.
    pub(crate) near: Option<DomainName>,
    pub(crate) baseline: PoolBaseline,
    pub(crate) usual: UsualShare,
    /// Share of the upstreams that choices keep away from, as draws for trials meet them.
    pub(crate) avoided_share: f64,
    /// Mean bytes of a reply, by kind of work.
    pub(crate) reply_sizes: BTreeMap<u64, f64>,
    pub(crate) ledger: FloorLedger,
    /// Score that all upstreams share, taken off before weights are set.
    pub(crate) common: f64,
    /// Slots' worth of weight that may still be taken before the next tick.
    pub(crate) spare: f64,
    /// Running share of attempts that were refused for overload.
    pub(crate) refused_share: f64,
    /// When the first upstream was met.
    pub(crate) born: Option<Duration>,
    pub(crate) shared: bool,
    pub(crate) shared_until: Duration,
    pub(crate) observer_suspect: bool,
    pub(crate) ticked: Duration,
    /// Whether any peer was ever heard: a node alone cannot tell its own fault from a shared cause.
    pub(crate) peers_heard: bool,
    pub(crate) ranking: Vec<usize>,
    pub(crate) scratch: Vec<f64>,
}

impl ServicePool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        Self {
            settings,
            rule: FloorRule {
                share: FLOOR_SHARE,
                count: 1,
            },
            random: SmallRng::seed_from_u64(seed),
            index: BTreeMap::new(),
            records: Vec::new(),
            candidates: Vec::new(),
            domains: Vec::new(),
            near: None,
            baseline: PoolBaseline::new(),
            usual: UsualShare::new(),
            avoided_share: FIRST_AVOIDED,
            reply_sizes: BTreeMap::new(),
            ledger: FloorLedger::default(),
            common: 0.0,
            spare: 0.0,
            refused_share: 0.0,
            born: None,
            shared: false,
            shared_until: Duration::ZERO,
            observer_suspect: false,
            ticked: Duration::ZERO,
            peers_heard: false,
            ranking: Vec::new(),
            scratch: Vec::new(),
        }
    }

    /// Adds an upstream or takes over its changed facts.
    pub fn upsert(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        let domain_index = self.domain_index(&facts.domain);
        if let Some(&place) = self.index.get(&id) {
            let record = &mut self.records[place];
            let restarted =
                record.phase != UpstreamPhase::Ready && facts.phase == UpstreamPhase::Ready;
            if restarted || facts.phase == UpstreamPhase::Starting {
                record.reset(now);
            }
            record.slots = facts.slots;
            record.domain_index = domain_index;
            record.phase = facts.phase;
        } else {
            self.index.insert(id, self.records.len());
            let mut record = UpstreamRecord::new(now, id, facts, domain_index);
            // What a new node meets in its first seconds was there before it. Taking all of it for
            // cold would leave no weight to take from an upstream that peers know to be sick.
            let born = *self.born.get_or_insert(now);
            self.ticked = self.ticked.max(born);
            if now.saturating_sub(born) >= self.settings.warm_up {
                record.ready_since = Some(now);
            }
            self.records.push(record);
        }
        self.keep_floor(now);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, now: Duration, id: UpstreamId) {
        let Some(place) = self.index.remove(&id) else {
            return;
        };
        self.drop_candidate(place);
        self.records.swap_remove(place);
        if let Some(moved) = self.records.get(place) {
            self.index.insert(moved.id, place);
            if let Some(candidate) = moved.place {
                self.candidates[candidate] = place;
            }
        }
        self.keep_floor(now);
    }

    /// Sets the floor: a share of all known slots, and a least number of upstreams. Ejections that
    /// a higher floor does not allow end at once.
    pub fn set_floor(&mut self, share: f64, min_count: u32) {
        self.rule = FloorRule {
            share,
            count: min_count,
        };
        self.keep_floor(self.ticked);
    }

    /// Prefers the upstreams of one failure domain while they have slots to spare.
    pub fn prefer(&mut self, domain: DomainName) {
        self.near = Some(domain);
    }

    /// Takes over changed settings. They must have been validated.
    pub fn apply(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    pub(crate) fn score_cap(&self) -> f64 {
        self.settings.eject_at * SCORE_CAP
    }

    /// Notes that a new connection to the upstream answered where the old one had gone silent.
    /// Evidence from the old connection is taken back: the connection was at fault. It is taken
    /// back once only, until a request is served, so that a backend server that hangs does not
    /// hide behind connections that work.
    pub fn connection_replaced(&mut self, now: Duration, id: UpstreamId) {
        let Some(&place) = self.index.get(&id) else {
            return;
        };
        let cap = self.score_cap();
        let record = &mut self.records[place];
        if record.refund_spent {
            return;
        }
        record.refund_spent = true;
        record.replaced_at = Some(now);
        let (credited, late) = record.flights.forget();
        record.add(EvidenceView::Caller, ScoreKind::Slow, -credited, cap);
        let silent = record.own[ScoreKind::Silent as usize];
        record.add(EvidenceView::Caller, ScoreKind::Silent, -silent, cap);
        self.take_back_late(place, EvidenceView::Caller, late);
        self.records[place].combine();
        self.weigh(now, place);
    }

    /// How long to wait for a reply before an idempotent request is sent a second time elsewhere:
    /// the 95th percentile of the latency. `None` while too little is known.
    #[must_use]
    pub fn hedge_delay(&self) -> Option<Duration> {
        let latency = &self.baseline.latency;
        latency.ready().then(|| latency.latency_at(HEDGE_MARK))
    }

    /// What a pick at this moment would be based on.
    #[must_use]
    pub fn view_of(&self, now: Duration, id: UpstreamId) -> Option<UpstreamView> {
        let record = &self.records[*self.index.get(&id)?];
        let told = record.hint;
        Some(UpstreamView {
            in_flight: record.flights.count(),
            weight: record.weight,
            suspicion: record.suspicion,
            told: told.map(|(heard, hint)| (hint, now.saturating_sub(heard))),
        })
    }

    /// What this node thinks of an upstream.
    #[must_use]
    pub fn standing(&self, id: UpstreamId) -> Option<UpstreamStanding> {
        let &place = self.index.get(&id)?;
        Some(standing_of(&self.records[place]))
    }

    /// What this node thinks of all upstreams, in order of their ids.
    #[must_use]
    pub fn standings(&self) -> Vec<UpstreamStanding> {
        self.index
            .values()
            .map(|&place| standing_of(&self.records[place]))
            .collect()
    }

    /// The capacity in service against the floor.
    #[must_use]
    pub fn floor_status(&self) -> FloorStatus {
        self.ledger.status
    }

    fn domain_index(&mut self, domain: &DomainName) -> usize {
        let known = self.domains.iter().position(|name| name == domain);
        known.unwrap_or_else(|| {
            self.domains.push(domain.clone());
            self.domains.len() - 1
        })
    }
}

fn standing_of(record: &UpstreamRecord) -> UpstreamStanding {
    let (ejected, until) = match record.state {
        ServiceState::Ejected { cause, until } => (Some(cause), Some(until)),
        ServiceState::InService | ServiceState::Probing { .. } => (None, None),
    };
    UpstreamStanding {
        id: record.id,
        weight: if record.pickable() {
            record.weight
        } else {
            0.0
        },
        suspicion: record.suspicion,
        cause: record.cause(),
        caller_score: record.own_suspicion(),
        beside_score: highest(&record.beside).max(highest(&record.heard)),
        peer_score: highest(&record.peer_sum),
        probing: record.probing(),
        ejected,
        until,
        in_flight: record.flights.count(),
    }
}
