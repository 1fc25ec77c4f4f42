//! Trial requests to upstreams that were reported as failing and have recovered since.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{DomainName, NodeId, UpstreamId};
use sycamorelink_policy::{LoadHint, PoolSettings, ServicePool, UpstreamFacts, UpstreamPhase};

/// Kind of work of all requests; its value doesn't matter.
const KIND: u64 = 1;
/// Repeatable requests per server and second.
const REQUESTS_PER_SECOND: f64 = 1.5;
/// Time in which most recovered servers must get a request.
const WINDOW: Duration = Duration::from_secs(2);

fn upstream(number: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(number),
        slot: 0,
    }
}

/// Creates the pool of a calling node to which half of the servers were reported as failing.
fn pool_of(servers: u64, reported_at: Duration, seed: u64) -> ServicePool {
    let mut pool = ServicePool::new(PoolSettings::default(), seed);
    let facts = UpstreamFacts {
        slots: 10,
        domain: DomainName::new("d1"),
        phase: UpstreamPhase::Ready,
    };
    for number in 0..servers {
        pool.upsert(Duration::ZERO, upstream(number), &facts);
        let chance = if number % 2 == 0 { 0.9 } else { 0.02 };
        let load = LoadHint {
            slots: 10,
            ..LoadHint::default()
        };
        pool.hint(
            reported_at,
            upstream(number),
            load.with_failing_chance(chance),
        );
    }
    pool
}

/// Returns the lowest share of servers that get a request in a window of two seconds, over five
/// windows.
fn lowest_share(servers: u64, seed: u64) -> f64 {
    let reported_at = Duration::from_secs(30);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pools: Vec<ServicePool> = (0..servers)
        .map(|node| pool_of(servers, reported_at, seed ^ (node << 8)))
        .collect();
    let requests = f64::from(u32::try_from(servers).expect("a few hundred")) * REQUESTS_PER_SECOND;
    let interval = Duration::from_secs_f64(1.0 / requests);
    let mut now = reported_at;
    let mut lowest = 1.0_f64;
    for _ in 0..5 {
        let end = now + WINDOW;
        let mut reached = BTreeSet::new();
        while now < end {
            let node = random.random_range(0..pools.len());
            let pool = &mut pools[node];
            let picked = pool
                .pick_trial(now, &[], KIND)
                .or_else(|| pool.pick_cheapest(now, &[], KIND));
            reached.extend(picked);
            now += interval;
        }
        let share = f64::from(u32::try_from(reached.len()).expect("a few hundred"))
            / f64::from(u32::try_from(servers).expect("a few hundred"));
        lowest = lowest.min(share);
    }
    lowest
}

/// Half of a service's servers failed and have recovered, but no report says so. Each calling node
/// sends one request every few seconds to the cheapest server, so without trials the recovered half
/// gets nothing for ten seconds and the other half is full. Trials must reach most of them within
/// two seconds, at any size of the service.
#[test]
fn recovered_servers_get_a_request_within_two_seconds() {
    for servers in [7, 18, 48, 195] {
        for seed in 1..=5 {
            let lowest = lowest_share(servers, seed);
            assert!(lowest >= 0.7, "{servers} servers, seed {seed}: {lowest}");
        }
    }
}

/// An upstream that selection doesn't avoid gets no trial, nor does one in another failure domain
/// by requests with large replies, because traffic between domains is charged.
#[test]
fn trials_go_only_to_avoided_upstreams_at_low_distance_cost() {
    let reported_at = Duration::from_secs(30);
    let mut pool = pool_of(6, reported_at, 3);
    let tried: BTreeSet<u64> = (0..200)
        .filter_map(|_| pool.pick_trial(reported_at, &[], KIND))
        .map(|id| id.node.0)
        .collect();
    assert_eq!(tried, BTreeSet::from([0, 2, 4]));
    pool.prefer_domain(DomainName::new("d2"));
    for _ in 0..30 {
        pool.learn_reply_size(KIND, 90_000);
    }
    assert!((0..200).all(|_| pool.pick_trial(reported_at, &[], KIND).is_none()));
}
