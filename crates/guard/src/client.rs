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
use crate::event::DispatchOutcome;
use crate::key::{KeyFingerprint, KeyId, KeyTime, RangeId};
use crate::map::RangeGeneration;
use crate::message::SeatVerdict;
use crate::request::{ClientRequest, RequestPhase, RequestStep};
use crate::turn::GuardTurn;

/// How long a dispatched request is kept after its deadline if the engine does not settle it.
const LINGER: Duration = Duration::from_mins(1);

/// Unfinished requests of this ingress.
#[derive(Debug, Default)]
pub(crate) struct KeyClient {
    requests: BTreeMap<RequestId, ClientRequest>,
    by_key: BTreeMap<KeyId, BTreeSet<RequestId>>,
    wakes: BTreeSet<(Duration, RequestId)>,
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
    pub(crate) fn admit(&mut self, turn: &mut GuardTurn<'_>, admit: &AdmitRequest) {
        self.admitted += 1;
        let stamp_ms = match admit.key.time {
            KeyTime::Timed(key_ms) => key_ms,
            KeyTime::Window(_) => turn.wall_ms(),
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
        request.claim(turn);
        self.by_key
            .entry(admit.key)
            .or_default()
            .insert(admit.request);
        self.requests.insert(admit.request, request);
        self.arm(turn, admit.request);
    }

    pub(crate) fn redirect(
        &mut self,
        turn: &mut GuardTurn<'_>,
        id: RequestId,
        executor: InstanceId,
    ) {
        self.step(turn, id, |request, turn| {
            if matches!(
                request.phase,
                RequestPhase::Dispatched(_) | RequestPhase::Reoffered
            ) {
                request.dead.push(request.attempt());
                request.number += 1;
                request.executor = executor;
                request.claim(turn);
            }
            RequestStep::Keep
        });
    }

    pub(crate) fn settled(
        &mut self,
        turn: &mut GuardTurn<'_>,
        id: RequestId,
        outcome: DispatchOutcome,
    ) {
        let mut unknown = false;
        self.step(turn, id, |request, turn| {
            let dispatched = match &request.phase {
                RequestPhase::Dispatched(ticket) => Some(ticket.clone()),
                RequestPhase::Reoffered => None,
                _ => return RequestStep::Keep,
            };
            match (outcome, dispatched) {
                (DispatchOutcome::Lost, Some(ticket)) => {
                    request.phase = RequestPhase::Resolving(ticket);
                    request.tries = 0;
                    request.resolve(turn)
                }
                (DispatchOutcome::NotRun, _) | (_, None) => {
                    request.bury(turn);
                    RequestStep::Drop
                }
                (DispatchOutcome::Ran, _) => RequestStep::Drop,
                (DispatchOutcome::Unknown, _) => {
                    unknown = true;
                    let (request, key) = (request.request, request.key);
                    turn.note(GuardNote::AnsweredUnknown { request, key });
                    RequestStep::Drop
                }
            }
        });
        self.unknown += u64::from(unknown);
    }

    pub(crate) fn abandoned(&mut self, turn: &mut GuardTurn<'_>, id: RequestId) {
        self.step(turn, id, |request, turn| match request.phase {
            RequestPhase::Dispatched(_) | RequestPhase::Resolving(_) => RequestStep::Keep,
            _ => {
                request.bury(turn);
                RequestStep::Drop
            }
        });
    }

    pub(crate) fn claim_reply(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        attempt: AttemptId,
        generation: RangeGeneration,
        verdict: SeatVerdict,
    ) {
        let mut granted = false;
        self.step(turn, attempt.request, |request, turn| {
            if request.attempt() != attempt {
                return RequestStep::Keep;
            }
            let step = request.take_verdict(turn, from, generation, verdict);
            granted = matches!(request.phase, RequestPhase::Dispatched(_));
            step
        });
        self.granted += u64::from(granted);
    }

    /// Restarts the claims of all requests in a range whose seats have changed.
    pub(crate) fn map_changed(&mut self, turn: &mut GuardTurn<'_>, range: RangeId) {
        let claims = |request: &&ClientRequest| {
            matches!(request.phase, RequestPhase::Claiming(_))
                && turn.range_of(request.key) == range
        };
        let waiting = self.requests.values().filter(claims);
        let ids: Vec<RequestId> = waiting.map(|request| request.request).collect();
        for id in ids {
            self.step(turn, id, |request, turn| {
                request.claim(turn);
                RequestStep::Keep
            });
        }
    }

    /// Resends due messages, and answers requests whose deadline has passed.
    pub(crate) fn tick(&mut self, turn: &mut GuardTurn<'_>) {
        while let Some((wake, id)) = self.wakes.first().copied() {
            if wake > turn.now {
                break;
            }
            self.step(turn, id, ClientRequest::wake_up);
            if self.wakes.first() == Some(&(wake, id)) {
                self.wakes.pop_first();
            }
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.wakes.first().map(|(wake, _)| *wake)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&ClientRequest> {
        self.requests.get(&id)
    }

    /// Returns the unfinished requests of a key.
    pub(crate) fn of_key(&self, key: KeyId) -> Vec<RequestId> {
        let ids = self.by_key.get(&key);
        ids.into_iter().flatten().copied().collect()
    }

    /// Applies a state transition to a request and carries out its result.
    pub(crate) fn step<F>(&mut self, turn: &mut GuardTurn<'_>, id: RequestId, act: F)
    where
        F: FnOnce(&mut ClientRequest, &mut GuardTurn<'_>) -> RequestStep,
    {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match act(request, turn) {
            RequestStep::Keep => self.arm(turn, id),
            RequestStep::Drop => {
                self.remove(id);
            }
            RequestStep::Answer(verdict) => self.answer(turn, id, verdict),
        }
    }

    fn answer(&mut self, turn: &mut GuardTurn<'_>, id: RequestId, verdict: AnswerVerdict) {
        let Some(mut request) = self.remove(id) else {
            return;
        };
        if matches!(
            request.phase,
            RequestPhase::Claiming(_) | RequestPhase::Reoffered
        ) {
            request.bury(turn);
        }
        if let AnswerVerdict::Refuse(refusal) = &verdict
            && refusal.run == RunState::Unknown
        {
            self.unknown += 1;
            let key = request.key;
            turn.note(GuardNote::AnsweredUnknown { request: id, key });
        }
        let request = id;
        turn.out.push(GuardCommand::Answer { request, verdict });
    }

    fn remove(&mut self, id: RequestId) -> Option<ClientRequest> {
        let request = self.requests.remove(&id)?;
        self.wakes.remove(&(request.wake, id));
        if let Some(ids) = self.by_key.get_mut(&request.key) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_key.remove(&request.key);
            }
        }
        Some(request)
    }

    /// Sets the timer of a request to the next resend or the deadline, whichever is earlier.
    fn arm(&mut self, turn: &mut GuardTurn<'_>, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.wakes.remove(&(request.wake, id));
        let tries = request.tries;
        request.wake = match request.phase {
            RequestPhase::Dispatched(_) => request.deadline + LINGER,
            RequestPhase::Reoffered => request.deadline,
            _ => turn.next_try(tries).min(request.deadline),
        };
        self.wakes.insert((request.wake, id));
    }
}
