//! Applies carry records, which copy state forward before its original records leave the log.
//!
//! A carry record states which version of a customer was in force as of an offset and keeps the
//! version of the original change. Therefore a late carry record cannot revert a contract: the
//! record refers to an earlier offset, and readers with newer state skip it.

use sycamorelink_core::CustomerName;

use super::entry::{BookEntry, EntryProof, HistoryItem, ProofOrigin};
use super::{ApplyOutcome, CarryCount, ContractBook, RejectReason, TOMBSTONE_SPAN};
use crate::change::CarryRecord;

/// Effect of one entry of a carry record.
enum CarryEffect {
    Restored,
    Confirmed,
    Stale,
    Refused(String),
}

impl ContractBook {
    pub(super) fn apply_carry(&mut self, offset: u64, record: CarryRecord) -> ApplyOutcome {
        if record.as_of > offset {
            return ApplyOutcome::Rejected {
                change: None,
                reason: RejectReason::FutureCarry,
            };
        }
        let proof = EntryProof {
            as_of: record.as_of,
            record: offset,
            stamp: record.stamp,
        };
        let mut count = CarryCount {
            refused: record.unreadable,
            ..CarryCount::default()
        };
        for entry in record.entries {
            let customer = entry.customer.clone();
            match self.apply_carry_entry(entry, proof) {
                CarryEffect::Restored => count.restored += 1,
                CarryEffect::Confirmed => count.confirmed += 1,
                CarryEffect::Stale => count.stale += 1,
                CarryEffect::Refused(message) => {
                    count.refused += 1;
                    let message = format!("carrying record at offset {offset}: {message}");
                    self.report(&customer, message);
                }
            }
        }
        ApplyOutcome::Carried(count)
    }

    fn apply_carry_entry(&mut self, entry: BookEntry, proof: EntryProof) -> CarryEffect {
        if entry.version.0 > proof.as_of {
            return CarryEffect::Refused("its version lies after what its author read".to_owned());
        }
        if let Some(error) = entry.validation_error() {
            return CarryEffect::Refused(error);
        }
        if self.is_proven(&entry.customer) {
            self.verify_entry(entry, proof)
        } else {
            self.restore_entry(entry, proof)
        }
    }

    /// Restores the state of an unproven customer from the entry.
    fn restore_entry(&mut self, entry: BookEntry, proof: EntryProof) -> CarryEffect {
        let customer = entry.customer.clone();
        let state = self.states.get(&customer);
        let covered_from = state.map_or(self.start, |state| state.discarded_below.max(self.start));
        if proof.as_of < covered_from {
            return CarryEffect::Stale;
        }
        let settled = state.and_then(|state| state.settled.as_ref());
        if let Some(settled) = settled.filter(|settled| settled.version > entry.version) {
            return CarryEffect::Refused(format!("the log accepted {} before", settled.version));
        }
        self.update(&customer, |state| {
            state.origin = ProofOrigin::Log;
            state.proof = proof;
            state.settle_after_gap(entry);
        });
        self.evaluate_deferred(&customer, proof.as_of);
        self.resolve_ahead(&customer);
        CarryEffect::Restored
    }

    /// Compares an entry with the proven state of its customer.
    fn verify_entry(&mut self, entry: BookEntry, proof: EntryProof) -> CarryEffect {
        let customer = entry.customer.clone();
        let Some(state) = self.states.get_mut(&customer) else {
            return self.verify_absent_entry(entry, proof);
        };
        if state.history.is_empty() {
            return self.verify_absent_entry(entry, proof);
        }
        let Some(known) = state.history_at(proof.as_of) else {
            return CarryEffect::Stale;
        };
        if agrees(known, &entry) {
            if proof.as_of > state.proof.as_of {
                state.proof = proof;
            }
            state.origin = ProofOrigin::Log;
            state.assumed = false;
            return CarryEffect::Confirmed;
        }
        if state.origin == ProofOrigin::Log && !state.assumed {
            return CarryEffect::Refused(format!("the log has {} there", known.version));
        }
        self.replace_with_log_state(&customer, entry, proof)
    }

    /// Handles an entry of a customer for which the book has no history.
    fn verify_absent_entry(&mut self, entry: BookEntry, proof: EntryProof) -> CarryEffect {
        if !entry.is_live() || proof.as_of.saturating_add(TOMBSTONE_SPAN) < self.next {
            return CarryEffect::Stale;
        }
        if self.start == 0 {
            return CarryEffect::Refused("the log has no contract of this customer".to_owned());
        }
        // Only a reader that started at the first record can rule the customer out. Any other
        // reader assumed absence because no record carried the customer in time.
        let customer = entry.customer.clone();
        self.replace_with_log_state(&customer, entry, proof)
    }

    /// Replaces state that was assumed or adopted from a peer with the log's state.
    fn replace_with_log_state(
        &mut self,
        customer: &CustomerName,
        entry: BookEntry,
        proof: EntryProof,
    ) -> CarryEffect {
        let message = format!(
            "the log has {} as of {}, other than was known from a peer or assumed",
            entry.version, proof.as_of
        );
        self.report(customer, message);
        self.contradicted = true;
        self.update(customer, |state| {
            state.proven = true;
            state.origin = ProofOrigin::Log;
            state.proof = proof;
            state.settle_after_gap(entry);
        });
        CarryEffect::Restored
    }
}

fn agrees(known: &HistoryItem, entry: &BookEntry) -> bool {
    known.version == entry.version && known.digest == entry.digest && known.change == entry.change
}
