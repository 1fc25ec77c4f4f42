//! Queue of requests that no backend server accepts at present, at the node of their callers.
//!
//! ```text
//! declined, no repeats left, no capacity ──▶ join ──▶ release ──▶ sent again
//!                                              └────▶ expire ───▶ answered with the last failure
//! ```
//!
//! The order is computed for the time of each decision, because a waiting request that can no longer
//! meet its objective moves behind all requests that can.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::{RequestId, ServiceName};

/// Reason why a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The service declines much of its work, so a repeat is likely to be declined as well.
    Declining,
    /// Every server that was asked has used up its part of the bound on repeats.
    NoRepeats,
    /// No server has a free slot soon, but one is expected to answer before the deadline.
    NoCapacity,
}

impl WaitReason {
    /// Every reason.
    pub const ALL: [Self; 3] = [Self::Declining, Self::NoRepeats, Self::NoCapacity];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Declining => "declining",
            Self::NoRepeats => "no-repeats",
            Self::NoCapacity => "no-capacity",
        }
    }
}

/// Properties of a waiting request on which its place depends. All times are since the node started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitTerms {
    service: ServiceName,
    reason: WaitReason,
    deadline: Duration,
    objective: Option<Duration>,
    run_time: Duration,
    priority: u8,
}

impl WaitTerms {
    /// Creates terms without an objective, with priority 0 and a run time of zero.
    #[must_use]
    pub const fn new(service: ServiceName, reason: WaitReason, deadline: Duration) -> Self {
        Self {
            service,
            reason,
            deadline,
            objective: None,
            run_time: Duration::ZERO,
            priority: 0,
        }
    }

    /// Sets the time by which the reply has its full value; `None` if the route has no objective.
    #[must_use]
    pub const fn objective(mut self, objective: Option<Duration>) -> Self {
        self.objective = objective;
        self
    }

    /// Sets the time that a run needs.
    #[must_use]
    pub const fn run_time(mut self, run_time: Duration) -> Self {
        self.run_time = run_time;
        self
    }

    /// Sets the priority; a greater value goes first.
    #[must_use]
    pub const fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Returns the service that the request needs.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns why the request waits.
    #[must_use]
    pub const fn reason(&self) -> WaitReason {
        self.reason
    }

    /// Returns the latest time at which a run can start and still meet the deadline; zero if there
    /// is none.
    #[must_use]
    pub const fn latest_start(&self) -> Duration {
        self.deadline.saturating_sub(self.run_time)
    }

    /// Returns whether a run can still meet the objective at `now`, but not `lead` later.
    #[must_use]
    pub fn is_nearly_late(&self, now: Duration, lead: Duration) -> bool {
        let latest = self.objective.map(|at| at.saturating_sub(self.run_time));
        latest.is_some_and(|latest| latest >= now && latest < now + lead)
    }

    /// Returns the sort key at `now`: in time before late, then higher priority, then the earliest
    /// latest start.
    fn rank(&self, now: Duration, id: RequestId) -> WaitRank {
        let in_time = self.objective.map(|at| at.saturating_sub(self.run_time));
        let in_time = in_time.filter(|latest| *latest >= now);
        WaitRank {
            late: in_time.is_none(),
            priority: Reverse(self.priority),
            latest_start: in_time.unwrap_or_else(|| self.latest_start()),
            id,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitRank {
    late: bool,
    priority: Reverse<u8>,
    latest_start: Duration,
    id: RequestId,
}

/// A request that waits or has just left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitEntry {
    /// Id of the request.
    pub request: RequestId,
    /// Properties of the request.
    pub terms: WaitTerms,
    /// Time at which the request joined the queue, since the node started.
    pub since: Duration,
}

/// Decision on a request that asks to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinDecision {
    /// The request waits.
    Waits {
        /// Place in the order of all waiting requests, from 0.
        place: usize,
        /// The last request in the order, if it had to leave the full queue.
        removed: Option<WaitEntry>,
    },
    /// The queue is full of requests that go before this one.
    Full,
    /// A run can't start in time any more.
    TooLate,
}

/// Waiting requests of one node, for all services.
#[derive(Clone, Debug)]
pub struct CallerQueue {
    capacity: usize,
    entries: BTreeMap<RequestId, WaitEntry>,
}

impl CallerQueue {
    /// Creates a queue in which at most `capacity` requests wait.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity: usize::try_from(capacity).unwrap_or(usize::MAX),
            entries: BTreeMap::new(),
        }
    }

    /// Adds a request at `now`. `next_release` is the time of the next release, before which the
    /// request can't be sent.
    pub fn join(
        &mut self,
        now: Duration,
        next_release: Duration,
        request: RequestId,
        terms: WaitTerms,
    ) -> JoinDecision {
        if terms.latest_start() < next_release {
            return JoinDecision::TooLate;
        }
        let rank = terms.rank(now, request);
        let ranks = self.entries.values();
        let ranks = ranks.map(|entry| entry.terms.rank(now, entry.request));
        let place = ranks.clone().filter(|other| *other < rank).count();
        let mut removed = None;
        if self.entries.len() >= self.capacity {
            let last = ranks.max().filter(|last| rank < *last);
            let Some(last) = last else {
                return JoinDecision::Full;
            };
            removed = self.entries.remove(&last.id);
        }
        let entry = WaitEntry {
            request,
            terms,
            since: now,
        };
        self.entries.insert(request, entry);
        JoinDecision::Waits { place, removed }
    }

    /// Removes a request; `None` if it does not wait.
    pub fn leave(&mut self, request: RequestId) -> Option<WaitEntry> {
        self.entries.remove(&request)
    }

    /// Removes the first `count` requests of a service for which `is_released` is true, in order.
    pub fn release<F>(
        &mut self,
        now: Duration,
        service: &ServiceName,
        count: usize,
        is_released: F,
    ) -> Vec<WaitEntry>
    where
        F: Fn(&WaitEntry) -> bool,
    {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| entry.terms.service == *service);
        let entries = entries.filter(|entry| is_released(entry));
        let mut ranks: Vec<WaitRank> = entries
            .map(|entry| entry.terms.rank(now, entry.request))
            .collect();
        ranks.sort_unstable();
        let first = ranks.into_iter().take(count);
        first
            .filter_map(|rank| self.entries.remove(&rank.id))
            .collect()
    }

    /// Removes the requests whose run could not start in time at `next_release` or later.
    pub fn expire(&mut self, next_release: Duration) -> Vec<WaitEntry> {
        let entries = self.entries.values();
        let expired = entries.filter(|entry| entry.terms.latest_start() < next_release);
        let expired: Vec<RequestId> = expired.map(|entry| entry.request).collect();
        expired
            .into_iter()
            .filter_map(|request| self.entries.remove(&request))
            .collect()
    }

    /// Removes all requests.
    pub fn clear(&mut self) -> Vec<WaitEntry> {
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Returns the services for which requests wait.
    #[must_use]
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let entries = self.entries.values();
        entries.map(|entry| entry.terms.service.clone()).collect()
    }

    /// Returns the number of requests that wait for a reason.
    #[must_use]
    pub fn count(&self, reason: WaitReason) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.terms.reason == reason).count()
    }

    /// Returns the requests that wait for a service.
    pub fn waiting_for<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a WaitEntry> {
        let entries = self.entries.values();
        entries.filter(|entry| entry.terms.service == *service)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
