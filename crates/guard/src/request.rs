//! State machine of one request at its ingress.
//!
//! The transitions for two concurrent sends of the same key are in [`crate::contest`].

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{AttemptId, InstanceId, RefusalCode, RequestId, RequestRefusal};

use crate::ballot::majority;
use crate::command::{AnswerVerdict, DispatchTicket, GuardCommand};
use crate::context::{GuardContext, millis};
use crate::key::{KeyFingerprint, KeyId};
use crate::map::{RangeEntry, RangeGeneration};
use crate::message::{AttemptHolder, ClaimRequest, GuardMessage, SeatVerdict};

/// Another send of the same key, reported by a seat.
#[derive(Clone, Debug)]
pub(crate) struct RivalState {
    pub(crate) holder: AttemptHolder,
    /// Number of queries that were not answered.
    pub(crate) unanswered: u32,
    /// Whether its ingress answered that it no longer holds the request.
    pub(crate) unknown_at_ingress: bool,
}

impl RivalState {
    pub(crate) const fn new(holder: AttemptHolder) -> Self {
        Self {
            holder,
            unanswered: 0,
            unknown_at_ingress: false,
        }
    }
}

/// Progress of collecting the grants for one attempt.
#[derive(Debug, Default)]
pub(crate) struct ClaimRound {
    /// Generation whose seats are asked; `None` while the seats of the range are unknown.
    pub(crate) entry: Option<RangeEntry>,
    /// Seats that granted.
    pub(crate) granted: BTreeSet<InstanceId>,
    /// Seats that rejected the key because its time is too far in the future.
    pub(crate) ahead: BTreeSet<InstanceId>,
    pub(crate) rival: Option<RivalState>,
}

impl ClaimRound {
    /// Returns whether certainly no attempt of this key has run.
    ///
    /// A majority of one generation must have found the key unused, or held only by dead attempts.
    /// The next generation keeps at least one of these seats, which now holds the key for this
    /// request, and each of them has all records of earlier generations. A single seat is not
    /// enough, because it may have been replaced without its knowledge.
    fn is_clean(&self) -> bool {
        let clean = self.granted.len() + self.ahead.len();
        let seats = self.entry.as_ref().map(|entry| entry.seats.len());
        self.rival.is_none() && seats.is_some_and(|seats| clean >= majority(seats))
    }
}

/// Phase of a request.
#[derive(Debug)]
pub(crate) enum RequestPhase {
    /// The ingress collects grants for the current attempt.
    Claiming(ClaimRound),
    /// The request waits for another send of the same key. The current attempt is not claimed yet,
    /// and those with lower numbers are dead.
    Joining(RivalState),
    /// The engine has the ticket and dispatches the request.
    Dispatched(DispatchTicket),
    /// The outcome of the dispatch was lost, and the ingress queries the executor.
    Resolving(DispatchTicket),
    /// The attempt is fenced, and the ingress waits for `Redirect` or `Settled`.
    Reoffered,
}

/// Request that the ingress has admitted and not finished.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    pub(crate) request: RequestId,
    pub(crate) key: KeyId,
    pub(crate) fingerprint: KeyFingerprint,
    pub(crate) executor: InstanceId,
    pub(crate) deadline: Duration,
    pub(crate) stamp_ms: u64,
    /// Number of the current attempt, which increases with each new attempt.
    pub(crate) number: u16,
    /// Attempts of this and other requests for the key that certainly never run.
    pub(crate) dead: Vec<AttemptId>,
    pub(crate) phase: RequestPhase,
    pub(crate) tries: u32,
    /// Time at which the timer of the request expires.
    pub(crate) wake: Duration,
}

impl ClientRequest {
    /// Returns the id of the current attempt.
    pub(crate) const fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.number,
        }
    }

    pub(crate) const fn holder(&self, me: InstanceId) -> AttemptHolder {
        AttemptHolder {
            attempt: self.attempt(),
            ingress: me,
            executor: self.executor,
            stamp_ms: self.stamp_ms,
        }
    }

    /// Declares the current attempt dead and releases its grants. The caller ensures that the
    /// attempt has not run and will not be dispatched again.
    pub(crate) fn declare_dead(&mut self, context: &mut GuardContext<'_>) {
        let attempt = self.attempt();
        self.dead.push(attempt);
        self.number += 1;
        let key = self.key;
        let seats = context.entry_of(key).map(|entry| entry.seats);
        for seat in seats.unwrap_or_default() {
            context.send(seat, GuardMessage::Release { key, attempt });
        }
    }

    /// Starts to collect grants for the current attempt.
    pub(crate) fn claim(&mut self, context: &mut GuardContext<'_>) {
        let round = ClaimRound {
            entry: context.entry_of(self.key),
            ..ClaimRound::default()
        };
        self.phase = RequestPhase::Claiming(round);
        self.tries = 0;
        self.send_claims(context);
    }

    /// Sends a claim to every seat that has not granted yet.
    pub(crate) fn send_claims(&mut self, context: &mut GuardContext<'_>) {
        let RequestPhase::Claiming(round) = &self.phase else {
            return;
        };
        let Some(entry) = &round.entry else {
            return;
        };
        let claim = ClaimRequest {
            key: self.key,
            fingerprint: self.fingerprint,
            generation: entry.generation,
            holder: self.holder(context.me()),
            dead: self.dead.clone(),
        };
        for seat in &entry.seats {
            if !round.granted.contains(seat) {
                context.send_alternating(self.tries, *seat, GuardMessage::Claim(claim.clone()));
            }
        }
    }

    fn ticket(&self, context: &GuardContext<'_>, entry: &RangeEntry) -> DispatchTicket {
        DispatchTicket {
            key: self.key,
            fingerprint: self.fingerprint,
            attempt: self.attempt(),
            ingress: context.me(),
            executor: self.executor,
            range: entry.range,
            generation: entry.generation,
            seats: entry.seats.clone(),
            stamp_ms: self.stamp_ms,
            expires_ms: context.wall_ms() + millis(self.deadline.saturating_sub(context.now)),
        }
    }
}

/// Result of an event for a request.
#[derive(Debug)]
pub(crate) enum RequestStep {
    /// Keep the request.
    Keep,
    /// Answer the caller and remove the request.
    Answer(AnswerVerdict),
    /// Remove the request without an answer.
    Drop,
}

impl RequestStep {
    pub(crate) const fn unknown(code: RefusalCode) -> Self {
        Self::Answer(AnswerVerdict::Refuse(RequestRefusal::unknown(code)))
    }

    pub(crate) const fn not_run(code: RefusalCode) -> Self {
        Self::Answer(AnswerVerdict::Refuse(RequestRefusal::not_run(code)))
    }

    pub(crate) fn ran(reply: Option<Arc<[u8]>>) -> Self {
        Self::Answer(match reply {
            Some(reply) => AnswerVerdict::ReplyKept { reply },
            None => AnswerVerdict::ReplyGone,
        })
    }
}

impl ClientRequest {
    pub(crate) fn on_timer(&mut self, context: &mut GuardContext<'_>) -> RequestStep {
        if context.now >= self.deadline {
            return self.expire();
        }
        self.tries += 1;
        match &self.phase {
            RequestPhase::Claiming(round) => {
                let contested = round.rival.is_some();
                self.send_claims(context);
                if contested {
                    return self.query_rival(context);
                }
                RequestStep::Keep
            }
            RequestPhase::Joining(_) => self.query_rival(context),
            RequestPhase::Resolving(_) => self.resolve(context),
            RequestPhase::Dispatched(_) | RequestPhase::Reoffered => RequestStep::Keep,
        }
    }

    /// Determines the answer when the deadline has passed.
    fn expire(&self) -> RequestStep {
        match &self.phase {
            RequestPhase::Claiming(round) if round.is_clean() => {
                RequestStep::not_run(RefusalCode::GuardsUnreachable)
            }
            RequestPhase::Claiming(round) if round.rival.is_some() => {
                RequestStep::unknown(RefusalCode::KeyBusy)
            }
            RequestPhase::Claiming(_) => RequestStep::unknown(RefusalCode::GuardsUnreachable),
            RequestPhase::Joining(_) => RequestStep::unknown(RefusalCode::KeyBusy),
            RequestPhase::Resolving(_) => RequestStep::unknown(RefusalCode::DeadlineExceeded),
            RequestPhase::Reoffered => RequestStep::not_run(RefusalCode::DeadlineExceeded),
            RequestPhase::Dispatched(_) => RequestStep::Drop,
        }
    }

    pub(crate) fn on_verdict(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        generation: RangeGeneration,
        verdict: SeatVerdict,
    ) -> RequestStep {
        let RequestPhase::Claiming(round) = &mut self.phase else {
            return RequestStep::Keep;
        };
        let Some(entry) = round.entry.clone() else {
            return RequestStep::Keep;
        };
        if entry.generation != generation || !entry.seats.contains(&from) {
            return RequestStep::Keep;
        }
        match verdict {
            SeatVerdict::Granted => {
                round.granted.insert(from);
                if round.granted.len() == entry.seats.len() && context.now < self.deadline {
                    self.dispatch(context, &entry);
                }
                RequestStep::Keep
            }
            SeatVerdict::Held(holder) => self.on_rival(context, holder),
            SeatVerdict::Ran(reply) => RequestStep::ran(reply),
            SeatVerdict::Closed => RequestStep::unknown(RefusalCode::UpstreamFailed),
            SeatVerdict::Reused => RequestStep::not_run(RefusalCode::KeyReused),
            SeatVerdict::Expired => RequestStep::unknown(RefusalCode::KeyExpired),
            SeatVerdict::Ahead => {
                round.ahead.insert(from);
                if round.is_clean() {
                    return RequestStep::not_run(RefusalCode::KeyForm);
                }
                RequestStep::Keep
            }
            SeatVerdict::NotServing => {
                let entries = vec![entry];
                context.send(from, GuardMessage::Map { entries });
                RequestStep::Keep
            }
        }
    }

    fn dispatch(&mut self, context: &mut GuardContext<'_>, entry: &RangeEntry) {
        let ticket = self.ticket(context, entry);
        self.phase = RequestPhase::Dispatched(ticket.clone());
        let request = self.request;
        context.out.push(GuardCommand::Grant { request, ticket });
    }
}
