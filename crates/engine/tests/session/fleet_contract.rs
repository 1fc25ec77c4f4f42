//! Sessions under a fleet contract. Requests have no keys, so whether a request has run is known
//! only from its executor.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{
    DetectionLeaning, FleetContract, FleetRoute, RepeatClass, RetryBudget, RoutePart,
};
use sycamorelink_core::{RequestId, ServiceName};
use sycamorelink_engine::{NodeEvent, UpstreamAnnouncement};
use sycamorelink_policy::UpstreamPhase;

use crate::world::{BackendScript, SessionWorld, name_of, node};

/// Time after which every session is idle.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Returns a contract with a route for idempotent requests below the path prefix `prices` and one
/// for bookings at all other paths.
pub fn contract(version: u64, prices: &str) -> FleetContract {
    let route = |name: &str, prefix: &str, repeat: RepeatClass| FleetRoute {
        name: Arc::from(name),
        host: Arc::from(""),
        prefix: Arc::from(prefix),
        repeat,
        deadline: Duration::from_secs(6),
        objective: Duration::from_secs(2),
        attempts: 2,
        priority: 5,
        parts: vec![RoutePart {
            service: ServiceName::new("orders"),
            weight: 1,
        }],
        public: false,
    };
    FleetContract {
        accounts: Vec::new(),
        version,
        services: vec![ServiceName::new("orders")],
        routes: vec![
            route("bookings", "/", RepeatClass::NonIdempotent),
            route("prices", prices, RepeatClass::Idempotent),
        ],
        retry_budget: RetryBudget::default(),
        retry_slack: 50,
        leaning: DetectionLeaning::Balanced,
    }
}

/// Returns a contract under which the whole fleet may make this many repeats in ten seconds.
pub fn contract_with_repeats(repeats: u32) -> FleetContract {
    FleetContract {
        retry_budget: RetryBudget {
            share: 0.0,
            min_per_second: 0.0,
        },
        retry_slack: repeats,
        ..contract(1, "/prices/")
    }
}

/// Makes the backend servers of these nodes answer every request with an error.
pub fn fail_backends_of(world: &mut SessionWorld, names: &[&str]) {
    for name in names {
        let script = BackendScript {
            status: 500,
            ..BackendScript::default()
        };
        world.scripts.insert(node(name), script);
    }
}

/// Returns the number of trace lines that contain all of these strings.
fn count_trace_lines(world: &SessionWorld, words: &[&str]) -> usize {
    let trace = world.trace();
    let with = |line: &&str| words.iter().all(|word| line.contains(word));
    trace.lines().filter(with).count()
}

/// Starts a fleet in which `a` has no backend server and `count` other nodes have one each.
fn fleet_with_empty_node(count: u8) -> SessionWorld {
    fleet_with_empty_node_under(count, contract(1, "/prices/"))
}

fn fleet_with_empty_node_under(count: u8, contract: FleetContract) -> SessionWorld {
    let mut world = SessionWorld::start_fleet(count + 1, contract);
    let gone = NodeEvent::UpstreamWithdrawn {
        slot: 0,
        life: None,
    };
    world.send_event("a", gone);
    world.run_for(IDLE_TIME);
    world
}

/// Sends a booking through `a` while these directed links are cut for a second.
fn book_during_cuts(world: &mut SessionWorld, cuts: &[(&str, &str)]) {
    for (from, to) in cuts {
        world.network.cuts.insert((node(from), node(to)));
    }
    world.call("a", 1, "POST", "/bookings", None);
    world.run_for(Duration::from_secs(1));
    world.network.cuts.clear();
    world.run_for(IDLE_TIME);
}

// The connection that carries a booking to its executor is cut. After the link recovers, the
// connection counts as lost and the executor confirms that the booking did not start. It runs once,
// at another server.
#[test]
fn lost_booking_runs_once() {
    let mut world = fleet_with_empty_node(2);
    book_during_cuts(&mut world, &[("a", "b"), ("a", "c")]);
    assert_eq!(world.runs.get(&RequestId(1)), Some(&1));
    insta::assert_snapshot!(world.trace());
}

// A booking runs and its reply is lost. The executor reports that it started the booking, so the
// caller is informed that the booking may have run, and it does not run again.
#[test]
fn booking_with_lost_reply_does_not_run_again() {
    let mut world = fleet_with_empty_node(1);
    book_during_cuts(&mut world, &[("b", "a")]);
    assert_eq!(world.runs.get(&RequestId(1)), Some(&1));
    insta::assert_snapshot!(world.trace());
}

// The executor cannot be asked whether it started the booking. The caller is informed promptly that
// the booking may have run.
#[test]
fn booking_at_unreachable_executor_has_unknown_outcome() {
    let mut world = fleet_with_empty_node(1);
    world.network.cuts.insert((node("a"), node("b")));
    world.call("a", 1, "POST", "/bookings", None);
    world.run_for(IDLE_TIME);
    assert_eq!(world.runs.get(&RequestId(1)), None);
    insta::assert_snapshot!(world.trace());
}

// Only one node receives a newer contract from the source, as when the source refuses the others.
// The others pull it from that node, and none returns to an older contract that arrives late.
#[test]
fn newer_contract_reaches_every_node_and_is_not_downgraded() {
    let mut world = SessionWorld::start_fleet(4, contract(3, "/prices/"));
    let newer = Arc::new(contract(7, "/rates/"));
    world.send_event("b", NodeEvent::FleetContract(newer));
    world.run_for(Duration::from_secs(2));
    for name in ["a", "b", "c", "d"] {
        assert_eq!(world.engines()[&node(name)].fleet_version(), 7, "{name}");
    }
    let older = Arc::new(contract(5, "/old/"));
    world.send_event("c", NodeEvent::FleetContract(older));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.engines()[&node("c")].fleet_version(), 7);
}

// One node cannot reach the publisher of a newer contract and learns of the version from the other
// nodes. The node pulls the contract from them.
#[test]
fn contract_of_unreachable_publisher_is_pulled_from_others() {
    let mut world = SessionWorld::start_fleet(4, contract(3, "/prices/"));
    world.network.cuts.insert((node("b"), node("d")));
    world.network.cuts.insert((node("d"), node("b")));
    let newer = Arc::new(contract(7, "/rates/"));
    world.send_event("b", NodeEvent::FleetContract(newer));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.engines()[&node("d")].fleet_version(), 7);
}

// All backend servers fail, and the fleet of twelve may make six repeats, half a repeat per node.
// Guards against a division of the bound in which no node ever has a whole repeat left.
#[test]
fn fractional_repeat_budgets_add_up_to_the_bound() {
    let nodes: Vec<String> = (0..12).map(name_of).collect();
    let names: Vec<&str> = nodes.iter().map(String::as_str).collect();
    let mut world = SessionWorld::start_fleet(12, contract_with_repeats(6));
    world.run_for(IDLE_TIME);
    fail_backends_of(&mut world, &names);
    for (name, number) in names.iter().zip(1..) {
        world.call(name, number, "GET", "/prices/a", None);
        world.run_for(Duration::from_millis(100));
    }
    let arrivals: usize = world.runs.values().map(|runs| *runs as usize).sum();
    let repeats = arrivals - nodes.len();
    assert!((3..=9).contains(&repeats), "{repeats} repeats");
}

// A node drains while its callers, once refused, retry every tenth of a second. Guards against
// refused callers that keep the node from finishing the drain.
#[test]
fn refused_callers_do_not_delay_a_drain() {
    let mut world = fleet_with_empty_node(2);
    world.send_event("a", NodeEvent::DrainRequested);
    for number in 1..=70 {
        world.call("a", number, "GET", "/prices/a", None);
        world.run_for(Duration::from_millis(100));
    }
    assert_eq!(count_trace_lines(&world, &["a -> drained"]), 1);
}

/// Starts a fleet whose backend server at `a` hangs after 120 such calls were made.
fn fleet_with_hanging_server(method: &str, target: &str) -> SessionWorld {
    let mut world = SessionWorld::start_fleet(4, contract(1, "/prices/"));
    for number in 1..=120 {
        world.call("a", number, method, target, None);
        world.run_for(Duration::from_millis(30));
    }
    let hangs = BackendScript {
        time: Duration::from_mins(1),
        ..BackendScript::default()
    };
    world.scripts.insert(node("a"), hangs);
    world
}

// The local backend server of the callers' node stops answering. Guards against price requests that
// wait there until their deadline: the executor detects the fault by the age of its runs, and the
// callers' nodes send the waiting requests elsewhere.
#[test]
fn prices_at_a_hanging_server_are_answered_elsewhere() {
    let mut world = fleet_with_hanging_server("GET", "/prices/a");
    for number in 121..=180 {
        world.call("a", number, "GET", "/prices/a", None);
        world.run_for(Duration::from_millis(30));
    }
    world.run_for(Duration::from_secs(7));
    let late = count_trace_lines(&world, &["deadline-exceeded"]);
    assert_eq!(late, 0, "{late} prices were not answered");
    assert!(
        world.runs.values().any(|runs| *runs > 1),
        "none was repeated"
    );
}

// The local backend server hangs while it receives bookings, which must not run twice. Bookings
// that reach it before the detection are lost; later ones go to other servers, and none runs a
// second time.
#[test]
fn bookings_avoid_a_hanging_server() {
    let mut world = fleet_with_hanging_server("POST", "/bookings");
    for number in 121..=160 {
        world.call("a", number, "POST", "/bookings", None);
        world.run_for(Duration::from_millis(250));
    }
    world.run_for(Duration::from_secs(7));
    let lost = count_trace_lines(&world, &["deadline-exceeded"]);
    assert!(lost <= 4, "{lost} bookings of 40 were lost");
    assert!(world.runs.values().all(|runs| *runs <= 1));
}

// The local backend server keeps hanging and receives a price request as a trial every other
// second. Its state does not change, so nothing is announced, but the executor reports the late run
// and the caller is answered by another server.
#[test]
fn trial_prices_at_a_hanging_server_are_answered_elsewhere() {
    let mut world = fleet_with_hanging_server("GET", "/prices/a");
    for number in 121..=320 {
        world.call("a", number, "GET", "/prices/a", None);
        world.run_for(Duration::from_millis(100));
    }
    world.run_for(Duration::from_secs(7));
    let late = count_trace_lines(&world, &["deadline-exceeded"]);
    assert_eq!(late, 0, "{late} prices were not answered");
    let repeated = world.runs.values().filter(|runs| **runs > 1).count();
    assert!(repeated >= 5, "{repeated} were tried there");
}

/// Returns a contract with a second service, `files`, that allows each service this many repeats in
/// ten seconds.
fn contract_with_files(repeats: u32) -> FleetContract {
    let files = ServiceName::new("files");
    let mut contract = contract_with_repeats(repeats);
    let mut route = contract.routes[1].clone();
    route.name = Arc::from("files");
    route.prefix = Arc::from("/files/");
    route.parts[0].service = files.clone();
    contract.routes.push(route);
    contract.services.push(files);
    contract
}

/// Replaces the local backend server of a node by one of the service `files`.
fn replace_by_files_server(world: &mut SessionWorld, name: &str) {
    let gone = NodeEvent::UpstreamWithdrawn {
        slot: 0,
        life: None,
    };
    world.send_event(name, gone);
    let announced = UpstreamAnnouncement {
        slot: 0,
        service: ServiceName::new("files"),
        slots: 5,
        phase: UpstreamPhase::Ready,
        life: None,
        warm_up: None,
    };
    world.send_event(name, NodeEvent::UpstreamAnnounced(announced));
}

/// Returns how often a request to `files` runs when it fails, after a price request that ran at `b`
/// made eight calls to `files`. The price request is sent to `a` and is a repeat at `b` if the
/// server at `a` fails it first.
fn count_runs_after_calls(price_is_repeated: bool) -> u32 {
    let world = SessionWorld::start_fleet(4, contract_with_files(12));
    count_runs_after_calls_in(world, price_is_repeated)
}

fn count_runs_after_calls_in(mut world: SessionWorld, price_is_repeated: bool) -> u32 {
    replace_by_files_server(&mut world, "c");
    replace_by_files_server(&mut world, "d");
    world.run_for(IDLE_TIME);
    let slow = BackendScript {
        time: Duration::from_secs(4),
        ..BackendScript::default()
    };
    world.scripts.insert(node("b"), slow);
    let first = if price_is_repeated { "a" } else { "b" };
    fail_backends_of(&mut world, &["a"]);
    world.call(first, 1, "GET", "/prices/a", None);
    world.run_for(Duration::from_millis(300));
    for number in 2..=25 {
        world.call("b", number, "GET", "/files/a", None);
        world.run_for(Duration::from_millis(100));
    }
    fail_backends_of(&mut world, &["c", "d"]);
    world.call("a", 100, "GET", "/files/a", None);
    world.run_for(Duration::from_secs(2));
    world.runs.get(&RequestId(100)).copied().unwrap_or_default()
}

// A price request fails, is repeated elsewhere, and the second run calls another service. Those
// calls count as repeats at the called service and use up its bound, so later failures there are
// not repeated. Calls of a first run do not count.
#[test]
fn calls_of_a_repeated_run_count_as_repeats_of_the_called_service() {
    assert_eq!(count_runs_after_calls(true), 1);
    assert_eq!(count_runs_after_calls(false), 2);
}

// The same where servers lend each other repeats. Guards against loans that hide the calls of a
// repeated run from the bound of the called service.
#[test]
fn calls_of_a_repeated_run_count_as_repeats_where_servers_lend_them() {
    for (price_is_repeated, runs) in [(true, 1), (false, 2)] {
        let objective = Some(Duration::from_secs(2));
        let contract = contract_with_files(12);
        let mut world = SessionWorld::start_fleet_with_loans(4, contract, objective, &[]);
        // The parts of the bound count from eleven seconds after the start.
        world.run_for(Duration::from_secs(20));
        assert_eq!(count_runs_after_calls_in(world, price_is_repeated), runs);
    }
}

/// Returns the failure domain, out of three, of the node with this name.
fn domain_of_three(name: &str) -> u8 {
    (name.as_bytes()[0] - b'a') % 3
}

/// Returns the number of followers in each of three failure domains.
fn followers_by_domain(world: &SessionWorld) -> [usize; 3] {
    let mut counts = [0; 3];
    for number in 0..24 {
        let name = name_of(number);
        let follows = world.followers.contains(&node(&name));
        counts[usize::from(domain_of_three(&name))] += usize::from(follows);
    }
    counts
}

/// Delivers a contract from the source to all its followers at the same time.
fn deliver_to_followers(world: &mut SessionWorld, version: u64) {
    let newer = Arc::new(contract(version, "/rates/"));
    let followers = world.followers.clone();
    for name in (0..48).map(name_of) {
        if followers.contains(&node(&name)) {
            world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&newer)));
        }
    }
}

// Twenty-four nodes read contracts from a service that bills each call. Three nodes of each failure
// domain follow it. After all three followers of one domain end, other nodes replace them, and a
// contract that only the followers receive is in force everywhere.
#[test]
fn few_nodes_of_each_failure_domain_follow_the_source() {
    let mut world = SessionWorld::start_fleet_in(3, 24, contract(3, "/prices/"));
    world.run_for(IDLE_TIME);
    assert_eq!(followers_by_domain(&world), [3, 3, 3]);
    let ended: Vec<String> = (0..24)
        .map(name_of)
        .filter(|name| domain_of_three(name) == 0 && world.followers.contains(&node(name)))
        .collect();
    for name in &ended {
        world.kill(name);
    }
    world.run_for(Duration::from_secs(20));
    assert_eq!(followers_by_domain(&world), [3, 3, 3]);
    deliver_to_followers(&mut world, 7);
    world.run_for(Duration::from_secs(2));
    let engines = world.engines();
    assert!(engines.values().all(|engine| engine.fleet_version() == 7));
}

// Forty-eight nodes in three failure domains, of which nine follow the source and receive a
// contract at the same time. Guards against the first announcer sending a contract of many KB to
// the other thirty-nine over one slow link: the pulls must be spread over the followers.
#[test]
fn contract_pulls_are_spread_over_the_followers() {
    let mut world = SessionWorld::start_fleet_in(3, 48, contract(3, "/prices/"));
    world.run_for(IDLE_TIME);
    world.pulls.clear();
    deliver_to_followers(&mut world, 7);
    world.run_for(Duration::from_millis(500));
    let engines = world.engines();
    assert!(engines.values().all(|engine| engine.fleet_version() == 7));
    let most = world.pulls.values().copied().max().unwrap_or_default();
    assert!(most <= 12, "one node was asked {most} times");
}

// Guards against contracts that depend on gossip, which is seconds late while a large part of the
// fleet restarts; here all gossip is lost. The followers announce a contract in their failure
// domain, and it is in force everywhere within a second.
#[test]
fn contract_spreads_without_gossip() {
    let mut world = SessionWorld::start_fleet_in(3, 24, contract(3, "/prices/"));
    world.run_for(IDLE_TIME);
    world.network.gossip_lost = true;
    deliver_to_followers(&mut world, 7);
    world.run_for(Duration::from_secs(1));
    let engines = world.engines();
    assert!(engines.values().all(|engine| engine.fleet_version() == 7));
}

// The nodes learn of a version that no peer can send. After a second they follow the source
// themselves.
#[test]
fn version_missing_at_all_peers_is_read_from_the_source() {
    let mut world = SessionWorld::start_fleet_in(1, 14, contract(3, "/prices/"));
    world.run_for(IDLE_TIME);
    let before = world.followers.len();
    for number in (0..14).filter(|number| *number != 1) {
        for other in 0..14 {
            let link = (node(&name_of(number)), node(&name_of(other)));
            world.network.cuts.insert(link);
        }
    }
    world.send_event(
        "b",
        NodeEvent::FleetContract(Arc::new(contract(7, "/rates/"))),
    );
    world.run_for(Duration::from_millis(700));
    world.kill("b");
    world.run_for(Duration::from_secs(2));
    assert!(
        world.followers.len() > before,
        "{} follow, {before} before",
        world.followers.len()
    );
}

// A node receives neither announcements of its followers nor gossip, as before other nodes know it.
// The node checks for a newer contract every second and receives it.
#[test]
fn unannounced_contract_is_found_by_periodic_check() {
    let mut world = SessionWorld::start_fleet_in(1, 14, contract(3, "/prices/"));
    world.run_for(IDLE_TIME);
    let unreached = (0..14)
        .map(name_of)
        .find(|name| !world.followers.contains(&node(name)))
        .expect("not all follow");
    world.network.gossip_lost = true;
    for id in world.followers.clone() {
        world.network.cuts.insert((id, node(&unreached)));
    }
    deliver_to_followers(&mut world, 7);
    world.run_for(Duration::from_millis(50));
    world.network.cuts.clear();
    world.run_for(Duration::from_millis(1500));
    let version = world.engines()[&node(&unreached)].fleet_version();
    assert_eq!(version, 7);
}

// The followers of a failure domain are dead but not yet detected as such, and all gossip is lost.
// The remaining nodes of the domain receive a newer contract from nodes of other domains.
#[test]
fn node_with_dead_followers_pulls_from_other_domains() {
    let mut world = SessionWorld::start_fleet_in(3, 48, contract(3, "/prices/"));
    world.run_for(IDLE_TIME);
    world.network.gossip_lost = true;
    let name_of_node = |id| (0..48).map(name_of).find(|name| node(name) == id);
    let followers = world.followers.clone();
    let followers = followers.into_iter().filter_map(name_of_node);
    let (lost, left): (Vec<String>, Vec<String>) =
        followers.partition(|name| domain_of_three(name) == 0);
    for name in &lost {
        world.kill(name);
    }
    let newer = Arc::new(contract(7, "/rates/"));
    for name in &left {
        world.send_event(name, NodeEvent::FleetContract(Arc::clone(&newer)));
    }
    world.run_for(Duration::from_millis(2500));
    let engines = world.engines();
    let behind = engines.values().filter(|node| node.fleet_version() < 7);
    assert_eq!(behind.count(), 0);
}

// Guards against every node of a starting fleet calling the source before its contract is
// published.
#[test]
fn few_nodes_of_a_starting_fleet_poll_for_a_missing_contract() {
    let mut world = SessionWorld::start_fleet_first(3, 48);
    let mut most = 0;
    for _ in 0..100 {
        world.run_for(Duration::from_millis(100));
        most = most.max(world.followers.len());
    }
    assert!((1..=15).contains(&most), "{most} of 48 followed the source");
    deliver_to_followers(&mut world, 7);
    world.run_for(Duration::from_secs(1));
    let engines = world.engines();
    assert!(engines.values().all(|engine| engine.fleet_version() == 7));
}
