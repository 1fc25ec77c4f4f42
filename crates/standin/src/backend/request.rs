//! Request processing of the backend stand-in: slot, fault, simulated work, reply.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use sycamorelink_core::stable_hash;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::state::{BackendState, PreviousReply};
use super::{BackendFault, TIMEOUT_HEADER};
use crate::reply::{AbortError, ReplyBody, ReplyResult, error_reply, full_body, query_number};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const BODY_DIGEST: HeaderName = HeaderName::from_static("x-body-digest");

/// Number of chunks of a streamed reply.
const STREAM_CHUNKS: u32 = 10;

/// Delay before a truncated reply is aborted, in which the server flushes the first half.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Longest run, and the deadline of a request without the timeout header.
const MAX_RUN_TIME: Duration = Duration::from_mins(5);

/// Properties of a request that its run and its reply depend on.
struct RequestMetadata {
    id: Option<String>,
    key: Option<String>,
    deadline: Instant,
    query: Option<String>,
    method: String,
    path: String,
}

impl RequestMetadata {
    fn read(request: &Request<Incoming>) -> Self {
        let headers = request.headers();
        let time_left = header_text(headers, &HeaderName::from_static(TIMEOUT_HEADER))
            .and_then(|text| text.parse().ok())
            .map_or(MAX_RUN_TIME, Duration::from_millis);
        Self {
            id: header_text(headers, &REQUEST_ID),
            key: header_text(headers, &IDEMPOTENCY_KEY),
            deadline: Instant::now() + time_left.min(MAX_RUN_TIME),
            query: request.uri().query().map(str::to_owned),
            method: request.method().to_string(),
            path: request.uri().path().to_owned(),
        }
    }
}

/// Counts a run as started, and as cancelled when the guard is dropped before `finish`.
struct RunGuard<'a> {
    state: &'a BackendState,
    metadata: &'a RequestMetadata,
    finished: bool,
}

impl<'a> RunGuard<'a> {
    fn start(state: &'a BackendState, metadata: &'a RequestMetadata) -> Self {
        state.update_runs(|runs| runs.start(metadata.key.as_deref(), metadata.id.as_deref()));
        Self {
            state,
            metadata,
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
        let metadata = self.metadata;
        self.state
            .update_runs(|runs| runs.finish(metadata.key.as_deref(), metadata.id.as_deref()));
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.state.update_runs(|runs| runs.cancelled += 1);
        }
    }
}

/// Handles one request: waits for a slot, simulates the work and applies the injected fault.
pub(super) async fn handle_request(
    state: &Arc<BackendState>,
    request: Request<Incoming>,
) -> ReplyResult {
    let metadata = RequestMetadata::read(&request);
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| AbortError)?.to_bytes();
    let fault = state.fault();
    if let BackendFault::Hang = fault {
        return pending().await;
    }
    let Some(permit) = acquire_slot(state, metadata.deadline).await else {
        state.update_runs(|runs| runs.shed += 1);
        return Ok(overload_reply());
    };
    let guard = RunGuard::start(state, &metadata);
    if crash_if_marked(state, &fault, &parts.headers, &body) {
        return pending().await;
    }
    let finish_at = Instant::now() + state.sample_service_time();
    tokio::time::sleep_until(finish_at.min(metadata.deadline)).await;
    if finish_at > metadata.deadline {
        return Ok(error_reply(StatusCode::GATEWAY_TIMEOUT, "deadline passed"));
    }
    guard.finish();
    drop::<SemaphorePermit<'_>>(permit);
    reply_with_fault(state, &fault, &metadata, &body)
}

async fn acquire_slot(state: &BackendState, deadline: Instant) -> Option<SemaphorePermit<'_>> {
    if let Ok(permit) = state.slots.try_acquire() {
        return Some(permit);
    }
    let queue_guard = QueueGuard::enter(state)?;
    let acquired = tokio::time::timeout_at(deadline, state.slots.acquire()).await;
    drop(queue_guard);
    acquired.ok()?.ok()
}

/// One place in the queue for slots, released on drop.
struct QueueGuard<'a>(&'a BackendState);

impl<'a> QueueGuard<'a> {
    fn enter(state: &'a BackendState) -> Option<Self> {
        let queued_before = state.queued.fetch_add(1, Ordering::Relaxed);
        let guard = Self(state);
        (queued_before < state.settings.queue_limit).then_some(guard)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

fn overload_reply() -> Response<ReplyBody> {
    let mut reply = error_reply(StatusCode::SERVICE_UNAVAILABLE, "no slot");
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    reply
}

fn crash_if_marked(
    state: &BackendState,
    fault: &BackendFault,
    headers: &HeaderMap,
    body: &[u8],
) -> bool {
    let BackendFault::CrashOn { marker, down_ms } = fault else {
        return false;
    };
    let marker = marker.as_bytes();
    let matched = !marker.is_empty()
        && (contains_bytes(body, marker)
            || headers
                .values()
                .any(|v| contains_bytes(v.as_bytes(), marker)));
    if matched {
        state.crash(Duration::from_millis(*down_ms));
    }
    matched
}

fn contains_bytes(text: &[u8], needle: &[u8]) -> bool {
    text.windows(needle.len()).any(|window| window == needle)
}

fn reply_with_fault(
    state: &BackendState,
    fault: &BackendFault,
    metadata: &RequestMetadata,
    body: &[u8],
) -> ReplyResult {
    let current = PreviousReply {
        request: metadata.id.clone(),
        body: reply_body(metadata, body),
    };
    let previous = state.replace_previous(current.clone());
    match fault {
        BackendFault::Silent => Err(AbortError),
        BackendFault::Fail { share } if state.sample_failure(*share) => {
            let mut reply = error_reply(StatusCode::INTERNAL_SERVER_ERROR, "failed on purpose");
            insert_text(&mut reply, REQUEST_ID, current.request.as_deref());
            Ok(reply)
        }
        BackendFault::WrongReply if previous.request.is_some() => Ok(respond(&previous, metadata)),
        BackendFault::Truncate => Ok(truncated_reply(&current)),
        _ => Ok(respond(&current, metadata)),
    }
}

/// Builds the reply body.
///
/// The query parameter `reply_bytes` selects a body of that size that repeats the request id. The
/// default is a JSON summary of the request.
fn reply_body(metadata: &RequestMetadata, body: &[u8]) -> Bytes {
    let id = metadata.id.as_deref().unwrap_or("-");
    match query_number(metadata.query.as_deref(), "reply_bytes") {
        Some(size) => {
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            id.bytes().chain([b' ']).cycle().take(size).collect()
        }
        None => serde_json::json!({
            "request_id": id,
            "method": metadata.method,
            "path": metadata.path,
            "body_bytes": body.len(),
            "body_digest": format!("{:016x}", stable_hash(&[body])),
        })
        .to_string()
        .into(),
    }
}

fn respond(reply: &PreviousReply, metadata: &RequestMetadata) -> Response<ReplyBody> {
    let stream_time =
        query_number(metadata.query.as_deref(), "stream_ms").map(Duration::from_millis);
    let body = match stream_time {
        Some(time) => streamed_body(reply.body.clone(), time),
        None => full_body(reply.body.clone()),
    };
    let mut response = Response::new(body);
    insert_text(&mut response, REQUEST_ID, reply.request.as_deref());
    let digest = format!("{:016x}", stable_hash(&[&reply.body]));
    insert_text(&mut response, BODY_DIGEST, Some(&digest));
    response
}

/// Builds a reply that declares its full length and aborts after half of the body.
fn truncated_reply(reply: &PreviousReply) -> Response<ReplyBody> {
    let half = reply.body.slice(..reply.body.len() / 2);
    let frames = stream::unfold(Some(half), |half| async move {
        if let Some(half) = half {
            return Some((Ok(Frame::data(half)), None));
        }
        // Without the delay, hyper would drop the first half from its write buffer on abort.
        tokio::time::sleep(FLUSH_DELAY).await;
        Some((Err(AbortError), None))
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(Box::pin(frames))));
    insert_text(&mut response, REQUEST_ID, reply.request.as_deref());
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, HeaderValue::from(reply.body.len()));
    response
}

fn streamed_body(body: Bytes, time: Duration) -> ReplyBody {
    let pause = time / STREAM_CHUNKS;
    let chunk_bytes = body.len().div_ceil(STREAM_CHUNKS as usize).max(1);
    let frames = stream::unfold(body, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(pause).await;
        let next = rest.split_to(chunk_bytes.min(rest.len()));
        Some((Ok(Frame::data(next)), rest))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(frames)))
}

fn insert_text(response: &mut Response<ReplyBody>, name: HeaderName, text: Option<&str>) {
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
        response.headers_mut().insert(name, value);
    }
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
