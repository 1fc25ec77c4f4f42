//! Payloads of the frames on a work stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, RequestRefusal, RunState, ServiceName, UpstreamId,
};

/// HTTP header names and values in order.
pub type HeaderFields = Vec<(String, Vec<u8>)>;

/// Head of a request for an upstream on the receiving node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkHead {
    /// Request and attempt number.
    pub attempt: AttemptId,
    /// Upstream that the sender selected.
    pub upstream: UpstreamId,
    /// Customer on whose behalf the request was sent.
    pub customer: CustomerName,
    /// Requested service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// HTTP headers.
    pub headers: HeaderFields,
    /// Time until the caller's deadline. A duration rather than a timestamp, since clocks of nodes
    /// differ.
    pub time_left: Duration,
    /// Priority from the contract; requests with a greater value are scheduled first.
    pub priority: u8,
    /// Signature that identifies repeated requests which crash backend servers.
    pub signature: u64,
    /// Encoded guard ticket if the request must not run twice.
    pub guard: Option<Vec<u8>>,
    /// Body length in bytes, `None` if not known in advance.
    pub body_length: Option<u64>,
}

/// End of a request body, against which the receiver verifies the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyEnd {
    /// Total length in bytes.
    pub length: u64,
    /// Digest over the chunks in order.
    pub digest: u64,
}

/// Load of an upstream as measured by the node that hosts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of slots in use.
    pub in_use: u16,
    /// Total number of slots.
    pub slots: u16,
    /// Number of requests waiting for a slot.
    pub queued: u32,
    /// Estimated probability that the backend server fails a request, in 255ths.
    pub failing: u8,
}

/// Refusal of a request by the node that hosts the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRefused {
    /// Attempt that the frame refers to.
    pub attempt: AttemptId,
    /// Reason, and whether the request ran.
    pub refusal: RequestRefusal,
    /// Load of the upstream when the frame was sent.
    pub load: LoadReport,
}

/// Head of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// Attempt that the reply belongs to.
    pub attempt: AttemptId,
    /// Instance that sends the reply.
    pub instance: InstanceId,
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderFields,
    /// Body length in bytes, `None` if not known in advance.
    pub body_length: Option<u64>,
    /// Load of the upstream when the frame was sent.
    pub load: LoadReport,
    /// Time the request spent in the queue for a slot.
    pub queue_time: Duration,
}

/// End of a reply body, against which the receiver verifies the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyEnd {
    /// Attempt that the reply belongs to.
    pub attempt: AttemptId,
    /// Total length in bytes.
    pub length: u64,
    /// Digest over the chunks in order.
    pub digest: u64,
    /// Time the backend server took, excluding queue time.
    pub service_time: Duration,
    /// Load of the upstream when the frame was sent.
    pub load: LoadReport,
}

/// Kind of an upstream failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// The node could not connect to the backend server.
    Unreachable,
    /// The connection broke before the reply.
    ConnectionLost,
    /// No reply arrived before the deadline or the time limit.
    NoReply,
    /// The reply was cut short.
    Truncated,
    /// The reply could not be parsed.
    Malformed,
    /// The reply belongs to another request.
    WrongRequest,
    /// The backend server crashed while it ran this request.
    Crashed,
    /// The caller's side cancelled the request.
    Cancelled,
    /// An internal error of the node.
    Internal,
}

/// Failure of the upstream before or during the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkFailed {
    /// Attempt that the frame refers to.
    pub attempt: AttemptId,
    /// Kind of failure.
    pub kind: FailureKind,
    /// Whether the request ran.
    pub run: RunState,
    /// Load of the upstream when the frame was sent.
    pub load: LoadReport,
}
