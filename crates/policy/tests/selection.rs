//! Which upstream a caller's node chooses by expected cost.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{DomainName, NodeId, UpstreamId};
use sycamorelink_policy::{LoadHint, PoolSettings, ServicePool, UpstreamFacts, UpstreamPhase};

/// Any kind of work.
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

/// Two of six servers have just answered and are known to be sound; of the others nobody has heard. All
/// get their share: a server that joined, or that was quiet for a while, must not stand idle.
#[test]
fn an_upstream_without_news_gets_its_share() {
    let mut pool = pool_of(6);
    let now = Duration::from_secs(30);
    for number in 0..2 {
        let sound = LoadHint {
            slots: 4,
            ..LoadHint::default()
        };
        pool.hint(now, upstream(number), sound.with_failing(0.005));
    }
    let picks = picks(&mut pool, now);
    assert!((0..6).all(|number| picks[&number] > 50), "{picks:?}");
}

/// One of six servers turned suspect and said so: the others are chosen, until the news is old.
#[test]
fn a_suspect_upstream_is_left_alone_until_the_news_is_old() {
    let mut pool = pool_of(6);
    let told = Duration::from_secs(30);
    let suspect = LoadHint::default().with_failing(0.9);
    pool.hint(told, upstream(3), suspect);
    assert!(!picks(&mut pool, told).contains_key(&3));
    let later = told + Duration::from_mins(1);
    assert!(picks(&mut pool, later).contains_key(&3));
}
