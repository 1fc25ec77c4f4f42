//! Draining and connection limit of a listener.

mod support;

use std::rc::Rc;
use std::time::Duration;

use support::{
    HandlerScript, ScriptedHandler, connect_to, identity, run_local, with_timeout, work_head_for,
};
use sycamorelink_wire::{PeerHandler, ReplyOpening, WireSettings, serve_listener};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Body size in bytes above the window of a stream.
const LARGE_BODY_BYTES: usize = 3_000_000;

/// A node drains while a caller reads a large reply slowly. The handler is done and the last bytes
/// wait for the flow-control window; the listener must not end before they are read.
#[test]
fn drain_waits_for_a_slow_reader() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (drain, drained) = watch::channel(false);
        let (events, _events) = mpsc::unbounded_channel();
        let own = identity("server");
        let script = HandlerScript::ReplyWithSize(LARGE_BODY_BYTES);
        let handler = ScriptedHandler::new(script, own.instance, events);
        let handler: Rc<dyn PeerHandler<String>> = Rc::new(handler);
        let instance = own.instance;
        let mut serving = tokio::task::spawn_local(async move {
            serve_listener(listener, &own, WireSettings::default(), handler, drained).await;
        });
        let connection = connect_to(address, instance).await;
        let (body, mut reply) = connection.work(&work_head_for(instance, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        let opening = with_timeout(reply.opening()).await.unwrap();
        assert!(matches!(opening, ReplyOpening::Reply(_)));
        drain.send_replace(true);
        let early = tokio::time::timeout(Duration::from_millis(300), &mut serving).await;
        assert!(early.is_err(), "the listener ended before the reply");
        let mut received = 0;
        while let Some(chunk) = with_timeout(reply.chunk()).await.unwrap() {
            received += chunk.len();
        }
        assert_eq!(received, LARGE_BODY_BYTES);
        with_timeout(serving).await.unwrap();
        assert!(tokio::net::TcpStream::connect(address).await.is_err());
    });
}

/// Clients that connect and send nothing occupy the slots of a listener no longer than the
/// handshake limit.
#[test]
fn full_listener_accepts_again_after_handshake_timeouts() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_drain, drained) = watch::channel(false);
        let (events, _events) = mpsc::unbounded_channel();
        let own = identity("server");
        let instance = own.instance;
        let handler = ScriptedHandler::new(HandlerScript::Echo, instance, events);
        let handler: Rc<dyn PeerHandler<String>> = Rc::new(handler);
        let settings = WireSettings {
            max_connections: 2,
            connect_limit: Duration::from_millis(200),
            ..WireSettings::default()
        };
        tokio::task::spawn_local(async move {
            serve_listener(listener, &own, settings, handler, drained).await;
        });
        let mut silent_clients = Vec::new();
        for _ in 0..4 {
            silent_clients.push(tokio::net::TcpStream::connect(address).await.unwrap());
        }
        connect_to(address, instance).await;
    });
}
