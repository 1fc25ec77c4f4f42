//! Whether servers that were told to be failing meet requests again once they are whole.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{DomainName, NodeId, UpstreamId};
use sycamorelink_policy::{LoadHint, PoolSettings, ServicePool, UpstreamFacts, UpstreamPhase};

/// Any kind of work.
const KIND: u64 = 1;
/// Repeatable requests that come for each server of a service in a second.
const RATE: f64 = 1.5;
/// Within this time most sound servers get a request.
const WINDOW: Duration = Duration::from_secs(2);

fn upstream(number: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(number),
        slot: 0,
    }
}

/// The pool of one of the callers' nodes: half of the servers were told to be failing.
fn pool_of(servers: u64, told: Duration, seed: u64) -> ServicePool {
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
        pool.hint(told, upstream(number), load.with_failing(chance));
    }
    pool
}

/// Least share of the servers that get a request in some two seconds, over ten.
fn least_share(servers: u64, seed: u64) -> f64 {
    let told = Duration::from_secs(30);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pools: Vec<ServicePool> = (0..servers)
        .map(|node| pool_of(servers, told, seed ^ (node << 8)))
        .collect();
    let requests = f64::from(u32::try_from(servers).expect("a few hundred")) * RATE;
    let pause = Duration::from_secs_f64(1.0 / requests);
    let mut now = told;
    let mut least = 1.0_f64;
    for _ in 0..5 {
        let end = now + WINDOW;
        let mut met = BTreeSet::new();
        while now < end {
            let node = random.random_range(0..pools.len());
            let pool = &mut pools[node];
            let picked = pool
                .pick_trial(now, &[], KIND)
                .or_else(|| pool.pick_cheapest(now, &[], KIND));
            met.extend(picked);
            now += pause;
        }
        let share = f64::from(u32::try_from(met.len()).expect("a few hundred"))
            / f64::from(u32::try_from(servers).expect("a few hundred"));
        least = least.min(share);
    }
    least
}

/// Half of a service's servers failed and are whole again; nobody has told so. Each caller's node sends a
/// request in some seconds, and chooses the cheapest: the half that failed gets nothing for ten seconds,
/// and the other half is full. With its even part of what may be repeated, most of them are met within
/// two seconds, at any size of the service.
#[test]
fn servers_that_are_whole_again_are_met_within_two_seconds() {
    for servers in [7, 18, 48, 195] {
        for seed in 1..=5 {
            let least = least_share(servers, seed);
            assert!(least >= 0.7, "{servers} servers, seed {seed}: {least}");
        }
    }
}

/// An upstream in use gets no trial, nor does one in another failure domain by requests whose replies are
/// large: bytes between domains have a price.
#[test]
fn only_upstreams_that_are_avoided_are_tried_and_not_at_any_price() {
    let told = Duration::from_secs(30);
    let mut pool = pool_of(6, told, 3);
    let tried: BTreeSet<u64> = (0..200)
        .filter_map(|_| pool.pick_trial(told, &[], KIND))
        .map(|id| id.node.0)
        .collect();
    assert_eq!(tried, BTreeSet::from([0, 2, 4]));
    pool.prefer(DomainName::new("d2"));
    for _ in 0..30 {
        pool.learn_reply_size(KIND, 90_000);
    }
    assert!((0..200).all(|_| pool.pick_trial(told, &[], KIND).is_none()));
}
