//! Messages that nodes exchange.

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, NodeId, ServiceName};

use crate::facts::{MemberFacts, MemberStanding, UpstreamPhase};

/// Content of one datagram. Encoded with the standard configuration of `bincode`, a datagram stays
/// within [`crate::RosterSettings::datagram_bytes`]; [`crate::encoded_size`] returns the exact
/// size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMessage {
    /// Node id and incarnation of the sender.
    pub from: InstanceId,
    /// Hash of the sender's whole roster; zero while the sender is joining.
    pub root: u32,
    /// Purpose of the datagram.
    pub purpose: MessagePurpose,
    /// Rumours piggybacked on the datagram.
    pub rumours: Vec<MemberRumour>,
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessagePurpose {
    /// Carries only rumours.
    Gossip,
    /// Asks for an immediate [`Self::Ack`].
    Ping {
        /// Number of the probe, repeated in the reply.
        sequence: u32,
        /// Node that is probed; another node at this address does not reply.
        target: NodeId,
    },
    /// Answers a [`Self::Ping`].
    Ack {
        /// Number from the ping.
        sequence: u32,
    },
    /// Asks a helper to ping a member.
    Assist {
        /// Number of the probe, repeated in the reply.
        sequence: u32,
        /// Member to ping.
        target: NodeId,
    },
    /// Reports the result of an indirect ping to the node that asked for it.
    Assisted {
        /// Number from the request.
        sequence: u32,
        /// Member that was pinged.
        target: NodeId,
        /// Whether the member replied to the helper.
        reached: bool,
    },
    /// Asks a seed for contact; the facts of the sender are piggybacked.
    Join,
    /// Hashes of all buckets, which start an exchange of digests.
    Buckets {
        /// Four bytes per bucket, little-endian, followed by four bytes for the retained topics.
        hashes: Vec<u8>,
    },
    /// Members of the buckets that differ, with a hash of each.
    BucketMembers {
        /// Number of buckets that differ, listed or not.
        differing: u16,
        /// Buckets listed in full, as many as fit into the datagram.
        buckets: Vec<BucketList>,
    },
    /// Asks for the state of members.
    Pull {
        /// Requested members.
        nodes: Vec<NodeId>,
    },
    /// Carries state that was requested or that the receiver lacks. The receiver does not forward
    /// it.
    State,
    /// Versions of retained topics.
    Topics {
        /// One entry per key.
        heads: Vec<TopicHead>,
        /// True when the sender requests newer versions of the listed keys; false when the list is
        /// everything the sender holds.
        wanted: bool,
    },
}

/// All present members of one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketList {
    /// Index of the bucket.
    pub bucket: u16,
    /// One entry per present member.
    pub members: Vec<MemberDigest>,
}

/// Hash of the sender's state of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Member that was hashed.
    pub node: NodeId,
    /// Hash of the member's standing and upstreams.
    pub hash: u32,
}

/// Version of one key of a retained topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicHead {
    /// One of the constants in [`crate::topic`].
    pub topic: u8,
    /// Key within the topic.
    pub key: u64,
    /// Newest version that the sender holds; zero in a request for a key that it lacks.
    pub version: u64,
}

/// One update spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRumour {
    /// A member with its facts.
    Member {
        /// Facts that the member announced.
        facts: MemberFacts,
        /// Counter that the member raises in order to refute suspicions; restarts with each
        /// incarnation.
        revision: u32,
        /// State of the member.
        standing: MemberStanding,
    },
    /// A change of a member's state, for nodes that know its facts.
    Standing {
        /// Node and incarnation of the member.
        instance: InstanceId,
        /// Revision to which the standing applies.
        revision: u32,
        /// State of the member.
        standing: MemberStanding,
    },
    /// Observers got no reply from a member.
    Suspect {
        /// Node and incarnation of the member.
        instance: InstanceId,
        /// Revision to which the suspicion applies.
        revision: u32,
        /// Nodes that got no reply.
        observers: Vec<NodeId>,
    },
    /// Upstreams of one member that run the same service.
    Upstreams {
        /// Node and incarnation of the member.
        instance: InstanceId,
        /// Service the upstreams run; `None` for upstreams that were removed.
        service: Option<ServiceName>,
        /// Upstreams as runs of consecutive slots with equal values.
        runs: Vec<SlotRun>,
    },
    /// An update published by another component of the daemon.
    Topic {
        /// Node that published the update.
        origin: NodeId,
        /// One of the constants in [`crate::topic`].
        topic: u8,
        /// Key within the topic.
        key: u64,
        /// Version of the key; greater versions replace smaller ones.
        version: u64,
        /// Payload, opaque to the roster.
        body: Vec<u8>,
    },
}

/// Consecutive slots of one node with equal values. A slot is the number of an upstream on its
/// node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRun {
    /// First slot.
    pub first: u16,
    /// Number of slots.
    pub count: u16,
    /// Number of requests that each upstream runs concurrently.
    pub slots: u16,
    /// Lifecycle phase of each upstream; unused when the upstreams were removed.
    pub phase: UpstreamPhase,
    /// Change counter of the member at the time it set these values.
    pub sequence: u32,
}
