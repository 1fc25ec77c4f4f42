//! Decides when this node appends carry records, and for which customers.
//!
//! Every node computes the same due entries. To avoid duplicate appends, each node first waits its
//! own share of a spread interval; usually another node has appended the record by then. Duplicate
//! carry records are harmless. Wall clocks only affect the timing: what a record proves depends on
//! offsets alone.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{NodeId, stable_hash};

use super::entry::{CustomerState, ProofOrigin};
use super::{BookEntry, ContractBook};
use crate::change::{CarryRecord, LogRecord, MAX_RECORD_BYTES};
use crate::text::ContractText;

/// A proof becomes due at the age of the retention divided by this number.
const DUE_DIVISOR: u32 = 3;
/// Numerator and denominator of the part of the retention after which a proof is late.
const LATE_FRACTION: (u32, u32) = (2, 3);
/// Nodes spread their appends over the retention divided by this number, from the due time on.
const SPREAD_DIVISOR: u32 = 6;
/// A proof in the oldest of this many equal parts of the retained offsets is due at any age.
const EDGE_DIVISOR: u64 = 8;
/// Maximum number of entries in one record.
const MAX_ENTRIES: usize = 64;
/// Maximum estimated size of the entries in one record, in bytes. A single larger entry gets a
/// record of its own and still fits; see
/// [`MAX_CONTRACT_BYTES`](crate::change::MAX_CONTRACT_BYTES).
const MAX_RECORD_CONTENT_BYTES: usize = MAX_RECORD_BYTES / 8;
/// Estimated ratio of the JSON size of a contract to its compact form. A few contracts have a
/// greater ratio and still fit, because [`MAX_RECORD_CONTENT_BYTES`] is an eighth of a record.
const JSON_EXPANSION: usize = 6;
/// Estimated size of an entry without its content, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;
/// Default number of entries that one call returns.
const DEFAULT_ENTRY_LIMIT: usize = 256;

/// Records that the log currently retains, as seen by one node.
#[derive(Clone, Copy, Debug)]
pub struct CarryWindow {
    node: NodeId,
    oldest: u64,
    wall: Duration,
    retention: Duration,
    limit: usize,
}

impl CarryWindow {
    /// Creates the window of a log whose oldest record is at `oldest` and which keeps records for
    /// `retention`. `wall` is the node's wall-clock time.
    #[must_use]
    pub const fn new(node: NodeId, oldest: u64, wall: Duration, retention: Duration) -> Self {
        Self {
            node,
            oldest,
            wall,
            retention,
            limit: DEFAULT_ENTRY_LIMIT,
        }
    }

    /// Sets the maximum number of entries that one call returns.
    #[must_use]
    pub const fn limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }
}

/// Records that a node should append, and offsets that it should read back first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DueCarries {
    /// Records to append.
    pub records: Vec<CarryRecord>,
    /// Offsets to read back first, for entries known only from a peer. Pass each record to
    /// [`ContractBook::confirm`]; the confirmed entries are then carried. Late entries are carried
    /// without this check.
    pub checks: Vec<u64>,
    /// Number of entries whose proof has left the log or is older than two thirds of the
    /// retention, because no node could carry them in time.
    pub late: usize,
}

impl ContractBook {
    /// Returns the state that this node should carry forward now.
    ///
    /// Returns nothing while the book is incomplete, is contradicted by the log, or contains
    /// records in unsupported formats.
    #[must_use]
    pub fn due_carries(&self, window: &CarryWindow) -> DueCarries {
        let mut due = DueCarries::default();
        if !self.is_authoritative() {
            return due;
        }
        let states = self.states.values();
        due.late = states
            .clone()
            .filter(|state| is_late(state, window))
            .count();
        let ready = states.filter(|state| self.is_due(state, window));
        let mut entries = Vec::new();
        for state in ready.take(window.limit) {
            let Some(entry) = &state.settled else {
                continue;
            };
            match state.origin {
                ProofOrigin::Log => entries.push(entry.clone()),
                // Reading the record back has failed for a long time. Losing the contract would be
                // worse than carrying an entry that a faulty peer may have sent.
                ProofOrigin::Peer if is_late(state, window) => entries.push(entry.clone()),
                ProofOrigin::Peer => due.checks.extend(read_back_offset(state, window.oldest)),
            }
        }
        due.checks.sort_unstable();
        due.checks.dedup();
        due.records = self.batch(entries, window);
        due
    }

    /// Compares entries known only from a peer with a record that was read back.
    ///
    /// This node may carry the entries that the record confirms. If the record contradicts an
    /// entry, the book requests a rebuild; see [`Self::needs_rebuild`].
    pub fn confirm(&mut self, offset: u64, bytes: &[u8]) {
        let record = LogRecord::decode(bytes);
        let mut mismatched = Vec::new();
        for (customer, state) in &mut self.states {
            let Some(entry) = &state.settled else {
                continue;
            };
            let named = entry.version.offset() == Some(offset) || state.proof.record == offset;
            if state.origin == ProofOrigin::Log || !named {
                continue;
            }
            match &record {
                Ok(record) if has_entry(record, entry, offset) => state.origin = ProofOrigin::Log,
                _ if entry.version.offset() == Some(offset) => mismatched.push(customer.clone()),
                _ => {}
            }
        }
        for customer in mismatched {
            self.contradicted = true;
            let message = format!("a peer's snapshot names offset {offset}, which has other");
            self.report(&customer, message);
        }
    }

    fn is_due(&self, state: &CustomerState, window: &CarryWindow) -> bool {
        let Some(entry) = &state.settled else {
            return false;
        };
        let proof = &state.proof;
        let due_age = window.retention / DUE_DIVISOR;
        let spread = window.retention / SPREAD_DIVISOR;
        let age = window.wall.saturating_sub(proof.stamp);
        // The age is unknown when the stamp lies far in the future, so the proof may be old.
        let future_stamp = proof.stamp > window.wall + spread;
        let offsets_left = proof.as_of.saturating_sub(window.oldest);
        let edge = self.next.saturating_sub(window.oldest) / EDGE_DIVISOR;
        // A log that still has its first record has not dropped any records yet.
        let near_edge = window.oldest > 0 && (offsets_left < edge || proof.as_of < window.oldest);
        if age < due_age && !future_stamp && !near_edge {
            return false;
        }
        let position = spread_position(window.node, entry, proof.as_of);
        let wait_elapsed = age >= due_age + spread.mul_f64(position);
        future_stamp
            || wait_elapsed
            || (near_edge && position <= edge_proximity(offsets_left, edge))
    }

    fn batch(&self, entries: Vec<BookEntry>, window: &CarryWindow) -> Vec<CarryRecord> {
        let mut records: Vec<CarryRecord> = Vec::new();
        let mut bytes_left = 0;
        for entry in entries {
            let content = entry.contract.as_ref();
            let size =
                ENTRY_OVERHEAD_BYTES + content.map_or(0, ContractText::size) * JSON_EXPANSION;
            let full = records
                .last()
                .is_none_or(|record| record.entries.len() >= MAX_ENTRIES || size > bytes_left);
            if full {
                bytes_left = MAX_RECORD_CONTENT_BYTES;
                records.push(CarryRecord {
                    node: window.node,
                    as_of: self.next,
                    stamp: window.wall,
                    entries: Vec::new(),
                    unreadable: 0,
                });
            }
            bytes_left = bytes_left.saturating_sub(size);
            if let Some(record) = records.last_mut() {
                record.entries.push(entry);
            }
        }
        records
    }
}

/// Returns whether a proof is so old that carrying must have failed for a long time.
fn is_late(state: &CustomerState, window: &CarryWindow) -> bool {
    let proof = &state.proof;
    let age = window.wall.saturating_sub(proof.stamp);
    let old = age > window.retention / LATE_FRACTION.1 * LATE_FRACTION.0;
    state.settled.is_some() && (old || proof.as_of < window.oldest)
}

/// Returns the offset at which to verify an entry from a peer, if the log still has the record.
fn read_back_offset(state: &CustomerState, oldest: u64) -> Option<u64> {
    let entry = state.settled.as_ref()?;
    let origin = entry.version.offset();
    origin
        .filter(|offset| *offset >= oldest)
        .or(Some(state.proof.record))
        .filter(|offset| *offset >= oldest)
}

/// Returns whether a record of the log contains an entry.
fn has_entry(record: &LogRecord, entry: &BookEntry, offset: u64) -> bool {
    match record {
        LogRecord::Change(change) => {
            let content = change.action.contract();
            entry.version.offset() == Some(offset)
                && change.id == entry.change
                && content.map(ContractText::digest).unwrap_or_default() == entry.digest
        }
        LogRecord::Carry(record) => record.entries.iter().any(|other| other.agrees(entry)),
    }
}

/// Returns how close a proof is to the oldest record, from 0 to 1 (at the oldest record). The
/// closer the proof, the more nodes carry the entry.
#[expect(clippy::cast_precision_loss, reason = "a share needs few digits")]
fn edge_proximity(offsets_left: u64, edge: u64) -> f64 {
    if edge == 0 {
        return f64::from(u8::from(offsets_left == 0));
    }
    1.0 - (offsets_left as f64 / edge as f64).min(1.0)
}

/// Returns the node's position in the spread interval of one entry, from 0 to 1.
fn spread_position(node: NodeId, entry: &BookEntry, as_of: u64) -> f64 {
    let hash = stable_hash(&[
        &node.0.to_be_bytes(),
        entry.customer.as_str().as_bytes(),
        &as_of.to_be_bytes(),
    ]);
    #[expect(clippy::cast_precision_loss, reason = "a share needs few digits")]
    let position = hash as f64 / u64::MAX as f64;
    position
}
