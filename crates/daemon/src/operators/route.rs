//! Finds what a call of the operators' port asks for.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use serde::Deserialize;
use sycamorelink_contract::access::{AccessAccount, AccessCall, authorize};
use sycamorelink_core::{CustomerName, ServiceName};
use sycamorelink_engine::{NodeEvent, UpstreamAnnouncement};
use sycamorelink_policy::UpstreamPhase;
use sycamorelink_telemetry::burn::{BurnQuery, ReportDetail};
use tokio::sync::oneshot;

use super::path::{self, path_segments, plain_path};
use super::publish::{ChangeWish, make_change};
use super::query::OperatorQuery;
use super::reply::{ApiProblem, empty_reply, json_reply, versioned};
use super::server::OperatorContext;
use crate::border::AnnouncementCall;
use crate::inbox::ShellInput;
use crate::notes::{AuditCall, AuditNote};

/// Customers in one page unless the call says otherwise.
const PAGE_LENGTH: usize = 100;
/// Most customers in one page.
const LONGEST_PAGE: usize = 1000;

/// One call with its whole body.
#[derive(Debug)]
pub struct OperatorCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Who calls.
    pub peer: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum AnnouncedPhase {
    Starting,
    Ready,
    Leaving,
}

#[derive(Debug, Deserialize)]
struct AnnouncementBody {
    service: ServiceName,
    address: SocketAddr,
    slots: u16,
    phase: AnnouncedPhase,
}

/// Answers a call.
pub async fn answer_call(context: &OperatorContext, call: OperatorCall) -> Response<Bytes> {
    let reply = route(context, &call)
        .await
        .unwrap_or_else(|problem| problem.reply());
    audit(context, &call, &reply).await;
    reply
}

/// Every call passes here, so that no change can be left out of the audit trail.
async fn audit(context: &OperatorContext, call: &OperatorCall, reply: &Response<Bytes>) {
    let account = context.gate.account(&call.headers, call.peer).ok();
    let path = plain_path(call.uri.path());
    let facts = AuditCall {
        method: &call.method,
        path: &path,
        headers: &call.headers,
        peer: call.peer,
        operator: account.map(|account| account.name),
    };
    if let Some(note) = AuditNote::of(&facts, reply) {
        let (reply, _) = oneshot::channel();
        let query = OperatorQuery::Audit(Box::new(note));
        context.inbox.send(ShellInput::Query(query, reply)).await;
    }
}

async fn route(
    context: &OperatorContext,
    call: &OperatorCall,
) -> Result<Response<Bytes>, ApiProblem> {
    let segments = path_segments(call.uri.path()).ok_or_else(|| {
        let detail = "the path has an escape that is no UTF-8 text";
        ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
    })?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let method = call.method.as_str();
    match (method, segments.as_slice()) {
        ("GET", ["livez"]) => Ok(empty_reply(StatusCode::OK)),
        ("GET", ["readyz"]) => Ok(readiness(context)),
        ("PUT", ["v1", "local", "upstreams", slot]) => announce(context, call, slot).await,
        ("DELETE", ["v1", "local", "upstreams", slot]) => withdraw(context, call, slot).await,
        (_, ["v1", rest @ ..]) => {
            let account = context
                .gate
                .account(&call.headers, call.peer)
                .map_err(|denial| {
                    ApiProblem::new(StatusCode::UNAUTHORIZED, "unauthorized", denial)
                })?;
            administer(context, &account, call, rest).await
        }
        _ => announce_otherwise(context, call)
            .await
            .ok_or_else(|| ApiProblem::not_found("no such call")),
    }
}

fn readiness(context: &OperatorContext) -> Response<Bytes> {
    let ready = context.ready.load(std::sync::atomic::Ordering::Relaxed);
    empty_reply(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn local_slot(
    context: &OperatorContext,
    call: &OperatorCall,
    slot: &str,
) -> Result<u16, ApiProblem> {
    let local = call.peer.ip().is_loopback() || call.peer.ip() == context.own_ip;
    if !local {
        let detail = "only backend servers of this instance announce themselves here";
        return Err(ApiProblem::new(StatusCode::FORBIDDEN, "forbidden", detail));
    }
    slot.parse().map_err(|_| {
        ApiProblem::new(
            StatusCode::BAD_REQUEST,
            "bad-request",
            "the slot is not a number",
        )
    })
}

async fn announce(
    context: &OperatorContext,
    call: &OperatorCall,
    slot: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let slot = local_slot(context, call, slot)?;
    let body: AnnouncementBody = serde_json::from_slice(&call.body)
        .map_err(|error| ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", error))?;
    context.directory.insert(slot, body.address);
    let announced = UpstreamAnnouncement {
        slot,
        service: body.service,
        slots: body.slots,
        phase: match body.phase {
            AnnouncedPhase::Starting => UpstreamPhase::Starting,
            AnnouncedPhase::Ready => UpstreamPhase::Ready,
            AnnouncedPhase::Leaving => UpstreamPhase::Leaving,
        },
        life: None,
        warm_up: None,
    };
    context
        .inbox
        .send(ShellInput::Event(NodeEvent::UpstreamAnnounced(announced)))
        .await;
    Ok(empty_reply(StatusCode::NO_CONTENT))
}

/// An announcement in the form of another border.
async fn announce_otherwise(
    context: &OperatorContext,
    call: &OperatorCall,
) -> Option<Response<Bytes>> {
    let border = context.announcement.as_ref()?;
    let answer = border.read(AnnouncementCall {
        method: &call.method,
        path: call.uri.path(),
        body: &call.body,
    })?;
    if let Some((slot, address)) = answer.address {
        context.directory.insert(slot, address);
    }
    if let Some(event) = answer.event {
        context.inbox.send(ShellInput::Event(event)).await;
    }
    Some(answer.reply)
}

async fn withdraw(
    context: &OperatorContext,
    call: &OperatorCall,
    slot: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let slot = local_slot(context, call, slot)?;
    let event = NodeEvent::UpstreamWithdrawn { slot, life: None };
    context.inbox.send(ShellInput::Event(event)).await;
    Ok(empty_reply(StatusCode::NO_CONTENT))
}

async fn administer(
    context: &OperatorContext,
    account: &AccessAccount,
    call: &OperatorCall,
    path: &[&str],
) -> Result<Response<Bytes>, ApiProblem> {
    let read = |call: AccessCall, query: OperatorQuery| async move {
        allow(account, call, None)?;
        show(context, query).await
    };
    match (call.method.as_str(), path) {
        ("GET", ["status"]) => read(AccessCall::ShowStatus, OperatorQuery::Status).await,
        ("GET", ["fleet"]) => read(AccessCall::ShowFleet, OperatorQuery::Fleet).await,
        ("GET", ["burn"]) => read(AccessCall::ShowBurn, burn_of(call)).await,
        ("GET", ["services", name]) => {
            allow(account, AccessCall::ShowService, None)?;
            show_service(context, name).await
        }
        ("GET", ["changes", id]) => show_change(context, account, id).await,
        ("GET", ["contracts"]) => {
            allow(account, AccessCall::ListContracts, None)?;
            show(context, page_of(call)).await
        }
        ("POST", ["drain"]) => {
            allow(account, AccessCall::DrainDaemon, None)?;
            context
                .inbox
                .send(ShellInput::Event(NodeEvent::DrainRequested))
                .await;
            context
                .drain_wanted
                .store(true, std::sync::atomic::Ordering::Release);
            let status = context.ask(OperatorQuery::Status).await?;
            let body = serde_json::json!({
                "state": "draining",
                "in_flight": status["in_flight"],
            });
            Ok(json_reply(StatusCode::ACCEPTED, &body))
        }
        (_, ["contracts", customer, rest @ ..]) => {
            contract_call(context, account, call, customer, rest).await
        }
        _ => announce_otherwise(context, call)
            .await
            .ok_or_else(|| ApiProblem::not_found("no such call")),
    }
}

async fn contract_call(
    context: &OperatorContext,
    account: &AccessAccount,
    call: &OperatorCall,
    customer: &str,
    rest: &[&str],
) -> Result<Response<Bytes>, ApiProblem> {
    let wish = match (call.method.as_str(), rest) {
        ("GET", []) => return show_contract(context, account, customer).await,
        ("GET", ["history"]) => {
            let team = team_of(context, customer).await?;
            allow(account, AccessCall::ShowHistory, team.as_deref())?;
            return show(context, OperatorQuery::History(customer.to_owned())).await;
        }
        ("PUT", []) => ChangeWish::Put(call.body.clone()),
        ("DELETE", []) => ChangeWish::Remove,
        ("POST", ["rollback"]) => ChangeWish::RollBack(call.body.clone()),
        _ => return Err(ApiProblem::not_found("no such call")),
    };
    make_change(context, account, &call.headers, customer, wish).await
}

async fn team_of(context: &OperatorContext, customer: &str) -> Result<Option<String>, ApiProblem> {
    let value = context
        .ask(OperatorQuery::Contract(customer.to_owned()))
        .await?;
    Ok(value["team"].as_str().map(str::to_owned))
}

async fn show_contract(
    context: &OperatorContext,
    account: &AccessAccount,
    customer: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let value = context
        .ask(OperatorQuery::Contract(customer.to_owned()))
        .await?;
    allow(account, AccessCall::ShowContract, value["team"].as_str())?;
    let version = value["version"].as_u64().unwrap_or_default();
    if version == 0 {
        return Err(ApiProblem::not_found("the customer has no contract"));
    }
    Ok(versioned(
        json_reply(StatusCode::OK, &value["contract"]),
        version,
    ))
}

async fn show_service(
    context: &OperatorContext,
    name: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let value = context.ask(OperatorQuery::Service(name.to_owned())).await?;
    if !value.is_null() {
        return Ok(json_reply(StatusCode::OK, &value));
    }
    let query = OperatorQuery::NearestService(name.to_owned());
    let near = context.ask(query).await?;
    let hint = near
        .as_str()
        .map_or_else(String::new, |near| format!("; did you mean `{near}`?"));
    let detail = format!("no service `{name}` has upstreams here{hint}");
    Err(ApiProblem::not_found(&detail))
}

async fn show_change(
    context: &OperatorContext,
    account: &AccessAccount,
    id: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    allow(account, AccessCall::ShowChange, None)?;
    let id = id
        .parse()
        .map_err(|error: sycamorelink_contract::change::ChangeIdError| {
            ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", error)
        })?;
    show(context, OperatorQuery::Change(id)).await
}

fn page_of(call: &OperatorCall) -> OperatorQuery {
    let limit = query_value(call, "limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(PAGE_LENGTH);
    OperatorQuery::Contracts {
        after: query_value(call, "after").unwrap_or_default(),
        limit: limit.clamp(1, LONGEST_PAGE),
    }
}

/// Windows of all rows, unless the call asks for one customer or service or for the points of plots.
fn burn_of(call: &OperatorCall) -> OperatorQuery {
    let detail = match query_value(call, "points").as_deref() {
        Some("true") => ReportDetail::Points,
        _ => ReportDetail::Windows,
    };
    OperatorQuery::Burn(BurnQuery {
        customer: query_value(call, "customer")
            .as_deref()
            .map(CustomerName::new),
        service: query_value(call, "service")
            .as_deref()
            .map(ServiceName::new),
        detail,
    })
}

fn query_value(call: &OperatorCall, name: &str) -> Option<String> {
    path::query_value(call.uri.query().unwrap_or_default(), name)
}

fn allow(account: &AccessAccount, call: AccessCall, team: Option<&str>) -> Result<(), ApiProblem> {
    authorize(account, call, team)
        .map_err(|denial| ApiProblem::new(StatusCode::FORBIDDEN, "forbidden", denial))
}

async fn show(
    context: &OperatorContext,
    query: OperatorQuery,
) -> Result<Response<Bytes>, ApiProblem> {
    let value = context.ask(query).await?;
    if value.is_null() {
        return Err(ApiProblem::not_found("there is no such thing here"));
    }
    Ok(json_reply(StatusCode::OK, &value))
}
