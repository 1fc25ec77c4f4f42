//! Message streams, drains, and invalid input from an authenticated peer.

mod support;

use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use support::raw::connect_raw;
use support::{
    HandlerScript, TestServer, connect, identity, run_local, start, start_with, with_timeout,
    work_head,
};
use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};
use sycamorelink_wire::{
    FrameKind, MessageError, MessageSender, ReplyOpening, WireError, WireSettings, encode_frame,
    encode_payload,
};
use tokio::io::AsyncWriteExt;

#[test]
fn messages_arrive_in_order() {
    run_local(async {
        let mut server = start(HandlerScript::Echo).await;
        let connection = connect(&server).await;
        let sender: MessageSender<String> = connection.messages().await.unwrap();
        for number in 0..500 {
            sender.send(&format!("share {number}")).unwrap();
        }
        let from = identity("client").instance.node;
        for number in 0..500 {
            let event = with_timeout(server.events.recv()).await.unwrap();
            assert_eq!(event, format!("{from}: share {number}"));
        }
    });
}

/// Messages that were queued before their sender and the connection handle are dropped still
/// arrive.
#[test]
fn queued_messages_arrive_after_the_handle_is_dropped() {
    run_local(async {
        let mut server = start(HandlerScript::Echo).await;
        let connection = connect(&server).await;
        let sender: MessageSender<String> = connection.messages().await.unwrap();
        for _ in 0..300 {
            sender.send(&"x".repeat(2_000)).unwrap();
        }
        drop((sender, connection));
        for _ in 0..300 {
            with_timeout(server.events.recv()).await.unwrap();
        }
        assert_eq!(
            with_timeout(server.results.recv()).await.unwrap(),
            r#"Ok(Lost("closed"))"#
        );
    });
}

/// Sending fails at once when the queue is full, which bounds the memory used for a slow peer.
#[test]
fn full_queue_and_oversized_message_are_errors() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let connection = connect(&server).await;
        let sender: MessageSender<String> = connection.messages().await.unwrap();
        let large = "x".repeat(5 * 1024 * 1024);
        let error = sender.send(&large).unwrap_err();
        assert!(
            matches!(error, MessageError::Wire(WireError::Oversized(_))),
            "{error}"
        );
        let capacity = WireSettings::default().message_queue_capacity;
        // The runtime is single-threaded, so nothing is written between two sends.
        for _ in 0..capacity {
            sender.send(&"x".to_owned()).unwrap();
        }
        assert_eq!(sender.send(&"x".to_owned()), Err(MessageError::Full));
    });
}

/// A node drains while a request runs. The request gets its whole reply, new requests are refused
/// unsent, and the connection closes although a message stream is open on it.
#[test]
fn drain_completes_open_requests_and_closes() {
    run_local(async {
        let mut server = start(HandlerScript::ReplyAfter(Duration::from_millis(400))).await;
        let connection = connect(&server).await;
        let sender: MessageSender<String> = connection.messages().await.unwrap();
        sender.send(&"before".to_owned()).unwrap();
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        with_timeout(server.events.recv()).await.unwrap();
        server.drain.send_replace(true);
        let opening = with_timeout(reply.opening()).await.unwrap();
        assert!(matches!(opening, ReplyOpening::Reply(_)));
        while with_timeout(reply.chunk()).await.unwrap().is_some() {}
        assert_eq!(reply.outcome().unwrap().unwrap().length, 4);
        with_timeout(connection.watch().closed()).await;
        let error = connection.work(&work_head(&server, 1)).await.unwrap_err();
        assert_eq!(error.run_state(), RunState::NotRun);
        let result = with_timeout(server.results.recv()).await.unwrap();
        assert_eq!(result, r#"Ok(Lost("closed"))"#);
        while !sender.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// A node refuses a request before it has read the body. The upload must end with the refusal
/// instead of waiting for a reader that never reads.
#[test]
fn refusal_stops_a_large_upload() {
    run_local(async {
        let refusal = RequestRefusal::not_run(RefusalCode::Overloaded);
        let server = start(HandlerScript::Refuse(refusal.clone())).await;
        let connection = connect(&server).await;
        let (mut body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        let chunk = vec![7; 60_000];
        let sending = async {
            loop {
                if let Err(error) = body.send(&chunk).await {
                    return error;
                }
            }
        };
        let error = with_timeout(sending).await;
        assert!(matches!(error, WireError::BodyNotNeeded), "{error:?}");
        match with_timeout(reply.opening()).await.unwrap() {
            ReplyOpening::Refused(refused) => assert_eq!(refused.refusal, refusal),
            other => panic!("{other:?}"),
        }
    });
}

/// The caller gets the whole reply although the upstream did not read the request body to its end.
#[test]
fn reply_before_the_end_of_the_upload_is_complete() {
    run_local(async {
        let server = start(HandlerScript::ReplyWithSize(1_000_000)).await;
        let connection = connect(&server).await;
        for number in 0..20 {
            let (mut body, mut reply) = connection.work(&work_head(&server, number)).await.unwrap();
            let sending = async move { while body.send(&vec![1; 50_000]).await.is_ok() {} };
            let receiving = async {
                with_timeout(reply.opening()).await.unwrap();
                let mut received = 0;
                while let Some(chunk) = with_timeout(reply.chunk()).await.unwrap() {
                    received += chunk.len();
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                received
            };
            let (received, ()) = tokio::join!(receiving, sending);
            assert_eq!(received, 1_000_000);
        }
    });
}

/// A reply that is not read must not block other requests on the connection, and at most a window
/// of its data is in flight.
#[test]
fn unread_reply_does_not_block_other_requests() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let connection = connect(&server).await;
        let mut unread = Vec::new();
        for number in 0..20 {
            let (mut body, reply) = connection.work(&work_head(&server, number)).await.unwrap();
            let sending = tokio::task::spawn_local(async move {
                while body.send(&vec![1; 50_000]).await.is_ok() {}
            });
            unread.push((reply, sending));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        let (body, mut reply) = connection.work(&work_head(&server, 99)).await.unwrap();
        body.finish_with(b"price?").await.unwrap();
        with_timeout(reply.opening()).await.unwrap();
        assert_eq!(
            with_timeout(reply.chunk()).await.unwrap().unwrap(),
            "price?"
        );
        for (reply, sending) in unread {
            drop(reply);
            sending.abort();
        }
    });
}

/// A request above the stream limit of the connection fails before anything is sent.
#[test]
fn request_above_the_stream_limit_is_not_sent() {
    run_local(async {
        let settings = WireSettings {
            max_streams: 2,
            ..WireSettings::default()
        };
        let own = identity("server");
        let server = start_with(HandlerScript::WaitForCancel, own, settings).await;
        let connection = support::connect_with(&server, settings).await;
        let mut open = Vec::new();
        for number in 0..2 {
            open.push(connection.work(&work_head(&server, number)).await.unwrap());
        }
        let error = connection.work(&work_head(&server, 2)).await.unwrap_err();
        assert_eq!(error, WireError::TooManyStreams);
        assert_eq!(error.run_state(), RunState::NotRun);
        open.pop();
        connection.work(&work_head(&server, 2)).await.unwrap();
    });
}

/// A faulty node of the fleet sends invalid data on a stream. Only that stream ends.
#[test]
fn invalid_data_on_a_stream_ends_only_that_stream() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let mut wrong_node = work_head(&server, 0);
        wrong_node.upstream.node.0 += 1;
        let wrong_node = encode_payload(&wrong_node).unwrap();
        let mut oversized = encode_frame(FrameKind::WorkHead, b"").to_vec();
        oversized[2..6].copy_from_slice(&u32::MAX.to_be_bytes());
        let mut other_version = encode_frame(FrameKind::WorkHead, b"").to_vec();
        other_version[0] = 2;
        let cases: [(&str, Bytes); 8] = [
            ("/work", Bytes::from_static(b"garbage garbage garbage")),
            ("/work", encode_frame(FrameKind::WorkHead, b"garbage")),
            ("/work", encode_frame(FrameKind::WorkHead, &wrong_node)),
            ("/work", encode_frame(FrameKind::BodyEnd, b"")),
            ("/work", Bytes::from(oversized)),
            ("/work", Bytes::from(other_version)),
            ("/work", Bytes::new()),
            ("/elsewhere", Bytes::new()),
        ];
        let mut client = connect_h2(&server).await;
        for (path, bytes) in cases {
            let error = with_timeout(send_stream(&mut client, path, bytes)).await;
            assert_eq!(
                error.unwrap_err().reason(),
                Some(h2::Reason::REFUSED_STREAM)
            );
        }
        let garbage = encode_frame(FrameKind::Message, b"\xff\xff\xff");
        let error = with_timeout(send_stream(&mut client, "/messages", garbage)).await;
        assert_eq!(
            error.unwrap_err().reason(),
            Some(h2::Reason::PROTOCOL_ERROR)
        );
        let connection = connect(&server).await;
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        with_timeout(reply.opening()).await.unwrap();
    });
}

/// Garbage instead of h2 after the handshake ends only that connection, and a stream without a head
/// is refused unprocessed after the limit.
#[test]
fn garbage_after_the_handshake_ends_only_that_connection() {
    run_local(async {
        let settings = WireSettings {
            head_limit: Duration::from_millis(50),
            ..WireSettings::default()
        };
        let mut server = start_with(HandlerScript::Echo, identity("server"), settings).await;
        for seed in 0..20_u8 {
            let mut stream = connect_raw(&server).await;
            let garbage: Vec<u8> = (0..200_u8)
                .map(|byte| byte.wrapping_mul(seed) ^ seed)
                .collect();
            let _ = stream.write_all(&garbage).await;
            with_timeout(server.results.recv()).await.unwrap();
        }
        let mut sender = connect_h2(&server).await.ready().await.unwrap();
        let request = Request::post("http://peer/work").body(()).unwrap();
        let (response, _stream) = sender.send_request(request, false).unwrap();
        let error = with_timeout(response).await.unwrap_err();
        assert_eq!(error.reason(), Some(h2::Reason::REFUSED_STREAM));
    });
}

/// The digest at the end does not match the received body. The handler gets an error instead of a
/// complete body.
#[test]
fn body_with_wrong_digest_is_an_error() {
    run_local(async {
        let mut server = start(HandlerScript::Echo).await;
        let mut client = connect_h2(&server).await;
        let head = encode_payload(&work_head(&server, 0)).unwrap();
        let result = encode_payload(&sycamorelink_wire::BodyEnd {
            length: 4,
            digest: 1,
        });
        let mut bytes = encode_frame(FrameKind::WorkHead, &head).to_vec();
        bytes.extend(encode_frame(FrameKind::BodyChunk, b"four"));
        bytes.extend(encode_frame(FrameKind::BodyEnd, &result.unwrap()));
        let _ = send_stream(&mut client, "/work", Bytes::from(bytes)).await;
        let event = with_timeout(server.events.recv()).await.unwrap();
        assert_eq!(event, "body: NotWhole { expected: 4, actual: 4 }");
    });
}

/// Connects a plain h2 client, past the handshake.
async fn connect_h2(server: &TestServer) -> SendRequest<Bytes> {
    let stream = connect_raw(server).await;
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    sender
}

async fn send_stream(
    sender: &mut SendRequest<Bytes>,
    path: &str,
    bytes: Bytes,
) -> Result<(), h2::Error> {
    let request = Request::post(format!("http://peer{path}"))
        .body(())
        .unwrap();
    let mut ready = sender.clone().ready().await?;
    let (response, mut stream) = ready.send_request(request, false)?;
    stream.send_data(bytes, true)?;
    let mut body = response.await?.into_body();
    while let Some(data) = body.data().await {
        data?;
    }
    Ok(())
}
