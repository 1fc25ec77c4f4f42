//! Contracts of this node, by dense number and by hash of the customer's name.

use std::collections::BTreeMap;

use sycamorelink_core::name_hash;

use super::{CustomerIndex, CustomerLimit};

/// Limits of one contract, in the form used for decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRow {
    /// Stable hash of the customer's name.
    pub customer: u64,
    /// Fleet-wide rate, in thousandths of a request per second.
    pub rate: u64,
    /// Fleet-wide number of concurrent requests.
    pub concurrency: u32,
}

/// All contracts of a node.
#[derive(Debug, Default)]
pub struct ContractTable {
    rows: Vec<Option<LimitRow>>,
    indexes: BTreeMap<u64, CustomerIndex>,
}

impl ContractTable {
    /// Sets the limits of a contract.
    pub fn set(&mut self, index: CustomerIndex, limit: &CustomerLimit) {
        self.remove(index);
        let row = LimitRow {
            customer: name_hash(limit.customer.as_str()),
            rate: u64::from(limit.rate_millis),
            concurrency: limit.concurrency,
        };
        let slot = index.0 as usize;
        if self.rows.len() <= slot {
            self.rows.resize(slot + 1, None);
        }
        self.rows[slot] = Some(row);
        self.indexes.insert(row.customer, index);
    }

    /// Removes a contract.
    pub fn remove(&mut self, index: CustomerIndex) {
        let slot = self.rows.get_mut(index.0 as usize);
        if let Some(row) = slot.and_then(Option::take)
            && self.indexes.get(&row.customer) == Some(&index)
        {
            self.indexes.remove(&row.customer);
        }
    }

    /// Returns the limits of a contract.
    #[must_use]
    pub fn row(&self, index: CustomerIndex) -> Option<LimitRow> {
        self.rows.get(index.0 as usize).copied().flatten()
    }

    /// Returns the limits of a customer, given the hash of its name.
    #[must_use]
    pub fn row_of(&self, customer: u64) -> Option<LimitRow> {
        self.row(*self.indexes.get(&customer)?)
    }

    /// Returns the dense number of a customer, given the hash of its name.
    #[must_use]
    pub fn index_of(&self, customer: u64) -> Option<CustomerIndex> {
        self.indexes.get(&customer).copied()
    }
}
