//! Parts of a customer contract and their defaults.

mod defaults;
mod route;

use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, ServiceName};

use crate::digest::ContentDigest;
use defaults::{
    default_deadline, default_floor, default_floor_count, default_success, default_window,
    is_default_deadline, is_default_floor, is_default_floor_count, is_default_success,
    is_default_window,
};

pub use defaults::{
    DEFAULT_DEADLINE, DEFAULT_FLOOR, DEFAULT_FLOOR_COUNT, DEFAULT_HEDGE_SHARE, DEFAULT_KEY_MEMORY,
    DEFAULT_MAX_BODY, DEFAULT_MAX_DEADLINE, DEFAULT_PRIORITY, DEFAULT_REPLY_BUFFER,
    DEFAULT_RETRY_MIN, DEFAULT_RETRY_SHARE, DEFAULT_SUCCESS, DEFAULT_WINDOW, MAX_PRIORITY,
};
pub use route::{KeyTerms, OpaqueKeys, RepeatClass, RouteMethod, RouteTerms};

/// A client account of the customer, known by the hash of its token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account, unique in the contract.
    pub id: Arc<str>,
    /// SHA-256 of the token, 64 hexadecimal digits. The token itself is never stored.
    #[schemars(with = "String", extend("format" = "sha256"))]
    pub sha256: ContentDigest,
    /// What the account is for, shown in reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Arc<str>>,
}

/// Rate limit of the customer's requests in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Size of a burst after an idle period, in requests. Defaults to one second's worth.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
}

impl RateLimit {
    /// Returns the size of a burst after an idle period, in requests, at least one.
    #[must_use]
    pub fn burst(&self) -> f64 {
        self.burst
            .map_or_else(|| self.per_second.ceil().max(1.0), f64::from)
    }
}

/// How many requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RetryBudget {
    /// Share of the requests, 0 to 0.5.
    pub share: f64,
    /// Retries per second that are allowed regardless of the share.
    pub min_per_second: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            share: DEFAULT_RETRY_SHARE,
            min_per_second: DEFAULT_RETRY_MIN,
        }
    }
}

/// How many requests may be sent to a second upstream while the first still works on them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeBudget {
    /// Share of the requests, 0 to 0.5.
    pub share: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self {
            share: DEFAULT_HEDGE_SHARE,
        }
    }
}

/// Preference between missed and false ejections of upstreams.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum DetectionLeaning {
    /// Ejecting a healthy upstream costs more than keeping a failing one for some seconds.
    FewFalseEjections,
    /// Both errors cost the same.
    #[default]
    Balanced,
    /// Keeping a failing upstream for some seconds costs more than ejecting a healthy one.
    FastDetection,
}

/// Service-level objective of the customer for a service.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// A reply later than this counts as bad.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub latency: Duration,
    /// Share of requests that must be good.
    #[serde(
        default = "default_success",
        skip_serializing_if = "is_default_success"
    )]
    pub success: f64,
    /// Time over which the share is evaluated.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    #[serde(default = "default_window", skip_serializing_if = "is_default_window")]
    pub window: Duration,
}

/// A service that the customer uses, with the floor it needs. The name is fleet-wide: several
/// customers may use one service, and then the strictest floor applies.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceTerms {
    /// Name of the service in the fleet.
    pub name: ServiceName,
    /// Share of the announced upstreams that ejection must leave, 0 to 1.
    #[serde(default = "default_floor", skip_serializing_if = "is_default_floor")]
    pub floor: f64,
    /// Number of upstreams that ejection must leave, if that many are announced.
    #[serde(
        default = "default_floor_count",
        skip_serializing_if = "is_default_floor_count"
    )]
    pub floor_count: u32,
    /// Deadline of the service's routes that set none.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    #[serde(
        default = "default_deadline",
        skip_serializing_if = "is_default_deadline"
    )]
    pub deadline: Duration,
    /// Longest deadline a route may ask for. Defaults to the greater of `"30s"` and `deadline`.
    #[serde_as(as = "Option<DurationText>")]
    #[schemars(with = "Option<DurationText>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_deadline: Option<Duration>,
    /// Concurrent requests per upstream, for upstreams that do not announce a number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Service-level objective of the customer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<ServiceObjective>,
}

impl ServiceTerms {
    /// Returns the longest deadline that a route may ask for.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.max_deadline
            .unwrap_or_else(|| DEFAULT_MAX_DEADLINE.max(self.deadline))
    }
}
