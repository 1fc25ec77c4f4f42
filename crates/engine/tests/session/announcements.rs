//! Announcements and answers that arrive late, after another incarnation of the backend server has taken
//! the place of their sender.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{RequestId, ServiceName};
use sycamorelink_engine::{LifeId, NodeEvent, WorkEnd};
use sycamorelink_policy::UpstreamPhase;

use crate::fleet_contract::contract;
use crate::leaving::{announce, announced, phase_of};
use crate::world::{BackendScript, SessionWorld, node};

const NODES: u8 = 3;
/// Interval between two announcements of a server.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Incarnation that runs beside `a`.
const CURRENT: (&str, u64) = ("s", 2_000);
/// Incarnation that has ended, and that the node does not know.
const EARLIER: (&str, u64) = ("flap", 2_000);

/// Starts a fleet in which `a` knows only the incarnation that runs beside it.
fn fleet() -> SessionWorld {
    let mut world = SessionWorld::start_fleet(NODES, contract(1, "/prices/"));
    announce_current(&mut world, 1);
    world
}

fn announce_current(world: &mut SessionWorld, order: u64) {
    announce(world, CURRENT, order, UpstreamPhase::Ready);
    world.run_for(INTERVAL);
}

/// Returns the incarnation that `a` sends work to.
fn current_life(world: &SessionWorld) -> Option<LifeId> {
    let engine = &world.engines()[&node("a")];
    let mut upstreams = engine.local_upstreams().into_iter();
    let life = upstreams.find_map(|(_, announced, _)| announced.life)?;
    Some(life.id)
}

/// Returns the name of the incarnation that `a` sends work to.
fn current_name(world: &SessionWorld) -> Option<String> {
    current_life(world).map(|life| life.name.to_string())
}

/// Sends work through `a`, some of it to its own server, which rejects it as meant for another
/// incarnation.
fn send_rejected_work(world: &mut SessionWorld) {
    set_end(world, WorkEnd::Replaced);
    for number in 1..=30 {
        world.call("a", number, "GET", "/prices/a", None);
    }
}

fn set_end(world: &mut SessionWorld, end: WorkEnd) {
    let script = BackendScript {
        end,
        ..BackendScript::default()
    };
    world.scripts.insert(node("a"), script);
}

// Guards against a sound server that gets no work for good after the delayed announcement of an
// incarnation that ended before it.
#[test]
fn late_announcement_of_an_earlier_incarnation_does_not_end_the_current_one() {
    let mut world = fleet();
    announce(&mut world, EARLIER, 7, UpstreamPhase::Ready);
    announce_current(&mut world, 2);
    announce_current(&mut world, 3);
    assert_eq!(current_name(&world).as_deref(), Some("s"));
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

// Guards against waiting for announcements although the server itself tells that the earlier incarnation
// does not run.
#[test]
fn current_incarnation_is_restored_when_it_rejects_work_of_an_earlier_one() {
    let mut world = fleet();
    announce(&mut world, EARLIER, 7, UpstreamPhase::Ready);
    set_end(&mut world, WorkEnd::Replaced);
    for number in 1..=30 {
        world.call("a", number, "GET", "/prices/a", None);
        world.run_for(Duration::from_millis(5));
        if world.arrivals.contains_key(&node("a")) {
            break;
        }
    }
    world.run_for(Duration::from_millis(50));
    assert_eq!(current_name(&world).as_deref(), Some("s"));
    announce(&mut world, EARLIER, 8, UpstreamPhase::Ready);
    assert_eq!(current_name(&world).as_deref(), Some("s"));
    assert!(world.answers.contains_key(&RequestId(1)));
}

// Guards against a delayed announcement of a server that was replaced.
#[test]
fn single_late_announcement_does_not_displace_the_next_incarnation() {
    let mut world = fleet();
    announce(&mut world, ("next", 3_000), 1, UpstreamPhase::Ready);
    announce(&mut world, CURRENT, 2, UpstreamPhase::Ready);
    assert_eq!(current_name(&world).as_deref(), Some("next"));
    announce(&mut world, ("next", 3_000), 2, UpstreamPhase::Ready);
    for order in 3..6 {
        announce(&mut world, CURRENT, order, UpstreamPhase::Ready);
        assert_eq!(current_name(&world).as_deref(), Some("next"));
    }
}

// Guards against requests to a server that said that it leaves while a delayed announcement had taken
// its place.
#[test]
fn displaced_incarnation_that_leaves_gets_no_work() {
    let mut world = fleet();
    announce(&mut world, EARLIER, 7, UpstreamPhase::Ready);
    announce(&mut world, CURRENT, 2, UpstreamPhase::Leaving);
    for order in 3..6 {
        announce_current(&mut world, order);
        assert_ne!(current_name(&world).as_deref(), Some("s"));
    }
}

// Guards against a withdrawal that the next incarnation of the node forgets, because a delayed
// announcement had taken the place of the server.
#[test]
fn displaced_incarnation_that_withdraws_is_recorded_as_leaving() {
    let mut world = fleet();
    world.recorded_leaving = Some(BTreeMap::new());
    announce(&mut world, EARLIER, 7, UpstreamPhase::Ready);
    let life = Some(LifeId {
        name: Arc::from(CURRENT.0),
        started: None,
    });
    world.send_event("a", NodeEvent::UpstreamWithdrawn { slot: 0, life });
    let recorded = world.recorded_leaving.unwrap_or_default();
    let names = recorded[&node("a")].iter().map(|server| &*server.life.name);
    assert!(names.eq([CURRENT.0]));
}

// Guards against a new incarnation that gets no work for good after a late rejection of work that was
// sent to its predecessor.
#[test]
fn late_rejection_ends_only_the_incarnation_that_the_work_was_sent_to() {
    let mut world = fleet();
    send_rejected_work(&mut world);
    world.run_for(Duration::from_millis(10));
    let next = announced("next", 3_000, 1, UpstreamPhase::Ready);
    world.send_event("a", NodeEvent::UpstreamAnnounced(next));
    world.run_for(Duration::from_secs(1));
    assert!(world.arrivals.contains_key(&node("a")));
    announce(&mut world, ("next", 3_000), 2, UpstreamPhase::Ready);
    assert_eq!(current_name(&world).as_deref(), Some("next"));
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}

/// Incarnation that follows the one of [`CURRENT`].
const NEXT: (&str, u64) = ("next", 3_000);
/// A start of the server of [`CURRENT`] under the same name, and one that its clock dates back.
const LATER_START: (&str, u64) = ("s", 3_000);
const EARLIER_START: (&str, u64) = ("s", 1_000);

/// Starts a fleet in which the server beside `a` has crashed and the next incarnation has announced
/// itself once.
fn fleet_after_crash(next: (&str, u64)) -> SessionWorld {
    let mut world = fleet();
    announce(&mut world, next, 1, UpstreamPhase::Ready);
    world
}

/// Sends a late announcement of the crashed server for each of these orders.
fn announce_late(world: &mut SessionWorld, orders: std::ops::Range<u64>) {
    for order in orders {
        announce(world, CURRENT, order, UpstreamPhase::Ready);
    }
}

/// Announces an incarnation at its usual interval, and checks each time that it gets the work.
fn assert_stays_current(world: &mut SessionWorld, life: (&str, u64), orders: std::ops::Range<u64>) {
    for order in orders {
        announce(world, life, order, UpstreamPhase::Ready);
        assert_eq!(life_of_a(world), Some(life), "announcement {order}");
        world.run_for(INTERVAL);
    }
}

/// Returns name and start time in milliseconds of the incarnation that `a` sends work to.
fn life_of_a(world: &SessionWorld) -> Option<(&'static str, u64)> {
    let life = current_life(world)?;
    let known = [CURRENT, EARLIER, NEXT, LATER_START, EARLIER_START];
    let started = life.started?;
    known.into_iter().find(|(name, started_ms)| {
        *name == &*life.name && Duration::from_millis(*started_ms) == started
    })
}

// Guards against a sound server that gets no work for good after several late announcements of its
// crashed predecessor.
#[test]
fn late_announcements_of_a_crashed_server_do_not_shut_out_its_successor() {
    let mut world = fleet_after_crash(NEXT);
    world.run_for(Duration::from_millis(200));
    announce_late(&mut world, 2..5);
    assert_stays_current(&mut world, NEXT, 2..8);
}

// Guards against late announcements that arrive in several groups while the next incarnation is silent:
// it must get the work again.
#[test]
fn successor_returns_after_groups_of_late_announcements() {
    let mut world = fleet_after_crash(NEXT);
    announce_late(&mut world, 2..5);
    world.run_for(Duration::from_secs(1));
    announce_late(&mut world, 5..7);
    for order in 2..4 {
        announce(&mut world, NEXT, order, UpstreamPhase::Ready);
        world.run_for(INTERVAL);
    }
    assert_stays_current(&mut world, NEXT, 4..8);
}

// Guards against the same fault where the successor keeps the name and its announcements are counted
// from one again.
#[test]
fn late_announcements_of_an_earlier_start_do_not_shut_out_the_later_one() {
    let mut world = fleet_after_crash(LATER_START);
    announce_late(&mut world, 2..5);
    assert_stays_current(&mut world, LATER_START, 2..8);
}

// Guards against the same fault where the daemon restarts before the late announcements arrive.
#[test]
fn late_announcements_after_a_restart_do_not_shut_out_the_current_server() {
    let mut world = fleet_after_crash(NEXT);
    world.kill("a");
    world.run_for(Duration::from_millis(300));
    world.start_node(0, 2);
    world.run_for(Duration::from_millis(700));
    announce(&mut world, NEXT, 2, UpstreamPhase::Ready);
    announce_late(&mut world, 2..5);
    assert_stays_current(&mut world, NEXT, 3..8);
}

// Guards against a server that gets no work for good because its clock was set back before it started
// again under its name.
#[test]
fn server_with_an_earlier_start_time_is_accepted_once_its_predecessor_is_silent() {
    let mut world = fleet();
    let mut order = 1;
    while life_of_a(&world) != Some(EARLIER_START) {
        announce(&mut world, EARLIER_START, order, UpstreamPhase::Ready);
        world.run_for(INTERVAL);
        order += 1;
        assert!(order < 6, "never accepted");
    }
    assert_stays_current(&mut world, EARLIER_START, order..order + 4);
}

/// Announces an incarnation of a service that is not in force until contract 2.
fn announce_unknown_service(world: &mut SessionWorld, name: &str, order: u64) {
    let mut other = announced(name, 9_000, order, UpstreamPhase::Ready);
    other.service = ServiceName::new("billing");
    world.send_event("a", NodeEvent::UpstreamAnnounced(other));
}

// Guards against another writer whose heartbeats name no service in force and displace the server that
// runs.
#[test]
fn announcements_without_a_service_in_force_displace_no_server() {
    let mut world = fleet();
    for order in 1..9 {
        announce_unknown_service(&mut world, "other", order);
        assert_eq!(life_of_a(&world), Some(CURRENT), "announcement {order}");
        announce(&mut world, CURRENT, order + 1, UpstreamPhase::Ready);
        world.run_for(Duration::from_secs(1));
    }
}

// Guards against a server that is never served because it registered before its service was in force.
#[test]
fn server_that_registers_before_its_service_is_in_force_is_accepted_after_it() {
    let mut world = fleet();
    announce_unknown_service(&mut world, "other", 1);
    assert_eq!(life_of_a(&world), Some(CURRENT));
    let mut next = contract(2, "/prices/");
    next.services.push(ServiceName::new("billing"));
    world.send_event("a", NodeEvent::FleetContract(Arc::new(next)));
    announce_unknown_service(&mut world, "other", 2);
    assert_eq!(current_name(&world).as_deref(), Some("other"));
}

// Guards against a server that gets no work for good after it rejected work that was meant for it.
#[test]
fn server_that_rejects_its_own_work_is_accepted_again() {
    let mut world = fleet();
    send_rejected_work(&mut world);
    world.run_for(Duration::from_secs(1));
    assert_eq!(life_of_a(&world), None);
    assert_stays_current(&mut world, CURRENT, 2..4);
}
