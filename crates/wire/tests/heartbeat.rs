//! Heartbeats: dead connections are detected, and a paused process is not taken for one.

mod support;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use support::{HandlerScript, identity, run_local, start, start_with, with_timeout, work_head};
use sycamorelink_core::RunState;
use sycamorelink_wire::{CloseReason, PeerConnection, WireError, WireSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A proxy that simulates a middlebox losing its connection state: on request it discards all data
/// of existing connections, while both ends stay connected.
struct LossyProxy {
    address: SocketAddr,
    /// Discards data sent by the client.
    drop_requests: Arc<AtomicBool>,
    /// Discards data sent by the server.
    drop_replies: Arc<AtomicBool>,
}

async fn start_lossy_proxy(to: SocketAddr, delay: Duration) -> LossyProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let drop_requests = Arc::<AtomicBool>::default();
    let drop_replies = Arc::<AtomicBool>::default();
    let flags = (Arc::clone(&drop_requests), Arc::clone(&drop_replies));
    tokio::spawn(async move {
        while let Ok((client_stream, _)) = listener.accept().await {
            let server_stream = TcpStream::connect(to).await.unwrap();
            let (client_read, client_write) = client_stream.into_split();
            let (server_read, server_write) = server_stream.into_split();
            tokio::spawn(forward(
                client_read,
                server_write,
                delay,
                Arc::clone(&flags.0),
            ));
            tokio::spawn(forward(
                server_read,
                client_write,
                delay,
                Arc::clone(&flags.1),
            ));
        }
    });
    LossyProxy {
        address,
        drop_requests,
        drop_replies,
    }
}

async fn forward<R, W>(mut from: R, mut to: W, delay: Duration, discard: Arc<AtomicBool>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 65_536];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        tokio::time::sleep(delay).await;
        if !discard.load(Ordering::Relaxed)
            && to.write_all(&buffer[..count]).await.map_err(|e| e.kind())
                == Err(ErrorKind::BrokenPipe)
        {
            break;
        }
    }
}

/// The path loses a connection while a request is in flight, in both directions or in only one.
/// Both ends keep the connection open and a reply can never arrive. The error must identify the
/// connection, so that no healthy upstream is ejected.
#[test]
fn dead_connection_is_reported_as_silent() {
    for (requests, replies) in [(true, true), (true, false), (false, true)] {
        run_local(async {
            let mut server = start(HandlerScript::WaitForCancel).await;
            let proxy = start_lossy_proxy(server.address, Duration::ZERO).await;
            let settings = WireSettings::default();
            let client = identity("client");
            let connecting = PeerConnection::connect(proxy.address, &client, None, settings);
            let connection = connecting.await.unwrap();
            let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
            body.finish_with(b"").await.unwrap();
            with_timeout(server.events.recv()).await.unwrap();
            proxy.drop_requests.store(requests, Ordering::Relaxed);
            proxy.drop_replies.store(replies, Ordering::Relaxed);
            let error = with_timeout(reply.opening()).await.unwrap_err();
            assert_eq!(error, WireError::ConnectionSilent);
            assert_eq!(error.run_state(), RunState::Unknown);
            assert_eq!(connection.watch().closed().await, CloseReason::Silent);
            let refused = connection.work(&work_head(&server, 1)).await.unwrap_err();
            assert_eq!(refused.run_state(), RunState::NotRun);
        });
    }
}

/// The upstream takes longer than the heartbeat limit, while the node that hosts it answers the
/// heartbeats. The connection must stay open.
#[test]
fn slow_upstream_keeps_the_connection_open() {
    run_local(async {
        let server = start(HandlerScript::ReplyAfter(Duration::from_secs(2))).await;
        let connection = support::connect(&server).await;
        let (body, mut reply) = connection.work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        with_timeout(reply.opening()).await.unwrap();
        assert!(!connection.is_closed());
    });
}

/// The client process is paused for longer than the heartbeat limit after it sent a heartbeat. All
/// its timers then fire at once while the reply is unread in its socket; the connection must stay
/// open.
#[test]
fn pause_of_the_client_keeps_the_connection_open() {
    let settings = WireSettings {
        connect_limit: Duration::from_secs(10),
        heartbeat_interval: Duration::from_millis(100),
        heartbeat_limit: Duration::from_millis(700),
        ..WireSettings::default()
    };
    let (address_sender, address) = std::sync::mpsc::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let serving = std::thread::spawn(move || {
        run_local(async {
            let script = HandlerScript::ReplyAfter(Duration::from_secs(8));
            let server = start_with(script, identity("server"), settings).await;
            // The delay keeps a heartbeat in flight for two thirds of the time.
            let proxy = start_lossy_proxy(server.address, Duration::from_millis(100)).await;
            address_sender.send((proxy.address, server.own)).unwrap();
            let _ = stopped.await;
        });
    });
    let (address, own) = address.recv_timeout(Duration::from_secs(10)).unwrap();
    run_local(async {
        let client = identity("client");
        let connection = PeerConnection::connect(address, &client, Some(own), settings)
            .await
            .unwrap();
        let (body, mut reply) = connection
            .work(&support::work_head_for(own, 0))
            .await
            .unwrap();
        body.finish_with(b"").await.unwrap();
        for round in 0..6 {
            tokio::time::sleep(Duration::from_millis(120 + 20 * round)).await;
            std::thread::sleep(settings.heartbeat_limit * 3 / 2);
        }
        with_timeout(reply.opening()).await.unwrap();
        assert!(!connection.is_closed());
    });
    let _ = stop.send(());
    serving.join().unwrap();
}
