//! Acceptance and rejection of changes.

use insta::assert_snapshot;
use sycamorelink_contract::book::RejectedChange;
use sycamorelink_contract::change::MAX_RECORD_BYTES;
use sycamorelink_contract::{
    ApplyOutcome, ChangeAction, ChangeId, ChangeOutcome, ClientAccount, ContentDigest,
    ContractBook, ContractChange, ContractText, ContractVersion, RejectReason,
};
use sycamorelink_core::CustomerName;

use crate::common::{TestLog, carry, contract, in_force, version};

fn reason(outcome: &ApplyOutcome) -> String {
    match outcome {
        ApplyOutcome::Rejected { reason, .. } => reason.to_string(),
        other => format!("{other:?}"),
    }
}

#[test]
fn first_of_concurrent_changes_wins() {
    // Two operators amend the same version concurrently. Every reader must reject the second
    // change in the log, and the outcome must name the first one as the conflicting version.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let first = log.draft("ash", 10);
    let second = ContractChange {
        author: "bob".into(),
        ..log.draft("ash", 20)
    };
    log.append(first.encode());
    let lost = log.append(second.encode());
    assert_snapshot!(reason(&lost), @"amends another version than v2 by ann, which is in force");
    let Some(ChangeOutcome::Rejected { winner, .. }) = log.book.change_outcome(second.id) else {
        panic!("the second change must be rejected");
    };
    assert_eq!(winner.map(|winner| winner.change), Some(first.id));

    let mut other = ContractBook::new();
    let outcomes = log.read(&mut other);
    assert_eq!(outcomes.last(), Some(&lost));
    assert_eq!(other.entry("ash"), log.book.entry("ash"));
}

fn rejection_line(rejected: &RejectedChange) -> String {
    let (place, base) = (rejected.place, rejected.base);
    format!(
        "{place} on {base} by {}: {}",
        rejected.author, rejected.reason
    )
}

#[test]
fn history_contains_bases_and_rejections() {
    let mut log = TestLog::default();
    log.put("ash", 1);
    let late = ContractChange {
        author: "bob".into(),
        ..log.draft("ash", 20)
    };
    log.put("ash", 2);
    log.append(late.encode());
    log.append(late.encode());
    log.remove("ash");
    let bases: Vec<_> = log.book.history("ash").map(|item| item.base).collect();
    assert_eq!(bases, [0, 1, 2].map(|base| Some(ContractVersion(base))));
    let rejected: Vec<String> = log.book.rejected("ash").map(rejection_line).collect();
    insta::assert_debug_snapshot!(rejected, @r#"
    [
        "v3 on v1 by bob: amends another version than v2 by ann, which is in force",
    ]
    "#);
    assert_eq!(log.book.rejected("oak").count(), 0);
}

#[test]
fn outcome_of_lost_append_reply_is_found_by_change_id() {
    // The append succeeded but its reply was lost. The author queries the outcome by id. If the
    // author appends the change again, the outcome is that of the first copy.
    let mut log = TestLog::default();
    let change = log.draft("ash", 1);
    assert_eq!(log.book.change_outcome(change.id), None);
    log.append(change.encode());
    let accepted = ChangeOutcome::Accepted {
        version: ContractVersion(1),
    };
    assert_eq!(log.book.change_outcome(change.id), Some(accepted.clone()));
    log.put("ash", 2);
    let repeated = ApplyOutcome::Repeated {
        change: change.id,
        first: accepted,
    };
    assert_eq!(log.append(change.encode()), repeated);
    assert_eq!(in_force(&log.book), ["ash v2 live"]);
}

#[test]
fn late_copy_of_creation_does_not_restore_customer() {
    // A client that never received the reply appends its creation again after the customer was
    // removed. A check that only requires that no contract is in force would restore the customer.
    let mut log = TestLog::default();
    let creation = log.draft("ash", 1);
    log.append(creation.encode());
    log.remove("ash");
    log.append(creation.encode());
    assert_eq!(in_force(&log.book), ["ash v2 removed"]);
    // A copy with another id must be rejected too, independently of the retained outcomes.
    let copy_with_new_id = ContractChange {
        id: ChangeId(77),
        ..creation
    };
    let outcome = log.append(copy_with_new_id.encode());
    assert_snapshot!(
        reason(&outcome),
        @"the customer was removed by ann at v2, after this creation was made"
    );
    // An author that has seen the removal may create the customer again.
    log.put("ash", 3);
    assert_eq!(in_force(&log.book), ["ash v5 live"]);
}

#[test]
fn invalid_records_do_not_stop_the_replay() {
    // The log contains garbage, foreign records, a newer format, a huge record and invalid
    // contracts. If one of them stopped the replay, no later change of any customer would come
    // into force.
    let mut log = TestLog::default();
    log.put("ash", 1);
    let broken = |text: &str| {
        let value = serde_json::from_str(text).expect("JSON");
        ChangeAction::Put {
            contract: ContractText::of_value(&value),
        }
    };
    let change = |action: ChangeAction| {
        let customer = CustomerName::new("birch");
        let draft = log.book.draft(ChangeId(5), &customer, action);
        draft.author("ann", "red").build()
    };
    let good = change(ChangeAction::put(&contract("birch", 1)));
    let text = String::from_utf8(good.encode()).expect("UTF-8");
    let deep = "[".repeat(100_000);
    let records = [
        b"\xff\x00".to_vec(),
        Vec::new(),
        deep.into_bytes(),
        b"[1, 2]".to_vec(),
        b"{\"format\": 1}".to_vec(),
        b"{\"format\": \"1\", \"kind\": \"change\"}".to_vec(),
        b"{\"format\": 1, \"kind\": \"lease\"}".to_vec(),
        b"{\"format\": 2, \"kind\": \"change\"}".to_vec(),
        b"{\"format\": 1, \"kind\": \"change\", \"id\": 7}".to_vec(),
        text.replace("\"author\"", "\"author\":\"x\",\"more\"")
            .into_bytes(),
        vec![b' '; 2 << 20],
        change(broken("{\"customer\": \"birch\"}")).encode(),
        change(ChangeAction::put(&contract("cedar", 1))).encode(),
        change(ChangeAction::Remove).encode(),
        ContractChange {
            seen: 1 << 40,
            ..good.clone()
        }
        .encode(),
        ContractChange {
            base: ContractVersion(9),
            seen: 9,
            ..good.clone()
        }
        .encode(),
        ContractChange {
            author: "".into(),
            ..good.clone()
        }
        .encode(),
        ContractChange {
            team: "blue".into(),
            ..good.clone()
        }
        .encode(),
    ];
    let mut lines = Vec::new();
    for (number, record) in records.into_iter().enumerate() {
        // Each change needs its own id, or it would count as a copy of the previous one.
        let own = format!("{:032x}", 1000 + number);
        let same = format!("{:032x}", 5);
        let record = match String::from_utf8(record) {
            Ok(text) => text.replace(&same, &own).into_bytes(),
            Err(error) => error.into_bytes(),
        };
        lines.push(reason(&log.append(record)));
    }
    assert_snapshot!(lines.join("\n"));
    assert_eq!(log.book.future_records(), 1);
    log.put("birch", 2);
    assert_eq!(in_force(&log.book), ["ash v1 live", "birch v20 live"]);
}

#[test]
fn snapshot_after_unsupported_format_is_incomplete() {
    // After a record in an unsupported format, this node's state may be outdated. Its snapshot must
    // not be marked as complete, or other nodes would adopt it as their base.
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.append(b"{\"format\": 2, \"kind\": \"change\"}".to_vec());
    let snapshot = log.book.snapshot();
    assert!(!snapshot.whole);
    let mut fresh = ContractBook::new();
    let outcome = fresh.adopt(&snapshot);
    assert!(!outcome.moved);
    assert_eq!(fresh.next_offset(), 0);
}

#[test]
fn rollback_creates_new_version_with_own_content() {
    let mut log = TestLog::default();
    log.put("ash", 1);
    log.put("ash", 2);
    let action = ChangeAction::RollBack {
        to: ContractVersion(1),
        contract: ContractText::of(&contract("ash", 1)),
    };
    let draft = log
        .book
        .draft(ChangeId(9), &CustomerName::new("ash"), action);
    let change = draft.author("ann", "red").build();
    assert_eq!(log.book.preview(&change), Ok(()));
    log.append(change.encode());
    assert_eq!(version(&log.book, "ash"), ContractVersion(3));
    let digests: Vec<_> = log.book.history("ash").map(|item| item.digest).collect();
    assert_eq!(digests.len(), 3);
    assert_eq!(digests[0], digests[2]);
    let stale = ContractChange {
        id: ChangeId(10),
        ..change
    };
    let refused = log.book.preview(&stale);
    assert!(matches!(refused, Err(RejectReason::BaseTaken(_))));
}

#[test]
fn clock_skew_does_not_affect_the_order() {
    // One author's clock is years ahead and another's is at zero. Only the log order may count.
    let mut log = TestLog::default();
    let ahead = ContractChange {
        stamp: std::time::Duration::from_secs(1 << 40),
        ..log.draft("ash", 1)
    };
    log.append(ahead.encode());
    log.put("ash", 2);
    let mut record = carry(&log.book, &["ash"]);
    record.stamp = std::time::Duration::from_secs(1 << 40);
    log.put("ash", 3);
    log.append(record.encode());
    assert_eq!(in_force(&log.book), ["ash v3 live"]);
    assert_eq!(in_force(&log.reader_from(0)), ["ash v3 live"]);
}

#[test]
fn findings_of_rejected_contract_are_bounded() {
    // Outcomes of rejected changes are retained. Contracts with thousands of errors could otherwise
    // exhaust the memory of every node.
    let mut log = TestLog::default();
    let mut value = serde_json::to_value(contract("ash", 1)).expect("JSON");
    for number in 0..100 {
        value[format!("unknown-{number}")] = number.into();
    }
    let action = ChangeAction::Put {
        contract: ContractText::of_value(&value),
    };
    let draft = log
        .book
        .draft(ChangeId(1), &CustomerName::new("ash"), action);
    let change = draft.author("ann", "red").build();
    let preview = log.book.preview(&change);
    assert!(matches!(preview, Err(RejectReason::InvalidContract(_))));
    let outcome = log.append(change.encode());
    let ApplyOutcome::Rejected {
        reason: RejectReason::InvalidContract(findings),
        ..
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(findings.0.len(), 16);
}

#[test]
fn contract_too_large_for_carry_record_is_rejected() {
    // A contract of nearly the maximum record size fits into a change record but not into a carry
    // record. It would be lost when the change record leaves the log.
    let mut log = TestLog::default();
    let mut large = contract("ash", 1);
    for number in 0_u32..8_500 {
        large.tokens.push(ClientAccount {
            id: format!("account-{number}").into(),
            sha256: ContentDigest::of(&number.to_be_bytes()),
            role: None,
        });
    }
    let action = ChangeAction::put(&large);
    let draft = log
        .book
        .draft(ChangeId(1), &CustomerName::new("ash"), action);
    let change = draft.author("ann", "red").build();
    let bytes = change.encode();
    assert!(bytes.len() < MAX_RECORD_BYTES, "{}", bytes.len());
    let outcome = log.append(bytes);
    assert!(matches!(
        outcome,
        ApplyOutcome::Rejected {
            reason: RejectReason::ContractTooLarge(_),
            ..
        }
    ));
}
