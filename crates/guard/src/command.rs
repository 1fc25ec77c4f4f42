//! Commands from the guard to the engine that embeds it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{AttemptId, InstanceId, RequestId, RequestRefusal};

use crate::key::{KeyFingerprint, KeyId, RangeId};
use crate::map::{FoundingRecord, RangeGeneration};
use crate::message::{AttemptHolder, GuardMessage};

/// Permission to run one attempt at one executor, sent along with the dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchTicket {
    /// Idempotency key of the request.
    pub key: KeyId,
    /// Hash of method, target and body of the request.
    pub fingerprint: KeyFingerprint,
    /// Attempt that all seats granted.
    pub attempt: AttemptId,
    /// Instance that claimed the key.
    pub ingress: InstanceId,
    /// Only instance that may run the attempt.
    pub executor: InstanceId,
    /// Range of the key.
    pub range: RangeId,
    /// Generation whose seats granted the attempt.
    pub generation: RangeGeneration,
    /// Seats of that generation.
    pub seats: Vec<InstanceId>,
    /// Time of the key, or of the claim for a key without a time, in milliseconds since the Unix
    /// epoch.
    pub stamp_ms: u64,
    /// Deadline of the caller by the clock of the ingress, in milliseconds since the Unix epoch. An
    /// executor that was paused refuses expired tickets, so that no attempt runs long after the
    /// caller got the answer "unknown".
    pub expires_ms: u64,
}

impl DispatchTicket {
    /// Returns the attempt with its ingress and executor.
    #[must_use]
    pub const fn holder(&self) -> AttemptHolder {
        AttemptHolder {
            attempt: self.attempt,
            ingress: self.ingress,
            executor: self.executor,
            stamp_ms: self.stamp_ms,
        }
    }
}

/// Final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerVerdict {
    /// An earlier send of the same request ran, and its reply is stored.
    ReplyKept {
        /// Reply in the encoding of the executor's engine.
        reply: Arc<[u8]>,
    },
    /// An earlier send of the same request ran to completion, but its reply is no longer stored.
    ReplyGone,
    /// Refusal without a reply. The state is "not run" only if no send of this key has run; see
    /// [`sycamorelink_core::RunState`].
    Refuse(RequestRefusal),
}

/// Why an executor must not run an offered attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkRefusal {
    /// The attempt is fenced or its ticket expired. It has not run and never will.
    NotRun,
    /// The ticket names another instance. The attempt has not run here.
    WrongInstance,
    /// The attempt was offered before, or may have been: it is running or may have run. The ingress
    /// must not report "not run" and settles the request as `Lost`.
    Repeated,
}

/// Command that the embedding engine has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardCommand {
    /// Dispatch the request to `ticket.executor` with the ticket, then report `Settled` or
    /// `Redirect`.
    Grant {
        /// Request that may be dispatched.
        request: RequestId,
        /// Ticket to send with the dispatch.
        ticket: DispatchTicket,
    },
    /// Answer the caller. The guard drops the request.
    Answer {
        /// Request to answer.
        request: RequestId,
        /// Answer for the caller.
        verdict: AnswerVerdict,
    },
    /// The attempt of a request settled as `Lost` is fenced: it never ran and never will. Report
    /// `Redirect`, or `Settled` with `NotRun`.
    Reoffer {
        /// Request whose attempt is fenced.
        request: RequestId,
    },
    /// Send a message. The guard tolerates the loss of any message.
    Send {
        /// Receiver. The transport must not deliver the message to another instance of the node.
        to: InstanceId,
        /// Message to send.
        message: GuardMessage,
    },
    /// Append the records to the guard's stream in the log as one entry. The guard repeats the
    /// command until it reads the records back.
    AppendFounding {
        /// Founding records of one or more ranges.
        records: Vec<FoundingRecord>,
    },
    /// Send the request to the backend server exactly once, then report `WorkEnded`.
    RunWork {
        /// Ticket of the attempt.
        ticket: DispatchTicket,
    },
    /// Refuse the attempt without contacting the backend server.
    RefuseWork {
        /// Refused attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        refusal: WorkRefusal,
    },
    /// All seats of this node were handed over and all outcomes recorded after `DrainRequested`.
    Drained,
    /// Write an entry to the event log.
    Note(GuardNote),
}

/// Entry for the event log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardNote {
    /// A request was answered with "unknown".
    AnsweredUnknown {
        /// Request that was answered.
        request: RequestId,
        /// Key of the request.
        key: KeyId,
    },
    /// A key was closed permanently because its attempt may have run and the outcome is lost.
    KeyClosed {
        /// Closed key.
        key: KeyId,
        /// Attempt that may have run.
        attempt: AttemptId,
    },
    /// A range has a new generation.
    GenerationChanged {
        /// Range that changed.
        range: RangeId,
        /// New generation.
        generation: RangeGeneration,
        /// Seats of the new generation.
        seats: Vec<InstanceId>,
    },
    /// This node began to serve a seat.
    SeatServing {
        /// Range of the seat.
        range: RangeId,
        /// Generation of the seat.
        generation: RangeGeneration,
        /// Number of keys in the seat's store.
        keys: usize,
    },
    /// Too many seats of a range are lost. The range stays closed until it is founded again through
    /// the log.
    RangeClosed {
        /// Closed range.
        range: RangeId,
        /// Last known generation of the range.
        generation: RangeGeneration,
    },
    /// The store was full, and the seat dropped its oldest keys. Keys older than the watermark are
    /// refused from now on.
    WatermarkRaised {
        /// Range whose store was full.
        range: RangeId,
        /// New watermark, in milliseconds since the Unix epoch.
        watermark_ms: u64,
    },
}
