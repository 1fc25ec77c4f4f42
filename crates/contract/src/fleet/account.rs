//! Client accounts of a fleet contract: who may call, how urgently, and how often.
//!
//! A key is a secret of the account's owner. Only its digest is kept, gossiped and logged, so that
//! whoever reads a daemon's memory, messages or logs cannot call in the account's name. Keys are
//! found by their digest: how long that takes tells nothing of the key.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, FindingList};

use super::FLEET_CUSTOMER;
use crate::digest::ContentDigest;
use crate::table::CustomerRule;
use crate::terms::MAX_PRIORITY;

/// Longest name of an account, in bytes: it goes to backend servers in a header of each request, whose
/// headers together are bounded to some KiB.
const MAX_NAME: usize = 256;

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetAccount {
    /// Its name, as backend servers are told it.
    pub name: CustomerName,
    /// Digests of its keys.
    pub keys: Vec<ContentDigest>,
    /// Priority of its requests, 0 to 9; none where the route's holds.
    #[serde(default)]
    pub priority: Option<u8>,
    /// How often it may call; none for no limit.
    #[serde(default)]
    pub quota: Option<AccountQuota>,
}

/// How often an account may call, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountQuota {
    /// Requests a second in the long run.
    pub rate: f64,
    /// Requests at once after a pause.
    pub burst: f64,
}

/// What a request of an account gets.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// Terms under the account's own name.
    pub terms: Arc<CustomerRule>,
    /// Priority that goes before the route's.
    pub priority: Option<u8>,
    /// How often the account may call.
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

    /// Name of the account.
    #[must_use]
    pub fn name(&self) -> &CustomerName {
        &self.terms.customer
    }
}

/// Collects what is wrong with the accounts of one contract.
pub(super) fn check_accounts(accounts: &[FleetAccount], findings: &mut FindingList) {
    let mut names = BTreeMap::new();
    let mut holders: BTreeMap<&ContentDigest, &CustomerName> = BTreeMap::new();
    let empty_key = ContentDigest::of(b"");
    for (index, account) in accounts.iter().enumerate() {
        let place = format!("accounts[{index}]");
        let name = account.name.as_str();
        findings.expect(
            names.insert(name, index).is_none() && name != FLEET_CUSTOMER,
            &format!("{place}.name"),
            "is taken",
        );
        findings.expect(
            is_header_text(name),
            &format!("{place}.name"),
            "must be 1 to 256 visible ASCII characters",
        );
        findings.expect(
            account
                .priority
                .is_none_or(|priority| priority <= MAX_PRIORITY),
            &format!("{place}.priority"),
            "must be 0 to 9",
        );
        findings.expect(
            account.quota.is_none_or(|quota| quota.is_sound()),
            &format!("{place}.quota"),
            "rate must be above 0 and burst 0 or more",
        );
        for (number, key) in account.keys.iter().enumerate() {
            let place = format!("{place}.keys[{number}]");
            findings.expect(!key.ct_eq(&empty_key), &place, "is an empty key");
            let holder = holders.insert(key, &account.name);
            findings.expect(
                holder.is_none_or(|holder| *holder == account.name),
                &place,
                "another account has this key",
            );
        }
    }
}

impl AccountQuota {
    fn is_sound(&self) -> bool {
        self.rate.is_finite() && self.rate > 0.0 && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// Whether a text can be the value of a header as it is.
fn is_header_text(text: &str) -> bool {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (1..=MAX_NAME).contains(&text.len()) && visible
}
