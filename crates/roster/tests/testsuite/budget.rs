use sycamorelink_core::ServiceName;
use sycamorelink_roster::{
    RosterCommand, RosterEvent, UpstreamFacts, UpstreamPhase, encoded_size, topic,
};

use crate::network::{FakeNetwork, secs, upstream};

fn assert_within_budget(network: &FakeNetwork) {
    let burst = f64::from(network.settings.burst_bytes);
    for node in &network.nodes {
        assert!(
            node.peak_bytes <= burst + 1.0,
            "peak of {} bytes",
            node.peak_bytes
        );
        assert!(node.largest_datagram <= network.settings.datagram_bytes);
    }
}

/// Starts a fleet under a flood of upstream changes and evidence, then stops and restarts a domain.
/// Every node must stay within its byte budget, and probes must still get through, or living
/// members would be removed.
#[test]
fn flood_stays_within_the_budget_and_removes_nobody() {
    let mut network = FakeNetwork::settled(1, 30);
    for round in 0..40_u64 {
        for index in 0..30 {
            for slot in 0..48 {
                let phase = if round % 2 == 0 {
                    UpstreamPhase::Starting
                } else {
                    UpstreamPhase::Ready
                };
                let facts = UpstreamFacts {
                    service: ServiceName::new(&format!("service-{}", slot % 5)),
                    slots: 5,
                    phase,
                };
                network.event(index, RosterEvent::UpstreamSet { slot, facts });
            }
            let event = RosterEvent::Publish {
                topic: topic::EVIDENCE,
                key: index as u64,
                version: round,
                body: vec![0; 400],
            };
            network.event(index, event);
        }
        network.run_for(secs(1));
    }
    assert_eq!(network.removals(), []);
    assert_eq!(
        network.suspicions(),
        0,
        "probes are answered through the flood"
    );
    let commands = network.nodes.iter().flat_map(|node| &node.log);
    let out_of_reach = commands.filter(|(_, command)| match command {
        RosterCommand::MemberChanged(view) => !view.reachable,
        _ => false,
    });
    assert_eq!(out_of_reach.count(), 0, "replies arrive in time");
    let facts = upstream(UpstreamPhase::Leaving);
    network.event(7, RosterEvent::UpstreamSet { slot: 0, facts });
    let took = network.run_until(secs(5), |network| {
        network.all_see(7, Some(UpstreamPhase::Leaving))
    });
    assert!(took < secs(2), "a leave passes the flood; took {took:?}");
    for index in (0..30).filter(|index| index % 3 == 2) {
        network.kill(index);
    }
    network.run_until(secs(60), FakeNetwork::has_converged);
    for index in (0..30).filter(|index| index % 3 == 2) {
        network.start(index, 50_000, &[0, 1]);
    }
    network.run_until(secs(60), FakeNetwork::has_converged);
    assert_within_budget(&network);
    let peak = network
        .nodes
        .iter()
        .map(|node| node.peak_bytes)
        .fold(0.0, f64::max);
    assert!(peak > 7_000.0, "the flood exceeds the sustained rate");
}

/// Compares sizes with ones derived by hand from bincode's standard configuration.
#[test]
fn encoded_sizes_match_bincode() {
    assert_eq!(encoded_size(&250_u64), 1);
    assert_eq!(encoded_size(&251_u64), 3);
    assert_eq!(encoded_size(&65_536_u32), 5);
    assert_eq!(encoded_size(&u64::MAX), 9);
    assert_eq!(encoded_size("ab"), 3);
    assert_eq!(encoded_size(&vec![1_u8, 2, 3]), 4);
    assert_eq!(encoded_size(&Some(7_u16)), 2);
    assert_eq!(encoded_size(&crate::network::address(0)), 1 + 4 + 3);
    assert_eq!(encoded_size(&UpstreamPhase::Leaving), 1);
    assert_eq!(
        encoded_size(&crate::network::facts(0, 1_000)),
        9 + 3 + 5 + 7 + 7 + 8 + 8
    );
}
