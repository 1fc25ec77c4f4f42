//! Handshake: which clients and servers are accepted, and handling of invalid input. The server
//! keeps serving after each rejected client.

mod support;

use support::raw::read_frame;
use support::{
    HandlerScript, KEY, TestServer, connect, identity, instance, run_local, start, start_with,
    with_timeout, work_head,
};
use sycamorelink_core::InstanceId;
use sycamorelink_wire::{
    ConnectError, FleetKey, FleetKeys, FrameKind, HandshakeRefusal, PeerConnection, PeerIdentity,
    WireSettings, decode_payload, encode_frame,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const NEW_KEY: &str = "another key of the tests, 32 or more characters";

async fn try_connect(
    server: &TestServer,
    keys: FleetKeys,
    target: Option<InstanceId>,
) -> Result<PeerConnection, ConnectError> {
    let client = PeerIdentity::new(instance("client", 7), keys);
    let settings = WireSettings::default();
    with_timeout(PeerConnection::connect(
        server.address,
        &client,
        target,
        settings,
    ))
    .await
}

async fn assert_still_serving(server: &TestServer) {
    let connection = connect(server).await;
    let (body, mut reply) = connection.work(&work_head(server, 0)).await.unwrap();
    body.finish_with(b"still there?").await.unwrap();
    with_timeout(reply.opening()).await.unwrap();
    while with_timeout(reply.chunk()).await.unwrap().is_some() {}
}

/// Sends bytes and returns the server's answer up to its close.
async fn send_raw(server: &TestServer, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = Vec::new();
    let _ = with_timeout(stream.read_to_end(&mut answer)).await;
    answer
}

#[test]
fn client_with_unknown_key_is_refused() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let error = try_connect(&server, FleetKeys::only(NEW_KEY), None).await;
        let refusal = HandshakeRefusal::UnknownKey;
        assert_eq!(error.unwrap_err(), ConnectError::Refused(refusal));
        assert_still_serving(&server).await;
    });
}

/// A node was restarted at the same address. Its earlier incarnation may have granted a request
/// that the new one knows nothing of. The new incarnation must not run the request, and the sender
/// must learn that nothing ran.
#[test]
fn connection_to_an_earlier_incarnation_is_refused() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let earlier = instance("server", 6);
        let error = try_connect(&server, FleetKeys::only(KEY), Some(earlier)).await;
        let wrong = ConnectError::WrongInstance {
            expected: earlier,
            actual: server.own,
        };
        assert_eq!(error.unwrap_err(), wrong);
        let any_instance = try_connect(&server, FleetKeys::only(KEY), None)
            .await
            .unwrap();
        assert_eq!(any_instance.peer(), server.own);
        assert_still_serving(&server).await;
    });
}

/// A key rotation proceeds node by node in three passes. Nodes one pass apart can always connect.
#[test]
fn nodes_connect_during_every_step_of_a_key_rotation() {
    run_local(async {
        let pair = |current: &str, previous: &str| FleetKeys {
            current: FleetKey::new(current),
            previous: Some(FleetKey::new(previous)),
        };
        let stages = [
            FleetKeys::only(KEY),
            pair(KEY, NEW_KEY),
            pair(NEW_KEY, KEY),
            FleetKeys::only(NEW_KEY),
        ];
        for step in stages.windows(2) {
            for (server_keys, client_keys) in [(0, 1), (1, 0), (1, 1)] {
                let own = PeerIdentity::new(instance("server", 7), step[server_keys].clone());
                let server = start_with(HandlerScript::Echo, own, WireSettings::default()).await;
                let connected = try_connect(&server, step[client_keys].clone(), None).await;
                assert!(connected.is_ok(), "{step:?}: {:?}", connected.err());
            }
        }
    });
}

/// A recorded handshake is replayed. The server's nonce is new and does not match the recorded
/// proof.
#[test]
fn replayed_handshake_is_refused() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let recorded = record_client_handshake(&server).await;
        let answer = send_raw(&server, &recorded).await;
        // The answer holds the challenge, then the refusal.
        let challenge = 6 + usize::from(answer[5]);
        assert_eq!(answer[1], FrameKind::Challenge as u8);
        let refused = &answer[challenge..];
        assert_eq!(refused[1], FrameKind::HandshakeRefused as u8);
        let refusal: HandshakeRefusal = decode_payload(&refused[6..]).unwrap();
        assert_eq!(refusal, HandshakeRefusal::WrongProof);
        assert_still_serving(&server).await;
    });
}

/// Records the frames that a client of the fleet sends in a successful handshake.
async fn record_client_handshake(server: &TestServer) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let to = server.address;
    let proxy = tokio::task::spawn_local(async move {
        let (mut client_stream, _) = listener.accept().await.unwrap();
        let mut server_stream = TcpStream::connect(to).await.unwrap();
        let mut recorded = Vec::new();
        for _ in 0..2 {
            let frame = read_frame(&mut client_stream).await;
            server_stream.write_all(&frame).await.unwrap();
            recorded.extend(&frame);
            let answer = read_frame(&mut server_stream).await;
            client_stream.write_all(&answer).await.unwrap();
        }
        recorded
    });
    let settings = WireSettings::default();
    let client = identity("client");
    let connected = PeerConnection::connect(address, &client, None, settings);
    with_timeout(connected).await.unwrap();
    with_timeout(proxy).await.unwrap()
}

/// A server without the fleet key answers at a peer's address, forwards the client's frames to a
/// real node and reflects the client's proof. The client must reject it.
#[test]
fn server_that_reflects_the_proof_is_rejected() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let to = server.address;
        let impostor = tokio::task::spawn_local(async move {
            let (mut client_stream, _) = listener.accept().await.unwrap();
            let mut server_stream = TcpStream::connect(to).await.unwrap();
            let hello = read_frame(&mut client_stream).await;
            server_stream.write_all(&hello).await.unwrap();
            let challenge = read_frame(&mut server_stream).await;
            client_stream.write_all(&challenge).await.unwrap();
            let proof = read_frame(&mut client_stream).await;
            let mut accepted = proof;
            accepted[1] = FrameKind::Accepted as u8;
            client_stream.write_all(&accepted).await.unwrap();
        });
        let settings = WireSettings::default();
        let client = identity("client");
        let connected = PeerConnection::connect(address, &client, None, settings);
        let error = with_timeout(connected).await.unwrap_err();
        assert_eq!(error, ConnectError::Unauthenticated);
        impostor.await.unwrap();
    });
}

#[test]
fn invalid_first_bytes_are_refused() {
    run_local(async {
        let server = start(HandlerScript::Echo).await;
        let mut other_version = encode_frame(FrameKind::Hello, b"hello").to_vec();
        other_version[0] = 9;
        let mut oversized = encode_frame(FrameKind::Hello, b"hello").to_vec();
        oversized[2..6].copy_from_slice(&u32::MAX.to_be_bytes());
        let cases: [(&[u8], Option<HandshakeRefusal>); 7] = [
            (&other_version, Some(HandshakeRefusal::UnknownVersion)),
            (&oversized, Some(HandshakeRefusal::Malformed)),
            (
                &encode_frame(FrameKind::Hello, b"x"),
                Some(HandshakeRefusal::Malformed),
            ),
            (
                &encode_frame(FrameKind::WorkHead, b""),
                Some(HandshakeRefusal::Malformed),
            ),
            (&[1, 99, 0, 0, 0, 0], Some(HandshakeRefusal::Malformed)),
            (
                b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                Some(HandshakeRefusal::UnknownVersion),
            ),
            (&encode_frame(FrameKind::Hello, b"hello")[..8], None),
        ];
        for (bytes, expected) in cases {
            let answer = send_raw(&server, bytes).await;
            let refusal = answer
                .get(6..)
                .map(|payload| decode_payload(payload).unwrap());
            assert_eq!(refusal, expected, "{bytes:?}");
        }
        assert_still_serving(&server).await;
    });
}

/// A client that connects and sends nothing is disconnected after the limit.
#[test]
fn silent_client_is_disconnected_after_the_limit() {
    run_local(async {
        let settings = WireSettings {
            connect_limit: std::time::Duration::from_millis(50),
            ..WireSettings::default()
        };
        let mut server = start_with(HandlerScript::Echo, identity("server"), settings).await;
        let _silent = TcpStream::connect(server.address).await.unwrap();
        let result = with_timeout(server.results.recv()).await.unwrap();
        assert_eq!(result, "Err(TimedOut)");
    });
}

#[test]
fn short_keys_are_reported() {
    let keys = FleetKeys {
        current: FleetKey::new(KEY),
        previous: Some(FleetKey::new("short")),
    };
    let findings = keys.check("fleet").into_result().unwrap_err();
    assert_eq!(
        findings.to_string(),
        "fleet.previous: must have at least 32 characters, from a random source"
    );
    assert!(!format!("{keys:?}").contains("short"));
}
