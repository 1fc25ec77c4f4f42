//! Simulation of one backend server behind a gate, under a load that changes over time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::CustomerName;
use sycamorelink_limits::{AdmissionGate, GateCommand, GateDecision, WorkClass, WorkId};

use super::SLOTS;

/// Mean of the run times, which lie between 700 ms and 1,100 ms.
pub const MEAN_RUN_TIME: Duration = Duration::from_millis(900);
const MIN_RUN_TIME_MS: u64 = 700;
const MAX_RUN_TIME_MS: u64 = 1_100;
/// Interval at which the engine ticks its gates.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Latency objectives and deadlines of the two routes, in milliseconds.
const ROUTES: [(u64, u64); 2] = [(4_000, 8_000), (8_000, 12_000)];

/// Part of a load with a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    length: Duration,
    /// Mean rate of the offers as a fraction of the capacity.
    rate: f64,
}

impl LoadPhase {
    /// Creates a phase.
    pub const fn new(length: Duration, rate: f64) -> Self {
        Self { length, rate }
    }
}

/// Results of a simulation, as numbers of requests unless stated otherwise.
#[derive(Debug, Default)]
pub struct SimulationResult {
    pub offered: u32,
    pub served_in_time: u32,
    pub served_late: u32,
    pub served_after_deadline: u32,
    pub refused_at_once: u32,
    pub refused_after_waiting: u32,
    pub accepted_in_time_but_served_late: u32,
    pub accepted_in_time_but_refused: u32,
    pub started_after_latest_start: u32,
    /// Requests without an end a minute after the last offer.
    pub left: u32,
    /// First time after the last phase above the capacity at which no request waited.
    pub emptied_at: Option<Duration>,
    /// Last offer of a request that was accepted as in time and not served in time.
    pub last_in_time_late: Duration,
}

impl SimulationResult {
    /// Returns the number of requests that were served.
    pub fn served(&self) -> u32 {
        self.served_in_time + self.served_late + self.served_after_deadline
    }
}

#[derive(Debug)]
struct OpenRequest {
    offered: Duration,
    objective: Duration,
    deadline: Duration,
    accepted_in_time: bool,
}

/// A gate, its backend server and the requests in flight.
#[derive(Debug)]
pub struct GateSimulation {
    gate: Box<dyn AdmissionGate>,
    random: SmallRng,
    now: Duration,
    next_work: u64,
    open: BTreeMap<WorkId, OpenRequest>,
    ends: BTreeSet<(Duration, WorkId)>,
    result: SimulationResult,
}

impl GateSimulation {
    /// Creates a simulation with a seed for arrivals and run times.
    pub fn new(gate: Box<dyn AdmissionGate>, seed: u64) -> Self {
        Self {
            gate,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            next_work: 0,
            open: BTreeMap::new(),
            ends: BTreeSet::new(),
            result: SimulationResult::default(),
        }
    }

    /// Offers the load, and waits for a minute after it.
    pub fn run(mut self, phases: &[LoadPhase]) -> SimulationResult {
        let capacity = f64::from(SLOTS) / MEAN_RUN_TIME.as_secs_f64();
        let mut next_tick = TICK_INTERVAL;
        let mut phase_end = Duration::ZERO;
        let mut overload_end = Duration::ZERO;
        let mut arrivals = Vec::new();
        for phase in phases {
            let mut at = phase_end;
            phase_end += phase.length;
            if phase.rate > 1.0 {
                overload_end = phase_end;
            }
            loop {
                let draw: f64 = self.random.random_range(0.0..1.0);
                let gap = -(1.0 - draw).ln() / (capacity * phase.rate);
                at += Duration::from_secs_f64(gap);
                if at >= phase_end {
                    break;
                }
                arrivals.push(at);
            }
        }
        let mut arrivals = arrivals.into_iter().peekable();
        let until = phase_end + Duration::from_mins(1);
        while self.now < until {
            let end = self.ends.first().map(|(at, _)| *at);
            let next = [Some(next_tick), end, arrivals.peek().copied()];
            self.now = next.into_iter().flatten().min().unwrap_or(until);
            if end == Some(self.now) {
                self.end_run();
            } else if arrivals.peek() == Some(&self.now) {
                arrivals.next();
                self.offer();
            } else {
                next_tick += TICK_INTERVAL;
                let mut out = Vec::new();
                self.gate.tick(self.now, &mut out);
                self.execute(out);
                if self.now > overload_end && self.gate.load(self.now).queued == 0 {
                    self.result.emptied_at.get_or_insert(self.now);
                }
            }
        }
        self.result.left = u32::try_from(self.open.len()).unwrap_or(u32::MAX);
        self.result
    }

    fn offer(&mut self) {
        let work = WorkId(self.next_work);
        self.next_work += 1;
        let (objective, deadline) = ROUTES[self.random.random_range(0..ROUTES.len())];
        let objective = self.now + Duration::from_millis(objective);
        let deadline = self.now + Duration::from_millis(deadline);
        let class = WorkClass {
            objective: Some(objective),
            ..WorkClass::new(CustomerName::new("fleet"), 5, deadline)
        };
        let mut out = Vec::new();
        let decision = self.gate.offer(self.now, work, class, &mut out);
        self.result.offered += 1;
        let place = self.gate.offered_place();
        let request = OpenRequest {
            offered: self.now,
            objective,
            deadline,
            accepted_in_time: place.is_none_or(|place| place.in_time),
        };
        match decision {
            GateDecision::Run => {
                self.open.insert(work, request);
                self.start_run(work);
            }
            GateDecision::Queued => {
                self.open.insert(work, request);
            }
            GateDecision::Refused { .. } => self.result.refused_at_once += 1,
        }
        self.execute(out);
    }

    fn start_run(&mut self, work: WorkId) {
        let time = self.random.random_range(MIN_RUN_TIME_MS..=MAX_RUN_TIME_MS);
        let end = self.now + Duration::from_millis(time);
        self.ends.insert((end, work));
    }

    fn end_run(&mut self) {
        let Some((_, work)) = self.ends.pop_first() else {
            return;
        };
        if let Some(request) = self.open.remove(&work) {
            let result = &mut self.result;
            if self.now <= request.objective {
                result.served_in_time += 1;
            } else if self.now <= request.deadline {
                result.served_late += 1;
            } else {
                result.served_after_deadline += 1;
            }
            if request.accepted_in_time && self.now > request.objective {
                result.accepted_in_time_but_served_late += 1;
                result.last_in_time_late = result.last_in_time_late.max(request.offered);
            }
        }
        let mut out = Vec::new();
        self.gate.finished(self.now, work, &mut out);
        self.execute(out);
    }

    fn execute(&mut self, commands: Vec<GateCommand>) {
        for command in commands {
            match command {
                GateCommand::Start { work } => {
                    let request = self.open.get(&work).expect("started work was accepted");
                    if self.now + MEAN_RUN_TIME > request.deadline {
                        self.result.started_after_latest_start += 1;
                    }
                    self.start_run(work);
                }
                GateCommand::Refuse { work, .. } => {
                    let request = self.open.remove(&work).expect("refused work was accepted");
                    if request.accepted_in_time {
                        self.result.accepted_in_time_but_refused += 1;
                        let last = &mut self.result.last_in_time_late;
                        *last = (*last).max(request.offered);
                    }
                    self.result.refused_after_waiting += 1;
                }
            }
        }
    }
}
