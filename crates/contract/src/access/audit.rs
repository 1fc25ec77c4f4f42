//! Audit log entries of the operators' API.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::{CustomerName, NodeId};

use super::{AccessCall, AccessDenial};
use crate::change::{ChangeId, ContractVersion};

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditResult {
    /// The call was answered.
    Answered,
    /// The change was accepted with this version.
    Accepted(ContractVersion),
    /// The change was rejected for this reason.
    Rejected(String),
    /// The change was appended, and its outcome is still unknown.
    Open,
    /// The call was denied.
    Denied(AccessDenial),
}

/// Audit entry of one call.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Wall-clock time of the node.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stamp: Duration,
    /// Node that handled the call.
    pub node: NodeId,
    /// Operator account; `None` if the token was unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Arc<str>>,
    /// Operation that was called.
    pub call: AccessCall,
    /// Customer of the call, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// Id of the change that the call made, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
    /// Result of the call.
    pub result: AuditResult,
}
