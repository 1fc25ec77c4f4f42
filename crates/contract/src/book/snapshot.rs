//! Snapshots of the book, for nodes that start while the log is unavailable or too long to read.
//!
//! A snapshot contains the state after all records below its offset, and the book's entries from
//! peers that are ahead of the log. Adopting a snapshot never replaces a version in force by an
//! older one, regardless of the peer that sent it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, FindingList};

use super::entry::{BookEntry, CustomerState, EntryProof, ProofOrigin};
use super::{ContractBook, TOMBSTONE_SPAN};
use crate::change::{ContractVersion, RECORD_FORMAT};
use crate::digest::ContentDigest;

/// Entry of one customer in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotEntry {
    /// Entry of the book. Its version lies above the snapshot's offset when it came from a peer.
    pub entry: BookEntry,
    /// Record from which a reader of the log derives the entry.
    pub proof: EntryProof,
}

/// State of a book at an offset, protected by a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookSnapshot {
    /// Record format supported by the book's node.
    pub format: u64,
    /// Next offset of the book; the state covers every record below it.
    pub offset: u64,
    /// Whether the state was complete, in supported formats only, and not contradicted by the log.
    pub whole: bool,
    /// Settled entries and those ahead of the log, including removals, in order of customer.
    pub entries: Vec<SnapshotEntry>,
    /// SHA-256 over the fields above; entries count by their fingerprint and proof offsets.
    pub digest: ContentDigest,
}

impl BookSnapshot {
    /// Creates a snapshot and computes its digest.
    #[must_use]
    pub fn seal(offset: u64, whole: bool, entries: Vec<SnapshotEntry>) -> Self {
        let mut snapshot = Self {
            format: RECORD_FORMAT,
            offset,
            whole,
            entries,
            digest: ContentDigest::default(),
        };
        snapshot.digest = snapshot.computed_digest();
        snapshot
    }

    fn computed_digest(&self) -> ContentDigest {
        let mut parts = Vec::with_capacity(self.entries.len() * 4 + 1);
        parts.push(self.format.to_be_bytes().to_vec());
        parts.push(self.offset.to_be_bytes().to_vec());
        parts.push(vec![u8::from(self.whole)]);
        for item in &self.entries {
            parts.push(item.entry.fingerprint().0.to_vec());
            parts.push(item.proof.as_of.to_be_bytes().to_vec());
            parts.push(item.proof.record.to_be_bytes().to_vec());
        }
        let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        ContentDigest::of_parts(&parts)
    }

    /// Returns a finding for everything that shows the snapshot to be damaged or inconsistent.
    #[must_use]
    pub fn verify(&self) -> FindingList {
        let mut findings = FindingList::default();
        findings.expect(
            self.format == RECORD_FORMAT,
            "format",
            "is not the format of this build",
        );
        findings.expect(
            self.digest == self.computed_digest(),
            "digest",
            "does not match the entries",
        );
        let mut seen = BTreeSet::new();
        for item in &self.entries {
            let entry = &item.entry;
            let place = format!("entries.{}", entry.customer);
            if let Some(error) = entry.validation_error() {
                findings.add(&place, error);
            }
            let settled = entry.version.0 <= self.offset;
            findings.expect(
                seen.insert((&entry.customer, settled)),
                &place,
                "is there twice",
            );
        }
        findings
    }
}

/// Result of adopting a snapshot or individual entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdoptOutcome {
    /// Customers for which another version came into force.
    pub taken: Vec<CustomerName>,
    /// Number of entries that were not newer than the version in force.
    pub kept: usize,
    /// Whether the book skipped forward and continues at the snapshot's offset.
    pub moved: bool,
    /// Refused entries, with the reason for each.
    pub findings: FindingList,
}

impl ContractBook {
    /// Returns a snapshot of the book.
    #[must_use]
    pub fn snapshot(&self) -> BookSnapshot {
        let entries = self.states.values().flat_map(snapshot_entries).collect();
        BookSnapshot::seal(self.next, self.is_authoritative(), entries)
    }

    /// Adopts the entries of a peer's snapshot that are newer than this book's.
    ///
    /// A book that has read no records yet, or that misses records, adopts a complete snapshot as
    /// its new base and continues at its offset. Any other book adopts only versions from offsets
    /// that it has not read, and the log decides when they are read.
    pub fn adopt(&mut self, snapshot: &BookSnapshot) -> AdoptOutcome {
        let mut outcome = AdoptOutcome {
            findings: snapshot.verify(),
            ..AdoptOutcome::default()
        };
        if !outcome.findings.0.is_empty() {
            return outcome;
        }
        let before = self.versions_in_force();
        let can_rebase = !self.rebuilding && (self.records_read == 0 || !self.is_complete());
        let covers = snapshot.whole && snapshot.offset >= self.start;
        if can_rebase && covers {
            outcome.moved = snapshot.offset > self.next;
            self.rebase(snapshot, &mut outcome);
        }
        for item in &snapshot.entries {
            self.adopt_entry(&item.entry, snapshot.offset, &mut outcome);
        }
        outcome.taken = self.versions_since(&before);
        outcome
    }

    /// Adopts individual entries from a peer, such as those newer than this book's offset.
    ///
    /// Each entry is in force until the log is read up to it; then the log decides.
    pub fn adopt_entries<'a, I>(&mut self, entries: I) -> AdoptOutcome
    where
        I: IntoIterator<Item = &'a BookEntry>,
    {
        let mut outcome = AdoptOutcome::default();
        let before = self.versions_in_force();
        for entry in entries {
            if let Some(error) = entry.validation_error() {
                outcome.findings.add(entry.customer.as_str(), error);
                continue;
            }
            self.adopt_entry(entry, entry.version.0, &mut outcome);
        }
        outcome.taken = self.versions_since(&before);
        outcome
    }

    fn versions_in_force(&self) -> BTreeMap<CustomerName, ContractVersion> {
        let entries = self.entries();
        entries
            .map(|entry| (entry.customer.clone(), entry.version))
            .collect()
    }

    fn versions_since(
        &self,
        before: &BTreeMap<CustomerName, ContractVersion>,
    ) -> Vec<CustomerName> {
        let newer = |entry: &&BookEntry| before.get(&entry.customer) != Some(&entry.version);
        let entries = self.entries().filter(newer);
        entries.map(|entry| entry.customer.clone()).collect()
    }

    /// Adopts the snapshot as the state after all records below its offset.
    fn rebase(&mut self, snapshot: &BookSnapshot, outcome: &mut AdoptOutcome) {
        self.peer_based = true;
        self.complete_at = None;
        if outcome.moved {
            self.base_reply = self.head_replies;
            self.next = snapshot.offset;
            self.start = snapshot.offset;
            self.records_read = 0;
        }
        let offered: BTreeMap<&CustomerName, &SnapshotEntry> = snapshot
            .entries
            .iter()
            .filter(|item| item.entry.version.0 <= snapshot.offset)
            .map(|item| (&item.entry.customer, item))
            .collect();
        let known: BTreeSet<CustomerName> = self.states.keys().cloned().collect();
        let all = offered.keys().map(|customer| (*customer).clone());
        for customer in all.chain(known).collect::<BTreeSet<_>>() {
            let item = offered.get(&customer).copied();
            self.rebase_customer(&customer, item, snapshot.offset, outcome);
        }
    }

    fn rebase_customer(
        &mut self,
        customer: &CustomerName,
        item: Option<&SnapshotEntry>,
        offset: u64,
        outcome: &mut AdoptOutcome,
    ) {
        let state = self.states.get(customer);
        if !outcome.moved && state.is_some_and(|state| state.proven) {
            return;
        }
        if state.is_some_and(|state| state.discarded_below > offset) {
            self.contradicted = true;
            self.report(customer, "too many changes were held back".to_owned());
        }
        let state = self.states.get(customer);
        let settled = state.and_then(|state| state.settled.clone());
        match (settled, item) {
            (Some(own), Some(item)) if own.version > item.entry.version => {
                outcome.findings.add(
                    customer.as_str(),
                    format!("offers {}, older than {}", item.entry.version, own.version),
                );
            }
            (Some(own), Some(item)) if own.agrees(&item.entry) => {}
            (Some(own), None) if offset.saturating_sub(own.version.0) <= TOMBSTONE_SPAN => {
                outcome
                    .findings
                    .add(customer.as_str(), format!("lacks {}", own.version));
            }
            (Some(_), None) => self.update(customer, |state| state.settled = None),
            (None, None) => {}
            (_, Some(item)) => self.update(customer, |state| {
                state.origin = ProofOrigin::Peer;
                state.proof = item.proof;
                state.settle_after_gap(item.entry.clone());
            }),
        }
        self.evaluate_deferred(customer, offset);
    }

    /// Adopts an entry of a peer whose next offset is `as_of`, if the entry is newer than the
    /// version in force and does not contradict the records read.
    fn adopt_entry(&mut self, entry: &BookEntry, as_of: u64, outcome: &mut AdoptOutcome) {
        let state = self.states.get(&entry.customer);
        let in_force = state.and_then(CustomerState::in_force);
        if let Some(own) = in_force.filter(|own| own.version >= entry.version) {
            outcome.kept += 1;
            if own.version == entry.version && !own.agrees(entry) {
                outcome.findings.add(
                    entry.customer.as_str(),
                    format!("{} differs from the same version here", entry.version),
                );
            }
            return;
        }
        if entry.version.0 <= self.next && self.is_proven(&entry.customer) {
            outcome.findings.add(
                entry.customer.as_str(),
                format!("{} was never taken by the log as read here", entry.version),
            );
            return;
        }
        self.set_ahead(entry.clone(), as_of);
    }
}

pub(super) fn snapshot_entries(state: &CustomerState) -> Vec<SnapshotEntry> {
    let settled = state.settled.iter().map(|entry| SnapshotEntry {
        entry: entry.clone(),
        proof: state.proof,
    });
    let ahead = state
        .ahead
        .as_deref()
        .into_iter()
        .map(|entry| SnapshotEntry {
            entry: entry.clone(),
            proof: EntryProof::default(),
        });
    settled.chain(ahead).collect()
}
