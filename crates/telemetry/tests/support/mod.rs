//! Example fleet for the burn tests: two daemons, one of which restarted forty minutes ago.

use std::time::Duration;

use sycamorelink_core::{CustomerName, InstanceId, NodeId, NodeIncarnation, ServiceName};
use sycamorelink_telemetry::burn::{
    BurnLedger, BurnObjective, BurnOutcome, BurnReport, ObjectiveSource, ObjectiveTerm,
    ReportDetail,
};

/// Time of the reports: 2026-01-15T06:30:20Z.
pub const REPORT_AT: Duration = Duration::from_secs(1_768_458_620);
/// Uptime of the daemon that did not restart.
const LONG_RUNNING_UPTIME: Duration = Duration::from_hours(80);
/// Uptime of the restarted daemon.
const RESTARTED_UPTIME: Duration = Duration::from_mins(40);
/// Time between two batches of requests.
const REQUEST_INTERVAL: Duration = Duration::from_secs(20);

/// Simulated requests of one customer to one service.
struct TrafficPlan {
    customer: &'static str,
    service: &'static str,
    objective: BurnObjective,
    /// Returns the outcome of the request with this number, `age` before the report.
    outcome: fn(number: u64, age: Duration) -> BurnOutcome,
}

/// Source of the objectives of the plans.
struct PlannedObjectives;

impl ObjectiveSource for PlannedObjectives {
    fn objective(&self, customer: &CustomerName, service: &ServiceName) -> Option<ObjectiveTerm> {
        let plan = plans()
            .into_iter()
            .find(|plan| (plan.customer, plan.service) == (customer.as_str(), service.as_str()))?;
        let objective = plan.objective;
        Some(ObjectiveTerm {
            objective,
            version: 41,
        })
    }
}

fn objective(latency_ms: u64, success: f64, days: u64) -> BurnObjective {
    BurnObjective {
        latency: Duration::from_millis(latency_ms),
        success,
        window: Duration::from_hours(24 * days),
    }
}

fn plans() -> [TrafficPlan; 4] {
    [
        TrafficPlan {
            customer: "brannock",
            service: "orders",
            objective: objective(250, 0.999, 30),
            outcome: orders,
        },
        TrafficPlan {
            customer: "brannock",
            service: "documents",
            objective: objective(1_000, 0.99, 30),
            outcome: |_, _| BurnOutcome::Good,
        },
        TrafficPlan {
            customer: "moreton-keel",
            service: "broker",
            objective: objective(500, 0.995, 30),
            outcome: broker,
        },
        TrafficPlan {
            customer: "moreton-keel",
            service: "survey <photos>",
            objective: objective(20_000, 0.95, 7),
            outcome: survey,
        },
    ]
}

/// A backend server that fails in the last 25 minutes, and a few late replies before.
fn orders(number: u64, age: Duration) -> BurnOutcome {
    let failing = age < Duration::from_mins(25);
    match number % 100 {
        0..4 if failing => BurnOutcome::Failed,
        50 if failing => BurnOutcome::Wrong,
        70 if failing => BurnOutcome::Unknown,
        _ if number % 2_500 == 7 => BurnOutcome::Late,
        _ => BurnOutcome::Good,
    }
}

/// Slow replies and some load shedding in the last nine hours, after the onboarding of a customer.
fn broker(number: u64, age: Duration) -> BurnOutcome {
    let onboarding = age < Duration::from_hours(9);
    match number % 50 {
        0 | 1 if onboarding => BurnOutcome::Late,
        2 if onboarding => BurnOutcome::Refused,
        _ => BurnOutcome::Good,
    }
}

fn survey(number: u64, _: Duration) -> BurnOutcome {
    if number % 150 == 3 {
        BurnOutcome::Late
    } else {
        BurnOutcome::Good
    }
}

fn daemon_report(name: &str, age: Duration, per_interval: u64) -> BurnReport {
    let instance = InstanceId {
        node: NodeId::of(name),
        incarnation: NodeIncarnation(1),
    };
    let start = REPORT_AT.checked_sub(age).expect("the age is small");
    let mut ledger = BurnLedger::new(instance, start);
    for plan in plans() {
        let customer = CustomerName::new(plan.customer);
        let service = ServiceName::new(plan.service);
        let mut now = Duration::ZERO;
        let mut number = 0;
        while now < age {
            for _ in 0..per_interval {
                let outcome = (plan.outcome)(number, age.saturating_sub(now));
                ledger.record(now, &customer, &service, outcome);
                number += 1;
            }
            now += REQUEST_INTERVAL;
        }
    }
    ledger.report(age, ReportDetail::Points, &PlannedObjectives)
}

/// Returns the reports of both daemons, the restarted one last.
pub fn fleet_reports() -> [BurnReport; 2] {
    [
        daemon_report("old", LONG_RUNNING_UPTIME, 8),
        daemon_report("young", RESTARTED_UPTIME, 8),
    ]
}

/// Returns the sum of both reports.
pub fn fleet_report() -> BurnReport {
    let [mut report, restarted] = fleet_reports();
    assert!(report.merge(&restarted));
    report
}
