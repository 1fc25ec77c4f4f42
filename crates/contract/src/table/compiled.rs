//! Compiled contract of one customer. A change of a contract rebuilds only its own compiled form.
//!
//! The routes are compiled at the customer's first request. A node serves only some of the
//! customers at a time, and the compact form takes a fifth of the memory.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

use sycamorelink_core::ServiceName;

use super::path;
use super::rule::{CustomerRule, KeyRule, MethodSet, RouteRule, ServiceIndex};
use crate::change::ContractVersion;
use crate::contract::CustomerContract;
use crate::digest::ContentDigest;
use crate::pack::PackedContract;
use crate::terms::{RepeatClass, RouteMethod, RouteTerms, ServiceObjective, ServiceTerms};

/// Number of currently compiled routes of all customers in a table.
#[derive(Clone, Debug, Default)]
pub(super) struct CompiledCount(Arc<AtomicUsize>);

impl CompiledCount {
    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Compiled contract of one customer.
#[derive(Clone, Debug)]
pub(super) struct CompiledContract {
    pub(super) rule: Arc<CustomerRule>,
    packed: PackedContract,
    /// Fleet-wide indexes of the contract's services, in the order of the contract.
    services: Box<[ServiceIndex]>,
    /// Routes sorted by prefix; routes with the same prefix are in the order of the contract.
    routes: OnceLock<Box<[RouteRule]>>,
}

impl CompiledContract {
    pub(super) fn new(
        contract: &CustomerContract,
        packed: PackedContract,
        version: ContractVersion,
        services: Vec<ServiceIndex>,
    ) -> Self {
        Self {
            rule: Arc::new(customer_rule(contract, version)),
            packed,
            services: services.into_boxed_slice(),
            routes: OnceLock::new(),
        }
    }

    /// Returns the route of a request whose path was checked.
    ///
    /// Only the longest matching prefix is considered. If none of its routes accepts the method,
    /// no route is returned, because a route with a shorter prefix may have laxer rules.
    pub(super) fn find(
        &self,
        method: RouteMethod,
        path: &str,
        count: &CompiledCount,
    ) -> Option<&RouteRule> {
        let routes = self.routes(count);
        path::prefixes(path)
            .find_map(|prefix| routes_with_prefix(routes, prefix))?
            .iter()
            .find(|rule| rule.methods.contains(method))
    }

    /// Returns a copy without the compiled routes.
    pub(super) fn without_routes(&self) -> Self {
        Self {
            routes: OnceLock::new(),
            ..self.clone()
        }
    }

    pub(super) fn routes(&self, count: &CompiledCount) -> &[RouteRule] {
        self.routes.get_or_init(|| {
            let routes = self.compile();
            count.0.fetch_add(routes.len(), Ordering::Relaxed);
            routes
        })
    }

    pub(super) fn services(&self) -> &[ServiceIndex] {
        &self.services
    }

    pub(super) fn objectives(&self) -> Vec<(ServiceName, ServiceObjective)> {
        let services = self.packed.unpack().services.into_iter();
        services
            .filter_map(|service| Some((service.name, service.objective?)))
            .collect()
    }

    pub(super) fn account_hash(&self, number: u32) -> Option<ContentDigest> {
        self.packed.account_hash(number)
    }

    pub(super) fn account_hashes(&self) -> impl Iterator<Item = (u32, ContentDigest)> {
        let numbers = 0..self.packed.account_count();
        numbers.filter_map(|number| Some((number, self.packed.account_hash(number)?)))
    }

    pub(super) fn account_id(&self, number: u32) -> Option<Arc<str>> {
        let contract = self.packed.unpack();
        let account = contract.tokens.get(number as usize)?;
        Some(account.id.clone())
    }

    fn compile(&self) -> Box<[RouteRule]> {
        let contract = self.packed.unpack();
        let services = contract.services.iter().zip(&self.services);
        let services_by_name: BTreeMap<&str, (&ServiceTerms, ServiceIndex)> = services
            .map(|(service, index)| (service.name.as_str(), (service, *index)))
            .collect();
        let mut prefixes: BTreeMap<&str, Arc<str>> = BTreeMap::new();
        let mut routes: Vec<RouteRule> = Vec::with_capacity(contract.routes.len());
        for route in &contract.routes {
            let Some((service, index)) = services_by_name.get(route.service.as_str()) else {
                continue;
            };
            let prefix = path::canonical_prefix(&route.prefix);
            let shared = prefixes.entry(prefix).or_insert_with(|| Arc::from(prefix));
            let prefix = shared.clone();
            routes.push(route_rule(&self.rule, route, (service, *index), prefix));
        }
        routes.sort_by(|left, right| left.prefix.cmp(&right.prefix));
        routes.into_boxed_slice()
    }
}

/// Returns the routes with exactly this prefix, if there are any.
fn routes_with_prefix<'a>(routes: &'a [RouteRule], prefix: &str) -> Option<&'a [RouteRule]> {
    let start = routes.partition_point(|rule| &*rule.prefix < prefix);
    let rest = &routes[start..];
    let length = rest.partition_point(|rule| &*rule.prefix == prefix);
    (length > 0).then(|| &rest[..length])
}

fn customer_rule(contract: &CustomerContract, version: ContractVersion) -> CustomerRule {
    CustomerRule {
        customer: contract.customer.clone(),
        team: contract.team.clone(),
        version,
        rate: contract.rate.per_second,
        burst: contract.rate.burst(),
        concurrency: contract.concurrency,
        retry_budget: contract.retry_budget,
        hedge_budget: contract.hedge_budget,
        leaning: contract.leaning,
        reply_id_header: contract.reply_id_header.clone(),
    }
}

fn route_rule(
    terms: &Arc<CustomerRule>,
    route: &RouteTerms,
    (service, service_index): (&ServiceTerms, ServiceIndex),
    prefix: Arc<str>,
) -> RouteRule {
    let idempotent = route.repeat == RepeatClass::Idempotent;
    RouteRule {
        terms: terms.clone(),
        service: service.name.clone(),
        service_index,
        prefix,
        methods: MethodSet::of(&route.methods),
        repeat: route.repeat,
        deadline: route.deadline.unwrap_or(service.deadline),
        attempts: None,
        priority: route.priority,
        max_body: route.max_body,
        reply_buffer: route.reply_buffer,
        hedge: idempotent && route.hedge.unwrap_or(true),
        keys: KeyRule {
            required: route.keys.required.unwrap_or(!idempotent),
            opaque: route.keys.opaque,
            memory: route.keys.memory,
        },
        objective: service.objective,
    }
}
