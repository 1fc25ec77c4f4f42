//! Answers that the daemon itself writes: refusals as `application/problem+json`, kept replies.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sycamorelink_core::{RefusalCode, RequestId, RequestRefusal, RunState};

use crate::part::ReplyHead;

/// Header of every answer that names the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of every answer that says whether the request ran.
pub const RUN_HEADER: &str = "sycamorelink-run";
/// Header that marks a reply kept from an earlier send of the same key.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A whole reply as the executor's daemon keeps it for a resend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeptReply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl KeptReply {
    /// Encodes the reply.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).ok()
    }

    /// Decodes a reply.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        bincode::serde::decode_from_slice(bytes, bincode::config::standard())
            .ok()
            .map(|(reply, _)| reply)
    }
}

/// The answer to a refused request.
#[must_use]
pub fn refusal_answer(request: RequestId, refusal: &RequestRefusal) -> Response<Bytes> {
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
    let mut answer = Response::new(Bytes::from(body.to_string()));
    *answer.status_mut() = status_of(code);
    let headers = answer.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
    }
    stamp(&mut answer, request, refusal.run);
    answer
}

/// The answer to a resend whose reply is no longer kept.
#[must_use]
pub fn gone_answer(request: RequestId) -> Response<Bytes> {
    let body = json!({
        "type": "urn:sycamorelink:reply-gone",
        "title": "An earlier send of this key ran to its end; its reply is no longer kept",
        "status": 200,
        "code": "reply-gone",
        "run": RunState::Ran,
        "request_id": request,
    });
    let mut answer = Response::new(Bytes::from(body.to_string()));
    answer.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    stamp(&mut answer, request, RunState::Ran);
    answer
}

/// The answer to a resend whose reply was kept.
#[must_use]
pub fn kept_answer(request: RequestId, bytes: &[u8]) -> Response<Bytes> {
    let Some(kept) = KeptReply::decode(bytes) else {
        return gone_answer(request);
    };
    let body = Bytes::from(kept.body);
    let head = ReplyHead {
        status: kept.status,
        headers: kept.headers,
        body_length: Some(body.len() as u64),
    };
    let mut answer = reply_answer(request, &head, body);
    answer.headers_mut().insert(
        HeaderName::from_static(REPLAYED_HEADER),
        HeaderValue::from_static("true"),
    );
    answer
}

/// The answer that hands on a backend server's reply.
#[must_use]
pub fn reply_answer<B>(request: RequestId, head: &ReplyHead, body: B) -> Response<B> {
    reply_head_answer(request, head, RunState::Ran).map(|()| body)
}

/// The same without a body, marked with the request's id and run state.
#[must_use]
pub fn reply_head_answer(request: RequestId, head: &ReplyHead, run: RunState) -> Response<()> {
    let mut answer = plain_head_answer(head);
    stamp(&mut answer, request, run);
    answer
}

/// Status and headers of a backend server's reply, and nothing besides.
#[must_use]
pub fn plain_head_answer(head: &ReplyHead) -> Response<()> {
    let mut answer = Response::new(());
    *answer.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}

fn stamp<B>(answer: &mut Response<B>, request: RequestId, run: RunState) {
    let headers = answer.headers_mut();
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

/// `Retry-After` has whole seconds: rounded up, so that nobody comes back too early.
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
    }
}
