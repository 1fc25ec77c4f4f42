//! The learned concurrency limit of a deadline gate.

use std::time::Duration;

use super::concurrency::{ConcurrencyLimit, LimitChange, RunEnd};
use super::gate::DeadlineGate;
use super::run_cost::RunCosts;
use crate::admission::WorkId;

/// What a gate has learned about one incarnation of its backend server.
#[derive(Debug)]
pub struct LearnedRuns {
    limit: ConcurrencyLimit,
    costs: RunCosts,
}

impl DeadlineGate {
    /// Returns the slots that the learned limit allows out of `slots`.
    pub(super) fn limited_slots(&self, slots: u32) -> u32 {
        let limit = self.concurrency.as_ref().map(ConcurrencyLimit::limit);
        limit.map_or(slots, |limit| limit.min(slots))
    }

    pub(super) fn count_limited_start(&mut self, now: Duration, work: WorkId, kind: u64) {
        if let Some(limit) = &mut self.concurrency {
            limit.started(now, work, kind);
        }
    }

    pub(super) fn count_adopted(&mut self, since: Duration, work: WorkId) {
        if let Some(limit) = &mut self.concurrency {
            limit.adopted(since, work);
        }
    }

    pub(super) fn count_limited_end(&mut self, now: Duration, work: WorkId, end: RunEnd) {
        if let Some(limit) = &mut self.concurrency {
            limit.ended(now, work, end);
        }
    }

    /// Decides on the limit. A probe takes a quarter of the slots for five seconds, so it starts only
    /// if work waited for most of the time since the last decision. Otherwise the concurrency varies without it.
    pub(super) fn tick_limit(&mut self, now: Duration) {
        if let Some(limit) = &mut self.concurrency {
            limit.set_waiting(now, !self.queue.is_empty());
            limit.tick(now);
        }
    }

    pub(super) fn take_change(&mut self) -> Option<LimitChange> {
        self.concurrency.as_mut()?.take_change()
    }

    pub(super) fn take_learned_runs(&mut self) -> Option<LearnedRuns> {
        let limit = self.concurrency.take()?;
        let costs = RunCosts::new(self.costs.mean());
        let costs = std::mem::replace(&mut self.costs, costs);
        Some(LearnedRuns { limit, costs })
    }

    pub(super) fn put_learned_runs(&mut self, now: Duration, learned: LearnedRuns) {
        let LearnedRuns { mut limit, costs } = learned;
        if self.concurrency.is_some() && limit.slots() == self.slots {
            limit.resume(now);
            self.concurrency = Some(limit);
            self.costs = costs;
        }
    }
}
