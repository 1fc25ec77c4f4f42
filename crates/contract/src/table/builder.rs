//! Incremental construction of the table, one contract at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorelink_core::{CustomerName, FindingList};

use super::RouteTable;
use super::account::AccountLocation;
use super::compiled::{CompiledContract, CompiledCount};
use super::rule::{CustomerIndex, ServiceIndex};
use super::service::ServiceClaims;
use crate::change::ContractVersion;
use crate::contract::CustomerContract;
use crate::digest::ContentDigest;
use crate::text::ContractText;

/// Contract in force, with its position in the order of the log.
#[derive(Clone, Copy, Debug)]
pub struct ContractInForce<'a> {
    /// Content of the contract.
    pub content: &'a ContractText,
    /// Version in force.
    pub version: ContractVersion,
    /// Version that created the customer. A token in two contracts belongs to the older customer.
    pub created: ContractVersion,
}

#[derive(Clone, Copy, Debug)]
struct PlacedCustomer {
    index: CustomerIndex,
    created: ContractVersion,
}

/// Builder that maintains the current [`RouteTable`].
#[derive(Clone, Debug, Default)]
pub struct TableBuilder {
    table: Arc<RouteTable>,
    placed: BTreeMap<CustomerName, PlacedCustomer>,
    /// Customers by token, for tokens that several contracts contain. Usually empty.
    shared_tokens: BTreeMap<ContentDigest, BTreeSet<CustomerName>>,
    claims: ServiceClaims,
    free_indexes: BTreeSet<CustomerIndex>,
}

impl TableBuilder {
    /// Returns the current table.
    #[must_use]
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.clone()
    }

    /// Puts a contract into force and replaces the customer's earlier one. Ignores invalid
    /// contracts.
    pub fn put(&mut self, entry: ContractInForce<'_>) {
        let Some(packed) = entry.content.as_packed() else {
            return;
        };
        let contract = packed.unpack();
        let index = self.release_claims(&contract.customer);
        let index = index.unwrap_or_else(|| self.allocate_index());
        let services = self.claim_services(&contract, index);
        let compiled = CompiledContract::new(&contract, packed.clone(), entry.version, services);
        Arc::make_mut(&mut self.table).set_compiled(index, Some(Arc::new(compiled)));
        let placed = PlacedCustomer {
            index,
            created: entry.created,
        };
        self.placed.insert(contract.customer.clone(), placed);
        for (account, number) in contract.tokens.iter().zip(0..) {
            let hash = &account.sha256;
            let mut claimants = self.claimants(hash);
            if claimants.is_empty() {
                let location = AccountLocation {
                    customer: index,
                    number,
                };
                Arc::make_mut(&mut self.table)
                    .accounts
                    .insert(hash, location);
            } else {
                claimants.insert(contract.customer.clone());
                self.assign_token(hash, claimants);
            }
        }
    }

    /// Removes a customer from the table.
    pub fn remove(&mut self, customer: &CustomerName) {
        if let Some(index) = self.release_claims(customer) {
            Arc::make_mut(&mut self.table).set_compiled(index, None);
            self.free_indexes.insert(index);
        }
    }

    /// Drops the compiled routes of all customers when there are more than `limit`.
    ///
    /// The next request of each customer compiles them again. Returns whether the table was
    /// replaced.
    pub fn drop_compiled_routes(&mut self, limit: usize) -> bool {
        if self.table.compiled_routes() <= limit {
            return false;
        }
        let table = Arc::make_mut(&mut self.table);
        table.compiled = CompiledCount::default();
        for placed in self.placed.values() {
            let compiled = table
                .compiled_arc(placed.index)
                .map(|compiled| compiled.without_routes());
            table.set_compiled(placed.index, compiled.map(Arc::new));
        }
        true
    }

    /// Returns a finding for each token that several contracts contain, with the customer to which
    /// the token belongs.
    #[must_use]
    pub fn findings(&self) -> FindingList {
        let mut findings = FindingList::default();
        for (hash, customers) in &self.shared_tokens {
            let token_owner = self.token_owner(customers);
            let names: Vec<&str> = customers.iter().map(CustomerName::as_str).collect();
            findings.add(
                format!("tokens[sha256={hash}]"),
                format!(
                    "named by {}; it belongs to {}, the oldest of them",
                    names.join(", "),
                    token_owner.map_or("nobody", |(name, _)| name.as_str()),
                ),
            );
        }
        findings
    }

    fn claim_services(
        &mut self,
        contract: &CustomerContract,
        customer: CustomerIndex,
    ) -> Vec<ServiceIndex> {
        let table = Arc::make_mut(&mut self.table);
        let mut services = Vec::with_capacity(contract.services.len());
        for terms in &contract.services {
            let (name, index) = table.services.get_or_insert(&terms.name);
            self.claims.add(index, customer, terms, contract.leaning);
            table.services.set(index, self.claims.merge(index, &name));
            services.push(index);
        }
        services
    }

    /// Removes the customer's tokens and services from the table and returns its index. The
    /// compiled contract stays.
    fn release_claims(&mut self, customer: &CustomerName) -> Option<CustomerIndex> {
        let placed = self.placed.remove(customer)?;
        let compiled = self.table.compiled_arc(placed.index)?.clone();
        for (number, hash) in compiled.account_hashes() {
            if let Some(mut claimants) = self.shared_tokens.get(&hash).cloned() {
                claimants.remove(customer);
                self.assign_token(&hash, claimants);
            } else {
                let location = AccountLocation {
                    customer: placed.index,
                    number,
                };
                Arc::make_mut(&mut self.table)
                    .accounts
                    .remove(&hash, location);
            }
        }
        let table = Arc::make_mut(&mut self.table);
        for index in compiled.services() {
            self.claims.remove(*index, placed.index);
            let Some(rule) = table.services.at(*index).cloned() else {
                continue;
            };
            let merged = self.claims.merge(*index, &rule.service);
            table.services.set(*index, merged);
        }
        Some(placed.index)
    }

    fn claimants(&self, hash: &ContentDigest) -> BTreeSet<CustomerName> {
        if let Some(customers) = self.shared_tokens.get(hash) {
            return customers.clone();
        }
        let token_owner = self.table.find_location(hash);
        let rule = token_owner.and_then(|location| self.table.customer(location.customer));
        rule.map(|rule| rule.customer.clone()).into_iter().collect()
    }

    /// Assigns a token to the oldest customer whose contract contains it.
    fn assign_token(&mut self, hash: &ContentDigest, claimants: BTreeSet<CustomerName>) {
        let location = self.token_owner(&claimants).and_then(|(_, placed)| {
            let compiled = self.table.compiled_arc(placed.index)?;
            let mut hashes = compiled.account_hashes();
            let (number, _) = hashes.find(|(_, other)| other == hash)?;
            Some(AccountLocation {
                customer: placed.index,
                number,
            })
        });
        let current = self.table.find_location(hash);
        if current != location {
            let accounts = &mut Arc::make_mut(&mut self.table).accounts;
            if let Some(current) = current {
                accounts.remove(hash, current);
            }
            if let Some(location) = location {
                accounts.insert(hash, location);
            }
        }
        if claimants.len() > 1 {
            self.shared_tokens.insert(*hash, claimants);
        } else {
            self.shared_tokens.remove(hash);
        }
    }

    fn token_owner<'a>(
        &'a self,
        claimants: &'a BTreeSet<CustomerName>,
    ) -> Option<(&'a CustomerName, &'a PlacedCustomer)> {
        claimants
            .iter()
            .filter_map(|name| Some((name, self.placed.get(name)?)))
            .min_by_key(|(name, placed)| (placed.created, *name))
    }

    fn allocate_index(&mut self) -> CustomerIndex {
        self.free_indexes.pop_first().unwrap_or_else(|| {
            let used = self.placed.len();
            CustomerIndex(u32::try_from(used).unwrap_or(u32::MAX))
        })
    }
}
