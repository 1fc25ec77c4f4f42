//! Tests of numbered events.

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

use crate::http::call;
use crate::node::{NodeFixture, wait_event};

/// Checks that the log shows every phase of a backend server: announced, ready, leaving and gone.
#[test]
fn backend_server_phases_are_logged() {
    let node = NodeFixture::start("announcer");
    let address = node.operators();
    let announce = "PUT /v1/local/upstreams/7";
    let body = |phase: &str| {
        format!(
            r#"{{"service":"told-{phase}","address":"127.0.0.1:9","slots":2,"phase":"{phase}"}}"#
        )
    };
    assert_eq!(call(address, announce, &[], &body("starting")).status, 204);
    wait_event("SL1010", "service", "told-starting");
    assert_eq!(call(address, announce, &[], &body("ready")).status, 204);
    wait_event("SL1011", "service", "told-ready");
    assert_eq!(call(address, announce, &[], &body("leaving")).status, 204);
    wait_event("SL1012", "service", "told-leaving");
    assert_eq!(
        call(address, "DELETE /v1/local/upstreams/7", &[], "").status,
        204
    );
    wait_event("SL1013", "service", "told-leaving");
    let reply = call(address, "PUT /v1/local/upstreams/8", &[], "{\"no\":1}");
    assert_eq!(reply.status, 400);
    wait_event("SL9019", "call", "PUT /v1/local/upstreams/8");
    node.handle.stop();
}

/// Checks that bytes sent to the peer and gossip ports by a sender that is not part of the fleet
/// are logged with the sender's address.
#[test]
fn foreign_traffic_on_peer_ports_is_logged() {
    let node = NodeFixture::start("gatekeeper");
    let addresses = node.handle.addresses();
    let mut stream = TcpStream::connect(addresses.peers).expect("the daemon listens");
    let limit = Some(Duration::from_secs(10));
    stream.set_read_timeout(limit).expect("a limit is set");
    let local_address = stream.local_addr().expect("an address").to_string();
    stream.write_all(&[0xff; 64]).expect("bytes are sent");
    let _ = stream.read(&mut [0; 16]);
    wait_event("SL9002", "address", &local_address);

    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let local_address = socket.local_addr().expect("an address").to_string();
    socket
        .send_to(&[0xff; 80], addresses.gossip)
        .expect("a datagram is sent");
    wait_event("SL9016", "address", &local_address);
    node.handle.stop();
}
