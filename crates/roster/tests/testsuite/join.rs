use sycamorelink_core::NodeIncarnation;
use sycamorelink_roster::{
    DownCause, MemberRumour, MemberStanding, MessagePurpose, RosterCommand, RosterEvent,
    RosterMessage, UpstreamPhase,
};

use crate::network::{FakeNetwork, address, facts, secs, upstream};

/// A new instance that knows only the address of one seed, because the log is down, must learn all
/// members and upstreams from its peers.
#[test]
fn node_joins_through_one_seed() {
    let mut network = FakeNetwork::settled(2, 49);
    network.start(49, 1_000, &[17]);
    let took = network.run_until(secs(10), FakeNetwork::has_converged);
    assert!(took <= secs(5), "took {took:?}");
    network.run_until(secs(5), |network| network.nodes[49].roster.is_joined());
    let upstreams = network.nodes[49].roster.upstreams("orders");
    assert_eq!(upstreams.len(), 50);
}

/// All nodes start at once with the same two seeds.
#[test]
fn simultaneous_start_converges() {
    let mut network = FakeNetwork::new(9);
    for index in 0..50 {
        network.start(index, 1_000, &[0, 1]);
    }
    let took = network.run_until(secs(30), FakeNetwork::has_converged);
    assert!(took <= secs(15), "took {took:?}");
}

/// A process crashes and restarts on the same address before the others detect it. Late rumours
/// about the old incarnation must not affect the new one, which is greater.
#[test]
fn restart_on_the_same_address_replaces_the_old_incarnation() {
    let mut network = FakeNetwork::settled(2, 12);
    network.start(5, 2_000, &[0, 1]);
    network.run_until(secs(10), FakeNetwork::has_converged);
    network.run_for(secs(30));
    let removals = network.removals();
    assert_eq!(removals.len(), 11);
    assert!(
        removals
            .iter()
            .all(|(_, removed, cause)| (*removed, *cause) == (5, DownCause::Replaced))
    );
    assert!(network.all_see(5, Some(UpstreamPhase::Ready)));
}

/// Late datagrams report the death and the upstreams of a node's earlier incarnation. They must not
/// be applied to the current one.
#[test]
fn rumours_about_an_earlier_incarnation_are_ignored() {
    let mut network = FakeNetwork::settled(2, 6);
    network.start(5, 2_000, &[0, 1]);
    network.run_until(secs(10), FakeNetwork::has_converged);
    network.clear_logs();
    let old = facts(5, 1_000);
    let rumours = vec![
        MemberRumour::Standing {
            instance: old.instance,
            revision: 9,
            standing: MemberStanding::Dead,
        },
        MemberRumour::Standing {
            instance: old.instance,
            revision: 10,
            standing: MemberStanding::Leaving,
        },
        MemberRumour::Suspect {
            instance: old.instance,
            revision: 9,
            observers: vec![network.id(1), network.id(2)],
        },
        MemberRumour::Upstreams {
            instance: old.instance,
            service: Some("orders".into()),
            runs: vec![sycamorelink_roster::SlotRun {
                first: 0,
                count: 2,
                slots: 1,
                phase: UpstreamPhase::Leaving,
                sequence: 900,
            }],
        },
        MemberRumour::Member {
            facts: old,
            revision: 12,
            standing: MemberStanding::Leaving,
        },
    ];
    let message = RosterMessage {
        from: network.nodes[1].facts.instance,
        root: 0,
        purpose: MessagePurpose::Gossip,
        rumours,
    };
    let from = address(1);
    network.event(0, RosterEvent::Datagram { from, message });
    assert_eq!(network.nodes[0].log, []);
    network.run_for(secs(20));
    assert_eq!(network.removals(), []);
}

/// After its clock was set back, a restarted instance has a smaller incarnation than the one peers
/// remember. It must raise its incarnation, or peers ignore it.
#[test]
fn clock_set_back_raises_the_incarnation() {
    let mut network = FakeNetwork::settled(2, 8);
    network.start(5, 400, &[0, 1]);
    network.run_until(secs(15), FakeNetwork::has_converged);
    let own = network.nodes[5].roster.own_instance();
    assert_eq!(own.incarnation, NodeIncarnation(1_001));
    let raised = RosterCommand::IncarnationRaised(own);
    assert!(
        network.nodes[5]
            .log
            .iter()
            .any(|(_, command)| *command == raised)
    );
    network.run_until(secs(5), |network| {
        network.all_see(5, Some(UpstreamPhase::Ready))
    });
}

/// An instance is paused and replaced under its name at another address. When the old process
/// resumes, it must learn that it was superseded, and no node may readmit it.
#[test]
fn replaced_node_is_superseded_when_it_resumes() {
    let mut network = FakeNetwork::settled(2, 8);
    network.pause(5);
    network.run_for(secs(2));
    let mut newer = facts(5, 5_000);
    newer.gossip_address = address(8);
    network.start_as(8, newer.clone(), &[0, 1]);
    network.run_for(secs(10));
    network.resume(5);
    network.run_for(secs(20));
    let by = newer.instance;
    let superseded = RosterCommand::Superseded { by };
    assert!(
        network.nodes[5]
            .log
            .iter()
            .any(|(_, command)| *command == superseded)
    );
    assert!(network.nodes[0].roster.is_current(by));
    assert_eq!(
        network.nodes[8].roster.own_instance(),
        by,
        "the newer incarnation is unchanged"
    );
}

/// A third of the fleet restarts in place at the same moment.
#[test]
fn simultaneous_restart_of_a_third_converges() {
    let mut network = FakeNetwork::settled(13, 30);
    for index in (0..30).filter(|index| index % 3 == 1) {
        network.start(index, 9_000, &[0, 2]);
    }
    let took = network.run_until(secs(30), FakeNetwork::has_converged);
    assert!(took <= secs(10), "took {took:?}");
    let wrong = network
        .removals()
        .into_iter()
        .find(|(_, removed, _)| removed % 3 != 1);
    assert_eq!(wrong, None);
}

/// A node that was cut off while a change of upstreams was spread must receive the change through
/// digests within seconds.
#[test]
fn missed_upstream_change_is_repaired_by_digests() {
    let mut network = FakeNetwork::settled(13, 12);
    network.cut(|from, to| from == 4 || to == 4);
    let facts = upstream(UpstreamPhase::Starting);
    network.event(9, RosterEvent::UpstreamSet { slot: 3, facts });
    network.run_for(secs(3));
    network.heal();
    let took = network.run_until(secs(20), |network| {
        network.nodes[4].roster.upstreams("orders").len() == 13
    });
    assert!(took <= secs(10), "took {took:?}");
}
