//! The port for callers: HTTP/1.1 by `xitca-web`.
//!
//! ```text
//!  caller ──HTTP──▶ exchange ──RequestArrived──▶ decision thread
//!                      ▲  ◀──Dispatch, Refuse, Deliver──┘
//!                      │ reply parts
//!                   work thread ◀──attempt── exchange
//! ```
//!
//! An exchange is one request and its answer. It decides nothing: it reads, forwards and answers as
//! the decision thread says.

mod answer;
mod exchange;
mod head;
mod server;
mod socket;
mod stream;

pub use answer::{
    KeptReply, REQUEST_ID_HEADER, plain_head_answer, refusal_answer, reply_head_answer,
};
pub use head::{
    TIMEOUT_HEADER, declared_body, forwarded_headers, is_hop_header, read_head, target_of,
};
pub use server::{CallerContext, serve_callers};
pub use socket::CallerSockets;

use std::sync::Arc;

use sycamorelink_core::RequestRefusal;
use sycamorelink_engine::AttemptOrder;

/// What the decision thread tells one exchange.
#[derive(Debug)]
pub enum CallerCommand {
    /// Answer with this refusal.
    Refuse(RequestRefusal),
    /// Read the whole body, up to this many bytes.
    ReadBody(u64),
    /// Carry out an attempt.
    Dispatch(Box<AttemptOrder>),
    /// Stop an attempt.
    Cancel(u16),
    /// Answer with the whole error reply of this attempt.
    Deliver(u16),
    /// Answer with a reply kept from an earlier send.
    Kept(Arc<[u8]>),
    /// Answer that an earlier send ran and its reply is no longer kept.
    Gone,
}

/// Commands that may wait for one exchange.
pub const COMMAND_DEPTH: usize = 16;
