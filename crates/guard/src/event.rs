//! Events that the embedding engine reports to the guard.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{AttemptId, DomainName, InstanceId, RequestId};

use crate::command::DispatchTicket;
use crate::key::{KeyFingerprint, KeyId};
use crate::map::FoundingRecord;
use crate::message::GuardMessage;

/// Outcome of a dispatch as observed by the ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchOutcome {
    /// The executor answered that it did not run the attempt and never will, or the ingress never
    /// sent the ticket.
    NotRun,
    /// The complete reply arrived.
    Ran,
    /// The executor answered that it does not know whether the attempt ran.
    Unknown,
    /// The connection broke or timed out. The guard queries the executor and continues with
    /// `Answer` or `Reoffer`.
    Lost,
}

/// Outcome of an attempt as observed by the executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkOutcome {
    /// The backend server certainly never started the request, for example because its queue or the
    /// connection was refused.
    NotRun,
    /// The request ran to completion. The engine encodes the reply (status, headers, body), or
    /// passes `None` if the reply should not be stored.
    Ran(Option<Arc<[u8]>>),
    /// The backend server crashed or stopped responding after the request was sent.
    Unknown,
}

/// Event for the guard. A description that begins with a role concerns that role of the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardEvent {
    /// Ingress: a caller's non-idempotent request arrived. It is answered by `Grant` or `Answer`
    /// before the deadline.
    Admit {
        /// New id of this send.
        request: RequestId,
        /// Idempotency key of the request.
        key: KeyId,
        /// Hash of method, target and body of the request.
        fingerprint: KeyFingerprint,
        /// Instance chosen to run the request.
        executor: InstanceId,
        /// Deadline of the caller, in this node's monotonic time.
        deadline: Duration,
    },
    /// Ingress: the current attempt certainly did not run (as in `DispatchOutcome::NotRun`), and
    /// the request is to run at another executor. Also a possible reply to `Reoffer`. The guard
    /// answers as for `Admit`.
    Redirect {
        /// Request to redirect.
        request: RequestId,
        /// Instance chosen to run the request next.
        executor: InstanceId,
    },
    /// Ingress: the dispatch after `Grant` ended. With `NotRun` the guard releases the grants, so
    /// that a later resend can run. Also allowed after `Reoffer`, with `NotRun`, to stop retrying.
    Settled {
        /// Request whose dispatch ended.
        request: RequestId,
        /// Outcome of the dispatch.
        outcome: DispatchOutcome,
    },
    /// Ingress: the caller disconnected before `Grant`. No answer follows.
    Abandoned {
        /// Request of the disconnected caller.
        request: RequestId,
    },
    /// Executor: a dispatch arrived. The guard answers with `RunWork` or `RefuseWork` immediately.
    Offered {
        /// Ticket received with the dispatch.
        ticket: DispatchTicket,
    },
    /// Executor: an attempt started by `RunWork` ended.
    WorkEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: WorkOutcome,
    },
    /// A message arrived from another node.
    Message {
        /// Sender, authenticated by the transport.
        from: InstanceId,
        /// Received message.
        message: GuardMessage,
    },
    /// The roster lists an instance as alive. A higher incarnation of a known node proves that the
    /// earlier one has ended: it no longer receives messages at its address.
    MemberUp {
        /// Instance that is alive.
        instance: InstanceId,
        /// Failure domain of the instance.
        domain: DomainName,
    },
    /// The roster suspects an instance. `MemberUp` may follow.
    MemberDown {
        /// Suspected instance.
        instance: InstanceId,
    },
    /// An operator confirmed that an instance has ended, or the instance announced its end after a
    /// drain. The instance never returns.
    MemberGone {
        /// Instance that has ended.
        instance: InstanceId,
    },
    /// A member announced that it drains. The member gets no new seats.
    MemberDraining {
        /// Draining instance.
        instance: InstanceId,
    },
    /// Founding records were read from the log. Events arrive in log order.
    LogFounding {
        /// Records of one append.
        records: Vec<FoundingRecord>,
    },
    /// The log was read up to its current end.
    LogCurrent {
        /// Whether reading began at the first record ever written, so that the absence of founding
        /// records proves that the fleet is new.
        whole: bool,
    },
    /// The log became unreachable.
    LogLost,
    /// This node drains and has to hand over its seats. `Drained` follows when it is done.
    DrainRequested,
    /// Time has passed; see `GuardNode::next_wake`.
    Tick,
}
