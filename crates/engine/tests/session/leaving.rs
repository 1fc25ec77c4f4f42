//! Restarts of a daemon that acknowledged that its local backend server leaves. The first
//! announcement that the new incarnation receives may be a delayed one from before.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::ServiceName;
use sycamorelink_engine::{
    LeavingServer, LifeId, NodeEvent, ServerNotice, UpstreamAnnouncement, UpstreamLife,
};
use sycamorelink_policy::UpstreamPhase;

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, name_of, node};

/// Number of nodes in the fleet.
const NODES: u8 = 12;
/// Time that a daemon takes to restart.
const RESTART: Duration = Duration::from_millis(300);
/// Limit for accepting a server that is not leaving: a fraction of the interval between heartbeats.
const ACCEPT_LIMIT: Duration = Duration::from_millis(700);

pub fn announced(
    name: &str,
    started_ms: u64,
    order: u64,
    phase: UpstreamPhase,
) -> UpstreamAnnouncement {
    let id = LifeId {
        name: Arc::from(name),
        started: Some(Duration::from_millis(started_ms)),
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

pub fn announce(world: &mut SessionWorld, life: (&str, u64), order: u64, phase: UpstreamPhase) {
    let announced = announced(life.0, life.1, order, phase);
    world.send_event("a", NodeEvent::UpstreamAnnounced(announced));
}

/// Returns the phase of the local server of `a`, or `None` if the node has not accepted it.
pub fn phase_of(world: &SessionWorld) -> Option<UpstreamPhase> {
    let engine = &world.engines()[&node("a")];
    let upstreams = engine.local_upstreams().into_iter();
    upstreams.map(|(_, announced, _)| announced.phase).next()
}

/// Starts a fleet in which `a` has acknowledged that its local server `s`, started at 1000 ms,
/// leaves.
fn fleet_with_leaving_server() -> SessionWorld {
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

// Guards against sending work to a server although the previous incarnation of the daemon has
// acknowledged that the server is leaving.
#[test]
fn restarted_daemon_ignores_delayed_announcement_of_leaving_server() {
    for wait in [0, 30, 400, 1_000] {
        let mut world = fleet_with_leaving_server();
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

// Guards against sending work to a leaving server after two of the three replicas of its record
// ended at the same time.
#[test]
fn leaving_record_survives_loss_of_two_replicas() {
    for first in 1..NODES {
        let mut world = fleet_with_leaving_server();
        for number in [first, first % (NODES - 1) + 1] {
            world.kill(&name_of(number));
        }
        restart(&mut world);
        announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
        world.run_for(Duration::from_secs(2));
        assert_ne!(phase_of(&world), Some(UpstreamPhase::Ready), "from {first}");
    }
}

// Guards against accepting a server that withdrew while its delayed announcement was held.
#[test]
fn server_that_withdraws_while_held_is_not_accepted() {
    let mut world = fleet_with_leaving_server();
    restart(&mut world);
    announce(&mut world, ("t", 9_000), 5, UpstreamPhase::Ready);
    let life = Some(LifeId {
        name: Arc::from("t"),
        started: None,
    });
    world.send_event("a", NodeEvent::UpstreamWithdrawn { slot: 0, life });
    world.run_for(Duration::from_secs(2));
    assert_ne!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against a withdrawal that a restarted daemon acknowledges and forgets, because the server has
// not announced itself to it yet: a delayed announcement then counts as that of a ready server.
#[test]
fn server_that_withdraws_before_its_first_announcement_is_not_accepted() {
    let mut world = fleet_with_leaving_server();
    restart(&mut world);
    world.run_for(ACCEPT_LIMIT);
    let life = Some(LifeId {
        name: Arc::from("t"),
        started: None,
    });
    world.send_event("a", NodeEvent::UpstreamWithdrawn { slot: 0, life });
    world.run_for(Duration::from_millis(2_600));
    announce(&mut world, ("t", 9_000), 5, UpstreamPhase::Ready);
    world.run_for(Duration::from_secs(2));
    assert_ne!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against idle capacity: a server that restarted under its name is not leaving.
#[test]
fn server_restarted_under_its_name_is_accepted() {
    let mut world = fleet_with_leaving_server();
    restart(&mut world);
    announce(&mut world, ("s", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(ACCEPT_LIMIT);
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against waiting forever for replies: no node can answer a daemon that is cut off or alone.
#[test]
fn isolated_daemon_accepts_its_server_after_the_timeout() {
    let mut world = fleet_with_leaving_server();
    for number in 1..NODES {
        world
            .network
            .cuts
            .insert((node("a"), node(&name_of(number))));
    }
    restart(&mut world);
    announce(&mut world, ("t", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(ACCEPT_LIMIT);
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

/// Kills all nodes and starts them again.
fn restart_all(world: &mut SessionWorld) {
    for number in 0..NODES {
        world.kill(&name_of(number));
    }
    world.run_for(RESTART);
    for number in 0..NODES {
        world.start_node(number, 2);
    }
}

/// Starts a fleet whose store keeps that the server of `a` is leaving.
fn fleet_with_recorded_leaving(leave: fn(&mut SessionWorld)) -> SessionWorld {
    let mut world = SessionWorld::start_fleet(NODES, contract(1, "/prices/"));
    world.recorded_leaving = Some(BTreeMap::new());
    announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
    leave(&mut world);
    world
}

// Guards against a leaving that is forgotten when all nodes, and with them its replicas, are lost right
// after the acknowledgement. It does not matter how the server said that it leaves.
#[test]
fn leaving_is_known_after_the_loss_of_all_nodes() {
    let announced: fn(&mut SessionWorld) =
        |world| announce(world, ("s", 1_000), 6, UpstreamPhase::Leaving);
    let withdrawn: fn(&mut SessionWorld) = |world| {
        let life = Some(LifeId {
            name: Arc::from("s"),
            started: None,
        });
        world.send_event("a", NodeEvent::UpstreamWithdrawn { slot: 0, life });
    };
    for leave in [announced, withdrawn] {
        let mut world = fleet_with_recorded_leaving(leave);
        for _ in 0..2 {
            restart_all(&mut world);
            for order in [5, 6] {
                announce(&mut world, ("s", 1_000), order, UpstreamPhase::Ready);
                world.run_for(Duration::from_secs(2));
                assert_ne!(phase_of(&world), Some(UpstreamPhase::Ready));
            }
        }
        announce(&mut world, ("t", 9_000), 1, UpstreamPhase::Ready);
        assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
    }
}

// Guards against accepting a delayed announcement while neither the replicas nor the store can tell
// that its server was leaving.
#[test]
fn server_is_accepted_at_its_second_announcement_while_the_store_is_unreachable() {
    let mut world = fleet_with_leaving_server();
    world.set_log_reachable(false);
    restart_all(&mut world);
    announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
    world.run_for(Duration::from_secs(2));
    assert_eq!(phase_of(&world), None);
    announce(&mut world, ("t", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(Duration::from_millis(1_500));
    assert_eq!(phase_of(&world), None);
    for order in 2..5 {
        announce(&mut world, ("t", 2_000), order, UpstreamPhase::Ready);
        assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
    }
}

// Guards against a store that is read late: the server was accepted meanwhile.
#[test]
fn record_that_is_read_late_closes_an_accepted_server() {
    let mut world = fleet_with_leaving_server();
    world.set_log_reachable(false);
    restart_all(&mut world);
    world.run_for(ACCEPT_LIMIT);
    for order in [3, 4] {
        announce(&mut world, ("s", 1_000), order, UpstreamPhase::Ready);
    }
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
    let leaving = LeavingServer {
        slot: 0,
        life: LifeId {
            name: Arc::from("s"),
            started: None,
        },
    };
    world.send_event("a", NodeEvent::LeavingServersRead(vec![leaving]));
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Leaving));
}

// Guards against waiting for replies that no node can give: all nodes restart at the same time.
#[test]
fn fully_restarted_fleet_accepts_its_servers_after_the_timeout() {
    let mut world = fleet_with_leaving_server();
    restart_all(&mut world);
    announce(&mut world, ("t", 2_000), 1, UpstreamPhase::Ready);
    world.run_for(ACCEPT_LIMIT);
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

/// Time after the first answer that reports the leaving from which the server gets no requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time between two requests to the fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests through all nodes in turn while the server of `a` announces that it is ready.
fn send_requests(world: &mut SessionWorld, count: u64) {
    for number in 0..count {
        let ingress = name_of(u8::try_from(number % u64::from(NODES)).unwrap_or(0));
        announce(world, ("s", 1_000), 10 + number, UpstreamPhase::Ready);
        world.call(&ingress, u128::from(number) + 1, "GET", "/prices/1", None);
        world.run_for(REQUEST_INTERVAL);
    }
}

// Guards against requests to a server that reports in its answers that it is leaving, while its
// announcements are late or do not say so.
#[test]
fn server_that_reports_its_leaving_in_answers_gets_no_requests() {
    let mut world = SessionWorld::start_fleet(NODES, contract(1, "/prices/"));
    announce(&mut world, ("s", 1_000), 5, UpstreamPhase::Ready);
    let script = BackendScript {
        notice: ServerNotice {
            leaving: true,
            ..ServerNotice::default()
        },
        ..BackendScript::default()
    };
    world.scripts.insert(node("a"), script);
    send_requests(&mut world, 400);
    let arrivals = &world.arrivals[&node("a")];
    let drained_at = arrivals[0] + script.time + DRAIN_LIMIT;
    let late = arrivals.iter().filter(|at| **at > drained_at).count();
    assert_eq!(late, 0, "of {} requests", arrivals.len());
    assert_eq!(world.runs.len(), 400);
}
