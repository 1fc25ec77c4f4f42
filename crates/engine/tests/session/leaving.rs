//! A daemon ends after it acknowledged that the backend server beside it leaves. Its next life hears a
//! late announcement from before first.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::ServiceName;
use sycamorelink_engine::{LifeId, NodeEvent, UpstreamAnnouncement, UpstreamLife};
use sycamorelink_policy::UpstreamPhase;

use crate::fleet_form::contract;
use crate::world::{SessionWorld, name_of, node};

/// Nodes of the fleet.
const NODES: u8 = 12;
/// How long a daemon takes to be started again.
const RESTART: Duration = Duration::from_millis(300);
/// By when a server that does not leave has to be taken: a fraction of the pause between heartbeats.
const TAKEN: Duration = Duration::from_millis(700);

fn announced(life: &str, born: u64, order: u64, phase: UpstreamPhase) -> UpstreamAnnouncement {
    let id = LifeId {
        name: Arc::from(life),
        started: Some(Duration::from_millis(born)),
    };
    UpstreamAnnouncement {
        slot: 0,
        service: ServiceName::new("orders"),
        slots: 5,
        phase,
        life: Some(UpstreamLife { id, order }),
        warm_up: None,
    }
}

fn announce(world: &mut SessionWorld, life: (&str, u64), order: u64, phase: UpstreamPhase) {
    let announced = announced(life.0, life.1, order, phase);
    world.tell("a", NodeEvent::UpstreamAnnounced(announced));
}

/// The phase in which the server beside `a` is known there; none when it is not taken.
fn phase_of(world: &SessionWorld) -> Option<UpstreamPhase> {
    let engine = &world.engines()[&node("a")];
    let upstreams = engine.local_upstreams().into_iter();
    upstreams.map(|(_, announced, _)| announced.phase).next()
}

/// A fleet in which `a` has acknowledged that the server `s` beside it, born at 1000, leaves.
fn a_leaving_fleet() -> SessionWorld {
    let mut world = SessionWorld::start_fleet(NODES, contract(1, "/prices/"));
    announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
    announce(&mut world, ("s", 1_000), 6, UpstreamPhase::Leaving);
    world.run_for(Duration::from_millis(50));
    world
}

fn restart(world: &mut SessionWorld) {
    world.kill("a");
    world.run_for(RESTART);
    world.start_node(0, 2);
}

// Guards against work for a server whose leaving the former life of the daemon had acknowledged.
#[test]
fn the_next_life_takes_no_late_announcement_of_a_server_that_leaves() {
    for wait in [0, 30, 400, 1_000] {
        let mut world = a_leaving_fleet();
        restart(&mut world);
        world.run_for(Duration::from_millis(wait));
        announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
        world.run_for(Duration::from_secs(2));
        assert_ne!(
            phase_of(&world),
            Some(UpstreamPhase::Ready),
            "after {wait} ms"
        );
    }
}

// Guards against the same where two of the three keepers end at the same time.
#[test]
fn one_keeper_is_enough() {
    for first in 1..NODES {
        let mut world = a_leaving_fleet();
        for number in [first, first % (NODES - 1) + 1] {
            world.kill(&name_of(number));
        }
        restart(&mut world);
        announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
        world.run_for(Duration::from_secs(2));
        assert_ne!(phase_of(&world), Some(UpstreamPhase::Ready), "from {first}");
    }
}

// Guards against a server that withdrew while its late announcement waited.
#[test]
fn a_server_that_withdraws_in_the_wait_is_not_taken() {
    let mut world = a_leaving_fleet();
    restart(&mut world);
    announce(&mut world, ("t", 9_000), 5, UpstreamPhase::Ready);
    let life = Some(LifeId {
        name: Arc::from("t"),
        started: None,
    });
    world.tell("a", NodeEvent::UpstreamWithdrawn { slot: 0, life });
    world.run_for(Duration::from_secs(2));
    assert_ne!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against idle capacity: a server that started again under its name does not leave.
#[test]
fn a_server_that_started_again_under_its_name_is_taken() {
    let mut world = a_leaving_fleet();
    restart(&mut world);
    announce(&mut world, ("s", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(TAKEN);
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against a wait without end: nobody can answer a daemon that is cut off or alone.
#[test]
fn a_daemon_that_reaches_nobody_takes_its_server_soon() {
    let mut world = a_leaving_fleet();
    for number in 1..NODES {
        world.wire.cuts.insert((node("a"), node(&name_of(number))));
    }
    restart(&mut world);
    announce(&mut world, ("t", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(TAKEN);
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against a wait for answers that lose their meaning: all nodes lose power at once.
#[test]
fn a_fleet_that_starts_anew_takes_its_servers_soon() {
    let mut world = a_leaving_fleet();
    for number in 0..NODES {
        world.kill(&name_of(number));
    }
    world.run_for(RESTART);
    for number in 0..NODES {
        world.start_node(number, 2);
    }
    announce(&mut world, ("t", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(TAKEN);
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}
