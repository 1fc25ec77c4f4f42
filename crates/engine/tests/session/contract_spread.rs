//! Frequent contract changes while part of the fleet is unreachable.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{ContentDigest, ContractStamp, FleetContract, FleetRoute};
use sycamorelink_core::NodeId;
use sycamorelink_engine::{ContractAsk, NodeEngine, NodeEvent, PeerMessage};

use crate::fleet_contract::contract;
use crate::world::{LINK_DELAY, SessionWorld, name_of, node};

const FLEET_SIZE: u8 = 24;
/// Longest allowed time from the publication of a contract until every reachable node applies it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
const PUBLISH_INTERVAL: Duration = Duration::from_millis(900);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Version of the first contract that a test publishes.
const FIRST_PUBLISHED: u64 = 10;
/// Bandwidth of the slowest links of a fleet, in bytes per second.
const THIN_LINK: u32 = 13_000_000 / 8;

/// Cuts the links between these nodes and all others, in both directions.
fn isolate(world: &mut SessionWorld, isolated: &BTreeSet<String>) {
    for name in isolated {
        for other in (0..FLEET_SIZE).map(name_of) {
            world.network.cuts.insert((node(name), node(&other)));
            world.network.cuts.insert((node(&other), node(name)));
        }
    }
}

/// Returns a contract with this many routes added.
fn contract_with_routes(version: u64, count: usize) -> FleetContract {
    let mut contract = contract(version, "/rates/");
    let template = contract.routes[0].clone();
    let added = (0..count).map(|number| {
        let text = ContentDigest::of(&number.to_be_bytes()).to_string();
        FleetRoute {
            name: Arc::from(&text[..8]),
            host: Arc::from(format!("host-{}.example", number % 50)),
            prefix: Arc::from(format!("/{}/", &text[8..16])),
            ..template.clone()
        }
    });
    contract.routes.extend(added);
    contract
}

/// Delivers the newest contract from the source to its followers that have not read it yet, except
/// the unserved ones.
fn deliver_from_source(
    world: &mut SessionWorld,
    unserved: &BTreeSet<String>,
    newest: &Arc<FleetContract>,
    read: &mut BTreeMap<NodeId, u64>,
) {
    for name in (0..FLEET_SIZE).map(name_of) {
        let id = node(&name);
        let behind = world.engines()[&id].fleet_version() < newest.version;
        let is_read = read.get(&id) == Some(&newest.version);
        let served = behind && world.followers.contains(&id) && !unserved.contains(&name);
        if served && !is_read {
            read.insert(id, newest.version);
            world.read_from_source(id, newest);
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
    late_versions(world, isolated, unserved, |version| {
        contract(version, "/rates/")
    })
}

/// Does the same with the contracts that `create` returns for each version.
fn late_versions<F>(
    world: &mut SessionWorld,
    isolated: &BTreeSet<String>,
    unserved: &BTreeSet<String>,
    create: F,
) -> Vec<String>
where
    F: Fn(u64) -> FleetContract,
{
    let isolated_nodes: BTreeSet<NodeId> = isolated.iter().map(|name| node(name)).collect();
    let mut published: Vec<(Duration, u64)> = Vec::new();
    let mut late = Vec::new();
    let mut read = BTreeMap::new();
    let mut newest = Arc::new(create(FIRST_PUBLISHED));
    let start = world.now();
    while world.now() < start + PUBLISH_INTERVAL * 7 {
        let due = PUBLISH_INTERVAL * u32::try_from(published.len()).unwrap_or(u32::MAX);
        if world.now() >= start + due {
            let version = FIRST_PUBLISHED + published.len() as u64;
            published.push((world.now(), version));
            newest = Arc::new(create(version));
        }
        deliver_from_source(world, unserved, &newest, &mut read);
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

// Guards against contracts that are late because the links of the nodes are busy with whole copies
// of large ones.
#[test]
fn large_contracts_arrive_in_time_over_thin_links() {
    let mut world = SessionWorld::start_fleet_in(3, FLEET_SIZE, contract_with_routes(3, 4_000));
    world.run_for(Duration::from_secs(4));
    world.network.link_rate = Some(THIN_LINK);
    let nowhere = BTreeSet::new();
    let late = late_versions(&mut world, &nowhere, &nowhere, |version| {
        let changes = usize::try_from(version - FIRST_PUBLISHED).unwrap_or(0);
        contract_with_routes(version, 4_000 + 700 * (1 + changes / 2))
    });
    assert!(late.is_empty(), "{late:#?}");
}

/// Starts a fleet in two failure domains and delivers a contract to node `a` only.
fn fleet_with_contract_at_a(count: u8, newest: &FleetContract) -> SessionWorld {
    let mut world = SessionWorld::start_fleet_in(2, count, contract(3, "/prices/"));
    world.send_event("a", NodeEvent::FleetContract(Arc::new(newest.clone())));
    world
}

/// Returns the stamps of the contracts that the nodes apply.
fn applied_stamps(world: &SessionWorld) -> BTreeSet<Option<ContractStamp>> {
    let engines = world.engines().values();
    engines.map(NodeEngine::fleet_stamp).collect()
}

// Guards against a node that stays behind because it was sent a patch that does not apply.
#[test]
fn node_with_a_damaged_patch_receives_the_whole_contract() {
    let newest = contract(9, "/rates/");
    let mut world = fleet_with_contract_at_a(2, &newest);
    let from = world.engines()[&node("a")].own_instance();
    let base = world.engines()[&node("b")].fleet_stamp();
    let message = PeerMessage::ContractPage {
        ask: ContractAsk::FleetPatch { base },
        page: b"not a patch".to_vec(),
    };
    world.send_event("b", NodeEvent::PeerReceived { from, message });
    world.run_for(LINK_DELAY * 3);
    assert_eq!(
        applied_stamps(&world),
        BTreeSet::from([Some(newest.stamp())])
    );
}

// Guards against a patch applied to other content of the same version, which the source published
// again after it lost the first one.
#[test]
fn node_with_other_content_of_a_version_receives_the_whole_contract() {
    let mut world = SessionWorld::start_fleet_in(2, 4, contract(3, "/prices/"));
    let lost = Arc::new(contract(7, "/lost/"));
    let published = Arc::new(contract(7, "/published/"));
    for name in ["a", "b", "c"] {
        world.send_event(name, NodeEvent::FleetContract(Arc::clone(&published)));
    }
    world.send_event("d", NodeEvent::FleetContract(lost));
    world.run_for(PROPAGATION_LIMIT);
    let newest = contract(8, "/rates/");
    world.send_event("a", NodeEvent::FleetContract(Arc::new(newest.clone())));
    world.run_for(PROPAGATION_LIMIT);
    assert_eq!(
        applied_stamps(&world),
        BTreeSet::from([Some(newest.stamp())])
    );
}

// Guards against a node that is not served after it missed more versions than its peers keep.
#[test]
fn node_that_missed_many_versions_receives_the_newest() {
    let mut world = SessionWorld::start_fleet_in(2, 4, contract(3, "/prices/"));
    world.freeze(node("d"));
    for version in 4..=30 {
        let newest = Arc::new(contract(version, &format!("/rates-{version}/")));
        world.send_event("a", NodeEvent::FleetContract(newest));
        world.run_for(Duration::from_millis(100));
    }
    world.thaw(node("d"));
    world.run_for(PROPAGATION_LIMIT);
    let newest = contract(30, "/rates-30/").stamp();
    assert_eq!(applied_stamps(&world), BTreeSet::from([Some(newest)]));
}

// Guards against a rolling upgrade in which nodes of one build receive no contract from nodes of the
// other.
#[test]
fn contracts_pass_between_builds_with_and_without_patches() {
    let newest = contract(9, "/rates/");
    let mut world = fleet_with_contract_at_a(4, &newest);
    world.network.without_patches = ["a", "c"].map(node).into();
    // Nodes of the older build request JSON periodically.
    for (older, newer) in [("a", "b"), ("c", "d")] {
        let from = world.engines()[&node(older)].own_instance();
        let ask = ContractAsk::Fleet { newer_than: 3 };
        let message = PeerMessage::ContractPull { ask };
        world.send_event(newer, NodeEvent::PeerReceived { from, message });
    }
    world.run_for(PROPAGATION_LIMIT * 2);
    assert_eq!(
        applied_stamps(&world),
        BTreeSet::from([Some(newest.stamp())])
    );
}

// Guards against whole contracts as JSON, which fill thin links, from peers that all read patches. A
// node whose requests are lost asks again and again.
#[test]
fn json_is_not_requested_in_a_fleet_without_older_builds() {
    let mut world = SessionWorld::start_fleet_in(3, FLEET_SIZE, contract(3, "/prices/"));
    world.run_for(Duration::from_secs(4));
    let mut names = (0..FLEET_SIZE).map(name_of);
    let is_follower = |name: &String| world.followers.contains(&node(name));
    let unheard = names.find(|name| !is_follower(name)).expect("a node");
    for other in (0..FLEET_SIZE).map(name_of) {
        world.network.cuts.insert((node(&unheard), node(&other)));
    }
    let unheard = BTreeSet::from([unheard]);
    late_contracts(&mut world, &unheard, &unheard);
    assert_eq!(world.json_pulls, 0);
}
