//! Engine of the simulated fleet: dispatches requests, runs work, redirects and settles.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::{AttemptId, InstanceId, RequestId};
use sycamorelink_guard::{
    DispatchOutcome, DispatchTicket, GuardEvent, KeyFingerprint, WorkOutcome,
};

use crate::fleet::{CallerSend, FakeFleet, FleetEvent, FleetPacket, IngressState, WorkResult, ms};

/// How long an ingress waits for the executor's result.
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of redirects of one request.
const MAX_REDIRECTS: u32 = 2;

impl FakeFleet {
    pub fn dispatch(&mut self, life: usize, request: RequestId, ticket: DispatchTicket) {
        let attempt = ticket.attempt;
        let Some(state) = self.lives[life].requests.get_mut(&request) else {
            return;
        };
        state.attempt = Some(attempt);
        let timeout = FleetEvent::DispatchTimeout(attempt);
        self.schedule(life, DISPATCH_TIMEOUT, timeout);
        let executor = ticket.executor;
        self.transmit(life, executor, &FleetPacket::Dispatch(ticket));
    }

    pub fn reply(&mut self, life: usize, attempt: AttemptId, result: WorkResult) {
        let Some(ticket) = self.lives[life].tickets.get(&attempt) else {
            return;
        };
        let ingress = ticket.ingress;
        self.transmit(life, ingress, &FleetPacket::Result(attempt, result));
    }

    pub fn run_work(&mut self, life: usize, ticket: &DispatchTicket) {
        let attempt = ticket.attempt;
        let (low, high) = self.backend.service;
        let service = ms(self.rng.random_range(low..=high));
        if self.rng.random_bool(self.backend.refuse) {
            self.schedule(
                life,
                ms(1),
                FleetEvent::WorkDone(attempt, WorkOutcome::NotRun),
            );
            return;
        }
        let name = self.lives[life].instance_name();
        self.truth.ran(ticket.key, attempt, self.now);
        self.note(&format!("backend server of {name} runs {attempt}"));
        let outcome = if self.rng.random_bool(self.backend.crash) {
            WorkOutcome::Unknown
        } else {
            let mut text = format!("reply to {attempt} ").into_bytes();
            text.resize(text.len().max(self.backend.reply_bytes), b'.');
            WorkOutcome::Ran(Some(Arc::from(text)))
        };
        self.schedule(life, service, FleetEvent::WorkDone(attempt, outcome));
    }

    pub fn end_work(&mut self, life: usize, attempt: AttemptId, outcome: WorkOutcome) {
        let result = match &outcome {
            WorkOutcome::NotRun => WorkResult::NotRun,
            WorkOutcome::Ran(_) => WorkResult::Ran,
            WorkOutcome::Unknown => WorkResult::Unknown,
        };
        self.tell(life, GuardEvent::WorkEnded { attempt, outcome });
        self.reply(life, attempt, result);
    }

    pub fn take_result(&mut self, life: usize, attempt: AttemptId, result: &WorkResult) {
        let request = attempt.request;
        let waiting = self.lives[life].requests.get(&request);
        if waiting.is_none_or(|state| state.attempt != Some(attempt)) {
            return;
        }
        match result {
            WorkResult::NotRun => self.redirect(life, request),
            WorkResult::Repeated => self.settle(life, request, DispatchOutcome::Lost),
            WorkResult::Ran => self.settle(life, request, DispatchOutcome::Ran),
            WorkResult::Unknown => self.settle(life, request, DispatchOutcome::Unknown),
        }
    }

    /// Redirects a request to another executor, or settles it as not run after [`MAX_REDIRECTS`].
    pub fn redirect(&mut self, life: usize, request: RequestId) {
        let Some(state) = self.lives[life].requests.get_mut(&request) else {
            return;
        };
        state.attempt = None;
        state.redirects += 1;
        if state.redirects > MAX_REDIRECTS {
            self.settle(life, request, DispatchOutcome::NotRun);
            return;
        }
        let executor = self.any_executor();
        self.tell(life, GuardEvent::Redirect { request, executor });
    }

    pub fn settle(&mut self, life: usize, request: RequestId, outcome: DispatchOutcome) {
        if let Some(state) = self.lives[life].requests.get_mut(&request) {
            state.attempt = None;
        }
        self.tell(life, GuardEvent::Settled { request, outcome });
        if outcome != DispatchOutcome::Lost {
            self.lives[life].requests.remove(&request);
            self.truth.settled(request, self.now, outcome);
        }
    }

    /// Selects a random executor that is alive and not frozen, as a load balancer would.
    pub fn any_executor(&mut self) -> InstanceId {
        for _ in 0..8 {
            let node = self.rng.random_range(0..self.address.len());
            let life = &self.lives[self.address[node]];
            if life.alive && !life.frozen {
                return life.instance;
            }
        }
        self.instance(0)
    }

    /// Sends a caller's request to a node. Returns false if no process accepts it there.
    pub fn send(&mut self, node: usize, send: &CallerSend) -> bool {
        let life = self.address[node];
        if !self.lives[life].alive || self.lives[life].frozen {
            return false;
        }
        let request = send.request;
        let state = IngressState {
            attempt: None,
            redirects: 0,
        };
        self.lives[life].requests.insert(request, state);
        let until = self.now + send.patience;
        self.truth.admitted(send, self.now);
        let event = GuardEvent::Admit {
            request,
            key: send.key,
            fingerprint: KeyFingerprint(send.body),
            executor: send.executor,
            deadline: until.saturating_sub(self.lives[life].started),
        };
        self.tell(life, event);
        self.schedule(life, send.patience, FleetEvent::GiveUp(request));
        self.schedule(life, send.patience + ms(50), FleetEvent::Deadline(request));
        true
    }
}
