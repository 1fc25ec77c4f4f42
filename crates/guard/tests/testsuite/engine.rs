//! Engine of the simulated fleet: dispatches requests, runs work, redirects and settles.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::{AttemptId, InstanceId, RequestId};
use sycamorelink_guard::{
    DispatchOutcome, DispatchTicket, GuardEvent, KeyFingerprint, WorkOutcome,
};

use crate::fleet::{CallerSend, FakeFleet, FleetEvent, FleetPacket, IngressState, WorkResult, ms};

/// Maximum time an ingress waits for the executor's result.
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of redirects of one request.
const MAX_REDIRECTS: u32 = 2;

impl FakeFleet {
    pub fn dispatch(&mut self, process: usize, request: RequestId, ticket: DispatchTicket) {
        let attempt = ticket.attempt;
        let Some(state) = self.processes[process].requests.get_mut(&request) else {
            return;
        };
        state.attempt = Some(attempt);
        let timeout = FleetEvent::DispatchTimeout(attempt);
        self.schedule(process, DISPATCH_TIMEOUT, timeout);
        let executor = ticket.executor;
        self.transmit(process, executor, &FleetPacket::Dispatch(ticket));
    }

    pub fn reply(&mut self, process: usize, attempt: AttemptId, result: WorkResult) {
        let Some(ticket) = self.processes[process].tickets.get(&attempt) else {
            return;
        };
        let ingress = ticket.ingress;
        self.transmit(process, ingress, &FleetPacket::Result(attempt, result));
    }

    pub fn run_work(&mut self, process: usize, ticket: &DispatchTicket) {
        let attempt = ticket.attempt;
        let (low, high) = self.backend.service;
        let service = ms(self.rng.random_range(low..=high));
        if self.rng.random_bool(self.backend.refuse) {
            self.schedule(
                process,
                ms(1),
                FleetEvent::WorkDone(attempt, WorkOutcome::NotRun),
            );
            return;
        }
        let name = self.processes[process].instance_name();
        self.oracle.on_run(ticket.key, attempt, self.now);
        self.note(&format!("backend server of {name} runs {attempt}"));
        let outcome = if self.rng.random_bool(self.backend.crash) {
            WorkOutcome::Unknown
        } else {
            let mut text = format!("reply to {attempt} ").into_bytes();
            text.resize(text.len().max(self.backend.reply_bytes), b'.');
            WorkOutcome::Ran(Some(Arc::from(text)))
        };
        self.schedule(process, service, FleetEvent::WorkDone(attempt, outcome));
    }

    pub fn end_work(&mut self, process: usize, attempt: AttemptId, outcome: WorkOutcome) {
        let result = match &outcome {
            WorkOutcome::NotRun => WorkResult::NotRun,
            WorkOutcome::Ran(_) => WorkResult::Ran,
            WorkOutcome::Unknown => WorkResult::Unknown,
        };
        self.handle_event(process, GuardEvent::WorkEnded { attempt, outcome });
        self.reply(process, attempt, result);
    }

    pub fn on_result(&mut self, process: usize, attempt: AttemptId, result: &WorkResult) {
        let request = attempt.request;
        let waiting = self.processes[process].requests.get(&request);
        if waiting.is_none_or(|state| state.attempt != Some(attempt)) {
            return;
        }
        match result {
            WorkResult::NotRun => self.redirect(process, request),
            WorkResult::Repeated => self.settle(process, request, DispatchOutcome::Lost),
            WorkResult::Ran => self.settle(process, request, DispatchOutcome::Ran),
            WorkResult::Unknown => self.settle(process, request, DispatchOutcome::Unknown),
        }
    }

    /// Redirects a request to another executor, or settles it as not run after [`MAX_REDIRECTS`].
    pub fn redirect(&mut self, process: usize, request: RequestId) {
        let Some(state) = self.processes[process].requests.get_mut(&request) else {
            return;
        };
        state.attempt = None;
        state.redirects += 1;
        if state.redirects > MAX_REDIRECTS {
            self.settle(process, request, DispatchOutcome::NotRun);
            return;
        }
        let executor = self.any_executor();
        self.handle_event(process, GuardEvent::Redirect { request, executor });
    }

    pub fn settle(&mut self, process: usize, request: RequestId, outcome: DispatchOutcome) {
        if let Some(state) = self.processes[process].requests.get_mut(&request) {
            state.attempt = None;
        }
        self.handle_event(process, GuardEvent::Settled { request, outcome });
        if outcome != DispatchOutcome::Lost {
            self.processes[process].requests.remove(&request);
            self.oracle.on_settled(request, self.now, outcome);
        }
    }

    /// Selects a random executor that is alive and not frozen, as a load balancer would.
    pub fn any_executor(&mut self) -> InstanceId {
        for _ in 0..8 {
            let node = self.rng.random_range(0..self.process_at.len());
            let process = &self.processes[self.process_at[node]];
            if process.alive && !process.frozen {
                return process.instance;
            }
        }
        self.instance(0)
    }

    /// Sends a caller's request to a node. Returns false if no process accepts it there.
    pub fn send(&mut self, node: usize, send: &CallerSend) -> bool {
        let process = self.process_at[node];
        if !self.processes[process].alive || self.processes[process].frozen {
            return false;
        }
        let request = send.request;
        let state = IngressState {
            attempt: None,
            redirects: 0,
        };
        self.processes[process].requests.insert(request, state);
        let until = self.now + send.timeout;
        self.oracle.on_admitted(send, self.now);
        let event = GuardEvent::Admit {
            request,
            key: send.key,
            fingerprint: KeyFingerprint(send.body),
            executor: send.executor,
            deadline: until.saturating_sub(self.processes[process].started),
        };
        self.handle_event(process, event);
        self.schedule(process, send.timeout, FleetEvent::GiveUp(request));
        self.schedule(
            process,
            send.timeout + ms(50),
            FleetEvent::Deadline(request),
        );
        true
    }
}
