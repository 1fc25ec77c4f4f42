//! Trial of one limiter: seeded demand, one fault, and the resulting admissions.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::demand::ZipfDemand;
use super::limiter::{LimiterDecision, LimiterKind, ShareLimiter, build};

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Steps in a second.
const STEPS_PER_SECOND: u32 = 100;
/// Duration of an admitted request, in steps.
const RUN_STEPS: usize = 5;
/// Time at which the fault begins.
const FAULT_AT: Duration = Duration::from_secs(20);
/// Time at which a temporary fault ends.
const FAULT_END: Duration = Duration::from_secs(50);
/// End of the trial.
const TRIAL_END: Duration = Duration::from_secs(70);
/// Window in seconds over which admissions are compared with the contract.
const WINDOW: usize = 5;
/// Percentage of refused requests above which a second counts as starved.
const STARVED_PERCENT: u64 = 5;

/// Fault injected into a share trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShareFault {
    /// No fault.
    None,
    /// Callers move: the busiest daemons change every ten seconds.
    CallersMove,
    /// One daemon stops permanently; its callers move to the next daemon.
    OneLost,
    /// Half of the failure domains cannot reach the other half for 30 s.
    HalfCut,
    /// A random half of the daemons cannot reach the other half for 30 s.
    RandomCut,
    /// The daemon that keeps the largest part of the contract stops permanently.
    KeeperLost,
    /// The daemon that keeps the largest part is paused for 30 s, longer than its leases, and then
    /// resumes.
    KeeperPaused,
    /// Demand is one and a half times the contract.
    Overload,
    /// Demand is one and a half times the contract while half of the failure domains cannot reach
    /// the other half for 30 s.
    CutOverload,
}

impl ShareFault {
    /// All faults, in the order of the table.
    pub const ALL: [Self; 9] = [
        Self::None,
        Self::CallersMove,
        Self::OneLost,
        Self::HalfCut,
        Self::RandomCut,
        Self::KeeperLost,
        Self::KeeperPaused,
        Self::Overload,
        Self::CutOverload,
    ];

    /// Returns the name printed in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::CallersMove => "callers-move",
            Self::OneLost => "one-lost",
            Self::HalfCut => "half-cut",
            Self::RandomCut => "random-half-cut",
            Self::KeeperLost => "keeper-lost",
            Self::KeeperPaused => "keeper-paused",
            Self::Overload => "overload-1.5x",
            Self::CutOverload => "cut-overload-1.5x",
        }
    }

    /// Returns the demand as a fraction of the contract.
    const fn load(self) -> f64 {
        match self {
            Self::Overload | Self::CutOverload => 1.5,
            _ => 0.8,
        }
    }
}

/// Result of one trial.
#[derive(Clone, Debug, Serialize)]
pub struct ShareRow {
    /// Algorithm that enforced the contract.
    pub limiter: LimiterKind,
    /// Injected fault.
    pub fault: ShareFault,
    /// Number of daemons.
    pub sharers: usize,
    /// Highest total rate in force at any time, in percent of the contract.
    pub in_force_percent: f64,
    /// Most admissions within 5 s beyond the contract and one second's burst, in percent of that
    /// allowance.
    pub overshoot_percent: f64,
    /// Admitted after the fault began, in percent of the contract.
    pub used_percent: f64,
    /// Refused after the fault began, in percent of what was offered.
    pub refused_percent: f64,
    /// Refused requests in the worst second after the fault began, in percent.
    pub worst_percent: f64,
    /// Seconds after the fault began in which more than 5% were refused.
    pub starved_seconds: u32,
    /// Requests that waited for a lease or token, in percent.
    pub waited_percent: f64,
    /// Messages sent per second, mean over the daemons.
    pub messages_per_second: f64,
    /// Bytes received per second, mean over the daemons.
    pub heard_per_second: f64,
    /// Bytes received per second by the daemon that received the most.
    pub most_heard_per_second: f64,
}

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    offered: u64,
    admitted: u64,
    refused: u64,
    waited: u64,
}

/// State of one trial.
pub struct ShareTrial {
    fault: ShareFault,
    kind: LimiterKind,
    daemon_count: usize,
    rate: u32,
    now: Duration,
    limiter: Box<dyn ShareLimiter>,
    demand: ZipfDemand,
    down: Vec<bool>,
    waiting: Vec<(usize, Duration)>,
    running: VecDeque<Vec<usize>>,
    seconds: Vec<SecondCount>,
    max_in_force: u64,
}

impl ShareTrial {
    /// Creates a trial. `rate` is the contracted rate in requests per second.
    pub fn new(
        kind: LimiterKind,
        fault: ShareFault,
        daemon_count: usize,
        rate: u32,
        seed: u64,
    ) -> Self {
        let per_step = f64::from(rate) * fault.load() / f64::from(STEPS_PER_SECOND);
        Self {
            fault,
            kind,
            daemon_count,
            rate,
            now: Duration::ZERO,
            limiter: build(kind, daemon_count, rate * 1000, rate / 5),
            demand: ZipfDemand::new(
                seed,
                daemon_count,
                per_step,
                fault == ShareFault::CallersMove,
            ),
            down: vec![false; daemon_count],
            waiting: Vec::new(),
            running: (0..RUN_STEPS).map(|_| Vec::new()).collect(),
            seconds: Vec::new(),
            max_in_force: 0,
        }
    }

    /// Runs the trial to its end.
    pub fn run(mut self) -> ShareRow {
        let mut arrivals = Vec::new();
        while self.now < TRIAL_END {
            self.now += STEP;
            let second = usize::try_from(self.now.as_secs()).unwrap_or(0);
            self.seconds.resize(second + 1, SecondCount::default());
            self.inject_fault();
            self.limiter.step(self.now);
            self.end_running();
            self.retry_waiting();
            arrivals.clear();
            self.demand.step(self.now, &mut arrivals);
            for node in &arrivals {
                self.offer(*node);
            }
            self.max_in_force = self.max_in_force.max(self.limiter.rate_in_force(self.now));
        }
        self.row()
    }

    fn inject_fault(&mut self) {
        let begins = self.now == FAULT_AT;
        let ends = self.now == FAULT_END;
        let now = self.now;
        match self.fault {
            ShareFault::OneLost if begins => self.stop_daemon(self.daemon_count / 2),
            ShareFault::KeeperLost | ShareFault::KeeperPaused if begins => {
                self.stop_daemon(self.limiter.largest_keeper());
            }
            ShareFault::KeeperPaused if ends => {
                let keeper = self.limiter.largest_keeper();
                self.down[keeper] = false;
                self.limiter.set_paused(now, keeper, false);
            }
            ShareFault::HalfCut | ShareFault::CutOverload if begins => {
                let sides = (0..self.daemon_count).map(|node| node % 4 < 2).collect();
                self.limiter.set_partition(now, Some(sides));
            }
            ShareFault::RandomCut if begins => {
                let hash = |node: usize| (node * 2_654_435_761) >> 7;
                let sides = (0..self.daemon_count)
                    .map(|node| hash(node) % 2 == 0)
                    .collect();
                self.limiter.set_partition(now, Some(sides));
            }
            ShareFault::HalfCut | ShareFault::CutOverload | ShareFault::RandomCut if ends => {
                self.limiter.set_partition(now, None);
            }
            _ => {}
        }
    }

    fn stop_daemon(&mut self, node: usize) {
        self.down[node] = true;
        self.limiter.set_paused(self.now, node, true);
    }

    fn current_second(&mut self) -> &mut SecondCount {
        self.seconds.last_mut().expect("the first second has begun")
    }

    /// Offers one request; callers of a stopped daemon use the next one.
    fn offer(&mut self, node: usize) {
        let node = if self.down[node] {
            (node + 1) % self.daemon_count
        } else {
            node
        };
        self.current_second().offered += 1;
        match self.limiter.admit(self.now, node, false) {
            LimiterDecision::Admitted => self.admitted(node),
            LimiterDecision::Refused => self.current_second().refused += 1,
            LimiterDecision::Wait(until) => {
                self.current_second().waited += 1;
                self.waiting.push((node, until));
            }
        }
    }

    fn admitted(&mut self, node: usize) {
        self.current_second().admitted += 1;
        if let Some(last) = self.running.back_mut() {
            last.push(node);
        }
    }

    /// Offers the waiting requests again, in order.
    fn retry_waiting(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (node, until) in waiting {
            if self.limiter.admit(self.now, node, true) == LimiterDecision::Admitted {
                self.admitted(node);
            } else if self.now >= until {
                self.current_second().refused += 1;
            } else {
                self.waiting.push((node, until));
            }
        }
    }

    fn end_running(&mut self) {
        let ended = self.running.pop_front().unwrap_or_default();
        for node in &ended {
            if !self.down[*node] {
                self.limiter.finished(self.now, *node);
            }
        }
        self.running.push_back(Vec::new());
    }

    fn row(&self) -> ShareRow {
        let begin = usize::try_from(FAULT_AT.as_secs()).unwrap_or(0);
        let after = &self.seconds[begin + 1..self.seconds.len() - 1];
        let offered: u64 = after.iter().map(|second| second.offered).sum();
        let admitted: u64 = after.iter().map(|second| second.admitted).sum();
        let refused: u64 = after.iter().map(|second| second.refused).sum();
        let waited: u64 = after.iter().map(|second| second.waited).sum();
        let refused_of = |second: &SecondCount| percent(second.refused, second.offered);
        let starved = after
            .iter()
            .filter(|second| second.refused * 100 > second.offered * STARVED_PERCENT)
            .count();
        let message_count = self.limiter.message_count();
        let received_bytes: u64 = message_count.received_bytes.iter().sum();
        let most = message_count
            .received_bytes
            .iter()
            .copied()
            .max()
            .unwrap_or(0);
        let seconds = TRIAL_END.as_secs();
        let contract = u64::from(self.rate) * after.len() as u64;
        let daemon_seconds = seconds * self.daemon_count as u64;
        ShareRow {
            limiter: self.kind,
            fault: self.fault,
            sharers: self.daemon_count,
            in_force_percent: percent(self.max_in_force, u64::from(self.rate) * 1000),
            overshoot_percent: self.overshoot(),
            used_percent: percent(admitted, contract),
            refused_percent: percent(refused, offered),
            worst_percent: after.iter().map(refused_of).fold(0.0, f64::max),
            starved_seconds: u32::try_from(starved).unwrap_or(u32::MAX),
            waited_percent: percent(waited, offered),
            messages_per_second: ratio(message_count.messages, daemon_seconds),
            heard_per_second: ratio(received_bytes, daemon_seconds),
            most_heard_per_second: ratio(most, seconds),
        }
    }

    /// Returns the largest excess of admissions within [`WINDOW`] over the contract with one burst,
    /// in percent.
    fn overshoot(&self) -> f64 {
        let allowed = u64::from(self.rate) * (WINDOW as u64 + 1);
        let most = self
            .seconds
            .windows(WINDOW)
            .map(|window| window.iter().map(|second| second.admitted).sum::<u64>())
            .max()
            .unwrap_or(0);
        percent(most.saturating_sub(allowed), allowed)
    }
}

/// Returns `part` of `whole` in percent.
pub fn percent(part: u64, whole: u64) -> f64 {
    ratio(part * 100, whole)
}

/// Returns `part` divided by `whole`, or zero when `whole` is zero.
pub fn ratio(part: u64, whole: u64) -> f64 {
    let part = u32::try_from(part).map_or(f64::INFINITY, f64::from);
    let whole = u32::try_from(whole).map_or(f64::INFINITY, f64::from);
    if whole > 0.0 { part / whole } else { 0.0 }
}
