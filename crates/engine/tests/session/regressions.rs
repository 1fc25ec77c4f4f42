//! Regression tests: minimal sessions for faults that the random sessions in `faults` revealed.

use std::time::Duration;

use insta::assert_snapshot;
use sycamorelink_core::RequestId;
use sycamorelink_engine::NodeEvent;
use sycamorelink_limits::WorkId;
use sycamorelink_policy::UpstreamPhase;

use crate::world::{BackendScript, SessionWorld, node};

// A node that joins under a new name after another one was lost permanently has no record of the
// dead node. Price checks through the new node must be served.
#[test]
fn node_joins_after_permanent_loss_of_another() {
    let mut world = SessionWorld::start(3);
    world.audit.begin();
    world.kill("c");
    world.run_for(Duration::from_secs(20));
    world.add_node(3, 1);
    world.run_for(Duration::from_mins(1));
    for (number, name) in [(1, "a"), (2, "b"), (3, "d")] {
        world.call(name, number, "GET", "/prices/bulk", None);
        world.run_for(Duration::from_secs(2));
        let status = world.audit.status_of(RequestId(number));
        assert_eq!(status, Some(200), "{}", world.trace());
    }
}

// Bookings through the two remaining nodes must be served at any time after the third one left in
// an orderly way.
#[test]
fn bookings_are_served_after_a_node_leaves() {
    for pause in [0, 100, 500, 1_000, 2_500, 6_000, 20_000] {
        let mut world = SessionWorld::start(3);
        world.audit.begin();
        world.send_event("c", NodeEvent::DrainRequested);
        let mut waits = 0;
        while world.audit.drained.is_empty() && waits < 150 {
            world.run_for(Duration::from_millis(100));
            waits += 1;
        }
        world.send_event("c", NodeEvent::Departed);
        world.run_for(Duration::from_millis(100));
        world.kill("c");
        world.run_for(Duration::from_millis(pause));
        for number in 0..40_u128 {
            let key = format!("01a0c450-8b40-7000-8000-0000000002{number:02}");
            let name = if number % 2 == 0 { "a" } else { "b" };
            world.call(name, 1 + number, "POST", "/bookings", Some(&key));
            world.run_for(Duration::from_millis(40));
        }
        world.run_for(Duration::from_secs(9));
        let failed: Vec<u128> = (1..41)
            .filter(|number| world.audit.status_of(RequestId(*number)) != Some(200))
            .collect();
        assert!(failed.is_empty(), "{pause}: {failed:?}\n{}", world.trace());
    }
}

// A node that is alone has no peer that could take over its guard seats. It must be drained once
// its callers are quiet, without waiting for a handover.
#[test]
fn lone_node_drains_without_handover() {
    let mut world = SessionWorld::start(1);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.send_event("a", NodeEvent::DrainRequested);
    world.run_for(Duration::from_secs(4));
    assert_snapshot!(world.trace());
}

// A slow backend server leaves and comes back while price checks wait for its slots. Its slots are
// counted from zero, so waiting work of the old count must be refused at once as not run, and no
// work may remain.
#[test]
fn queued_work_is_refused_when_backend_returns() {
    let mut world = SessionWorld::start(1);
    let slow = BackendScript {
        time: Duration::from_millis(400),
        ..BackendScript::default()
    };
    world.scripts.insert(node("a"), slow);
    for number in 1..=7 {
        world.call("a", number, "GET", "/stock/bulk", None);
        world.run_for(Duration::from_millis(50));
    }
    world.announce(node("a"), UpstreamPhase::Leaving);
    world.announce(node("a"), UpstreamPhase::Ready);
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.engines()[&node("a")].status().works, 0);
    assert_snapshot!(world.trace());
}

// When the backend server of a leaving node leaves too, peers get no new information. The node
// itself must still stop forwarding work to the server.
#[test]
fn leaving_node_stops_using_leaving_backend() {
    let mut world = SessionWorld::start(1);
    world.send_event("a", NodeEvent::DrainRequested);
    world.announce(node("a"), UpstreamPhase::Leaving);
    world.run_for(Duration::from_millis(1_500));
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(Duration::from_secs(2));
    assert_snapshot!(world.trace());
}

// The cancellation of a price check crosses the order to run it, so the daemon handles the
// cancellation first and never reports an end of the work. The slot must be free afterwards.
#[test]
fn cancellation_crossing_run_order_frees_slot() {
    let mut world = SessionWorld::start(1);
    world.call("a", 1, "GET", "/prices/bulk", None);
    world.run_for(Duration::from_millis(1));
    assert_eq!(world.engines()[&node("a")].load_of(0).in_use, 1);
    let work = WorkId(1);
    world.send_event("a", NodeEvent::WorkCancelled { work });
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.engines()[&node("a")].load_of(0).in_use, 0);
}
