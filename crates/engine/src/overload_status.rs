//! Status of overload control for one service, as shown to operators.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_contract::FLEET_CUSTOMER;
use sycamorelink_core::{CustomerName, RefusalCode, ServiceName, UpstreamId};
use sycamorelink_limits::{QueueCount, RefusalSummary, RefusalWindow, WaitReason};
use sycamorelink_policy::CapacityRecord;

use crate::command::NodeCommand;
use crate::executor::upstream_id;
use crate::local_upstream::GateKind;
use crate::node::NodeEngine;
use crate::note::{NodeNote, RequestSummary};
use crate::request::WorkPhase;

/// Maximum number of client accounts in a status.
const MAX_ACCOUNTS: usize = 10;

/// Requests that wait beside one backend server of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// Id of the backend server.
    pub id: UpstreamId,
    /// Number of waiting requests that can meet their objective, and of those that cannot.
    pub count: QueueCount,
    /// Time for which the oldest of them has waited; `None` if none waits.
    pub longest_wait: Option<Duration>,
}

/// Requests that wait in the caller queue of this node for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitStatus {
    /// Number of waiting requests.
    pub count: usize,
    /// Time for which the oldest of them has waited; `None` if none waits.
    pub longest_wait: Option<Duration>,
}

/// Status of overload control for one service in the view of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadStatus {
    /// Queues beside the backend servers of this node; empty if the deadline queue is off.
    pub queues: Vec<QueueStatus>,
    /// Requests in the caller queue, by reason; `None` if the caller queue is off.
    pub waiting: Option<BTreeMap<WaitReason, WaitStatus>>,
    /// Refusals of the last minute to callers of this node.
    pub refusals: RefusalSummary,
    /// Newest valid record of each backend server, with its present age; empty if the capacity
    /// reports are off.
    pub servers: Vec<CapacityRecord>,
}

impl NodeEngine {
    /// Returns the status of overload control for one service; `None` where overload control does
    /// not apply.
    #[must_use]
    pub fn overload_status(&self, service: &ServiceName) -> Option<OverloadStatus> {
        self.controls_overload().then(|| OverloadStatus {
            queues: self.queue_statuses(service),
            waiting: self.wait_statuses(service),
            refusals: self
                .refusals
                .get(service)
                .map_or_else(RefusalSummary::default, |window| {
                    window.summary(self.now, MAX_ACCOUNTS)
                }),
            servers: self.known_records(service),
        })
    }

    fn queue_statuses(&self, service: &ServiceName) -> Vec<QueueStatus> {
        let upstreams = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.available
                && upstream.gate_kind != GateKind::Slots
                && upstream.announced.service == *service
        });
        upstreams
            .map(|(slot, upstream)| QueueStatus {
                id: upstream_id(self.own.instance, *slot),
                count: upstream.gate.queue_count(self.now),
                longest_wait: self.longest_queue_wait(*slot),
            })
            .collect()
    }

    fn longest_queue_wait(&self, slot: u16) -> Option<Duration> {
        let queued = self
            .works
            .values()
            .filter(|work| work.offer.slot == slot && work.phase == WorkPhase::Queued);
        let waits = queued.map(|work| self.now.saturating_sub(work.offered));
        waits.max()
    }

    fn wait_statuses(&self, service: &ServiceName) -> Option<BTreeMap<WaitReason, WaitStatus>> {
        if !self.uses_caller_queue() {
            return None;
        }
        let none = WaitReason::ALL.map(|reason| (reason, WaitStatus::default()));
        let mut statuses = BTreeMap::from(none);
        for entry in self.waits.queue.waiting_for(service) {
            let status = statuses.entry(entry.terms.reason()).or_default();
            let waited = self.now.saturating_sub(entry.since);
            status.count += 1;
            status.longest_wait = status.longest_wait.max(Some(waited));
        }
        Some(statuses)
    }

    fn known_records(&self, service: &ServiceName) -> Vec<CapacityRecord> {
        let Some(table) = self.capacity.tables.get(service) else {
            return Vec::new();
        };
        let known = self.roster.upstreams(service.as_str()).into_iter();
        known
            .filter_map(|(id, _)| table.record(self.now, id))
            .collect()
    }

    /// Counts the refusals among new commands, where overload control applies.
    pub(crate) fn count_refusals(&mut self, now: Duration, commands: &[NodeCommand]) {
        if !self.controls_overload() {
            return;
        }
        for command in commands {
            if let NodeCommand::Note(NodeNote::RequestSettled(summary)) = command {
                self.count_settled(now, summary);
            }
        }
    }

    fn count_settled(&mut self, now: Duration, summary: &RequestSummary) {
        let refusal = summary.refusal.as_ref().map(|refusal| refusal.code);
        // A caller that went away was not refused.
        let refusal = refusal.filter(|code| *code != RefusalCode::CallerGone);
        if let (Some(code), Some(service)) = (refusal, &summary.service) {
            self.count_refusal(now, service, code, summary.customer.as_ref());
        }
    }

    /// Counts one refusal of a request for a service.
    pub(crate) fn count_refusal(
        &mut self,
        now: Duration,
        service: &ServiceName,
        code: RefusalCode,
        customer: Option<&CustomerName>,
    ) {
        if !self.controls_overload() {
            return;
        }
        let account = customer.filter(|name| name.as_str() != FLEET_CUSTOMER);
        let window = self.refusals.entry(service.clone()).or_default();
        window.record(now, code, account);
    }

    /// Drops the counts of refusals that are older than a minute, and all of them where overload
    /// control does not apply.
    pub(crate) fn expire_refusals(&mut self, now: Duration) {
        if !self.controls_overload() {
            self.refusals.clear();
            return;
        }
        self.refusals
            .values_mut()
            .for_each(|window: &mut RefusalWindow| window.expire(now));
        self.refusals.retain(|_, window| !window.is_empty());
    }
}
