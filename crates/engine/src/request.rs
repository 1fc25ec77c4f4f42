//! State of a request at its ingress node, and of a piece of work at the executor.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{AccountRule, CustomerRule, RouteRule};
use sycamorelink_core::{AttemptId, InstanceId, RequestRefusal, UpstreamId};
use sycamorelink_guard::{DispatchTicket, KeyId};
use sycamorelink_limits::{CrashSignature, CustomerIndex, RepeatOrigin, WaitReason};
use sycamorelink_policy::RetryPlan;

use crate::attribution::CallingRun;
use crate::capacity::RefusedForecast;
use crate::event::{ArrivalKind, AttemptReport, CallerRequest, LifeId, WorkOffer};
use crate::note::QueueStep;

/// Phase of a request at its ingress node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waiting for a share of the customer's limits.
    AwaitingShare,
    /// The body is being read.
    ReadingBody,
    /// Waiting for the guards of the key.
    AwaitingGrant,
    /// Attempts are open.
    Dispatched,
    /// Waiting for the executor's answer about the outcome of the only attempt.
    Resolving,
    /// Waiting until a backend server is likely to accept the request.
    AwaitingCapacity,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    /// Number of the attempt within its request, from 0.
    pub number: u16,
    /// Target of the attempt.
    pub upstream: UpstreamId,
    /// The instance beside the upstream to which the attempt was addressed.
    pub executor: InstanceId,
    /// Time of the dispatch.
    pub sent: Duration,
}

/// State of a request at its ingress node.
#[derive(Debug)]
pub struct RequestState {
    /// Head of the request.
    pub caller: CallerRequest,
    /// Route that the request matched.
    pub rule: RouteRule,
    /// Index of the customer in the tables of limits.
    pub customer: CustomerIndex,
    /// Client account under a fleet contract; `None` when the caller sent no key.
    pub account: Option<Arc<AccountRule>>,
    /// Time of arrival.
    pub arrived: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Duration,
    /// Current phase.
    pub phase: RequestPhase,
    /// Upstreams tried so far, and the retries still allowed.
    pub plan: RetryPlan,
    /// Attempts that have not ended.
    pub open: Vec<OpenAttempt>,
    /// Number of attempts sent so far.
    pub attempts: u16,
    /// Idempotency key; `None` if the request is idempotent or has no key.
    pub key: Option<KeyId>,
    /// Proof of the guards' grants; `None` until granted.
    pub ticket: Option<DispatchTicket>,
    /// Refusal that is sent once the guards of the key have confirmed that no send has run.
    pub refusal: Option<RequestRefusal>,
    /// Upstream selected for the next dispatch of a keyed request.
    pub chosen: Option<UpstreamId>,
    /// Signature for the crash registry.
    pub signature: CrashSignature,
    /// Whether the request holds a share of the customer's limits.
    pub share_held: bool,
    /// Latest time of the next attempt to take a share; `None` before the first wait.
    pub share_next: Option<Duration>,
    /// Upstreams that refused the request because their breaker rejects work.
    pub rejected_by: Vec<UpstreamId>,
    /// Whether one of the upstreams in `rejected_by` was forced to run the request.
    pub was_forced: bool,
    /// Number of ended attempts that may have run at a backend server.
    pub uncertain: u16,
    /// Number of ended attempts that may have reached a backend server, including those that the
    /// server declined.
    pub arrivals: u16,
    /// Kind of the first arrival at a backend server, for the bound on repeats.
    pub first_arrival: ArrivalKind,
    /// Run on a local backend server that made the request as a call; `None` if none is known.
    pub(crate) called_by: Option<CallingRun>,
    /// Number of attempts that an executor refused because of the bound on repeats.
    pub repeats_refused: u16,
    /// Number of attempts that an executor refused as overloaded.
    pub overloaded_offers: u16,
    /// The forecast that refused the request; `None` otherwise.
    pub forecast: Option<RefusedForecast>,
    /// Number of attempts that an executor refused as `overloaded` since the last wait.
    pub overloaded: u16,
    /// Reason for the latest wait in the caller queue; `None` if the request never waited.
    pub wait: Option<WaitReason>,
    /// Last failed attempt, from which the final answer is made.
    pub last: Option<AttemptReport>,
    /// Upstream of the last failed attempt.
    pub last_upstream: Option<UpstreamId>,
    /// Whether two backend servers crashed while they ran the request.
    pub crashed_twice: bool,
}

impl RequestState {
    /// Returns the customer's contract terms.
    #[must_use]
    pub fn terms(&self) -> &CustomerRule {
        &self.rule.terms
    }

    /// Sets an earlier deadline.
    pub fn limit_deadline(&mut self, deadline: Duration) {
        self.deadline = deadline;
        self.plan.limit_deadline(deadline);
    }

    /// Returns whether any attempt may have run or may still run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.uncertain > 0 || !self.open.is_empty()
    }

    /// Returns whether the request may have run as often as its route allows.
    #[must_use]
    pub fn has_reached_run_limit(&self) -> bool {
        let open = u16::try_from(self.open.len()).unwrap_or(u16::MAX);
        let runs = self.uncertain.saturating_add(open);
        self.rule.attempts.is_some_and(|limit| runs >= limit)
    }

    /// Removes an open attempt that ended; `None` if no open attempt has this number.
    pub fn close(&mut self, number: u16) -> Option<OpenAttempt> {
        let index = self
            .open
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.open.remove(index))
    }
}

/// Phase of a piece of work at the executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPhase {
    /// Waiting for a turn, because its signature is suspected of crashing backend servers.
    AwaitingTurn,
    /// Waiting for a slot.
    Queued,
    /// Running at the backend server.
    Running,
}

/// State of a piece of work at the executor.
#[derive(Debug)]
pub struct WorkState {
    /// The offer of the work.
    pub offer: WorkOffer,
    /// Time at which the caller stops waiting.
    pub deadline: Duration,
    /// Current phase.
    pub phase: WorkPhase,
    /// Time at which the work was offered.
    pub offered: Duration,
    /// Time at which the work got its slot.
    pub started: Duration,
    /// Incarnation of the backend server that was given the work.
    pub life: Option<LifeId>,
    /// Whether the work runs on a turn granted by the owner of its signature.
    pub on_turn: bool,
    /// Whether the lost connection of this work was already recorded in the breaker.
    pub connection_lost: bool,
    /// Whether the work runs as a trial of a suspect backend server.
    pub on_trial: bool,
    /// Latest decision of a deadline queue that is not reported yet.
    pub queue_step: Option<QueueStep>,
    /// What the work was withdrawn from as a repeat; `None` if it is no repeat or is not counted.
    pub repeat: Option<RepeatOrigin>,
}

impl WorkState {
    /// Returns the signature for the crash registry; zero if the body was not seen completely.
    #[must_use]
    pub fn signature(&self) -> CrashSignature {
        CrashSignature(self.offer.signature)
    }

    /// Returns the attempt that the work carries out.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.offer.attempt
    }
}
