//! How a caller's request is read and answered.

use std::fmt::Debug;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use sycamorelink_core::{CustomerName, RefusalCode, RequestId, RequestRefusal, RunState};
use sycamorelink_engine::CallerRequest;

use crate::callers::{forwarded_headers, read_head, refusal_answer, reply_head_answer};
use crate::part::ReplyHead;

/// One form of the callers' protocol.
pub trait CallerBorder: Debug + Send + Sync {
    /// Reads what the decisions need from a request's head. Bodies of up to `replay_limit` bytes
    /// can be sent again.
    ///
    /// # Errors
    ///
    /// The code of the refusal, when the head breaks a rule.
    fn read_head(
        &self,
        id: RequestId,
        head: &Request<()>,
        replay_limit: u64,
    ) -> Result<CallerRequest, RefusalCode>;

    /// Headers to hand on to the backend server; `account` is the client account whose key the request
    /// brought.
    fn forwarded(
        &self,
        headers: &HeaderMap,
        account: Option<&CustomerName>,
    ) -> Vec<(String, Vec<u8>)>;

    /// The answer to a refused request.
    fn refusal(&self, request: RequestId, refusal: &RequestRefusal) -> Response<Bytes>;

    /// Status and headers of the answer that hands on a backend server's reply.
    fn reply(&self, request: RequestId, head: &ReplyHead) -> Response<()>;
}

/// The product's own form: tokens, `x-request-id`, `application/problem+json`.
#[derive(Clone, Copy, Debug)]
pub struct OwnCallerBorder;

impl CallerBorder for OwnCallerBorder {
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
        refusal_answer(request, refusal)
    }

    fn reply(&self, request: RequestId, head: &ReplyHead) -> Response<()> {
        reply_head_answer(request, head, RunState::Ran)
    }
}
