//! Requests through a complete fleet: a caller, two daemons, two backend servers and the log.

use insta::assert_snapshot;

use crate::support::fixture::{FleetFixture, booking, fresh_key, price_check};
use crate::support::http::TestReply;

/// Formats the parts of a reply that are the same in every test run.
fn summary(reply: &TestReply) -> String {
    let body = reply.json();
    format!(
        "{} run={} replayed={} method={} path={} bytes={}",
        reply.status,
        reply.run_state(),
        reply.header("idempotent-replayed"),
        body["method"],
        body["path"],
        body["body_bytes"],
    )
}

// Guards against a break anywhere between caller and backend server: reading the contract from the
// log, discovering upstreams by gossip and forwarding between daemons, which half of the requests
// need. A booking that is resent through the other daemon must run once and get the stored reply.
#[test]
fn requests_are_served_end_to_end() {
    let fleet = FleetFixture::start(2);
    fleet.publish_sample();
    for _ in 0..20 {
        assert_eq!(fleet.call(0, &price_check()).status, 200);
    }
    let key = fresh_key();
    let first = fleet.call(0, &booking(&key));
    let second = fleet.call(1, &booking(&key));
    let answers = [
        summary(&fleet.call(1, &price_check())),
        summary(&first),
        summary(&second),
    ];
    assert_snapshot!(answers.join("\n"));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.count_runs(&key), 1);
    for instance in &fleet.instances {
        let runs = instance.run_counters();
        assert!(
            runs["total"]["finished"].as_u64() > Some(0),
            "{} ran nothing: {runs}",
            instance.name
        );
    }
}

// Guards against a daemon using io_uring, which the project rules out for its users. The HTTP
// library links a crate that can open an io_uring descriptor.
#[test]
fn daemon_opens_no_io_uring() {
    let fleet = FleetFixture::start(1);
    fleet.publish_sample();
    assert_eq!(fleet.call(0, &price_check()).status, 200);
    let kinds = fleet.instances[0].daemon.open_descriptors();
    assert!(
        kinds.iter().any(|kind| kind.contains("eventpoll")),
        "{kinds:?}"
    );
    assert!(
        !kinds.iter().any(|kind| kind.contains("io_uring")),
        "{kinds:?}"
    );
}
