//! Reads the head of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use sycamorelink_core::{RefusalCode, RequestId};
use sycamorelink_engine::CallerRequest;

/// Header in which a caller tells how long it will wait, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header that names an idempotent operation.
pub const KEY_HEADER: &str = "idempotency-key";
/// Greatest length of an `Idempotency-Key`, in bytes.
const KEY_LIMIT: usize = 255;
/// Scheme of the token.
const BEARER: &str = "Bearer ";

/// Headers that concern one connection only and are not handed on (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// The same, without a constant of their own.
const HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Reads what the decisions need from a request's head.
///
/// # Errors
///
/// The code of the refusal, when the head breaks a rule.
pub fn read_head<B>(
    id: RequestId,
    request: &http::Request<B>,
    replay_limit: u64,
) -> Result<CallerRequest, RefusalCode> {
    let headers = request.headers();
    let body_length = declared_body(headers)?;
    Ok(CallerRequest {
        id,
        label: Arc::from(id.to_string()),
        token: read_token(headers)?,
        account_key: None,
        method: Arc::from(request.method().as_str()),
        host: Arc::from(""),
        path: Arc::from(request.uri().path()),
        target: Arc::from(target_of(request)),
        key: read_key(headers)?,
        body_length,
        replayable: body_length.is_some_and(|length| length <= replay_limit),
        time_left: read_timeout(headers)?,
    })
}

/// Length of a request's body; none for one that comes in chunks.
///
/// # Errors
///
/// `bad-request` when the length cannot be told for certain.
pub fn declared_body(headers: &HeaderMap) -> Result<Option<u64>, RefusalCode> {
    let length = declared_length(headers)?;
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    Ok(if chunked {
        None
    } else {
        Some(length.unwrap_or(0))
    })
}

/// Path and query of a request.
pub fn target_of<B>(request: &http::Request<B>) -> &str {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path(), |target| target.as_str())
}

/// Failure: with both lengths present, two parties on the way may see two different requests in the
/// same bytes (request smuggling). Refusing the request leaves only one reading: none.
fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, RefusalCode> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    let several = lengths.next().is_some();
    if several || headers.contains_key(TRANSFER_ENCODING) {
        return Err(RefusalCode::BadRequest);
    }
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    length.map(Some).ok_or(RefusalCode::BadRequest)
}

fn read_token(headers: &HeaderMap) -> Result<Arc<str>, RefusalCode> {
    let value = headers
        .get(AUTHORIZATION)
        .ok_or(RefusalCode::UnknownCustomer)?;
    let text = value.to_str().map_err(|_| RefusalCode::BadRequest)?;
    let token = text
        .strip_prefix(BEARER)
        .ok_or(RefusalCode::UnknownCustomer)?;
    Ok(Arc::from(token.trim()))
}

fn read_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, RefusalCode> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() {
        return Err(RefusalCode::BadRequest);
    }
    let text = key.to_str().map_err(|_| RefusalCode::BadRequest)?;
    let text = text.trim().trim_matches('"');
    if text.is_empty() || text.len() > KEY_LIMIT {
        return Err(RefusalCode::BadRequest);
    }
    Ok(Some(Arc::from(text)))
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, RefusalCode> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    millis
        .map(|millis| Some(Duration::from_millis(millis)))
        .ok_or(RefusalCode::BadRequest)
}

/// Headers to hand on to the backend server: without those of one connection and the token.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name))
        .filter(|(name, _)| **name != AUTHORIZATION && **name != CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Whether a header concerns one connection only.
#[must_use]
pub fn is_hop_header(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(name) || HOP_NAMES.contains(&name.as_str())
}
