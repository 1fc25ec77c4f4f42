//! Tests of the audit trail.

use crate::http::call;
use crate::node::{NodeFixture, wait_event};

const CHANGE: &str = "018f9c2e-0000-7000-8000-000000000001";

/// Guards against changes that cannot be traced to an operator: each changing call is logged with
/// its operator, customer, change id and outcome, whether it was accepted or rejected.
#[test]
fn change_is_audited_with_its_author() {
    let node = NodeFixture::start("auditor");
    node.publish(CHANGE);
    let event = wait_event("SL9009", "operator", "auditor");
    assert_eq!(event["call"], "put-contract");
    assert_eq!(event["customer"], "brannock");
    assert_eq!(event["change"], CHANGE);
    assert_eq!(event["version"], "1");
    assert_eq!(event["reason"], "accepted");
    assert_eq!(wait_event("SL5001", "operator", "auditor")["version"], "1");

    let contract = sycamorelink_contract::samples::brannock_json();
    let second_change = "018f9c2e-0000-7000-8000-000000000002";
    let key = format!("idempotency-key: {second_change}");
    let headers = ["if-match: \"0\"", key.as_str()];
    let rejected = node.admin("PUT /v1/contracts/brannock", &headers, &contract);
    assert_ne!(rejected.status, 200);
    let event = wait_event("SL9009", "change", second_change);
    let reason = event["reason"].as_str().unwrap_or_default();
    assert!(
        reason.contains(rejected.body["code"].as_str().expect("a code")),
        "{reason}"
    );
    node.handle.stop();
}

/// Guards against leaked tokens: a call with an unknown token is denied and logged, and the log
/// does not contain the token.
#[test]
fn denied_call_is_logged_without_its_token() {
    let node = NodeFixture::start("doorkeeper");
    let unknown_token = "authorization: Bearer not-a-token";
    let reply = call(
        node.operators(),
        "GET /v1/status?denied",
        &[unknown_token],
        "",
    );
    assert_eq!(reply.status, 401);
    let event = wait_event("SL9008", "call", "GET /v1/status");
    assert!(!event.to_string().contains("not-a-token"));
    node.handle.stop();
}
