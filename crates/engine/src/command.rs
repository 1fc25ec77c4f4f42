//! What the node asks for: typed commands, one for each thing that the daemon can do.

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

use crate::event::ArrivalKind;
use crate::message::PeerMessage;
use crate::note::NodeNote;

/// Everything that a node can ask of the daemon around it.
#[derive(Clone, Debug)]
pub enum NodeCommand {
    /// Give the caller its final answer. Nothing more follows for this request.
    Refuse {
        /// The request.
        request: RequestId,
        /// The answer.
        refusal: RequestRefusal,
    },
    /// Read the whole body and report `BodyRead`.
    ReadBody {
        /// The request.
        request: RequestId,
        /// Greatest length in bytes; beyond it the answer is `body-too-large`.
        limit: u64,
    },
    /// Carry out an attempt.
    Dispatch(Box<AttemptOrder>),
    /// Stop an attempt; its end is not reported.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Hand the caller the whole error reply that this attempt gave.
    Deliver {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Hand the caller a reply kept from an earlier send of the same key.
    AnswerKept {
        /// The request.
        request: RequestId,
        /// The reply, as encoded by the executor's daemon.
        reply: Arc<[u8]>,
    },
    /// Tell the caller that an earlier send ran and that its reply is no longer kept.
    AnswerGone {
        /// The request.
        request: RequestId,
    },
    /// Hand the work to the backend server.
    RunWork {
        /// The work.
        work: WorkId,
        /// The life of the backend server that is meant, where it named itself.
        life: Option<Arc<str>>,
    },
    /// Refuse the work; the backend server has not seen it and will not.
    RefuseWork {
        /// The work.
        work: WorkId,
        /// The answer.
        refusal: RequestRefusal,
        /// Load beside the backend server.
        load: LoadHint,
    },
    /// Tell the failure of work that crashed its backend server.
    ReleaseWork {
        /// The work.
        work: WorkId,
    },
    /// Stop work that runs or waits.
    CancelWork {
        /// The work.
        work: WorkId,
    },
    /// Send a message over the inner protocol. Delivery is not relied upon.
    SendPeer {
        /// The receiver's life that is meant.
        to: InstanceId,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send a datagram.
    SendDatagram {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: RosterMessage,
    },
    /// Append a record to the guard's stream.
    AppendGuard {
        /// The record.
        bytes: Vec<u8>,
    },
    /// Append a record to the stream of contract changes.
    AppendContract {
        /// The record.
        bytes: Vec<u8>,
    },
    /// Read one record of the contract stream and report `ContractReadBack`.
    ReadContract {
        /// Its offset.
        offset: u64,
    },
    /// Read the contract stream again from its oldest record.
    RereadContracts,
    /// Begin to follow the source of the fleet contract, or cease to.
    FollowSource {
        /// Whether to follow it.
        follow: bool,
    },
    /// Look where nodes announce themselves for others, and have them find this node.
    FindMembers,
    /// This life's incarnation is lower than one that peers remember: leave this one for the next life to
    /// begin above, and end.
    RecordIncarnation(NodeIncarnation),
    /// The compiled contracts changed; publish the new table to the request path.
    ContractsChanged,
    /// Everything this node held is handed over or finished.
    Drained,
    /// Something worth a numbered event.
    Note(NodeNote),
}

/// One attempt to be carried out.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// The caller's own id of the request, else the fleet's.
    pub label: Arc<str>,
    /// Where it goes.
    pub upstream: UpstreamId,
    /// The life of the node beside the upstream that is meant.
    pub executor: InstanceId,
    /// That node's inner-protocol address; none when it is this node.
    pub address: Option<SocketAddr>,
    /// Customer.
    pub customer: CustomerName,
    /// The client account that the backend server is told of; none where the caller brought no key.
    pub account: Option<CustomerName>,
    /// Service.
    pub service: ServiceName,
    /// Priority, greater is more important.
    pub priority: u8,
    /// Time left to the deadline.
    pub time_left: Duration,
    /// Signature without the body; the daemon mixes the body's hash into it.
    pub signature: u64,
    /// Proof of the grants, for a request that must not repeat.
    pub ticket: Option<DispatchTicket>,
    /// Header in which the backend server repeats the request id, if the contract names one.
    pub reply_id_header: Option<Arc<str>>,
    /// Greatest request body, in bytes.
    pub max_body: u64,
    /// Bytes of a reply held until it is whole; the daemon may hold fewer.
    pub reply_buffer: usize,
    /// Whether it may serve as a trial of a backend server that may be failing: it may be run more
    /// than once, and has not been tried yet.
    pub trial_fit: bool,
    /// Whether it is to run although the upstream may be failing.
    pub insist: bool,
    /// How long it may wait for a slot; none when only its deadline bounds the wait.
    pub patience: Option<Duration>,
    /// Which kind of work it is: a hash of its route, for what is learned of run times.
    pub kind: u64,
    /// How it counts towards the bound on repeats.
    pub arrival: ArrivalKind,
}
