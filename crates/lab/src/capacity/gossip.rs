//! Cost of gossip per node and propagation time of updates as functions of the number of nodes.

use std::time::Duration;

use anyhow::Result;
use hdrhistogram::Histogram;
use serde::Serialize;
use sycamorelink_roster::topic::CONTRACT_HEAD;

use super::churn::{CHURN_STEP, DailyChurn, REPAIR_TIME};
use super::fit::to_f64;
use super::fleet::{RosterFleet, UpdateWatch};

/// Time for a started fleet to settle before anything is measured.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Time from a node's death to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(15);

/// Time between two updates whose propagation is measured.
const UPDATE_INTERVAL: Duration = Duration::from_secs(4);

/// Size and duration of one gossip measurement, in virtual time.
#[derive(Clone, Copy, Debug)]
pub struct GossipPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Upstreams per node.
    pub upstreams: u16,
    /// Fleet size whose rate of restarts, failures and contract changes is applied.
    pub rate_nodes: usize,
    /// Duration of the measurement without changes.
    pub idle: Duration,
    /// Duration of the measurement with the daily churn.
    pub churn: Duration,
    /// Number of updates of each kind (contract heads, leaving upstreams, deaths) whose propagation
    /// is measured.
    pub updates: usize,
}

/// Results at one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct GossipRow {
    /// Number of nodes.
    pub nodes: usize,
    /// Upstreams per node.
    pub upstreams: u16,
    /// Fleet size whose rate of events was applied.
    pub rate_nodes: usize,
    /// Cost without changes.
    pub idle: TrafficCost,
    /// Cost with the daily restarts, failures and contract changes.
    pub churn: TrafficCost,
    /// Restarts during the churn measurement.
    pub restarts: usize,
    /// Deaths during the churn measurement.
    pub deaths: usize,
    /// Propagation of contract heads.
    pub head: SpreadTimes,
    /// Propagation of leaving upstreams.
    pub leave: SpreadTimes,
    /// Propagation of deaths, including their detection.
    pub death: SpreadTimes,
    /// Removals of nodes whose process was running.
    pub false_removals: usize,
    /// Rosters whose member count was wrong at the end.
    pub wrong_rosters: usize,
}

/// Cost of gossip per node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TrafficCost {
    /// Bytes sent per second, including IP and UDP headers, mean over the nodes.
    pub bytes_mean: f64,
    /// Bytes sent per second by the node that sent the most.
    pub bytes_max: f64,
    /// Datagrams sent per second, mean over the nodes.
    pub datagrams: f64,
    /// Real time spent in the roster's event handlers, in percent of a core, mean over the nodes.
    pub core_percent: f64,
}

/// Propagation times over all nodes and all updates of one kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SpreadTimes {
    /// Time until half of the nodes had the update, in milliseconds.
    pub p50: f64,
    /// Time until 99% of the nodes had the update, in milliseconds.
    pub p99: f64,
    /// Time until the last node had the update, in milliseconds.
    pub last: f64,
    /// Number of updates measured.
    pub news: usize,
    /// Number of times a running node did not receive an update.
    pub missed: usize,
}

/// Measures gossip at one fleet size.
///
/// # Errors
///
/// Returns an error when a histogram cannot be created or a time does not fit into it.
pub fn measure_gossip(plan: GossipPlan) -> Result<GossipRow> {
    let mut fleet = RosterFleet::start(plan.nodes, plan.upstreams, plan.nodes as u64);
    fleet.run_for(SETTLE_TIME);
    let idle = measure(&mut fleet, plan.idle, |_| {});
    let head = measure_heads(&mut fleet, plan.updates)?;
    let leave = measure_leaves(&mut fleet, plan.updates)?;
    let death = measure_deaths(&mut fleet, plan.updates)?;
    let mut churn = DailyChurn::plan(&mut fleet, plan.churn, plan.rate_nodes);
    let cost = measure(&mut fleet, plan.churn, |fleet| churn.step(fleet));
    fleet.run_for(REPAIR_TIME);
    churn.step(&mut fleet);
    fleet.run_for(SETTLE_TIME);
    fleet.take_watches();
    Ok(GossipRow {
        nodes: plan.nodes,
        upstreams: plan.upstreams,
        rate_nodes: plan.rate_nodes,
        idle,
        churn: cost,
        restarts: churn.restarts,
        deaths: churn.kills,
        head,
        leave,
        death,
        false_removals: fleet.false_removals(),
        wrong_rosters: fleet.wrong_rosters(),
    })
}

/// Runs the fleet for `time`, calls `step` regularly and returns the mean cost per node.
fn measure<F>(fleet: &mut RosterFleet, time: Duration, mut step: F) -> TrafficCost
where
    F: FnMut(&mut RosterFleet),
{
    fleet.reset_counts();
    let end = fleet.now() + time;
    while fleet.now() < end {
        step(fleet);
        fleet.run_for(CHURN_STEP);
    }
    let nodes = to_f64(fleet.len());
    let seconds = time.as_secs_f64();
    let bytes: Vec<f64> = fleet.sent().map(|sent| to_f64(sent.bytes)).collect();
    let datagrams: f64 = fleet.sent().map(|sent| to_f64(sent.datagrams)).sum();
    TrafficCost {
        bytes_mean: bytes.iter().sum::<f64>() / nodes / seconds,
        bytes_max: bytes.iter().copied().fold(0.0, f64::max) / seconds,
        datagrams: datagrams / nodes / seconds,
        core_percent: fleet.handle_time().as_secs_f64() / nodes / seconds * 100.0,
    }
}

fn measure_heads(fleet: &mut RosterFleet, updates: usize) -> Result<SpreadTimes> {
    for version in 1..=updates {
        let index = fleet.pick_running();
        fleet.publish(index, CONTRACT_HEAD, version as u64);
        fleet.run_for(UPDATE_INTERVAL);
    }
    let watches = fleet.take_watches();
    spread_times(fleet, &watches)
}

fn measure_leaves(fleet: &mut RosterFleet, updates: usize) -> Result<SpreadTimes> {
    let mut left = Vec::new();
    for _ in 0..updates {
        let index = fleet.pick_running();
        if !left.contains(&index) {
            fleet.leave_upstream(index);
            left.push(index);
        }
        fleet.run_for(UPDATE_INTERVAL);
    }
    let watches = fleet.take_watches();
    for index in left {
        fleet.warm_up(index, 0);
    }
    fleet.run_for(SETTLE_TIME);
    spread_times(fleet, &watches)
}

fn measure_deaths(fleet: &mut RosterFleet, updates: usize) -> Result<SpreadTimes> {
    for _ in 0..updates {
        let index = fleet.pick_running();
        fleet.kill(index);
        fleet.run_for(RESTART_DELAY);
        fleet.restart(index);
        fleet.run_for(SETTLE_TIME);
    }
    let watches = fleet.take_watches();
    spread_times(fleet, &watches)
}

pub(super) fn spread_times(fleet: &RosterFleet, watches: &[UpdateWatch]) -> Result<SpreadTimes> {
    let mut histogram = Histogram::<u64>::new(3)?;
    let mut missed = 0;
    for watch in watches {
        missed += fleet.unreported_nodes(watch);
        for time in &watch.times {
            histogram.record(u64::try_from(time.as_micros())?)?;
        }
    }
    let millis = |micros: u64| Duration::from_micros(micros).as_secs_f64() * 1_000.0;
    Ok(SpreadTimes {
        p50: millis(histogram.value_at_quantile(0.5)),
        p99: millis(histogram.value_at_quantile(0.99)),
        last: millis(histogram.max()),
        news: watches.len(),
        missed,
    })
}
