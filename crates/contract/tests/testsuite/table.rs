//! Lookups of the request path in the compiled form.

use std::sync::Arc;

use sycamorelink_contract::table::path::{self, PathError};
use sycamorelink_contract::table::{ContractInForce, TableBuilder};
use sycamorelink_contract::{
    ChangeAction, ChangeId, ClientAccount, ContentDigest, ContractText, ContractVersion,
    CustomerContract, DetectionLeaning, RouteTable, samples,
};
use sycamorelink_core::CustomerName;

use crate::common::{TestLog, contract};

fn put(builder: &mut TableBuilder, contract: &CustomerContract, version: u64) {
    builder.put(ContractInForce {
        content: &ContractText::of(contract),
        version: ContractVersion(version),
        created: ContractVersion(version),
    });
}

fn with_token(customer: &str, token: &str) -> CustomerContract {
    let mut contract = contract(customer, 1);
    contract.tokens.push(ClientAccount {
        id: Arc::from("main"),
        sha256: ContentDigest::of(token.as_bytes()),
        role: None,
    });
    contract
}

fn token_owner(table: &RouteTable, token: &str) -> Option<String> {
    let index = table.find_customer(token.as_bytes())?;
    Some(table.customer(index)?.customer.to_string())
}

#[test]
fn ambiguous_paths_are_refused() {
    // The path /prices/../bookings would be routed as an idempotent price request and might be
    // sent twice, while the backend server resolves the dots and books twice. Therefore only paths
    // in normal form are accepted.
    let refused = [
        ("", PathError::NotAbsolute),
        ("bookings", PathError::NotAbsolute),
        ("*", PathError::NotAbsolute),
        ("//bookings", PathError::EmptySegment),
        ("/prices//bookings", PathError::EmptySegment),
        ("/prices/../bookings", PathError::DotSegment),
        ("/prices/./bookings", PathError::DotSegment),
        ("/prices/..", PathError::DotSegment),
        ("/prices/..;x=1/bookings", PathError::DotSegment),
        ("/prices/;/bookings", PathError::EmptySegment),
        ("/prices/%2e%2e/bookings", PathError::NeedlessEscape),
        ("/prices/%2E./bookings", PathError::NeedlessEscape),
        ("/%62ookings", PathError::NeedlessEscape),
        ("/prices%2fbookings", PathError::NeedlessEscape),
        ("/prices%5Cbookings", PathError::NeedlessEscape),
        ("/prices%252e", PathError::NeedlessEscape),
        ("/prices%00", PathError::NeedlessEscape),
        ("/prices%0a", PathError::NeedlessEscape),
        ("/prices%2", PathError::BrokenEscape),
        ("/prices%zz", PathError::BrokenEscape),
        ("/prices\\bookings", PathError::BadCharacter),
        ("/pri ces", PathError::BadCharacter),
        ("/prices\t", PathError::BadCharacter),
        ("/pr\u{ef}ces", PathError::BadCharacter),
    ];
    for (text, error) in refused {
        assert_eq!(path::check(text), Err(error), "{text:?}");
    }
    for text in [
        "/",
        "/a",
        "/a/",
        "/a/b.c/~d_e-f",
        "/caf%C3%A9",
        "/a?x=../..//%2e",
        "/a;v=1/b",
    ] {
        assert_eq!(path::check(text), Ok(()), "{text:?}");
    }
}

#[test]
fn only_the_longest_prefix_is_considered() {
    let text = samples::brannock_json().replace(
        r#""routes": ["#,
        r#""routes": [
        {"prefix": "/", "methods": ["GET", "POST", "DELETE"], "service": "orders", "repeat": "idempotent"},"#,
    );
    let contract = CustomerContract::from_json(&text).unwrap();
    let mut builder = TableBuilder::default();
    put(&mut builder, &contract, 1);
    let table = builder.table();
    let customer = table
        .find_customer(samples::BRANNOCK_TOKEN.as_bytes())
        .unwrap();
    let prefix = |method: &str, path: &str| {
        let rule = table.find_route(customer, method, path);
        rule.map(|rule| rule.prefix.to_string())
    };
    let found = |text: &str| Some(text.to_owned());
    assert_eq!(prefix("GET", "/"), found(""));
    assert_eq!(prefix("GET", "/pricesheet"), found(""));
    assert_eq!(prefix("GET", "/prices"), found("/prices"));
    assert_eq!(prefix("GET", "/prices/"), found("/prices"));
    assert_eq!(prefix("GET", "/prices/7/now?at=1"), found("/prices"));
    assert_eq!(prefix("POST", "/bookings"), found("/bookings"));
    // The route of "/" accepts POST, but /prices is the longest matching prefix.
    assert_eq!(prefix("POST", "/prices"), None);
    assert_eq!(prefix("PATCH", "/bookings/1"), None);
    assert_eq!(prefix("get", "/prices"), None);
    assert_eq!(prefix("GET", "/prices/../bookings"), None);
}

#[test]
fn shared_token_belongs_to_the_oldest_customer() {
    // A later contract contains the hash of another customer's token. If the token moved to the
    // later customer, its callers would be served under that customer's limits and routes.
    let mut builder = TableBuilder::default();
    put(&mut builder, &with_token("younger", "secret"), 9);
    assert_eq!(
        token_owner(&builder.table(), "secret").as_deref(),
        Some("younger")
    );
    put(&mut builder, &with_token("older", "secret"), 4);
    put(&mut builder, &with_token("youngest", "secret"), 12);
    assert_eq!(
        token_owner(&builder.table(), "secret").as_deref(),
        Some("older")
    );
    let findings = builder.findings().to_string();
    assert!(findings.contains("older, the oldest of them"), "{findings}");

    builder.remove(&CustomerName::new("older"));
    assert_eq!(
        token_owner(&builder.table(), "secret").as_deref(),
        Some("younger")
    );
    put(&mut builder, &contract("younger", 1), 9);
    assert_eq!(
        token_owner(&builder.table(), "secret").as_deref(),
        Some("youngest")
    );
    assert_eq!(builder.findings().0, []);
    builder.remove(&CustomerName::new("youngest"));
    assert_eq!(token_owner(&builder.table(), "secret"), None);
}

#[test]
fn book_reports_shared_tokens() {
    let mut log = TestLog::default();
    for (customer, id) in [("ash", 1), ("birch", 2)] {
        let action = ChangeAction::put(&with_token(customer, "secret"));
        let draft = log
            .book
            .draft(ChangeId(id), &CustomerName::new(customer), action);
        log.append(draft.author("ann", "red").build().encode());
    }
    assert_eq!(log.book.token_findings().0.len(), 1);
    assert_eq!(
        token_owner(&log.book.table(), "secret").as_deref(),
        Some("ash")
    );
}

#[test]
fn token_lookup_compares_the_full_hash() {
    // Accounts are indexed by the first bytes of the hash. A token whose hash only shares these
    // bytes with an account must not match the account.
    let mut builder = TableBuilder::default();
    let mut near = with_token("near", "secret");
    near.tokens[0].sha256.0[31] ^= 1;
    put(&mut builder, &near, 1);
    assert_eq!(token_owner(&builder.table(), "secret"), None);
    put(&mut builder, &with_token("own", "secret"), 2);
    assert_eq!(
        token_owner(&builder.table(), "secret").as_deref(),
        Some("own")
    );
    builder.remove(&CustomerName::new("near"));
    assert_eq!(
        token_owner(&builder.table(), "secret").as_deref(),
        Some("own")
    );
}

#[test]
fn shared_table_is_immutable() {
    let mut builder = TableBuilder::default();
    put(&mut builder, &with_token("ash", "ash token"), 1);
    put(&mut builder, &with_token("birch", "birch token"), 2);
    let before = builder.table();
    builder.remove(&CustomerName::new("ash"));
    put(&mut builder, &with_token("cedar", "cedar token"), 3);
    assert_eq!(token_owner(&before, "ash token").as_deref(), Some("ash"));
    assert_eq!(token_owner(&before, "cedar token"), None);
    let after = builder.table();
    assert_eq!(token_owner(&after, "ash token"), None);
    assert_eq!(token_owner(&after, "birch token").as_deref(), Some("birch"));
    assert_eq!(token_owner(&after, "cedar token").as_deref(), Some("cedar"));
    assert_eq!(after.customers().count(), 2);
    assert_eq!(after.account_count(), 2);
    put(&mut builder, &with_token("birch", "new token"), 4);
    assert_eq!(token_owner(&builder.table(), "birch token"), None);
    assert_eq!(builder.table().account_count(), 2);
}

#[test]
fn strictest_floor_of_a_shared_service_applies() {
    // Two customers use one service, and one of them is guaranteed 8 upstreams. If the weaker floor
    // of the other customer applied, ejections could violate that guarantee.
    let claim = |customer: &str, floor: f64, count: u32, leaning: DetectionLeaning| {
        let mut contract = contract(customer, 1);
        contract.leaning = leaning;
        contract.services[0].floor = floor;
        contract.services[0].floor_count = count;
        contract
    };
    let mut builder = TableBuilder::default();
    put(
        &mut builder,
        &claim("ash", 0.7, 1, DetectionLeaning::FastDetection),
        1,
    );
    let rule = |builder: &TableBuilder| builder.table().service_rule("orders").cloned();
    assert_eq!(
        rule(&builder).unwrap().leaning,
        DetectionLeaning::FastDetection
    );
    put(
        &mut builder,
        &claim("birch", 0.3, 8, DetectionLeaning::FewFalseEjections),
        2,
    );
    let merged = rule(&builder).unwrap();
    assert_eq!((merged.floor, merged.floor_count), (0.7, 8));
    assert_eq!(merged.leaning, DetectionLeaning::Balanced);
    assert_eq!(merged.customers, 2);
    builder.remove(&CustomerName::new("ash"));
    let left = rule(&builder).unwrap();
    assert_eq!((left.floor, left.floor_count), (0.3, 8));
    builder.remove(&CustomerName::new("birch"));
    assert_eq!(rule(&builder), None);
}

#[test]
fn compiled_routes_are_dropped() {
    let mut builder = TableBuilder::default();
    put(&mut builder, &with_token("ash", "ash token"), 1);
    let before = builder.table();
    let customer = before.find_customer(b"ash token").unwrap();
    assert_eq!(before.compiled_routes(), 0);
    assert!(before.find_route(customer, "GET", "/orders").is_some());
    assert!(before.find_route(customer, "GET", "/orders").is_some());
    assert_eq!(before.compiled_routes(), 1);
    assert!(!builder.drop_compiled_routes(1));
    assert!(builder.drop_compiled_routes(0));
    let after = builder.table();
    assert_eq!((before.compiled_routes(), after.compiled_routes()), (1, 0));
    assert_eq!(
        after.find_route(customer, "GET", "/orders"),
        before.find_route(customer, "GET", "/orders")
    );
    assert_eq!(after.compiled_routes(), 1);
}
