//! Dispatch of events and messages to the components of a node.

use sycamorelink_core::InstanceId;

use crate::client::{AdmitRequest, KeyClient};
use crate::command::{GuardCommand, GuardNote};
use crate::custody::CustodyPart;
use crate::event::GuardEvent;
use crate::exchange::{self, MapExchange};
use crate::founding::FoundingBook;
use crate::ledger::WorkLedger;
use crate::map::RangeEntry;
use crate::message::GuardMessage;
use crate::seat::{RangeSeat, SeatTable};
use crate::turn::GuardTurn;
use crate::vote::{DeclineVote, PromiseVote};

/// Components of a node.
#[derive(Debug, Default)]
pub(crate) struct NodeParts {
    pub(crate) client: KeyClient,
    pub(crate) seats: SeatTable,
    pub(crate) ledger: WorkLedger,
    pub(crate) founding: FoundingBook,
    pub(crate) exchange: MapExchange,
}

impl NodeParts {
    pub(crate) fn take_event(&mut self, turn: &mut GuardTurn<'_>, event: GuardEvent) {
        match event {
            GuardEvent::Admit {
                request,
                key,
                fingerprint,
                executor,
                deadline,
            } => {
                let admit = AdmitRequest {
                    request,
                    key,
                    fingerprint,
                    executor,
                    deadline,
                };
                self.client.admit(turn, &admit);
            }
            GuardEvent::Redirect { request, executor } => {
                self.client.redirect(turn, request, executor);
            }
            GuardEvent::Settled { request, outcome } => {
                self.client.settled(turn, request, outcome);
            }
            GuardEvent::Abandoned { request } => self.client.abandoned(turn, request),
            GuardEvent::Offered { ticket } => self.ledger.offered(turn, ticket),
            GuardEvent::WorkEnded { attempt, outcome } => self.ledger.ended(turn, attempt, outcome),
            GuardEvent::Message { from, message } => self.take_message(turn, from, message),
            GuardEvent::Tick => {}
            member => self.take_member(turn, member),
        }
    }

    fn take_member(&mut self, turn: &mut GuardTurn<'_>, event: GuardEvent) {
        let now = turn.now;
        let me = turn.me();
        match event {
            GuardEvent::MemberUp { instance, domain } => turn.view.members.up(instance, domain),
            GuardEvent::MemberDown { instance } if instance != me => {
                turn.view.members.down(now, instance);
            }
            GuardEvent::MemberGone { instance } if instance != me => {
                turn.view.members.gone(instance);
            }
            GuardEvent::MemberDraining { instance } => turn.view.members.draining(instance),
            GuardEvent::DrainRequested => {
                turn.view.draining = true;
                turn.view.members.draining(me);
            }
            GuardEvent::LogFounding { records } => {
                let entries = self.founding.read(records);
                self.adopt_all(turn, &entries);
            }
            GuardEvent::LogCurrent { whole } => {
                let entries = self.founding.current(turn, whole);
                self.adopt_all(turn, &entries);
            }
            GuardEvent::LogLost => self.founding.lost(),
            _ => {}
        }
    }

    /// Handles messages between ingress, seats and executor, and passes others on.
    pub(crate) fn take_message(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        message: GuardMessage,
    ) {
        match message {
            GuardMessage::Claim(claim) => self.seats.claim(turn, from, &claim),
            GuardMessage::ClaimReply {
                attempt,
                generation,
                verdict,
                ..
            } => {
                let client = &mut self.client;
                client.claim_reply(turn, from, attempt, generation, verdict);
            }
            GuardMessage::Release { key, attempt } => self.seats.release(turn, key, attempt),
            GuardMessage::Close { key, attempt } => self.seats.close(turn, key, attempt),
            GuardMessage::Contest { key, theirs, mine } => {
                self.client.contest(turn, from, key, theirs, mine);
            }
            GuardMessage::ContestReply { key, theirs, state } => {
                self.client.contest_reply(turn, key, theirs, state);
            }
            GuardMessage::Inquire { key, holder, fence } => {
                self.ledger.inquire(turn, from, key, holder, fence);
            }
            GuardMessage::InquireReply {
                key,
                attempt,
                state,
            } => self.client.inquire_reply(turn, key, attempt, &state),
            GuardMessage::Record {
                key,
                fingerprint,
                holder,
                outcome,
            } => {
                let seats = &mut self.seats;
                seats.record(turn, from, key, fingerprint, holder, outcome);
            }
            GuardMessage::RecordAck {
                attempt,
                generation,
            } => {
                let ledger = &mut self.ledger;
                ledger.record_ack(turn, from, attempt, generation);
            }
            GuardMessage::Relay {
                origin,
                target,
                message,
            } => self.relay(turn, from, origin, target, *message),
            other => self.take_range_message(turn, from, other),
        }
    }

    /// Handles the messages of ballots, and passes others on.
    fn take_range_message(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        message: GuardMessage,
    ) {
        match message {
            GuardMessage::Prepare {
                entry,
                ballot,
                wanted,
            } => {
                self.adopt(turn, &entry);
                self.seats.prepare(turn, from, &entry, ballot, &wanted);
            }
            GuardMessage::Declined {
                range,
                generation,
                ballot,
                seat,
            } => {
                let vote = DeclineVote {
                    range,
                    generation,
                    ballot,
                    seat,
                };
                self.seats.declined(turn, from, &vote);
            }
            GuardMessage::Accept {
                entry,
                ballot,
                seats,
            } => {
                self.adopt(turn, &entry);
                self.seats.accept(turn, from, &entry, ballot, seats);
            }
            GuardMessage::Promise {
                range,
                generation,
                ballot,
                accepted,
                ready,
            } => {
                let vote = PromiseVote {
                    range,
                    generation,
                    ballot,
                    accepted,
                    ready,
                };
                let chosen = self.seats.promise(turn, from, vote);
                self.choose(turn, chosen);
            }
            GuardMessage::Accepted {
                range,
                generation,
                ballot,
            } => {
                let seats = &mut self.seats;
                let chosen = seats.accepted(turn, from, range, generation, ballot);
                self.choose(turn, chosen);
            }
            GuardMessage::Outbid {
                range,
                generation,
                promised,
            } => self.seats.outbid(turn, range, generation, promised),
            other => self.take_map_message(turn, from, other),
        }
    }

    /// Handles messages of the map exchange, custody transfers and polls.
    fn take_map_message(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        message: GuardMessage,
    ) {
        match message {
            GuardMessage::Map { entries } => self.adopt_all(turn, &entries),
            GuardMessage::Exchange { digests } => exchange::compare(turn, from, &digests),
            GuardMessage::Generations {
                buckets,
                known,
                answer,
            } => exchange::reconcile(turn, from, buckets, &known, answer),
            GuardMessage::CustodyRequest { entry, after } => {
                self.adopt(turn, &entry);
                self.seats.give_custody(turn, from, &entry, after);
            }
            GuardMessage::Custody {
                range,
                generation,
                after,
                watermark_ms,
                records,
                done,
            } => {
                let part = CustodyPart {
                    range,
                    generation,
                    after,
                    watermark_ms,
                    records,
                    done,
                };
                self.seats.take_custody(turn, from, part);
            }
            GuardMessage::CustodyNone { range, generation } => {
                self.seats.custody_none(from, range, generation);
            }
            GuardMessage::ReadyAsk { entry } => {
                self.adopt(turn, &entry);
                self.seats.ready_ask(turn, from, &entry);
            }
            GuardMessage::ReadyReply {
                range,
                generation,
                ready,
            } if ready => self.seats.ready_reply(from, range, generation),
            GuardMessage::Poll { entry, fence } => self.answer_poll(turn, from, &entry, fence),
            GuardMessage::PollReply {
                range,
                generation,
                fenced,
                ready,
            } => {
                let counts = fenced || !ready;
                if counts {
                    self.founding.poll_reply(from, range, generation, fenced);
                }
            }
            _ => {}
        }
    }

    /// Forwards a relayed message, or handles it and sends the replies back through the relay.
    fn relay(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        origin: InstanceId,
        target: InstanceId,
        message: GuardMessage,
    ) {
        let me = turn.me();
        if target != me {
            if origin == from {
                let message = wrap(origin, target, message);
                turn.send(target, message);
            }
            return;
        }
        let mark = turn.out.len();
        self.take_message(turn, origin, message);
        for command in &mut turn.out[mark..] {
            if let GuardCommand::Send { to, message } = command
                && *to == origin
                && !matches!(message, GuardMessage::Relay { .. })
            {
                let digests = Vec::new();
                let answer = std::mem::replace(message, GuardMessage::Exchange { digests });
                *message = wrap(me, origin, answer);
                *to = from;
            }
        }
    }

    /// Answers a founder's poll about a range; see [`crate::founding`].
    fn answer_poll(
        &mut self,
        turn: &mut GuardTurn<'_>,
        from: InstanceId,
        entry: &RangeEntry,
        fence: bool,
    ) {
        self.adopt(turn, entry);
        let known = turn.view.map.get(entry.range);
        if let Some(newer) = known.filter(|it| it.generation > entry.generation) {
            let entries = vec![newer.clone()];
            turn.send(from, GuardMessage::Map { entries });
            return;
        }
        if fence {
            turn.view.fence(entry.range, entry.generation.epoch);
        }
        let seat = self.seats.seats.get(&entry.range);
        let reply = GuardMessage::PollReply {
            range: entry.range,
            generation: entry.generation,
            fenced: fence,
            ready: seat.is_some_and(RangeSeat::is_ready),
        };
        turn.send(from, reply);
    }

    /// Adopts a generation that this node's proposal completed, and sends the entry to its previous
    /// and new seats.
    pub(crate) fn choose(&mut self, turn: &mut GuardTurn<'_>, chosen: Option<RangeEntry>) {
        let Some(entry) = chosen else {
            return;
        };
        if !self.adopt(turn, &entry) {
            return;
        }
        let me = turn.me();
        let mut concerned = entry.prior.clone();
        concerned.extend(&entry.seats);
        concerned.sort_unstable();
        concerned.dedup();
        for seat in concerned.into_iter().filter(|seat| *seat != me) {
            let entries = vec![entry.clone()];
            turn.send(seat, GuardMessage::Map { entries });
        }
    }

    fn adopt_all(&mut self, turn: &mut GuardTurn<'_>, entries: &[RangeEntry]) {
        for entry in entries {
            self.adopt(turn, entry);
        }
    }

    /// Adopts an entry if it is newer than the known one. Returns whether it was adopted.
    fn adopt(&mut self, turn: &mut GuardTurn<'_>, entry: &RangeEntry) -> bool {
        if !turn.view.map.adopt(entry.clone()) {
            return false;
        }
        let me = turn.me();
        if entry.seats.contains(&me) || entry.prior.contains(&me) {
            turn.note(GuardNote::GenerationChanged {
                range: entry.range,
                generation: entry.generation,
                seats: entry.seats.clone(),
            });
        }
        self.seats.map_changed(turn, entry);
        self.client.map_changed(turn, entry.range);
        self.ledger.map_changed(turn, entry.range);
        true
    }

    /// Runs the periodic work of seats, map exchange and founding.
    pub(crate) fn pulse(&mut self, turn: &mut GuardTurn<'_>) {
        let chosen = self.seats.pulse(turn);
        for entry in chosen {
            self.choose(turn, Some(entry));
        }
        self.exchange.pulse(turn);
        self.founding.pulse(turn, &self.seats);
    }
}

fn wrap(origin: InstanceId, target: InstanceId, message: GuardMessage) -> GuardMessage {
    GuardMessage::Relay {
        origin,
        target,
        message: Box::new(message),
    }
}
