//! Choice of the next generation of a range: the wanted seats and the proposer's side of ballots.
//!
//! Safety rests on four rules:
//!
//! 1. A majority of the seats accepts the same seats for the next generation, so there is only
//!    one.
//! 2. At most one seat leaves at a time, and at least one stays. A seat that has adopted the next
//!    generation no longer grants under the previous one, and a dispatch needs the grants of all
//!    seats. Therefore no two generations can complete dispatches at the same time, and the seat
//!    that stays has a record of every dispatch of both.
//! 3. Only a seat that holds the records proposes, so a seat of the next generation holds them.
//! 4. A new seat serves only after it copied the records from a node that has adopted the new
//!    generation, as a seat of it or as a retired seat of the previous one (see
//!    [`crate::custody`]).
//!
//! Neither clocks nor the log are involved. An incomplete ballot blocks nothing: the range
//! continues under the current generation until a seat adopts the next one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::InstanceId;

use crate::ballot::{AcceptedSeats, RangeBallot, majority};
use crate::context::{GuardContext, millis};
use crate::map::{RangeEntry, place_seats};
use crate::message::GuardMessage;
use crate::seat::RangeSeat;

/// Number of sends of one phase of a proposal before the proposer backs off.
const MAX_PROPOSAL_SENDS: u32 = 6;

/// Delay between the proposals of two seats, as a multiple of `resend_after`.
const PROPOSAL_DELAY_FACTOR: u64 = 4;

/// Maximum number of times that objections double the delay before the next proposal.
const MAX_OBJECTION_DOUBLINGS: u32 = 5;

/// Time after an objection during which the member is neither replaced nor given a seat.
const AVOID_DURATION: Duration = Duration::from_secs(3);

/// Reason for a change of the seats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeCause {
    /// A seat is lost.
    LostSeat,
    /// A seat drains, or the range has too few seats. The change waits until all seats hold the
    /// records.
    Planned,
}

/// Change that this seat wants to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WantedChange {
    cause: ChangeCause,
    seats: Vec<InstanceId>,
}

/// State of a ballot at its proposer.
#[derive(Debug)]
pub(crate) struct SeatProposal {
    pub(crate) ballot: RangeBallot,
    cause: ChangeCause,
    wanted: Vec<InstanceId>,
    /// Value accepted before by each promising seat, and whether the seat holds the records.
    pub(crate) promises: BTreeMap<InstanceId, (AcceptedSeats, bool)>,
    /// Seats proposed in the second phase; `None` during the first phase.
    pub(crate) value: Option<Vec<InstanceId>>,
    pub(crate) accepts: BTreeSet<InstanceId>,
    objectors: BTreeSet<InstanceId>,
    tries: u32,
    send_at: Duration,
}

impl RangeSeat {
    /// Starts or continues a change of the seats. Returns the next entry once it is chosen.
    pub(crate) fn advance_change(&mut self, context: &mut GuardContext<'_>) -> Option<RangeEntry> {
        if context
            .shared
            .is_fenced(self.entry.range, self.entry.generation.epoch)
        {
            return None;
        }
        if self.proposal.is_some() {
            return self.resend_proposal(context);
        }
        let wanted = self.wanted_change(context);
        let Some(wanted) = wanted else {
            self.propose_at = None;
            return None;
        };
        let at = match self.propose_at {
            Some(at) => at,
            None => self.schedule_proposal(context),
        };
        if context.now < at {
            return None;
        }
        self.propose(context, wanted)
    }

    /// Determines the wanted change. Seats that have certainly ended are replaced before suspected
    /// ones, because the other seats do not object to their replacement.
    fn wanted_change(&self, context: &GuardContext<'_>) -> Option<WantedChange> {
        let members = &context.shared.members;
        let limit = context.shared.settings.strike_after;
        let overdue = |seat: &&InstanceId| {
            members.is_lost(context.now, **seat, limit) && !self.is_avoided(context.now, **seat)
        };
        let lost = self.entry.seats.iter().filter(overdue);
        if let Some(failed) = lost.max_by_key(|seat| members.is_gone(**seat)) {
            let seats = self.replace_seat(context, *failed);
            let cause = ChangeCause::LostSeat;
            return seats.map(|seats| WantedChange { cause, seats });
        }
        let seats = self.planned_seats(context)?;
        let cause = ChangeCause::Planned;
        Some(WantedChange { cause, seats })
    }

    fn planned_seats(&self, context: &GuardContext<'_>) -> Option<Vec<InstanceId>> {
        let members = &context.shared.members;
        let draining = |seat: &&InstanceId| members.is_draining(**seat);
        let leaving = self.entry.seats.iter().find(draining);
        match leaving {
            Some(seat) if self.entry.seats.len() > 1 => self.replace_seat(context, *seat),
            Some(_) => self.add_seat(context, 2),
            None => self.add_seat(context, context.shared.settings.seats),
        }
    }

    /// Returns the seats without `leaver`, with a new seat in its place if there is a candidate.
    /// Returns `None` if no seat would stay, or if all candidates are avoided for now.
    fn replace_seat(
        &self,
        context: &GuardContext<'_>,
        leaver: InstanceId,
    ) -> Option<Vec<InstanceId>> {
        let stays = |seat: &InstanceId| *seat != leaver;
        let kept: Vec<InstanceId> = self.entry.seats.iter().copied().filter(stays).collect();
        if kept.is_empty() {
            return None;
        }
        let range = self.entry.range;
        let count = self.entry.seats.len();
        let mut candidates = context.shared.members.candidates();
        candidates.remove(&leaver);
        let seats = place_seats(range, &kept, &candidates, count);
        if seats.len() == kept.len() {
            return Some(seats);
        }
        candidates.retain(|candidate, _| !self.is_avoided(context.now, *candidate));
        let seats = place_seats(range, &kept, &candidates, count);
        (seats.len() > kept.len()).then_some(seats)
    }

    /// Returns whether another seat recently objected to a change of this member.
    fn is_avoided(&self, now: Duration, member: InstanceId) -> bool {
        self.avoided.get(&member).is_some_and(|until| now < *until)
    }

    fn add_seat(&self, context: &GuardContext<'_>, count: usize) -> Option<Vec<InstanceId>> {
        let present = &self.entry.seats;
        if present.len() >= count {
            return None;
        }
        let mut candidates = context.shared.members.candidates();
        candidates.retain(|candidate, _| !self.is_avoided(context.now, *candidate));
        let seats = place_seats(self.entry.range, present, &candidates, present.len() + 1);
        (seats.len() > present.len()).then_some(seats)
    }

    /// Schedules the proposal by this seat's position among the seats that are up, so that ballots
    /// seldom collide. The first one proposes at once.
    fn schedule_proposal(&mut self, context: &mut GuardContext<'_>) -> Duration {
        let me = context.me();
        let members = &context.shared.members;
        let live = self.entry.seats.iter().filter(|seat| members.is_up(**seat));
        let place = live.take_while(|seat| **seat != me).count();
        let step = millis(context.shared.settings.resend_after) * PROPOSAL_DELAY_FACTOR;
        let wait = step * u64::try_from(place).unwrap_or_default();
        let at = context.now + Duration::from_millis(wait);
        self.propose_at = Some(at);
        at
    }

    fn propose(
        &mut self,
        context: &mut GuardContext<'_>,
        wanted: WantedChange,
    ) -> Option<RangeEntry> {
        let proposer = context.me();
        let round = self.acceptor.promised.map_or(1, |it| it.round + 1);
        let ballot = RangeBallot { round, proposer };
        self.acceptor.promise(ballot);
        let accepted = self.acceptor.accepted.clone();
        self.proposal = Some(SeatProposal {
            ballot,
            cause: wanted.cause,
            wanted: wanted.seats,
            promises: BTreeMap::from([(proposer, (accepted, true))]),
            value: None,
            accepts: BTreeSet::new(),
            objectors: BTreeSet::new(),
            tries: 0,
            send_at: context.now,
        });
        self.advance_proposal(context)
    }

    /// Sends the current phase again to the seats that have not answered.
    fn resend_proposal(&mut self, context: &mut GuardContext<'_>) -> Option<RangeEntry> {
        let proposal = self.proposal.as_mut()?;
        if context.now < proposal.send_at {
            return None;
        }
        if proposal.tries >= MAX_PROPOSAL_SENDS {
            self.back_off(context);
            return None;
        }
        self.send_proposal(context);
        None
    }

    fn send_proposal(&mut self, context: &mut GuardContext<'_>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.send_at = context.next_resend(proposal.tries);
        let entry = &self.entry;
        let ballot = proposal.ballot;
        for seat in &entry.seats {
            let message = match &proposal.value {
                Some(_) if proposal.accepts.contains(seat) => continue,
                None if proposal.promises.contains_key(seat) => continue,
                Some(seats) => GuardMessage::Accept {
                    entry: entry.clone(),
                    ballot,
                    seats: seats.clone(),
                },
                None => GuardMessage::Prepare {
                    entry: entry.clone(),
                    ballot,
                    wanted: proposal.wanted.clone(),
                },
            };
            context.send_alternating(proposal.tries, *seat, message);
        }
        proposal.tries += 1;
    }

    /// Abandons the ballot and schedules another one after a random delay.
    pub(crate) fn back_off(&mut self, context: &mut GuardContext<'_>) {
        let proposal = self.proposal.take();
        let objected = proposal.is_some_and(|it| !it.objectors.is_empty());
        self.objections += u32::from(objected);
        let doublings = self.objections.min(MAX_OBJECTION_DOUBLINGS);
        let longest =
            (millis(context.shared.settings.resend_after) * PROPOSAL_DELAY_FACTOR * 2) << doublings;
        let wait = context.shared.rng.random_range(0..=longest);
        self.propose_at = Some(context.now + Duration::from_millis(wait));
    }

    /// Handles another seat's objection to the wanted change.
    ///
    /// If a link is cut one way or rosters differ, one seat may suspect another that the rest sees
    /// as up. Without objections, such seats would replace each other endlessly, and requests would
    /// restart their claims with each generation. A change needs a majority that does not object.
    pub(crate) fn on_objection(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        seat: InstanceId,
    ) {
        self.avoided.insert(seat, context.now + AVOID_DURATION);
        let all = self.entry.seats.len();
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.objectors.insert(from);
        let planned = proposal.cause == ChangeCause::Planned;
        if planned || all - proposal.objectors.len() < majority(all) {
            self.back_off(context);
        }
    }

    /// Returns a member to which this seat objects: one that would lose its seat although it is up,
    /// or one that would get a seat although it is down.
    pub(crate) fn objection(
        &self,
        context: &GuardContext<'_>,
        proposer: InstanceId,
        wanted: &[InstanceId],
    ) -> Option<InstanceId> {
        let members = &context.shared.members;
        let present = &self.entry.seats;
        let goes = |seat: &&InstanceId| !wanted.contains(seat) && **seat != proposer;
        let well = |seat: &&InstanceId| members.is_up(**seat) && !members.is_draining(**seat);
        let comes = |seat: &&InstanceId| !present.contains(seat) && members.is_down(**seat);
        let kept = present.iter().filter(goes).find(well);
        kept.or_else(|| wanted.iter().find(comes)).copied()
    }

    /// Starts the next phase once a majority has answered. Returns the next entry once it is
    /// chosen.
    pub(crate) fn advance_proposal(
        &mut self,
        context: &mut GuardContext<'_>,
    ) -> Option<RangeEntry> {
        let quorum = majority(self.entry.seats.len());
        let all = self.entry.seats.len();
        let proposal = self.proposal.as_mut()?;
        if proposal.value.is_none() {
            if proposal.promises.len() < quorum {
                self.send_if_unsent(context);
                return None;
            }
            let value = proposal.choose_value(all)?;
            let ballot = proposal.ballot;
            proposal.value = Some(value.clone());
            proposal.tries = 0;
            proposal.accepts.insert(ballot.proposer);
            if !self.acceptor.accept(ballot, value) {
                self.back_off(context);
                return None;
            }
            self.send_proposal(context);
        }
        let proposal = self.proposal.as_ref()?;
        if proposal.accepts.len() < quorum {
            return None;
        }
        let seats = proposal.value.clone()?;
        Some(self.entry.successor(seats))
    }

    fn send_if_unsent(&mut self, context: &mut GuardContext<'_>) {
        if self.proposal.as_ref().is_some_and(|it| it.tries == 0) {
            self.send_proposal(context);
        }
    }
}

impl SeatProposal {
    /// Returns the seats to propose in the second phase: the value accepted under the highest
    /// ballot, or else the seats that this proposer wants. A planned change waits until every seat
    /// has promised and holds the records.
    fn choose_value(&self, all: usize) -> Option<Vec<InstanceId>> {
        let accepted = self.promises.values().filter_map(|(it, _)| it.as_ref());
        if let Some((_, seats)) = accepted.max_by_key(|(ballot, _)| *ballot) {
            return Some(seats.clone());
        }
        let ready = self.promises.values().filter(|(_, ready)| *ready).count();
        if self.cause == ChangeCause::Planned && ready < all {
            return None;
        }
        Some(self.wanted.clone())
    }
}
