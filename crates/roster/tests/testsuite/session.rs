use std::fmt::Write as _;

use sycamorelink_roster::{RosterCommand, RosterEvent, UpstreamPhase};

use crate::network::{FakeNetwork, secs, upstream};

/// Records the commands of the first of three nodes through a join, a drain and a death. Names
/// replace ids in the snapshot.
#[test]
fn join_leave_and_death_are_reported() {
    let mut network = FakeNetwork::new(1);
    for index in 0..3 {
        network.start(index, 1_000, &[0]);
    }
    network.run_for(secs(10));
    network.start(3, 1_000, &[1]);
    network.run_for(secs(10));
    let facts = upstream(UpstreamPhase::Leaving);
    network.event(3, RosterEvent::UpstreamSet { slot: 0, facts });
    network.run_for(secs(2));
    network.event(3, RosterEvent::Leave);
    network.run_for(secs(2));
    network.event(3, RosterEvent::Depart);
    network.kill(3);
    network.run_for(secs(6));
    network.kill(2);
    network.run_for(secs(20));
    insta::assert_snapshot!(event_log(&network, 0));
}

fn event_log(network: &FakeNetwork, index: usize) -> String {
    let mut text = String::new();
    for (at, command) in &network.nodes[index].log {
        let line = match command {
            RosterCommand::MemberUp(facts) => format!("up {} in {}", facts.name, facts.domain),
            RosterCommand::MemberChanged(view) => format!(
                "member {} {:?} reachable {}",
                view.facts.name, view.standing, view.reachable
            ),
            RosterCommand::UpstreamChanged { id, facts } => {
                format!("upstream {id} {} {:?}", facts.service, facts.phase)
            }
            RosterCommand::UpstreamGone { id, service } => format!("upstream {id} {service} gone"),
            RosterCommand::MemberDown { instance, cause } => format!("down {instance} {cause:?}"),
            other => format!("{other:?}"),
        };
        writeln!(text, "{:>7.3} {line}", at.as_secs_f64()).expect("writes");
    }
    for node in &network.nodes {
        let facts = &node.facts;
        text = text.replace(&facts.instance.node.to_string(), &facts.name);
        text = text.replace(&format!("{:?}", facts.instance), &facts.name);
    }
    text
}
