//! Text output of the development fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_ops::dev::{
    BurnLine, CallCounts, ClosingReport, FleetSnapshot, FleetTimeline, KeyAudit, RecentCalls,
    ServiceSnapshot, UpstreamSnapshot, render_entry, render_screen, render_status, scenario_steps,
};
use sycamorelink_ops::view::FloorView;

fn upstream(number: usize, weight: f64) -> UpstreamSnapshot {
    UpstreamSnapshot {
        instance: format!("orders-{number}"),
        domain: format!("d{number}"),
        phase: "ready".to_owned(),
        weight,
        suspicion: 6.0 * (1.0 - weight),
        reduced: if weight < 0.9 { 6 } else { 0 },
        runs: 40,
        ..UpstreamSnapshot::default()
    }
}

fn snapshot(seconds: u64, upstreams: Vec<UpstreamSnapshot>) -> FleetSnapshot {
    let calls = RecentCalls {
        counts: CallCounts {
            ended: 1200,
            answered: 1198,
            not_run: 2,
            ..CallCounts::default()
        },
        calls: 155,
        p50: Duration::from_millis(21),
        p99: Duration::from_millis(240),
    };
    let floor = FloorView {
        known_slots: 20,
        floor_slots: 10,
        floor_count: 2,
        serving_slots: 15,
        serving_count: 3,
        ejected_count: 1,
    };
    let service = ServiceSnapshot {
        service: "orders",
        customer: "brannock",
        calls,
        floor,
        upstreams,
    };
    let burn = BurnLine {
        customer: "brannock".to_owned(),
        service: "orders".to_owned(),
        bad: 3,
        requests: 1200,
        rate: 2.5,
    };
    FleetSnapshot {
        now: Duration::from_secs(seconds),
        length: Duration::from_mins(1),
        warming_up: false,
        daemons: 7,
        services: vec![service],
        burns: vec![burn],
    }
}

fn faulty_upstream(weight: f64, ejected: usize) -> UpstreamSnapshot {
    UpstreamSnapshot {
        fault: "12x slower",
        ejected,
        ..upstream(2, weight)
    }
}

/// Returns a timeline in which a fault starts, the fleet shifts work away, ejects the upstream and
/// restores it after the fault, and another instance is drained.
fn sample_timeline() -> FleetTimeline {
    let mut timeline = FleetTimeline::default();
    let at = Duration::from_secs;
    let healthy = || vec![upstream(1, 1.0), upstream(2, 1.0)];
    timeline.record_snapshot(&snapshot(11, healthy()));
    timeline.record_step(at(12), "orders-2", "becomes 12 times slower");
    timeline.record_fault(at(12), "orders-2", "12x slower");
    timeline.record_snapshot(&snapshot(
        13,
        vec![upstream(1, 1.0), faulty_upstream(0.8, 0)],
    ));
    timeline.record_snapshot(&snapshot(
        15,
        vec![upstream(1, 1.0), faulty_upstream(0.3, 1)],
    ));
    timeline.record_snapshot(&snapshot(
        16,
        vec![upstream(1, 1.0), faulty_upstream(0.7, 1)],
    ));
    timeline.record_snapshot(&snapshot(
        19,
        vec![upstream(1, 1.0), faulty_upstream(0.0, 5)],
    ));
    timeline.record_step(at(36), "orders-2", "is healthy again");
    timeline.record_fault(at(36), "orders-2", "");
    timeline.record_snapshot(&snapshot(48, healthy()));
    timeline.record_step(at(51), "orders-4", "is drained");
    timeline.record_drain(at(51), "orders-4");
    assert!(timeline.is_draining());
    timeline.record_drained(at(53), "orders-4");
    timeline.record_drained(at(54), "orders-4");
    assert!(!timeline.is_draining());
    timeline
}

#[test]
fn screen_shows_services_budgets_and_timeline() {
    let upstreams = vec![
        upstream(1, 1.0),
        faulty_upstream(0.13, 2),
        UpstreamSnapshot {
            suspicion: 0.0,
            ..upstream(3, 0.4)
        },
        UpstreamSnapshot {
            phase: "leaving".to_owned(),
            ..upstream(4, 0.0)
        },
    ];
    insta::assert_snapshot!(render_screen(&snapshot(49, upstreams), &sample_timeline()));
}

#[test]
fn status_line_lists_upstreams_with_reduced_work() {
    let in_phase = |number, phase: &str| UpstreamSnapshot {
        phase: phase.to_owned(),
        ..upstream(number, 0.0)
    };
    let upstreams = vec![
        upstream(1, 1.0),
        faulty_upstream(0.13, 2),
        in_phase(3, "leaving"),
        in_phase(4, ""),
    ];
    insta::assert_snapshot!(
        render_status(&snapshot(49, upstreams)),
        @"00:49 of 01:00   orders 155/s, p99 240ms, not run 2, unknown 0, orders-2 at 13%, orders-3 leaving, orders-4 gone"
    );
}

#[test]
fn timeline_reports_each_transition_once() {
    let timeline = sample_timeline();
    let lines: Vec<String> = timeline.entries.iter().map(render_entry).collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(timeline.false_ejections, 0);
}

#[test]
fn ejection_without_a_fault_counts_as_false() {
    let mut timeline = FleetTimeline::default();
    let ejected = UpstreamSnapshot {
        ejected: 4,
        ..upstream(1, 0.0)
    };
    timeline.record_snapshot(&snapshot(5, vec![ejected.clone()]));
    timeline.record_snapshot(&snapshot(6, vec![ejected]));
    assert_eq!(timeline.false_ejections, 1);
}

#[test]
fn closing_report_lists_calls_faults_and_drains() {
    let counts = CallCounts {
        ended: 9000,
        answered: 8994,
        not_run: 6,
        refusals: BTreeMap::from([("overloaded".to_owned(), 6)]),
        ..CallCounts::default()
    };
    let report = ClosingReport {
        length: Duration::from_mins(1),
        calls: BTreeMap::from([("orders", counts)]),
        audit: KeyAudit {
            keys: 300,
            resends: 70,
            ran_once: 300,
            ..KeyAudit::default()
        },
        timeline: sample_timeline(),
        burns: snapshot(60, Vec::new()).burns,
        ..ClosingReport::default()
    };
    insta::assert_snapshot!(report.render());
    assert!(report.broken_guarantees().is_empty());
}

#[test]
fn broken_guarantees_are_listed() {
    let counts = CallCounts {
        ended: 10,
        answered: 9,
        mismatched: 1,
        ..CallCounts::default()
    };
    let report = ClosingReport {
        calls: BTreeMap::from([("orders", counts)]),
        audit: KeyAudit {
            keys: 5,
            ran_once: 3,
            duplicated: 1,
            false_not_run: 2,
            false_ran: 1,
            ..KeyAudit::default()
        },
        ..ClosingReport::default()
    };
    insta::assert_snapshot!(report.broken_guarantees().join("\n"));
}

#[test]
fn scenario_steps_are_in_order() {
    let steps = scenario_steps();
    assert!(steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(steps.iter().all(|step| (0.0..1.0).contains(&step.at)));
}
