//! Handshake before h2, in which both sides prove that they hold a fleet key.
//!
//! ```text
//! client                                   server
//!   Hello{client, target, nonce, keys} ──▶
//!                                      ◀── Challenge{server, nonce, key}   or HandshakeRefused
//!   Proof{code}                        ──▶
//!                                      ◀── Accepted{code}                  or HandshakeRefused
//! ```
//!
//! Each `code` is a MAC over the protocol version, both instances, the target and both nonces. A
//! recorded hello or proof cannot be replayed, since the other side picks a new nonce; a MAC of one
//! side cannot be reflected as that of the other, since it also covers its purpose. The server
//! refuses a hello whose target is another instance: a node restarted at the same address is
//! another instance, and must not run work sent to its earlier incarnation.

use std::io;
use std::sync::Arc;

use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sycamorelink_core::InstanceId;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::codec::{decode_payload, encode_fixed, encode_payload};
use crate::error::ConnectError;
use crate::frame::{
    FrameError, FrameKind, FrameLimits, HEADER_BYTES, WIRE_VERSION, encode_frame, read_header,
};
use crate::keys::{FleetKey, FleetKeys, FullMac, KeyId, MacPurpose, macs_equal};

/// Maximum payload of a handshake frame in bytes. It bounds what an unauthenticated client can make
/// the server read.
pub(crate) const MAX_HANDSHAKE_BYTES: usize = 512;

type HandshakeNonce = [u8; 16];

fn random_nonce() -> Result<HandshakeNonce, ConnectError> {
    let mut nonce = HandshakeNonce::default();
    OsRng
        .try_fill_bytes(&mut nonce)
        .map_err(|error| ConnectError::Unreachable(format!("no random nonce: {error}")))?;
    Ok(nonce)
}

/// Identity of a node towards its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// Instance of the node.
    pub instance: InstanceId,
    /// Keys of the fleet.
    pub keys: Arc<FleetKeys>,
}

impl PeerIdentity {
    /// Creates an identity from an instance and the fleet keys.
    #[must_use]
    pub fn new(instance: InstanceId, keys: FleetKeys) -> Self {
        Self {
            instance,
            keys: Arc::new(keys),
        }
    }
}

/// Reason why a node refuses a handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum HandshakeRefusal {
    /// The client uses an unknown protocol version.
    #[error("unknown protocol version")]
    UnknownVersion,
    /// The client offers no key that the node accepts, so it is not part of this fleet.
    #[error("no common fleet key")]
    UnknownKey,
    /// The client's MAC does not match, so it does not hold the key that it named.
    #[error("invalid proof of the fleet key")]
    WrongProof,
    /// The client's target is another node or another incarnation of this node.
    #[error("this is instance {actual}")]
    WrongInstance {
        /// Instance of the refusing node.
        actual: InstanceId,
    },
    /// A handshake frame of the client cannot be parsed or is of an unexpected kind.
    #[error("handshake frame is malformed")]
    Malformed,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HelloFrame {
    pub(crate) client: InstanceId,
    pub(crate) target: Option<InstanceId>,
    pub(crate) nonce: HandshakeNonce,
    pub(crate) keys: Vec<KeyId>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ChallengeFrame {
    server: InstanceId,
    nonce: HandshakeNonce,
    key: KeyId,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ProofFrame {
    code: FullMac,
}

/// Data covered by the MACs of a handshake.
#[derive(Serialize)]
struct HandshakeTranscript<'a> {
    version: u8,
    hello: &'a HelloFrame,
    challenge: &'a ChallengeFrame,
}

impl HandshakeTranscript<'_> {
    fn mac(&self, key: &FleetKey, purpose: MacPurpose) -> Result<FullMac, ConnectError> {
        Ok(key.mac(purpose, &encode_fixed(self)?))
    }
}

/// Runs the client side and returns the peer's instance.
pub(crate) async fn connect_handshake<I>(
    io: &mut I,
    identity: &PeerIdentity,
    target: Option<InstanceId>,
) -> Result<InstanceId, ConnectError>
where
    I: AsyncRead + AsyncWrite + Unpin,
{
    let keys = identity.keys.accepted();
    let hello = HelloFrame {
        client: identity.instance,
        target,
        nonce: random_nonce()?,
        keys: keys.iter().map(|key| key.id()).collect(),
    };
    send(io, FrameKind::Hello, &hello).await?;
    let challenge: ChallengeFrame = receive(io, FrameKind::Challenge).await?;
    let key = identity
        .keys
        .find(challenge.key)
        .ok_or(ConnectError::Unauthenticated)?;
    let transcript = HandshakeTranscript {
        version: WIRE_VERSION,
        hello: &hello,
        challenge: &challenge,
    };
    let code = transcript.mac(key, MacPurpose::ClientProof)?;
    send(io, FrameKind::Proof, &ProofFrame { code }).await?;
    let accepted: ProofFrame = receive(io, FrameKind::Accepted)
        .await
        .map_err(|error| map_wrong_instance(error, target))?;
    let expected = transcript.mac(key, MacPurpose::ServerProof)?;
    if !macs_equal(&accepted.code, &expected) {
        return Err(ConnectError::Unauthenticated);
    }
    match target {
        Some(expected) if expected != challenge.server => Err(ConnectError::WrongInstance {
            expected,
            actual: challenge.server,
        }),
        _ => Ok(challenge.server),
    }
}

fn map_wrong_instance(error: ConnectError, target: Option<InstanceId>) -> ConnectError {
    match (error, target) {
        (ConnectError::Refused(HandshakeRefusal::WrongInstance { actual }), Some(expected)) => {
            ConnectError::WrongInstance { expected, actual }
        }
        (other, _) => other,
    }
}

/// Runs the server side and returns the client's instance. A refusal is sent to the client.
pub(crate) async fn accept_handshake<I>(
    io: &mut I,
    identity: &PeerIdentity,
) -> Result<InstanceId, ConnectError>
where
    I: AsyncRead + AsyncWrite + Unpin,
{
    let hello: HelloFrame = match receive(io, FrameKind::Hello).await {
        Ok(hello) => hello,
        Err(error) => return refuse_frame(io, error).await,
    };
    let known = hello.keys.iter().find_map(|id| identity.keys.find(*id));
    let Some(key) = known else {
        return refuse(io, HandshakeRefusal::UnknownKey).await;
    };
    let challenge = ChallengeFrame {
        server: identity.instance,
        nonce: random_nonce()?,
        key: key.id(),
    };
    send(io, FrameKind::Challenge, &challenge).await?;
    let proof: ProofFrame = match receive(io, FrameKind::Proof).await {
        Ok(proof) => proof,
        Err(error) => return refuse_frame(io, error).await,
    };
    let transcript = HandshakeTranscript {
        version: WIRE_VERSION,
        hello: &hello,
        challenge: &challenge,
    };
    if !macs_equal(&proof.code, &transcript.mac(key, MacPurpose::ClientProof)?) {
        return refuse(io, HandshakeRefusal::WrongProof).await;
    }
    if hello
        .target
        .is_some_and(|target| target != identity.instance)
    {
        let actual = identity.instance;
        return refuse(io, HandshakeRefusal::WrongInstance { actual }).await;
    }
    let code = transcript.mac(key, MacPurpose::ServerProof)?;
    send(io, FrameKind::Accepted, &ProofFrame { code }).await?;
    Ok(hello.client)
}

async fn refuse_frame<I>(io: &mut I, error: ConnectError) -> Result<InstanceId, ConnectError>
where
    I: AsyncWrite + Unpin,
{
    let refusal = match error {
        ConnectError::Frame(FrameError::Version(_)) => HandshakeRefusal::UnknownVersion,
        ConnectError::Frame(_) | ConnectError::Codec(_) | ConnectError::UnexpectedFrame(_) => {
            HandshakeRefusal::Malformed
        }
        other => return Err(other),
    };
    refuse(io, refusal).await
}

async fn refuse<I>(io: &mut I, refusal: HandshakeRefusal) -> Result<InstanceId, ConnectError>
where
    I: AsyncWrite + Unpin,
{
    send(io, FrameKind::HandshakeRefused, &refusal).await?;
    let _ = io.shutdown().await;
    Err(ConnectError::Refused(refusal))
}

async fn send<I, T>(io: &mut I, kind: FrameKind, value: &T) -> Result<(), ConnectError>
where
    I: AsyncWrite + Unpin,
    T: Serialize,
{
    let frame = encode_frame(kind, &encode_payload(value)?);
    io.write_all(&frame).await.map_err(unreachable)?;
    io.flush().await.map_err(unreachable)
}

async fn receive<I, T>(io: &mut I, expected: FrameKind) -> Result<T, ConnectError>
where
    I: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut header = [0; HEADER_BYTES];
    io.read_exact(&mut header).await.map_err(unreachable)?;
    let (kind, length) = read_header(header, &FrameLimits::default())?;
    if kind != expected && kind != FrameKind::HandshakeRefused {
        return Err(ConnectError::UnexpectedFrame(kind));
    }
    let mut payload = vec![0; length];
    io.read_exact(&mut payload).await.map_err(unreachable)?;
    if kind == FrameKind::HandshakeRefused {
        return Err(ConnectError::Refused(decode_payload(&payload)?));
    }
    Ok(decode_payload(&payload)?)
}

#[expect(clippy::needless_pass_by_value, reason = "the signature of map_err")]
fn unreachable(error: io::Error) -> ConnectError {
    ConnectError::Unreachable(error.to_string())
}
