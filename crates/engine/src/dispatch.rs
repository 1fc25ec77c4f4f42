//! Upstream selection, and the dispatch of attempts and hedges.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::RepeatClass;
use sycamorelink_core::{AttemptId, NodeId, RefusalCode, RequestId, RequestRefusal, UpstreamId};
use sycamorelink_policy::{PolicyMechanism, ServicePool};

use crate::budgets::budget_entry;
use crate::capacity::soonest_terms;
use crate::command::{AttemptOrder, NodeCommand};
use crate::event::{ArrivalKind, WorkTerms};
use crate::node::{NodeEngine, TimerPurpose};
use crate::note::NodeNote;
use crate::request::{OpenAttempt, RequestState};

/// Number of attempts after which an upstream whose breaker rejected the request must run it, where
/// upstreams are not selected by cost.
///
/// Without this limit, upstreams that fail part of their requests stay idle while the others are
/// full and callers are refused, although an attempt that may fail is better than none.
/// Non-idempotent requests are still refused by the node beside the upstream, because a caller is
/// better served by a "not run" answer.
const FORCE_AFTER_ATTEMPTS: u16 = 7;
/// Number of upstreams that may reject a request before the least suspect of them must run it,
/// where upstreams are selected by cost.
///
/// An attempt that may fail is better than a refusal, and each further upstream costs the caller a
/// round trip.
const FORCE_AFTER_REFUSALS: usize = 3;
/// Time for which no new work goes to an instance with an overdue heartbeat answer.
/// `PeerUnresponsive` events repeat while the answer is overdue.
pub(crate) const OVERDUE_AVOIDANCE: Duration = Duration::from_millis(300);
/// Time for which no new work goes to an instance that the membership suspects. Long enough for the
/// membership to find the instance dead or alive.
pub(crate) const SUSPECT_AVOIDANCE: Duration = Duration::from_secs(2);
/// Time for which an upstream that rejected work is not selected again, where upstreams are not
/// selected by cost: half of the usual interval between two trials of one upstream.
const REJECTION_AVOIDANCE: Duration = Duration::from_millis(800);
/// Fraction of the latency objective within which a run must start. A run takes a third of the
/// objective on average.
const MAX_START_FRACTION: f64 = 0.6;
/// Retry delay given to callers of a service without a usable upstream.
const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_secs(1);

impl NodeEngine {
    /// Selects an upstream that was not tried yet, and returns it with the instance beside it.
    pub(crate) fn select_upstream(
        &mut self,
        now: Duration,
        id: RequestId,
    ) -> Option<(UpstreamId, sycamorelink_core::InstanceId)> {
        let service = self.requests.get(&id)?.rule.service.clone();
        let by_cost = self.chooses_by_cost();
        self.ensure_pool(now, &service);
        self.pool_used.insert(service.clone(), now);
        self.avoided_upstreams.retain(|_, until| *until > now);
        let by_time = by_cost && self.prepare_capacity(now, &service);
        let state = self.requests.get(&id)?;
        let kind = state.rule.work_kind();
        let soonest_terms = soonest_terms(now, state);
        let table = self.capacity.tables.get(&service).filter(|_| by_time);
        let spills = self.uses_overload_mechanism(PolicyMechanism::DomainSpillover);
        let pool = self.pools.get_mut(&service)?;
        pool.spill_over(spills);
        let tried = state.plan.exclude();
        let tried = tried.as_slice();
        let excluded: Vec<UpstreamId> = tried
            .iter()
            .chain(self.avoided_upstreams.keys())
            .copied()
            .collect();
        let seeks_trial = by_cost
            && self.settings.policy.is_on(PolicyMechanism::EvenTrials)
            && is_trial_fit(state)
            && state.attempts == 0;
        let mut pick = |exclude: &[UpstreamId]| {
            if seeks_trial && let Some(avoided) = pool.pick_trial(now, exclude, kind) {
                return Some(avoided);
            }
            if let Some(table) = table {
                pool.pick_soonest(now, table, exclude, &soonest_terms)
            } else if by_cost {
                pool.pick_cheapest(now, exclude, kind)
            } else {
                pool.pick(now, exclude)
            }
        };
        let first = (excluded.len() > tried.len()).then(|| pick(&excluded));
        let untried = first.flatten().or_else(|| pick(tried));
        let again = state.plan.may_try_again();
        let upstream = untried.or_else(|| again.then(|| pick(&[])).flatten())?;
        let executor = self.instance_of(upstream.node)?;
        Some((upstream, executor))
    }

    /// Returns whether upstreams are selected by expected cost. Under per-customer contracts the
    /// weights follow the callers' scores alone.
    fn chooses_by_cost(&self) -> bool {
        self.uses_fleet_contract() && self.settings.policy.is_on(PolicyMechanism::CostChoice)
    }

    /// Excludes the upstreams of a node from selection for a time.
    ///
    /// When an instance is lost without notice, its connections take about a second to count as
    /// silent. Work sent in that second ends with an unknown outcome, so an instance with an
    /// overdue answer gets no new work. Its connections and the work on them stay untouched, so a
    /// mere pause has no further cost.
    pub(crate) fn avoid_node(&mut self, now: Duration, node: NodeId, hold: Duration) {
        if !self.uses_fleet_contract() {
            return;
        }
        let pools = self.pools.values();
        let node_upstreams: Vec<UpstreamId> = pools
            .flat_map(ServicePool::standings)
            .map(|standing| standing.id)
            .filter(|id| id.node == node)
            .collect();
        for upstream in node_upstreams {
            self.avoided_upstreams.insert(upstream, now + hold);
        }
    }

    /// Selects the upstreams of a node again after the membership found a suspected node alive.
    pub(crate) fn stop_avoiding_node(&mut self, node: NodeId) {
        self.avoided_upstreams
            .retain(|upstream, _| upstream.node != node);
    }

    /// Excludes an upstream that rejected work from selection for a time.
    pub(crate) fn avoid_upstream(&mut self, now: Duration, upstream: UpstreamId) {
        if self.chooses_by_cost() {
            // The refusal reported the upstream's failure chance, which its cost includes.
            return;
        }
        self.avoided_upstreams
            .insert(upstream, now + REJECTION_AVOIDANCE);
    }

    /// Returns the upstream that must run a request although its breaker rejected the request, once
    /// enough upstreams were asked.
    pub(crate) fn forced_upstream(&self, now: Duration, id: RequestId) -> Option<UpstreamId> {
        let state = self.requests.get(&id)?;
        if !self.chooses_by_cost() {
            let asked = state.attempts >= FORCE_AFTER_ATTEMPTS;
            return asked.then(|| self.last_refusing_upstream(id)).flatten();
        }
        let asked = state.rejected_by.len() >= FORCE_AFTER_REFUSALS && !state.was_forced;
        let pool = self.pools.get(&state.rule.service).filter(|_| asked)?;
        pool.cheapest_of(now, &state.rejected_by, state.rule.work_kind())
            .map(|(id, _)| id)
    }

    /// Returns the last upstream that rejected the request, unless one was already forced to run
    /// it.
    pub(crate) fn last_refusing_upstream(&self, id: RequestId) -> Option<UpstreamId> {
        let state = self.requests.get(&id)?;
        let last = state.rejected_by.last().copied();
        last.filter(|_| !state.was_forced)
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

    /// Dispatches an unkeyed request to the next upstream.
    pub(crate) fn dispatch_next(
        &mut self,
        now: Duration,
        id: RequestId,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(refusal) = self.overload_refusal(now, id, None) {
            self.refuse(now, id, refusal, out);
            return;
        }
        let Some((upstream, _)) = self.select_upstream(now, id) else {
            self.refuse_no_upstream(now, id, out);
            return;
        };
        self.dispatch(now, id, upstream, out);
        self.arm_hedge(now, id);
    }

    /// Orders one attempt and records it as open.
    pub(crate) fn dispatch(
        &mut self,
        now: Duration,
        id: RequestId,
        upstream: UpstreamId,
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.own.instance.node;
        let sends_terms = self.uses_overload_mechanism(PolicyMechanism::DeadlineQueue);
        let latest_start = self.latest_start_to_leave();
        let address = self.address_of(upstream.node);
        let Some(executor) = self.instance_of(upstream.node) else {
            return;
        };
        let expected = self.expected_time(now, id, upstream);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let number = state.attempts;
        state.attempts += 1;
        state.plan.tried(upstream);
        let insist = state.rejected_by.contains(&upstream)
            || state.rejected_by.len() >= FORCE_AFTER_REFUSALS;
        state.was_forced |= insist;
        state.open.push(OpenAttempt {
            number,
            upstream,
            executor,
            sent: now,
        });
        if let Some(pool) = self.pools.get_mut(&state.rule.service) {
            pool.sent(now, upstream);
        }
        if let Some(table) = self.capacity.tables.get_mut(&state.rule.service) {
            table.sent(now, upstream);
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
            patience: if sends_terms {
                latest_start.map(|at| at.saturating_sub(now))
            } else {
                max_slot_wait(now, state)
            },
            kind: state.rule.work_kind(),
            arrival: arrival_kind(state),
            terms: sends_terms.then(|| work_terms(now, state)),
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
                .and_then(|pool| pool.upstream_view(now, upstream)),
            expected,
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
            .and_then(ServicePool::tail_latency);
        if let Some(at) = state.plan.hedge_at(now, delay) {
            self.timers.insert((at, TimerPurpose::Hedge, id));
        }
    }

    /// Sends a second attempt to another upstream when a reply is later than usual and the budget
    /// allows it.
    pub(crate) fn on_hedge(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let may_hedge = state.caller.replayable && !state.has_reached_run_limit();
        if state.open.len() != 1 || !may_hedge {
            return;
        }
        let Some((upstream, _)) = self.select_upstream(now, id) else {
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

fn arrival_kind(state: &RequestState) -> ArrivalKind {
    if state.arrivals > 0 || state.open.len() > 1 {
        ArrivalKind::Repeat
    } else {
        state.first_arrival
    }
}

/// Returns whether a request may run on a suspect upstream: it is idempotent, and no attempt may
/// have run.
fn is_trial_fit(state: &RequestState) -> bool {
    state.rule.repeat == RepeatClass::Idempotent && state.uncertain == 0
}

/// Returns the maximum wait for a slot. A run must start well within the latency objective;
/// otherwise the slot is better used for a request that can still meet it. Per-customer contracts
/// set no such limit, and only the deadline applies.
fn max_slot_wait(now: Duration, state: &RequestState) -> Option<Duration> {
    state.rule.attempts?;
    let latency = state.rule.objective?.latency;
    let latest = state.arrived + latency.mul_f64(MAX_START_FRACTION);
    Some(latest.saturating_sub(now))
}

/// Returns the terms for the executor. A call has the account and the objective of the run that made it.
fn work_terms(now: Duration, state: &RequestState) -> WorkTerms {
    let objective = state.rule.objective;
    let own_objective = objective.map(|objective| state.arrived + objective.latency);
    let called_by = state.called_by.as_ref();
    let objective_at = called_by.and_then(|run| run.objective).or(own_objective);
    let own_account = state.account.as_ref().map(|rule| rule.name().clone());
    WorkTerms {
        objective_left: objective_at.map(|at| at.saturating_sub(now)),
        account: own_account.or_else(|| called_by.and_then(|run| run.account.clone())),
    }
}

/// Returns the refusal for a service without a usable upstream.
pub(crate) fn no_upstream() -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::NoUpstream).retry_after(NO_UPSTREAM_RETRY_DELAY)
}
