//! Connections that go silent, and nodes that only paused.

mod support;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use support::{HandlerScript, head_of, identity, in_time, local, start, start_with};
use sycamorelink_core::RunState;
use sycamorelink_wire::{CloseReason, PeerConnection, WireError, WireSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Something between the two ends that can lose track of its connections: it then takes what is
/// sent and passes nothing on. New connections work.
struct ForgetfulPath {
    address: SocketAddr,
    /// Nothing from the connecting side gets through.
    lost_there: Arc<AtomicBool>,
    /// Nothing from the answering side gets through.
    lost_back: Arc<AtomicBool>,
}

async fn forgetful_path(to: SocketAddr, delay: Duration) -> ForgetfulPath {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let lost_there = Arc::<AtomicBool>::default();
    let lost_back = Arc::<AtomicBool>::default();
    let flags = (Arc::clone(&lost_there), Arc::clone(&lost_back));
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(pass(near_read, far_write, delay, Arc::clone(&flags.0)));
            tokio::spawn(pass(far_read, near_write, delay, Arc::clone(&flags.1)));
        }
    });
    ForgetfulPath {
        address,
        lost_there,
        lost_back,
    }
}

async fn pass<R, W>(mut from: R, mut to: W, delay: Duration, lost: Arc<AtomicBool>)
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
        if !lost.load(Ordering::Relaxed)
            && to.write_all(&buffer[..count]).await.map_err(|e| e.kind())
                == Err(ErrorKind::BrokenPipe)
        {
            break;
        }
    }
}

/// The caller waits for a reply that can never come, although the upstream is well.
/// A path forgets the connection while a request is under way: both ends keep it open, neither
/// hears the other. Heartbeats stay unanswered, the connection is given up, and the error names
/// the connection, so that no healthy upstream is ejected for it.
/// The same holds when only one of the two directions is lost.
#[test]
fn silent_connection_is_named_as_such() {
    for (there, back) in [(true, true), (true, false), (false, true)] {
        local(async {
            let mut server = start(HandlerScript::WaitForCancel).await;
            let path = forgetful_path(server.address, Duration::ZERO).await;
            let settings = WireSettings::default();
            let client = identity("client");
            let connecting = PeerConnection::connect(path.address, &client, None, settings);
            let connection = connecting.await.unwrap();
            let (body, mut reply) = connection.work(&head_of(&server, 0)).await.unwrap();
            body.finish_with(b"").await.unwrap();
            in_time(server.notes.recv()).await.unwrap();
            path.lost_there.store(there, Ordering::Relaxed);
            path.lost_back.store(back, Ordering::Relaxed);
            let error = in_time(reply.opening()).await.unwrap_err();
            assert_eq!(error, WireError::ConnectionSilent);
            assert_eq!(error.run_state(), RunState::Unknown);
            assert_eq!(connection.watch().closed().await, CloseReason::Silent);
            let refused = connection.work(&head_of(&server, 1)).await.unwrap_err();
            assert_eq!(refused.run_state(), RunState::NotRun);
        });
    }
}

/// The caller sees its reply: the upstream takes longer than the heartbeat's limit, and heartbeats
/// are answered all the while by the daemon beside it.
#[test]
fn slow_upstream_is_no_silence() {
    local(async {
        let server = start(HandlerScript::ReplyAfter(Duration::from_secs(2))).await;
        let connection = support::connect(&server).await;
        let (body, mut reply) = connection.work(&head_of(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        in_time(reply.opening()).await.unwrap();
        assert!(!connection.is_closed());
    });
}

/// The caller sees its reply, although the daemon that fetches it was paused meanwhile.
/// The daemon sends a heartbeat, is stopped for longer than the limit, and goes on with every
/// timer due at once; the answer lies in its socket. The pause is its own and no silence.
#[test]
fn own_pause_is_no_silence() {
    let settings = WireSettings {
        connect_limit: Duration::from_secs(10),
        heartbeat: Duration::from_millis(100),
        silence_limit: Duration::from_millis(700),
        ..WireSettings::default()
    };
    let (told, address) = std::sync::mpsc::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let serving = std::thread::spawn(move || {
        local(async {
            let reply_after = HandlerScript::ReplyAfter(Duration::from_secs(8));
            let server = start_with(reply_after, identity("server"), settings).await;
            // Heartbeats are under way for two thirds of the time.
            let path = forgetful_path(server.address, Duration::from_millis(100)).await;
            told.send((path.address, server.own)).unwrap();
            let _ = stopped.await;
        });
    });
    let (address, own) = address.recv_timeout(Duration::from_secs(10)).unwrap();
    local(async {
        let client = identity("client");
        let connection = PeerConnection::connect(address, &client, Some(own), settings)
            .await
            .unwrap();
        let (body, mut reply) = connection.work(&support::head_at(own, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        for round in 0..6 {
            tokio::time::sleep(Duration::from_millis(120 + 20 * round)).await;
            std::thread::sleep(settings.silence_limit * 3 / 2);
        }
        in_time(reply.opening()).await.unwrap();
        assert!(!connection.is_closed());
    });
    let _ = stop.send(());
    serving.join().unwrap();
}
