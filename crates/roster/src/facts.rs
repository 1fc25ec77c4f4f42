//! Facts about a member and the upstreams it fronts.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{DomainName, InstanceId, ServiceName};

/// Facts that a node announces about itself. They are constant within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// Node id and incarnation.
    pub instance: InstanceId,
    /// Name of the instance, unique in the fleet.
    pub name: Arc<str>,
    /// Failure domain the instance runs in.
    pub domain: DomainName,
    /// Region the failure domain belongs to.
    pub region: Arc<str>,
    /// TCP address at which peers open inner-protocol connections.
    pub peer_address: SocketAddr,
    /// UDP address to which peers send gossip datagrams.
    pub gossip_address: SocketAddr,
}

/// Lifecycle state of a member as agreed by gossip, called its standing. Within one revision the
/// greater value wins a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStanding {
    /// In service.
    Alive,
    /// Draining: receives no new work and completes the work in flight.
    Leaving,
    /// Announced its own departure; its process has ended.
    Left,
    /// Declared dead by observers.
    Dead,
}

impl MemberStanding {
    /// Returns whether the member still counts as running.
    #[must_use]
    pub const fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

/// A member as seen by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Facts that the member announced.
    pub facts: MemberFacts,
    /// Lifecycle state of the member as agreed by gossip.
    pub standing: MemberStanding,
    /// Whether this node gets direct replies from the member. A one-way partition can make a member
    /// unreachable for this node while it is alive for the fleet.
    pub reachable: bool,
}

/// Lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamPhase {
    /// Announced, not warmed up yet.
    Starting,
    /// Accepts work.
    Ready,
    /// Accepts no new work.
    Leaving,
}

/// Facts that a node announces about one of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFacts {
    /// Service the upstream runs.
    pub service: ServiceName,
    /// Number of requests the upstream runs concurrently.
    pub slots: u16,
    /// Lifecycle phase.
    pub phase: UpstreamPhase,
}
