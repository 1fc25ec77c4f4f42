//! What the node is told: typed events, one for each thing that can happen outside the decisions.

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

use crate::message::PeerMessage;

/// Everything that can happen to a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time passed.
    Tick,
    /// A caller sent a request; its body has not been read.
    RequestArrived(CallerRequest),
    /// The body of a keyed request was read whole.
    BodyRead {
        /// The request.
        request: RequestId,
        /// Hash of method, target and body.
        fingerprint: KeyFingerprint,
    },
    /// The caller went away before its answer was complete.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// An attempt of a request came to its end.
    AttemptEnded(AttemptReport),
    /// A peer, or this node's own caller side, offers work for an upstream beside this node.
    WorkOffered(WorkOffer),
    /// Whoever offered the work no longer wants it.
    WorkCancelled {
        /// The work.
        work: WorkId,
    },
    /// The connection broke under work. How it ended follows, once it is known whether the backend
    /// server lives.
    WorkBroke {
        /// The work.
        work: WorkId,
    },
    /// The backend server ended the work.
    WorkEnded(WorkReport),
    /// A message from a peer over the inner protocol.
    PeerReceived {
        /// The sender, as proved when the connection was made.
        from: InstanceId,
        /// What it said.
        message: PeerMessage,
    },
    /// A datagram from a peer.
    DatagramReceived {
        /// Where it came from.
        from: SocketAddr,
        /// What it said.
        message: RosterMessage,
    },
    /// The inner protocol could not reach a peer.
    PeerUnreachable {
        /// The peer.
        node: NodeId,
    },
    /// A peer owes the answer to a heartbeat. Its connection is not given up yet.
    PeerQuiet {
        /// The peer.
        node: NodeId,
    },
    /// A connection to a peer had gone silent or broken, and a new one was opened.
    PeerReconnected {
        /// The peer.
        node: NodeId,
    },
    /// A backend server beside this node announced itself or renewed its announcement.
    UpstreamAnnounced(UpstreamAnnouncement),
    /// A backend server beside this node withdrew.
    UpstreamWithdrawn {
        /// Its number on this node.
        slot: u16,
        /// The life that withdraws, where it says so.
        life: Option<LifeId>,
    },
    /// Records of the platform's log, in order.
    LogRead {
        /// Which stream they are from.
        stream: LogStream,
        /// Oldest offset that the log still has.
        first: u64,
        /// Offset after the last record read.
        next: u64,
        /// The records.
        records: Vec<LogEntry>,
    },
    /// A stream of the log was read to its present end.
    LogCurrent {
        /// Which stream.
        stream: LogStream,
        /// Whether reading began at the first record ever written.
        whole: bool,
    },
    /// Records were trimmed before this node read them.
    LogGap {
        /// Which stream.
        stream: LogStream,
        /// Oldest offset that is kept.
        first: u64,
    },
    /// One record of the contract stream, read back on request.
    ContractReadBack {
        /// Its offset.
        offset: u64,
        /// Its bytes.
        bytes: Arc<[u8]>,
    },
    /// The newest fleet contract that the source has.
    FleetContract(Arc<FleetContract>),
    /// Gossip addresses of other nodes were read from where nodes announce themselves.
    SeedsFound(Vec<SocketAddr>),
    /// Where nodes announce themselves was read for the first time.
    DirectoryRead {
        /// Entries of other nodes that were found.
        entries: usize,
    },
    /// Whether the platform's log can be reached changed.
    LogReachable(bool),
    /// The platform asked this node to leave.
    DrainRequested,
    /// This node stops now; peers are told.
    Departed,
}

/// A stream of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogStream {
    /// Changes of contracts.
    Contracts,
    /// Founding records of the at-most-once guard.
    Guard,
}

/// One record of the platform's log.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// Its offset.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request.
    pub id: RequestId,
    /// The caller's own id of the request, else the fleet's; the same in every process's logs.
    pub label: Arc<str>,
    /// The caller's token, as sent; empty where callers bring none.
    pub token: Arc<str>,
    /// Digest of the key of a client account of the fleet contract, if the caller brought one.
    pub account_key: Option<ContentDigest>,
    /// HTTP method.
    pub method: Arc<str>,
    /// Host that the request names, in lower case and without a port; empty where none counts.
    pub host: Arc<str>,
    /// Path without the query.
    pub path: Arc<str>,
    /// Path with the query.
    pub target: Arc<str>,
    /// The `Idempotency-Key`, if any.
    pub key: Option<Arc<str>>,
    /// The body's length, where the caller told it.
    pub body_length: Option<u64>,
    /// Whether the daemon can hold the whole body and so send it again.
    pub replayable: bool,
    /// Time that the caller still gives, if it said so.
    pub time_left: Option<Duration>,
}

/// How an attempt ended, seen from the caller's side.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub kind: SampleKind,
    /// What is known about the backend server having run it.
    pub run: RunState,
    /// Status of the reply, if there was one.
    pub status: Option<u16>,
    /// Time from sending it to its end.
    pub latency: Duration,
    /// Service time as measured beside the backend server.
    pub service_time: Option<Duration>,
    /// Load as told by the node beside the backend server.
    pub load: Option<LoadHint>,
    /// Code of the executor's refusal, if it refused.
    pub code: Option<RefusalCode>,
    /// When the refusing executor said to come back.
    pub retry_after: Option<Duration>,
    /// Bytes of the reply's body that came.
    pub reply_bytes: u64,
}

/// Work offered to the executor.
#[derive(Clone, Debug)]
pub struct WorkOffer {
    /// Number given by this node's shell.
    pub work: WorkId,
    /// Who offers it.
    pub from: InstanceId,
    /// The attempt that it carries out.
    pub attempt: AttemptId,
    /// The caller's own id of the request, else the fleet's.
    pub label: Arc<str>,
    /// The upstream's number on this node.
    pub slot: u16,
    /// Customer.
    pub customer: CustomerName,
    /// Service.
    pub service: ServiceName,
    /// Priority, greater is more important.
    pub priority: u8,
    /// Time left to the deadline.
    pub time_left: Duration,
    /// Signature for the crash-request registry; zero when the body was not seen whole.
    pub signature: u64,
    /// Proof of the grants, for a request that must not repeat.
    pub ticket: Option<DispatchTicket>,
    /// Whether it may serve as a trial of a backend server that may be failing: it may be run more
    /// than once, and has not been tried yet.
    pub trial_fit: bool,
    /// Whether it is to run although the backend server may be failing: others were asked before
    /// and held it off as well.
    pub insist: bool,
    /// How long it may wait for a slot; none when only its deadline bounds the wait.
    pub patience: Option<Duration>,
    /// Which kind of work it is: a hash of its route, for what is learned of run times.
    pub kind: u64,
    /// How it counts towards the bound on repeats.
    pub arrival: ArrivalKind,
}

/// How an arrival at a backend server counts towards the bound on repeats of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ArrivalKind {
    /// The first of its request.
    First,
    /// The first of a request that comes from a run which was a repeat itself. It takes from the bound,
    /// and is not refused for it.
    CalledByRepeat,
    /// A further one: a backend server may have been handed the request before.
    Repeat,
}

/// How work ended at the backend server.
#[derive(Clone, Debug)]
pub struct WorkReport {
    /// The work.
    pub work: WorkId,
    /// How it ended.
    pub end: WorkEnd,
    /// Status of a whole reply.
    pub status: Option<u16>,
    /// Time that the backend server took.
    pub service_time: Duration,
    /// The whole reply, where it is small enough to be kept for a resend.
    pub reply: Option<Arc<[u8]>>,
}

/// Ways in which work ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// The backend server gave a whole reply.
    Replied,
    /// The backend server answered that it did not run the work.
    Declined,
    /// Another life, or another server, answered in place of the one that was meant.
    Replaced,
    /// The backend server could not be connected to, so it never saw the work.
    NotStarted,
    /// The backend server went away while it ran the work.
    Crashed,
    /// The connection broke while the backend server ran the work; the server itself lives.
    ConnectionLost,
    /// The reply was cut short, malformed or belonged to another request.
    Rejected,
    /// No byte of a reply in time.
    Silent,
    /// The work was cancelled while it ran.
    Cancelled,
}

/// A backend server's announcement of itself.
#[derive(Clone, Debug)]
pub struct UpstreamAnnouncement {
    /// Its number on this node.
    pub slot: u16,
    /// The service it runs.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it is ready.
    pub phase: UpstreamPhase,
    /// Which life of the backend server speaks, where it says so.
    pub life: Option<UpstreamLife>,
    /// How much longer it stays slow after its start; none when it does not say.
    pub warm_up: Option<Duration>,
}

/// Which life of a backend server is meant. A server may start again under the name that it had; the
/// time of its start then tells the lives apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeId {
    /// Name that the server goes by.
    pub name: Arc<str>,
    /// When the life began by the server's own clock, as time since the Unix epoch; none where it
    /// does not say. Compared only between lives of one name, which run on one clock.
    pub started: Option<Duration>,
}

impl LifeId {
    /// Whether this life of the same name began before the other one. One that does not say when it
    /// began is taken as the earlier.
    #[must_use]
    pub fn is_earlier_than(&self, other: &Self) -> bool {
        self.name == other.name && self.started < other.started
    }

    /// Whether this names the other life: one who withdraws need not say when its life began.
    #[must_use]
    pub fn names(&self, other: &Self) -> bool {
        self.name == other.name && (self.started.is_none() || self.started == other.started)
    }
}

/// One life of a backend server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamLife {
    /// Which life.
    pub id: LifeId,
    /// Grows with each announcement of this life, so that a late one can be told.
    pub order: u64,
}
