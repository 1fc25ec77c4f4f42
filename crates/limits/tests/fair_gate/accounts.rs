//! Simulation of one backend server behind a gate that 74 client accounts of uneven size share.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::CustomerName;
use sycamorelink_limits::{
    AdmissionGate, DeadlineGate, GateCommand, GateDecision, WorkClass, WorkId,
};

use super::SLOTS;

/// Mean run time; the standard deviation is a quarter of it.
const MEAN_RUN_TIME: Duration = Duration::from_millis(900);
const OBJECTIVE: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(5);
/// Client accounts, and the exponent of their sizes.
const ACCOUNTS: u32 = 74;
const SKEW: f64 = 1.2;
/// The account that sends five times its rate.
const GREEDY: u32 = 20;
/// Fraction of the demand that can be served.
const CAPACITY: f64 = 0.7;

/// Fraction of the rate that each account gets if the capacity is divided equally among those that
/// need it.
#[derive(Clone, Copy, Debug)]
pub struct FairShare(f64);

impl FairShare {
    /// Accounts below this fraction stay below their share despite the variation of arrivals.
    pub const NINE_TENTHS: Self = Self(0.9);
    /// Accounts far below their share.
    pub const HALF: Self = Self(0.5);
}

/// Results of one or more accounts, as numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountResult {
    pub offered: u32,
    pub refused_at_once: u32,
    pub refused_after_waiting: u32,
    pub served_in_time: u32,
    pub served_late: u32,
    /// Requests that were accepted as in time.
    pub accepted_in_time: u32,
    /// Requests that were accepted as in time and not served in time.
    pub missed: u32,
}

impl AccountResult {
    /// Returns the number of refused requests.
    pub fn refused(&self) -> u32 {
        self.refused_at_once + self.refused_after_waiting
    }

    /// Returns the number of served requests.
    pub fn served(&self) -> u32 {
        self.served_in_time + self.served_late
    }

    fn add(mut self, other: &Self) -> Self {
        self.offered += other.offered;
        self.refused_at_once += other.refused_at_once;
        self.refused_after_waiting += other.refused_after_waiting;
        self.served_in_time += other.served_in_time;
        self.served_late += other.served_late;
        self.accepted_in_time += other.accepted_in_time;
        self.missed += other.missed;
        self
    }
}

#[derive(Debug)]
struct OpenRequest {
    account: usize,
    offered: Duration,
    accepted_in_time: bool,
}

/// A gate, its backend server and the accounts that send requests.
#[derive(Debug)]
pub struct AccountSimulation {
    gate: DeadlineGate,
    arrivals: SmallRng,
    run_times: SmallRng,
    now: Duration,
    rates: Vec<f64>,
    results: Vec<AccountResult>,
    open: BTreeMap<WorkId, OpenRequest>,
    ends: BTreeSet<(Duration, WorkId)>,
    next_work: u64,
}

impl AccountSimulation {
    /// Creates a simulation of accounts with a Zipf skew, one of them at five times its rate.
    pub fn of_skewed_load(gate: DeadlineGate, seed: u64) -> Self {
        let size = |rank: u32| f64::from(rank + 1).powf(-SKEW);
        let sizes = (0..ACCOUNTS).map(|rank| size(rank) * if rank == GREEDY { 5.0 } else { 1.0 });
        let sizes: Vec<f64> = sizes.collect();
        let demand = capacity() / CAPACITY;
        let total: f64 = sizes.iter().sum();
        Self {
            gate,
            arrivals: SmallRng::seed_from_u64(seed),
            run_times: SmallRng::seed_from_u64(seed + 1000),
            now: Duration::ZERO,
            rates: sizes.iter().map(|size| size / total * demand).collect(),
            results: vec![AccountResult::default(); sizes.len()],
            open: BTreeMap::new(),
            ends: BTreeSet::new(),
            next_work: 0,
        }
    }

    /// Offers the load for some seconds.
    pub fn run(mut self, seconds: u64) -> Self {
        while self.now < Duration::from_secs(seconds) {
            self.now += STEP;
            while let Some((end, work)) = self.ends.first().copied()
                && end <= self.now
            {
                self.ends.pop_first();
                self.end_run(work);
            }
            for account in 0..self.rates.len() {
                let chance = self.rates[account] * STEP.as_secs_f64();
                if self.arrivals.random::<f64>() < chance {
                    self.offer(account);
                }
            }
            let mut out = Vec::new();
            self.gate.tick(self.now, &mut out);
            self.execute(out);
        }
        self
    }

    /// Returns the sum of all accounts.
    pub fn total(&self) -> AccountResult {
        self.sum(|_| true)
    }

    /// Returns the sum of the accounts whose rate is below a fraction of the fair share.
    pub fn below(&self, share: FairShare) -> AccountResult {
        let limit = self.fair_rate() * share.0;
        self.sum(|rate| rate < limit)
    }

    /// Returns the sum of the accounts whose rate is at least a fraction of the fair share.
    pub fn above(&self, share: FairShare) -> AccountResult {
        let limit = self.fair_rate() * share.0;
        self.sum(|rate| rate >= limit)
    }

    fn sum(&self, is_counted: impl Fn(f64) -> bool) -> AccountResult {
        let counted = self.rates.iter().zip(&self.results);
        let counted = counted.filter(|(rate, _)| is_counted(**rate));
        counted.fold(AccountResult::default(), |sum, (_, one)| sum.add(one))
    }

    /// Returns the rate up to which accounts are served completely.
    fn fair_rate(&self) -> f64 {
        let mut left = capacity();
        let mut rates = self.rates.clone();
        rates.sort_by(f64::total_cmp);
        for (rate, others) in rates.iter().zip((1..=ACCOUNTS).rev()) {
            let equal = left / f64::from(others);
            if *rate > equal {
                return equal;
            }
            left -= rate;
        }
        f64::INFINITY
    }

    fn offer(&mut self, account: usize) {
        let work = WorkId(self.next_work);
        self.next_work += 1;
        let class = WorkClass {
            objective: Some(self.now + OBJECTIVE),
            account: Some(CustomerName::new(format!("account-{account:02}").as_str())),
            ..WorkClass::new(CustomerName::new("fleet"), 5, self.now + DEADLINE)
        };
        let mut out = Vec::new();
        let decision = self.gate.offer(self.now, work, class, &mut out);
        let place = self.gate.offered_place();
        let request = OpenRequest {
            account,
            offered: self.now,
            accepted_in_time: place.is_none_or(|place| place.in_time),
        };
        self.execute(out);
        let result = &mut self.results[account];
        result.offered += 1;
        if let GateDecision::Refused { .. } = decision {
            result.refused_at_once += 1;
            return;
        }
        result.accepted_in_time += u32::from(request.accepted_in_time);
        self.open.insert(work, request);
        if decision == GateDecision::Run {
            self.start_run(work);
        }
    }

    fn start_run(&mut self, work: WorkId) {
        let uniform = 1.0 - self.run_times.random::<f64>();
        let normal = (-2.0 * uniform.ln()).sqrt() * (TAU * self.run_times.random::<f64>()).cos();
        let time = MEAN_RUN_TIME.mul_f64((normal * 0.25 + 1.0).clamp(0.3, 3.0));
        self.ends.insert((self.now + time, work));
    }

    fn end_run(&mut self, work: WorkId) {
        let request = self.open.remove(&work).expect("the work ran");
        let result = &mut self.results[request.account];
        if self.now <= request.offered + OBJECTIVE {
            result.served_in_time += 1;
        } else {
            result.served_late += 1;
            result.missed += u32::from(request.accepted_in_time);
        }
        let mut out = Vec::new();
        self.gate.finished(self.now, work, &mut out);
        self.execute(out);
    }

    fn execute(&mut self, commands: Vec<GateCommand>) {
        for command in commands {
            match command {
                GateCommand::Start { work } => self.start_run(work),
                GateCommand::Refuse { work, .. } => {
                    let request = self.open.remove(&work).expect("the work waited");
                    let result = &mut self.results[request.account];
                    result.refused_after_waiting += 1;
                    result.missed += u32::from(request.accepted_in_time);
                }
            }
        }
    }
}

/// Returns the requests per second that the slots can run.
fn capacity() -> f64 {
    f64::from(SLOTS) / MEAN_RUN_TIME.as_secs_f64()
}
