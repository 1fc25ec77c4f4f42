//! Parts of a reply, which connect the exchange, the attempts and the executor of one request.

use std::time::Duration;

use bytes::Bytes;
use sycamorelink_core::{RefusalCode, RunState};
use sycamorelink_policy::{LoadHint, SampleKind};
/// One part of a reply. A reply is a head, chunks and an end, in that order; a failure may replace
/// any of them and is the last part.
#[derive(Debug)]
pub enum ReplyPart {
    /// Status and headers.
    Head(ReplyHead),
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The end of a complete reply.
    End(ReplyEnd),
    /// The attempt failed before the reply was complete.
    Failed(AttemptFailure),
}

/// Status and headers of a reply.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// Headers, hop-by-hop ones removed.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body in bytes; `None` when the backend server did not declare one.
    pub body_length: Option<u64>,
}

/// Measurements that accompany the end of a complete reply.
#[derive(Clone, Copy, Debug)]
pub struct ReplyEnd {
    /// Time that the backend server took, as its node measured it.
    pub service_time: Duration,
    /// Load of the backend server; `None` when unknown.
    pub load: Option<LoadHint>,
}

/// Reason why an attempt has no complete reply.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// Kind of sample that the failure counts as against the upstream.
    pub kind: SampleKind,
    /// Whether the backend server ran the request.
    pub run: RunState,
    /// Refusal code; `None` unless the executor refused the work.
    pub code: Option<RefusalCode>,
    /// Delay that the executor requested before a retry.
    pub retry_after: Option<Duration>,
    /// Load of the backend server; `None` when unknown.
    pub load: Option<LoadHint>,
}

impl AttemptFailure {
    /// Creates a failure without a refusal code, retry delay or load.
    #[must_use]
    pub const fn of(kind: SampleKind, run: RunState) -> Self {
        Self {
            kind,
            run,
            code: None,
            retry_after: None,
            load: None,
        }
    }
}

/// Capacity of the channel for a reply between two threads, in parts.
pub const REPLY_DEPTH: usize = 8;
