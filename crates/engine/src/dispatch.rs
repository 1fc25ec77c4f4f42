//! From a request that may go on to attempts at upstreams.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::RepeatClass;
use sycamorelink_core::{AttemptId, NodeId, RefusalCode, RequestId, RequestRefusal, UpstreamId};
use sycamorelink_policy::{PolicyMechanism, ServicePool};

use crate::budgets::budget_entry;
use crate::command::{AttemptOrder, NodeCommand};
use crate::event::ArrivalKind;
use crate::node::{NodeEngine, TimerPurpose};
use crate::note::NodeNote;
use crate::request::{OpenAttempt, RequestState};

/// Upstreams that are asked before one that held the request off is made to run it. Failure: some
/// upstreams fail part of their requests and are left idle, the others are full, and callers are
/// refused. A try that may fail is better than none; what must not repeat is still refused by the node
/// beside the upstream, since its caller is better told that it has not run.
const ASKED_MOST: u16 = 7;
/// Upstreams that held a request off before the least suspect of them is made to run it: a try that may
/// fail is better than a refusal, and each further question costs the caller a way there and back.
const HELD_MOST: usize = 3;
/// How long an instance that owes an answer gets nothing new; told again while it owes it.
pub(crate) const QUIET_FOR: Duration = Duration::from_millis(300);
/// The same for one that the membership suspects: until it is found dead or cleared.
pub(crate) const SUSPECT_FOR: Duration = Duration::from_secs(2);
/// How long an upstream that held work off is not asked again by this node where choices do not go by
/// cost: half of the usual time between two trials there.
const HELD_FOR: Duration = Duration::from_millis(800);
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
        let by_cost = self.chooses_by_cost();
        self.ensure_pool(now, &service);
        self.pool_used.insert(service.clone(), now);
        self.held_off.retain(|_, until| *until > now);
        let state = self.requests.get(&id)?;
        let kind = state.rule.work_kind();
        let pool = self.pools.get_mut(&service)?;
        let tried = state.plan.exclude();
        let tried = tried.as_slice();
        let apart: Vec<UpstreamId> = tried.iter().chain(self.held_off.keys()).copied().collect();
        let seeks_trial = by_cost
            && self.settings.policy.is_on(PolicyMechanism::EvenTrials)
            && is_trial_fit(state)
            && state.attempts == 0;
        let mut pick = |exclude: &[UpstreamId]| {
            if seeks_trial && let Some(avoided) = pool.pick_trial(now, exclude, kind) {
                return Some(avoided);
            }
            if by_cost {
                pool.pick_cheapest(now, exclude, kind)
            } else {
                pool.pick(now, exclude)
            }
        };
        let first = (apart.len() > tried.len()).then(|| pick(&apart));
        let upstream = first.flatten().or_else(|| pick(tried))?;
        let executor = self.instance_of(upstream.node)?;
        Some((upstream, executor))
    }

    /// Whether upstreams are chosen by their expected cost. Customers' contracts weigh them by the
    /// callers' scores alone.
    fn chooses_by_cost(&self) -> bool {
        self.has_fleet_form() && self.settings.policy.is_on(PolicyMechanism::CostChoice)
    }

    /// Failure: an instance is lost without a word, and for the second until its connections count
    /// as silent it is sent more work, of which nobody will know whether it ran. An instance that
    /// owes an answer gets nothing new for a moment; the connection, and the work on it, is left
    /// alone, so that a mere pause costs nothing else.
    pub(crate) fn hold_node_off(&mut self, now: Duration, node: NodeId, hold: Duration) {
        if !self.has_fleet_form() {
            return;
        }
        let pools = self.pools.values();
        let behind: Vec<UpstreamId> = pools
            .flat_map(ServicePool::standings)
            .map(|standing| standing.id)
            .filter(|id| id.node == node)
            .collect();
        for upstream in behind {
            self.held_off.insert(upstream, now + hold);
        }
    }

    /// The membership found a suspected node alive.
    pub(crate) fn hold_no_more(&mut self, node: NodeId) {
        self.held_off.retain(|upstream, _| upstream.node != node);
    }

    /// Notes that an upstream holds work off.
    pub(crate) fn note_held_off(&mut self, now: Duration, upstream: UpstreamId) {
        if self.chooses_by_cost() {
            // The refusal told the chance that it fails, which goes into its cost.
            return;
        }
        self.held_off.insert(upstream, now + HELD_FOR);
    }

    /// The upstream that is to run a request although it held it off, once enough were asked.
    pub(crate) fn insist_on(&self, now: Duration, id: RequestId) -> Option<UpstreamId> {
        let state = self.requests.get(&id)?;
        if !self.chooses_by_cost() {
            let asked = state.attempts >= ASKED_MOST;
            return asked.then(|| self.last_held(id)).flatten();
        }
        let asked = state.held.len() >= HELD_MOST && !state.insisted;
        let pool = self.pools.get(&state.rule.service).filter(|_| asked)?;
        pool.cheapest_of(now, &state.held, state.rule.work_kind())
            .map(|(id, _)| id)
    }

    /// An upstream that held the request off and was not yet made to run it.
    pub(crate) fn last_held(&self, id: RequestId) -> Option<UpstreamId> {
        let state = self.requests.get(&id)?;
        let last = state.held.last().copied();
        last.filter(|_| !state.insisted)
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
        let insist = state.held.contains(&upstream) || state.held.len() >= HELD_MOST;
        state.insisted |= insist;
        state.open.push(OpenAttempt {
            number,
            upstream,
            executor,
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
            label: Arc::clone(&state.caller.label),
            upstream,
            executor,
            address: if upstream.node == own { None } else { address },
            customer: state.terms().customer.clone(),
            account: state.account.as_ref().map(|rule| rule.name().clone()),
            service: state.rule.service.clone(),
            priority: state.rule.priority,
            time_left: state.deadline.saturating_sub(now),
            signature: state.signature.0,
            ticket: state.ticket.clone(),
            reply_id_header: state.terms().reply_id_header.clone(),
            max_body: state.rule.max_body,
            reply_buffer: usize::try_from(state.rule.reply_buffer).unwrap_or(usize::MAX),
            trial_fit: is_trial_fit(state),
            insist,
            patience: patience_of(now, state),
            kind: state.rule.work_kind(),
            arrival: arrival_of(state),
        };
        out.push(NodeCommand::Note(NodeNote::AttemptSent {
            label: Arc::clone(&order.label),
            number,
            to: upstream,
            service: order.service.clone(),
            prefix: Arc::clone(&state.rule.prefix),
            version: state.rule.terms.version,
            left: order.time_left,
            view: self
                .pools
                .get(&order.service)
                .and_then(|pool| pool.view_of(now, upstream)),
        }));
        out.push(NodeCommand::Dispatch(Box::new(order)));
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
        let label = Arc::clone(&state.caller.label);
        if budget_entry(&mut self.budgets, state).hedges.withdraw(now) {
            self.dispatch(now, id, upstream, out);
            out.push(NodeCommand::Note(NodeNote::HedgeSent {
                request: label,
                service,
                to: upstream,
            }));
        }
    }
}

fn arrival_of(state: &RequestState) -> ArrivalKind {
    if state.arrivals > 0 || state.open.len() > 1 {
        ArrivalKind::Repeat
    } else {
        state.first_arrival
    }
}

/// Whether a request may run on an upstream that may be failing: it may be repeated, and has not been.
fn is_trial_fit(state: &RequestState) -> bool {
    state.rule.repeat == RepeatClass::Idempotent && state.uncertain == 0
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
