//! Caller queue: requests that no server accepts at present wait at the node of their callers.
//!
//! ```text
//! attempt ended ─┬─ declined, and the service declines ─┐
//!                ├─ no repeats left at any server asked ┼─▶ AwaitingCapacity ─ tick ─▶ sent again
//!                └─ no capacity, and one is forecast ───┘          └─ too late ─▶ last failure
//! ```
//!
//! While a service declines, a declined request waits until it would soon miss its objective, and is
//! then tried if the service accepts a part of its work. First arrivals are never held. A released
//! request that reached a server before is sent as a repeat, so the node beside the server counts it
//! towards the bound.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::RepeatClass;
use sycamorelink_core::{
    RefusalCode, RequestId, RequestRefusal, RunState, ServiceName, UpstreamId,
};
use sycamorelink_limits::{
    CallerQueue, JoinDecision, OverloadSettings, ReleasePace, WaitEntry, WaitReason, WaitTerms,
};
use sycamorelink_policy::{CapacityForecast, DeclineMonitor, PolicyMechanism, SampleKind};

use crate::command::NodeCommand;
use crate::drain::NODE_RETRY_DELAY;
use crate::event::AttemptReport;
use crate::node::{NodeEngine, TICK_INTERVAL};
use crate::note::{NodeNote, WaitEnd};
use crate::request::{RequestPhase, RequestState};

/// Mean run times that must fit into the time left for a request to be released.
const RUN_TIME_FACTOR: f64 = 1.5;
/// Weight of the newest run in the mean run time of its kind.
const RUN_TIME_WEIGHT: f64 = 1.0 / 16.0;
/// Maximum number of kinds of work with a mean run time of their own.
const MAX_KINDS: usize = 64;
/// Time before the latest start that meets the objective from which a declined request is tried
/// although its service declines. Without it, requests wait beyond their objective while repeats stay
/// unused, and in a long fault fewer callers are served than without the queue.
const EARLY_TRY_TIME: Duration = Duration::from_secs(2);
/// Percentage of declined arrivals from which declined requests are not tried early, because the
/// repeats serve more callers after the fault.
const EARLY_TRY_PERCENT: usize = 75;
/// Number of refusals as `overloaded` after which a request waits or is refused.
const MAX_OVERLOADED: u16 = 2;

/// Waiting requests of this node, and what it knows of the services that they need.
#[derive(Debug)]
pub(crate) struct WaitState {
    pub(crate) queue: CallerQueue,
    services: BTreeMap<ServiceName, ServiceWaits>,
    /// Mean run time of each kind of work.
    run_times: BTreeMap<u64, Duration>,
}

/// State of one service for the caller queue.
#[derive(Debug, Default)]
struct ServiceWaits {
    monitor: DeclineMonitor,
    pace: ReleasePace,
}

impl WaitState {
    pub(crate) fn new(settings: &OverloadSettings) -> Self {
        Self {
            queue: CallerQueue::new(settings.queue),
            services: BTreeMap::new(),
            run_times: BTreeMap::new(),
        }
    }

    fn is_declining(&self, service: &ServiceName) -> bool {
        let waits = self.services.get(service);
        waits.is_some_and(|waits| waits.monitor.is_declining())
    }

    fn learn_run_time(&mut self, kind: u64, took: Duration) {
        if let Some(mean) = self.run_times.get_mut(&kind) {
            *mean = mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + took.mul_f64(RUN_TIME_WEIGHT);
        } else if self.run_times.len() < MAX_KINDS {
            self.run_times.insert(kind, took);
        }
    }
}

impl NodeEngine {
    /// Returns whether requests wait at this node.
    ///
    /// Released requests are repeats, so the queue needs executors that count repeats.
    pub(crate) fn uses_caller_queue(&self) -> bool {
        self.uses_overload_mechanism(PolicyMechanism::CallerQueue)
            && self.counts_repeats_at_executor()
    }

    /// Returns the number of requests that wait for each reason; `None` without a caller queue.
    #[must_use]
    pub fn waiting_requests(&self) -> Option<BTreeMap<WaitReason, usize>> {
        let queue = &self.waits.queue;
        let counts = WaitReason::ALL.map(|reason| (reason, queue.count(reason)));
        self.uses_caller_queue().then(|| counts.into())
    }

    /// Records whether the server of an ended attempt declined it, and learns the run time.
    pub(crate) fn observe_for_waits(
        &mut self,
        now: Duration,
        (service, kind): (&ServiceName, u64),
        server: UpstreamId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) {
        if !self.uses_caller_queue() {
            return;
        }
        if report.kind == SampleKind::Served {
            self.waits
                .learn_run_time(kind, report.service_time.unwrap_or(report.latency));
        }
        let declined = is_declined(report);
        if report.run == RunState::NotRun && !declined {
            return;
        }
        let waits = self.waits.services.entry(service.clone()).or_default();
        if let Some(declining) = waits.monitor.observe(now, server, declined) {
            self.note_declines(service, declining, out);
        }
    }

    /// Returns whether the attempt was declined by its server while the service declines.
    pub(crate) fn is_service_declining(&self, id: RequestId, report: &AttemptReport) -> bool {
        let state = self.requests.get(&id);
        is_declined(report)
            && state.is_some_and(|state| self.waits.is_declining(&state.rule.service))
    }

    /// Returns the reason for which a request may wait that would get its final answer now; `None`
    /// if waiting can't help.
    pub(crate) fn wait_reason(
        &mut self,
        id: RequestId,
        report: &AttemptReport,
    ) -> Option<WaitReason> {
        let state = self.requests.get(&id)?;
        let declining = self.waits.is_declining(&state.rule.service);
        let last_declined = state.last.as_ref().is_some_and(is_declined);
        match report.code {
            _ if declining && is_declined(report) => Some(WaitReason::Declining),
            Some(RefusalCode::RepeatsSpent) if declining && last_declined => {
                Some(WaitReason::Declining)
            }
            Some(RefusalCode::RepeatsSpent) => Some(WaitReason::NoRepeats),
            // Which of several servers refuses last is chance, so a suspect server must not end a wait
            // that a server without repeats would continue.
            Some(RefusalCode::UpstreamSuspect) if report.run == RunState::NotRun => {
                let short = state.repeats_refused > 0;
                state.wait.or(short.then_some(WaitReason::NoRepeats))
            }
            Some(RefusalCode::Overloaded) if report.run == RunState::NotRun => {
                let service = state.rule.service.clone();
                let forecast = self.capacity_forecast(self.now, &service);
                let state = self.requests.get(&id)?;
                let left = state.deadline.saturating_sub(self.now);
                let is_too_late = forecast.is_some_and(|forecast| forecast.excess(left).is_some());
                let short = is_short_of_capacity(state, forecast, self.now);
                // A released request that meets full servers continues to wait as before, unless no
                // server is expected to reply in its time.
                let reason = state.wait.or(short.then_some(WaitReason::NoCapacity));
                reason.filter(|_| !is_too_late)
            }
            _ => None,
        }
    }

    /// Returns the earliest reply that the servers of a service are expected to give; `None` without
    /// capacity records.
    fn capacity_forecast(
        &mut self,
        now: Duration,
        service: &ServiceName,
    ) -> Option<CapacityForecast> {
        if !self.prepare_capacity(now, service) {
            return None;
        }
        let table = self.capacity.tables.get(service)?;
        let pool = self.pools.get_mut(service)?;
        pool.forecast(now, table, &[])
    }

    /// Holds a request in the queue, or sends its final answer if it can't wait. Returns false,
    /// without any effect, if the request is not one that may wait.
    pub(crate) fn await_capacity(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: WaitReason,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let leaves = self.latest_wait_to_leave().is_some_and(|at| now >= at);
        let enabled = self.uses_caller_queue() && !leaves;
        let state = self.requests.get(&id);
        let Some(state) = state.filter(|state| enabled && may_wait(state)) else {
            return false;
        };
        let service = state.rule.service.clone();
        let terms = self.wait_terms(state, reason);
        let label = Arc::clone(&state.caller.label);
        let left = state.deadline.saturating_sub(now);
        let waits = self.waits.services.entry(service.clone()).or_default();
        // A decline says nothing about the pace: the service declines a part of its work at any
        // pace.
        let refused = state.repeats_refused > 0 || state.overloaded > 0;
        if state.wait.is_some() && refused {
            waits.pace.refused(now);
        }
        let next = self.next_tick.max(now);
        let expected =
            (reason == WaitReason::NoRepeats).then(|| waits.pace.next_release().max(next));
        match self.waits.queue.join(now, next, id, terms) {
            JoinDecision::Waits { place, removed } => {
                if let Some(state) = self.requests.get_mut(&id) {
                    state.phase = RequestPhase::AwaitingCapacity;
                    state.wait = Some(reason);
                }
                out.push(NodeCommand::Note(NodeNote::WaitStarted {
                    request: label,
                    service,
                    reason,
                    place,
                    waiting: self.waits.queue.len(),
                    left,
                    // Only the request in front is known to be released next.
                    expected: expected
                        .filter(|_| place == 0)
                        .map(|at| at.saturating_sub(now)),
                }));
                if let Some(removed) = removed {
                    self.end_wait(now, &removed, WaitEnd::Displaced, out);
                }
            }
            JoinDecision::Full | JoinDecision::TooLate => self.answer_waiting(now, id, out),
        }
        true
    }

    fn wait_terms(&self, state: &RequestState, reason: WaitReason) -> WaitTerms {
        let objective = state.rule.objective;
        let objective = objective.map(|objective| state.arrived + objective.latency);
        let learned = self.waits.run_times.get(&state.rule.work_kind());
        let mean = learned
            .copied()
            .unwrap_or(self.settings.gate.first_service_time);
        WaitTerms::new(state.rule.service.clone(), reason, state.deadline)
            .objective(objective)
            .priority(state.rule.priority)
            .run_time(mean.mul_f64(RUN_TIME_FACTOR))
    }

    /// Releases waiting requests and ends those that can no longer be served.
    pub(crate) fn tick_caller_queue(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.uses_caller_queue() {
            self.end_all_waits(now, WaitEnd::SwitchedOff, out);
            self.waits.services.clear();
            return;
        }
        if self.latest_wait_to_leave().is_some_and(|at| now >= at) {
            self.end_all_waits(now, WaitEnd::Draining, out);
        }
        let mut changes = Vec::new();
        for (service, waits) in &mut self.waits.services {
            let change = waits.monitor.update(now);
            changes.extend(change.map(|declining| (service.clone(), declining)));
        }
        for (service, declining) in changes {
            self.note_declines(&service, declining, out);
        }
        for service in self.waits.queue.services() {
            self.release_waits(now, &service, out);
        }
        for entry in self.waits.queue.expire(now + TICK_INTERVAL) {
            self.end_wait(now, &entry, WaitEnd::Expired, out);
        }
        let needed = self.waits.queue.services();
        self.waits
            .services
            .retain(|service, waits| needed.contains(service) || !waits.monitor.is_idle());
    }

    fn release_waits(&mut self, now: Duration, service: &ServiceName, out: &mut Vec<NodeCommand>) {
        // Without records nobody tells when a slot is free, so the releases find out.
        let has_records = self.prepare_capacity(now, service);
        let forecast = self.capacity_forecast(now, service);
        // A leaving node tries what it can in the time that is left to it.
        let leaving = self.draining.is_some();
        let has_capacity = !has_records || forecast.is_some_and(|forecast| forecast.has_free_slot);
        // Releases without a repeat left anywhere would only slow down the later ones.
        let table = self.capacity.tables.get(service);
        let has_repeats = !has_records || table.is_some_and(|table| table.has_repeats(now));
        let waits = self.waits.services.entry(service.clone()).or_default();
        let count = waits.pace.allowance(now);
        let declining = waits.monitor.is_declining();
        let counts = waits.monitor.counts();
        let tries_early = counts.declined * 100 < counts.arrivals * EARLY_TRY_PERCENT;
        let entries =
            self.waits
                .queue
                .release(now, service, count, |entry| match entry.terms.reason() {
                    WaitReason::Declining => {
                        !declining
                            || leaving
                            || (tries_early && entry.terms.is_nearly_late(now, EARLY_TRY_TIME))
                    }
                    WaitReason::NoRepeats => has_repeats,
                    WaitReason::NoCapacity => has_capacity || leaving,
                });
        if !entries.is_empty() {
            waits.pace.released(now);
        }
        for entry in entries {
            self.release_request(now, &entry, out);
        }
    }

    fn release_request(&mut self, now: Duration, entry: &WaitEntry, out: &mut Vec<NodeCommand>) {
        let id = entry.request;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.phase = RequestPhase::Dispatched;
        state.plan.resume();
        // The refusals date from before the wait.
        state.repeats_refused = 0;
        state.overloaded = 0;
        state.rejected_by.clear();
        state.was_forced = false;
        let label = Arc::clone(&state.caller.label);
        let service = state.rule.service.clone();
        let from = state.last_upstream;
        out.push(NodeCommand::Note(NodeNote::WaitReleased {
            request: Arc::clone(&label),
            service: service.clone(),
            reason: entry.terms.reason(),
            waited: now.saturating_sub(entry.since),
            left: state.deadline.saturating_sub(now),
        }));
        let Some((upstream, _)) = self.select_upstream(now, id) else {
            self.answer_waiting(now, id, out);
            return;
        };
        out.extend(from.map(|from| {
            NodeCommand::Note(NodeNote::RetryMade {
                request: label,
                service,
                from,
            })
        }));
        self.dispatch(now, id, upstream, out);
    }

    /// Ends the waits of all requests.
    pub(crate) fn end_all_waits(
        &mut self,
        now: Duration,
        end: WaitEnd,
        out: &mut Vec<NodeCommand>,
    ) {
        for entry in self.waits.queue.clear() {
            self.end_wait(now, &entry, end, out);
        }
    }

    /// Answers a request that has left the queue without being released.
    fn end_wait(
        &mut self,
        now: Duration,
        entry: &WaitEntry,
        end: WaitEnd,
        out: &mut Vec<NodeCommand>,
    ) {
        let id = entry.request;
        self.note_wait_end(now, entry, end, out);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if end == WaitEnd::Draining && !state.may_have_run() {
            let refusal = RequestRefusal::not_run(RefusalCode::Draining);
            self.refuse(now, id, refusal.retry_after(NODE_RETRY_DELAY), out);
            return;
        }
        if end == WaitEnd::Draining
            && let Some(last) = self
                .requests
                .get_mut(&id)
                .and_then(|state| state.last.as_mut())
        {
            last.retry_after.get_or_insert(NODE_RETRY_DELAY);
        }
        self.answer_waiting(now, id, out);
    }

    /// Answers a request with the last failure that says something about it.
    fn answer_waiting(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let last = self.requests.get(&id).and_then(|state| state.last.clone());
        match last {
            Some(report) => self.send_final_answer(now, id, &report, out),
            None => self.refuse_no_upstream(now, id, out),
        }
    }

    /// Removes a request that ends from the queue, if it waits.
    pub(crate) fn leave_caller_queue(
        &mut self,
        now: Duration,
        id: RequestId,
        end: WaitEnd,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(entry) = self.waits.queue.leave(id) {
            self.note_wait_end(now, &entry, end, out);
        }
    }

    fn note_wait_end(
        &self,
        now: Duration,
        entry: &WaitEntry,
        end: WaitEnd,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.requests.get(&entry.request) else {
            return;
        };
        out.push(NodeCommand::Note(NodeNote::WaitEnded {
            request: Arc::clone(&state.caller.label),
            service: state.rule.service.clone(),
            reason: entry.terms.reason(),
            end,
            waited: now.saturating_sub(entry.since),
            left: state.deadline.saturating_sub(now),
        }));
    }

    fn note_declines(&self, service: &ServiceName, declining: bool, out: &mut Vec<NodeCommand>) {
        let waits = self.waits.services.get(service);
        out.extend(waits.map(|waits| {
            NodeCommand::Note(NodeNote::DecliningChanged {
                service: service.clone(),
                declining,
                counts: waits.monitor.counts(),
                waiting: self.waits.queue.len(),
            })
        }));
    }
}

/// Returns whether the server itself answered that it did not run the work. A refusal by the node
/// beside the server has another code.
pub(crate) fn is_declined(report: &AttemptReport) -> bool {
    let by_server = matches!(report.code, None | Some(RefusalCode::UpstreamFailed));
    report.kind == SampleKind::Refused && by_server
}

/// Returns whether a request was refused as `overloaded` twice, and a reply is forecast well before
/// its deadline.
///
/// The forecast counts only work that can meet its objective, and more of it arrives meanwhile. A
/// reply that is forecast close to the deadline would therefore come too late, and the request is
/// better refused at once.
fn is_short_of_capacity(
    state: &RequestState,
    forecast: Option<CapacityForecast>,
    now: Duration,
) -> bool {
    let left = state.deadline.saturating_sub(now);
    let in_time = forecast.is_some_and(|forecast| forecast.earliest.reply() <= left / 2);
    state.overloaded >= MAX_OVERLOADED && in_time
}

/// Returns whether a request may be sent again after a wait.
fn may_wait(state: &RequestState) -> bool {
    let may_run = state.rule.repeat == RepeatClass::Idempotent || !state.may_have_run();
    let crashes = state.crashed_twice
        || state
            .last
            .as_ref()
            .is_some_and(|last| last.code == Some(RefusalCode::CrashRequest));
    // The body of a request that can't be buffered was consumed by the first attempt.
    state.open.is_empty()
        && state.key.is_none()
        && state.caller.replayable
        && may_run
        && !crashes
        && !state.has_reached_run_limit()
}
