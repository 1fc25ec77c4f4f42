//! Executor side: the ledger of attempts, checked before each request to the backend server.
//!
//! ```text
//! never seen --Offered--> running --WorkEnded--> ran | unknown | fenced (certainly not run)
//!      \-----Inquire(fence)--> fenced
//! ```
//!
//! An attempt runs only from the state "never seen", so a fenced attempt never runs. The answer
//! "fenced" is therefore proof that another attempt of the key may replace this one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{AttemptId, InstanceId};

use crate::command::{DispatchTicket, GuardCommand, WorkRefusal};
use crate::context::{GuardContext, millis};
use crate::event::WorkOutcome;
use crate::key::{KeyId, RangeId};
use crate::map::RangeGeneration;
use crate::message::{AttemptHolder, GuardMessage, WorkState};
use crate::store::RecordedOutcome;

/// Maximum number of nodes notified when a running attempt ends. Other nodes repeat their query.
const MAX_WAITERS: usize = 8;
/// Maximum number of times that the delay between two sends of a record doubles.
const MAX_RECORD_DOUBLINGS: u32 = 8;

/// State of one attempt at this executor.
#[derive(Debug)]
struct WorkEntry {
    stamp_ms: u64,
    state: WorkState,
    ticket: Option<DispatchTicket>,
    /// Nodes to notify when the attempt ends.
    waiters: Vec<InstanceId>,
}

/// Outcome of one attempt that not all seats have acknowledged yet.
#[derive(Debug)]
struct RecordSend {
    ticket: DispatchTicket,
    outcome: RecordedOutcome,
    /// Seats of the current generation that have acknowledged the record.
    acked: BTreeSet<InstanceId>,
    tries: u32,
    wake: Duration,
}

/// States of all attempts offered to or fenced by this executor.
#[derive(Debug, Default)]
pub(crate) struct WorkLedger {
    entries: BTreeMap<AttemptId, WorkEntry>,
    ages: BTreeSet<(u64, AttemptId)>,
    /// Attempts with a stored reply, by age.
    replied: BTreeSet<(u64, AttemptId)>,
    /// Attempts with an older stamp may have been dropped, so the executor neither runs them nor
    /// reports them as "not run".
    watermark_ms: u64,
    reply_bytes: usize,
    records: BTreeMap<AttemptId, RecordSend>,
    timers: BTreeSet<(Duration, AttemptId)>,
}

impl WorkLedger {
    pub(crate) fn on_offered(&mut self, context: &mut GuardContext<'_>, ticket: DispatchTicket) {
        let attempt = ticket.attempt;
        let refusal = if ticket.executor == context.me() {
            self.refusal(&ticket)
        } else {
            Some(WorkRefusal::WrongInstance)
        };
        if refusal.is_none() && is_expired(context, &ticket) {
            self.fence(context, ticket.holder());
            let refusal = WorkRefusal::NotRun;
            context
                .out
                .push(GuardCommand::RefuseWork { attempt, refusal });
            return;
        }
        if let Some(refusal) = refusal {
            context
                .out
                .push(GuardCommand::RefuseWork { attempt, refusal });
            return;
        }
        let entry = WorkEntry {
            stamp_ms: ticket.stamp_ms,
            state: WorkState::Running,
            ticket: Some(ticket.clone()),
            waiters: Vec::new(),
        };
        self.insert(context, attempt, entry);
        context.out.push(GuardCommand::RunWork { ticket });
    }

    fn refusal(&self, ticket: &DispatchTicket) -> Option<WorkRefusal> {
        match self.entries.get(&ticket.attempt) {
            Some(work) if work.state == WorkState::Fenced => Some(WorkRefusal::NotRun),
            Some(_) => Some(WorkRefusal::Repeated),
            None if ticket.stamp_ms < self.watermark_ms => Some(WorkRefusal::Repeated),
            None => None,
        }
    }

    pub(crate) fn on_work_ended(
        &mut self,
        context: &mut GuardContext<'_>,
        attempt: AttemptId,
        outcome: WorkOutcome,
    ) {
        let Some(work) = self.entries.get_mut(&attempt) else {
            return;
        };
        if work.state != WorkState::Running {
            return;
        }
        let limit = context.shared.settings.reply_limit;
        let small = |reply: &Arc<[u8]>| reply.len() <= limit;
        let (state, recorded) = match outcome {
            WorkOutcome::NotRun => (WorkState::Fenced, None),
            WorkOutcome::Ran(reply) => {
                let reply = reply.filter(small);
                let recorded = RecordedOutcome::Ran(reply.clone());
                (WorkState::Ran(reply), Some(recorded))
            }
            WorkOutcome::Unknown => (WorkState::Unknown, Some(RecordedOutcome::Unknown)),
        };
        if reply_len(&state) > 0 {
            self.reply_bytes += reply_len(&state);
            self.replied.insert((work.stamp_ms, attempt));
        }
        work.state = state.clone();
        let waiters = std::mem::take(&mut work.waiters);
        let Some(ticket) = work.ticket.take() else {
            return;
        };
        let key = ticket.key;
        for waiter in waiters {
            let state = state.clone();
            let reply = GuardMessage::InquireReply {
                key,
                attempt,
                state,
            };
            context.send(waiter, reply);
        }
        if let Some(outcome) = recorded {
            self.start_record(context, ticket, outcome);
        }
        self.trim_replies(context.shared.settings.reply_budget);
    }

    pub(crate) fn on_inquire(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        key: KeyId,
        holder: AttemptHolder,
        fence: bool,
    ) {
        if holder.executor != context.me() {
            return;
        }
        let attempt = holder.attempt;
        let state = match self.entries.get_mut(&attempt) {
            Some(work) => {
                if work.state == WorkState::Running
                    && work.waiters.len() < MAX_WAITERS
                    && !work.waiters.contains(&from)
                {
                    work.waiters.push(from);
                }
                work.state.clone()
            }
            None if holder.stamp_ms < self.watermark_ms => WorkState::Unknown,
            None if fence => {
                self.fence(context, holder);
                WorkState::Fenced
            }
            None => WorkState::NeverSeen,
        };
        let reply = GuardMessage::InquireReply {
            key,
            attempt,
            state,
        };
        context.send(from, reply);
    }

    fn fence(&mut self, context: &GuardContext<'_>, holder: AttemptHolder) {
        let entry = WorkEntry {
            stamp_ms: holder.stamp_ms,
            state: WorkState::Fenced,
            ticket: None,
            waiters: Vec::new(),
        };
        self.insert(context, holder.attempt, entry);
    }

    fn insert(&mut self, context: &GuardContext<'_>, attempt: AttemptId, entry: WorkEntry) {
        self.ages.insert((entry.stamp_ms, attempt));
        self.entries.insert(attempt, entry);
        if self.entries.len() > context.shared.settings.max_attempts {
            self.drop_oldest(attempt);
        }
    }

    /// Drops the oldest attempt that is not running, and raises the watermark above its stamp.
    fn drop_oldest(&mut self, newest: AttemptId) {
        let over = |(_, attempt): &&(u64, AttemptId)| {
            let work = self.entries.get(attempt);
            *attempt != newest && work.is_some_and(|work| work.state != WorkState::Running)
        };
        let Some((stamp_ms, attempt)) = self.ages.iter().find(over).copied() else {
            return;
        };
        self.ages.remove(&(stamp_ms, attempt));
        self.replied.remove(&(stamp_ms, attempt));
        if let Some(work) = self.entries.remove(&attempt) {
            self.reply_bytes -= reply_len(&work.state);
        }
        self.watermark_ms = self.watermark_ms.max(stamp_ms + 1);
    }

    fn trim_replies(&mut self, budget: usize) {
        while self.reply_bytes > budget {
            let Some((_, attempt)) = self.replied.pop_first() else {
                break;
            };
            if let Some(work) = self.entries.get_mut(&attempt) {
                self.reply_bytes -= reply_len(&work.state);
                work.state = WorkState::Ran(None);
            }
        }
    }

    fn start_record(
        &mut self,
        context: &mut GuardContext<'_>,
        ticket: DispatchTicket,
        outcome: RecordedOutcome,
    ) {
        let attempt = ticket.attempt;
        let send = RecordSend {
            ticket,
            outcome,
            acked: BTreeSet::new(),
            tries: 0,
            wake: Duration::ZERO,
        };
        self.records.insert(attempt, send);
        self.send_record(context, attempt);
    }

    /// Sends a record to the seats that have not acknowledged it.
    fn send_record(&mut self, context: &mut GuardContext<'_>, attempt: AttemptId) {
        let Some(send) = self.records.get_mut(&attempt) else {
            return;
        };
        self.timers.remove(&(send.wake, attempt));
        let key = send.ticket.key;
        let seats = context.entry_of(key).map(|entry| entry.seats);
        let seats = seats.unwrap_or_else(|| send.ticket.seats.clone());
        for seat in seats.iter().filter(|seat| !send.acked.contains(seat)) {
            let record = GuardMessage::Record {
                key,
                fingerprint: send.ticket.fingerprint,
                holder: send.ticket.holder(),
                outcome: send.outcome.clone(),
            };
            context.send_alternating(send.tries, *seat, record);
        }
        let wait =
            context.shared.settings.resend_after * (1 << send.tries.min(MAX_RECORD_DOUBLINGS));
        send.tries += 1;
        send.wake = context.now + wait;
        self.timers.insert((send.wake, attempt));
    }

    pub(crate) fn on_record_ack(
        &mut self,
        context: &GuardContext<'_>,
        from: InstanceId,
        attempt: AttemptId,
        generation: RangeGeneration,
    ) {
        let Some(send) = self.records.get_mut(&attempt) else {
            return;
        };
        let Some(entry) = context.entry_of(send.ticket.key) else {
            return;
        };
        if entry.generation != generation {
            return;
        }
        send.acked.insert(from);
        if entry.seats.iter().all(|seat| send.acked.contains(seat)) {
            self.timers.remove(&(send.wake, attempt));
            self.records.remove(&attempt);
        }
    }

    /// Restarts every unfinished record of a range whose seats have changed.
    pub(crate) fn on_map_changed(&mut self, context: &mut GuardContext<'_>, range: RangeId) {
        let of_range = |send: &&RecordSend| context.range_of(send.ticket.key) == range;
        let sends = self.records.values().filter(of_range);
        let attempts: Vec<AttemptId> = sends.map(|send| send.ticket.attempt).collect();
        for attempt in attempts {
            if let Some(send) = self.records.get_mut(&attempt) {
                send.acked.clear();
                send.tries = 0;
            }
            self.send_record(context, attempt);
        }
    }

    pub(crate) fn tick(&mut self, context: &mut GuardContext<'_>) {
        while let Some((wake, attempt)) = self.timers.first().copied() {
            if wake > context.now {
                break;
            }
            self.timers.pop_first();
            self.send_record(context, attempt);
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.timers.first().map(|(wake, _)| *wake)
    }

    /// Returns whether the seats have acknowledged the outcome of every attempt that ended here.
    pub(crate) fn all_recorded(&self) -> bool {
        self.records.is_empty()
    }
}

/// Returns whether the deadline of the caller has passed even if the clocks differ by `clock_skew`.
fn is_expired(context: &GuardContext<'_>, ticket: &DispatchTicket) -> bool {
    context.wall_ms() > ticket.expires_ms + millis(context.shared.settings.clock_skew)
}

fn reply_len(state: &WorkState) -> usize {
    match state {
        WorkState::Ran(Some(reply)) => reply.len(),
        _ => 0,
    }
}
