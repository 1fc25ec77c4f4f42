use std::collections::BTreeSet;

use sycamorelink_roster::{DownCause, MemberStanding, RosterCommand, RosterEvent, RosterNote};

use crate::network::{FakeNetwork, millis, secs};

/// Requests to a dead node time out until its callers know of the death. Every other node must
/// detect it by probes within seconds and remove no other node.
#[test]
fn killed_node_is_declared_dead_by_all() {
    for seed in 0..5 {
        let mut network = FakeNetwork::settled(seed, 20);
        network.kill(7);
        let took = network.run_until(secs(12), FakeNetwork::has_converged);
        assert!(took <= secs(10), "took {took:?}");
        network.run_for(secs(20));
        let others: BTreeSet<_> = network
            .removals()
            .into_iter()
            .map(|(_, removed, cause)| (removed, format!("{cause:?}")))
            .collect();
        assert_eq!(others, BTreeSet::from([(7, "Dead".to_owned())]));
    }
}

/// A report of an unreachable member must trigger a probe at once, so that detection does not wait
/// for the probe order.
#[test]
fn failed_requests_speed_up_detection() {
    let mut network = FakeNetwork::settled(3, 10);
    network.kill(7);
    let node = network.id(7);
    for index in network.active_nodes() {
        network.event(index, RosterEvent::Unreachable { node });
    }
    let took = network.run_until(secs(12), FakeNetwork::has_converged);
    assert!(took <= secs(4), "took {took:?}");
}

/// A failure domain with a third of all members, helpers among them, stops. The others must detect
/// all of these deaths and no more.
#[test]
fn lost_domain_is_declared_dead() {
    let mut network = FakeNetwork::settled(11, 30);
    for index in (0..30).filter(|index| index % 3 == 0) {
        network.kill(index);
    }
    let took = network.run_until(secs(25), FakeNetwork::has_converged);
    assert!(took <= secs(20), "took {took:?}");
    let wrong = network
        .removals()
        .into_iter()
        .find(|(_, removed, _)| removed % 3 != 0);
    assert_eq!(wrong, None);
}

/// With three and then two nodes there is no third observer to confirm a suspicion. The node that
/// is left must still detect the deaths.
#[test]
fn last_remaining_node_detects_the_death_of_its_peer() {
    let mut network = FakeNetwork::settled(5, 3);
    network.kill(2);
    network.run_until(secs(15), FakeNetwork::has_converged);
    network.kill(1);
    network.run_until(secs(20), FakeNetwork::has_converged);
}

/// A node is paused for half a minute, for example by a live migration, and marked dead by the
/// others. After it resumes it must not take its own missed replies for deaths of the others. It
/// learns of its reported death, refutes it and returns with the same incarnation.
#[test]
fn resumed_node_removes_nobody_and_is_readmitted() {
    for seed in 0..5 {
        let mut network = FakeNetwork::settled(seed, 15);
        let instance = network.nodes[4].facts.instance;
        network.pause(4);
        network.run_for(secs(30));
        assert_eq!(network.removals().len(), 14, "all others removed it");
        network.resume(4);
        network.run_until(secs(10), FakeNetwork::has_converged);
        network.run_for(secs(30));
        let wrong = network
            .removals()
            .into_iter()
            .find(|(_, removed, _)| *removed != 4);
        assert_eq!(wrong, None);
        assert!(
            network.nodes[0].roster.is_current(instance),
            "same incarnation as before"
        );
        let stalled = network.nodes[4]
            .log
            .iter()
            .any(|(_, command)| matches!(command, RosterCommand::Note(RosterNote::Stalled { .. })));
        assert!(stalled);
    }
}

/// A pause shorter than the suspicion time must be refuted in time.
#[test]
fn short_pause_removes_nobody() {
    for seed in 0..10 {
        let mut network = FakeNetwork::settled(seed, 15);
        network.pause(4);
        network.run_for(millis(1_800));
        network.resume(4);
        network.run_for(secs(30));
        assert_eq!(network.removals(), []);
    }
}

/// Two parts of a fleet lose each other for five minutes, and each removes the other. With no seeds
/// configured, they must merge again through probes of dead members, without any restart.
#[test]
fn partitioned_fleet_merges_after_the_cut_heals() {
    let mut network = FakeNetwork::settled(21, 24);
    for index in network.active_nodes() {
        network.event(index, RosterEvent::Seeds(Vec::new()));
    }
    network.cut(|from, to| (from < 10) != (to < 10));
    network.run_for(secs(300));
    for index in network.active_nodes() {
        let side = if index < 10 { 10 } else { 14 };
        assert_eq!(network.nodes[index].roster.members().len(), side);
    }
    network.heal();
    let took = network.run_until(secs(30), FakeNetwork::has_converged);
    assert!(took <= secs(20), "took {took:?}");
}

/// A node that was marked dead must refute that with a greater revision in the same incarnation, so
/// that obligations tied to the incarnation stay valid.
#[test]
fn removed_node_refutes_its_death_in_the_same_incarnation() {
    let mut network = FakeNetwork::settled(8, 6);
    let instance = network.nodes[2].facts.instance;
    network.cut(|from, to| from == 2 || to == 2);
    network.run_for(secs(30));
    let view = network.nodes[0]
        .roster
        .member(instance.node)
        .expect("remembered");
    assert_eq!(view.standing, MemberStanding::Dead);
    assert_eq!(
        network.nodes[2].roster.members().len(),
        6,
        "an isolated node removes no member"
    );
    assert!(network.nodes[2].roster.is_isolated());
    network.heal();
    network.run_until(secs(15), FakeNetwork::has_converged);
    let view = network.nodes[0].roster.member(instance.node).expect("back");
    assert_eq!(view.facts.instance, instance);
    let causes: Vec<_> = network
        .removals()
        .into_iter()
        .map(|(.., cause)| cause)
        .collect();
    assert_eq!(causes, vec![DownCause::Dead; 5]);
}
