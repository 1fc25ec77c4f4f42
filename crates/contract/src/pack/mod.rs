//! Compact binary form in which a book keeps contracts.
//!
//! The contracts of a fleet with 200,000 routes and 250,000 client accounts take about 60 MB as
//! JSON text, on every node. The compact form takes about a third of that: it stores hashes as
//! bytes, numbers with variable length, and no fields that have their default value.
//!
//! ```text
//! number of accounts | their hashes | names and limits | services | routes
//! ```
//!
//! The digest of a version is computed over this form. Therefore the form is part of the record
//! format and must not change within it, although it never leaves the process.

mod read;
mod write;

use std::sync::Arc;

use crate::contract::CustomerContract;
use crate::digest::{ContentDigest, DIGEST_BYTES};
use read::PackReader;
use write::PackWriter;

/// Length of the number of accounts, in bytes.
const COUNT_BYTES: usize = 4;

/// Contract in compact form. A clone shares the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PackedContract(Arc<[u8]>);

impl PackedContract {
    pub(crate) fn of(contract: &CustomerContract) -> Self {
        let mut writer = PackWriter::default();
        writer.contract(contract);
        Self(Arc::from(writer.bytes))
    }

    pub(crate) fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.0)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the token hash of an account by its position in the contract.
    pub(crate) fn account_hash(&self, index: u32) -> Option<ContentDigest> {
        let start = COUNT_BYTES + index as usize * DIGEST_BYTES;
        let bytes = self.0.get(start..start + DIGEST_BYTES)?;
        (index < self.account_count())
            .then(|| bytes.try_into().ok().map(ContentDigest))
            .flatten()
    }

    pub(crate) fn account_count(&self) -> u32 {
        let bytes = self.0.first_chunk().copied();
        u32::from_le_bytes(bytes.unwrap_or_default())
    }

    pub(crate) fn unpack(&self) -> CustomerContract {
        let mut reader = PackReader { rest: &self.0 };
        reader
            .contract()
            .expect("bytes were written by this module")
    }
}
