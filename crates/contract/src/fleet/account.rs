//! Client accounts of a fleet contract, with their keys, priority and quota.
//!
//! A key is a secret of the account's owner. Nodes keep, gossip and log only its digest, so a
//! reader of a daemon's memory, messages or logs cannot impersonate the account. Keys are looked
//! up by digest, so the duration of a lookup reveals nothing about the key.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, FindingList};

use super::FLEET_CUSTOMER;
use crate::digest::ContentDigest;
use crate::table::CustomerRule;
use crate::terms::MAX_PRIORITY;

/// Maximum length of an account name, in bytes. The name is sent to backend servers in a header of
/// each request, and the total size of the headers is limited to a few KiB.
const MAX_NAME_BYTES: usize = 256;

/// Client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetAccount {
    /// Name of the account, sent to backend servers.
    pub name: CustomerName,
    /// Digests of the account's keys.
    pub keys: Vec<ContentDigest>,
    /// Priority of the account's requests, 0 to 9; `None` uses the priority of the route.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Rate limit of the account; `None` for no limit.
    #[serde(default)]
    pub quota: Option<AccountQuota>,
}

/// Rate limit of an account, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountQuota {
    /// Sustained requests per second.
    pub rate: f64,
    /// Size of a burst after an idle period, in requests.
    pub burst: f64,
}

/// Terms for the requests of an account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// Terms of the fleet contract, with the account's name as the customer.
    pub terms: Arc<CustomerRule>,
    /// Priority that overrides the route's; `None` keeps the route's.
    pub priority: Option<u8>,
    /// Rate limit of the account; `None` for no limit.
    pub quota: Option<AccountQuota>,
}

impl AccountRule {
    pub(super) fn new(account: &FleetAccount, fleet: &CustomerRule) -> Self {
        let customer = account.name.clone();
        Self {
            terms: Arc::new(CustomerRule {
                customer,
                ..fleet.clone()
            }),
            priority: account.priority,
            quota: account.quota,
        }
    }

    /// Returns the name of the account.
    #[must_use]
    pub fn name(&self) -> &CustomerName {
        &self.terms.customer
    }
}

/// Validates the accounts of a fleet contract.
pub(super) fn check_accounts(accounts: &[FleetAccount], findings: &mut FindingList) {
    let mut names = BTreeMap::new();
    let mut key_owners: BTreeMap<&ContentDigest, &CustomerName> = BTreeMap::new();
    let empty_key = ContentDigest::of(b"");
    for (index, account) in accounts.iter().enumerate() {
        let name = account.name.as_str();
        findings.expect_at(
            names.insert(name, index).is_none() && name != FLEET_CUSTOMER,
            format_args!("accounts[{index}].name"),
            "is taken",
        );
        findings.expect_at(
            is_header_text(name),
            format_args!("accounts[{index}].name"),
            "must be 1 to 256 visible ASCII characters",
        );
        findings.expect_at(
            account
                .priority
                .is_none_or(|priority| priority <= MAX_PRIORITY),
            format_args!("accounts[{index}].priority"),
            "must be 0 to 9",
        );
        findings.expect_at(
            account.quota.is_none_or(|quota| quota.is_valid()),
            format_args!("accounts[{index}].quota"),
            "rate must be above 0 and burst 0 or more",
        );
        for (number, key) in account.keys.iter().enumerate() {
            findings.expect_at(
                !key.ct_eq(&empty_key),
                format_args!("accounts[{index}].keys[{number}]"),
                "is an empty key",
            );
            let owner = key_owners.insert(key, &account.name);
            findings.expect_at(
                owner.is_none_or(|owner| *owner == account.name),
                format_args!("accounts[{index}].keys[{number}]"),
                "another account has this key",
            );
        }
    }
}

impl AccountQuota {
    fn is_valid(&self) -> bool {
        self.rate.is_finite() && self.rate > 0.0 && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// Returns whether a text is a valid account name and header value without escaping.
fn is_header_text(text: &str) -> bool {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (1..=MAX_NAME_BYTES).contains(&text.len()) && visible
}
