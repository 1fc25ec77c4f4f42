//! Services of the fleet, merged over the customers that use them.
//!
//! The strictest floor applies: each customer is guaranteed that ejection leaves a certain
//! capacity, regardless of weaker guarantees to other customers. The leaning is only a preference.
//! Because an ejection affects all customers of a service, no customer may choose the leaning for
//! the others: if they differ, the service uses `Balanced`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::ServiceName;

use super::rule::{CustomerIndex, ServiceIndex, ServiceRule};
use crate::terms::{DetectionLeaning, ServiceTerms};

/// List of services in order of index. Part of the shared table.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceList {
    names: Arc<BTreeMap<ServiceName, ServiceIndex>>,
    rules: Arc<Vec<Option<Arc<ServiceRule>>>>,
}

impl ServiceList {
    pub(super) fn find(&self, service: &str) -> Option<&Arc<ServiceRule>> {
        self.at(self.index(service)?)
    }

    pub(super) fn at(&self, index: ServiceIndex) -> Option<&Arc<ServiceRule>> {
        self.rules.get(index.0 as usize)?.as_ref()
    }

    pub(super) fn index(&self, service: &str) -> Option<ServiceIndex> {
        self.names.get(service).copied()
    }

    pub(super) fn used(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.rules.iter().flatten()
    }

    /// Returns the shared name and the index of a service. Assigns a new index if necessary.
    pub(super) fn get_or_insert(&mut self, service: &ServiceName) -> (ServiceName, ServiceIndex) {
        if let Some((name, index)) = self.names.get_key_value(service.as_str()) {
            return (name.clone(), *index);
        }
        let index = ServiceIndex(u32::try_from(self.rules.len()).unwrap_or(u32::MAX));
        Arc::make_mut(&mut self.names).insert(service.clone(), index);
        Arc::make_mut(&mut self.rules).push(None);
        (service.clone(), index)
    }

    pub(super) fn set(&mut self, index: ServiceIndex, rule: Option<ServiceRule>) {
        if self.at(index).map(|rule| &**rule) == rule.as_ref() {
            return;
        }
        if let Some(slot) = Arc::make_mut(&mut self.rules).get_mut(index.0 as usize) {
            *slot = rule.map(Arc::new);
        }
    }
}

/// Requirements of one customer for one service.
#[derive(Clone, Copy, Debug)]
struct ServiceClaim {
    floor: f64,
    floor_count: u32,
    slots: Option<u32>,
    latency: Option<Duration>,
    leaning: DetectionLeaning,
}

/// Requirements of all customers for all services.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceClaims {
    claims: BTreeMap<(ServiceIndex, CustomerIndex), ServiceClaim>,
}

impl ServiceClaims {
    pub(super) fn add(
        &mut self,
        index: ServiceIndex,
        customer: CustomerIndex,
        terms: &ServiceTerms,
        leaning: DetectionLeaning,
    ) {
        let claim = ServiceClaim {
            floor: terms.floor,
            floor_count: terms.floor_count,
            slots: terms.slots,
            latency: terms.objective.map(|objective| objective.latency),
            leaning,
        };
        self.claims.insert((index, customer), claim);
    }

    pub(super) fn remove(&mut self, index: ServiceIndex, customer: CustomerIndex) {
        self.claims.remove(&(index, customer));
    }

    /// Returns the merged rule of a service; `None` if no customer uses it.
    pub(super) fn merge(&self, index: ServiceIndex, service: &ServiceName) -> Option<ServiceRule> {
        let range = (index, CustomerIndex(0))..=(index, CustomerIndex(u32::MAX));
        let claims = self.claims.range(range);
        claims
            .map(|(_, claim)| single_rule(service, index, claim))
            .reduce(|left, right| merged_rule(left, &right))
    }
}

fn single_rule(service: &ServiceName, index: ServiceIndex, claim: &ServiceClaim) -> ServiceRule {
    ServiceRule {
        service: service.clone(),
        index,
        floor: claim.floor,
        floor_count: claim.floor_count,
        leaning: claim.leaning,
        slots: claim.slots,
        latency: claim.latency,
        customers: 1,
    }
}

fn merged_rule(left: ServiceRule, right: &ServiceRule) -> ServiceRule {
    ServiceRule {
        floor: left.floor.max(right.floor),
        floor_count: left.floor_count.max(right.floor_count),
        leaning: if left.leaning == right.leaning {
            left.leaning
        } else {
            DetectionLeaning::Balanced
        },
        slots: min_option(left.slots, right.slots),
        latency: min_option(left.latency, right.latency),
        customers: left.customers + right.customers,
        service: left.service,
        index: left.index,
    }
}

fn min_option<T>(left: Option<T>, right: Option<T>) -> Option<T>
where
    T: Ord,
{
    match (left, right) {
        (Some(left), Some(right)) => Some(left.min(right)),
        (left, right) => left.or(right),
    }
}
