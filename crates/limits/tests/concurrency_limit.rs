//! Tests for the learned concurrency limit of a backend server, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_limits::{ConcurrencyLimit, RunEnd, WorkId};

const SLOTS: u32 = 15;
const SEEDS: std::ops::Range<u64> = 1..9;
/// Resolution of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Mean run times of the two kinds of work without growth and tail, in seconds.
const KIND_SECONDS: [f64; 2] = [0.7, 1.1];
/// Standard deviation of the logarithm of run times, for a spread of half of the mean.
const LOG_SPREAD: f64 = 0.472;
/// Share and factor of the runs in the tail.
const TAIL: (f64, f64) = (0.03, 7.0);
/// Period and amplitude of the demand.
const DEMAND_SECONDS: f64 = 13.0;
const DEMAND_SWING: f64 = 0.55;
/// Level of the demand in the last 20 seconds of each minute.
const QUIET_LEVEL: f64 = 0.5;
/// Longest time that a request waits for a slot.
const MAX_WAIT: Duration = Duration::from_secs(3);

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

/// Simulated backend server with a queue in front of it.
struct SlowServer {
    now: Duration,
    limit: ConcurrencyLimit,
    /// Whether the server is limited; the learned limit is computed in any case.
    uses_limit: bool,
    growth: Growth,
    /// Factor on all run times.
    slowness: f64,
    /// Mean demand in requests per second outside of quiet times.
    demand: f64,
    /// Share of the runs that end after 20 ms with an error.
    fast_errors: f64,
    /// Whether fast errors are reported as regular replies.
    hides_errors: bool,
    rng: SmallRng,
    queue: VecDeque<Duration>,
    /// Kind, seconds of work left and whether the run ends with an error.
    runs: BTreeMap<WorkId, (u64, f64, bool)>,
    next_work: u64,
    served: u32,
    least_limit: u32,
}

impl SlowServer {
    fn new(seed: u64, growth: Growth) -> Self {
        Self {
            now: Duration::ZERO,
            limit: ConcurrencyLimit::new(Duration::ZERO, SLOTS),
            uses_limit: true,
            growth,
            slowness: 1.0,
            demand: 9.0,
            fast_errors: 0.0,
            hides_errors: false,
            rng: SmallRng::seed_from_u64(seed),
            queue: VecDeque::new(),
            runs: BTreeMap::new(),
            next_work: 0,
            served: 0,
            least_limit: SLOTS,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the mean limit over the given time.
    fn mean_limit(&mut self, seconds: u32) -> f64 {
        let mut sum = 0.0;
        for _ in 0..seconds {
            self.run_for(secs(1));
            sum += f64::from(self.limit.limit());
        }
        sum / f64::from(seconds)
    }

    fn step(&mut self) {
        self.now += STEP;
        let step = STEP.as_secs_f64();
        let concurrent = f64::from(u32::try_from(self.runs.len()).unwrap());
        let progress = step / ((self.growth)(concurrent) * self.slowness);
        let mut ended = Vec::new();
        for (work, (_, left, failed)) in &mut self.runs {
            *left -= progress;
            if *left <= 0.0 {
                ended.push((*work, *failed));
            }
        }
        for (work, failed) in ended {
            self.runs.remove(&work);
            let end = if failed && !self.hides_errors {
                RunEnd::Excluded
            } else {
                RunEnd::Served
            };
            self.limit.ended(self.now, work, end);
            self.served += u32::from(!failed);
        }
        self.limit.tick(self.now);
        self.least_limit = self.least_limit.min(self.limit.limit());
        let swing = (self.now.as_secs_f64() / DEMAND_SECONDS * TAU).sin() * DEMAND_SWING;
        let is_quiet = self.now.as_secs() % 60 >= 40;
        let level = if is_quiet { QUIET_LEVEL } else { 1.0 };
        if self.rng.random::<f64>() < self.demand * level * (1.0 + swing) * step {
            self.queue.push_back(self.now);
        }
        while self
            .queue
            .front()
            .is_some_and(|at| *at + MAX_WAIT < self.now)
        {
            self.queue.pop_front();
        }
        let slots = if self.uses_limit {
            self.limit.limit()
        } else {
            SLOTS
        };
        while self.runs.len() < slots as usize && self.queue.pop_front().is_some() {
            self.start();
        }
    }

    fn start(&mut self) {
        let kind = self.rng.random_range(0..KIND_SECONDS.len());
        let normal = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt()
            * (TAU * self.rng.random::<f64>()).cos();
        let spread = (normal * LOG_SPREAD - LOG_SPREAD * LOG_SPREAD / 2.0).exp();
        let tail = if self.rng.random::<f64>() < TAIL.0 {
            TAIL.1
        } else {
            1.0
        };
        let failed = self.rng.random::<f64>() < self.fast_errors;
        let seconds = if failed {
            0.02
        } else {
            KIND_SECONDS[kind] * spread * tail
        };
        let work = WorkId(self.next_work);
        self.next_work += 1;
        self.runs.insert(work, (kind as u64, seconds, failed));
        self.limit.started(self.now, work, kind as u64);
    }
}

/// Limits of servers with steep growth, and what they serve, over all seeds.
struct LimitedRuns {
    limits: Vec<f64>,
    gains: Vec<f64>,
}

impl LimitedRuns {
    /// Runs a server with the learned limit and one without for ten minutes, and measures the last
    /// five of them.
    fn of(mut prepare: impl FnMut(&mut SlowServer)) -> Self {
        let (mut limits, mut gains) = (Vec::new(), Vec::new());
        for seed in SEEDS {
            let mut limited = SlowServer::new(seed, steep_growth);
            let mut unlimited = SlowServer::new(seed, steep_growth);
            unlimited.uses_limit = false;
            for server in [&mut limited, &mut unlimited] {
                prepare(server);
                server.run_for(secs(300));
                server.served = 0;
            }
            limits.push(limited.mean_limit(300));
            unlimited.run_for(secs(300));
            gains.push(f64::from(limited.served) / f64::from(unlimited.served));
        }
        Self { limits, gains }
    }

    /// Asserts that every server is limited and serves more, and that the mean limit is near 10.
    fn assert_limited(&self, min_mean_gain: f64) {
        let Self { limits, gains } = self;
        println!("limits {limits:.1?}, served {gains:.3?} of the unlimited");
        assert!(limits.iter().all(|limit| (9.0..=13.0).contains(limit)));
        assert!(gains.iter().all(|gain| *gain > 1.03));
        let mean_limit = mean(limits);
        assert!((9.5..=11.0).contains(&mean_limit), "limit {mean_limit}");
        let mean_gain = mean(gains);
        assert!(mean_gain > min_mean_gain, "serves {mean_gain}");
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap())
}

// Guards against a server that serves less the more it is given: above 10 concurrent runs each
// further run slows all others.
#[test]
fn server_with_steep_growth_is_limited_and_serves_more() {
    LimitedRuns::of(|_| {}).assert_limited(1.08);
}

// Guards against a server that is always full and therefore shows no growth: its demand is half
// again what it can serve, so only probes vary its concurrency.
#[test]
fn probes_find_the_growth_of_a_server_that_is_always_full() {
    let runs = LimitedRuns::of(|server| {
        server.limit = ConcurrencyLimit::new(Duration::ZERO, SLOTS).with_probes(Duration::ZERO);
        server.demand = 15.0;
    });
    runs.assert_limited(1.15);
}

// Guards against probes that cost a server without growth more than a hundredth of its capacity.
#[test]
fn probes_cost_a_server_without_growth_little() {
    for seed in SEEDS {
        let mut server = SlowServer::new(seed, no_growth);
        server.limit = ConcurrencyLimit::new(Duration::ZERO, SLOTS).with_probes(Duration::ZERO);
        server.demand = 25.0;
        server.run_for(secs(120));
        let mean = server.mean_limit(1800);
        println!("seed {seed}: mean limit {mean:.2}");
        assert!(mean > f64::from(SLOTS) * 0.99, "seed {seed}: limit {mean}");
    }
}

// Guards against giving up capacity: the server's run times do not grow, and half of its slots would
// serve half as much.
#[test]
fn server_without_growth_keeps_all_slots() {
    for seed in SEEDS {
        for demand in [8.0, 14.0, 25.0] {
            let mut server = SlowServer::new(seed, no_growth);
            server.demand = demand;
            server.run_for(secs(1200));
            assert_eq!(server.least_limit, SLOTS, "seed {seed}, demand {demand}");
        }
    }
}

// Guards against taking a server that becomes slow as a whole, with more concurrent runs as a
// consequence, for one whose run times grow with concurrency.
#[test]
fn server_that_becomes_slow_at_all_concurrencies_keeps_its_limit() {
    for seed in SEEDS {
        for demand in [7.0, 12.0] {
            let mut server = SlowServer::new(seed, no_growth);
            server.demand = demand;
            server.run_for(secs(120 + seed * 3));
            server.slowness = 2.0;
            server.run_for(secs(300));
            assert_eq!(server.least_limit, SLOTS, "seed {seed}, demand {demand}");
        }
    }
}

// Guards against a limit learned while a server warms up: for eight seconds all of its runs take
// three times as long.
#[test]
fn warm_up_does_not_lower_the_limit() {
    for seed in SEEDS {
        let mut server = SlowServer::new(seed, no_growth);
        server.slowness = 3.0;
        server.run_for(secs(8));
        server.slowness = 1.0;
        server.run_for(secs(180));
        assert_eq!(server.least_limit, SLOTS, "seed {seed}");
    }
}

// Guards against a limit that outlives its cause. A server whose run times no longer grow has all of
// its slots within five minutes.
#[test]
fn recovered_server_gets_its_slots_back_within_five_minutes() {
    let mut recoveries = Vec::new();
    for seed in SEEDS {
        let mut server = SlowServer::new(seed, steep_growth);
        server.run_for(secs(400));
        assert!(server.limit.limit() <= 13, "seed {seed}: was not limited");
        server.growth = no_growth;
        let recovered = (0..300).find(|_| {
            server.run_for(secs(1));
            server.limit.limit() == SLOTS
        });
        recoveries.push((recovered, server.mean_limit(300)));
    }
    println!("seconds until all slots, and the mean limit after that: {recoveries:.1?}");
    assert!(recoveries.iter().all(|(after, _)| after.is_some()));
    assert!(recoveries.iter().all(|(_, limit)| *limit > 14.5));
}

// Guards against a gray failure that looks like a server which is faster with few runs: its errors
// are fast, so few runs overlap. This holds even before the breaker has found the failure.
#[test]
fn gray_failure_with_fast_errors_does_not_lower_the_limit() {
    for seed in SEEDS {
        for hides_errors in [false, true] {
            let mut server = SlowServer::new(seed, no_growth);
            server.hides_errors = hides_errors;
            for _ in 0..20 {
                server.fast_errors = 0.85;
                server.run_for(secs(9));
                server.fast_errors = 0.0;
                server.run_for(secs(21));
            }
            assert_eq!(server.least_limit, SLOTS, "seed {seed}, {hides_errors}");
        }
    }
}

// Guards against a decision on chance: with a run every four seconds there is no evidence.
#[test]
fn few_runs_change_nothing() {
    let mut server = SlowServer::new(1, steep_growth);
    server.demand = 0.25;
    server.run_for(secs(600));
    assert_eq!(server.least_limit, SLOTS);
}

// Guards against a former incarnation's limit on a new one.
#[test]
fn new_incarnation_starts_with_all_slots() {
    let mut server = SlowServer::new(2, steep_growth);
    server.run_for(secs(240));
    assert!(server.limit.limit() < SLOTS);
    server.limit.restart(server.now, SLOTS);
    assert_eq!(server.limit.limit(), SLOTS);
    assert_eq!(server.limit.running(), 0);
    server.limit.ended(server.now, WorkId(0), RunEnd::Served);
    assert_eq!(server.limit.limit(), SLOTS);
}
