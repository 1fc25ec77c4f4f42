//! Carry records, which preserve state after its original records have left the log.

use std::time::Duration;

use sycamorelink_contract::book::TOMBSTONE_SPAN;
use sycamorelink_contract::change::MAX_RECORD_BYTES;
use sycamorelink_contract::{
    ApplyOutcome, BookEntry, BookSnapshot, CarryRecord, CarryWindow, ChangeAction, ChangeId,
    ChangeOutcome, ClientAccount, ContentDigest, ContractBook, ContractVersion, LogRecord,
};
use sycamorelink_core::{CustomerName, NodeId};

use crate::common::{TestLog, carry, contract, draft, in_force, version};

const RETENTION: Duration = Duration::from_hours(168);

fn window(oldest: u64, wall: Duration) -> CarryWindow {
    CarryWindow::new(NodeId::of("one"), oldest, wall, RETENTION)
}

/// Returns a log whose first records change ash and birch and whose last record carries both.
fn carried_log() -> TestLog {
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("birch", 1);
    log.put("ash", 2);
    log.remove("birch");
    log.fill(4);
    let record = carry(&log.book, &["ash", "birch"]);
    log.append(record.encode());
    log
}

#[test]
fn reader_of_truncated_log_restores_state_from_carry_record() {
    // The records of the changes have left the log. A new reader must still derive the same
    // contracts and versions and evaluate later changes like all other readers.
    let mut log = carried_log();
    log.put("ash", 3);
    for oldest in 0..=8 {
        let book = log.reader_from(oldest);
        assert!(book.is_complete());
        assert_eq!(in_force(&book), ["ash v10 live", "birch v4 removed"]);
        assert_eq!(book.version_digest(), log.book.version_digest());
    }
}

#[test]
fn change_of_unproven_customer_is_deferred() {
    // The reader starts after the base of an amendment. If it accepted the amendment at once, a
    // change that it did not read could turn out to be the one in force.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("ash", 2);
    let record = carry(&log.book, &["ash"]);
    log.put("ash", 3);
    log.append(record.encode());
    let mut book = ContractBook::starting_at(2, log.head());
    let deferred = book.apply(2, log.record(2));
    assert!(
        matches!(deferred, ApplyOutcome::Deferred { .. }),
        "{deferred:?}"
    );
    assert_eq!(in_force(&book), Vec::<String>::new());
    book.apply(3, log.record(3));
    assert_eq!(in_force(&book), ["ash v3 live"]);
}

#[test]
fn deferred_changes_are_bounded() {
    // There are more changes of one customer than a reader defers. A carry record or snapshot from
    // before the discarded changes must not be adopted, or an old version would stay in force.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let old = carry(&log.book, &["ash"]);
    let peer = log.book.clone();
    for rate in 2..80 {
        log.put("ash", rate);
    }
    log.append(old.encode());
    let mut book = log.reader_from(1);
    assert_eq!(in_force(&book), Vec::<String>::new());
    assert!(!book.take_findings().is_empty());
    let mut other = ContractBook::starting_at(1, 1000);
    log.read(&mut other);
    other.adopt(&peer.snapshot());
    assert!(other.needs_rebuild());

    let new = carry(&log.book, &["ash"]);
    log.append(new.encode());
    log.read(&mut book);
    assert_eq!(in_force(&book), ["ash v79 live"]);
}

#[test]
fn stale_carry_record_reverts_nothing() {
    // The carry record of a slow node is appended after a later change. It must not revert the
    // contract to the older version.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let stale = carry(&log.book, &["ash"]);
    log.put("ash", 2);
    log.append(stale.encode());
    log.append(stale.encode());
    assert_eq!(in_force(&log.book), ["ash v2 live"]);
    assert_eq!(log.book.take_findings(), []);
    log.remove("ash");
    log.append(stale.encode());
    assert_eq!(in_force(&log.book), ["ash v5 removed"]);
}

#[test]
fn carry_record_that_contradicts_the_log_is_refused() {
    // A faulty node carries content that no change had, or claims a later `as_of` than its record.
    // Readers that read the original records refuse and report both.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut other = TestLog::default();
    other.put("ash", 9);
    let wrong = carry(&other.book, &["ash"]);
    log.append(wrong.encode());
    let early = CarryRecord { as_of: 90, ..wrong };
    let outcome = log.append(early.encode());
    assert!(matches!(outcome, ApplyOutcome::Rejected { .. }));
    assert_eq!(in_force(&log.book), ["ash v1 live"]);
    let findings = log.book.take_findings();
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].message.contains("the log has v1 there"));
}

#[test]
fn bad_entry_does_not_invalidate_carry_record() {
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("birch", 1);
    let record = carry(&log.book, &["ash", "birch"]);
    let text = String::from_utf8(record.encode()).expect("UTF-8");
    let faults = [
        ("\"concurrency\":1", "\"concurrency\":0"),
        ("\"version\":1", "\"version\":\"one\""),
    ];
    for (right, wrong) in faults {
        let bad = text.replacen(right, wrong, 1);
        assert_ne!(bad, text);
        let mut log = log.clone();
        log.append(bad.into_bytes());
        let mut book = ContractBook::starting_at(2, log.head());
        let outcome = book.apply(2, log.record(2));
        let ApplyOutcome::Carried(count) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!((count.restored, count.refused), (1, 1));
        assert_eq!(in_force(&book), ["birch v2 live"]);
    }
}

#[test]
fn change_covered_by_carry_record_has_no_outcome() {
    // A reader defers two changes and then restores the state after both. The first change was
    // accepted. If it were evaluated against the later state, it would be reported as rejected and
    // its author would repeat it.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let first = log.draft("ash", 2);
    log.append(first.encode());
    let second = log.draft("ash", 3);
    log.append(second.encode());
    let record = carry(&log.book, &["ash"]);
    log.append(record.encode());
    let mut book = log.reader_from(1);
    assert_eq!(in_force(&book), ["ash v3 live"]);
    assert_eq!(book.change_outcome(first.id), None);
    let accepted = ChangeOutcome::Accepted {
        version: ContractVersion(3),
    };
    assert_eq!(book.change_outcome(second.id), Some(accepted));
    assert_eq!(book.take_findings(), []);
}

#[test]
fn missing_records_are_reported_as_gap() {
    // The log drops records before a slow reader has read them. If the reader continued without
    // noticing, it would miss changes permanently.
    let log = carried_log();
    let mut book = ContractBook::new();
    book.apply(0, log.record(0));
    let gap = ApplyOutcome::Gap {
        expected: 1,
        found: 6,
    };
    assert_eq!(book.apply(6, log.record(6)), gap);
    assert_eq!(book.next_offset(), 1);
    book.restart_at(6, log.head());
    assert!(book.needs_snapshot());
    // Contracts stay in force until the log or a peer provides newer state.
    assert_eq!(in_force(&book), ["ash v1 live"]);
    log.read(&mut book);
    assert!(!book.needs_snapshot());
    assert_eq!(in_force(&book), in_force(&log.book));
}

#[test]
fn contracts_survive_a_gap_without_carry_records() {
    // No node could append for the whole retention, so all records have left the log. A node that
    // still has the contracts must keep them and carry them forward again.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut survivor = log.book.clone();
    log.fill(5);
    // The gap is reported without the log's next offset, which arrives with the next reply.
    survivor.restart_at(4, 4);
    assert!(!survivor.is_complete());
    survivor.on_log_head(6);
    log.read(&mut survivor);
    assert!(survivor.is_complete());
    assert_eq!(in_force(&survivor), ["ash v1 live"]);
    assert!(!survivor.take_findings().is_empty());

    let mut fresh = log.reader_from(4);
    assert_eq!(in_force(&fresh), Vec::<String>::new());
    let due = survivor.due_carries(&window(4, Duration::ZERO));
    assert_eq!((due.records.len(), due.late), (1, 1));
    log.append(due.records[0].encode());
    log.read(&mut fresh);
    assert_eq!(in_force(&fresh), ["ash v1 live"]);
}

#[test]
fn late_carry_record_replaces_assumed_state() {
    // A reader misses an amendment, and the record that carries it lies after the head at which the
    // reader considered its state complete. The carry record must replace the assumed state.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut slow = log.book.clone();
    log.put("ash", 2);
    log.fill(2);
    slow.restart_at(3, 4);
    log.read(&mut slow);
    assert_eq!(in_force(&slow), ["ash v1 live"]);
    let record = carry(&log.book, &["ash"]);
    log.append(record.encode());
    log.read(&mut slow);
    assert_eq!(in_force(&slow), ["ash v2 live"]);
    assert!(slow.needs_rebuild());
}

#[test]
fn dropped_tombstone_does_not_allow_late_creation() {
    // Removals are retained for a fixed number of records, and older creations are always refused.
    // Readers with and without the tombstone must therefore agree on a late copy of a creation.
    let mut log = TestLog::default();
    let creation = log.draft("ash", 1);
    log.append(creation.encode());
    log.remove("ash");
    let entries = log.book.snapshot().entries;
    let late = 2 + TOMBSTONE_SPAN;
    let mut with_tombstone = ContractBook::new();
    with_tombstone.adopt(&BookSnapshot::seal(late - 1, true, entries));
    assert_eq!(in_force(&with_tombstone), ["ash v2 removed"]);
    let mut without_tombstone = ContractBook::new();
    without_tombstone.adopt(&BookSnapshot::seal(late - 1, true, Vec::new()));
    for book in [&mut with_tombstone, &mut without_tombstone] {
        book.apply(late - 1, b"{}");
        let outcome = book.apply(late, &creation.encode());
        assert!(matches!(
            outcome,
            ApplyOutcome::Rejected { .. } | ApplyOutcome::Repeated { .. }
        ));
        assert_eq!(in_force(book), Vec::<String>::new());
    }
}

#[test]
fn few_of_many_nodes_carry_state_in_time() {
    // 200 nodes read the same log. They must not all append carry records at once, which would
    // exhaust the log's append rate, nor all wait for each other.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.fill(99);
    let hour = Duration::from_hours(1);
    let mut appended = Vec::new();
    for step in 0..168 {
        for node in 0..200 {
            let name = format!("node-{node}");
            let window = CarryWindow::new(NodeId::of(&name), 0, hour * step, RETENTION);
            for record in log.book.due_carries(&window).records {
                log.append(record.encode());
                appended.push(step);
            }
        }
    }
    // One node renews the proof each time, soon after a third of the retention.
    insta::assert_debug_snapshot!(appended);
}

#[test]
fn state_near_oldest_record_is_carried_despite_clock_skew() {
    // A stamp far in the future would make a proof look new forever, but its record still leaves
    // the log.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.fill(99);
    let none = log.book.due_carries(&window(0, Duration::ZERO));
    assert!(none.records.is_empty());
    let due = log.book.due_carries(&window(1, Duration::ZERO));
    assert_eq!(due.records.len(), 1);
    assert_eq!(due.records[0].as_of, 100);
    let skewed = draft(&log.book, "birch", 1);
    let mut log = TestLog::default();
    let mut skewed = skewed;
    skewed.stamp = RETENTION * 1000;
    skewed.seen = 0;
    log.append(skewed.encode());
    log.fill(99);
    let due = log.book.due_carries(&window(0, Duration::ZERO));
    assert_eq!(due.records.len(), 1);
}

#[test]
fn entries_are_batched_into_records() {
    let mut log = TestLog::default();
    let names: Vec<String> = (0..100)
        .map(|number| format!("customer-{number}"))
        .collect();
    for name in &names {
        log.put(name, 1);
    }
    let late = RETENTION;
    let due = log.book.due_carries(&window(0, late).limit(80));
    let sizes: Vec<usize> = due
        .records
        .iter()
        .map(|record| record.entries.len())
        .collect();
    assert_eq!(sizes, [64, 16]);
    for record in due.records {
        let bytes = record.encode();
        assert_eq!(LogRecord::decode(&bytes), Ok(LogRecord::Carry(record)));
        log.append(bytes);
    }
    let left = log.book.due_carries(&window(0, late));
    let entries: Vec<&BookEntry> = left
        .records
        .iter()
        .flat_map(|record| &record.entries)
        .collect();
    assert_eq!(entries.len(), 20);
    assert_eq!(version(&log.book, "customer-7"), ContractVersion(8));
}

#[test]
fn carry_records_stay_below_maximum_size() {
    let mut log = TestLog::default();
    for customer in 0_u32..10 {
        let name = format!("customer-{customer}");
        let mut large = contract(&name, 1);
        for number in 0_u32..500 {
            large.tokens.push(ClientAccount {
                id: format!("account-{number}").into(),
                sha256: ContentDigest::of(&[customer, number].map(u32::to_be_bytes).concat()),
                role: None,
            });
        }
        let action = ChangeAction::put(&large);
        let id = ChangeId(u128::from(customer));
        let draft = log.book.draft(id, &CustomerName::new(&name), action);
        log.append(draft.author("ann", "red").build().encode());
    }
    let due = log.book.due_carries(&window(0, RETENTION));
    let sizes: Vec<usize> = due
        .records
        .iter()
        .map(|record| record.encode().len())
        .collect();
    assert!(sizes.len() > 2, "{sizes:?}");
    assert!(
        sizes.iter().all(|size| *size < MAX_RECORD_BYTES / 4),
        "{sizes:?}"
    );
}
