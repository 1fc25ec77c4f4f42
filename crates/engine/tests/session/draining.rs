//! Nodes that leave: which requests they still accept, and how those end.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestId, RunState};
use sycamorelink_engine::{CallerRequest, EngineSettings, NodeEvent, RequestSummary};

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, caller_request, name_of, node};

const FLEET_SIZE: u8 = 3;
/// Time for which callers may not have moved to another node yet.
const SERVING: Duration = Duration::from_secs(1);
/// Time after which a leaving node stops.
const LIMIT: Duration = Duration::from_secs(4);
/// Time in which a refusal reaches its caller.
const AT_ONCE: Duration = Duration::from_millis(10);

fn leaves_soon(settings: &mut EngineSettings) {
    settings.leave_serving = SERVING;
    settings.leave_limit = LIMIT;
}

/// Starts a fleet whose backend servers run for `run_time`.
fn start_fleet(run_time: Duration) -> SessionWorld {
    let contract = contract(1, "/prices/");
    let mut world = SessionWorld::start_fleet_adjusted(FLEET_SIZE, contract, leaves_soon);
    for number in 0..FLEET_SIZE {
        let script = BackendScript {
            time: run_time,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name_of(number)), script);
    }
    world
}

/// Sends a booking whose caller waits for `time_left`.
fn book(world: &mut SessionWorld, name: &str, number: u128, time_left: Duration) {
    let caller = CallerRequest {
        time_left: Some(time_left),
        ..caller_request(number, "POST", "/bookings", None)
    };
    world.send_caller(name, caller);
}

fn answer(world: &SessionWorld, number: u128) -> RequestSummary {
    let (_, answer) = &world.answers[&RequestId(number)];
    answer.clone()
}

// Guards against a request that is taken shortly before its node stops and is cut off while a backend
// server runs it.
#[test]
fn request_that_may_outlive_its_node_is_refused_at_once() {
    let mut world = start_fleet(Duration::from_secs(2));
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(SERVING);
    book(&mut world, "a", 1, LIMIT);
    world.run_for(AT_ONCE);
    let refusal = answer(&world, 1).refusal.expect("refused");
    assert_eq!(refusal.code, RefusalCode::Draining);
    assert_eq!(refusal.run, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
    world.run_for(LIMIT);
    assert_eq!(world.runs.get(&RequestId(1)), None);
}

// Guards against refusing requests whose callers will not wait for longer than their node runs.
#[test]
fn request_that_ends_before_its_node_stops_is_served() {
    let mut world = start_fleet(Duration::from_millis(100));
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(SERVING + SERVING / 2);
    book(&mut world, "a", 1, Duration::from_millis(500));
    world.run_for(Duration::from_millis(500));
    assert_eq!(answer(&world, 1).status, Some(200));
}

// Guards against refusing the requests of callers that cannot know yet that their node leaves.
#[test]
fn likely_request_is_served_while_callers_move() {
    let mut world = start_fleet(Duration::from_millis(100));
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(SERVING / 2);
    book(&mut world, "a", 1, LIMIT);
    world.run_for(Duration::from_millis(500));
    assert_eq!(answer(&world, 1).status, Some(200));
}

// Guards against taking a request whose service needs longer than the node still runs.
#[test]
fn request_for_a_slow_service_is_refused_at_once() {
    let mut world = start_fleet(LIMIT);
    for number in 100..300 {
        book(&mut world, "a", number, Duration::from_secs(6));
        world.run_for(SERVING / 3);
    }
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(SERVING / 2);
    book(&mut world, "a", 1, Duration::from_secs(6));
    world.run_for(AT_ONCE);
    let refusal = answer(&world, 1).refusal.expect("refused");
    assert_eq!(refusal.code, RefusalCode::Draining);
    assert_eq!(refusal.retry_after, Some(SERVING / 2));
}

// Guards against a connection that closes without an answer when a request runs for too long.
#[test]
fn open_request_is_answered_before_its_node_stops() {
    let mut world = start_fleet(LIMIT * 2);
    book(&mut world, "a", 1, LIMIT * 2);
    world.run_for(AT_ONCE);
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(SERVING / 2);
    book(&mut world, "a", 2, LIMIT * 2);
    world.run_for(LIMIT.saturating_sub(SERVING / 2));
    for number in [1, 2] {
        let refusal = answer(&world, number).refusal.expect("refused");
        assert_eq!(refusal.code, RefusalCode::Draining);
        assert_eq!(refusal.run, RunState::Unknown);
    }
}

// Guards against work of another node that a leaving node takes and cannot finish: the outcome would
// be unknown, although another server could have run it.
#[test]
fn work_that_may_outlive_its_executor_runs_elsewhere() {
    let mut world = start_fleet(Duration::from_millis(100));
    world.network.gossip_lost = true;
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(SERVING);
    for number in 1..=20 {
        book(&mut world, "b", number, LIMIT);
    }
    world.run_for(LIMIT);
    let arrivals = world.arrivals.get(&node("a"));
    assert_eq!(arrivals.map_or(0, Vec::len), 0);
    for number in 1..=20 {
        assert_eq!(answer(&world, number).status, Some(200));
    }
}

// Guards against a node that stops while a caller still reads the reply to a request that has ended.
#[test]
fn node_stops_only_after_its_replies_are_written() {
    let mut world = start_fleet(Duration::from_millis(100));
    world.send_event("a", NodeEvent::DrainRequested);
    world.send_event("a", NodeEvent::OpenReplies { count: 1 });
    world.run_for(LIMIT);
    assert!(world.audit.drained.is_empty());
    world.send_event("a", NodeEvent::OpenReplies { count: 0 });
    world.run_for(Duration::from_millis(200));
    assert!(world.audit.drained.contains(&node("a")));
}
