//! Commands that read contracts, the fleet, services, one daemon and burn rates.

mod support;

use support::{FakeDaemon, reply, run};
use sycamorelink_contract::samples;
use sycamorelink_ops::OutputFormat;
use sycamorelink_ops::burn::{BurnOutput, report_burn};
use sycamorelink_ops::contract::{contract_history, list_contracts, show_contract};
use sycamorelink_ops::fleet::{drain_instance, show_fleet, show_instance, show_service};

#[test]
fn contract_is_printed_with_its_version() {
    let daemon = FakeDaemon::start(vec![reply(200, &samples::harbour_mesh_json()).version(7)]);
    let text = run(&[daemon.address()], |context| {
        show_contract(context, "harbour-mesh")
    });
    let (head, tail) = ("exit code 0\n--- stdout\n", "--- stderr\n     Version 7\n");
    let contract = samples::harbour_mesh().to_json();
    assert_eq!(text, format!("{head}{contract}\n{tail}"));
}

#[test]
fn customers_are_listed_across_pages() {
    let first = r#"{"contracts": [{"customer": "a b", "version": 3, "team": "t"}], "next": "a b"}"#;
    let second = r#"{"contracts": [{"customer": "c", "version": 9}], "next": null}"#;
    let daemon = FakeDaemon::start(vec![reply(200, first), reply(200, second)]);
    let text = run(&[daemon.address()], |context| {
        list_contracts(context, OutputFormat::Text)
    });
    insta::assert_snapshot!(format!("{text}=== calls\n{}", daemon.calls()));
}

#[test]
fn contract_history_is_printed_as_a_table() {
    let history = r#"{"customer": "brannock", "entries": [
        {"change": "c3", "base": 4, "action": "put", "outcome": "rejected", "operator": "bo",
         "reason": "version 6 is in force", "at": "2026-01-09T10:00:00Z"},
        {"change": "c2", "version": 6, "base": 4, "action": "put", "outcome": "accepted",
         "operator": "ada", "at": "2026-01-09T09:59:58Z"}]}"#;
    let daemon = FakeDaemon::start(vec![reply(200, history)]);
    let text = run(&[daemon.address()], |context| {
        contract_history(context, "brannock", OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn fleet_members_are_printed_as_a_table() {
    let fleet = r#"{"members": [
        {"instance": "i-1", "domain": "d1", "state": "alive", "reachable": true,
         "contract_head": 12, "upstreams": [{"service": "orders", "phase": "ready"}]},
        {"instance": "i-2", "domain": "d2", "state": "alive", "reachable": false,
         "contract_head": 11, "upstreams": [{"service": "orders", "phase": "leaving"}]},
        {"instance": "i-3", "domain": "d3", "state": "dead", "reachable": false}]}"#;
    let daemon = FakeDaemon::start(vec![reply(200, fleet)]);
    let text = run(&[daemon.address()], |context| {
        show_fleet(context, OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn service_is_printed_with_its_floor() {
    let service = r#"{"service": "orders",
        "floor": {"known_slots": 15, "floor_slots": 10, "floor_count": 2, "serving_slots": 10,
                  "serving_count": 2, "ejected_count": 1},
        "upstreams": [
          {"upstream": "0a/0", "instance": "i-1", "domain": "d1", "phase": "ready", "slots": 5,
           "weight": 1.0, "suspicion": 0.12, "in_flight": 2},
          {"upstream": "0b/0", "instance": "i-2", "domain": "d2", "phase": "ready", "slots": 5,
           "weight": 0.31, "suspicion": 4.0, "cause": "slow", "in_flight": 1},
          {"upstream": "0c/0", "instance": "i-3", "domain": "d3", "phase": "ready", "slots": 5,
           "weight": 0.0, "suspicion": 9.0, "cause": "failing", "ejected": true,
           "ejected_for": "4s", "in_flight": 0}]}"#;
    let daemon = FakeDaemon::start(vec![reply(200, service)]);
    let text = run(&[daemon.address()], |context| {
        show_service(context, "orders", OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

const SERVICE_UNDER_LOAD: &str = r#"{"service": "orders",
    "floor": {"known_slots": 10, "floor_slots": 6, "floor_count": 1, "serving_slots": 10,
              "serving_count": 2, "ejected_count": 0},
    "upstreams": [
      {"upstream": "0a/0", "instance": "i-1", "domain": "d1", "phase": "ready", "slots": 5,
       "weight": 1.0, "suspicion": 0.1, "in_flight": 5},
      {"upstream": "0b/0", "instance": "i-2", "domain": "d2", "phase": "ready", "slots": 5,
       "weight": 1.0, "suspicion": 0.0, "in_flight": 4}],
    "overload": {
      "queues": [{"upstream": "0a/0", "in_time": 12, "late": 3, "longest_wait_ms": 2450}],
      "waiting": [{"reason": "declining", "count": 0, "longest_wait_ms": null},
                  {"reason": "no-repeats", "count": 2, "longest_wait_ms": 310},
                  {"reason": "no-capacity", "count": 20, "longest_wait_ms": 1000}],
      "refusals": {"window_ms": 60000,
        "reasons": [{"refusal": "limit-exceeded", "count": 7},
                    {"refusal": "overloaded", "count": 120}],
        "accounts": [{"account": "mill", "count": 90}, {"account": "granary", "count": 20}],
        "other_accounts": 17},
      "servers": [
        {"upstream": "0a/0", "in_use": 5, "limit": 5, "queued": 15, "expected_wait_ms": 2100,
         "mean_run_ms": 830, "repeats": 0, "age_ms": 40},
        {"upstream": "0b/0", "in_use": 4, "limit": 4, "queued": 0, "expected_wait_ms": 0,
         "mean_run_ms": 900, "repeats": 3, "age_ms": 1320}]}}"#;

// Guards against an operator who sees that requests are refused but not why, nor what waits.
#[test]
fn service_under_overload_control_is_printed() {
    let daemon = FakeDaemon::start(vec![reply(200, SERVICE_UNDER_LOAD)]);
    let text = run(&[daemon.address()], |context| {
        show_service(context, "orders", OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn service_under_overload_control_is_printed_as_json() {
    let daemon = FakeDaemon::start(vec![reply(200, SERVICE_UNDER_LOAD)]);
    let text = run(&[daemon.address()], |context| {
        show_service(context, "orders", OutputFormat::Json)
    });
    insta::assert_snapshot!(text);
}

// Guards against empty tables and sums while nothing waits and nothing was refused, or while parts
// of overload control are off.
#[test]
fn idle_overload_control_is_printed_in_two_lines() {
    let idle = r#"{"service": "orders", "overload": {"queues": [], "waiting": null,
        "refusals": {"window_ms": 60000, "reasons": [], "accounts": [], "other_accounts": 0},
        "servers": []}}"#;
    let daemon = FakeDaemon::start(vec![reply(200, idle)]);
    let text = run(&[daemon.address()], |context| {
        show_service(context, "orders", OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

// Guards against a changed reply for fleets without overload control: scripts read its members.
#[test]
fn service_without_overload_control_has_the_same_json_as_before() {
    let service = r#"{"service": "orders", "upstreams": [
        {"upstream": "0a/0", "instance": "i-1", "domain": "d1", "phase": "ready", "slots": 5,
         "weight": 1.0, "suspicion": 0.1, "in_flight": 5}]}"#;
    let daemon = FakeDaemon::start(vec![reply(200, service)]);
    let text = run(&[daemon.address()], |context| {
        show_service(context, "orders", OutputFormat::Json)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn instance_status_is_printed() {
    let status = r#"{"instance": "i-1", "node": "0a", "incarnation": "1", "domain": "d1",
        "region": "r1", "state": "ready", "uptime": "61s", "in_flight": 3,
        "log": {"reachable": false, "offset": 12}, "contracts": {"head": 12, "customers": 2},
        "upstreams": [{"slot": 0, "service": "orders", "address": "127.0.0.1:9", "slots": 5,
                       "phase": "ready", "in_use": 2, "waiting": 0}]}"#;
    let daemon = FakeDaemon::start(vec![reply(200, status)]);
    let text = run(&[daemon.address()], |context| {
        show_instance(context, OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn drain_reports_state_and_requests_in_flight() {
    let daemon = FakeDaemon::start(vec![reply(202, r#"{"state": "draining", "in_flight": 4}"#)]);
    let text = run(&[daemon.address()], drain_instance);
    insta::assert_snapshot!(format!("{text}=== calls\n{}", daemon.calls()));
}

#[test]
fn malformed_reply_reports_the_path() {
    let daemon = FakeDaemon::start(vec![reply(200, r#"{"members": [{"instance": 7}]}"#)]);
    let text = run(&[daemon.address()], |context| {
        show_fleet(context, OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn unknown_service_exits_with_not_found() {
    let problem = r#"{"title": "no such service", "status": 404, "code": "not-found",
        "detail": "did you mean `orders`?"}"#;
    let daemon = FakeDaemon::start(vec![reply(404, problem)]);
    let text = run(&[daemon.address()], |context| {
        show_service(context, "order", OutputFormat::Text)
    });
    insta::assert_snapshot!(text);
}

/// Two daemons report and one does not answer. The output mentions the missing daemon, and a daemon
/// configured under two addresses is counted once.
#[test]
fn burn_is_summed_over_answering_daemons() {
    let source = r#"{"instance": {"node": "0a", "incarnation": "1"}, "covers": "1h"}"#;
    let other = source.replace("0a", "0b");
    let report = |source: &str| {
        let text = format!(r#"{{"at": 1767225600, "sources": [{source}], "rows": []}}"#);
        FakeDaemon::start(vec![reply(200, &text)])
    };
    let (first, second, again) = (report(source), report(&other), report(source));
    let gone = "127.0.0.1:1".parse().expect("an address");
    let daemons = [first.address(), second.address(), again.address(), gone];
    let text = run(&daemons, |context| report_burn(context, &BurnOutput::Table));
    insta::assert_snapshot!(text);
}

/// Data points make a report many times as long and only the plots of the HTML page need them.
#[test]
fn only_the_html_page_requests_points() {
    let report = r#"{"at": 1767225600, "sources": [], "rows": []}"#;
    let directory = tempfile::tempdir().expect("a directory");
    let page = BurnOutput::Page(directory.path().join("burn.html"));
    for (output, call) in [
        (BurnOutput::Table, "GET /v1/burn"),
        (BurnOutput::Json, "GET /v1/burn"),
        (page, "GET /v1/burn?points=true"),
    ] {
        let daemon = FakeDaemon::start(vec![reply(200, report)]);
        run(&[daemon.address()], |context| report_burn(context, &output));
        assert_eq!(daemon.calls().lines().next(), Some(call));
    }
}
