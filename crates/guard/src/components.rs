//! Dispatch of events and messages to the components of a node.

use sycamorelink_core::InstanceId;

use crate::client::{AdmitRequest, KeyClient};
use crate::command::{GuardCommand, GuardNote};
use crate::context::GuardContext;
use crate::custody::CustodyChunk;
use crate::event::GuardEvent;
use crate::exchange::{self, MapExchange};
use crate::founding::FoundingState;
use crate::ledger::WorkLedger;
use crate::map::RangeEntry;
use crate::message::GuardMessage;
use crate::seat::{RangeSeat, SeatTable};
use crate::vote::{DeclineVote, PromiseVote};

/// Components of a node.
#[derive(Debug, Default)]
pub(crate) struct NodeComponents {
    pub(crate) client: KeyClient,
    pub(crate) seats: SeatTable,
    pub(crate) ledger: WorkLedger,
    pub(crate) founding: FoundingState,
    pub(crate) exchange: MapExchange,
}

impl NodeComponents {
    pub(crate) fn on_event(&mut self, context: &mut GuardContext<'_>, event: GuardEvent) {
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
                self.client.on_admit(context, &admit);
            }
            GuardEvent::Redirect { request, executor } => {
                self.client.on_redirect(context, request, executor);
            }
            GuardEvent::Settled { request, outcome } => {
                self.client.on_settled(context, request, outcome);
            }
            GuardEvent::Abandoned { request } => self.client.on_abandoned(context, request),
            GuardEvent::Offered { ticket } => self.ledger.on_offered(context, ticket),
            GuardEvent::WorkEnded { attempt, outcome } => {
                self.ledger.on_work_ended(context, attempt, outcome);
            }
            GuardEvent::Message { from, message } => self.on_message(context, from, message),
            GuardEvent::Tick => {}
            member => self.on_member_event(context, member),
        }
    }

    fn on_member_event(&mut self, context: &mut GuardContext<'_>, event: GuardEvent) {
        let now = context.now;
        let me = context.me();
        match event {
            GuardEvent::MemberUp { instance, domain } => {
                context.shared.members.mark_up(instance, domain);
            }
            GuardEvent::MemberDown { instance } if instance != me => {
                context.shared.members.mark_down(now, instance);
            }
            GuardEvent::MemberGone { instance } if instance != me => {
                context.shared.members.mark_gone(instance);
            }
            GuardEvent::MemberDraining { instance } => {
                context.shared.members.mark_draining(instance);
            }
            GuardEvent::DrainRequested => {
                context.shared.draining = true;
                context.shared.members.mark_draining(me);
            }
            GuardEvent::LogFounding { records } => {
                let entries = self.founding.on_records(records);
                self.adopt_all(context, &entries);
            }
            GuardEvent::LogCurrent { whole } => {
                let entries = self.founding.on_log_current(context, whole);
                self.adopt_all(context, &entries);
            }
            GuardEvent::LogLost => self.founding.on_log_lost(),
            _ => {}
        }
    }

    /// Handles messages between ingress, seats and executor, and passes others on.
    pub(crate) fn on_message(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        message: GuardMessage,
    ) {
        match message {
            GuardMessage::Claim(claim) => self.seats.on_claim(context, from, &claim),
            GuardMessage::ClaimReply {
                attempt,
                generation,
                verdict,
                ..
            } => {
                let client = &mut self.client;
                client.on_claim_reply(context, from, attempt, generation, verdict);
            }
            GuardMessage::Release { key, attempt } => self.seats.on_release(context, key, attempt),
            GuardMessage::Close { key, attempt } => self.seats.on_close(context, key, attempt),
            GuardMessage::Contest { key, theirs, mine } => {
                self.client.on_contest(context, from, key, theirs, mine);
            }
            GuardMessage::ContestReply { key, theirs, state } => {
                self.client.on_contest_reply(context, key, theirs, state);
            }
            GuardMessage::Inquire { key, holder, fence } => {
                self.ledger.on_inquire(context, from, key, holder, fence);
            }
            GuardMessage::InquireReply {
                key,
                attempt,
                state,
            } => self.client.on_inquire_reply(context, key, attempt, &state),
            GuardMessage::Record {
                key,
                fingerprint,
                holder,
                outcome,
            } => {
                let seats = &mut self.seats;
                seats.on_record(context, from, key, fingerprint, holder, outcome);
            }
            GuardMessage::RecordAck {
                attempt,
                generation,
            } => {
                let ledger = &mut self.ledger;
                ledger.on_record_ack(context, from, attempt, generation);
            }
            GuardMessage::Relay {
                origin,
                target,
                message,
            } => self.relay(context, from, origin, target, *message),
            other => self.on_generation_message(context, from, other),
        }
    }

    /// Handles the messages of ballots, and passes others on.
    fn on_generation_message(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        message: GuardMessage,
    ) {
        match message {
            GuardMessage::Prepare {
                entry,
                ballot,
                wanted,
            } => {
                self.adopt(context, &entry);
                self.seats
                    .on_prepare(context, from, &entry, ballot, &wanted);
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
                self.seats.on_declined(context, from, &vote);
            }
            GuardMessage::Accept {
                entry,
                ballot,
                seats,
            } => {
                self.adopt(context, &entry);
                self.seats.on_accept(context, from, &entry, ballot, seats);
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
                let chosen = self.seats.on_promise(context, from, vote);
                self.announce_chosen(context, chosen);
            }
            GuardMessage::Accepted {
                range,
                generation,
                ballot,
            } => {
                let seats = &mut self.seats;
                let chosen = seats.on_accepted(context, from, range, generation, ballot);
                self.announce_chosen(context, chosen);
            }
            GuardMessage::Outbid {
                range,
                generation,
                promised,
            } => self.seats.on_outbid(context, range, generation, promised),
            other => self.on_map_message(context, from, other),
        }
    }

    /// Handles messages of the map exchange, custody transfers and polls.
    fn on_map_message(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        message: GuardMessage,
    ) {
        match message {
            GuardMessage::Map { entries } => self.adopt_all(context, &entries),
            GuardMessage::Exchange { digests } => exchange::compare(context, from, &digests),
            GuardMessage::Generations {
                buckets,
                known,
                answer,
            } => exchange::reconcile(context, from, buckets, &known, answer),
            GuardMessage::CustodyRequest { entry, after } => {
                self.adopt(context, &entry);
                self.seats.on_custody_request(context, from, &entry, after);
            }
            GuardMessage::Custody {
                range,
                generation,
                after,
                watermark_ms,
                records,
                done,
            } => {
                let chunk = CustodyChunk {
                    range,
                    generation,
                    after,
                    watermark_ms,
                    records,
                    done,
                };
                self.seats.on_custody(context, from, chunk);
            }
            GuardMessage::CustodyNone { range, generation } => {
                self.seats.on_custody_none(from, range, generation);
            }
            GuardMessage::ReadyAsk { entry } => {
                self.adopt(context, &entry);
                self.seats.on_ready_ask(context, from, &entry);
            }
            GuardMessage::ReadyReply {
                range,
                generation,
                ready,
            } if ready => self.seats.on_ready_reply(from, range, generation),
            GuardMessage::Poll { entry, fence } => self.on_poll(context, from, &entry, fence),
            GuardMessage::PollReply {
                range,
                generation,
                fenced,
                ready,
            } => {
                let counts = fenced || !ready;
                if counts {
                    self.founding.on_poll_reply(from, range, generation, fenced);
                }
            }
            _ => {}
        }
    }

    /// Forwards a relayed message, or handles it and sends the replies back through the relay.
    fn relay(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        origin: InstanceId,
        target: InstanceId,
        message: GuardMessage,
    ) {
        let me = context.me();
        if target != me {
            if origin == from {
                let message = wrap_relay(origin, target, message);
                context.send(target, message);
            }
            return;
        }
        let mark = context.out.len();
        self.on_message(context, origin, message);
        for command in &mut context.out[mark..] {
            if let GuardCommand::Send { to, message } = command
                && *to == origin
                && !matches!(message, GuardMessage::Relay { .. })
            {
                let digests = Vec::new();
                let answer = std::mem::replace(message, GuardMessage::Exchange { digests });
                *message = wrap_relay(me, origin, answer);
                *to = from;
            }
        }
    }

    /// Answers a founder's poll about a range; see [`crate::founding`].
    fn on_poll(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        entry: &RangeEntry,
        fence: bool,
    ) {
        self.adopt(context, entry);
        let known = context.shared.map.get(entry.range);
        if let Some(newer) = known.filter(|it| it.generation > entry.generation) {
            let entries = vec![newer.clone()];
            context.send(from, GuardMessage::Map { entries });
            return;
        }
        if fence {
            context.shared.fence(entry.range, entry.generation.epoch);
        }
        let seat = self.seats.seats.get(&entry.range);
        let reply = GuardMessage::PollReply {
            range: entry.range,
            generation: entry.generation,
            fenced: fence,
            ready: seat.is_some_and(RangeSeat::is_ready),
        };
        context.send(from, reply);
    }

    /// Adopts a generation that this node's proposal completed, and sends the entry to its previous
    /// and new seats.
    pub(crate) fn announce_chosen(
        &mut self,
        context: &mut GuardContext<'_>,
        chosen: Option<RangeEntry>,
    ) {
        let Some(entry) = chosen else {
            return;
        };
        if !self.adopt(context, &entry) {
            return;
        }
        let me = context.me();
        let mut concerned = entry.prior.clone();
        concerned.extend(&entry.seats);
        concerned.sort_unstable();
        concerned.dedup();
        for seat in concerned.into_iter().filter(|seat| *seat != me) {
            let entries = vec![entry.clone()];
            context.send(seat, GuardMessage::Map { entries });
        }
    }

    fn adopt_all(&mut self, context: &mut GuardContext<'_>, entries: &[RangeEntry]) {
        for entry in entries {
            self.adopt(context, entry);
        }
    }

    /// Adopts an entry if it is newer than the known one. Returns whether it was adopted.
    fn adopt(&mut self, context: &mut GuardContext<'_>, entry: &RangeEntry) -> bool {
        if !context.shared.map.adopt(entry.clone()) {
            return false;
        }
        let me = context.me();
        if entry.seats.contains(&me) || entry.prior.contains(&me) {
            context.note(GuardNote::GenerationChanged {
                range: entry.range,
                generation: entry.generation,
                seats: entry.seats.clone(),
            });
        }
        self.seats.on_map_changed(context, entry);
        self.client.on_map_changed(context, entry.range);
        self.ledger.on_map_changed(context, entry.range);
        true
    }

    /// Runs the periodic work of seats, map exchange and founding.
    pub(crate) fn run_periodic(&mut self, context: &mut GuardContext<'_>) {
        let chosen = self.seats.run_periodic(context);
        for entry in chosen {
            self.announce_chosen(context, Some(entry));
        }
        self.exchange.run_periodic(context);
        self.founding.run_periodic(context, &self.seats);
    }
}

fn wrap_relay(origin: InstanceId, target: InstanceId, message: GuardMessage) -> GuardMessage {
    GuardMessage::Relay {
        origin,
        target,
        message: Box::new(message),
    }
}
