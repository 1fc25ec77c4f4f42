//! Overload control: the concurrency limit that is learned from the run times of a backend server.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::FleetContract;
use sycamorelink_engine::{NodeEvent, ServerSpeedStatus, WorkEnd};
use sycamorelink_limits::{LimitCause, OverloadSettings};
use sycamorelink_policy::PolicyMechanism;

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, name_of, node};

/// Slots of each backend server.
const SLOTS: u32 = 5;
const RUN_TIME: Duration = Duration::from_millis(500);
const OBJECTIVE: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(8);
/// Time in which a limit is learned.
const LEARNING_TIME: Duration = Duration::from_secs(150);
/// Interval at which requests are sent and run times follow the concurrency.
const STEP: Duration = Duration::from_millis(20);
/// Chance of failing from which a server of a service without faults is suspect.
const SUSPECT_CHANCE: f64 = 0.3;

fn patient_contract(version: u64, objective: Duration) -> FleetContract {
    let mut contract = contract(version, "/prices/");
    for route in &mut contract.routes {
        route.objective = objective;
        route.deadline = DEADLINE;
    }
    contract
}

fn fleet_of(nodes: u8, off: &[PolicyMechanism]) -> SpeedSession {
    let overload = OverloadSettings {
        objective_from: Some(OBJECTIVE),
        ..OverloadSettings::default()
    };
    let contract = patient_contract(1, OBJECTIVE);
    SpeedSession {
        world: SessionWorld::start_fleet_with_overload(nodes, contract, overload, off),
        nodes,
        next_request: 1,
        greatest_chance: 0.0,
    }
}

/// Run time of a server that serves less with more than three concurrent runs.
fn steep_run_time(concurrent: u16) -> Duration {
    match concurrent {
        0..=3 => RUN_TIME,
        4 => Duration::from_millis(900),
        _ => Duration::from_millis(1_400),
    }
}

/// A fleet under a constant load.
struct SpeedSession {
    world: SessionWorld,
    nodes: u8,
    next_request: u128,
    /// Greatest chance of failing that the breaker of a server found.
    greatest_chance: f64,
}

impl SpeedSession {
    /// Sends one request in this many steps, at one node after the other.
    fn run_for(&mut self, time: Duration, steps_per_request: u32, run_time: fn(u16) -> Duration) {
        let end = self.world.now() + time;
        let mut step = 0;
        while self.world.now() < end {
            for name in (0..self.nodes).map(name_of) {
                let id = node(&name);
                let load = self.world.engines()[&id].load_of(0);
                self.greatest_chance = self.greatest_chance.max(load.failing_chance());
                let script = self.world.scripts.entry(id).or_default();
                if script.end == WorkEnd::Replied && script.status == 200 {
                    // A start takes the place of a run that ended.
                    script.time = run_time(load.in_use);
                }
            }
            if step % steps_per_request == 0 {
                let ingress = self.next_request % u128::from(self.nodes);
                let ingress = name_of(u8::try_from(ingress).expect("a node"));
                let number = self.next_request;
                self.world.call(&ingress, number, "POST", "/bookings", None);
                self.next_request += 1;
            }
            step += 1;
            self.world.run_for(STEP);
        }
    }

    fn speed_of(&self, name: &str) -> Option<ServerSpeedStatus> {
        self.world.engines()[&node(name)].server_speeds().pop()
    }

    fn limit_of(&self, name: &str) -> u32 {
        self.speed_of(name).map_or(0, |speed| speed.limit)
    }

    fn served(&self) -> usize {
        let answers = self.world.answers.values();
        answers
            .filter(|(_, answer)| answer.status == Some(200))
            .count()
    }

    fn announce_contract(&mut self, version: u64, objective: Duration) {
        let contract = Arc::new(patient_contract(version, objective));
        for name in (0..self.nodes).map(name_of) {
            let event = NodeEvent::FleetContract(Arc::clone(&contract));
            self.world.send_event(&name, event);
        }
    }

    fn set_script(&mut self, name: &str, script: BackendScript) {
        self.world.scripts.insert(node(name), script);
    }
}

// Guards against servers that serve less the more they are given, against slowness that the breaker
// takes for a failure once the limit changes the concurrency, and against a limit that a changed
// contract resets or that outlives its incarnation.
#[test]
fn servers_that_slow_down_are_limited_until_their_next_incarnation() {
    let mut unlimited = fleet_of(3, &[PolicyMechanism::AdaptiveConcurrency]);
    unlimited.run_for(LEARNING_TIME * 2, 2, steep_run_time);
    assert_eq!(unlimited.speed_of("a"), None);
    assert_eq!(unlimited.world.limit_changes, []);
    let mut limited = fleet_of(3, &[]);
    limited.run_for(LEARNING_TIME * 2, 2, steep_run_time);
    println!(
        "served {} limited, {} not",
        limited.served(),
        unlimited.served()
    );
    println!(
        "chances {} {}",
        limited.greatest_chance, unlimited.greatest_chance
    );
    for name in ["a", "b", "c"] {
        assert!((3..=4).contains(&limited.limit_of(name)), "{name}");
    }
    let changes = &limited.world.limit_changes;
    assert!(
        changes
            .iter()
            .any(|(_, change)| change.cause == LimitCause::Decrease)
    );
    assert!(limited.served() * 10 > unlimited.served() * 11);
    assert!(
        limited.greatest_chance < SUSPECT_CHANCE,
        "{}",
        limited.greatest_chance
    );
    assert!(limited.greatest_chance <= unlimited.greatest_chance + 0.05);
    // Without overload control nothing is limited; with it again, what was learned holds.
    limited.announce_contract(2, Duration::from_secs(2));
    assert_eq!(limited.speed_of("a"), None);
    assert_eq!(limited.world.engines()[&node("a")].load_of(0).slots, 5);
    limited.announce_contract(3, OBJECTIVE);
    assert!((3..=4).contains(&limited.limit_of("a")));
    limited.world.announce_life("a", "second", 1);
    limited.world.run_for(Duration::from_secs(1));
    assert_eq!(limited.limit_of("a"), SLOTS);
    assert!((3..=4).contains(&limited.limit_of("b")));
}

// Guards against a gray failure that is taken for slowness, and against evidence of the breaker that
// depends on the limit: the same session with and without the limit is the same to the breaker.
#[test]
fn gray_failure_is_no_slowness_and_the_breaker_sees_the_same() {
    let steady = |_| RUN_TIME;
    let sessions = [&[][..], &[PolicyMechanism::AdaptiveConcurrency]].map(|off| {
        let mut session = fleet_of(1, off);
        let mut chances = Vec::new();
        for round in 0..40 {
            let failing = BackendScript {
                end: WorkEnd::ConnectionLost,
                time: Duration::from_millis(20),
                ..BackendScript::default()
            };
            let is_failing = round % 4 == 3;
            session.set_script(
                "a",
                if is_failing {
                    failing
                } else {
                    BackendScript::default()
                },
            );
            session.run_for(Duration::from_secs(3), 10, steady);
            chances.push(session.world.engines()[&node("a")].load_of(0).failing);
        }
        assert!(session.greatest_chance > 0.5, "{}", session.greatest_chance);
        assert_eq!(session.world.limit_changes, []);
        (chances, session.world.trace())
    });
    assert_eq!(sessions[0].0, sessions[1].0);
    assert!(sessions[0].1 == sessions[1].1, "the sessions differ");
}

// Guards against errors that make a failing server seem fast, to which others would then send more.
#[test]
fn fast_errors_do_not_shorten_the_run_time() {
    let steady = |_| RUN_TIME;
    let mut session = fleet_of(1, &[]);
    session.run_for(Duration::from_secs(20), 10, steady);
    let fast_error = BackendScript {
        status: 500,
        time: Duration::from_millis(5),
        ..BackendScript::default()
    };
    session.set_script("a", fast_error);
    session.run_for(Duration::from_secs(10), 10, steady);
    let speed = session.speed_of("a").expect("a limit is learned");
    assert_eq!(speed.mean_run, RUN_TIME);
    let relative = speed.relative_run.expect("enough runs");
    assert!((0.95..1.05).contains(&relative), "{relative}");
}
