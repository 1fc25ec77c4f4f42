//! Routes the calls of the operators' port.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use serde::Deserialize;
use sycamorelink_contract::access::{AccessAccount, AccessCall, authorize};
use sycamorelink_core::{CustomerName, ServiceName};
use sycamorelink_engine::{NodeEvent, UpstreamAnnouncement};
use sycamorelink_policy::UpstreamPhase;
use sycamorelink_telemetry::burn::{BurnQuery, ReportDetail};
use tokio::sync::oneshot;

use super::path::{self, canonical_path, path_segments};
use super::publish::{ChangeRequest, publish_change};
use super::query::OperatorQuery;
use super::reply::{ApiProblem, empty_reply, json_reply, with_etag};
use super::server::OperatorContext;
use crate::adapters::AnnouncementCall;
use crate::inbox::DecisionInput;
use crate::notes::{AuditCall, AuditNote};

/// Customers in one page when the call sets no `limit`.
const DEFAULT_PAGE_LENGTH: usize = 100;
/// Maximum number of customers in one page, whatever `limit` the call sets.
const MAX_PAGE_LENGTH: usize = 1000;

/// A call of the operators' port, its body read completely.
#[derive(Debug)]
pub struct OperatorCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, still percent-encoded.
    pub uri: Uri,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Address that the call comes from.
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

/// Handles a call and records it in the audit trail.
pub async fn handle_call(context: &OperatorContext, call: OperatorCall) -> Response<Bytes> {
    let reply = route(context, &call)
        .await
        .unwrap_or_else(|problem| problem.reply());
    audit(context, &call, &reply).await;
    reply
}

/// Records a call in the audit trail. Runs for every call, so that no route can miss it.
async fn audit(context: &OperatorContext, call: &OperatorCall, reply: &Response<Bytes>) {
    let account = context
        .authenticator
        .authenticate(&call.headers, call.peer)
        .ok();
    let path = canonical_path(call.uri.path());
    let audited = AuditCall {
        method: &call.method,
        path: &path,
        headers: &call.headers,
        peer: call.peer,
        operator: account.map(|account| account.name),
    };
    if let Some(note) = AuditNote::of(&audited, reply) {
        let (reply, _) = oneshot::channel();
        let query = OperatorQuery::Audit(Box::new(note));
        context.inbox.send(DecisionInput::Query(query, reply)).await;
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
                .authenticator
                .authenticate(&call.headers, call.peer)
                .map_err(|denial| {
                    ApiProblem::new(StatusCode::UNAUTHORIZED, "unauthorized", denial)
                })?;
            route_admin_call(context, &account, call, rest).await
        }
        _ => announce_through_adapter(context, call)
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
    let local = call.peer.ip().is_loopback() || call.peer.ip() == context.listen_ip;
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
    context.directory.insert(slot, None, body.address);
    let announcement = UpstreamAnnouncement {
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
        .send(DecisionInput::Event(NodeEvent::UpstreamAnnounced(
            announcement,
        )))
        .await;
    Ok(empty_reply(StatusCode::NO_CONTENT))
}

/// Handles an announcement in the platform's own protocol; `None` when the call is not one.
async fn announce_through_adapter(
    context: &OperatorContext,
    call: &OperatorCall,
) -> Option<Response<Bytes>> {
    let adapter = context.announcement_adapter.as_ref()?;
    let answer = adapter.read(AnnouncementCall {
        method: &call.method,
        path: call.uri.path(),
        body: &call.body,
    })?;
    if let Some((slot, address)) = answer.address {
        let life = answer.event.as_ref().and_then(announced_life);
        context.directory.insert(slot, life, address);
    }
    match answer.event {
        Some(event) if is_leaving(&event) => context.send_leaving(event).await,
        Some(event) => context.inbox.send(DecisionInput::Event(event)).await,
        None => {}
    }
    Some(answer.reply)
}

/// Returns the name of the incarnation that an announcement names.
fn announced_life(event: &NodeEvent) -> Option<Arc<str>> {
    match event {
        NodeEvent::UpstreamAnnounced(announced) => announced.life_name().cloned(),
        _ => None,
    }
}

/// Returns whether an announcement says that a backend server leaves.
fn is_leaving(event: &NodeEvent) -> bool {
    match event {
        NodeEvent::UpstreamAnnounced(announced) => announced.phase == UpstreamPhase::Leaving,
        NodeEvent::UpstreamWithdrawn { .. } => true,
        _ => false,
    }
}

async fn withdraw(
    context: &OperatorContext,
    call: &OperatorCall,
    slot: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let slot = local_slot(context, call, slot)?;
    let event = NodeEvent::UpstreamWithdrawn { slot, life: None };
    context.inbox.send(DecisionInput::Event(event)).await;
    Ok(empty_reply(StatusCode::NO_CONTENT))
}

async fn route_admin_call(
    context: &OperatorContext,
    account: &AccessAccount,
    call: &OperatorCall,
    path: &[&str],
) -> Result<Response<Bytes>, ApiProblem> {
    let read = |call: AccessCall, query: OperatorQuery| async move {
        require_access(account, call, None)?;
        reply_to_query(context, query).await
    };
    match (call.method.as_str(), path) {
        ("GET", ["status"]) => read(AccessCall::ShowStatus, OperatorQuery::Status).await,
        ("GET", ["fleet"]) => read(AccessCall::ShowFleet, OperatorQuery::Fleet).await,
        ("GET", ["burn"]) => read(AccessCall::ShowBurn, burn_query(call)).await,
        ("GET", ["services", name]) => {
            require_access(account, AccessCall::ShowService, None)?;
            show_service(context, name).await
        }
        ("GET", ["changes", id]) => show_change(context, account, id).await,
        ("GET", ["contracts"]) => {
            require_access(account, AccessCall::ListContracts, None)?;
            reply_to_query(context, contracts_query(call)).await
        }
        ("POST", ["drain"]) => {
            require_access(account, AccessCall::DrainDaemon, None)?;
            context
                .inbox
                .send(DecisionInput::Event(NodeEvent::DrainRequested))
                .await;
            context
                .drain_requested
                .store(true, std::sync::atomic::Ordering::Release);
            let status = context.query(OperatorQuery::Status).await?;
            let body = serde_json::json!({
                "state": "draining",
                "in_flight": status["in_flight"],
            });
            Ok(json_reply(StatusCode::ACCEPTED, &body))
        }
        (_, ["contracts", customer, rest @ ..]) => {
            route_contract_call(context, account, call, customer, rest).await
        }
        _ => announce_through_adapter(context, call)
            .await
            .ok_or_else(|| ApiProblem::not_found("no such call")),
    }
}

async fn route_contract_call(
    context: &OperatorContext,
    account: &AccessAccount,
    call: &OperatorCall,
    customer: &str,
    rest: &[&str],
) -> Result<Response<Bytes>, ApiProblem> {
    let request = match (call.method.as_str(), rest) {
        ("GET", []) => return show_contract(context, account, customer).await,
        ("GET", ["history"]) => {
            let team = contract_team(context, customer).await?;
            require_access(account, AccessCall::ShowHistory, team.as_deref())?;
            return reply_to_query(context, OperatorQuery::History(customer.to_owned())).await;
        }
        ("PUT", []) => ChangeRequest::Put(call.body.clone()),
        ("DELETE", []) => ChangeRequest::Remove,
        ("POST", ["rollback"]) => ChangeRequest::RollBack(call.body.clone()),
        _ => return Err(ApiProblem::not_found("no such call")),
    };
    publish_change(context, account, &call.headers, customer, request).await
}

async fn contract_team(
    context: &OperatorContext,
    customer: &str,
) -> Result<Option<String>, ApiProblem> {
    let value = context
        .query(OperatorQuery::Contract(customer.to_owned()))
        .await?;
    Ok(value["team"].as_str().map(str::to_owned))
}

async fn show_contract(
    context: &OperatorContext,
    account: &AccessAccount,
    customer: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let value = context
        .query(OperatorQuery::Contract(customer.to_owned()))
        .await?;
    require_access(account, AccessCall::ShowContract, value["team"].as_str())?;
    let version = value["version"].as_u64().unwrap_or_default();
    if version == 0 {
        return Err(ApiProblem::not_found("the customer has no contract"));
    }
    Ok(with_etag(
        json_reply(StatusCode::OK, &value["contract"]),
        version,
    ))
}

async fn show_service(
    context: &OperatorContext,
    name: &str,
) -> Result<Response<Bytes>, ApiProblem> {
    let value = context
        .query(OperatorQuery::Service(name.to_owned()))
        .await?;
    if !value.is_null() {
        return Ok(json_reply(StatusCode::OK, &value));
    }
    let query = OperatorQuery::NearestService(name.to_owned());
    let nearest = context.query(query).await?;
    let hint = nearest
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
    require_access(account, AccessCall::ShowChange, None)?;
    let id = id
        .parse()
        .map_err(|error: sycamorelink_contract::change::ChangeIdError| {
            ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", error)
        })?;
    reply_to_query(context, OperatorQuery::Change(id)).await
}

fn contracts_query(call: &OperatorCall) -> OperatorQuery {
    let limit = query_value(call, "limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PAGE_LENGTH);
    OperatorQuery::Contracts {
        after: query_value(call, "after").unwrap_or_default(),
        limit: limit.clamp(1, MAX_PAGE_LENGTH),
    }
}

/// Builds the burn query: all customers and services, and windows without the points of plots,
/// unless the call's parameters select otherwise.
fn burn_query(call: &OperatorCall) -> OperatorQuery {
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

fn require_access(
    account: &AccessAccount,
    call: AccessCall,
    team: Option<&str>,
) -> Result<(), ApiProblem> {
    authorize(account, call, team)
        .map_err(|denial| ApiProblem::new(StatusCode::FORBIDDEN, "forbidden", denial))
}

async fn reply_to_query(
    context: &OperatorContext,
    query: OperatorQuery,
) -> Result<Response<Bytes>, ApiProblem> {
    let value = context.query(query).await?;
    if value.is_null() {
        return Err(ApiProblem::not_found("there is no such thing here"));
    }
    Ok(json_reply(StatusCode::OK, &value))
}
