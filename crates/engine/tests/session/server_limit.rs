//! Backend servers that limit the requests that they get.

use std::time::Duration;

use sycamorelink_core::RequestId;
use sycamorelink_engine::{LimitNotice, ServerNotice};
use sycamorelink_policy::UpstreamPhase;

use crate::fleet_contract::{contract, fail_backends_of};
use crate::world::{BackendScript, SessionWorld, name_of, node};

const FLEET_SIZE: u8 = 4;
/// Time between two requests to the fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Window in which a limited server may get [`allowed`] requests.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time from the first naming of a limit until it is checked.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Limit that the tests use, in requests per second.
const LIMIT_RATE: f64 = 2.0;

/// Returns the greatest number of requests in a window that a limit allows.
fn allowed(rate: f64) -> f64 {
    rate * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// Sets what the backend server of a node reports in its replies.
fn set_limit(world: &mut SessionWorld, name: &str, limit: LimitNotice) {
    let script = BackendScript {
        notice: ServerNotice {
            limit,
            leaving: false,
        },
        ..BackendScript::default()
    };
    world.scripts.insert(node(name), script);
}

fn limited_fleet(limit: LimitNotice) -> SessionWorld {
    let mut world = SessionWorld::start_fleet_in(2, FLEET_SIZE, contract(3, "/prices/"));
    set_limit(&mut world, "a", limit);
    world
}

/// Sends one request through the node whose turn it is.
fn send_request(world: &mut SessionWorld, number: u128) {
    let ingress = name_of(u8::try_from(number % u128::from(FLEET_SIZE)).unwrap_or(0));
    world.call(&ingress, number, "GET", "/prices/1", None);
}

/// Sends requests through all nodes in turn.
fn send_requests(world: &mut SessionWorld, first: u128, time: Duration) -> u128 {
    let until = world.now() + time;
    let mut number = first;
    while world.now() < until {
        send_request(world, number);
        world.run_for(REQUEST_INTERVAL);
        number += 1;
    }
    world.run_for(SETTLE_TIME);
    number
}

/// Returns the greatest number of requests that a node's backend server got in any window after a
/// time.
fn max_arrivals(world: &SessionWorld, name: &str, after: Duration) -> f64 {
    let arrivals = world.arrivals.get(&node(name)).cloned().unwrap_or_default();
    let starts = arrivals.iter().filter(|at| **at >= after);
    let counts = starts.map(|start| {
        let window = *start..*start + LIMIT_WINDOW;
        let count = arrivals.iter().filter(|at| window.contains(*at)).count();
        f64::from(u32::try_from(count).unwrap_or(u32::MAX))
    });
    counts.reduce(f64::max).unwrap_or(0.0)
}

// Guards against a backend server that gets more requests than the limit that it names.
#[test]
fn limited_server_gets_no_more_than_it_names() {
    let mut world = limited_fleet(LimitNotice::Rate(LIMIT_RATE));
    let named_at = world.now();
    let end = send_requests(&mut world, 1, Duration::from_secs(15));
    let most = max_arrivals(&world, "a", named_at + SETTLE_TIME);
    assert!(most <= allowed(LIMIT_RATE), "{most} requests");
    let unserved: Vec<u128> = (1..end)
        .filter(|number| world.runs.get(&RequestId(*number)) != Some(&1))
        .collect();
    assert!(unserved.is_empty(), "{unserved:?}");
}

// Guards against a burst when a limit changes, and against a limit that stays after its end.
#[test]
fn changed_limits_hold_and_ended_ones_do_not() {
    let mut world = limited_fleet(LimitNotice::Rate(8.0));
    let mut next = send_requests(&mut world, 1, Duration::from_secs(6));
    set_limit(&mut world, "a", LimitNotice::Rate(LIMIT_RATE));
    let lowered_at = world.now();
    next = send_requests(&mut world, next, Duration::from_secs(10));
    let most = max_arrivals(&world, "a", lowered_at + SETTLE_TIME);
    assert!(most <= allowed(LIMIT_RATE), "{most} requests");
    set_limit(&mut world, "a", LimitNotice::Absent);
    let ended_at = world.now();
    send_requests(&mut world, next, Duration::from_secs(10));
    let most = max_arrivals(&world, "a", ended_at + SETTLE_TIME);
    assert!(most > allowed(LIMIT_RATE), "{most} requests");
}

// Guards against a server that takes no requests for the moment and is then never asked again.
#[test]
fn server_with_a_limit_of_zero_is_asked_now_and_then() {
    let mut world = limited_fleet(LimitNotice::Rate(0.0));
    let named_at = world.now();
    let next = send_requests(&mut world, 1, Duration::from_secs(15));
    let most = max_arrivals(&world, "a", named_at + SETTLE_TIME);
    assert!((1.0..=allowed(0.0)).contains(&most), "{most} requests");
    set_limit(&mut world, "a", LimitNotice::Absent);
    world.run_for(SETTLE_TIME);
    let ended_at = world.now();
    send_requests(&mut world, next, Duration::from_secs(15));
    let most = max_arrivals(&world, "a", ended_at);
    assert!(most > allowed(LIMIT_RATE), "{most} requests");
}

// Guards against a limit that ends because one answer names something that cannot be read.
#[test]
fn unreadable_limit_does_not_end_the_one_in_force() {
    let mut world = limited_fleet(LimitNotice::Rate(LIMIT_RATE));
    let next = send_requests(&mut world, 1, Duration::from_secs(2));
    set_limit(&mut world, "a", LimitNotice::Malformed);
    let changed_at = world.now();
    send_requests(&mut world, next, Duration::from_secs(10));
    let most = max_arrivals(&world, "a", changed_at);
    assert!(most <= allowed(LIMIT_RATE), "{most} requests");
}

// Guards against repeats that reach a limited server beyond its limit.
#[test]
fn repeats_count_towards_the_limit() {
    let mut world = limited_fleet(LimitNotice::Rate(LIMIT_RATE));
    fail_backends_of(&mut world, &["b", "c", "d"]);
    let named_at = world.now();
    send_requests(&mut world, 1, Duration::from_secs(15));
    let most = max_arrivals(&world, "a", named_at + SETTLE_TIME);
    assert!(most <= allowed(LIMIT_RATE), "{most} requests");
}

// Guards against requests that wait for a permit until their deadline when no server can take them.
#[test]
fn requests_beyond_all_limits_are_refused_at_once() {
    let mut world = SessionWorld::start_fleet_in(2, FLEET_SIZE, contract(3, "/prices/"));
    for name in (0..FLEET_SIZE).map(name_of) {
        set_limit(&mut world, &name, LimitNotice::Rate(1.0));
    }
    let end = send_requests(&mut world, 1, Duration::from_secs(10));
    let last = format!(" {}", end - 1);
    let trace = world.trace();
    let lines: Vec<&str> = trace.lines().filter(|line| line.contains(&last)).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a burst after the daemon beside a limited server restarts, since the other nodes
// keep sending at their pace.
#[test]
fn limit_is_known_to_the_next_incarnation_of_the_daemon() {
    let mut world = limited_fleet(LimitNotice::Rate(LIMIT_RATE));
    world.announce_life("a", "server-a", 1);
    let next = send_requests(&mut world, 1, Duration::from_secs(6));
    let restarted_at = world.now();
    world.kill("a");
    world.run_for(Duration::from_millis(500));
    world.start_node(0, 2);
    world.run_for(Duration::from_millis(100));
    world.announce_life("a", "server-a", 2);
    world.run_for(Duration::from_millis(600));
    // The first answer takes long, so that it does not name the limit in time.
    let script = BackendScript {
        time: Duration::from_secs(1),
        ..world.scripts[&node("a")]
    };
    world.scripts.insert(node("a"), script);
    send_requests(&mut world, next, Duration::from_secs(6));
    let arrivals = &world.arrivals[&node("a")];
    let after = arrivals.iter().filter(|at| **at >= restarted_at).count();
    assert!(after > 0, "the server gets requests again");
    let most = max_arrivals(&world, "a", restarted_at);
    let limit = LIMIT_RATE * LIMIT_WINDOW.as_secs_f64() + 2.0;
    assert!(most <= limit, "{most} requests");
}

// Guards against a burst after a late announcement of a crashed incarnation had taken the place of a
// limited server.
#[test]
fn limit_outlives_a_late_announcement_of_an_earlier_incarnation() {
    let mut world = limited_fleet(LimitNotice::Rate(LIMIT_RATE));
    world.announce_life("a", "server-a", 1);
    let next = send_requests(&mut world, 1, Duration::from_secs(6));
    world.announce_life("a", "server-a", 2);
    world.announce_life("a", "crashed", 7);
    let displaced_at = world.now();
    for order in 3..5 {
        world.run_for(Duration::from_millis(600));
        world.announce_life("a", "server-a", order);
    }
    // The first answer takes long, so that it does not name the limit in time.
    let script = BackendScript {
        time: Duration::from_secs(1),
        ..world.scripts[&node("a")]
    };
    world.scripts.insert(node("a"), script);
    send_requests(&mut world, next, Duration::from_secs(2));
    let most = max_arrivals(&world, "a", displaced_at);
    let limit = LIMIT_RATE * LIMIT_WINDOW.as_secs_f64() + 2.0;
    assert!(most > 0.0, "the server gets requests again");
    assert!(most <= limit, "{most} requests");
}

// Guards against slots that are never freed: work that waited when its server first named a limit
// was refused, and later the gate gave it a slot.
#[test]
fn refused_work_gets_no_slot_after_a_first_limit() {
    let mut world = limited_fleet(LimitNotice::Rate(20.0));
    for number in 1..=60 {
        send_request(&mut world, number);
    }
    world.run_for(SETTLE_TIME);
    set_limit(&mut world, "a", LimitNotice::Absent);
    send_requests(&mut world, 61, SETTLE_TIME);
    let load = world.engines()[&node("a")].load_of(0);
    assert_eq!((load.in_use, load.queued), (0, 0));
}

// Guards against a leaving server that never becomes idle: work that waited when the server started
// to leave was refused, and the gate gave it the slots of work that ended.
#[test]
fn refused_work_gets_no_slot_of_a_leaving_server() {
    let mut contract = contract(3, "/prices/");
    for route in &mut contract.routes {
        route.objective = route.deadline;
    }
    let mut world = SessionWorld::start_fleet_in(2, FLEET_SIZE, contract);
    let script = BackendScript {
        time: SETTLE_TIME,
        ..BackendScript::default()
    };
    world.scripts.insert(node("a"), script);
    for number in 1..=60 {
        send_request(&mut world, number);
    }
    world.run_for(REQUEST_INTERVAL);
    let load = world.engines()[&node("a")].load_of(0);
    assert!(load.queued > 0, "work waits");
    world.announce(node("a"), UpstreamPhase::Leaving);
    world.run_for(SETTLE_TIME * 2);
    let load = world.engines()[&node("a")].load_of(0);
    assert_eq!((load.in_use, load.queued), (0, 0));
}
