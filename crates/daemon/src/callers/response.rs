//! Responses that the daemon builds itself: refusals as `application/problem+json`, stored replies.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sycamorelink_core::{RefusalCode, RequestId, RequestRefusal, RunState};

use crate::reply::ReplyHead;

/// Header of every response with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of every response that states whether the request ran.
pub const RUN_HEADER: &str = "sycamorelink-run";
/// Header that marks a reply stored for an earlier send of the same idempotency key.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Complete reply, as the executor's daemon stores it for a resend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop ones and `Content-Length`.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl StoredReply {
    /// Encodes the reply. Returns `None` when the encoding fails.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()
    }

    /// Decodes a reply. Returns `None` when the bytes are malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        bincode::serde::decode_from_slice(bytes, bincode::config::standard())
            .ok()
            .map(|(reply, _)| reply)
    }
}

/// Builds the response to a refused request.
#[must_use]
pub fn refusal_response(request: RequestId, refusal: &RequestRefusal) -> Response<Bytes> {
    let code = refusal.code;
    let body = json!({
        "type": format!("urn:sycamorelink:refusal:{code}"),
        "title": title_of(code),
        "status": code.status(),
        "code": code.as_str(),
        "run": refusal.run,
        "request_id": request,
        "retry_after_ms": refusal.retry_after.map(millis),
    });
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = status_of(code);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
    }
    insert_run_headers(&mut response, request, refusal.run);
    response
}

/// Builds the response to a resend whose reply is not stored.
#[must_use]
pub fn reply_unavailable_response(request: RequestId) -> Response<Bytes> {
    let body = json!({
        "type": "urn:sycamorelink:reply-gone",
        "title": "An earlier send of this key ran to its end; its reply is no longer kept",
        "status": 200,
        "code": "reply-gone",
        "run": RunState::Ran,
        "request_id": request,
    });
    let mut response = Response::new(Bytes::from(body.to_string()));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    insert_run_headers(&mut response, request, RunState::Ran);
    response
}

/// Builds the response to a resend from the stored reply.
#[must_use]
pub fn replay_response(request: RequestId, bytes: &[u8]) -> Response<Bytes> {
    let Some(reply) = StoredReply::decode(bytes) else {
        return reply_unavailable_response(request);
    };
    let body = Bytes::from(reply.body);
    let head = ReplyHead {
        status: reply.status,
        headers: reply.headers,
        body_length: Some(body.len() as u64),
    };
    let mut response = forwarded_response(request, &head, body);
    response.headers_mut().insert(
        HeaderName::from_static(REPLAYED_HEADER),
        HeaderValue::from_static("true"),
    );
    response
}

/// Builds the response that forwards a backend server's reply.
#[must_use]
pub fn forwarded_response<B>(request: RequestId, head: &ReplyHead, body: B) -> Response<B> {
    forwarded_response_head(request, head, RunState::Ran).map(|()| body)
}

/// Builds the head of such a response, with the request's id and run state.
#[must_use]
pub fn forwarded_response_head(
    request: RequestId,
    head: &ReplyHead,
    run: RunState,
) -> Response<()> {
    let mut response = plain_response_head(head);
    insert_run_headers(&mut response, request, run);
    response
}

/// Builds a response head with only the status and headers of a backend server's reply.
#[must_use]
pub fn plain_response_head(head: &ReplyHead) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn insert_run_headers<B>(response: &mut Response<B>, request: RequestId, run: RunState) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::try_from(request.to_string()) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    if let Ok(value) = HeaderValue::try_from(run.to_string()) {
        headers.insert(HeaderName::from_static(RUN_HEADER), value);
    }
}

fn status_of(code: RefusalCode) -> StatusCode {
    StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a delay to the whole seconds of `Retry-After`, rounded up so that callers do not retry
/// too early.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

fn title_of(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::BadRequest => "The request is malformed",
        RefusalCode::UnknownCustomer => "No customer has this token",
        RefusalCode::UnknownRoute => "The customer's contract has no such route",
        RefusalCode::KeyRequired => "This route needs an Idempotency-Key",
        RefusalCode::KeyForm => "The Idempotency-Key must be a UUIDv7",
        RefusalCode::KeyReused => "The Idempotency-Key was used for another request",
        RefusalCode::KeyExpired => "The Idempotency-Key is older than what is remembered",
        RefusalCode::KeyBusy => "Another send of this Idempotency-Key is running",
        RefusalCode::GuardsUnreachable => "The guards of this Idempotency-Key cannot be asked",
        RefusalCode::BodyTooLarge => "The body is larger than the contract allows",
        RefusalCode::HeadersTooLarge => "The headers are larger than allowed",
        RefusalCode::LimitExceeded => "The customer's limit is used up",
        RefusalCode::Overloaded => "No capacity before the deadline",
        RefusalCode::NoUpstream => "No backend server of this service can be used",
        RefusalCode::UpstreamSuspect => "The backend server may be failing",
        RefusalCode::RepeatsSpent => "The service is sent no more repeats now",
        RefusalCode::Draining => "This instance is leaving",
        RefusalCode::NotReady => "This instance has no contracts yet",
        RefusalCode::CrashRequest => "This request ended backend servers before and is stopped",
        RefusalCode::UpstreamFailed => "The backend server failed",
        RefusalCode::ReplyRejected => {
            "The backend server's reply was not whole or not for this request"
        }
        RefusalCode::DeadlineExceeded => "The deadline passed",
        RefusalCode::CallerGone => "The caller went away",
        RefusalCode::NoCapacity => "No capacity is expected in the time left",
    }
}
