//! Turns the notes of the decision logic into numbered events, metrics and counts for error budget
//! burn.
//!
//! ```text
//!  NodeNote ─▶ NoteRecorder ─┬─▶ EventPort    a log line for the operator
//!                            ├─▶ MetricTable  a count for the metrics thread
//!                            └─▶ BurnLedger ─ every 30 seconds ─▶ AlertTracker ─▶ SL8011 to SL8013
//! ```

mod attempts;
mod audit;
mod findings;
mod loans;
mod objectives;
mod periodic;
mod requests;
mod roster;
mod waits;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_contract::RouteTable;
use sycamorelink_core::{InstanceId, RequestId, ServiceName, UpstreamId};
use sycamorelink_engine::NodeNote;
use sycamorelink_limits::LimitChange;
use sycamorelink_telemetry::burn::{AlertTracker, BurnQuery};
use sycamorelink_telemetry::reach::PartitionMonitor;
use sycamorelink_telemetry::{BurnLedger, BurnReport, EventCode, EventFields, MetricName};

use crate::memory::MemoryAccount;
use crate::metrics::{EventPort, NodeTelemetry};
use crate::metrics_table::{MetricTable, SeriesKey};
use objectives::ObjectiveTable;

pub use audit::{AuditCall, AuditNote};

/// Logs and counts the notes of one node, and records requests in its burn ledger.
pub struct NoteRecorder {
    burn: BurnLedger,
    objectives: ObjectiveTable,
    alert_tracker: AlertTracker,
    partitions: PartitionMonitor,
    events: EventPort,
    metrics: MetricTable,
    /// When a service last refused a request because of overload.
    last_shed: BTreeMap<ServiceName, Duration>,
    /// Services that callers sent requests to.
    services: BTreeSet<ServiceName>,
    /// Work in time and late in the deadline queues, by service.
    queues: BTreeMap<ServiceName, (u64, u64)>,
    memory: MemoryAccount,
    /// Highest contract offset that was reported as missing on this node.
    missing_head: u64,
    next_gauges: Duration,
    next_slow_check: Duration,
}

impl NoteRecorder {
    /// Creates a recorder for one incarnation of a node. `wall_at_start` is the wall-clock time at
    /// which the node's clock read zero.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        wall_at_start: Duration,
        telemetry: &NodeTelemetry,
        memory: MemoryAccount,
    ) -> Self {
        Self {
            burn: BurnLedger::new(instance, wall_at_start),
            objectives: ObjectiveTable::default(),
            alert_tracker: AlertTracker::default(),
            partitions: PartitionMonitor::default(),
            events: telemetry.events.clone(),
            metrics: MetricTable::new(telemetry.registry.clone()),
            last_shed: BTreeMap::new(),
            services: BTreeSet::new(),
            queues: BTreeMap::new(),
            memory,
            missing_head: 0,
            next_gauges: Duration::ZERO,
            next_slow_check: Duration::ZERO,
        }
    }

    /// Replaces the objectives by those of the contracts in force.
    pub fn refresh_objectives(&mut self, table: &RouteTable) {
        self.objectives = ObjectiveTable::of(table);
    }

    /// Returns the error budget burn of the requests that this node took from callers.
    #[must_use]
    pub fn burn_report(&self, now: Duration, query: &BurnQuery) -> BurnReport {
        self.burn.query(now, query, &self.objectives)
    }

    /// Records a note. Returns the request if the note reports its end.
    pub fn record(&mut self, now: Duration, note: &NodeNote) -> Option<RequestId> {
        match note {
            NodeNote::RequestSettled(summary) => {
                self.record_settled(now, summary);
                return Some(summary.request);
            }
            NodeNote::Pool { service, finding } => self.record_pool_finding(service, finding),
            NodeNote::Guard(note) => self.record_guard_note(note),
            NodeNote::Roster(note) => self.record_roster_note(note),
            NodeNote::MemberUp(_)
            | NodeNote::MemberDown { .. }
            | NodeNote::IncarnationRaised(_)
            | NodeNote::Superseded(_) => self.record_member_change(now, note),
            NodeNote::ContractAccepted { .. }
            | NodeNote::FleetContractAdopted { .. }
            | NodeNote::FleetContractSent { .. }
            | NodeNote::FleetContractReceived { .. }
            | NodeNote::SourceFollowed { .. }
            | NodeNote::ContractRejected { .. }
            | NodeNote::PoisonRecord { .. }
            | NodeNote::ContractsCarriedForward { .. }
            | NodeNote::CarriesOverdue { .. }
            | NodeNote::ContractsBehind { .. }
            | NodeNote::ContractsAdopted { .. } => self.record_contracts(note),
            NodeNote::ContractFinding(finding) => {
                let fields = EventFields::new()
                    .place(&finding.place)
                    .reason(&finding.message);
                self.emit(EventCode::ContractDisagreement, &fields);
            }
            NodeNote::LogReachable(reachable) => self.record_log_reachable(*reachable),
            NodeNote::UpstreamAnnounced { id, service } => {
                self.emit_upstream(EventCode::UpstreamAnnounced, id, service);
            }
            NodeNote::UpstreamReady { id, service } => {
                self.emit_upstream(EventCode::UpstreamReady, id, service);
            }
            NodeNote::ServerLimitHeld { service } => {
                self.increment(SeriesKey::of(MetricName::ServerLimitRefused).service(service));
            }
            NodeNote::ServerLimitChanged {
                id,
                service,
                rate,
                limited_for,
            } => self.record_server_limit(id, service, *rate, *limited_for),
            NodeNote::ConcurrencyLimitChanged {
                id,
                service,
                change,
            } => self.emit_limit_change(id, service, change),
            NodeNote::LoanAsked { .. }
            | NodeNote::LoanAnswered { .. }
            | NodeNote::LoanReceived { .. }
            | NodeNote::LoanDropped { .. }
            | NodeNote::LoanEnded { .. } => self.record_loan(note),
            NodeNote::UpstreamLeaving { id, service } => {
                self.emit_upstream(EventCode::UpstreamLeaving, id, service);
            }
            NodeNote::UpstreamLapsed { id, service } => {
                self.emit_upstream(EventCode::HeartbeatLapsed, id, service);
            }
            NodeNote::RivalAnnounced { .. } => self.emit_rival(note),
            NodeNote::UpstreamCrashed { id, service } => {
                self.emit_upstream(EventCode::CrashSuspected, id, service);
            }
            NodeNote::BreakerChanged {
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
                self.emit_upstream(EventCode::UpstreamGone, id, service);
            }
            NodeNote::CapacityReportInvalid {
                from,
                service,
                id,
                error,
            } => {
                let fields = EventFields::new().peer(from).service(service);
                let fields = fields.upstream(id).reason(error);
                self.emit(EventCode::CapacityReportInvalid, &fields);
            }
            _ => self.record_request_progress(note),
        }
        None
    }

    /// Records notes about requests that are still in progress.
    fn record_request_progress(&mut self, note: &NodeNote) {
        match note {
            NodeNote::RetryMade {
                request,
                service,
                from,
            } => {
                self.increment(SeriesKey::of(MetricName::Retries).service(service));
                let fields = EventFields::new().request(request).service(service);
                self.emit(EventCode::RetryMade, &fields.upstream(from));
            }
            NodeNote::RetryBudgetSpent {
                request,
                customer,
                service,
            } => {
                self.increment(SeriesKey::of(MetricName::RetriesDenied).service(service));
                let fields = EventFields::new().request(request).customer(customer);
                self.emit(EventCode::RetryBudgetExhausted, &fields.service(service));
            }
            NodeNote::AttemptSent { .. }
            | NodeNote::WorkDecided { .. }
            | NodeNote::WorkBecameLate { .. }
            | NodeNote::WorkDone { .. } => self.record_attempt(note),
            NodeNote::ReturnAdvised {
                request,
                service,
                advice,
                outlook,
            } => self.record_advice((request, service), *advice, outlook),
            NodeNote::WaitStarted { .. }
            | NodeNote::WaitReleased { .. }
            | NodeNote::WaitEnded { .. }
            | NodeNote::DecliningChanged { .. } => self.record_wait(note),
            NodeNote::HedgeSent {
                request,
                service,
                to,
            } => {
                self.increment(SeriesKey::of(MetricName::Hedges).service(service));
                let fields = EventFields::new().request(request).service(service);
                self.emit(EventCode::HedgeSent, &fields.upstream(to));
            }
            NodeNote::HedgeWon { service, .. } => {
                self.increment(SeriesKey::of(MetricName::HedgesWon).service(service));
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
                self.increment(rejected.detail("wrong"));
            }
            NodeNote::ReplyLate { request } => {
                self.increment(SeriesKey::of(MetricName::ReplyRejected).detail("late"));
                self.emit(EventCode::ReplyLate, &EventFields::new().request(request));
            }
            NodeNote::ReplyReplayed { request, .. } => {
                self.increment(SeriesKey::of(MetricName::KeysReplayed));
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

    fn record_contracts(&mut self, note: &NodeNote) {
        match note {
            NodeNote::ContractAccepted {
                offset,
                customer,
                version,
            } => {
                let fields = EventFields::new().customer(customer).version(version);
                self.emit(EventCode::ContractInForce, &fields.offset(offset));
            }
            NodeNote::FleetContractAdopted {
                version,
                before,
                from,
                known_for,
            } => {
                let reason =
                    known_for.map(|age| format!("first heard of {}ms ago", age.as_millis()));
                let mut fields = EventFields::new().version(version).limit(before);
                if let Some(from) = from {
                    fields = fields.peer(from);
                }
                if let Some(reason) = &reason {
                    fields = fields.reason(reason);
                }
                self.emit(EventCode::ContractInForce, &fields);
            }
            NodeNote::FleetContractSent {
                to,
                version,
                newer_than,
                bytes,
            } => {
                self.count_contract_bytes(MetricName::ControlBytesSent, *bytes);
                let fields = EventFields::new().peer(to).version(version);
                let fields = fields.offset(newer_than).count(bytes);
                self.emit(EventCode::ContractSent, &fields);
            }
            NodeNote::FleetContractReceived {
                from,
                before,
                bytes,
                applied,
            } => {
                self.count_contract_bytes(MetricName::ControlBytesReceived, *bytes);
                let reason = if *applied { "applied" } else { "not applied" };
                let fields = EventFields::new().peer(from).version(before);
                let fields = fields.count(bytes).reason(&reason);
                self.emit(EventCode::ContractReceived, &fields);
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
            NodeNote::ContractsCarriedForward { offset } => {
                let fields = EventFields::new().offset(offset);
                self.emit(EventCode::ContractCarried, &fields);
            }
            NodeNote::CarriesOverdue { late } => {
                self.emit(EventCode::CarryOverdue, &EventFields::new().count(late));
            }
            NodeNote::ContractsBehind { offset, head } => self.record_lag(*offset, *head),
            NodeNote::ContractsAdopted { from, offset } => {
                let fields = EventFields::new().peer(from).offset(offset);
                self.emit(EventCode::ContractFromPeer, &fields);
            }
            _ => {}
        }
    }

    fn count_contract_bytes(&mut self, name: MetricName, bytes: usize) {
        let key = SeriesKey::of(name).detail("contract");
        self.metrics.add(key, bytes as u64);
    }

    /// Reports each log head only once, because missing contracts are requested twice a second.
    fn record_lag(&mut self, offset: u64, head: u64) {
        self.metrics.set(
            SeriesKey::of(MetricName::ContractLag),
            head.saturating_sub(offset),
        );
        if head > self.missing_head {
            self.missing_head = head;
            let fields = EventFields::new().offset(&offset).limit(&head);
            self.emit(EventCode::ContractBehind, &fields);
        }
    }

    fn record_log_reachable(&mut self, reachable: bool) {
        let gauge = SeriesKey::of(MetricName::LogReachable);
        self.metrics.set(gauge, u64::from(reachable));
        let code = if reachable {
            EventCode::LogBack
        } else {
            EventCode::LogUnavailable
        };
        self.emit(code, &EventFields::new());
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a limit is not negative, and one too large for the gauge is clamped"
    )]
    fn record_server_limit(
        &mut self,
        id: &UpstreamId,
        service: &ServiceName,
        rate: Option<f64>,
        limited_for: Duration,
    ) {
        let gauge = SeriesKey::of(MetricName::ServerLimit).service(service);
        self.metrics
            .set(gauge, (rate.unwrap_or_default() * 1000.0).round() as u64);
        let duration = format!("{}ms", limited_for.as_millis());
        let fields = EventFields::new().upstream(id).service(service);
        let fields = fields.duration(&duration);
        match &rate {
            Some(rate) => self.emit(EventCode::RateLimitNamed, &fields.limit(rate)),
            None => self.emit(EventCode::RateLimitEnded, &fields),
        }
    }

    fn emit_limit_change(&self, id: &UpstreamId, service: &ServiceName, change: &LimitChange) {
        let reason = format!(
            "from {}: {}, concurrency {:.1}, run time {}ms of {} runs, gain {:.3}, error {:.3}",
            change.from,
            change.cause.as_str(),
            change.concurrency,
            change.mean_run.as_millis(),
            change.samples,
            change.gain,
            change.gain_error,
        );
        let fields = EventFields::new().upstream(id).service(service);
        let fields = fields.limit(&change.to).reason(&reason);
        self.emit(EventCode::ConcurrencyLimitChanged, &fields);
    }

    fn emit_upstream(&self, code: EventCode, id: &UpstreamId, service: &ServiceName) {
        self.emit(code, &EventFields::new().upstream(id).service(service));
    }

    fn emit_rival(&self, note: &NodeNote) {
        let NodeNote::RivalAnnounced {
            id,
            service,
            rival,
            current,
            reason,
        } = note
        else {
            return;
        };
        let (code, reason) = match reason {
            Some(reason) => (EventCode::IncarnationReplaced, reason.as_str()),
            None => (EventCode::AnnouncementHeld, "held"),
        };
        let reason = format!("{rival} beside {current}: {reason}");
        let fields = EventFields::new().upstream(id).service(service);
        self.emit(code, &fields.reason(&reason));
    }

    fn increment(&mut self, key: SeriesKey) {
        self.metrics.add(key, 1);
    }

    fn emit(&self, code: EventCode, fields: &EventFields<'_>) {
        self.events.emit(code, fields);
    }
}
