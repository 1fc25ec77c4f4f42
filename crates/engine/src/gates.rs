//! Gates of the local backend servers: their kind, their replacement and reports on their queues.
//!
//! ```text
//! contract ─▶ overload control on or off ─┬▶ another gate: running work keeps its slot
//!          ─▶ first or last account ───────┘                queued work is refused as not run
//! ```

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::FLEET_CUSTOMER;
use sycamorelink_core::{CustomerName, RefusalCode};
use sycamorelink_limits::{
    AdmissionGate, DeadlineGate, GateDecision, QueueCount, QueueEvent, SlotGate, WorkClass, WorkId,
};
use sycamorelink_policy::PolicyMechanism;

use crate::command::NodeCommand;
use crate::event::UpstreamAnnouncement;
use crate::executor::upstream_id;
use crate::local_upstream::GateKind;
use crate::node::NodeEngine;
use crate::note::{NodeNote, QueueStep};
use crate::request::{WorkPhase, WorkState};

impl NodeEngine {
    /// Returns whether work waits beside the local backend servers by objective and deadline.
    #[must_use]
    pub fn queues_by_deadline(&self) -> bool {
        self.uses_overload_mechanism(PolicyMechanism::DeadlineQueue)
    }

    /// Returns the kind of the gates under the contract in force.
    ///
    /// Without client accounts all work has one lane, as in a deployment without fair queueing.
    pub(crate) fn gate_kind(&self) -> GateKind {
        if !self.queues_by_deadline() {
            return GateKind::Slots;
        }
        let contract = self.fleet.current.as_ref();
        let has_accounts = contract.is_some_and(|(_, table)| table.has_accounts());
        if has_accounts && self.uses_overload_mechanism(PolicyMechanism::FairQueueing) {
            GateKind::Accounts
        } else {
            GateKind::Deadline
        }
    }

    /// Returns a gate for a backend server that started cold at `now`.
    pub(crate) fn new_gate(
        &self,
        now: Duration,
        announced: &UpstreamAnnouncement,
    ) -> Box<dyn AdmissionGate> {
        let mut settings = self.settings.gate.clone();
        settings.slots = u32::from(announced.slots);
        let kind = self.gate_kind();
        if kind == GateKind::Slots {
            return Box::new(SlotGate::new(settings, now).warm_up_left(now, announced.warm_up));
        }
        let left = announced.warm_up.unwrap_or(settings.warm_up);
        let gate = DeadlineGate::builder(now)
            .slots(settings.slots)
            .queue(self.settings.overload.queue)
            .share_by_account(kind == GateKind::Accounts)
            .first_service_time(settings.first_service_time)
            .warm_up(settings.warm_up.min(left))
            .limit_concurrency(self.limits_concurrency());
        Box::new(gate.build())
    }

    /// Replaces the gates of the local backend servers if a contract switched overload control on or
    /// off, gained its first client account or lost its last one.
    ///
    /// Running work keeps its slot, and the warm-up, the rate limit and the closing of a server
    /// continue. Queued work was accepted by other rules, so it is refused and may run elsewhere.
    pub(crate) fn refresh_gates(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let kind = self.gate_kind();
        let outdated = self.upstreams.iter();
        let outdated = outdated.filter(|(_, upstream)| upstream.gate_kind != kind);
        let outdated: Vec<u16> = outdated.map(|(slot, _)| *slot).collect();
        for slot in outdated {
            self.replace_gate(now, slot);
            self.refuse_queued(now, slot, RefusalCode::Overloaded, out);
        }
    }

    fn replace_gate(&mut self, now: Duration, slot: u16) {
        let Some(upstream) = self.upstreams.get(&slot) else {
            return;
        };
        let mut gate = self.new_gate(now, &upstream.announced);
        gate.set_warm_up(upstream.gate.warm_up());
        let by_deadline = self.queues_by_deadline();
        if let Some(upstream) = self.upstreams.get_mut(&slot) {
            let learned = upstream.gate.take_learned().or(upstream.learned.take());
            if by_deadline && let Some(learned) = learned {
                gate.put_learned(now, learned);
            } else {
                upstream.learned = learned;
            }
        }
        let Some(upstream) = self.upstreams.get(&slot) else {
            return;
        };
        for work in upstream.gate.running_work() {
            if let Some(state) = self.works.get(&work) {
                gate.adopt_running(work, self.class_of(now, state), state.started);
            }
        }
        if upstream.gate.is_closed() {
            gate.close();
        }
        let kind = self.gate_kind();
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        if let Some(permits) = upstream.gate.take_permits() {
            gate.put_permits(permits);
        }
        upstream.gate = gate;
        upstream.gate_kind = kind;
    }

    /// Returns the properties of work that its admission depends on.
    ///
    /// Under a fleet contract all work shares one lane of the slot gate. With a lane for each client
    /// account, the calls made by backend servers, which belong to no account, would share one lane
    /// among eighty and be refused first, although a run waits for each of these calls. Quotas
    /// isolate the accounts instead, and under overload control the account in the terms, which
    /// calls take over from their runs.
    pub(crate) fn class_of(&self, now: Duration, state: &WorkState) -> WorkClass {
        let lane = if self.uses_fleet_contract() {
            CustomerName::new(FLEET_CUSTOMER)
        } else {
            state.offer.customer.clone()
        };
        let terms = state.offer.terms.as_ref();
        let objective_left = terms.and_then(|terms| terms.objective_left);
        WorkClass {
            kind: state.offer.kind,
            objective: objective_left.map(|left| now + left),
            account: terms.and_then(|terms| terms.account.clone()),
            ..WorkClass::new(lane, state.offer.priority, state.deadline)
        }
    }

    /// Reports the place that an offer got in the queue of its upstream or was refused there.
    /// Returns whether the work must not wait, because this node is leaving.
    pub(crate) fn note_queue_place(
        &mut self,
        work: WorkId,
        decision: &GateDecision,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let by_deadline = self.queues_by_deadline();
        let Some(state) = self.works.get_mut(&work) else {
            return false;
        };
        let upstream = self.upstreams.get(&state.offer.slot);
        let place = upstream.and_then(|upstream| upstream.gate.offered_place());
        let leaving = by_deadline && self.draining.is_some();
        match decision {
            GateDecision::Run => return false,
            GateDecision::Queued if leaving => return true,
            GateDecision::Queued => state.queue_step = place.map(QueueStep::Queued),
            GateDecision::Refused { .. } => state.queue_step = place.map(QueueStep::Declined),
        }
        if *decision == GateDecision::Queued && place.is_some() {
            self.note_work_decision(work, None, out);
            if let Some(state) = self.works.get_mut(&work) {
                state.queue_step = None;
            }
        }
        false
    }

    /// Reports changes to queued work. The refusals that follow from them name them as the cause.
    pub(crate) fn note_queue_events(
        &mut self,
        now: Duration,
        slot: u16,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        for event in upstream.gate.take_queue_events() {
            let (work, step) = match event {
                QueueEvent::BecameLate(work) => (work, None),
                QueueEvent::Expired(work) => (work, Some(QueueStep::Expired)),
                QueueEvent::Displaced(work) => (work, Some(QueueStep::Displaced)),
                QueueEvent::DisplacedByShare(work) => (work, Some(QueueStep::DisplacedByShare)),
            };
            let Some(state) = self.works.get_mut(&work) else {
                continue;
            };
            state.queue_step = step;
            if step.is_none() {
                out.push(NodeCommand::Note(NodeNote::WorkBecameLate {
                    label: Arc::clone(&state.offer.label),
                    number: state.offer.attempt.number,
                    id: upstream_id(self.own.instance, slot),
                    service: state.offer.service.clone(),
                    waited: now.saturating_sub(state.offered),
                    left: state.deadline.saturating_sub(now),
                }));
            }
        }
    }

    /// Refuses the work that waits beside this node when it starts to leave, so that the work is
    /// sent elsewhere while there is time.
    pub(crate) fn refuse_queues_to_leave(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.queues_by_deadline() {
            return;
        }
        let slots: Vec<u16> = self.upstreams.keys().copied().collect();
        for slot in slots {
            self.refuse_queued(now, slot, RefusalCode::Draining, out);
        }
    }

    /// Refuses the queued work of a server as not run, so that it may run elsewhere.
    ///
    /// Guards against work that is neither started nor refused: a server that announces itself anew
    /// gets a new slot gate, and work queued at the previous one would wait forever.
    pub(crate) fn refuse_queued(
        &mut self,
        now: Duration,
        slot: u16,
        code: RefusalCode,
        out: &mut Vec<NodeCommand>,
    ) {
        let queued = self
            .works
            .iter()
            .filter(|(_, work)| work.offer.slot == slot && work.phase == WorkPhase::Queued);
        let queued: Vec<WorkId> = queued.map(|(work, _)| *work).collect();
        for work in queued {
            self.refuse_waiting(now, work, code, out);
        }
    }

    /// Refuses work that may wait in the gate of its server.
    ///
    /// Work that stays in the gate after its refusal would get a slot that nobody frees.
    pub(crate) fn refuse_waiting(
        &mut self,
        now: Duration,
        work: WorkId,
        code: RefusalCode,
        out: &mut Vec<NodeCommand>,
    ) {
        self.remove_from_gate(now, work);
        self.refuse_unstarted(now, work, code, None, out);
    }

    pub(crate) fn remove_from_gate(&mut self, now: Duration, work: WorkId) {
        let slot = self.works.get(&work).map(|state| state.offer.slot);
        if let Some(upstream) = slot.and_then(|slot| self.upstreams.get_mut(&slot)) {
            upstream.gate.cancel(now, work);
        }
    }

    /// Returns how many requests wait beside each local backend server in time and late; empty if
    /// the deadline queue is not in use.
    #[must_use]
    pub fn queue_counts(&self) -> Vec<(UpstreamAnnouncement, QueueCount)> {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(|upstream| upstream.available && upstream.gate_kind != GateKind::Slots)
            .map(|upstream| {
                let count = upstream.gate.queue_count(self.now);
                (upstream.announced.clone(), count)
            })
            .collect()
    }
}
