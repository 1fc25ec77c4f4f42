//! Interned names, so that entries share one copy of each.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorelink_core::{DomainName, ServiceName};

/// Index of an interned service name; local to this node and never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceNumber(u32);

impl ServiceNumber {
    /// Marker in a slot entry for an upstream that was removed.
    pub(crate) const GONE: Self = Self(u32::MAX);

    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// Interned service names with lookup in both directions. Entries are never removed; their number
/// is bounded by the services that customers' contracts have named since this node started.
#[derive(Debug, Default)]
pub(crate) struct ServiceNames {
    names: Vec<ServiceName>,
    numbers: BTreeMap<ServiceName, ServiceNumber>,
}

impl ServiceNames {
    pub(crate) fn number(&self, name: &str) -> Option<ServiceNumber> {
        self.numbers.get(name).copied()
    }

    /// Returns the number of a name and adds the name if it is new.
    pub(crate) fn intern(&mut self, name: &ServiceName) -> ServiceNumber {
        if let Some(number) = self.numbers.get(name.as_str()) {
            return *number;
        }
        let next = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        let number = ServiceNumber(next);
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }

    pub(crate) fn name(&self, number: ServiceNumber) -> Option<&ServiceName> {
        self.names.get(number.index())
    }
}

/// Interned domain and region names, which repeat in the facts of every member.
#[derive(Debug, Default)]
pub(crate) struct LocationNames {
    domains: BTreeSet<DomainName>,
    regions: BTreeSet<Arc<str>>,
}

impl LocationNames {
    pub(crate) fn domain(&mut self, name: &DomainName) -> DomainName {
        if let Some(known) = self.domains.get(name.as_str()) {
            return known.clone();
        }
        self.domains.insert(name.clone());
        name.clone()
    }

    pub(crate) fn region(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.regions.get(name) {
            return Arc::clone(known);
        }
        self.regions.insert(Arc::clone(name));
        Arc::clone(name)
    }
}
