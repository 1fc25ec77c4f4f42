//! Drain of a leaving node: the requests that it still accepts, and when it may stop.
//!
//! ```text
//! drain ───────────────── leave_serving ───────────────── leave_limit
//!   │ likely to end before      │ deadline before             │ what is left
//!   │ leave_limit: accepted     │ leave_limit: accepted       │ is cut off
//! ```
//!
//! The platform kills a process some time after it asked it to stop. A request that is still running
//! then is lost: its caller sees the connection end without an answer.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestRefusal, ServiceName};
use sycamorelink_guard::GuardEvent;
use sycamorelink_policy::ServicePool;
use sycamorelink_roster::RosterEvent;

use crate::command::NodeCommand;
use crate::node::{HandoverState, NodeEngine, TimerPurpose};

/// Time within which gossip carries the departure of a node to every peer.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time without caller requests after which a leaving node may stop.
const LEAVE_QUIET_TIME: Duration = Duration::from_millis(500);
/// Number of periodic runs, at ten per second, in which a leaving node tries to hand over its guard
/// seats. Counting runs excludes time in which the process was paused.
const HANDOVER_TICKS: u32 = 100;
/// Retry delay given to callers that a leaving or starting node refuses.
pub(crate) const NODE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl NodeEngine {
    /// Starts to leave: notifies peers and hands over the guard seats. `Drained` follows once
    /// everything in flight has finished.
    pub(crate) fn on_drain(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now);
        self.end_requests_by(now + self.settings.leave_limit);
        self.refuse_queues_to_leave(now, out);
        self.handle_roster_event(now, RosterEvent::Leave, out);
        self.handle_guard_event(now, GuardEvent::DrainRequested, out);
    }

    /// Returns the time at which this leaving node stops; `None` if it is not leaving.
    pub(crate) fn stops_at(&self) -> Option<Duration> {
        Some(self.draining? + self.settings.leave_limit)
    }

    /// Returns the time until which callers may not have moved to another node yet; `None` if this
    /// node is not leaving.
    pub(crate) fn serves_until(&self) -> Option<Duration> {
        Some(self.draining? + self.settings.leave_serving)
    }

    /// Returns the refusal for a request or work that this leaving node cannot finish before it
    /// stops; `None` if it is accepted.
    ///
    /// Callers that check the readiness of their node keep sending requests to it for up to
    /// [`EngineSettings::leave_serving`](crate::EngineSettings::leave_serving). Most requests end
    /// long before their deadline, so until then the service's usual latency decides whether one is
    /// accepted, and after that its deadline.
    ///
    /// A node that reported itself drained is stopped at any moment and refuses everything.
    pub(crate) fn refusal_to_leave(
        &self,
        now: Duration,
        deadline: Duration,
        service: &ServiceName,
    ) -> Option<RequestRefusal> {
        let stops_at = self.stops_at()?;
        let serves_until = self.serves_until()?;
        let pool = self.pools.get(service);
        let usual = pool.and_then(ServicePool::tail_latency).unwrap_or_default();
        let ends_by = if now < serves_until {
            deadline.min(now + usual)
        } else {
            deadline
        };
        if self.handover != HandoverState::Drained && ends_by <= stops_at {
            return None;
        }
        let until_moved = serves_until.saturating_sub(now);
        let refusal = RequestRefusal::not_run(RefusalCode::Draining);
        Some(refusal.retry_after(until_moved.max(NODE_RETRY_DELAY)))
    }

    /// Limits a new request of a leaving node to the time that the node has left.
    pub(crate) fn limit_to_stop(&self, deadline: Duration) -> Duration {
        self.stops_at()
            .map_or(deadline, |stops_at| deadline.min(stops_at))
    }

    /// Gives the open requests an earlier deadline, so that each is answered before the connections
    /// close.
    fn end_requests_by(&mut self, stops_at: Duration) {
        for (id, state) in &mut self.requests {
            if state.deadline > stops_at {
                state.limit_deadline(stops_at);
                self.timers.insert((stops_at, TimerPurpose::Deadline, *id));
            }
        }
    }

    /// Returns the reason for which a request is ended at its deadline: the caller's, or the stop of
    /// this node.
    pub(crate) fn deadline_code(&self, deadline: Duration) -> RefusalCode {
        if self.stops_at().is_some_and(|at| deadline >= at) {
            RefusalCode::Draining
        } else {
            RefusalCode::DeadlineExceeded
        }
    }

    /// Returns whether this node is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Reports `Drained` once a leaving node can stop safely: every request has ended and its reply is
    /// written.
    ///
    /// An idle node still waits for [`LEAVE_PROPAGATION_TIME`], since peers that do not know of its
    /// departure yet would send work that fails, and for [`LEAVE_QUIET_TIME`] without requests from
    /// callers.
    ///
    /// No other node can take over the guard seats of a node that is alone or cut off, and without
    /// a bound the node would wait until the platform kills it. A node that is alone does not wait
    /// for a handover; any other stops trying after [`HANDOVER_TICKS`], and the remaining nodes
    /// remove its seats like those of a dead node.
    pub(crate) fn check_drained(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let Some(since) = self.draining else {
            return;
        };
        if self.handover == HandoverState::Drained {
            return;
        }
        let peers_informed =
            now >= since + LEAVE_PROPAGATION_TIME && now >= self.last_request + LEAVE_QUIET_TIME;
        let idle = self.requests.is_empty() && self.works.is_empty() && self.open_replies == 0;
        let seats_settled = self.uses_fleet_contract()
            || self.handover == HandoverState::SeatsHandedOver
            || self.roster.member_count() < 2
            || self.leaving_ticks >= HANDOVER_TICKS;
        if peers_informed && idle && seats_settled {
            self.handover = HandoverState::Drained;
            out.push(NodeCommand::Drained);
        }
    }
}
