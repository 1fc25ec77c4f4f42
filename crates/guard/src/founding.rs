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
use crate::key::RangeId;
use crate::map::{FoundingRecord, RangeEntry, RangeGeneration, place_seats};
use crate::message::GuardMessage;
use crate::seat::{RangeSeat, SeatTable};
use crate::turn::{GuardTurn, millis};

/// Delay before an append is repeated if it was not read back.
const REPEAT_APPEND: Duration = Duration::from_secs(2);
/// Interval between two scans of the map for lost ranges.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Poll of all members about one lost range.
#[derive(Debug)]
struct PollRound {
    generation: RangeGeneration,
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
pub(crate) struct FoundingBook {
    /// Winning record of the newest epoch of each range.
    records: BTreeMap<RangeId, FoundingRecord>,
    /// Time since which this node has read the log up to its end; `None` if it has not.
    current_since: Option<Duration>,
    whole: bool,
    rounds: BTreeMap<RangeId, PollRound>,
    closed: BTreeMap<RangeId, RangeGeneration>,
    found_at: Duration,
    refresh_at: Duration,
    look_at: Duration,
}

impl FoundingBook {
    /// Processes records in log order. Returns the entries to adopt.
    pub(crate) fn read(&mut self, records: Vec<FoundingRecord>) -> Vec<RangeEntry> {
        let current = self.current_since.is_some();
        let mut entries = Vec::new();
        for record in records {
            if !self.wins(&record) {
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
    fn wins(&self, record: &FoundingRecord) -> bool {
        let Some(known) = self.records.get(&record.range) else {
            return true;
        };
        let copy = self.current_since.is_none() && record.copy && !known.copy;
        record.epoch > known.epoch || (record.epoch == known.epoch && copy)
    }

    /// Marks the log as read to its end. Returns the entries to adopt.
    pub(crate) fn current(&mut self, turn: &GuardTurn<'_>, whole: bool) -> Vec<RangeEntry> {
        self.whole = whole;
        self.current_since.get_or_insert(turn.now);
        self.refresh_at = turn.now + turn.view.settings.refresh_every;
        self.records.values().map(FoundingRecord::entry).collect()
    }

    pub(crate) fn lost(&mut self) {
        self.current_since = None;
    }

    pub(crate) fn closed_ranges(&self) -> usize {
        self.closed.len()
    }

    pub(crate) fn pulse(&mut self, turn: &mut GuardTurn<'_>, seats: &SeatTable) {
        if turn.now < self.look_at {
            return;
        }
        self.look_at = turn.now + LOOK_EVERY;
        self.look_for_lost(turn, seats);
        if let Some(since) = self.current_since {
            self.found_first(turn, since);
            self.found_lost(turn, seats);
            self.refresh(turn);
        }
    }

    /// Founds the first seats of a new fleet. Members append one after another by rank, and the
    /// first record in the log wins.
    fn found_first(&mut self, turn: &mut GuardTurn<'_>, since: Duration) {
        let settle = since + turn.view.settings.strike_after + REPEAT_APPEND * place(turn);
        if !self.whole || turn.now < settle.max(self.found_at) || turn.view.draining {
            return;
        }
        let candidates = turn.view.members.candidates();
        let count = turn.view.settings.seats;
        let missing = |range: &RangeId| {
            !self.records.contains_key(range) && turn.view.map.get(*range).is_none()
        };
        let ranges = (0..turn.view.settings.ranges).map(RangeId).filter(missing);
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
            self.found_at = turn.now + REPEAT_APPEND;
            turn.out.push(GuardCommand::AppendFounding { records });
        }
    }

    /// Finds ranges whose ballots can never complete, or whose records no seat holds.
    fn look_for_lost(&mut self, turn: &mut GuardTurn<'_>, seats: &SeatTable) {
        let members = &turn.view.members;
        let lost = |entry: &&RangeEntry| {
            let gone = entry.seats.iter().filter(|seat| members.is_gone(**seat));
            let seat = seats.seats.get(&entry.range);
            entry.seats.len() - gone.count() < majority(entry.seats.len())
                || seat.is_some_and(|seat| seat.is_orphaned(turn))
        };
        let lost: BTreeMap<RangeId, RangeGeneration> = turn
            .view
            .map
            .iter()
            .filter(lost)
            .map(|entry| (entry.range, entry.generation))
            .collect();
        for (range, generation) in &lost {
            if self.closed.get(range) != Some(generation) {
                let (range, generation) = (*range, *generation);
                turn.note(GuardNote::RangeClosed { range, generation });
            }
        }
        self.rounds.retain(|range, _| lost.contains_key(range));
        self.closed = lost;
    }

    /// Founds all lost ranges that are ready again, in a single append.
    ///
    /// The log accepts two appends per second from a node. After the loss of a node with seats of
    /// many ranges, one append per range would keep the last ranges closed for half a minute.
    fn found_lost(&mut self, turn: &mut GuardTurn<'_>, seats: &SeatTable) {
        let mut records = Vec::new();
        let ranges: Vec<RangeId> = self.closed.keys().copied().collect();
        for range in ranges {
            let Some(entry) = turn.view.map.get(range).cloned() else {
                continue;
            };
            if is_founder(turn, &entry) {
                records.extend(self.poll(turn, &entry, seats));
            }
        }
        if !records.is_empty() {
            turn.out.push(GuardCommand::AppendFounding { records });
        }
    }

    /// Polls all members, then fences them, and then returns the founding record to append.
    fn poll(
        &mut self,
        turn: &mut GuardTurn<'_>,
        entry: &RangeEntry,
        seats: &SeatTable,
    ) -> Option<FoundingRecord> {
        let generation = entry.generation;
        let round = self.rounds.entry(entry.range);
        let round = round.or_insert_with(|| PollRound::new(generation));
        if round.generation != generation {
            *round = PollRound::new(generation);
        }
        let me = turn.me();
        let members = &turn.view.members;
        let named = entry.seats.iter().chain(&entry.prior).copied();
        let seats_left = named.filter(|seat| !members.is_gone(*seat));
        let others: BTreeSet<InstanceId> = members.all().chain(seats_left).collect();
        let silent = |it: &InstanceId| *it != me && !round.answered.contains(it);
        let waiting: Vec<InstanceId> = others.into_iter().filter(silent).collect();
        if waiting.is_empty() && round.fence {
            if turn.now < round.append_at {
                return None;
            }
            round.append_at = turn.now + REPEAT_APPEND;
            return lost_record(turn, entry, seats);
        }
        if waiting.is_empty() {
            round.fence = true;
            round.answered.clear();
            round.tries = 0;
            round.send_at = turn.now;
            turn.view.fence(entry.range, generation.epoch);
            return self.poll(turn, entry, seats);
        }
        if turn.now < round.send_at {
            return None;
        }
        round.send_at = turn.next_try(round.tries);
        let fence = round.fence;
        for member in waiting {
            let entry = entry.clone();
            let poll = GuardMessage::Poll { entry, fence };
            turn.send_try(round.tries, member, poll);
        }
        round.tries += 1;
        None
    }

    pub(crate) fn poll_reply(
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
    fn refresh(&mut self, turn: &mut GuardTurn<'_>) {
        if turn.now < self.refresh_at {
            return;
        }
        self.refresh_at = turn.now + turn.view.settings.refresh_every;
        if place(turn) > 0 || self.records.is_empty() {
            return;
        }
        let copy = |record: &FoundingRecord| FoundingRecord {
            copy: true,
            ..record.clone()
        };
        let records = self.records.values().map(copy).collect();
        turn.out.push(GuardCommand::AppendFounding { records });
    }
}

/// Returns the position of this node among the members that are up, starting at zero.
fn place(turn: &GuardTurn<'_>) -> u32 {
    let me = turn.me();
    let before = turn.view.members.up_members().take_while(|it| *it != me);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

/// Returns whether this node founds a lost range. The founder is the first seat that has not ended,
/// or the first member that is up if all seats have ended.
fn is_founder(turn: &GuardTurn<'_>, entry: &RangeEntry) -> bool {
    let members = &turn.view.members;
    let survivor = entry.seats.iter().find(|seat| !members.is_gone(**seat));
    match survivor {
        Some(survivor) => *survivor == turn.me(),
        None => place(turn) == 0,
    }
}

fn lost_record(
    turn: &GuardTurn<'_>,
    entry: &RangeEntry,
    seats: &SeatTable,
) -> Option<FoundingRecord> {
    let me = turn.me();
    let ready = seats
        .seats
        .get(&entry.range)
        .is_some_and(RangeSeat::is_ready);
    let source = (ready && entry.seats.contains(&me)).then_some(me);
    let kept: Vec<InstanceId> = source.into_iter().collect();
    let candidates = turn.view.members.candidates();
    let count = turn.view.settings.seats;
    let settings = &turn.view.settings;
    let margin_ms = millis(settings.ahead_limit) + millis(settings.clock_skew);
    let watermark_ms = turn.wall_ms() + margin_ms;
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
