//! Tests for the deadline gate with a learned concurrency limit, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::CustomerName;
use sycamorelink_limits::{
    AdmissionGate, DeadlineGate, GateCommand, GateDecision, LimitCause, LimitChange, WorkClass,
    WorkId,
};

const SLOTS: u32 = 15;
const SEEDS: std::ops::Range<u64> = 1..4;
/// Resolution of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Interval at which the engine ticks its gates, in steps.
const TICK_STEPS: u64 = 20;
/// Mean run times of the two kinds of work without growth, in seconds.
const KIND_SECONDS: [f64; 2] = [0.7, 1.1];
/// Objective and deadline of all work.
const OBJECTIVE: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(8);
/// Requests per second of a standing overload: half again the capacity without growth.
const OVERLOAD: f64 = 25.0;
/// Time after which the limit has been learned.
const LEARNING_TIME: Duration = Duration::from_mins(5);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Factor by which run times grow with the number of concurrent runs.
type Growth = fn(f64) -> f64;

fn no_growth(_runs: f64) -> f64 {
    1.0
}

/// Doubles the run times between 10 and 15 concurrent runs.
fn steep_growth(runs: f64) -> f64 {
    1.0 + (runs - 10.0).max(0.0) * 0.2
}

/// A request that runs or waits.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    kind: u64,
    objective: Duration,
    /// Whether it was accepted as one that meets its objective.
    in_time: bool,
    /// Run time left without growth, in seconds; `None` while it waits.
    left: Option<f64>,
    fails: bool,
}

/// Simulated backend server behind a gate.
struct GatedServer {
    now: Duration,
    gate: DeadlineGate,
    growth: Growth,
    /// Factor on all run times.
    slowness: f64,
    /// Requests per second.
    demand: f64,
    /// Share of the runs that end after 20 ms without a reply.
    fast_failures: f64,
    /// Whether the breaker considers the server healthy.
    is_healthy: bool,
    rng: SmallRng,
    open: BTreeMap<WorkId, OpenRequest>,
    next_work: u64,
    served: u32,
    /// Requests that were accepted as in time and served late.
    missed: u32,
    changes: Vec<LimitChange>,
}

fn gate_at(now: Duration, limited: bool) -> DeadlineGate {
    DeadlineGate::builder(now)
        .slots(SLOTS)
        .first_service_time(secs(1))
        .warm_up(Duration::ZERO)
        .limit_concurrency(limited)
        .build()
}

impl GatedServer {
    fn new(seed: u64, growth: Growth, limited: bool) -> Self {
        Self {
            now: Duration::ZERO,
            gate: gate_at(Duration::ZERO, limited),
            growth,
            slowness: 1.0,
            demand: OVERLOAD,
            fast_failures: 0.0,
            is_healthy: true,
            rng: SmallRng::seed_from_u64(seed),
            open: BTreeMap::new(),
            next_work: 0,
            served: 0,
            missed: 0,
            changes: Vec::new(),
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn limit(&self) -> u32 {
        self.gate.load(self.now).slots
    }

    /// Returns the mean limit over the given time.
    fn mean_limit(&mut self, seconds: u32) -> f64 {
        let mut sum = 0.0;
        for _ in 0..seconds {
            self.run_for(secs(1));
            sum += f64::from(self.limit());
        }
        sum / f64::from(seconds)
    }

    fn step(&mut self) {
        self.now += STEP;
        let step = STEP.as_secs_f64();
        let running = self.open.values().filter(|open| open.left.is_some());
        let concurrent = f64::from(u32::try_from(running.count()).unwrap());
        let progress = step / ((self.growth)(concurrent) * self.slowness);
        let mut ended = Vec::new();
        for (work, open) in &mut self.open {
            if let Some(left) = &mut open.left {
                *left -= progress;
                if *left <= 0.0 {
                    ended.push(*work);
                }
            }
        }
        let mut out = Vec::new();
        for work in ended {
            self.end_run(work, &mut out);
        }
        if self
            .now
            .as_millis()
            .is_multiple_of(u128::from(TICK_STEPS) * STEP.as_millis())
        {
            self.gate.tick(self.now, &mut out);
            self.changes.extend(self.gate.take_limit_change());
        }
        self.execute(out);
        if self.rng.random::<f64>() < self.demand * step {
            self.offer();
        }
    }

    fn end_run(&mut self, work: WorkId, out: &mut Vec<GateCommand>) {
        let request = self.open.remove(&work).expect("a run");
        if request.fails {
            self.gate.released(self.now, work, out);
            return;
        }
        if !self.is_healthy {
            self.gate.exclude_run(self.now, work);
        }
        self.gate.finished(self.now, work, out);
        self.served += 1;
        self.missed += u32::from(request.in_time && self.now > request.objective);
    }

    fn offer(&mut self) {
        let work = WorkId(self.next_work);
        self.next_work += 1;
        let kind = self.rng.random_range(0..KIND_SECONDS.len()) as u64;
        let objective = self.now + OBJECTIVE;
        let class = WorkClass {
            kind,
            objective: Some(objective),
            ..WorkClass::new(CustomerName::new("fleet"), 5, self.now + DEADLINE)
        };
        let mut out = Vec::new();
        let decision = self.gate.offer(self.now, work, class, &mut out);
        let place = self.gate.offered_place();
        let request = OpenRequest {
            kind,
            objective,
            in_time: place.is_none_or(|place| place.in_time),
            left: None,
            fails: self.rng.random::<f64>() < self.fast_failures,
        };
        if !matches!(decision, GateDecision::Refused { .. }) {
            self.open.insert(work, request);
        }
        if decision == GateDecision::Run {
            self.start(work);
        }
        self.execute(out);
    }

    fn start(&mut self, work: WorkId) {
        let request = self.open.get_mut(&work).expect("accepted work");
        let kind = usize::try_from(request.kind).expect("a small number");
        // A triangular spread of about a quarter of the mean.
        let spread = self.rng.random_range(0.5..1.0) + self.rng.random_range(0.0..0.5);
        let seconds = if request.fails {
            0.02
        } else {
            KIND_SECONDS[kind] * spread
        };
        request.left = Some(seconds);
    }

    fn execute(&mut self, commands: Vec<GateCommand>) {
        for command in commands {
            match command {
                GateCommand::Start { work } => self.start(work),
                GateCommand::Refuse { work, .. } => {
                    self.open.remove(&work).expect("accepted work");
                }
            }
        }
    }
}

// Guards against a server that serves less the more it is given: in a standing overload all slots
// would be in use, and above 10 concurrent runs each further run slows all others.
#[test]
fn standing_overload_is_served_better_with_the_limit() {
    for seed in SEEDS {
        let served = [true, false].map(|limited| {
            let mut server = GatedServer::new(seed, steep_growth, limited);
            server.run_for(LEARNING_TIME);
            server.served = 0;
            let limit = server.mean_limit(300);
            println!("seed {seed}: limit {limit:.1}, served {}", server.served);
            (server.served, limit)
        });
        let [(limited, limit), (unlimited, slots)] = served;
        assert!(slots > 14.9, "seed {seed}: {slots} slots without a limit");
        assert!((9.0..=12.0).contains(&limit), "seed {seed}: limit {limit}");
        let gain = f64::from(limited) / f64::from(unlimited);
        assert!(gain > 1.1, "seed {seed}: serves {gain:.3} of the unlimited");
    }
}

// Guards against probes that cost a server without growth much of its capacity (1.0% to 1.2% over the first ten
// minutes of an overload, less later), or
// that make work late which was accepted as in time.
#[test]
fn standing_overload_without_growth_keeps_nearly_all_slots() {
    for seed in SEEDS {
        let ends = [true, false].map(|limited| {
            let mut server = GatedServer::new(seed, no_growth, limited);
            let limit = server.mean_limit(600);
            assert!(
                server
                    .changes
                    .iter()
                    .all(|change| change.cause != LimitCause::Decrease)
            );
            (limit, server.served, server.missed)
        });
        println!("seed {seed}: mean limit, served, missed {ends:?}");
        let [(limit, limited, missed), (_, unlimited, missed_without)] = ends;
        assert!(limit > f64::from(SLOTS) * 0.985, "seed {seed}: {limit}");
        assert!(limited * 1000 > unlimited * 985, "seed {seed}: {limited}");
        assert!(
            missed <= missed_without + limited / 100,
            "seed {seed}: {missed} late"
        );
    }
}

// Guards against probes without need: a server whose queue is empty most of the time shows how its
// run times grow by the changes of its load.
#[test]
fn server_without_a_queue_is_not_probed() {
    let mut server = GatedServer::new(1, no_growth, true);
    server.demand = 10.0;
    server.run_for(secs(400));
    assert_eq!(server.changes, []);
}

// Guards against the log line of a change that does not name what the change was decided from.
#[test]
fn changes_name_their_inputs() {
    let mut server = GatedServer::new(2, steep_growth, true);
    server.run_for(LEARNING_TIME);
    let causes = causes_of(&server);
    for cause in [LimitCause::Probe, LimitCause::Decrease, LimitCause::Trial] {
        assert!(causes.contains(&cause), "{cause:?} in {causes:?}");
    }
    let is_decrease = |change: &&LimitChange| change.cause == LimitCause::Decrease;
    let decrease = server.changes.iter().find(is_decrease).expect("a decrease");
    assert!(decrease.to < decrease.from);
    assert!(decrease.gain > 1.05, "{decrease:?}");
    assert!(decrease.gain_error > 0.0);
    assert!(decrease.concurrency > 9.0 && decrease.concurrency < 15.1);
    assert!(decrease.mean_run > secs(1), "{decrease:?}");
    assert!(decrease.samples > 20, "{decrease:?}");
    let mut limit = SLOTS;
    for change in &server.changes {
        let is_decrease = change.cause == LimitCause::Decrease;
        assert!(is_decrease || change.from == limit, "{change:?}");
        limit = change.to;
    }
}

// Guards against a gray failure that is taken for a server which is faster with few runs: most of
// its runs end at once without a reply.
#[test]
fn gray_failure_does_not_lower_the_limit() {
    for seed in SEEDS {
        let mut server = GatedServer::new(seed, no_growth, true);
        for _ in 0..14 {
            server.fast_failures = 0.85;
            server.run_for(secs(1));
            server.is_healthy = false;
            server.run_for(secs(8));
            server.fast_failures = 0.0;
            server.is_healthy = true;
            server.run_for(secs(21));
        }
        assert!(
            !causes_of(&server).contains(&LimitCause::Decrease),
            "seed {seed}"
        );
        let load = server.gate.load(server.now);
        let mean_run = load.mean_run.as_secs_f64();
        assert!(
            (0.7..1.15).contains(&mean_run),
            "failures count: {mean_run}"
        );
    }
}

// Guards against a limit learned during warm-up, when the open slots and the run times change
// together: all runs take three times as long for eight seconds.
#[test]
fn warm_up_does_not_lower_the_limit() {
    for seed in SEEDS {
        let mut server = GatedServer::new(seed, no_growth, true);
        server.gate = DeadlineGate::builder(Duration::ZERO)
            .slots(SLOTS)
            .warm_up(secs(8))
            .limit_concurrency(true)
            .build();
        server.slowness = 3.0;
        server.run_for(secs(4));
        assert!(server.limit() < SLOTS, "the warm-up opens slots one by one");
        server.run_for(secs(4));
        server.slowness = 1.0;
        server.run_for(secs(180));
        assert!(
            !causes_of(&server).contains(&LimitCause::Decrease),
            "seed {seed}"
        );
    }
}

// Guards against a server that is slow at all concurrencies and loses slots, which makes it slower.
#[test]
fn slowness_at_all_concurrencies_does_not_lower_the_limit() {
    for seed in SEEDS {
        let mut server = GatedServer::new(seed, no_growth, true);
        server.run_for(secs(60));
        server.slowness = 2.0;
        server.run_for(secs(240));
        assert!(
            !causes_of(&server).contains(&LimitCause::Decrease),
            "seed {seed}"
        );
    }
}

// Guards against a contract that replaces the gate and loses what was learned, and against run times
// of runs whose concurrency the new gate did not see.
#[test]
fn replaced_gate_keeps_what_was_learned() {
    let mut server = GatedServer::new(3, steep_growth, true);
    server.run_for(LEARNING_TIME);
    let (limit, mean_run) = (server.limit(), server.gate.load(server.now).mean_run);
    assert!(limit < 13, "limit {limit}");
    let learned = server.gate.take_learned().expect("a limit is learned");
    assert!(server.gate.take_learned().is_none());
    let mut plain = gate_at(server.now, false);
    plain.put_learned(server.now, learned);
    assert_eq!(plain.load(server.now).slots, SLOTS);
    assert!(plain.take_learned().is_none());
    let mut server = GatedServer::new(3, steep_growth, true);
    server.run_for(LEARNING_TIME);
    let running = server.gate.running_work();
    let learned = server.gate.take_learned().expect("a limit is learned");
    server.gate = gate_at(server.now, true);
    server.gate.put_learned(server.now, learned);
    for work in &running {
        let class = WorkClass::new(CustomerName::new("fleet"), 5, server.now + DEADLINE);
        server.gate.adopt_running(*work, class, server.now);
    }
    server.open.retain(|work, _| running.contains(work));
    assert!(server.limit().abs_diff(limit) <= 1, "{}", server.limit());
    assert_eq!(server.gate.load(server.now).mean_run, mean_run);
    let kept = server.mean_limit(60);
    assert!((9.0..=12.0).contains(&kept), "limit {kept}");
}

// Guards against a limit that changes a gate for which it is switched off.
#[test]
fn gate_without_the_limit_learns_none() {
    let mut server = GatedServer::new(1, steep_growth, false);
    server.run_for(secs(120));
    assert_eq!(server.changes, []);
    assert_eq!(server.limit(), SLOTS);
}

fn causes_of(server: &GatedServer) -> Vec<LimitCause> {
    server.changes.iter().map(|change| change.cause).collect()
}
