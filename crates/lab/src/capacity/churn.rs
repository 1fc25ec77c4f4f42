//! Daily restarts, failures and contract changes, scaled to the number of nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_roster::topic::CONTRACT_HEAD;

use super::fit::to_f64;
use super::fleet::RosterFleet;

/// Restarts per day in a fleet of [`TARGET_NODES`] nodes.
const RESTARTS: f64 = 7_700.0;

/// Failures per day in a fleet of [`TARGET_NODES`] nodes.
const FAILURES: f64 = 610.0;

/// Contract changes per day in a fleet of [`TARGET_NODES`] nodes.
const CHANGES: f64 = 26_000.0;

/// Number of nodes at the target scale, the fleet size expected in two years.
pub const TARGET_NODES: f64 = 2_300.0;

const DAY_SECONDS: f64 = 86_400.0;

/// Time between two checks for due events.
pub const CHURN_STEP: Duration = Duration::from_millis(100);

/// Time from the start of a node's drain to its departure.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time from a node's departure to its restart.
const START_TIME: Duration = Duration::from_secs(2);

/// Time from a node's start to its first warm upstream.
const WARM_TIME: Duration = Duration::from_secs(2);

/// Time between two upstreams of a node becoming warm.
const WARM_STEP: Duration = Duration::from_millis(100);

/// Time from a node's death to its restart.
pub const REPAIR_TIME: Duration = Duration::from_secs(20);

/// Version of the first published contract head; higher than all versions published by earlier
/// measurements of the same fleet.
const FIRST_HEAD_VERSION: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum ChurnAction {
    Drain(usize),
    Depart(usize),
    Start(usize),
    WarmUp(usize, u16),
    Kill(usize),
    Publish,
}

/// Scheduled churn events, evenly spaced over a period of time.
pub struct DailyChurn {
    due: BTreeMap<(Duration, u64), ChurnAction>,
    sequence: u64,
    head_version: u64,
    /// Number of planned restarts so far.
    pub restarts: usize,
    /// Number of killed nodes so far.
    pub kills: usize,
}

impl DailyChurn {
    /// Schedules the events of a period that begins now, as many as in a fleet of `rate_nodes`
    /// nodes.
    #[must_use]
    pub fn plan(fleet: &mut RosterFleet, time: Duration, rate_nodes: usize) -> Self {
        let mut churn = Self {
            due: BTreeMap::new(),
            sequence: 0,
            head_version: FIRST_HEAD_VERSION,
            restarts: 0,
            kills: 0,
        };
        let share = to_f64(rate_nodes) / TARGET_NODES;
        for at in evenly_spaced(fleet.now(), time, RESTARTS * share) {
            let index = fleet.pick_running();
            churn.schedule(at, ChurnAction::Drain(index));
        }
        for at in evenly_spaced(fleet.now(), time, FAILURES * share) {
            let index = fleet.pick_running();
            churn.schedule(at, ChurnAction::Kill(index));
        }
        for at in evenly_spaced(fleet.now(), time, CHANGES * share) {
            churn.schedule(at, ChurnAction::Publish);
        }
        churn
    }

    /// Executes all due events.
    pub fn step(&mut self, fleet: &mut RosterFleet) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > fleet.now() {
                return;
            }
            let action = entry.remove();
            self.perform(fleet, action);
        }
    }

    fn perform(&mut self, fleet: &mut RosterFleet, action: ChurnAction) {
        let now = fleet.now();
        match action {
            ChurnAction::Drain(index) if fleet.is_running(index) => {
                fleet.drain(index);
                self.schedule(now + DRAIN_TIME, ChurnAction::Depart(index));
            }
            ChurnAction::Depart(index) if fleet.is_running(index) => {
                fleet.depart(index);
                self.schedule(now + START_TIME, ChurnAction::Start(index));
                self.restarts += 1;
            }
            ChurnAction::Kill(index) if fleet.is_running(index) => {
                fleet.kill(index);
                self.schedule(now + REPAIR_TIME, ChurnAction::Start(index));
                self.kills += 1;
            }
            ChurnAction::Start(index) => self.start(fleet, index),
            ChurnAction::WarmUp(index, slot) if fleet.is_running(index) => {
                fleet.warm_up(index, slot);
            }
            ChurnAction::Publish => {
                let index = fleet.pick_running();
                self.head_version += 1;
                fleet.publish(index, CONTRACT_HEAD, self.head_version);
            }
            ChurnAction::Drain(_)
            | ChurnAction::Depart(_)
            | ChurnAction::Kill(_)
            | ChurnAction::WarmUp(..) => {}
        }
    }

    fn start(&mut self, fleet: &mut RosterFleet, index: usize) {
        fleet.restart(index);
        let mut at = fleet.now() + WARM_TIME;
        for slot in 0..fleet.upstreams() {
            self.schedule(at, ChurnAction::WarmUp(index, slot));
            at += WARM_STEP;
        }
    }

    fn schedule(&mut self, at: Duration, action: ChurnAction) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), action);
    }
}

/// Returns evenly spaced times for `per_day` events per day.
fn evenly_spaced(start: Duration, time: Duration, per_day: f64) -> Vec<Duration> {
    let mut times = Vec::new();
    let gap = Duration::from_secs_f64(DAY_SECONDS / per_day);
    let mut at = start + gap / 2;
    while at < start + time {
        times.push(at);
        at += gap;
    }
    times
}
