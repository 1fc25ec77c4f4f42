//! Applies per-customer contracts from the log, and carries expiring records forward in it.

use std::time::Duration;

use sycamorelink_contract::{ApplyOutcome, CarryWindow, DetectionLeaning, RejectReason};
use sycamorelink_guard::{FoundingRecord, GuardEvent};
use sycamorelink_limits::{CustomerIndex, CustomerLimit, ShareEvent};
use sycamorelink_policy::{Leaning, PoolSettings};
use sycamorelink_roster::{RosterEvent, topic};

use crate::command::NodeCommand;
use crate::event::{LogEntry, LogStream};
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Interval between two checks for records that must be carried forward in the log.
const CARRY_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of compiled routes. The least recently used ones are dropped and compiled again
/// on the next request.
const MAX_COMPILED_ROUTES: usize = 50_000;
/// Key of the single gossip entry that announces the newest known contract.
pub(crate) const HEAD_KEY: u64 = 0;

impl NodeEngine {
    pub(crate) fn on_log_read(
        &mut self,
        now: Duration,
        stream: LogStream,
        (first, next): (u64, u64),
        records: &[LogEntry],
        out: &mut Vec<NodeCommand>,
    ) {
        match stream {
            LogStream::Contracts => self.read_contracts(now, (first, next), records, out),
            LogStream::Guard => self.read_founding_records(now, records, out),
        }
    }

    fn read_contracts(
        &mut self,
        now: Duration,
        (first, next): (u64, u64),
        records: &[LogEntry],
        out: &mut Vec<NodeCommand>,
    ) {
        self.log_oldest = first;
        let before = self.book.next_offset();
        self.book.on_log_head(next);
        if self.book.needs_rebuild() {
            self.rebuild_contracts(first, next, out);
            return;
        }
        if first > before {
            self.book.restart_at(first, next);
        }
        for record in records {
            let outcome = self.book.apply(record.offset, &record.bytes);
            if let Some(note) = note_of(record.offset, outcome) {
                out.push(NodeCommand::Note(note));
            }
        }
        if self.book.next_offset() != before {
            self.refresh_contracts(now, out);
        }
    }

    /// Starts to reread the log from its oldest record, because contracts adopted from a peer
    /// contradict it. Reading on from the offset that the peer had reached would keep the peer's
    /// version. The contracts in force stay in force until the log has been read.
    fn rebuild_contracts(&mut self, first: u64, next: u64, out: &mut Vec<NodeCommand>) {
        self.book.rebuild_at(first, next);
        out.push(NodeCommand::RereadContracts);
    }

    /// Confirms an entry adopted from a peer with the record read back from the log.
    pub(crate) fn on_read_back(&mut self, offset: u64, bytes: &[u8]) {
        self.book.confirm(offset, bytes);
    }

    fn read_founding_records(
        &mut self,
        now: Duration,
        records: &[LogEntry],
        out: &mut Vec<NodeCommand>,
    ) {
        for record in records {
            let Ok(records) = serde_json::from_slice::<Vec<FoundingRecord>>(&record.bytes) else {
                continue;
            };
            self.handle_guard_event(now, GuardEvent::LogFounding { records }, out);
        }
    }

    pub(crate) fn on_log_current(
        &mut self,
        now: Duration,
        stream: LogStream,
        whole: bool,
        out: &mut Vec<NodeCommand>,
    ) {
        if stream == LogStream::Guard {
            self.handle_guard_event(now, GuardEvent::LogCurrent { whole }, out);
        }
    }

    /// Handles records that were trimmed before they were read; carried records have their
    /// contents.
    pub(crate) fn on_log_gap(
        &mut self,
        now: Duration,
        stream: LogStream,
        first: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        if stream == LogStream::Contracts {
            self.book.restart_at(first, first);
            self.refresh_contracts(now, out);
        }
    }

    pub(crate) fn on_log_reachable(
        &mut self,
        now: Duration,
        reachable: bool,
        out: &mut Vec<NodeCommand>,
    ) {
        if self.log_reachable == reachable {
            return;
        }
        self.log_reachable = reachable;
        out.push(NodeCommand::Note(NodeNote::LogReachable(reachable)));
        if !reachable {
            self.handle_guard_event(now, GuardEvent::LogLost, out);
        }
    }

    /// Puts the contents of the changed contract book into force: routes, limits and floors.
    /// Announces the newest offset to peers.
    pub(crate) fn refresh_contracts(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.table = self.book.table();
        self.refresh_limits(now, out);
        self.refresh_pools();
        out.push(NodeCommand::ContractsChanged);
        let event = RosterEvent::Publish {
            topic: topic::CONTRACT_HEAD,
            key: HEAD_KEY,
            version: self.newest_contract(),
            body: Vec::new(),
        };
        self.handle_roster_event(now, event, out);
    }

    fn refresh_limits(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let mut events = Vec::new();
        let mut present = std::collections::BTreeSet::new();
        for (index, rule) in self.table.customers() {
            let index = CustomerIndex(index.0);
            present.insert(index);
            if self.in_force.insert(index, rule.version) != Some(rule.version) {
                let limit = CustomerLimit {
                    customer: rule.customer.clone(),
                    rate_millis: millirate_of(rule.rate),
                    concurrency: rule.concurrency,
                };
                events.push(ShareEvent::Contract { index, limit });
            }
        }
        let gone: Vec<CustomerIndex> = self
            .in_force
            .keys()
            .filter(|index| !present.contains(index))
            .copied()
            .collect();
        for index in gone {
            self.in_force.remove(&index);
            events.push(ShareEvent::Withdrawn { index });
        }
        let changed: Vec<CustomerIndex> = events.iter().filter_map(index_of).collect();
        self.budgets
            .retain(|(index, _), _| !changed.contains(index));
        for event in events {
            self.handle_share_event(now, event, out);
        }
    }

    fn refresh_pools(&mut self) {
        for (service, pool) in &mut self.pools {
            if let Some(rule) = self.table.service_rule(service.as_str()) {
                pool.set_floor(rule.floor, rule.floor_count);
                pool.apply(PoolSettings::for_leaning(pool_leaning(rule.leaning)));
            }
        }
    }

    /// Periodically carries records forward, reports findings and limits the number of compiled
    /// routes.
    pub(crate) fn maintain_contracts(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if now < self.next_carry {
            return;
        }
        self.next_carry = now + CARRY_INTERVAL;
        self.carry_contracts(now, out);
        for finding in self.book.take_findings() {
            out.push(NodeCommand::Note(NodeNote::ContractFinding(finding)));
        }
        if self.book.drop_compiled_routes(MAX_COMPILED_ROUTES) {
            self.table = self.book.table();
            out.push(NodeCommand::ContractsChanged);
        }
    }

    /// Appends the records again that the log's retention would otherwise drop.
    fn carry_contracts(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let window = CarryWindow::new(
            self.own.instance.node,
            self.log_oldest,
            self.wall_at_start + now,
            self.settings.log_retention,
        );
        let due = self.book.due_carries(&window);
        let late = due.late;
        if late > 0 {
            out.push(NodeCommand::Note(NodeNote::CarriesOverdue { late }));
        }
        if !self.log_reachable {
            return;
        }
        for offset in due.checks {
            out.push(NodeCommand::ReadContract { offset });
        }
        for record in due.records {
            out.push(NodeCommand::AppendContract {
                bytes: record.encode(),
            });
        }
    }
}

fn index_of(event: &ShareEvent) -> Option<CustomerIndex> {
    match event {
        ShareEvent::Contract { index, .. } | ShareEvent::Withdrawn { index } => Some(*index),
        _ => None,
    }
}

/// Converts a rate to thousandths of a request per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
fn millirate_of(rate: f64) -> u32 {
    (rate * 1000.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}

pub(crate) fn pool_leaning(leaning: DetectionLeaning) -> Leaning {
    match leaning {
        DetectionLeaning::FewFalseEjections => Leaning::FewFalseEjections,
        DetectionLeaning::Balanced => Leaning::Balanced,
        DetectionLeaning::FastDetection => Leaning::FastDetection,
    }
}

/// Returns the note for operators about an applied record. Copies, changes whose base is not known
/// yet and records after a gap produce none: their outcome is reported when it is known.
fn note_of(offset: u64, outcome: ApplyOutcome) -> Option<NodeNote> {
    match outcome {
        ApplyOutcome::Accepted { customer, version } => Some(NodeNote::ContractAccepted {
            offset,
            customer,
            version,
        }),
        ApplyOutcome::Rejected { reason, .. } => Some(rejection_of(offset, &reason)),
        ApplyOutcome::Carried(_) => Some(NodeNote::ContractsCarriedForward { offset }),
        ApplyOutcome::Repeated { .. }
        | ApplyOutcome::Deferred { .. }
        | ApplyOutcome::Skipped
        | ApplyOutcome::Gap { .. } => None,
    }
}

fn rejection_of(offset: u64, reason: &RejectReason) -> NodeNote {
    let text = reason.to_string();
    match reason {
        RejectReason::Unreadable(_) | RejectReason::FutureFormat(_) => NodeNote::PoisonRecord {
            offset,
            reason: text,
        },
        _ => NodeNote::ContractRejected {
            offset,
            reason: text,
        },
    }
}
