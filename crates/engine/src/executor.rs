//! Executor: admission and execution of work for the backend servers beside this node.
//!
//! ```text
//! offer ─ repeats ─ upstream ─ fence ─ breaker ─ crashes ─ guard (keyed) ─ gate ─ run ─ end
//!            └─────────┴─────────┴────────┴─────────┴─────────┴─────────────┴─▶ refused as not run
//! ```
//!
//! `repeats` is the bound on repeats of the service, `fence` the record of attempts that must not
//! start, and `crashes` the registry of requests that crash backend servers.

use std::time::Duration;

use sycamorelink_core::{
    AttemptId, InstanceId, RefusalCode, RequestRefusal, ServiceName, UpstreamId,
};
use sycamorelink_guard::{DispatchTicket, GuardEvent, WorkOutcome};
use sycamorelink_limits::{CrashCheck, GateCommand, GateDecision, GateLoad, WorkId};
use sycamorelink_policy::{LoadHint, SampleKind, UpstreamSample};

use crate::command::NodeCommand;
use crate::event::{ArrivalKind, ServerNotice, WorkEnd, WorkOffer, WorkReport};
use crate::fencing::FenceMark;
use crate::local_upstream::LocalUpstream;
use crate::node::{HandoverState, NodeEngine};
use crate::note::NodeNote;
use crate::request::{WorkPhase, WorkState};
use crate::server_speed::RunUse;

/// Lowest HTTP status that counts as a server error.
pub(crate) const SERVER_ERROR: u16 = 500;
/// Retry delay given for an upstream that is gone, leaving or suspect.
const UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(500);

impl NodeEngine {
    pub(crate) fn on_work_offered(
        &mut self,
        now: Duration,
        offer: WorkOffer,
        out: &mut Vec<NodeCommand>,
    ) {
        let work = offer.work;
        let time_left = offer.time_left;
        let mut state = WorkState {
            deadline: now + time_left,
            phase: WorkPhase::Queued,
            offered: now,
            started: now,
            life: None,
            on_turn: false,
            connection_lost: false,
            on_trial: false,
            queue_step: None,
            repeat: None,
            offer,
        };
        let slot = state.offer.slot;
        let service = state.offer.service.clone();
        let attempt = state.offer.attempt;
        let signature = state.signature();
        if state.offer.arrival == ArrivalKind::Repeat {
            match self.withdraw_repeat(now, slot, state.offer.kind) {
                Ok(repeat) => state.repeat = repeat,
                Err(code) => {
                    let refusal = RequestRefusal::not_run(code);
                    let left = state.offer.time_left;
                    self.note_offer_decision(&state.offer, (Some(code), None), left, out);
                    let load = self.load_of(slot);
                    out.push(NodeCommand::RefuseWork {
                        work,
                        refusal,
                        load,
                    });
                    self.ask_for_repeats(now, slot, out);
                    return;
                }
            }
        }
        self.works.insert(work, state);
        if !self.serves(slot, &service) {
            let refusal = RequestRefusal::not_run(RefusalCode::NoUpstream);
            self.refuse_work(work, refusal.retry_after(UPSTREAM_RETRY_DELAY), out);
            return;
        }
        let deadline = now + time_left;
        if let Some(refusal) = self.refusal_to_leave(now, deadline, &service) {
            self.refuse_work(work, refusal, out);
            return;
        }
        if self.fence_mark(attempt) == Some(FenceMark::Refused) {
            let refusal = RequestRefusal::not_run(RefusalCode::Draining);
            self.refuse_work(work, refusal, out);
            return;
        }
        if !self.passes_breaker(now, work) {
            let refusal = RequestRefusal::not_run(RefusalCode::UpstreamSuspect);
            self.refuse_work(work, refusal.retry_after(UPSTREAM_RETRY_DELAY), out);
            return;
        }
        if signature.0 == 0 {
            self.ask_guard(now, work, out);
            return;
        }
        match self.crash.check(now, signature) {
            CrashCheck::Clear => self.ask_guard(now, work, out),
            CrashCheck::Probation => self.request_turn(now, work, out),
            CrashCheck::Stopped { retry_after } => self.stop_crash_request(work, retry_after, out),
        }
    }

    /// Returns whether the upstream exists and runs the service of the work.
    ///
    /// After a backend server ends, one of another service can take its number on this node, and a
    /// peer with outdated membership sends work of the old service. The service named in work is
    /// therefore compared with the service that runs here now.
    fn serves(&self, slot: u16, service: &ServiceName) -> bool {
        let upstream = self.upstreams.get(&slot);
        let is_up = upstream
            .is_some_and(|upstream| upstream.available && upstream.announced.service == *service);
        is_up && self.handover != HandoverState::Drained
    }

    /// Passes keyed work to the guard, which must have its own record before the work may run here.
    pub(crate) fn ask_guard(&mut self, now: Duration, work: WorkId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.works.get(&work) else {
            return;
        };
        match state.offer.ticket.clone() {
            Some(ticket) => self.handle_guard_event(now, GuardEvent::Offered { ticket }, out),
            None => self.ask_gate(now, work, out),
        }
    }

    /// Offers keyed work to the slot gate after the guard granted it.
    pub(crate) fn on_work_granted(
        &mut self,
        now: Duration,
        ticket: &DispatchTicket,
        out: &mut Vec<NodeCommand>,
    ) {
        let attempt = ticket.attempt;
        let found = self.works.iter().find(|(_, state)| {
            state
                .offer
                .ticket
                .as_ref()
                .is_some_and(|held| held.attempt == attempt)
        });
        let Some(work) = found.map(|(work, _)| *work) else {
            return;
        };
        self.ask_gate(now, work, out);
    }

    /// Offers work to the gate of its upstream.
    fn ask_gate(&mut self, now: Duration, work: WorkId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        state.phase = WorkPhase::Queued;
        let (slot, patience) = (state.offer.slot, state.offer.patience);
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let class = self.class_of(now, state);
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let class = upstream.gate.limit_queue_wait(now, class, patience);
        let mut commands = Vec::new();
        let decision = upstream.gate.offer(now, work, class, &mut commands);
        let is_limited = upstream.limit.is_some();
        let service = upstream.announced.service.clone();
        let must_leave = self.note_queue_place(work, &decision, out);
        self.note_queue_events(now, slot, out);
        match decision {
            GateDecision::Run => self.start_work(now, work, out),
            GateDecision::Queued if must_leave => {
                self.refuse_waiting(now, work, RefusalCode::Draining, out);
            }
            GateDecision::Queued => {}
            GateDecision::Refused { code, retry_after } => {
                if is_limited && code == RefusalCode::Overloaded {
                    out.push(NodeCommand::Note(NodeNote::ServerLimitHeld { service }));
                }
                self.refuse_unstarted(now, work, code, retry_after, out);
            }
        }
        self.on_gate_commands(now, commands, out);
    }

    fn start_work(&mut self, now: Duration, work: WorkId, out: &mut Vec<NodeCommand>) {
        if !self.count_arrival(now, work) {
            self.refuse_at_start(now, work, out);
            return;
        }
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        state.phase = WorkPhase::Running;
        state.started = now;
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let attempt = state.offer.attempt;
        let slot = state.offer.slot;
        let id = upstream_id(self.own.instance, slot);
        if let Some(pool) = self.pools.get_mut(&state.offer.service) {
            pool.started_locally(now, id);
        }
        let upstream = self.upstreams.get(&slot);
        let life = upstream.and_then(LocalUpstream::life_id);
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        state.life.clone_from(&life);
        let life = life.map(|life| life.name);
        let (kind, allowed) = (state.offer.kind, state.offer.time_left);
        if let Some(upstream) = self.upstreams.get_mut(&slot) {
            upstream.breaker.started(now, work.0, kind, allowed);
        }
        self.mark_begun(now, attempt, allowed);
        self.note_work_decision(work, None, out);
        out.push(NodeCommand::RunWork { work, life });
    }

    /// Refuses work that got a slot after its loan of a repeat ended and no other repeat was left.
    fn refuse_at_start(&mut self, now: Duration, work: WorkId, out: &mut Vec<NodeCommand>) {
        let slot = self.works.get(&work).map(|state| state.offer.slot);
        let mut commands = Vec::new();
        if let Some(upstream) = slot.and_then(|slot| self.upstreams.get_mut(&slot)) {
            upstream.gate.released(now, work, &mut commands);
        }
        self.refuse_unstarted(now, work, RefusalCode::RepeatsSpent, None, out);
        self.on_gate_commands(now, commands, out);
    }

    /// Records the end of a run in the pool of its service. This node observes every run on the
    /// local backend server, regardless of the sender, and so detects a gray failure before any
    /// caller's node could.
    fn observe_local_run(&mut self, now: Duration, report: &WorkReport) {
        let Some(state) = self.works.get(&report.work) else {
            return;
        };
        let latency = now.saturating_sub(state.started);
        let mut sample = UpstreamSample::new(sample_kind_of(report), latency);
        sample.excused = self.uses_fleet_contract() && sample.kind != SampleKind::Served;
        let id = upstream_id(self.own.instance, state.offer.slot);
        if let Some(pool) = self.pools.get_mut(&state.offer.service) {
            pool.ended_locally(now, id, &sample);
        }
    }

    /// Refuses work that the gate did not accept. For keyed work the guard records that the work
    /// has not run, so that it may run elsewhere.
    pub(crate) fn refuse_unstarted(
        &mut self,
        now: Duration,
        work: WorkId,
        code: RefusalCode,
        retry_after: Option<Duration>,
        out: &mut Vec<NodeCommand>,
    ) {
        self.settle_guard_work(now, work, WorkOutcome::NotRun, out);
        let refusal = RequestRefusal {
            retry_after,
            ..RequestRefusal::not_run(code)
        };
        self.refuse_work(work, refusal, out);
    }

    fn settle_guard_work(
        &mut self,
        now: Duration,
        work: WorkId,
        outcome: WorkOutcome,
        out: &mut Vec<NodeCommand>,
    ) {
        let ticket = self
            .works
            .get(&work)
            .and_then(|state| state.offer.ticket.as_ref());
        if let Some(attempt) = ticket.map(|ticket| ticket.attempt) {
            self.handle_guard_event(now, GuardEvent::WorkEnded { attempt, outcome }, out);
        }
    }

    pub(crate) fn refuse_work(
        &mut self,
        work: WorkId,
        refusal: RequestRefusal,
        out: &mut Vec<NodeCommand>,
    ) {
        self.refund_repeat(self.now, work);
        self.record_in_breaker(self.now, work, None, out);
        self.note_work_decision(work, Some(refusal.code), out);
        if let Some(state) = self.works.remove(&work) {
            let load = self.load_of(state.offer.slot);
            out.push(NodeCommand::RefuseWork {
                work,
                refusal,
                load,
            });
        }
    }

    pub(crate) fn refuse_attempt(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        refusal: RequestRefusal,
        out: &mut Vec<NodeCommand>,
    ) {
        let waiting = self.works.iter().find(|(_, state)| {
            let ticket = state.offer.ticket.as_ref();
            state.phase != WorkPhase::Running
                && ticket.is_some_and(|ticket| ticket.attempt == attempt)
        });
        if let Some(work) = waiting.map(|(work, _)| *work) {
            self.remove_from_gate(now, work);
            self.refuse_work(work, refusal, out);
        }
    }

    pub(crate) fn on_work_cancelled(
        &mut self,
        now: Duration,
        work: WorkId,
        out: &mut Vec<NodeCommand>,
    ) {
        self.refund_repeat(now, work);
        let running = self.works.get(&work);
        let running =
            running.filter(|state| state.phase == WorkPhase::Running && !state.connection_lost);
        let kind = running.map(|_| SampleKind::Cancelled);
        self.record_in_breaker(now, work, kind, out);
        let Some(state) = self.works.remove(&work) else {
            return;
        };
        let mut commands = Vec::new();
        if let Some(upstream) = self.upstreams.get_mut(&state.offer.slot) {
            upstream.gate.cancel(now, work);
            // If the order to run and the cancellation cross, the work is never started and no end
            // is reported. The slot is released here, or it would stay occupied forever.
            upstream.gate.cancelled(now, work, &mut commands);
        }
        self.note_queue_events(now, state.offer.slot, out);
        self.on_gate_commands(now, commands, out);
        self.note_if_idle(state.offer.slot, out);
        if state.on_turn {
            self.return_turn(now, state.signature(), out);
        }
        self.tick_gates(now, out);
    }

    pub(crate) fn on_work_ended(
        &mut self,
        now: Duration,
        report: &WorkReport,
        out: &mut Vec<NodeCommand>,
    ) {
        let work = report.work;
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let slot = state.offer.slot;
        let life = state.life.clone();
        let signature = state.signature();
        let on_turn = state.on_turn;
        let run_use = self.run_use(now, report);
        if run_use == RunUse::Concurrency {
            self.learn_server_speed(now, report);
        }
        self.note_work_end(now, report, out);
        // A server may turn a request away without the headers of its other answers, which says
        // nothing about its limit.
        let notice = report
            .notice
            .filter(|notice| report.end == WorkEnd::Replied || *notice != ServerNotice::default());
        if let Some(notice) = notice {
            self.on_server_notice(now, work, notice, out);
        }
        let already_recorded = self
            .works
            .get(&work)
            .is_some_and(|state| state.connection_lost);
        let kind = (!already_recorded).then(|| sample_kind_of(report));
        let kind = kind.filter(|kind| !self.attributes_error_to_call(now, work, *kind));
        self.record_in_breaker(now, work, kind, out);
        self.observe_local_run(now, report);
        match report.end {
            WorkEnd::Crashed => self.on_backend_crash(now, work, slot, out),
            WorkEnd::Replaced => self.on_replaced(now, slot, life.as_ref(), out),
            WorkEnd::NotStarted
                if self.uses_fleet_contract() && self.is_current(slot, life.as_ref()) =>
            {
                self.on_withdrawn(now, slot, out);
            }
            WorkEnd::Replied => {
                self.confirm_life(slot, life.as_ref());
                let mut commands = Vec::new();
                self.crash.completed(now, signature, &mut commands);
                self.on_crash_commands(now, commands, out);
            }
            _ if on_turn => self.return_turn(now, signature, out),
            _ => {}
        }
        self.settle_guard_work(now, work, work_outcome_of(report), out);
        if let Some(state) = self.works.remove(&work) {
            let took = now.saturating_sub(state.started).as_secs_f64();
            self.call_rates.ran(state.offer.kind, took);
        }
        self.note_if_idle(slot, out);
        let mut commands = Vec::new();
        if let Some(upstream) = self.upstreams.get_mut(&slot) {
            if run_use == RunUse::RunTime {
                upstream.gate.exclude_run(now, work);
            }
            if run_use == RunUse::None {
                upstream.gate.released(now, work, &mut commands);
            } else {
                upstream.gate.finished(now, work, &mut commands);
            }
        }
        self.note_queue_events(now, slot, out);
        self.on_gate_commands(now, commands, out);
    }

    pub(crate) fn tick_gates(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let mut commands = Vec::new();
        let mut closed = Vec::new();
        for (slot, upstream) in &mut self.upstreams {
            if upstream.closes_at.is_some_and(|at| at <= now) && !upstream.gate.is_closed() {
                upstream.gate.close();
                closed.push(*slot);
                continue;
            }
            upstream.gate.tick(now, &mut commands);
            if let Some(change) = upstream.gate.take_limit_change() {
                out.push(NodeCommand::Note(NodeNote::ConcurrencyLimitChanged {
                    id: upstream_id(self.own.instance, *slot),
                    service: upstream.announced.service.clone(),
                    change,
                }));
            }
        }
        // Work queued for a leaving backend server could be forwarded to it seconds after its
        // departure was acknowledged. When the gate closes, queued work is refused as not run, so
        // that it may run elsewhere.
        for slot in closed {
            self.refuse_queued(now, slot, RefusalCode::Draining, out);
        }
        let slots: Vec<u16> = self.upstreams.keys().copied().collect();
        for slot in slots {
            self.note_queue_events(now, slot, out);
        }
        self.on_gate_commands(now, commands, out);
    }

    fn on_gate_commands(
        &mut self,
        now: Duration,
        commands: Vec<GateCommand>,
        out: &mut Vec<NodeCommand>,
    ) {
        for command in commands {
            match command {
                GateCommand::Start { work } => self.start_work(now, work, out),
                GateCommand::Refuse {
                    work,
                    code,
                    retry_after,
                } => {
                    self.refuse_unstarted(now, work, code, retry_after, out);
                }
            }
        }
    }

    /// Returns the load of a local backend server; zero for an unknown number.
    #[must_use]
    pub fn load_of(&self, slot: u16) -> LoadHint {
        let upstream = self.upstreams.get(&slot);
        let load: GateLoad = upstream
            .map(|upstream| upstream.gate.load(self.now))
            .unwrap_or_default();
        let hint = LoadHint {
            in_use: saturating_u16(load.in_use),
            slots: saturating_u16(load.slots),
            queued: saturating_u16(load.queued),
            failing: 0,
        };
        hint.with_failing_chance(upstream.map_or(0.0, |upstream| upstream.breaker.chance(self.now)))
    }
}

pub(crate) fn upstream_id(own: InstanceId, slot: u16) -> UpstreamId {
    UpstreamId {
        node: own.node,
        slot,
    }
}

fn sample_kind_of(report: &WorkReport) -> SampleKind {
    match report.end {
        WorkEnd::Replied if report.status.is_some_and(|status| status >= SERVER_ERROR) => {
            SampleKind::Failed
        }
        WorkEnd::Replied => SampleKind::Served,
        WorkEnd::Declined => SampleKind::Refused,
        WorkEnd::NotStarted | WorkEnd::Replaced | WorkEnd::ConnectionLost => {
            SampleKind::ConnectionLost
        }
        WorkEnd::Crashed => SampleKind::Crashed,
        WorkEnd::Rejected => SampleKind::Wrong,
        WorkEnd::Silent => SampleKind::Silent,
        WorkEnd::Cancelled => SampleKind::Cancelled,
    }
}

fn saturating_u16(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

fn work_outcome_of(report: &WorkReport) -> WorkOutcome {
    match report.end {
        WorkEnd::Replied => WorkOutcome::Ran(report.reply.clone()),
        WorkEnd::NotStarted | WorkEnd::Declined | WorkEnd::Replaced => WorkOutcome::NotRun,
        WorkEnd::Crashed
        | WorkEnd::ConnectionLost
        | WorkEnd::Rejected
        | WorkEnd::Silent
        | WorkEnd::Cancelled => WorkOutcome::Unknown,
    }
}
