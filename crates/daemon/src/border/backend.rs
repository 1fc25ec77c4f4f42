//! How a backend server is spoken to.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, StatusCode};

use crate::callers::{REQUEST_ID_HEADER, TIMEOUT_HEADER};

/// What one request to a backend server is made of.
#[derive(Debug)]
pub struct BackendAsk {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers that the caller's node handed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Id of the request within the fleet.
    pub request_id: String,
    /// Header in which the backend server must repeat the id, where the contract names one.
    pub reply_id_header: Option<String>,
    /// The life of the backend server that is meant, where it named itself.
    pub life: Option<Arc<str>>,
    /// Time left to the caller's deadline.
    pub time_left: Duration,
    /// Length of the body, where known.
    pub body_length: Option<u64>,
}

/// The head of a request, and what its reply is held against.
#[derive(Debug)]
pub struct BackendRequest {
    /// The head.
    pub head: Request<()>,
    /// What the reply must agree with.
    pub expectation: ReplyExpectation,
}

/// What a reply must agree with.
#[derive(Clone, Debug)]
pub struct ReplyExpectation {
    /// Method of the request.
    pub method: Method,
    /// Value that the reply repeats, if the request had one.
    pub request_id: Option<HeaderValue>,
    /// Header in which the reply must repeat it, where the contract names one.
    pub reply_id_header: Option<String>,
}

/// What a reply's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// It answers the request.
    Own,
    /// The backend server did not run the request and will not.
    Declined,
    /// Another life or another server is at the address. It did not run the request.
    Replaced,
    /// It belongs to another request.
    Foreign,
    /// Nothing would tell where its body ends.
    Endless,
}

/// One form of the protocol towards backend servers.
pub trait BackendBorder: Debug + Send + Sync {
    /// Builds a request's head; none when a part of it is malformed.
    fn request(&self, ask: BackendAsk) -> Option<BackendRequest>;

    /// Judges the head of a reply.
    fn judge(
        &self,
        expectation: &ReplyExpectation,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ReplyVerdict;
}

/// A request's head with the headers that were handed on, and the time left in milliseconds in the
/// header named; none when a part of it is malformed.
#[must_use]
pub fn begin_request(ask: &BackendAsk, time_header: HeaderName) -> Option<Request<()>> {
    let mut head = Request::builder()
        .method(ask.method.clone())
        .uri(ask.target.as_str())
        .body(())
        .ok()?;
    let headers = head.headers_mut();
    for (name, value) in &ask.headers {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let millis = u64::try_from(ask.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(time_header, HeaderValue::from(millis));
    Some(head)
}

/// Whether the end of a reply's body can be told.
///
/// Failure: a reply that ends with its connection looks whole wherever it is cut. Only replies that
/// tell their length or mark their end can be known to be whole.
fn has_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// The product's own form: the request id in `x-request-id`, the time left in a header of its own.
#[derive(Clone, Copy, Debug)]
pub struct OwnBackendBorder;

impl BackendBorder for OwnBackendBorder {
    fn request(&self, ask: BackendAsk) -> Option<BackendRequest> {
        let mut head = begin_request(&ask, HeaderName::from_static(TIMEOUT_HEADER))?;
        let headers = head.headers_mut();
        let id = HeaderValue::try_from(ask.request_id).ok()?;
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id.clone());
        if let Some(length) = ask.body_length {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        let expectation = ReplyExpectation {
            method: ask.method,
            request_id: Some(id),
            reply_id_header: ask.reply_id_header,
        };
        Some(BackendRequest { head, expectation })
    }

    /// Failure: a backend server answers late or out of order, and a caller would get the answer to
    /// somebody else's request. A reply that names another request is rejected; where the contract
    /// names the header, one that names none is rejected too.
    fn judge(
        &self,
        expectation: &ReplyExpectation,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ReplyVerdict {
        let name = expectation.reply_id_header.as_deref();
        let belongs = match headers.get(name.unwrap_or(REQUEST_ID_HEADER)) {
            Some(value) => Some(value) == expectation.request_id.as_ref(),
            None => name.is_none(),
        };
        if !belongs {
            return ReplyVerdict::Foreign;
        }
        if has_end(&expectation.method, status, headers) {
            ReplyVerdict::Own
        } else {
            ReplyVerdict::Endless
        }
    }
}
