//! Ingress: from the arrival of a request to its first dispatch.
//!
//! ```text
//! arrival ─ route ─ share ─┬─ idempotent ───────────────▶ pick ─ dispatch ─ end ─ answer
//!                          └─ keyed ─ body ─ pick ─ grant ──────▶ dispatch ─┘
//! ```
//!
//! The modules `dispatch`, `completion` and `budgets` handle the later steps.

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
use crate::drain::NODE_RETRY_DELAY;
use crate::event::CallerRequest;
use crate::fleet::FLEET_INDEX;
use crate::node::{NodeEngine, TimerPurpose};
use crate::note::{NodeNote, RequestSummary};
use crate::request::{RequestPhase, RequestState};

/// Maximum time that a request waits for a share of its customer's limits.
const MAX_SHARE_WAIT: Duration = Duration::from_secs(1);

/// Customer, route and, under a fleet contract, client account of a request.
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
        let customer = self.caller_account_name(&caller);
        match self.open_request(now, caller) {
            Ok(state) => {
                // Only requests that a leaving node serves while callers move away keep it running.
                // If refused or later ones counted, callers that keep asking would keep it running
                // until the platform kills it.
                if self.serves_until().is_none_or(|until| now < until) {
                    self.last_request = now;
                }
                self.timers
                    .insert((state.deadline, TimerPurpose::Deadline, id));
                self.requests.insert(id, state);
                if self.uses_fleet_contract() {
                    self.start_request(now, id, out);
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
                    overloaded_offers: 0,
                    forecast: None,
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
        if !self.has_contracts() {
            return Err(
                RequestRefusal::not_run(RefusalCode::NotReady).retry_after(NODE_RETRY_DELAY)
            );
        }
        let (customer, mut rule, account) =
            self.route_of(&caller).map_err(RequestRefusal::not_run)?;
        if caller
            .body_length
            .is_some_and(|length| length > rule.max_body)
        {
            return Err(RequestRefusal::not_run(RefusalCode::BodyTooLarge));
        }
        let time = caller
            .time_left
            .map_or(rule.deadline, |left| left.min(rule.deadline));
        if let Some(refusal) = self.refusal_to_leave(now, now + time, &rule.service) {
            return Err(refusal);
        }
        let deadline = self.limit_to_stop(now + time);
        let key =
            idempotency_key_of(&rule, caller.key.as_deref()).map_err(RequestRefusal::not_run)?;
        if let Some(account) = &account {
            let withdrawn = self.withdraw_quota(now, account);
            withdrawn.inspect_err(|refusal| {
                self.count_refusal(now, &rule.service, refusal.code, Some(account.name()));
            })?;
        }
        let idempotent = rule.repeat == RepeatClass::Idempotent;
        let called_by = self.calling_run(now, &caller, &rule.service);
        let first_arrival =
            self.first_arrival(&rule.service, account.is_some(), called_by.as_ref());
        if let Some(run) = &called_by {
            rule.priority = run.priority;
        }
        let signature = CrashSignature::of(
            rule.terms.customer.as_str(),
            &format!("{} {}", caller.method, caller.target),
            0,
        );
        Ok(RequestState {
            customer: CustomerIndex(customer.0),
            account,
            arrived: now,
            deadline,
            phase: RequestPhase::AwaitingShare,
            plan: retry_plan_for(idempotent, deadline, self.uses_fleet_contract()),
            open: Vec::new(),
            attempts: 0,
            key,
            ticket: None,
            refusal: None,
            chosen: None,
            signature,
            share_held: false,
            share_next: None,
            rejected_by: Vec::new(),
            was_forced: false,
            uncertain: 0,
            arrivals: 0,
            first_arrival,
            called_by,
            repeats_refused: 0,
            overloaded_offers: 0,
            forecast: None,
            overloaded: 0,
            wait: None,
            last: None,
            last_upstream: None,
            crashed_twice: false,
            caller,
            rule,
        })
    }

    fn route_of(&mut self, caller: &CallerRequest) -> Result<RequestTerms, RefusalCode> {
        if self.uses_fleet_contract() {
            let (rule, account) = self.resolve_fleet_route(caller)?;
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
    /// The total wait is bounded by [`MAX_SHARE_WAIT`]. Without the bound, a request whose share
    /// keeper is gone would wait for a new grant again and again, until its deadline. More than one
    /// attempt is needed because the first token of a first lease can arrive after the first wait.
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
                self.leave_share_queue(customer, id);
                self.start_request(now, id, out);
            }
            Admission::Wait { until } => {
                self.await_share(id, until);
                self.tick_shares(now, out);
            }
            Admission::Refused { .. } if state.share_next.is_some_and(|next| now < next) => {}
            Admission::Refused { retry_after } => {
                let last = state.deadline.min(state.arrived + MAX_SHARE_WAIT);
                if state.share_next.is_some() && now + retry_after < last {
                    self.await_share(id, now + retry_after);
                    return;
                }
                self.leave_share_queue(customer, id);
                let refusal = RequestRefusal::not_run(RefusalCode::LimitExceeded);
                self.refuse_after_guards(now, id, refusal.retry_after(retry_after), out);
            }
        }
    }

    /// Queues a request for a share and schedules the next attempt for `next` at the latest.
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

    pub(crate) fn leave_share_queue(&mut self, customer: CustomerIndex, id: RequestId) {
        if let Some(queue) = self.share_queue.get_mut(&customer) {
            queue.remove(&id);
            if queue.is_empty() {
                self.share_queue.remove(&customer);
            }
        }
    }

    /// Refuses a request that will not be dispatched, after asking the guards of its key.
    ///
    /// If a booking ran and its reply was lost, a resend that meets a limit must not be refused as
    /// "not run", since the caller would book again. The guards return the stored reply, or ensure
    /// that no earlier send of the key has run.
    fn refuse_after_guards(
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

    fn start_request(&mut self, now: Duration, id: RequestId, out: &mut Vec<NodeCommand>) {
        let fleet = self.uses_fleet_contract();
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let customer_budgets = budget_entry(&mut self.budgets, state);
        // Under a fleet contract the bound on repeats counts arrivals at backend servers. Only
        // idempotent requests add to the retry budget, because calls made by a repeated run count
        // as repeats too.
        if !fleet || state.rule.repeat == RepeatClass::Idempotent {
            customer_budgets.retries.deposit(now);
        }
        customer_budgets.resends.deposit(now);
        customer_budgets.hedges.deposit(now);
        if state.key.is_some() {
            self.read_body(id, out);
        } else {
            state.phase = RequestPhase::Dispatched;
            self.dispatch_next(now, id, out);
        }
    }

    /// Records that the body of a request can be sent only once.
    pub(crate) fn on_body_not_kept(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.caller.replayable = false;
        }
    }

    /// Selects an upstream for a keyed request whose body was read, and asks the guards of the key.
    pub(crate) fn on_body(
        &mut self,
        now: Duration,
        id: RequestId,
        fingerprint: KeyFingerprint,
        out: &mut Vec<NodeCommand>,
    ) {
        let chosen = self.select_upstream(now, id);
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
        self.handle_guard_event(now, event, out);
    }
}

fn retry_plan_for(idempotent: bool, deadline: Duration, fleet: bool) -> RetryPlan {
    let plan = RetryPlan::new(idempotent, deadline);
    if fleet {
        plan.with_all_attempts()
    } else {
        plan
    }
}

/// Returns the idempotency key of a non-idempotent request.
///
/// Returns `None` for idempotent requests, and for requests without a key if the contract then lets
/// each send run once.
fn idempotency_key_of(rule: &RouteRule, key: Option<&str>) -> Result<Option<KeyId>, RefusalCode> {
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
