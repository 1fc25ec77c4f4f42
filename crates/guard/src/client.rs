//! Ingress side: collects the grants of all seats for each request, and answers its caller.
//!
//! ```text
//! Admit -> Claiming --all granted--> Dispatched --Settled--> done
//!             |  ^                     |  ^   \--Lost--> Resolving --fenced--> Reoffered
//!        rival|  |rival dead   Redirect|  |                                      |
//!             v  |                     v  |                                 Redirect
//!           Joining                  Claiming <----------------------------------+
//! ```
//!
//! The handling of concurrent sends of the same key (rivals) is in [`crate::contest`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::{AttemptId, InstanceId, RequestId, RunState};

use crate::command::{AnswerVerdict, GuardCommand, GuardNote};
use crate::context::GuardContext;
use crate::event::DispatchOutcome;
use crate::key::{KeyFingerprint, KeyId, KeyTime, RangeId};
use crate::map::RangeGeneration;
use crate::message::SeatVerdict;
use crate::request::{ClientRequest, RequestPhase, RequestStep};

/// Time a dispatched request is kept after its deadline if the engine does not settle it.
const DISPATCH_RETENTION: Duration = Duration::from_mins(1);

/// Unfinished requests of this ingress.
#[derive(Debug, Default)]
pub(crate) struct KeyClient {
    requests: BTreeMap<RequestId, ClientRequest>,
    by_key: BTreeMap<KeyId, BTreeSet<RequestId>>,
    /// Timers of the requests, ordered by expiry.
    timers: BTreeSet<(Duration, RequestId)>,
    pub(crate) admitted: u64,
    pub(crate) granted: u64,
    pub(crate) unknown: u64,
}

/// Parameters of an admitted request.
#[derive(Debug)]
pub(crate) struct AdmitRequest {
    pub(crate) request: RequestId,
    pub(crate) key: KeyId,
    pub(crate) fingerprint: KeyFingerprint,
    pub(crate) executor: InstanceId,
    pub(crate) deadline: Duration,
}

impl KeyClient {
    pub(crate) fn on_admit(&mut self, context: &mut GuardContext<'_>, admit: &AdmitRequest) {
        self.admitted += 1;
        let stamp_ms = match admit.key.time {
            KeyTime::Timed(key_ms) => key_ms,
            KeyTime::Window(_) => context.wall_ms(),
        };
        let mut request = ClientRequest {
            request: admit.request,
            key: admit.key,
            fingerprint: admit.fingerprint,
            executor: admit.executor,
            deadline: admit.deadline,
            stamp_ms,
            number: 0,
            dead: Vec::new(),
            phase: RequestPhase::Reoffered,
            tries: 0,
            wake: Duration::ZERO,
        };
        request.claim(context);
        self.by_key
            .entry(admit.key)
            .or_default()
            .insert(admit.request);
        self.requests.insert(admit.request, request);
        self.arm_timer(context, admit.request);
    }

    pub(crate) fn on_redirect(
        &mut self,
        context: &mut GuardContext<'_>,
        id: RequestId,
        executor: InstanceId,
    ) {
        self.step(context, id, |request, context| {
            if matches!(
                request.phase,
                RequestPhase::Dispatched(_) | RequestPhase::Reoffered
            ) {
                request.dead.push(request.attempt());
                request.number += 1;
                request.executor = executor;
                request.claim(context);
            }
            RequestStep::Keep
        });
    }

    pub(crate) fn on_settled(
        &mut self,
        context: &mut GuardContext<'_>,
        id: RequestId,
        outcome: DispatchOutcome,
    ) {
        let mut unknown = false;
        self.step(context, id, |request, context| {
            let dispatched = match &request.phase {
                RequestPhase::Dispatched(ticket) => Some(ticket.clone()),
                RequestPhase::Reoffered => None,
                _ => return RequestStep::Keep,
            };
            match (outcome, dispatched) {
                (DispatchOutcome::Lost, Some(ticket)) => {
                    request.phase = RequestPhase::Resolving(ticket);
                    request.tries = 0;
                    request.resolve(context)
                }
                (DispatchOutcome::NotRun, _) | (_, None) => {
                    request.declare_dead(context);
                    RequestStep::Drop
                }
                (DispatchOutcome::Ran, _) => RequestStep::Drop,
                (DispatchOutcome::Unknown, _) => {
                    unknown = true;
                    let (request, key) = (request.request, request.key);
                    context.note(GuardNote::AnsweredUnknown { request, key });
                    RequestStep::Drop
                }
            }
        });
        self.unknown += u64::from(unknown);
    }

    pub(crate) fn on_abandoned(&mut self, context: &mut GuardContext<'_>, id: RequestId) {
        self.step(context, id, |request, context| match request.phase {
            RequestPhase::Dispatched(_) | RequestPhase::Resolving(_) => RequestStep::Keep,
            _ => {
                request.declare_dead(context);
                RequestStep::Drop
            }
        });
    }

    pub(crate) fn on_claim_reply(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        attempt: AttemptId,
        generation: RangeGeneration,
        verdict: SeatVerdict,
    ) {
        let mut granted = false;
        self.step(context, attempt.request, |request, context| {
            if request.attempt() != attempt {
                return RequestStep::Keep;
            }
            let step = request.on_verdict(context, from, generation, verdict);
            granted = matches!(request.phase, RequestPhase::Dispatched(_));
            step
        });
        self.granted += u64::from(granted);
    }

    /// Restarts the claims of all requests in a range whose seats have changed.
    pub(crate) fn on_map_changed(&mut self, context: &mut GuardContext<'_>, range: RangeId) {
        let claims = |request: &&ClientRequest| {
            matches!(request.phase, RequestPhase::Claiming(_))
                && context.range_of(request.key) == range
        };
        let waiting = self.requests.values().filter(claims);
        let ids: Vec<RequestId> = waiting.map(|request| request.request).collect();
        for id in ids {
            self.step(context, id, |request, context| {
                request.claim(context);
                RequestStep::Keep
            });
        }
    }

    /// Resends due messages, and answers requests whose deadline has passed.
    pub(crate) fn tick(&mut self, context: &mut GuardContext<'_>) {
        while let Some((wake, id)) = self.timers.first().copied() {
            if wake > context.now {
                break;
            }
            self.step(context, id, ClientRequest::on_timer);
            if self.timers.first() == Some(&(wake, id)) {
                self.timers.pop_first();
            }
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.timers.first().map(|(wake, _)| *wake)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&ClientRequest> {
        self.requests.get(&id)
    }

    /// Returns the unfinished requests of a key.
    pub(crate) fn requests_of_key(&self, key: KeyId) -> Vec<RequestId> {
        let ids = self.by_key.get(&key);
        ids.into_iter().flatten().copied().collect()
    }

    /// Applies a state transition to a request and carries out its result.
    pub(crate) fn step<F>(&mut self, context: &mut GuardContext<'_>, id: RequestId, act: F)
    where
        F: FnOnce(&mut ClientRequest, &mut GuardContext<'_>) -> RequestStep,
    {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match act(request, context) {
            RequestStep::Keep => self.arm_timer(context, id),
            RequestStep::Drop => {
                self.remove(id);
            }
            RequestStep::Answer(verdict) => self.answer(context, id, verdict),
        }
    }

    fn answer(&mut self, context: &mut GuardContext<'_>, id: RequestId, verdict: AnswerVerdict) {
        let Some(mut request) = self.remove(id) else {
            return;
        };
        if matches!(
            request.phase,
            RequestPhase::Claiming(_) | RequestPhase::Reoffered
        ) {
            request.declare_dead(context);
        }
        if let AnswerVerdict::Refuse(refusal) = &verdict
            && refusal.run == RunState::Unknown
        {
            self.unknown += 1;
            let key = request.key;
            context.note(GuardNote::AnsweredUnknown { request: id, key });
        }
        let request = id;
        context.out.push(GuardCommand::Answer { request, verdict });
    }

    fn remove(&mut self, id: RequestId) -> Option<ClientRequest> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(&(request.wake, id));
        if let Some(ids) = self.by_key.get_mut(&request.key) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_key.remove(&request.key);
            }
        }
        Some(request)
    }

    /// Sets the timer of a request to the next resend or the deadline, whichever is earlier.
    fn arm_timer(&mut self, context: &mut GuardContext<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(request.wake, id));
        let tries = request.tries;
        request.wake = match request.phase {
            RequestPhase::Dispatched(_) => request.deadline + DISPATCH_RETENTION,
            RequestPhase::Reoffered => request.deadline,
            _ => context.next_resend(tries).min(request.deadline),
        };
        self.timers.insert((request.wake, id));
    }
}
