use std::time::Duration;

use sycamorelink_core::DomainName;
use sycamorelink_roster::{
    MemberRumour, MemberStanding, MessagePurpose, NodeRoster, RosterCommand, RosterEvent,
    RosterMessage, RosterNote, RosterSettings,
};

use crate::network::{FakeNetwork, address, facts, is_suspicion, millis, secs};

fn gossip(sender: usize, rumour: MemberRumour) -> RosterEvent {
    let message = RosterMessage {
        from: facts(sender, 1_000).instance,
        root: 0,
        purpose: MessagePurpose::Gossip,
        rumours: vec![rumour],
    };
    RosterEvent::Datagram {
        from: address(sender),
        message,
    }
}

/// Datagrams between two nodes are lost in one direction. Helpers still reach the member, so it
/// must stay alive for the fleet and become unreachable only for the node behind the cut.
#[test]
fn one_way_cut_between_two_nodes_removes_nobody() {
    for (from, to) in [(3, 8), (8, 3)] {
        let mut network = FakeNetwork::settled(1, 12);
        network.cut(move |sender, receiver| (sender, receiver) == (from, to));
        network.run_for(secs(120));
        assert_eq!(network.removals(), []);
        let target = network.id(8);
        let view = network.nodes[3].roster.member(target).expect("present");
        assert!(!view.reachable, "out of reach for the node behind the cut");
        let view = network.nodes[0].roster.member(target).expect("present");
        assert!(view.reachable, "within reach for others");
        network.heal();
        network.run_for(secs(30));
        let view = network.nodes[3].roster.member(target).expect("present");
        assert!(view.reachable, "within reach again");
    }
}

/// A one-way cut between two of three failure domains makes a third of all probes fail for minutes.
/// Helpers in the third domain reach both sides, so no node may be removed.
#[test]
fn one_way_cut_between_two_domains_removes_nobody() {
    for seed in 0..3 {
        let mut network = FakeNetwork::settled(seed, 18);
        network.cut(|from, to| from % 3 == 0 && to % 3 == 1);
        network.run_for(secs(180));
        assert_eq!(network.removals(), []);
    }
}

/// A node receives nothing while its own datagrams are delivered. All other members seem dead to
/// it, but no helper replies either, so it must suspect itself and declare no death.
#[test]
fn node_that_receives_nothing_removes_nobody() {
    let mut network = FakeNetwork::settled(6, 12);
    network.cut(|_, to| to == 5);
    network.run_for(secs(120));
    let wrong = network
        .removals()
        .into_iter()
        .find(|(_, removed, _)| *removed != 5);
    assert_eq!(wrong, None);
}

/// A fifth of all datagrams is lost for five minutes. Suspicions arise and must be refuted before
/// any of them ends in a removal.
#[test]
fn heavy_loss_removes_nobody() {
    for seed in 0..3 {
        let mut network = FakeNetwork::settled(seed, 20);
        network.loss = 0.2;
        network.run_for(secs(300));
        assert_eq!(network.removals(), []);
        let notes = network.nodes.iter().flat_map(|node| &node.log);
        let refuted = notes.filter(|(_, command)| {
            matches!(
                command,
                RosterCommand::Note(sycamorelink_roster::RosterNote::Refuted { .. })
            )
        });
        assert!(refuted.count() > 0, "the loss was heavy enough to matter");
    }
}

/// With 30 percent loss a node sometimes misses every copy of a refutation and declares the member
/// dead by its old revision. Peers that know the newer revision must correct the node. With these
/// seeds a member was removed before peers did so.
#[test]
fn peer_that_missed_a_refutation_is_corrected() {
    for seed in [9, 18, 19] {
        let mut network = FakeNetwork::settled(seed, 20);
        network.loss = 0.3;
        network.run_for(secs(300));
        assert_eq!(network.removals(), []);
    }
}

/// A one-way cut separates two large domains; a third domain has only two nodes. One helper is
/// taken from every domain, so one of these two is always asked and no suspicion may arise.
#[test]
fn helpers_come_from_every_domain() {
    let mut network = FakeNetwork::new(5);
    let side = |index: usize| index / 9;
    for index in 0..20 {
        let mut facts = facts(index, 1_000);
        facts.domain = DomainName::new(&format!("zone-{}", side(index)));
        network.start_as(index, facts, &[0, 1]);
    }
    network.run_for(secs(20));
    network.clear_logs();
    network.cut(move |from, to| side(from) == 0 && side(to) == 1);
    network.run_for(secs(120));
    assert_eq!(network.suspicions(), 0);
}

/// A domain is cut off for six seconds and its members confirm each other's suspicions of the
/// outside. Observers in one domain must not count as confirmation, so they remove no node.
#[test]
fn observers_of_one_domain_do_not_confirm_each_other() {
    for seed in 0..5 {
        let mut network = FakeNetwork::settled(seed, 18);
        network.cut(|from, to| (from % 3 == 0) != (to % 3 == 0));
        network.run_for(secs(6));
        network.heal();
        network.run_for(secs(20));
        let removals = network.removals();
        let outward = removals
            .iter()
            .find(|(observer, removed, _)| observer % 3 == 0 && removed % 3 != 0);
        assert_eq!(outward, None);
        assert!(
            network.suspicions() > 0,
            "the cut was long enough to matter"
        );
    }
}

/// A node starts a suspicion and is then cut off, while the suspected member runs on and refutes
/// it. The node must not remove the member when its timer ends.
#[test]
fn cut_off_node_does_not_declare_deaths() {
    let mut network = FakeNetwork::settled(4, 12);
    let node = network.id(7);
    network.pause(7);
    network.event(0, RosterEvent::Unreachable { node });
    network.run_until(secs(5), |network| {
        let log = &network.nodes[0].log;
        log.iter().any(|(_, command)| is_suspicion(command))
    });
    network.cut(|from, to| from == 0 || to == 0);
    network.resume(7);
    network.run_for(secs(60));
    let removals = network.removals();
    let by_cut_off = removals.iter().find(|(observer, ..)| *observer == 0);
    assert_eq!(by_cut_off, None);
}

/// A reported death must not be applied by a node that had a reply from the member just now. The
/// node forwards the report to the member, which refutes it.
#[test]
fn death_is_disputed_after_recent_direct_contact() {
    let mut network = FakeNetwork::settled(4, 12);
    let instance = network.nodes[7].facts.instance;
    let node = instance.node;
    network.event(0, RosterEvent::Reached { node });
    let death = MemberRumour::Standing {
        instance,
        revision: 0,
        standing: MemberStanding::Dead,
    };
    network.event(0, gossip(1, death));
    network.run_for(secs(10));
    assert_eq!(network.removals(), []);
    let refuted = RosterCommand::Note(RosterNote::Refuted { revision: 1 });
    let log = &network.nodes[7].log;
    assert!(log.iter().any(|(_, command)| *command == refuted));
}

/// A node receives a suspicion from others and misses its refutation. Without a failed probe of its
/// own it must not remove the member.
#[test]
fn reported_suspicion_alone_removes_nobody() {
    let own = facts(0, 1_000);
    let mut roster = NodeRoster::new(RosterSettings::default(), own, 1);
    let mut commands = Vec::new();
    for index in 1..6 {
        let member = MemberRumour::Member {
            facts: facts(index, 1_000),
            revision: 0,
            standing: MemberStanding::Alive,
        };
        roster.handle(secs(1), gossip(index, member), &mut commands);
    }
    let observers = [1, 2].map(|index| facts(index, 1_000).instance.node);
    let suspicion = MemberRumour::Suspect {
        instance: facts(3, 1_000).instance,
        revision: 0,
        observers: observers.to_vec(),
    };
    roster.handle(secs(1), gossip(1, suspicion), &mut commands);
    let mut now = secs(1);
    while now < secs(60) {
        answer_pings(&mut roster, now, &mut commands);
        now += millis(50);
        roster.handle(now, RosterEvent::Tick, &mut commands);
    }
    assert!(roster.is_current(facts(3, 1_000).instance));
}

/// Answers pings on behalf of every node but the suspected member; no node answers requests for
/// indirect probes.
fn answer_pings(roster: &mut NodeRoster, now: Duration, commands: &mut Vec<RosterCommand>) {
    for command in std::mem::take(commands) {
        let RosterCommand::Send { message, .. } = command else {
            continue;
        };
        let MessagePurpose::Ping { sequence, target } = message.purpose else {
            continue;
        };
        let answerer = [1, 2, 4, 5]
            .into_iter()
            .find(|index| facts(*index, 1_000).instance.node == target);
        let Some(answerer) = answerer else {
            continue;
        };
        let message = RosterMessage {
            from: facts(answerer, 1_000).instance,
            root: 0,
            purpose: MessagePurpose::Ack { sequence },
            rumours: Vec::new(),
        };
        let from = address(answerer);
        roster.handle(now, RosterEvent::Datagram { from, message }, commands);
    }
}
