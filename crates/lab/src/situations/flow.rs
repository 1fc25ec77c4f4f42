//! Lifecycle of one request: upstream selection, queue, slot, reply and retry.

use std::time::Duration;

use sycamorelink_core::RunState;
use sycamorelink_policy::{AttemptOutcome, LoadHint, RetryDecision, SampleKind, UpstreamSample};

use super::server::ServiceEnd;
use super::services::{ATTEMPT_TIMEOUT, NETWORK_DELAY, QUEUE_LIMIT};
use super::simulation::{
    EventKind, FleetSimulation, SimulatedAttempt, SimulatedRequest, TRIGGER_AT, index_of,
    upstream_id,
};

/// Time that a caller waits before it resends a failed request.
const RESEND_AFTER: Duration = Duration::from_millis(200);

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Served,
    Refused,
    Failed,
}

impl FleetSimulation {
    /// Sends the next attempt of a request.
    pub(super) fn send(&mut self, mut request: SimulatedRequest) {
        let node = request.node;
        let exclude = request.plan.exclude();
        let Some(id) = self.choosers[node].pick(self.now, exclude.as_slice()) else {
            self.finish_request(&request, RequestEnd::Refused);
            return;
        };
        request.plan.tried(id);
        let server = index_of(id);
        self.meter.record_send(self.now, server);
        self.choosers[node].sent(self.now, id);
        let lost = self.silent_connections[node][server];
        let index = self.open_attempt(request, server, lost);
        let generation = self.attempts[index].generation;
        let delay = network_delay(node, server);
        if !lost {
            self.schedule(
                delay,
                EventKind::AttemptArrival {
                    attempt: index,
                    generation,
                },
            );
        }
        self.schedule(
            ATTEMPT_TIMEOUT,
            EventKind::Timeout {
                attempt: index,
                generation,
            },
        );
    }

    fn open_attempt(&mut self, request: SimulatedRequest, server: usize, lost: bool) -> usize {
        let attempt = SimulatedAttempt {
            generation: 0,
            request,
            server,
            sent: self.now,
            started: None,
            ended: None,
            end: ServiceEnd::Never,
            lost,
            open: true,
        };
        if let Some(index) = self.free_attempts.pop() {
            let generation = self.attempts[index].generation + 1;
            self.attempts[index] = SimulatedAttempt {
                generation,
                ..attempt
            };
            return index;
        }
        self.attempts.push(attempt);
        self.attempts.len() - 1
    }

    fn is_open(&self, attempt: usize, generation: u32) -> bool {
        let attempt = &self.attempts[attempt];
        attempt.open && attempt.generation == generation
    }

    /// Handles an attempt that reaches the daemon in front of the backend server.
    pub(super) fn on_attempt_arrival(&mut self, index: usize, generation: u32) {
        if !self.is_open(index, generation) {
            return;
        }
        let server = self.attempts[index].server;
        if !self.servers[server].up {
            self.send_reply(index, SampleKind::ConnectionLost);
        } else if self.servers[server].running.len() < usize::from(self.shape.slots) {
            self.start(index);
        } else if self.servers[server].queue.len() < QUEUE_LIMIT {
            self.servers[server].queue.push_back(index);
        } else {
            self.send_reply(index, SampleKind::Refused);
        }
    }

    fn start(&mut self, index: usize) {
        let server = self.attempts[index].server;
        let work = self.attempts[index].request.work;
        let fault = self.fault_of(server);
        let mean = self.shape.mean_service();
        let backend = &mut self.servers[server];
        let (length, end) = backend.start(self.now, mean, work, fault, &mut self.rng);
        backend.running.push(index);
        self.attempts[index].started = Some(self.now);
        self.attempts[index].end = end;
        let generation = self.attempts[index].generation;
        self.choosers[server].started_locally(self.now, upstream_id(server));
        if end != ServiceEnd::Never {
            self.schedule(
                length,
                EventKind::ServiceDone {
                    attempt: index,
                    generation,
                },
            );
        }
    }

    /// Handles the end of an attempt in a backend server.
    pub(super) fn on_service_done(&mut self, index: usize, generation: u32) {
        let attempt = &self.attempts[index];
        if attempt.generation != generation || !attempt.open {
            return;
        }
        let server = attempt.server;
        if attempt.request.crashes_server {
            self.crash_count += 1;
            self.crash(server);
            return;
        }
        let kind = match attempt.end {
            ServiceEnd::Served => SampleKind::Served,
            ServiceEnd::Failed => SampleKind::Failed,
            ServiceEnd::Wrong => SampleKind::Wrong,
            ServiceEnd::Never => return,
        };
        self.attempts[index].ended = Some(self.now);
        self.report_local_end(index, kind);
        self.release_slot(server, index);
        self.send_reply(index, kind);
    }

    /// Reports the end of an attempt to the daemon in front of the backend server.
    pub(super) fn report_local_end(&mut self, index: usize, kind: SampleKind) {
        let attempt = &self.attempts[index];
        let Some(started) = attempt.started else {
            return;
        };
        let server = attempt.server;
        let length = self.now.saturating_sub(started);
        let window = TRIGGER_AT..TRIGGER_AT + self.plan.duration;
        if window.contains(&self.now) {
            self.meter.slot_time.0 += length.as_secs_f64();
            self.meter.slot_time.1 += 1;
        }
        let mut sample = UpstreamSample::new(kind, length).service_time(length);
        if attempt.request.crashes_server && self.crash_count > 1 {
            sample = sample.excused();
        }
        self.choosers[server].ended_locally(self.now, upstream_id(server), &sample);
    }

    fn release_slot(&mut self, server: usize, index: usize) {
        let backend = &mut self.servers[server];
        backend.running.retain(|&other| other != index);
        backend.queue.retain(|&other| other != index);
        let free = backend.running.len() < usize::from(self.shape.slots);
        if free && let Some(next) = self.servers[server].queue.pop_front() {
            self.start(next);
        }
    }

    /// Sends the reply of an attempt back, unless the connection is cut or silent.
    pub(super) fn send_reply(&mut self, index: usize, kind: SampleKind) {
        let attempt = &self.attempts[index];
        let (node, server, generation) = (attempt.request.node, attempt.server, attempt.generation);
        let lost = self.is_cut(node, server) || self.silent_connections[node][server];
        if lost {
            self.attempts[index].lost = true;
            return;
        }
        let delay = network_delay(node, server);
        self.schedule(
            delay,
            EventKind::Reply {
                attempt: index,
                generation,
                kind,
            },
        );
    }

    /// Handles a reply that reaches the daemon that sent the attempt.
    pub(super) fn on_reply(&mut self, index: usize, generation: u32, kind: SampleKind) {
        if !self.is_open(index, generation) {
            return;
        }
        let attempt = &self.attempts[index];
        let mut sample = UpstreamSample::new(kind, self.now.saturating_sub(attempt.sent));
        if let (Some(started), Some(ended)) = (attempt.started, attempt.ended) {
            sample = sample.service_time(ended.saturating_sub(started));
        }
        let backend = &self.servers[attempt.server];
        sample = sample.load(LoadHint {
            in_use: u16::try_from(backend.running.len()).unwrap_or(u16::MAX),
            slots: self.shape.slots,
            queued: u16::try_from(backend.queue.len()).unwrap_or(u16::MAX),
            failing: 0,
        });
        if attempt.request.crashes_server && self.crash_count > 1 {
            sample = sample.excused();
        }
        self.finish_attempt(index, &sample);
    }

    /// Handles an attempt without a reply within [`ATTEMPT_TIMEOUT`].
    pub(super) fn on_timeout(&mut self, index: usize, generation: u32) {
        if !self.is_open(index, generation) {
            return;
        }
        let attempt = &self.attempts[index];
        let (node, server) = (attempt.request.node, attempt.server);
        let sample = UpstreamSample::new(SampleKind::Silent, self.now.saturating_sub(attempt.sent));
        let delay = network_delay(node, server);
        self.schedule(
            delay,
            EventKind::Cancellation {
                server,
                attempt: index,
                generation,
            },
        );
        self.finish_attempt(index, &sample);
    }

    /// Handles the cancellation of an attempt that reaches its backend server.
    pub(super) fn on_cancellation(&mut self, server: usize, index: usize, generation: u32) {
        if self.attempts[index].generation == generation {
            if self.servers[server].running.contains(&index) {
                self.report_local_end(index, SampleKind::Cancelled);
            }
            self.release_slot(server, index);
            self.free_attempts.push(index);
        }
    }

    /// Replaces a silent connection and fails the attempts that were lost on it.
    pub(super) fn on_reconnect(&mut self, node: usize, server: usize) {
        if !self.silent_connections[node][server] {
            return;
        }
        self.silent_connections[node][server] = false;
        self.choosers[node].connection_replaced(self.now, upstream_id(server));
        let lost: Vec<usize> = (0..self.attempts.len())
            .filter(|&index| {
                let attempt = &self.attempts[index];
                attempt.open
                    && attempt.lost
                    && attempt.request.node == node
                    && attempt.server == server
            })
            .collect();
        for index in lost {
            let latency = self.now.saturating_sub(self.attempts[index].sent);
            let sample = UpstreamSample::new(SampleKind::ConnectionLost, latency);
            self.finish_attempt(index, &sample);
        }
    }

    /// Ends an attempt at the daemon that sent it: records the sample, then replies to the caller
    /// or retries.
    fn finish_attempt(&mut self, index: usize, sample: &UpstreamSample) {
        let attempt = &mut self.attempts[index];
        attempt.open = false;
        let request = attempt.request.clone();
        let id = upstream_id(attempt.server);
        let awaits_cancellation = sample.kind == SampleKind::Silent;
        let started = attempt.started.is_some();
        if !awaits_cancellation {
            self.free_attempts.push(index);
        }
        self.choosers[request.node].observe(self.now, id, sample);
        if sample.kind == SampleKind::Served {
            self.finish_request(&request, RequestEnd::Served);
            return;
        }
        let run = match sample.kind {
            SampleKind::Refused => RunState::NotRun,
            SampleKind::ConnectionLost if !started => RunState::NotRun,
            SampleKind::Failed | SampleKind::Wrong => RunState::Ran,
            _ => RunState::Unknown,
        };
        self.retry(request, sample.kind, run);
    }

    fn retry(&mut self, request: SimulatedRequest, kind: SampleKind, run: RunState) {
        let mut outcome = AttemptOutcome::new(run);
        outcome.request_fault = request.crashes_server && self.crash_count > 1;
        let expected_time = Duration::from_secs_f64(self.shape.mean_service());
        let decision = request.plan.decide(self.now, &outcome, expected_time);
        let budget = &mut self.retry_budgets[request.node];
        if decision == RetryDecision::Retry && *budget >= 1.0 {
            *budget -= 1.0;
            self.meter.retries += 1;
            self.send(request);
            return;
        }
        let end = if kind == SampleKind::Refused {
            RequestEnd::Refused
        } else {
            RequestEnd::Failed
        };
        self.finish_request(&request, end);
    }

    fn finish_request(&mut self, request: &SimulatedRequest, end: RequestEnd) {
        let served = end == RequestEnd::Served;
        if !served && request.resends_left > 0 {
            let resends_left = request.resends_left - 1;
            let work = request.work;
            self.schedule(RESEND_AFTER, EventKind::Resend { resends_left, work });
        }
        let second = usize::try_from(request.arrived.as_secs()).unwrap_or(0);
        let bins = if served {
            &mut self.meter.successes
        } else {
            &mut self.meter.failures
        };
        bins[second] += 1;
        let window = TRIGGER_AT..TRIGGER_AT + self.plan.duration;
        if !window.contains(&request.arrived) {
            return;
        }
        self.meter.offered += 1;
        match end {
            RequestEnd::Served => {
                self.meter.served += 1;
                let latency = self.now.saturating_sub(request.arrived).as_micros();
                let micros = u64::try_from(latency).unwrap_or(u64::MAX);
                self.meter.latency.saturating_record(micros);
            }
            RequestEnd::Refused => self.meter.refused += 1,
            RequestEnd::Failed => self.meter.failed += 1,
        }
    }
}

/// Returns the one-way network delay between two daemons.
const fn network_delay(node: usize, server: usize) -> Duration {
    if node == server {
        Duration::ZERO
    } else {
        NETWORK_DELAY
    }
}
