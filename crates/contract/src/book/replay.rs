//! Replay of log records: decodes each record and updates the state and the table.

use sycamorelink_core::{CustomerName, SettingFinding};

use super::entry::{BookEntry, CustomerState, EntryProof};
use super::evaluate::{self, RejectReason, TOMBSTONE_SPAN};
use super::outcome::{ApplyOutcome, ChangeOutcome, RejectedChange};
use super::{ContractBook, MAX_PENDING_FINDINGS};
use crate::change::{ContractChange, ContractVersion, LogRecord};
use crate::table::ContractInForce;

impl ContractBook {
    /// Applies the record at an offset.
    ///
    /// A record that is invalid or cannot be decoded is skipped; the replay never stops.
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Skipped;
        }
        if offset > self.next {
            return ApplyOutcome::Gap {
                expected: self.next,
                found: offset,
            };
        }
        self.next = offset.saturating_add(1);
        self.records_read += 1;
        let outcome = match LogRecord::decode(bytes) {
            Ok(LogRecord::Change(change)) => self.apply_change(offset, *change),
            Ok(LogRecord::Carry(record)) => self.apply_carry(offset, record),
            Err(error) => self.reject_undecodable(error.into()),
        };
        self.resolve_ahead_at(ContractVersion::at(offset));
        self.finish_catch_up();
        self.drop_tombstones();
        outcome
    }

    fn apply_change(&mut self, offset: u64, change: ContractChange) -> ApplyOutcome {
        if let Err(reason) = evaluate::check_content(&change, offset) {
            return self.reject(offset, &change, reason);
        }
        if !self.is_proven(&change.customer) {
            let customer = change.customer.clone();
            let id = change.id;
            let state = self.states.entry(customer.clone()).or_default();
            state.defer(offset, change);
            return ApplyOutcome::Deferred {
                customer,
                change: id,
            };
        }
        self.evaluate_change(offset, &change)
    }

    fn evaluate_change(&mut self, offset: u64, change: &ContractChange) -> ApplyOutcome {
        let state = self.states.get(&change.customer);
        let current = state.and_then(|state| state.settled.as_ref());
        match evaluate::evaluate(current, change, offset) {
            Ok(entry) => self.accept(entry, change),
            Err(reason) => self.reject(offset, change, reason),
        }
    }

    fn accept(&mut self, entry: BookEntry, cause: &ContractChange) -> ApplyOutcome {
        let customer = entry.customer.clone();
        let version = entry.version;
        let outcome = ChangeOutcome::Accepted { version };
        self.outcomes.add(entry.change, outcome);
        let offset = version.0.saturating_sub(1);
        let proof = EntryProof {
            as_of: offset,
            record: offset,
            stamp: entry.stamp,
        };
        self.update(&customer, |state| {
            state.proven = true;
            // A reader that starts between a removal and a new creation does not know about the
            // removal and would accept a late copy of an earlier creation in between. Therefore a
            // creation is its own proof only if no removal is retained.
            if state.settled.is_none() {
                state.proof = proof;
            }
            state.settle(entry, Some(cause));
        });
        ApplyOutcome::Accepted { customer, version }
    }

    fn reject(
        &mut self,
        offset: u64,
        change: &ContractChange,
        reason: RejectReason,
    ) -> ApplyOutcome {
        let id = change.id;
        if let Some(first) = self.change_outcome(id) {
            return ApplyOutcome::Repeated { change: id, first };
        }
        let outcome = ChangeOutcome::rejected(reason.clone());
        self.outcomes.add(id, outcome);
        let version = ContractVersion::at(offset);
        let rejected = RejectedChange::new(version, change, &reason);
        self.outcomes.add_rejected(rejected);
        ApplyOutcome::Rejected {
            change: Some(id),
            reason,
        }
    }

    fn reject_undecodable(&mut self, reason: RejectReason) -> ApplyOutcome {
        if matches!(reason, RejectReason::FutureFormat(_)) {
            self.future_records += 1;
        }
        ApplyOutcome::Rejected {
            change: None,
            reason,
        }
    }

    /// Returns whether a customer's state follows from the records read.
    pub(super) fn is_proven(&self, customer: &CustomerName) -> bool {
        self.is_complete() || self.states.get(customer).is_some_and(|state| state.proven)
    }

    /// Changes a customer's state and updates the tombstones, indexes, digest and table.
    pub(super) fn update<F>(&mut self, customer: &CustomerName, change: F)
    where
        F: FnOnce(&mut CustomerState),
    {
        let state = self.states.entry(customer.clone()).or_default();
        let before = state.in_force().cloned();
        let settled = state.settled.as_ref().map(|entry| entry.version);
        change(state);
        let after = state.in_force().cloned();
        let tombstone = state.settled.as_ref().filter(|entry| !entry.is_live());
        let tombstone = tombstone.map(|entry| entry.version);
        if let Some(version) = settled {
            self.tombstones.remove(&version);
        }
        if let Some(version) = tombstone {
            self.tombstones.insert(version, customer.clone());
        }
        self.update_indexes(customer, before.as_ref(), after.as_ref());
    }

    fn update_indexes(
        &mut self,
        customer: &CustomerName,
        before: Option<&BookEntry>,
        after: Option<&BookEntry>,
    ) {
        if before == after {
            return;
        }
        if let Some(entry) = before {
            self.versions.remove(&(entry.version, customer.clone()));
            self.digest.toggle(&entry.fingerprint());
        }
        if let Some(entry) = after {
            self.versions.insert((entry.version, customer.clone()));
            self.digest.toggle(&entry.fingerprint());
        }
        let content = after.and_then(|entry| entry.contract.as_ref());
        match (after, content) {
            (Some(entry), Some(content)) => self.builder.put(ContractInForce {
                content,
                version: entry.version,
                created: entry.created,
            }),
            _ => self.builder.remove(customer),
        }
    }

    pub(super) fn finish_catch_up(&mut self) {
        if self.complete_at.is_none_or(|offset| self.next < offset) {
            return;
        }
        self.complete_at = None;
        self.rebuilding = false;
        let unproven: Vec<CustomerName> = self
            .states
            .iter()
            .filter(|(_, state)| !state.proven)
            .map(|(customer, _)| customer.clone())
            .collect();
        for customer in unproven {
            self.resolve_unproven(&customer);
        }
    }

    /// Settles a customer that no record below the log's head carried.
    ///
    /// Normally such a customer had no contract at the offset where reading started. But if the
    /// gap is so short that even a removal would have been carried, no node can have appended
    /// records for the whole retention. The contract known before the gap is then kept, because
    /// dropping it would cut the customer off.
    fn resolve_unproven(&mut self, customer: &CustomerName) {
        let start = self.start;
        let gap_start = self.gap_start;
        self.update(customer, |state| state.settle_last_known(start, gap_start));
        let state = self.states.get(customer);
        if state.is_some_and(|state| state.settled.is_some() || state.discarded_below > 0) {
            let message = "its state was not carried forward in time".to_owned();
            self.report(customer, message);
        }
        self.evaluate_deferred(customer, start);
        self.resolve_ahead(customer);
    }

    /// Evaluates the deferred changes at or after an offset and discards the earlier ones, which
    /// the restored state already covers.
    pub(super) fn evaluate_deferred(&mut self, customer: &CustomerName, from: u64) {
        let Some(state) = self.states.get_mut(customer) else {
            return;
        };
        state.proven = true;
        state.discarded_below = 0;
        let deferred = std::mem::take(&mut state.deferred);
        for (offset, change) in deferred {
            if offset >= from {
                self.evaluate_change(offset, &change);
            }
        }
    }

    fn drop_tombstones(&mut self) {
        while let Some((version, customer)) = self.tombstones.first_key_value() {
            if self.next.saturating_sub(version.0 - 1) <= TOMBSTONE_SPAN {
                return;
            }
            let version = *version;
            let customer = customer.clone();
            self.tombstones.remove(&version);
            let ahead = self
                .states
                .get(&customer)
                .is_some_and(|state| state.ahead.is_some());
            if !ahead {
                self.update(&customer, |state| state.settled = None);
                self.states.remove(&customer);
            }
        }
    }

    pub(super) fn report(&mut self, customer: &CustomerName, message: String) {
        if self.findings.len() == MAX_PENDING_FINDINGS {
            self.findings.pop_front();
        }
        self.findings.push_back(SettingFinding {
            place: customer.to_string(),
            message,
        });
    }
}
