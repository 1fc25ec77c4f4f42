//! Parses the head of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use sycamorelink_core::{RefusalCode, RequestId};
use sycamorelink_engine::CallerRequest;

/// Header with the longest time that a caller waits for the response, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header with the idempotency key of a request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Largest length of an `Idempotency-Key`, in bytes.
const KEY_LIMIT: usize = 255;
/// Authorization scheme of the token.
const BEARER: &str = "Bearer ";

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Further hop-by-hop headers, for which the `http` crate has no constant.
const HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Parses the head of a request for the engine.
///
/// # Errors
///
/// Returns the code of the refusal when the head is invalid.
pub fn read_head<B>(
    id: RequestId,
    request: &http::Request<B>,
    replay_limit: u64,
) -> Result<CallerRequest, RefusalCode> {
    let headers = request.headers();
    let body_length = declared_body_length(headers)?;
    Ok(CallerRequest {
        id,
        label: Arc::from(id.to_string()),
        token: read_token(headers)?,
        account_key: None,
        method: Arc::from(request.method().as_str()),
        host: Arc::from(""),
        path: Arc::from(request.uri().path()),
        target: Arc::from(request_target(request)),
        key: read_key(headers)?,
        body_length,
        replayable: body_length.is_none_or(|length| length <= replay_limit),
        time_left: read_timeout(headers)?,
    })
}

/// Returns the declared length of a request's body, or `None` for a chunked body.
///
/// # Errors
///
/// Returns `bad-request` when the length is ambiguous or invalid.
pub fn declared_body_length(headers: &HeaderMap) -> Result<Option<u64>, RefusalCode> {
    let length = declared_length(headers)?;
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    Ok(if chunked {
        None
    } else {
        Some(length.unwrap_or(0))
    })
}

/// Returns the path and query of a request.
pub fn request_target<B>(request: &http::Request<B>) -> &str {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path(), |target| target.as_str())
}

/// Parses `Content-Length`. Rejects several lengths, and a length together with
/// `Transfer-Encoding`: two parties may disagree on where such a request ends, which allows request
/// smuggling.
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

/// Returns the headers to forward to the backend server: all but hop-by-hop headers, the token and
/// the body length.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name))
        .filter(|(name, _)| **name != AUTHORIZATION && **name != CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns whether a header is hop-by-hop.
#[must_use]
pub fn is_hop_by_hop_header(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(name) || HOP_NAMES.contains(&name.as_str())
}
