//! Attribution of calls of backend servers to the runs that make them.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{ContentDigest, FleetAccount, FleetContract, FleetRoute, RoutePart};
use sycamorelink_core::{CustomerName, RequestId, ServiceName};
use sycamorelink_engine::{ArrivalKind, AttemptOrder, CallerRequest, NodeEvent};

use crate::fleet_contract::{contract, fail_backends_of};
use crate::world::{BackendScript, SessionWorld, caller_request, node};

/// Priority of the routes.
const ROUTE_PRIORITY: u8 = 5;
/// Accounts with their priorities; the name is the key, too.
const ACCOUNTS: [(&str, u8); 2] = [("harbour", 8), ("mill", 2)];

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a contract with two accounts and a public route to the service `stock`, which the servers
/// of `orders` call.
fn calling_contract() -> FleetContract {
    let mut contract = contract(1, "/prices/");
    let stock = ServiceName::new("stock");
    let prices = contract.routes[1].clone();
    contract.routes.push(FleetRoute {
        name: Arc::from("stock"),
        prefix: Arc::from("/stock/"),
        objective: millis(800),
        deadline: Duration::from_secs(3),
        public: true,
        parts: vec![RoutePart {
            service: stock.clone(),
            weight: 1,
        }],
        ..prices
    });
    contract.services.push(stock);
    contract.accounts = ACCOUNTS
        .map(|(name, priority)| FleetAccount {
            name: CustomerName::new(name),
            keys: vec![ContentDigest::of(name.as_bytes())],
            priority: Some(priority),
            quota: None,
        })
        .to_vec();
    contract
}

/// Replaces the server of `orders` beside `b` by one of `stock`, and slows those of `orders` down.
fn prepare(mut world: SessionWorld, names: &[&str]) -> SessionWorld {
    let gone = NodeEvent::UpstreamWithdrawn {
        slot: 0,
        life: None,
    };
    world.send_event("b", gone);
    world.announce_second("b", &ServiceName::new("stock"));
    world.run_for(Duration::from_secs(4));
    for name in names {
        let script = BackendScript {
            time: millis(1000),
            ..BackendScript::default()
        };
        world.scripts.insert(node(name), script);
    }
    world
}

fn calling_fleet() -> SessionWorld {
    let contract = calling_contract();
    let world = SessionWorld::start_fleet_controlled(2, contract, Duration::from_secs(2));
    prepare(world, &["a"])
}

/// Returns a request of an account for prices.
fn request(number: u128, account: &str, time_left: Duration) -> CallerRequest {
    CallerRequest {
        account_key: Some(ContentDigest::of(account.as_bytes())),
        time_left: Some(time_left),
        ..caller_request(number, "GET", "/prices/a", None)
    }
}

/// Returns a call of a backend server.
fn call(number: u128, time_left: Duration) -> CallerRequest {
    CallerRequest {
        time_left: Some(time_left),
        ..caller_request(number, "GET", "/stock/a", None)
    }
}

/// Returns the last order of a request's attempts.
fn order_of(world: &SessionWorld, number: u128) -> &AttemptOrder {
    let mut orders = world.orders.iter().rev();
    let order = orders.find(|order| order.attempt.request == RequestId(number));
    order.expect("the request was dispatched")
}

/// Returns account and priority of a request's last attempt.
fn attributes_of(world: &SessionWorld, number: u128) -> (Option<&str>, u8) {
    let order = order_of(world, number);
    let terms = order.terms.as_ref().expect("overload control is on");
    let account = terms.account.as_ref().map(CustomerName::as_str);
    (account, order.priority)
}

// Guards against callers without an account that get the account and priority of other work because
// they allow the same time: a server does not call its own service.
#[test]
fn request_for_the_local_service_is_no_call() {
    let mut world = prepare(calling_fleet(), &["a", "b"]);
    world.send_caller("a", request(1, "harbour", millis(5000)));
    world.run_for(millis(300));
    world.send_caller("a", call(2, millis(4695)));
    world.run_for(millis(50));
    assert!(world.runs.contains_key(&RequestId(2)), "it runs beside b");
    world.send_caller("b", call(3, millis(2950)));
    world.run_for(millis(10));
    assert_eq!(attributes_of(&world, 3), (None, ROUTE_PRIORITY));
}

// Guards against calls that wait behind all accounts, or at the priority of their route, while a run
// of an account waits for them.
#[test]
fn call_has_account_priority_and_objective_of_its_run() {
    let mut world = calling_fleet();
    world.send_caller("a", request(1, "harbour", millis(5000)));
    world.run_for(millis(300));
    world.send_caller("a", call(2, millis(4695)));
    world.run_for(millis(10));
    assert_eq!(attributes_of(&world, 2), (Some("harbour"), 8));
    let terms = order_of(&world, 2).terms.clone().unwrap_or_default();
    let left = terms.objective_left.unwrap_or_default();
    assert!((millis(1680)..=millis(1705)).contains(&left), "{left:?}");
    assert_eq!(world.runs.get(&RequestId(2)), Some(&1));
}

// Guards against a mix-up of two runs whose deadlines are so near that both match.
#[test]
fn call_belongs_to_the_run_with_the_nearest_deadline() {
    let mut world = calling_fleet();
    world.send_caller("a", request(1, "harbour", millis(5000)));
    world.send_caller("a", request(2, "mill", millis(5030)));
    world.run_for(millis(100));
    world.send_caller("a", call(3, millis(4912)));
    world.send_caller("a", call(4, millis(4918)));
    world.run_for(millis(10));
    assert_eq!(attributes_of(&world, 3), (Some("harbour"), 8));
    assert_eq!(attributes_of(&world, 4), (Some("mill"), 2));
}

// Guards against calls and callers that take over the terms of a run by chance: the run has ended, its
// deadline is another one, or the request has an account key or no time left.
#[test]
fn request_without_a_matching_run_keeps_its_own_terms() {
    let mut world = calling_fleet();
    world.send_caller("a", request(1, "harbour", millis(5000)));
    world.run_for(millis(100));
    world.send_caller("a", call(2, millis(4860)));
    let without_time = CallerRequest {
        time_left: None,
        ..call(3, millis(0))
    };
    world.send_caller("a", without_time);
    let keyed = CallerRequest {
        account_key: Some(ContentDigest::of(b"mill")),
        ..call(4, millis(4900))
    };
    world.send_caller("a", keyed);
    world.run_for(millis(1400));
    world.send_caller("a", call(5, millis(3500)));
    world.run_for(millis(10));
    for number in [2, 3, 5] {
        assert_eq!(attributes_of(&world, number), (None, ROUTE_PRIORITY));
    }
    assert_eq!(attributes_of(&world, 4), (Some("mill"), 2));
}

// Guards against a change for fleets without overload control.
#[test]
fn nothing_is_attributed_without_overload_control() {
    let world = SessionWorld::start_fleet(2, calling_contract());
    let mut world = prepare(world, &["a"]);
    world.send_caller("a", request(1, "harbour", millis(5000)));
    world.run_for(millis(100));
    world.send_caller("a", call(2, millis(4900)));
    world.run_for(millis(10));
    let order = order_of(&world, 2);
    assert_eq!((order.priority, &order.terms), (ROUTE_PRIORITY, &None));
}

// Guards against calls of first runs that are charged as calls of repeats, and the reverse: each call
// counts as its run does.
#[test]
fn call_of_a_repeated_run_counts_as_one() {
    let contract = calling_contract();
    let world = SessionWorld::start_fleet_controlled(3, contract, Duration::from_secs(2));
    let mut world = prepare(world, &["a"]);
    fail_backends_of(&mut world, &["c"]);
    let mut counts = [0, 0];
    for number in 0..12 {
        // Two requests at a time, so that an estimate would have to guess.
        for (offset, time_left) in [(0, 5000), (1, 5400)] {
            let id = number * 10 + offset;
            world.send_caller("b", request(id, "harbour", millis(time_left)));
        }
        world.run_for(millis(200));
        for (offset, time_left) in [(0, 4800), (1, 5200)] {
            let run = order_of(&world, number * 10 + offset).clone();
            assert_eq!(run.upstream.node, node("a"));
            let call_id = number * 10 + offset + 5;
            world.send_caller("a", call(call_id, millis(time_left)));
            world.run_for(millis(10));
            let expected = match run.arrival {
                ArrivalKind::Repeat => ArrivalKind::CalledByRepeat,
                _ => ArrivalKind::First,
            };
            assert_eq!(order_of(&world, call_id).arrival, expected);
            counts[usize::from(run.arrival == ArrivalKind::Repeat)] += 1;
        }
        world.run_for(Duration::from_secs(2));
    }
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}
