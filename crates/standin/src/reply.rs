//! HTTP reply helpers shared by the stand-ins.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

/// Body of a reply, which may be streamed and may end in an injected abort.
pub(crate) type ReplyBody = BoxBody<Bytes, AbortError>;

/// Injected error that makes the server close the connection without completing the reply.
#[derive(Debug)]
pub(crate) struct AbortError;

impl std::fmt::Display for AbortError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed on purpose")
    }
}

impl std::error::Error for AbortError {}

/// Result of a request handler; an error closes the connection without a reply.
pub(crate) type ReplyResult = Result<Response<ReplyBody>, AbortError>;

/// Wraps bytes in a reply body.
pub(crate) fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Builds a JSON reply.
pub(crate) fn json_reply<T>(status: StatusCode, value: &T) -> Response<ReplyBody>
where
    T: Serialize,
{
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds a JSON reply with an error message.
pub(crate) fn error_reply(status: StatusCode, message: &str) -> Response<ReplyBody> {
    json_reply(status, &serde_json::json!({ "error": message }))
}

/// Returns a query parameter. Percent-encoding is not decoded, because all parameters of the
/// stand-ins are numbers or plain words.
pub(crate) fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns a query parameter as a number, or `None` if it is missing or not a number.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}
