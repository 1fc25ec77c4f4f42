//! Resolution of appends whose reply is lost.

mod support;

use std::time::Duration;

use bytes::Bytes;
use support::{STREAM, client_for, run_local, start_log};
use sycamorelink_log::{
    AppendOutcome, LogClient, LogError, LogRecord, MemoryFault, MemoryLog, ReadBack,
    append_and_settle, read_back,
};
use sycamorelink_standin::{LogMode, LogStandinSettings};

const READ_BACK: ReadBack<'static> = ReadBack {
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

/// The append takes effect and its reply is lost, while the stream holds another operator's change.
/// The change is found by its id; a second append would conflict with the first.
#[test]
fn lost_reply_is_resolved_without_a_second_append() {
    run_local(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_for(log.address());
        client.append(STREAM, change("other")).await.unwrap();
        log.set_mode(LogMode::LoseReplies);
        let settled = append_and_settle(&client, READ_BACK, change("own"), is_change("own")).await;
        assert_eq!(settled, Ok(AppendOutcome::Appended { offset: 1 }));
        assert_eq!(log.append_count(), 2);
    });
}

/// A lost append is reported as not found rather than as failed, since it may still take effect.
#[test]
fn lost_append_is_reported_as_not_found() {
    run_local(async {
        let log = MemoryLog::new();
        log.append(STREAM, change("other")).await.unwrap();
        log.set_fault(MemoryFault::LoseAppends);
        let settled = append_and_settle(&log, READ_BACK, change("own"), is_change("own")).await;
        assert_eq!(settled, Ok(AppendOutcome::NotFound { next: 1 }));
    });
}

/// The log neither answers the append nor can be read back: the outcome stays unknown until the log
/// is up again.
#[test]
fn append_stays_uncertain_while_the_log_is_down() {
    run_local(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_for(log.address());
        log.set_mode(LogMode::Hang);
        let settled = append_and_settle(&client, READ_BACK, change("own"), is_change("own")).await;
        assert!(settled.unwrap_err().may_have_taken_effect());
        log.set_mode(LogMode::Up);
        let settled = read_back(&client, READ_BACK, is_change("own")).await;
        assert_eq!(settled, Ok(AppendOutcome::NotFound { next: 0 }));
    });
}

/// An append that certainly had no effect is not read back.
#[test]
fn certain_failure_is_returned() {
    run_local(async {
        let log = MemoryLog::new();
        log.set_fault(MemoryFault::Throttle);
        let settled = append_and_settle(&log, READ_BACK, change("own"), is_change("own")).await;
        assert!(matches!(settled, Err(LogError::Throttled { .. })));
        assert_eq!(log.append_count(), 0);
    });
}

/// The append is still in progress when the read-back first reaches the end of the stream.
#[test]
fn wait_at_the_end_finds_an_append_in_progress() {
    run_local(async {
        let log = MemoryLog::new();
        let patient_range = ReadBack {
            patience: Duration::from_secs(10),
            ..READ_BACK
        };
        let (settled, ()) = tokio::join!(read_back(&log, patient_range, is_change("own")), async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            log.append(STREAM, change("own")).await.unwrap();
        });
        assert_eq!(settled, Ok(AppendOutcome::Appended { offset: 0 }));
    });
}

/// Part of the range to read back was trimmed, and may have held the change.
#[test]
fn trimmed_range_leaves_the_append_uncertain() {
    run_local(async {
        let log = MemoryLog::new();
        for id in ["a", "b", "c"] {
            log.append(STREAM, change(id)).await.unwrap();
        }
        log.trim_to(STREAM, 2);
        log.set_fault(MemoryFault::LoseReplies);
        let settled = append_and_settle(&log, READ_BACK, change("own"), is_change("own")).await;
        assert!(settled.unwrap_err().may_have_taken_effect());
    });
}

/// The log is slow, the client times out, the read-back does not find the change, and the append
/// takes effect afterwards. Neither a reported failure nor a second append would be correct.
#[test]
fn append_that_takes_effect_after_the_read_back_stays_uncertain() {
    run_local(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_for(log.address());
        log.set_mode(LogMode::Slow { ms: 600 });
        let appending = append_and_settle(&client, READ_BACK, change("own"), is_change("own"));
        assert!(appending.await.unwrap_err().may_have_taken_effect());
        log.set_mode(LogMode::Up);
        let patient_range = ReadBack {
            patience: Duration::from_secs(10),
            ..READ_BACK
        };
        let settled = read_back(&client, patient_range, is_change("own")).await;
        assert_eq!(settled, Ok(AppendOutcome::Appended { offset: 0 }));
    });
}
