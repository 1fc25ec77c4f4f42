//! Authenticated datagrams for gossip.
//!
//! ```text
//! byte   0        1     2..           last 16
//!        version  kind  bincode       HMAC-SHA256 over the preceding bytes, truncated
//! ```
//!
//! The MAC proves that a node of the fleet created the datagram. It does not prevent replay: gossip
//! content carries its own versions, and receivers ignore an older version.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::{CodecError, decode_payload, encode_payload};
use crate::frame::{FrameKind, WIRE_VERSION};
use crate::keys::{FleetKeys, MacPurpose, SHORT_MAC_BYTES, macs_equal};

/// Maximum size of a datagram in bytes. It is below the smallest common path MTU, since the loss of
/// any IP fragment would lose the whole datagram.
pub const DATAGRAM_BYTES: usize = 1200;

/// Version and kind, which precede the payload.
const PREFIX: [u8; 2] = [WIRE_VERSION, FrameKind::Datagram as u8];

/// Maximum size of an encoded datagram payload in bytes.
pub const DATAGRAM_PAYLOAD: usize = DATAGRAM_BYTES - PREFIX.len() - SHORT_MAC_BYTES;

/// Reason why a datagram cannot be encoded or is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is larger than [`DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes is above the limit of {DATAGRAM_BYTES}")]
    Oversized(usize),
    /// The datagram is too short to hold the prefix and the MAC.
    #[error("datagram of {0} bytes is too short")]
    Truncated(usize),
    /// The first two bytes are not [`WIRE_VERSION`] and [`FrameKind::Datagram`].
    #[error("datagram has version {version} and kind {kind}")]
    Version {
        /// Version, the first byte.
        version: u8,
        /// Kind, the second byte.
        kind: u8,
    },
    /// No accepted fleet key matches the MAC.
    #[error("datagram is not authenticated with a key of this fleet")]
    WrongKey,
    /// The payload cannot be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Encodes a datagram and authenticates it with the current key.
///
/// # Errors
///
/// Fails if the content cannot be encoded or is too large.
pub fn encode_datagram<T>(keys: &FleetKeys, content: &T) -> Result<Vec<u8>, DatagramError>
where
    T: Serialize,
{
    let mut bytes = PREFIX.to_vec();
    bytes.extend(encode_payload(content)?);
    let size = bytes.len() + SHORT_MAC_BYTES;
    if size > DATAGRAM_BYTES {
        return Err(DatagramError::Oversized(size));
    }
    let mac = keys.current.short_mac(MacPurpose::Datagram, &bytes);
    bytes.extend(mac);
    Ok(bytes)
}

/// Verifies and decodes a datagram authenticated with any accepted key.
///
/// # Errors
///
/// Fails if the datagram is malformed, the MAC matches no accepted key or the payload is not a `T`.
pub fn decode_datagram<T>(keys: &FleetKeys, bytes: &[u8]) -> Result<T, DatagramError>
where
    T: DeserializeOwned,
{
    if bytes.len() > DATAGRAM_BYTES {
        return Err(DatagramError::Oversized(bytes.len()));
    }
    let Some((authenticated, mac)) = bytes.split_last_chunk::<SHORT_MAC_BYTES>() else {
        return Err(DatagramError::Truncated(bytes.len()));
    };
    let Some((prefix, payload)) = authenticated.split_first_chunk::<2>() else {
        return Err(DatagramError::Truncated(bytes.len()));
    };
    if *prefix != PREFIX {
        let [version, kind] = *prefix;
        return Err(DatagramError::Version { version, kind });
    }
    let is_authentic = keys
        .accepted()
        .iter()
        .any(|key| macs_equal(&key.short_mac(MacPurpose::Datagram, authenticated), mac));
    if !is_authentic {
        return Err(DatagramError::WrongKey);
    }
    Ok(decode_payload(payload)?)
}
