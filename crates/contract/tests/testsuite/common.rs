//! Test fixtures: small contracts, an in-memory log and its readers.

use std::time::Duration;

use sycamorelink_contract::{
    ApplyOutcome, BookEntry, CarryRecord, ChangeAction, ChangeId, ContractBook, ContractChange,
    ContractVersion, CustomerContract,
};
use sycamorelink_core::{CustomerName, NodeId};

/// Returns a small valid contract. Different rates produce different contents.
pub fn contract(customer: &str, rate: u32) -> CustomerContract {
    let text = format!(
        r#"{{"customer": "{customer}", "team": "red", "tokens": [],
            "rate": {{"per_second": {rate}}}, "concurrency": 1,
            "services": [{{"name": "orders"}}],
            "routes": [{{"prefix": "/orders", "methods": ["GET"], "service": "orders",
                         "repeat": "idempotent"}}]}}"#
    );
    CustomerContract::from_json(&text).expect("valid contract")
}

/// In-memory log with the book of a reader that has read all records.
#[derive(Clone, Default)]
pub struct TestLog {
    pub records: Vec<Vec<u8>>,
    pub book: ContractBook,
}

impl TestLog {
    /// Appends a record and applies it to the book.
    pub fn append(&mut self, bytes: Vec<u8>) -> ApplyOutcome {
        let offset = self.head();
        let outcome = self.book.apply(offset, &bytes);
        self.records.push(bytes);
        outcome
    }

    /// Returns the next offset of the log.
    pub fn head(&self) -> u64 {
        self.records.len() as u64
    }

    /// Creates or amends a contract, based on the version in force.
    pub fn put(&mut self, customer: &str, rate: u32) -> ApplyOutcome {
        let change = self.draft(customer, rate);
        self.append(change.encode())
    }

    /// Removes a customer.
    pub fn remove(&mut self, customer: &str) -> ApplyOutcome {
        let id = ChangeId(1_000_000 + u128::from(self.head()));
        let change = self
            .book
            .draft(id, &CustomerName::new(customer), ChangeAction::Remove)
            .author("ann", "red")
            .build();
        self.append(change.encode())
    }

    /// Returns a change based on the version in force. Its id is derived from the head and the
    /// rate.
    pub fn draft(&self, customer: &str, rate: u32) -> ContractChange {
        draft(&self.book, customer, rate)
    }

    /// Appends invalid records, which have no effect.
    pub fn fill(&mut self, count: usize) {
        for _ in 0..count {
            self.append(b"{}".to_vec());
        }
    }

    /// Applies all remaining records to a reader's book.
    pub fn read(&self, book: &mut ContractBook) -> Vec<ApplyOutcome> {
        let from = book.next_offset();
        let offsets = from..self.head();
        offsets
            .map(|offset| book.apply(offset, self.record(offset)))
            .collect()
    }

    /// Returns the book of a reader that starts at an offset and reads to the head.
    pub fn reader_from(&self, oldest: u64) -> ContractBook {
        let mut book = ContractBook::starting_at(oldest, self.head());
        book.on_log_head(self.head());
        self.read(&mut book);
        book
    }

    /// Returns the record at an offset.
    pub fn record(&self, offset: u64) -> &[u8] {
        &self.records[usize::try_from(offset).expect("small offset")]
    }
}

/// Returns a change based on the version in force in a book.
pub fn draft(book: &ContractBook, customer: &str, rate: u32) -> ContractChange {
    let id = ChangeId(u128::from(book.next_offset()) << 32 | u128::from(rate));
    let action = ChangeAction::put(&contract(customer, rate));
    book.draft(id, &CustomerName::new(customer), action)
        .author("ann", "red")
        .build()
}

/// Returns the record by which a node with this book carries some customers forward.
pub fn carry(book: &ContractBook, customers: &[&str]) -> CarryRecord {
    let settled = book.snapshot().entries.into_iter();
    let wanted = |entry: &BookEntry| customers.contains(&entry.customer.as_str());
    CarryRecord {
        node: NodeId::of("carrier"),
        as_of: book.next_offset(),
        stamp: Duration::ZERO,
        unreadable: 0,
        entries: settled.map(|part| part.entry).filter(wanted).collect(),
    }
}

/// Returns a short description of each entry in force.
pub fn in_force(book: &ContractBook) -> Vec<String> {
    let entries = book.entries();
    entries
        .map(|entry| {
            let state = if entry.is_live() { "live" } else { "removed" };
            format!("{} {} {state}", entry.customer, entry.version)
        })
        .collect()
}

/// Returns the version in force for a customer.
pub fn version(book: &ContractBook, customer: &str) -> ContractVersion {
    book.entry(customer)
        .map(|entry| entry.version)
        .unwrap_or_default()
}
