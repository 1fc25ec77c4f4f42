//! Announcements and answers that arrive late, after another incarnation of the backend server has taken
//! the place of their sender.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::RequestId;
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

/// Returns the name of the incarnation that `a` sends work to.
fn current_name(world: &SessionWorld) -> Option<String> {
    let engine = &world.engines()[&node("a")];
    let mut upstreams = engine.local_upstreams().into_iter();
    let life = upstreams.find_map(|(_, announced, _)| announced.life);
    life.map(|life| life.id.name.to_string())
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
    set_end(&mut world, WorkEnd::Replaced);
    for number in 1..=30 {
        world.call("a", number, "GET", "/prices/a", None);
    }
    world.run_for(Duration::from_millis(10));
    let next = announced("next", 3_000, 1, UpstreamPhase::Ready);
    world.send_event("a", NodeEvent::UpstreamAnnounced(next));
    world.run_for(Duration::from_secs(1));
    assert!(world.arrivals.contains_key(&node("a")));
    announce(&mut world, ("next", 3_000), 2, UpstreamPhase::Ready);
    assert_eq!(current_name(&world).as_deref(), Some("next"));
    assert_eq!(phase_of(&world), Some(UpstreamPhase::Ready));
}
