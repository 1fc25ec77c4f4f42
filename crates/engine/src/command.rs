//! Commands that the engine returns: one variant for each thing that the daemon can do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, NodeIncarnation, RequestId, RequestRefusal, ServiceName,
    UpstreamId,
};
use sycamorelink_guard::DispatchTicket;
use sycamorelink_limits::admission::WorkId;
use sycamorelink_policy::LoadHint;
use sycamorelink_roster::RosterMessage;

use crate::event::{ArrivalKind, WorkTerms};
use crate::leaving::LeavingServer;
use crate::message::PeerMessage;
use crate::note::NodeNote;

/// Actions that the engine requests from the daemon around it.
#[derive(Clone, Debug)]
pub enum NodeCommand {
    /// Send the caller a refusal as its final answer. No further command names this request.
    Refuse {
        /// Id of the caller's request.
        request: RequestId,
        /// Code, run state and retry delay of the refusal.
        refusal: RequestRefusal,
    },
    /// Read the whole request body and report it with `NodeEvent::BodyRead`.
    ReadBody {
        /// Id of the caller's request.
        request: RequestId,
        /// Maximum length in bytes; a longer body is refused as `body-too-large`.
        limit: u64,
    },
    /// Send an attempt to its upstream.
    Dispatch(Box<AttemptOrder>),
    /// Cancel an attempt. The daemon does not report its end.
    CancelAttempt {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Forward the complete error reply of this attempt to the caller.
    Deliver {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Answer with the reply stored for an earlier send of the same key.
    AnswerKept {
        /// Id of the caller's request.
        request: RequestId,
        /// The reply, as encoded by the daemon of the executor.
        reply: Arc<[u8]>,
    },
    /// Answer that an earlier send of the key ran and that its reply is no longer stored.
    AnswerGone {
        /// Id of the caller's request.
        request: RequestId,
    },
    /// Forward the work to the backend server.
    RunWork {
        /// Id of the work, as given by the daemon.
        work: WorkId,
        /// Name announced by the incarnation of the backend server that must run the work; `None`
        /// if it announced no name.
        life: Option<Arc<str>>,
    },
    /// Refuse the work. The backend server was not sent the work and will not be.
    RefuseWork {
        /// Id of the work, as given by the daemon.
        work: WorkId,
        /// Code, run state and retry delay of the refusal.
        refusal: RequestRefusal,
        /// Load of the backend server, for the caller's node.
        load: LoadHint,
    },
    /// Report the failure of work during which the backend server crashed, held until now.
    ReleaseWork {
        /// Id of the work, as given by the daemon.
        work: WorkId,
    },
    /// Cancel work that is queued or running.
    CancelWork {
        /// Id of the work, as given by the daemon.
        work: WorkId,
    },
    /// Send a message over the peer protocol. The engine does not rely on its delivery.
    SendPeer {
        /// The receiving instance; another incarnation of the node must not get the message.
        to: InstanceId,
        /// Peer protocol address of the receiver.
        address: SocketAddr,
        /// Content of the message.
        message: PeerMessage,
    },
    /// Send a gossip datagram.
    SendDatagram {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        message: RosterMessage,
    },
    /// Append a record to the guard stream of the platform's log.
    AppendGuard {
        /// Record in the encoding of the guard stream.
        bytes: Vec<u8>,
    },
    /// Append a record to the stream of contract changes.
    AppendContract {
        /// Record in the encoding of the contract stream.
        bytes: Vec<u8>,
    },
    /// Read one record of the contract stream and report it with `NodeEvent::ContractReadBack`.
    ReadContract {
        /// Offset of the record in the stream.
        offset: u64,
    },
    /// Read the contract stream again from its oldest retained record.
    RereadContracts,
    /// Start or stop polling the source of the fleet contract.
    FollowSource {
        /// True to start, false to stop.
        follow: bool,
    },
    /// Read the directory in which nodes register, and register this node there.
    FindMembers,
    /// Store an incarnation for the next start of this node and exit. Peers remember a higher
    /// incarnation than the current one, and the next start must use a number above theirs.
    RecordIncarnation(NodeIncarnation),
    /// Record the local backend servers that are leaving where the record outlives all nodes. It
    /// replaces the former record of this node.
    RecordLeaving(Vec<LeavingServer>),
    /// Publish the newly compiled contracts to the request path.
    ContractsChanged,
    /// Report that this node has handed over or finished everything.
    Drained,
    /// Record a numbered event in the log and the metrics.
    Note(NodeNote),
}

/// Everything that the daemon needs to send one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Request id given by the caller, or the one that the fleet generated.
    pub label: Arc<str>,
    /// Target of the attempt.
    pub upstream: UpstreamId,
    /// The instance beside the upstream that must run the attempt; another incarnation of that node
    /// must not.
    pub executor: InstanceId,
    /// Peer protocol address of the executor; `None` when this node is the executor.
    pub address: Option<SocketAddr>,
    /// Customer whose contract matched the request.
    pub customer: CustomerName,
    /// Client account reported to the backend server; `None` when the caller sent no key.
    pub account: Option<CustomerName>,
    /// Service that the route selected.
    pub service: ServiceName,
    /// Priority; a greater value is more important.
    pub priority: u8,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Crash signature without the body; the daemon mixes in the hash of the body.
    pub signature: u64,
    /// Proof of the guards' grants; `None` unless the request is keyed.
    pub ticket: Option<DispatchTicket>,
    /// Header in which the backend server echoes the request id, if the contract names one.
    pub reply_id_header: Option<Arc<str>>,
    /// Maximum size of the request body in bytes.
    pub max_body: u64,
    /// Reply bytes to buffer until the reply is complete; the daemon may buffer fewer.
    pub reply_buffer: usize,
    /// Whether the attempt may serve as a trial of a suspect backend server: the request is
    /// idempotent and no earlier attempt may have run.
    pub trial_fit: bool,
    /// Whether the executor must run the attempt although its breaker rejects work.
    pub insist: bool,
    /// Maximum wait for a slot; `None` when only the deadline bounds the wait.
    pub patience: Option<Duration>,
    /// Hash of the route, by which run times are learned.
    pub kind: u64,
    /// Kind of arrival that the attempt counts as towards the bound on repeats.
    pub arrival: ArrivalKind,
    /// Terms for overload control; `None` where it is off.
    pub terms: Option<WorkTerms>,
}
