//! Overload control: work that waits beside the backend servers by objective and deadline.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::FleetContract;
use sycamorelink_core::{RequestId, RunState};
use sycamorelink_engine::{AttemptReport, NodeEvent};
use sycamorelink_limits::{OverloadSettings, QueueCount};
use sycamorelink_policy::{PolicyMechanism, SampleKind};

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, name_of, node};

const FLEET_SIZE: u8 = 3;
/// Slots of each backend server.
const SLOTS: usize = 5;
const RUN_TIME: Duration = Duration::from_millis(500);
/// Objective and deadline of all routes in the contracts under which work is queued.
const OBJECTIVE: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(8);
/// Time after which every session is idle.
const IDLE_TIME: Duration = Duration::from_secs(10);

fn contract_with_objective(version: u64, objective: Duration) -> FleetContract {
    let mut contract = contract(version, "/prices/");
    for route in &mut contract.routes {
        route.objective = objective;
        route.deadline = DEADLINE;
    }
    contract
}

fn overload_from(objective: Option<Duration>) -> OverloadSettings {
    OverloadSettings {
        objective_from: objective,
        ..OverloadSettings::default()
    }
}

fn fleet_with(objective_from: Option<Duration>, off: &[PolicyMechanism]) -> SessionWorld {
    let contract = contract_with_objective(1, OBJECTIVE);
    let overload = overload_from(objective_from);
    let mut world = SessionWorld::start_fleet_with_overload(FLEET_SIZE, contract, overload, off);
    set_run_time(&mut world, RUN_TIME);
    world
}

fn set_run_time(world: &mut SessionWorld, time: Duration) {
    for name in (0..FLEET_SIZE).map(name_of) {
        let script = BackendScript {
            time,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name), script);
    }
}

/// Lets the gates learn the run time, with few requests.
fn warm_up(world: &mut SessionWorld) -> u128 {
    for number in 1..=60 {
        send(world, number);
        world.run_for(Duration::from_millis(50));
    }
    world.run_for(Duration::from_secs(2));
    61
}

fn send(world: &mut SessionWorld, number: u128) {
    let ingress = name_of(u8::try_from(number % u128::from(FLEET_SIZE)).unwrap_or(0));
    world.call(&ingress, number, "POST", "/bookings", None);
}

/// Sends more requests at once than the backend servers have slots, all of which can be served in
/// time, and returns the number of the next request.
fn send_burst(world: &mut SessionWorld, first: u128, count: u128) -> u128 {
    for number in first..first + count {
        send(world, number);
        world.run_for(Duration::from_millis(1));
    }
    world.run_for(Duration::from_millis(50));
    first + count
}

fn queue_count(world: &SessionWorld, name: &str) -> QueueCount {
    let counts = world.engines()[&node(name)].queue_counts();
    counts.first().map_or(QueueCount::default(), |(_, c)| *c)
}

fn waiting(world: &SessionWorld, name: &str) -> u32 {
    let count = queue_count(world, name);
    count.in_time + count.late
}

/// Returns the number of slots in use beside each node.
fn loads(world: &SessionWorld) -> Vec<u16> {
    let engines = world.engines().values();
    engines.map(|engine| engine.load_of(0).in_use).collect()
}

fn count_trace_lines(world: &SessionWorld, words: &[&str]) -> usize {
    let trace = world.trace();
    let with = |line: &&str| words.iter().all(|word| line.contains(word));
    trace.lines().filter(with).count()
}

/// Asserts that each of these requests ran exactly once.
fn assert_ran_once(world: &SessionWorld, first: u128, end: u128) {
    let runs = |number| world.runs.get(&RequestId(number)).copied().unwrap_or(0);
    let wrong: Vec<(u128, u32)> = (first..end)
        .map(|number| (number, runs(number)))
        .filter(|(_, runs)| *runs != 1)
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Returns the greatest number of concurrent runs at a node's backend server.
fn max_concurrency(world: &SessionWorld, name: &str) -> usize {
    let starts = world.arrivals.get(&node(name)).cloned().unwrap_or_default();
    let running = |at: &Duration| {
        let since = starts.iter().filter(|start| **start <= *at);
        since.filter(|start| **start + RUN_TIME > *at).count()
    };
    starts.iter().map(running).max().unwrap_or(0)
}

fn trace_of_burst(mut world: SessionWorld) -> String {
    let first = warm_up(&mut world);
    send_burst(&mut world, first, 150);
    world.run_for(IDLE_TIME);
    world.trace()
}

// Guards against overload control that takes effect in a fleet that did not ask for it: without
// `objective_from`, with shorter objectives, or with the mechanism switched off.
#[test]
fn nothing_changes_where_overload_control_is_off() {
    let without = trace_of_burst(fleet_with(None, &[]));
    let longer = OBJECTIVE + Duration::from_millis(1);
    assert_eq!(trace_of_burst(fleet_with(Some(longer), &[])), without);
    let off = [
        PolicyMechanism::DeadlineQueue,
        PolicyMechanism::CapacityReports,
        PolicyMechanism::RepeatLoans,
        PolicyMechanism::CallerQueue,
        PolicyMechanism::AdaptiveConcurrency,
        PolicyMechanism::FairQueueing,
        PolicyMechanism::PacedReturns,
        PolicyMechanism::DomainSpillover,
    ];
    assert_eq!(trace_of_burst(fleet_with(Some(OBJECTIVE), &off)), without);
    assert!(without.contains("refuse work overloaded"));
    assert_ne!(trace_of_burst(fleet_with(Some(OBJECTIVE), &[])), without);
}

// Guards against refusals of callers who can wait: a burst of four times the slots is served within
// 2 s of the 4 s that the callers allow, although the older bound on the start of a run is 2.4 s and
// the older queue delay is 100 ms.
#[test]
fn burst_waits_instead_of_being_refused() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let first = warm_up(&mut world);
    let end = send_burst(&mut world, first, 60);
    let queued: u32 = (0..FLEET_SIZE).map(|n| waiting(&world, &name_of(n))).sum();
    assert_eq!(queued, 45);
    world.run_for(Duration::from_secs(3));
    assert_ran_once(&world, first, end);
    assert_eq!(count_trace_lines(&world, &["refuse"]), 0);
}

// Guards against the older bound of 2.4 s on the start of a run, which would refuse work that can
// still meet its objective of 4 s: the sixth round of runs starts after 2.5 s.
#[test]
fn objective_replaces_the_bound_on_the_start_of_a_run() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let first = warm_up(&mut world);
    let started = world.now();
    let end = send_burst(&mut world, first, 90);
    world.run_for(IDLE_TIME);
    assert_ran_once(&world, first, end);
    let last = world.arrivals.values().flatten().max().copied();
    let last = last.expect("requests ran");
    assert!(last > started + Duration::from_millis(2_400), "{last:?}");
}

// Guards against work that waits beside a backend server that stopped answering until the end of its
// time. The work is refused as not run and runs once, at another server.
#[test]
fn work_queued_beside_a_suspect_server_runs_elsewhere() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let first = warm_up(&mut world);
    let hangs = BackendScript {
        time: Duration::from_mins(1),
        ..BackendScript::default()
    };
    world.scripts.insert(node("b"), hangs);
    send_burst(&mut world, first, 45);
    let queued = waiting(&world, "b");
    assert!(queued > 0, "work waits at b");
    world.run_for(Duration::from_secs(3));
    let moved = count_trace_lines(&world, &["b -> refuse work upstream-suspect run=not-run"]);
    assert!(moved >= queued as usize, "{moved} of {queued}");
    assert_eq!(waiting(&world, "b"), 0);
    world.run_for(IDLE_TIME);
    let hanging = world.arrivals[&node("b")].len();
    assert!(hanging > 0);
    let end = first + 45;
    assert_ran_once(&world, first, end);
    assert_eq!(
        count_trace_lines(&world, &["-> refuse ", "run=not-run"]),
        moved
    );
}

// Guards against work that waits beside a daemon that leaves, until the daemon is gone. The work is
// refused as not run at once and runs once, at another server.
#[test]
fn work_queued_beside_a_draining_daemon_runs_elsewhere() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let first = warm_up(&mut world);
    let end = send_burst(&mut world, first, 45);
    let queued = waiting(&world, "b");
    assert!(queued > 0, "work waits at b");
    world.send_event("b", NodeEvent::DrainRequested);
    assert_eq!(waiting(&world, "b"), 0);
    let moved = count_trace_lines(&world, &["b -> refuse work draining run=not-run"]);
    assert_eq!(moved, queued as usize);
    world.run_for(IDLE_TIME);
    assert_ran_once(&world, first, end);
}

// Guards against a contract that switches overload control on or off and loses work, frees the slot
// of a run that continues, or leaves work at a gate that no longer exists.
#[test]
fn gate_is_replaced_while_work_runs() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let mut next = warm_up(&mut world);
    let first = next;
    let contracts = [
        (2, Duration::from_secs(2)),
        (3, OBJECTIVE),
        (4, Duration::from_secs(2)),
    ];
    for (version, objective) in contracts {
        next = send_burst(&mut world, next, 15);
        let before = loads(&world);
        assert!(before.iter().sum::<u16>() > 12, "{before:?}");
        let contract = Arc::new(contract_with_objective(version, objective));
        for name in (0..FLEET_SIZE).map(name_of) {
            world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&contract)));
        }
        assert_eq!(loads(&world), before, "version {version}");
        world.run_for(IDLE_TIME);
        assert_eq!(loads(&world), [0, 0, 0], "version {version}");
    }
    assert_ran_once(&world, first, next);
    for name in (0..FLEET_SIZE).map(name_of) {
        assert!(max_concurrency(&world, &name) <= SLOTS, "{name}");
    }
}

// Guards against queued work that is lost or runs twice when its gate is replaced.
#[test]
fn work_queued_at_a_replaced_gate_is_refused_as_not_run() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let first = warm_up(&mut world);
    let end = send_burst(&mut world, first, 30);
    let queued: u32 = (0..FLEET_SIZE).map(|n| waiting(&world, &name_of(n))).sum();
    assert!(queued > 0, "work waits");
    let contract = Arc::new(contract_with_objective(2, Duration::from_secs(2)));
    for name in (0..FLEET_SIZE).map(name_of) {
        world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&contract)));
    }
    let refused = count_trace_lines(&world, &["refuse work overloaded run=not-run"]);
    assert_eq!(refused, queued as usize);
    world.run_for(IDLE_TIME);
    let runs = (first..end).filter_map(|number| world.runs.get(&RequestId(number)));
    assert!(runs.clone().all(|runs| *runs == 1));
    let served = runs.count();
    let ended = count_trace_lines(&world, &["-> refuse ", "run=not-run"]);
    let unserved = usize::try_from(end - first).unwrap_or(0) - served;
    assert!(unserved <= ended, "{unserved} without an answer");
}

// Guards against callers of a leaving daemon whose connection ends without an answer while their
// requests wait beside other daemons for longer than the daemon may run.
#[test]
fn waiting_requests_of_a_leaving_daemon_are_refused_as_not_run() {
    let mut world = fleet_with(Some(OBJECTIVE), &[]);
    let first = warm_up(&mut world);
    set_run_time(&mut world, Duration::from_secs(6));
    let end = send_burst(&mut world, first, 60);
    let leaving = name_of(1);
    world.send_event(&leaving, NodeEvent::DrainRequested);
    world.run_for(Duration::from_secs(3));
    let mut refused = 0;
    for number in (first..end).filter(|number| number % u128::from(FLEET_SIZE) == 1) {
        let id = RequestId(number);
        if world.runs.contains_key(&id) {
            continue;
        }
        let (_, summary) = world.answers.get(&id).expect("an answer before the end");
        let refusal = summary.refusal.as_ref().expect("a refusal");
        assert_eq!(refusal.run, RunState::NotRun, "{refusal:?}");
        refused += 1;
    }
    assert!(refused > 0, "no request of the leaving daemon waited");
    world.run_for(IDLE_TIME);
    let runs = |number| world.runs.get(&RequestId(number)).copied().unwrap_or(0);
    assert!((first..end).all(|number| runs(number) <= 1));
}

// Guards against work that runs twice: the node beside the backend server must remember a run for as
// long as its caller may ask about it, also where a route allows more than 30 s.
#[test]
fn long_run_is_not_reported_as_not_started() {
    let mut contract = contract_with_objective(1, OBJECTIVE);
    for route in &mut contract.routes {
        route.deadline = Duration::from_mins(1);
    }
    let overload = overload_from(Some(OBJECTIVE));
    let mut world = SessionWorld::start_fleet_with_overload(FLEET_SIZE, contract, overload, &[]);
    set_run_time(&mut world, Duration::from_secs(50));
    // Without a server of its own, the node sends its requests to other nodes.
    let ingress = name_of(0);
    let gone = NodeEvent::UpstreamWithdrawn {
        slot: 0,
        life: None,
    };
    world.send_event(&ingress, gone);
    world.run_for(Duration::from_secs(4));
    world.call(&ingress, 1, "POST", "/bookings", None);
    world.run_for(Duration::from_secs(40));
    let attempt = world.orders.first().expect("an attempt").attempt;
    assert_eq!(world.runs.get(&attempt.request), Some(&1));
    let lost = AttemptReport {
        attempt,
        kind: SampleKind::ConnectionLost,
        run: RunState::Unknown,
        status: None,
        latency: Duration::from_secs(40),
        service_time: None,
        load: None,
        code: None,
        retry_after: None,
        reply_bytes: 0,
    };
    world.send_event(&ingress, NodeEvent::AttemptEnded(lost));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs.get(&attempt.request), Some(&1));
    let (_, summary) = &world.answers[&attempt.request];
    let refusal = summary.refusal.as_ref().expect("a refusal");
    assert_eq!(refusal.run, RunState::Unknown, "{refusal:?}");
}
