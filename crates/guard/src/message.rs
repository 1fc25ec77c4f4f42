//! Messages between the guards of different nodes.
//!
//! Messages may be lost, delayed, duplicated or reordered. Senders repeat requests until they are
//! answered, replies name the request they belong to, and all handlers are idempotent.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{AttemptId, InstanceId};

use crate::ballot::RangeBallot;
use crate::key::{KeyFingerprint, KeyId, RangeId};
use crate::map::{RangeEntry, RangeGeneration};
use crate::store::{KeyRecord, RecordedOutcome};

/// Attempt with its ingress and executor, which know its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHolder {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Instance that claimed the key.
    pub ingress: InstanceId,
    /// Only instance that may run the attempt.
    pub executor: InstanceId,
    /// Time of the key, or of the first claim for a key without a time, in milliseconds since the
    /// Unix epoch.
    pub stamp_ms: u64,
}

/// Request for the grant of a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key to be granted.
    pub key: KeyId,
    /// Hash of method, target and body of the request.
    pub fingerprint: KeyFingerprint,
    /// Generation whose grants the ingress collects.
    pub generation: RangeGeneration,
    /// Attempt that claims the key.
    pub holder: AttemptHolder,
    /// Attempts that certainly never run. Each entry also covers the lower numbers of its request.
    pub dead: Vec<AttemptId>,
}

/// Answer of a seat to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeatVerdict {
    /// The attempt holds the key. The seat grants no other attempt unless this one is dead.
    Granted,
    /// Another attempt holds the key.
    Held(AttemptHolder),
    /// An attempt ran. The reply is `None` if it is not stored.
    Ran(Option<Arc<[u8]>>),
    /// An attempt may have run, and its outcome is lost.
    Closed,
    /// The key was used with another fingerprint.
    Reused,
    /// The key is so old that its record may have been dropped.
    Expired,
    /// The seat has no record of the key, and the key's time is too far in the future.
    Ahead,
    /// The seat does not serve this generation, either not yet or no longer.
    NotServing,
}

/// State of an attempt according to its ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContestState {
    /// This attempt and the lower numbers of its request never run.
    Withdrawn(AttemptId),
    /// The request continues to collect grants with this attempt.
    Claiming(AttemptHolder),
    /// The attempt was dispatched.
    Dispatched(AttemptHolder),
    /// The ingress does not hold the request any longer. Only the executor knows the state.
    Unheard,
}

/// State of an attempt according to its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkState {
    /// The attempt never ran and never will.
    Fenced,
    /// The attempt was not offered yet, and the inquiry did not request a fence.
    NeverSeen,
    /// The attempt is running.
    Running,
    /// The attempt ran. The reply is `None` if it is not stored.
    Ran(Option<Arc<[u8]>>),
    /// The attempt may have run, or the executor has dropped its state.
    Unknown,
}

/// Message between two guards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardMessage {
    /// Ingress to seat: requests a grant.
    Claim(ClaimRequest),
    /// Seat to ingress: answers `Claim`.
    ClaimReply {
        /// Claimed key.
        key: KeyId,
        /// Attempt that claimed the key.
        attempt: AttemptId,
        /// Generation named in the claim.
        generation: RangeGeneration,
        /// Decision of the seat.
        verdict: SeatVerdict,
    },
    /// Ingress to seat: the attempt is dead, and its grant is void.
    Release {
        /// Key held by the attempt.
        key: KeyId,
        /// Dead attempt. Also covers the lower numbers of its request.
        attempt: AttemptId,
    },
    /// Ingress to seat: the attempt may have run, and its outcome is lost.
    Close {
        /// Key to close.
        key: KeyId,
        /// Attempt that may have run.
        attempt: AttemptId,
    },
    /// Ingress to ingress: queries the state of an attempt.
    Contest {
        /// Key that both ingresses claim.
        key: KeyId,
        /// Attempt of the receiver.
        theirs: AttemptId,
        /// Claim of the sender; `None` if it only waits.
        mine: Option<AttemptHolder>,
    },
    /// Answer to `Contest`.
    ContestReply {
        /// Key that both ingresses claim.
        key: KeyId,
        /// Attempt named in the query.
        theirs: AttemptId,
        /// State of that attempt.
        state: ContestState,
    },
    /// Ingress to executor: queries the state of an attempt.
    Inquire {
        /// Key of the attempt.
        key: KeyId,
        /// Attempt in question.
        holder: AttemptHolder,
        /// Whether the executor has to fence the attempt if it was never offered.
        fence: bool,
    },
    /// Answer to `Inquire`.
    InquireReply {
        /// Key of the attempt.
        key: KeyId,
        /// Attempt in question.
        attempt: AttemptId,
        /// State of the attempt.
        state: WorkState,
    },
    /// Executor to seat: reports the outcome of an attempt.
    Record {
        /// Key of the attempt.
        key: KeyId,
        /// Hash of method, target and body of the request.
        fingerprint: KeyFingerprint,
        /// Attempt that ended.
        holder: AttemptHolder,
        /// Outcome of the attempt.
        outcome: RecordedOutcome,
    },
    /// Seat to executor: acknowledges `Record`.
    RecordAck {
        /// Attempt whose outcome is stored.
        attempt: AttemptId,
        /// Generation that the seat serves.
        generation: RangeGeneration,
    },
    /// Seat to seat: first phase of the ballot for the next generation.
    Prepare {
        /// Current generation.
        entry: RangeEntry,
        /// Ballot of the proposer.
        ballot: RangeBallot,
        /// Seats that the proposer wants, unless others were accepted before.
        wanted: Vec<InstanceId>,
    },
    /// Answer to `Prepare`: the sender sees a seat as up that would be removed, or a member as down
    /// that would be added.
    Declined {
        /// Range of the ballot.
        range: RangeId,
        /// Current generation.
        generation: RangeGeneration,
        /// Declined ballot.
        ballot: RangeBallot,
        /// Member that the objection concerns.
        seat: InstanceId,
    },
    /// Answer to `Prepare`: the sender ignores lower ballots from now on.
    Promise {
        /// Range of the ballot.
        range: RangeId,
        /// Current generation.
        generation: RangeGeneration,
        /// Promised ballot.
        ballot: RangeBallot,
        /// Seats accepted before, with the highest ballot in which they were accepted.
        accepted: Option<(RangeBallot, Vec<InstanceId>)>,
        /// Whether the sender holds the records of the range.
        ready: bool,
    },
    /// Seat to seat: second phase of the ballot, asks to accept the seats.
    Accept {
        /// Current generation.
        entry: RangeEntry,
        /// Ballot of the proposer.
        ballot: RangeBallot,
        /// Seats of the next generation.
        seats: Vec<InstanceId>,
    },
    /// Answer to `Accept`: the sender accepted the seats.
    Accepted {
        /// Range of the ballot.
        range: RangeId,
        /// Current generation.
        generation: RangeGeneration,
        /// Accepted ballot.
        ballot: RangeBallot,
    },
    /// Answer to `Prepare` or `Accept`: the sender promised a higher ballot.
    Outbid {
        /// Range of the ballot.
        range: RangeId,
        /// Current generation.
        generation: RangeGeneration,
        /// Higher ballot that was promised.
        promised: RangeBallot,
    },
    /// Newest known entries of some ranges.
    Map {
        /// Entries for the receiver to adopt.
        entries: Vec<RangeEntry>,
    },
    /// New seat to earlier seat: requests the next records of the range.
    CustodyRequest {
        /// Generation of the new seat. The receiver adopts it before it answers, and thereby stops
        /// granting under the previous one.
        entry: RangeEntry,
        /// Last key received; `None` for the first request.
        after: Option<KeyId>,
    },
    /// Answer to `CustodyRequest`: a chunk of the records of the range.
    Custody {
        /// Range of the records.
        range: RangeId,
        /// Generation of the new seat.
        generation: RangeGeneration,
        /// Last key received, as in the request.
        after: Option<KeyId>,
        /// Current watermark of the sender, in milliseconds since the Unix epoch.
        watermark_ms: u64,
        /// Records in the order of their keys.
        records: Vec<(KeyId, KeyRecord)>,
        /// Whether this is the last chunk.
        done: bool,
    },
    /// Answer to `CustodyRequest` by a node that does not hold the records of the range.
    CustodyNone {
        /// Requested range.
        range: RangeId,
        /// Generation of the new seat.
        generation: RangeGeneration,
    },
    /// Retired seat to its successors: asks whether they hold the records.
    ReadyAsk {
        /// Generation of the successors.
        entry: RangeEntry,
    },
    /// Answer to `ReadyAsk`.
    ReadyReply {
        /// Range in question.
        range: RangeId,
        /// Generation in question.
        generation: RangeGeneration,
        /// Whether the seat holds the records of the range.
        ready: bool,
    },
    /// Founder to every member: asks for newer generations of a lost range.
    Poll {
        /// Newest generation that the founder knows.
        entry: RangeEntry,
        /// Whether the receiver has to promise not to take part in this epoch any longer.
        fence: bool,
    },
    /// Answer to `Poll` by a member that knows no newer generation.
    PollReply {
        /// Range in question.
        range: RangeId,
        /// Generation in question.
        generation: RangeGeneration,
        /// Whether the member made the promise.
        fenced: bool,
        /// Whether the member is a seat that holds the records of the range.
        ready: bool,
    },
    /// Node to a random peer: offers hashes of the map for comparison.
    Exchange {
        /// Hash of each bucket of ranges.
        digests: Vec<u64>,
    },
    /// Answer to `Exchange` if the maps differ: the generations known to the sender.
    Generations {
        /// Buckets that differ.
        buckets: Vec<u16>,
        /// Ranges with their newest generations, in the order of the ranges.
        known: Vec<(RangeId, RangeGeneration)>,
        /// Whether the receiver has to reply with its own list if one of these generations is newer
        /// than its own.
        answer: bool,
    },
    /// Message sent through a third node, because the direct link may be cut. Replies take the same
    /// path back.
    Relay {
        /// Instance that sent the message.
        origin: InstanceId,
        /// Instance that has to handle the message.
        target: InstanceId,
        /// Relayed message.
        message: Box<GuardMessage>,
    },
}
