//! Inputs and outputs of the roster.

use std::net::SocketAddr;
use std::time::Duration;

use sycamorelink_core::{InstanceId, NodeId, ServiceName, UpstreamId};

use crate::facts::{MemberFacts, MemberView, UpstreamFacts};
use crate::message::RosterMessage;

/// Input of [`crate::NodeRoster::handle`].
#[derive(Clone, Debug)]
pub enum RosterEvent {
    /// The time of [`crate::NodeRoster::next_wake`] has come.
    Tick,
    /// Gossip addresses of the seeds from the settings.
    Seeds(Vec<SocketAddr>),
    /// A datagram arrived and its payload was decoded.
    Datagram {
        /// Source address.
        from: SocketAddr,
        /// Decoded payload.
        message: RosterMessage,
    },
    /// An upstream of this node appeared or changed.
    UpstreamSet {
        /// Number of the upstream on this node.
        slot: u16,
        /// New facts to announce.
        facts: UpstreamFacts,
    },
    /// An upstream of this node was removed.
    UpstreamGone {
        /// Number of the upstream on this node.
        slot: u16,
    },
    /// This node begins to drain: the other nodes send it no new work.
    Leave,
    /// This node stops now, after [`RosterEvent::Leave`] and the end of its drain.
    Depart,
    /// A request of this node could not reach a member.
    Unreachable {
        /// The member that was not reached.
        node: NodeId,
    },
    /// A member answered a request of this node.
    Reached {
        /// The member that answered.
        node: NodeId,
    },
    /// Another component of the daemon publishes an update to all nodes.
    Publish {
        /// One of the constants in [`crate::topic`].
        topic: u8,
        /// Key within the topic.
        key: u64,
        /// Version of the key; greater versions replace smaller ones.
        version: u64,
        /// Payload, opaque to the roster; at most [`crate::topic::MAX_BODY_BYTES`] bytes.
        body: Vec<u8>,
    },
}

/// Output of [`crate::NodeRoster::handle`], to be carried out by the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterCommand {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Payload, not encoded yet.
        message: RosterMessage,
    },
    /// A member is present: new, restarted, or back after it was marked dead.
    MemberUp(MemberFacts),
    /// A member began to leave, or its reachability from this node changed.
    MemberChanged(MemberView),
    /// A member is gone. Its upstreams were reported gone before.
    MemberDown {
        /// Node and incarnation of the member.
        instance: InstanceId,
        /// Why the member was removed.
        cause: DownCause,
    },
    /// An upstream appeared or changed. All upstreams of a leaving member have the phase leaving.
    UpstreamChanged {
        /// Node and number of the upstream.
        id: UpstreamId,
        /// New facts of the upstream.
        facts: UpstreamFacts,
    },
    /// An upstream was removed.
    UpstreamGone {
        /// Node and number of the upstream.
        id: UpstreamId,
        /// Service that the upstream ran.
        service: ServiceName,
    },
    /// A published update arrived whose version is the newest seen for its key.
    Rumour {
        /// One of the constants in [`crate::topic`].
        topic: u8,
        /// Key within the topic.
        key: u64,
        /// Version of the key.
        version: u64,
        /// Payload, opaque to the roster.
        body: Vec<u8>,
        /// Node that published the update.
        origin: NodeId,
    },
    /// This node raised its incarnation above the one it started with, because peers remember a
    /// greater one from before a restart (the clock was set back).
    IncarnationRaised(InstanceId),
    /// Another process with this node's name and a greater incarnation runs at another address;
    /// this process must stop.
    Superseded {
        /// Instance that replaces this one.
        by: InstanceId,
    },
    /// An entry for the event log.
    Note(RosterNote),
}

/// Why a member was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownCause {
    /// The member announced its departure after its drain; its process has ended.
    Left,
    /// The member was draining and several observers get no reply any more. Its process may still
    /// run.
    LostWhileLeaving,
    /// Several observers get no reply. The process may still run behind a network partition.
    Dead,
    /// A newer incarnation of the node replaced this one.
    Replaced,
}

/// Entry for the event log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterNote {
    /// The first complete roster has been received.
    Joined {
        /// Number of known members, including this node.
        members: usize,
        /// Time since the first seed was contacted.
        after: Duration,
    },
    /// A member does not reply to observers.
    Suspected {
        /// Node and incarnation of the member.
        instance: InstanceId,
        /// Number of observers named in the report.
        observers: usize,
    },
    /// A suspected member proved to be alive.
    Cleared {
        /// Node and incarnation of the member.
        instance: InstanceId,
    },
    /// Peers suspected this node or marked it dead, and this node refuted it.
    Refuted {
        /// New revision of this node.
        revision: u32,
    },
    /// This process did not run for a while; running suspicion timers were extended by the gap.
    Stalled {
        /// Length of the pause.
        gap: Duration,
    },
    /// Probes fail and no helper replies: this node suspects its own network.
    SelfSuspect {
        /// Number of consecutive probes without any reply.
        probes: u32,
    },
    /// This node gets replies from other nodes again.
    SelfRecovered,
    /// The service name of an upstream is too long; the upstream was not announced.
    ServiceNameTooLong {
        /// Number of the upstream on this node.
        slot: u16,
        /// Size of the name, in bytes.
        bytes: usize,
    },
    /// The body of a published update is too large; the update was not sent.
    TopicBodyTooLarge {
        /// Topic of the update.
        topic: u8,
        /// Size of the body, in bytes.
        bytes: usize,
    },
}
