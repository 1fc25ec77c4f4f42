//! Rules in the form the request path reads: nothing left to default, names shared.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{CustomerName, ServiceName, name_hash};

use crate::change::ContractVersion;
use crate::terms::{
    DetectionLeaning, HedgeBudget, OpaqueKeys, RepeatClass, RetryBudget, RouteMethod,
    ServiceObjective,
};

/// Place of a customer in one [`RouteTable`](super::RouteTable). It means nothing in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerIndex(pub u32);

/// Place of a service in the fleet-wide list. A service keeps its index as long as the process
/// lives, also while nobody routes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub u32);

/// Methods a route takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MethodSet(u8);

impl MethodSet {
    /// The set of some methods.
    pub fn of<'a, I>(methods: I) -> Self
    where
        I: IntoIterator<Item = &'a RouteMethod>,
    {
        let bits = methods.into_iter().map(|method| 1 << *method as u8);
        Self(bits.fold(0, |set, bit: u8| set | bit))
    }

    /// Whether the set has a method.
    #[must_use]
    pub const fn has(self, method: RouteMethod) -> bool {
        self.0 & (1 << method as u8) != 0
    }
}

/// Limits of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// The customer.
    pub customer: CustomerName,
    /// The team that may amend its contract.
    pub team: Arc<str>,
    /// Version of the contract in force.
    pub version: ContractVersion,
    /// Requests per second in the whole fleet.
    pub rate: f64,
    /// Requests that may come at once after a pause.
    pub burst: f64,
    /// Requests at a time in the whole fleet.
    pub concurrency: u32,
    /// How many requests may be retried.
    pub retry_budget: RetryBudget,
    /// How many requests may be hedged.
    pub hedge_budget: HedgeBudget,
    /// Which error of detection costs the customer more.
    pub leaning: DetectionLeaning,
    /// Header in which backend servers echo the request's id.
    pub reply_id_header: Option<Arc<str>>,
}

/// Rules for the `Idempotency-Key` of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRule {
    /// Whether a request without a key is refused.
    pub required: bool,
    /// What becomes of a key without a time in it.
    pub opaque: OpaqueKeys,
    /// How long a key is remembered.
    pub memory: Duration,
}

/// Everything the request path needs to know about a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Limits of the customer.
    pub terms: Arc<CustomerRule>,
    /// The service.
    pub service: ServiceName,
    /// The service's place in the fleet-wide list.
    pub service_index: ServiceIndex,
    /// Path prefix without a slash at its end; empty for `/`.
    pub prefix: Arc<str>,
    /// Methods the route takes.
    pub methods: MethodSet,
    /// Whether a request may be run more than once.
    pub repeat: RepeatClass,
    /// Longest time a request may take in all.
    pub deadline: Duration,
    /// Most upstreams that may run one request; none leaves it to the retry plan.
    pub attempts: Option<u16>,
    /// 0 (low, shed first) to 9 (high, shed last).
    pub priority: u8,
    /// Largest body of a request in bytes.
    pub max_body: u64,
    /// Largest reply in bytes that is held back until it is whole.
    pub reply_buffer: u64,
    /// Whether a slow request may be sent to a second upstream.
    pub hedge: bool,
    /// Rules for the `Idempotency-Key`.
    pub keys: KeyRule,
    /// What the customer expects of the service.
    pub objective: Option<ServiceObjective>,
}

impl RouteRule {
    /// Which kind of work the route's requests are, for what is learned of them: the same on every
    /// node.
    #[must_use]
    pub fn work_kind(&self) -> u64 {
        name_hash(&self.prefix)
    }
}

/// What holds for a service, merged over all customers that use it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceName,
    /// Its place in the fleet-wide list.
    pub index: ServiceIndex,
    /// Share of the announced upstreams that ejection must leave: the greatest of all.
    pub floor: f64,
    /// Number of upstreams that ejection must leave: the greatest of all.
    pub floor_count: u32,
    /// The customers' leaning where all agree, else balanced.
    pub leaning: DetectionLeaning,
    /// Requests that one upstream runs at a time: the least hint of all.
    pub slots: Option<u32>,
    /// Least latency that any customer expects.
    pub latency: Option<Duration>,
    /// Number of customers that use the service.
    pub customers: u32,
}
