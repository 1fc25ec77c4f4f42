//! The fleet-wide bound on repeats while servers and daemons restart or are partitioned.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::RequestId;
use sycamorelink_engine::WorkEnd;

use crate::fleet_contract::{contract_with_repeats, fail_backends_of};
use crate::world::{BackendScript, SessionWorld, name_of, node};

/// Number of nodes, each with one backend server.
pub const NODES: u8 = 8;
/// Repeats allowed across the fleet per [`WINDOW`].
const MAX_REPEATS: u32 = 16;
/// Period over which repeats count towards the bound.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Interval between requests to the same node.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a fleet whose bound on repeats does not grow with the number of requests.
fn bounded_fleet() -> SessionWorld {
    let mut world = SessionWorld::start_fleet(NODES, contract_with_repeats(MAX_REPEATS));
    world.run_for(WINDOW);
    world
}

/// Makes every backend server answer with an error.
pub fn fail_all_backends(world: &mut SessionWorld) {
    let names: Vec<String> = (0..NODES).map(name_of).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fail_backends_of(world, &names);
}

/// Makes every backend server decline its work.
pub fn decline_on_all_backends(world: &mut SessionWorld) {
    for name in (0..NODES).map(name_of) {
        let script = BackendScript {
            end: WorkEnd::Declined,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name), script);
    }
}

/// Announces a new incarnation of a node's backend server under a new name.
pub fn restart_backend(world: &mut SessionWorld, name: &str, round: u32) {
    world.announce_life(name, &format!("{name}-{round}"), 1);
}

/// Sends requests to the nodes and records when they are repeated.
#[derive(Default)]
pub struct CallLoad {
    calls: u128,
    last_runs: BTreeMap<RequestId, u32>,
    repeat_times: Vec<Duration>,
}

impl CallLoad {
    /// Sends requests to all running nodes for the given duration.
    pub fn run(&mut self, world: &mut SessionWorld, duration: Duration) {
        let end = world.now() + duration;
        while world.now() < end {
            for name in (0..NODES).map(name_of) {
                if world.engines().contains_key(&node(&name)) {
                    self.calls += 1;
                    world.call(&name, self.calls, "GET", "/prices/a", None);
                }
            }
            world.run_for(CALL_INTERVAL);
            self.record_repeats(world);
        }
    }

    fn record_repeats(&mut self, world: &SessionWorld) {
        for (id, runs) in &world.runs {
            let previous = self.last_runs.insert(*id, *runs).unwrap_or(1);
            let new_repeats = runs.saturating_sub(previous.max(1));
            self.repeat_times
                .extend((0..new_repeats).map(|_| world.now()));
        }
    }

    /// Returns the number of requests so far.
    pub fn calls(&self) -> usize {
        usize::try_from(self.calls).unwrap_or(usize::MAX)
    }

    /// Returns the number of repeats so far.
    pub fn repeats(&self) -> usize {
        self.repeat_times.len()
    }

    /// Returns the largest number of repeats within any [`WINDOW`].
    pub fn max_repeats_in_window(&self) -> usize {
        let count_from = |start: Duration| {
            let window = start..start + WINDOW;
            self.repeat_times
                .iter()
                .filter(|at| window.contains(at))
                .count()
        };
        let counts = self.repeat_times.iter().map(|start| count_from(*start));
        counts.max().unwrap_or(0)
    }
}

// Guards against a backend server's part of the bound being refilled on each restart.
#[test]
fn repeats_stay_bounded_while_backend_servers_restart() {
    let mut world = bounded_fleet();
    fail_all_backends(&mut world);
    let mut load = CallLoad::default();
    for round in 0..4 {
        load.run(&mut world, Duration::from_secs(2));
        for name in (0..NODES).map(name_of) {
            restart_backend(&mut world, &name, round);
        }
    }
    let repeats = load.max_repeats_in_window();
    assert!(
        repeats <= MAX_REPEATS as usize,
        "{repeats} repeats, {MAX_REPEATS} allowed"
    );
}

// Guards against a daemon's part of the bound being refilled on each restart.
#[test]
fn repeats_stay_bounded_while_daemons_restart() {
    let mut world = bounded_fleet();
    fail_all_backends(&mut world);
    let mut load = CallLoad::default();
    for incarnation in 2..5 {
        load.run(&mut world, Duration::from_secs(2));
        for number in 0..NODES {
            world.kill(&name_of(number));
            world.add_node(number, incarnation);
        }
    }
    load.run(&mut world, Duration::from_secs(2));
    let repeats = load.max_repeats_in_window();
    assert!(
        repeats <= MAX_REPEATS as usize,
        "{repeats} repeats, {MAX_REPEATS} allowed"
    );
}

// Guards against each side of a partition dividing the bound among only its own servers.
#[test]
fn repeats_stay_bounded_in_a_partitioned_fleet() {
    let mut world = bounded_fleet();
    for from in 0..NODES {
        for to in (0..NODES).filter(|to| to % 2 != from % 2) {
            let link = (node(&name_of(from)), node(&name_of(to)));
            world.network.cuts.insert(link);
        }
    }
    world.run_for(Duration::from_secs(30));
    decline_on_all_backends(&mut world);
    let mut load = CallLoad::default();
    load.run(&mut world, Duration::from_secs(5));
    let repeats = load.max_repeats_in_window();
    assert!(
        repeats <= MAX_REPEATS as usize,
        "{repeats} repeats, {MAX_REPEATS} allowed"
    );
}
