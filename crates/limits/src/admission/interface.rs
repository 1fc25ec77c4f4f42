//! Interface between the engine and the admission control of one backend server.

use std::fmt::Debug;
use std::time::Duration;

use crate::overload::{LearnedRuns, LimitChange, QueueCount, QueueEvent, QueuePlace};

use super::{GateCommand, GateDecision, GateLoad, PermitBucket, WarmUp, WorkClass, WorkId};

/// Admission control in front of one backend server.
pub trait AdmissionGate: Debug + Send {
    /// Decides whether a request runs, waits or is refused. Refuses an id that already runs or
    /// waits. Appends the commands for queued work that follow from the offer to `out`.
    fn offer(
        &mut self,
        now: Duration,
        work: WorkId,
        class: WorkClass,
        out: &mut Vec<GateCommand>,
    ) -> GateDecision;

    /// Returns the place in the queue that the latest offer got or was refused, if the gate
    /// estimates one; `None` if the offer did not have to wait.
    fn offered_place(&self) -> Option<QueuePlace> {
        None
    }

    /// Removes and returns the changes to queued work that need a report, oldest first. The
    /// commands that follow from them are returned by the other methods.
    fn take_queue_events(&mut self) -> Vec<QueueEvent> {
        Vec::new()
    }

    /// Returns how many queued requests are in time and late; all are in time if the gate does not
    /// distinguish them.
    fn queue_count(&self, now: Duration) -> QueueCount {
        QueueCount {
            in_time: self.load(now).queued,
            late: 0,
        }
    }

    /// Returns `class` adjusted so that the work starts within `max_wait`, if the gate limits the
    /// wait by its deadline.
    fn limit_queue_wait(
        &self,
        _now: Duration,
        class: WorkClass,
        _max_wait: Option<Duration>,
    ) -> WorkClass {
        class
    }

    /// Frees the slot of finished work, records its service time and starts queued work.
    fn finished(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>);

    /// Frees the slot of work that ended without a valid service time sample.
    fn released(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>);

    /// Excludes running work from what the gate learns about the concurrency of its server. Called
    /// before [`Self::finished`] for work that ended while the server may have been failing.
    fn exclude_run(&mut self, _now: Duration, _work: WorkId) {}

    /// Removes and returns the latest change of the learned concurrency limit.
    fn take_limit_change(&mut self) -> Option<LimitChange> {
        None
    }

    /// Removes and returns what the gate has learned about its server; `None` if it learns no
    /// concurrency limit.
    fn take_learned(&mut self) -> Option<LearnedRuns> {
        None
    }

    /// Continues with what an earlier gate of the same incarnation of the server has learned.
    /// Called before work is adopted. Dropped by a gate that learns no concurrency limit.
    fn put_learned(&mut self, _now: Duration, _learned: LearnedRuns) {}

    /// Frees the slot of work whose cancellation crossed its start.
    fn cancelled(&mut self, now: Duration, work: WorkId, out: &mut Vec<GateCommand>) {
        self.finished(now, work, out);
    }

    /// Removes queued work that its caller cancelled. Returns true if the work was queued, in which
    /// case it has not run.
    fn cancel(&mut self, now: Duration, work: WorkId) -> bool;

    /// Refuses queued work that can no longer be served, and starts work in free slots.
    fn tick(&mut self, now: Duration, out: &mut Vec<GateCommand>);

    /// Refuses new work from now on. Running and queued work is still finished.
    fn close(&mut self);

    /// Returns whether new work is refused because the backend server is shutting down.
    fn is_closed(&self) -> bool;

    /// Returns whether no work runs or waits.
    fn is_idle(&self) -> bool;

    /// Returns the present load.
    fn load(&self, now: Duration) -> GateLoad;

    /// Sets the number of requests per second that the backend server gets at most; `None` for no
    /// limit.
    fn set_rate_limit(&mut self, now: Duration, rate: Option<f64>);

    /// Removes the rate limit and returns its permits.
    fn take_permits(&mut self) -> Option<PermitBucket>;

    /// Sets a rate limit with the permits that are left of it.
    fn put_permits(&mut self, permits: PermitBucket);

    /// Returns the work that holds a slot.
    fn running_work(&self) -> Vec<WorkId>;

    /// Gives a slot to work that has been running since `since` under the previous gate of the same
    /// backend server, even if no slot is free.
    fn adopt_running(&mut self, work: WorkId, class: WorkClass, since: Duration);

    /// Returns the warm-up of the backend server.
    fn warm_up(&self) -> WarmUp;

    /// Replaces the warm-up, for a gate that continues the one of a previous gate.
    fn set_warm_up(&mut self, warm_up: WarmUp);
}
