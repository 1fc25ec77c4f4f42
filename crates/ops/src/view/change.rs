//! Replies about contracts and their changes.

use serde::{Deserialize, Serialize};

use crate::client::VersionConflict;

/// One page of the list of contracts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ContractList {
    /// Contracts ordered by customer.
    pub contracts: Vec<ContractSummary>,
    /// Cursor of the next page; `None` on the last page.
    pub next: Option<String>,
}

/// One contract in the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ContractSummary {
    /// Name of the customer.
    pub customer: String,
    /// Version of the contract in force.
    pub version: u64,
    /// Team that may change the contract; `None` if it belongs to no team.
    pub team: Option<String>,
    /// Id of the change that created the version.
    pub change: Option<String>,
}

/// Changes of one contract.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryView {
    /// Name of the customer.
    pub customer: String,
    /// Changes, newest first.
    pub entries: Vec<HistoryEntry>,
}

/// One change of a contract.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryEntry {
    /// Id of the change.
    pub change: String,
    /// Version that the change created; `None` unless it was accepted.
    pub version: Option<u64>,
    /// Version that the change amends.
    pub base: Option<u64>,
    /// Kind of the change, such as `put`.
    pub action: String,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Wall-clock time at the daemon that sent the change, for display only.
    pub at: Option<String>,
    /// Outcome, such as `accepted` or `rejected`.
    pub outcome: String,
    /// Reason of the rejection; `None` unless the change was rejected.
    pub reason: Option<String>,
}

/// Reply to an accepted change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ChangeResult {
    /// Name of the customer.
    pub customer: String,
    /// Id of the change.
    pub change: String,
    /// Version that the change created.
    pub version: u64,
}

/// State of a change at the answering daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// Appended to the log, not yet read back.
    Pending,
    /// Accepted and in force.
    Accepted,
    /// Read from the log and rejected.
    Rejected,
    /// Not read by this daemon. The change may still be in the log.
    #[default]
    Unknown,
}

/// Reply to a query for one change.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ChangeView {
    /// Id of the change.
    pub change: String,
    /// Name of the customer; `None` if the daemon does not state one.
    pub customer: Option<String>,
    /// State of the change at the answering daemon.
    pub state: ChangeState,
    /// Version that the change created; `None` unless it was accepted.
    pub version: Option<u64>,
    /// Reason of the rejection; `None` unless the change was rejected.
    pub reason: Option<String>,
    /// The change in force instead; `None` unless another change was accepted first.
    pub winner: Option<VersionConflict>,
}
