//! Seats: the key records of a range at one node, and whether the node may grant claims with them.
//!
//! ```text
//! founded without records -----------------------------> serving <-------------+
//! added by a new generation -> waiting for the records --^    |                 | next generation,
//!                                                             |                 | still a seat
//!                                                             +-----------------+
//!                                                             | next generation, no longer a seat
//!                                                             v
//!                                                          retired -> dropped when the successors
//!                                                                     hold the records
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{AttemptId, InstanceId};

use crate::ballot::BallotAcceptor;
use crate::change::SeatProposal;
use crate::command::{GuardCommand, GuardNote};
use crate::context::{GuardContext, millis};
use crate::custody::CustodyFetch;
use crate::key::{KeyFingerprint, KeyId, RangeId};
use crate::map::{RangeEntry, RangeGeneration};
use crate::message::{AttemptHolder, ClaimRequest, GuardMessage, SeatVerdict};
use crate::store::{KeyLimits, KeyRecord, KeyState, KeyStore, RecordedOutcome};

/// State of one range at one node.
#[derive(Debug)]
pub(crate) struct RangeSeat {
    /// Generation this node is a seat of, or the generation that replaced this seat.
    pub(crate) entry: RangeEntry,
    /// Latest generation in which the records were complete.
    pub(crate) ready_at: Option<RangeGeneration>,
    /// Set when the node is no longer a seat and keeps the records only for the successors.
    pub(crate) retired: Option<RetiredSeat>,
    pub(crate) store: KeyStore,
    pub(crate) acceptor: BallotAcceptor,
    pub(crate) proposal: Option<SeatProposal>,
    pub(crate) fetch: CustodyFetch,
    /// Earliest start of the next proposal.
    pub(crate) propose_at: Option<Duration>,
    /// Number of proposals in this generation that other seats objected to.
    pub(crate) objections: u32,
    /// Members that other seats objected to, with the time until which proposals leave them as they
    /// are.
    pub(crate) avoided: BTreeMap<InstanceId, Duration>,
}

/// Progress of the handover from a retired seat to its successors.
#[derive(Debug, Default)]
pub(crate) struct RetiredSeat {
    /// Successors that hold the records.
    pub(crate) ready: std::collections::BTreeSet<InstanceId>,
    pub(crate) request_at: Duration,
}

impl RangeSeat {
    fn new(entry: RangeEntry) -> Self {
        Self {
            entry,
            ready_at: None,
            retired: None,
            store: KeyStore::default(),
            acceptor: BallotAcceptor::default(),
            proposal: None,
            fetch: CustodyFetch::default(),
            propose_at: None,
            objections: 0,
            avoided: BTreeMap::new(),
        }
    }

    /// Returns whether the seat holds all records of its generation and may grant claims under it.
    ///
    /// A new seat that granted before it copied the records would treat a key that ran under an
    /// earlier generation as unused, so that the key could run again; see [`crate::custody`].
    pub(crate) fn is_ready(&self) -> bool {
        self.retired.is_none() && self.ready_at == Some(self.entry.generation)
    }

    /// Switches the seat to a newer generation.
    fn advance(&mut self, me: InstanceId, entry: RangeEntry) {
        let was = self.entry.generation;
        let complete = self.retired.is_none() && self.ready_at == Some(was);
        let direct = entry.generation == was.next();
        let founded = entry.generation.number == 0;
        let fresh = founded && entry.prior.is_empty();
        let source = founded && entry.prior.contains(&me);
        self.store.raise_floor(entry.watermark_ms);
        if founded {
            self.store.close_granted();
        }
        self.acceptor = BallotAcceptor::default();
        self.proposal = None;
        self.propose_at = None;
        self.objections = 0;
        self.avoided.clear();
        self.fetch = CustodyFetch::default();
        self.retired = (!entry.seats.contains(&me)).then(RetiredSeat::default);
        if self.retired.is_none() && (fresh || (complete && (direct || source))) {
            self.ready_at = Some(entry.generation);
        }
        self.entry = entry;
    }
}

/// All seats of this node, by range.
#[derive(Debug, Default)]
pub(crate) struct SeatTable {
    pub(crate) seats: BTreeMap<RangeId, RangeSeat>,
}

impl SeatTable {
    /// Applies a newer generation of a range.
    pub(crate) fn on_map_changed(&mut self, context: &mut GuardContext<'_>, entry: &RangeEntry) {
        let me = context.me();
        let member = entry.seats.contains(&me);
        if !member && !self.seats.contains_key(&entry.range) {
            return;
        }
        let seat = self.seats.entry(entry.range).or_insert_with(|| {
            let mut before = entry.clone();
            before.generation = RangeGeneration::default();
            RangeSeat::new(before)
        });
        let served = seat.is_ready();
        seat.advance(me, entry.clone());
        if seat.is_ready() && !served {
            note_serving(context, seat);
        }
        if member && !seat.is_ready() {
            seat.reset_records();
            seat.fetch_custody(context);
        }
    }

    pub(crate) fn on_claim(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        claim: &ClaimRequest,
    ) {
        let range = context.range_of(claim.key);
        let known = context.shared.map.get(range);
        if let Some(newer) = known.filter(|entry| entry.generation > claim.generation) {
            let entries = vec![newer.clone()];
            context.send(from, GuardMessage::Map { entries });
            return;
        }
        self.enforce_limits(context, range);
        let limits = KeyLimits {
            latest_ms: context.wall_ms() + millis(context.shared.settings.ahead_limit),
            window_ms: millis(context.shared.settings.keep_for / 2),
        };
        let fenced = context.shared.is_fenced(range, claim.generation.epoch);
        // If a newer process runs under the same node name, other members consider this one ended
        // and may found its ranges again, while claims still arrive over open connections. Without
        // this check both sides would grant. Node names must still be unique, because this process
        // stops granting only once it learns of the newer one.
        let superseded = context.shared.members.is_gone(context.me());
        let seat = self.seats.get_mut(&range);
        let serving = |seat: &&mut RangeSeat| {
            seat.is_ready() && seat.entry.generation == claim.generation && !fenced && !superseded
        };
        let verdict = match seat.filter(serving) {
            Some(seat) => seat.store.claim(claim, limits),
            None => SeatVerdict::NotServing,
        };
        let reply = GuardMessage::ClaimReply {
            key: claim.key,
            attempt: claim.holder.attempt,
            generation: claim.generation,
            verdict,
        };
        context.send(from, reply);
    }

    pub(crate) fn on_release(
        &mut self,
        context: &GuardContext<'_>,
        key: KeyId,
        attempt: AttemptId,
    ) {
        if let Some(seat) = self.seats.get_mut(&context.range_of(key)) {
            seat.store.release(key, attempt);
        }
    }

    pub(crate) fn on_close(&mut self, context: &GuardContext<'_>, key: KeyId, attempt: AttemptId) {
        if let Some(seat) = self.seats.get_mut(&context.range_of(key)) {
            seat.store.close(key, attempt);
        }
    }

    /// Stores how an attempt ended.
    ///
    /// Only a serving seat acknowledges: a record that arrives at a retired seat may be missing
    /// from the records it handed over.
    pub(crate) fn on_record(
        &mut self,
        context: &mut GuardContext<'_>,
        from: InstanceId,
        key: KeyId,
        fingerprint: KeyFingerprint,
        holder: AttemptHolder,
        outcome: RecordedOutcome,
    ) {
        let range = context.range_of(key);
        let Some(seat) = self.seats.get_mut(&range) else {
            if let Some(entry) = context.entry_of(key) {
                let entries = vec![entry];
                context.send(from, GuardMessage::Map { entries });
            }
            return;
        };
        let state = match outcome {
            RecordedOutcome::Ran(reply) => KeyState::Ran(reply),
            RecordedOutcome::Unknown => KeyState::Closed,
        };
        let record = KeyRecord {
            fingerprint,
            holder,
            state,
        };
        seat.store.record(key, record);
        if seat.is_ready() {
            let attempt = holder.attempt;
            let generation = seat.entry.generation;
            let ack = GuardMessage::RecordAck {
                attempt,
                generation,
            };
            context.send(from, ack);
        } else if seat.retired.is_some() {
            let entries = vec![seat.entry.clone()];
            context.send(from, GuardMessage::Map { entries });
        }
        self.enforce_limits(context, range);
    }

    /// Keeps the store within its limits: drops expired keys and the oldest replies, and raises the
    /// watermark if there are still too many keys.
    fn enforce_limits(&mut self, context: &mut GuardContext<'_>, range: RangeId) {
        let settings = &context.shared.settings;
        let held = self.seats.len().max(1);
        let max_keys = (settings.max_keys / held).max(1);
        let max_bytes = settings.reply_budget / held;
        let floor_ms = context.wall_ms().saturating_sub(millis(settings.keep_for));
        let Some(seat) = self.seats.get_mut(&range) else {
            return;
        };
        seat.store.raise_watermark(floor_ms);
        seat.store.trim_replies(max_bytes);
        while seat.store.len() > max_keys {
            let Some(oldest_ms) = seat.store.oldest() else {
                break;
            };
            let watermark_ms = oldest_ms + 1;
            seat.store.raise_watermark(watermark_ms);
            context.note(GuardNote::WatermarkRaised {
                range,
                watermark_ms,
            });
        }
    }

    /// Advances generation changes, custody transfers and the handover of retired seats. Returns
    /// the newly chosen generations.
    pub(crate) fn run_periodic(&mut self, context: &mut GuardContext<'_>) -> Vec<RangeEntry> {
        let mut chosen = Vec::new();
        let mut dropped = Vec::new();
        for (range, seat) in &mut self.seats {
            if seat.retired.is_some() {
                if seat.advance_handover(context) {
                    dropped.push(*range);
                }
            } else if seat.is_ready() {
                chosen.extend(seat.advance_change(context));
            } else {
                seat.fetch_custody(context);
            }
        }
        for range in dropped {
            self.seats.remove(&range);
        }
        chosen
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }
}

/// Notes in the event log that the seat serves.
pub(crate) fn note_serving(context: &mut GuardContext<'_>, seat: &RangeSeat) {
    context.out.push(GuardCommand::Note(GuardNote::SeatServing {
        range: seat.entry.range,
        generation: seat.entry.generation,
        keys: seat.store.len(),
    }));
}
