//! Bincode encoding of payloads, with a limit on the memory that decoding may allocate.

use bincode::config::{Configuration, Fixint, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum number of bytes that decoding one payload may allocate.
const MAX_DECODE_BYTES: usize = 8 * 1024 * 1024;

/// Standard configuration of bincode 2: little endian, variable-length integers.
const CONFIG: Configuration<LittleEndian, Varint> = bincode::config::standard();

/// Fixed-width configuration for data covered by a MAC.
const FIXED_CONFIG: Configuration<LittleEndian, Fixint> =
    bincode::config::standard().with_fixed_int_encoding();

/// Error of encoding or decoding a payload.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be encoded.
    #[error("cannot encode: {0}")]
    Encode(String),
    /// The bytes are not a valid encoding of the type.
    #[error("cannot decode: {0}")]
    Decode(String),
    /// Number of bytes that follow the value.
    #[error("{0} bytes left over after the value")]
    Trailing(usize),
}

/// Encodes a payload with the standard configuration.
///
/// # Errors
///
/// Fails if the type cannot be encoded, for example a sequence of unknown length.
pub fn encode_payload<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    bincode::serde::encode_to_vec(value, CONFIG)
        .map_err(|error| CodecError::Encode(error.to_string()))
}

/// Decodes a payload, which must end with the value.
///
/// # Errors
///
/// Fails if the bytes are not a valid encoding of `T`, or if bytes follow the value.
pub fn decode_payload<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let config = CONFIG.with_limit::<MAX_DECODE_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| CodecError::Decode(error.to_string()))?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(CodecError::Trailing(bytes.len() - used))
    }
}

/// Encodes data to be covered by a MAC.
pub(crate) fn encode_fixed<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    bincode::serde::encode_to_vec(value, FIXED_CONFIG)
        .map_err(|error| CodecError::Encode(error.to_string()))
}
