//! Validation findings for settings and contracts. A check collects all findings, each with
//! the path of the invalid value, and reports them together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingFinding {
    /// JSON path of the value, such as `services[0].floor`.
    pub place: String,
    /// Description of the error and of the allowed values.
    pub message: String,
}

impl fmt::Display for SettingFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings of one check; empty when the document is valid.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct FindingList(pub Vec<SettingFinding>);

impl FindingList {
    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(SettingFinding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Adds a finding if `condition` is false.
    pub fn expect(&mut self, condition: bool, place: &str, message: &str) {
        if !condition {
            self.add(place, message);
        }
    }

    /// Adds a finding if `condition` is false. The place is only formatted then, so that documents
    /// with thousands of items are checked quickly.
    pub fn expect_at(&mut self, condition: bool, place: fmt::Arguments<'_>, message: &str) {
        if !condition {
            self.add(place.to_string(), message);
        }
    }

    /// Converts the list into a result.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it is not empty.
    pub fn into_result(self) -> Result<(), Self> {
        if self.0.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
