//! The HTTP client against the log stand-in.

mod support;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use support::{STREAM, client_of, from, run, start_log};
use sycamorelink_log::{LogClient, LogError, ReadRange};
use sycamorelink_standin::{LogMode, LogStandinSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The reason is left out: its words come from libraries.
fn name(error: &LogError) -> String {
    match error {
        LogError::Unavailable { .. } => "Unavailable".to_owned(),
        LogError::Uncertain { .. } => "Uncertain".to_owned(),
        LogError::Rejected { status, .. } => format!("Rejected {status}"),
        LogError::Malformed { .. } => "Malformed".to_owned(),
        LogError::Throttled { .. } => "Throttled".to_owned(),
        LogError::Trimmed { first } => format!("Trimmed {first}"),
    }
}

#[test]
fn errors_say_whether_an_append_may_have_taken_effect() {
    run(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_of(log.address());
        let mut session = String::new();
        for mode in [
            LogMode::Up,
            LogMode::Down,
            LogMode::Unavailable,
            LogMode::Hang,
            LogMode::Slow { ms: 1000 },
            LogMode::LoseReplies,
            LogMode::AppendsDown,
            LogMode::ReadsDown,
        ] {
            log.set_mode(mode);
            let before = log.append_count();
            let append = client.append(STREAM, Bytes::from_static(b"x")).await;
            let read = client.read(STREAM, from(0)).await;
            let append = append.map_or_else(|e| name(&e), |r| format!("offset {}", r.offset));
            let read = read.map_or_else(|e| name(&e), |p| format!("{} records", p.records.len()));
            let taken = log.append_count() - before;
            let _ = writeln!(
                session,
                "{mode:?}: append {append} ({taken} taken), read {read}"
            );
        }
        insta::assert_snapshot!(session);
    });
}

#[test]
fn limits_of_the_log_are_typed() {
    run(async {
        let settings = LogStandinSettings {
            appends_per_second: 1,
            record_bytes: 10,
            ..LogStandinSettings::default()
        };
        let log = start_log(settings).await;
        let client = client_of(log.address());
        let large = client
            .append(STREAM, Bytes::from_static(b"eleven bytes"))
            .await;
        assert_eq!(name(&large.unwrap_err()), "Rejected 413");
        client
            .append(STREAM, Bytes::from_static(b"a"))
            .await
            .unwrap();
        let throttled = client.append(STREAM, Bytes::from_static(b"b")).await;
        match throttled.unwrap_err() {
            LogError::Throttled { retry_after } => assert!(retry_after <= Duration::from_secs(1)),
            other => panic!("{other}"),
        }
        log.trim_to(STREAM, 1);
        let trimmed = client.read(STREAM, from(0)).await.unwrap_err();
        assert_eq!(trimmed, LogError::Trimmed { first: 1 });
        let odd = client.append("no such name\n", Bytes::new()).await;
        assert_eq!(name(&odd.unwrap_err()), "Malformed");
    });
}

#[test]
fn log_that_is_not_there_took_nothing() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let error = client_of(address)
            .append(STREAM, Bytes::from_static(b"x"))
            .await
            .unwrap_err();
        assert_eq!(name(&error), "Unavailable");
        assert!(!error.may_have_taken_effect());
    });
}

/// Answers every connection with the same bytes.
async fn answering(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// An operator's command must not say that a change failed when it may stand in the log.
/// Something between the client and the log answers for it, or cuts its answer short.
#[test]
fn odd_answers_leave_an_append_uncertain() {
    run(async {
        for answer in [
            "HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}",
            "HTTP/1.1 201 Created\r\ncontent-length: 20\r\n\r\n{\"offset\"",
            "not http at all\r\n\r\n",
        ] {
            let client = client_of(answering(answer.to_owned()).await);
            let error = client
                .append(STREAM, Bytes::from_static(b"x"))
                .await
                .unwrap_err();
            assert!(error.may_have_taken_effect(), "{answer:?}: {error}");
        }
    });
}

/// A reader that took records at wrong offsets would hold another order than everybody else.
#[test]
fn pages_out_of_order_are_no_pages() {
    run(async {
        let page = r#"{"first":0,"next":9,"records":[{"offset":4,"wall_ms":1,"data":"eA=="}]}"#;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
        let client = client_of(answering(head + page).await);
        let range = ReadRange {
            from: 3,
            max: 10,
            wait: Duration::ZERO,
        };
        let error = client.read(STREAM, range).await.unwrap_err();
        assert_eq!(
            error,
            LogError::Unavailable {
                reason: "records out of order".to_owned()
            }
        );
    });
}
