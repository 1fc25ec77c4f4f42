//! Transfer of a large book in pages, for nodes that start while the log is unavailable.
//!
//! ```text
//! asking node                         any peers
//!   next_request() = Page(after "")  ----->  book.page(None, bytes)
//!   add(page)                        <-----
//!   next_request() = Page(after "k") ----->  book.page(Some("k"), bytes)
//!   ...
//!   next_request() = Newer(v)        ----->  book.newer(v)
//!   finish(newer)                    <-----  snapshot as of that reply's offset
//! ```
//!
//! Pages are taken at different offsets, so together they do not form a consistent state. The last
//! reply fixes this: it contains all entries that came into force after the earliest page. Entries
//! that it does not contain have not changed since, so the pages and the last reply together form
//! the state at the offset of that reply.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorelink_core::CustomerName;

use super::snapshot::{BookSnapshot, SnapshotEntry, snapshot_entries};
use super::{ContractBook, TOMBSTONE_SPAN};
use crate::change::{ContractVersion, RECORD_FORMAT};
use crate::text::ContractText;

/// Estimated size of an entry without its content, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Part of a book's entries: a page in order of customer, or those newer than a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPage {
    /// Record format supported by the book's node.
    pub format: u64,
    /// Next offset of the book.
    pub offset: u64,
    /// Whether the state was complete, in supported formats only, and not contradicted by the log.
    pub whole: bool,
    /// Entries of the page, including removals.
    pub entries: Vec<SnapshotEntry>,
    /// Whether this is the last page.
    pub last: bool,
}

impl ContractBook {
    /// Returns the entries after a customer that fit into about `bytes`, but at least one.
    #[must_use]
    pub fn page(&self, after: Option<&CustomerName>, bytes: usize) -> SnapshotPage {
        let mut page = self.empty_page();
        let mut bytes_left = bytes;
        for (customer, state) in &self.states {
            if after.is_some_and(|after| customer <= after) {
                continue;
            }
            let settled = snapshot_entries(state)
                .into_iter()
                .filter(|item| item.entry.version.0 <= self.next);
            for item in settled {
                let content = item.entry.contract.as_ref();
                let size = ENTRY_OVERHEAD_BYTES + content.map_or(0, ContractText::size);
                if size > bytes_left && !page.entries.is_empty() {
                    page.last = false;
                    return page;
                }
                bytes_left = bytes_left.saturating_sub(size);
                page.entries.push(item);
            }
        }
        page
    }

    /// Returns the entries newer than a version, including those ahead of the log.
    #[must_use]
    pub fn newer(&self, version: ContractVersion) -> SnapshotPage {
        let mut page = self.empty_page();
        let states = self
            .entries_newer_than(version)
            .filter_map(|entry| self.states.get(&entry.customer));
        let entries = states.flat_map(snapshot_entries);
        page.entries = entries
            .filter(|item| item.entry.version > version)
            .collect();
        page
    }

    fn empty_page(&self) -> SnapshotPage {
        SnapshotPage {
            format: RECORD_FORMAT,
            offset: self.next,
            whole: self.is_authoritative(),
            entries: Vec::new(),
            last: true,
        }
    }
}

/// Next request to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageRequest {
    /// Requests the page after a customer, or the first page for `None`.
    Page(Option<CustomerName>),
    /// Requests all entries newer than a version.
    Newer(ContractVersion),
}

/// Assembles pages into a snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotAssembly {
    entries: BTreeMap<CustomerName, SnapshotEntry>,
    lowest_offset: u64,
    highest_offset: u64,
    whole: bool,
    last: bool,
}

impl Default for SnapshotAssembly {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            lowest_offset: u64::MAX,
            highest_offset: 0,
            whole: true,
            last: false,
        }
    }
}

impl SnapshotAssembly {
    /// Returns the next request, which any peer can answer.
    #[must_use]
    pub fn next_request(&self) -> PageRequest {
        if self.last {
            return PageRequest::Newer(ContractVersion(self.lowest_offset));
        }
        let after = self.entries.last_key_value();
        PageRequest::Page(after.map(|(customer, _)| customer.clone()))
    }

    /// Adds the requested page.
    pub fn add(&mut self, page: SnapshotPage) {
        self.lowest_offset = self.lowest_offset.min(page.offset);
        self.highest_offset = self.highest_offset.max(page.offset);
        self.whole &= page.whole && page.format == RECORD_FORMAT;
        self.last = page.last;
        for item in page.entries {
            self.entries.insert(item.entry.customer.clone(), item);
        }
    }

    /// Adds the reply to the last request and returns the snapshot.
    ///
    /// # Errors
    ///
    /// Returns the assembly when pages are missing, when the reply is older than one of the pages,
    /// or when it is so much newer that the peer may no longer retain removals. Ask another peer
    /// or start again.
    pub fn finish(mut self, newer: SnapshotPage) -> Result<BookSnapshot, Box<Self>> {
        let behind = newer.offset < self.highest_offset;
        let late = newer.offset.saturating_sub(self.lowest_offset) > TOMBSTONE_SPAN;
        if !self.last || behind || late {
            return Err(Box::new(self));
        }
        let whole = self.whole && newer.whole && newer.format == RECORD_FORMAT;
        let offset = newer.offset;
        let (settled, ahead): (Vec<_>, Vec<_>) = newer
            .entries
            .into_iter()
            .partition(|item| item.entry.version.0 <= offset);
        for item in settled {
            self.entries.insert(item.entry.customer.clone(), item);
        }
        let entries = self.entries.into_values().chain(ahead).collect();
        Ok(BookSnapshot::seal(offset, whole, entries))
    }
}
