//! At-most-once execution of non-idempotent requests, without a database or synchronized clocks.
//!
//! Every idempotency key belongs to a range. A *generation* of a range is a numbered set of
//! replicas, called *seats*; each seat is held by one instance, that is, one run of a node's
//! process. The ingress dispatches a request only after **every** seat of the current generation
//! has granted its attempt, so every surviving seat has a record of every key that may have run:
//!
//! ```text
//! caller -> ingress (KeyClient)      seats (SeatTable) x3          executor (WorkLedger)
//!             |--- Claim(attempt) ------>| all of them                     |
//!             |<-- Granted --------------|                                 |
//!             |--- dispatch with the ticket ------------------------------>| first time only
//!             |<-- reply --------------------------------------------------|
//!             |                          |<-- Record(ran, reply) ----------|
//! ```
//!
//! Any seat can point a resend to the earlier attempt. The resend then gets the stored reply, waits
//! for the running attempt, or replaces an attempt that is *dead*: withdrawn by its ingress, or
//! fenced by its executor. Dead attempts never run. If the outcome of an attempt cannot be
//! determined, the ingress answers "unknown", increments a counter, and the key never runs again.
//!
//! To replace a lost or leaving seat, the seats of the current generation choose the next
//! generation by ballot (module `change`), and the new seat copies the records of an earlier one
//! (module `custody`). Only when too many seats are lost does the range need the log service, in
//! which a *founding record* starts a new epoch of the range (module `founding`).
//!
//! The crate performs no I/O: [`GuardNode::handle`] takes an event and the current time, and
//! appends the resulting commands.

pub mod ballot;
mod change;
mod client;
pub mod command;
mod components;
mod contest;
mod context;
mod custody;
pub mod event;
mod exchange;
mod founding;
pub mod key;
mod ledger;
pub mod map;
mod members;
pub mod message;
pub mod node;
mod request;
mod seat;
pub mod settings;
pub mod store;
mod vote;

pub use command::{AnswerVerdict, DispatchTicket, GuardCommand, GuardNote, WorkRefusal};
pub use event::{DispatchOutcome, GuardEvent, WorkOutcome};
pub use key::{KeyFingerprint, KeyId, KeyTime, RangeId};
pub use map::{FoundingRecord, RangeEntry, RangeGeneration, RangeMap};
pub use message::{AttemptHolder, GuardMessage};
pub use node::{GuardCounts, GuardNode};
pub use settings::{GuardIdentity, GuardSettings};
