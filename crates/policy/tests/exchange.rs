//! Exchange of evidence between nodes.

mod common;

use std::time::Duration;

use common::{PoolBench, USUAL, facts, upstream};
use sycamorelink_core::NodeId;
use sycamorelink_policy::{
    EvidenceRole, EvidenceScores, PoolSettings, SampleKind, ServicePool, UpstreamEvidence,
    UpstreamPhase, UpstreamSample,
};

const FAULTY: EvidenceScores = EvidenceScores {
    failing: 3_000,
    wrong: 0,
    silent: 0,
    slow: 0,
    tail: 0,
};

fn evidence(number: u64, role: EvidenceRole) -> UpstreamEvidence {
    UpstreamEvidence {
        id: upstream(number),
        role,
        strikes: 0,
        samples: 20,
        scores: FAULTY,
    }
}

/// The upstream's own node reports that it fails. A caller without any attempt there takes its
/// weight at once; repeated reports don't add up.
#[test]
fn report_of_the_upstreams_own_node_takes_its_weight() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    for _ in 0..3 {
        let report = [evidence(3, EvidenceRole::Beside)];
        bench.pool.merge(bench.now, NodeId(3), &report);
    }
    assert!(bench.weight(3) < 0.1);
    let suspicion = bench
        .pool
        .standing(upstream(3))
        .map(|standing| standing.suspicion);
    assert_eq!(suspicion, Some(30.0));
    bench.pool.tick(bench.now, &mut bench.findings);
    assert_eq!(bench.ejected(), Vec::<u64>::new(), "before it is confirmed");
}

/// A faulty or malicious node reports other nodes' upstreams, both as their own node and as a
/// caller. One such node must not move weight or eject.
#[test]
fn one_peer_alone_ejects_no_upstream() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    for _ in 0..50 {
        let claims: Vec<_> = (0..2)
            .flat_map(|number| {
                [
                    evidence(number, EvidenceRole::Beside),
                    evidence(number, EvidenceRole::Caller),
                ]
            })
            .collect();
        bench.pool.merge(bench.now, NodeId(50), &claims);
        bench.run(Duration::from_millis(100), |_| SampleKind::Served);
    }
    assert_eq!(bench.ejected(), Vec::<u64>::new());
    assert!((0..8).all(|number| bench.weight(number) > 0.99));
}

/// Four callers report an upstream whose own node sees no fault: the network path to it is broken.
/// Together they take its weight.
#[test]
fn several_callers_together_shift_an_upstream() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    for peer in 50..54 {
        let report = [evidence(3, EvidenceRole::Caller)];
        bench.pool.merge(bench.now, NodeId(peer), &report);
    }
    assert!(bench.weight(3) < 0.1);
}

/// A calling node is replaced while an upstream flaps. The upstream's own node reports the earlier
/// ejections, so the new node doesn't start again with the shortest one.
#[test]
fn new_node_adopts_earlier_ejections() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    let mut report = evidence(3, EvidenceRole::Beside);
    report.strikes = 3;
    for _ in 0..30 {
        bench.now += Duration::from_millis(100);
        report.scores.failing += 60;
        bench.pool.merge(bench.now, NodeId(3), &[report]);
        bench.pool.tick(bench.now, &mut bench.findings);
    }
    let until = bench
        .pool
        .standing(upstream(3))
        .and_then(|standing| standing.until);
    let left = until.map(|until| until.saturating_sub(bench.now));
    assert!(left > Some(Duration::from_mins(1)), "{left:?}");
}

/// A score rises in steps that are each too small to report. The sum must still be reported, and so
/// must the fall.
#[test]
fn small_changes_add_up_to_a_report() {
    let mut bench = PoolBench::warmed(8, PoolSettings::default());
    let mut reported = Vec::new();
    for round in 0..120 {
        bench.now += Duration::from_millis(100);
        let kind = if round < 40 && round % 4 == 0 {
            SampleKind::Failed
        } else {
            SampleKind::Served
        };
        let sample = UpstreamSample::new(kind, USUAL);
        bench
            .pool
            .started_locally(bench.now.saturating_sub(USUAL), upstream(2));
        bench.pool.ended_locally(bench.now, upstream(2), &sample);
        bench.pool.tick(bench.now, &mut bench.findings);
        reported.extend(
            bench
                .pool
                .report(bench.now)
                .iter()
                .map(|report| report.scores.failing),
        );
    }
    assert!(reported.iter().any(|score| *score >= 1_200), "{reported:?}");
    assert!(reported.last() < reported.iter().max(), "{reported:?}");
}

/// A daemon is replaced while an upstream is faulty. The new one learns of all upstreams in the
/// same second; if it took all of them for warming up, it would have no weight to take, and callers
/// would still get the faulty one.
#[test]
fn new_node_applies_reported_evidence() {
    let now = Duration::from_secs(100);
    let mut pool = ServicePool::new(PoolSettings::default(), 7);
    for number in 0..8 {
        let facts = facts(number, UpstreamPhase::Ready);
        pool.upsert(now, upstream(number), &facts);
    }
    pool.merge(now, NodeId(3), &[evidence(3, EvidenceRole::Beside)]);
    pool.tick(now, &mut Vec::new());
    let weight = pool.standing(upstream(3)).map(|standing| standing.weight);
    assert!(weight < Some(0.1), "{weight:?}");
}

/// An upstream that joins a running service starts with a tenth of its weight.
#[test]
fn joining_upstream_starts_with_low_weight() {
    let mut bench = PoolBench::warmed(4, PoolSettings::default());
    let joining = facts(4, UpstreamPhase::Ready);
    bench.pool.upsert(bench.now, upstream(4), &joining);
    bench.pool.tick(bench.now, &mut bench.findings);
    assert!(bench.weight(4) < 0.2);
}
