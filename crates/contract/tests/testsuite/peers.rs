//! Contracts from peers, while the log is unavailable and after it becomes available again.

use std::time::Duration;

use insta::assert_snapshot;
use sycamorelink_contract::{
    BookEntry, BookSnapshot, CarryWindow, ChangeOutcome, ContractBook, ContractText,
    ContractVersion, PageRequest, SnapshotAssembly,
};
use sycamorelink_core::NodeId;

use crate::common::{TestLog, carry, contract, in_force, version};

/// Returns the book's snapshot with changed entries and valid digests, as from a faulty peer.
fn forge_snapshot<F>(book: &ContractBook, change: F) -> BookSnapshot
where
    F: Fn(&mut BookEntry),
{
    let mut entries = book.snapshot().entries;
    for part in &mut entries {
        change(&mut part.entry);
        let content = part.entry.contract.as_ref();
        part.entry.digest = content.map(ContractText::digest).unwrap_or_default();
    }
    BookSnapshot::seal(book.next_offset(), true, entries)
}

fn findings(book: &mut ContractBook) -> String {
    let findings = book.take_findings();
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn new_node_gets_newest_versions_from_peers_without_log() {
    // The log is unavailable. A new node adopts the snapshots of two peers, one of which is behind.
    // In either order, it must end with the newest version of each customer.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("birch", 1);
    let old = log.book.snapshot();
    log.put("ash", 2);
    log.remove("birch");
    let new = log.book.snapshot();
    for order in [[&old, &new], [&new, &old]] {
        let mut book = ContractBook::new();
        for snapshot in order {
            book.adopt(snapshot);
        }
        assert_eq!(in_force(&book), ["ash v3 live", "birch v4 removed"]);
        assert_eq!(book.next_offset(), 4);
    }
}

#[test]
fn older_version_is_never_adopted() {
    let mut log = TestLog::default();
    log.put("ash", 1);
    let old = log.book.snapshot();
    log.put("ash", 2);
    let outcome = log.book.adopt(&old);
    assert_eq!((outcome.taken.len(), outcome.kept), (0, 1));
    assert_eq!(in_force(&log.book), ["ash v2 live"]);
    // A peer that missed a removal must not undo it.
    log.remove("ash");
    log.book.adopt(&old);
    assert_eq!(in_force(&log.book), ["ash v3 removed"]);
}

#[test]
fn older_snapshot_does_not_replace_state_after_gap() {
    // After a gap, a reader adopts the snapshot of a peer. The snapshot has a later offset but an
    // older version of one customer and no entry of another.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("birch", 1);
    log.put("ash", 2);
    let mut reader = log.book.clone();
    reader.restart_at(5, 9);
    let mut peer = TestLog::default();
    peer.put("ash", 1);
    let snapshot = BookSnapshot::seal(9, true, peer.book.snapshot().entries);
    let outcome = reader.adopt(&snapshot);
    assert_eq!(in_force(&reader), ["ash v3 live", "birch v2 live"]);
    assert_snapshot!(outcome.findings, @"
    ash: offers v1, older than v3
    birch: lacks v2
    ");
}

#[test]
fn version_at_an_offset_already_read_is_refused() {
    // The reader has already read another record at that offset.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.fill(3);
    let forged_snapshot = forge_snapshot(&log.book, |entry| entry.version = ContractVersion(3));
    let outcome = log.book.adopt(&forged_snapshot);
    assert_eq!(in_force(&log.book), ["ash v1 live"]);
    assert_snapshot!(outcome.findings, @"ash: v3 was never taken by the log as read here");
}

#[test]
fn carry_record_between_two_snapshots_is_not_a_contradiction() {
    // While the log is unavailable, a node adopts two snapshots and misses a version in between.
    // Then it reads a record that carries that version. Compared with the incomplete history, the
    // record would look like a contradiction, and the older version would come into force.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut reader = ContractBook::new();
    reader.adopt(&log.book.snapshot());
    log.put("ash", 2);
    let between = carry(&log.book, &["ash"]);
    log.put("ash", 3);
    reader.adopt(&log.book.snapshot());
    log.append(between.encode());
    log.read(&mut reader);
    assert_eq!(in_force(&reader), ["ash v3 live"]);
    assert!(!reader.needs_rebuild());
}

#[test]
fn change_adopted_from_a_peer_has_an_outcome() {
    let mut log = TestLog::default();
    let change = log.draft("ash", 1);
    log.append(change.encode());
    let mut reader = ContractBook::new();
    reader.adopt(&log.book.snapshot());
    let accepted = ChangeOutcome::Accepted {
        version: ContractVersion(1),
    };
    assert_eq!(reader.change_outcome(change.id), Some(accepted));
}

#[test]
fn version_missing_in_the_log_is_dropped() {
    // A faulty peer spreads a version that is not in the log. It is in force while the log is
    // unavailable, because it cannot be verified. Afterwards the log's version replaces it, and
    // the peer's version is reported.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut reader = log.book.clone();
    let forged_snapshot = forge_snapshot(&log.book, |entry| {
        entry.version = ContractVersion(3);
        entry.contract = Some(ContractText::of(&contract("ash", 99)));
    });
    reader.adopt(&forged_snapshot);
    assert_eq!(in_force(&reader), ["ash v3 live"]);
    log.fill(1);
    log.put("birch", 1);
    log.read(&mut reader);
    assert_eq!(in_force(&reader), in_force(&log.book));
    assert_snapshot!(
        findings(&mut reader),
        @"ash: a peer spread v3 (change 00000000000000000000000000000001), which the log never took"
    );
}

#[test]
fn version_beyond_the_log_is_dropped_after_log_reply() {
    // A forged version far ahead would never be reached by reading. The log's next offset reveals
    // the forgery, but not in a reply that was in flight when the entry arrived.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut reader = log.book.clone();
    reader.adopt(&forge_snapshot(&log.book, |entry| {
        entry.version = ContractVersion(900);
    }));
    reader.on_log_head(1);
    assert_eq!(in_force(&reader), ["ash v900 live"]);
    reader.on_log_head(1);
    assert_eq!(in_force(&reader), ["ash v1 live"]);
    assert!(!findings(&mut reader).is_empty());
}

#[test]
fn carry_record_overrides_snapshot_base() {
    // The base came from a faulty peer, and its records are never read. When a correct carry record
    // contradicts the base, the log's state replaces it and the book requests a rebuild.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let mut reader = ContractBook::new();
    reader.adopt(&forge_snapshot(&log.book, |entry| {
        entry.contract = Some(ContractText::of(&contract("ash", 99)));
    }));
    let record = carry(&log.book, &["ash"]);
    log.append(record.encode());
    log.read(&mut reader);
    assert_eq!(reader.entry("ash"), log.book.entry("ash"));
    assert!(reader.needs_rebuild());
}

#[test]
fn contradicted_book_rebuilds_from_the_log() {
    // The base from a faulty peer has wrong content for one customer, lacks another and invents a
    // third. While the node reads the log again, the contracts in force stay in force, and the
    // faulty peer's snapshot cannot become the base again.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("birch", 1);
    log.put("ash", 2);
    let mut faulty_peer = TestLog::default();
    faulty_peer.put("cedar", 1);
    faulty_peer.put("ash", 99);
    faulty_peer.fill(2);
    let mut reader = ContractBook::new();
    reader.adopt(&faulty_peer.book.snapshot());
    let record = carry(&log.book, &["ash", "birch"]);
    log.fill(1);
    log.append(record.encode());
    log.read(&mut reader);
    assert!(reader.needs_rebuild());

    let held = in_force(&reader);
    reader.rebuild_at(0, log.head());
    assert_eq!(in_force(&reader), held);
    assert!(!reader.adopt(&faulty_peer.book.snapshot()).moved);
    log.read(&mut reader);
    assert_eq!(in_force(&reader), in_force(&log.book));
    assert!(reader.is_complete() && !reader.needs_rebuild());
    assert_eq!(reader.version_digest(), log.book.version_digest());
}

#[test]
fn snapshot_base_beyond_the_log_is_detected() {
    // A faulty peer claims to have read a million records of a log that has two. The node would
    // skip all records appended before the log reaches that offset.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let entries = log.book.snapshot().entries;
    let mut reader = ContractBook::new();
    reader.adopt(&BookSnapshot::seal(1_000_000, true, entries));
    assert_eq!(reader.next_offset(), 1_000_000);
    log.put("ash", 2);
    reader.on_log_head(log.head());
    assert!(!reader.needs_rebuild());
    reader.on_log_head(log.head());
    assert!(reader.needs_rebuild());
    reader.rebuild_at(0, log.head());
    log.read(&mut reader);
    assert_eq!(in_force(&reader), ["ash v2 live"]);
}

#[test]
fn peer_state_is_verified_before_it_is_carried() {
    // A node must not write forged state from a faulty peer into the log, because readers that
    // start later could not detect the forgery.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let retention = Duration::from_hours(168);
    let due = retention / 2;
    let window = CarryWindow::new(NodeId::of("one"), 0, due, retention);
    let mut reader = ContractBook::new();
    reader.adopt(&log.book.snapshot());
    let carries = reader.due_carries(&window);
    assert_eq!((carries.records.len(), &carries.checks[..]), (0, &[0][..]));
    reader.confirm(0, log.record(0));
    assert_eq!(reader.due_carries(&window).records.len(), 1);

    // If reading back has failed for a long time, losing the contract would be worse.
    let mut disconnected = ContractBook::new();
    disconnected.adopt(&log.book.snapshot());
    let late = CarryWindow::new(NodeId::of("one"), 0, retention, retention);
    assert_eq!(disconnected.due_carries(&late).records.len(), 1);

    // Once the original record has left the log, the newest carry record is read back instead.
    let record = carry(&log.book, &["ash"]);
    log.append(record.encode());
    let mut reader = ContractBook::new();
    reader.adopt(&log.book.snapshot());
    let window = CarryWindow::new(NodeId::of("one"), 1, due, retention);
    assert_eq!(reader.due_carries(&window).checks, [1]);
    reader.confirm(1, log.record(1));
    assert_eq!(reader.due_carries(&window).records.len(), 1);

    let mut misled_reader = ContractBook::new();
    misled_reader.adopt(&forge_snapshot(&log.book, |entry| {
        entry.contract = Some(ContractText::of(&contract("ash", 99)));
    }));
    misled_reader.confirm(0, log.record(0));
    assert!(misled_reader.needs_rebuild());
    assert_eq!(misled_reader.due_carries(&window).records.len(), 0);
}

#[test]
fn damaged_snapshots_are_refused() {
    let mut log = TestLog::default();
    log.put("ash", 1);
    let whole = log.book.snapshot();
    let text = serde_json::to_string(&whole).expect("JSON");
    let mut lines = Vec::new();
    let cases = [
        ("\"per_second\":1.0", "\"per_second\":2.0"),
        ("\"version\":1", "\"version\":2"),
        ("\"offset\":1", "\"offset\":2"),
        ("\"created\":1", "\"created\":7"),
        ("{\"customer\":\"ash\"", "{\"customer\":\"elm\""),
    ];
    for (right, wrong) in cases {
        let damaged = text.replacen(right, wrong, 1);
        assert_ne!(damaged, text);
        let snapshot: BookSnapshot = serde_json::from_str(&damaged).expect("a snapshot");
        let mut book = ContractBook::new();
        let outcome = book.adopt(&snapshot);
        assert_eq!(in_force(&book), Vec::<String>::new());
        lines.push(outcome.findings.to_string());
    }
    assert_snapshot!(lines.join("\n---\n"));
    let again: BookSnapshot = serde_json::from_str(&text).expect("a snapshot");
    assert_eq!(again, whole);
}

#[test]
fn peers_fetch_only_newer_entries() {
    let mut log = TestLog::default();
    for name in ["ash", "birch", "cedar"] {
        log.put(name, 1);
    }
    let mut peer = log.book.clone();
    assert_eq!(peer.version_digest(), log.book.version_digest());
    log.put("birch", 2);
    log.remove("cedar");
    assert_ne!(peer.version_digest(), log.book.version_digest());
    let known = ContractVersion(peer.next_offset());
    let newer: Vec<BookEntry> = log.book.entries_newer_than(known).cloned().collect();
    assert_eq!(newer.len(), 2);
    let all = log.book.entries_newer_than(ContractVersion::default());
    assert_eq!(all.count(), 3);
    let outcome = peer.adopt_entries(&newer);
    assert_eq!(outcome.taken.len(), 2);
    assert_eq!(in_force(&peer), in_force(&log.book));
    assert_eq!(
        peer.version_digest().digest,
        log.book.version_digest().digest
    );
    log.read(&mut peer);
    assert_eq!(peer.version_digest(), log.book.version_digest());
    assert_eq!(version(&peer, "birch"), ContractVersion(4));
}

#[test]
fn paged_snapshot_equals_the_book() {
    // A starting node fetches a large book page by page while its peers continue to read. Without
    // the final reply, the pages would miss changes made in between: an amendment of a customer on
    // an earlier page, a removal, and a new customer that sorts before that page.
    let mut log = TestLog::default();
    for number in 0..20 {
        log.put(&format!("customer-{number:02}"), 1);
    }
    let slow = log.book.clone();
    let mut assembly = SnapshotAssembly::default();
    let mut pages = 0;
    while let PageRequest::Page(after) = assembly.next_request() {
        let peer = if pages == 2 { &slow } else { &log.book };
        assembly.add(peer.page(after.as_ref(), 2000));
        pages += 1;
        log.put("customer-01", 10 + pages);
        log.put(&format!("a-customer-{pages}"), 1);
        if pages == 2 {
            log.remove("customer-00");
            log.remove("customer-19");
        }
    }
    assert!(pages > 3);
    let PageRequest::Newer(version) = assembly.next_request() else {
        panic!("only the newest is left to ask for");
    };
    let mut assembly = *assembly
        .finish(slow.newer(version))
        .expect_err("it is behind");
    assembly = *assembly
        .finish(slow.newer(version))
        .expect_err("it still is");
    let snapshot = assembly.finish(log.book.newer(version)).expect("the pages");
    let mut book = ContractBook::new();
    let outcome = book.adopt(&snapshot);
    assert_eq!(outcome.findings.0, []);
    assert!(outcome.moved);
    assert_eq!(in_force(&book), in_force(&log.book));
    assert_eq!(book.version_digest(), log.book.version_digest());
}
