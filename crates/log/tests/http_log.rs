//! HTTP client against the stand-in of the log service.

mod support;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use support::{STREAM, client_for, range_from, run_local, start_log};
use sycamorelink_log::{LogClient, LogError, ReadRange};
use sycamorelink_standin::{LogMode, LogStandinSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Formats an error without its reason, which contains text of libraries.
fn error_name(error: &LogError) -> String {
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
fn errors_tell_whether_an_append_may_have_taken_effect() {
    run_local(async {
        let log = start_log(LogStandinSettings::default()).await;
        let client = client_for(log.address());
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
            let read = client.read(STREAM, range_from(0)).await;
            let append = append.map_or_else(|e| error_name(&e), |r| format!("offset {}", r.offset));
            let read = read.map_or_else(
                |e| error_name(&e),
                |p| format!("{} records", p.records.len()),
            );
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
fn log_limits_map_to_error_variants() {
    run_local(async {
        let settings = LogStandinSettings {
            appends_per_second: 1,
            record_bytes: 10,
            ..LogStandinSettings::default()
        };
        let log = start_log(settings).await;
        let client = client_for(log.address());
        let large = client
            .append(STREAM, Bytes::from_static(b"eleven bytes"))
            .await;
        assert_eq!(error_name(&large.unwrap_err()), "Rejected 413");
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
        let trimmed = client.read(STREAM, range_from(0)).await.unwrap_err();
        assert_eq!(trimmed, LogError::Trimmed { first: 1 });
        let invalid_name = client.append("no such name\n", Bytes::new()).await;
        assert_eq!(error_name(&invalid_name.unwrap_err()), "Malformed");
    });
}

#[test]
fn failed_connect_means_the_append_had_no_effect() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let error = client_for(address)
            .append(STREAM, Bytes::from_static(b"x"))
            .await
            .unwrap_err();
        assert_eq!(error_name(&error), "Unavailable");
        assert!(!error.may_have_taken_effect());
    });
}

/// Starts a server that sends the same bytes on every connection.
async fn serve_fixed_response(answer: String) -> SocketAddr {
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

/// A gateway answers instead of the log, or the response is truncated or malformed. The append may
/// have taken effect, so a command must not report that the change failed.
#[test]
fn unexpected_responses_leave_an_append_uncertain() {
    run_local(async {
        for answer in [
            "HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}",
            "HTTP/1.1 201 Created\r\ncontent-length: 20\r\n\r\n{\"offset\"",
            "not http at all\r\n\r\n",
        ] {
            let client = client_for(serve_fixed_response(answer.to_owned()).await);
            let error = client
                .append(STREAM, Bytes::from_static(b"x"))
                .await
                .unwrap_err();
            assert!(error.may_have_taken_effect(), "{answer:?}: {error}");
        }
    });
}

/// Records at unexpected offsets are rejected; accepting them would apply changes in another order
/// than all other readers.
#[test]
fn page_with_wrong_offsets_is_rejected() {
    run_local(async {
        let page = r#"{"first":0,"next":9,"records":[{"offset":4,"wall_ms":1,"data":"eA=="}]}"#;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
        let client = client_for(serve_fixed_response(head + page).await);
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
