//! Rate limiters that enforce one contract across many daemons.

use std::time::Duration;

use serde::Serialize;

use super::lease_limiter::{LeaseLimiter, RosterRule};

/// Largest burst of the bucket limiters, as time at the contracted rate.
const BURST: Duration = Duration::from_secs(1);
/// One token, in the unit of a bucket's level (thousandths of a request per second times
/// microseconds).
const TOKEN: u128 = 1_000_000_000;

/// Algorithm that enforces one contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimiterKind {
    /// Leases with keepers selected from an agreed roster.
    Leases,
    /// Leases with keepers selected from the members that each node sees alive.
    LivingRoster,
    /// A fixed, equal part of the rate for every daemon.
    StaticSplit,
    /// One shared bucket that every daemon reaches without latency, whatever the fault.
    Central,
}

impl LimiterKind {
    /// All kinds, in the order of the table.
    pub const ALL: [Self; 4] = [
        Self::Leases,
        Self::LivingRoster,
        Self::StaticSplit,
        Self::Central,
    ];

    /// Returns the name printed in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Leases => "leases",
            Self::LivingRoster => "living-roster",
            Self::StaticSplit => "static-split",
            Self::Central => "central",
        }
    }
}

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterDecision {
    /// The request is admitted.
    Admitted,
    /// The request waits and is offered again after the next step, until this time.
    Wait(Duration),
    /// The request is refused.
    Refused,
}

/// Messages exchanged by a limiter since the start.
#[derive(Clone, Debug, Default)]
pub struct MessageCount {
    /// Number of messages sent.
    pub messages: u64,
    /// Bytes received by each daemon.
    pub received_bytes: Vec<u64>,
}

/// Limiter that enforces one contract across many daemons.
pub trait ShareLimiter {
    /// Offers one request at a daemon. `is_retry` marks a request that has waited before.
    fn admit(&mut self, now: Duration, node: usize, is_retry: bool) -> LimiterDecision;
    /// Records the end of one admitted request.
    fn finished(&mut self, now: Duration, node: usize);
    /// Advances the limiter to `now`.
    fn step(&mut self, now: Duration);
    /// Returns the total rate in force, in thousandths of a request per second.
    fn rate_in_force(&self, now: Duration) -> u64;
    /// Partitions the daemons into two sides that cannot reach each other, or heals the partition
    /// when `sides` is `None`.
    fn set_partition(&mut self, now: Duration, sides: Option<Vec<bool>>);
    /// Pauses or resumes a daemon.
    fn set_paused(&mut self, now: Duration, node: usize, paused: bool);
    /// Returns the daemon that keeps the largest part of the contract.
    fn largest_keeper(&self) -> usize;
    /// Returns the messages exchanged so far.
    fn message_count(&self) -> MessageCount;
}

/// Builds a limiter for a contract with this rate, in thousandths of a request per second, and this
/// concurrency.
pub fn build(
    kind: LimiterKind,
    count: usize,
    rate_millis: u32,
    concurrency: u32,
) -> Box<dyn ShareLimiter> {
    match kind {
        LimiterKind::Leases => Box::new(LeaseLimiter::new(
            RosterRule::Agreed,
            count,
            rate_millis,
            concurrency,
        )),
        LimiterKind::LivingRoster => Box::new(LeaseLimiter::new(
            RosterRule::LocalView,
            count,
            rate_millis,
            concurrency,
        )),
        LimiterKind::StaticSplit => Box::new(BucketLimiter::new(count, rate_millis)),
        LimiterKind::Central => Box::new(BucketLimiter::new(1, rate_millis)),
    }
}

/// One token bucket.
#[derive(Clone, Debug)]
struct SimpleBucket {
    level: u128,
    filled_at: Duration,
}

/// A fixed number of token buckets.
struct BucketLimiter {
    /// Rate of each bucket in thousandths of a request per second.
    rate: u128,
    total_rate: u64,
    buckets: Vec<SimpleBucket>,
}

impl BucketLimiter {
    fn new(count: usize, rate_millis: u32) -> Self {
        let bucket = SimpleBucket {
            level: 0,
            filled_at: Duration::ZERO,
        };
        Self {
            rate: u128::from(rate_millis) / count as u128,
            total_rate: u64::from(rate_millis),
            buckets: vec![bucket; count],
        }
    }
}

impl ShareLimiter for BucketLimiter {
    fn admit(&mut self, now: Duration, node: usize, _is_retry: bool) -> LimiterDecision {
        let index = node.min(self.buckets.len() - 1);
        let bucket = &mut self.buckets[index];
        let elapsed = now.saturating_sub(bucket.filled_at).as_micros();
        let cap = (self.rate * BURST.as_micros()).max(TOKEN);
        bucket.level = (bucket.level + self.rate * elapsed).min(cap);
        bucket.filled_at = now;
        if bucket.level < TOKEN {
            return LimiterDecision::Refused;
        }
        bucket.level -= TOKEN;
        LimiterDecision::Admitted
    }

    fn finished(&mut self, _now: Duration, _node: usize) {}

    fn step(&mut self, _now: Duration) {}

    fn rate_in_force(&self, _now: Duration) -> u64 {
        self.total_rate
    }

    fn set_partition(&mut self, _now: Duration, _sides: Option<Vec<bool>>) {}

    fn set_paused(&mut self, _now: Duration, _node: usize, _paused: bool) {}

    fn largest_keeper(&self) -> usize {
        0
    }

    fn message_count(&self) -> MessageCount {
        MessageCount::default()
    }
}
