//! Interface between the engine and the admission control of one backend server.

use std::fmt::Debug;
use std::time::Duration;

use super::{GateCommand, GateDecision, GateLoad, PermitBucket, WorkClass, WorkId};

/// Admission control in front of one backend server.
pub trait AdmissionGate: Debug + Send {
    /// Decides whether a request runs, waits or is refused. Refuses an id that already runs or
    /// waits.
    fn offer(&mut self, now: Duration, work: WorkId, class: WorkClass) -> GateDecision;

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
}
