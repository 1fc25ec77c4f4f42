//! Upstreams of one service, as one node sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sycamorelink_core::{DomainName, UpstreamId};

use crate::baseline::PoolBaseline;
use crate::facts::{UpstreamFacts, UpstreamPhase, UpstreamStanding, UpstreamView};
use crate::failing_share::FailingShare;
use crate::floor::{FloorLedger, FloorRule, FloorStatus};
use crate::record::{EvidenceView, ServiceState, UpstreamRecord, highest};
use crate::score::ScoreKind;
use crate::settings::PoolSettings;
use crate::spillover::SpilloverShare;
use crate::trials::INITIAL_AVOIDED_SHARE;

/// Share of the known slots that the floor protects until a contract sets one.
const FLOOR_SHARE: f64 = 0.5;

/// Cap of a score, as a multiple of `eject_at`. It lets an upstream recover soon after a long
/// fault.
const SCORE_CAP: f64 = 1.6;

/// Deviation, in scales, of the hedge delay: the 95th percentile of a logistic variable.
const HEDGE_DEVIATION: f64 = 2.944;

/// Upstreams of one service as seen by one node.
///
/// The node calls [`sent`](Self::sent) and [`observe`](Self::observe) for each attempt,
/// [`tick`](Self::tick) about every 100 ms, and exchanges evidence with its peers through
/// [`report`](Self::report) and [`merge`](Self::merge).
#[derive(Clone, Debug)]
pub struct ServicePool {
    pub(crate) settings: PoolSettings,
    pub(crate) rule: FloorRule,
    pub(crate) random: SmallRng,
    pub(crate) index_by_id: BTreeMap<UpstreamId, usize>,
    pub(crate) records: Vec<UpstreamRecord>,
    /// Indexes of the upstreams that may be picked.
    pub(crate) candidates: Vec<usize>,
    pub(crate) domains: Vec<DomainName>,
    /// Failure domain whose upstreams are preferred; `None` treats all domains alike.
    pub(crate) preferred_domain: Option<DomainName>,
    pub(crate) baseline: PoolBaseline,
    pub(crate) failing_share: FailingShare,
    /// Running share of drawn upstreams that selection by cost avoids.
    pub(crate) avoided_share: f64,
    /// Share of the requests that goes to other failure domains; `None` if only costs decide.
    pub(crate) spillover: Option<SpilloverShare>,
    /// Mean size of a reply in bytes, by kind of work.
    pub(crate) reply_sizes: BTreeMap<u64, f64>,
    pub(crate) ledger: FloorLedger,
    /// Score that upstreams have in common, subtracted before weights are set.
    pub(crate) common_score: f64,
    /// Weight, in slots, that may still be taken before the next tick.
    pub(crate) spare_weight: f64,
    /// Running share of attempts that were refused for overload.
    pub(crate) refused_share: f64,
    /// When the first upstream was added.
    pub(crate) first_seen: Option<Duration>,
    /// Whether the cause of the present faults is taken to be outside the upstreams.
    pub(crate) shared: bool,
    pub(crate) shared_until: Duration,
    /// Whether most upstreams look faulty to this node as a caller, so that it reports nothing in
    /// that role.
    pub(crate) observer_suspect: bool,
    pub(crate) last_tick: Duration,
    /// Whether any peer has reported. Without reports, a fault of this node looks the same as a
    /// shared cause.
    pub(crate) has_peer_reports: bool,
    /// Indexes of the suspects, highest score first.
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
            index_by_id: BTreeMap::new(),
            records: Vec::new(),
            candidates: Vec::new(),
            domains: Vec::new(),
            preferred_domain: None,
            baseline: PoolBaseline::new(),
            failing_share: FailingShare::new(),
            avoided_share: INITIAL_AVOIDED_SHARE,
            spillover: None,
            reply_sizes: BTreeMap::new(),
            ledger: FloorLedger::default(),
            common_score: 0.0,
            spare_weight: 0.0,
            refused_share: 0.0,
            first_seen: None,
            shared: false,
            shared_until: Duration::ZERO,
            observer_suspect: false,
            last_tick: Duration::ZERO,
            has_peer_reports: false,
            ranking: Vec::new(),
            scratch: Vec::new(),
        }
    }

    /// Adds an upstream or updates its facts.
    pub fn upsert(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        let domain_index = self.domain_index(&facts.domain);
        if let Some(&index) = self.index_by_id.get(&id) {
            let record = &mut self.records[index];
            let restarted =
                record.phase != UpstreamPhase::Ready && facts.phase == UpstreamPhase::Ready;
            if restarted || facts.phase == UpstreamPhase::Starting {
                record.reset(now);
            }
            record.slots = facts.slots;
            record.domain_index = domain_index;
            record.phase = facts.phase;
        } else {
            self.index_by_id.insert(id, self.records.len());
            let mut record = UpstreamRecord::new(now, id, facts, domain_index);
            // Upstreams that a new node learns of in its first seconds were running before it. If
            // all of them counted as warming up, there would be no weight to take from one that
            // peers report as faulty.
            let first_seen = *self.first_seen.get_or_insert(now);
            self.last_tick = self.last_tick.max(first_seen);
            if now.saturating_sub(first_seen) >= self.settings.warm_up {
                record.ready_since = Some(now);
            }
            self.records.push(record);
        }
        self.enforce_floor(now);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, now: Duration, id: UpstreamId) {
        let Some(index) = self.index_by_id.remove(&id) else {
            return;
        };
        self.remove_candidate(index);
        self.records.swap_remove(index);
        if let Some(moved) = self.records.get(index) {
            self.index_by_id.insert(moved.id, index);
            if let Some(candidate) = moved.candidate_index {
                self.candidates[candidate] = index;
            }
        }
        self.enforce_floor(now);
    }

    /// Sets the floor: a share of all known slots, and a minimum number of upstreams. Ejections
    /// that a higher floor doesn't allow end at once.
    pub fn set_floor(&mut self, share: f64, min_count: u32) {
        self.rule = FloorRule {
            share,
            count: min_count,
        };
        self.enforce_floor(self.last_tick);
    }

    /// Prefers the upstreams of one failure domain while they have slots to spare.
    pub fn prefer_domain(&mut self, domain: DomainName) {
        self.preferred_domain = Some(domain);
    }

    /// Lets the share of requests that goes to other failure domains follow the expected waits, or
    /// leaves it to the costs of single upstreams.
    pub fn spill_over(&mut self, enabled: bool) {
        if self.spillover.is_some() != enabled {
            self.spillover = enabled.then(SpilloverShare::default);
        }
    }

    /// Returns the share of requests that goes to other failure domains, from 0 to 1; `None` if it
    /// does not follow the expected waits.
    #[must_use]
    pub fn spillover_share(&self) -> Option<f64> {
        self.spillover.as_ref().map(SpilloverShare::share)
    }

    /// Replaces the settings. The caller must have validated them.
    pub fn apply(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    pub(crate) fn score_cap(&self) -> f64 {
        self.settings.eject_at * SCORE_CAP
    }

    /// Records that a new connection to the upstream answered where the old one had gone silent.
    ///
    /// The evidence from the old connection is cancelled, because the connection was at fault. It
    /// is cancelled only once until a request is served; otherwise a hung backend server would go
    /// undetected behind connections that work.
    pub fn connection_replaced(&mut self, now: Duration, id: UpstreamId) {
        let Some(&index) = self.index_by_id.get(&id) else {
            return;
        };
        let cap = self.score_cap();
        let record = &mut self.records[index];
        if record.reset_used {
            return;
        }
        record.reset_used = true;
        record.connection_replaced_at = Some(now);
        let (credited, late) = record.flights.clear_tracked();
        record.add(EvidenceView::Caller, ScoreKind::Slow, -credited, cap);
        let silent = record.own[ScoreKind::Silent as usize];
        record.add(EvidenceView::Caller, ScoreKind::Silent, -silent, cap);
        self.cancel_late_evidence(index, EvidenceView::Caller, late);
        self.records[index].combine();
        self.update_weight(now, index);
    }

    /// Returns the 95th percentile of the latency, after which an idempotent request is hedged.
    /// `None` while too few replies were observed.
    #[must_use]
    pub fn tail_latency(&self) -> Option<Duration> {
        let latency = &self.baseline.latency;
        latency.ready().then(|| latency.latency_at(HEDGE_DEVIATION))
    }

    /// Returns what a pick at `now` would be based on, or `None` for an unknown upstream.
    #[must_use]
    pub fn upstream_view(&self, now: Duration, id: UpstreamId) -> Option<UpstreamView> {
        let record = &self.records[*self.index_by_id.get(&id)?];
        let hint = record.hint;
        Some(UpstreamView {
            in_flight: record.flights.count(),
            weight: record.weight,
            suspicion: record.suspicion,
            told: hint.map(|(received_at, hint)| (hint, now.saturating_sub(received_at))),
        })
    }

    /// Returns this node's assessment of an upstream, or `None` for an unknown one.
    #[must_use]
    pub fn standing(&self, id: UpstreamId) -> Option<UpstreamStanding> {
        let &index = self.index_by_id.get(&id)?;
        Some(standing_of(&self.records[index]))
    }

    /// Returns this node's assessment of all upstreams, in order of their ids.
    #[must_use]
    pub fn standings(&self) -> Vec<UpstreamStanding> {
        self.index_by_id
            .values()
            .map(|&index| standing_of(&self.records[index]))
            .collect()
    }

    /// Returns the capacity in service compared with the floor.
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
        weight: if record.is_pickable() {
            record.weight
        } else {
            0.0
        },
        suspicion: record.suspicion,
        cause: record.cause(),
        caller_score: record.own_suspicion(),
        beside_score: highest(&record.beside).max(highest(&record.reported)),
        peer_score: highest(&record.peer_sum),
        probing: record.is_probing(),
        ejected,
        until,
        in_flight: record.flights.count(),
    }
}
