//! The callers' port: HTTP/1.1, built on `xitca-web`.
//!
//! ```text
//!  caller ──HTTP──▶ exchange ──RequestArrived──▶ decision thread
//!                    │  ▲  ▲                             │
//!            attempt │  │  └── Dispatch, Refuse, Deliver ┘
//!                    ▼  │ reply parts
//!                   work thread
//! ```
//!
//! An exchange is one request and its response. The exchange only reads, forwards and responds; the
//! decision thread makes every decision.

mod connection;
mod exchange;
mod exchange_body;
mod head;
mod reply_body;
mod request_body;
mod response;
mod server;
mod socket;
mod stream;

pub use connection::ConnectionAcceptor;
pub use head::{
    TIMEOUT_HEADER, declared_body_length, forwarded_headers, is_hop_by_hop_header, read_head,
    request_target,
};
pub use reply_body::ReplyBody;
pub use response::{
    REQUEST_ID_HEADER, StoredReply, forwarded_response_head, plain_response_head, refusal_response,
};
pub use server::{CallerContext, serve_callers};
pub use socket::CallerSockets;

use std::sync::Arc;

use sycamorelink_core::RequestRefusal;
use sycamorelink_engine::AttemptOrder;

/// Command from the decision thread to one exchange.
#[derive(Debug)]
pub enum CallerCommand {
    /// Responds with a refusal.
    Refuse(RequestRefusal),
    /// Reads the whole body, up to this many bytes.
    ReadBody(u64),
    /// Runs an attempt.
    Dispatch(Box<AttemptOrder>),
    /// Cancels the attempt with this number.
    Cancel(u16),
    /// Responds with the complete error reply of the attempt with this number.
    Deliver(u16),
    /// Responds with the encoded reply stored for an earlier send of the same idempotency key.
    Replay(Arc<[u8]>),
    /// Responds that an earlier send ran and its reply is not stored.
    ReplyUnavailable,
}

/// Capacity of the command channel of one exchange.
pub const COMMAND_DEPTH: usize = 16;
