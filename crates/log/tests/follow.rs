//! Following a stream through outages, trims and rewinds.

mod support;

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use support::{STREAM, run_local};
use sycamorelink_log::{
    AppendBudget, AppendPurpose, BackoffSettings, FollowEvent, FollowSettings, FollowStep,
    LogClient, LogError, LogFollower, LogPage, LogRecord, MemoryFault, MemoryLog, OutageBackoff,
};

fn record(offset: u64) -> LogRecord {
    LogRecord {
        offset,
        wall: Duration::ZERO,
        data: Bytes::from_static(b"x"),
    }
}

fn page(first: u64, next: u64, offsets: std::ops::Range<u64>) -> LogPage {
    LogPage {
        first,
        next,
        records: offsets.map(record).collect(),
    }
}

fn down() -> LogError {
    LogError::Unavailable {
        reason: "down".to_owned(),
    }
}

/// Runs a follower against a log that is down from `down_at` to `up_at`. Returns the number of
/// calls during the outage and the time from its end to the next call.
fn run_outage(down_at: Duration, up_at: Duration, seed: u64) -> (u32, Duration) {
    let mut follower = LogFollower::new(FollowSettings::default(), 0, seed);
    let mut now = down_at;
    let mut calls = 0;
    loop {
        match follower.step(now) {
            FollowStep::Read(_) if now >= up_at => return (calls, now.saturating_sub(up_at)),
            FollowStep::Read(_) => {
                calls += 1;
                follower.error(now, down());
            }
            FollowStep::Wait { until } => now = until,
            FollowStep::Busy => panic!("the answer was given"),
        }
    }
}

/// The recovery from a short outage is noticed in less than a second, and an outage of hours costs
/// one call per maximum delay.
#[test]
fn backoff_is_proportional_to_the_outage() {
    let mut table = String::new();
    for seconds in [1, 5, 9, 60, 3600, 6 * 3600] {
        let down_at = Duration::from_secs(100);
        let up_at = down_at + Duration::from_secs(seconds);
        let runs: Vec<_> = (0..200)
            .map(|seed| run_outage(down_at, up_at, seed))
            .collect();
        let calls = runs.iter().map(|run| run.0).max().unwrap();
        let delay = runs.iter().map(|run| run.1).max().unwrap();
        let _ = writeln!(
            table,
            "away {seconds} s: at most {calls} calls, {} ms late",
            delay.as_millis()
        );
        assert!(seconds >= 10 || delay < Duration::from_secs(1));
    }
    insta::assert_snapshot!(table);
}

#[test]
fn session_with_gap_and_rewind() {
    let mut follower = LogFollower::new(FollowSettings::default(), 0, 1);
    let mut session = String::new();
    let mut now = Duration::ZERO;
    let answers: [Result<LogPage, LogError>; 8] = [
        Ok(page(0, 5, 0..3)),
        Ok(page(0, 5, 3..5)),
        Err(down()),
        Err(LogError::Trimmed { first: 9 }),
        Ok(page(9, 10, 9..10)),
        Ok(page(0, 2, 0..0)),
        Err(LogError::Throttled {
            retry_after: Duration::from_secs(3),
        }),
        Ok(page(9, 10, 10..10)),
    ];
    for answer in answers {
        let mut step = follower.step(now);
        if let FollowStep::Wait { until } = step {
            now = until;
            step = follower.step(now);
        }
        assert_eq!(follower.step(now), FollowStep::Busy);
        let event = match answer {
            Ok(page) => follower.page(now, page),
            Err(error) => follower.error(now, error),
        };
        let _ = writeln!(session, "{now:?} {step:?}\n  {}", describe(&event));
    }
    insta::assert_snapshot!(session);
}

fn describe(event: &FollowEvent) -> String {
    match event {
        FollowEvent::Records { records, at_end } => {
            let offsets: Vec<u64> = records.iter().map(|record| record.offset).collect();
            format!("records {offsets:?}, at end: {at_end}")
        }
        other => format!("{other:?}"),
    }
}

/// A page that was requested before its records were received from a peer must not deliver them
/// again.
#[test]
fn records_received_from_a_peer_are_not_delivered_again() {
    let mut follower = LogFollower::new(FollowSettings::default(), 0, 1);
    let now = Duration::from_secs(1);
    assert!(matches!(follower.step(now), FollowStep::Read(_)));
    follower.skip_to(4);
    follower.skip_to(2);
    let event = follower.page(now, page(0, 6, 0..6));
    assert_eq!(describe(&event), "records [4, 5], at end: true");
}

/// Whatever the log answers, records are delivered once and in order, and the position never moves
/// backward. Random sessions with fixed seeds.
#[test]
fn position_never_moves_backward() {
    for seed in 0..300_u64 {
        let mut follower = LogFollower::new(FollowSettings::default(), 0, seed);
        let mut now = Duration::ZERO;
        let mut position = 0;
        let mut state = seed;
        for _ in 0..200 {
            let from = match follower.step(now) {
                FollowStep::Read(range) => range.from,
                FollowStep::Wait { until } => {
                    now = until;
                    continue;
                }
                FollowStep::Busy => panic!("the answer was given"),
            };
            assert_eq!(from, position);
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let draw = state >> 40;
            let event = match draw % 5 {
                0 => follower.error(now, down()),
                1 => follower.error(now, LogError::Trimmed { first: draw % 64 }),
                2 => follower.page(now, page(0, draw % 32, 0..0)),
                3 => follower.page(now, page(from + 3, from + 9, from + 3..from + 5)),
                _ => follower.page(now, page(0, from + 7, from..from + draw % 7)),
            };
            if let FollowEvent::Records { records, .. } = &event {
                assert!(
                    records
                        .iter()
                        .zip(position..)
                        .all(|(r, offset)| r.offset == offset)
                );
            }
            assert!(follower.next_offset() >= position);
            position = follower.next_offset();
        }
    }
}

/// A node that falls behind during an outage of the log receives every record afterwards.
#[test]
fn no_record_is_lost_in_an_outage() {
    run_local(async {
        let log = MemoryLog::new();
        let mut follower = LogFollower::new(FollowSettings::default(), 0, 1);
        let mut now = Duration::ZERO;
        let mut seen = Vec::new();
        for round in 0..40_u64 {
            log.set_fault(MemoryFault::None);
            log.append(STREAM, Bytes::from(vec![b'x'])).await.unwrap();
            let is_down = (10..20).contains(&round);
            log.set_fault(if is_down {
                MemoryFault::Down
            } else {
                MemoryFault::None
            });
            let mut range = match follower.step(now) {
                FollowStep::Read(range) => range,
                FollowStep::Wait { until } => {
                    now = until;
                    continue;
                }
                FollowStep::Busy => panic!("the answer was given"),
            };
            range.wait = Duration::ZERO;
            match log.read(STREAM, range).await {
                Ok(page) => match follower.page(now, page) {
                    FollowEvent::Records { records, .. } => {
                        seen.extend(records.iter().map(|record| record.offset));
                    }
                    other => panic!("{other:?}"),
                },
                Err(error) => {
                    follower.error(now, error);
                }
            }
        }
        let expected: Vec<u64> = (0..seen.len() as u64).collect();
        assert_eq!(seen, expected);
        assert!(seen.len() >= 39);
    });
}

#[test]
fn seeds_spread_the_retries_of_nodes() {
    let pauses: std::collections::BTreeSet<Duration> = (0..100)
        .map(|seed| {
            let mut backoff = OutageBackoff::new(BackoffSettings::default(), seed);
            backoff.fail(Duration::ZERO);
            backoff.fail(Duration::from_mins(1))
        })
        .collect();
    assert!(pauses.len() > 90);
    assert!(
        pauses
            .iter()
            .all(|pause| (3000..=6000).contains(&pause.as_millis()))
    );
}

/// An operator's change is appended at once even if background appends have used up their part of
/// the budget.
#[test]
fn background_appends_leave_budget_for_operator_changes() {
    let mut budget = AppendBudget::new(1.0, 5);
    let now = Duration::from_secs(10);
    let mut carried_forward = 0;
    while budget.take(now, AppendPurpose::CarryForward).is_ok() {
        carried_forward += 1;
    }
    assert_eq!(carried_forward, 3);
    assert_eq!(budget.take(now, AppendPurpose::RosterChange), Ok(()));
    assert_eq!(budget.take(now, AppendPurpose::ContractChange), Ok(()));
    let wait = budget.take(now, AppendPurpose::ContractChange).unwrap_err();
    assert_eq!(wait, Duration::from_secs(1));
    assert_eq!(
        budget.take(now + wait, AppendPurpose::ContractChange),
        Ok(())
    );
}
