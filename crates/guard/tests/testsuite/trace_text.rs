//! Short texts for events and commands in the trace of a session.

use sycamorelink_core::{AttemptId, InstanceId};
use sycamorelink_guard::message::{ContestState, SeatVerdict, WorkState};
use sycamorelink_guard::store::RecordedOutcome;
use sycamorelink_guard::{GuardCommand, GuardEvent, GuardMessage, GuardNote, RangeEntry};

use crate::oracle::verdict_text;

pub fn instance(id: InstanceId) -> String {
    match id.incarnation.0 {
        1 => format!("n{}", id.node.0),
        incarnation => format!("n{}#{incarnation}", id.node.0),
    }
}

fn attempt(id: AttemptId) -> String {
    format!("{:x}.{}", id.request.0, id.number)
}

fn instances(ids: &[InstanceId]) -> String {
    let names: Vec<String> = ids.iter().map(|id| instance(*id)).collect();
    names.join(" ")
}

fn entry(entry: &RangeEntry) -> String {
    format!(
        "{} {} [{}]",
        entry.range,
        entry.generation,
        instances(&entry.seats)
    )
}

pub fn event(event: &GuardEvent) -> String {
    match event {
        GuardEvent::Admit {
            request,
            key,
            executor,
            ..
        } => format!(
            "Admit {:x} key {key} for {}",
            request.0,
            instance(*executor)
        ),
        GuardEvent::Redirect { request, executor } => {
            format!("Redirect {:x} to {}", request.0, instance(*executor))
        }
        GuardEvent::Settled { request, outcome } => format!("Settled {:x} {outcome:?}", request.0),
        GuardEvent::Abandoned { request } => format!("Abandoned {:x}", request.0),
        GuardEvent::Offered { ticket } => format!("Offered {}", attempt(ticket.attempt)),
        GuardEvent::WorkEnded {
            attempt: id,
            outcome,
        } => {
            let text = format!("{outcome:?}");
            let kind = text.split('(').next().unwrap_or_default();
            format!("WorkEnded {} {kind}", attempt(*id))
        }
        GuardEvent::Message { from, message: it } => {
            format!("{} from {}", message(it), instance(*from))
        }
        GuardEvent::MemberUp { instance: id, .. } => format!("MemberUp {}", instance(*id)),
        GuardEvent::MemberDown { instance: id } => format!("MemberDown {}", instance(*id)),
        GuardEvent::MemberGone { instance: id } => format!("MemberGone {}", instance(*id)),
        GuardEvent::MemberDraining { instance: id } => format!("MemberDraining {}", instance(*id)),
        GuardEvent::LogFounding { records } => {
            let texts: Vec<String> = records.iter().map(|it| entry(&it.entry())).collect();
            format!("LogFounding {}", texts.join(", "))
        }
        GuardEvent::Tick => String::new(),
        other => format!("{other:?}"),
    }
}

pub fn command(command: &GuardCommand) -> Option<String> {
    let text = match command {
        GuardCommand::Grant { ticket, .. } => format!(
            "Grant {} by {} [{}] to {}",
            attempt(ticket.attempt),
            ticket.generation,
            instances(&ticket.seats),
            instance(ticket.executor)
        ),
        GuardCommand::Answer { request, verdict } => {
            format!("Answer {:x}: {}", request.0, verdict_text(verdict))
        }
        GuardCommand::Reoffer { request } => format!("Reoffer {:x}", request.0),
        GuardCommand::Send { to, message: it } => {
            if matches!(it, GuardMessage::Exchange { .. }) {
                return None;
            }
            format!("{} to {}", message(it), instance(*to))
        }
        GuardCommand::AppendFounding { records } => {
            let texts: Vec<String> = records.iter().map(|it| entry(&it.entry())).collect();
            format!("AppendFounding {}", texts.join(", "))
        }
        GuardCommand::RunWork { ticket } => format!("RunWork {}", attempt(ticket.attempt)),
        GuardCommand::RefuseWork {
            attempt: id,
            refusal,
        } => {
            format!("RefuseWork {} {refusal:?}", attempt(*id))
        }
        GuardCommand::Drained => "Drained".to_owned(),
        GuardCommand::Note(note) => format!("note {}", self::note(note)),
    };
    Some(text)
}

fn note(note: &GuardNote) -> String {
    match note {
        GuardNote::AnsweredUnknown { request, .. } => format!("answered unknown {:x}", request.0),
        GuardNote::KeyClosed { key, attempt: id } => {
            format!("key {key} closed at {}", attempt(*id))
        }
        GuardNote::GenerationChanged {
            range,
            generation,
            seats,
        } => format!("{range} {generation} [{}]", instances(seats)),
        GuardNote::SeatServing {
            range,
            generation,
            keys,
        } => format!("serving {range} {generation} with {keys} keys"),
        GuardNote::RangeClosed { range, generation } => format!("{range} {generation} closed"),
        GuardNote::WatermarkRaised { range, .. } => format!("{range} watermark raised"),
    }
}

fn message(message: &GuardMessage) -> String {
    match message {
        GuardMessage::Claim(claim) => {
            let dead: Vec<String> = claim.dead.iter().map(|id| attempt(*id)).collect();
            let id = attempt(claim.holder.attempt);
            format!("Claim {id} {} dead [{}]", claim.generation, dead.join(" "))
        }
        GuardMessage::ClaimReply {
            attempt: id,
            verdict: it,
            ..
        } => format!("ClaimReply {} {}", attempt(*id), verdict(it)),
        GuardMessage::Release { attempt: id, .. } => format!("Release {}", attempt(*id)),
        GuardMessage::Close { attempt: id, .. } => format!("Close {}", attempt(*id)),
        GuardMessage::Contest { theirs, mine, .. } => {
            let mine = mine.map_or_else(|| "none".to_owned(), |it| attempt(it.attempt));
            format!("Contest {} by {mine}", attempt(*theirs))
        }
        GuardMessage::ContestReply { theirs, state, .. } => {
            let state = match state {
                ContestState::Withdrawn(id) => format!("Withdrawn {}", attempt(*id)),
                ContestState::Claiming(it) => format!("Claiming {}", attempt(it.attempt)),
                ContestState::Dispatched(it) => format!("Dispatched {}", attempt(it.attempt)),
                ContestState::Unheard => "Unheard".to_owned(),
            };
            format!("ContestReply {} {state}", attempt(*theirs))
        }
        GuardMessage::Inquire { holder, fence, .. } => {
            format!("Inquire {} fence {fence}", attempt(holder.attempt))
        }
        GuardMessage::InquireReply {
            attempt: id, state, ..
        } => {
            format!("InquireReply {} {}", attempt(*id), work(state))
        }
        GuardMessage::Record {
            holder, outcome, ..
        } => {
            let kind = match outcome {
                RecordedOutcome::Ran(_) => "Ran",
                RecordedOutcome::Unknown => "Unknown",
            };
            format!("Record {} {kind}", attempt(holder.attempt))
        }
        GuardMessage::RecordAck { attempt: id, .. } => format!("RecordAck {}", attempt(*id)),
        GuardMessage::Relay {
            target,
            message: it,
            ..
        } => format!("Relay({} for {})", self::message(it), instance(*target)),
        other => range_message(other),
    }
}

fn range_message(message: &GuardMessage) -> String {
    match message {
        GuardMessage::Declined { range, seat, .. } => {
            format!("Declined {range} for {}", instance(*seat))
        }
        GuardMessage::Prepare {
            entry: it, ballot, ..
        } => {
            format!("Prepare {} ballot {}", entry(it), ballot.round)
        }
        GuardMessage::Promise { range, ready, .. } => format!("Promise {range} ready {ready}"),
        GuardMessage::Accept {
            entry: it,
            ballot,
            seats,
        } => format!(
            "Accept {} ballot {} next [{}]",
            entry(it),
            ballot.round,
            instances(seats)
        ),
        GuardMessage::Accepted { range, .. } => format!("Accepted {range}"),
        GuardMessage::Outbid { range, .. } => format!("Outbid {range}"),
        GuardMessage::Map { entries } => {
            let texts: Vec<String> = entries.iter().map(entry).collect();
            format!("Map {}", texts.join(", "))
        }
        GuardMessage::CustodyRequest { entry: it, .. } => format!("CustodyRequest {}", entry(it)),
        GuardMessage::Custody {
            range,
            records,
            done,
            ..
        } => {
            format!("Custody {range} {} keys done {done}", records.len())
        }
        GuardMessage::CustodyNone { range, .. } => format!("CustodyNone {range}"),
        GuardMessage::ReadyAsk { entry: it } => format!("ReadyAsk {}", entry(it)),
        GuardMessage::ReadyReply { range, ready, .. } => format!("ReadyReply {range} {ready}"),
        GuardMessage::Poll { entry: it, fence } => format!("Poll {} fence {fence}", entry(it)),
        GuardMessage::PollReply { range, fenced, .. } => format!("PollReply {range} {fenced}"),
        GuardMessage::Exchange { .. } => "Exchange".to_owned(),
        GuardMessage::Generations { known, .. } => format!("Generations of {}", known.len()),
        _ => String::new(),
    }
}

fn verdict(verdict: &SeatVerdict) -> String {
    match verdict {
        SeatVerdict::Held(holder) => format!("Held by {}", attempt(holder.attempt)),
        SeatVerdict::Ran(_) => "Ran".to_owned(),
        other => format!("{other:?}"),
    }
}

fn work(state: &WorkState) -> String {
    match state {
        WorkState::Ran(_) => "Ran".to_owned(),
        other => format!("{other:?}"),
    }
}
