//! The sessions.

use std::time::Duration;

use insta::assert_snapshot;
use sycamorelink_core::RequestId;
use sycamorelink_engine::{NodeEvent, WorkEnd};

use crate::world::{BackendScript, SessionWorld, node};

/// A key made at virtual zero.
const KEY: &str = "01a0c450-8b40-7000-8000-000000000001";
/// Long enough for any session to come to rest.
const REST: Duration = Duration::from_secs(3);

fn all_backends(world: &mut SessionWorld, names: &[&str], script: BackendScript) {
    for name in names {
        world.scripts.insert(node(name), script);
    }
}

// A price check and a booking are served; the booking sent again gets the kept reply.
#[test]
fn a_price_check_and_a_booking() {
    let mut world = SessionWorld::start(3);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(REST);
    world.call("a", 2, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    world.call("b", 3, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    assert_eq!(world.runs.get(&RequestId(2)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(3)), None);
    assert_snapshot!(world.trace());
}

// Every backend server answers 500. The price check is tried elsewhere within the budget and then
// gets the server's own answer; a booking that ran gets its 500 at once and is never run again.
#[test]
fn server_errors_are_retried_only_where_that_is_safe() {
    let mut world = SessionWorld::start(3);
    let failing = BackendScript {
        status: 500,
        ..BackendScript::default()
    };
    all_backends(&mut world, &["a", "b", "c"], failing);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(REST);
    world.call("a", 2, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    world.call("c", 3, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    assert_eq!(world.runs.get(&RequestId(2)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(3)), None);
    assert_snapshot!(world.trace());
}

// The backend server crashes under a booking. The caller is told "unknown" at once; the resend
// through another node is told the same and does not run.
#[test]
fn a_crash_under_a_booking_is_unknown_for_good() {
    let mut world = SessionWorld::start(3);
    let crashing = BackendScript {
        end: WorkEnd::Crashed,
        ..BackendScript::default()
    };
    all_backends(&mut world, &["a", "b", "c"], crashing);
    world.call("a", 1, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    all_backends(&mut world, &["a", "b", "c"], BackendScript::default());
    world.call("b", 2, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    assert_eq!(world.runs.get(&RequestId(2)), None);
    assert_snapshot!(world.trace());
}

// No reply comes before the deadline. The caller gets its final answer at the deadline, "unknown";
// the resend meanwhile joins the run that is still under way and gets its reply.
#[test]
fn a_resend_joins_the_run_that_outlived_its_caller() {
    let mut world = SessionWorld::start(3);
    let slow = BackendScript {
        time: Duration::from_secs(12),
        ..BackendScript::default()
    };
    all_backends(&mut world, &["a", "b", "c"], slow);
    world.call("a", 1, "POST", "/bookings", Some(KEY));
    world.run_for(Duration::from_secs(9));
    world.call("b", 2, "POST", "/bookings", Some(KEY));
    world.run_for(REST * 2);
    assert_eq!(world.runs.get(&RequestId(1)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(2)), None);
    assert_snapshot!(world.trace());
}

// A caller goes away while its price check runs. The attempt is cancelled at once.
#[test]
fn a_caller_that_goes_away_frees_its_slot() {
    let mut world = SessionWorld::start(2);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(Duration::from_millis(5));
    world.tell(
        "a",
        NodeEvent::CallerGone {
            request: RequestId(1),
        },
    );
    world.run_for(REST);
    assert_snapshot!(world.trace());
}

// A node leaves while it runs a request of another. It finishes it, hands over its seats and is
// drained; bookings go on through the others with the log down.
#[test]
fn a_node_leaves_with_work_in_flight() {
    let mut world = SessionWorld::start(4);
    world.set_log(false);
    world.call("b", 1, "POST", "/bookings", Some(KEY));
    world.run_for(Duration::from_millis(10));
    world.tell("a", NodeEvent::DrainRequested);
    world.run_for(Duration::from_secs(6));
    world.kill("a");
    world.call("c", 2, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    assert_eq!(world.runs.get(&RequestId(1)), Some(&1));
    assert_eq!(world.runs.get(&RequestId(2)), None);
    assert_snapshot!(world.trace());
}

// The log is down and a node is killed. Bookings through the others go on once its seats are
// struck, each within its deadline.
#[test]
fn bookings_go_on_with_the_log_down_and_a_node_killed() {
    let mut world = SessionWorld::start(4);
    world.set_log(false);
    world.kill("d");
    for number in 0..8_u128 {
        let key = format!("01a0c450-8b40-7000-8000-0000000001{number:02}");
        world.call("a", 100 + number, "POST", "/bookings", Some(&key));
        world.run_for(Duration::from_millis(700));
    }
    world.run_for(REST);
    let ran = (100..108)
        .filter(|number| world.runs.get(&RequestId(*number)) == Some(&1))
        .count();
    assert_eq!(ran, 8, "{}", world.trace());
    assert_snapshot!(world.trace());
}

// A booking ran. Its resend meets a service without any upstream, which would be refused as not run.
// The key's guards are asked first, and the caller gets the kept reply instead of a wrong "not run".
#[test]
fn a_refused_resend_of_a_run_gets_its_reply() {
    let mut world = SessionWorld::start(3);
    world.call("a", 1, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    for name in ["a", "b", "c"] {
        world.tell(
            name,
            NodeEvent::UpstreamWithdrawn {
                slot: 0,
                life: None,
            },
        );
    }
    world.run_for(REST);
    world.call("b", 2, "POST", "/bookings", Some(KEY));
    world.run_for(REST);
    let fresh = "01a0c450-8b40-7000-8000-000000000002";
    world.call("b", 3, "POST", "/bookings", Some(fresh));
    world.run_for(REST);
    assert_snapshot!(world.trace());
}

// Two of three nodes stop answering and callers ask the third for far more than its own share. What
// it cannot serve is refused soon and told when to come back, not held until its deadline of a second.
#[test]
fn a_share_that_never_comes_is_waited_for_briefly() {
    let mut world = SessionWorld::start(3);
    world.amend(node("a"), 21, 6);
    world.run_for(Duration::from_secs(30));
    let slow = BackendScript {
        time: Duration::from_secs(2),
        ..BackendScript::default()
    };
    all_backends(&mut world, &["a", "b", "c"], slow);
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
