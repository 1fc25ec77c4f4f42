//! Appends whose reply is lost.

mod support;

use std::time::Duration;

use bytes::Bytes;
use support::{STREAM, client_of, run, start_log};
use sycamorelink_log::{
    LogClient, LogError, LogRecord, MemoryFault, MemoryLog, ReadBack, SettleResult,
    append_and_settle, read_back,
};
use sycamorelink_standin::{LogMode, LogStandinSettings};

const BACK: ReadBack<'static> = ReadBack {
    stream: STREAM,
    from: 0,
    patience: Duration::ZERO,
};

fn change(id: &str) -> Bytes {
    Bytes::from(format!("change {id}"))
}

fn is_change(id: &'static str) -> impl Fn(&LogRecord) -> bool {
    move |record| record.data == change(id)
}

/// The operator sees that the change was taken, and it stands in the log once.
/// The append takes effect, its reply is lost, and other operators append before and after. The
/// change is found by its own id; a second append would make it conflict with itself.
#[test]
fn lost_reply_is_settled_without_a_second_append() {
    run(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_of(log.address());
        client.append(STREAM, change("other")).await.unwrap();
        log.set_mode(LogMode::LoseReplies);
        let settled = append_and_settle(&client, BACK, change("own"), is_change("own")).await;
        assert_eq!(settled, Ok(SettleResult::Taken { offset: 1 }));
        assert_eq!(log.append_count(), 2);
    });
}

/// The operator sees that the change is not in the log so far, and not that it failed for good.
#[test]
fn lost_append_is_not_seen() {
    run(async {
        let log = MemoryLog::new();
        log.append(STREAM, change("other")).await.unwrap();
        log.set_fault(MemoryFault::LoseAppends);
        let settled = append_and_settle(&log, BACK, change("own"), is_change("own")).await;
        assert_eq!(settled, Ok(SettleResult::NotSeen { next: 1 }));
    });
}

/// The operator sees that nobody knows: the log took the change, lost the reply and went down.
#[test]
fn append_stays_uncertain_while_the_log_is_down() {
    run(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_of(log.address());
        log.set_mode(LogMode::Hang);
        let settled = append_and_settle(&client, BACK, change("own"), is_change("own")).await;
        assert!(settled.unwrap_err().may_have_taken_effect());
        log.set_mode(LogMode::Up);
        let settled = read_back(&client, BACK, is_change("own")).await;
        assert_eq!(settled, Ok(SettleResult::NotSeen { next: 0 }));
    });
}

/// An append that took no effect is not looked for.
#[test]
fn certain_refusal_is_passed_on() {
    run(async {
        let log = MemoryLog::new();
        log.set_fault(MemoryFault::Throttle);
        let settled = append_and_settle(&log, BACK, change("own"), is_change("own")).await;
        assert!(matches!(settled, Err(LogError::Throttled { .. })));
        assert_eq!(log.append_count(), 0);
    });
}

/// The operator sees that the change was taken: the append was still under way when the end of
/// the stream was first reached.
#[test]
fn patience_finds_an_append_under_way() {
    run(async {
        let log = MemoryLog::new();
        let patient = ReadBack {
            patience: Duration::from_secs(10),
            ..BACK
        };
        let (settled, ()) = tokio::join!(read_back(&log, patient, is_change("own")), async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            log.append(STREAM, change("own")).await.unwrap();
        });
        assert_eq!(settled, Ok(SettleResult::Taken { offset: 0 }));
    });
}

/// The range to read back was trimmed: the change may be among what is gone.
#[test]
fn trimmed_range_leaves_the_append_uncertain() {
    run(async {
        let log = MemoryLog::new();
        for id in ["a", "b", "c"] {
            log.append(STREAM, change(id)).await.unwrap();
        }
        log.trim_to(STREAM, 2);
        log.set_fault(MemoryFault::LoseReplies);
        let settled = append_and_settle(&log, BACK, change("own"), is_change("own")).await;
        assert!(settled.unwrap_err().may_have_taken_effect());
    });
}

/// The operator sees that nobody knows yet, and later that the change was taken after all.
/// The log is slow, the client gives up, the end of the stream shows nothing of the change, and
/// the append takes effect after that. An answer "failed" and a second append would both be wrong.
#[test]
fn slow_append_takes_effect_after_the_read_back() {
    run(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_of(log.address());
        log.set_mode(LogMode::Slow { ms: 600 });
        let appending = append_and_settle(&client, BACK, change("own"), is_change("own"));
        assert!(appending.await.unwrap_err().may_have_taken_effect());
        log.set_mode(LogMode::Up);
        let patient = ReadBack {
            patience: Duration::from_secs(10),
            ..BACK
        };
        let settled = read_back(&client, patient, is_change("own")).await;
        assert_eq!(settled, Ok(SettleResult::Taken { offset: 0 }));
    });
}
