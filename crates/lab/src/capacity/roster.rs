//! Memory of one roster as a function of the number of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use sycamorelink_core::ServiceName;
use sycamorelink_roster::{
    MemberRumour, MemberStanding, MessagePurpose, NodeRoster, RosterCommand, RosterEvent,
    RosterMessage, RosterSettings, SlotRun, UpstreamPhase,
};

use super::fit::{MeasuredPoint, to_f64};
use super::memory::measure_growth;
use super::node_facts::member_facts;

/// Upstreams per node at the target scale: 110,000 on 2,300 nodes.
const NODE_UPSTREAMS: u16 = 48;

/// Upstreams per service at the target scale: 110,000 of 5,000 services.
const SERVICE_UPSTREAMS: usize = 22;

/// Builds one roster per count and measures the growth of memory in bytes.
///
/// # Errors
///
/// Returns an error when resident memory cannot be read.
pub fn measure_roster_memory(counts: &[usize]) -> Result<Vec<MeasuredPoint>> {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for count in counts {
        let (roster, bytes) = measure_growth(|| filled_roster(*count))?;
        kept.push(roster);
        points.push(MeasuredPoint {
            count: to_f64(*count),
            value: to_f64(usize::try_from(bytes)?),
        });
    }
    Ok(points)
}

/// Builds a roster that knows this many upstreams. Each member and each service arrives with its
/// own copy of its names, as it would from the network.
fn filled_roster(upstreams: usize) -> NodeRoster {
    let own = member_facts(usize::from(u16::MAX), 1);
    let mut roster = NodeRoster::new(RosterSettings::default(), own, 1);
    let mut commands = Vec::new();
    let members = upstreams.div_ceil(usize::from(NODE_UPSTREAMS));
    let services = (upstreams / SERVICE_UPSTREAMS).max(1);
    for member in 0..members {
        let message = member_state(member, services);
        let from: SocketAddr = member_facts(member, 1).gossip_address;
        let event = RosterEvent::Datagram { from, message };
        roster.handle(Duration::from_millis(1), event, &mut commands);
        drop_commands(&mut commands);
    }
    roster
}

fn drop_commands(commands: &mut Vec<RosterCommand>) {
    commands.clear();
}

/// Returns the state of a member with all its upstreams: two services per node, and a change of its
/// own for every second slot.
fn member_state(member: usize, services: usize) -> RosterMessage {
    let facts = member_facts(member, 1);
    let instance = facts.instance;
    let mut rumours = vec![MemberRumour::Member {
        facts,
        revision: 0,
        standing: MemberStanding::Alive,
    }];
    for half in 0..2_u16 {
        let number = (member * 2 + usize::from(half)) % services;
        let width = NODE_UPSTREAMS / 2;
        let runs = (0..width)
            .map(|offset| SlotRun {
                first: half * width + offset,
                count: 1,
                slots: 5,
                phase: UpstreamPhase::Ready,
                sequence: u32::from(offset / 2 + 1),
            })
            .collect();
        rumours.push(MemberRumour::Upstreams {
            instance,
            service: Some(ServiceName::new(&format!("service-{number:05}"))),
            runs,
        });
    }
    RosterMessage {
        from: instance,
        root: 0,
        purpose: MessagePurpose::State,
        rumours,
    }
}
