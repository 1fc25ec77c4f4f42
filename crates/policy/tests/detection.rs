//! Attribution of a fault: to the upstream, the connection, the request, this node or a shared
//! cause.

mod common;

use std::time::Duration;

use common::{PoolBench, USUAL, facts, upstream};
use sycamorelink_core::NodeId;
use sycamorelink_policy::{
    EjectionCause, PoolFinding, PoolSettings, SampleKind, UpstreamPhase, UpstreamSample,
};

/// Returns the share of picks that select an upstream.
fn share(bench: &mut PoolBench, number: u64) -> f64 {
    let picks: u32 = 2_000;
    let hits = (0..picks)
        .filter(|_| bench.pool.pick(bench.now, &[]) == Some(upstream(number)))
        .count();
    f64::from(u32::try_from(hits).unwrap_or(picks)) / f64::from(picks)
}

/// One upstream answers ten times later than its peers and never fails. It is ejected as slow, and
/// its peers stay in service.
#[test]
fn slow_upstream_is_ejected_as_slow() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    for _ in 0..80 {
        bench.reply(3, SampleKind::Served, USUAL * 10);
        bench.run(Duration::from_millis(100), |number| match number {
            3 => SampleKind::Refused,
            _ => SampleKind::Served,
        });
    }
    assert_eq!(bench.ejected(), vec![3]);
    let cause = bench
        .pool
        .standing(upstream(3))
        .and_then(|standing| standing.ejected);
    assert_eq!(cause, Some(EjectionCause::Slow));
}

/// One upstream truncates a third of its replies. It must be shifted before it is ejected.
#[test]
fn upstream_is_shifted_before_it_is_ejected() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    while bench.ejected().is_empty() {
        bench.reply(2, SampleKind::Wrong, USUAL);
        bench.run(Duration::from_millis(100), |_| SampleKind::Served);
    }
    let position = |is_match: fn(&PoolFinding) -> bool| bench.findings.iter().position(is_match);
    let shifted = position(|finding| matches!(finding, PoolFinding::Shifted { .. }));
    let ejected = position(|finding| matches!(finding, PoolFinding::Ejected { .. }));
    assert!(shifted < ejected, "{:?}", bench.findings);
}

/// This node is cut off: every upstream is silent to it, while its peers report no fault. It must
/// treat itself as the suspect, report nothing and eject no upstream.
#[test]
fn isolated_node_suspects_itself() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    bench.pool.merge(bench.now, NodeId(99), &[]);
    for _ in 0..100 {
        bench.now += Duration::from_millis(100);
        for number in 0..8 {
            let sample = UpstreamSample::new(SampleKind::Silent, USUAL * 5);
            bench.pool.observe(bench.now, upstream(number), &sample);
        }
        bench.pool.tick(bench.now, &mut bench.findings);
        let report = bench.pool.report(bench.now);
        assert!(report.is_empty(), "{report:?}");
    }
    assert_eq!(bench.ejected(), Vec::<u64>::new());
    let is_observer_suspect =
        |finding: &PoolFinding| matches!(finding, PoolFinding::ObserverSuspect { .. });
    assert!(bench.findings.iter().any(is_observer_suspect));
}

/// A connection goes silent while the upstream is healthy, and two requests on it never end. The
/// pool must request a probe. Once a new connection answers, nothing counts against the upstream,
/// even when the old requests time out later.
#[test]
fn silent_connection_does_not_count_against_the_upstream() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    let sent_at = bench.now;
    bench.pool.sent(sent_at, upstream(1));
    bench.pool.sent(sent_at, upstream(1));
    bench.run(Duration::from_secs(1), |number| match number {
        1 => SampleKind::Refused,
        _ => SampleKind::Served,
    });
    let is_probe_request = |finding: &PoolFinding| {
        matches!(
            finding,
            PoolFinding::ConnectionSuspect { id, .. } if *id == upstream(1)
        )
    };
    assert!(bench.findings.iter().any(is_probe_request));
    bench.pool.connection_replaced(bench.now, upstream(1));
    let late = UpstreamSample::new(SampleKind::Silent, bench.now.saturating_sub(sent_at));
    bench.pool.observe(bench.now, upstream(1), &late);
    bench.pool.observe(bench.now, upstream(1), &late);
    let suspicion = bench
        .pool
        .standing(upstream(1))
        .map(|standing| standing.suspicion);
    assert_eq!(suspicion, Some(0.0));
}

/// A backend server hangs, but every new connection to its node works. If each new connection
/// cancelled the evidence, the hang would never be detected; it is cancelled only once.
#[test]
fn hung_upstream_is_detected_despite_new_connections() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    for _ in 0..10 {
        bench.now += Duration::from_millis(500);
        let silent = UpstreamSample::new(SampleKind::Silent, USUAL * 3);
        bench.pool.observe(bench.now, upstream(1), &silent);
        bench.pool.connection_replaced(bench.now, upstream(1));
        bench.pool.tick(bench.now, &mut bench.findings);
    }
    assert!(bench.weight(1) < 0.1);
}

/// One request crashes each backend server that runs it, and four other requests are lost with
/// each. From its third attempt on it is known as the cause. No upstream may lose weight for it or
/// for the lost requests.
#[test]
fn crash_request_does_not_reduce_any_weight() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    for round in 0..8 {
        let number = round.min(2);
        let mut crash = UpstreamSample::new(SampleKind::Crashed, USUAL);
        crash.excused = round >= 2;
        bench.pool.observe(bench.now, upstream(number), &crash);
        if round < 2 {
            for _ in 0..4 {
                bench.reply(number, SampleKind::ConnectionLost, USUAL);
            }
            bench.run(Duration::from_secs(2), |_| SampleKind::Served);
        }
        bench.now += Duration::from_millis(1_100);
        bench.pool.tick(bench.now, &mut bench.findings);
    }
    let takes_weight = |finding: &PoolFinding| {
        matches!(
            finding,
            PoolFinding::Shifted { .. } | PoolFinding::Ejected { .. }
        )
    };
    assert!(
        !bench.findings.iter().any(takes_weight),
        "{:?}",
        bench.findings
    );
}

/// A leaving upstream must not get any request, even when it is the only one that isn't excluded.
#[test]
fn leaving_upstream_is_never_picked() {
    let mut bench = PoolBench::warmed(2, PoolSettings::default());
    let leaving = facts(0, UpstreamPhase::Leaving);
    bench.pool.upsert(bench.now, upstream(0), &leaving);
    assert!(share(&mut bench, 0) < 1e-9);
    assert_eq!(bench.pool.pick(bench.now, &[upstream(1)]), None);
}

/// A restarted upstream has no history and starts with little load, because a cold one fails under
/// full load.
#[test]
fn restarted_upstream_starts_with_low_weight() {
    let mut bench = PoolBench::warmed(4, PoolSettings::default());
    for phase in [UpstreamPhase::Starting, UpstreamPhase::Ready] {
        bench.pool.upsert(bench.now, upstream(0), &facts(0, phase));
    }
    bench.pool.tick(bench.now, &mut bench.findings);
    let early = share(&mut bench, 0);
    bench.run(Duration::from_secs(12), |_| SampleKind::Served);
    let late = share(&mut bench, 0);
    assert!(early < 0.05 && late > 0.15, "{early} then {late}");
}

/// An upstream fails after each readmission. Each ejection must last longer than the one before.
#[test]
fn flapping_lengthens_ejections() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    bench.run(Duration::from_mins(4), |number| match number {
        0 => SampleKind::Failed,
        _ => SampleKind::Served,
    });
    let mut ends = Vec::new();
    for finding in &bench.findings {
        if let PoolFinding::Ejected { until, .. } = finding {
            ends.push(*until);
        }
    }
    let gaps: Vec<Duration> = ends
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .collect();
    assert!(gaps.len() >= 3, "{ends:?}");
    assert!(gaps.is_sorted(), "{gaps:?}");
}

/// A recovered upstream first gets few requests, then its full share.
#[test]
fn recovered_upstream_is_readmitted_gradually() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    bench.run(Duration::from_secs(5), |number| match number {
        0 => SampleKind::Failed,
        _ => SampleKind::Served,
    });
    assert_eq!(bench.ejected(), vec![0]);
    while bench.ejected() == [0] {
        bench.run(Duration::from_millis(100), |_| SampleKind::Served);
    }
    assert!(bench.weight(0) < 0.1);
    bench.run(Duration::from_secs(12), |_| SampleKind::Served);
    assert!(bench.weight(0) > 0.99);
    let is_readmission = |finding: &PoolFinding| matches!(finding, PoolFinding::Readmitted { .. });
    assert!(bench.findings.iter().any(is_readmission));
}
