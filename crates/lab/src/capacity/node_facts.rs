//! Realistic names, addresses and upstreams of the simulated nodes.

use std::net::SocketAddr;

use sycamorelink_core::{DomainName, InstanceId, NodeId, NodeIncarnation, ServiceName};
use sycamorelink_roster::{MemberFacts, UpstreamFacts, UpstreamPhase};

/// Number of failure domains of the fleet.
pub const DOMAINS: usize = 7;

/// Number of services in the fleet; each node serves one of them.
const SERVICES: usize = 200;

/// Requests that each upstream runs concurrently.
pub(super) const SLOTS: u16 = 5;

pub(super) fn address(index: usize) -> SocketAddr {
    let number = u16::try_from(index).unwrap_or(u16::MAX);
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_400))
}

pub(super) fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(u16::from_be_bytes([high, low])))
        }
        SocketAddr::V6(_) => None,
    }
}

/// Returns the facts of a node, with names as long as those of real instances.
pub(super) fn member_facts(index: usize, incarnation: u64) -> MemberFacts {
    let name = format!("instance-{index:06}");
    MemberFacts {
        instance: InstanceId {
            node: NodeId::of(&name),
            incarnation: NodeIncarnation(incarnation),
        },
        name: name.into(),
        domain: DomainName::new(&format!("domain-{}", index % DOMAINS)),
        region: "region-1".into(),
        peer_address: address(index),
        gossip_address: address(index),
    }
}

pub(super) fn service_name(index: usize) -> ServiceName {
    ServiceName::new(&format!("service-{:05}", index % SERVICES))
}

pub(super) fn upstream_facts(index: usize, phase: UpstreamPhase) -> UpstreamFacts {
    UpstreamFacts {
        service: service_name(index),
        slots: SLOTS,
        phase,
    }
}
