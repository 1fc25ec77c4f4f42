//! A booking runs at most once, also when processes are killed or suspended. Runs are counted at
//! the backend servers.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::support::fixture::{FleetFixture, booking, fresh_key};
use crate::support::http::TestReply;
use crate::support::{wait_for, wait_until};

/// Sends a booking until its reply is final for the key: the booking ran, or its state is unknown.
fn resend_until_settled(fleet: &FleetFixture, index: usize, key: &str) -> TestReply {
    wait_for("a booking to settle", || {
        let reply = booking(key)
            .send(&fleet.instances[index].caller_address())
            .ok()?;
        (reply.run_state() != "not-run").then_some(reply)
    })
}

// Guards against a second run when a caller resends a booking through another daemon while the
// first send is still running. The resend must wait for the first run and get the same reply.
#[test]
fn resend_during_slow_run_joins_it() {
    let fleet = FleetFixture::start(3);
    fleet.publish_sample();
    for instance in &fleet.instances {
        instance.control_backend(&json!({ "fault": "slow", "factor": 50.0 }));
    }
    let key = fresh_key();
    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| fleet.call(0, &booking(&key)));
        wait_until("the first run to begin", || fleet.count_runs(&key) == 1);
        let second = fleet.call(1, &booking(&key));
        (first.join().expect("the first caller is answered"), second)
    });
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.count_runs(&key), 1);
}

// Guards against two runs when one booking arrives at several daemons simultaneously. The daemon
// that gets the key's grants runs the booking, and the others withdraw and wait for that run.
#[test]
fn concurrent_sends_run_once() {
    let fleet = FleetFixture::start(3);
    fleet.publish_sample();
    for _ in 0..10 {
        let key = fresh_key();
        thread::scope(|scope| {
            for instance in &fleet.instances {
                let request = booking(&key);
                scope.spawn(move || request.send(&instance.caller_address()).expect("an answer"));
            }
        });
        let reply = resend_until_settled(&fleet, 0, &key);
        assert_eq!(reply.status, 200, "{:?}", reply.json());
        assert_eq!(fleet.count_runs(&key), 1);
    }
}

// Guards against lost or repeated bookings when a daemon is killed with its in-memory state while
// the log is down. Other daemons must take over its guard seats and replay the reply of an earlier
// booking.
#[test]
fn bookings_continue_with_log_down_and_daemon_killed() {
    let mut fleet = FleetFixture::start(5);
    fleet.publish_sample();
    let before = fresh_key();
    assert_eq!(resend_until_settled(&fleet, 0, &before).status, 200);
    fleet.control_log(&json!({ "mode": "down" }));
    fleet.instances[4].daemon.kill();
    fleet.instances[4].backend.kill();
    fleet.instances.truncate(4);
    let mut keys = vec![before];
    for round in 0..20 {
        let key = fresh_key();
        let reply = resend_until_settled(&fleet, round % 4, &key);
        assert_eq!(
            (reply.status, reply.run_state()),
            (200, "ran"),
            "{:?}",
            reply.json()
        );
        keys.push(key);
    }
    for key in keys {
        let again = resend_until_settled(&fleet, 2, &key);
        assert_eq!(again.status, 200, "{:?}", again.json());
        assert!(fleet.count_runs(&key) <= 1);
    }
}

// Guards against a second run after a daemon is suspended for longer than any timer and other
// daemons take over its guard seats: the resumed daemon must not act on its outdated grants.
#[test]
fn resumed_daemon_does_not_run_booking_twice() {
    let fleet = FleetFixture::start(4);
    fleet.publish_sample();
    fleet.instances[3].daemon.signal("STOP");
    let keys: Vec<String> = (0..12).map(|_| fresh_key()).collect();
    for (round, key) in keys.iter().enumerate() {
        resend_until_settled(&fleet, round % 3, key);
    }
    fleet.instances[3].daemon.signal("CONT");
    for key in &keys {
        resend_until_settled(&fleet, 3, key);
        assert!(fleet.count_runs(key) <= 1, "{key} ran twice");
    }
}

// Guards against rerunning a booking whose backend server crashed during the run. The effect of the
// crashed run is unknown, so every resend must be answered with "unknown".
#[test]
fn booking_that_crashed_backend_server_is_not_rerun() {
    let fleet = FleetFixture::start(3);
    fleet.publish_sample();
    for instance in &fleet.instances {
        let fault = json!({ "fault": "crash-on", "marker": "poison", "down_ms": 300 });
        instance.control_backend(&fault);
    }
    let key = fresh_key();
    let request = booking(&key).body(b"poison");
    for index in [0, 1, 2, 0] {
        let reply = fleet.call(index, &request);
        assert_eq!(reply.run_state(), "unknown", "{:?}", reply.json());
    }
    thread::sleep(Duration::from_millis(500));
    assert!(fleet.count_runs(&key) <= 1);
}

// Guards against a second run after a daemon is replaced without its state. The new process must
// not answer for grants of the old one.
#[test]
fn replaced_daemon_does_not_rerun_bookings() {
    let mut fleet = FleetFixture::start(4);
    fleet.publish_sample();
    let keys: Vec<String> = (0..8).map(|_| fresh_key()).collect();
    for key in &keys {
        assert_eq!(resend_until_settled(&fleet, 0, key).status, 200);
    }
    fleet.instances[3].daemon.kill();
    let daemon = fleet.start_daemon("instance-3", 0);
    fleet.instances[3].daemon = daemon;
    for key in &keys {
        let reply = wait_for("the replaced daemon to answer", || {
            let reply = booking(key)
                .send(&fleet.instances[3].caller_address())
                .ok()?;
            (reply.run_state() != "not-run").then_some(reply)
        });
        assert!(
            matches!(reply.run_state(), "ran" | "unknown"),
            "{:?}",
            reply.json()
        );
        assert!(fleet.count_runs(key) <= 1);
    }
}
