//! Status of a node, its members and its services, as shown to operators.

use std::sync::Arc;

use serde::Serialize;
use sycamorelink_core::{DomainName, InstanceId, NodeId, ServiceName, UpstreamId};
use sycamorelink_policy::{EjectionCause, FloorStatus, LoadHint, ServicePool};
use sycamorelink_roster::MemberStanding;

use crate::event::UpstreamAnnouncement;
use crate::node::NodeEngine;

/// Status of a node as reported by itself.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// Instance of the node, with its incarnation.
    pub instance: InstanceId,
    /// Configured name of the instance.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Whether the node can serve requests.
    pub ready: bool,
    /// Whether the node is leaving.
    pub draining: bool,
    /// Whether the platform's log is reachable.
    pub log_reachable: bool,
    /// Next offset of the contract log that the node will read.
    pub contract_offset: u64,
    /// Number of customers with a contract in force.
    pub customers: usize,
    /// Number of known members, including the node itself.
    pub members: usize,
    /// Number of callers' requests in flight.
    pub requests: usize,
    /// Number of pieces of work in flight for local backend servers.
    pub works: usize,
    /// Counters of the at-most-once guard.
    pub guard: sycamorelink_guard::GuardCounts,
}

/// Status of a member in the view of one node.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Instance of the member, with its incarnation.
    pub instance: InstanceId,
    /// Configured name of the instance.
    pub name: Arc<str>,
    /// Failure domain of the member.
    pub domain: DomainName,
    /// Region of the member.
    pub region: Arc<str>,
    /// State of the member according to the membership protocol.
    pub standing: MemberStanding,
    /// Whether the member answers this node directly.
    pub reachable: bool,
    /// Address of the member's peer protocol.
    pub peer_address: std::net::SocketAddr,
    /// Next contract offset of the member, as last reported; `None` if never reported.
    pub contract_offset: Option<u64>,
}

/// Status of an upstream in the view of one node.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Name of the instance beside the upstream; `None` if the member is unknown.
    pub instance: Option<Arc<str>>,
    /// Failure domain of the upstream; `None` if the member is unknown.
    pub domain: Option<DomainName>,
    /// Announced phase.
    pub phase: sycamorelink_roster::UpstreamPhase,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Fraction of its fair share that the upstream is offered, from 0 to 1.
    pub weight: f64,
    /// Highest score over all kinds of fault.
    pub suspicion: f64,
    /// Cause of the ejection; `None` while the upstream is not ejected.
    pub ejected: Option<EjectionCause>,
    /// Number of requests that this node has in flight there.
    pub in_flight: u32,
}

/// Status of a service in the view of one node.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Known upstreams of the service.
    pub upstreams: Vec<UpstreamStatus>,
}

impl NodeEngine {
    /// Returns the status of this node.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            instance: self.own.instance,
            name: Arc::clone(&self.own.name),
            domain: self.own.domain.clone(),
            region: Arc::clone(&self.own.region),
            ready: self.is_ready(),
            draining: self.draining.is_some(),
            log_reachable: self.log_reachable,
            contract_offset: self.book.next_offset(),
            customers: self.in_force.len(),
            members: self.roster.member_count(),
            requests: self.requests.len(),
            works: self.works.len(),
            guard: self.guard.counts(),
        }
    }

    /// Returns the status of all members in the view of this node.
    #[must_use]
    pub fn fleet(&self) -> Vec<MemberStatus> {
        self.roster
            .members()
            .into_iter()
            .map(|member| MemberStatus {
                instance: member.facts.instance,
                contract_offset: self.contract_offset_of(member.facts.instance.node),
                name: member.facts.name,
                domain: member.facts.domain,
                region: member.facts.region,
                standing: member.standing,
                reachable: member.reachable,
                peer_address: member.facts.peer_address,
            })
            .collect()
    }

    /// Returns the status of all services for which this node keeps a pool.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceStatus> {
        self.pools
            .keys()
            .map(|service| self.service(service))
            .collect()
    }

    /// Returns the status of one service in the view of this node.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> ServiceStatus {
        let known = self.roster.upstreams(service.as_str());
        let upstreams = known.into_iter().map(|(id, facts)| {
            let standing = self.pools.get(service).and_then(|pool| pool.standing(id));
            UpstreamStatus {
                id,
                instance: self.name_of(id.node),
                domain: self.domain_of(id.node),
                phase: facts.phase,
                slots: facts.slots,
                weight: standing.map_or(0.0, |standing| standing.weight),
                suspicion: standing.map_or(0.0, |standing| standing.suspicion),
                ejected: standing.and_then(|standing| standing.ejected),
                in_flight: standing.map_or(0, |standing| standing.in_flight),
            }
        });
        ServiceStatus {
            service: service.clone(),
            upstreams: upstreams.collect(),
        }
    }

    /// Returns the capacity of a service relative to its floor; `None` without a pool for the
    /// service.
    #[must_use]
    pub fn floor_of(&self, service: &ServiceName) -> Option<FloorStatus> {
        self.pools.get(service).map(ServicePool::floor_status)
    }

    /// Returns the running local backend servers with their announcements and load, by number.
    #[must_use]
    pub fn local_upstreams(&self) -> Vec<(u16, UpstreamAnnouncement, LoadHint)> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.available)
            .map(|(slot, upstream)| (*slot, upstream.announced.clone(), self.load_of(*slot)))
            .collect()
    }

    fn contract_offset_of(&self, node: NodeId) -> Option<u64> {
        if node == self.own.instance.node {
            return Some(self.book.next_offset());
        }
        self.contract_offsets.get(&node).copied()
    }

    fn name_of(&self, node: NodeId) -> Option<Arc<str>> {
        if node == self.own.instance.node {
            return Some(Arc::clone(&self.own.name));
        }
        self.roster.member(node).map(|member| member.facts.name)
    }
}
