//! Simulations of one customer flooding a backend server and of load above its capacity.

use std::time::Duration;

use serde::Serialize;

use super::gate_simulation::{
    CallerPlan, GateKind, GateSimulation, LoadPhase, MEAN_SERVICE, SLOTS, SecondCount,
    SimulationFigures, SimulationPlan, quantile,
};
use super::trial::{percent, ratio};

/// Number of other customers during the flood.
const OTHER_CUSTOMERS: usize = 4;
/// Number of customers with equal demand.
const EQUAL_CUSTOMERS: usize = 10;
/// Longest time that a caller waits for a reply.
const DEADLINE: Duration = Duration::from_secs(1);
/// Seconds at which the overload begins and ends.
const OVERLOAD_SECONDS: (usize, usize) = (10, 40);
/// End of the overload run.
const OVERLOAD_END: Duration = Duration::from_mins(1);
/// Minimum percentage of served requests in a second that counts as recovered.
const RECOVERED_PERCENT: u64 = 99;

/// Effect of one customer's flood on the other customers.
#[derive(Clone, Debug, Serialize)]
pub struct FloodRow {
    /// Admission control in front of the backend server.
    pub gate: GateKind,
    /// 99th percentile latency of the other customers without the flood, in milliseconds.
    pub calm_p99_ms: f64,
    /// 99th percentile latency of the other customers while one customer sends three times the
    /// capacity, in milliseconds.
    pub flood_p99_ms: f64,
    /// Growth of the 99th percentile caused by the flood, in percent.
    pub growth_percent: f64,
    /// Unserved requests of the other customers without the flood, in percent.
    pub calm_failed_percent: f64,
    /// Unserved requests of the other customers with the flood, in percent.
    pub flood_failed_percent: f64,
    /// Fewest over most requests served among ten customers that each request four times their fair
    /// share.
    pub min_max_share: f64,
}

/// Behaviour under load above the capacity.
#[derive(Clone, Debug, Serialize)]
pub struct OverloadRow {
    /// Admission control in front of the backend server.
    pub gate: GateKind,
    /// Requests served in time at three times the capacity, in percent of the capacity.
    pub goodput_percent: f64,
    /// 99th percentile latency of all requests served in the run, in milliseconds.
    pub p99_ms: f64,
    /// Seconds after the end of the overload until 99% are served in every later second.
    pub recovery_seconds: u32,
}

/// Returns the requests per second that one backend server can serve.
pub fn capacity() -> f64 {
    f64::from(SLOTS) / MEAN_SERVICE
}

fn steady(length: Duration) -> Vec<LoadPhase> {
    vec![LoadPhase {
        until: length,
        load_factor: 1.0,
        service_factor: 1.0,
    }]
}

fn plan(
    gate: GateKind,
    callers: Vec<CallerPlan>,
    phases: Vec<LoadPhase>,
    seed: u64,
) -> SimulationPlan {
    SimulationPlan {
        gate,
        servers: 1,
        callers,
        deadline: DEADLINE,
        attempt: DEADLINE,
        tries: 1,
        budget: None,
        phases,
        seed,
    }
}

fn caller(name: &str, number: usize, rate: f64) -> CallerPlan {
    CallerPlan {
        name: format!("{name}-{number}"),
        rate,
    }
}

/// Returns the latencies and the percentage of failed requests of the other customers.
fn other_customers(figures: &SimulationFigures) -> (Vec<u64>, f64) {
    let latencies = figures.latencies[..OTHER_CUSTOMERS].concat();
    let failed: u64 = figures.failed[..OTHER_CUSTOMERS].iter().sum();
    let offered = failed + latencies.len() as u64;
    (latencies, percent(failed, offered))
}

/// Runs the flood simulation.
pub fn flood_row(gate: GateKind, length: Duration, seed: u64) -> FloodRow {
    let small_rate = capacity() * 0.05;
    let calm: Vec<CallerPlan> = (0..OTHER_CUSTOMERS)
        .map(|number| caller("other", number, small_rate))
        .collect();
    let mut flooded = calm.clone();
    flooded.push(caller("flood", 0, capacity() * 3.0));
    let equals = (0..EQUAL_CUSTOMERS).map(|number| caller("equal", number, capacity() * 0.4));
    let run = |callers| GateSimulation::new(plan(gate, callers, steady(length), seed)).run();
    let (mut calm_times, calm_failed) = other_customers(&run(calm));
    let (mut flood_times, flood_failed) = other_customers(&run(flooded));
    let calm_p99 = quantile(&mut calm_times, 99);
    let flood_p99 = quantile(&mut flood_times, 99);
    let served: Vec<u64> = run(equals.collect())
        .latencies
        .iter()
        .map(|latencies| latencies.len() as u64)
        .collect();
    let least = served.iter().copied().min().unwrap_or(0);
    let most = served.iter().copied().max().unwrap_or(0);
    FloodRow {
        gate,
        calm_p99_ms: calm_p99,
        flood_p99_ms: flood_p99,
        growth_percent: (flood_p99 / calm_p99 - 1.0) * 100.0,
        calm_failed_percent: calm_failed,
        flood_failed_percent: flood_failed,
        min_max_share: ratio(least, most),
    }
}

/// Runs the overload simulation.
pub fn overload_row(gate: GateKind, seed: u64) -> OverloadRow {
    let callers = (0..EQUAL_CUSTOMERS).map(|number| caller("equal", number, capacity() * 0.1));
    let phase = |until, load_factor| LoadPhase {
        until: Duration::from_secs(until),
        load_factor,
        service_factor: 1.0,
    };
    let (begin, end) = OVERLOAD_SECONDS;
    let phases = vec![
        phase(begin as u64, 0.7),
        phase(end as u64, 3.0),
        phase(OVERLOAD_END.as_secs(), 0.7),
    ];
    let figures = GateSimulation::new(plan(gate, callers.collect(), phases, seed)).run();
    let during = &figures.seconds[begin + 5..end];
    let completed: u64 = during.iter().map(|second| second.completed).sum();
    let goodput = ratio(completed, during.len() as u64) / capacity() * 100.0;
    let mut latencies = figures.latencies.concat();
    OverloadRow {
        gate,
        goodput_percent: goodput,
        p99_ms: quantile(&mut latencies, 99),
        recovery_seconds: recovery(&figures.seconds, end),
    }
}

/// Returns the seconds after `end` until every later second serves at least [`RECOVERED_PERCENT`].
pub fn recovery(seconds: &[SecondCount], end: usize) -> u32 {
    let last = usize::try_from(OVERLOAD_END.as_secs()).unwrap_or(0);
    let later = &seconds[end..seconds.len().min(last)];
    let below_target =
        |second: &SecondCount| second.served * 100 < second.offered * RECOVERED_PERCENT;
    let last_below = later.iter().rposition(below_target);
    last_below.map_or(0, |index| u32::try_from(index + 1).unwrap_or(u32::MAX))
}
