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
//!   |<-- Fenced ---------------------------------------------|
//! ```

use sycamorelink_core::{AttemptId, InstanceId, RefusalCode, RequestId};

use crate::client::KeyClient;
use crate::command::{GuardCommand, GuardNote};
use crate::key::KeyId;
use crate::message::{AttemptHolder, ContestState, GuardMessage, WorkState};
use crate::request::{ClientRequest, RequestPhase, RequestStep, RivalState};
use crate::store::is_dead;
use crate::turn::GuardTurn;

/// Number of unanswered queries to an ingress before the executor is asked to fence the attempt.
const SILENT_LIMIT: u32 = 2;

impl KeyClient {
    /// Answers the query of another ingress about an attempt of this one.
    pub(crate) fn contest(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        key: KeyId,
        theirs: AttemptId,
        mine: Option<AttemptHolder>,
    ) {
        let state = match self.get(theirs.request) {
            Some(_) => self.contested(turn, theirs.request, mine),
            None => ContestState::Unheard,
        };
        turn.send(from, GuardMessage::ContestReply { key, theirs, state });
    }

    fn contested(
        &mut self,
        turn: &mut GuardTurn<'_>,
        id: RequestId,
        mine: Option<AttemptHolder>,
    ) -> ContestState {
        let mut state = ContestState::Unheard;
        self.step(turn, id, |request, turn| {
            state = request.answer_contest(turn, mine);
            RequestStep::Keep
        });
        state
    }

    pub(crate) fn contest_reply(
        &mut self,
        turn: &mut GuardTurn<'_>,
        key: KeyId,
        theirs: AttemptId,
        state: ContestState,
    ) {
        for id in self.of_key(key) {
            self.step(turn, id, |request, turn| {
                request.take_contest(turn, theirs, state)
            });
        }
    }

    pub(crate) fn inquire_reply(
        &mut self,
        turn: &mut GuardTurn<'_>,
        key: KeyId,
        attempt: AttemptId,
        state: &WorkState,
    ) {
        for id in self.of_key(key) {
            self.step(turn, id, |request, turn| {
                request.take_work(turn, attempt, state)
            });
        }
    }
}

impl ClientRequest {
    /// Starts to query a rival that a seat reported.
    pub(crate) fn meet_rival(
        &mut self,
        turn: &mut GuardTurn<'_>,
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
        self.ask_rival(turn)
    }

    /// Queries the ingress of the rival, its executor, or both if the ingress does not answer.
    pub(crate) fn ask_rival(&mut self, turn: &mut GuardTurn<'_>) -> RequestStep {
        let me = turn.me();
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
        let ended = turn.view.members.is_gone(holder.ingress);
        let silent = rival.silent >= SILENT_LIMIT || !turn.view.members.is_up(holder.ingress);
        rival.silent += 1;
        let certain = ended || rival.unheard;
        if certain && turn.view.members.is_gone(holder.executor) {
            return close_key(turn, self.key, holder.attempt);
        }
        let key = self.key;
        if certain || silent {
            let fence = true;
            let inquiry = GuardMessage::Inquire { key, holder, fence };
            turn.send_try(self.tries, holder.executor, inquiry);
        }
        if !certain {
            let theirs = holder.attempt;
            let contest = GuardMessage::Contest { key, theirs, mine };
            turn.send_try(self.tries, holder.ingress, contest);
        }
        RequestStep::Keep
    }

    /// Returns the state of this request for another ingress. Withdraws the current attempt if the
    /// attempt of the other ingress has a lower id.
    fn answer_contest(
        &mut self,
        turn: &mut GuardTurn<'_>,
        mine: Option<AttemptHolder>,
    ) -> ContestState {
        let holder = self.holder(turn.me());
        match &self.phase {
            RequestPhase::Dispatched(_) | RequestPhase::Resolving(_) => {
                ContestState::Dispatched(holder)
            }
            RequestPhase::Claiming(_) => match mine {
                Some(winner) if winner.attempt < holder.attempt => {
                    self.join(turn, winner);
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
    fn join(&mut self, turn: &mut GuardTurn<'_>, winner: AttemptHolder) {
        self.bury(turn);
        self.phase = RequestPhase::Joining(RivalState::new(winner));
        self.tries = 0;
    }

    /// Notes that an attempt never runs, and continues the claim that it blocked.
    fn outlive(&mut self, turn: &mut GuardTurn<'_>, dead: AttemptId) {
        if !is_dead(dead, &self.dead) {
            self.dead.push(dead);
        }
        match &mut self.phase {
            RequestPhase::Claiming(round) => {
                round.rival = None;
                self.send_claims(turn);
            }
            RequestPhase::Joining(_) => self.claim(turn),
            _ => {}
        }
    }

    /// Returns the attempt that this request waits for.
    const fn awaited(&self) -> Option<AttemptHolder> {
        match &self.phase {
            RequestPhase::Claiming(round) => match &round.rival {
                Some(rival) => Some(rival.holder),
                None => None,
            },
            RequestPhase::Joining(rival) => Some(rival.holder),
            _ => None,
        }
    }

    fn take_contest(
        &mut self,
        turn: &mut GuardTurn<'_>,
        theirs: AttemptId,
        state: ContestState,
    ) -> RequestStep {
        if self.awaited().map(|holder| holder.attempt) != Some(theirs) {
            return RequestStep::Keep;
        }
        match state {
            ContestState::Withdrawn(dead) => {
                self.outlive(turn, dead);
                RequestStep::Keep
            }
            ContestState::Claiming(holder) => {
                self.give_way(turn, holder);
                RequestStep::Keep
            }
            ContestState::Dispatched(holder) => self.follow(turn, holder),
            ContestState::Unheard => self.lose_ingress(turn),
        }
    }

    /// Handles a rival that still collects grants: the attempt with the higher id withdraws.
    fn give_way(&mut self, turn: &mut GuardTurn<'_>, holder: AttemptHolder) {
        let lower = self.attempt() < holder.attempt;
        match &mut self.phase {
            RequestPhase::Claiming(_) if !lower => self.join(turn, holder),
            RequestPhase::Joining(rival) => *rival = RivalState::new(holder),
            _ => {}
        }
    }

    /// Waits for a dispatched rival and queries its executor.
    fn follow(&mut self, turn: &mut GuardTurn<'_>, holder: AttemptHolder) -> RequestStep {
        if matches!(self.phase, RequestPhase::Claiming(_)) {
            self.join(turn, holder);
        } else {
            self.phase = RequestPhase::Joining(RivalState::new(holder));
        }
        if turn.view.members.is_gone(holder.executor) {
            return close_key(turn, self.key, holder.attempt);
        }
        let key = self.key;
        let fence = false;
        let inquiry = GuardMessage::Inquire { key, holder, fence };
        turn.send_try(self.tries, holder.executor, inquiry);
        RequestStep::Keep
    }

    fn lose_ingress(&mut self, turn: &mut GuardTurn<'_>) -> RequestStep {
        let rival = match &mut self.phase {
            RequestPhase::Claiming(round) => round.rival.as_mut(),
            RequestPhase::Joining(rival) => Some(rival),
            _ => None,
        };
        match rival {
            Some(rival) if !rival.unheard => {
                rival.unheard = true;
                self.ask_rival(turn)
            }
            _ => RequestStep::Keep,
        }
    }

    fn take_work(
        &mut self,
        turn: &mut GuardTurn<'_>,
        attempt: AttemptId,
        state: &WorkState,
    ) -> RequestStep {
        if let RequestPhase::Resolving(ticket) = &self.phase {
            if ticket.attempt != attempt {
                return RequestStep::Keep;
            }
            return self.take_resolution(turn, state);
        }
        let Some(holder) = self.awaited().filter(|it| it.attempt == attempt) else {
            return RequestStep::Keep;
        };
        match state {
            WorkState::Fenced => {
                self.outlive(turn, attempt);
                RequestStep::Keep
            }
            WorkState::NeverSeen => RequestStep::Keep,
            WorkState::Running => {
                if matches!(self.phase, RequestPhase::Claiming(_)) {
                    self.join(turn, holder);
                }
                RequestStep::Keep
            }
            WorkState::Ran(reply) => RequestStep::ran(reply.clone()),
            WorkState::Unknown => close_key(turn, self.key, attempt),
        }
    }

    /// Handles the executor's answer about the request's own dispatch.
    fn take_resolution(&mut self, turn: &mut GuardTurn<'_>, state: &WorkState) -> RequestStep {
        match state {
            WorkState::Fenced if turn.now >= self.deadline => {
                RequestStep::not_run(RefusalCode::DeadlineExceeded)
            }
            WorkState::Fenced => {
                self.phase = RequestPhase::Reoffered;
                let request = self.request;
                turn.out.push(GuardCommand::Reoffer { request });
                RequestStep::Keep
            }
            WorkState::NeverSeen | WorkState::Running => RequestStep::Keep,
            WorkState::Ran(reply) => RequestStep::ran(reply.clone()),
            WorkState::Unknown => RequestStep::unknown(RefusalCode::UpstreamFailed),
        }
    }

    /// Queries the executor for the outcome of the dispatch, and fences the attempt if the dispatch
    /// never arrived.
    pub(crate) fn resolve(&mut self, turn: &mut GuardTurn<'_>) -> RequestStep {
        let RequestPhase::Resolving(ticket) = &self.phase else {
            return RequestStep::Keep;
        };
        let executor = ticket.executor;
        if turn.view.members.is_gone(executor) {
            return close_key(turn, self.key, ticket.attempt);
        }
        let holder = self.holder(turn.me());
        let key = self.key;
        let fence = true;
        let inquiry = GuardMessage::Inquire { key, holder, fence };
        turn.send_try(self.tries, executor, inquiry);
        RequestStep::Keep
    }
}

/// Closes a key on all seats and answers "unknown", because the outcome of its attempt is lost.
fn close_key(turn: &mut GuardTurn<'_>, key: KeyId, attempt: AttemptId) -> RequestStep {
    turn.note(GuardNote::KeyClosed { key, attempt });
    let seats = turn.entry_of(key).map(|entry| entry.seats);
    for seat in seats.unwrap_or_default() {
        turn.send(seat, GuardMessage::Close { key, attempt });
    }
    RequestStep::unknown(RefusalCode::UpstreamFailed)
}
