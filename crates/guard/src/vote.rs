//! Message handlers of a ballot: the acceptors' replies, and their evaluation by the proposer.

use sycamorelink_core::InstanceId;

use crate::ballot::{AcceptedSeats, RangeBallot};
use crate::change::SeatProposal;
use crate::context::GuardContext;
use crate::key::RangeId;
use crate::map::{RangeEntry, RangeGeneration};
use crate::message::GuardMessage;
use crate::seat::{RangeSeat, SeatTable};

impl SeatTable {
    /// Returns the seat of a range if it may vote: the generation is its current one, and neither
    /// is the seat retired nor the epoch fenced.
    fn voter(
        &mut self,
        context: &GuardContext<'_>,
        range: RangeId,
        generation: RangeGeneration,
    ) -> Option<&mut RangeSeat> {
        if context.shared.is_fenced(range, generation.epoch) {
            return None;
        }
        let seat = self.seats.get_mut(&range)?;
        (seat.retired.is_none() && seat.entry.generation == generation).then_some(seat)
    }

    pub(crate) fn on_prepare(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        entry: &RangeEntry,
        ballot: RangeBallot,
        wanted: &[InstanceId],
    ) {
        if send_newer_entry(context, from, entry) {
            return;
        }
        let (range, generation) = (entry.range, entry.generation);
        let Some(seat) = self.voter(context, range, generation) else {
            return;
        };
        let objection = seat.objection(context, from, wanted);
        let reply = if let Some(seat) = objection {
            GuardMessage::Declined {
                range,
                generation,
                ballot,
                seat,
            }
        } else if seat.acceptor.promise(ballot) {
            GuardMessage::Promise {
                range,
                generation,
                ballot,
                accepted: seat.acceptor.accepted.clone(),
                ready: seat.is_ready(),
            }
        } else {
            seat.outbid_reply(ballot)
        };
        context.send(from, reply);
    }

    pub(crate) fn on_accept(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        entry: &RangeEntry,
        ballot: RangeBallot,
        seats: Vec<InstanceId>,
    ) {
        if send_newer_entry(context, from, entry) {
            return;
        }
        let (range, generation) = (entry.range, entry.generation);
        let Some(seat) = self.voter(context, range, generation) else {
            return;
        };
        let reply = if seat.acceptor.accept(ballot, seats) {
            GuardMessage::Accepted {
                range,
                generation,
                ballot,
            }
        } else {
            seat.outbid_reply(ballot)
        };
        context.send(from, reply);
    }

    pub(crate) fn on_promise(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        vote: PromiseVote,
    ) -> Option<RangeEntry> {
        let seat = self.voter(context, vote.range, vote.generation)?;
        let proposal = seat.proposal.as_mut()?;
        if proposal.ballot != vote.ballot || proposal.value.is_some() {
            return None;
        }
        proposal.promises.insert(from, (vote.accepted, vote.ready));
        seat.advance_proposal(context)
    }

    pub(crate) fn on_accepted(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        range: RangeId,
        generation: RangeGeneration,
        ballot: RangeBallot,
    ) -> Option<RangeEntry> {
        let seat = self.voter(context, range, generation)?;
        let proposal = seat.proposal.as_mut()?;
        if proposal.ballot != ballot || proposal.value.is_none() {
            return None;
        }
        proposal.accepts.insert(from);
        seat.advance_proposal(context)
    }

    pub(crate) fn on_declined(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        vote: &DeclineVote,
    ) {
        let Some(seat) = self.voter(context, vote.range, vote.generation) else {
            return;
        };
        let open = |it: &SeatProposal| it.ballot == vote.ballot && it.value.is_none();
        if seat.proposal.as_ref().is_some_and(open) {
            seat.on_objection(context, from, vote.seat);
        }
    }

    pub(crate) fn on_outbid(
        &mut self,
        context: &mut GuardContext<'_>,
        range: RangeId,
        generation: RangeGeneration,
        promised: RangeBallot,
    ) {
        let Some(seat) = self.voter(context, range, generation) else {
            return;
        };
        let lower = |proposal: &SeatProposal| proposal.ballot < promised;
        if seat.proposal.as_ref().is_some_and(lower) {
            seat.acceptor.promise(promised);
            seat.back_off(context);
        }
    }
}

impl RangeSeat {
    fn outbid_reply(&self, ballot: RangeBallot) -> GuardMessage {
        GuardMessage::Outbid {
            range: self.entry.range,
            generation: self.entry.generation,
            promised: self.acceptor.promised.unwrap_or(ballot),
        }
    }
}

/// Objection of another seat to a `Prepare`.
#[derive(Debug)]
pub(crate) struct DeclineVote {
    pub(crate) range: RangeId,
    pub(crate) generation: RangeGeneration,
    pub(crate) ballot: RangeBallot,
    pub(crate) seat: InstanceId,
}

/// Promise of another seat in reply to a `Prepare`.
#[derive(Debug)]
pub(crate) struct PromiseVote {
    pub(crate) range: RangeId,
    pub(crate) generation: RangeGeneration,
    pub(crate) ballot: RangeBallot,
    pub(crate) accepted: AcceptedSeats,
    pub(crate) ready: bool,
}

/// Sends the current entry to a proposer of an earlier generation. Returns whether it was sent.
fn send_newer_entry(context: &mut GuardContext<'_>, from: InstanceId, entry: &RangeEntry) -> bool {
    let known = context.shared.map.get(entry.range);
    let Some(newer) = known.filter(|it| it.generation > entry.generation) else {
        return false;
    };
    let entries = vec![newer.clone()];
    context.send(from, GuardMessage::Map { entries });
    true
}
