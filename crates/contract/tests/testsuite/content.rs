//! Compact form and digest of contracts.

use sycamorelink_contract::{ContractText, CustomerContract, samples};

/// Contract that sets every field, none to its default value.
const FULL: &str = r#"{
    "customer": "full", "team": "red",
    "tokens": [{"id": "a", "sha256": "0000000000000000000000000000000000000000000000000000000000000001"},
               {"id": "b", "sha256": "0000000000000000000000000000000000000000000000000000000000000002",
                "role": "tills \u00e9"}],
    "rate": {"per_second": 0.5, "burst": 4000000000}, "concurrency": 4000000000,
    "retry_budget": {"share": 0.0, "min_per_second": 0.25}, "hedge_budget": {"share": 0.5},
    "leaning": "few-false-ejections", "reply_id_header": "x-id",
    "services": [
        {"name": "one", "floor": 0.123, "floor_count": 0, "deadline": "1ns", "max_deadline": "400d",
         "slots": 300, "objective": {"latency": "1ns", "success": 0.5, "window": "30d"}},
        {"name": "two", "objective": {"latency": "2s"}},
        {"name": "three"}],
    "routes": [
        {"prefix": "/", "methods": ["OPTIONS", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
         "service": "three", "repeat": "idempotent", "deadline": "7s", "priority": 0,
         "max_body": "0B", "reply_buffer": "9000GB", "hedge": false,
         "keys": {"required": true, "opaque": "window", "memory": "1ns"}},
        {"prefix": "/a/", "methods": ["POST"], "service": "one", "repeat": "non-idempotent",
         "hedge": false, "keys": {"required": false}},
        {"prefix": "/b", "methods": ["PUT"], "service": "two", "repeat": "idempotent", "hedge": true}]
}"#;

#[test]
fn content_round_trips() {
    let full = CustomerContract::from_json(FULL).expect("valid");
    for contract in [full, samples::brannock(), samples::harbour_mesh()] {
        let content = ContractText::of(&contract);
        assert_eq!(content.parse().as_ref(), Ok(&contract));
        assert_eq!(CustomerContract::from_json(content.as_str()), Ok(contract));
    }
}

#[test]
fn digest_does_not_depend_on_json_formatting() {
    let contract = samples::brannock();
    let written = ContractText::of(&contract);
    let mut value: serde_json::Value = serde_json::from_str(&samples::brannock_json()).unwrap();
    value["services"][0]["deadline"] = "2000ms".into();
    value["routes"][0]["keys"] = serde_json::json!({});
    let read = ContractText::of_value(&value);
    assert_eq!(read.digest(), written.digest());
    value["concurrency"] = 121.into();
    assert_ne!(ContractText::of_value(&value).digest(), written.digest());
}

#[test]
fn digests_are_stable_across_builds() {
    // Nodes of two builds compare digests during a rolling upgrade. If the same contract had two
    // digests, they would reject each other's entries.
    let digests = [
        ContractText::of(&samples::brannock()).digest(),
        ContractText::of(&samples::harbour_mesh()).digest(),
        ContractText::of(&CustomerContract::from_json(FULL).expect("valid")).digest(),
    ];
    insta::assert_debug_snapshot!(digests);
}
