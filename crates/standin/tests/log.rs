//! Tests of the log stand-in over HTTP.

mod support;

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use support::{TextClient, loopback, run_test};
use sycamorelink_core::ManualClock;
use sycamorelink_standin::{LogMode, LogStandin, LogStandinSettings, RunningLog};

const RECORDS: &str = "/v1/logs/contracts/records";

async fn start(settings: LogStandinSettings) -> (RunningLog, TextClient, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new(Duration::from_secs(1_000_000)));
    let standin = LogStandin::start_with_clock(loopback(), settings, clock.clone())
        .await
        .unwrap();
    let client = TextClient::new(standin.address());
    (standin, client, clock)
}

#[test]
fn appends_reads_and_trims_follow_the_protocol() {
    run_test(async {
        let (_log, client, clock) = start(LogStandinSettings::default()).await;
        let mut transcript = String::new();
        transcript += &client.get(&format!("{RECORDS}?from=0&max=10")).await;
        transcript += &client.post(RECORDS, "first").await;
        clock.advance(Duration::from_millis(250));
        transcript += &client.post(RECORDS, "second").await;
        transcript += &client
            .get(&format!("{RECORDS}?from=0&max=10&wait=5000"))
            .await;
        transcript += &client.get(&format!("{RECORDS}?from=1&max=1")).await;
        transcript += &client.get(&format!("{RECORDS}?from=2&wait=10")).await;
        transcript += &client
            .post("/control", r#"{"stream":"contracts","trim_to":1}"#)
            .await;
        transcript += &client.get(&format!("{RECORDS}?from=0")).await;
        transcript += &client.get(&format!("{RECORDS}?from=1")).await;
        transcript += &client.get("/v1/logs/a/b/records").await;
        insta::assert_snapshot!(transcript);
    });
}

#[test]
fn modes_change_replies_to_appends_and_reads() {
    run_test(async {
        let (standin, client, _clock) = start(LogStandinSettings::default()).await;
        let mut transcript = String::new();
        for mode in [
            "down",
            "unavailable",
            "appends-down",
            "reads-down",
            "lose-replies",
            "none",
        ] {
            let _ = writeln!(transcript, "-- {mode}");
            transcript += &client
                .post("/control", &format!(r#"{{"mode":"{mode}"}}"#))
                .await;
            transcript += &client.post(RECORDS, mode).await;
            transcript += &client.get(&format!("{RECORDS}?from=0")).await;
        }
        transcript += &client.post("/control", r#"{"mode":"slow","ms":1}"#).await;
        standin.set_mode(LogMode::Up);
        let _ = writeln!(transcript, "{} appends took effect", standin.append_count());
        insta::assert_snapshot!(transcript);
    });
}

/// Appends above the rate limit get a 429 and append nothing; elapsed time refills the limit.
#[test]
fn appends_above_the_limit_are_refused() {
    run_test(async {
        let settings = LogStandinSettings {
            appends_per_second: 2,
            ..LogStandinSettings::default()
        };
        let (_log, client, clock) = start(settings).await;
        let mut transcript = String::new();
        for _ in 0..3 {
            transcript += &client.post(RECORDS, "x").await;
        }
        clock.advance(Duration::from_millis(500));
        transcript += &client.post(RECORDS, "x").await;
        insta::assert_snapshot!(transcript);
    });
}

#[test]
fn records_are_dropped_by_count_and_age() {
    run_test(async {
        let settings = LogStandinSettings {
            retain_records: 2,
            retain_age: Duration::from_mins(1),
            ..LogStandinSettings::default()
        };
        let (_log, client, clock) = start(settings).await;
        let mut transcript = String::new();
        for text in ["a", "b", "c"] {
            transcript += &client.post(RECORDS, text).await;
        }
        transcript += &client.get(&format!("{RECORDS}?from=0")).await;
        clock.advance(Duration::from_mins(2));
        transcript += &client.get(&format!("{RECORDS}?from=1")).await;
        transcript += &client.get(&format!("{RECORDS}?from=3")).await;
        transcript += &client.post(RECORDS, "d").await;
        insta::assert_snapshot!(transcript);
    });
}

/// A long poll returns as soon as a record is appended, well before its timeout.
#[test]
fn long_poll_ends_with_the_append() {
    run_test(async {
        let (standin, client, _clock) = start(LogStandinSettings::default()).await;
        let writer = TextClient::new(standin.address());
        let target = format!("{RECORDS}?from=0&wait=15000");
        let (read, _) = tokio::join!(client.get(&target), async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            writer.post(RECORDS, "late").await
        });
        insta::assert_snapshot!(read);
    });
}
