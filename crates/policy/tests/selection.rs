//! Selection of an upstream by expected cost.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{DomainName, NodeId, UpstreamId};
use sycamorelink_policy::{LoadHint, PoolSettings, ServicePool, UpstreamFacts, UpstreamPhase};

/// Kind of work of all requests; its value doesn't matter.
const KIND: u64 = 1;

fn upstream(number: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(number),
        slot: 0,
    }
}

fn pool_of(count: u64) -> ServicePool {
    let mut pool = ServicePool::new(PoolSettings::default(), 7);
    let facts = UpstreamFacts {
        slots: 4,
        domain: DomainName::new("d1"),
        phase: UpstreamPhase::Ready,
    };
    for number in 0..count {
        pool.upsert(Duration::ZERO, upstream(number), &facts);
    }
    pool
}

fn picks(pool: &mut ServicePool, now: Duration) -> BTreeMap<u64, u32> {
    let mut picks = BTreeMap::new();
    for _ in 0..600 {
        let picked = pool.pick_cheapest(now, &[], KIND).expect("an upstream");
        *picks.entry(picked.node.0).or_default() += 1;
    }
    picks
}

/// Two of six servers were just reported as healthy, and the others have sent no report. All must
/// get their share: a server that joined, or that was idle for a while, must not stay idle.
#[test]
fn upstream_without_a_report_gets_its_share() {
    let mut pool = pool_of(6);
    let now = Duration::from_secs(30);
    for number in 0..2 {
        let healthy = LoadHint {
            slots: 4,
            ..LoadHint::default()
        };
        pool.hint(now, upstream(number), healthy.with_failing_chance(0.005));
    }
    let picks = picks(&mut pool, now);
    assert!((0..6).all(|number| picks[&number] > 50), "{picks:?}");
}

/// One of six servers was reported as suspect. The others are selected until the report is old.
#[test]
fn suspect_upstream_is_avoided_until_its_report_is_old() {
    let mut pool = pool_of(6);
    let reported_at = Duration::from_secs(30);
    let suspect = LoadHint::default().with_failing_chance(0.9);
    pool.hint(reported_at, upstream(3), suspect);
    assert!(!picks(&mut pool, reported_at).contains_key(&3));
    let later = reported_at + Duration::from_mins(1);
    assert!(picks(&mut pool, later).contains_key(&3));
}
