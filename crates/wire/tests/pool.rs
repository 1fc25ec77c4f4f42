//! Pool of connections to peers.

mod support;

use std::time::Duration;

use support::{HandlerScript, TestServer, identity, run_local, start, with_timeout, work_head};
use sycamorelink_wire::{ConnectError, PeerIdentity, PeerPool, WireSettings};
use tokio::net::TcpListener;

fn new_pool(settings: WireSettings) -> PeerPool<String> {
    PeerPool::new(identity("client"), settings)
}

async fn start_servers(count: usize) -> Vec<TestServer> {
    let mut started = Vec::new();
    for number in 0..count {
        let own = support::instance(&format!("server-{number}"), 7);
        let keys = identity("server").keys.as_ref().clone();
        let own = PeerIdentity::new(own, keys);
        started.push(support::start_with(HandlerScript::Echo, own, WireSettings::default()).await);
    }
    started
}

#[test]
fn requests_and_messages_share_a_connection() {
    run_local(async {
        let mut server = start(HandlerScript::Echo).await;
        let pool = new_pool(WireSettings::default());
        let (first, second) = tokio::join!(
            pool.connection(server.own, server.address),
            pool.connection(server.own, server.address),
        );
        let (body, mut reply) = first.unwrap().work(&work_head(&server, 0)).await.unwrap();
        body.finish_with(b"").await.unwrap();
        with_timeout(reply.opening()).await.unwrap();
        assert_eq!(second.unwrap().open_work(), 1);
        pool.send(server.own, server.address, &"share".to_owned())
            .await
            .unwrap();
        assert!(
            with_timeout(server.events.recv())
                .await
                .unwrap()
                .ends_with("share")
        );
        assert_eq!(pool.open_count(), 1);
    });
}

/// The pool keeps no more connections than its limit and closes none that carries a request.
#[test]
fn longest_idle_connection_is_closed() {
    run_local(async {
        let settings = WireSettings {
            max_pooled: 2,
            ..WireSettings::default()
        };
        let pool = new_pool(settings);
        let mut servers = start_servers(4).await;
        let busy = pool
            .connection(servers[0].own, servers[0].address)
            .await
            .unwrap();
        let (_body, _reply) = busy.work(&work_head(&servers[0], 0)).await.unwrap();
        for server in &servers[1..] {
            let text = "share".to_owned();
            pool.send(server.own, server.address, &text).await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(pool.open_count(), 2);
        for server in &mut servers[1..3] {
            assert_eq!(
                with_timeout(server.results.recv()).await.unwrap(),
                r#"Ok(Lost("closed"))"#
            );
        }
        assert!(!busy.is_closed());
        assert!(servers[3].results.try_recv().is_err());
    });
}

/// The peer accepts connections and sends nothing. Requests that wait for it must share one connect
/// attempt instead of each timing out in turn.
#[test]
fn requests_to_an_unresponsive_peer_share_one_connect() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let settings = WireSettings {
            connect_limit: Duration::from_millis(100),
            reconnect_delay: Duration::from_secs(10),
            ..WireSettings::default()
        };
        let pool = new_pool(settings);
        let peer = support::instance("mute", 1);
        let mut waiting = tokio::task::JoinSet::new();
        for _ in 0..50 {
            let pool = pool.clone();
            waiting.spawn_local(async move { pool.connection(peer, address).await.unwrap_err() });
        }
        let errors = with_timeout(waiting.join_all()).await;
        assert!(errors.iter().all(|error| *error == ConnectError::TimedOut));
        with_timeout(listener.accept()).await.unwrap();
        let more = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
        assert!(more.is_err(), "a second try was made");
    });
}

/// A restarted peer is another instance, and the entry of its earlier incarnation is removed.
#[test]
fn restarted_peer_gets_a_new_connection() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let pool = new_pool(WireSettings::default());
        let earlier = support::instance("server", 6);
        let error = pool.connection(earlier, server.address).await.unwrap_err();
        assert!(matches!(error, ConnectError::WrongInstance { .. }));
        let connection = pool.connection(server.own, server.address).await.unwrap();
        assert_eq!(connection.peer(), server.own);
    });
}
