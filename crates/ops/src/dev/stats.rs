//! Call statistics of a `dev` session, as seen by the callers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sycamorelink_core::RunState;
use sycamorelink_standin::RunCounts;

/// Outcome of one call, as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// A complete reply that belongs to this call.
    Answered,
    /// A complete reply that belongs to another call.
    Mismatched,
    /// A refusal: whether the request ran, and the code of the refusal.
    Refused(RunState, String),
    /// A forwarded error of the backend server.
    Failed,
    /// No answer.
    Lost,
}

/// Call counts of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Completed calls.
    pub ended: u64,
    /// Calls that got their own complete reply.
    pub answered: u64,
    /// Calls that got the reply of another call.
    pub mismatched: u64,
    /// Calls refused with the status "not run".
    pub not_run: u64,
    /// Calls refused with the status "ran" or "unknown".
    pub unknown: u64,
    /// Calls that got an error from a backend server.
    pub failed: u64,
    /// Calls that got no answer.
    pub lost: u64,
    /// Number of refusals by code.
    pub refusals: BTreeMap<String, u64>,
}

impl CallCounts {
    fn add(&mut self, outcome: CallOutcome) {
        self.ended += 1;
        let count = match outcome {
            CallOutcome::Answered => &mut self.answered,
            CallOutcome::Mismatched => &mut self.mismatched,
            CallOutcome::Refused(run, code) => {
                *self.refusals.entry(code).or_default() += 1;
                match run {
                    RunState::NotRun => &mut self.not_run,
                    RunState::Ran | RunState::Unknown => &mut self.unknown,
                }
            }
            CallOutcome::Failed => &mut self.failed,
            CallOutcome::Lost => &mut self.lost,
        };
        *count += 1;
    }
}

/// Last run status that the caller of an idempotency key received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyStatus {
    Ran,
    NotRun,
    Unknown,
}

/// Counts of idempotency keys, comparing the status their callers received with actual runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyAudit {
    /// Keys that were sent.
    pub keys: u64,
    /// Resends of keys.
    pub resends: u64,
    /// Keys that ran exactly once.
    pub ran_once: u64,
    /// Keys that ran more than once.
    pub duplicated: u64,
    /// Keys that ran although their caller received "not run".
    pub false_not_run: u64,
    /// Keys that did not run although their caller received "ran".
    pub false_ran: u64,
    /// Keys whose caller received "unknown" last.
    pub unknown: u64,
}

#[derive(Debug, Default)]
struct ServiceStats {
    counts: CallCounts,
    recent: Vec<Duration>,
}

#[derive(Debug, Default)]
struct StatsState {
    services: BTreeMap<&'static str, ServiceStats>,
    statuses: BTreeMap<String, KeyStatus>,
    resends: u64,
    lost: Vec<String>,
}

/// Maximum number of lost calls to list.
const MAX_LISTED_LOST: usize = 5;

/// Call statistics shared by the tasks of all callers.
#[derive(Debug, Default)]
pub(super) struct TrafficStats(Mutex<StatsState>);

/// Calls of one service: totals, and latencies since the previous query.
#[derive(Clone, Debug, Default)]
pub struct RecentCalls {
    /// Counts of all calls so far.
    pub counts: CallCounts,
    /// Number of calls since the previous query.
    pub calls: usize,
    /// Median latency of these calls.
    pub p50: Duration,
    /// 99th percentile of the latency of these calls.
    pub p99: Duration,
}

impl TrafficStats {
    fn state(&self) -> MutexGuard<'_, StatsState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record(&self, service: &'static str, outcome: CallOutcome, latency: Duration) {
        let mut state = self.state();
        let service_stats = state.services.entry(service).or_default();
        service_stats.counts.add(outcome);
        service_stats.recent.push(latency);
    }

    pub(super) fn record_status(&self, key: &str, status: KeyStatus) {
        self.state().statuses.insert(key.to_owned(), status);
    }

    /// Records the description of a call without an answer.
    pub(super) fn record_lost(&self, call: String) {
        let mut state = self.state();
        if state.lost.len() < MAX_LISTED_LOST {
            state.lost.push(call);
        }
    }

    /// Returns the first few calls without an answer.
    pub(super) fn lost(&self) -> Vec<String> {
        self.state().lost.clone()
    }

    pub(super) fn record_resend(&self) {
        self.state().resends += 1;
    }

    /// Resets the counts. Key statuses are kept, because the audit covers the whole session.
    pub(super) fn restart(&self) {
        self.state().services.clear();
    }

    /// Returns the calls of a service and starts a new interval for latencies.
    pub(super) fn take_recent(&self, service: &str) -> RecentCalls {
        let mut state = self.state();
        let Some(service_stats) = state.services.get_mut(service) else {
            return RecentCalls::default();
        };
        let mut latencies = std::mem::take(&mut service_stats.recent);
        latencies.sort_unstable();
        RecentCalls {
            counts: service_stats.counts.clone(),
            calls: latencies.len(),
            p50: percentile(&latencies, 50),
            p99: percentile(&latencies, 99),
        }
    }

    /// Compares the statuses that callers received with the runs of the backend servers.
    pub(super) fn audit(&self, runs: &BTreeMap<String, RunCounts>) -> KeyAudit {
        let state = self.state();
        let mut audit = KeyAudit {
            resends: state.resends,
            ..KeyAudit::default()
        };
        for (key, status) in &state.statuses {
            let started = runs.get(key).map_or(0, |counts| counts.started);
            audit.keys += 1;
            audit.ran_once += u64::from(started == 1);
            audit.duplicated += u64::from(started > 1);
            audit.unknown += u64::from(*status == KeyStatus::Unknown);
            audit.false_not_run += u64::from(*status == KeyStatus::NotRun && started > 0);
            audit.false_ran += u64::from(*status == KeyStatus::Ran && started == 0);
        }
        audit
    }
}

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}
