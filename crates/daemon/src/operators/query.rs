//! Queries from the operators' port that the decision thread answers.

use std::time::Duration;

use serde_json::{Value, json};
use sycamorelink_contract::{ChangeId, ChangeOutcome, ContractVersion, VersionConflict};
use sycamorelink_core::{ServiceName, nearest_name};
use sycamorelink_engine::{NodeEngine, UpstreamStatus};
use sycamorelink_telemetry::burn::BurnQuery;

use super::history::contract_history;
use super::overload::overload_value;
use crate::notes::{AuditNote, NoteRecorder};
use crate::work::BackendDirectory;

/// A query to the decision thread.
#[derive(Clone, Debug)]
pub enum OperatorQuery {
    /// State of this daemon.
    Status,
    /// Members and their upstreams, as this daemon knows them.
    Fleet,
    /// Upstreams and capacity floor of a service, by its name.
    Service(String),
    /// Name of the known service that is most similar to an unknown one.
    NearestService(String),
    /// Error budget burn of the requests that this daemon took from callers.
    Burn(BurnQuery),
    /// One page of the customers that have a contract, ordered by name.
    Contracts {
        /// Last customer of the previous page; empty for the first page.
        after: String,
        /// Maximum number of customers in the page.
        limit: usize,
    },
    /// The contract of a customer, with the version and log offset that a change refers to.
    Contract(String),
    /// Changes of a customer's contract, newest first.
    History(String),
    /// Outcome of a change.
    Change(ChangeId),
    /// Writes an entry of the audit trail; the answer is always null.
    Audit(Box<AuditNote>),
}

/// Answers a query; null when the requested item does not exist.
#[must_use]
pub fn answer_query(
    engine: &NodeEngine,
    notes: &NoteRecorder,
    directory: &BackendDirectory,
    now: Duration,
    query: &OperatorQuery,
) -> Value {
    match query {
        OperatorQuery::Status => status(engine, directory, now),
        OperatorQuery::Fleet => fleet(engine),
        OperatorQuery::Service(name) => service(engine, name),
        OperatorQuery::NearestService(name) => nearest_service(engine, name),
        OperatorQuery::Burn(query) => {
            serde_json::to_value(notes.burn_report(now, query)).unwrap_or_default()
        }
        OperatorQuery::Contracts { after, limit } => contracts(engine, after, *limit),
        OperatorQuery::Contract(customer) => contract(engine, customer),
        OperatorQuery::History(customer) => contract_history(engine.book(), customer),
        OperatorQuery::Change(id) => change(engine, *id),
        OperatorQuery::Audit(note) => {
            notes.record_audit(note);
            Value::Null
        }
    }
}

fn status(engine: &NodeEngine, directory: &BackendDirectory, now: Duration) -> Value {
    let status = engine.status();
    let state = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "starting",
    };
    let upstreams: Vec<Value> = engine
        .local_upstreams()
        .into_iter()
        .map(|(slot, announced, load)| {
            let life = announced.life_name();
            let address = directory.address(slot, life.map(AsRef::as_ref));
            json!({
                "slot": slot,
                "service": announced.service,
                "address": address.map(|address| address.to_string()),
                "slots": announced.slots,
                "phase": phase_name(announced.phase),
                "in_use": load.in_use,
                "waiting": load.queued,
            })
        })
        .collect();
    json!({
        "instance": status.name,
        "node": status.instance.node,
        "incarnation": status.instance.incarnation,
        "domain": status.domain,
        "region": status.region,
        "state": state,
        "uptime": format!("{}s", now.as_secs()),
        "in_flight": status.requests,
        "works": status.works,
        "log": { "reachable": status.log_reachable, "offset": status.contract_offset },
        "contracts": { "head": status.contract_offset, "customers": status.customers },
        "members": status.members,
        "guard": status.guard,
        "upstreams": upstreams,
    })
}

fn phase_name(phase: sycamorelink_policy::UpstreamPhase) -> &'static str {
    match phase {
        sycamorelink_policy::UpstreamPhase::Starting => "starting",
        sycamorelink_policy::UpstreamPhase::Ready => "ready",
        sycamorelink_policy::UpstreamPhase::Leaving => "leaving",
    }
}

fn fleet(engine: &NodeEngine) -> Value {
    let services = engine.services();
    let mut members: Vec<Value> = engine
        .fleet()
        .into_iter()
        .map(|member| {
            let node = member.instance.node;
            let upstreams: Vec<Value> = services
                .iter()
                .flat_map(|service| {
                    let hosted = service
                        .upstreams
                        .iter()
                        .filter(|upstream| upstream.id.node == node);
                    hosted.map(|upstream| {
                        json!({
                            "upstream": upstream.id.to_string(),
                            "service": service.service,
                            "slots": upstream.slots,
                            "phase": upstream.phase,
                        })
                    })
                })
                .collect();
            json!({
                "instance": member.name,
                "node": node,
                "incarnation": member.instance.incarnation,
                "domain": member.domain,
                "region": member.region,
                "state": member.standing,
                "reachable": member.reachable,
                "peer_address": member.peer_address,
                "contract_head": member.contract_offset,
                "upstreams": upstreams,
            })
        })
        .collect();
    members.sort_by_key(|member| member["instance"].to_string());
    json!({ "members": members })
}

fn service(engine: &NodeEngine, name: &str) -> Value {
    let service = ServiceName::new(name);
    let Some(floor) = engine.floor_of(&service) else {
        return Value::Null;
    };
    let status = engine.service(&service);
    let upstreams: Vec<Value> = status.upstreams.iter().map(upstream_value).collect();
    let mut value = json!({
        "service": name,
        "floor": {
            "known_slots": floor.known_slots,
            "floor_slots": floor.floor_slots,
            "floor_count": floor.floor_count,
            "serving_slots": floor.serving_slots,
            "serving_count": floor.serving_count,
            "ejected_count": floor.ejected_count,
        },
        "upstreams": upstreams,
    });
    // Without overload control the reply has no such member, as before there was any.
    if let Some(overload) = engine.overload_status(&service) {
        value["overload"] = overload_value(&overload);
    }
    value
}

fn nearest_service(engine: &NodeEngine, name: &str) -> Value {
    let services = engine.services();
    let names = services.iter().map(|status| status.service.as_str());
    nearest_name(name, names).into()
}

fn upstream_value(upstream: &UpstreamStatus) -> Value {
    json!({
        "upstream": upstream.id.to_string(),
        "instance": upstream.instance,
        "domain": upstream.domain,
        "phase": upstream.phase,
        "slots": upstream.slots,
        "weight": upstream.weight,
        "suspicion": upstream.suspicion,
        "cause": upstream.ejected,
        "ejected": upstream.ejected.is_some(),
        "in_flight": upstream.in_flight,
    })
}

fn contracts(engine: &NodeEngine, after: &str, limit: usize) -> Value {
    let mut live = engine
        .book()
        .entries()
        .filter(|entry| entry.is_live() && entry.customer.as_str() > after);
    let page: Vec<_> = live.by_ref().take(limit).collect();
    let next = live
        .next()
        .and(page.last())
        .map(|entry| entry.customer.clone());
    let summaries: Vec<Value> = page
        .iter()
        .map(|entry| {
            json!({
                "customer": entry.customer,
                "version": entry.version.0,
                "team": entry.team,
                "change": entry.change,
            })
        })
        .collect();
    json!({ "contracts": summaries, "next": next })
}

fn contract(engine: &NodeEngine, customer: &str) -> Value {
    let head = engine.book().next_offset();
    let Some(entry) = engine.book().entry(customer) else {
        return json!({ "head": head, "version": 0 });
    };
    let content = entry
        .contract
        .as_ref()
        .and_then(|text| serde_json::from_str::<Value>(text.as_str()).ok());
    let version = if entry.is_live() {
        entry.version
    } else {
        ContractVersion::default()
    };
    json!({
        "head": head,
        "version": version.0,
        "team": entry.team,
        "change": entry.change,
        "contract": content,
    })
}

fn change(engine: &NodeEngine, id: ChangeId) -> Value {
    match engine.book().change_outcome(id) {
        None => json!({ "change": id, "state": "unknown" }),
        Some(ChangeOutcome::Accepted { version }) => {
            json!({ "change": id, "state": "accepted", "version": version.0 })
        }
        Some(ChangeOutcome::Rejected { winner, reason }) => json!({
            "change": id,
            "state": "rejected",
            "reason": reason.to_string(),
            "winner": winner.as_ref().map(winner_value),
        }),
    }
}

fn winner_value(winner: &VersionConflict) -> Value {
    json!({
        "change": winner.change,
        "version": winner.version.0,
        "operator": winner.author,
    })
}
