use sycamorelink_roster::{RosterCommand, RosterEvent, topic};

use crate::network::{FakeNetwork, secs};

fn has_received(network: &FakeNetwork, index: usize, topic: u8, version: u64) -> bool {
    network.nodes[index]
        .log
        .iter()
        .any(|(_, command)| match command {
            RosterCommand::Rumour {
                topic: seen_topic,
                version: seen_version,
                ..
            } => (*seen_topic, *seen_version) == (topic, version),
            _ => false,
        })
}

fn publish(topic: u8, version: u64) -> RosterEvent {
    RosterEvent::Publish {
        topic,
        key: 1,
        version,
        body: vec![1, 2, 3],
    }
}

/// The first node that reads a change from the log must announce its offset to all others.
#[test]
fn contract_head_reaches_all_within_two_seconds() {
    let mut network = FakeNetwork::settled(3, 50);
    network.loss = 0.05;
    network.event(6, publish(topic::CONTRACT_HEAD, 77));
    let took = network.run_until(secs(5), |network| {
        (0..50).all(|index| index == 6 || has_received(network, index, topic::CONTRACT_HEAD, 77))
    });
    assert!(took < secs(2), "took {took:?}");
}

/// An older version that arrives late must not be reported.
#[test]
fn older_version_is_not_reported() {
    let mut network = FakeNetwork::settled(3, 10);
    network.event(6, publish(topic::CONTRACT_HEAD, 77));
    network.run_for(secs(5));
    network.event(2, publish(topic::CONTRACT_HEAD, 76));
    network.run_for(secs(5));
    let old = (0..10).any(|index| has_received(&network, index, topic::CONTRACT_HEAD, 76));
    assert!(!old);
}

/// A node that was cut off while a head was spread must receive it through digests, and a node that
/// starts later must receive it when it joins.
#[test]
fn missed_head_is_repaired_by_digests() {
    let mut network = FakeNetwork::settled(3, 10);
    network.cut(|from, to| from == 4 || to == 4);
    network.event(6, publish(topic::CONTRACT_HEAD, 77));
    network.run_for(secs(3));
    network.heal();
    network.start(10, 1_000, &[0]);
    network.run_until(secs(15), |network| {
        [4, 10]
            .iter()
            .all(|index| has_received(network, *index, topic::CONTRACT_HEAD, 77))
    });
}
