//! State of a single customer in the book.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::CustomerName;

use super::evaluate::TOMBSTONE_SPAN;
use crate::change::{ChangeAction, ChangeId, ContractChange, ContractVersion, MAX_AUTHOR_BYTES};
use crate::digest::ContentDigest;
use crate::text::ContractText;

/// Maximum number of accepted versions retained per customer, without their content.
pub const MAX_HISTORY: usize = 8;

/// Maximum number of changes deferred per customer until its state is proven.
pub const MAX_DEFERRED: usize = 64;

/// Contract of one customer, or its removal, as put into force by a record of the log.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BookEntry {
    /// Name of the customer that the entry belongs to.
    pub customer: CustomerName,
    /// Version assigned by the record of the original change; carry records keep it.
    pub version: ContractVersion,
    /// Version that created the customer.
    pub created: ContractVersion,
    /// Id of the change.
    pub change: ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// Team of the author.
    pub team: Arc<str>,
    /// Wall clock of the author's node, for display only.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stamp: Duration,
    /// Digest of the content; all zeros for a removal.
    pub digest: ContentDigest,
    /// Content of the contract; `None` if the customer was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contract: Option<ContractText>,
}

impl BookEntry {
    /// Creates the entry of an accepted change.
    pub(super) fn accepted(
        change: &ContractChange,
        version: ContractVersion,
        created: ContractVersion,
    ) -> Self {
        let contract = change.action.contract().cloned();
        Self {
            customer: change.customer.clone(),
            version,
            created,
            change: change.id,
            author: change.author.clone(),
            team: change.team.clone(),
            stamp: change.stamp,
            digest: digest_of(contract.as_ref()),
            contract,
        }
    }

    /// Returns whether the entry contains a contract, that is, is not a removal.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        self.contract.is_some()
    }

    /// Returns whether two entries describe the same accepted change with the same content.
    #[must_use]
    pub fn agrees(&self, other: &Self) -> bool {
        self.version == other.version
            && self.change == other.change
            && self.digest == other.digest
            && self.created == other.created
    }

    /// Returns a digest over customer, version, change and content.
    #[must_use]
    pub fn fingerprint(&self) -> ContentDigest {
        ContentDigest::of_parts(&[
            self.customer.as_str().as_bytes(),
            &self.version.0.to_be_bytes(),
            &self.created.0.to_be_bytes(),
            &self.change.0.to_be_bytes(),
            &self.digest.0,
        ])
    }

    /// Returns the reason for which an entry from another node is invalid, or `None`.
    pub(super) fn validation_error(&self) -> Option<String> {
        let created = self.created.0;
        if self.version.0 == 0 || created == 0 || created > self.version.0 {
            return Some("versions out of order".to_owned());
        }
        if self.author.len() > MAX_AUTHOR_BYTES || self.team.len() > MAX_AUTHOR_BYTES {
            return Some("name of author or team too long".to_owned());
        }
        if self.digest != digest_of(self.contract.as_ref()) {
            return Some("content does not match its digest".to_owned());
        }
        match self.contract.as_ref()?.parse() {
            Ok(contract) if contract.customer == self.customer => None,
            Ok(_) => Some("contract of another customer".to_owned()),
            Err(_) => Some("invalid contract".to_owned()),
        }
    }
}

fn digest_of(contract: Option<&ContractText>) -> ContentDigest {
    contract.map(ContractText::digest).unwrap_or_default()
}

/// Source of a customer's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProofOrigin {
    /// Records of the log, read by this node.
    #[default]
    Log,
    /// A peer's snapshot that was not compared with the log yet.
    Peer,
}

/// Record from which a reader of the log can derive a customer's state.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryProof {
    /// A reader that starts at or below this offset derives the state from the log.
    pub as_of: u64,
    /// Offset of the record that proves the state: the creation or the newest carry record.
    pub record: u64,
    /// Wall-clock stamp in that record.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stamp: Duration,
}

/// Accepted version in a customer's history.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryItem {
    /// Version that the change created.
    pub version: ContractVersion,
    /// Id of the change.
    pub change: ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall clock of the author's node, for display only.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stamp: Duration,
    /// Digest of the content.
    pub digest: ContentDigest,
    /// Action of the change. Live state from a carry record or a peer is shown as `Put`.
    pub action: HistoryAction,
    /// Version that the change amended, zero for a creation. `None` if the state came from a carry
    /// record or a peer, which do not include the base.
    pub base: Option<ContractVersion>,
}

/// Kind of a change, without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryAction {
    /// Puts a contract into force.
    Put,
    /// Removes the customer.
    Remove,
    /// Puts earlier content into force again.
    RollBack,
}

impl HistoryAction {
    pub(super) const fn of(action: &ChangeAction) -> Self {
        match action {
            ChangeAction::Put { .. } => Self::Put,
            ChangeAction::Remove => Self::Remove,
            ChangeAction::RollBack { .. } => Self::RollBack,
        }
    }

    const fn of_state(entry: &BookEntry) -> Self {
        if entry.is_live() {
            Self::Put
        } else {
            Self::Remove
        }
    }
}

impl HistoryItem {
    fn of(entry: &BookEntry, cause: Option<&ContractChange>) -> Self {
        let created = entry.created == entry.version;
        let creation = created.then(ContractVersion::default);
        Self {
            version: entry.version,
            change: entry.change,
            author: entry.author.clone(),
            stamp: entry.stamp,
            digest: entry.digest,
            action: cause.map_or_else(
                || HistoryAction::of_state(entry),
                |change| HistoryAction::of(&change.action),
            ),
            base: cause.map(|change| change.base).or(creation),
        }
    }
}

/// State that the book keeps for one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerState {
    /// Entry that follows from the part of the log that was read.
    pub(super) settled: Option<BookEntry>,
    /// Entry from a peer that the log has not confirmed yet.
    pub(super) ahead: Option<Box<BookEntry>>,
    /// Next offset of the peer that sent `ahead`.
    pub(super) ahead_as_of: u64,
    /// Value of `ContractBook::head_replies` when `ahead` arrived.
    pub(super) ahead_reply: u64,
    /// Whether `settled` follows from the records read. Until then, changes are deferred.
    pub(super) proven: bool,
    pub(super) origin: ProofOrigin,
    /// Whether `settled` was kept across a gap without a record that proves it.
    pub(super) assumed: bool,
    pub(super) proof: EntryProof,
    pub(super) deferred: Vec<(u64, ContractChange)>,
    /// Some deferred changes below this offset were discarded because too many were waiting.
    pub(super) discarded_below: u64,
    pub(super) history: Vec<HistoryItem>,
    /// The history has no gaps from this version on.
    history_complete_from: ContractVersion,
}

impl CustomerState {
    /// Returns the newer of the log's entry and the peer's entry.
    pub(super) fn in_force(&self) -> Option<&BookEntry> {
        let candidates = [self.settled.as_ref(), self.ahead.as_deref()];
        candidates
            .into_iter()
            .flatten()
            .max_by_key(|entry| entry.version)
    }

    /// Sets the settled entry when versions between it and the previous one may be missing.
    pub(super) fn settle_after_gap(&mut self, entry: BookEntry) {
        self.history_complete_from = entry.version;
        self.assumed = false;
        self.settle(entry, None);
    }

    /// Sets the next settled entry and adds it to the history. `cause` is the change, if its
    /// record was read.
    pub(super) fn settle(&mut self, entry: BookEntry, cause: Option<&ContractChange>) {
        self.history.retain(|item| item.version < entry.version);
        if self.history.len() == MAX_HISTORY {
            self.history.remove(0);
        }
        // Most customers have only one version; the default growth would allocate four.
        self.history.reserve_exact(1);
        self.history.push(HistoryItem::of(&entry, cause));
        self.settled = Some(entry);
    }

    /// Settles on the state known before a gap when no record restored the state since.
    ///
    /// A removal is carried for [`TOMBSTONE_SPAN`] records. After a longer gap, a missing carry
    /// record means that the customer was removed.
    pub(super) fn settle_last_known(&mut self, start: u64, gap_start: u64) {
        let recent = |as_of: u64| start.saturating_sub(as_of) < TOMBSTONE_SPAN;
        if !recent(gap_start) {
            self.settled = None;
        }
        self.assumed = true;
        let known = self.settled.as_ref().map(|entry| entry.version);
        let from_peer = self.ahead.as_deref().filter(|entry| {
            entry.version.0 <= start && recent(self.ahead_as_of) && Some(entry.version) > known
        });
        if let Some(entry) = from_peer.cloned() {
            self.origin = ProofOrigin::Peer;
            self.proof = EntryProof::default();
            self.settle_after_gap(entry);
            self.assumed = true;
        }
    }

    /// Defers a change until the state is proven.
    pub(super) fn defer(&mut self, offset: u64, change: ContractChange) {
        if self.deferred.len() == MAX_DEFERRED {
            let (oldest, _) = self.deferred.remove(0);
            self.discarded_below = oldest + 1;
        }
        self.deferred.push((offset, change));
    }

    /// Returns the version in force after all records below an offset, if it is still retained.
    pub(super) fn history_at(&self, offset: u64) -> Option<&HistoryItem> {
        if offset < self.history_complete_from.0 {
            return None;
        }
        let mut newest_first = self.history.iter().rev();
        newest_first.find(|item| item.version.0 <= offset)
    }
}
