//! Work streams between two nodes over loopback.

mod support;

use std::time::Duration;

use support::{HandlerScript, connect, run_local, start, with_timeout, work_head};
use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};
use sycamorelink_wire::{FailureKind, ReplyOpening, ReplyReceiver, WireError};

/// Body size in bytes above the chunk limit and the window of a stream.
const LARGE_BODY_BYTES: usize = 700_000;

#[test]
fn large_request_and_reply_arrive_complete() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let connection = connect(&server).await;
        let (mut body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        let sent: Vec<u8> = (0..=250).cycle().take(LARGE_BODY_BYTES).collect();
        let sending = async {
            body.send(&sent).await.unwrap();
            body.finish().await.unwrap();
        };
        let receiving = async {
            let opening = reply.opening().await.unwrap();
            assert!(matches!(opening, ReplyOpening::Reply(ref head) if head.status == 200));
            let mut received = Vec::new();
            while let Some(chunk) = reply.chunk().await.unwrap() {
                received.extend_from_slice(&chunk);
            }
            received
        };
        let ((), received) = with_timeout(async { tokio::join!(sending, receiving) }).await;
        assert!(received == sent);
        let end = reply.outcome().unwrap().unwrap();
        assert_eq!(end.length, LARGE_BODY_BYTES as u64);
        assert_eq!(end.service_time, Duration::from_millis(3));
    });
}

#[test]
fn refusal_and_failure_reach_the_caller() {
    run_local(async {
        let refusal = RequestRefusal::not_run(RefusalCode::Overloaded);
        let server = start(HandlerScript::Refuse(refusal.clone())).await;
        let connection = connect(&server).await;
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"stock?").await.unwrap();
        match with_timeout(reply.opening()).await.unwrap() {
            ReplyOpening::Refused(refused) => assert_eq!(refused.refusal, refusal),
            other => panic!("{other:?}"),
        }
        let server = start(HandlerScript::FailMidReply).await;
        let connection = connect(&server).await;
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"stock?").await.unwrap();
        with_timeout(reply.opening()).await.unwrap();
        while with_timeout(reply.chunk()).await.unwrap().is_some() {}
        let failed = reply.outcome().unwrap().unwrap_err();
        assert_eq!(failed.kind, FailureKind::Truncated);
        assert_eq!(failed.run, RunState::Unknown);
    });
}

/// The caller disconnected while the backend server works. The client node drops the exchange, the
/// stream is reset, and the handler must learn of it at once to cancel the run.
#[test]
fn cancellation_reaches_the_handler() {
    run_local(async {
        let mut server = start(HandlerScript::WaitForCancel).await;
        let connection = connect(&server).await;
        let (body, reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        with_timeout(server.events.recv()).await.unwrap();
        drop(reply);
        let event = with_timeout(server.events.recv()).await.unwrap();
        assert_eq!(event, "cancelled: Cancelled");
    });
}

/// A handler ends without the end of the reply, as after a panic. The stream is reset, the caller
/// gets an error instead of a truncated reply, and the run state is unknown.
#[test]
fn truncated_reply_is_an_error() {
    run_local(async {
        let server = start(HandlerScript::DropMidReply).await;
        let connection = connect(&server).await;
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        let error = with_timeout(read_reply(&mut reply)).await.unwrap_err();
        assert!(matches!(error, WireError::Reset(_)), "{error:?}");
        assert_eq!(error.run_state(), RunState::Unknown);
    });
}

/// Reads a reply to its end. A reset may arrive before data that was sent earlier.
async fn read_reply(reply: &mut ReplyReceiver) -> Result<(), WireError> {
    reply.opening().await?;
    read_body(reply).await
}

/// A caller must never get the reply to another request. The peer answers with the attempt id of
/// another request, as if it had mixed up its streams.
#[test]
fn reply_to_another_attempt_is_rejected() {
    run_local(async {
        let server = start(HandlerScript::WrongAttempt).await;
        let connection = connect(&server).await;
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        let error = with_timeout(reply.opening()).await.unwrap_err();
        assert!(matches!(error, WireError::WrongAttempt { .. }), "{error:?}");
    });
}

/// The caller disconnected during its upload and its node drops the body. The error must not count
/// against the connection or the upstream, and the handler must not take the partial body for a
/// complete one.
#[test]
fn abandoned_upload_keeps_the_connection_open() {
    run_local(async {
        let mut server = start(HandlerScript::Echo).await;
        let connection = connect(&server).await;
        let (mut body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.send(b"half a booking").await.unwrap();
        with_timeout(reply.opening()).await.unwrap();
        drop(body);
        let error = with_timeout(read_body(&mut reply)).await.unwrap_err();
        assert_eq!(error, WireError::Abandoned);
        let event = with_timeout(server.events.recv()).await.unwrap();
        assert_eq!(event, "body: Cancelled");
        assert!(!connection.is_closed());
    });
}

async fn read_body(reply: &mut ReplyReceiver) -> Result<(), WireError> {
    while reply.chunk().await?.is_some() {}
    Ok(())
}
