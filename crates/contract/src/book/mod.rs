//! The replicated set of contracts in force, derived from the order of the log alone.
//!
//! ```text
//! record at offset -> decode -> check content -> proven? -> evaluate -> settle -> table
//!                                                  | no
//!                                                  v
//!                                           defer until proven
//! peer's snapshot -> verify -> newer than in force? -> ahead of the log until it is read
//! ```
//!
//! After reading all records below an offset, every reader has the same state. A reader that
//! starts in the middle of the log recovers the state from carry records, which nodes append before
//! the original records leave the log. Each carry record names the version in force as of an
//! offset, which proves that state to every reader that started at or below the offset. Changes of
//! a customer are deferred until its state is proven, so no version is put into force that would
//! have to be reverted.

mod ahead;
mod carry;
mod entry;
mod evaluate;
mod outcome;
mod page;
mod replay;
mod schedule;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, FindingList, SettingFinding};

use crate::change::{ChangeAction, ChangeBuilder, ChangeId, ContractChange, ContractVersion};
use crate::digest::ContentDigest;
use crate::table::{RouteTable, TableBuilder};

pub use entry::{
    BookEntry, EntryProof, HistoryAction, HistoryItem, MAX_DEFERRED, MAX_HISTORY, ProofOrigin,
};
pub use evaluate::{RejectReason, TOMBSTONE_SPAN, VersionConflict};
pub use outcome::{
    ApplyOutcome, CarryCount, ChangeOutcome, MAX_OUTCOMES, MAX_REJECTED, RejectedChange,
};
pub use page::{PageRequest, SnapshotAssembly, SnapshotPage};
pub use schedule::{CarryWindow, DueCarries};
pub use snapshot::{AdoptOutcome, BookSnapshot, SnapshotEntry};

use entry::CustomerState;
use outcome::OutcomeCache;

/// Placeholder for the log's next offset while it is unknown.
const UNKNOWN_HEAD: u64 = u64::MAX;

/// Maximum number of findings kept until [`ContractBook::take_findings`] returns them.
const MAX_PENDING_FINDINGS: usize = 256;

/// Contracts in force, with their history and the state needed to replay the log.
#[derive(Clone, Debug, Default)]
pub struct ContractBook {
    /// First offset read by this book.
    start: u64,
    /// Next offset to read.
    next: u64,
    /// Offset of the first missed record, while the state is incomplete.
    gap_start: u64,
    /// Offset at which the state becomes complete; `None` when it already is.
    complete_at: Option<u64>,
    /// Records read since the last snapshot that was adopted as the base.
    records_read: u64,
    /// Number of log replies received that carried the log's next offset.
    head_replies: u64,
    /// Records in formats that this build does not support.
    future_records: u64,
    /// Whether the base is a peer's snapshot.
    peer_based: bool,
    /// Value of `head_replies` when the base was adopted.
    base_reply: u64,
    /// Whether the log contradicted the base.
    contradicted: bool,
    /// Whether the log is being read again. Until the state is complete, no peer's snapshot
    /// becomes the base.
    rebuilding: bool,
    states: BTreeMap<CustomerName, CustomerState>,
    /// Customers with an entry from a peer that the log has not confirmed yet.
    ahead: BTreeMap<ContractVersion, Vec<CustomerName>>,
    /// Customers by the version in force, including removals.
    versions: BTreeSet<(ContractVersion, CustomerName)>,
    /// Removals accepted by the log.
    tombstones: BTreeMap<ContractVersion, CustomerName>,
    digest: ContentDigest,
    outcomes: OutcomeCache,
    findings: VecDeque<SettingFinding>,
    builder: TableBuilder,
}

/// Summary of a book, small enough to be sent with gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    /// Next offset to read; the state covers every record below it.
    pub offset: u64,
    /// Newest version in force; above `offset` when it came from a peer.
    pub newest: ContractVersion,
    /// Digest over all entries in force.
    pub digest: ContentDigest,
}

impl ContractBook {
    /// Creates a book that reads the log from its first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a book that starts at the oldest record the log still has.
    ///
    /// `head` is the log's next offset from the same reply. The state is complete once all records
    /// below `head` are read. A `head` that is not above `oldest` means that the next offset is
    /// unknown; see [`Self::on_log_head`].
    #[must_use]
    pub fn starting_at(oldest: u64, head: u64) -> Self {
        let mut book = Self::default();
        book.restart_at(oldest, head);
        book
    }

    /// Continues at a later offset after the log dropped the records in between.
    ///
    /// The contracts in force stay in force. The state is complete again once all records below
    /// `head` are read or a peer's snapshot is adopted. Does nothing when no record is missing.
    /// For `head`, see [`Self::starting_at`].
    pub fn restart_at(&mut self, oldest: u64, head: u64) {
        if oldest <= self.next {
            return;
        }
        if self.is_complete() {
            self.gap_start = self.next;
        }
        self.start = oldest;
        self.next = oldest;
        self.complete_at = Some(if head > oldest { head } else { UNKNOWN_HEAD });
        for state in self.states.values_mut() {
            state.proven = false;
            state.deferred.clear();
            state.discarded_below = 0;
        }
    }

    /// Returns the next offset to read.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns whether the state reflects all records below [`Self::next_offset`].
    ///
    /// Until then, the node should serve from this book only as a last resort.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete_at.is_none()
    }

    /// Returns whether records were missed that a peer's snapshot can replace.
    #[must_use]
    pub const fn needs_snapshot(&self) -> bool {
        !self.is_complete()
    }

    /// Returns whether the log contradicted state that this book adopted from a peer or assumed.
    ///
    /// The node should then read the log again with [`Self::rebuild_at`].
    #[must_use]
    pub const fn needs_rebuild(&self) -> bool {
        self.contradicted
    }

    /// Returns the number of records in formats that this build does not support.
    ///
    /// While the number is above zero, the state may be outdated: the node neither carries state
    /// forward nor marks its snapshots as complete.
    #[must_use]
    pub const fn future_records(&self) -> u64 {
        self.future_records
    }

    /// Returns the entry in force for a customer, which may be a removal.
    #[must_use]
    pub fn entry(&self, customer: &str) -> Option<&BookEntry> {
        self.states.get(customer)?.in_force()
    }

    /// Returns all entries in force in order of customer, including removals.
    pub fn entries(&self) -> impl Iterator<Item = &BookEntry> {
        self.states.values().filter_map(CustomerState::in_force)
    }

    /// Returns the entries in force newer than a version, in log order, including removals.
    ///
    /// A peer whose next offset is `offset` lacks at most the entries newer than
    /// `ContractVersion(offset)`.
    pub fn entries_newer_than(&self, version: ContractVersion) -> impl Iterator<Item = &BookEntry> {
        let newer = ContractVersion(version.0.saturating_add(1));
        self.versions
            .range((newer, CustomerName::new(""))..)
            .filter_map(|(_, customer)| self.entry(customer.as_str()))
    }

    /// Returns the retained accepted versions of a customer, oldest first.
    pub fn history(&self, customer: &str) -> impl Iterator<Item = &HistoryItem> {
        let states = self.states.get(customer).into_iter();
        states.flat_map(|state| state.history.iter())
    }

    /// Returns the retained rejected changes of a customer, oldest first.
    ///
    /// Changes that were refused before they reached the log are not included.
    pub fn rejected(&self, customer: &str) -> impl Iterator<Item = &RejectedChange> {
        self.outcomes.rejected(customer)
    }

    /// Returns the outcome of a change, for an author whose append reply was lost.
    ///
    /// Returns `None` when the change was not read yet, is deferred, or is no longer retained.
    #[must_use]
    pub fn change_outcome(&self, id: ChangeId) -> Option<ChangeOutcome> {
        if let Some(outcome) = self.outcomes.get(id) {
            return Some(outcome.clone());
        }
        let mut settled = self
            .states
            .values()
            .filter_map(|state| state.settled.as_ref());
        let entry = settled.find(|entry| entry.change == id)?;
        Some(ChangeOutcome::Accepted {
            version: entry.version,
        })
    }

    /// Evaluates a change as if it were appended now.
    ///
    /// The result is preliminary: another change may still reach the log first.
    ///
    /// # Errors
    ///
    /// Returns the reason for which readers would reject the change.
    pub fn preview(&self, change: &ContractChange) -> Result<(), RejectReason> {
        let offset = self.next.max(change.seen);
        evaluate::check_content(change, offset)?;
        let current = self.entry(change.customer.as_str());
        evaluate::evaluate(current, change, offset).map(|_| ())
    }

    /// Starts a change based on the version in force in this book.
    #[must_use]
    pub fn draft(
        &self,
        id: ChangeId,
        customer: &CustomerName,
        action: ChangeAction,
    ) -> ChangeBuilder {
        let live = self
            .entry(customer.as_str())
            .filter(|entry| entry.is_live());
        let base = live.map(|entry| entry.version).unwrap_or_default();
        ContractChange::builder(id, customer.clone(), action)
            .base(base)
            .seen(self.next.max(base.0))
    }

    /// Returns the summary for gossip.
    #[must_use]
    pub fn version_digest(&self) -> VersionDigest {
        let newest = self.versions.last();
        VersionDigest {
            offset: self.next,
            newest: newest.map(|(version, _)| *version).unwrap_or_default(),
            digest: self.digest,
        }
    }

    /// Returns the compiled form of all contracts in force.
    #[must_use]
    pub fn table(&self) -> Arc<RouteTable> {
        self.builder.table()
    }

    /// Drops the compiled routes when there are more than `limit`; see
    /// [`RouteTable::compiled_routes`]. Returns whether the table was replaced.
    pub fn drop_compiled_routes(&mut self, limit: usize) -> bool {
        self.builder.drop_compiled_routes(limit)
    }

    /// Returns a finding for each token that several contracts in force contain.
    ///
    /// Such a token belongs to the customer that was created first.
    #[must_use]
    pub fn token_findings(&self) -> FindingList {
        self.builder.findings()
    }

    /// Returns and clears the findings about wrong state received from peers or carry records.
    #[must_use]
    pub fn take_findings(&mut self) -> Vec<SettingFinding> {
        self.findings.drain(..).collect()
    }

    /// Returns whether peers may treat this book's state as that of the log.
    fn is_authoritative(&self) -> bool {
        self.is_complete() && self.future_records == 0 && !self.contradicted
    }
}
