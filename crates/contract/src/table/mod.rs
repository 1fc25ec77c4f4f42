//! Compiled form of all contracts in force, read by the request path without locks.
//!
//! ```text
//! token -> SHA-256 -> account shard -> customer index -> compiled contract
//!                                                          -> prefix, method -> rule
//! ```
//!
//! A shared table is immutable. [`TableBuilder`] updates its table in place while no other
//! reference to it exists. Otherwise it copies only the shard, chunk and compiled contract that a
//! change affects, and shares the rest.

mod account;
mod builder;
mod compiled;
pub mod path;
mod rule;
mod service;

use std::sync::Arc;

use sycamorelink_core::ServiceName;

pub use builder::{ContractInForce, TableBuilder};
pub use rule::{
    CustomerIndex, CustomerRule, KeyRule, MethodSet, RouteRule, ServiceIndex, ServiceRule,
};

use crate::digest::ContentDigest;
use crate::terms::{RouteMethod, ServiceObjective};
use account::{AccountLocation, AccountShards};
use compiled::{CompiledContract, CompiledCount};
use service::ServiceList;

/// Number of customers per chunk. A change copies one chunk of pointers.
const CHUNK_CUSTOMERS: usize = 256;

type CustomerChunk = Arc<Vec<Option<Arc<CompiledContract>>>>;

/// Compiled form of all contracts in force. A clone shares all data.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    accounts: AccountShards,
    chunks: Vec<CustomerChunk>,
    services: ServiceList,
    compiled: CompiledCount,
}

/// Customer and account to which a token belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountMatch {
    /// Index of the customer in the table.
    pub customer: CustomerIndex,
    /// Name of the account in the customer's contract.
    pub account: Arc<str>,
}

impl RouteTable {
    /// Returns the customer to which a token belongs.
    ///
    /// The token is hashed first, so the duration of the search reveals information only about the
    /// hash, from which the token cannot be derived. The final comparison is constant-time.
    #[must_use]
    pub fn find_customer(&self, token: &[u8]) -> Option<CustomerIndex> {
        let hash = ContentDigest::of(token);
        self.find_location(&hash).map(|location| location.customer)
    }

    /// Returns the customer and account to which a token belongs.
    #[must_use]
    pub fn find_account(&self, token: &[u8]) -> Option<AccountMatch> {
        let location = self.find_location(&ContentDigest::of(token))?;
        Some(AccountMatch {
            customer: location.customer,
            account: self
                .compiled(location.customer)?
                .account_id(location.number)?,
        })
    }

    /// Returns the rule for a request: the longest prefix of whole segments, then the method.
    ///
    /// Returns `None` if no route matches or the path is not in normal form (see [`path`]).
    #[must_use]
    pub fn find_route(
        &self,
        customer: CustomerIndex,
        method: &str,
        path: &str,
    ) -> Option<&RouteRule> {
        let method = RouteMethod::from_name(method)?;
        path::check(path).ok()?;
        self.compiled(customer)?.find(method, path, &self.compiled)
    }

    /// Returns the limits of a customer.
    #[must_use]
    pub fn customer(&self, customer: CustomerIndex) -> Option<&Arc<CustomerRule>> {
        self.compiled(customer).map(|compiled| &compiled.rule)
    }

    /// Returns all customers in order of index.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerIndex, &Arc<CustomerRule>)> {
        let contracts = self.chunks.iter().flat_map(|chunk| chunk.iter());
        contracts.zip(0..).filter_map(|(compiled, index)| {
            let compiled = compiled.as_ref()?;
            Some((CustomerIndex(index), &compiled.rule))
        })
    }

    /// Returns the routes of a customer in order of prefix.
    ///
    /// Compiles the routes if no request has done so yet. To iterate over all customers, use
    /// [`Self::objectives`], which does not compile.
    pub fn routes(&self, customer: CustomerIndex) -> impl Iterator<Item = &RouteRule> {
        let compiled = self.compiled(customer).into_iter();
        compiled.flat_map(|compiled| compiled.routes(&self.compiled))
    }

    /// Returns the objectives of a customer by service, without compiling its routes.
    #[must_use]
    pub fn objectives(&self, customer: CustomerIndex) -> Vec<(ServiceName, ServiceObjective)> {
        let compiled = self.compiled(customer);
        compiled
            .map(CompiledContract::objectives)
            .unwrap_or_default()
    }

    /// Returns the number of client accounts of all customers.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.accounts.count()
    }

    /// Returns the number of compiled routes, which take about 230 bytes each.
    ///
    /// A node that serves many customers in turn should regularly drop them with
    /// [`ContractBook::drop_compiled_routes`](crate::ContractBook::drop_compiled_routes).
    #[must_use]
    pub fn compiled_routes(&self) -> usize {
        self.compiled.get()
    }

    /// Returns the rule of a service by name; `None` if no customer uses the service.
    #[must_use]
    pub fn service_rule(&self, service: &str) -> Option<&Arc<ServiceRule>> {
        self.services.find(service)
    }

    /// Returns the rule of a service by index; `None` if no customer uses the service.
    #[must_use]
    pub fn service_at(&self, index: ServiceIndex) -> Option<&Arc<ServiceRule>> {
        self.services.at(index)
    }

    /// Returns the rules of all services in use, in order of index.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.used()
    }

    /// Returns the index of a service, even if no customer uses it any more.
    #[must_use]
    pub fn service_index(&self, service: &ServiceName) -> Option<ServiceIndex> {
        self.services.index(service.as_str())
    }

    fn compiled(&self, customer: CustomerIndex) -> Option<&CompiledContract> {
        self.compiled_arc(customer).map(|compiled| &**compiled)
    }

    fn compiled_arc(&self, customer: CustomerIndex) -> Option<&Arc<CompiledContract>> {
        let index = customer.0 as usize;
        let chunk = self.chunks.get(index / CHUNK_CUSTOMERS)?;
        chunk.get(index % CHUNK_CUSTOMERS)?.as_ref()
    }

    fn find_location(&self, hash: &ContentDigest) -> Option<AccountLocation> {
        self.accounts.candidates(hash).find(|location| {
            let compiled = self.compiled(location.customer);
            let stored = compiled.and_then(|compiled| compiled.account_hash(location.number));
            stored.is_some_and(|stored| stored.ct_eq(hash))
        })
    }

    fn set_compiled(&mut self, customer: CustomerIndex, compiled: Option<Arc<CompiledContract>>) {
        let index = customer.0 as usize;
        let number = index / CHUNK_CUSTOMERS;
        if self.chunks.len() <= number {
            let empty = || Arc::new(vec![None; CHUNK_CUSTOMERS]);
            self.chunks.resize_with(number + 1, empty);
        }
        Arc::make_mut(&mut self.chunks[number])[index % CHUNK_CUSTOMERS] = compiled;
    }
}
