//! Callers that read a reply slowly, and connections that are closed before their request was read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::support::fixture::{CALLER_TOKEN, FleetFixture, OPERATOR_TOKEN};
use crate::support::http::{TestRequest, parse_reply};
use crate::support::process::TestProcess;
use crate::support::wait_until;

/// Length of a reply that the kernel does not take at once, in bytes.
const LONG_REPLY: usize = 900_000;
/// Length of a body that is not read before its request is refused, in bytes.
const UNREAD_BODY: usize = 300_000;
/// Time for which a caller does not read. An idle daemon stops sooner.
const PAUSE: Duration = Duration::from_secs(4);
/// Segment size and receive buffer of a caller for which the kernel buffers little, in bytes.
const SEGMENT: u32 = 1460;
const RECEIVE_BUFFER: usize = 8192;

/// Connects a caller for which the kernel buffers little.
fn connect(address: &str) -> TcpStream {
    let address: SocketAddr = address.parse().expect("an address");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    sized.expect("the receive buffer is set");
    socket
        .set_tcp_mss(SEGMENT)
        .expect("the segment size is set");
    socket.connect(&address.into()).expect("the daemon listens");
    let stream = TcpStream::from(socket);
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).expect("a limit is set");
    stream
}

fn request(method: &str, target: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "{method} {target} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CALLER_TOKEN}\r\n\
         content-length: {length}\r\n\r\n"
    );
    head.into_bytes()
}

/// Asks for a long reply and waits until it is complete at the daemon.
fn ask_for_long_reply(address: &str) -> TcpStream {
    let mut stream = connect(address);
    let target = format!("/prices/bulk?reply_bytes={LONG_REPLY}");
    let request = request("GET", &target, 0);
    stream.write_all(&request).expect("the request is sent");
    // The daemon buffers the reply, so its first byte arrives after its last one was read.
    let begun = stream.peek(&mut [0]);
    assert_eq!(begun.expect("the reply begins"), 1);
    stream
}

/// Reads a long reply after a pause, in which the daemon is told to stop by `stop`.
fn read_during_stop<F>(stop: F)
where
    F: FnOnce(&TestProcess),
{
    let settings = json!({ "reply_buffer": "1MB", "drain": { "limit": "20s" } });
    let mut fleet = FleetFixture::with_settings(2, &settings);
    fleet.publish_sample();
    let mut stream = ask_for_long_reply(&fleet.instances[0].caller_address());
    let daemon = &mut fleet.instances[0].daemon;
    stop(daemon);
    let resumes_at = Instant::now() + PAUSE;
    while daemon.try_wait().is_none() && Instant::now() < resumes_at {
        thread::sleep(Duration::from_millis(50));
    }
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let reply = parse_reply(&bytes).expect("a reply");
    assert_eq!((reply.status, reply.body.len()), (200, LONG_REPLY));
    assert!(daemon.wait().success());
}

// Guards against a stop that cuts off a complete reply because its caller reads it slowly.
#[test]
fn stop_waits_for_the_reader_of_a_complete_reply() {
    read_during_stop(|daemon| daemon.signal("TERM"));
}

// Guards against the same fault in a drain that an operator requested.
#[test]
fn drain_waits_for_the_reader_of_a_complete_reply() {
    read_during_stop(|daemon| {
        let drain = TestRequest::new("POST", "/v1/drain").token(OPERATOR_TOKEN);
        let reply = drain.send(&daemon.address("operators"));
        assert_eq!(reply.expect("the operators' port answers").status, 202);
    });
}

// Guards against a caller that never reads and so keeps a stopping daemon from ending in time, or cuts
// off the replies of others.
#[test]
fn caller_that_never_reads_holds_no_other_reply() {
    let settings = json!({ "reply_buffer": "1MB", "drain": { "limit": "6s" } });
    let mut fleet = FleetFixture::with_settings(2, &settings);
    fleet.publish_sample();
    let address = fleet.instances[0].caller_address();
    let silent = ask_for_long_reply(&address);
    let mut reading = ask_for_long_reply(&address);
    fleet.instances[0].daemon.signal("TERM");
    let mut bytes = Vec::new();
    let _ = reading.read_to_end(&mut bytes);
    let reply = parse_reply(&bytes).expect("a reply");
    assert_eq!((reply.status, reply.body.len()), (200, LONG_REPLY));
    let status = fleet.instances[0].daemon.wait();
    assert!(
        !status.success(),
        "the daemon reports that it cut off a reply"
    );
    drop(silent);
}

// Guards against descriptors that early refusals leave behind, until the daemon accepts no connection.
#[test]
fn early_refusals_leave_no_descriptors() {
    const REFUSALS: usize = 60;
    let fleet = FleetFixture::start(1);
    fleet.publish_sample();
    let daemon = &fleet.instances[0].daemon;
    let count_sockets = || {
        let descriptors = daemon.open_descriptors();
        let sockets = descriptors
            .iter()
            .filter(|name| name.starts_with("socket:"));
        sockets.count()
    };
    let before = count_sockets();
    for _ in 0..REFUSALS {
        let mut stream = connect(&fleet.instances[0].caller_address());
        let mut request = request("POST", "/unknown", UNREAD_BODY);
        request.resize(request.len() + UNREAD_BODY / 10, b'x');
        stream.write_all(&request).expect("the request is sent");
        let mut status = [0; 12];
        stream.read_exact(&mut status).expect("a refusal");
        assert_eq!(&status, b"HTTP/1.1 404");
    }
    wait_until("the sockets to be closed", || {
        count_sockets() < before + REFUSALS / 2
    });
}

// Guards against a refusal that is lost because the connection is reset while its caller still sends
// the body.
#[test]
fn refusal_reaches_a_caller_that_still_sends_its_body() {
    const PARTS: usize = 10;
    let fleet = FleetFixture::start(1);
    fleet.publish_sample();
    let mut stream = connect(&fleet.instances[0].caller_address());
    let head = request("POST", "/unknown", UNREAD_BODY);
    stream.write_all(&head).expect("the head is sent");
    for _ in 0..PARTS {
        let part = vec![b'x'; UNREAD_BODY / PARTS];
        stream.write_all(&part).expect("the connection is open");
        thread::sleep(Duration::from_millis(50));
    }
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("no reset");
    assert_eq!(parse_reply(&bytes).expect("a reply").status, 404);
}
