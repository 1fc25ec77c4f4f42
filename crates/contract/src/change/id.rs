//! Contract versions and change ids.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Version of a customer's contract: offset of the accepted record plus one. Zero means "no
/// contract".
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ContractVersion(pub u64);

impl ContractVersion {
    /// Returns the version of a record accepted at an offset.
    #[must_use]
    pub const fn at(offset: u64) -> Self {
        Self(offset.saturating_add(1))
    }

    /// Returns the offset of the record; `None` for "no contract".
    #[must_use]
    pub const fn offset(self) -> Option<u64> {
        self.0.checked_sub(1)
    }
}

impl fmt::Display for ContractVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Id of a change, chosen by the author before the first append. If the reply to the append is
/// lost, the author queries the outcome by this id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Error for text that is not the id of a change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the id of a change: {0:?}")]
pub struct ChangeIdError(String);

impl FromStr for ChangeId {
    type Err = ChangeIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.replace('-', "");
        u128::from_str_radix(&digits, 16)
            .map(Self)
            .map_err(|_| ChangeIdError(text.to_owned()))
    }
}

impl Serialize for ChangeId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            u128::deserialize(deserializer).map(Self)
        }
    }
}
