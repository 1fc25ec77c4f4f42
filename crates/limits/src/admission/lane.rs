//! Queued work by customer, scheduled by weighted fair queueing.
//!
//! Each customer with running or queued work has a lane. The virtual time of a lane is the service
//! time that the customer has used, divided by the weight of the work. The lane with the least
//! virtual time goes next, so that a customer with few requests waits for one slot to become free
//! and not behind the flood of another customer.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::CustomerName;

use super::{WorkClass, WorkId};

/// Highest priority that still adds weight.
const MAX_WEIGHT_PRIORITY: u8 = 9;

/// Order of work within a lane: higher priority first, then earlier deadline, then smaller id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    priority: Reverse<u8>,
    deadline: Duration,
    work: WorkId,
}

impl LaneKey {
    /// Returns the key of the given work.
    #[must_use]
    pub const fn of(work: WorkId, class: &WorkClass) -> Self {
        Self {
            priority: Reverse(class.priority),
            deadline: class.deadline,
            work,
        }
    }

    /// Returns the id of the work.
    #[must_use]
    pub const fn work(&self) -> WorkId {
        self.work
    }

    fn weight(&self) -> u32 {
        u32::from(self.priority.0.min(MAX_WEIGHT_PRIORITY)) + 1
    }
}

/// Work that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub struct QueuedWork {
    /// Expected service time.
    pub cost: Duration,
}

/// Work that has left the queue to run.
#[derive(Debug, Clone)]
pub struct NextWork {
    /// Customer that the work belongs to.
    pub customer: CustomerName,
    /// Position and id of the work in its lane.
    pub key: LaneKey,
    /// Expected cost of the work.
    pub queued: QueuedWork,
}

#[derive(Debug, Default)]
struct CustomerLane {
    queued: BTreeMap<LaneKey, QueuedWork>,
    cost: Duration,
    running: u32,
    virtual_time: Duration,
}

/// Lanes of one gate.
#[derive(Debug, Default)]
pub struct LaneSet {
    lanes: BTreeMap<CustomerName, CustomerLane>,
    locations: BTreeMap<WorkId, (CustomerName, LaneKey)>,
    virtual_time: Duration,
}

impl LaneSet {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether this work is queued.
    #[must_use]
    pub fn contains(&self, work: WorkId) -> bool {
        self.locations.contains_key(&work)
    }

    /// Returns the number of queued requests of one customer.
    #[must_use]
    pub fn queued_of(&self, customer: &CustomerName) -> usize {
        self.lanes.get(customer).map_or(0, |lane| lane.queued.len())
    }

    /// Returns the number of customers with queued work.
    #[must_use]
    pub fn waiting_customer_count(&self) -> usize {
        let lanes = self.lanes.values();
        lanes.filter(|lane| !lane.queued.is_empty()).count()
    }

    /// Returns the expected service time of the queued work of one customer.
    #[must_use]
    pub fn queued_cost_of(&self, customer: &CustomerName) -> Duration {
        self.lanes
            .get(customer)
            .map_or(Duration::ZERO, |lane| lane.cost)
    }

    /// Returns the expected service time of all queued work.
    #[must_use]
    pub fn total_cost(&self) -> Duration {
        self.lanes.values().map(|lane| lane.cost).sum()
    }

    /// Returns the expected service time of the work that runs before a new request of a customer.
    ///
    /// Counts the work ahead of the request in its own lane and, for every other lane, at most as
    /// much as the own lane needs up to and including the request.
    #[must_use]
    pub fn cost_ahead(&self, customer: &CustomerName, key: &LaneKey, cost: Duration) -> Duration {
        let own = self.lanes.get(customer).map_or(Duration::ZERO, |lane| {
            let ahead = lane.queued.range(..key);
            ahead.map(|(_, queued)| queued.cost).sum()
        });
        let others = self.lanes.iter().filter(|(name, _)| *name != customer);
        own + others
            .map(|(_, lane)| lane.cost.min(own + cost))
            .sum::<Duration>()
    }

    /// Adds work to the queue.
    pub fn push(&mut self, customer: CustomerName, key: LaneKey, queued: QueuedWork) {
        let min_virtual_time = self.virtual_time;
        let lane = self.lanes.entry(customer.clone()).or_default();
        lane.virtual_time = lane.virtual_time.max(min_virtual_time);
        lane.cost += queued.cost;
        lane.queued.insert(key, queued);
        self.locations.insert(key.work, (customer, key));
    }

    /// Removes queued work. Returns false if the work is not queued.
    pub fn remove(&mut self, work: WorkId) -> bool {
        let Some((customer, key)) = self.locations.remove(&work) else {
            return false;
        };
        if let Some(lane) = self.lanes.get_mut(&customer)
            && let Some(queued) = lane.queued.remove(&key)
        {
            lane.cost = lane.cost.saturating_sub(queued.cost);
        }
        self.drop_empty(&customer);
        true
    }

    /// Returns the number of running requests of one customer.
    #[must_use]
    pub fn running_of(&self, customer: &CustomerName) -> u32 {
        self.lanes.get(customer).map_or(0, |lane| lane.running)
    }

    /// Returns whether there is queued work of a customer with fewer than `max_running` running
    /// requests.
    #[must_use]
    pub fn can_pop(&self, max_running: u32) -> bool {
        let mut lanes = self.lanes.values();
        lanes.any(|lane| !lane.queued.is_empty() && lane.running < max_running)
    }

    /// Removes the next work from the queue and counts it as running.
    ///
    /// Skips customers that already have `max_running` running requests.
    pub fn pop(&mut self, max_running: u32) -> Option<NextWork> {
        let waiting = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.queued.is_empty() && lane.running < max_running);
        let (customer, _) = waiting.min_by_key(|(name, lane)| (lane.virtual_time, *name))?;
        let customer = customer.clone();
        let lane = self.lanes.get_mut(&customer)?;
        let (key, queued) = lane.queued.pop_first()?;
        lane.cost = lane.cost.saturating_sub(queued.cost);
        self.virtual_time = self.virtual_time.max(lane.virtual_time);
        self.locations.remove(&key.work);
        self.started(&customer, &key, queued.cost);
        Some(NextWork {
            customer,
            key,
            queued,
        })
    }

    /// Counts work as running and charges its expected cost to the customer.
    pub fn started(&mut self, customer: &CustomerName, key: &LaneKey, cost: Duration) {
        let min_virtual_time = self.virtual_time;
        let lane = self.lanes.entry(customer.clone()).or_default();
        lane.running += 1;
        lane.virtual_time = lane.virtual_time.max(min_virtual_time) + cost / key.weight();
    }

    /// Counts the end of work and corrects the charge to the actual service time.
    ///
    /// The correction does not move a lane below the common virtual time. Otherwise the lane would
    /// get ahead of a customer that has just arrived.
    pub fn ended(
        &mut self,
        customer: &CustomerName,
        key: &LaneKey,
        charged: Duration,
        elapsed: Duration,
    ) {
        let min_virtual_time = self.virtual_time;
        if let Some(lane) = self.lanes.get_mut(customer) {
            lane.running = lane.running.saturating_sub(1);
            let time = lane.virtual_time + elapsed / key.weight();
            let corrected = time.saturating_sub(charged / key.weight());
            lane.virtual_time = corrected.max(min_virtual_time.min(lane.virtual_time));
        }
        self.drop_empty(customer);
    }

    fn drop_empty(&mut self, customer: &CustomerName) {
        let lane = self.lanes.get(customer);
        if lane.is_some_and(|lane| lane.queued.is_empty() && lane.running == 0) {
            self.lanes.remove(customer);
        }
    }

    /// Removes queued work that can no longer meet its deadline and appends its ids to `expired`.
    pub fn remove_expired(&mut self, now: Duration, expired: &mut Vec<WorkId>) {
        for lane in self.lanes.values() {
            let queued = lane.queued.iter();
            let missed = queued.filter(|(key, queued)| now + queued.cost > key.deadline);
            expired.extend(missed.map(|(key, _)| key.work));
        }
        for work in expired.iter() {
            self.remove(*work);
        }
    }
}
