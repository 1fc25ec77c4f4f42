//! Decisions on retries and hedges of one request.
//!
//! The retry budget is enforced elsewhere: a decision here only says that a retry would be correct.

use std::time::Duration;

use sycamorelink_core::{RunState, UpstreamId};

/// Maximum number of attempts of one request, whatever the budget allows.
pub const MAX_ATTEMPTS: usize = 10;
/// Maximum number of attempts of one request unless [`RetryPlan::with_all_attempts`] raises it.
pub const DEFAULT_MAX_ATTEMPTS: usize = 4;

/// Outcome of one attempt, as far as retries are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Whether the backend server ran it.
    pub run: RunState,
    /// Whether the request itself caused the outcome, such as a crash that follows it from server
    /// to server.
    pub request_fault: bool,
    /// Time to wait before a retry, if the upstream asked for it.
    pub retry_after: Option<Duration>,
}

impl AttemptOutcome {
    /// Creates an outcome with a run state and neither a request fault nor a wait.
    #[must_use]
    pub const fn new(run: RunState) -> Self {
        Self {
            run,
            request_fault: false,
            retry_after: None,
        }
    }
}

/// Reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The time left is too short for another attempt.
    Deadline,
    /// The request has used all of its attempts.
    Attempts,
    /// The request crashes the backend servers that run it.
    RequestFault,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another upstream, if the retry budget allows it.
    Retry,
    /// Send the caller the failure.
    Stop(StopReason),
}

/// Attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryPlan {
    idempotent: bool,
    deadline: Duration,
    tried: [Option<UpstreamId>; MAX_ATTEMPTS],
    /// Number of upstreams in `tried`.
    count: usize,
    /// Number of attempts that count towards `max_attempts`.
    attempts: usize,
    max_attempts: usize,
    resumed: bool,
}

impl RetryPlan {
    /// Creates a plan for a request whose caller waits until `deadline`, as time since the node
    /// started.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Duration) -> Self {
        Self {
            idempotent,
            deadline,
            tried: [None; MAX_ATTEMPTS],
            count: 0,
            attempts: 0,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            resumed: false,
        }
    }

    /// Lowers the deadline to `deadline` if it is later than that.
    pub fn limit_deadline(&mut self, deadline: Duration) {
        self.deadline = self.deadline.min(deadline);
    }

    /// Allows [`MAX_ATTEMPTS`] attempts. For requests whose refusals cost the backend servers
    /// nothing.
    #[must_use]
    pub const fn with_all_attempts(mut self) -> Self {
        self.max_attempts = MAX_ATTEMPTS;
        self
    }

    /// Allows [`DEFAULT_MAX_ATTEMPTS`] more attempts, after the request waited until the service
    /// accepts work again. The upstreams tried last remain excluded from [`Self::exclude`].
    pub const fn resume(&mut self) {
        self.attempts = 0;
        self.max_attempts = DEFAULT_MAX_ATTEMPTS;
        self.resumed = true;
    }

    /// Returns whether the request may go to an upstream that it tried before if all others were
    /// tried as well. True once it was resumed.
    #[must_use]
    pub const fn may_try_again(&self) -> bool {
        self.resumed
    }

    /// Records an attempt, so that no later one goes to the same upstream. A resumed request
    /// forgets the upstream tried first when there is no space for another one.
    pub fn tried(&mut self, id: UpstreamId) {
        if let Some(entry) = self.tried.get_mut(self.count) {
            *entry = Some(id);
            self.count += 1;
        } else if self.resumed {
            self.tried.rotate_left(1);
            self.tried[MAX_ATTEMPTS - 1] = Some(id);
        } else {
            return;
        }
        self.attempts += 1;
    }

    /// Returns the number of attempts so far, or since the request was resumed.
    #[must_use]
    pub const fn attempts(&self) -> usize {
        self.attempts
    }

    /// Returns the upstreams that must not be tried again, for [`crate::ServicePool::pick`].
    #[must_use]
    pub fn exclude(&self) -> ExcludedUpstreams {
        let mut ids = [UpstreamId {
            node: sycamorelink_core::NodeId(0),
            slot: 0,
        }; MAX_ATTEMPTS];
        let mut count = 0;
        for (entry, id) in ids.iter_mut().zip(self.tried.iter().flatten()) {
            *entry = *id;
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
        if self.attempts >= self.max_attempts {
            return RetryDecision::Stop(StopReason::Attempts);
        }
        let wait = outcome.retry_after.unwrap_or_default();
        if now + wait + usual > self.deadline {
            return RetryDecision::Stop(StopReason::Deadline);
        }
        RetryDecision::Retry
    }

    /// Returns when to hedge an idempotent request if no reply has arrived by then. `delay` is the
    /// pool's hedge delay. `None` when the request must not be hedged or the time left is too
    /// short.
    #[must_use]
    pub fn hedge_at(&self, now: Duration, delay: Option<Duration>) -> Option<Duration> {
        let at = now + delay?;
        let in_time = at + delay? <= self.deadline;
        (self.idempotent && in_time && self.attempts < self.max_attempts).then_some(at)
    }
}

/// Upstreams that a request has tried, in fixed space.
#[derive(Clone, Copy, Debug)]
pub struct ExcludedUpstreams {
    ids: [UpstreamId; MAX_ATTEMPTS],
    count: usize,
}

impl ExcludedUpstreams {
    /// Returns the ids in the order of the attempts.
    #[must_use]
    pub fn as_slice(&self) -> &[UpstreamId] {
        &self.ids[..self.count]
    }
}
