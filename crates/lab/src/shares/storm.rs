//! Simulation of retry storms after a short fault.

use std::time::Duration;

use serde::Serialize;
use sycamorelink_limits::BudgetSettings;

use super::flood::{capacity, recovery};
use super::gate_simulation::{CallerPlan, GateKind, GateSimulation, LoadPhase, SimulationPlan};
use super::trial::ratio;

/// Number of backend servers.
const SERVERS: usize = 4;
/// Load as a fraction of the capacity.
const LOAD: f64 = 0.7;
/// Seconds at which all backend servers become slow and recover.
const TRIGGER_SECONDS: (usize, usize) = (10, 15);
/// Factor on the service time while the servers are slow.
const SLOWDOWN: f64 = 4.0;
/// End of the run.
const STORM_END: Duration = Duration::from_mins(1);

/// Effect of retries after a short fault.
#[derive(Clone, Debug, Serialize)]
pub struct StormRow {
    /// Kind of admission control.
    pub gate: GateKind,
    /// Maximum number of attempts per request.
    pub tries: u32,
    /// Whether a retry budget of 10% of the requests applies.
    pub budget: bool,
    /// Attempts per request in the worst second.
    pub amplification: f64,
    /// Requests of the five seconds after the fault that were served, in percent.
    pub after_percent: f64,
    /// Seconds after the fault until 99% are served in every later second.
    pub recovery_seconds: u32,
}

/// Runs one simulation of a retry storm.
pub fn storm_row(gate: GateKind, tries: u32, budget: bool, seed: u64) -> StormRow {
    let phase = |until, service_factor| LoadPhase {
        until: Duration::from_secs(until),
        load_factor: 1.0,
        service_factor,
    };
    let (begin, end) = TRIGGER_SECONDS;
    let servers = f64::from(u32::try_from(SERVERS).unwrap_or(1));
    let plan = SimulationPlan {
        gate,
        servers: SERVERS,
        callers: vec![CallerPlan {
            name: "all".to_owned(),
            rate: capacity() * servers * LOAD,
        }],
        deadline: Duration::from_secs(1),
        attempt: Duration::from_millis(300),
        tries,
        budget: budget.then(BudgetSettings::default),
        phases: vec![
            phase(begin as u64, 1.0),
            phase(end as u64, SLOWDOWN),
            phase(STORM_END.as_secs(), 1.0),
        ],
        seed,
    };
    let figures = GateSimulation::new(plan).run();
    let last = usize::try_from(STORM_END.as_secs()).unwrap_or(0);
    let seconds = &figures.seconds[..last];
    let amplification = seconds
        .iter()
        .map(|second| ratio(second.attempts, second.offered))
        .fold(0.0, f64::max);
    let after = &seconds[end..end + 5];
    let offered: u64 = after.iter().map(|second| second.offered).sum();
    let served: u64 = after.iter().map(|second| second.served).sum();
    StormRow {
        gate,
        tries,
        budget,
        amplification,
        after_percent: ratio(served * 100, offered),
        recovery_seconds: recovery(seconds, end),
    }
}
