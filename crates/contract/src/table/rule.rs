//! Rules in the form read by the request path, with all defaults resolved and shared names.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{CustomerName, ServiceName, name_hash};

use crate::change::ContractVersion;
use crate::terms::{
    DetectionLeaning, HedgeBudget, OpaqueKeys, RepeatClass, RetryBudget, RouteMethod,
    ServiceObjective,
};

/// Index of a customer, valid only in one [`RouteTable`](super::RouteTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerIndex(pub u32);

/// Index of a service in the fleet-wide list. A service keeps its index for the lifetime of the
/// process, even while no customer uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub u32);

/// Set of HTTP methods.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MethodSet(u8);

impl MethodSet {
    /// Creates a set of methods.
    pub fn of<'a, I>(methods: I) -> Self
    where
        I: IntoIterator<Item = &'a RouteMethod>,
    {
        let bits = methods.into_iter().map(|method| 1 << *method as u8);
        Self(bits.fold(0, |set, bit: u8| set | bit))
    }

    /// Returns whether the set contains a method.
    #[must_use]
    pub const fn contains(self, method: RouteMethod) -> bool {
        self.0 & (1 << method as u8) != 0
    }
}

/// Limits of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Team that may amend the contract.
    pub team: Arc<str>,
    /// Version of the contract in force.
    pub version: ContractVersion,
    /// Requests per second in the whole fleet.
    pub rate: f64,
    /// Size of a burst after an idle period, in requests.
    pub burst: f64,
    /// Maximum number of concurrent requests in the whole fleet.
    pub concurrency: u32,
    /// Limit of retries, as a share of the requests.
    pub retry_budget: RetryBudget,
    /// Limit of hedged requests, as a share of the requests.
    pub hedge_budget: HedgeBudget,
    /// Preference between missed and false ejections of upstreams.
    pub leaning: DetectionLeaning,
    /// Header in which backend servers echo the request's id.
    pub reply_id_header: Option<Arc<str>>,
}

/// Rules for the `Idempotency-Key` of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRule {
    /// Whether a request without a key is refused.
    pub required: bool,
    /// Handling of keys that contain no timestamp.
    pub opaque: OpaqueKeys,
    /// Time for which a key is retained.
    pub memory: Duration,
}

/// Rules of a route, as needed by the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Limits of the customer.
    pub terms: Arc<CustomerRule>,
    /// Service to which requests are forwarded.
    pub service: ServiceName,
    /// Index of the service in the fleet-wide list.
    pub service_index: ServiceIndex,
    /// Path prefix without a trailing slash; empty for `/`.
    pub prefix: Arc<str>,
    /// Methods that the route accepts.
    pub methods: MethodSet,
    /// Whether a request may be run more than once.
    pub repeat: RepeatClass,
    /// Maximum total duration of a request.
    pub deadline: Duration,
    /// Maximum number of upstreams that may run one request; `None` if the contract sets no limit.
    pub attempts: Option<u16>,
    /// 0 (low, shed first) to 9 (high, shed last).
    pub priority: u8,
    /// Maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Maximum size of a reply that is buffered completely before it is forwarded, in bytes.
    pub reply_buffer: u64,
    /// Whether a slow request may be sent to a second upstream.
    pub hedge: bool,
    /// Rules for the `Idempotency-Key`.
    pub keys: KeyRule,
    /// Objective of the customer for the service, if any.
    pub objective: Option<ServiceObjective>,
}

impl RouteRule {
    /// Returns an identifier under which measurements of the route's requests are grouped. The
    /// identifier is the same on every node.
    #[must_use]
    pub fn work_kind(&self) -> u64 {
        name_hash(&self.prefix)
    }
}

/// Rules of a service, merged over all customers that use it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub service: ServiceName,
    /// Index of the service in the fleet-wide list.
    pub index: ServiceIndex,
    /// Share of the announced upstreams that ejection must leave: the maximum over all customers.
    pub floor: f64,
    /// Number of upstreams that ejection must leave: the maximum over all customers.
    pub floor_count: u32,
    /// Leaning of the customers if all agree, otherwise balanced.
    pub leaning: DetectionLeaning,
    /// Concurrent requests per upstream: the minimum hint of all customers.
    pub slots: Option<u32>,
    /// Latency objective: the minimum over all customers.
    pub latency: Option<Duration>,
    /// Number of customers that use the service.
    pub customers: u32,
}
