//! Tests of the backend stand-in over HTTP.

mod support;

use std::fmt::Write;
use std::time::Duration;

use http::Method;
use support::{TextClient, loopback, run_test};
use sycamorelink_standin::{
    BackendFault, BackendPhase, BackendSettings, BackendStandin, RunCounts,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn fast_settings() -> BackendSettings {
    BackendSettings {
        service_time: Duration::from_millis(1),
        ..BackendSettings::default()
    }
}

async fn post_booking(client: &TextClient, target: &str, id: &str, key: &str) -> String {
    let mut request = client.request(Method::POST, target, "two pallets");
    let headers = request.headers_mut();
    headers.insert("x-request-id", id.parse().unwrap());
    headers.insert("idempotency-key", key.parse().unwrap());
    client.transcribe(request).await
}

#[test]
fn faults_change_replies_but_not_health() {
    run_test(async {
        let backend = BackendStandin::start(loopback(), fast_settings())
            .await
            .unwrap();
        let client = TextClient::new(backend.address());
        let mut transcript = String::new();
        transcript += &post_booking(&client, "/bookings", "r1", "k1").await;
        transcript += &post_booking(&client, "/bookings?reply_bytes=10", "r2", "k2").await;
        transcript +=
            &post_booking(&client, "/bookings?reply_bytes=10&stream_ms=20", "r3", "k3").await;
        let faults = [
            r#"{"fault":"fail","share":1.0}"#,
            r#"{"fault":"wrong-reply"}"#,
            r#"{"fault":"truncate"}"#,
            r#"{"fault":"silent"}"#,
            r#"{"fault":"bogus"}"#,
            r#"{"fault":"healthy"}"#,
        ];
        for (index, fault) in faults.iter().enumerate() {
            let id = format!("f{index}");
            let _ = writeln!(transcript, "-- {fault}");
            transcript += &client.post("/control", fault).await;
            transcript += &post_booking(&client, "/bookings?reply_bytes=8", &id, "k4").await;
            transcript += &client.get("/health").await;
        }
        transcript += &client.get("/control/runs").await;
        insta::assert_snapshot!(transcript);
    });
}

/// A marked request crashes the backend server, which refuses connections for a while and then
/// recovers. The run of the marked request counts as started and cancelled, not as finished.
#[test]
fn marked_request_crashes_the_server_for_a_while() {
    run_test(async {
        let backend = BackendStandin::start(loopback(), fast_settings())
            .await
            .unwrap();
        let client = TextClient::new(backend.address());
        backend.set_fault(BackendFault::CrashOn {
            marker: "pallets".to_owned(),
            down_ms: 300,
        });
        let crashed = post_booking(&client, "/bookings", "r1", "k1").await;
        let refused = client.get("/bookings").await;
        let recovered = loop {
            let transcript = client.get("/health").await;
            if !transcript.contains("closed") {
                break transcript;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        insta::assert_snapshot!(format!("{crashed}{refused}{recovered}"));
        let runs = backend.runs();
        let counts = RunCounts {
            started: 1,
            finished: 0,
        };
        assert_eq!((runs.total, runs.cancelled), (counts, 1));
    });
}

/// Requests beyond the slots and the queue are refused; the others get their replies.
#[test]
fn requests_beyond_slots_and_queue_are_refused() {
    run_test(async {
        let settings = BackendSettings {
            slots: 2,
            queue_limit: 1,
            service_time: Duration::from_millis(300),
            sigma: 0.0,
            ..BackendSettings::default()
        };
        let backend = BackendStandin::start(loopback(), settings).await.unwrap();
        let client = TextClient::new(backend.address());
        let (a, b, c, d) = tokio::join!(
            client.get("/a"),
            client.get("/b"),
            client.get("/c"),
            client.get("/d"),
        );
        let refused = [a, b, c, d]
            .iter()
            .filter(|transcript| transcript.contains("503"))
            .count();
        assert_eq!((refused, backend.runs().shed), (1, 1));
        assert_eq!(backend.runs().total.finished, 3);
    });
}

/// A run ends when its caller disconnects and when its deadline passes.
#[test]
fn cancellation_and_deadline_end_a_run() {
    run_test(async {
        let settings = BackendSettings {
            service_time: Duration::from_secs(5),
            sigma: 0.0,
            ..BackendSettings::default()
        };
        let backend = BackendStandin::start(loopback(), settings).await.unwrap();
        let client = TextClient::new(backend.address());
        let mut request = client.request(Method::GET, "/quote", "");
        let headers = request.headers_mut();
        headers.insert(sycamorelink_standin::backend::TIMEOUT_HEADER, 20.into());
        insta::assert_snapshot!(client.transcribe(request).await);
        let abandoned = tokio::time::timeout(Duration::from_millis(100), client.get("/quote"));
        assert!(abandoned.await.is_err());
        while backend.runs().cancelled < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(backend.runs().total.finished, 0);
    });
}

/// A request in flight when the server stops gets its reply.
#[test]
fn stop_finishes_requests_in_flight() {
    run_test(async {
        let settings = BackendSettings {
            service_time: Duration::from_millis(300),
            sigma: 0.0,
            ..BackendSettings::default()
        };
        let backend = BackendStandin::start(loopback(), settings).await.unwrap();
        let client = TextClient::new(backend.address());
        let (transcript, ()) = tokio::join!(client.get("/quote?reply_bytes=4"), async {
            while backend.runs().total.started == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            backend.stop().await;
        });
        insta::assert_snapshot!(transcript);
    });
}

/// The backend server announces itself again after a failed announcement, so that a restarted
/// daemon learns of it. The daemon closes the first connection without a reply.
#[test]
fn announcements_are_repeated_and_withdrawn() {
    run_test(async {
        let daemon = TcpListener::bind(loopback()).await.unwrap();
        let settings = BackendSettings {
            daemon: Some(daemon.local_addr().unwrap()),
            daemon_slot: 3,
            heartbeat: Duration::from_millis(20),
            ..fast_settings()
        };
        let backend = BackendStandin::start(loopback(), settings).await.unwrap();
        let address = backend.address().to_string();
        drop(daemon.accept().await.unwrap());
        let (mut stream, _) = daemon.accept().await.unwrap();
        let mut transcript = String::new();
        transcript += &accept_announcement(&mut stream).await;
        assert_eq!(accept_announcement(&mut stream).await, transcript);
        backend.set_phase(BackendPhase::Leaving);
        let stopping = tokio::spawn(backend.stop());
        while !transcript.contains("DELETE") {
            let next = accept_announcement(&mut stream).await;
            if !transcript.ends_with(&next) {
                transcript += &next;
            }
        }
        stopping.await.unwrap();
        insta::assert_snapshot!(transcript.replace(&address, "(address)"));
    });
}

/// Reads and acknowledges one request; returns its first line and its body.
async fn accept_announcement(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    let complete = |text: &str| {
        text.split_once("\r\n\r\n")
            .is_some_and(|(head, body)| head.starts_with("DELETE") || body.ends_with('}'))
    };
    while !complete(&text) {
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0);
        text += &String::from_utf8_lossy(&buffer[..count]);
    }
    let reply = b"HTTP/1.1 204 No Content\r\n\r\n";
    stream.write_all(reply).await.unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    format!("{} {body}\n", head.lines().next().unwrap())
}

#[test]
fn limit_and_leaving_are_named_in_replies() {
    run_test(async {
        let settings = BackendSettings {
            limit: Some(2.5),
            ..fast_settings()
        };
        let backend = BackendStandin::start(loopback(), settings).await.unwrap();
        let client = TextClient::new(backend.address());
        let mut transcript = post_booking(&client, "/bookings?reply_bytes=8", "r1", "k1").await;
        for control in [r#"{"phase":"leaving"}"#, r#"{"limit":null}"#] {
            let _ = writeln!(transcript, "-- {control}");
            transcript += &client.post("/control", control).await;
            transcript += &post_booking(&client, "/bookings?reply_bytes=8", "r2", "k2").await;
        }
        insta::assert_snapshot!(transcript);
    });
}
