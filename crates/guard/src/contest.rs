//! Resolution of contests between concurrent sends of the same key.
//!
//! If two attempts both hold some grants, the one with the lower id continues, and the other one is
//! withdrawn and its request waits. Only the ingress of an attempt can withdraw it, and only before
//! the dispatch, so the querying node asks that ingress first. If the ingress does not answer, the
//! executor named in the grant decides: it fences an attempt that it has never seen, permanently,
//! or returns the state of the attempt.
//!
//! ```text
//! ingress of attempt 7         ingress of attempt 9        executor of attempt 9
//!   |-- Contest(9, mine 7) -------->|  not dispatched: withdraws
//!   |<-- Withdrawn(9) --------------|
//!   |-- Contest(9, mine 7) ----x        no answer
//!   |-- Inquire(9, fence) --------------------------------->|  never seen: fenced
//!   |<-- Fenced --------------------------------------------|
//! ```

use sycamorelink_core::{AttemptId, InstanceId, RefusalCode, RequestId};

use crate::client::KeyClient;
use crate::command::{GuardCommand, GuardNote};
use crate::context::GuardContext;
use crate::key::KeyId;
use crate::message::{AttemptHolder, ContestState, GuardMessage, WorkState};
use crate::request::{ClientRequest, RequestPhase, RequestStep, RivalState};
use crate::store::is_dead;

/// Number of unanswered queries to an ingress before the executor is asked to fence the attempt.
const MAX_UNANSWERED_QUERIES: u32 = 2;

impl KeyClient {
    /// Answers the query of another ingress about an attempt of this one.
    pub(crate) fn on_contest(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        key: KeyId,
        theirs: AttemptId,
        mine: Option<AttemptHolder>,
    ) {
        let state = match self.get(theirs.request) {
            Some(_) => self.state_for_rival(context, theirs.request, mine),
            None => ContestState::Unheard,
        };
        context.send(from, GuardMessage::ContestReply { key, theirs, state });
    }

    fn state_for_rival(
        &mut self,
        context: &mut GuardContext<'_>,
        id: RequestId,
        mine: Option<AttemptHolder>,
    ) -> ContestState {
        let mut state = ContestState::Unheard;
        self.step(context, id, |request, context| {
            state = request.answer_contest(context, mine);
            RequestStep::Keep
        });
        state
    }

    pub(crate) fn on_contest_reply(
        &mut self,
        context: &mut GuardContext<'_>,
        key: KeyId,
        theirs: AttemptId,
        state: ContestState,
    ) {
        for id in self.requests_of_key(key) {
            self.step(context, id, |request, context| {
                request.on_rival_state(context, theirs, state)
            });
        }
    }

    pub(crate) fn on_inquire_reply(
        &mut self,
        context: &mut GuardContext<'_>,
        key: KeyId,
        attempt: AttemptId,
        state: &WorkState,
    ) {
        for id in self.requests_of_key(key) {
            self.step(context, id, |request, context| {
                request.on_work_state(context, attempt, state)
            });
        }
    }
}

impl ClientRequest {
    /// Starts to query a rival that a seat reported.
    pub(crate) fn on_rival(
        &mut self,
        context: &mut GuardContext<'_>,
        holder: AttemptHolder,
    ) -> RequestStep {
        if is_dead(holder.attempt, &self.dead) {
            return RequestStep::Keep;
        }
        let RequestPhase::Claiming(round) = &mut self.phase else {
            return RequestStep::Keep;
        };
        if round.rival.is_some() {
            return RequestStep::Keep;
        }
        round.rival = Some(RivalState::new(holder));
        self.query_rival(context)
    }

    /// Queries the ingress of the rival, its executor, or both if the ingress does not answer.
    pub(crate) fn query_rival(&mut self, context: &mut GuardContext<'_>) -> RequestStep {
        let me = context.me();
        let own = self.holder(me);
        let (rival, mine) = match &mut self.phase {
            RequestPhase::Claiming(round) => match &mut round.rival {
                Some(rival) => (rival, Some(own)),
                None => return RequestStep::Keep,
            },
            RequestPhase::Joining(rival) => (rival, None),
            _ => return RequestStep::Keep,
        };
        let holder = rival.holder;
        let ended = context.shared.members.is_gone(holder.ingress);
        let unresponsive = rival.unanswered >= MAX_UNANSWERED_QUERIES
            || !context.shared.members.is_up(holder.ingress);
        rival.unanswered += 1;
        let ingress_lost = ended || rival.unknown_at_ingress;
        if ingress_lost && context.shared.members.is_gone(holder.executor) {
            return close_key(context, self.key, holder.attempt);
        }
        let key = self.key;
        if ingress_lost || unresponsive {
            let fence = true;
            let inquiry = GuardMessage::Inquire { key, holder, fence };
            context.send_alternating(self.tries, holder.executor, inquiry);
        }
        if !ingress_lost {
            let theirs = holder.attempt;
            let query = GuardMessage::Contest { key, theirs, mine };
            context.send_alternating(self.tries, holder.ingress, query);
        }
        RequestStep::Keep
    }

    /// Returns the state of this request for another ingress. Withdraws the current attempt if the
    /// attempt of the other ingress has a lower id.
    fn answer_contest(
        &mut self,
        context: &mut GuardContext<'_>,
        mine: Option<AttemptHolder>,
    ) -> ContestState {
        let holder = self.holder(context.me());
        match &self.phase {
            RequestPhase::Dispatched(_) | RequestPhase::Resolving(_) => {
                ContestState::Dispatched(holder)
            }
            RequestPhase::Claiming(_) => match mine {
                Some(winner) if winner.attempt < holder.attempt => {
                    self.join_rival(context, winner);
                    ContestState::Withdrawn(holder.attempt)
                }
                _ => ContestState::Claiming(holder),
            },
            RequestPhase::Reoffered => ContestState::Withdrawn(holder.attempt),
            RequestPhase::Joining(_) => ContestState::Withdrawn(AttemptId {
                request: self.request,
                number: self.number.saturating_sub(1),
            }),
        }
    }

    /// Withdraws the current attempt and waits for the rival.
    fn join_rival(&mut self, context: &mut GuardContext<'_>, winner: AttemptHolder) {
        self.declare_dead(context);
        self.phase = RequestPhase::Joining(RivalState::new(winner));
        self.tries = 0;
    }

    /// Notes that an attempt never runs, and continues the claim that it blocked.
    fn on_dead_attempt(&mut self, context: &mut GuardContext<'_>, dead: AttemptId) {
        if !is_dead(dead, &self.dead) {
            self.dead.push(dead);
        }
        match &mut self.phase {
            RequestPhase::Claiming(round) => {
                round.rival = None;
                self.send_claims(context);
            }
            RequestPhase::Joining(_) => self.claim(context),
            _ => {}
        }
    }

    /// Returns the attempt that this request waits for.
    const fn awaited_holder(&self) -> Option<AttemptHolder> {
        match &self.phase {
            RequestPhase::Claiming(round) => match &round.rival {
                Some(rival) => Some(rival.holder),
                None => None,
            },
            RequestPhase::Joining(rival) => Some(rival.holder),
            _ => None,
        }
    }

    fn on_rival_state(
        &mut self,
        context: &mut GuardContext<'_>,
        theirs: AttemptId,
        state: ContestState,
    ) -> RequestStep {
        if self.awaited_holder().map(|holder| holder.attempt) != Some(theirs) {
            return RequestStep::Keep;
        }
        match state {
            ContestState::Withdrawn(dead) => {
                self.on_dead_attempt(context, dead);
                RequestStep::Keep
            }
            ContestState::Claiming(holder) => {
                self.on_rival_claiming(context, holder);
                RequestStep::Keep
            }
            ContestState::Dispatched(holder) => self.on_rival_dispatched(context, holder),
            ContestState::Unheard => self.on_rival_unknown(context),
        }
    }

    /// Handles a rival that still collects grants: the attempt with the higher id withdraws.
    fn on_rival_claiming(&mut self, context: &mut GuardContext<'_>, holder: AttemptHolder) {
        let lower = self.attempt() < holder.attempt;
        match &mut self.phase {
            RequestPhase::Claiming(_) if !lower => self.join_rival(context, holder),
            RequestPhase::Joining(rival) => *rival = RivalState::new(holder),
            _ => {}
        }
    }

    /// Waits for a dispatched rival and queries its executor.
    fn on_rival_dispatched(
        &mut self,
        context: &mut GuardContext<'_>,
        holder: AttemptHolder,
    ) -> RequestStep {
        if matches!(self.phase, RequestPhase::Claiming(_)) {
            self.join_rival(context, holder);
        } else {
            self.phase = RequestPhase::Joining(RivalState::new(holder));
        }
        if context.shared.members.is_gone(holder.executor) {
            return close_key(context, self.key, holder.attempt);
        }
        let key = self.key;
        let fence = false;
        let inquiry = GuardMessage::Inquire { key, holder, fence };
        context.send_alternating(self.tries, holder.executor, inquiry);
        RequestStep::Keep
    }

    fn on_rival_unknown(&mut self, context: &mut GuardContext<'_>) -> RequestStep {
        let rival = match &mut self.phase {
            RequestPhase::Claiming(round) => round.rival.as_mut(),
            RequestPhase::Joining(rival) => Some(rival),
            _ => None,
        };
        match rival {
            Some(rival) if !rival.unknown_at_ingress => {
                rival.unknown_at_ingress = true;
                self.query_rival(context)
            }
            _ => RequestStep::Keep,
        }
    }

    fn on_work_state(
        &mut self,
        context: &mut GuardContext<'_>,
        attempt: AttemptId,
        state: &WorkState,
    ) -> RequestStep {
        if let RequestPhase::Resolving(ticket) = &self.phase {
            if ticket.attempt != attempt {
                return RequestStep::Keep;
            }
            return self.on_own_work_state(context, state);
        }
        let Some(holder) = self.awaited_holder().filter(|it| it.attempt == attempt) else {
            return RequestStep::Keep;
        };
        match state {
            WorkState::Fenced => {
                self.on_dead_attempt(context, attempt);
                RequestStep::Keep
            }
            WorkState::NeverSeen => RequestStep::Keep,
            WorkState::Running => {
                if matches!(self.phase, RequestPhase::Claiming(_)) {
                    self.join_rival(context, holder);
                }
                RequestStep::Keep
            }
            WorkState::Ran(reply) => RequestStep::ran(reply.clone()),
            WorkState::Unknown => close_key(context, self.key, attempt),
        }
    }

    /// Handles the executor's answer about the request's own dispatch.
    fn on_own_work_state(
        &mut self,
        context: &mut GuardContext<'_>,
        state: &WorkState,
    ) -> RequestStep {
        match state {
            WorkState::Fenced if context.now >= self.deadline => {
                RequestStep::not_run(RefusalCode::DeadlineExceeded)
            }
            WorkState::Fenced => {
                self.phase = RequestPhase::Reoffered;
                let request = self.request;
                context.out.push(GuardCommand::Reoffer { request });
                RequestStep::Keep
            }
            WorkState::NeverSeen | WorkState::Running => RequestStep::Keep,
            WorkState::Ran(reply) => RequestStep::ran(reply.clone()),
            WorkState::Unknown => RequestStep::unknown(RefusalCode::UpstreamFailed),
        }
    }

    /// Queries the executor for the outcome of the dispatch, and fences the attempt if the dispatch
    /// never arrived.
    pub(crate) fn resolve(&mut self, context: &mut GuardContext<'_>) -> RequestStep {
        let RequestPhase::Resolving(ticket) = &self.phase else {
            return RequestStep::Keep;
        };
        let executor = ticket.executor;
        if context.shared.members.is_gone(executor) {
            return close_key(context, self.key, ticket.attempt);
        }
        let holder = self.holder(context.me());
        let key = self.key;
        let fence = true;
        let inquiry = GuardMessage::Inquire { key, holder, fence };
        context.send_alternating(self.tries, executor, inquiry);
        RequestStep::Keep
    }
}

/// Closes a key on all seats and answers "unknown", because the outcome of its attempt is lost.
fn close_key(context: &mut GuardContext<'_>, key: KeyId, attempt: AttemptId) -> RequestStep {
    context.note(GuardNote::KeyClosed { key, attempt });
    let seats = context.entry_of(key).map(|entry| entry.seats);
    for seat in seats.unwrap_or_default() {
        context.send(seat, GuardMessage::Close { key, attempt });
    }
    RequestStep::unknown(RefusalCode::UpstreamFailed)
}
