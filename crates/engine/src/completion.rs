//! Completion of requests: from the end of an attempt to the final answer.
//!
//! Every request ends in [`NodeEngine::finish`], which releases shares, timers and attempts exactly
//! once.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{AttemptId, RefusalCode, RequestId, RequestRefusal, RunState, ServiceName};
use sycamorelink_guard::{DispatchOutcome, GuardEvent};
use sycamorelink_limits::WaitReason;
use sycamorelink_policy::{AttemptOutcome, RetryDecision, SampleKind, UpstreamSample};

use crate::caller_queue::is_declined;
use crate::command::NodeCommand;
use crate::drain::NODE_RETRY_DELAY;
use crate::event::AttemptReport;
use crate::node::{NodeEngine, TimerPurpose};
use crate::note::{NodeNote, RequestSummary, WaitEnd};
use crate::request::{OpenAttempt, RequestPhase, RequestState};

/// Lowest HTTP status that counts as a server error.
const SERVER_ERROR: u16 = 500;

/// Final result of a request at the node that received it.
#[derive(Clone, Debug)]
pub(crate) enum RequestEnd {
    /// A reply with this status was forwarded to the caller.
    Replied(u16),
    /// The request was refused.
    Refused(RequestRefusal),
    /// The caller disconnected, so no answer is sent.
    CallerGone,
}

impl RequestEnd {
    /// Returns whether the caller got a refusal or a server error.
    fn is_failure(&self) -> bool {
        match self {
            Self::Replied(status) => *status >= SERVER_ERROR,
            Self::Refused(_) => true,
            Self::CallerGone => false,
        }
    }
}

impl NodeEngine {
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Duration,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        let id = report.attempt.request;
        let fleet = self.uses_fleet_contract();
        let own = self.own.instance.node;
        let Some(state) = self.requests.get_mut(&id) else {
            if report.status.is_some() {
                out.push(NodeCommand::Note(NodeNote::ReplyLate { request: id }));
            }
            return;
        };
        let Some(attempt) = state.close(report.attempt.number) else {
            return;
        };
        let service = state.rule.service.clone();
        let label = Arc::clone(&state.caller.label);
        let kind_of_work = state.rule.work_kind();
        let earlier = state.open.iter().any(|open| open.number < attempt.number);
        if report.kind == SampleKind::Wrong {
            out.push(NodeCommand::Note(NodeNote::ReplyRejected {
                request: Arc::clone(&label),
                service: service.clone(),
                from: attempt.upstream,
            }));
        }
        self.count_send_end(&service, attempt.upstream, attempt.sent);
        if let Some(pool) = self.pools.get_mut(&service) {
            let mut sample = sample_of(report, now.saturating_sub(attempt.sent));
            // Under a fleet contract the breaker beside the upstream accounts for failures that its
            // node observed and reported. Here only failures of the connection between the nodes
            // count.
            let reported = report.load.is_some() || attempt.upstream.node == own;
            sample.excused |= fleet && reported && sample.kind != SampleKind::Served;
            pool.observe(now, attempt.upstream, &sample);
            if report.kind == SampleKind::Served {
                pool.learn_reply_size(kind_of_work, report.reply_bytes);
            }
        }
        self.learn_service_time(&service, kind_of_work, report);
        self.observe_for_waits(now, (&service, kind_of_work), attempt.upstream, report, out);
        if report.run == RunState::Ran && !is_server_error(report) {
            if earlier {
                out.push(NodeCommand::Note(NodeNote::HedgeWon {
                    request: id,
                    service,
                }));
            }
            self.settle_guard(now, id, DispatchOutcome::Ran, out);
            let status = report.status.unwrap_or_default();
            self.finish(now, id, RequestEnd::Replied(status), out);
            return;
        }
        self.on_failed(now, id, attempt, report, out);
    }

    /// Handles an attempt that failed, was refused or returned a server error.
    pub(crate) fn on_failed(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: OpenAttempt,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        let rejected = report.code == Some(RefusalCode::UpstreamSuspect);
        if rejected {
            self.avoid_upstream(now, attempt.upstream);
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        // One request can crash every backend server that runs it, and each retry would take down
        // one more. After the second crash the request is not retried, regardless of what the
        // executors have recorded.
        state.crashed_twice |= report.kind == SampleKind::Crashed
            && state
                .last
                .as_ref()
                .is_some_and(|last| last.kind == SampleKind::Crashed);
        state.last_upstream = Some(attempt.upstream);
        // A refusal because of the bound on repeats says nothing about the request. The answer is
        // then taken from the previous attempt.
        if report.code != Some(RefusalCode::RepeatsSpent) || state.last.is_none() {
            state.last = Some(report.clone());
        }
        if report.run != RunState::NotRun {
            state.uncertain += 1;
        }
        let arrived = report.run != RunState::NotRun || is_declined(report);
        state.arrivals += u16::from(arrived);
        state.repeats_refused += u16::from(report.code == Some(RefusalCode::RepeatsSpent));
        state.overloaded_offers += u16::from(report.code == Some(RefusalCode::Overloaded));
        state.overloaded += u16::from(report.code == Some(RefusalCode::Overloaded));
        if rejected {
            state.rejected_by.push(attempt.upstream);
        }
        if !state.open.is_empty() {
            return;
        }
        if state.key.is_some() {
            self.on_keyed_failure(now, id, report, out);
            return;
        }
        if self.ask_fence(now, id, attempt, report, out) {
            return;
        }
        self.try_elsewhere(now, id, report, out);
    }

    /// Retries at another upstream, or sends the final answer.
    pub(crate) fn try_elsewhere(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        // A repeat would probably be declined as well.
        if self.is_service_declining(id, report)
            && self.await_capacity(now, id, WaitReason::Declining, out)
        {
            return;
        }
        if let Some(refusal) = self.overload_refusal(now, id, Some(report)) {
            if !self.wait_instead(now, id, report, out) {
                self.refuse(now, id, refusal, out);
            }
            return;
        }
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let outcome = AttemptOutcome {
            run: report.run,
            request_fault: report.code == Some(RefusalCode::CrashRequest)
                || state.crashed_twice
                || state.has_reached_run_limit(),
            retry_after: None,
        };
        let label = Arc::clone(&state.caller.label);
        let from = state.last_upstream;
        // An attempt takes the body with it even if it was not run.
        let replayable = state.caller.replayable;
        let service = state.rule.service.clone();
        let usual = report.service_time.unwrap_or_default();
        match state.plan.decide(now, &outcome, usual) {
            RetryDecision::Retry if replayable && self.may_retry(now, id, report, out) => {
                out.extend(from.map(|from| {
                    NodeCommand::Note(NodeNote::RetryMade {
                        request: label,
                        service,
                        from,
                    })
                }));
                self.retry(now, id, report, out);
            }
            RetryDecision::Retry | RetryDecision::Stop(_) => {
                if !self.wait_instead(now, id, report, out) {
                    self.answer_from_last(now, id, report, out);
                }
            }
        }
    }

    /// Holds a request in the caller queue in place of its final answer, if waiting can help.
    fn wait_instead(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let reason = self.wait_reason(id, report);
        reason.is_some_and(|reason| self.await_capacity(now, id, reason, out))
    }

    pub(crate) fn retry(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        let next = self.forced_upstream(now, id).or_else(|| {
            let chosen = self.select_upstream(now, id);
            chosen.map(|(upstream, _)| upstream)
        });
        match next.or_else(|| self.last_refusing_upstream(id)) {
            Some(upstream) => self.dispatch(now, id, upstream, out),
            None if self.wait_instead(now, id, report, out) => {}
            None => self.send_final_answer(now, id, report, out),
        }
    }

    /// Sends the final answer from the last attempt that says something about the request.
    fn answer_from_last(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        let last = self.requests.get(&id).and_then(|state| state.last.clone());
        self.send_final_answer(now, id, &last.unwrap_or_else(|| report.clone()), out);
    }

    /// Sends the final answer after a failed attempt.
    pub(crate) fn send_final_answer(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(status) = report.status {
            out.push(NodeCommand::Deliver {
                attempt: report.attempt,
            });
            self.finish(now, id, RequestEnd::Replied(status), out);
            return;
        }
        let refusal = self.refusal_for(id, report);
        self.refuse(now, id, refusal, out);
    }

    pub(crate) fn last_refusal(&self, id: RequestId) -> Option<RequestRefusal> {
        let report = self.requests.get(&id)?.last.clone()?;
        Some(self.refusal_for(id, &report))
    }

    /// Returns the refusal for a request whose last attempt ended with this report.
    ///
    /// The run state covers all attempts. If the first attempt may have run and only the second was
    /// refused as not run, the caller must not be answered "not run".
    pub(crate) fn refusal_for(&self, id: RequestId, report: &AttemptReport) -> RequestRefusal {
        let ran = self
            .requests
            .get(&id)
            .is_some_and(RequestState::may_have_run);
        let run = if report.run == RunState::NotRun && !ran {
            RunState::NotRun
        } else {
            RunState::Unknown
        };
        let code = report.code.unwrap_or(match report.kind {
            SampleKind::Wrong => RefusalCode::ReplyRejected,
            SampleKind::Silent => RefusalCode::DeadlineExceeded,
            SampleKind::Refused => RefusalCode::Overloaded,
            _ => RefusalCode::UpstreamFailed,
        });
        RequestRefusal {
            code,
            run,
            retry_after: report.retry_after,
        }
    }

    pub(crate) fn on_deadline(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let deadline = state.deadline;
        let run = if state.may_have_run() {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        let open = std::mem::take(&mut state.open);
        let label = Arc::clone(&state.caller.label);
        let service = state.rule.service.clone();
        let dispatched = !open.is_empty();
        for attempt in open {
            self.cancel_open_attempt(
                now,
                id,
                (&label, &service),
                attempt,
                SampleKind::Silent,
                out,
            );
        }
        if dispatched {
            self.settle_guard(now, id, DispatchOutcome::Lost, out);
        }
        let code = self.deadline_code(deadline);
        let refusal = RequestRefusal {
            code,
            run,
            retry_after: (code == RefusalCode::Draining).then_some(NODE_RETRY_DELAY),
        };
        self.refuse(now, id, refusal, out);
    }

    /// Cancels an open attempt and records the sample for its upstream.
    pub(crate) fn cancel_open_attempt(
        &mut self,
        now: Duration,
        id: RequestId,
        (label, service): (&Arc<str>, &ServiceName),
        attempt: OpenAttempt,
        kind: SampleKind,
        out: &mut Vec<NodeCommand>,
    ) {
        self.count_send_end(service, attempt.upstream, attempt.sent);
        if let Some(pool) = self.pools.get_mut(service) {
            let sample = UpstreamSample::new(kind, now.saturating_sub(attempt.sent));
            pool.observe(now, attempt.upstream, &sample);
        }
        let label = label.clone();
        out.push(NodeCommand::Note(NodeNote::CancelSent {
            request: label,
            service: service.clone(),
            to: attempt.upstream,
        }));
        let attempt = AttemptId {
            request: id,
            number: attempt.number,
        };
        out.push(NodeCommand::CancelAttempt { attempt });
    }

    pub(crate) fn on_caller_gone(
        &mut self,
        now: Duration,
        id: RequestId,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.phase == RequestPhase::AwaitingGrant {
            self.handle_guard_event(now, GuardEvent::Abandoned { request: id }, out);
        } else if !state.open.is_empty() {
            self.settle_guard(now, id, DispatchOutcome::Lost, out);
        }
        self.finish(now, id, RequestEnd::CallerGone, out);
    }

    /// Sends a refusal as the final answer, unless the request already has one: the guard may have
    /// answered while the end of the dispatch was reported to it.
    pub(crate) fn refuse(
        &mut self,
        now: Duration,
        id: RequestId,
        refusal: RequestRefusal,
        out: &mut Vec<NodeCommand>,
    ) {
        if !self.requests.contains_key(&id) {
            return;
        }
        let refusal = self.pace_return(now, id, refusal, out);
        out.push(NodeCommand::Refuse {
            request: id,
            refusal: refusal.clone(),
        });
        self.finish(now, id, RequestEnd::Refused(refusal), out);
    }

    /// Ends a request: cancels its open attempts and releases everything it holds.
    pub(crate) fn finish(
        &mut self,
        now: Duration,
        id: RequestId,
        end: RequestEnd,
        out: &mut Vec<NodeCommand>,
    ) {
        let wait_end = match end {
            RequestEnd::CallerGone => WaitEnd::CallerGone,
            _ => WaitEnd::Expired,
        };
        self.leave_caller_queue(now, id, wait_end, out);
        let Some(state) = self.requests.remove(&id) else {
            return;
        };
        self.timers
            .remove(&(state.deadline, TimerPurpose::Deadline, id));
        self.leave_share_queue(state.customer, id);
        if state.share_held {
            self.shares.finished(now, state.customer);
        }
        if let RequestEnd::Refused(refusal) = &end {
            self.refund_quota(&state, refusal);
        }
        if state.account.is_none() && end.is_failure() {
            self.last_failed_call = Some(now);
        }
        let label = Arc::clone(&state.caller.label);
        let service = state.rule.service.clone();
        for attempt in state.open {
            self.cancel_open_attempt(
                now,
                id,
                (&label, &service),
                attempt,
                SampleKind::Cancelled,
                out,
            );
        }
        let (refusal, status) = match end {
            RequestEnd::Replied(status) => (None, Some(status)),
            RequestEnd::Refused(refusal) => (Some(refusal), None),
            RequestEnd::CallerGone => {
                (Some(RequestRefusal::unknown(RefusalCode::CallerGone)), None)
            }
        };
        out.push(NodeCommand::Note(NodeNote::RequestSettled(
            RequestSummary {
                label: Arc::clone(&state.caller.label),
                request: id,
                customer: Some(state.rule.terms.customer.clone()),
                service: Some(state.rule.service.clone()),
                refusal,
                status,
                latency: now.saturating_sub(state.arrived),
                attempts: state.attempts,
                overloaded_offers: state.overloaded_offers,
                forecast: state.forecast,
            },
        )));
    }
}

fn is_server_error(report: &AttemptReport) -> bool {
    report.status.is_some_and(|status| status >= SERVER_ERROR)
}

/// Returns the sample of an attempt for the pool of its service.
///
/// `latency` spans the same two moments as the pool's own record of the attempt. The latency
/// measured by the daemon differs by delays between threads, and the pool would take the attempt
/// for one still in flight.
fn sample_of(report: &AttemptReport, latency: Duration) -> UpstreamSample {
    let mut sample = UpstreamSample::new(report.kind, latency);
    sample.service_time = report.service_time;
    sample.load = report.load;
    sample.excused = report.code == Some(RefusalCode::CrashRequest);
    sample
}
