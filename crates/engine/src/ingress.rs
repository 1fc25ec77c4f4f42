//! The caller side: from a request's arrival to its final answer.
//!
//! ```text
//! arrival ─ route ─ share ─┬─ idempotent ───────────────▶ pick ─ dispatch ─ end ─ answer
//!                          └─ keyed ─ body ─ pick ─ grant ──────▶ dispatch ─┘
//! ```
//!
//! This module takes a request up to its dispatch; `dispatch`, `ending` and `budgets` go on.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{
    AccountRule, CustomerIndex as TableIndex, OpaqueKeys, RepeatClass, RouteRule,
};
use sycamorelink_core::{RefusalCode, RequestId, RequestRefusal};
use sycamorelink_guard::{GuardEvent, KeyFingerprint, KeyId, KeyTime};
use sycamorelink_limits::{Admission, CrashSignature, CustomerIndex};
use sycamorelink_policy::RetryPlan;

use crate::budgets::budget_entry;
use crate::command::NodeCommand;
use crate::dispatch::no_upstream;
use crate::event::CallerRequest;
use crate::fleet::FLEET_INDEX;
use crate::node::{HandoverState, NodeEngine, TimerPurpose};
use crate::note::{NodeNote, RequestSummary};
use crate::request::{RequestPhase, RequestState};

/// When a caller refused by a leaving or starting node should come back.
const ELSEWHERE_WAIT: Duration = Duration::from_millis(500);
/// Longest time that a request waits for a share of its customer's limits.
const SHARE_PATIENCE: Duration = Duration::from_secs(1);

/// What holds for a request: its customer, its route, and its client account under a fleet contract.
type RequestTerms = (TableIndex, RouteRule, Option<Arc<AccountRule>>);

impl NodeEngine {
    pub(crate) fn on_request(
        &mut self,
        now: Duration,
        caller: CallerRequest,
        out: &mut Vec<NodeCommand>,
    ) {
        let id = caller.id;
        let label = Arc::clone(&caller.label);
        let customer = self.account_named_by(&caller);
        match self.open_request(now, caller) {
            Ok(state) => {
                // Failure: callers come again and again to a leaving node that refuses them, and it
                // stays until it is ended by force. Only those that it serves keep it.
                self.last_request = now;
                self.timers
                    .insert((state.deadline, TimerPurpose::Deadline, id));
                self.requests.insert(id, state);
                if self.has_fleet_form() {
                    self.begin(now, id, out);
                } else {
                    self.try_share(now, id, out);
                }
            }
            Err(refusal) => {
                let summary = RequestSummary {
                    label,
                    request: id,
                    customer,
                    service: None,
                    refusal: Some(refusal.clone()),
                    status: None,
                    latency: Duration::ZERO,
                    attempts: 0,
                };
                out.push(NodeCommand::Refuse {
                    request: id,
                    refusal,
                });
                out.push(NodeCommand::Note(NodeNote::RequestSettled(summary)));
            }
        }
    }

    fn open_request(
        &mut self,
        now: Duration,
        caller: CallerRequest,
    ) -> Result<RequestState, RequestRefusal> {
        if self.takes_no_more(now) {
            return Err(RequestRefusal::not_run(RefusalCode::Draining).retry_after(ELSEWHERE_WAIT));
        }
        if !self.knows_contracts() {
            return Err(RequestRefusal::not_run(RefusalCode::NotReady).retry_after(ELSEWHERE_WAIT));
        }
        let (customer, rule, account) = self.route_of(&caller).map_err(RequestRefusal::not_run)?;
        if caller
            .body_length
            .is_some_and(|length| length > rule.max_body)
        {
            return Err(RequestRefusal::not_run(RefusalCode::BodyTooLarge));
        }
        let key = key_of(&rule, caller.key.as_deref()).map_err(RequestRefusal::not_run)?;
        if let Some(account) = &account {
            self.take_quota(now, account)?;
        }
        let time = caller
            .time_left
            .map_or(rule.deadline, |left| left.min(rule.deadline));
        let idempotent = rule.repeat == RepeatClass::Idempotent;
        let first_arrival = self.first_arrival(&rule.service, account.is_some());
        let signature = CrashSignature::of(
            rule.terms.customer.as_str(),
            &format!("{} {}", caller.method, caller.target),
            0,
        );
        Ok(RequestState {
            customer: CustomerIndex(customer.0),
            account,
            arrived: now,
            deadline: now + time,
            phase: RequestPhase::AwaitingShare,
            plan: plan_of(idempotent, now + time, self.has_fleet_form()),
            open: Vec::new(),
            attempts: 0,
            key,
            ticket: None,
            refusal: None,
            chosen: None,
            signature,
            share_held: false,
            share_next: None,
            held: Vec::new(),
            insisted: false,
            uncertain: 0,
            arrivals: 0,
            first_arrival,
            repeats_refused: 0,
            last: None,
            last_at: None,
            crashed_twice: false,
            caller,
            rule,
        })
    }

    /// Failure: a leaving node tells that nothing is left, a caller's request comes while its process
    /// stops, and its connection is cut with the request at an upstream. A node that has told so
    /// refuses, as does one that has served on for as long as a leaving node does.
    fn takes_no_more(&self, now: Duration) -> bool {
        let since = self.draining;
        self.handover == HandoverState::Drained
            || since.is_some_and(|since| now >= since + self.settings.leave_serving)
    }

    fn route_of(&mut self, caller: &CallerRequest) -> Result<RequestTerms, RefusalCode> {
        if self.has_fleet_form() {
            let (rule, account) = self.fleet_rule(caller)?;
            return Ok((FLEET_INDEX, rule, account));
        }
        let customer = self
            .table
            .find_customer(caller.token.as_bytes())
            .ok_or(RefusalCode::UnknownCustomer)?;
        let rule = self
            .table
            .find_route(customer, &caller.method, &caller.path)
            .ok_or(RefusalCode::UnknownRoute)?;
        Ok((customer, rule.clone(), None))
    }

    /// Takes a share of the customer's limits, or waits for one that is expected soon.
    ///
    /// Failure: the keeper of the share is gone and every try waits for its grant anew, so the
    /// caller is refused only at the deadline. The whole wait ends after [`SHARE_PATIENCE`]. A
    /// first lease can bring its first token later than the first wait, hence more than one try.
    pub(crate) fn try_share(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.phase != RequestPhase::AwaitingShare {
            return;
        }
        let customer = state.customer;
        let admission = match state.share_next {
            None => self.shares.admit(now, customer),
            Some(_) => self.shares.admit_again(now, customer),
        };
        match admission {
            Admission::Admitted => {
                state.share_held = true;
                self.leave_queue(customer, id);
                self.begin(now, id, out);
            }
            Admission::Wait { until } => {
                self.await_share(id, until);
                self.tick_shares(now, out);
            }
            Admission::Refused { .. } if state.share_next.is_some_and(|next| now < next) => {}
            Admission::Refused { retry_after } => {
                let last = state.deadline.min(state.arrived + SHARE_PATIENCE);
                if state.share_next.is_some() && now + retry_after < last {
                    self.await_share(id, now + retry_after);
                    return;
                }
                self.leave_queue(customer, id);
                let refusal = RequestRefusal::not_run(RefusalCode::LimitExceeded);
                self.refuse_asked(now, id, refusal.retry_after(retry_after), out);
            }
        }
    }

    /// Has a request tried again when a share is granted, and at the latest then.
    fn await_share(&mut self, id: RequestId, next: Duration) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.share_next = Some(next);
            let queue = self.share_queue.entry(state.customer).or_default();
            queue.insert(id);
            if next < state.deadline {
                self.timers.insert((next, TimerPurpose::Share, id));
            }
        }
    }

    pub(crate) fn leave_queue(&mut self, customer: CustomerIndex, id: RequestId) {
        if let Some(queue) = self.share_queue.get_mut(&customer) {
            queue.remove(&id);
            if queue.is_empty() {
                self.share_queue.remove(&customer);
            }
        }
    }

    /// Refuses a request that is not to be dispatched.
    ///
    /// Failure: a booking ran, its reply was lost, and the resend meets a limit and is told "not
    /// run"; the caller books again. So the guards of a key are asked first: they give the kept
    /// reply, or make sure that no send of the key has run.
    fn refuse_asked(
        &mut self,
        now: Duration,
        id: RequestId,
        refusal: RequestRefusal,
        out: &mut Vec<NodeCommand>,
    ) {
        match self.requests.get_mut(&id) {
            Some(state) if state.key.is_some() => {
                state.refusal = Some(refusal);
                self.read_body(id, out);
            }
            _ => self.refuse(now, id, refusal, out),
        }
    }

    fn read_body(&mut self, id: RequestId, out: &mut Vec<NodeCommand>) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.phase = RequestPhase::ReadingBody;
            let limit = state.rule.max_body.min(self.settings.keyed_body);
            out.push(NodeCommand::ReadBody { request: id, limit });
        }
    }

    fn begin(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let fleet = self.has_fleet_form();
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let pair = budget_entry(&mut self.budgets, state);
        // Under a fleet contract the bound on repeats counts what reaches backend servers; only what
        // may be repeated adds to it, since calls that a repeated run makes count as repeats too.
        if !fleet || state.rule.repeat == RepeatClass::Idempotent {
            pair.retries.deposit(now);
        }
        pair.resends.deposit(now);
        pair.hedges.deposit(now);
        if state.key.is_some() {
            self.read_body(id, out);
        } else {
            state.phase = RequestPhase::Dispatched;
            self.dispatch_next(now, id, out);
        }
    }

    /// A keyed request's body is known: choose an upstream and ask the key's guards.
    pub(crate) fn on_body(
        &mut self,
        now: Duration,
        id: RequestId,
        fingerprint: KeyFingerprint,
        out: &mut Vec<NodeCommand>,
    ) {
        let chosen = self.choose(now, id);
        let own = self.own.instance;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if chosen.is_none() {
            state.refusal.get_or_insert(no_upstream());
        }
        let Some(key) = state.key else {
            return;
        };
        state.phase = RequestPhase::AwaitingGrant;
        state.chosen = chosen.map(|(upstream, _)| upstream);
        let executor = chosen.map_or(own, |(_, executor)| executor);
        let deadline = state.deadline;
        let event = GuardEvent::Admit {
            request: id,
            key,
            fingerprint,
            executor,
            deadline,
        };
        self.tell_guard(now, event, out);
    }
}

fn plan_of(idempotent: bool, deadline: Duration, fleet: bool) -> RetryPlan {
    let plan = RetryPlan::new(idempotent, deadline);
    if fleet { plan.patient() } else { plan }
}

/// The key of a request that must not repeat; none when it may, or when the contract lets it run
/// once for each send.
fn key_of(rule: &RouteRule, key: Option<&str>) -> Result<Option<KeyId>, RefusalCode> {
    if rule.repeat == RepeatClass::Idempotent {
        return Ok(None);
    }
    let Some(key) = key else {
        return if rule.keys.required {
            Err(RefusalCode::KeyRequired)
        } else {
            Ok(None)
        };
    };
    let time = match (KeyId::uuid_time(key), rule.keys.opaque) {
        (Some(millis), _) => KeyTime::Timed(millis),
        (None, OpaqueKeys::Window) => KeyTime::Window(millis_of(rule.keys.memory)),
        (None, OpaqueKeys::Refuse) => return Err(RefusalCode::KeyForm),
    };
    Ok(Some(KeyId::of(&rule.terms.customer, key, time)))
}

fn millis_of(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
