//! Changes in the form written to the platform's log, and their content.
//!
//! A record is one JSON object: `{"format": 1, "kind": "change", ...}` with the fields of
//! [`ContractChange`], or `"kind": "carry"` with those of [`CarryRecord`].

mod id;
mod record;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::CustomerName;

pub use id::{ChangeId, ChangeIdError, ContractVersion};
pub use record::{
    CarryRecord, LogRecord, MAX_CONTRACT_BYTES, MAX_RECORD_BYTES, RECORD_FORMAT, RecordError,
};

use crate::contract::CustomerContract;
use crate::text::ContractText;
use record::encode_record;

/// Maximum length of the name of an author or team in a record, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Action of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// Creates or amends the contract.
    Put {
        /// Complete new contract.
        contract: ContractText,
    },
    /// Removes the customer.
    Remove,
    /// Puts earlier content into force again, as a new version.
    RollBack {
        /// Version that had this content.
        to: ContractVersion,
        /// Complete content, because the earlier record may have left the log.
        contract: ContractText,
    },
}

impl ChangeAction {
    /// Returns the action that creates or amends a contract.
    #[must_use]
    pub fn put(contract: &CustomerContract) -> Self {
        Self::Put {
            contract: ContractText::of(contract),
        }
    }

    /// Returns the content that the change puts into force; `None` for a removal.
    #[must_use]
    pub const fn contract(&self) -> Option<&ContractText> {
        match self {
            Self::Put { contract } | Self::RollBack { contract, .. } => Some(contract),
            Self::Remove => None,
        }
    }
}

/// Change of one customer's contract.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContractChange {
    /// Id of the change.
    pub id: ChangeId,
    /// Customer whose contract is changed.
    pub customer: CustomerName,
    /// Version that the change amends; zero creates the contract.
    pub base: ContractVersion,
    /// Next offset of the book from which the author took `base`. It distinguishes a late copy of
    /// a creation from a new creation after a removal.
    pub seen: u64,
    /// Author of the change.
    pub author: Arc<str>,
    /// Team of the author.
    pub team: Arc<str>,
    /// Wall clock of the author's node. For display only; no rule depends on it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stamp: Duration,
    /// Action of the change.
    pub action: ChangeAction,
}

impl ContractChange {
    /// Starts a change of a customer's contract with the base "no contract".
    #[must_use]
    pub fn builder(id: ChangeId, customer: CustomerName, action: ChangeAction) -> ChangeBuilder {
        ChangeBuilder {
            change: Self {
                id,
                customer,
                base: ContractVersion::default(),
                seen: 0,
                author: Arc::from(""),
                team: Arc::from(""),
                stamp: Duration::ZERO,
                action,
            },
        }
    }

    /// Returns the bytes to append to the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_record("change", self)
    }

    /// Decodes a change from the bytes of a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a change of a known format.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        match LogRecord::decode(bytes)? {
            LogRecord::Change(change) => Ok(*change),
            LogRecord::Carry(_) => Err(RecordError::UnknownKind("carry".to_owned())),
        }
    }
}

/// Builds a [`ContractChange`].
#[derive(Clone, Debug)]
pub struct ChangeBuilder {
    change: ContractChange,
}

impl ChangeBuilder {
    /// Sets the version that the change amends.
    #[must_use]
    pub const fn base(mut self, base: ContractVersion) -> Self {
        self.change.base = base;
        self
    }

    /// Sets the next offset of the book from which the base was taken.
    #[must_use]
    pub const fn seen(mut self, seen: u64) -> Self {
        self.change.seen = seen;
        self
    }

    /// Sets the author and the author's team.
    #[must_use]
    pub fn author(mut self, author: &str, team: &str) -> Self {
        self.change.author = Arc::from(author);
        self.change.team = Arc::from(team);
        self
    }

    /// Sets the wall-clock time of the author's node, for display only.
    #[must_use]
    pub const fn stamp(mut self, wall: Duration) -> Self {
        self.change.stamp = wall;
        self
    }

    /// Returns the change. Raises `seen` to the base if the base is later.
    #[must_use]
    pub fn build(mut self) -> ContractChange {
        self.change.seen = self.change.seen.max(self.change.base.0);
        self.change
    }
}
