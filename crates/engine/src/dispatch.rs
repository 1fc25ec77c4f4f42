//! From a request that may go on to attempts at upstreams.

use std::time::Duration;

use sycamorelink_contract::RepeatClass;
use sycamorelink_core::{AttemptId, RefusalCode, RequestId, RequestRefusal, UpstreamId};
use sycamorelink_policy::ServicePool;

use crate::budgets::budget_entry;
use crate::command::{AttemptOrder, NodeCommand};
use crate::node::{NodeEngine, TimerPurpose};
use crate::note::NodeNote;
use crate::request::{OpenAttempt, RequestState};
/// Upstreams that may hold a request off before one is made to run it. Failure: most upstreams of a
/// service fail part of their requests, every node beside one holds work off, and callers get
/// nothing at all. Each refusal costs some milliseconds; a try that may fail is better than none.
const HELD_MOST: u16 = 6;
/// How long an upstream that held work off is not asked again for work that must not repeat. A
/// trial takes about as long, and a question costs a round trip only.
const HELD_FOR: Duration = Duration::from_millis(400);
/// Share of the objective within which a run has to begin: work takes a third of it on average.
const START_SHARE: f64 = 0.6;
/// When a caller should come back to a service without a usable upstream.
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(1);

impl NodeEngine {
    /// Picks an upstream that was not tried, with the life of the node beside it.
    pub(crate) fn choose(
        &mut self,
        now: Duration,
        id: RequestId,
    ) -> Option<(UpstreamId, sycamorelink_core::InstanceId)> {
        let service = self.requests.get(&id)?.rule.service.clone();
        self.ensure_pool(now, &service);
        self.pool_used.insert(service.clone(), now);
        let held = self.held_upstreams(now, id);
        let state = self.requests.get(&id)?;
        let pool = self.pools.get_mut(&service)?;
        let tried = state.plan.exclude();
        let tried = tried.as_slice();
        let apart: Vec<UpstreamId> = tried.iter().copied().chain(held).collect();
        let first = (apart.len() > tried.len()).then(|| pool.pick(now, &apart));
        let upstream = first.flatten().or_else(|| pool.pick(now, tried))?;
        let executor = self.instance_of(upstream.node)?;
        Some((upstream, executor))
    }

    /// Upstreams that held work off a moment ago, for work that must not repeat.
    fn held_upstreams(&mut self, now: Duration, id: RequestId) -> Vec<UpstreamId> {
        self.held_off.retain(|_, until| *until > now);
        let state = self.requests.get(&id);
        if state.is_none_or(|state| state.rule.repeat == RepeatClass::Idempotent) {
            return Vec::new();
        }
        self.held_off.keys().copied().collect()
    }

    /// Notes that an upstream holds work off.
    pub(crate) fn note_held_off(&mut self, now: Duration, upstream: UpstreamId) {
        self.held_off.insert(upstream, now + HELD_FOR);
    }

    pub(crate) fn refuse_no_upstream(
        &mut self,
        now: Duration,
        id: RequestId,
        out: &mut Vec<NodeCommand>,
    ) {
        let refusal = self.last_refusal(id).unwrap_or_else(no_upstream);
        self.refuse(now, id, refusal, out);
    }

    /// Sends an unkeyed request to the next upstream.
    pub(crate) fn dispatch_next(
        &mut self,
        now: Duration,
        id: RequestId,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some((upstream, _)) = self.choose(now, id) else {
            self.refuse_no_upstream(now, id, out);
            return;
        };
        self.dispatch(now, id, upstream, out);
        self.arm_hedge(now, id);
    }

    /// Orders one attempt.
    pub(crate) fn dispatch(
        &mut self,
        now: Duration,
        id: RequestId,
        upstream: UpstreamId,
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.own.instance.node;
        let address = self.address_of(upstream.node);
        let Some(executor) = self.instance_of(upstream.node) else {
            return;
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let number = state.attempts;
        state.attempts += 1;
        state.plan.tried(upstream);
        state.open.push(OpenAttempt {
            number,
            upstream,
            sent: now,
        });
        if let Some(pool) = self.pools.get_mut(&state.rule.service) {
            pool.sent(now, upstream);
        }
        let order = AttemptOrder {
            attempt: AttemptId {
                request: id,
                number,
            },
            upstream,
            executor,
            address: if upstream.node == own { None } else { address },
            customer: state.terms().customer.clone(),
            service: state.rule.service.clone(),
            priority: state.rule.priority,
            time_left: state.deadline.saturating_sub(now),
            signature: state.signature.0,
            ticket: state.ticket.clone(),
            reply_id_header: state.terms().reply_id_header.clone(),
            max_body: state.rule.max_body,
            reply_buffer: usize::try_from(state.rule.reply_buffer).unwrap_or(usize::MAX),
            repeatable: state.rule.repeat == RepeatClass::Idempotent,
            insist: state.held >= HELD_MOST,
            patience: patience_of(now, state),
        };
        out.push(NodeCommand::Dispatch(order));
    }

    pub(crate) fn arm_hedge(&mut self, now: Duration, id: RequestId) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if !state.rule.hedge || !state.caller.replayable {
            return;
        }
        let delay = self
            .pools
            .get(&state.rule.service)
            .and_then(ServicePool::hedge_delay);
        if let Some(at) = state.plan.hedge_at(now, delay) {
            self.timers.insert((at, TimerPurpose::Hedge, id));
        }
    }

    /// A reply is later than usual: a second attempt elsewhere, if the budget allows it.
    pub(crate) fn on_hedge(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.open.len() != 1 || state.has_run_everywhere() {
            return;
        }
        let Some((upstream, _)) = self.choose(now, id) else {
            return;
        };
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let service = state.rule.service.clone();
        if budget_entry(&mut self.budgets, state).hedges.withdraw(now) {
            self.dispatch(now, id, upstream, out);
            out.push(NodeCommand::Note(NodeNote::HedgeSent {
                request: id,
                service,
                to: upstream,
            }));
        }
    }
}

/// How long a request may wait for a slot: a run has to begin well within the objective, or the
/// slot is better used for one that still can meet it. Customers' contracts leave it to the deadline.
fn patience_of(now: Duration, state: &RequestState) -> Option<Duration> {
    state.rule.attempts?;
    let latency = state.rule.objective?.latency;
    let latest = state.arrived + latency.mul_f64(START_SHARE);
    Some(latest.saturating_sub(now))
}

/// The refusal where no upstream may be used.
pub(crate) fn no_upstream() -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::NoUpstream).retry_after(NO_UPSTREAM_WAIT)
}
