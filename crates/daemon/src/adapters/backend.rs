//! Adapter for the protocol of backend servers.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, StatusCode};
use sycamorelink_engine::{LimitNotice, ServerNotice};

use crate::callers::{REQUEST_ID_HEADER, TIMEOUT_HEADER};

/// Header in which a backend server names the requests per second that it takes.
const SERVER_LIMIT_HEADER: HeaderName = HeaderName::from_static("x-backend-limit");
/// Header in which a backend server reports that it is leaving.
const SERVER_LEAVING_HEADER: HeaderName = HeaderName::from_static("x-backend-leaving");
/// Value of a header that reports a condition.
const TRUE_VALUE: &[u8] = b"1";

/// Contents of one request to a backend server.
#[derive(Debug)]
pub struct RequestSpec {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers that the caller's node forwarded.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Id of the request within the fleet.
    pub request_id: String,
    /// Reply header that must repeat the request id; `None` when the contract names none.
    pub reply_id_header: Option<String>,
    /// Process incarnation of the backend server that the request is meant for; `None` when the
    /// server did not announce one.
    pub life: Option<Arc<str>>,
    /// Time left to the caller's deadline.
    pub time_left: Duration,
    /// Length of the body in bytes; `None` when unknown.
    pub body_length: Option<u64>,
}

/// Head of a request and the conditions for its reply.
#[derive(Debug)]
pub struct BackendRequest {
    /// HTTP head of the request.
    pub head: Request<()>,
    /// Conditions that the reply must meet.
    pub expectation: ReplyExpectation,
}

/// Conditions that a reply must meet to belong to its request.
#[derive(Clone, Debug)]
pub struct ReplyExpectation {
    /// Method of the request.
    pub method: Method,
    /// Request id that the reply repeats; `None` when the request has none.
    pub request_id: Option<HeaderValue>,
    /// Header that must repeat the request id; `None` when the contract names none.
    pub reply_id_header: Option<String>,
}

/// Classification of a reply by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// The reply belongs to the request.
    Own,
    /// The backend server did not run the request and will not.
    Declined,
    /// Another process incarnation or another server listens at the address and did not run the
    /// request.
    Replaced,
    /// The reply belongs to another request.
    Mismatched,
    /// The head does not delimit the body, so that a truncated body would look complete.
    Undelimited,
}

/// Protocol for requests to backend servers.
pub trait BackendAdapter: Debug + Send + Sync {
    /// Builds the head of a request. Returns `None` when a part of it is malformed.
    fn request(&self, spec: RequestSpec) -> Option<BackendRequest>;

    /// Classifies a reply by its head.
    fn classify_reply(
        &self,
        expectation: &ReplyExpectation,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ReplyVerdict;

    /// Reads what the backend server reports about itself in the head of a reply.
    fn server_notice(&self, headers: &HeaderMap) -> ServerNotice;
}

/// Reads the limit that a header names, as a decimal number of requests per second. Of several
/// values the smallest counts.
#[must_use]
pub fn read_limit(headers: &HeaderMap, name: &HeaderName) -> LimitNotice {
    let mut values = headers.get_all(name).iter().peekable();
    if values.peek().is_none() {
        return LimitNotice::Absent;
    }
    let rates = values.filter_map(parse_decimal);
    rates
        .reduce(f64::min)
        .map_or(LimitNotice::Malformed, LimitNotice::Rate)
}

/// Reads whether a header reports that the backend server is leaving.
#[must_use]
pub fn read_leaving(headers: &HeaderMap, name: &HeaderName) -> bool {
    let mut values = headers.get_all(name).iter();
    values.any(|value| value.as_bytes() == TRUE_VALUE)
}

fn parse_decimal(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = text.parse().ok().filter(|_| is_decimal)?;
    number.is_finite().then_some(number)
}

/// Builds a request's head with the forwarded headers and, in the header `time_header`, the time
/// left in milliseconds. A body of unknown length is declared as chunked, since the HTTP library
/// drops the undeclared body of a `GET`. Returns `None` when a part of the head is malformed.
#[must_use]
pub fn build_request_head(spec: &RequestSpec, time_header: HeaderName) -> Option<Request<()>> {
    let mut head = Request::builder()
        .method(spec.method.clone())
        .uri(spec.target.as_str())
        .body(())
        .ok()?;
    let headers = head.headers_mut();
    for (name, value) in &spec.headers {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let millis = u64::try_from(spec.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(time_header, HeaderValue::from(millis));
    if spec.body_length.is_none() {
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    Some(head)
}

/// Returns whether a reply's head delimits its body. A body that ends with its connection looks
/// complete wherever the connection is cut.
fn is_delimited(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Native protocol: the request id in `x-request-id`, the time left in `x-request-timeout-ms`.
#[derive(Clone, Copy, Debug)]
pub struct NativeBackendAdapter;

impl BackendAdapter for NativeBackendAdapter {
    fn request(&self, spec: RequestSpec) -> Option<BackendRequest> {
        let mut head = build_request_head(&spec, HeaderName::from_static(TIMEOUT_HEADER))?;
        let headers = head.headers_mut();
        let id = HeaderValue::try_from(spec.request_id).ok()?;
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id.clone());
        if let Some(length) = spec.body_length {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        let expectation = ReplyExpectation {
            method: spec.method,
            request_id: Some(id),
            reply_id_header: spec.reply_id_header,
        };
        Some(BackendRequest { head, expectation })
    }

    /// Rejects a reply with the id of another request, so that a late or reordered reply never
    /// reaches the wrong caller. When the contract names the header, a reply without it is rejected
    /// too.
    fn classify_reply(
        &self,
        expectation: &ReplyExpectation,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ReplyVerdict {
        let name = expectation.reply_id_header.as_deref();
        let matches = match headers.get(name.unwrap_or(REQUEST_ID_HEADER)) {
            Some(value) => Some(value) == expectation.request_id.as_ref(),
            None => name.is_none(),
        };
        if !matches {
            return ReplyVerdict::Mismatched;
        }
        if is_delimited(&expectation.method, status, headers) {
            ReplyVerdict::Own
        } else {
            ReplyVerdict::Undelimited
        }
    }

    fn server_notice(&self, headers: &HeaderMap) -> ServerNotice {
        ServerNotice {
            limit: read_limit(headers, &SERVER_LIMIT_HEADER),
            leaving: read_leaving(headers, &SERVER_LEAVING_HEADER),
        }
    }
}
