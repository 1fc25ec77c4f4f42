//! State of one request at the node that took it, and of one piece of work at the node that runs
//! it.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{AccountRule, CustomerRule, RouteRule};
use sycamorelink_core::{AttemptId, InstanceId, RequestRefusal, UpstreamId};
use sycamorelink_guard::{DispatchTicket, KeyId};
use sycamorelink_limits::{CrashSignature, CustomerIndex};
use sycamorelink_policy::RetryPlan;

use crate::event::{ArrivalKind, AttemptReport, CallerRequest, LifeId, WorkOffer};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waits for a share of the customer's limits.
    AwaitingShare,
    /// Its body is being read.
    ReadingBody,
    /// The key's guards are asked.
    AwaitingGrant,
    /// Attempts are under way.
    Dispatched,
    /// The outcome of its only attempt is asked from the executor.
    Resolving,
}

/// One attempt that is under way.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    /// Its number.
    pub number: u16,
    /// Where it went.
    pub upstream: UpstreamId,
    /// The life of the node beside it that was meant.
    pub executor: InstanceId,
    /// When it was sent.
    pub sent: Duration,
}

/// One request at the node that took it.
#[derive(Debug)]
pub struct RequestState {
    /// Its head.
    pub caller: CallerRequest,
    /// The route that it matched.
    pub rule: RouteRule,
    /// Its customer in the limits' tables.
    pub customer: CustomerIndex,
    /// Its client account under a fleet contract; none where it brought no key.
    pub account: Option<Arc<AccountRule>>,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Where it stands.
    pub phase: RequestPhase,
    /// Where it was tried, and what may be tried again.
    pub plan: RetryPlan,
    /// Attempts under way.
    pub open: Vec<OpenAttempt>,
    /// Attempts made.
    pub attempts: u16,
    /// Its key, where it must not repeat.
    pub key: Option<KeyId>,
    /// Permission to run it.
    pub ticket: Option<DispatchTicket>,
    /// Refusal that its key's guards are asked about before it is given.
    pub refusal: Option<RequestRefusal>,
    /// Upstream chosen for the next dispatch of a keyed request.
    pub chosen: Option<UpstreamId>,
    /// Exact identity for the crash-request registry.
    pub signature: CrashSignature,
    /// Whether a share of the customer's limits is held.
    pub share_held: bool,
    /// When a request that waits for a share tries again at the latest.
    pub share_next: Option<Duration>,
    /// Upstreams that held it off because they may be failing.
    pub held: Vec<UpstreamId>,
    /// Whether one of them was made to run it.
    pub insisted: bool,
    /// Attempts that ended without certainty that no backend server ran them.
    pub uncertain: u16,
    /// Attempts that ended and may have reached a backend server, which may have turned them away.
    pub arrivals: u16,
    /// How its first arrival at a backend server counts.
    pub first_arrival: ArrivalKind,
    /// Repeats that a node beside a backend server refused because of the bound on them.
    pub repeats_refused: u16,
    /// The last failed attempt, for the final answer.
    pub last: Option<AttemptReport>,
    /// Where it went.
    pub last_at: Option<UpstreamId>,
    /// Whether two backend servers ended while they ran it.
    pub crashed_twice: bool,
}

impl RequestState {
    /// Limits of its customer.
    #[must_use]
    pub fn terms(&self) -> &CustomerRule {
        &self.rule.terms
    }

    /// Whether any attempt may have run or may still run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.uncertain > 0 || !self.open.is_empty()
    }

    /// Whether as many upstreams may have run it as its route allows.
    #[must_use]
    pub fn has_run_everywhere(&self) -> bool {
        let open = u16::try_from(self.open.len()).unwrap_or(u16::MAX);
        let runs = self.uncertain.saturating_add(open);
        self.rule.attempts.is_some_and(|most| runs >= most)
    }

    /// Takes out an attempt that ended.
    pub fn close(&mut self, number: u16) -> Option<OpenAttempt> {
        let place = self
            .open
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.open.remove(place))
    }
}

/// Where a piece of work stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPhase {
    /// Waits for its turn, being under suspicion of crashing backend servers.
    AwaitingTurn,
    /// Waits for a slot.
    Queued,
    /// Runs at the backend server.
    Running,
}

/// One piece of work beside a backend server.
#[derive(Debug)]
pub struct WorkState {
    /// What was offered.
    pub offer: WorkOffer,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Where it stands.
    pub phase: WorkPhase,
    /// When it was offered.
    pub offered: Duration,
    /// When it took its slot.
    pub started: Duration,
    /// Life of the backend server that it was handed to.
    pub life: Option<LifeId>,
    /// Whether it runs on a turn given out by the signature's owner.
    pub on_turn: bool,
    /// Whether the breaker was told that its connection broke.
    pub broke: bool,
    /// Whether it runs as a trial of a backend server that may be failing.
    pub on_trial: bool,
}

impl WorkState {
    /// Exact identity for the crash-request registry.
    #[must_use]
    pub fn signature(&self) -> CrashSignature {
        CrashSignature(self.offer.signature)
    }

    /// The attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.offer.attempt
    }
}
