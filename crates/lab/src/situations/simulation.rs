//! Event-driven simulation in virtual time: callers, daemons with their choosers, connections and
//! backend servers.
//!
//! ```text
//!   Arrival ─> pick ─> AttemptArrival ─> queue or slot ─> ServiceDone ─> Reply ─> observe
//!                             └─> refused immediately ─────────────────────┘
//!   Report ─> Deliver
//! ```
//!
//! Timeouts, ticks, phase updates and reconnections occur independently of this sequence.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{DomainName, NodeId, UpstreamId};
use sycamorelink_policy::{RetryPlan, SampleKind, UpstreamEvidence, UpstreamFacts, UpstreamPhase};

use super::chooser::{ChooserNotice, UpstreamChooser};
use super::fault::{SituationEvent, SituationPlan};
use super::meter::RunMeter;
use super::server::{BackendServer, ServiceEnd, draw_gap, draw_work};
use super::services::{CALLER_DEADLINE, ServiceShape};

/// Time at which the situation's event begins; the fleet is healthy before.
pub const TRIGGER_AT: Duration = Duration::from_secs(25);

/// Share of requests that are idempotent.
const IDEMPOTENT_SHARE: f64 = 0.8;

/// Kind of a scheduled event.
#[derive(Clone, Debug)]
pub(super) enum EventKind {
    Arrival,
    Resend {
        resends_left: u8,
        work: f64,
    },
    AttemptArrival {
        attempt: usize,
        generation: u32,
    },
    ServiceDone {
        attempt: usize,
        generation: u32,
    },
    Reply {
        attempt: usize,
        generation: u32,
        kind: SampleKind,
    },
    Timeout {
        attempt: usize,
        generation: u32,
    },
    Cancellation {
        server: usize,
        attempt: usize,
        generation: u32,
    },
    Tick {
        node: usize,
    },
    Report {
        node: usize,
    },
    Deliver {
        to: usize,
        from: usize,
        evidence: Arc<[UpstreamEvidence]>,
    },
    Reconnect {
        node: usize,
        server: usize,
    },
    Trigger,
    TriggerEnd,
    Restarted {
        server: usize,
    },
    PhaseUpdate {
        server: usize,
        phase: UpstreamPhase,
    },
}

#[derive(Debug)]
struct TimedEvent {
    at: u64,
    sequence: u64,
    kind: EventKind,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Request of a caller, as held by the daemon that received it.
#[derive(Clone, Debug)]
pub(super) struct SimulatedRequest {
    pub(super) node: usize,
    pub(super) arrived: Duration,
    pub(super) work: f64,
    pub(super) plan: RetryPlan,
    pub(super) crashes_server: bool,
    pub(super) resends_left: u8,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(super) struct SimulatedAttempt {
    /// Number of earlier uses of this table entry; events of an earlier use are ignored.
    pub(super) generation: u32,
    pub(super) request: SimulatedRequest,
    pub(super) server: usize,
    pub(super) sent: Duration,
    pub(super) started: Option<Duration>,
    pub(super) ended: Option<Duration>,
    pub(super) end: ServiceEnd,
    /// Whether the request or its reply was lost on a silent or cut connection.
    pub(super) lost: bool,
    /// Whether the sending daemon still waits for the end of the attempt.
    pub(super) open: bool,
}

/// Simulation of one situation.
pub struct FleetSimulation {
    pub(super) shape: ServiceShape,
    pub(super) plan: SituationPlan,
    pub(super) now: Duration,
    pub(super) rng: SmallRng,
    pub(super) servers: Vec<BackendServer>,
    pub(super) choosers: Vec<Box<dyn UpstreamChooser>>,
    pub(super) retry_budgets: Vec<f64>,
    pub(super) attempts: Vec<SimulatedAttempt>,
    pub(super) free_attempts: Vec<usize>,
    pub(super) meter: RunMeter,
    pub(super) silent_connections: Vec<Vec<bool>>,
    pub(super) trigger_active: bool,
    pub(super) crash_count: u32,
    end: Duration,
    events: BinaryHeap<Reverse<TimedEvent>>,
    sequence: u64,
    pub(super) first_faulty: usize,
    pub(super) notices: Vec<ChooserNotice>,
}

/// Returns the id of the upstream with this index.
#[must_use]
pub fn upstream_id(index: usize) -> UpstreamId {
    UpstreamId {
        node: NodeId(index as u64),
        slot: 0,
    }
}

/// Returns the index of the upstream with this id.
pub(super) fn index_of(id: UpstreamId) -> usize {
    usize::try_from(id.node.0).unwrap_or(0)
}

impl FleetSimulation {
    /// Creates a simulation of one situation with one chooser per daemon.
    #[must_use]
    pub fn new(
        shape: ServiceShape,
        plan: SituationPlan,
        choosers: Vec<Box<dyn UpstreamChooser>>,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let servers = (0..shape.upstreams)
            .map(|_| BackendServer::new(&mut rng))
            .collect();
        let end = TRIGGER_AT + plan.duration + plan.cooldown;
        let seconds = usize::try_from(end.as_secs()).unwrap_or(0) + 1;
        let nodes = choosers.len();
        let mut simulation = Self {
            shape,
            plan,
            now: Duration::ZERO,
            servers,
            choosers,
            retry_budgets: vec![5.0; nodes],
            attempts: Vec::new(),
            free_attempts: Vec::new(),
            meter: RunMeter::new(shape.upstreams, seconds),
            silent_connections: vec![vec![false; shape.upstreams]; nodes],
            trigger_active: false,
            crash_count: 0,
            end,
            events: BinaryHeap::new(),
            sequence: 0,
            first_faulty: rng.random_range(0..shape.upstreams),
            rng,
            notices: Vec::new(),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.servers.len() {
            let facts = self.facts(index, UpstreamPhase::Ready);
            for chooser in &mut self.choosers {
                chooser.upsert(Duration::ZERO, upstream_id(index), &facts);
            }
        }
        for node in 0..self.choosers.len() {
            let offset = self.rng.random_range(0..100);
            self.schedule(Duration::from_millis(offset), EventKind::Tick { node });
            self.schedule(
                Duration::from_millis(offset + 1),
                EventKind::Report { node },
            );
        }
        self.schedule(Duration::ZERO, EventKind::Arrival);
        self.schedule(TRIGGER_AT, EventKind::Trigger);
        self.schedule(TRIGGER_AT + self.plan.duration, EventKind::TriggerEnd);
    }

    pub(super) fn facts(&self, index: usize, phase: UpstreamPhase) -> UpstreamFacts {
        UpstreamFacts {
            slots: self.shape.slots,
            domain: DomainName::new(&format!("domain-{}", self.domain_of(index))),
            phase,
        }
    }

    pub(super) const fn domain_of(&self, index: usize) -> usize {
        index % self.shape.domains
    }

    /// Runs the simulation to its end and returns the measurements.
    ///
    /// # Panics
    ///
    /// Panics when a daemon ejects an upstream although the capacity floor does not allow it, or
    /// when the weights of all daemons together leave less capacity than the floor. The second
    /// check is skipped for situations that restart upstreams, because restarted upstreams ramp up
    /// slowly.
    #[must_use]
    pub fn run(mut self) -> RunMeter {
        while let Some(Reverse(event)) = self.events.pop() {
            self.now = Duration::from_nanos(event.at);
            if self.now > self.end {
                break;
            }
            self.handle_event(event.kind);
        }
        self.meter
    }

    pub(super) fn schedule(&mut self, wait: Duration, kind: EventKind) {
        self.sequence += 1;
        let at = u64::try_from((self.now + wait).as_nanos()).unwrap_or(u64::MAX);
        self.events.push(Reverse(TimedEvent {
            at,
            sequence: self.sequence,
            kind,
        }));
    }

    fn handle_event(&mut self, kind: EventKind) {
        match kind {
            EventKind::Arrival => self.on_arrival(),
            EventKind::Resend { resends_left, work } => self.accept_request(work, resends_left),
            EventKind::AttemptArrival {
                attempt,
                generation,
            } => self.on_attempt_arrival(attempt, generation),
            EventKind::ServiceDone {
                attempt,
                generation,
            } => self.on_service_done(attempt, generation),
            EventKind::Reply {
                attempt,
                generation,
                kind,
            } => self.on_reply(attempt, generation, kind),
            EventKind::Timeout {
                attempt,
                generation,
            } => self.on_timeout(attempt, generation),
            EventKind::Cancellation {
                server,
                attempt,
                generation,
            } => self.on_cancellation(server, attempt, generation),
            EventKind::Tick { node } => self.on_tick(node),
            EventKind::Report { node } => self.send_report(node),
            EventKind::Deliver { to, from, evidence } => {
                let from = NodeId(from as u64);
                self.choosers[to].merge(self.now, from, &evidence);
            }
            EventKind::Reconnect { node, server } => self.on_reconnect(node, server),
            EventKind::Trigger => self.trigger(),
            EventKind::TriggerEnd => self.trigger_active = false,
            EventKind::Restarted { server } => self.on_restarted(server),
            EventKind::PhaseUpdate { server, phase } => self.apply_phase(server, phase),
        }
    }

    fn on_arrival(&mut self) {
        let mut rate = self.shape.rate;
        if let (SituationEvent::Burst { factor, .. }, true) = (self.plan.event, self.trigger_active)
        {
            rate *= factor;
        }
        let gap = draw_gap(&mut self.rng, 1.0 / rate);
        self.schedule(Duration::from_secs_f64(gap), EventKind::Arrival);
        let work = draw_work(&mut self.rng);
        let resends_left = match self.plan.event {
            SituationEvent::Burst { resend: true, .. } => 3,
            _ => 0,
        };
        self.accept_request(work, resends_left);
    }

    fn accept_request(&mut self, work: f64, resends_left: u8) {
        let node = self.rng.random_range(0..self.choosers.len());
        let idempotent = self.rng.random_bool(IDEMPOTENT_SHARE);
        self.retry_budgets[node] =
            (self.retry_budgets[node] + super::services::RETRY_SHARE).min(10.0);
        let request = SimulatedRequest {
            node,
            arrived: self.now,
            work,
            plan: RetryPlan::new(idempotent, self.now + CALLER_DEADLINE),
            crashes_server: false,
            resends_left,
        };
        self.meter.requests += 1;
        self.send(request);
    }
}
