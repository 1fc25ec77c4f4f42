//! Founding of epochs through the log, for decisions that the seats cannot make by ballot.
//!
//! The log decides in two cases: it selects the first seats of a new fleet, and the next seats
//! after a majority of a generation's seats has ended, so that its ballots can never complete. The
//! first record of a range and epoch wins.
//!
//! Seats that are merely cut off may have chosen a later generation and may still serve under it.
//! A range is therefore founded again only under three conditions:
//!
//! 1. A majority of the newest known seats has certainly ended (a later instance of the node was
//!    listed, or an operator confirmed the end), or all nodes that may hold the records have.
//!    Suspicion is not enough; until then the range stays closed.
//! 2. Every other member, suspected or not, has answered a poll that it knows no newer generation
//!    and does not hold the records.
//! 3. After that, every other member has promised not to take part in the old epoch any longer.
//!
//! If a seat with the records survives, it founds the epoch and the other seats copy from it, so
//! that resends still get their replies. However, the lost seats may have chosen a later generation
//! without the survivor, served under it, and ended together with every node that knew about it.
//! Keys without a record are therefore never run if they are older than the watermark of the
//! founding record: the founder's clock plus `ahead_limit` and `clock_skew`. For the same reason,
//! keys that are granted but not known to have ended are closed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::InstanceId;

use crate::ballot::majority;
use crate::command::{GuardCommand, GuardNote};
use crate::context::{GuardContext, millis};
use crate::key::RangeId;
use crate::map::{FoundingRecord, RangeEntry, RangeGeneration, place_seats};
use crate::message::GuardMessage;
use crate::seat::{RangeSeat, SeatTable};

/// Delay before an append is repeated if it was not read back.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval between two scans of the map for lost ranges.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Poll of all members about one lost range.
#[derive(Debug)]
struct PollRound {
    generation: RangeGeneration,
    /// Whether the poll has reached its second phase, in which members fence the epoch.
    fence: bool,
    answered: BTreeSet<InstanceId>,
    tries: u32,
    send_at: Duration,
    append_at: Duration,
}

impl PollRound {
    const fn new(generation: RangeGeneration) -> Self {
        Self {
            generation,
            fence: false,
            answered: BTreeSet::new(),
            tries: 0,
            send_at: Duration::ZERO,
            append_at: Duration::ZERO,
        }
    }
}

/// Founding records read from the log, and the founding of ranges by this node.
#[derive(Debug, Default)]
pub(crate) struct FoundingState {
    /// Winning record of the newest epoch of each range.
    records: BTreeMap<RangeId, FoundingRecord>,
    /// Time since which this node has read the log up to its end; `None` if it has not.
    current_since: Option<Duration>,
    /// Whether the log was read from the first record ever written.
    whole: bool,
    rounds: BTreeMap<RangeId, PollRound>,
    /// Lost ranges with the generation that was lost.
    closed: BTreeMap<RangeId, RangeGeneration>,
    /// Earliest repetition of the append that founds a new fleet.
    first_append_at: Duration,
    refresh_at: Duration,
    scan_at: Duration,
}

impl FoundingState {
    /// Processes records in log order. Returns the entries to adopt.
    pub(crate) fn on_records(&mut self, records: Vec<FoundingRecord>) -> Vec<RangeEntry> {
        let current = self.current_since.is_some();
        let mut entries = Vec::new();
        for record in records {
            if !self.supersedes(&record) {
                continue;
            }
            if current {
                entries.push(record.entry());
            }
            self.records.insert(record.range, record);
        }
        entries
    }

    /// Returns whether a record replaces the known one. During the initial read of the log, a copy
    /// replaces a record of the same epoch: the writer of the copy had read the winning record,
    /// which the log may have trimmed since.
    fn supersedes(&self, record: &FoundingRecord) -> bool {
        let Some(known) = self.records.get(&record.range) else {
            return true;
        };
        let copy = self.current_since.is_none() && record.copy && !known.copy;
        record.epoch > known.epoch || (record.epoch == known.epoch && copy)
    }

    /// Marks the log as read to its end. Returns the entries to adopt.
    pub(crate) fn on_log_current(
        &mut self,
        context: &GuardContext<'_>,
        whole: bool,
    ) -> Vec<RangeEntry> {
        self.whole = whole;
        self.current_since.get_or_insert(context.now);
        self.refresh_at = context.now + context.shared.settings.refresh_every;
        self.records.values().map(FoundingRecord::entry).collect()
    }

    pub(crate) fn on_log_lost(&mut self) {
        self.current_since = None;
    }

    pub(crate) fn closed_ranges(&self) -> usize {
        self.closed.len()
    }

    pub(crate) fn run_periodic(&mut self, context: &mut GuardContext<'_>, seats: &SeatTable) {
        if context.now < self.scan_at {
            return;
        }
        self.scan_at = context.now + SCAN_INTERVAL;
        self.scan_lost_ranges(context, seats);
        if let Some(since) = self.current_since {
            self.found_new_fleet(context, since);
            self.refound_lost_ranges(context, seats);
            self.refresh(context);
        }
    }

    /// Founds the first seats of a new fleet. Members append one after another by rank, and the
    /// first record in the log wins.
    fn found_new_fleet(&mut self, context: &mut GuardContext<'_>, since: Duration) {
        let settle = since
            + context.shared.settings.strike_after
            + APPEND_RETRY_DELAY * member_rank(context);
        if !self.whole || context.now < settle.max(self.first_append_at) || context.shared.draining
        {
            return;
        }
        let candidates = context.shared.members.candidates();
        let count = context.shared.settings.seats;
        let missing = |range: &RangeId| {
            !self.records.contains_key(range) && context.shared.map.get(*range).is_none()
        };
        let ranges = (0..context.shared.settings.ranges)
            .map(RangeId)
            .filter(missing);
        let records: Vec<FoundingRecord> = ranges
            .map(|range| FoundingRecord {
                range,
                epoch: 0,
                seats: place_seats(range, &[], &candidates, count),
                source: None,
                watermark_ms: 0,
                copy: false,
            })
            .collect();
        if !records.is_empty() {
            self.first_append_at = context.now + APPEND_RETRY_DELAY;
            context.out.push(GuardCommand::AppendFounding { records });
        }
    }

    /// Finds ranges whose ballots can never complete, or whose records no seat holds.
    fn scan_lost_ranges(&mut self, context: &mut GuardContext<'_>, seats: &SeatTable) {
        let members = &context.shared.members;
        let lost = |entry: &&RangeEntry| {
            let gone = entry.seats.iter().filter(|seat| members.is_gone(**seat));
            let seat = seats.seats.get(&entry.range);
            entry.seats.len() - gone.count() < majority(entry.seats.len())
                || seat.is_some_and(|seat| seat.is_orphaned(context))
        };
        let lost: BTreeMap<RangeId, RangeGeneration> = context
            .shared
            .map
            .iter()
            .filter(lost)
            .map(|entry| (entry.range, entry.generation))
            .collect();
        for (range, generation) in &lost {
            if self.closed.get(range) != Some(generation) {
                let (range, generation) = (*range, *generation);
                context.note(GuardNote::RangeClosed { range, generation });
            }
        }
        self.rounds.retain(|range, _| lost.contains_key(range));
        self.closed = lost;
    }

    /// Founds all lost ranges whose polls are complete, in a single append.
    ///
    /// The log accepts two appends per second from a node. After the loss of a node with seats of
    /// many ranges, one append per range would keep the last ranges closed for half a minute.
    fn refound_lost_ranges(&mut self, context: &mut GuardContext<'_>, seats: &SeatTable) {
        let mut records = Vec::new();
        let ranges: Vec<RangeId> = self.closed.keys().copied().collect();
        for range in ranges {
            let Some(entry) = context.shared.map.get(range).cloned() else {
                continue;
            };
            if is_founder(context, &entry) {
                records.extend(self.poll_members(context, &entry, seats));
            }
        }
        if !records.is_empty() {
            context.out.push(GuardCommand::AppendFounding { records });
        }
    }

    /// Polls all members, then fences them, and then returns the founding record to append.
    fn poll_members(
        &mut self,
        context: &mut GuardContext<'_>,
        entry: &RangeEntry,
        seats: &SeatTable,
    ) -> Option<FoundingRecord> {
        let generation = entry.generation;
        let round = self.rounds.entry(entry.range);
        let round = round.or_insert_with(|| PollRound::new(generation));
        if round.generation != generation {
            *round = PollRound::new(generation);
        }
        let me = context.me();
        let members = &context.shared.members;
        let named = entry.seats.iter().chain(&entry.prior).copied();
        let seats_left = named.filter(|seat| !members.is_gone(*seat));
        let others: BTreeSet<InstanceId> = members.all().chain(seats_left).collect();
        let unanswered = |it: &InstanceId| *it != me && !round.answered.contains(it);
        let waiting: Vec<InstanceId> = others.into_iter().filter(unanswered).collect();
        if waiting.is_empty() && round.fence {
            if context.now < round.append_at {
                return None;
            }
            round.append_at = context.now + APPEND_RETRY_DELAY;
            return refounding_record(context, entry, seats);
        }
        if waiting.is_empty() {
            round.fence = true;
            round.answered.clear();
            round.tries = 0;
            round.send_at = context.now;
            context.shared.fence(entry.range, generation.epoch);
            return self.poll_members(context, entry, seats);
        }
        if context.now < round.send_at {
            return None;
        }
        round.send_at = context.next_resend(round.tries);
        let fence = round.fence;
        for member in waiting {
            let entry = entry.clone();
            let poll = GuardMessage::Poll { entry, fence };
            context.send_alternating(round.tries, member, poll);
        }
        round.tries += 1;
        None
    }

    pub(crate) fn on_poll_reply(
        &mut self,
        from: InstanceId,
        range: RangeId,
        generation: RangeGeneration,
        fenced: bool,
    ) {
        if let Some(round) = self.rounds.get_mut(&range)
            && round.generation == generation
            && round.fence == fenced
        {
            round.answered.insert(from);
        }
    }

    /// Appends copies of the winning records before the log trims the originals.
    fn refresh(&mut self, context: &mut GuardContext<'_>) {
        if context.now < self.refresh_at {
            return;
        }
        self.refresh_at = context.now + context.shared.settings.refresh_every;
        if member_rank(context) > 0 || self.records.is_empty() {
            return;
        }
        let copy = |record: &FoundingRecord| FoundingRecord {
            copy: true,
            ..record.clone()
        };
        let records = self.records.values().map(copy).collect();
        context.out.push(GuardCommand::AppendFounding { records });
    }
}

/// Returns the position of this node among the members that are up, starting at zero.
fn member_rank(context: &GuardContext<'_>) -> u32 {
    let me = context.me();
    let before = context
        .shared
        .members
        .up_members()
        .take_while(|it| *it != me);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

/// Returns whether this node founds a lost range. The founder is the first seat that has not ended,
/// or the first member that is up if all seats have ended.
fn is_founder(context: &GuardContext<'_>, entry: &RangeEntry) -> bool {
    let members = &context.shared.members;
    let survivor = entry.seats.iter().find(|seat| !members.is_gone(**seat));
    match survivor {
        Some(survivor) => *survivor == context.me(),
        None => member_rank(context) == 0,
    }
}

fn refounding_record(
    context: &GuardContext<'_>,
    entry: &RangeEntry,
    seats: &SeatTable,
) -> Option<FoundingRecord> {
    let me = context.me();
    let ready = seats
        .seats
        .get(&entry.range)
        .is_some_and(RangeSeat::is_ready);
    let source = (ready && entry.seats.contains(&me)).then_some(me);
    let kept: Vec<InstanceId> = source.into_iter().collect();
    let candidates = context.shared.members.candidates();
    let count = context.shared.settings.seats;
    let settings = &context.shared.settings;
    let margin_ms = millis(settings.ahead_limit) + millis(settings.clock_skew);
    let watermark_ms = context.wall_ms() + margin_ms;
    let record = FoundingRecord {
        range: entry.range,
        epoch: entry.generation.epoch + 1,
        seats: place_seats(entry.range, &kept, &candidates, count),
        source,
        watermark_ms,
        copy: false,
    };
    (!record.seats.is_empty()).then_some(record)
}
