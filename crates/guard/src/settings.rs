//! Settings of the guard on one node.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::{DomainName, InstanceId};

/// Identity of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardIdentity {
    /// This run of the node's process.
    pub instance: InstanceId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Wall-clock time since the Unix epoch at zero of the node's monotonic time.
    pub wall_at_start: Duration,
}

/// Limits and timers. Start from `GuardSettings::default()` and change fields.
///
/// Every node of a fleet must have the same `ranges`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GuardSettings {
    /// Number of key ranges.
    pub ranges: u16,
    /// Number of seats per range; fewer if the fleet has fewer nodes.
    pub seats: usize,
    /// Wait before an unanswered message is sent again, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "resend_ms")]
    pub resend_after: Duration,
    /// Time a seat may be suspected before the other seats replace it, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "strike_ms")]
    pub strike_after: Duration,
    /// Interval between exchanges of range maps with a peer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_ms")]
    pub exchange_every: Duration,
    /// Time a seat keeps a key, in milliseconds. Older keys are never run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep_for: Duration,
    /// Maximum lead of a key's time over the node's clock, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ahead_ms")]
    pub ahead_limit: Duration,
    /// Maximum difference of two nodes' clocks, in milliseconds. Used when a range is founded
    /// again after a loss, and to refuse tickets that expired while the executor was paused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "skew_ms")]
    pub clock_skew: Duration,
    /// Interval at which the founding records are written to the log again, in milliseconds. Must
    /// be well below the retention of the log.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "refresh_ms")]
    pub refresh_every: Duration,
    /// Maximum number of keys that a node stores as a seat, over all its ranges.
    pub max_keys: usize,
    /// Maximum size of a stored reply, in bytes. Larger replies are not stored.
    pub reply_limit: usize,
    /// Maximum size of all replies that a node stores, in bytes, over all its ranges.
    pub reply_budget: usize,
    /// Maximum number of attempts in the ledger of an executor.
    pub max_attempts: usize,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            ranges: 64,
            seats: 3,
            resend_after: Duration::from_millis(50),
            strike_after: Duration::from_secs(1),
            exchange_every: Duration::from_secs(1),
            keep_for: Duration::from_hours(24),
            ahead_limit: Duration::from_secs(30),
            clock_skew: Duration::from_secs(10),
            refresh_every: Duration::from_hours(6),
            max_keys: 60_000,
            reply_limit: 16 * 1024,
            reply_budget: 8 * 1024 * 1024,
            max_attempts: 20_000,
        }
    }
}
