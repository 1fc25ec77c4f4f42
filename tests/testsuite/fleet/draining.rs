//! Draining: new requests stop within seconds, and requests in flight complete.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::support::fixture::{FleetFixture, InstanceFixture, booking, fresh_key, price_check};
use crate::support::wait_until;

/// Time within which every daemon must stop sending requests to a draining backend server.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

// Guards against requests to a draining backend server while the log is down. Gossip alone must
// spread the announcement to every daemon within two seconds.
#[test]
fn draining_backend_server_gets_no_new_requests() {
    let fleet = FleetFixture::start(3);
    fleet.publish_sample();
    fleet.control_log(&json!({ "mode": "down" }));
    fleet.instances[2].control_backend(&json!({ "phase": "leaving" }));
    thread::sleep(DRAIN_LIMIT);
    let before = fleet.instances[2].run_counters()["total"].clone();
    for round in 0..30 {
        let reply = fleet.call(round % 3, &price_check());
        assert_eq!(reply.status, 200, "{:?}", reply.json());
    }
    assert_eq!(fleet.instances[2].run_counters()["total"], before);
}

// Guards against failed requests during a rolling restart under load. On SIGTERM a daemon must
// notify its peers, hand over its guard seats and complete its requests, while callers of the other
// daemons see no refusal.
#[test]
fn rolling_daemon_restart_fails_no_requests() {
    let mut fleet = FleetFixture::start(3);
    fleet.publish_sample();
    for index in 0..3 {
        let stop = AtomicBool::new(false);
        let answered = AtomicU32::new(0);
        let staying: Vec<String> = fleet
            .instances
            .iter()
            .enumerate()
            .filter(|(place, _)| *place != index)
            .map(|(_, instance)| instance.caller_address())
            .collect();
        let mut draining_daemon = detach_daemon(&mut fleet, index);
        thread::scope(|scope| {
            for address in &staying {
                scope.spawn(|| {
                    while !stop.load(Ordering::Relaxed) {
                        for request in [price_check(), booking(&fresh_key())] {
                            let reply = request.send(address).expect("an answer");
                            assert_eq!(reply.status, 200, "{:?}", reply.json());
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
            }
            let status = draining_daemon.terminate();
            stop.store(true, Ordering::Relaxed);
            assert!(
                status.success(),
                "the daemon exited with requests cut off: {status}"
            );
        });
        assert!(answered.load(Ordering::Relaxed) > 0);
        let name = format!("instance-{index}");
        fleet.instances[index].daemon = fleet.start_daemon(&name, index);
        fleet.restart_backend(index);
        fleet.wait_ready();
    }
}

/// Takes a daemon out of the fixture, so that it can be terminated while other threads use the
/// fixture. A stand-in log process takes its place.
fn detach_daemon(fleet: &mut FleetFixture, index: usize) -> crate::support::process::TestProcess {
    let placeholder = crate::support::process::TestProcess::start(
        env!("CARGO_BIN_EXE_sycamorelink"),
        &["stand-in", "log"],
    );
    std::mem::replace(&mut fleet.instances[index].daemon, placeholder)
}

// Guards against failed requests when a backend server is drained and replaced under load.
#[test]
fn backend_server_restart_fails_no_requests() {
    let mut fleet = FleetFixture::start(3);
    fleet.publish_sample();
    let addresses: Vec<String> = fleet
        .instances
        .iter()
        .map(InstanceFixture::caller_address)
        .collect();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for address in &addresses {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let reply = price_check().send(address).expect("an answer");
                    assert_eq!(reply.status, 200, "{:?}", reply.json());
                }
            });
        }
        fleet.instances[0].control_backend(&json!({ "phase": "leaving" }));
        thread::sleep(DRAIN_LIMIT);
        fleet.instances[0].backend.terminate();
        fleet.restart_backend(0);
        wait_until("the new backend server to serve", || {
            fleet.instances[0].run_counters()["total"]["finished"].as_u64() > Some(0)
        });
        stop.store(true, Ordering::Relaxed);
    });
}
