//! Sessions of a small fleet whose trace is compared with a snapshot.

use std::time::Duration;

use insta::assert_snapshot;
use sycamorelink_core::RequestId;
use sycamorelink_engine::{NodeEvent, WorkEnd};

use crate::world::{BackendScript, SessionWorld, node};

/// An idempotency key whose timestamp is the start of virtual time.
const KEY: &str = "01a0c450-8b40-7000-8000-000000000001";
/// Time after which every session is idle.
const IDLE_TIME: Duration = Duration::from_secs(3);

fn set_backends(world: &mut SessionWorld, names: &[&str], script: BackendScript) {
    for name in names {
        world.scripts.insert(node(name), script);
    }
}

// A price check and a booking are served. The resent booking must get the stored reply.
#[test]
fn resent_booking_gets_stored_reply() {
    let mut world = SessionWorld::start(3);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(IDLE_TIME);
    world.call("a", 2, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    world.call("b", 3, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    assert_eq!(world.runs.get(&RequestId(2)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(3)), None);
    assert_snapshot!(world.trace());
}

// Every backend server answers 500. The price check must be retried elsewhere within the budget and
// then get the server's answer. A booking that ran must get its 500 at once and never run again.
#[test]
fn server_errors_are_retried_only_if_idempotent() {
    let mut world = SessionWorld::start(3);
    let failing = BackendScript {
        status: 500,
        ..BackendScript::default()
    };
    set_backends(&mut world, &["a", "b", "c"], failing);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(IDLE_TIME);
    world.call("a", 2, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    world.call("c", 3, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    assert_eq!(world.runs.get(&RequestId(2)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(3)), None);
    assert_snapshot!(world.trace());
}

// The backend server crashes during a booking. The caller must get "unknown" at once, and a resend
// through another node must get the same answer and not run.
#[test]
fn crashed_booking_stays_unknown() {
    let mut world = SessionWorld::start(3);
    let crashing = BackendScript {
        end: WorkEnd::Crashed,
        ..BackendScript::default()
    };
    set_backends(&mut world, &["a", "b", "c"], crashing);
    world.call("a", 1, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    set_backends(&mut world, &["a", "b", "c"], BackendScript::default());
    world.call("b", 2, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    assert_eq!(world.runs.get(&RequestId(2)), None);
    assert_snapshot!(world.trace());
}

// No reply arrives before the deadline, at which the caller gets "unknown". A resend that arrives
// in the meantime must join the open run and get its reply.
#[test]
fn resend_joins_open_run() {
    let mut world = SessionWorld::start(3);
    let slow = BackendScript {
        time: Duration::from_secs(12),
        ..BackendScript::default()
    };
    set_backends(&mut world, &["a", "b", "c"], slow);
    world.call("a", 1, "POST", "/bookings", Some(KEY));
    world.run_for(Duration::from_secs(9));
    world.call("b", 2, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME * 2);
    assert_eq!(world.runs.get(&RequestId(1)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(2)), None);
    assert_snapshot!(world.trace());
}

// The caller disconnects while its price check runs. The attempt must be cancelled at once.
#[test]
fn disconnected_caller_frees_slot() {
    let mut world = SessionWorld::start(2);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(Duration::from_millis(5));
    world.send_event(
        "a",
        NodeEvent::CallerGone {
            request: RequestId(1),
        },
    );
    world.run_for(IDLE_TIME);
    assert_snapshot!(world.trace());
}

// A node leaves while it runs another node's request. It must finish the request, hand over its
// guard seats and be drained. With the log down, bookings through the other nodes must continue.
#[test]
fn node_leaves_with_work_in_flight() {
    let mut world = SessionWorld::start(4);
    world.set_log_reachable(false);
    world.call("b", 1, "POST", "/bookings", Some(KEY));
    world.run_for(Duration::from_millis(10));
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(Duration::from_secs(6));
    world.kill("a");
    world.call("c", 2, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    assert_eq!(world.runs.get(&RequestId(1)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(2)), None);
    assert_snapshot!(world.trace());
}

// A node is killed while the log is down. Once its guard seats are removed, bookings through the
// other nodes must continue, each within its deadline.
#[test]
fn bookings_continue_with_log_down_and_node_killed() {
    let mut world = SessionWorld::start(4);
    world.set_log_reachable(false);
    world.kill("d");
    for number in 0..8_u128 {
        let key = format!("01a0c450-8b40-7000-8000-0000000001{number:02}");
        world.call("a", 100 + number, "POST", "/bookings", Some(&key));
        world.run_for(Duration::from_millis(700));
    }
    world.run_for(IDLE_TIME);
    let ran = (100..108)
        .filter(|number| world.runs.get(&RequestId(*number)) == Some(&1))
        .count();
    assert_eq!(ran, 8, "{}", world.trace());
    assert_snapshot!(world.trace());
}

// The resend of a booking that ran meets a service without upstreams, which is refused as not run.
// The guards of the key are asked first, so the caller must get the stored reply instead of a wrong
// "not run".
#[test]
fn refused_resend_gets_stored_reply() {
    let mut world = SessionWorld::start(3);
    world.call("a", 1, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    for name in ["a", "b", "c"] {
        world.send_event(
            name,
            NodeEvent::UpstreamWithdrawn {
                slot: 0,
                life: None,
            },
        );
    }
    world.run_for(IDLE_TIME);
    world.call("b", 2, "POST", "/bookings", Some(KEY));
    world.run_for(IDLE_TIME);
    let fresh = "01a0c450-8b40-7000-8000-000000000002";
    world.call("b", 3, "POST", "/bookings", Some(fresh));
    world.run_for(IDLE_TIME);
    assert_snapshot!(world.trace());
}

// Two of three nodes stop answering, and callers request far more of the third than its own share.
// Requests that it cannot serve must be refused soon with a retry delay, and not be held until
// their deadline of one second.
#[test]
fn wait_for_missing_share_is_bounded() {
    let mut world = SessionWorld::start(3);
    world.amend(node("a"), 21, 6);
    world.run_for(Duration::from_secs(30));
    let slow = BackendScript {
        time: Duration::from_secs(2),
        ..BackendScript::default()
    };
    set_backends(&mut world, &["a", "b", "c"], slow);
    world.freeze(node("b"));
    world.freeze(node("c"));
    for number in 1..=40 {
        world.call("a", number, "GET", "/prices/bulk", None);
    }
    world.run_for(Duration::from_millis(500));
    let trace = world.trace();
    let refused = trace.matches("limit-exceeded").count();
    let asked = world.engines()[&node("a")].in_flight();
    assert!(refused >= 34, "{refused} refused, {asked} open: {trace}");
}
