//! The compiled form of a fleet contract, read by the request path.

use std::collections::BTreeMap;
use std::sync::Arc;

use sycamorelink_core::CustomerName;

use super::{AccountRule, FLEET_CUSTOMER, FleetContract, FleetRoute, RoutePart};
use crate::change::ContractVersion;
use crate::digest::ContentDigest;
use crate::table::{CustomerRule, KeyRule, MethodSet, RouteRule, ServiceIndex};
use crate::terms::{
    DEFAULT_SUCCESS, DEFAULT_WINDOW, HedgeBudget, OpaqueKeys, RepeatClass, ServiceObjective,
};

/// Greatest request body, in bytes: the smallest memory of an instance that the fleet is run on is
/// many times this, and bodies beyond a few KB are passed on as they come.
const MAX_BODY: u64 = 64 << 20;
/// Greatest reply that is held until it is whole, in bytes: the largest document bundles are about
/// half of it, and a reply that is held can still be fetched from another upstream.
const REPLY_BUFFER: u64 = 1 << 20;

/// A route with a rule for each of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRule {
    parts: Vec<(u32, RouteRule)>,
    total: u64,
    public: bool,
}

impl FleetRule {
    /// The rule of the part that a draw from 0 to 1 falls to.
    #[must_use]
    pub fn part(&self, draw: f64) -> Option<&RouteRule> {
        let mut left = draw * to_float(self.total);
        for (weight, rule) in &self.parts {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(rule);
            }
        }
        self.parts.last().map(|(_, rule)| rule)
    }

    /// Whether callers need no key of an account.
    #[must_use]
    pub const fn is_public(&self) -> bool {
        self.public
    }

    /// Whether the requests go to more than one service.
    #[must_use]
    pub fn is_split(&self) -> bool {
        self.parts.len() > 1
    }
}

/// A fleet contract, compiled.
#[derive(Clone, Debug, Default)]
pub struct FleetTable {
    version: u64,
    hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, FleetRule>>,
    accounts: BTreeMap<CustomerName, Arc<AccountRule>>,
    keys: BTreeMap<ContentDigest, Arc<AccountRule>>,
}

impl FleetTable {
    /// Compiles a contract.
    #[must_use]
    pub fn new(contract: &FleetContract) -> Self {
        let terms = Arc::new(terms_of(contract));
        let mut hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, FleetRule>> = BTreeMap::new();
        for route in &contract.routes {
            let rules = hosts.entry(Arc::clone(&route.host)).or_default();
            rules.insert(Arc::clone(&route.prefix), rule_of(route, &terms));
        }
        let mut accounts = BTreeMap::new();
        let mut keys = BTreeMap::new();
        for account in &contract.accounts {
            let rule = Arc::new(AccountRule::new(account, &terms));
            let held = account.keys.iter().map(|key| (*key, Arc::clone(&rule)));
            keys.extend(held);
            accounts.insert(account.name.clone(), rule);
        }
        Self {
            version: contract.version,
            hosts,
            accounts,
            keys,
        }
    }

    /// Whether requests need a key of an account, unless their route is public.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The account that holds the key with this digest.
    #[must_use]
    pub fn account(&self, key: &ContentDigest) -> Option<&Arc<AccountRule>> {
        self.keys.get(key)
    }

    /// All accounts, by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountRule>> {
        self.accounts.values()
    }

    /// Version of the contract.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The route for a request: of the host's routes the one with the longest prefix that begins
    /// the path. Prefixes end with a slash, so only the path's slashes are looked at, from the last.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&FleetRule> {
        let rules = self.hosts.get(host)?;
        let slashes = path.bytes().enumerate().rev();
        slashes
            .filter(|(_, byte)| *byte == b'/')
            .find_map(|(place, _)| rules.get(&path[..=place]))
    }
}

fn terms_of(contract: &FleetContract) -> CustomerRule {
    CustomerRule {
        customer: CustomerName::new(FLEET_CUSTOMER),
        team: Arc::from(""),
        version: ContractVersion(contract.version),
        rate: f64::INFINITY,
        burst: f64::INFINITY,
        concurrency: u32::MAX,
        retry_budget: contract.retry_budget,
        hedge_budget: HedgeBudget { share: 0.0 },
        leaning: contract.leaning,
        reply_id_header: None,
    }
}

fn rule_of(route: &FleetRoute, terms: &Arc<CustomerRule>) -> FleetRule {
    let parts: Vec<(u32, RouteRule)> = route
        .parts
        .iter()
        .filter(|part| part.weight > 0)
        .map(|part| (part.weight, part_rule(route, part, terms)))
        .collect();
    FleetRule {
        total: parts.iter().map(|(weight, _)| u64::from(*weight)).sum(),
        parts,
        public: route.public,
    }
}

fn part_rule(route: &FleetRoute, part: &RoutePart, terms: &Arc<CustomerRule>) -> RouteRule {
    let objective = ServiceObjective {
        latency: route.objective,
        success: DEFAULT_SUCCESS,
        window: DEFAULT_WINDOW,
    };
    RouteRule {
        terms: Arc::clone(terms),
        service: part.service.clone(),
        service_index: ServiceIndex(0),
        prefix: Arc::clone(&route.prefix),
        methods: MethodSet::default(),
        repeat: route.repeat,
        deadline: route.deadline,
        attempts: Some(route.attempts),
        priority: route.priority,
        max_body: MAX_BODY,
        reply_buffer: REPLY_BUFFER,
        hedge: route.repeat == RepeatClass::Idempotent,
        keys: KeyRule {
            required: false,
            opaque: OpaqueKeys::Refuse,
            memory: std::time::Duration::ZERO,
        },
        objective: Some(objective),
    }
}

/// A sum of a few weights, far below the precision of the type.
#[expect(
    clippy::cast_precision_loss,
    reason = "a few weights of 32 bits each are far below 2^53"
)]
fn to_float(value: u64) -> f64 {
    value as f64
}
