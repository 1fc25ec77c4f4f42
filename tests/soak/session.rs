//! One soak session: runs a plan against a fleet while callers send requests.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{run_caller, send_once};
use crate::invariants::check_invariants;
use crate::nodes::SoakNode;
use crate::plan::{BackendMode, LinkFault, ProxyLink, SoakAction, SoakPlan};
use crate::processes::process::TestProcess;
use crate::record::SessionRecord;
use crate::support::client::request;
use crate::support::fleet::config_with_routes;
use crate::support::store::FakeStore;

/// Number of callers per instance.
const CALLERS_PER_NODE: usize = 2;
/// Time between the start of a drain and the replacement of the backend server.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Longest time until every instance serves again after the last fault is removed.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Deadline of the request that checks whether an instance serves, in milliseconds.
const PROBE_DEADLINE_MS: u64 = 1000;
/// Wait at the end of a session, in which a request that was reported as not run could still run
/// and would be recorded.
const QUIET_PERIOD: Duration = Duration::from_millis(1500);
/// Interval between checks whether an instance serves.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct SoakSession {
    nodes: Vec<SoakNode>,
    store: FakeStore,
    record: SessionRecord,
    newest_version: AtomicU64,
    planned_only: bool,
}

/// Result of a session.
#[derive(Debug)]
pub struct SessionReport {
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that got status 200.
    pub served: usize,
    /// Violated guarantees.
    pub findings: Vec<String>,
}

/// Runs the session of a seed.
pub fn run_session(seed: u64) -> SessionReport {
    let plan = SoakPlan::new(seed);
    let directory = tempfile::tempdir().expect("a directory");
    let store = FakeStore::start();
    let record = SessionRecord::default();
    let nodes = (0..plan.nodes)
        .map(|index| {
            let directory = directory.path().to_owned();
            SoakNode::new(seed, index, directory, store.address, &record)
        })
        .collect();
    let session = SoakSession {
        nodes,
        store,
        record,
        newest_version: AtomicU64::new(1),
        planned_only: plan.planned_only,
    };
    session.run(&plan);
    let state = session.record.state();
    let served = state.calls.iter().filter(|call| {
        let response = call.response.as_ref();
        response.is_some_and(|reply| reply.status == 200)
    });
    SessionReport {
        calls: state.calls.len(),
        served: served.count(),
        findings: check_invariants(&state, &session.nodes, plan.planned_only),
    }
}

impl SoakSession {
    fn run(&self, plan: &SoakPlan) {
        self.store.publish(&build_config(1));
        let (stop_calls, stop_heartbeats) = (AtomicBool::new(false), AtomicBool::new(false));
        thread::scope(|scope| {
            for node in &self.nodes {
                node.start();
                let stop = &stop_heartbeats;
                scope.spawn(move || node.send_heartbeats(&self.record, stop));
            }
            self.wait_until_served("the start");
            for node in &self.nodes {
                for number in 0..CALLERS_PER_NODE {
                    let (stop, newest_version) = (&stop_calls, &self.newest_version);
                    let name = format!("{}-{number}", node.name);
                    scope
                        .spawn(move || run_caller(&name, node, newest_version, &self.record, stop));
                }
            }
            self.run_plan(plan);
            self.clear_faults();
            self.wait_until_served("the last fault");
            stop_calls.store(true, Ordering::Relaxed);
            thread::sleep(QUIET_PERIOD);
            self.check_processes_alive();
            stop_heartbeats.store(true, Ordering::Relaxed);
        });
    }

    fn run_plan(&self, plan: &SoakPlan) {
        let begin = Instant::now();
        thread::scope(|scope| {
            for planned in &plan.actions {
                let left = (begin + planned.at).saturating_duration_since(Instant::now());
                thread::sleep(left);
                let action = planned.action;
                scope.spawn(move || self.run_action(action));
            }
            thread::sleep((begin + plan.active).saturating_duration_since(Instant::now()));
        });
    }

    fn run_action(&self, action: SoakAction) {
        match action {
            SoakAction::Pause(index, time) => self.nodes[index].pause(time),
            SoakAction::Kill(index, downtime) => {
                if self.nodes[index].kill() {
                    thread::sleep(downtime);
                    self.nodes[index].start();
                }
            }
            SoakAction::Restart(index) => self.restart(&self.nodes[index]),
            SoakAction::Reload(index) => self.nodes[index].signal("HUP"),
            SoakAction::Backend(index, mode, time) => {
                self.nodes[index].set_backend_mode(mode);
                thread::sleep(time);
                self.nodes[index].set_backend_mode(BackendMode::Healthy);
            }
            SoakAction::Replace(index) => self.nodes[index].replace_backend(),
            SoakAction::Drain(index) => {
                self.nodes[index].drain_backend();
                thread::sleep(DRAIN_TIME);
                self.nodes[index].replace_backend();
            }
            SoakAction::InjectFault(index, link, fault, time) => {
                self.nodes[index].inject_fault(link, fault);
                thread::sleep(time);
                self.nodes[index].inject_fault(link, LinkFault::None);
            }
            SoakAction::StoreOutage(time) => {
                self.store.set_refusal(Some(503));
                thread::sleep(time);
                self.store.set_refusal(None);
            }
            SoakAction::DropStoreHistory => {
                self.store.drop_history("keyed.op");
                self.store.drop_history("keyed.members");
            }
            SoakAction::Publish => {
                let version = self.newest_version.load(Ordering::Relaxed) + 1;
                self.store.publish(&build_config(version));
                self.newest_version.store(version, Ordering::Relaxed);
            }
        }
    }

    fn restart(&self, node: &SoakNode) {
        if !node.request_shutdown() {
            return;
        }
        let succeeded = node.wait_for_exit();
        if self.planned_only && !succeeded {
            let name = &node.name;
            self.record
                .add_finding(format!("LOST: {name} exited with requests cut off"));
        }
        node.start();
    }

    fn clear_faults(&self) {
        self.store.set_refusal(None);
        for node in &self.nodes {
            node.set_backend_mode(BackendMode::Healthy);
            for link in [ProxyLink::Peers, ProxyLink::Store, ProxyLink::Backend] {
                node.inject_fault(link, LinkFault::None);
            }
        }
    }

    /// Waits until every instance has served a read, and reports an instance that does not in time.
    fn wait_until_served(&self, when: &str) {
        let until = Instant::now() + RECOVERY_LIMIT;
        for node in &self.nodes {
            while !is_serving(node) {
                if Instant::now() > until {
                    let name = &node.name;
                    self.record
                        .add_finding(format!("RECOVER: {name} does not serve after {when}"));
                    break;
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn check_processes_alive(&self) {
        for node in &self.nodes {
            let mut state = node.state();
            let ended = state.process.as_mut().and_then(TestProcess::try_wait);
            if let Some(status) = ended {
                let name = &node.name;
                self.record
                    .add_finding(format!("ENDED: {name} ended by itself, {status}"));
            }
        }
    }
}

/// Returns whether a read through the node gets status 200 now.
fn is_serving(node: &SoakNode) -> bool {
    let probe = request("GET", "/stock/ready", "ready", PROBE_DEADLINE_MS);
    node.caller_address().is_some_and(|(address, _)| {
        let response = send_once(address, &probe, RECOVERY_LIMIT);
        response.is_ok_and(|response| response.status == 200)
    })
}

/// Builds a configuration with the read and booking routes and one route for each version up to its
/// own.
fn build_config(version: u64) -> String {
    let routes: Vec<String> = (1..=version).map(|number| format!("v{number}")).collect();
    config_with_routes(version, "orders", &routes)
}
