//! Callers that close only their sending direction and read on.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::support::fixture::{CALLER_TOKEN, FleetFixture, fresh_key};
use crate::support::http::{TestReply, parse_reply, send_and_half_close};

/// Time after an answer in which a run that was ordered before it has started.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Sends a request, closes the sending direction after a while, and returns the answer.
fn call_and_half_close(fleet: &FleetFixture, head: &str, after: Duration) -> TestReply {
    let request = format!(
        "{head}\r\nhost: test\r\nauthorization: Bearer {CALLER_TOKEN}\r\ncontent-length: 5\r\n\
         \r\nhello"
    );
    let address = fleet.instances[0].caller_address();
    let answer = send_and_half_close(&address, request.as_bytes(), after).expect("sends");
    parse_reply(&answer).expect("a whole answer")
}

/// Counts the runs of a request, by its id in the answer.
fn count_request_runs(fleet: &FleetFixture, reply: &TestReply) -> u64 {
    let id = reply.header("x-request-id");
    assert!(!id.is_empty(), "{reply:?}");
    let counts = fleet.instances.iter().map(|instance| {
        let counters = instance.run_counters();
        counters["by_request"][id]["started"].as_u64().unwrap_or(0)
    });
    counts.sum()
}

// Guards against "not run" about a request that a backend server was running when its caller closed
// the sending direction. A caller that believes it sends the booking again under another key.
#[test]
fn half_closed_caller_is_not_told_not_run_of_a_run() {
    let fleet = FleetFixture::start(2);
    fleet.publish_sample();
    for instance in &fleet.instances {
        instance.control_backend(&json!({ "fault": "slow", "factor": 25.0 }));
    }
    for millis in [0, 50, 150, 250, 0, 50, 150, 250] {
        let after = Duration::from_millis(millis);
        let key = fresh_key();
        let head = format!("POST /bookings HTTP/1.1\r\nidempotency-key: {key}");
        let booked = call_and_half_close(&fleet, &head, after);
        let looked_up = call_and_half_close(&fleet, "GET /prices/bulk HTTP/1.1", after);
        thread::sleep(SETTLE_TIME);
        let replies = [
            (&booked, fleet.count_runs(&key)),
            (&looked_up, count_request_runs(&fleet, &looked_up)),
        ];
        for (reply, runs) in replies {
            let denied = reply.run_state() == "not-run";
            assert!(
                !denied || runs == 0,
                "after {after:?}: ran {runs} times: {reply:?}"
            );
        }
    }
}
