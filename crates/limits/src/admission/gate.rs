//! The slot gate.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{CustomerName, RefusalCode};

use super::estimate::{ReturnHint, ServiceEstimate};
use super::lane::{LaneKey, LaneSet, QueuedWork};
use super::reserve::SlotReserve;
use super::{GateCommand, GateDecision, GateLoad, GateSettings, WorkClass, WorkId};

/// Work that holds a slot.
#[derive(Debug)]
struct RunningWork {
    customer: CustomerName,
    key: LaneKey,
    cost: Duration,
    since: Duration,
}

/// Admission for one backend server.
#[derive(Debug)]
pub struct SlotGate {
    settings: GateSettings,
    started_at: Duration,
    running: BTreeMap<WorkId, RunningWork>,
    lanes: LaneSet,
    late: Vec<WorkId>,
    estimate: ServiceEstimate,
    hint: ReturnHint,
    reserve: SlotReserve,
    slow_since: Option<Duration>,
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
            late: Vec::new(),
            estimate,
            hint: ReturnHint::default(),
            reserve: SlotReserve::default(),
            slow_since: None,
            overloaded: false,
            closed: false,
        }
    }

    /// Takes over how much longer the backend server stays cold, where it says so: a gate that is
    /// made for a server long at work opens all slots at once.
    #[must_use]
    pub fn warm_up_left(mut self, now: Duration, left: Option<Duration>) -> Self {
        if let Some(left) = left {
            self.started_at = now;
            self.settings.warm_up = self.settings.warm_up.min(left);
        }
        self
    }

    /// Whether new work is refused because the backend server leaves.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Offers a request. An id that is already here is refused.
    pub fn offer(&mut self, now: Duration, work: WorkId, class: WorkClass) -> GateDecision {
        if self.closed {
            return refused(RefusalCode::Draining, None);
        }
        if self.running.contains_key(&work) || self.lanes.holds(work) {
            return refused(RefusalCode::Overloaded, None);
        }
        if class.deadline <= now {
            return refused(RefusalCode::DeadlineExceeded, None);
        }
        let key = LaneKey::of(work, &class);
        let cost = self.estimate.cost(class.expected);
        if self.may_start(now, &class.customer) {
            self.start(now, class.customer, key, cost);
            return GateDecision::Run;
        }
        let wait = self.wait_for(now, &class.customer, &key, cost);
        let meets_deadline = now + wait + cost <= class.deadline;
        if !meets_deadline || !self.has_room(now, &class.customer, cost) {
            let retry_after = self.retry_after(now, cost);
            return refused(RefusalCode::Overloaded, Some(retry_after));
        }
        let queued = QueuedWork { cost };
        self.lanes.push(class.customer, key, queued);
        self.note_delay(now);
        GateDecision::Queued
    }

    /// The class of work that is of full worth only when it starts within `patience`: it is refused
    /// rather than kept waiting longer.
    #[must_use]
    pub fn start_within(
        &self,
        now: Duration,
        class: WorkClass,
        patience: Option<Duration>,
    ) -> WorkClass {
        let Some(patience) = patience else {
            return class;
        };
        let latest = now + patience + self.estimate.cost(class.expected);
        WorkClass {
            deadline: class.deadline.min(latest),
            ..class
        }
    }

    /// Frees the slot of work that ended without telling how long work takes.
    pub fn released(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        if let Some(done) = self.running.remove(&work) {
            let took = now.saturating_sub(done.since);
            self.lanes.ended(&done.customer, &done.key, done.cost, took);
        }
        self.tick(now, out);
    }

    /// Frees the slot of finished work and starts what waits.
    pub fn finished(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        if let Some(done) = self.running.remove(&work) {
            let took = now.saturating_sub(done.since);
            self.estimate.learn(took);
            self.lanes.ended(&done.customer, &done.key, done.cost, took);
        }
        self.tick(now, out);
    }

    /// Forgets work that its caller gave up. True means that it was queued and is now gone,
    /// certainly not run. Work that runs keeps its slot until [`Self::finished`], because the
    /// backend server is busy until it has taken note of the cancellation.
    pub fn cancel(&mut self, _now: Duration, work: WorkId) -> bool {
        self.lanes.remove(work)
    }

    /// Refuses queued work that can no longer meet its deadline and starts what fits.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        self.refuse_late(now, out);
        while self.has_slot(now) {
            let most = self.reserve.most(self.open_slots(now));
            let Some(next) = self.lanes.pop(most) else {
                break;
            };
            let work = next.key.work();
            self.run(now, next.customer, next.key, next.queued.cost);
            out.push(GateCommand::Start { work });
        }
        self.note_delay(now);
    }

    fn refuse_late(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        let mut late = std::mem::take(&mut self.late);
        self.lanes.remove_late(now, &mut late);
        for work in late.drain(..) {
            let cost = self.estimate.cost(Duration::ZERO);
            let retry_after = Some(self.retry_after(now, cost));
            let code = RefusalCode::Overloaded;
            out.push(GateCommand::Refuse {
                work,
                code,
                retry_after,
            });
        }
        self.late = late;
    }

    /// Refuses new work from now on; what runs or waits is finished.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Takes new work again for a backend server that started cold at `now`.
    pub fn reopen(&mut self, now: Duration) {
        self.closed = false;
        self.started_at = now;
        self.estimate = ServiceEstimate::new(self.settings.first_service_time);
    }

    /// Whether nothing runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.lanes.len() == 0
    }

    /// Whether queue delay has been above the target for some time.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// The load at present.
    #[must_use]
    pub fn load(&self, now: Duration) -> GateLoad {
        GateLoad {
            in_use: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            slots: self.open_slots(now),
            queued: u32::try_from(self.lanes.len()).unwrap_or(u32::MAX),
            closed: self.closed,
        }
    }

    /// Slots open at present: one at a cold start, then evenly more until all are.
    ///
    /// Failure: a backend server that starts cold gets a full load at once. Symptom: its first
    /// requests all time out together. Opening the slots one after the other lets each request
    /// warm it for the next.
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

    fn has_slot(&self, now: Duration) -> bool {
        self.running.len() < self.open_slots(now) as usize
    }

    /// Whether a new request of this customer runs at once: a slot is free and nobody who may have
    /// it waits.
    fn may_start(&self, now: Duration, customer: &CustomerName) -> bool {
        let most = self.reserve.most(self.open_slots(now));
        self.has_slot(now) && self.lanes.running_of(customer) < most && !self.lanes.may_pop(most)
    }

    fn start(&mut self, now: Duration, customer: CustomerName, key: LaneKey, cost: Duration) {
        self.lanes.started(&customer, &key, cost);
        self.run(now, customer, key, cost);
    }

    fn run(&mut self, now: Duration, customer: CustomerName, key: LaneKey, cost: Duration) {
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

    /// Expected wait of a new request.
    fn wait_for(
        &self,
        now: Duration,
        customer: &CustomerName,
        key: &LaneKey,
        cost: Duration,
    ) -> Duration {
        let ahead = self.lanes.cost_ahead(customer, key, cost);
        (self.running_cost(now) + ahead) / self.open_slots(now)
    }

    /// Service time left of what runs. Work beyond its expected cost counts an eighth of it.
    fn running_cost(&self, now: Duration) -> Duration {
        let left = |work: &RunningWork| {
            let elapsed = now.saturating_sub(work.since);
            work.cost.saturating_sub(elapsed).max(work.cost / 8)
        };
        self.running.values().map(left).sum()
    }

    /// Whether the queue takes one more of this customer.
    ///
    /// Failure: one customer's flood fills the queue. Symptom: others are refused though their
    /// turn would come at once. A customer may queue no more than what is still free, so that
    /// there is always room for others.
    fn has_room(&self, now: Duration, customer: &CustomerName, cost: Duration) -> bool {
        let limit = self.settings.queue as usize;
        let free = limit.saturating_sub(self.lanes.len());
        if free == 0 || self.lanes.len_of(customer) >= free {
            return false;
        }
        !self.overloaded || self.keeps_target(now, customer, cost)
    }

    /// Whether the queue with one more would still be worked off within the target delay, or the
    /// customer's part of it within its part of the delay.
    fn keeps_target(&self, now: Duration, customer: &CustomerName, cost: Duration) -> bool {
        let target = self.settings.target_delay * self.open_slots(now);
        let lanes = u32::try_from(self.lanes.waiting_count()).unwrap_or(u32::MAX);
        let own = self.lanes.cost_of(customer) + cost;
        own <= target / lanes.max(1) || self.lanes.total_cost() + cost <= target
    }

    /// Takes note of how long the queue takes. Overload is a queue that stayed above the target
    /// delay for some time; a short burst may use the whole queue. It is over when the queue has
    /// fallen to half of the target, so that it does not come and go with each request.
    fn note_delay(&mut self, now: Duration) {
        let delay = self.lanes.total_cost() / self.open_slots(now);
        if delay < self.settings.target_delay / 2 {
            self.slow_since = None;
            self.overloaded = false;
        } else if delay > self.settings.target_delay {
            let since = *self.slow_since.get_or_insert(now);
            self.overloaded |= now >= since + self.settings.overload_after;
        }
    }

    fn retry_after(&mut self, now: Duration, cost: Duration) -> Duration {
        let slots = self.open_slots(now);
        let drained = (self.running_cost(now) + self.lanes.total_cost()) / slots;
        self.hint.next(now, drained, cost / slots)
    }
}

const fn refused(code: RefusalCode, retry_after: Option<Duration>) -> GateDecision {
    GateDecision::Refused { code, retry_after }
}
