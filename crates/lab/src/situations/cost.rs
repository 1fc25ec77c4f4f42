//! Time spent in the pool's decisions, measured on the current machine.

use std::time::{Duration, Instant};

use serde::Serialize;
use sycamorelink_policy::{
    LoadHint, PoolSettings, SampleKind, ServicePool, UpstreamFacts, UpstreamPhase, UpstreamSample,
};

use super::simulation::upstream_id;

/// Requests in one batch. The median batch is reported because other load on the machine distorts
/// some batches.
const BATCH: u64 = 1_000;

/// [`BATCH`] as a floating-point number.
const BATCH_SIZE: f64 = 1_000.0;

/// Number of batches.
const BATCHES: u64 = 401;

/// Time spent in a pool's decisions.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CostFigures {
    /// Number of upstreams in the pool.
    pub upstreams: usize,
    /// Nanoseconds for one `pick`, `sent` and `observe` call together.
    pub request_ns: f64,
    /// Microseconds for one `tick` call.
    pub tick_us: f64,
}

/// Measures a pool with this many upstreams. The result depends on the machine, so it is not
/// suitable for snapshot tests.
#[must_use]
pub fn measure_cost(upstreams: usize) -> CostFigures {
    let mut pool = ServicePool::new(PoolSettings::default(), 7);
    let facts = UpstreamFacts {
        slots: 5,
        domain: "domain-0".into(),
        phase: UpstreamPhase::Ready,
    };
    for index in 0..upstreams {
        pool.upsert(Duration::ZERO, upstream_id(index), &facts);
    }
    let load = LoadHint {
        in_use: 3,
        slots: 5,
        queued: 0,
        failing: 0,
    };
    let mut now = Duration::from_secs(1);
    let mut batches = Vec::new();
    for batch in 0..BATCHES {
        let started = Instant::now();
        for round in 0..BATCH {
            let step = (batch * BATCH + round) * 7_919 % 200_000;
            let latency = Duration::from_micros(150_000 + step);
            let sample = UpstreamSample::new(SampleKind::Served, latency)
                .service_time(latency.saturating_sub(Duration::from_millis(3)))
                .load(load);
            now += Duration::from_micros(20);
            if let Some(id) = pool.pick(now, &[]) {
                pool.sent(now.saturating_sub(latency), id);
                pool.observe(now, id, &sample);
            }
        }
        batches.push(started.elapsed());
    }
    batches.sort_unstable();
    let request_nanos = batches[batches.len() / 2].as_secs_f64() / BATCH_SIZE * 1e9;
    let mut findings = Vec::new();
    let started = Instant::now();
    for step in 0..20 {
        pool.tick(now + Duration::from_millis(100 * step), &mut findings);
    }
    CostFigures {
        upstreams,
        request_ns: request_nanos,
        tick_us: started.elapsed().as_secs_f64() / 20.0 * 1e6,
    }
}
