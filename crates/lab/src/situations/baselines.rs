//! Published load-balancing and outlier-ejection algorithms used as baselines.
//!
//! None of them exchanges evidence: each daemon uses only its own requests, as published. This
//! module calls the upstreams hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::UpstreamId;
use sycamorelink_policy::{SampleKind, UpstreamFacts, UpstreamPhase, UpstreamSample};

use super::chooser::{ChooserNotice, UpstreamChooser};
use super::services::to_f64;

/// Number of consecutive errors that ejects a host.
const CONSECUTIVE_ERRORS: u32 = 5;

/// Duration of a host's first ejection; the n-th lasts n times as long.
const EJECTION_TIME: Duration = Duration::from_secs(30);

/// Largest share of hosts ejected at the same time; one host may always be ejected.
const MAX_EJECTED_SHARE: f64 = 0.1;

/// Interval of the success-rate test.
const RATE_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum number of requests per interval for a host to be included in the success-rate test.
const RATE_MIN_REQUESTS: u32 = 100;

/// Minimum number of included hosts for the success-rate test to run.
const RATE_MIN_HOSTS: usize = 5;

/// Number of standard deviations below the mean success rate at which a host is ejected.
const RATE_DEVIATIONS: f64 = 1.9;

/// Time constant of the peak EWMA in seconds.
const PEAK_TIME_CONSTANT: f64 = 10.0;

/// Returns whether a reply counts as an error.
const fn is_error(kind: SampleKind) -> bool {
    matches!(
        kind,
        SampleKind::Failed
            | SampleKind::Wrong
            | SampleKind::Silent
            | SampleKind::ConnectionLost
            | SampleKind::Crashed
    )
}

/// Rule that decides when a host is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionRule {
    /// Never.
    Never,
    /// After five consecutive errors.
    Consecutive,
    /// When the success rate is more than 1.9 standard deviations below the mean.
    SuccessRate,
}

#[derive(Clone, Debug)]
struct HostState {
    ready: bool,
    consecutive_errors: u32,
    served: u32,
    failed: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

/// Round-robin balancer with optional outlier ejection.
#[derive(Debug)]
pub struct RoundRobinChooser {
    rule: EjectionRule,
    hosts: BTreeMap<UpstreamId, HostState>,
    order: Vec<UpstreamId>,
    next: usize,
    interval_end: Duration,
    notices: Vec<ChooserNotice>,
}

impl RoundRobinChooser {
    /// Creates a balancer whose first host is derived from the seed.
    #[must_use]
    pub fn new(rule: EjectionRule, seed: u64) -> Self {
        Self {
            rule,
            hosts: BTreeMap::new(),
            order: Vec::new(),
            next: usize::try_from(seed % 97).unwrap_or(0),
            interval_end: RATE_INTERVAL,
            notices: Vec::new(),
        }
    }

    fn eject(&mut self, now: Duration, id: UpstreamId) {
        let ejected = self
            .hosts
            .values()
            .filter(|host| host.ejected_until.is_some())
            .count();
        let max_ejected = (to_f64(self.hosts.len()) * MAX_EJECTED_SHARE).max(1.0);
        if to_f64(ejected) + 1.0 > max_ejected {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&id) {
            host.ejections += 1;
            host.ejected_until = Some(now + EJECTION_TIME * host.ejections);
            host.consecutive_errors = 0;
            self.notices.push(ChooserNotice::Ejected(id));
        }
    }

    fn eject_by_success_rate(&mut self, now: Duration) {
        let rates: Vec<(UpstreamId, f64)> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.served + host.failed >= RATE_MIN_REQUESTS)
            .map(|(id, host)| {
                let all = f64::from(host.served + host.failed);
                (*id, f64::from(host.served) / all)
            })
            .collect();
        for host in self.hosts.values_mut() {
            host.served = 0;
            host.failed = 0;
        }
        if rates.len() < RATE_MIN_HOSTS {
            return;
        }
        let hosts = to_f64(rates.len());
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / hosts;
        let variance = rates
            .iter()
            .map(|(_, rate)| (rate - mean).powi(2))
            .sum::<f64>()
            / hosts;
        let threshold = mean - RATE_DEVIATIONS * variance.sqrt();
        for (id, rate) in rates {
            if rate < threshold {
                self.eject(now, id);
            }
        }
    }
}

impl UpstreamChooser for RoundRobinChooser {
    fn upsert(&mut self, _now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        let ready = facts.phase == UpstreamPhase::Ready;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.ready = ready;
            return;
        }
        self.order.push(id);
        let host = HostState {
            ready,
            consecutive_errors: 0,
            served: 0,
            failed: 0,
            ejections: 0,
            ejected_until: None,
        };
        self.hosts.insert(id, host);
    }

    fn pick(&mut self, _now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        for _ in 0..self.order.len() {
            let id = self.order[self.next % self.order.len()];
            self.next = self.next.wrapping_add(1);
            let host = &self.hosts[&id];
            if host.ready && host.ejected_until.is_none() && !exclude.contains(&id) {
                return Some(id);
            }
        }
        None
    }

    fn sent(&mut self, _now: Duration, _id: UpstreamId) {}

    fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if is_error(sample.kind) {
            host.consecutive_errors += 1;
            host.failed += 1;
        } else if sample.kind == SampleKind::Served {
            host.consecutive_errors = 0;
            host.served += 1;
        }
        let limit_reached =
            host.consecutive_errors >= CONSECUTIVE_ERRORS && host.ejected_until.is_none();
        if limit_reached && self.rule == EjectionRule::Consecutive {
            self.eject(now, id);
        }
    }

    fn tick(&mut self, now: Duration, notices: &mut Vec<ChooserNotice>) {
        for host in self.hosts.values_mut() {
            if host
                .ejected_until
                .is_some_and(|ejected_until| now >= ejected_until)
            {
                host.ejected_until = None;
            }
        }
        if now >= self.interval_end {
            self.interval_end = now + RATE_INTERVAL;
            if self.rule == EjectionRule::SuccessRate {
                self.eject_by_success_rate(now);
            }
        }
        notices.append(&mut self.notices);
    }

    fn weight(&self, id: UpstreamId) -> f64 {
        let host = self.hosts.get(&id);
        f64::from(u8::from(
            host.is_some_and(|host| host.ejected_until.is_none()),
        ))
    }
}

/// Metric that decides between two randomly drawn hosts; the lower value wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Number of requests in flight.
    Outstanding,
    /// Peak-sensitive average latency times requests in flight plus one.
    PeakEwma,
}

#[derive(Clone, Debug)]
struct HostLoad {
    ready: bool,
    outstanding: u32,
    average: f64,
    updated_at: Duration,
}

/// Power-of-two-choices balancer.
#[derive(Debug)]
pub struct TwoChoicesChooser {
    metric: LoadMetric,
    rng: SmallRng,
    hosts: BTreeMap<UpstreamId, HostLoad>,
    order: Vec<UpstreamId>,
}

impl TwoChoicesChooser {
    /// Creates a balancer that compares hosts by this metric.
    #[must_use]
    pub fn new(metric: LoadMetric, seed: u64) -> Self {
        Self {
            metric,
            rng: SmallRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            order: Vec::new(),
        }
    }

    fn draw(&mut self, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        let eligible: Vec<UpstreamId> = self
            .order
            .iter()
            .filter(|id| self.hosts[id].ready && !exclude.contains(id))
            .copied()
            .collect();
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[self.rng.random_range(0..eligible.len())])
    }

    fn load_of(&self, now: Duration, id: UpstreamId) -> f64 {
        let host = &self.hosts[&id];
        let outstanding = f64::from(host.outstanding);
        match self.metric {
            LoadMetric::Outstanding => outstanding,
            LoadMetric::PeakEwma => {
                let age = now.saturating_sub(host.updated_at).as_secs_f64();
                host.average * (-age / PEAK_TIME_CONSTANT).exp() * (outstanding + 1.0)
            }
        }
    }
}

impl UpstreamChooser for TwoChoicesChooser {
    fn upsert(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        let ready = facts.phase == UpstreamPhase::Ready;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.ready = ready;
            return;
        }
        self.order.push(id);
        let host = HostLoad {
            ready,
            outstanding: 0,
            average: 0.0,
            updated_at: now,
        };
        self.hosts.insert(id, host);
    }

    fn pick(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        let first = self.draw(exclude)?;
        let second = self.draw(exclude)?;
        let better = self.load_of(now, second) < self.load_of(now, first);
        Some(if better { second } else { first })
    }

    fn sent(&mut self, _now: Duration, id: UpstreamId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.outstanding += 1;
        }
    }

    fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        host.outstanding = host.outstanding.saturating_sub(1);
        let latency = sample.latency.as_secs_f64();
        let age = now.saturating_sub(host.updated_at).as_secs_f64();
        let decay = (-age / PEAK_TIME_CONSTANT).exp();
        host.average = if latency > host.average {
            latency
        } else {
            host.average * decay + latency * (1.0 - decay)
        };
        host.updated_at = now;
    }
}
