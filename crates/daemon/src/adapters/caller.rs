//! Adapter for the protocol of callers.

use std::fmt::Debug;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use sycamorelink_core::{CustomerName, RefusalCode, RequestId, RequestRefusal, RunState};
use sycamorelink_engine::CallerRequest;

use crate::callers::{forwarded_headers, forwarded_response_head, read_head, refusal_response};
use crate::reply::ReplyHead;

/// Protocol in which callers send requests and receive responses.
pub trait CallerAdapter: Debug + Send + Sync {
    /// Parses the head of a request for the engine. The request counts as replayable unless its body
    /// is declared with more than `replay_limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal when the head is invalid.
    fn read_head(
        &self,
        id: RequestId,
        head: &Request<()>,
        replay_limit: u64,
    ) -> Result<CallerRequest, RefusalCode>;

    /// Returns the headers to forward to the backend server. `account` is the client account whose
    /// key authenticated the request.
    fn forwarded(
        &self,
        headers: &HeaderMap,
        account: Option<&CustomerName>,
    ) -> Vec<(String, Vec<u8>)>;

    /// Builds the response to a refused request.
    fn refusal(&self, request: RequestId, refusal: &RequestRefusal) -> Response<Bytes>;

    /// Builds the status and headers of the response that forwards a backend server's reply.
    fn reply(&self, request: RequestId, head: &ReplyHead) -> Response<()>;
}

/// Native protocol: bearer tokens, `x-request-id`, `application/problem+json`.
#[derive(Clone, Copy, Debug)]
pub struct NativeCallerAdapter;

impl CallerAdapter for NativeCallerAdapter {
    fn read_head(
        &self,
        id: RequestId,
        head: &Request<()>,
        replay_limit: u64,
    ) -> Result<CallerRequest, RefusalCode> {
        read_head(id, head, replay_limit)
    }

    fn forwarded(
        &self,
        headers: &HeaderMap,
        _account: Option<&CustomerName>,
    ) -> Vec<(String, Vec<u8>)> {
        forwarded_headers(headers)
    }

    fn refusal(&self, request: RequestId, refusal: &RequestRefusal) -> Response<Bytes> {
        refusal_response(request, refusal)
    }

    fn reply(&self, request: RequestId, head: &ReplyHead) -> Response<()> {
        forwarded_response_head(request, head, RunState::Ran)
    }
}
