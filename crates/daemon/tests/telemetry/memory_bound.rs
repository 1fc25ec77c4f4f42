//! Tests of the bound on the memory for waiting requests.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use serde_json::json;

use crate::http::call;
use crate::node::{NodeFixture, wait_event, wait_for};
use crate::overload::{FixedSource, TOKEN};

/// Declared length of a body that arrives slowly, in bytes.
const SLOW_BODY: usize = 60_000;
/// Length of a body that does not fit beside the slow one into 64 KB.
const SECOND_BODY: usize = 10_000;

// Guards against bodies of waiting requests that take all memory of a small machine. A request that
// does not fit is refused at once as not run, and what a disconnected caller held is released.
#[test]
fn request_beyond_the_memory_limit_is_refused_as_not_run() {
    let limits = json!({ "overload": { "objective_from": "2s", "memory": "64KB" } });
    let source = Box::new(FixedSource::new());
    let mut node = NodeFixture::start_fleet("bounded", limits, source);
    let server = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = server.local_addr().expect("the listener has an address");
    let body = format!(r#"{{"service":"orders","address":"{address}","slots":2,"phase":"ready"}}"#);
    wait_for("the announcement", || {
        let announced = call(node.operators(), "PUT /v1/local/upstreams/1", &[], &body);
        (announced.status == 204).then_some(())
    });
    wait_for("the upstream", || {
        let reply = node.admin("GET /v1/services/orders", &[], "");
        (reply.body["floor"]["serving_count"] == 1).then_some(())
    });
    let callers = node.handle.addresses().callers;
    let mut slow = TcpStream::connect(callers).expect("the daemon listens");
    let head = format!(
        "GET /documents/7 HTTP/1.1\r\nhost: {callers}\r\n{TOKEN}\r\n\
         content-length: {SLOW_BODY}\r\n\r\nbeginning"
    );
    slow.write_all(head.as_bytes())
        .expect("the request is sent");
    node.wait_metric(&format!("sycamorelink.memory_held:{SLOW_BODY}|g"));

    let body = "x".repeat(SECOND_BODY);
    let reply = call(callers, "GET /documents/8", &[TOKEN], &body);
    assert_eq!(reply.body["code"], "overloaded", "{}", reply.body);
    assert_eq!(reply.body["run"], "not-run");
    wait_event("SL8014", "reason", &format!("{SECOND_BODY} bytes needed"));

    drop(slow);
    node.wait_metric("sycamorelink.memory_held:0|g");
    node.handle.stop();
}
