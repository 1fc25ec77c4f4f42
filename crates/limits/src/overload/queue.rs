//! Queue of work in the order of its latest start.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::CustomerName;

use crate::admission::{WorkClass, WorkId};

use super::queue_report::QueueEvent;
use super::run_cost::RunCosts;
use super::waiting_queue::WaitingQueue;

/// Inverse of the fraction of an expected wait that is added as a margin for its error. The mean of
/// run times that vary by a quarter is within 5% of the true one.
const WAIT_MARGIN_DIVISOR: u32 = 16;

/// Work that waits for a slot.
#[derive(Clone, Debug)]
pub struct WaitingWork {
    work: WorkId,
    account: Option<CustomerName>,
    priority: u8,
    kind: u64,
    expected: Duration,
    cost: Duration,
    objective: Duration,
    deadline: Duration,
    late: bool,
}

impl WaitingWork {
    /// Returns work that is to be served within its objective.
    ///
    /// Work without an objective is to be served by its deadline.
    #[must_use]
    pub fn new(work: WorkId, class: &WorkClass, costs: &RunCosts) -> Self {
        let deadline = class.deadline;
        Self {
            work,
            account: class.account.clone(),
            priority: class.priority,
            kind: class.kind,
            expected: class.expected,
            cost: costs.cost_of(class.kind, class.expected),
            objective: class.objective.unwrap_or(deadline).min(deadline),
            deadline,
            late: false,
        }
    }

    /// Returns the same work, to be served by its deadline only.
    #[must_use]
    pub fn into_late(mut self) -> Self {
        self.late = true;
        self
    }

    /// Returns the id of the work.
    #[must_use]
    pub const fn work(&self) -> WorkId {
        self.work
    }

    /// Returns the client account that the work is done for; `None` if unknown.
    #[must_use]
    pub const fn account(&self) -> Option<&CustomerName> {
        self.account.as_ref()
    }

    /// Returns the priority of the work; a greater value is more important.
    #[must_use]
    pub const fn priority(&self) -> u8 {
        self.priority
    }

    /// Returns the kind of the work.
    #[must_use]
    pub const fn kind(&self) -> u64 {
        self.kind
    }

    /// Returns the run time that the caller expects; zero if it gave none.
    #[must_use]
    pub const fn expected(&self) -> Duration {
        self.expected
    }

    /// Returns the expected run time.
    #[must_use]
    pub const fn cost(&self) -> Duration {
        self.cost
    }

    /// Returns whether the work can only meet its deadline.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.late
    }

    /// Returns the latest start, as time since the node started, with which the work still meets
    /// its objective or, if it is late, its deadline.
    #[must_use]
    pub fn latest_start(&self) -> Duration {
        let end = if self.late {
            self.deadline
        } else {
            self.objective
        };
        end.saturating_sub(self.run_allowance())
    }

    /// Returns the latest start, as time since the node started, with which the work still meets
    /// its deadline.
    #[must_use]
    pub fn deadline_start(&self) -> Duration {
        self.deadline.saturating_sub(self.run_allowance())
    }

    /// Updates the expected run time and returns whether it has changed.
    pub(super) fn update_cost(&mut self, costs: &RunCosts) -> bool {
        let cost = costs.cost_of(self.kind, self.expected);
        let is_changed = cost != self.cost;
        self.cost = cost;
        is_changed
    }

    fn run_allowance(&self) -> Duration {
        run_allowance(self.cost)
    }

    fn can_meet_deadline(&self, now: Duration) -> bool {
        now + self.run_allowance() <= self.deadline
    }

    fn key(&self) -> QueueKey {
        QueueKey {
            late: self.late,
            priority: Reverse(self.priority),
            latest_start: self.latest_start(),
            work: self.work,
        }
    }
}

/// Returns the time allowed for a run: one and a half expected run times, since a run often takes
/// longer than the mean.
#[must_use]
pub fn run_allowance(cost: Duration) -> Duration {
    cost * 3 / 2
}

/// Returns a wait that is exceeded only if the expected run times are well too low.
///
/// A queue that is full of work in time has no slack left, and a mean run time that is a few percent
/// too low would make accepted work late.
#[must_use]
pub fn cautious_wait(wait: Duration) -> Duration {
    wait + wait / WAIT_MARGIN_DIVISOR
}

/// Returns the longest wait whose [`cautious_wait`] is at most `limit`.
pub(super) fn uncautious_wait(limit: Duration) -> Duration {
    limit / (WAIT_MARGIN_DIVISOR + 1) * WAIT_MARGIN_DIVISOR
}

/// Order of the queue: in time before late, then higher priority first, then earlier latest start,
/// then smaller id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    late: bool,
    priority: Reverse<u8>,
    latest_start: Duration,
    work: WorkId,
}

/// Number of waiting requests that can meet their objective, and of those that cannot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueCount {
    /// Requests that can still meet their objective.
    pub in_time: u32,
    /// Requests that can only meet their deadline.
    pub late: u32,
}

/// Waiting work in the order in which it starts.
#[derive(Debug, Default)]
pub struct DeadlineQueue {
    waiting: BTreeMap<QueueKey, WaitingWork>,
    keys: BTreeMap<WorkId, QueueKey>,
}

impl WaitingQueue for DeadlineQueue {
    fn len(&self) -> usize {
        self.waiting.len()
    }

    fn contains(&self, work: WorkId) -> bool {
        self.keys.contains_key(&work)
    }

    fn count(&self) -> QueueCount {
        let late = self.waiting.values().filter(|work| work.late).count();
        QueueCount {
            in_time: saturating_u32(self.len() - late),
            late: saturating_u32(late),
        }
    }

    fn push(&mut self, _now: Duration, work: WaitingWork) {
        let key = work.key();
        self.keys.insert(work.work, key);
        self.waiting.insert(key, work);
    }

    fn remove(&mut self, work: WorkId) -> Option<WaitingWork> {
        let key = self.keys.remove(&work)?;
        self.waiting.remove(&key)
    }

    fn pop(&mut self, _now: Duration) -> Option<WaitingWork> {
        let (_, work) = self.waiting.pop_first()?;
        self.keys.remove(&work.work);
        Some(work)
    }

    /// Removes the last work of the queue if `offered` would sort before it.
    fn make_room(&mut self, offered: &WaitingWork) -> Option<QueueEvent> {
        let (last, _) = self.waiting.last_key_value()?;
        if *last < offered.key() {
            return None;
        }
        let (_, work) = self.waiting.pop_last()?;
        self.keys.remove(&work.work);
        Some(QueueEvent::Displaced(work.work))
    }

    fn count_ahead(&self, offered: &WaitingWork) -> u32 {
        saturating_u32(self.waiting.range(..offered.key()).count())
    }

    fn cost_ahead(&self, offered: &WaitingWork) -> Duration {
        let ahead = self.waiting.range(..offered.key());
        ahead.map(|(_, work)| work.cost).sum()
    }

    fn total_cost(&self) -> Duration {
        self.waiting.values().map(WaitingWork::cost).sum()
    }

    fn in_time_cost(&self) -> Duration {
        let in_time = self.waiting.values().take_while(|work| !work.late);
        in_time.map(WaitingWork::cost).sum()
    }

    /// Considers the waiting work of the same priority.
    fn would_delay(
        &self,
        now: Duration,
        offered: &WaitingWork,
        busy: Duration,
        slots: u32,
    ) -> bool {
        let mut ahead = busy + self.cost_ahead(offered);
        for work in self.waiting.range(offered.key()..).map(|(_, work)| work) {
            if work.late || work.priority != offered.priority {
                return false;
            }
            let latest = work.latest_start();
            let meets = now + cautious_wait(ahead / slots) <= latest;
            if meets && now + cautious_wait((ahead + offered.cost) / slots) > latest {
                return true;
            }
            ahead += work.cost;
        }
        false
    }

    fn expire(&mut self, now: Duration, late: &mut Vec<WorkId>, expired: &mut Vec<WorkId>) {
        let missed = self.waiting.values();
        let missed = missed.filter(|work| work.latest_start() < now);
        let missed: Vec<WorkId> = missed.map(WaitingWork::work).collect();
        for id in missed {
            let Some(work) = self.remove(id) else {
                continue;
            };
            if work.can_meet_deadline(now) {
                self.push(now, work.into_late());
                late.push(id);
            } else {
                expired.push(id);
            }
        }
    }

    fn update_costs(&mut self, costs: &RunCosts) {
        let changed: Vec<WorkId> = self
            .waiting
            .values()
            .filter(|work| costs.cost_of(work.kind, work.expected) != work.cost)
            .map(WaitingWork::work)
            .collect();
        for id in changed {
            if let Some(key) = self.keys.remove(&id)
                && let Some(mut work) = self.waiting.remove(&key)
            {
                work.update_cost(costs);
                let key = work.key();
                self.keys.insert(id, key);
                self.waiting.insert(key, work);
            }
        }
    }
}

pub(super) fn saturating_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
