//! Content of changes and book entries, as a contract in compact form or as invalid JSON text.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sycamorelink_core::FindingList;

use crate::contract::CustomerContract;
use crate::digest::ContentDigest;
use crate::pack::PackedContract;

/// Contract as the content of a record or entry, valid or not.
///
/// A valid contract is kept in compact form. Its digest is the same on every node, regardless of
/// the formatting of the JSON.
#[derive(Clone, Debug)]
pub struct ContractText {
    form: TextForm,
    /// JSON text of a [`TextForm::Packed`] contract, created on first use.
    text: OnceLock<Arc<str>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum TextForm {
    /// Valid contract.
    Packed(PackedContract),
    /// Invalid contract, as JSON text with sorted keys.
    Raw(Arc<str>),
}

impl ContractText {
    /// Creates the content from a contract.
    #[must_use]
    pub fn of(contract: &CustomerContract) -> Self {
        if contract.validate().0.is_empty() {
            return Self::packed(contract);
        }
        let value = serde_json::to_value(contract).unwrap_or_default();
        Self::raw(&value)
    }

    /// Creates the content from a JSON value, which may be an invalid contract.
    #[must_use]
    pub fn of_value(value: &Value) -> Self {
        CustomerContract::from_value(value)
            .map_or_else(|_| Self::raw(value), |contract| Self::packed(&contract))
    }

    fn packed(contract: &CustomerContract) -> Self {
        Self {
            form: TextForm::Packed(PackedContract::of(contract)),
            text: OnceLock::new(),
        }
    }

    fn raw(value: &Value) -> Self {
        let text = with_sorted_keys(value).to_string();
        Self {
            form: TextForm::Raw(Arc::from(text)),
            text: OnceLock::new(),
        }
    }

    /// Returns the contract as compact JSON. The first call creates the text and caches it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match &self.form {
            TextForm::Raw(text) => text,
            TextForm::Packed(packed) => self.text.get_or_init(|| {
                let text = serde_json::to_string(&packed.unpack());
                Arc::from(text.unwrap_or_default())
            }),
        }
    }

    /// Returns the digest of the content.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        match &self.form {
            TextForm::Packed(packed) => packed.digest(),
            TextForm::Raw(text) => ContentDigest::of(text.as_bytes()),
        }
    }

    /// Returns the size of the content in memory, in bytes, without cached text.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.form {
            TextForm::Packed(packed) => packed.len(),
            TextForm::Raw(text) => text.len(),
        }
    }

    /// Returns the size of the content as compact JSON, in bytes.
    pub(crate) fn json_size(&self) -> usize {
        match &self.form {
            TextForm::Packed(packed) => {
                let text = serde_json::to_string(&packed.unpack());
                text.map_or(usize::MAX, |text| text.len())
            }
            TextForm::Raw(text) => text.len(),
        }
    }

    /// Returns the contract.
    ///
    /// # Errors
    ///
    /// Returns all problems of an invalid contract.
    pub fn parse(&self) -> Result<CustomerContract, FindingList> {
        match &self.form {
            TextForm::Packed(packed) => Ok(packed.unpack()),
            TextForm::Raw(text) => CustomerContract::from_json(text),
        }
    }

    /// Returns the compact form, or `None` if the contract is invalid.
    pub(crate) const fn as_packed(&self) -> Option<&PackedContract> {
        match &self.form {
            TextForm::Packed(packed) => Some(packed),
            TextForm::Raw(_) => None,
        }
    }
}

impl PartialEq for ContractText {
    fn eq(&self, other: &Self) -> bool {
        self.form == other.form
    }
}

impl Eq for ContractText {}

/// Returns the value with the keys of every object sorted, regardless of the parser's key order.
fn with_sorted_keys(value: &Value) -> Value {
    match value {
        Value::Object(map) => {
            let ordered: BTreeMap<&String, &Value> = map.iter().collect();
            let pairs = ordered.into_iter();
            pairs
                .map(|(key, value)| (key.clone(), with_sorted_keys(value)))
                .collect()
        }
        Value::Array(items) => items.iter().map(with_sorted_keys).collect(),
        other => other.clone(),
    }
}

impl Serialize for ContractText {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if !serializer.is_human_readable() {
            let text = self.clone();
            return serializer.serialize_str(text.as_str());
        }
        match &self.form {
            TextForm::Packed(packed) => packed.unpack().serialize(serializer),
            TextForm::Raw(text) => {
                let value: Result<Value, _> = serde_json::from_str(text);
                value
                    .map_err(serde::ser::Error::custom)?
                    .serialize(serializer)
            }
        }
    }
}

impl<'de> Deserialize<'de> for ContractText {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let value = if deserializer.is_human_readable() {
            Value::deserialize(deserializer)?
        } else {
            let text = String::deserialize(deserializer)?;
            serde_json::from_str(&text).map_err(serde::de::Error::custom)?
        };
        Ok(Self::of_value(&value))
    }
}
