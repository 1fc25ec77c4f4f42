//! Border between the deadline gate and the queue of its waiting work.

use std::fmt::Debug;
use std::time::Duration;

use crate::admission::WorkId;

use super::queue::{QueueCount, WaitingWork};
use super::queue_report::QueueEvent;
use super::run_cost::RunCosts;

/// Work of one backend server that waits for a slot, in the order in which it starts.
///
/// All times are durations since the start of the node. Costs are expected run times, summed over the
/// requests that they belong to.
pub trait WaitingQueue: Debug + Send {
    /// Returns the number of waiting requests.
    fn len(&self) -> usize;

    /// Returns whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether this work waits.
    fn contains(&self, work: WorkId) -> bool;

    /// Returns the number of requests in time and late.
    fn count(&self) -> QueueCount;

    /// Adds work. The caller makes room for it first.
    fn push(&mut self, now: Duration, work: WaitingWork);

    /// Removes work; `None` if it does not wait.
    fn remove(&mut self, work: WorkId) -> Option<WaitingWork>;

    /// Removes the work that starts next and counts it as running.
    fn pop(&mut self, now: Duration) -> Option<WaitingWork>;

    /// Counts work as running that did not wait.
    fn started(&mut self, _now: Duration, _work: &WaitingWork) {}

    /// Counts the end of running work after `service_time`.
    fn ended(&mut self, _work: WorkId, _service_time: Duration) {}

    /// Removes work from the full queue for offered work and returns why; `None` if the offered work
    /// has to be refused instead.
    fn make_room(&mut self, offered: &WaitingWork) -> Option<QueueEvent>;

    /// Removes work of accounts above their share so that the expected wait of offered work is at most
    /// `max_wait`, and returns it. Empty if that is not possible or not justified. `busy` is the
    /// remaining time of the current runs, summed over the slots.
    fn make_way(
        &mut self,
        _now: Duration,
        _offered: &WaitingWork,
        _max_wait: Duration,
        _busy: Duration,
        _slots: u32,
    ) -> Vec<WorkId> {
        Vec::new()
    }

    /// Returns the number of requests that start before offered work.
    fn count_ahead(&self, offered: &WaitingWork) -> u32;

    /// Returns the number of requests of the same account that start before offered work; `None` if
    /// the queue does not distinguish accounts.
    fn count_ahead_in_lane(&self, _offered: &WaitingWork) -> Option<u32> {
        None
    }

    /// Returns the cost of the requests that start before offered work.
    fn cost_ahead(&self, offered: &WaitingWork) -> Duration;

    /// Returns the expected wait of offered work that is in time. `busy` is the remaining time of the
    /// current runs, summed over the slots.
    fn expected_wait(
        &self,
        _now: Duration,
        offered: &WaitingWork,
        busy: Duration,
        slots: u32,
    ) -> Duration {
        (busy + self.cost_ahead(offered)) / slots
    }

    /// Returns the cost of the requests that start before offered work that is late. The flag tells
    /// whether offers in time that arrive later start before it as well.
    fn late_cost_ahead(&self, _offered: &WaitingWork) -> (Duration, bool) {
        (self.total_cost(), true)
    }

    /// Returns the cost of all waiting requests.
    fn total_cost(&self) -> Duration;

    /// Returns the cost of the waiting requests that are in time.
    fn in_time_cost(&self) -> Duration;

    /// Returns whether offered work would make waiting work miss its objective, which that work would
    /// meet without it.
    ///
    /// `busy` is the remaining time of the current runs, summed over the slots. Without this check,
    /// offers with short objectives would displace accepted work with longer ones, which would then
    /// be late although a slot was counted for it.
    fn would_delay(&self, now: Duration, offered: &WaitingWork, busy: Duration, slots: u32)
    -> bool;

    /// Marks work that can no longer meet its objective as late, and removes late work that can no
    /// longer meet its deadline. Appends the ids of both.
    fn expire(&mut self, now: Duration, late: &mut Vec<WorkId>, expired: &mut Vec<WorkId>);

    /// Updates the expected run times after a run ended, and with them the order.
    ///
    /// Guards against a queue that is judged for seconds by the run time assumed before the first
    /// run ended.
    fn update_costs(&mut self, costs: &RunCosts);
}
