//! Loans of repeats between the backend servers of a fleet.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{FleetContract, RetryBudget};
use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, NodeIncarnation, RequestId, ServiceName,
};
use sycamorelink_engine::{
    ArrivalKind, NodeEvent, PeerMessage, RepeatLoanMessage, WorkEnd, WorkOffer, WorkReport,
};
use sycamorelink_limits::WorkId;
use sycamorelink_policy::PolicyMechanism;

use crate::fleet_contract::{contract_with_repeats, fail_backends_of};
use crate::repeat_bound::{
    CallLoad, NODES, WINDOW, decline_on_all_backends, fail_all_backends, restart_backend,
};
use crate::world::{BackendScript, SessionWorld, name_of, node};

/// Repeats allowed across the fleet per [`WINDOW`]: eight per server.
const MAX_REPEATS: u32 = 64;
/// Objective from which overload control takes effect: that of the routes of the contract.
const OBJECTIVE: Duration = Duration::from_secs(2);
/// Slots of each backend server.
const SLOTS: u64 = 5;
/// Id of the first work that a test offers itself; above those of the world.
const FIRST_WORK: u64 = 1 << 32;
/// Nodes whose backend servers fail in most sessions.
const FAILING: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Starts a fleet whose servers lend repeats, and waits until its parts of the bound count.
fn lending_fleet() -> SessionWorld {
    fleet_with(Some(OBJECTIVE), &[])
}

fn fleet_with(objective_from: Option<Duration>, off: &[PolicyMechanism]) -> SessionWorld {
    let contract = contract_with_repeats(MAX_REPEATS);
    let mut world = SessionWorld::start_fleet_with_loans(NODES, contract, objective_from, off);
    world.run_for(Duration::from_secs(1) + WINDOW * 2);
    world
}

fn assert_within_bound(load: &CallLoad) {
    let repeats = load.max_repeats_in_window();
    assert!(
        repeats <= MAX_REPEATS as usize,
        "{repeats} repeats, {MAX_REPEATS} allowed"
    );
}

fn granted(world: &SessionWorld) -> u32 {
    let grants = world
        .loan_messages
        .iter()
        .map(|(_, _, message)| match message {
            RepeatLoanMessage::Ask { .. } => 0,
            RepeatLoanMessage::Grant { repeats, .. } => *repeats,
        });
    grants.sum()
}

// Guards against repeats that only servers without requests for them have left: six of eight
// servers fail, and the two that work are asked for most repeats.
#[test]
fn server_without_repeats_borrows() {
    let mut counts = Vec::new();
    for off in [&[PolicyMechanism::RepeatLoans][..], &[]] {
        let mut world = fleet_with(Some(OBJECTIVE), off);
        fail_backends_of(&mut world, &FAILING);
        let mut load = CallLoad::default();
        load.run(&mut world, Duration::from_secs(8));
        assert_within_bound(&load);
        assert_eq!(granted(&world) > 0, off.is_empty());
        counts.push(load.max_repeats_in_window());
    }
    assert!(
        counts[1] > counts[0],
        "{counts:?} repeats without and with loans"
    );
}

// Guards against a bound that still grows by the share of an earlier contract: a new one allows no
// repeats, and the requests before it count for one window.
#[test]
fn share_of_a_new_contract_takes_effect() {
    let contract = |version, share| FleetContract {
        version,
        retry_budget: RetryBudget {
            share,
            min_per_second: 0.0,
        },
        ..contract_with_repeats(0)
    };
    let generous = contract(1, 0.5);
    // Without a queue, declined requests are repeated at once.
    let off = &[PolicyMechanism::CallerQueue];
    let mut world = SessionWorld::start_fleet_with_loans(NODES, generous, Some(OBJECTIVE), off);
    for name in (0..NODES).map(name_of) {
        let script = BackendScript {
            declined_percent: 50,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name), script);
    }
    let mut load = CallLoad::default();
    load.run(&mut world, WINDOW);
    assert!(load.max_repeats_in_window() > 0);
    let strict = Arc::new(contract(2, 0.1));
    for name in (0..NODES).map(name_of) {
        world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&strict)));
    }
    load.run(&mut world, WINDOW + Duration::from_secs(2));
    let (before, calls) = (load.repeats(), load.calls());
    load.run(&mut world, WINDOW);
    let (repeats, calls) = (load.repeats() - before, load.calls() - calls);
    assert!(
        repeats * 10 <= calls,
        "{repeats} repeats of {calls} requests"
    );
}

// Guards against messages to nodes of a fleet that does not control overload: without the setting,
// with an objective that no route has, or with loans switched off.
#[test]
fn nothing_is_sent_without_overload_control() {
    let off: &[PolicyMechanism] = &[PolicyMechanism::RepeatLoans];
    let long = Some(OBJECTIVE + Duration::from_secs(1));
    for (objective_from, off) in [(None, &[][..]), (long, &[]), (Some(OBJECTIVE), off)] {
        let mut world = fleet_with(objective_from, off);
        fail_backends_of(&mut world, &FAILING);
        CallLoad::default().run(&mut world, Duration::from_secs(4));
        assert_eq!(world.loan_messages, []);
    }
}

// Guards against lenders and borrowers that are restarted and forget what was lent.
#[test]
fn bound_holds_while_daemons_restart() {
    let mut world = lending_fleet();
    fail_backends_of(&mut world, &FAILING);
    let mut load = CallLoad::default();
    for incarnation in 2..9 {
        load.run(&mut world, Duration::from_secs(2));
        for number in (0..NODES).filter(|number| u64::from(*number) % 3 == incarnation % 3) {
            world.kill(&name_of(number));
            world.add_node(number, incarnation);
        }
    }
    load.run(&mut world, Duration::from_secs(6));
    assert!(granted(&world) > 0);
    assert_within_bound(&load);
}

// Guards against loans of a backend server that was replaced.
#[test]
fn bound_holds_while_backend_servers_restart() {
    let mut world = lending_fleet();
    fail_all_backends(&mut world);
    let mut load = CallLoad::default();
    for round in 0..6 {
        load.run(&mut world, Duration::from_secs(2));
        for name in (0..NODES).map(name_of) {
            restart_backend(&mut world, &name, round);
        }
    }
    assert_within_bound(&load);
}

// Guards against borrowed repeats that run long after their loan because they waited for a slot: the
// two working servers are slow, and work queues there.
#[test]
fn bound_holds_for_repeats_that_wait_for_a_slot() {
    let mut world = lending_fleet();
    fail_backends_of(&mut world, &FAILING);
    for name in ["g", "h"] {
        let script = BackendScript {
            time: Duration::from_millis(900),
            ..BackendScript::default()
        };
        world.scripts.insert(node(name), script);
    }
    let mut load = CallLoad::default();
    load.run(&mut world, Duration::from_secs(30));
    assert!(granted(&world) > 0);
    assert_within_bound(&load);
}

// Guards against the two sides of a partition that use the same repeats.
#[test]
fn bound_holds_during_a_partition() {
    let mut world = lending_fleet();
    let mut load = CallLoad::default();
    fail_backends_of(&mut world, &FAILING);
    load.run(&mut world, Duration::from_secs(3));
    for from in 0..NODES {
        for to in (0..NODES).filter(|to| to % 2 != from % 2) {
            let link = (node(&name_of(from)), node(&name_of(to)));
            world.network.cuts.insert(link);
        }
    }
    load.run(&mut world, Duration::from_secs(12));
    decline_on_all_backends(&mut world);
    load.run(&mut world, Duration::from_secs(12));
    world.network.cuts.clear();
    load.run(&mut world, Duration::from_secs(12));
    assert!(granted(&world) > 0);
    assert_within_bound(&load);
}

// Guards against lost and reordered messages, and frozen daemons that go on with old loans.
#[test]
fn bound_holds_with_lost_messages_and_frozen_daemons() {
    let mut world = lending_fleet();
    world.network.loss = 10;
    world.network.jitter = 300;
    fail_backends_of(&mut world, &FAILING);
    let mut load = CallLoad::default();
    for number in [6, 0, 7, 1] {
        load.run(&mut world, Duration::from_secs(3));
        let id = node(&name_of(number));
        world.freeze(id);
        load.run(&mut world, Duration::from_secs(4));
        world.thaw(id);
    }
    assert!(granted(&world) > 0);
    assert_within_bound(&load);
}

/// Passes an ask for eight repeats from `b` to `a` and returns what `a` grants.
fn ask_node_a(world: &mut SessionWorld, ask: u64) -> Option<u32> {
    let from = InstanceId {
        node: node("b"),
        incarnation: NodeIncarnation(1),
    };
    let message = RepeatLoanMessage::Ask {
        service: ServiceName::new("orders"),
        wanted: 8,
        calling: false,
        ask,
    };
    let message = PeerMessage::RepeatLoan(message);
    let before = world.loan_messages.len();
    world.send_event("a", NodeEvent::PeerReceived { from, message });
    let answers = world.loan_messages[before..].iter();
    let mut repeats = answers.filter_map(|(_, _, message)| match message {
        RepeatLoanMessage::Ask { .. } => None,
        RepeatLoanMessage::Grant { repeats, .. } => Some(*repeats),
    });
    repeats.next_back()
}

// Guards against a restarted lender whose previous incarnation granted a loan just before it ended:
// the loan may be used for a second and then counts for ten.
#[test]
fn restarted_daemon_has_no_slack_until_earlier_loans_expire() {
    let mut world = lending_fleet();
    assert_eq!(ask_node_a(&mut world, 1 << 40), Some(3));
    world.kill("a");
    world.add_node(0, 2);
    world.run_for(Duration::from_millis(10_900));
    assert_eq!(ask_node_a(&mut world, 1 << 41), Some(0));
    world.run_for(Duration::from_millis(200));
    assert_eq!(ask_node_a(&mut world, 1 << 42), Some(3));
}

// Guards against a restarted daemon that keeps back its slack for loans although overload control does
// not apply, since no route has an objective that long: its slack returns after one window.
#[test]
fn restarted_daemon_without_overload_control_has_slack_after_one_window() {
    for objective_from in [None, Some(OBJECTIVE + Duration::from_secs(1))] {
        let mut world = fleet_with(objective_from, &[]);
        world.kill("a");
        world.add_node(0, 2);
        world.run_for(WINDOW + Duration::from_millis(100));
        let before = world.arrivals.get(&node("a")).map_or(0, Vec::len);
        offer_to_node_a(&mut world, 0, ArrivalKind::Repeat);
        let after = world.arrivals.get(&node("a")).map_or(0, Vec::len);
        assert_eq!(after, before + 1, "from {objective_from:?}");
    }
}

// Guards against a duplicated ask that is granted twice, and against a lender that is leaving.
#[test]
fn lender_answers_once_and_lends_nothing_while_it_leaves() {
    let mut world = lending_fleet();
    assert_eq!(ask_node_a(&mut world, 1 << 40), Some(3));
    assert_eq!(ask_node_a(&mut world, 1 << 40), None);
    world.send_event("a", NodeEvent::DrainRequested);
    assert_eq!(ask_node_a(&mut world, 1 << 41), Some(0));
}

/// Offers work to the backend server beside `a`.
fn offer_to_node_a(world: &mut SessionWorld, number: u64, arrival: ArrivalKind) {
    let offer = WorkOffer {
        work: WorkId(FIRST_WORK + number),
        from: InstanceId {
            node: node("b"),
            incarnation: NodeIncarnation(1),
        },
        attempt: AttemptId {
            request: RequestId(u128::from(FIRST_WORK + number)),
            number: 1,
        },
        label: Arc::from("offer"),
        slot: 0,
        customer: CustomerName::new("fleet"),
        service: ServiceName::new("orders"),
        priority: 5,
        time_left: Duration::from_secs(6),
        signature: 0,
        ticket: None,
        trial_fit: false,
        insist: false,
        patience: None,
        kind: 1,
        arrival,
        terms: None,
    };
    world.send_event("a", NodeEvent::WorkOffered(offer));
}

fn end_at_node_a(world: &mut SessionWorld, number: u64) {
    let report = WorkReport {
        work: WorkId(FIRST_WORK + number),
        end: WorkEnd::Replied,
        status: Some(200),
        service_time: Duration::from_secs(1),
        reply: None,
        notice: None,
    };
    world.send_event("a", NodeEvent::WorkEnded(report));
}

/// Lets `a` lend all but one of its repeats, occupies its slots, and queues one repeat of its own
/// and a borrowed one. `a` is then cut off, so that it borrows no more.
fn queue_a_borrowed_repeat() -> SessionWorld {
    let mut world = lending_fleet();
    for ask in 0..4 {
        ask_node_a(&mut world, (1 << 40) + ask);
    }
    for number in 0..SLOTS {
        offer_to_node_a(&mut world, number, ArrivalKind::First);
    }
    offer_to_node_a(&mut world, SLOTS, ArrivalKind::Repeat);
    offer_to_node_a(&mut world, SLOTS + 1, ArrivalKind::Repeat);
    let asks = world.loan_messages.iter();
    let asks = asks.filter(|(_, from, message)| {
        *from == node("a") && matches!(message, RepeatLoanMessage::Ask { .. })
    });
    assert!(asks.count() > 0, "the second repeat is refused");
    world.run_for(Duration::from_millis(10));
    offer_to_node_a(&mut world, SLOTS + 2, ArrivalKind::Repeat);
    for to in (1..NODES).map(name_of) {
        world.network.cuts.insert((node("a"), node(&to)));
    }
    world
}

/// Frees two slots of `a` and returns how many queued repeats run.
fn run_queued_repeats(world: &mut SessionWorld) -> usize {
    let arrivals = |world: &SessionWorld| world.arrivals[&node("a")].len();
    let before = arrivals(world);
    end_at_node_a(world, 0);
    end_at_node_a(world, 1);
    arrivals(world) - before
}

// Guards against a borrowed repeat that gets its slot after the end of its loan: its lender may no
// longer count it. The slot is offered at several times around the tick that ends loans.
#[test]
fn borrowed_repeat_does_not_run_after_its_loan() {
    let mut world = queue_a_borrowed_repeat();
    world.run_for(Duration::from_millis(900));
    assert_eq!(run_queued_repeats(&mut world), 2);
    for late in (20..130).step_by(10) {
        let mut world = queue_a_borrowed_repeat();
        world.run_for(Duration::from_millis(1_000 + late));
        assert_eq!(run_queued_repeats(&mut world), 1, "{late} ms late");
    }
}

// Guards against a borrowed repeat that runs after a pause in which the clock of its daemon stood
// still.
#[test]
fn borrowed_repeat_does_not_run_after_a_pause() {
    let mut world = queue_a_borrowed_repeat();
    world.send_event("a", NodeEvent::Resumed);
    assert_eq!(run_queued_repeats(&mut world), 1);
}

// Guards against callers that wait for a slot which their repeat can no longer use.
#[test]
fn queued_repeat_is_refused_when_its_loan_ends() {
    let mut world = queue_a_borrowed_repeat();
    let queued = world.engines()[&node("a")].in_flight();
    world.run_for(Duration::from_millis(1_200));
    assert_eq!(world.engines()[&node("a")].in_flight(), queued - 1);
}
