//! Shares of run outcomes on a failing and on a healthy server.
//!
//! The servers of one service fail by dropping connections, those of another by returning errors
//! within a few milliseconds, and which one applies isn't known in advance. An outcome is evidence
//! by the ratio of its share on a failing server to that on a healthy one. Both sets of shares
//! start from fixed priors and are learned from the server's own runs, each weighted by the chance
//! that the server was failing at the time.
//!
//! An error that comes sooner than a run of its kind could have done its work is tracked apart from
//! a later one: the first is due to the server, the second may be due to the request or to a
//! downstream call.

use std::collections::VecDeque;

/// Outcome of a run, as far as it is evidence about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// Complete reply.
    Served,
    /// Error after a usual run time.
    LateError,
    /// Error sooner than runs of its kind end.
    EarlyError,
    /// Run that is known to have ended without a complete reply.
    Loss,
}

/// Number of outcomes.
const OUTCOME_COUNT: usize = 4;
/// Prior chance of each outcome on a failing server. Dropped connections, immediate errors and
/// complete replies are about equally likely until faults were observed.
const FAILING_PRIOR: [f64; OUTCOME_COUNT] = [0.37, 0.11, 0.3, 0.5];
/// Number of runs on a failing server that [`FAILING_PRIOR`] weighs as much as. A fault shows about
/// as many before work is held off, so the second fault of a server is recognised from the first.
const FAILING_PRIOR_RUNS: f64 = 6.0;
/// Number of runs on a failing server that the shares remember: about ten faults.
const FAILING_MEMORY_RUNS: f64 = 60.0;
/// Prior share of each outcome on a healthy server.
const HEALTHY_PRIOR: [f64; OUTCOME_COUNT] = [0.986, 0.01, 0.002, 0.002];
/// Number of runs that [`HEALTHY_PRIOR`] weighs as much as.
const HEALTHY_PRIOR_RUNS: f64 = 30.0;
/// Number of runs on a healthy server that the shares remember.
const HEALTHY_MEMORY_RUNS: f64 = 200.0;
/// Bounds of the chance of an outcome on a failing server, so that no outcome is proof.
const CHANCE_BOUNDS: (f64, f64) = (0.05, 0.9);
/// Lower bound of the share of a bad outcome on a healthy server. A hundred runs without one don't
/// show that it never happens.
const MIN_HEALTHY_SHARE: f64 = 0.001;
/// Strongest evidence of a complete reply, in nats. Faults hit only part of the requests, so a
/// complete reply doesn't rule one out.
const MAX_SERVED_EVIDENCE: f64 = -2.0;
/// Number of later outcomes after which an outcome is learned. The first bad outcome of a fault
/// comes while the server still seems healthy. If it were learned at once as an outcome of a
/// healthy server, each fault would make the next one harder to detect, and where a third of the
/// servers fail in turn, errors would soon be no evidence.
const LEARNING_DELAY: usize = 3;

/// Learned outcome shares of one server.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeShares {
    healthy: LearnedShares,
    failing: LearnedShares,
    /// Outcomes not yet learned. Each bad one has the highest chance so far that the server was
    /// failing.
    pending: VecDeque<(RunOutcome, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct LearnedShares {
    shares: [f64; OUTCOME_COUNT],
    runs: f64,
    memory: f64,
}

impl OutcomeShares {
    pub(crate) const fn new() -> Self {
        Self {
            healthy: LearnedShares {
                shares: HEALTHY_PRIOR,
                runs: HEALTHY_PRIOR_RUNS,
                memory: HEALTHY_MEMORY_RUNS,
            },
            failing: LearnedShares {
                shares: FAILING_PRIOR,
                runs: FAILING_PRIOR_RUNS,
                memory: FAILING_MEMORY_RUNS,
            },
            pending: VecDeque::new(),
        }
    }

    /// Returns the evidence of an outcome, in nats; positive values mean that the server fails. A
    /// bad outcome never lowers the odds.
    pub(crate) fn ratio(&self, outcome: RunOutcome) -> f64 {
        let (min, max) = CHANCE_BOUNDS;
        let failing = self.failing.share(outcome).clamp(min, max);
        let ratio = (failing / self.healthy.share(outcome).max(MIN_HEALTHY_SHARE)).ln();
        if outcome == RunOutcome::Served {
            ratio.clamp(MAX_SERVED_EVIDENCE, 0.0)
        } else {
            ratio.max(0.0)
        }
    }

    /// Adds an outcome. `failing` is the chance that the server fails, updated with this outcome.
    pub(crate) fn learn(&mut self, outcome: RunOutcome, failing: f64) {
        for (earlier, chance) in &mut self.pending {
            if *earlier != RunOutcome::Served {
                *chance = chance.max(failing);
            }
        }
        self.pending.push_back((outcome, failing));
        if self.pending.len() <= LEARNING_DELAY {
            return;
        }
        if let Some((outcome, failing)) = self.pending.pop_front() {
            self.healthy.learn(outcome, 1.0 - failing);
            self.failing.learn(outcome, failing);
        }
    }
}

impl LearnedShares {
    fn share(&self, outcome: RunOutcome) -> f64 {
        self.shares[outcome as usize]
    }

    fn learn(&mut self, outcome: RunOutcome, weight: f64) {
        self.runs = (self.runs + weight).min(self.memory);
        let step = weight / self.runs;
        for (index, share) in self.shares.iter_mut().enumerate() {
            let observed = f64::from(u8::from(index == outcome as usize));
            *share += (observed - *share) * step;
        }
    }
}
