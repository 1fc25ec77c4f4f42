//! Validation of contracts, which reports all errors at once with their JSON paths.

use insta::{assert_json_snapshot, assert_snapshot};
use sycamorelink_contract::{CustomerContract, contract_schema, samples};

fn findings(text: &str) -> String {
    match CustomerContract::from_json(text) {
        Ok(_) => "valid".to_owned(),
        Err(findings) => findings.to_string(),
    }
}

#[test]
fn all_schema_errors_are_reported() {
    // Unknown and missing keys, wrong types, wrong units and misspelt values must be reported
    // together, with a suggestion if a known word is similar.
    let text = r#"{
        "customer": "brannock", "taem": "red", "concurrency": "many",
        "tokens": [{"id": "dealer", "sha256": "abc"}],
        "rate": {"per_second": 10, "burst": -1},
        "leaning": "fast-detecton",
        "services": [{"name": "orders", "flor": 0.5, "deadline": "2 s"}],
        "routes": [{"prefix": "/orders", "methods": ["GET", "get"], "service": "orders",
                    "repeat": "idempotant", "max_body": "64kb", "priority": 5.5,
                    "keys": {"memory": 60}}]
    }"#;
    assert_snapshot!(findings(text));
}

#[test]
fn all_semantic_errors_are_reported() {
    // All semantic errors must be reported together, so that one correction is enough.
    let hash = "0".repeat(64);
    let text = format!(
        r#"{{
        "customer": "Brannock!", "team": "red", "concurrency": 0,
        "tokens": [{{"id": "dealer", "sha256": "{hash}"}}, {{"id": "dealer", "sha256": "{hash}"}}],
        "rate": {{"per_second": 0, "burst": 0}},
        "retry_budget": {{"share": 0.6, "min_per_second": -1}},
        "hedge_budget": {{"share": 2}},
        "reply_id_header": "x request id",
        "services": [
            {{"name": "orders", "floor": 1.5, "deadline": "40s", "max_deadline": "30s", "slots": 0,
              "objective": {{"latency": "50s", "success": 1, "window": "0s"}}}},
            {{"name": "orders", "deadline": "0s"}},
            {{"name": "prices", "objective": {{"latency": "500ms"}}}}
        ],
        "routes": [
            {{"prefix": "/orders", "methods": ["GET"], "service": "ordres", "repeat": "idempotent"}},
            {{"prefix": "/orders/", "methods": ["GET", "GET"], "service": "orders",
              "repeat": "idempotent", "deadline": "10m", "priority": 10}},
            {{"prefix": "/book/../x", "methods": [], "service": "orders", "repeat": "non-idempotent",
              "hedge": true, "deadline": "20s", "keys": {{"memory": "10s"}}}},
            {{"prefix": "/prices", "methods": ["GET"], "service": "prices", "repeat": "idempotent",
              "deadline": "100ms", "keys": {{"memory": "0s"}}}}
        ]}}"#
    );
    assert_snapshot!(findings(&text));
}

#[test]
fn invalid_json_is_a_single_finding() {
    assert_snapshot!(findings("{\"customer\": "));
    assert_snapshot!(findings("[]"));
}

#[test]
fn samples_round_trip() {
    for contract in [samples::brannock(), samples::harbour_mesh()] {
        assert_eq!(contract.validate().0, []);
        let again = CustomerContract::from_json(&contract.to_json());
        assert_eq!(again.as_ref(), Ok(&contract));
    }
    assert_snapshot!("brannock", samples::brannock().to_json());
}

#[test]
fn schema_is_stable() {
    // Editors and the command line validate files against the schema.
    assert_json_snapshot!("schema", contract_schema());
}
