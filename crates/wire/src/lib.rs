//! Inner protocol between daemons: bincode frames over h2 streams, and authenticated datagrams.
//!
//! ```text
//!  PeerConnection::connect ── TCP ── hello, challenge, proof, accepted ── serve_connection
//!        │                                                                  │
//!        ├─ work(head) ── h2 stream ── WorkHead, BodyChunk.., BodyEnd ──────▶ PeerHandler::work
//!        │        ◀────── WorkRefused | ReplyHead, ReplyChunk.., ReplyEnd ──┘
//!        ├─ messages() ── one h2 stream ── Message.. ───────────────────────▶ PeerHandler::message
//!        └─ h2 PING ── detects a connection on which the peer no longer answers
//!  encode_datagram ── UDP ── decode_datagram
//! ```
//!
//! Each node opens its own connections. A connection carries requests and messages in one
//! direction only: from the node that opened it to the node that accepted it. The wire format
//! and the threats it protects against are described in `docs/design/inner-protocol.md`.
//! [`serve_connection`] spawns handlers with `spawn_local` and must run inside a
//! `tokio::task::LocalSet`; the client side runs in any tokio runtime.

mod checksum;
mod client;
mod client_exchange;
mod codec;
mod connection;
mod datagram;
mod error;
mod frame;
mod handshake;
mod heartbeat;
mod keys;
mod listener;
mod message;
mod pool;
mod server;
mod server_exchange;
mod settings;
mod stream;
mod work;

pub use client::PeerConnection;
pub use client_exchange::{BodySender, ReplyOpening, ReplyReceiver};
pub use codec::{CodecError, decode_payload, encode_payload};
pub use connection::{CloseReason, ConnectionWatch};
pub use datagram::{
    DATAGRAM_BYTES, DATAGRAM_PAYLOAD, DatagramError, decode_datagram, encode_datagram,
};
pub use error::{ConnectError, WireError};
pub use frame::{
    Frame, FrameDecoder, FrameError, FrameKind, FrameLimits, WIRE_VERSION, encode_frame,
};
pub use handshake::{HandshakeRefusal, PeerIdentity};
pub use keys::{FleetKey, FleetKeys, KeyId};
pub use listener::serve_listener;
pub use message::{MessageError, MessageSender};
pub use pool::{PeerPool, PoolError};
pub use server::{HandlerFuture, PeerHandler, serve_connection};
pub use server_exchange::{BodyReceiver, ReplySender, WorkExchange};
pub use settings::WireSettings;
pub use work::{
    BodyEnd, FailureKind, LoadReport, ReplyEnd, ReplyHead, WorkFailed, WorkHead, WorkRefused,
};
