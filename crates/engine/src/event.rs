//! Events that the daemon passes to the engine: one variant for each kind of external input.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_contract::{ContentDigest, FleetContract};
use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, NodeId, RefusalCode, RequestId, RunState, ServiceName,
};
use sycamorelink_guard::{DispatchTicket, KeyFingerprint};
use sycamorelink_limits::admission::WorkId;
use sycamorelink_policy::{LoadHint, SampleKind, UpstreamPhase};
use sycamorelink_roster::RosterMessage;

use crate::leaving::LeavingServer;
use crate::message::PeerMessage;

/// External inputs of a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// The time returned by `NodeEngine::next_wake` was reached.
    Tick,
    /// The head of a caller's request arrived; its body was not read yet.
    RequestArrived(CallerRequest),
    /// The body of a keyed request was read completely.
    BodyRead {
        /// Id of the caller's request.
        request: RequestId,
        /// Hash of method, target and body.
        fingerprint: KeyFingerprint,
    },
    /// The body of a request is longer than the daemon keeps, so only one attempt can get it.
    BodyNotKept {
        /// Id of the caller's request.
        request: RequestId,
    },
    /// The caller disconnected before its answer was complete.
    CallerGone {
        /// Id of the caller's request.
        request: RequestId,
    },
    /// An attempt of a request ended.
    AttemptEnded(AttemptReport),
    /// A peer, or the ingress side of this node, offered work for a local upstream.
    WorkOffered(WorkOffer),
    /// The node that offered the work cancelled it.
    WorkCancelled {
        /// Id of the work, as given in its offer.
        work: WorkId,
    },
    /// The connection that carried work was lost. `WorkEnded` follows once it is known whether the
    /// backend server is alive.
    WorkConnectionLost {
        /// Id of the work, as given in its offer.
        work: WorkId,
    },
    /// The head of the answer to running work arrived, and the server reports something about
    /// itself.
    ServerNoticed {
        /// Id of the work, as given in its offer.
        work: WorkId,
        /// What the server reports.
        notice: ServerNotice,
    },
    /// The work ended, with or without a run.
    WorkEnded(WorkReport),
    /// A leaving node still writes replies to callers or peers. A request ends for the node when its
    /// reply is complete, which may be long before the reply is written.
    OpenReplies {
        /// Number of replies that are not written completely.
        count: usize,
    },
    /// A message arrived over the peer protocol.
    PeerReceived {
        /// The sender, as authenticated when the connection was opened.
        from: InstanceId,
        /// Content of the message.
        message: PeerMessage,
    },
    /// A gossip datagram arrived.
    DatagramReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// Content of the datagram.
        message: RosterMessage,
    },
    /// The peer protocol could not reach a peer.
    PeerUnreachable {
        /// Node id of the peer.
        node: NodeId,
    },
    /// A peer has not answered a heartbeat in time. Its connection is kept for now.
    PeerUnresponsive {
        /// Node id of the peer.
        node: NodeId,
    },
    /// A silent or broken connection to a peer was replaced by a new one.
    PeerReconnected {
        /// Node id of the peer.
        node: NodeId,
    },
    /// A local backend server announced itself or renewed its announcement.
    UpstreamAnnounced(UpstreamAnnouncement),
    /// A local backend server withdrew its announcement.
    UpstreamWithdrawn {
        /// Number of the backend server on this node.
        slot: u16,
        /// The incarnation that withdraws; `None` if the server did not name one.
        life: Option<LifeId>,
    },
    /// Records were read from the platform's log, in order.
    LogRead {
        /// Stream that was read.
        stream: LogStream,
        /// Oldest offset that the log still has.
        first: u64,
        /// Offset after the last record read.
        next: u64,
        /// The records, by ascending offset.
        records: Vec<LogEntry>,
    },
    /// A stream of the log was read to its current end.
    LogCurrent {
        /// Stream that was read.
        stream: LogStream,
        /// Whether reading began at the first record ever written.
        whole: bool,
    },
    /// Records were trimmed from the log before this node read them.
    LogGap {
        /// Stream that was trimmed.
        stream: LogStream,
        /// Oldest offset that is kept.
        first: u64,
    },
    /// A record of the contract stream was read for a `ReadContract` command.
    ContractReadBack {
        /// Offset of the record.
        offset: u64,
        /// Record in the encoding of the contract stream.
        bytes: Arc<[u8]>,
    },
    /// The source returned its newest fleet contract.
    FleetContract(Arc<FleetContract>),
    /// Gossip addresses of other nodes were read from the directory.
    SeedsFound(Vec<SocketAddr>),
    /// The directory of nodes was read for the first time.
    DirectoryRead {
        /// Number of entries of other nodes.
        entries: usize,
    },
    /// The record of leaving backend servers that an earlier incarnation of this node wrote was
    /// read.
    LeavingServersRead(Vec<LeavingServer>),
    /// The platform's log became reachable or unreachable.
    LogReachable(bool),
    /// The platform asked this node to leave.
    DrainRequested,
    /// The process was paused for a time that its monotonic clock may not show, because the wall
    /// clock has advanced further.
    Resumed,
    /// This node stops now. The engine responds by notifying its peers.
    Departed,
}

/// Streams of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogStream {
    /// Contract changes.
    Contracts,
    /// Founding records of the at-most-once guard.
    Guard,
}

/// A record of the platform's log.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Record in the encoding of its stream.
    pub bytes: Arc<[u8]>,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id that this node assigned to the request.
    pub id: RequestId,
    /// Request id given by the caller, or the one that the fleet generated. All processes log the
    /// same one.
    pub label: Arc<str>,
    /// Token sent by the caller; empty where callers use none.
    pub token: Arc<str>,
    /// Digest of the caller's client account key under a fleet contract; `None` without a key.
    pub account_key: Option<ContentDigest>,
    /// HTTP method of the request.
    pub method: Arc<str>,
    /// Host of the request, in lower case and without the port; empty where routes ignore hosts.
    pub host: Arc<str>,
    /// Path without the query string.
    pub path: Arc<str>,
    /// Path with the query string.
    pub target: Arc<str>,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<Arc<str>>,
    /// Length of the body in bytes; `None` if the caller did not send it.
    pub body_length: Option<u64>,
    /// Whether the daemon can keep the whole body and so send it again. Of a body without a known
    /// length this is assumed until [`NodeEvent::BodyNotKept`].
    pub replayable: bool,
    /// Time that the caller allows for the answer; `None` if the caller set no limit.
    pub time_left: Option<Duration>,
}

/// The end of an attempt, as observed by the ingress side.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// Classification of the end for failure detection.
    pub kind: SampleKind,
    /// Whether the backend server may have run the request.
    pub run: RunState,
    /// HTTP status of the reply; `None` without a reply.
    pub status: Option<u16>,
    /// Time from the dispatch to the end of the attempt.
    pub latency: Duration,
    /// Run time measured beside the backend server; `None` if it was not reported.
    pub service_time: Option<Duration>,
    /// Load reported by the executor; `None` if the executor did not answer.
    pub load: Option<LoadHint>,
    /// Code of the executor's refusal; `None` if the executor did not refuse.
    pub code: Option<RefusalCode>,
    /// Retry delay given by the executor's refusal.
    pub retry_after: Option<Duration>,
    /// Bytes of the reply body that were received.
    pub reply_bytes: u64,
}

/// Work offered to the executor.
#[derive(Clone, Debug)]
pub struct WorkOffer {
    /// Id assigned by the daemon of this node.
    pub work: WorkId,
    /// Instance that offers the work.
    pub from: InstanceId,
    /// The attempt that the work carries out.
    pub attempt: AttemptId,
    /// Request id given by the caller, or the one that the fleet generated.
    pub label: Arc<str>,
    /// Number of the upstream on this node.
    pub slot: u16,
    /// Customer whose contract matched the request.
    pub customer: CustomerName,
    /// Service that the route selected.
    pub service: ServiceName,
    /// Priority; a greater value is more important.
    pub priority: u8,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Signature for the crash registry; zero if the body was not seen completely.
    pub signature: u64,
    /// Proof of the guards' grants; `None` unless the request is keyed.
    pub ticket: Option<DispatchTicket>,
    /// Whether the work may serve as a trial of a suspect backend server: the request is idempotent
    /// and no earlier attempt may have run.
    pub trial_fit: bool,
    /// Whether to run the work although the breaker rejects work, because other upstreams rejected
    /// it as well.
    pub insist: bool,
    /// Maximum wait for a slot; `None` when only the deadline bounds the wait.
    pub patience: Option<Duration>,
    /// Hash of the route, by which run times are learned.
    pub kind: u64,
    /// Kind of arrival that the work counts as towards the bound on repeats.
    pub arrival: ArrivalKind,
    /// Terms for overload control; `None` if it is off at the node that offers the work.
    pub terms: Option<WorkTerms>,
}

/// Terms of a request that overload control at the executor depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTerms {
    /// Time left until the latency objective is missed, zero if it is already missed; `None` if the
    /// route has no objective.
    pub objective_left: Option<Duration>,
    /// Client account that the request is served for; `None` if unknown.
    pub account: Option<CustomerName>,
}

/// Kind of an arrival at a backend server, for the bound on repeats of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ArrivalKind {
    /// First arrival of a request.
    First,
    /// First arrival of a request that was made by a run which was itself a repeat. This arrival
    /// consumes the bound but is never refused because of it.
    CalledByRepeat,
    /// Later arrival: a backend server may have been given the request before.
    Repeat,
}

/// The end of work at the backend server.
#[derive(Clone, Debug)]
pub struct WorkReport {
    /// Id of the work.
    pub work: WorkId,
    /// End of the work at the backend server, as the executor saw it.
    pub end: WorkEnd,
    /// HTTP status of a complete reply; `None` otherwise.
    pub status: Option<u16>,
    /// Time that the backend server took.
    pub service_time: Duration,
    /// The complete reply, if small enough to be stored for a resend.
    pub reply: Option<Arc<[u8]>>,
    /// What the backend server reported about itself; `None` if it did not answer.
    pub notice: Option<ServerNotice>,
}

/// What a backend server reports about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Limit on the requests that the server gets.
    pub limit: LimitNotice,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// Limit that a backend server reports in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The server reports no limit.
    #[default]
    Absent,
    /// The server reports a limit that cannot be read.
    Malformed,
    /// Maximum number of requests per second from all nodes together; finite, 0 or more.
    Rate(f64),
}

/// Ways in which work ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// The backend server sent a complete reply.
    Replied,
    /// The backend server answered that it did not run the work.
    Declined,
    /// Another incarnation of the server, or another server, answered in place of the intended one.
    Replaced,
    /// The backend server could not be connected to and never received the work.
    NotStarted,
    /// The backend server crashed while it ran the work.
    Crashed,
    /// The connection was lost during the run, and the backend server is alive.
    ConnectionLost,
    /// The reply was truncated, malformed or for another request.
    Rejected,
    /// No byte of a reply arrived in time.
    Silent,
    /// The work was cancelled during the run.
    Cancelled,
}

/// Announcement of a backend server to the node beside it.
#[derive(Clone, Debug)]
pub struct UpstreamAnnouncement {
    /// Number of the backend server on this node.
    pub slot: u16,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u16,
    /// Whether the server is starting, ready or leaving.
    pub phase: UpstreamPhase,
    /// Incarnation of the server that sent the announcement; `None` if it did not name one.
    pub life: Option<UpstreamLife>,
    /// Remaining time in which the server is slow after its start; `None` if not announced.
    pub warm_up: Option<Duration>,
}

impl UpstreamAnnouncement {
    /// Returns the name of the incarnation that sent the announcement; `None` if it did not name one.
    #[must_use]
    pub fn life_name(&self) -> Option<&Arc<str>> {
        self.life.as_ref().map(|life| &life.id.name)
    }
}

/// Identity of one incarnation of a backend server. Identifiers call it a life, to distinguish it
/// from the incarnation of a node. A restarted server may reuse its name; the start times then
/// distinguish the incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeId {
    /// Name of the server.
    pub name: Arc<str>,
    /// Start time by the server's own clock, since the Unix epoch; `None` if not announced. Decides
    /// between incarnations of one name. Between others it is a hint, as the clock may be set back.
    pub started: Option<Duration>,
}

impl LifeId {
    /// Returns whether this incarnation began before another one of the same name. An incarnation
    /// without a start time counts as the earlier one.
    #[must_use]
    pub fn is_earlier_than(&self, other: &Self) -> bool {
        self.name == other.name && self.started < other.started
    }

    /// Returns whether this identity refers to the other one. A withdrawal may omit the start time
    /// and then matches every incarnation of the name.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.name == other.name && (self.started.is_none() || self.started == other.started)
    }
}

/// Incarnation of a backend server, with the order of its announcements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamLife {
    /// Identity of the incarnation.
    pub id: LifeId,
    /// Sequence number that grows with each announcement of this incarnation; identifies late ones.
    pub order: u64,
}
