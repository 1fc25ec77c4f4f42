//! Fair queueing: work of client accounts that waits beside the same backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{ContentDigest, FleetAccount, FleetContract, FleetRoute, RoutePart};
use sycamorelink_core::{CustomerName, RequestId, ServiceName};
use sycamorelink_engine::{AttemptOrder, CallerRequest, NodeEvent};
use sycamorelink_limits::OverloadSettings;
use sycamorelink_policy::PolicyMechanism;

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, caller_request, name_of, node};

const FLEET_SIZE: u8 = 2;
const RUN_TIME: Duration = Duration::from_millis(500);
const OBJECTIVE: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(8);
/// Account that floods the fleet, and one that sends little; the name is the key, too.
const LARGE: &str = "mill";
const SMALL: &str = "harbour";
/// Targets of requests, and of the calls that their runs make to another service.
const REQUEST_TARGET: &str = "/prices/a";
const CALL_TARGET: &str = "/stock/a";
/// First number of the requests of the large account to the called service.
const LARGE_CALLED: u128 = 50_000;
/// First number of the requests of the small account, and of calls.
const SMALL_REQUESTS: u128 = 100_000;
const CALLS: u128 = 200_000;

fn contract_with(version: u64, accounts: &[&str]) -> FleetContract {
    let mut contract = contract(version, "/prices/");
    for route in &mut contract.routes {
        route.objective = OBJECTIVE;
        route.deadline = DEADLINE;
        // Calls of backend servers carry no account key.
        route.public = true;
    }
    let called = ServiceName::new("stock");
    contract.routes.push(FleetRoute {
        name: Arc::from("stock"),
        prefix: Arc::from("/stock/"),
        parts: vec![RoutePart {
            service: called.clone(),
            weight: 1,
        }],
        ..contract.routes[1].clone()
    });
    contract.services.push(called);
    contract.accounts = accounts
        .iter()
        .map(|name| FleetAccount {
            name: CustomerName::new(name),
            keys: vec![ContentDigest::of(name.as_bytes())],
            priority: None,
            quota: None,
        })
        .collect();
    contract
}

fn fleet_with(accounts: &[&str], off: &[PolicyMechanism]) -> SessionWorld {
    let overload = OverloadSettings {
        objective_from: Some(OBJECTIVE),
        ..OverloadSettings::default()
    };
    let contract = contract_with(1, accounts);
    let mut world = SessionWorld::start_fleet_with_overload(FLEET_SIZE, contract, overload, off);
    for name in (0..FLEET_SIZE).map(name_of) {
        let script = BackendScript {
            time: RUN_TIME,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name), script);
    }
    world
}

/// Starts a server of the called service beside each node.
fn add_called_servers(world: &mut SessionWorld) {
    for name in (0..FLEET_SIZE).map(name_of) {
        world.announce_second(&name, &ServiceName::new("stock"));
    }
    world.run_for(Duration::from_secs(4));
}

fn send(world: &mut SessionWorld, number: u128, account: Option<&str>, time_left: Duration) {
    send_to(world, REQUEST_TARGET, number, account, time_left);
}

fn send_to(
    world: &mut SessionWorld,
    target: &str,
    number: u128,
    account: Option<&str>,
    time_left: Duration,
) {
    let ingress = name_of(u8::try_from(number % u128::from(FLEET_SIZE)).unwrap_or(0));
    let request = CallerRequest {
        account_key: account.map(|name| ContentDigest::of(name.as_bytes())),
        time_left: Some(time_left),
        ..caller_request(number, "GET", target, None)
    };
    world.send_caller(&ingress, request);
}

/// Requests of the accounts that were sent and that ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AccountRuns {
    large_sent: usize,
    large_ran: usize,
    small_sent: usize,
    small_ran: usize,
    calls_sent: usize,
    calls_ran: usize,
}

/// Sends a load for 20 s: the large account sends twice the capacity to each service, the small one a
/// tenth of it to the first, and each run of the small account makes a call to the other service.
fn flood(world: &mut SessionWorld) -> AccountRuns {
    let mut sent = AccountRuns::default();
    let mut deadlines = BTreeMap::new();
    for step in 0..800_u128 {
        send(world, step, Some(LARGE), DEADLINE);
        let number = LARGE_CALLED + step;
        send_to(world, CALL_TARGET, number, Some(LARGE), DEADLINE);
        sent.large_sent += 2;
        if step % 20 == 10 {
            let number = SMALL_REQUESTS + step;
            send(world, number, Some(SMALL), DEADLINE);
            deadlines.insert(number, world.now() + DEADLINE);
            sent.small_sent += 1;
        }
        sent.calls_sent += send_calls(world, &mut deadlines);
        world.run_for(Duration::from_millis(25));
    }
    for _ in 0..480 {
        sent.calls_sent += send_calls(world, &mut deadlines);
        world.run_for(Duration::from_millis(25));
    }
    let ran = |first: u128, end: u128| {
        let runs = world.runs.range(RequestId(first)..RequestId(end));
        assert!(runs.clone().all(|(_, runs)| *runs == 1));
        runs.count()
    };
    AccountRuns {
        large_ran: ran(0, SMALL_REQUESTS),
        small_ran: ran(SMALL_REQUESTS, CALLS),
        calls_ran: ran(CALLS, 2 * CALLS),
        ..sent
    }
}

/// Sends a call for each run that has made none, and returns their number. A call has no account key,
/// goes through the node beside the server and ends at the deadline of its run.
fn send_calls(world: &mut SessionWorld, deadlines: &mut BTreeMap<u128, Duration>) -> usize {
    let has_run = |number: &u128| world.runs.contains_key(&RequestId(*number));
    let running: Vec<u128> = deadlines.keys().copied().filter(has_run).collect();
    let count = running.len();
    for number in running {
        let deadline = deadlines.remove(&number).unwrap_or_default();
        let mut orders = world.orders.iter().rev();
        let order = orders.find(|order| order.attempt.request == RequestId(number));
        let server = order.expect("the run was ordered").upstream.node;
        let name = (0..FLEET_SIZE)
            .map(name_of)
            .find(|name| node(name) == server)
            .expect("a node of the fleet");
        let call = CallerRequest {
            time_left: Some(deadline.saturating_sub(world.now())),
            ..caller_request(number - SMALL_REQUESTS + CALLS, "GET", CALL_TARGET, None)
        };
        world.send_caller(&name, call);
    }
    count
}

// Guards against an account that fills the queues with twice the capacity, so that requests and calls
// of another are refused, which stays far below its share.
#[test]
fn flooding_account_does_not_displace_a_small_one() {
    let mut world = fleet_with(&[LARGE, SMALL], &[]);
    add_called_servers(&mut world);
    let shared = flood(&mut world);
    println!("{shared:?}");
    assert_eq!(shared.small_ran, shared.small_sent, "{shared:?}");
    assert_eq!(shared.calls_sent, shared.small_sent, "{shared:?}");
    assert_eq!(shared.calls_ran, shared.calls_sent, "{shared:?}");
    assert!(shared.large_ran * 4 < shared.large_sent * 3, "{shared:?}");
    let calls = world.orders.iter();
    let mut calls = calls.filter(|order| order.attempt.request >= RequestId(CALLS));
    let small = Some(CustomerName::new(SMALL));
    let account = |order: &AttemptOrder| order.terms.clone().and_then(|terms| terms.account);
    assert!(calls.all(|order| account(order) == small));
    let mut world = fleet_with(&[LARGE, SMALL], &[PolicyMechanism::FairQueueing]);
    add_called_servers(&mut world);
    let one_lane = flood(&mut world);
    println!("{one_lane:?}");
    assert!(one_lane.small_ran < one_lane.small_sent, "{one_lane:?}");
}

// Guards against a change for deployments without accounts.
#[test]
fn nothing_changes_without_accounts() {
    let trace = |off: &[PolicyMechanism]| {
        let mut world = fleet_with(&[], off);
        for number in 0..400 {
            send(&mut world, number, None, DEADLINE);
            world.run_for(Duration::from_millis(25));
        }
        world.run_for(Duration::from_secs(12));
        world.trace()
    };
    assert_eq!(trace(&[]), trace(&[PolicyMechanism::FairQueueing]));
}

// Guards against a contract that gains its first account or loses its last one and loses work, frees the
// slot of a run that continues, or keeps the queue of one lane.
#[test]
fn gate_is_replaced_when_the_contract_gains_its_first_account() {
    let mut world = fleet_with(&[], &[]);
    let mut next = 0;
    for (version, accounts) in [(2, &[LARGE, SMALL][..]), (3, &[])] {
        let first = next;
        while next < first + 40 {
            send(&mut world, next, None, DEADLINE);
            next += 1;
        }
        world.run_for(Duration::from_millis(100));
        let queued = |world: &SessionWorld| -> u32 {
            let engines = world.engines().values();
            let counts = engines.flat_map(sycamorelink_engine::NodeEngine::queue_counts);
            counts.map(|(_, count)| count.in_time + count.late).sum()
        };
        let in_use = |world: &SessionWorld| -> u16 {
            let engines = world.engines().values();
            engines.map(|engine| engine.load_of(0).in_use).sum()
        };
        assert!(queued(&world) > 0);
        let before = in_use(&world);
        let contract = Arc::new(contract_with(version, accounts));
        for name in (0..FLEET_SIZE).map(name_of) {
            world.send_event(&name, NodeEvent::FleetContract(Arc::clone(&contract)));
        }
        assert_eq!(queued(&world), 0, "version {version}");
        assert_eq!(in_use(&world), before, "version {version}");
        world.run_for(Duration::from_secs(12));
        assert_eq!(in_use(&world), 0, "version {version}");
    }
    let runs = world.runs.values();
    assert!(runs.clone().all(|runs| *runs == 1));
    println!("{} of {next} ran", runs.count());
}
