//! Detection of alert changes between reports of one daemon, for its log.

use std::collections::BTreeMap;

use sycamorelink_core::{CustomerName, ServiceName};

use super::{BurnAlert, BurnReport};
use crate::event::EventCode;

/// Alert states of the last report, by customer and service.
#[derive(Debug, Default)]
pub struct AlertTracker {
    states: BTreeMap<(CustomerName, ServiceName), BurnAlert>,
}

/// A change of an alert between two reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AlertChange {
    /// Customer of the row.
    pub customer: CustomerName,
    /// Service of the row.
    pub service: ServiceName,
    /// Alert in the previous report.
    pub before: BurnAlert,
    /// Alert in the current report.
    pub after: BurnAlert,
}

impl AlertChange {
    /// Returns the event to log for the change.
    ///
    /// A change to drift has an event only when it ends a fast or slow burn: drift is shown in
    /// reports only.
    #[must_use]
    pub const fn event(&self) -> Option<EventCode> {
        match (self.before, self.after) {
            (_, BurnAlert::Fast) => Some(EventCode::BurnFast),
            (_, BurnAlert::Slow) => Some(EventCode::BurnSlow),
            (BurnAlert::Fast | BurnAlert::Slow, _) => Some(EventCode::BurnEnded),
            _ => None,
        }
    }
}

impl AlertTracker {
    /// Stores the alerts of a report and returns the changes since the previous one.
    pub fn update(&mut self, report: &BurnReport) -> Vec<AlertChange> {
        let coverage = report.coverage();
        let mut states = BTreeMap::new();
        for row in &report.rows {
            let alert = BurnAlert::of(row, &coverage);
            if alert != BurnAlert::Quiet {
                states.insert((row.customer.clone(), row.service.clone()), alert);
            }
        }
        let before = std::mem::replace(&mut self.states, states);
        let mut changes = Vec::new();
        for (key, after) in &self.states {
            let previous = before.get(key).copied().unwrap_or_default();
            changes.extend(change(key, previous, *after));
        }
        for (key, previous) in &before {
            if !self.states.contains_key(key) {
                changes.extend(change(key, *previous, BurnAlert::Quiet));
            }
        }
        changes
    }
}

fn change(
    (customer, service): &(CustomerName, ServiceName),
    before: BurnAlert,
    after: BurnAlert,
) -> Option<AlertChange> {
    (before != after).then(|| AlertChange {
        customer: customer.clone(),
        service: service.clone(),
        before,
        after,
    })
}
