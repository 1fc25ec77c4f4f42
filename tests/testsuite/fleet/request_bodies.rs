//! Request bodies on the way to backend servers. A backend server gets the whole body of a request
//! or no request.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use sycamorelink_core::stable_hash;

use crate::support::fixture::{CALLER_TOKEN, FleetFixture};
use crate::support::http::{TestReply, send_and_half_close, send_raw};

/// Largest body that a daemon keeps for another attempt, in bytes.
const REPLAY_LIMIT: usize = 64 << 10;
/// Chunk size of the requests.
const CHUNK_BYTES: usize = 1000;
/// Pause between requests, in which their servers become free.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Starts a fleet whose route `/prices` also accepts idempotent `PUT` requests.
fn start_fleet(count: usize) -> FleetFixture {
    let fleet = FleetFixture::start(count);
    let contract = sycamorelink_contract::samples::brannock().to_json();
    let mut contract: Value = serde_json::from_str(&contract).expect("the sample is JSON");
    for route in contract["routes"].as_array_mut().expect("routes") {
        if route["prefix"] == "/prices" {
            route["methods"] = json!(["GET", "PUT"]);
        }
    }
    let reply = fleet.publish(0, "brannock", 0, &contract.to_string());
    assert_eq!(reply.status, 200, "{:?}", reply.json());
    fleet.wait_ready();
    fleet
}

fn chunked_head(method: &str) -> Vec<u8> {
    let head = format!(
        "{method} /prices/bulk HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CALLER_TOKEN}\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
    );
    head.into_bytes()
}

fn push_chunks(request: &mut Vec<u8>, body: &[u8]) {
    for chunk in body.chunks(CHUNK_BYTES) {
        request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
}

fn send_chunked(fleet: &FleetFixture, method: &str, body: &[u8]) -> TestReply {
    let mut request = chunked_head(method);
    push_chunks(&mut request, body);
    request.extend_from_slice(b"0\r\n\r\n");
    send_raw(&fleet.instances[0].caller_address(), &request).expect("an answer")
}

fn send_declared(fleet: &FleetFixture, method: &str, body: &[u8]) -> TestReply {
    let length = body.len();
    let head = format!(
        "{method} /prices/bulk HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CALLER_TOKEN}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.extend_from_slice(body);
    send_raw(&fleet.instances[0].caller_address(), &request).expect("an answer")
}

/// Returns a body without repeated parts, so that a missing part changes the digest.
fn sample_body(length: usize) -> Vec<u8> {
    let numbers = (0_u32..).flat_map(|number| format!("{number} ").into_bytes());
    numbers.take(length).collect()
}

/// Asserts that the backend server that answered read exactly this body.
fn assert_whole(reply: &TestReply, body: &[u8]) {
    let read = reply.json();
    assert_eq!(reply.status, 200, "{read:?}");
    assert_eq!(read["body_bytes"], body.len(), "{read:?}");
    assert_eq!(
        read["body_digest"],
        format!("{:016x}", stable_hash(&[body])),
        "{read:?}"
    );
}

// Guards against an empty body at the second server: the first attempt fails and its body was
// streamed.
#[test]
fn chunked_body_reaches_the_next_server_whole() {
    let mut fleet = start_fleet(3);
    let body = sample_body(25);
    assert_whole(&send_chunked(&fleet, "PUT", &body), &body);
    for killed in [1, 2] {
        fleet.instances[killed].backend.kill();
    }
    for _ in 0..12 {
        assert_whole(&send_chunked(&fleet, "PUT", &body), &body);
        thread::sleep(REQUEST_INTERVAL);
    }
}

// Guards against a shorter body at the second server when the body is too long to be kept: such a
// request is answered with the end of its first attempt.
#[test]
fn long_body_is_sent_to_one_server_only() {
    let mut fleet = start_fleet(3);
    let body = sample_body(5 * REPLAY_LIMIT);
    assert_whole(&send_chunked(&fleet, "PUT", &body), &body);
    assert_whole(&send_declared(&fleet, "PUT", &body), &body);
    for killed in [1, 2] {
        fleet.instances[killed].backend.kill();
    }
    for round in 0..12 {
        let reply = match round % 2 {
            0 => send_chunked(&fleet, "PUT", &body),
            _ => send_declared(&fleet, "PUT", &body),
        };
        if reply.status == 200 {
            assert_whole(&reply, &body);
        }
        thread::sleep(REQUEST_INTERVAL);
    }
}

// Guards against running a part of a request: the caller closes its connection within a chunked
// body, whose length nobody declared.
#[test]
fn cut_off_chunked_body_is_never_run() {
    let fleet = start_fleet(1);
    let runs_before = fleet.instances[0].run_counters()["total"].clone();
    for (length, end) in [
        (25, ""),
        (5 * REPLAY_LIMIT, ""),
        (25, "zz\r\n"),
        (25, "10\r\n012"),
    ] {
        let mut request = chunked_head("PUT");
        push_chunks(&mut request, &sample_body(length));
        request.extend_from_slice(end.as_bytes());
        let address = fleet.instances[0].caller_address();
        let answer = send_and_half_close(&address, &request, Duration::ZERO).expect("sends");
        let answer = String::from_utf8_lossy(&answer);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(fleet.instances[0].run_counters()["total"], runs_before);
}

// Guards against dropping the body of a look-up, for which the HTTP client library sends no chunked
// body by itself.
#[test]
fn chunked_body_of_get_arrives_whole() {
    let fleet = start_fleet(2);
    for length in [25, 5 * REPLAY_LIMIT] {
        let body = sample_body(length);
        for _ in 0..4 {
            assert_whole(&send_chunked(&fleet, "GET", &body), &body);
            assert_whole(&send_declared(&fleet, "GET", &body), &body);
        }
    }
}
