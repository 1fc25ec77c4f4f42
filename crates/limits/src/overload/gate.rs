//! Deadline gate: admission control in front of one backend server whose callers can wait.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::RefusalCode;

use crate::admission::{GateCommand, GateDecision, PermitBucket, RetryPacer, WarmUp, WorkId};

use super::concurrency::ConcurrencyLimit;
use super::gate_builder::DeadlineGateBuilder;
use super::inflow::InflowWindow;
use super::queue::{WaitingWork, cautious_wait};
use super::queue_report::{QueueEvent, QueuePlace};
use super::run_cost::RunCosts;
use super::waiting_queue::WaitingQueue;

/// Work that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningWork {
    pub(super) kind: u64,
    pub(super) expected: Duration,
    pub(super) since: Duration,
}

/// Admission control for one backend server, with a queue ordered by objectives and deadlines.
#[derive(Debug)]
pub struct DeadlineGate {
    pub(super) slots: u32,
    pub(super) queue_limit: usize,
    pub(super) warm_up: WarmUp,
    pub(super) running: BTreeMap<WorkId, RunningWork>,
    pub(super) queue: Box<dyn WaitingQueue>,
    pub(super) costs: RunCosts,
    /// Learned limit on the open slots; `None` if it is switched off.
    pub(super) concurrency: Option<ConcurrencyLimit>,
    /// Inflow of offers that would meet their objective at a free slot.
    ///
    /// Refused offers count as well. Behind a full queue few offers are accepted as in time, and
    /// late work that counted on the remaining slots was mostly refused after seconds of waiting.
    pub(super) inflow: InflowWindow,
    pacer: RetryPacer,
    /// Permits to start work; `None` if the backend server names no rate limit.
    pub(super) permits: Option<PermitBucket>,
    pub(super) offered_place: Option<QueuePlace>,
    pub(super) events: Vec<QueueEvent>,
    pub(super) closed: bool,
}

impl DeadlineGate {
    /// Returns a builder for a backend server that started cold at `now`.
    #[must_use]
    pub fn builder(now: Duration) -> DeadlineGateBuilder {
        DeadlineGateBuilder::new(now)
    }

    pub(super) fn new(builder: &DeadlineGateBuilder) -> Self {
        Self {
            slots: builder.slots,
            queue_limit: builder.queue as usize,
            warm_up: builder.warm_up,
            running: BTreeMap::new(),
            queue: builder.waiting_queue(),
            costs: RunCosts::new(builder.first_service_time),
            concurrency: builder.new_concurrency_limit(),
            inflow: InflowWindow::default(),
            pacer: RetryPacer::default(),
            permits: None,
            offered_place: None,
            events: Vec::new(),
            closed: false,
        }
    }

    pub(super) fn open_slots(&self, now: Duration) -> u32 {
        self.limited_slots(self.warm_up.open_slots(now, self.slots))
    }

    /// Returns whether another request may start: a slot and, under a rate limit, a permit is free.
    pub(super) fn has_capacity(&self, now: Duration) -> bool {
        let permits = self.permits.as_ref();
        self.running.len() < self.open_slots(now) as usize
            && permits.is_none_or(|permits| permits.is_available(now))
    }

    /// Returns the time until a new request gets a permit; zero without a rate limit.
    pub(super) fn permit_wait(&self, now: Duration) -> Duration {
        let permits = self.permits.as_ref();
        permits.map_or(Duration::ZERO, |permits| {
            permits.wait(now, self.queue.len())
        })
    }

    pub(super) fn occupy_slot(&mut self, now: Duration, waiting: &WaitingWork) {
        if let Some(permits) = &mut self.permits {
            permits.withdraw(now);
        }
        let running = RunningWork {
            kind: waiting.kind(),
            expected: waiting.expected(),
            since: now,
        };
        self.running.insert(waiting.work(), running);
        self.count_limited_start(now, waiting.work(), waiting.kind());
    }

    /// Decides on work for which no slot is free.
    pub(super) fn enqueue(
        &mut self,
        now: Duration,
        offered: WaitingWork,
        out: &mut Vec<GateCommand>,
    ) -> GateDecision {
        let cost = offered.cost();
        let counts_as_inflow = now <= offered.latest_start();
        let placed = self.place(now, offered, out);
        if counts_as_inflow {
            self.inflow.record(now, cost);
        }
        let Some(offered) = placed else {
            return self.refuse_overloaded(now, cost);
        };
        if self.queue.len() >= self.queue_limit {
            let Some(event) = self.queue.make_room(&offered) else {
                return self.refuse_overloaded(now, cost);
            };
            self.events.push(event);
            self.refuse_queued(now, event.work(), out);
        }
        self.queue.push(now, offered);
        GateDecision::Queued
    }

    /// Returns the work as it can wait, in time or late; `None` if it can be served neither way.
    fn place(
        &mut self,
        now: Duration,
        offered: WaitingWork,
        out: &mut Vec<GateCommand>,
    ) -> Option<WaitingWork> {
        let slots = self.open_slots(now);
        let busy = self.remaining_cost(now);
        self.make_way(now, &offered, busy, out);
        let wait = self.queue.expected_wait(now, &offered, busy, slots);
        let wait = wait.max(self.permit_wait(now));
        let in_time = now + cautious_wait(wait) <= offered.latest_start()
            && !self.queue.would_delay(now, &offered, busy, slots);
        if in_time {
            self.offered_place = Some(QueuePlace {
                position: self.queue.count_ahead(&offered),
                expected_wait: Some(wait),
                in_time,
                in_lane: self.queue.count_ahead_in_lane(&offered),
            });
            return Some(offered);
        }
        let offered = offered.into_late();
        let (ahead, yields) = self.queue.late_cost_ahead(&offered);
        let wait = (busy + ahead) / slots;
        let wait = if yields {
            divide(wait, self.inflow.share_left(now, slots))
        } else {
            Some(wait)
        };
        let wait = wait.map(|wait| wait.max(self.permit_wait(now)));
        self.offered_place = Some(QueuePlace {
            position: self.queue.count_ahead(&offered),
            expected_wait: wait,
            in_time,
            in_lane: self.queue.count_ahead_in_lane(&offered),
        });
        let start = wait?.checked_add(now)?;
        (start <= offered.latest_start()).then_some(offered)
    }

    /// Returns the expected wait of a new request behind all work that is in time; zero while a slot
    /// is free.
    pub(super) fn wait_in_time(&self, now: Duration) -> Duration {
        if self.has_capacity(now) && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let work_left = self.remaining_cost(now) + self.queue.in_time_cost();
        (work_left / self.open_slots(now)).max(self.permit_wait(now))
    }

    /// Returns the remaining time of the current runs, summed over the slots. A run that exceeds its
    /// expected time counts as one eighth of that time.
    fn remaining_cost(&self, now: Duration) -> Duration {
        let left = |run: &RunningWork| {
            let cost = self.costs.cost_of(run.kind, run.expected);
            let elapsed = now.saturating_sub(run.since);
            cost.saturating_sub(elapsed).max(cost / 8)
        };
        self.running.values().map(left).sum()
    }

    pub(super) fn refuse_overloaded(&mut self, now: Duration, cost: Duration) -> GateDecision {
        let retry_after = self.retry_after(now, cost);
        refused(RefusalCode::Overloaded, Some(retry_after))
    }

    pub(super) fn refuse_queued(
        &mut self,
        now: Duration,
        work: WorkId,
        out: &mut Vec<GateCommand>,
    ) {
        let retry_after = self.retry_after(now, self.costs.mean());
        out.push(GateCommand::Refuse {
            work,
            code: RefusalCode::Overloaded,
            retry_after: Some(retry_after),
        });
    }

    fn retry_after(&mut self, now: Duration, cost: Duration) -> Duration {
        let slots = self.open_slots(now);
        let drain_time = (self.remaining_cost(now) + self.queue.total_cost()) / slots;
        if self.permits.is_some() {
            // Most requests that a limited server refuses run elsewhere and do not come back, so
            // spacing the hints would put them far behind the next permit.
            return drain_time.max(self.permit_wait(now));
        }
        self.pacer.next(now, drain_time, cost / slots)
    }

    /// Returns the number of runs that this many slots would complete within a time, up to one for
    /// each slot. See [`crate::SlotGate::load`].
    pub(super) fn runs_within(&self, time: Duration, slots: u32) -> u32 {
        let cost = self.costs.mean().as_millis().max(1);
        let runs = time.as_millis() * u128::from(slots) / cost;
        u32::try_from(runs).unwrap_or(u32::MAX).min(slots)
    }

    pub(super) fn expire(&mut self, now: Duration, out: &mut Vec<GateCommand>) {
        let (mut late, mut expired) = (Vec::new(), Vec::new());
        self.queue.expire(now, &mut late, &mut expired);
        self.events
            .extend(late.into_iter().map(QueueEvent::BecameLate));
        for work in expired {
            self.events.push(QueueEvent::Expired(work));
            self.refuse_queued(now, work, out);
        }
    }
}

/// Returns a wait behind work that gets only a fraction of the slots; `None` if that is too long to
/// represent.
fn divide(wait: Duration, share: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(wait.as_secs_f64() / share).ok()
}

pub(super) const fn refused(code: RefusalCode, retry_after: Option<Duration>) -> GateDecision {
    GateDecision::Refused { code, retry_after }
}
