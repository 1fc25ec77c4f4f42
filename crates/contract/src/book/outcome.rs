//! Outcomes of records and changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::CustomerName;

use super::entry::HistoryAction;
use super::evaluate::{RejectReason, VersionConflict};
use crate::change::{ChangeId, ContractChange, ContractVersion};

/// Maximum number of changes whose outcome is retained.
pub const MAX_OUTCOMES: usize = 4096;

/// Maximum number of rejected changes retained for histories, over all customers.
pub const MAX_REJECTED: usize = 256;

/// Final outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The change was accepted.
    Accepted {
        /// Version that the change created.
        version: ContractVersion,
    },
    /// The change has no effect and never will.
    Rejected {
        /// Conflicting version, if there is one.
        winner: Option<VersionConflict>,
        /// Reason for the rejection.
        reason: RejectReason,
    },
}

impl ChangeOutcome {
    pub(super) fn rejected(reason: RejectReason) -> Self {
        Self::Rejected {
            winner: reason.winner().cloned(),
            reason,
        }
    }
}

/// Effect of a record on the book.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A change was accepted.
    Accepted {
        /// Customer of the change.
        customer: CustomerName,
        /// Version that the change created.
        version: ContractVersion,
    },
    /// The record has no effect.
    Rejected {
        /// Id of the change; `None` if the record is not a valid change.
        change: Option<ChangeId>,
        /// Reason for the rejection.
        reason: RejectReason,
    },
    /// The record is another copy of a change.
    Repeated {
        /// Id of the change.
        change: ChangeId,
        /// Outcome of the first copy.
        first: ChangeOutcome,
    },
    /// The customer's state before this record is not proven yet. The change is evaluated later.
    Deferred {
        /// Customer of the change.
        customer: CustomerName,
        /// Id of the change.
        change: ChangeId,
    },
    /// The record carried state forward.
    Carried(CarryCount),
    /// The record was read before.
    Skipped,
    /// Records before this one are missing. Nothing was applied; see
    /// [`ContractBook::restart_at`](super::ContractBook::restart_at).
    Gap {
        /// Next offset of the book.
        expected: u64,
        /// Offset of the record.
        found: u64,
    },
}

/// Effects of the entries of a carry record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CarryCount {
    /// Entries that restored a state unknown to this reader.
    pub restored: usize,
    /// Entries that agree with this reader's state.
    pub confirmed: usize,
    /// Entries that refer to an offset before this reader's known state.
    pub stale: usize,
    /// Entries that are invalid or contradict the log. Reported as findings.
    pub refused: usize,
}

/// Rejected change in a customer's history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedChange {
    /// Customer of the change.
    pub customer: CustomerName,
    /// Version that the change would have created; orders it among the accepted versions.
    pub place: ContractVersion,
    /// Id of the change.
    pub change: ChangeId,
    /// Version that the change tried to amend, zero for a creation.
    pub base: ContractVersion,
    /// Requested action, without the content.
    pub action: HistoryAction,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall clock of the author's node, for display only.
    pub stamp: Duration,
    /// Reason for the rejection.
    pub reason: RejectReason,
}

impl RejectedChange {
    pub(super) fn new(
        place: ContractVersion,
        change: &ContractChange,
        reason: &RejectReason,
    ) -> Self {
        Self {
            customer: change.customer.clone(),
            place,
            change: change.id,
            base: change.base,
            action: HistoryAction::of(&change.action),
            author: Arc::clone(&change.author),
            stamp: change.stamp,
            reason: reason.clone(),
        }
    }
}

/// Outcomes of recent changes. For reports only: the evaluation of changes never reads it.
#[derive(Clone, Debug, Default)]
pub(super) struct OutcomeCache {
    outcomes: BTreeMap<ChangeId, ChangeOutcome>,
    order: VecDeque<ChangeId>,
    rejected: VecDeque<RejectedChange>,
}

impl OutcomeCache {
    pub(super) fn get(&self, id: ChangeId) -> Option<&ChangeOutcome> {
        self.outcomes.get(&id)
    }

    /// Returns the retained rejections of a customer, oldest first. Changes of which another copy
    /// was accepted are left out.
    pub(super) fn rejected(&self, customer: &str) -> impl Iterator<Item = &RejectedChange> {
        self.rejected.iter().filter(move |rejected| {
            let accepted = matches!(
                self.get(rejected.change),
                Some(ChangeOutcome::Accepted { .. })
            );
            rejected.customer.as_str() == customer && !accepted
        })
    }

    pub(super) fn add_rejected(&mut self, rejected: RejectedChange) {
        if self.rejected.len() == MAX_REJECTED {
            self.rejected.pop_front();
        }
        self.rejected.push_back(rejected);
    }

    /// Records an outcome. The first one is kept, except that an acceptance replaces a rejection.
    pub(super) fn add(&mut self, id: ChangeId, outcome: ChangeOutcome) {
        let accepted = matches!(outcome, ChangeOutcome::Accepted { .. });
        if let Some(first) = self.outcomes.get_mut(&id) {
            if accepted {
                *first = outcome;
            }
            return;
        }
        self.outcomes.insert(id, outcome);
        self.order.push_back(id);
        if self.order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}
