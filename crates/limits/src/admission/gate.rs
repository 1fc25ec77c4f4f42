//! Slot gate: admission control in front of one backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{CustomerName, RefusalCode};

use super::estimate::{RetryPacer, ServiceEstimate};
use super::interface::AdmissionGate;
use super::lane::{LaneKey, LaneSet, QueuedWork};
use super::permits::PermitBucket;
use super::reserve::SlotReserve;
use super::{GateCommand, GateDecision, GateLoad, GateSettings, WarmUp, WorkClass, WorkId};

/// Longest wait for a permit. Another server can usually start the work within some milliseconds.
pub(crate) const MAX_PERMIT_WAIT: Duration = Duration::from_millis(100);

/// Work that holds a slot.
#[derive(Debug)]
struct RunningWork {
    customer: CustomerName,
    key: LaneKey,
    cost: Duration,
    since: Duration,
}

/// Admission control for one backend server.
#[derive(Debug)]
pub struct SlotGate {
    settings: GateSettings,
    started_at: Duration,
    running: BTreeMap<WorkId, RunningWork>,
    lanes: LaneSet,
    expired: Vec<WorkId>,
    estimate: ServiceEstimate,
    pacer: RetryPacer,
    /// Permits to start work; `None` if the backend server names no rate limit.
    permits: Option<PermitBucket>,
    reserve: SlotReserve,
    above_target_since: Option<Duration>,
    overloaded: bool,
    closed: bool,
}

impl SlotGate {
    /// Creates a gate whose backend server started cold at `now`.
    #[must_use]
    pub fn new(mut settings: GateSettings, now: Duration) -> Self {
        settings.slots = settings.slots.max(1);
        let estimate = ServiceEstimate::new(settings.first_service_time);
        Self {
            settings,
            started_at: now,
            running: BTreeMap::new(),
            lanes: LaneSet::default(),
            expired: Vec::new(),
            estimate,
            pacer: RetryPacer::default(),
            permits: None,
            reserve: SlotReserve::default(),
            above_target_since: None,
            overloaded: false,
            closed: false,
        }
    }

    /// Shortens the warm-up to the remaining time that the backend server reports, if any.
    ///
    /// A gate that is created for a server that has been running for a long time opens all slots at
    /// once.
    #[must_use]
    pub fn warm_up_left(mut self, now: Duration, left: Option<Duration>) -> Self {
        if let Some(left) = left {
            self.started_at = now;
            self.settings.warm_up = self.settings.warm_up.min(left);
        }
        self
    }

    /// Sets the number of requests per second that the backend server gets at most; `None` for no
    /// limit.
    pub fn set_rate_limit(&mut self, now: Duration, rate: Option<f64>) {
        match (&mut self.permits, rate) {
            (Some(permits), Some(rate)) => permits.set_rate(now, rate),
            (permits, rate) => *permits = rate.map(|rate| PermitBucket::new(now, rate)),
        }
    }

    /// Removes the rate limit and returns its permits.
    pub fn take_permits(&mut self) -> Option<PermitBucket> {
        self.permits.take()
    }

    /// Sets a rate limit with the permits that are left of it.
    pub fn put_permits(&mut self, permits: PermitBucket) {
        self.permits = Some(permits);
    }

    /// Returns whether new work is refused because the backend server is shutting down.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Decides whether a request runs, waits or is refused. Refuses an id that already runs or
    /// waits.
    pub fn offer(&mut self, now: Duration, work: WorkId, class: WorkClass) -> GateDecision {
        if self.closed {
            return refused(RefusalCode::Draining, None);
        }
        if self.running.contains_key(&work) || self.lanes.contains(work) {
            return refused(RefusalCode::Overloaded, None);
        }
        if class.deadline <= now {
            return refused(RefusalCode::DeadlineExceeded, None);
        }
        let key = LaneKey::of(work, &class);
        let cost = self.estimate.cost(class.expected);
        if self.can_start(now, &class.customer) {
            self.start_now(now, class.customer, key, cost);
            return GateDecision::Run;
        }
        if self.permit_wait(now) > MAX_PERMIT_WAIT {
            let retry_after = self.retry_after(now, cost);
            return refused(RefusalCode::Overloaded, Some(retry_after));
        }
        let wait = self.expected_wait(now, &class.customer, &key, cost);
        let meets_deadline = now + wait + cost <= class.deadline;
        if !meets_deadline || !self.can_queue(now, &class.customer, cost) {
            let retry_after = self.retry_after(now, cost);
            return refused(RefusalCode::Overloaded, Some(retry_after));
        }
        let queued = QueuedWork { cost };
        self.lanes.push(class.customer, key, queued);
        self.update_overload(now);
        GateDecision::Queued
    }

    /// Returns `class` with its deadline moved up so that the work starts within `max_wait`.
    ///
    /// For work that loses its value if it starts later: the gate refuses it instead of queueing it
    /// for longer.
    #[must_use]
    pub fn limit_queue_wait(
        &self,
        now: Duration,
        class: WorkClass,
        max_wait: Option<Duration>,
    ) -> WorkClass {
        let Some(max_wait) = max_wait else {
            return class;
        };
        let latest = now + max_wait + self.estimate.cost(class.expected);
        WorkClass {
            deadline: class.deadline.min(latest),
            ..class
        }
    }

    /// Frees the slot of work that ended without a valid service time sample.
    pub fn released(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        if let Some(finished_work) = self.running.remove(&work) {
            let elapsed = now.saturating_sub(finished_work.since);
            self.lanes.ended(
                &finished_work.customer,
                &finished_work.key,
                finished_work.cost,
                elapsed,
            );
        }
        self.tick(now, out);
    }

    /// Frees the slot of finished work, records its service time and starts queued work.
    pub fn finished(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        if let Some(finished_work) = self.running.remove(&work) {
            let elapsed = now.saturating_sub(finished_work.since);
            self.estimate.record(elapsed);
            self.lanes.ended(
                &finished_work.customer,
                &finished_work.key,
                finished_work.cost,
                elapsed,
            );
        }
        self.tick(now, out);
    }

    /// Removes queued work that its caller cancelled.
    ///
    /// Returns true if the work was queued, in which case it has not run. Running work keeps its
    /// slot until [`Self::finished`], because the backend server stays busy until it has processed
    /// the cancellation.
    pub fn cancel(&mut self, _now: Duration, work: WorkId) -> bool {
        self.lanes.remove(work)
    }

    /// Refuses queued work that can no longer meet its deadline, and starts work in free slots.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        self.refuse_expired(now, out);
        while self.has_capacity(now) {
            let max_running = self.reserve.max_running(self.open_slots(now));
            let Some(next) = self.lanes.pop(max_running) else {
                break;
            };
            let work = next.key.work();
            self.occupy_slot(now, next.customer, next.key, next.queued.cost);
            out.push(GateCommand::Start { work });
        }
        self.update_overload(now);
    }

    fn refuse_expired(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        let mut expired = std::mem::take(&mut self.expired);
        self.lanes.remove_expired(now, &mut expired);
        for work in expired.drain(..) {
            let cost = self.estimate.cost(Duration::ZERO);
            let retry_after = Some(self.retry_after(now, cost));
            let code = RefusalCode::Overloaded;
            out.push(GateCommand::Refuse {
                work,
                code,
                retry_after,
            });
        }
        self.expired = expired;
    }

    /// Refuses new work from now on. Running and queued work is still finished.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Accepts new work again, for a backend server that started cold at `now`.
    pub fn reopen(&mut self, now: Duration) {
        self.closed = false;
        self.started_at = now;
        self.estimate = ServiceEstimate::new(self.settings.first_service_time);
    }

    /// Returns whether no work runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.lanes.len() == 0
    }

    /// Returns whether the queue delay has been above the target for `overload_after`.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns the present load.
    #[must_use]
    pub fn load(&self, now: Duration) -> GateLoad {
        let slots = self.open_slots(now);
        let in_use = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let queued = u32::try_from(self.lanes.len()).unwrap_or(u32::MAX);
        let permit_wait = self.permit_wait(now);
        let refuses_work = permit_wait > MAX_PERMIT_WAIT;
        GateLoad {
            in_use: if refuses_work {
                in_use.max(slots)
            } else {
                in_use
            },
            slots,
            queued: queued.max(self.runs_within(permit_wait, slots)),
            closed: self.closed,
            expected_wait: self.wait_of_next(now),
            mean_run: self.estimate.cost(Duration::ZERO),
        }
    }

    /// Returns the expected wait of the next request behind all queued work; zero while a slot is
    /// free.
    fn wait_of_next(&self, now: Duration) -> Duration {
        if self.has_capacity(now) && self.lanes.len() == 0 {
            return Duration::ZERO;
        }
        let work_left = self.remaining_cost(now) + self.lanes.total_cost();
        (work_left / self.open_slots(now)).max(self.permit_wait(now))
    }

    /// Returns the number of runs that this many slots would complete within a time, up to one for
    /// each slot. Peers compare servers by their queues, so the wait for a permit is reported as the
    /// queue that would take as long. A longer one would keep peers away after the limit has ended.
    fn runs_within(&self, time: Duration, slots: u32) -> u32 {
        let cost = self.estimate.cost(Duration::ZERO).as_millis().max(1);
        let runs = time.as_millis() * u128::from(slots) / cost;
        u32::try_from(runs).unwrap_or(u32::MAX).min(slots)
    }

    /// Returns the time until a new request gets a permit; zero without a rate limit.
    fn permit_wait(&self, now: Duration) -> Duration {
        let permits = self.permits.as_ref();
        permits.map_or(Duration::ZERO, |permits| {
            permits.wait(now, self.lanes.len())
        })
    }

    /// Returns the number of open slots: one at a cold start, then linearly more up to all slots.
    ///
    /// With all slots open at once, the first requests to a cold backend server would all time out
    /// together. Opening the slots gradually lets each request warm the server up for the next.
    fn open_slots(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.started_at);
        let slots = self.settings.slots;
        if age >= self.settings.warm_up {
            return slots;
        }
        let later = u128::from(slots.saturating_sub(1)) * age.as_micros();
        let opened = later / self.settings.warm_up.as_micros().max(1);
        1 + u32::try_from(opened).unwrap_or(slots)
    }

    /// Returns whether another request may start: a slot and, under a rate limit, a permit is free.
    fn has_capacity(&self, now: Duration) -> bool {
        let permits = self.permits.as_ref();
        self.running.len() < self.open_slots(now) as usize
            && permits.is_none_or(|permits| permits.is_available(now))
    }

    /// Returns whether a new request of this customer may run at once: a slot is free and no queued
    /// work is eligible for it.
    fn can_start(&self, now: Duration, customer: &CustomerName) -> bool {
        let max_running = self.reserve.max_running(self.open_slots(now));
        self.has_capacity(now)
            && self.lanes.running_of(customer) < max_running
            && !self.lanes.can_pop(max_running)
    }

    fn start_now(&mut self, now: Duration, customer: CustomerName, key: LaneKey, cost: Duration) {
        self.lanes.started(&customer, &key, cost);
        self.occupy_slot(now, customer, key, cost);
    }

    fn occupy_slot(&mut self, now: Duration, customer: CustomerName, key: LaneKey, cost: Duration) {
        if let Some(permits) = &mut self.permits {
            permits.withdraw(now);
        }
        let running = self.lanes.running_of(&customer);
        let slots = self.open_slots(now);
        self.reserve.started(now, &customer, running, slots);
        let work = RunningWork {
            customer,
            key,
            cost,
            since: now,
        };
        self.running.insert(key.work(), work);
    }

    /// Returns the expected queueing time of a new request.
    fn expected_wait(
        &self,
        now: Duration,
        customer: &CustomerName,
        key: &LaneKey,
        cost: Duration,
    ) -> Duration {
        let ahead = self.lanes.cost_ahead(customer, key, cost);
        let slot_wait = (self.remaining_cost(now) + ahead) / self.open_slots(now);
        slot_wait.max(self.permit_wait(now))
    }

    /// Returns the remaining service time of all running work. Work that exceeds its expected cost
    /// counts as one eighth of that cost.
    fn remaining_cost(&self, now: Duration) -> Duration {
        let left = |work: &RunningWork| {
            let elapsed = now.saturating_sub(work.since);
            work.cost.saturating_sub(elapsed).max(work.cost / 8)
        };
        self.running.values().map(left).sum()
    }

    /// Returns whether the queue accepts one more request of this customer.
    ///
    /// A customer may queue no more requests than there are free places, so that a flood from one
    /// customer cannot fill the queue and get the requests of others refused.
    fn can_queue(&self, now: Duration, customer: &CustomerName, cost: Duration) -> bool {
        let limit = self.settings.queue as usize;
        let free = limit.saturating_sub(self.lanes.len());
        if free == 0 || self.lanes.queued_of(customer) >= free {
            return false;
        }
        !self.overloaded || self.meets_target_delay(now, customer, cost)
    }

    /// Returns whether the queue with one more request drains within the target delay, or the
    /// customer's part of the queue within its part of that delay.
    fn meets_target_delay(&self, now: Duration, customer: &CustomerName, cost: Duration) -> bool {
        let target = self.settings.target_delay * self.open_slots(now);
        let lanes = u32::try_from(self.lanes.waiting_customer_count()).unwrap_or(u32::MAX);
        let own = self.lanes.queued_cost_of(customer) + cost;
        own <= target / lanes.max(1) || self.lanes.total_cost() + cost <= target
    }

    /// Updates the overload state from the present queue delay.
    ///
    /// Overload begins when the delay has been above the target for `overload_after`, so that a
    /// short burst may use the whole queue. Overload ends when the delay falls below half of the
    /// target, so that the state does not flap with each request.
    fn update_overload(&mut self, now: Duration) {
        let delay = self.lanes.total_cost() / self.open_slots(now);
        if delay < self.settings.target_delay / 2 {
            self.above_target_since = None;
            self.overloaded = false;
        } else if delay > self.settings.target_delay {
            let since = *self.above_target_since.get_or_insert(now);
            self.overloaded |= now >= since + self.settings.overload_after;
        }
    }

    fn retry_after(&mut self, now: Duration, cost: Duration) -> Duration {
        let slots = self.open_slots(now);
        let drain_time = (self.remaining_cost(now) + self.lanes.total_cost()) / slots;
        if self.permits.is_some() {
            // Most requests that a limited server refuses run elsewhere and do not come back, so
            // spacing the hints would put them far behind the next permit.
            return drain_time.max(self.permit_wait(now));
        }
        self.pacer.next(now, drain_time, cost / slots)
    }
}

const fn refused(code: RefusalCode, retry_after: Option<Duration>) -> GateDecision {
    GateDecision::Refused { code, retry_after }
}

impl AdmissionGate for SlotGate {
    fn offer(
        &mut self,
        now: Duration,
        work: WorkId,
        class: WorkClass,
        _out: &mut Vec<GateCommand>,
    ) -> GateDecision {
        Self::offer(self, now, work, class)
    }

    fn limit_queue_wait(
        &self,
        now: Duration,
        class: WorkClass,
        max_wait: Option<Duration>,
    ) -> WorkClass {
        Self::limit_queue_wait(self, now, class, max_wait)
    }

    fn finished(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        Self::finished(self, now, work, out);
    }

    fn released(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        Self::released(self, now, work, out);
    }

    fn cancel(&mut self, now: Duration, work: WorkId) -> bool {
        Self::cancel(self, now, work)
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        Self::tick(self, now, out);
    }

    fn close(&mut self) {
        Self::close(self);
    }

    fn is_closed(&self) -> bool {
        Self::is_closed(self)
    }

    fn is_idle(&self) -> bool {
        Self::is_idle(self)
    }

    fn load(&self, now: Duration) -> GateLoad {
        Self::load(self, now)
    }

    fn set_rate_limit(&mut self, now: Duration, rate: Option<f64>) {
        Self::set_rate_limit(self, now, rate);
    }

    fn take_permits(&mut self) -> Option<PermitBucket> {
        Self::take_permits(self)
    }

    fn put_permits(&mut self, permits: PermitBucket) {
        Self::put_permits(self, permits);
    }

    fn running_work(&self) -> Vec<WorkId> {
        self.running.keys().copied().collect()
    }

    fn adopt_running(&mut self, work: WorkId, class: WorkClass, since: Duration) {
        let key = LaneKey::of(work, &class);
        let cost = self.estimate.cost(class.expected);
        self.lanes.started(&class.customer, &key, cost);
        let running = RunningWork {
            customer: class.customer,
            key,
            cost,
            since,
        };
        self.running.insert(work, running);
    }

    fn warm_up(&self) -> WarmUp {
        WarmUp {
            since: self.started_at,
            length: self.settings.warm_up,
        }
    }

    fn set_warm_up(&mut self, warm_up: WarmUp) {
        self.started_at = warm_up.since;
        self.settings.warm_up = warm_up.length;
    }
}
