//! Capacity reports between nodes, and their use on requests.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::FleetContract;
use sycamorelink_core::{
    NodeIncarnation, RefusalCode, RequestId, RunState, ServiceName, UpstreamId,
};
use sycamorelink_engine::{CapacityStatus, EngineSettings, NodeEvent, PeerMessage};
use sycamorelink_policy::{CapacityRecord, PolicyMechanism};

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, name_of, node};

/// Nodes of a fleet; `a` has no backend server.
const NODES: u8 = 6;
/// Time after which all records are known and every session is idle.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Run time that the gates assume.
const ASSUMED_RUN: Duration = Duration::from_secs(2);
/// Requests that fill the slots and queues of all backend servers.
const FLOOD: u128 = 400;
/// Control traffic allowed for one node, in bytes per second.
const MAX_BYTES_PER_SECOND: usize = 7_000;

/// Returns a contract with bookings whose callers wait for seconds, and price requests with a
/// shorter deadline.
fn patient_contract() -> FleetContract {
    let mut contract = contract(1, "/prices/");
    for route in &mut contract.routes {
        route.objective = Duration::from_secs(4);
    }
    let prices = &mut contract.routes[1];
    prices.objective = Duration::from_millis(2_500);
    prices.deadline = Duration::from_millis(2_500);
    contract
}

/// Returns settings with overload control for objectives from this time.
fn settings_from(objective_from: Option<Duration>) -> EngineSettings {
    let mut settings = EngineSettings::default();
    settings.overload.objective_from = objective_from;
    settings.gate.first_service_time = ASSUMED_RUN;
    // Retry delays have tests of their own.
    settings.policy.off.insert(PolicyMechanism::PacedReturns);
    settings
}

fn controlled() -> EngineSettings {
    settings_from(Some(Duration::from_secs(3)))
}

/// Starts a fleet whose backend servers take this long, without one at `a`.
fn fleet_with(settings: EngineSettings, run_time: Duration) -> SessionWorld {
    let mut world = SessionWorld::start_fleet_with(2, NODES, patient_contract(), settings);
    let gone = NodeEvent::UpstreamWithdrawn {
        slot: 0,
        life: None,
    };
    world.send_event("a", gone);
    for name in (0..NODES).map(name_of) {
        let script = BackendScript {
            time: run_time,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name), script);
    }
    world.run_for(SETTLE_TIME);
    world
}

fn flood(world: &mut SessionWorld) {
    for number in 1..=FLOOD {
        world.call("a", number, "POST", "/bookings", None);
    }
    world.run_for(Duration::from_millis(50));
}

/// Returns the number of attempts that were sent for a request.
fn offers_of(world: &SessionWorld, number: u128) -> usize {
    let trace = world.trace();
    let prefix = format!(" -> dispatch {number}.");
    trace.lines().filter(|line| line.contains(&prefix)).count()
}

/// Returns the refusals in the trace, each with the number of its request.
fn refusals(world: &SessionWorld) -> Vec<(u128, String)> {
    let trace = world.trace();
    let lines = trace.lines().filter_map(|line| {
        let (_, refusal) = line.split_once(" -> refuse ")?;
        let (number, text) = refusal.split_once(' ')?;
        Some((number.parse().ok()?, text.to_owned()))
    });
    lines.collect()
}

/// Returns a valid record of an idle server beside a node.
fn idle_record(name: &str, sequence: u32) -> CapacityRecord {
    CapacityRecord {
        id: UpstreamId {
            node: node(name),
            slot: 0,
        },
        incarnation: NodeIncarnation(1),
        sequence,
        in_use: 0,
        limit: 5,
        queued: 0,
        expected_wait_ms: 0,
        mean_run_ms: 20,
        failing: 0,
        relative_run: 0,
        repeats: 0,
        age_ms: 0,
    }
}

fn status_of(world: &SessionWorld, name: &str) -> Vec<CapacityStatus> {
    world.engines()[&node(name)].capacity_status()
}

fn records_at(world: &SessionWorld, name: &str) -> usize {
    let statuses = status_of(world, name);
    statuses.iter().map(|status| status.records).sum()
}

// Guards against reports that spread too slowly or take more than their bandwidth.
#[test]
fn every_node_knows_the_records_of_all_servers() {
    let mut world = SessionWorld::start_fleet_with(3, 24, patient_contract(), controlled());
    world.capacity_bytes.clear();
    let seconds = 4;
    world.run_for(Duration::from_secs(4));
    for name in (0..24).map(name_of) {
        assert_eq!(records_at(&world, &name), 24, "{name}");
        let bytes = world.capacity_bytes[&node(&name)] / seconds;
        assert!(bytes < MAX_BYTES_PER_SECOND, "{name} sent {bytes}/s");
    }
}

// Guards against requests that are offered to one full server after the other. Without reports each
// of them is offered to all five.
#[test]
fn two_overloaded_servers_end_a_request() {
    let long_run = Duration::from_secs(3);
    for (settings, expected) in [(controlled(), 2), (settings_from(None), 5)] {
        let mut world = fleet_with(settings, long_run);
        flood(&mut world);
        let refused = refusals(&world);
        assert!(refused.len() > 100, "{} were refused", refused.len());
        for (number, text) in &refused {
            assert!(text.starts_with("overloaded run=not-run"), "{text}");
            assert!(offers_of(&world, *number) <= expected, "request {number}");
        }
        let most = refused.iter().map(|(number, _)| offers_of(&world, *number));
        assert_eq!(most.max(), Some(expected));
        world.run_for(Duration::from_secs(8));
        let refused: BTreeSet<u128> = refused.iter().map(|(number, _)| *number).collect();
        let run_anyway = refused
            .iter()
            .filter(|number| world.runs.contains_key(&RequestId(**number)));
        assert_eq!(run_anyway.count(), 0);
    }
}

// Guards against requests that wait at a full server although no server can answer them in time,
// and against refusals that go on when servers are free again.
#[test]
fn request_that_no_server_can_answer_in_time_is_refused_at_once() {
    let mut world = fleet_with(controlled(), ASSUMED_RUN);
    // The servers can run 12.5 bookings per second and are sent 25.
    for number in 1..=100 {
        world.call("a", number, "POST", "/bookings", None);
        world.run_for(Duration::from_millis(40));
    }
    world.call("a", 1_000, "GET", "/prices/a", None);
    let refused = refusals(&world);
    let refused = refused.iter().find(|(number, _)| *number == 1_000);
    let (_, text) = refused.expect("refused at once");
    assert!(
        text.starts_with("overloaded run=not-run retry_after=Some("),
        "{text}"
    );
    assert_eq!(offers_of(&world, 1_000), 0);
    let refused = world.forecasts[&RequestId(1_000)];
    assert!(refused.forecast.earliest.reply() > refused.left);
    assert_eq!(refused.forecast.known, 5);
    world.run_for(Duration::from_secs(10));
    assert!(!world.runs.contains_key(&RequestId(1_000)));
    world.call("a", 1_001, "GET", "/prices/a", None);
    world.run_for(SETTLE_TIME);
    assert_eq!(world.runs.get(&RequestId(1_001)), Some(&1));
}

// Guards against messages, state or decisions of overload control in fleets that do not use it.
#[test]
fn nothing_changes_without_overload_control() {
    let mut off = settings_from(Some(Duration::from_secs(3)));
    off.policy.off.extend([
        PolicyMechanism::DeadlineQueue,
        PolicyMechanism::CapacityReports,
        PolicyMechanism::RepeatLoans,
        PolicyMechanism::CallerQueue,
        PolicyMechanism::AdaptiveConcurrency,
        PolicyMechanism::FairQueueing,
        PolicyMechanism::PacedReturns,
        PolicyMechanism::DomainSpillover,
    ]);
    let above = settings_from(Some(Duration::from_mins(1)));
    let traces = [settings_from(None), above, off].map(|settings| {
        let mut world = fleet_with(settings, Duration::from_secs(1));
        flood(&mut world);
        world.run_for(SETTLE_TIME);
        assert!(world.capacity_bytes.is_empty());
        assert!(status_of(&world, "a").is_empty());
        world.trace()
    });
    assert_eq!(traces[0], traces[1]);
    assert_eq!(traces[0], traces[2]);
}

// Guards against a node that was just started or cut off and refuses or selects by its own records
// alone.
#[test]
fn node_that_hears_no_reports_selects_as_before() {
    let mut off = controlled();
    off.policy.off.insert(PolicyMechanism::CapacityReports);
    let traces = [(controlled(), true), (off, false)].map(|(settings, is_lost)| {
        let mut world = SessionWorld::start_fleet_with(2, NODES, patient_contract(), settings);
        world.network.capacity_lost = is_lost;
        world.run_for(Duration::from_secs(6));
        assert_eq!(records_at(&world, "b"), usize::from(is_lost));
        flood(&mut world);
        for number in 1_000..1_100 {
            world.call("b", number, "GET", "/prices/a", None);
            world.run_for(Duration::from_millis(30));
        }
        world.run_for(SETTLE_TIME);
        world.trace()
    });
    assert!(traces[0] == traces[1], "the sessions differ");
}

// Guards against absurd reports that change what a node knows, or that fill its log.
#[test]
fn implausible_report_is_dropped_with_one_event() {
    let mut world = fleet_with(controlled(), Duration::from_millis(20));
    let before = records_at(&world, "a");
    let record = CapacityRecord {
        limit: 0,
        expected_wait_ms: u32::MAX,
        ..idle_record("b", u32::MAX)
    };
    let from = world.engines()[&node("c")].own_instance();
    for _ in 0..20 {
        let message = PeerMessage::Capacity {
            service: ServiceName::new("orders"),
            records: vec![record; 30],
        };
        world.send_event("a", NodeEvent::PeerReceived { from, message });
    }
    let unknown = PeerMessage::Capacity {
        service: ServiceName::new("unknown"),
        records: vec![record],
    };
    let message = unknown;
    world.send_event("a", NodeEvent::PeerReceived { from, message });
    assert_eq!(world.invalid_reports, [record.id]);
    assert_eq!(records_at(&world, "a"), before);
    assert_eq!(status_of(&world, "a").len(), 1);
}

// Guards against reports that waited in the sockets of a paused process and count as fresh.
#[test]
fn reports_from_before_the_end_of_a_pause_are_ignored() {
    let mut world = fleet_with(controlled(), Duration::from_millis(20));
    let known = records_at(&world, "a");
    assert_eq!(known, usize::from(NODES) - 1);
    world.freeze(node("a"));
    world.run_for(Duration::from_secs(10));
    world.thaw(node("a"));
    assert_eq!(records_at(&world, "a"), 0, "before the first tick");
    world.run_for(Duration::from_millis(20));
    let from = world.engines()[&node("c")].own_instance();
    let message = PeerMessage::Capacity {
        service: ServiceName::new("orders"),
        records: vec![idle_record("c", u32::MAX)],
    };
    world.send_event("a", NodeEvent::PeerReceived { from, message });
    assert_eq!(records_at(&world, "a"), 0, "after the first tick");
    world.run_for(SETTLE_TIME);
    assert_eq!(records_at(&world, "a"), known);
}

// Guards against records that count as fresh after a pause in which the clock of the process stood
// still, and against reports that waited in its sockets meanwhile.
#[test]
fn records_are_dropped_after_a_pause_that_the_clock_does_not_show() {
    let mut world = fleet_with(controlled(), Duration::from_millis(20));
    let known = records_at(&world, "a");
    world.send_event("a", NodeEvent::Resumed);
    assert_eq!(records_at(&world, "a"), 0);
    let from = world.engines()[&node("c")].own_instance();
    let message = PeerMessage::Capacity {
        service: ServiceName::new("orders"),
        records: vec![idle_record("c", u32::MAX)],
    };
    world.send_event("a", NodeEvent::PeerReceived { from, message });
    assert_eq!(records_at(&world, "a"), 0);
    world.run_for(SETTLE_TIME);
    assert_eq!(records_at(&world, "a"), known);
}

// Guards against records that are used after overload control is switched off by a new contract.
#[test]
fn contract_without_long_objectives_ends_the_reports() {
    let mut world = fleet_with(controlled(), Duration::from_millis(20));
    let newer = Arc::new(contract(7, "/prices/"));
    for name in (0..NODES).map(name_of) {
        world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&newer)));
    }
    world.run_for(Duration::from_secs(1));
    world.capacity_bytes.clear();
    world.run_for(Duration::from_secs(2));
    assert!(world.capacity_bytes.is_empty());
    assert!(status_of(&world, "a").is_empty());
}

/// Returns the times at which refused callers are told to return, by the order of refusal. Asserts
/// that a refusal without a delay says that no capacity is expected.
fn return_times(world: &SessionWorld) -> Vec<Option<Duration>> {
    let answers = world.answers.values();
    let refusals = answers.filter_map(|(at, summary)| Some((*at, summary.refusal.as_ref()?)));
    let times = refusals.map(|(at, refusal)| {
        assert_eq!(refusal.run, RunState::NotRun);
        let is_unpromised = refusal.code == RefusalCode::NoCapacity;
        assert_eq!(is_unpromised, refusal.retry_after.is_none(), "{refusal:?}");
        refusal.retry_after.map(|delay| at + delay)
    });
    times.collect()
}

// Guards against refused callers that return together, and against a promise of capacity that comes
// after the caller's objective.
#[test]
fn refused_callers_are_told_when_capacity_is_expected() {
    let mut settings = controlled();
    settings.policy.off.clear();
    let mut world = fleet_with(settings, Duration::from_secs(1));
    flood(&mut world);
    let start = world.now();
    let returns = return_times(&world);
    let promised: Vec<Duration> = returns.iter().copied().flatten().collect();
    assert!(promised.len() > 1, "{returns:?}");
    assert!(promised.len() < returns.len(), "{returns:?}");
    assert!(
        promised.is_sorted_by(|one, next| one < next),
        "{promised:?}"
    );
    let objective = Duration::from_secs(4);
    assert!(
        promised.iter().all(|at| *at < start + objective),
        "{promised:?}"
    );
}
