//! The way of one request through the lab: pick, queue, slot, reply, retry.

use std::time::Duration;

use sycamorelink_core::RunState;
use sycamorelink_policy::{AttemptOutcome, LoadHint, RetryDecision, SampleKind, UpstreamSample};

use super::fleet::{ATTEMPT_TIMEOUT, HOP, QUEUE_LIMIT};
use super::server::ServiceEnd;
use super::world::{EventKind, LEAD_IN, LabAttempt, LabRequest, LabWorld, index_of, upstream_id};

/// Wait of a caller before it sends again.
const RESEND_AFTER: Duration = Duration::from_millis(200);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Served,
    Refused,
    Failed,
}

impl LabWorld {
    /// Sends the next attempt of a request.
    pub(super) fn send(&mut self, mut request: LabRequest) {
        let node = request.node;
        let exclude = request.plan.exclude();
        let Some(id) = self.choosers[node].pick(self.now, exclude.as_slice()) else {
            self.finish(&request, RequestEnd::Refused);
            return;
        };
        request.plan.tried(id);
        let server = index_of(id);
        self.meter.sent(self.now, server);
        self.choosers[node].sent(self.now, id);
        let stranded = self.silent[node][server];
        let place = self.open_attempt(request, server, stranded);
        let life = self.attempts[place].life;
        let way = hop(node, server);
        if !stranded {
            self.after(
                way,
                EventKind::Reach {
                    attempt: place,
                    life,
                },
            );
        }
        self.after(
            ATTEMPT_TIMEOUT,
            EventKind::Timeout {
                attempt: place,
                life,
            },
        );
    }

    fn open_attempt(&mut self, request: LabRequest, server: usize, stranded: bool) -> usize {
        let attempt = LabAttempt {
            life: 0,
            request,
            server,
            sent: self.now,
            started: None,
            ended: None,
            end: ServiceEnd::Never,
            stranded,
            open: true,
        };
        if let Some(place) = self.free.pop() {
            let life = self.attempts[place].life + 1;
            self.attempts[place] = LabAttempt { life, ..attempt };
            return place;
        }
        self.attempts.push(attempt);
        self.attempts.len() - 1
    }

    fn is_open(&self, attempt: usize, life: u32) -> bool {
        let attempt = &self.attempts[attempt];
        attempt.open && attempt.life == life
    }

    /// An attempt reaches the daemon beside the backend server.
    pub(super) fn reach(&mut self, place: usize, life: u32) {
        if !self.is_open(place, life) {
            return;
        }
        let server = self.attempts[place].server;
        if !self.servers[server].up {
            self.answer(place, SampleKind::ConnectionLost);
        } else if self.servers[server].running.len() < usize::from(self.shape.slots) {
            self.start(place);
        } else if self.servers[server].queue.len() < QUEUE_LIMIT {
            self.servers[server].queue.push_back(place);
        } else {
            self.answer(place, SampleKind::Refused);
        }
    }

    fn start(&mut self, place: usize) {
        let server = self.attempts[place].server;
        let work = self.attempts[place].request.work;
        let fault = self.fault_of(server);
        let mean = self.shape.mean_service();
        let backend = &mut self.servers[server];
        let (length, end) = backend.start(self.now, mean, work, fault, &mut self.random);
        backend.running.push(place);
        self.attempts[place].started = Some(self.now);
        self.attempts[place].end = end;
        let life = self.attempts[place].life;
        self.choosers[server].started_locally(self.now, upstream_id(server));
        if end != ServiceEnd::Never {
            self.after(
                length,
                EventKind::Done {
                    attempt: place,
                    life,
                },
            );
        }
    }

    /// A backend server has finished an attempt.
    pub(super) fn done(&mut self, place: usize, life: u32) {
        let attempt = &self.attempts[place];
        if attempt.life != life || !attempt.open {
            return;
        }
        let server = attempt.server;
        if attempt.request.crashes {
            self.crashes += 1;
            self.crash(server);
            return;
        }
        let kind = match attempt.end {
            ServiceEnd::Served => SampleKind::Served,
            ServiceEnd::Failed => SampleKind::Failed,
            ServiceEnd::Wrong => SampleKind::Wrong,
            ServiceEnd::Never => return,
        };
        self.attempts[place].ended = Some(self.now);
        self.tell_beside(place, kind);
        self.leave_slot(server, place);
        self.answer(place, kind);
    }

    /// Tells the daemon beside a backend server how an attempt in a slot ended.
    pub(super) fn tell_beside(&mut self, place: usize, kind: SampleKind) {
        let attempt = &self.attempts[place];
        let Some(started) = attempt.started else {
            return;
        };
        let server = attempt.server;
        let length = self.now.saturating_sub(started);
        let window = LEAD_IN..LEAD_IN + self.plan.lasting;
        if window.contains(&self.now) {
            self.meter.slot_time.0 += length.as_secs_f64();
            self.meter.slot_time.1 += 1;
        }
        let mut sample = UpstreamSample::new(kind, length).service_time(length);
        if attempt.request.crashes && self.crashes > 1 {
            sample = sample.excused();
        }
        self.choosers[server].ended_locally(self.now, upstream_id(server), &sample);
    }

    fn leave_slot(&mut self, server: usize, place: usize) {
        let backend = &mut self.servers[server];
        backend.running.retain(|&other| other != place);
        backend.queue.retain(|&other| other != place);
        let free = backend.running.len() < usize::from(self.shape.slots);
        if free && let Some(next) = self.servers[server].queue.pop_front() {
            self.start(next);
        }
    }

    /// Sends the answer of an attempt back, unless the way is cut.
    pub(super) fn answer(&mut self, place: usize, kind: SampleKind) {
        let attempt = &self.attempts[place];
        let (node, server, life) = (attempt.request.node, attempt.server, attempt.life);
        let lost = self.is_cut(node, server) || self.silent[node][server];
        if lost {
            self.attempts[place].stranded = true;
            return;
        }
        let way = hop(node, server);
        self.after(
            way,
            EventKind::Reply {
                attempt: place,
                life,
                kind,
            },
        );
    }

    /// An answer reaches the daemon that sent the attempt.
    pub(super) fn reply(&mut self, place: usize, life: u32, kind: SampleKind) {
        if !self.is_open(place, life) {
            return;
        }
        let attempt = &self.attempts[place];
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
        if attempt.request.crashes && self.crashes > 1 {
            sample = sample.excused();
        }
        self.conclude(place, &sample);
    }

    /// An attempt had no answer in time.
    pub(super) fn time_out(&mut self, place: usize, life: u32) {
        if !self.is_open(place, life) {
            return;
        }
        let attempt = &self.attempts[place];
        let (node, server) = (attempt.request.node, attempt.server);
        let sample = UpstreamSample::new(SampleKind::Silent, self.now.saturating_sub(attempt.sent));
        let way = hop(node, server);
        self.after(
            way,
            EventKind::Release {
                server,
                attempt: place,
                life,
            },
        );
        self.conclude(place, &sample);
    }

    /// The cancellation of an attempt reaches its backend server.
    pub(super) fn release(&mut self, server: usize, place: usize, life: u32) {
        if self.attempts[place].life == life {
            if self.servers[server].running.contains(&place) {
                self.tell_beside(place, SampleKind::Cancelled);
            }
            self.leave_slot(server, place);
            self.free.push(place);
        }
    }

    /// A daemon tries a new connection to an upstream.
    pub(super) fn reconnect(&mut self, node: usize, server: usize) {
        if !self.silent[node][server] {
            return;
        }
        self.silent[node][server] = false;
        self.choosers[node].connection_replaced(self.now, upstream_id(server));
        let stranded: Vec<usize> = (0..self.attempts.len())
            .filter(|&place| {
                let attempt = &self.attempts[place];
                attempt.open
                    && attempt.stranded
                    && attempt.request.node == node
                    && attempt.server == server
            })
            .collect();
        for place in stranded {
            let latency = self.now.saturating_sub(self.attempts[place].sent);
            let sample = UpstreamSample::new(SampleKind::ConnectionLost, latency);
            self.conclude(place, &sample);
        }
    }

    /// Ends an attempt at its daemon: observe, then answer the caller or retry.
    fn conclude(&mut self, place: usize, sample: &UpstreamSample) {
        let attempt = &mut self.attempts[place];
        attempt.open = false;
        let request = attempt.request.clone();
        let id = upstream_id(attempt.server);
        let held = sample.kind == SampleKind::Silent;
        let started = attempt.started.is_some();
        if !held {
            self.free.push(place);
        }
        self.choosers[request.node].observe(self.now, id, sample);
        if sample.kind == SampleKind::Served {
            self.finish(&request, RequestEnd::Served);
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

    fn retry(&mut self, request: LabRequest, kind: SampleKind, run: RunState) {
        let mut outcome = AttemptOutcome::new(run);
        outcome.request_fault = request.crashes && self.crashes > 1;
        let usual = Duration::from_secs_f64(self.shape.mean_service());
        let decision = request.plan.decide(self.now, &outcome, usual);
        let budget = &mut self.budgets[request.node];
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
        self.finish(&request, end);
    }

    fn finish(&mut self, request: &LabRequest, end: RequestEnd) {
        let good = end == RequestEnd::Served;
        if !good && request.resends > 0 {
            let left = request.resends - 1;
            let work = request.work;
            self.after(RESEND_AFTER, EventKind::Resend { left, work });
        }
        let second = usize::try_from(request.arrived.as_secs()).unwrap_or(0);
        let bins = if good {
            &mut self.meter.good
        } else {
            &mut self.meter.bad
        };
        bins[second] += 1;
        let window = LEAD_IN..LEAD_IN + self.plan.lasting;
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

/// One way between two daemons.
const fn hop(node: usize, server: usize) -> Duration {
    if node == server { Duration::ZERO } else { HOP }
}
