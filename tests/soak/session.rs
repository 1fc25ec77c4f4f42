//! One session: a fleet, its callers, and the plan carried out while they call.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{ask_once, call_until};
use crate::invariants::judge;
use crate::nodes::SoakNode;
use crate::plan::{BackendMode, SoakAct, SoakPlan, Way, WayFault};
use crate::processes::process::TestProcess;
use crate::record::SoakLedger;
use crate::support::client::request;
use crate::support::fleet::config_with;
use crate::support::store::StandInStore;

/// Callers of each instance.
const CALLERS: usize = 2;
/// Time after which a backend server that said it leaves is replaced.
const LEAVE_TIME: Duration = Duration::from_secs(3);
/// Longest time until a healed fleet serves again at every instance.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Deadline of the look-up that tells whether it does, in milliseconds.
const LOOK_UP_MS: u64 = 1000;
/// Quiet time at the end, in which work that was called unrun could still run.
const QUIET: Duration = Duration::from_millis(1500);
/// Pause between two looks.
const LOOK_STEP: Duration = Duration::from_millis(50);

struct SoakSession {
    nodes: Vec<SoakNode>,
    store: StandInStore,
    ledger: SoakLedger,
    newest: AtomicU64,
    planned_only: bool,
}

/// What came of a session.
#[derive(Debug)]
pub struct SessionReport {
    /// Calls that were made, and those that got a success.
    pub calls: usize,
    pub served: usize,
    /// What broke a promise.
    pub findings: Vec<String>,
}

/// Plays the session of a seed.
pub fn play(seed: u64) -> SessionReport {
    let plan = SoakPlan::new(seed);
    let directory = tempfile::tempdir().expect("a directory");
    let store = StandInStore::start();
    let ledger = SoakLedger::default();
    let nodes = (0..plan.nodes)
        .map(|index| {
            let directory = directory.path().to_owned();
            SoakNode::new(seed, index, directory, store.address, &ledger)
        })
        .collect();
    let session = SoakSession {
        nodes,
        store,
        ledger,
        newest: AtomicU64::new(1),
        planned_only: plan.planned_only,
    };
    session.run(&plan);
    let state = session.ledger.state();
    let served = state.calls.iter().filter(|call| {
        let answer = call.answer.as_ref();
        answer.is_some_and(|reply| reply.status == 200)
    });
    SessionReport {
        calls: state.calls.len(),
        served: served.count(),
        findings: judge(&state, &session.nodes, plan.planned_only),
    }
}

impl SoakSession {
    fn run(&self, plan: &SoakPlan) {
        self.store.publish(&config(1));
        let (stop_calls, stop_beats) = (AtomicBool::new(false), AtomicBool::new(false));
        thread::scope(|scope| {
            for node in &self.nodes {
                node.start();
                let stop = &stop_beats;
                scope.spawn(move || node.beat_until(&self.ledger, stop));
            }
            self.wait_served("the start");
            for node in &self.nodes {
                for number in 0..CALLERS {
                    let (stop, newest) = (&stop_calls, &self.newest);
                    let name = format!("{}-{number}", node.name);
                    scope.spawn(move || call_until(&name, node, newest, &self.ledger, stop));
                }
            }
            self.carry_out(plan);
            self.heal();
            self.wait_served("the last fault");
            stop_calls.store(true, Ordering::Relaxed);
            thread::sleep(QUIET);
            self.expect_alive();
            stop_beats.store(true, Ordering::Relaxed);
        });
    }

    fn carry_out(&self, plan: &SoakPlan) {
        let begin = Instant::now();
        thread::scope(|scope| {
            for planned in &plan.acts {
                let left = (begin + planned.at).saturating_duration_since(Instant::now());
                thread::sleep(left);
                let act = planned.act;
                scope.spawn(move || self.act(act));
            }
            thread::sleep((begin + plan.active).saturating_duration_since(Instant::now()));
        });
    }

    fn act(&self, act: SoakAct) {
        match act {
            SoakAct::Pause(index, time) => self.nodes[index].pause(time),
            SoakAct::Kill(index, away) => {
                if self.nodes[index].kill() {
                    thread::sleep(away);
                    self.nodes[index].start();
                }
            }
            SoakAct::Restart(index) => self.restart(&self.nodes[index]),
            SoakAct::Reload(index) => self.nodes[index].signal("HUP"),
            SoakAct::Backend(index, mode, time) => {
                self.nodes[index].set_mode(mode);
                thread::sleep(time);
                self.nodes[index].set_mode(BackendMode::Sound);
            }
            SoakAct::Replace(index) => self.nodes[index].replace_backend(),
            SoakAct::Drain(index) => {
                self.nodes[index].drain_backend();
                thread::sleep(LEAVE_TIME);
                self.nodes[index].replace_backend();
            }
            SoakAct::Harm(index, way, fault, time) => {
                self.nodes[index].harm(way, fault);
                thread::sleep(time);
                self.nodes[index].harm(way, WayFault::None);
            }
            SoakAct::StoreAway(time) => {
                self.store.refuse(Some(503));
                thread::sleep(time);
                self.store.refuse(None);
            }
            SoakAct::StoreForgets => {
                self.store.drop_history("keyed.op");
                self.store.drop_history("keyed.members");
            }
            SoakAct::Publish => {
                let version = self.newest.load(Ordering::Relaxed) + 1;
                self.store.publish(&config(version));
                self.newest.store(version, Ordering::Relaxed);
            }
        }
    }

    fn restart(&self, node: &SoakNode) {
        if !node.ask_to_leave() {
            return;
        }
        let in_order = node.wait_for_end();
        if self.planned_only && !in_order {
            let name = &node.name;
            self.ledger
                .found(format!("LOST: {name} says that it cut something off"));
        }
        node.start();
    }

    fn heal(&self) {
        self.store.refuse(None);
        for node in &self.nodes {
            node.set_mode(BackendMode::Sound);
            for way in [Way::Peers, Way::Store, Way::Backend] {
                node.harm(way, WayFault::None);
            }
        }
    }

    /// Waits until every instance has served a look-up.
    fn wait_served(&self, when: &str) {
        let until = Instant::now() + RECOVERY_LIMIT;
        for node in &self.nodes {
            while !serves(node) {
                if Instant::now() > until {
                    let name = &node.name;
                    self.ledger
                        .found(format!("RECOVER: {name} does not serve after {when}"));
                    break;
                }
                thread::sleep(LOOK_STEP);
            }
        }
    }

    fn expect_alive(&self) {
        for node in &self.nodes {
            let mut state = node.state();
            let ended = state.process.as_mut().and_then(TestProcess::try_end);
            if let Some(status) = ended {
                let name = &node.name;
                self.ledger
                    .found(format!("ENDED: {name} ended by itself, {status}"));
            }
        }
    }
}

/// Whether a look-up gets a success now.
fn serves(node: &SoakNode) -> bool {
    let asked = request("GET", "/stock/ready", "ready", LOOK_UP_MS);
    node.callers().is_some_and(|(address, _)| {
        let answer = ask_once(address, &asked, RECOVERY_LIMIT);
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

/// A configuration: look-ups, bookings, and one route more for each version up to its own.
fn config(version: u64) -> String {
    let routes: Vec<String> = (1..=version).map(|number| format!("v{number}")).collect();
    config_with(version, "orders", &routes)
}
