//! Encoding and decoding of log records.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::NodeId;

use super::ContractChange;
use crate::book::BookEntry;

/// Format of the records written by this build. The rules for evaluating a format never change,
/// or two builds would replay the same log differently; new rules need a new format.
pub const RECORD_FORMAT: u64 = 1;

/// Maximum size of a record that is decoded, in bytes.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Maximum size of a contract as compact JSON, in bytes. A carry record has space for it and for
/// the other fields of its entry.
pub const MAX_CONTRACT_BYTES: usize = 768 * 1024;

/// Copy of state, appended before the original records leave the log. Any node may append one.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CarryRecord {
    /// Node that appended the record.
    pub node: NodeId,
    /// Next offset of the node's book: the entries were in force after all records below it.
    pub as_of: u64,
    /// Wall clock of the node. It only affects when the state is carried forward again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stamp: Duration,
    /// Entries, each with the version assigned by its original record.
    pub entries: Vec<BookEntry>,
    /// Number of entries that could not be decoded. One bad entry does not invalidate the others.
    #[serde(skip)]
    pub unreadable: usize,
}

impl CarryRecord {
    /// Returns the bytes to append to the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_record("carry", self)
    }
}

/// Decoded record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRecord {
    /// Change of a contract.
    Change(Box<ContractChange>),
    /// Copy of state that is carried forward.
    Carry(CarryRecord),
}

/// Reason for which bytes could not be decoded as a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD_BYTES`].
    #[error("record of {0} bytes is too large")]
    TooLarge(usize),
    /// The bytes are not a JSON object with the expected format, kind and fields.
    #[error("malformed record: {0}")]
    Malformed(String),
    /// The format is newer than this build supports.
    #[error("record format {0} is newer than this build reads")]
    FutureFormat(u64),
    /// The kind is unknown.
    #[error("unknown kind of record: {0:?}")]
    UnknownKind(String),
}

impl LogRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a record of a known format and kind.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let mut value: Value = serde_json::from_slice(bytes).map_err(malformed)?;
        let Some(fields) = value.as_object_mut() else {
            return Err(RecordError::Malformed("no JSON object".to_owned()));
        };
        let format = fields.remove("format").unwrap_or_default();
        let kind = fields.remove("kind").unwrap_or_default();
        match format.as_u64() {
            Some(RECORD_FORMAT) => {}
            Some(format) if format > RECORD_FORMAT => {
                return Err(RecordError::FutureFormat(format));
            }
            _ => return Err(RecordError::Malformed("no known format".to_owned())),
        }
        match kind.as_str() {
            Some("change") => serde_json::from_value(value)
                .map(|change| Self::Change(Box::new(change)))
                .map_err(malformed),
            Some("carry") => decode_carry(value).map(Self::Carry).map_err(malformed),
            Some(kind) => Err(RecordError::UnknownKind(kind.to_owned())),
            None => Err(RecordError::Malformed("no kind".to_owned())),
        }
    }
}

/// Decodes a carry record entry by entry, and counts the entries that cannot be decoded.
fn decode_carry(mut value: Value) -> Result<CarryRecord, serde_json::Error> {
    let entries = value["entries"].take();
    value["entries"] = Value::Array(Vec::new());
    let mut record: CarryRecord = serde_json::from_value(value)?;
    let entries: Vec<Value> = serde_json::from_value(entries)?;
    for entry in entries {
        match serde_json::from_value(entry) {
            Ok(entry) => record.entries.push(entry),
            Err(_) => record.unreadable += 1,
        }
    }
    Ok(record)
}

pub(super) fn encode_record<T>(kind: &str, fields: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut value = serde_json::to_value(fields).unwrap_or_default();
    if let Some(map) = value.as_object_mut() {
        map.insert("format".to_owned(), RECORD_FORMAT.into());
        map.insert("kind".to_owned(), kind.into());
    }
    value.to_string().into_bytes()
}
