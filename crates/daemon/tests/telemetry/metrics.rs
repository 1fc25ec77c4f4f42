//! Tests of metrics and of the burn report.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use sycamorelink_contract::samples::BRANNOCK_TOKEN;
use sycamorelink_telemetry::burn::BurnWindow;
use sycamorelink_telemetry::{BurnOutcome, BurnReport};

use crate::http::call;
use crate::node::{NodeFixture, wait_event, wait_for};

/// Time the caller waits before it gives up: longer than the latency objective of the sample's
/// documents service, one second, and far below its deadline.
const CALLER_WAIT: Duration = Duration::from_millis(1500);

/// Checks that a request refused for lack of upstreams is counted in the metrics by customer,
/// service and code, and in the burn report against the contract's objective.
#[test]
fn refused_request_is_counted_and_burns_budget() {
    let mut node = NodeFixture::start("counter");
    node.wait_metric("sycamorelink.log_reachable:1|g");
    node.publish("018f9c2e-0000-7000-8000-000000000003");
    wait_for("the contract", || node.handle.is_ready().then_some(()));
    let token = format!("authorization: Bearer {BRANNOCK_TOKEN}");
    let callers = node.handle.addresses().callers;
    let reply = call(callers, "GET /prices", &[&token], "");
    assert_eq!(reply.body["code"], "no-upstream", "{}", reply.body);
    node.wait_metric("sycamorelink.requests:1|c|#customer:brannock,outcome:refused,service:orders");
    node.wait_metric("sycamorelink.refusals:1|c|#refusal:no-upstream,service:orders");
    node.wait_metric("sycamorelink.latency.count:1|c|#service:orders");
    node.wait_metric("sycamorelink.contract_version:1|g");
    wait_event("SL2015", "customer", "brannock");

    let report = burn_report(&node, "");
    assert_eq!(report.rows.len(), 1);
    assert_eq!(report.rows[0].version, 1);
    assert_eq!(report.rows[0].windows[0].bad(), 1);
    assert!(report.rows[0].recent.is_empty());
    assert_eq!(burn_report(&node, "?points=true").rows[0].recent.len(), 1);
    assert!(burn_report(&node, "?customer=nobody").rows.is_empty());
    node.handle.stop();
}

fn burn_report(node: &NodeFixture, query: &str) -> BurnReport {
    let reply = node.admin(&format!("GET /v1/burn{query}"), &[], "");
    serde_json::from_value(reply.body).expect("a burn report")
}

/// Guards against a stalled backend server that looks healthy because its callers give up before
/// any deadline. A caller that waited longer than the objective allows counts as late.
#[test]
fn abandoned_request_counts_as_late() {
    let mut node = NodeFixture::start("patient");
    node.publish("018f9c2e-0000-7000-8000-000000000004");
    let server = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    server.set_nonblocking(true).expect("the listener is set");
    let address = server.local_addr().expect("the listener has an address");
    let body = format!(
        r#"{{"service":"depot-documents","address":"{address}","slots":2,"phase":"ready"}}"#
    );
    let announced = call(node.operators(), "PUT /v1/local/upstreams/1", &[], &body);
    assert_eq!(announced.status, 204);
    wait_for("the upstream", || {
        let reply = node.admin("GET /v1/services/depot-documents", &[], "");
        (reply.body["floor"]["serving_count"] == 1).then_some(())
    });

    let callers = node.handle.addresses().callers;
    let mut stream = TcpStream::connect(callers).expect("the daemon listens");
    let head = format!(
        "GET /documents/7 HTTP/1.1\r\nhost: {callers}\r\n\
         authorization: Bearer {BRANNOCK_TOKEN}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .expect("the request is sent");
    let connection = wait_for("the request at the backend server", || server.accept().ok());
    thread::sleep(CALLER_WAIT);
    drop(stream);
    node.wait_metric("sycamorelink.refusals:1|c|#refusal:caller-gone,service:depot-documents");
    drop(connection);

    let report = burn_report(&node, "?service=depot-documents");
    let counts = report.rows[0].counts(BurnWindow::FiveMinutes);
    assert_eq!(counts.get(BurnOutcome::Late), 1, "{counts:?}");
    node.handle.stop();
}
