//! Frequent contract changes while part of the fleet is unreachable.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::NodeId;
use sycamorelink_engine::NodeEvent;

use crate::fleet_contract::contract;
use crate::world::{SessionWorld, name_of, node};

const FLEET_SIZE: u8 = 24;
/// Longest allowed time from the publication of a contract until every reachable node applies it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
const PUBLISH_INTERVAL: Duration = Duration::from_millis(900);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Cuts the links between these nodes and all others, in both directions.
fn isolate(world: &mut SessionWorld, isolated: &BTreeSet<String>) {
    for name in isolated {
        for other in (0..FLEET_SIZE).map(name_of) {
            world.network.cuts.insert((node(name), node(&other)));
            world.network.cuts.insert((node(&other), node(name)));
        }
    }
}

/// Delivers the newest contract from the source to its followers, except the unserved ones.
fn deliver_from_source(world: &mut SessionWorld, unserved: &BTreeSet<String>, version: u64) {
    let newest = Arc::new(contract(version, "/rates/"));
    for name in (0..FLEET_SIZE).map(name_of) {
        let behind = world.engines()[&node(&name)].fleet_version() < version;
        let served = behind && world.followers.contains(&node(&name)) && !unserved.contains(&name);
        if served {
            world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&newest)));
        }
    }
}

/// Publishes contracts at a fixed interval and returns a line for each check at which a reachable
/// node did not yet apply a contract that was due. Unserved nodes receive none from the source.
fn late_contracts(
    world: &mut SessionWorld,
    isolated: &BTreeSet<String>,
    unserved: &BTreeSet<String>,
) -> Vec<String> {
    let isolated_nodes: BTreeSet<NodeId> = isolated.iter().map(|name| node(name)).collect();
    let mut published: Vec<(Duration, u64)> = Vec::new();
    let mut late = Vec::new();
    let start = world.now();
    while world.now() < start + PUBLISH_INTERVAL * 7 {
        let due = PUBLISH_INTERVAL * u32::try_from(published.len()).unwrap_or(u32::MAX);
        if world.now() >= start + due {
            published.push((world.now(), 10 + published.len() as u64));
        }
        let newest = published.last().map_or(0, |(_, version)| *version);
        deliver_from_source(world, unserved, newest);
        world.run_for(CHECK_INTERVAL);
        let now = world.now();
        let overdue = published
            .iter()
            .filter(|(at, _)| now > *at + PROPAGATION_LIMIT);
        let required = overdue.map(|(_, version)| *version).max().unwrap_or(0);
        let engines = world.engines().iter();
        let reachable = engines.filter(|(id, _)| !isolated_nodes.contains(id));
        for (id, engine) in reachable.filter(|(_, engine)| engine.fleet_version() < required) {
            late.push(format!(
                "{now:?}: {id} applies version {}, expected at least {required}",
                engine.fleet_version()
            ));
        }
    }
    late
}

// Guards against nodes that stay behind because each newer version restarts the wait before a pull.
#[test]
fn frequent_contracts_reach_a_domain_whose_followers_are_cut_off() {
    for seed in 1..=4 {
        let mut world = SessionWorld::start_fleet_in(3, FLEET_SIZE, contract(3, "/prices/"));
        world.reseed(seed);
        world.run_for(Duration::from_secs(4));
        let followers = world.followers.clone();
        let first_domain = (0..FLEET_SIZE).step_by(3).map(name_of);
        let mut isolated: BTreeSet<String> = first_domain
            .filter(|name| followers.contains(&node(name)))
            .collect();
        isolated.extend(["b", "f", "h", "l"].map(str::to_owned));
        isolate(&mut world, &isolated);
        let late = late_contracts(&mut world, &isolated, &isolated);
        assert!(late.is_empty(), "seed {seed}: {late:#?}");
    }
}

// Guards against a fleet that receives no contract while every follower is refused or cut off.
#[test]
fn contracts_arrive_when_no_follower_reaches_the_source() {
    for seed in 1..=4 {
        let mut world = SessionWorld::start_fleet_in(3, FLEET_SIZE, contract(3, "/prices/"));
        world.reseed(seed);
        world.run_for(Duration::from_secs(4));
        let names: Vec<String> = (0..FLEET_SIZE).map(name_of).collect();
        let (followers, others): (Vec<String>, Vec<String>) = names
            .into_iter()
            .partition(|name| world.followers.contains(&node(name)));
        let (cut_off, refused) = followers.split_at(followers.len() / 2);
        for name in refused {
            world.send_event(name, NodeEvent::LogReachable(false));
        }
        let isolated: BTreeSet<String> = cut_off.iter().chain(&others[..3]).cloned().collect();
        isolate(&mut world, &isolated);
        let unserved = isolated.iter().chain(refused).cloned().collect();
        let late = late_contracts(&mut world, &isolated, &unserved);
        assert!(late.is_empty(), "seed {seed}: {late:#?}");
    }
}
