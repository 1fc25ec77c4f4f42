use sycamorelink_roster::{DownCause, MemberStanding, RosterCommand, RosterEvent, UpstreamPhase};

use crate::network::{FakeNetwork, secs, upstream};

/// A leave must reach all nodes in time although a tenth of all datagrams is lost and the leaving
/// node reaches only one of three domains directly.
#[test]
fn leaving_upstream_is_known_everywhere_within_two_seconds() {
    for seed in 0..5 {
        let mut network = FakeNetwork::settled(seed, 50);
        network.loss = 0.1;
        network.cut(|from, to| from == 9 && to % 3 != 2);
        let facts = upstream(UpstreamPhase::Leaving);
        network.event(9, RosterEvent::UpstreamSet { slot: 0, facts });
        let took = network.run_until(secs(5), |network| {
            network.all_see(9, Some(UpstreamPhase::Leaving))
        });
        assert!(took < secs(2), "took {took:?}");
    }
}

/// The upstreams of a draining daemon are leaving for all nodes. The daemon stays a member until it
/// stops, and is then removed at once without a suspicion.
#[test]
fn leaving_node_drains_and_is_then_removed() {
    let mut network = FakeNetwork::settled(4, 20);
    network.event(9, RosterEvent::Leave);
    let took = network.run_until(secs(5), |network| {
        network.all_see(9, Some(UpstreamPhase::Leaving))
    });
    assert!(took < secs(2), "took {took:?}");
    network.run_for(secs(10));
    assert_eq!(network.removals(), []);
    let view = network.nodes[0]
        .roster
        .member(network.id(9))
        .expect("still there");
    assert_eq!(view.standing, MemberStanding::Leaving);
    network.event(9, RosterEvent::Depart);
    network.kill(9);
    let took = network.run_until(secs(5), |network| network.all_see(9, None));
    assert!(took < secs(2), "took {took:?}");
    let removals = network.removals();
    assert_eq!(removals.len(), 19);
    assert!(
        removals
            .iter()
            .all(|(_, removed, cause)| (*removed, *cause) == (9, DownCause::Left))
    );
}

/// A drained daemon that vanishes without an announcement is neither a failure nor known to have
/// ended: it may be cut off with work in flight, so no other node may take over its obligations.
#[test]
fn leaving_node_that_vanishes_is_not_reported_as_ended() {
    let mut network = FakeNetwork::settled(4, 10);
    network.event(9, RosterEvent::Leave);
    network.run_for(secs(3));
    network.kill(9);
    network.run_until(secs(15), |network| network.all_see(9, None));
    let removals = network.removals();
    assert!(
        removals
            .iter()
            .all(|(_, removed, cause)| (*removed, *cause) == (9, DownCause::LostWhileLeaving))
    );
}

/// A single upstream is removed while its node stays.
#[test]
fn removed_upstream_is_reported_with_its_service() {
    let mut network = FakeNetwork::settled(4, 10);
    network.event(9, RosterEvent::UpstreamGone { slot: 0 });
    let took = network.run_until(secs(5), |network| network.all_see(9, None));
    assert!(took < secs(2), "took {took:?}");
    let reported = network.nodes[0]
        .log
        .iter()
        .any(|(_, command)| match command {
            RosterCommand::UpstreamGone { id, service } => {
                id.node == network.id(9) && service.as_str() == "orders"
            }
            _ => false,
        });
    assert!(reported);
}

/// The departure is the last thing a stopping daemon sends. It reaches one domain only, and a third
/// of all datagrams is lost. It must still be known as a departure and not be detected seconds
/// later as a death.
#[test]
fn departure_is_known_despite_loss_and_cut() {
    for seed in 0..10 {
        let mut network = FakeNetwork::settled(seed, 50);
        network.event(9, RosterEvent::Leave);
        network.run_for(secs(3));
        network.loss = 0.3;
        network.cut(|from, to| from == 9 && to % 3 != 2);
        network.event(9, RosterEvent::Depart);
        network.kill(9);
        let took = network.run_until(secs(5), |network| network.all_see(9, None));
        assert!(took < secs(2), "took {took:?}");
        let removals = network.removals();
        assert!(
            removals
                .iter()
                .all(|(_, removed, cause)| (*removed, *cause) == (9, DownCause::Left))
        );
    }
}
