//! Turns the decision logic's notes into numbered events, metrics and burn.
//!
//! ```text
//!  NodeNote ─▶ NoteKeeper ─┬─▶ EventPort    a line for the operator
//!                          ├─▶ MeterTable   a count for the metrics thread
//!                          └─▶ BurnLedger ─ every half minute ─▶ BurnWatch ─▶ SL8011 to SL8013
//! ```

mod attempts;
mod audit;
mod clock;
mod findings;
mod objectives;
mod roster;
mod settle;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_contract::RouteTable;
use sycamorelink_core::{InstanceId, RequestId, ServiceName, UpstreamId};
use sycamorelink_engine::NodeNote;
use sycamorelink_telemetry::burn::{BurnQuery, BurnWatch};
use sycamorelink_telemetry::reach::ReachWatch;
use sycamorelink_telemetry::{BurnLedger, BurnReport, EventCode, EventFields, MetricName};

use crate::metrics::{EventPort, NodeTelemetry};
use crate::metrics_table::{MeterTable, SeriesKey};
use objectives::ObjectiveTable;

pub use audit::{AuditCall, AuditNote};

/// Logs notes, counts them and keeps the burn ledger.
pub struct NoteKeeper {
    burn: BurnLedger,
    objectives: ObjectiveTable,
    watch: BurnWatch,
    reach: ReachWatch,
    events: EventPort,
    meters: MeterTable,
    /// When a service last refused a request for overload.
    shedding: BTreeMap<ServiceName, Duration>,
    /// Services that requests came for.
    services: BTreeSet<ServiceName>,
    /// Newest offset of contracts that was told to be missing here.
    behind: u64,
    next_second: Duration,
    next_watch: Duration,
}

impl NoteKeeper {
    /// A keeper for one life of a node.
    #[must_use]
    pub fn new(instance: InstanceId, wall_at_start: Duration, telemetry: &NodeTelemetry) -> Self {
        Self {
            burn: BurnLedger::new(instance, wall_at_start),
            objectives: ObjectiveTable::default(),
            watch: BurnWatch::default(),
            reach: ReachWatch::default(),
            events: telemetry.events.clone(),
            meters: MeterTable::new(telemetry.registry.clone()),
            shedding: BTreeMap::new(),
            services: BTreeSet::new(),
            behind: 0,
            next_second: Duration::ZERO,
            next_watch: Duration::ZERO,
        }
    }

    /// Takes the objectives of the contracts in force.
    pub fn refresh_objectives(&mut self, table: &RouteTable) {
        self.objectives = ObjectiveTable::of(table);
    }

    /// The burn of the requests that this node took from callers.
    #[must_use]
    pub fn burn(&self, now: Duration, query: &BurnQuery) -> BurnReport {
        self.burn.answer(now, query, &self.objectives)
    }

    /// Takes a note; gives the request that it settles, if it does.
    pub fn take(&mut self, now: Duration, note: &NodeNote) -> Option<RequestId> {
        match note {
            NodeNote::RequestSettled(summary) => {
                self.settle(now, summary);
                return Some(summary.request);
            }
            NodeNote::Pool { service, finding } => self.pool(service, finding),
            NodeNote::Guard(note) => self.guard(note),
            NodeNote::Roster(note) => self.roster(note),
            NodeNote::MemberUp(_)
            | NodeNote::MemberDown { .. }
            | NodeNote::IncarnationRaised(_)
            | NodeNote::Superseded(_) => self.member(now, note),
            NodeNote::ContractAccepted { .. }
            | NodeNote::FleetContractTaken { .. }
            | NodeNote::SourceFollowed { .. }
            | NodeNote::ContractRejected { .. }
            | NodeNote::PoisonRecord { .. }
            | NodeNote::ContractsCarried { .. }
            | NodeNote::CarriesLate { .. }
            | NodeNote::ContractsBehind { .. }
            | NodeNote::ContractsAdopted { .. } => self.contracts(note),
            NodeNote::ContractFinding(finding) => {
                let fields = EventFields::new()
                    .place(&finding.place)
                    .reason(&finding.message);
                self.emit(EventCode::ContractDisagreement, &fields);
            }
            NodeNote::LogReachable(reachable) => self.log_reachable(*reachable),
            NodeNote::UpstreamAnnounced { id, service } => {
                self.upstream(EventCode::UpstreamAnnounced, id, service);
            }
            NodeNote::UpstreamReady { id, service } => {
                self.upstream(EventCode::UpstreamReady, id, service);
            }
            NodeNote::UpstreamLeaving { id, service } => {
                self.upstream(EventCode::UpstreamLeaving, id, service);
            }
            NodeNote::UpstreamLapsed { id, service } => {
                self.upstream(EventCode::HeartbeatLapsed, id, service);
            }
            NodeNote::UpstreamCrashed { id, service } => {
                self.upstream(EventCode::CrashSuspected, id, service);
            }
            NodeNote::BreakerTurned {
                id,
                service,
                suspect,
                kind,
                odds,
            } => {
                let code = if *suspect {
                    EventCode::WorkHeldOff
                } else {
                    EventCode::WorkReleased
                };
                let reason = match kind {
                    Some(kind) => format!("{kind:?}, odds {odds:.1}"),
                    None => format!("time passed, odds {odds:.1}"),
                };
                let fields = EventFields::new().upstream(id).service(service);
                self.emit(code, &fields.reason(&reason));
            }
            NodeNote::UpstreamGone { id, service } => {
                self.upstream(EventCode::UpstreamGone, id, service);
            }
            _ => self.request(note),
        }
        None
    }

    /// Notes of requests that go on.
    fn request(&mut self, note: &NodeNote) {
        match note {
            NodeNote::RetryMade {
                request,
                service,
                from,
            } => {
                self.count(SeriesKey::of(MetricName::Retries).service(service));
                let fields = EventFields::new().request(request).service(service);
                self.emit(EventCode::RetryMade, &fields.upstream(from));
            }
            NodeNote::RetryBudgetSpent {
                request,
                customer,
                service,
            } => {
                self.count(SeriesKey::of(MetricName::RetriesDenied).service(service));
                let fields = EventFields::new().request(request).customer(customer);
                self.emit(EventCode::RetryBudgetExhausted, &fields.service(service));
            }
            NodeNote::AttemptSent { .. }
            | NodeNote::WorkDecided { .. }
            | NodeNote::WorkDone { .. } => self.attempt(note),
            NodeNote::HedgeSent {
                request,
                service,
                to,
            } => {
                self.count(SeriesKey::of(MetricName::Hedges).service(service));
                let fields = EventFields::new().request(request).service(service);
                self.emit(EventCode::HedgeSent, &fields.upstream(to));
            }
            NodeNote::HedgeWon { service, .. } => {
                self.count(SeriesKey::of(MetricName::HedgesWon).service(service));
            }
            NodeNote::CancelSent {
                request,
                service,
                to,
            } => {
                let fields = EventFields::new().request(request).service(service);
                self.emit(EventCode::CancelSent, &fields.upstream(to));
            }
            NodeNote::ReplyRejected { service, .. } => {
                let rejected = SeriesKey::of(MetricName::ReplyRejected).service(service);
                self.count(rejected.detail("wrong"));
            }
            NodeNote::ReplyLate { request } => {
                self.count(SeriesKey::of(MetricName::ReplyRejected).detail("late"));
                self.emit(EventCode::ReplyLate, &EventFields::new().request(request));
            }
            NodeNote::ReplyReplayed { request, .. } => {
                self.count(SeriesKey::of(MetricName::KeysReplayed));
                self.emit(EventCode::KeyReplayed, &EventFields::new().request(request));
            }
            NodeNote::RunUnproven { request, service } => {
                let fields = EventFields::new().request(request).service(service);
                self.emit(EventCode::RunUnproven, &fields);
            }
            NodeNote::FenceHeld { request } => {
                self.emit(EventCode::FenceHeld, &EventFields::new().request(request));
            }
            NodeNote::CrashRequestStopped { request } => {
                let fields = EventFields::new().request(request);
                self.emit(EventCode::CrashRequestStopped, &fields);
            }
            _ => {}
        }
    }

    fn contracts(&mut self, note: &NodeNote) {
        match note {
            NodeNote::ContractAccepted {
                offset,
                customer,
                version,
            } => {
                let fields = EventFields::new().customer(customer).version(version);
                self.emit(EventCode::ContractInForce, &fields.offset(offset));
            }
            NodeNote::FleetContractTaken {
                version,
                before,
                from,
                heard_ago,
            } => {
                let reason =
                    heard_ago.map(|age| format!("first heard of {}ms ago", age.as_millis()));
                let mut fields = EventFields::new().version(version).limit(before);
                if let Some(from) = from {
                    fields = fields.peer(from);
                }
                if let Some(reason) = &reason {
                    fields = fields.reason(reason);
                }
                self.emit(EventCode::ContractInForce, &fields);
            }
            NodeNote::SourceFollowed {
                follow,
                version,
                members,
            } => {
                let reason = if *follow { "started" } else { "stopped" };
                let fields = EventFields::new().version(version).count(members);
                self.emit(EventCode::SourceFollowed, &fields.reason(&reason));
            }
            NodeNote::ContractRejected { offset, reason } => {
                let fields = EventFields::new().offset(offset).reason(reason);
                self.emit(EventCode::ContractRejected, &fields);
            }
            NodeNote::PoisonRecord { offset, reason } => {
                let fields = EventFields::new().offset(offset).reason(reason);
                self.emit(EventCode::PoisonRecord, &fields);
            }
            NodeNote::ContractsCarried { offset } => {
                let fields = EventFields::new().offset(offset);
                self.emit(EventCode::ContractCarried, &fields);
            }
            NodeNote::CarriesLate { late } => {
                self.emit(EventCode::CarryOverdue, &EventFields::new().count(late));
            }
            NodeNote::ContractsBehind { offset, head } => self.behind(*offset, *head),
            NodeNote::ContractsAdopted { from, offset } => {
                let fields = EventFields::new().peer(from).offset(offset);
                self.emit(EventCode::ContractFromPeer, &fields);
            }
            _ => {}
        }
    }

    /// Contracts are asked for twice a second while they are missing; each head is told once.
    fn behind(&mut self, offset: u64, head: u64) {
        self.meters.set(
            SeriesKey::of(MetricName::ContractLag),
            head.saturating_sub(offset),
        );
        if head > self.behind {
            self.behind = head;
            let fields = EventFields::new().offset(&offset).limit(&head);
            self.emit(EventCode::ContractBehind, &fields);
        }
    }

    fn log_reachable(&mut self, reachable: bool) {
        let gauge = SeriesKey::of(MetricName::LogReachable);
        self.meters.set(gauge, u64::from(reachable));
        let code = if reachable {
            EventCode::LogBack
        } else {
            EventCode::LogUnavailable
        };
        self.emit(code, &EventFields::new());
    }

    fn upstream(&self, code: EventCode, id: &UpstreamId, service: &ServiceName) {
        self.emit(code, &EventFields::new().upstream(id).service(service));
    }

    fn count(&mut self, key: SeriesKey) {
        self.meters.add(key, 1);
    }

    fn emit(&self, code: EventCode, fields: &EventFields<'_>) {
        self.events.emit(code, fields);
    }
}
