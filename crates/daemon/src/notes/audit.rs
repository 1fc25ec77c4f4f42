//! The audit trail: account, address, call and outcome of every call that changes something or was
//! denied.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use serde_json::Value;
use sycamorelink_contract::access::AccessCall;
use sycamorelink_telemetry::{EventCode, EventFields};

use super::NoteRecorder;

/// Path prefix of the calls that backend servers of this instance make.
const BACKEND_PATH_PREFIX: &str = "/v1/local/";
/// Maximum length of a logged text that a caller supplied, in characters.
const MAX_TEXT_LENGTH: usize = 128;

/// A call of the operators' port, as input for the audit trail.
#[derive(Clone, Debug)]
pub struct AuditCall<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path without the query, in its canonical form.
    pub path: &'a str,
    /// Headers of the request.
    pub headers: &'a HeaderMap,
    /// Address that the call comes from.
    pub peer: SocketAddr,
    /// Name of the account; `None` when the token is unknown.
    pub operator: Option<Arc<str>>,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditNote {
    code: EventCode,
    operator: Option<Arc<str>>,
    address: SocketAddr,
    call: String,
    customer: Option<String>,
    change: Option<String>,
    version: Option<u64>,
    status: StatusCode,
    reason: String,
}

impl AuditNote {
    /// Creates the entry of an answered call; `None` for an allowed call that changes nothing.
    #[must_use]
    pub fn of(call: &AuditCall<'_>, reply: &Response<Bytes>) -> Option<Self> {
        let change = changing_call(call.method, call.path);
        let code = match reply.status() {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => EventCode::AdminDenied,
            StatusCode::BAD_REQUEST if call.path.starts_with(BACKEND_PATH_PREFIX) => {
                EventCode::BackendBadInput
            }
            _ if change.is_some() => EventCode::AdminCall,
            _ => return None,
        };
        let body: Value = serde_json::from_slice(reply.body()).unwrap_or_default();
        let header = call.headers.get("idempotency-key");
        Some(Self {
            code,
            operator: call.operator.clone(),
            address: call.peer,
            call: change.map_or_else(
                || truncated(&format!("{} {}", call.method, call.path)),
                call_name,
            ),
            customer: audited_customer(call.path).map(truncated),
            change: header
                .and_then(|value| value.to_str().ok())
                .map(|text| truncated(text.trim_matches('"'))),
            version: body["version"].as_u64(),
            status: reply.status(),
            reason: outcome_reason(reply.status(), &body),
        })
    }
}

impl NoteRecorder {
    /// Logs an entry. Entries about changes bypass the throttle.
    pub fn record_audit(&self, note: &AuditNote) {
        let mut fields = EventFields::new()
            .address(&note.address)
            .call(&note.call)
            .reason(&note.reason);
        if let Some(operator) = &note.operator {
            fields = fields.operator(operator);
        }
        if let Some(customer) = &note.customer {
            fields = fields.customer(customer);
        }
        if let Some(change) = &note.change {
            fields = fields.change(change);
        }
        if let Some(version) = &note.version {
            fields = fields.version(version);
        }
        if note.code != EventCode::AdminCall {
            self.emit(note.code, &fields);
            return;
        }
        self.events.emit_unthrottled(EventCode::AdminCall, &fields);
        if note.version.is_some() && note.status == StatusCode::OK {
            self.emit(EventCode::ContractAccepted, &fields);
        } else if note.change.is_some() && note.status == StatusCode::ACCEPTED {
            self.emit(EventCode::PublishUnconfirmed, &fields);
        }
    }
}

/// Returns the call of a request, if the call changes something.
fn changing_call(method: &Method, path: &str) -> Option<AccessCall> {
    let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    match (method.as_str(), segments.as_slice()) {
        ("PUT", ["v1", "contracts", _]) => Some(AccessCall::PutContract),
        ("DELETE", ["v1", "contracts", _]) => Some(AccessCall::RemoveContract),
        ("POST", ["v1", "contracts", _, "rollback"]) => Some(AccessCall::RollBackContract),
        ("POST", ["v1", "drain"]) => Some(AccessCall::DrainDaemon),
        _ => None,
    }
}

fn audited_customer(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/v1/contracts/")?;
    rest.split('/').next().filter(|name| !name.is_empty())
}

/// Returns the name of the call as settings and documents spell it, such as `put-contract`.
fn call_name(call: AccessCall) -> String {
    let value = serde_json::to_value(call).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn outcome_reason(status: StatusCode, body: &Value) -> String {
    if let Some(detail) = body["detail"].as_str() {
        let code = body["code"].as_str().unwrap_or("refused");
        return truncated(&format!("{code}: {detail}"));
    }
    match (status, body["state"].as_str()) {
        (_, Some(state)) => state.to_owned(),
        (StatusCode::OK, None) => "accepted".to_owned(),
        (other, None) => format!("HTTP {}", other.as_u16()),
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_TEXT_LENGTH).collect()
}
