//! Backend servers that limit the requests that they get.

use std::time::Duration;

use sycamorelink_core::RequestId;
use sycamorelink_engine::{LimitNotice, ServerNotice};

use crate::fleet_contract::contract;
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
        notice: ServerNotice { limit },
        ..BackendScript::default()
    };
    world.scripts.insert(node(name), script);
}

fn limited_fleet(limit: LimitNotice) -> SessionWorld {
    let mut world = SessionWorld::start_fleet_in(2, FLEET_SIZE, contract(3, "/prices/"));
    set_limit(&mut world, "a", limit);
    world
}

/// Sends requests through all nodes in turn.
fn send_requests(world: &mut SessionWorld, first: u128, time: Duration) -> u128 {
    let until = world.now() + time;
    let mut number = first;
    while world.now() < until {
        let ingress = name_of(u8::try_from(number % u128::from(FLEET_SIZE)).unwrap_or(0));
        world.call(&ingress, number, "GET", "/prices/1", None);
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
