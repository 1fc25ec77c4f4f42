//! The admission interface of the deadline gate.

use std::time::Duration;

use sycamorelink_core::RefusalCode;

use crate::admission::{
    AdmissionGate, GateCommand, GateDecision, GateLoad, MAX_PERMIT_WAIT, PermitBucket, WarmUp,
    WorkClass, WorkId,
};

use super::concurrency::{LimitChange, RunEnd};
use super::gate::{DeadlineGate, RunningWork, refused};
use super::gate_limit::LearnedRuns;
use super::queue::{QueueCount, WaitingWork, run_allowance};
use super::queue_report::{QueueEvent, QueuePlace};

impl AdmissionGate for DeadlineGate {
    fn offer(
        &mut self,
        now: Duration,
        work: WorkId,
        class: WorkClass,
        out: &mut Vec<GateCommand>,
    ) -> GateDecision {
        self.offered_place = None;
        if self.closed {
            return refused(RefusalCode::Draining, None);
        }
        if self.running.contains_key(&work) || self.queue.contains(work) {
            return refused(RefusalCode::Overloaded, None);
        }
        if class.deadline <= now {
            return refused(RefusalCode::DeadlineExceeded, None);
        }
        // Afterwards either no slot is free or no work waits.
        self.tick(now, out);
        let offered = WaitingWork::new(work, &class, &self.costs);
        if self.has_capacity(now) {
            if now <= offered.latest_start() {
                self.inflow.record(now, offered.cost());
            }
            self.queue.started(now, &offered);
            self.occupy_slot(now, &offered);
            return GateDecision::Run;
        }
        if self.permit_wait(now) > MAX_PERMIT_WAIT {
            return self.refuse_overloaded(now, offered.cost());
        }
        self.enqueue(now, offered, out)
    }

    fn limit_queue_wait(
        &self,
        now: Duration,
        class: WorkClass,
        max_wait: Option<Duration>,
    ) -> WorkClass {
        let Some(max_wait) = max_wait else {
            return class;
        };
        let allowance = run_allowance(self.costs.cost_of(class.kind, class.expected));
        WorkClass {
            deadline: class.deadline.min(now + max_wait + allowance),
            ..class
        }
    }

    fn offered_place(&self) -> Option<QueuePlace> {
        self.offered_place
    }

    fn take_queue_events(&mut self) -> Vec<QueueEvent> {
        std::mem::take(&mut self.events)
    }

    fn queue_count(&self, _now: Duration) -> QueueCount {
        self.queue.count()
    }

    fn finished(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        if let Some(run) = self.running.remove(&work) {
            let service_time = now.saturating_sub(run.since);
            self.queue.ended(work, service_time);
            self.costs.record(run.kind, service_time);
            self.queue.update_costs(&self.costs);
        }
        self.count_limited_end(now, work, RunEnd::Served);
        self.tick(now, out);
    }

    fn released(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        if let Some(run) = self.running.remove(&work) {
            self.queue.ended(work, now.saturating_sub(run.since));
        }
        self.count_limited_end(now, work, RunEnd::Excluded);
        self.tick(now, out);
    }

    fn exclude_run(&mut self, now: Duration, work: WorkId) {
        self.count_limited_end(now, work, RunEnd::Excluded);
    }

    fn take_limit_change(&mut self) -> Option<LimitChange> {
        self.take_change()
    }

    fn take_learned(&mut self) -> Option<LearnedRuns> {
        self.take_learned_runs()
    }

    fn put_learned(&mut self, now: Duration, learned: LearnedRuns) {
        self.put_learned_runs(now, learned);
    }

    fn cancelled(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        self.released(now, work, out);
    }

    fn cancel(&mut self, _now: Duration, work: WorkId) -> bool {
        self.queue.remove(work).is_some()
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        self.expire(now, out);
        self.tick_limit(now);
        while self.has_capacity(now)
            && let Some(next) = self.queue.pop(now)
        {
            self.occupy_slot(now, &next);
            out.push(GateCommand::Start { work: next.work() });
        }
    }

    fn close(&mut self) {
        self.closed = true;
    }

    fn is_closed(&self) -> bool {
        self.closed
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn load(&self, now: Duration) -> GateLoad {
        let slots = self.open_slots(now);
        let in_use = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
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
            expected_wait: self.wait_in_time(now),
            mean_run: self.costs.mean(),
        }
    }

    fn set_rate_limit(&mut self, now: Duration, rate: Option<f64>) {
        match (&mut self.permits, rate) {
            (Some(permits), Some(rate)) => permits.set_rate(now, rate),
            (permits, rate) => *permits = rate.map(|rate| PermitBucket::new(now, rate)),
        }
    }

    fn take_permits(&mut self) -> Option<PermitBucket> {
        self.permits.take()
    }

    fn put_permits(&mut self, permits: PermitBucket) {
        self.permits = Some(permits);
    }

    fn running_work(&self) -> Vec<WorkId> {
        self.running.keys().copied().collect()
    }

    fn adopt_running(&mut self, work: WorkId, class: WorkClass, since: Duration) {
        let started = WaitingWork::new(work, &class, &self.costs);
        self.queue.started(since, &started);
        let run = RunningWork {
            kind: class.kind,
            expected: class.expected,
            since,
        };
        self.running.insert(work, run);
        self.count_adopted(since, work);
    }

    fn warm_up(&self) -> WarmUp {
        self.warm_up
    }

    fn set_warm_up(&mut self, warm_up: WarmUp) {
        self.warm_up = warm_up;
    }
}
