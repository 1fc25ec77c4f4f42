//! Even distribution of work by hundreds of calling nodes that select upstreams independently.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{DomainName, NodeId, UpstreamId, stable_hash};
use sycamorelink_policy::{PoolSettings, ServicePool, UpstreamFacts, UpstreamPhase};

/// Number of failure domains.
const DOMAINS: u64 = 6;
/// Requests that each calling node sends.
const REQUESTS: u32 = 40;
/// Upper bound of the busiest upstream's requests, as a multiple of the mean.
const MAX_BUSIEST_OVER_MEAN: f64 = 2.0;

fn domain(number: u64) -> DomainName {
    DomainName::new(&format!("d{}", number % DOMAINS))
}

/// Creates the pool of a node in one failure domain. Upstreams are added in the order of their ids,
/// which are hashes of names and independent of the domain.
fn pool_in(near: u64, upstreams: u64) -> ServicePool {
    let mut pool = ServicePool::new(PoolSettings::default(), near);
    pool.prefer_domain(domain(near));
    let number_by_id: BTreeMap<u64, u64> = (0..upstreams)
        .map(|number| (stable_hash(&[&number.to_be_bytes()]), number))
        .collect();
    for (id, number) in number_by_id {
        let facts = UpstreamFacts {
            slots: 8,
            domain: domain(number),
            phase: UpstreamPhase::Ready,
        };
        let id = UpstreamId {
            node: NodeId(id),
            slot: 0,
        };
        pool.upsert(Duration::ZERO, id, &facts);
    }
    pool
}

fn busiest_over_mean(nodes: u64, upstreams: u64) -> f64 {
    let now = Duration::from_secs(30);
    let mut runs: BTreeMap<UpstreamId, u32> = BTreeMap::new();
    for near in 0..DOMAINS {
        let mut pool = pool_in(near, upstreams);
        for _ in 0..nodes / DOMAINS * u64::from(REQUESTS) {
            let picked = pool.pick_cheapest(now, &[], 1).expect("an upstream");
            *runs.entry(picked).or_default() += 1;
        }
    }
    let max = runs.values().copied().max().unwrap_or_default();
    let sum: u32 = runs.values().sum();
    f64::from(max) * f64::from(u32::try_from(upstreams).unwrap_or(u32::MAX)) / f64::from(sum)
}

// Guards against a few overloaded upstreams beside hundreds of idle ones. All nodes list the
// upstreams in the same order; when each compared a contiguous range, an upstream that follows a
// series of upstreams in other domains was selected too often.
#[test]
fn no_upstream_gets_twice_its_share_at_any_fleet_size() {
    for (nodes, upstreams) in [(96, 60), (300, 252), (983, 816), (983, 167)] {
        let busiest = busiest_over_mean(nodes, upstreams);
        assert!(
            busiest < MAX_BUSIEST_OVER_MEAN,
            "{nodes} nodes, {upstreams} upstreams: {busiest:.2}"
        );
    }
}
