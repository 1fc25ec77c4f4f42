//! Events that affect many nodes at once: the loss of a failure domain and the restart of a third
//! of the fleet.

use std::time::Duration;

use anyhow::Result;
use serde::Serialize;

use super::fit::to_f64;
use super::fleet::RosterFleet;
use super::gossip::{SpreadTimes, spread_times};
use super::node_facts::DOMAINS;

/// Time for a started fleet to settle.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Time between two checks whether all rosters agree.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time to wait until all rosters agree.
const CONVERGENCE_LIMIT: Duration = Duration::from_mins(3);

/// Every node whose index is a multiple of this restarts.
const RESTART_STRIDE: usize = 3;

/// Results at one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct MassRow {
    /// Number of nodes.
    pub nodes: usize,
    /// Upstreams per node.
    pub upstreams: u16,
    /// Loss of all nodes of one failure domain at the same time.
    pub domain_loss: MassEvent,
    /// Propagation of the death of each lost node.
    pub loss_known: SpreadTimes,
    /// Kill of every third node, each restarted one second later.
    pub restart: MassEvent,
}

/// Effect of one event that affects many nodes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MassEvent {
    /// Number of affected nodes.
    pub touched: usize,
    /// Seconds until every roster contained exactly the running nodes; `None` when that did not
    /// happen within three minutes.
    pub agreed_seconds: Option<u64>,
    /// Bytes sent per second in that time, mean over the running nodes.
    pub bytes_mean: f64,
    /// Removals of nodes whose process was running.
    pub false_removals: usize,
}

/// Measures both events at one fleet size.
///
/// # Errors
///
/// Returns an error when a histogram cannot be created or a time does not fit into it.
pub fn measure_mass(nodes: usize, upstreams: u16) -> Result<MassRow> {
    let mut fleet = RosterFleet::start(nodes, upstreams, 7);
    fleet.run_for(SETTLE_TIME);
    let lost: Vec<usize> = (0..nodes).filter(|index| index % DOMAINS == 1).collect();
    let domain_loss = measure_event(&mut fleet, &lost, |fleet| {
        for index in &lost {
            fleet.kill(*index);
        }
    });
    let watches = fleet.take_watches();
    let loss_known = spread_times(&fleet, &watches)?;
    let mut fleet = RosterFleet::start(nodes, upstreams, 8);
    fleet.run_for(SETTLE_TIME);
    let restarted: Vec<usize> = (0..nodes).step_by(RESTART_STRIDE).collect();
    let restart = measure_event(&mut fleet, &restarted, |fleet| {
        for index in &restarted {
            fleet.kill(*index);
        }
        fleet.run_for(POLL_INTERVAL);
        for index in &restarted {
            fleet.restart(*index);
        }
    });
    Ok(MassRow {
        nodes,
        upstreams,
        domain_loss,
        loss_known,
        restart,
    })
}

fn measure_event<F>(fleet: &mut RosterFleet, touched: &[usize], event: F) -> MassEvent
where
    F: FnOnce(&mut RosterFleet),
{
    fleet.reset_counts();
    let start = fleet.now();
    event(fleet);
    let mut converged = None;
    while converged.is_none() && fleet.now() < start + CONVERGENCE_LIMIT {
        fleet.run_for(POLL_INTERVAL);
        if fleet.wrong_rosters() == 0 {
            converged = Some(fleet.now().saturating_sub(start));
        }
    }
    let seconds = fleet.now().saturating_sub(start).as_secs_f64();
    let bytes: f64 = fleet.sent().map(|sent| to_f64(sent.bytes)).sum();
    MassEvent {
        touched: touched.len(),
        agreed_seconds: converged.map(|time| time.as_secs()),
        bytes_mean: bytes / to_f64(fleet.running()) / seconds,
        false_removals: fleet.false_removals(),
    }
}
