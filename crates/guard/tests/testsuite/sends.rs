//! Failures that concern one key: slow and lost replies, concurrent sends, cuts, crashes.

use insta::assert_snapshot;
use sycamorelink_core::{AttemptId, CustomerName, RequestId};
use sycamorelink_guard::message::{SeatVerdict, WorkState};
use sycamorelink_guard::{GuardEvent, GuardMessage, KeyId, KeyTime, RangeGeneration};

use crate::fleet::{EPOCH, ms};
use crate::session::FaultSession;

/// The backend server takes longer than the caller waits. The caller gets "unknown" and resends the
/// booking through another daemon, which learns of the attempt from the seats, waits for its
/// executor and returns the reply of the first run.
#[test]
fn resend_after_slow_reply_waits_for_first_run() {
    let mut session = FaultSession::open(5);
    session.fleet.backend.service = (600, 600);
    let others = session.others(0);
    let key = session.key(1);
    session.send(0xa1, key, others[0], 0, 300);
    session.wait(350);
    session.send(0xa2, key, others[1], 1, 2_000);
    session.wait(2_500);
    assert_snapshot!(session.finish());
}

/// A caller sends the same booking through two daemons at the same time, and each of them holds the
/// grant of one seat. The attempt with the lower id continues, the other is withdrawn and its
/// request waits. The booking runs once, and both sends get the reply.
#[test]
fn concurrent_sends_run_once() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let key = session.key(1);
    session.send(0xb2, key, seats[0], 0, 2_000);
    session.send(0xb1, key, seats[1], 1, 2_000);
    session.wait(2_500);
    assert_snapshot!(session.finish());
}

/// The booking runs, but a one-way cut keeps its reply from the ingress. The ingress queries the
/// executor through a relay and answers with the reply. After the executor is lost, a resend still
/// gets the reply from the seats.
#[test]
fn lost_reply_is_stored_at_seats() {
    let mut session = FaultSession::open(5);
    let others = session.others(0);
    let key = session.key(1);
    session.fleet.cuts.insert((others[0], others[1]));
    session.send(0xc1, key, others[1], others[0], 4_000);
    session.wait(4_500);
    session.fleet.cuts.clear();
    session.fleet.kill(others[0]);
    session.fleet.replace(others[0]);
    session.wait(1_000);
    session.send(0xc2, key, others[1], 0, 2_000);
    session.wait(500);
    assert_snapshot!(session.finish());
}

/// A one-way cut keeps the dispatch from the executor. The ingress has the attempt fenced through a
/// relay before it tries another executor.
#[test]
fn lost_dispatch_is_fenced_before_redirect() {
    let mut session = FaultSession::open(5);
    let others = session.others(0);
    let key = session.key(1);
    session.fleet.cuts.insert((others[0], others[1]));
    session.send(0xd1, key, others[0], others[1], 4_000);
    session.wait(4_500);
    assert_snapshot!(session.finish());
}

/// A dispatch is delayed, its ingress is paused, and the caller resends the booking through another
/// daemon. That daemon has the attempt fenced and runs the booking at another executor. The first
/// executor must refuse the delayed dispatch.
#[test]
fn late_dispatch_of_fenced_attempt_is_refused() {
    let mut session = FaultSession::open(6);
    let others = session.others(0);
    let key = session.key(1);
    session.send(0xaa, key, others[0], others[1], 4_000);
    session.wait(3);
    session.fleet.faults.delay = (2_500, 2_500);
    session.wait(2);
    session.fleet.faults.delay = (2, 2);
    session.fleet.freeze(others[0]);
    session.send(0xab, key, others[2], others[2], 2_000);
    session.wait(4_000);
    assert_snapshot!(session.finish());
}

/// The last grant arrives exactly at the deadline. The ingress must not dispatch the request, and
/// answers "not run".
#[test]
fn grant_at_deadline_is_not_dispatched() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    for seat in &seats {
        session.fleet.cuts.insert((*seat, ingress));
    }
    let key = session.key(1);
    session.send(0xba, key, ingress, ingress, 40);
    let process = session.fleet.process_at[ingress];
    let deadline = session.fleet.now + ms(40);
    let mut out = Vec::new();
    for (seat, early) in seats.into_iter().zip([2, 1, 0]) {
        let from = session.fleet.instance(seat);
        let message = GuardMessage::ClaimReply {
            key,
            attempt: AttemptId {
                request: RequestId(0xba),
                number: 0,
            },
            generation: RangeGeneration::default(),
            verdict: SeatVerdict::Granted,
        };
        let guard = &mut session.fleet.processes[process].guard;
        let event = GuardEvent::Message { from, message };
        guard.handle(deadline.saturating_sub(ms(early)), event, &mut out);
    }
    let texts: Vec<String> = out.iter().filter_map(crate::trace_text::command).collect();
    assert!(
        texts.contains(&"Answer ba: not-run guards-unreachable".to_owned()),
        "{texts:?}"
    );
    assert!(
        !texts.iter().any(|text| text.starts_with("Grant")),
        "{texts:?}"
    );
}

/// The dispatch was lost, and the executor's confirmation of the fence arrives exactly at the
/// deadline. The ingress answers "not run" once and must not offer the request to another executor.
#[test]
fn fence_at_deadline_answers_not_run() {
    let mut session = FaultSession::open(5);
    let others = session.others(0);
    let key = session.key(1);
    session.isolate(others[1], &[0, 1, 2, 3, 4]);
    session.send(0xca, key, others[0], others[1], 2_000);
    let deadline = session.fleet.now + ms(2_000);
    session.wait(1_900);
    let from = session.fleet.instance(others[1]);
    let message = GuardMessage::InquireReply {
        key,
        attempt: AttemptId {
            request: RequestId(0xca),
            number: 0,
        },
        state: WorkState::Fenced,
    };
    let process = session.fleet.process_at[others[0]];
    let event = GuardEvent::Message { from, message };
    let mut out = Vec::new();
    session.fleet.processes[process]
        .guard
        .handle(deadline, event, &mut out);
    let texts: Vec<String> = out.iter().filter_map(crate::trace_text::command).collect();
    assert!(
        texts.contains(&"Answer ca: not-run deadline-exceeded".to_owned()),
        "{texts:?}"
    );
    assert!(
        !texts.iter().any(|text| text.starts_with("Reoffer")),
        "{texts:?}"
    );
}

/// The ingress cannot reach one seat, and another seat cannot reach the ingress. Claims and replies
/// are relayed through other daemons, and the booking runs.
#[test]
fn one_way_cuts_are_bypassed_by_relays() {
    let mut session = FaultSession::open(5);
    let seats = session.seats(0);
    let ingress = session.others(0)[0];
    let key = session.key(1);
    session.fleet.cuts.insert((ingress, seats[0]));
    session.fleet.cuts.insert((seats[1], ingress));
    session.send(0xe1, key, ingress, ingress, 3_000);
    session.wait(3_500);
    assert_snapshot!(session.finish());
}

/// The backend server crashes while it runs the booking, so the effect of the booking is unknown.
/// The send and its resend are answered "unknown", and the booking never runs again.
#[test]
fn backend_server_crash_closes_the_key() {
    let mut session = FaultSession::open(5);
    let others = session.others(0);
    let key = session.key(1);
    session.fleet.backend.crash = 1.0;
    session.send(0xf1, key, others[0], others[1], 2_000);
    session.wait(500);
    session.fleet.backend.crash = 0.0;
    session.send(0xf2, key, others[1], 0, 2_000);
    session.wait(500);
    assert_snapshot!(session.finish());
}

/// The executor's instance is lost while it runs the booking, and another one starts at its address
/// without state. The caller gets "unknown", and a resend never runs.
#[test]
fn lost_executor_makes_key_unknown() {
    let mut session = FaultSession::open(5);
    let others = session.others(0);
    let key = session.key(1);
    session.fleet.backend.service = (3_000, 3_000);
    session.send(0x11, key, others[0], others[1], 4_000);
    session.wait(100);
    session.fleet.kill(others[1]);
    session.wait(300);
    session.fleet.replace(others[1]);
    session.wait(4_000);
    session.send(0x12, key, others[0], 0, 2_000);
    session.wait(500);
    assert_snapshot!(session.finish());
}

/// Every backend server refuses the booking before it starts. The caller gets "not run", and the
/// released key runs on the next send.
#[test]
fn refused_key_runs_on_next_send() {
    let mut session = FaultSession::open(5);
    let others = session.others(0);
    let key = session.key(1);
    session.fleet.backend.refuse = 1.0;
    session.send(0x21, key, others[0], others[1], 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x21), "not-run by the executor");
    session.fleet.backend.refuse = 0.0;
    session.send(0x22, key, others[1], 0, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x22), "ran by the executor");
    session.finish();
}

/// A caller reuses a key for another booking, another customer uses the same key text, and a third
/// caller sends a key older than the retention. The first is refused as "not run", the second runs,
/// and the third is "unknown" because the record of an earlier send may have been dropped.
#[test]
fn reused_foreign_and_expired_keys() {
    let mut session = FaultSession::open(5);
    let time = session.key(1).time;
    let mine = KeyId::of(&CustomerName::new("brannock"), "order-7", time);
    let theirs = KeyId::of(&CustomerName::new("moreton"), "order-7", time);
    session.send_body(0x31, mine, 1, 0, 1, 2_000);
    session.wait(200);
    session.send_body(0x32, mine, 2, 2, 3, 2_000);
    session.send_body(0x33, theirs, 1, 2, 3, 2_000);
    let hours = u64::try_from(EPOCH.as_millis()).unwrap_or_default() - 25 * 3_600_000;
    let old = KeyId {
        hash: 7,
        time: KeyTime::Timed(hours),
    };
    session.send(0x34, old, 2, 3, 2_000);
    session.wait(500);
    assert_eq!(session.answer(0x31), "ran by the executor");
    assert_eq!(session.answer(0x32), "not-run key-reused");
    assert_eq!(session.answer(0x33), "ran by the executor");
    assert_eq!(session.answer(0x34), "unknown key-expired");
    session.finish();
}
