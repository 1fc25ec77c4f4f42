//! Custody transfer: a new seat copies the key records of the range before it serves.
//!
//! The request carries the new generation. The receiver adopts this generation before it answers,
//! and thereby stops granting under the previous one. Every dispatch under the previous generation
//! needed the receiver's grant, so its store holds every key that was ever dispatched.
//!
//! ```text
//! new seat                             seat of the previous (or of the same) generation
//!   |-- CustodyRequest(entry, after none) -->|  adopts the entry, grants no longer
//!   |<-- Custody(records .. k, watermark) ---|
//!   |-- CustodyRequest(entry, after k) ----->|
//!   |<-- Custody(rest, done) ----------------|
//!   serves
//! ```

use std::collections::BTreeSet;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use crate::context::GuardContext;
use crate::key::{KeyId, RangeId};
use crate::map::{RangeEntry, RangeGeneration};
use crate::message::GuardMessage;
use crate::seat::{RangeSeat, RetiredSeat, SeatTable, note_serving};
use crate::store::{KeyRecord, KeyStore};

/// Maximum number of records in one chunk.
const CHUNK_RECORDS: usize = 512;
/// Soft limit on the reply bytes in one chunk. The last record may exceed it.
const CHUNK_BYTES: usize = 64 * 1024;

/// Progress of a custody transfer at the new seat.
#[derive(Debug, Default)]
pub(crate) struct CustodyFetch {
    /// Last key received; `None` before the first chunk.
    after: Option<KeyId>,
    tries: u32,
    request_at: Duration,
    /// Nodes that answered that they do not hold the records.
    refused: BTreeSet<InstanceId>,
}

/// Chunk of the records of a range.
#[derive(Debug)]
pub(crate) struct CustodyChunk {
    pub(crate) range: RangeId,
    pub(crate) generation: RangeGeneration,
    pub(crate) after: Option<KeyId>,
    pub(crate) watermark_ms: u64,
    pub(crate) records: Vec<(KeyId, KeyRecord)>,
    pub(crate) done: bool,
}

impl RangeSeat {
    /// Drops the records of an incomplete transfer or of an earlier generation.
    pub(crate) fn reset_records(&mut self) {
        self.store = KeyStore::default();
        self.store.raise_floor(self.entry.watermark_ms);
        self.ready_at = None;
    }

    /// Requests the next chunk from the next possible source, if a request is due.
    pub(crate) fn fetch_custody(&mut self, context: &mut GuardContext<'_>) {
        if context.now < self.fetch.request_at {
            return;
        }
        let me = context.me();
        let others = self.entry.prior.iter().chain(&self.entry.seats);
        let sources: Vec<InstanceId> = others.copied().filter(|it| *it != me).collect();
        if sources.is_empty() {
            return;
        }
        let turns = usize::try_from(self.fetch.tries).unwrap_or_default();
        let source = sources[turns % sources.len()];
        self.fetch.request_at = context.next_resend(0);
        self.request_custody(context, source);
        self.fetch.tries += 1;
    }

    fn request_custody(&self, context: &mut GuardContext<'_>, source: InstanceId) {
        let request = GuardMessage::CustodyRequest {
            entry: self.entry.clone(),
            after: self.fetch.after,
        };
        context.send_alternating(self.fetch.tries / 4, source, request);
    }

    /// Returns whether no instance is left from which the records could be copied.
    ///
    /// If the only seat with the records ends before the new seats copied them, the majority of the
    /// seats is still alive, but without this check they would wait forever. A false positive is
    /// safe: the founder polls and fences every member first, so a transfer in progress shows up in
    /// the poll or can no longer serve.
    pub(crate) fn is_orphaned(&self, context: &GuardContext<'_>) -> bool {
        let me = context.me();
        let sources = self.entry.prior.iter().chain(&self.entry.seats);
        let mut others = sources.filter(|source| **source != me);
        let unavailable = |source: &InstanceId| {
            context.shared.members.is_gone(*source) || self.fetch.refused.contains(source)
        };
        self.retired.is_none() && !self.is_ready() && others.all(unavailable)
    }

    /// Returns whether the records of this seat include everything dispatched before a generation.
    ///
    /// This is the case if the records were complete in that generation, or if they were complete
    /// in the previous one and this node has stopped granting under it.
    fn covers(&self, generation: RangeGeneration) -> bool {
        let left = self.retired.is_some() && self.entry.generation == generation;
        self.ready_at == Some(generation)
            || (left && self.ready_at.map(RangeGeneration::next) == Some(generation))
    }

    /// Asks the successors whether they hold the records. Returns true once this node can drop
    /// them.
    pub(crate) fn advance_handover(&mut self, context: &mut GuardContext<'_>) -> bool {
        let complete = self.ready_at.is_some();
        let Some(retired) = &mut self.retired else {
            return false;
        };
        let missing = |seat: &&InstanceId| !retired.ready.contains(seat);
        let waiting: Vec<InstanceId> = self.entry.seats.iter().filter(missing).copied().collect();
        if waiting.is_empty() || !complete {
            return true;
        }
        if context.now >= retired.request_at {
            retired.request_at = context.next_resend(0);
            for seat in waiting {
                let entry = self.entry.clone();
                context.send(seat, GuardMessage::ReadyAsk { entry });
            }
        }
        false
    }
}

impl SeatTable {
    /// Sends one chunk of records. The caller has adopted the entry before.
    pub(crate) fn on_custody_request(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        entry: &RangeEntry,
        after: Option<KeyId>,
    ) {
        let known = context.shared.map.get(entry.range);
        if let Some(newer) = known.filter(|it| it.generation > entry.generation) {
            let entries = vec![newer.clone()];
            context.send(from, GuardMessage::Map { entries });
            return;
        }
        let seat = self.seats.get(&entry.range);
        let Some(seat) = seat.filter(|seat| seat.covers(entry.generation)) else {
            let (range, generation) = (entry.range, entry.generation);
            context.send(from, GuardMessage::CustodyNone { range, generation });
            return;
        };
        let (records, done) = seat.store.chunk(after, CHUNK_RECORDS, CHUNK_BYTES);
        let chunk = GuardMessage::Custody {
            range: entry.range,
            generation: entry.generation,
            after,
            watermark_ms: seat.store.watermark_ms(),
            records,
            done,
        };
        context.send(from, chunk);
    }

    /// Records that a source does not hold the records.
    pub(crate) fn on_custody_none(
        &mut self,
        from: InstanceId,
        range: RangeId,
        generation: RangeGeneration,
    ) {
        if let Some(seat) = self.seats.get_mut(&range)
            && seat.entry.generation == generation
        {
            seat.fetch.refused.insert(from);
        }
    }

    /// Stores one chunk and requests the next one. The seat serves after the last chunk.
    pub(crate) fn on_custody(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        chunk: CustodyChunk,
    ) {
        let Some(seat) = self.seats.get_mut(&chunk.range) else {
            return;
        };
        let expected = seat.entry.generation == chunk.generation && seat.fetch.after == chunk.after;
        if !expected || seat.retired.is_some() || seat.is_ready() {
            return;
        }
        let last = chunk.records.last().map(|(key, _)| *key);
        for (key, record) in chunk.records {
            seat.store.merge(key, record);
        }
        seat.store.raise_watermark(chunk.watermark_ms);
        if chunk.done {
            seat.ready_at = Some(chunk.generation);
            note_serving(context, seat);
            return;
        }
        seat.fetch.after = last.or(seat.fetch.after);
        seat.fetch.request_at = context.next_resend(0);
        seat.request_custody(context, from);
    }

    /// Replies to a retired seat whether this one holds the records.
    pub(crate) fn on_ready_ask(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        entry: &RangeEntry,
    ) {
        let known = context.shared.map.get(entry.range);
        let newer = known.is_some_and(|known| known.generation > entry.generation);
        if newer {
            let entries = known.cloned().into_iter().collect();
            context.send(from, GuardMessage::Map { entries });
        }
        let seat = self.seats.get(&entry.range);
        let reply = GuardMessage::ReadyReply {
            range: entry.range,
            generation: entry.generation,
            ready: seat.is_some_and(RangeSeat::is_ready),
        };
        context.send(from, reply);
    }

    pub(crate) fn on_ready_reply(
        &mut self,
        from: InstanceId,
        range: RangeId,
        generation: RangeGeneration,
    ) {
        let Some(seat) = self.seats.get_mut(&range) else {
            return;
        };
        if seat.entry.generation != generation {
            return;
        }
        if let Some(RetiredSeat { ready, .. }) = &mut seat.retired {
            ready.insert(from);
        }
    }
}
