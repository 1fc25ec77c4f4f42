//! Test fixture: a pool of upstreams with a virtual clock and scripted replies.

use std::time::Duration;

use sycamorelink_core::{DomainName, NodeId, UpstreamId};
use sycamorelink_policy::{
    PoolFinding, PoolSettings, SampleKind, ServicePool, UpstreamFacts, UpstreamPhase,
    UpstreamSample,
};

/// Usual latency of the fixture's service.
pub const USUAL: Duration = Duration::from_millis(100);

/// Latencies of successive healthy replies, in percent of the usual latency.
const LATENCY_PERCENTAGES: [u32; 7] = [60, 80, 90, 100, 115, 135, 180];

/// Pool of one node, with its virtual clock and the findings so far.
pub struct PoolBench {
    pub pool: ServicePool,
    pub now: Duration,
    pub findings: Vec<PoolFinding>,
    pub count: u64,
    reply_count: usize,
}

/// Returns the id of an upstream. Its number is also the id of its node.
pub fn upstream(number: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(number),
        slot: 0,
    }
}

/// Returns facts that spread the upstreams over three failure domains.
pub fn facts(number: u64, phase: UpstreamPhase) -> UpstreamFacts {
    UpstreamFacts {
        slots: 5,
        domain: DomainName::new(&format!("domain-{}", number % 3)),
        phase,
    }
}

impl PoolBench {
    /// Creates a pool of `count` ready upstreams that have served healthy requests for 20 s.
    pub fn warmed(count: u64, settings: PoolSettings) -> Self {
        let mut pool = ServicePool::new(settings, 7);
        for number in 0..count {
            let facts = facts(number, UpstreamPhase::Ready);
            pool.upsert(Duration::ZERO, upstream(number), &facts);
        }
        let mut bench = Self {
            pool,
            now: Duration::ZERO,
            findings: Vec::new(),
            count,
            reply_count: 0,
        };
        bench.run(Duration::from_secs(20), |_| SampleKind::Served);
        bench.findings.clear();
        bench
    }

    /// Records one reply of an upstream at the present time, both as a caller and as the upstream's
    /// own node.
    pub fn reply(&mut self, number: u64, kind: SampleKind, latency: Duration) {
        let id = upstream(number);
        let started_at = self.now.saturating_sub(latency);
        let sample = UpstreamSample::new(kind, latency).service_time(latency);
        self.pool.sent(started_at, id);
        self.pool.observe(self.now, id, &sample);
        self.pool.started_locally(started_at, id);
        self.pool.ended_locally(self.now, id, &sample);
    }

    /// Advances the clock by `time` in steps of 100 ms. In each step every upstream that isn't
    /// ejected gives two replies of the kind that `kind_of` returns, and the pool ticks.
    pub fn run<F>(&mut self, time: Duration, kind_of: F)
    where
        F: Fn(u64) -> SampleKind,
    {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for number in 0..self.count {
                for _ in 0..2 {
                    self.give_reply(number, kind_of(number));
                }
            }
            self.pool.tick(self.now, &mut self.findings);
        }
    }

    fn give_reply(&mut self, number: u64, kind: SampleKind) {
        let standing = self.pool.standing(upstream(number));
        if standing.is_none_or(|standing| standing.ejected.is_some()) {
            return;
        }
        self.reply_count += 1;
        let latency =
            USUAL * LATENCY_PERCENTAGES[self.reply_count % LATENCY_PERCENTAGES.len()] / 100;
        self.reply(number, kind, latency);
    }

    /// Returns the numbers of the ejected upstreams.
    pub fn ejected(&self) -> Vec<u64> {
        self.pool
            .standings()
            .iter()
            .filter(|standing| standing.ejected.is_some())
            .map(|standing| standing.id.node.0)
            .collect()
    }

    /// Returns the weight of an upstream, or 0 if it is unknown.
    pub fn weight(&self, number: u64) -> f64 {
        self.pool
            .standing(upstream(number))
            .map_or(0.0, |standing| standing.weight)
    }
}
