//! Shares of bookings that succeed, are refused or end as unknown under a single failure, and the
//! cost of a booking in messages.
//!
//! `cargo test -p sycamorelink-guard shares -- --nocapture` prints the tables.

use std::sync::Arc;

use rand::Rng;
use sycamorelink_core::{AttemptId, RequestId, RunState, stable_hash};
use sycamorelink_guard::store::RecordedOutcome;
use sycamorelink_guard::{
    AttemptHolder, GuardEvent, GuardMessage, GuardSettings, KeyFingerprint, KeyId, KeyTime,
};

use crate::fleet::{BackendBehaviour, CallerSend, EPOCH, FakeFleet, LinkFaults, ms, test_settings};

/// Interval between two bookings, in milliseconds.
const BOOKING_INTERVAL: u64 = 5;
/// Number of bookings in one run.
const BOOKINGS: u64 = 4_000;
/// Number of bookings before the failure.
const FAILURE_AT: u64 = 1_000;
/// Deadline of a caller, in milliseconds.
const CALLER_TIMEOUT: u64 = 5_000;

/// Answers to the callers in one run.
#[derive(Debug, Default)]
struct ShareCount {
    succeeded: u64,
    not_run: u64,
    unknown: u64,
    /// Answered "unknown" although the booking ran: its executor was lost while it was in flight.
    in_flight: u64,
    /// Without an answer: the daemon that accepted the request was lost.
    unanswered: u64,
    messages: u64,
}

/// Sends bookings at a steady rate and calls `fail` once during the run.
fn measure<F>(nodes: usize, fail: F) -> ShareCount
where
    F: Fn(&mut FakeFleet),
{
    let settings = GuardSettings {
        ranges: 64,
        ..test_settings()
    };
    let mut fleet = FakeFleet::founded(nodes, 3, settings, 5);
    fleet.faults = LinkFaults {
        delay: (1, 2),
        ..LinkFaults::default()
    };
    fleet.backend = BackendBehaviour {
        service: (10, 60),
        ..BackendBehaviour::default()
    };
    let mut sent = Vec::new();
    let before = fleet.messages;
    for number in 0..BOOKINGS {
        if number == FAILURE_AT {
            fail(&mut fleet);
        }
        sent.extend(send_booking(&mut fleet, nodes));
        fleet.run_for(ms(BOOKING_INTERVAL));
    }
    let messages = fleet.messages - before;
    fleet.run_for(ms(CALLER_TIMEOUT + 1_000));
    assert_eq!(fleet.oracle.violations, Vec::<String>::new());
    let mut count = ShareCount {
        messages,
        ..ShareCount::default()
    };
    for request in sent {
        count.add(&fleet, request);
    }
    count
}

fn send_booking(fleet: &mut FakeFleet, nodes: usize) -> Option<RequestId> {
    let node = fleet.rng.random_range(0..nodes);
    let hash = fleet.rng.random();
    let send = CallerSend {
        request: RequestId(fleet.rng.random()),
        key: fleet.fresh_key(hash),
        body: 1,
        executor: fleet.any_executor(),
        timeout: ms(CALLER_TIMEOUT),
    };
    fleet.send(node, &send).then_some(send.request)
}

impl ShareCount {
    fn add(&mut self, fleet: &FakeFleet, request: RequestId) {
        let send = &fleet.oracle.sends[&request];
        match fleet.oracle.answer_of(request).map(|answer| answer.run) {
            Some(RunState::Ran) => self.succeeded += 1,
            Some(RunState::NotRun) => self.not_run += 1,
            Some(RunState::Unknown) if fleet.oracle.runs.contains_key(&send.key) => {
                self.in_flight += 1;
            }
            Some(RunState::Unknown) => self.unknown += 1,
            None => self.unanswered += 1,
        }
    }

    fn line(&self, name: &str) -> String {
        let answered = self.succeeded + self.not_run + self.unknown + self.in_flight;
        let share = |part: u64| f64::from(u32::try_from(part * 100_000 / answered).unwrap_or(0));
        format!(
            "| {name} | {answered} | {:.2}% | {:.2}% | {:.2}% | {} | {} | {:.1} |",
            share(self.succeeded) / 1_000.0,
            share(self.not_run) / 1_000.0,
            share(self.unknown) / 1_000.0,
            self.in_flight,
            self.unanswered,
            share(self.messages) / 100_000.0,
        )
    }
}

/// Measures the shares under one failure at a time, in a fleet of nine daemons in three failure
/// domains with 64 ranges. The log is down in all runs but the first and the last; callers wait up
/// to five seconds.
#[test]
fn shares_by_failure() {
    let down = |fleet: &mut FakeFleet| fleet.set_log(false);
    let lose = |fleet: &mut FakeFleet, node: usize| {
        fleet.kill(node);
        fleet.run_for(ms(400));
        fleet.replace(node);
    };
    let quiet = measure(9, |_| {});
    let log = measure(9, down);
    let killed = measure(9, |fleet| {
        down(fleet);
        fleet.kill(3);
    });
    let replaced = measure(9, |fleet| {
        down(fleet);
        lose(fleet, 3);
    });
    let frozen = measure(9, |fleet| {
        down(fleet);
        fleet.freeze(3);
    });
    let cut = measure(9, |fleet| {
        down(fleet);
        fleet.cuts.extend([(0, 4), (5, 1), (7, 8)]);
    });
    let drained = measure(9, |fleet| {
        down(fleet);
        fleet.drain(3);
    });
    let domain = measure(9, |fleet| {
        down(fleet);
        for node in [0, 3, 6] {
            fleet.kill(node);
        }
    });
    let two = measure(9, |fleet| {
        for node in [3, 4] {
            fleet.kill(node);
        }
        fleet.run_for(ms(400));
        for node in [3, 4] {
            fleet.replace(node);
        }
    });
    println!(
        "| failure | answered | through | not run | unknown | in flight | cut off | messages |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    println!("{}", quiet.line("none"));
    println!("{}", log.line("log down"));
    println!("{}", killed.line("log down, a daemon lost"));
    println!("{}", replaced.line("log down, a daemon replaced at once"));
    println!("{}", frozen.line("log down, a daemon paused"));
    println!("{}", cut.line("log down, three links cut one way"));
    println!("{}", drained.line("log down, a daemon drained"));
    println!("{}", domain.line("log down, a failure domain lost"));
    println!(
        "{}",
        two.line("two daemons in different domains replaced at once")
    );
    assert_eq!(
        killed.unknown, 0,
        "unknown only in flight on the lost instance"
    );
    assert_eq!(
        quiet.succeeded, BOOKINGS,
        "nothing fails, nothing is refused"
    );
    assert_eq!(
        log.succeeded, BOOKINGS,
        "the log takes no part in a booking"
    );
}

/// Measures the memory per key at a seat, without and with a reply of 200 bytes. The figures are
/// valid only if the test runs alone:
/// `cargo test -p sycamorelink-guard bytes_per_key -- --nocapture`.
#[test]
fn bytes_per_key() {
    let (_kept, without) = fill_seat(None);
    let (_kept_too, with) = fill_seat(Some(&[7_u8; 200]));
    println!("resident bytes a key: {without} without a reply, {with} with one");
}

fn fill_seat(reply: Option<&[u8]>) -> (FakeFleet, usize) {
    const KEYS: usize = 50_000;
    let settings = GuardSettings {
        max_keys: 4 * KEYS,
        reply_budget: 4 * KEYS * 200,
        ..test_settings()
    };
    let mut fleet = FakeFleet::founded(1, 1, settings, 5);
    let guard = &mut fleet.processes[0].guard;
    let from = guard.identity().instance;
    let stamp_ms = u64::try_from(EPOCH.as_millis()).unwrap_or_default();
    let mut out = Vec::new();
    let before = resident_bytes();
    for number in 0..KEYS {
        let hash = u128::from(stable_hash(&[&number.to_le_bytes()])) << 64;
        let time = KeyTime::Timed(stamp_ms);
        let request = RequestId(hash);
        let message = GuardMessage::Record {
            key: KeyId { hash, time },
            fingerprint: KeyFingerprint(hash),
            holder: AttemptHolder {
                attempt: AttemptId { request, number: 0 },
                ingress: from,
                executor: from,
                stamp_ms,
            },
            outcome: RecordedOutcome::Ran(reply.map(Arc::from)),
        };
        guard.handle(ms(5_000), GuardEvent::Message { from, message }, &mut out);
        out.clear();
    }
    assert_eq!(guard.counts().keys, KEYS);
    let bytes = resident_bytes().saturating_sub(before) / KEYS;
    (fleet, bytes)
}

/// Returns the resident memory of this process in bytes, or zero where `/proc` is not available.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse().ok());
    pages.unwrap_or(0_usize) * 4_096
}
