//! Sealed datagrams for gossip.
//!
//! ```text
//! byte   0        1     2..           last 16
//!        version  kind  bincode       HMAC-SHA256 over all before it, truncated
//! ```
//!
//! The code proves that a node of the fleet made the datagram. It does not stop a replay: gossip
//! content carries its own versions, and an older one changes nothing.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::{CodecError, decode_payload, encode_payload};
use crate::frame::{FrameKind, WIRE_VERSION};
use crate::keys::{CodePurpose, FleetKeys, SHORT_CODE_BYTES, same_code};

/// Greatest size of a datagram in bytes: below the smallest common path MTU, so that it is never
/// cut into fragments, of which each may be lost.
pub const DATAGRAM_BYTES: usize = 1200;

/// Bytes before the payload.
const PREFIX: [u8; 2] = [WIRE_VERSION, FrameKind::Datagram as u8];

/// Greatest size of what a datagram carries, in bytes.
pub const DATAGRAM_PAYLOAD: usize = DATAGRAM_BYTES - PREFIX.len() - SHORT_CODE_BYTES;

/// A datagram that cannot be made or is not of this fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It would be larger than [`DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes is above the limit of {DATAGRAM_BYTES}")]
    Oversized(usize),
    /// It is shorter than its fixed parts.
    #[error("datagram of {0} bytes is too short")]
    Truncated(usize),
    /// Another version or kind.
    #[error("datagram has version {version} and kind {kind}")]
    Version {
        /// First byte.
        version: u8,
        /// Second byte.
        kind: u8,
    },
    /// No known key made its code.
    #[error("datagram is not sealed by a key of this fleet")]
    WrongKey,
    /// Its content is not what it should be.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Encodes and seals a datagram by the current key.
///
/// # Errors
///
/// When the content has no encoding or is too large.
pub fn encode_datagram<T>(keys: &FleetKeys, content: &T) -> Result<Vec<u8>, DatagramError>
where
    T: Serialize,
{
    let mut bytes = PREFIX.to_vec();
    bytes.extend(encode_payload(content)?);
    let size = bytes.len() + SHORT_CODE_BYTES;
    if size > DATAGRAM_BYTES {
        return Err(DatagramError::Oversized(size));
    }
    let code = keys.current.short_code(CodePurpose::Datagram, &bytes);
    bytes.extend(code);
    Ok(bytes)
}

/// Checks and decodes a datagram sealed by any accepted key.
///
/// # Errors
///
/// When it is not whole, not of this fleet or not such content.
pub fn decode_datagram<T>(keys: &FleetKeys, bytes: &[u8]) -> Result<T, DatagramError>
where
    T: DeserializeOwned,
{
    if bytes.len() > DATAGRAM_BYTES {
        return Err(DatagramError::Oversized(bytes.len()));
    }
    let Some((sealed, code)) = bytes.split_last_chunk::<SHORT_CODE_BYTES>() else {
        return Err(DatagramError::Truncated(bytes.len()));
    };
    let Some((prefix, payload)) = sealed.split_first_chunk::<2>() else {
        return Err(DatagramError::Truncated(bytes.len()));
    };
    if *prefix != PREFIX {
        let [version, kind] = *prefix;
        return Err(DatagramError::Version { version, kind });
    }
    let known = keys
        .accepted()
        .iter()
        .any(|key| same_code(&key.short_code(CodePurpose::Datagram, sealed), code));
    if !known {
        return Err(DatagramError::WrongKey);
    }
    Ok(decode_payload(payload)?)
}
