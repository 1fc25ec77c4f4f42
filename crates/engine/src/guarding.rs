//! Connects the at-most-once guard to the engine: forwards events to it and executes its commands.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{
    RefusalCode, RequestId, RequestRefusal, RunState, ServiceName, UpstreamId,
};
use sycamorelink_guard::{
    AnswerVerdict, DispatchOutcome, DispatchTicket, GuardCommand, GuardEvent, WorkRefusal,
};
use sycamorelink_policy::{AttemptOutcome, RetryDecision, SampleKind, UpstreamPhase as OwnPhase};
use sycamorelink_roster::UpstreamPhase;

use crate::command::NodeCommand;
use crate::completion::RequestEnd;
use crate::event::AttemptReport;
use crate::message::PeerMessage;
use crate::node::{HandoverState, NodeEngine};
use crate::note::NodeNote;
use crate::request::RequestPhase;

/// Time since the arrival of a request within which a grant is used without a new check of the
/// chosen upstream.
const FAST_GRANT_TIME: Duration = Duration::from_secs(1);
/// Status reported for a reply that was stored for an earlier send; the reply itself has its own.
const REPLAYED_STATUS: u16 = 200;

impl NodeEngine {
    /// Returns when the guard needs its next tick. `None` under a fleet contract, where no route
    /// takes keys and the guard is inactive.
    pub(crate) fn next_guard_wake(&self) -> Option<Duration> {
        if self.uses_fleet_contract() {
            return None;
        }
        self.guard.next_wake()
    }

    /// Passes an event to the guard and executes its commands. Does nothing under a fleet contract,
    /// where no route takes keys.
    pub(crate) fn handle_guard_event(
        &mut self,
        now: Duration,
        event: GuardEvent,
        out: &mut Vec<NodeCommand>,
    ) {
        if self.uses_fleet_contract() {
            return;
        }
        let mut commands = Vec::new();
        self.guard.handle(now, event, &mut commands);
        for command in commands {
            self.on_guard_command(now, command, out);
        }
    }

    fn on_guard_command(
        &mut self,
        now: Duration,
        command: GuardCommand,
        out: &mut Vec<NodeCommand>,
    ) {
        match command {
            GuardCommand::Grant { request, ticket } => self.on_grant(now, request, ticket, out),
            GuardCommand::Answer { request, verdict } => {
                self.on_verdict(now, request, verdict, out);
            }
            GuardCommand::Reoffer { request } => self.on_reoffer(now, request, out),
            GuardCommand::Send { to, message } => {
                self.send_peer(to, PeerMessage::Guard(message), out);
            }
            GuardCommand::AppendFounding { records } => {
                if let Ok(bytes) = serde_json::to_vec(&records) {
                    out.push(NodeCommand::AppendGuard { bytes });
                }
            }
            GuardCommand::RunWork { ticket } => self.on_work_granted(now, &ticket, out),
            GuardCommand::RefuseWork { attempt, refusal } => {
                if refusal != WorkRefusal::Repeated {
                    let request = attempt.request;
                    out.push(NodeCommand::Note(NodeNote::FenceHeld { request }));
                }
                let run = match refusal {
                    WorkRefusal::NotRun | WorkRefusal::WrongInstance => RunState::NotRun,
                    WorkRefusal::Repeated => RunState::Unknown,
                };
                let refusal = RequestRefusal {
                    code: RefusalCode::KeyBusy,
                    run,
                    retry_after: None,
                };
                self.refuse_attempt(now, attempt, refusal, out);
            }
            GuardCommand::Drained => self.handover = HandoverState::SeatsHandedOver,
            GuardCommand::Note(note) => out.push(NodeCommand::Note(NodeNote::Guard(note))),
        }
    }

    fn on_grant(
        &mut self,
        now: Duration,
        id: RequestId,
        ticket: DispatchTicket,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.phase != RequestPhase::AwaitingGrant {
            return;
        }
        let executor = ticket.executor;
        state.ticket = Some(ticket);
        if let Some(refusal) = state.refusal.take() {
            self.settle_guard(now, id, DispatchOutcome::NotRun, out);
            self.refuse(now, id, refusal, out);
            return;
        }
        let Some(upstream) = state.chosen else {
            return;
        };
        state.phase = RequestPhase::Dispatched;
        let service = state.rule.service.clone();
        let grant_time = now.saturating_sub(state.arrived);
        let accepts = grant_time < FAST_GRANT_TIME || self.accepts_work(&service, upstream);
        if accepts && self.instance_of(upstream.node) == Some(executor) {
            self.dispatch(now, id, upstream, out);
        } else {
            // The executor was replaced while the guards were asked, so its ticket is void there.
            // An upstream that left is excluded from the next choice, so that the redirects end.
            if !accepts && let Some(state) = self.requests.get_mut(&id) {
                state.plan.tried(upstream);
            }
            self.redirect(now, id, None, out);
        }
    }

    /// Returns whether an upstream accepts work.
    ///
    /// Guards against sending a request to a backend server that left while the guards were asked,
    /// where it would be refused and lose time. Grants that arrive quickly are not checked again.
    fn accepts_work(&self, service: &ServiceName, upstream: UpstreamId) -> bool {
        if upstream.node == self.own.instance.node {
            let own = self.upstreams.get(&upstream.slot);
            return own.is_some_and(|own| own.announced.phase == OwnPhase::Ready);
        }
        let known = self.roster.upstreams(service.as_str());
        known
            .into_iter()
            .any(|(id, facts)| id == upstream && facts.phase == UpstreamPhase::Ready)
    }

    fn on_verdict(
        &mut self,
        now: Duration,
        id: RequestId,
        verdict: AnswerVerdict,
        out: &mut Vec<NodeCommand>,
    ) {
        if !self.requests.contains_key(&id) {
            return;
        }
        match verdict {
            AnswerVerdict::ReplyKept { reply } => {
                note_replayed(id, true, out);
                out.push(NodeCommand::AnswerKept { request: id, reply });
                self.finish(now, id, RequestEnd::Replied(REPLAYED_STATUS), out);
            }
            AnswerVerdict::ReplyGone => {
                note_replayed(id, false, out);
                out.push(NodeCommand::AnswerGone { request: id });
                self.finish(now, id, RequestEnd::Replied(REPLAYED_STATUS), out);
            }
            AnswerVerdict::Refuse(refusal) => self.refuse(now, id, refusal, out),
        }
    }

    /// Handles an attempt that never ran: requests another upstream.
    fn on_reoffer(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.uncertain = 0;
        }
        self.redirect(now, id, None, out);
    }

    /// Asks the guards for a grant on another upstream, or refuses the request as not run if there
    /// is none.
    fn redirect(
        &mut self,
        now: Duration,
        id: RequestId,
        report: Option<&AttemptReport>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some((upstream, executor)) = self.select_upstream(now, id) else {
            self.settle_guard(now, id, DispatchOutcome::NotRun, out);
            let refusal =
                report.map_or(RequestRefusal::not_run(RefusalCode::NoUpstream), |report| {
                    RequestRefusal {
                        code: report.code.unwrap_or(RefusalCode::UpstreamFailed),
                        run: RunState::NotRun,
                        retry_after: report.retry_after,
                    }
                });
            self.refuse(now, id, refusal, out);
            return;
        };
        if let Some(state) = self.requests.get_mut(&id) {
            state.chosen = Some(upstream);
            state.phase = RequestPhase::AwaitingGrant;
        }
        self.handle_guard_event(
            now,
            GuardEvent::Redirect {
                request: id,
                executor,
            },
            out,
        );
    }

    /// Handles the failure of the only attempt of a keyed request.
    pub(crate) fn on_keyed_failure(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        if report.run == RunState::Unknown
            && let Some(state) = self.requests.get(&id)
        {
            let service = state.rule.service.clone();
            let note = NodeNote::RunUnproven {
                request: Arc::clone(&state.caller.label),
                service,
            };
            out.push(NodeCommand::Note(note));
        }
        match report.run {
            RunState::Ran => {
                self.settle_guard(now, id, DispatchOutcome::Ran, out);
                self.send_final_answer(now, id, report, out);
            }
            RunState::NotRun => self.on_keyed_refusal(now, id, report, out),
            RunState::Unknown if may_be_known_to_executor(report.kind) => {
                if let Some(state) = self.requests.get_mut(&id) {
                    state.phase = RequestPhase::Resolving;
                }
                self.settle_guard(now, id, DispatchOutcome::Lost, out);
            }
            RunState::Unknown => {
                self.settle_guard(now, id, DispatchOutcome::Unknown, out);
                self.send_final_answer(now, id, report, out);
            }
        }
    }

    fn on_keyed_refusal(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let outcome = AttemptOutcome {
            run: RunState::NotRun,
            request_fault: report.code == Some(RefusalCode::CrashRequest),
            retry_after: None,
        };
        let decision = state.plan.decide(now, &outcome, Duration::ZERO);
        if decision == RetryDecision::Retry && self.may_retry(now, id, report, out) {
            self.redirect(now, id, Some(report), out);
        } else {
            self.settle_guard(now, id, DispatchOutcome::NotRun, out);
            self.send_final_answer(now, id, report, out);
        }
    }

    /// Reports the outcome of a granted dispatch to the guard. Does nothing if the request has no
    /// grant.
    pub(crate) fn settle_guard(
        &mut self,
        now: Duration,
        id: RequestId,
        outcome: DispatchOutcome,
        out: &mut Vec<NodeCommand>,
    ) {
        let granted = self
            .requests
            .get(&id)
            .is_some_and(|state| state.ticket.is_some());
        if granted {
            self.handle_guard_event(
                now,
                GuardEvent::Settled {
                    request: id,
                    outcome,
                },
                out,
            );
        }
    }
}

fn note_replayed(request: RequestId, whole: bool, out: &mut Vec<NodeCommand>) {
    out.push(NodeCommand::Note(NodeNote::ReplyReplayed {
        request,
        whole,
    }));
}

/// Returns whether the executor may know more about the outcome than the ingress node.
fn may_be_known_to_executor(kind: SampleKind) -> bool {
    matches!(
        kind,
        SampleKind::ConnectionLost | SampleKind::Silent | SampleKind::Cancelled
    )
}
