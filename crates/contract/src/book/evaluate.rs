//! Deterministic rules by which every reader accepts or rejects a change.
//!
//! The result depends only on the change, its offset and the customer's state, and never on a
//! clock, earlier change ids or other customers. Therefore readers that reached the same state in
//! different ways evaluate the rest of the log identically.
//!
//! A late copy of a change never alters the state. Versions are log offsets and never repeat, so
//! the base of a copy is no longer in force. A creation has no base; instead, it is rejected if
//! the customer was changed at or after the creation's `seen` offset. Removals are retained for
//! [`TOMBSTONE_SPAN`] records, and creations whose `seen` is older than that are always rejected.

use serde::{Deserialize, Serialize};
use sycamorelink_core::FindingList;

use super::entry::BookEntry;
use crate::change::{
    ChangeAction, ChangeId, ContractChange, ContractVersion, MAX_AUTHOR_BYTES, MAX_CONTRACT_BYTES,
    RecordError,
};
use crate::text::ContractText;

/// Number of records for which a removal is retained.
pub const TOMBSTONE_SPAN: u64 = 1 << 22;

/// Upper bound of the ratio of the JSON size of a contract to its compact form.
const MAX_JSON_EXPANSION: usize = 32;

/// Maximum number of findings kept for an invalid contract, because outcomes stay in memory.
const MAX_FINDINGS: usize = 16;

/// Version that conflicts with a rejected change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionConflict {
    /// Version in force.
    pub version: ContractVersion,
    /// Id of the change that created the version.
    pub change: ChangeId,
    /// Author of that change.
    pub author: std::sync::Arc<str>,
}

impl VersionConflict {
    fn of(entry: &BookEntry) -> Self {
        Self {
            version: entry.version,
            change: entry.change,
            author: entry.author.clone(),
        }
    }
}

/// Reason for which a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum RejectReason {
    /// The bytes are not a record of a known format and kind.
    #[error("{0}")]
    Unreadable(String),
    /// The record has a newer format than this build supports.
    #[error("record format {0} is newer than this build reads")]
    FutureFormat(u64),
    /// The contract is invalid.
    #[error("invalid contract: {0}")]
    InvalidContract(FindingList),
    /// The contract is larger than [`MAX_CONTRACT_BYTES`].
    #[error("the contract of {0} bytes is too large")]
    ContractTooLarge(usize),
    /// The contract names another customer or team than the change.
    #[error("the contract names another customer or team than the change")]
    WrongOwner,
    /// The name of the author or team is empty or too long.
    #[error("the name of the author or team is empty or too long")]
    WrongAuthor,
    /// The change refers to a version or offset after its own record.
    #[error("the base or what was seen lies after the record")]
    FutureBase,
    /// More than [`TOMBSTONE_SPAN`] records lie between the creation's `seen` and its own record.
    #[error("the creation was made too long before it reached the log")]
    StaleCreate,
    /// The version that the change amends is no longer in force.
    #[error("amends another version than {} by {}, which is in force", .0.version, .0.author)]
    BaseTaken(VersionConflict),
    /// The customer was removed at or after the creation's `seen` offset.
    #[error("the customer was removed by {} at {}, after this creation was made", .0.author, .0.version)]
    RemovedSince(VersionConflict),
    /// The customer has no contract to amend.
    #[error("the customer has no contract to amend")]
    NoContract,
    /// The carry record's `as_of` lies after the record itself.
    #[error("carries state from after the record")]
    FutureCarry,
}

impl RejectReason {
    /// Returns the conflicting version, if there is one.
    #[must_use]
    pub const fn winner(&self) -> Option<&VersionConflict> {
        match self {
            Self::BaseTaken(winner) | Self::RemovedSince(winner) => Some(winner),
            _ => None,
        }
    }
}

impl From<RecordError> for RejectReason {
    fn from(error: RecordError) -> Self {
        match error {
            RecordError::FutureFormat(format) => Self::FutureFormat(format),
            other => Self::Unreadable(other.to_string()),
        }
    }
}

/// Checks the parts of a change that do not depend on the customer's state.
pub(super) fn check_content(change: &ContractChange, offset: u64) -> Result<(), RejectReason> {
    let fits = |name: &str| !name.is_empty() && name.len() <= MAX_AUTHOR_BYTES;
    if !fits(&change.author) || !fits(&change.team) {
        return Err(RejectReason::WrongAuthor);
    }
    if change.base.0 > change.seen || change.seen > offset {
        return Err(RejectReason::FutureBase);
    }
    if change.base == ContractVersion::default() && offset - change.seen > TOMBSTONE_SPAN {
        return Err(RejectReason::StaleCreate);
    }
    let Some(text) = change.action.contract() else {
        return Ok(());
    };
    check_size(text)?;
    let contract = text.parse().map_err(|mut findings| {
        findings.0.truncate(MAX_FINDINGS);
        RejectReason::InvalidContract(findings)
    })?;
    if contract.customer != change.customer || contract.team != change.team {
        return Err(RejectReason::WrongOwner);
    }
    Ok(())
}

/// Rejects a contract that fits into a change record but not into a carry record, which has more
/// overhead; the contract would be lost when its change record leaves the log. The limit leaves a
/// quarter of a record for the overhead. Only contracts that may exceed it are serialized.
fn check_size(text: &ContractText) -> Result<(), RejectReason> {
    if text.size() < MAX_CONTRACT_BYTES / MAX_JSON_EXPANSION {
        return Ok(());
    }
    let size = text.json_size();
    if size > MAX_CONTRACT_BYTES {
        return Err(RejectReason::ContractTooLarge(size));
    }
    Ok(())
}

/// Evaluates a change against the customer's preceding state. The content must be checked already.
pub(super) fn evaluate(
    current: Option<&BookEntry>,
    change: &ContractChange,
    offset: u64,
) -> Result<BookEntry, RejectReason> {
    let version = ContractVersion::at(offset);
    if change.base == ContractVersion::default() {
        check_creation(current, change)?;
        return Ok(BookEntry::accepted(change, version, version));
    }
    let Some(current) = current.filter(|entry| entry.is_live()) else {
        return Err(RejectReason::NoContract);
    };
    if current.version != change.base {
        return Err(RejectReason::BaseTaken(VersionConflict::of(current)));
    }
    Ok(BookEntry::accepted(change, version, current.created))
}

fn check_creation(
    current: Option<&BookEntry>,
    change: &ContractChange,
) -> Result<(), RejectReason> {
    match current {
        Some(entry) if entry.is_live() => Err(RejectReason::BaseTaken(VersionConflict::of(entry))),
        Some(entry) if entry.version.0 > change.seen => {
            Err(RejectReason::RemovedSince(VersionConflict::of(entry)))
        }
        _ if matches!(change.action, ChangeAction::Put { .. }) => Ok(()),
        _ => Err(RejectReason::NoContract),
    }
}
