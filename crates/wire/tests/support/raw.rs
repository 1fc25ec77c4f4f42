//! An independent implementation of the client's handshake, written from
//! `docs/design/inner-protocol.md`. A change of the format in the crate alone makes its tests fail.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use sycamorelink_core::InstanceId;
use sycamorelink_wire::{FleetKey, FrameKind, KeyId, decode_payload, encode_frame, encode_payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{KEY, TestServer, identity};

type Hello = (InstanceId, Option<InstanceId>, [u8; 16], Vec<KeyId>);
type Challenge = (InstanceId, [u8; 16], KeyId);

/// Size of a frame header in bytes.
const HEADER_BYTES: usize = 6;

/// Purpose byte of the client's proof.
const CLIENT_PROOF: u8 = 2;

/// Connects and completes the handshake.
pub async fn connect_raw(server: &TestServer) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let client = identity("client").instance;
    let hello: Hello = (client, None, [7; 16], vec![FleetKey::new(KEY).id()]);
    let payload = encode_payload(&hello).unwrap();
    let frame = encode_frame(FrameKind::Hello, &payload);
    stream.write_all(&frame).await.unwrap();
    let challenge = read_frame(&mut stream).await;
    let challenge: Challenge = decode_payload(&challenge[HEADER_BYTES..]).unwrap();
    let fixed_config = bincode::config::standard().with_fixed_int_encoding();
    let authenticated =
        bincode::serde::encode_to_vec((1_u8, &hello, &challenge), fixed_config).unwrap();
    let mut mac = Hmac::<Sha256>::new_from_slice(KEY.as_bytes()).unwrap();
    mac.update(&[CLIENT_PROOF]);
    mac.update(&authenticated);
    let mac_bytes = mac.finalize().into_bytes();
    let proof = encode_frame(FrameKind::Proof, &mac_bytes);
    stream.write_all(&proof).await.unwrap();
    let accepted = read_frame(&mut stream).await;
    assert_eq!(accepted[1], FrameKind::Accepted as u8);
    stream
}

/// Reads a handshake frame including its header. Handshake payloads are shorter than 256 bytes, so
/// the last byte of the length is enough.
pub async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    stream.read_exact(&mut frame).await.unwrap();
    let length = usize::from(frame[HEADER_BYTES - 1]);
    frame.resize(HEADER_BYTES + length, 0);
    stream.read_exact(&mut frame[HEADER_BYTES..]).await.unwrap();
    frame
}
