//! Event-driven simulation in virtual time of backend servers behind admission control, with
//! callers that have deadlines and retry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;
use sycamorelink_core::CustomerName;
use sycamorelink_limits::{
    BudgetSettings, GateCommand, GateDecision, GateSettings, RetryBudget, SlotGate, WorkClass,
    WorkId,
};

/// Requests that each backend server runs concurrently.
pub const SLOTS: u32 = 5;
/// Mean service time in seconds.
pub const MEAN_SERVICE: f64 = 0.05;
/// Sigma of the lognormal service time.
const SERVICE_SIGMA: f64 = 0.5;
/// Queue length of the FIFO baseline.
const FIFO_QUEUE: usize = 500;
/// Time between two ticks of the gates.
const TICK: Duration = Duration::from_millis(5);

/// Admission control in front of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GateKind {
    /// [`SlotGate`], with fair queueing and deadlines.
    Gate,
    /// First in, first out, with a long queue and without deadlines.
    Fifo,
}

impl GateKind {
    /// Returns the name printed in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Gate => "gate",
            Self::Fifo => "fifo",
        }
    }
}

/// Callers of one customer.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Name of the customer.
    pub name: String,
    /// Mean requests per second.
    pub rate: f64,
}

/// Load and service speed up to a point in time.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// End of the phase.
    pub until: Duration,
    /// Factor on the request rate of every caller.
    pub load_factor: f64,
    /// Factor on every service time.
    pub service_factor: f64,
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// Kind of admission control.
    pub gate: GateKind,
    /// Number of backend servers; each request goes to a random one.
    pub servers: usize,
    /// Callers, one entry per customer.
    pub callers: Vec<CallerPlan>,
    /// Longest time that a caller waits for its request, retries included.
    pub deadline: Duration,
    /// Longest duration of one attempt.
    pub attempt: Duration,
    /// Maximum number of attempts per request.
    pub tries: u32,
    /// Retry budget shared by all callers; `None` for unlimited retries.
    pub budget: Option<BudgetSettings>,
    /// Load phases, in order of time.
    pub phases: Vec<LoadPhase>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCount {
    /// Requests received.
    pub offered: u64,
    /// Attempts sent, retries included.
    pub attempts: u64,
    /// Requests received in this second that were served in time.
    pub served: u64,
    /// Requests that were served in time and completed in this second.
    pub completed: u64,
}

/// Results of one simulation.
#[derive(Debug, Default)]
pub struct SimulationFigures {
    /// Counts by second of the run.
    pub seconds: Vec<SecondCount>,
    /// Latencies of served requests by caller, in microseconds.
    pub latencies: Vec<Vec<u64>>,
    /// Requests that were not served, by caller.
    pub failed: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive { caller: usize },
    End { server: usize, work: u64 },
    Timeout { work: u64 },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    caller: usize,
    arrived_at: Duration,
    tries_left: u32,
    server: usize,
    /// Service time at normal speed, in seconds.
    service: f64,
}

/// FIFO admission with a bounded queue.
#[derive(Debug, Default)]
struct FifoGate {
    running: u32,
    queue: VecDeque<WorkId>,
}

enum AnyGate {
    Slot(Box<SlotGate>),
    Fifo(FifoGate),
}

impl AnyGate {
    fn new(kind: GateKind) -> Self {
        match kind {
            GateKind::Gate => {
                let settings = GateSettings {
                    slots: SLOTS,
                    warm_up: Duration::ZERO,
                    ..GateSettings::default()
                };
                Self::Slot(Box::new(SlotGate::new(settings, Duration::ZERO)))
            }
            GateKind::Fifo => Self::Fifo(FifoGate::default()),
        }
    }

    /// Returns whether the work starts immediately or waits, or `None` when it is refused.
    fn offer(&mut self, now: Duration, work: WorkId, class: WorkClass) -> Option<bool> {
        match self {
            Self::Slot(gate) => match gate.offer(now, work, class) {
                GateDecision::Run => Some(true),
                GateDecision::Queued => Some(false),
                GateDecision::Refused { .. } => None,
            },
            Self::Fifo(fifo) => {
                if fifo.running < SLOTS {
                    fifo.running += 1;
                    return Some(true);
                }
                let fits = fifo.queue.len() < FIFO_QUEUE;
                fits.then(|| {
                    fifo.queue.push_back(work);
                    false
                })
            }
        }
    }

    fn finished(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        match self {
            Self::Slot(gate) => gate.finished(now, work, out),
            Self::Fifo(fifo) => match fifo.queue.pop_front() {
                Some(work) => out.push(GateCommand::Start { work }),
                None => fifo.running -= 1,
            },
        }
    }

    fn cancel(&mut self, now: Duration, work: WorkId) {
        if let Self::Slot(gate) = self {
            gate.cancel(now, work);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        if let Self::Slot(gate) = self {
            gate.tick(now, out);
        }
    }
}

/// Simulation state.
pub struct GateSimulation {
    plan: SimulationPlan,
    /// One generator per caller, so that a caller's requests do not depend on the other callers.
    rngs: Vec<SmallRng>,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    sequence: u64,
    gates: Vec<AnyGate>,
    names: Vec<CustomerName>,
    open: BTreeMap<u64, OpenAttempt>,
    work: u64,
    budget: Option<RetryBudget>,
    service: LogNormal<f64>,
    figures: SimulationFigures,
}

impl GateSimulation {
    /// Creates a simulation.
    pub fn new(plan: SimulationPlan) -> Self {
        let mean = MEAN_SERVICE.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        let callers = plan.callers.len();
        let mut simulation = Self {
            rngs: (0..callers as u64)
                .map(|caller| SmallRng::seed_from_u64(plan.seed.wrapping_add(caller)))
                .collect(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            gates: (0..plan.servers).map(|_| AnyGate::new(plan.gate)).collect(),
            names: plan
                .callers
                .iter()
                .map(|caller| CustomerName::new(&caller.name))
                .collect(),
            open: BTreeMap::new(),
            work: 0,
            budget: plan.budget.as_ref().map(RetryBudget::new),
            service: LogNormal::new(mean, SERVICE_SIGMA).expect("sigma is positive"),
            figures: SimulationFigures {
                seconds: Vec::new(),
                latencies: vec![Vec::new(); callers],
                failed: vec![0; callers],
            },
            plan,
        };
        for caller in 0..callers {
            simulation.schedule_arrival(caller);
        }
        simulation.schedule(TICK, SimulationEvent::Tick);
        simulation
    }

    /// Runs to the end of the last phase and then drains the work in progress.
    pub fn run(mut self) -> SimulationFigures {
        let end = self
            .plan
            .phases
            .last()
            .map_or(Duration::ZERO, |phase| phase.until);
        let drained = end + self.plan.deadline * 2;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > drained {
                break;
            }
            self.now = at;
            match event {
                SimulationEvent::Arrive { caller } if at < end => self.on_arrival(caller),
                SimulationEvent::Arrive { .. } => {}
                SimulationEvent::End { server, work } => self.on_end(server, work),
                SimulationEvent::Timeout { work } => self.on_timeout(work),
                SimulationEvent::Tick => self.on_tick(),
            }
        }
        self.figures
    }

    fn schedule(&mut self, wait: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + wait, self.sequence, event)));
    }

    fn phase(&self) -> LoadPhase {
        let mut phases = self.plan.phases.iter();
        let phase = phases.find(|phase| self.now < phase.until).copied();
        phase.unwrap_or(LoadPhase {
            until: Duration::MAX,
            load_factor: 1.0,
            service_factor: 1.0,
        })
    }

    fn schedule_arrival(&mut self, caller: usize) {
        let rate = self.plan.callers[caller].rate * self.phase().load_factor;
        let wait = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rngs[caller]));
        self.schedule(
            Duration::from_secs_f64(wait),
            SimulationEvent::Arrive { caller },
        );
    }

    fn second_at(&mut self, at: Duration) -> &mut SecondCount {
        let second = usize::try_from(at.as_secs()).unwrap_or(0);
        if self.figures.seconds.len() <= second {
            self.figures
                .seconds
                .resize(second + 1, SecondCount::default());
        }
        &mut self.figures.seconds[second]
    }

    fn on_arrival(&mut self, caller: usize) {
        self.schedule_arrival(caller);
        let now = self.now;
        self.second_at(now).offered += 1;
        if let Some(budget) = self.budget.as_mut() {
            budget.deposit(now);
        }
        let service = self.service.sample(&mut self.rngs[caller]);
        self.send(caller, now, self.plan.tries, service);
    }

    fn send(&mut self, caller: usize, arrived_at: Duration, tries: u32, service: f64) {
        let now = self.now;
        self.second_at(now).attempts += 1;
        self.work += 1;
        let work = self.work;
        let server = self.rngs[caller].random_range(0..self.gates.len());
        let attempt = OpenAttempt {
            caller,
            arrived_at,
            tries_left: tries - 1,
            server,
            service,
        };
        let deadline = (arrived_at + self.plan.deadline).min(now + self.plan.attempt);
        let class = WorkClass::new(self.names[caller].clone(), 0, deadline);
        match self.gates[server].offer(now, WorkId(work), class) {
            Some(runs) => {
                self.open.insert(work, attempt);
                self.schedule(
                    deadline.saturating_sub(now),
                    SimulationEvent::Timeout { work },
                );
                if runs {
                    self.start(server, work);
                }
            }
            None => self.retry(attempt),
        }
    }

    fn start(&mut self, server: usize, work: u64) {
        // Work whose caller timed out while it was queued still runs, for the mean service time.
        let open = self.open.get(&work);
        let service = open.map_or(MEAN_SERVICE, |attempt| attempt.service);
        let length = Duration::from_secs_f64(service * self.phase().service_factor);
        self.schedule(length, SimulationEvent::End { server, work });
    }

    fn retry(&mut self, attempt: OpenAttempt) {
        let now = self.now;
        let late = now >= attempt.arrived_at + self.plan.deadline;
        let allowed = attempt.tries_left > 0
            && !late
            && self
                .budget
                .as_mut()
                .is_none_or(|budget| budget.withdraw(now));
        if allowed {
            self.send(
                attempt.caller,
                attempt.arrived_at,
                attempt.tries_left,
                attempt.service,
            );
        } else {
            self.figures.failed[attempt.caller] += 1;
        }
    }

    fn on_end(&mut self, server: usize, work: u64) {
        if let Some(attempt) = self.open.remove(&work) {
            let latency = self.now.saturating_sub(attempt.arrived_at);
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.figures.latencies[attempt.caller].push(micros);
            self.second_at(attempt.arrived_at).served += 1;
            let now = self.now;
            self.second_at(now).completed += 1;
        }
        let mut out = Vec::new();
        self.gates[server].finished(self.now, WorkId(work), &mut out);
        self.execute_commands(server, out);
    }

    fn on_timeout(&mut self, work: u64) {
        if let Some(attempt) = self.open.remove(&work) {
            self.gates[attempt.server].cancel(self.now, WorkId(work));
            self.retry(attempt);
        }
    }

    fn on_tick(&mut self) {
        for server in 0..self.gates.len() {
            let mut out = Vec::new();
            self.gates[server].tick(self.now, &mut out);
            self.execute_commands(server, out);
        }
        self.schedule(TICK, SimulationEvent::Tick);
    }

    fn execute_commands(&mut self, server: usize, out: Vec<GateCommand>) {
        for command in out {
            match command {
                GateCommand::Start { work } => self.start(server, work.0),
                GateCommand::Refuse { work, .. } => {
                    if let Some(attempt) = self.open.remove(&work.0) {
                        self.retry(attempt);
                    }
                }
            }
        }
    }
}

/// Returns the given percentile of the latencies, in milliseconds.
pub fn quantile(latencies: &mut [u64], percent: usize) -> f64 {
    latencies.sort_unstable();
    let last = latencies.len().saturating_sub(1);
    let place = last * percent / 100;
    let micros = latencies.get(place).copied().unwrap_or(0);
    Duration::from_micros(micros).as_secs_f64() * 1000.0
}
