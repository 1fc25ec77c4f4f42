//! Capacity floor: ejections and weights never take more capacity than the floor allows.

mod common;

use std::time::Duration;

use common::{PoolBench, facts, upstream};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorelink_policy::{PoolFinding, PoolSettings, SampleKind, UpstreamPhase};

const FAULT_TIME: Duration = Duration::from_secs(20);

/// All upstreams fail at once. None is worse than the others, so ejecting any would only reduce
/// capacity.
#[test]
fn no_upstream_is_ejected_when_all_fail_at_once() {
    let mut bench = PoolBench::warmed(6, PoolSettings::default());
    bench.run(FAULT_TIME, |_| SampleKind::Failed);
    assert_eq!(bench.ejected(), Vec::<u64>::new());
    let is_shared_cause =
        |finding: &PoolFinding| matches!(finding, PoolFinding::SharedCause { .. });
    assert!(bench.findings.iter().any(is_shared_cause));
    assert!(bench.pool.pick(bench.now, &[]).is_some());
}

/// Half of six upstreams alternate between failing and healthy each second, and each failure is a
/// reason to eject. At every step half of the slots must stay in service.
#[test]
fn floor_holds_while_half_of_the_upstreams_flap() {
    let mut bench = PoolBench::warmed(6, PoolSettings::default());
    for second in 0..60 {
        let failing = second % 2 == 0;
        for _ in 0..10 {
            bench.run(Duration::from_millis(100), |number| {
                if failing && number < 3 {
                    SampleKind::Failed
                } else {
                    SampleKind::Served
                }
            });
            let status = bench.pool.floor_status();
            assert!(status.kept(), "{status:?}");
            let weight: f64 = (0..6).map(|number| bench.weight(number)).sum();
            assert!(weight > 2.99, "weight left {weight}");
        }
    }
    assert!(!bench.ejected().is_empty());
}

/// Three of six upstreams are faulty, and the floor is two thirds. The two with the highest scores
/// are ejected; the third stays in service, which the pool reports.
#[test]
fn floor_keeps_the_upstreams_with_the_lowest_scores() {
    let mut bench = PoolBench::warmed(6, PoolSettings::default());
    bench.pool.set_floor(0.66, 4);
    bench.run(FAULT_TIME, |number| match number {
        0 | 1 => SampleKind::Failed,
        _ => SampleKind::Served,
    });
    bench.run(Duration::from_secs(4), |number| match number {
        0..=2 => SampleKind::Wrong,
        _ => SampleKind::Served,
    });
    assert_eq!(bench.ejected().len(), 2);
    let held = |finding: &PoolFinding| {
        matches!(
            finding,
            PoolFinding::FloorHeld { id, .. } if *id == upstream(2)
        )
    };
    assert!(bench.findings.iter().any(held));
    assert!(bench.pool.floor_status().kept());
}

/// A contract raises the floor while two upstreams are ejected. Ejections that the new floor
/// doesn't allow must end in the same call, before a request is lost for lack of capacity.
#[test]
fn raised_floor_ends_ejections_at_once() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    bench.run(FAULT_TIME, |number| match number {
        0 | 1 => SampleKind::Failed,
        _ => SampleKind::Served,
    });
    assert_eq!(bench.ejected(), vec![0, 1]);
    bench.pool.set_floor(0.85, 7);
    assert_eq!(bench.ejected().len(), 1);
    bench.pool.set_floor(1.0, 8);
    assert_eq!(bench.ejected(), Vec::<u64>::new());
    bench.run(FAULT_TIME, |number| match number {
        0 | 1 => SampleKind::Failed,
        _ => SampleKind::Served,
    });
    assert_eq!(bench.ejected(), Vec::<u64>::new());
}

/// Upstreams leave while others are ejected. The lost capacity must be replaced by ending
/// ejections.
#[test]
fn leaving_upstreams_are_replaced_by_ejected_ones() {
    let mut bench = PoolBench::warmed(6, PoolSettings::default());
    bench.run(FAULT_TIME, |number| match number {
        0 | 1 => SampleKind::Failed,
        _ => SampleKind::Served,
    });
    assert_eq!(bench.ejected(), vec![0, 1]);
    for number in [4, 5] {
        let leaving = facts(number, UpstreamPhase::Leaving);
        bench.pool.upsert(bench.now, upstream(number), &leaving);
    }
    let status = bench.pool.floor_status();
    assert!(status.kept(), "{status:?}");
}

/// All upstreams of a failure domain fail. A quarter of its slots stay in service, so that its
/// recovery is detected.
#[test]
fn failing_domain_keeps_a_quarter_of_its_slots() {
    let mut bench = PoolBench::warmed(12, PoolSettings::default());
    bench.run(FAULT_TIME, |number| {
        if number % 3 == 0 {
            SampleKind::Failed
        } else {
            SampleKind::Served
        }
    });
    assert_eq!(bench.ejected().len(), 3);
    assert!((0..12).step_by(3).all(|number| bench.weight(number) < 0.1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The floor holds after every tick, for any sequence of replies.
    #[test]
    fn floor_holds_for_any_sequence_of_replies(
        steps in proptest::collection::vec((0_u64..6, 0_u8..5, 1_u64..4_000), 200..600),
        share in 0.3_f64..1.0,
    ) {
        let mut bench = PoolBench::warmed(6, PoolSettings::default());
        bench.pool.set_floor(share, 2);
        for (number, kind, millis) in steps {
            let kind = [
                SampleKind::Served,
                SampleKind::Failed,
                SampleKind::Wrong,
                SampleKind::Silent,
                SampleKind::Crashed,
            ][usize::from(kind)];
            bench.now += Duration::from_millis(50);
            bench.reply(number, kind, Duration::from_millis(millis));
            bench.pool.tick(bench.now, &mut bench.findings);
            prop_assert!(bench.pool.floor_status().kept());
            let weight: f64 = (0..6).map(|number| bench.weight(number)).sum();
            prop_assert!(weight >= 6.0 * share - 0.01, "weight left {}", weight);
        }
    }
}
