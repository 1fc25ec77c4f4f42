//! Property test: every way to read the log leads to the same contracts.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use sycamorelink_contract::{ChangeAction, ChangeId, ContractBook, ContractVersion};
use sycamorelink_core::CustomerName;

use crate::common::{TestLog, carry, draft, in_force};

const CUSTOMERS: [&str; 3] = ["ash", "birch", "cedar"];

/// One append. `lag` is the number of records that the author's book is behind.
#[derive(Clone, Debug)]
enum LogStep {
    Put { customer: usize, lag: usize },
    Remove { customer: usize, lag: usize },
    Copy { back: usize },
    Carry { lag: usize, only: Option<usize> },
    Garbage,
}

fn step() -> impl Strategy<Value = LogStep> {
    let lag = || prop_oneof![3 => Just(0_usize), 2 => 1..4_usize];
    prop_oneof![
        5 => (0..3_usize, lag()).prop_map(|(customer, lag)| LogStep::Put { customer, lag }),
        2 => (0..3_usize, lag()).prop_map(|(customer, lag)| LogStep::Remove { customer, lag }),
        2 => (0..12_usize).prop_map(|back| LogStep::Copy { back }),
        3 => (lag(), proptest::option::of(0..3_usize))
            .prop_map(|(lag, only)| LogStep::Carry { lag, only }),
        1 => Just(LogStep::Garbage),
    ]
}

/// Builds a log. Returns it with the book of the full reader before each record and at the end.
fn build_log(steps: &[LogStep]) -> (TestLog, Vec<ContractBook>) {
    let mut log = TestLog::default();
    let mut books = vec![log.book.clone()];
    for (number, step) in steps.iter().enumerate() {
        let view = |lag: usize| &books[number.saturating_sub(lag)];
        let rate = u32::try_from(number).unwrap_or_default() + 1;
        let bytes = match step {
            LogStep::Put { customer, lag } => {
                draft(view(*lag), CUSTOMERS[*customer], rate).encode()
            }
            LogStep::Remove { customer, lag } => {
                let customer = CustomerName::new(CUSTOMERS[*customer]);
                let id = ChangeId(u128::from(rate) << 64);
                let change = view(*lag).draft(id, &customer, ChangeAction::Remove);
                change.author("bob", "red").build().encode()
            }
            LogStep::Copy { back } => match number.checked_sub(back + 1) {
                Some(earlier) => log.records[earlier].clone(),
                None => b"copy of nothing".to_vec(),
            },
            LogStep::Carry { lag, only } => {
                let customers = only.map_or(&CUSTOMERS[..], |one| &CUSTOMERS[one..=one]);
                carry(view(*lag), customers).encode()
            }
            LogStep::Garbage => b"\xff garbage".to_vec(),
        };
        log.append(bytes);
        books.push(log.book.clone());
    }
    (log, books)
}

/// Returns the latest offset from which the log still proves the whole state. Carry records must
/// keep this offset at or above the oldest record.
fn provable_from(book: &ContractBook) -> u64 {
    let snapshot = book.snapshot();
    let proofs = snapshot.entries.iter().map(|part| part.proof.as_of);
    proofs.min().unwrap_or(book.next_offset())
}

fn assert_same(book: &mut ContractBook, full: &ContractBook, path: &str) {
    assert_eq!(in_force(book), in_force(full), "{path}");
    assert_eq!(book.version_digest(), full.version_digest(), "{path}");
    assert!(book.is_complete(), "{path}");
    assert!(!book.needs_rebuild(), "{path}");
    assert_eq!(book.take_findings(), [], "{path}");
}

/// Reads to the head and checks after each record that no version decreases.
fn read_forward(log: &TestLog, book: &mut ContractBook, path: &str) {
    let mut before = versions(book);
    while book.next_offset() < log.head() {
        let offset = book.next_offset();
        book.apply(offset, log.record(offset));
        let after = versions(book);
        for (old, new) in before.iter().zip(&after) {
            assert!(old <= new, "{path}: {old} went back to {new} at {offset}");
        }
        before = after;
    }
}

fn versions(book: &ContractBook) -> [ContractVersion; 3] {
    CUSTOMERS.map(|customer| crate::common::version(book, customer))
}

fn check_late_starts(log: &TestLog, full: &ContractBook) {
    for oldest in 0..=provable_from(full) {
        let mut book = ContractBook::starting_at(oldest, log.head());
        book.on_log_head(log.head());
        read_forward(log, &mut book, &format!("from {oldest}"));
        assert_same(&mut book, full, &format!("from {oldest}"));
    }
}

fn check_snapshots(log: &TestLog, books: &[ContractBook], full: &ContractBook) {
    for (offset, peer) in books.iter().enumerate() {
        let path = format!("snapshot at {offset}");
        let mut book = ContractBook::new();
        book.adopt(&peer.snapshot());
        read_forward(log, &mut book, &path);
        assert_same(&mut book, full, &path);
    }
}

/// Checks readers whose next record has left the log.
fn check_gaps(log: &TestLog, books: &[ContractBook], full: &ContractBook) {
    let oldest = provable_from(full);
    for (offset, before) in books.iter().enumerate() {
        let path = format!("gap from {offset} to {oldest}");
        let mut book = before.clone();
        book.restart_at(oldest, log.head());
        book.on_log_head(log.head());
        read_forward(log, &mut book, &path);
        assert_same(&mut book, full, &path);
    }
}

/// Checks readers that adopt older and newer snapshots of peers while the log is unavailable.
fn check_peers(log: &TestLog, books: &[ContractBook], full: &ContractBook) {
    for (offset, before) in books.iter().enumerate() {
        let path = format!("peers at {offset}");
        let mut book = before.clone();
        for peer in books.iter().skip(offset % 3).step_by(3) {
            let held = versions(&book);
            book.adopt(&peer.snapshot());
            let now = versions(&book);
            assert!(held.iter().zip(&now).all(|(old, new)| old <= new), "{path}");
        }
        read_forward(log, &mut book, &path);
        assert_same(&mut book, full, &path);
    }
}

/// Checks readers that rebuild from the oldest offset that still proves the whole state.
fn check_rebuilds(log: &TestLog, books: &[ContractBook], full: &ContractBook) {
    let oldest = provable_from(full);
    for (offset, before) in books.iter().enumerate() {
        let path = format!("rebuilt from {offset} at {oldest}");
        let mut book = before.clone();
        book.rebuild_at(oldest, log.head());
        book.on_log_head(log.head());
        read_forward(log, &mut book, &path);
        assert_same(&mut book, full, &path);
    }
}

#[test]
fn all_readers_reach_the_same_state() {
    // Daemons with different contracts would apply different limits to the same caller. The log
    // contains concurrent changes, late copies and carry records of nodes that lag. Readers from
    // the start, from the middle, from a snapshot and across a gap must reach the same entries,
    // and no version may decrease on the way.
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..20);
    let result = runner.run(&steps, |steps| {
        let (log, books) = build_log(&steps);
        let full = log.book.clone();
        assert_eq!(full.clone().take_findings(), [], "full reader");
        check_late_starts(&log, &full);
        check_snapshots(&log, &books, &full);
        check_gaps(&log, &books, &full);
        check_peers(&log, &books, &full);
        check_rebuilds(&log, &books, &full);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
