//! Entries from peers whose offsets this node has not read in the log yet.
//!
//! Such entries are in force at once, so that accepted changes take effect while the log is
//! unavailable. Once the log is read up to the offset of an entry, the log decides: an entry
//! whose change is not at that offset is dropped and reported.

use sycamorelink_core::CustomerName;

use super::entry::{BookEntry, CustomerState};
use super::{ContractBook, UNKNOWN_HEAD};
use crate::change::ContractVersion;

impl ContractBook {
    /// Puts a peer's entry into force until the log is read up to it. The peer had read the log
    /// up to `as_of`.
    pub(super) fn set_ahead(&mut self, entry: BookEntry, as_of: u64) {
        let customer = entry.customer.clone();
        self.forget_ahead(&customer);
        let reply = self.head_replies;
        let waiting = self.ahead.entry(entry.version).or_default();
        waiting.push(customer.clone());
        self.update(&customer, |state| {
            state.ahead = Some(Box::new(entry));
            state.ahead_as_of = as_of;
            state.ahead_reply = reply;
        });
    }

    /// Resolves the peers' entries of a version whose record was just read from the log.
    pub(super) fn resolve_ahead_at(&mut self, version: ContractVersion) {
        let Some(customers) = self.ahead.get(&version) else {
            return;
        };
        for customer in customers.clone() {
            self.resolve_ahead(&customer);
        }
    }

    /// Drops a peer's entry once the log was read past it. Reports the entry if the log has
    /// another change there.
    pub(super) fn resolve_ahead(&mut self, customer: &CustomerName) {
        if !self.is_proven(customer) {
            return;
        }
        let Some(state) = self.states.get(customer) else {
            return;
        };
        let Some(ahead) = state.ahead.as_deref() else {
            return;
        };
        if ahead.version.0 > self.next {
            return;
        }
        let settled = state.settled.as_ref();
        let superseded = |settled: &BookEntry| settled.version > ahead.version;
        let agrees = settled.is_some_and(|settled| settled.agrees(ahead) || superseded(settled));
        if !agrees {
            let message = format!(
                "a peer spread {} (change {}), which the log never took",
                ahead.version, ahead.change
            );
            self.report(customer, message);
        }
        self.drop_ahead(customer);
    }

    /// Processes the log's next offset from a reply of the log.
    ///
    /// A book that was started without this offset is complete once it has read up to it. Peers'
    /// entries from beyond it are not in the log and are dropped.
    ///
    /// A reply may be older than an entry that arrived while the reply was in flight. Therefore an
    /// entry is dropped only if the previous reply arrived after the entry: the current reply then
    /// belongs to a request that was sent after the entry had arrived.
    pub fn on_log_head(&mut self, head: u64) {
        if self.complete_at == Some(UNKNOWN_HEAD) {
            self.complete_at = Some(head);
            self.finish_catch_up();
        }
        let reply = self.head_replies;
        self.head_replies += 1;
        self.check_base_offset(head, reply);
        let customers: Vec<CustomerName> = self
            .ahead
            .range(ContractVersion::at(head)..)
            .flat_map(|(_, customers)| customers.iter().cloned())
            .collect();
        for customer in customers {
            let state = self.states.get(&customer);
            if state.is_none_or(|state| state.ahead_reply >= reply) {
                continue;
            }
            let message = format!("a peer spread a version beyond the log's next offset {head}");
            self.report(&customer, message);
            self.drop_ahead(&customer);
        }
    }

    /// Detects a base snapshot whose offset lies beyond the end of the log. The node would
    /// otherwise skip all records appended before the log reaches that offset.
    fn check_base_offset(&mut self, head: u64, reply: u64) {
        let unread = self.peer_based && self.records_read == 0 && !self.contradicted;
        if unread && self.base_reply < reply && head < self.next {
            self.contradicted = true;
            let message = format!(
                "a peer's snapshot as of {} lies beyond the log's next offset {head}",
                self.next
            );
            self.report(&CustomerName::new("*"), message);
        }
    }

    /// Restarts reading at the oldest record, after the log contradicted state from peers.
    ///
    /// The contracts in force stay in force until the log replaces them. Until the state is
    /// complete, no peer's snapshot becomes the base. For `head`, see [`Self::starting_at`].
    pub fn rebuild_at(&mut self, oldest: u64, head: u64) {
        self.contradicted = false;
        self.peer_based = false;
        self.rebuilding = true;
        self.records_read = 0;
        self.start = oldest;
        self.next = oldest;
        self.gap_start = oldest;
        self.complete_at = Some(if head > oldest { head } else { UNKNOWN_HEAD });
        self.ahead.clear();
        let customers: Vec<CustomerName> = self.states.keys().cloned().collect();
        for customer in customers {
            self.update(&customer, |state| {
                let entry = state.in_force().cloned();
                *state = CustomerState::default();
                state.ahead = entry.map(Box::new);
            });
            let entry = self.entry(customer.as_str()).cloned();
            if let Some(entry) = entry {
                let as_of = entry.version.0;
                self.set_ahead(entry, as_of);
            }
        }
    }

    fn drop_ahead(&mut self, customer: &CustomerName) {
        self.forget_ahead(customer);
        self.update(customer, |state| state.ahead = None);
    }

    fn forget_ahead(&mut self, customer: &CustomerName) {
        let state = self.states.get(customer);
        let Some(version) = state.and_then(|state| Some(state.ahead.as_ref()?.version)) else {
            return;
        };
        let Some(customers) = self.ahead.get_mut(&version) else {
            return;
        };
        customers.retain(|other| other != customer);
        if customers.is_empty() {
            self.ahead.remove(&version);
        }
    }
}
