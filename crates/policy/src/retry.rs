//! Whether an attempt may be repeated, where not, and when to hedge.
//!
//! Budgets are kept elsewhere: a decision here says only that a retry would be correct.

use std::time::Duration;

use sycamorelink_core::{RunState, UpstreamId};

/// Most attempts of one request, whatever the budget allows.
pub const ATTEMPTS_MAX: usize = 10;
/// Most attempts of one request unless its plan says otherwise.
pub const ATTEMPTS_USUAL: usize = 4;

/// How one attempt ended, as far as repeating it is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Whether the backend server ran it.
    pub run: RunState,
    /// Whether the end of the attempt is the request's own fault, as a crash that follows it.
    pub request_fault: bool,
    /// When the upstream asked to come back, if it did.
    pub retry_after: Option<Duration>,
}

impl AttemptOutcome {
    /// An attempt that ended with this run state.
    #[must_use]
    pub const fn new(run: RunState) -> Self {
        Self {
            run,
            request_fault: false,
            retry_after: None,
        }
    }
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// The time left is too short for another attempt.
    Deadline,
    /// It was tried as often as it may be.
    Attempts,
    /// It breaks the backend servers that run it.
    RequestFault,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another upstream; the budget still has to allow it.
    Retry,
    /// Answer the caller.
    Stop(StopReason),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryPlan {
    idempotent: bool,
    deadline: Duration,
    tried: [Option<UpstreamId>; ATTEMPTS_MAX],
    count: usize,
    most: usize,
}

impl RetryPlan {
    /// A plan for a request whose caller waits until `deadline`, as time since the node started.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Duration) -> Self {
        Self {
            idempotent,
            deadline,
            tried: [None; ATTEMPTS_MAX],
            count: 0,
            most: ATTEMPTS_USUAL,
        }
    }

    /// The same with as many attempts as there can be. For requests whose refusals cost no backend
    /// server anything.
    #[must_use]
    pub const fn patient(mut self) -> Self {
        self.most = ATTEMPTS_MAX;
        self
    }

    /// Notes an attempt, so that no later one goes to the same upstream.
    pub fn tried(&mut self, id: UpstreamId) {
        if let Some(place) = self.tried.get_mut(self.count) {
            *place = Some(id);
            self.count += 1;
        }
    }

    /// Attempts so far.
    #[must_use]
    pub const fn attempts(&self) -> usize {
        self.count
    }

    /// The upstreams that are not to be tried again, for [`crate::ServicePool::pick`].
    #[must_use]
    pub fn exclude(&self) -> ExcludedUpstreams {
        let mut ids = [UpstreamId {
            node: sycamorelink_core::NodeId(0),
            slot: 0,
        }; ATTEMPTS_MAX];
        let mut count = 0;
        for (place, id) in ids.iter_mut().zip(self.tried.iter().flatten()) {
            *place = *id;
            count += 1;
        }
        ExcludedUpstreams { ids, count }
    }

    /// Decides whether another attempt is correct. `usual` is the usual latency of the service.
    #[must_use]
    pub fn decide(
        &self,
        now: Duration,
        outcome: &AttemptOutcome,
        usual: Duration,
    ) -> RetryDecision {
        if outcome.request_fault {
            return RetryDecision::Stop(StopReason::RequestFault);
        }
        if !self.idempotent && outcome.run != RunState::NotRun {
            return RetryDecision::Stop(StopReason::MayHaveRun);
        }
        if self.count >= self.most {
            return RetryDecision::Stop(StopReason::Attempts);
        }
        let wait = outcome.retry_after.unwrap_or_default();
        if now + wait + usual > self.deadline {
            return RetryDecision::Stop(StopReason::Deadline);
        }
        RetryDecision::Retry
    }

    /// When to send an idempotent request a second time elsewhere if no reply has come, given the
    /// pool's hedge delay. `None` when it must not be hedged or the time left is too short.
    #[must_use]
    pub fn hedge_at(&self, now: Duration, delay: Option<Duration>) -> Option<Duration> {
        let at = now + delay?;
        let useful = at + delay? <= self.deadline;
        (self.idempotent && useful && self.count < self.most).then_some(at)
    }
}

/// Upstreams that a request has tried, in fixed space.
#[derive(Clone, Copy, Debug)]
pub struct ExcludedUpstreams {
    ids: [UpstreamId; ATTEMPTS_MAX],
    count: usize,
}

impl ExcludedUpstreams {
    /// The ids.
    #[must_use]
    pub fn as_slice(&self) -> &[UpstreamId] {
        &self.ids[..self.count]
    }
}
