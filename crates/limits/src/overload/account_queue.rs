//! Waiting work of a deadline gate whose callers belong to client accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::WorkId;

use super::fair::{FairQueue, QueueEntry};
use super::inflow::InflowWindow;
use super::queue::{QueueCount, WaitingWork, cautious_wait, saturating_u32};
use super::queue_report::QueueEvent;
use super::run_cost::RunCosts;
use super::waiting_queue::WaitingQueue;

/// Time over which the inflow of accounts within their share is measured.
const OVERTAKING_WINDOW: Duration = Duration::from_secs(4);
/// Expected run times by which an account may exceed its share without waiting for accounts within
/// theirs. Its share varies by as much between two starts.
const LEAD_ALLOWANCE: u32 = 2;
/// Smallest fraction of the slots that is assumed to be left to accounts above their share. It bounds
/// their expected wait.
const MIN_SHARE_LEFT: f64 = 0.02;

/// Waiting work that is shared fairly among client accounts.
///
/// A [`FairQueue`] decides on the order; the properties that the gate needs are kept beside it.
#[derive(Debug)]
pub struct AccountQueue {
    fair: FairQueue,
    waiting: BTreeMap<WorkId, WaitingWork>,
    /// Inflow of accounts within their share. Their work overtakes the queued work of other accounts.
    overtaking: InflowWindow,
}

impl AccountQueue {
    /// Creates a queue for at most `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            fair: FairQueue::new(capacity),
            waiting: BTreeMap::new(),
            overtaking: InflowWindow::new(OVERTAKING_WINDOW),
        }
    }

    fn record_inflow(&mut self, now: Duration, entry: &QueueEntry) {
        if !self.is_empty() && self.fair.lead(entry).is_zero() {
            self.overtaking.record(now, entry.cost);
        }
    }

    /// Returns the fraction of the slots that other accounts leave to an offer and the work ahead of it.
    fn share_left(&self, now: Duration, entry: &QueueEntry, slots: u32) -> f64 {
        if self.is_within_share(entry) {
            return 1.0;
        }
        self.overtaking.share_left(now, slots).max(MIN_SHARE_LEFT)
    }

    /// Returns whether an offer's account has used no more than its share, or so little more that
    /// its work starts soon.
    fn is_within_share(&self, entry: &QueueEntry) -> bool {
        self.fair.lead(entry) <= entry.cost * LEAD_ALLOWANCE
    }
}

impl WaitingQueue for AccountQueue {
    fn len(&self) -> usize {
        self.waiting.len()
    }

    fn contains(&self, work: WorkId) -> bool {
        self.waiting.contains_key(&work)
    }

    fn count(&self) -> QueueCount {
        let late = self.waiting.values().filter(|work| work.is_late()).count();
        QueueCount {
            in_time: saturating_u32(self.len() - late),
            late: saturating_u32(late),
        }
    }

    fn push(&mut self, now: Duration, work: WaitingWork) {
        let entry = work.entry();
        self.record_inflow(now, &entry);
        if self.fair.push(now, entry) {
            self.waiting.insert(work.work(), work);
        }
    }

    fn remove(&mut self, work: WorkId) -> Option<WaitingWork> {
        self.fair.remove(work)?;
        self.waiting.remove(&work)
    }

    fn pop(&mut self, now: Duration) -> Option<WaitingWork> {
        let entry = self.fair.pop(now)?;
        self.waiting.remove(&entry.work)
    }

    fn started(&mut self, _now: Duration, work: &WaitingWork) {
        self.fair.started(&work.entry());
    }

    fn ended(&mut self, work: WorkId, service_time: Duration) {
        self.fair.ended(work, service_time);
    }

    fn make_room(&mut self, offered: &WaitingWork) -> Option<QueueEvent> {
        let work = self.fair.displaced_by(&offered.entry())?;
        let removed = self.remove(work)?;
        let by_share =
            removed.priority() == offered.priority() && removed.account() != offered.account();
        Some(if by_share {
            QueueEvent::DisplacedByShare(work)
        } else {
            QueueEvent::Displaced(work)
        })
    }

    fn make_way(
        &mut self,
        now: Duration,
        offered: &WaitingWork,
        max_wait: Duration,
        busy: Duration,
        slots: u32,
    ) -> Vec<WorkId> {
        let entry = offered.entry();
        let share = self.share_left(now, &entry, slots);
        let max_ahead = max_wait.mul_f64(share) * slots;
        let Some(max_ahead) = max_ahead.checked_sub(busy) else {
            return Vec::new();
        };
        let displaced = self.fair.displaced_for(&entry, max_ahead);
        for work in &displaced {
            self.remove(*work);
        }
        displaced
    }

    /// Returns an estimate from the cost ahead, since the order among lanes changes with each start.
    fn count_ahead(&self, offered: &WaitingWork) -> u32 {
        let total = self.total_cost().as_millis();
        let ahead = self.cost_ahead(offered).as_millis();
        let count = ahead * self.len() as u128 / total.max(1);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn count_ahead_in_lane(&self, offered: &WaitingWork) -> Option<u32> {
        Some(saturating_u32(
            self.fair.count_ahead_in_lane(&offered.entry()),
        ))
    }

    fn cost_ahead(&self, offered: &WaitingWork) -> Duration {
        self.fair.cost_ahead(&offered.entry())
    }

    /// Work of an account above its share also waits for the work of other accounts that arrives until
    /// then. Without it, half of the work of such accounts that was accepted as in time missed its
    /// objective.
    fn expected_wait(
        &self,
        now: Duration,
        offered: &WaitingWork,
        busy: Duration,
        slots: u32,
    ) -> Duration {
        let entry = offered.entry();
        let wait = (busy + self.fair.cost_ahead(&entry)) / slots;
        wait.div_f64(self.share_left(now, &entry, slots))
    }

    /// Late work of an account within its share starts before work in time of accounts above theirs.
    /// Other late work waits as it does without accounts.
    fn late_cost_ahead(&self, offered: &WaitingWork) -> (Duration, bool) {
        let entry = offered.entry();
        if self.is_within_share(&entry) {
            return (self.fair.cost_ahead(&entry), false);
        }
        (self.total_cost(), true)
    }

    fn total_cost(&self) -> Duration {
        self.waiting.values().map(WaitingWork::cost).sum()
    }

    fn in_time_cost(&self) -> Duration {
        let in_time = self.waiting.values().filter(|work| !work.is_late());
        in_time.map(WaitingWork::cost).sum()
    }

    /// Considers the waiting work of the same account. Work of other accounts is delayed only if they
    /// have used more, which is the purpose of the lanes.
    fn would_delay(
        &self,
        now: Duration,
        offered: &WaitingWork,
        busy: Duration,
        slots: u32,
    ) -> bool {
        let meets = |ahead: Duration, latest: Duration| {
            now + cautious_wait((busy + ahead) / slots) <= latest
        };
        let entry = offered.entry();
        // Late work has no objective to miss.
        let behind = self.fair.costs_behind(&entry);
        let mut behind = behind.map_while(|(work, ahead)| Some((ahead, work.objective_start?)));
        behind.any(|(ahead, latest)| meets(ahead, latest) && !meets(ahead + entry.cost, latest))
    }

    fn expire(&mut self, now: Duration, late: &mut Vec<WorkId>, expired: &mut Vec<WorkId>) {
        let missed = self.waiting.values();
        let missed = missed.filter(|work| !work.is_late() && work.latest_start() < now);
        let missed: Vec<WorkId> = missed.map(WaitingWork::work).collect();
        let mut removed = Vec::new();
        self.fair.expire(now, &mut removed);
        for work in &removed {
            self.waiting.remove(work);
        }
        for id in missed {
            if let Some(work) = self.waiting.remove(&id) {
                self.waiting.insert(id, work.into_late());
                late.push(id);
            }
        }
        expired.append(&mut removed);
    }

    fn update_costs(&mut self, costs: &RunCosts) {
        for work in self.waiting.values_mut() {
            if work.update_cost(costs) {
                self.fair.update(work.entry());
            }
        }
    }
}

impl WaitingWork {
    fn entry(&self) -> QueueEntry {
        QueueEntry {
            work: self.work(),
            account: self.account().cloned(),
            priority: self.priority(),
            objective_start: (!self.is_late()).then(|| self.latest_start()),
            deadline_start: self.deadline_start(),
            cost: self.cost(),
        }
    }
}
