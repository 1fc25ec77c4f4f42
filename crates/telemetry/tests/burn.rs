//! Counts, windows, alerts and merging of burn reports.

mod support;

use std::time::Duration;

use sycamorelink_core::{
    CustomerName, InstanceId, NodeId, NodeIncarnation, RefusalCode, RequestRefusal, ServiceName,
};
use sycamorelink_telemetry::burn::{
    AlertTracker, BurnAlert, BurnCounts, BurnLedger, BurnObjective, BurnOutcome, BurnQuery,
    BurnReport, BurnRow, BurnRule, BurnSource, BurnSummary, BurnTable, BurnWindow, OTHER_NAME,
    ObjectiveSource, ObjectiveTerm, ReportDetail, RequestEnd, UtcTime, WindowCoverage, burn_rate,
};
use sycamorelink_telemetry::event::EventCode;

const WALL_AT_START: Duration = Duration::from_secs(1_768_000_000);

/// Source without any contracts, so that the default objective applies.
struct NoObjectives;

impl ObjectiveSource for NoObjectives {
    fn objective(&self, _: &CustomerName, _: &ServiceName) -> Option<ObjectiveTerm> {
        None
    }
}

/// Source with the same objective for all customers and services.
struct FixedObjective(ObjectiveTerm);

impl ObjectiveSource for FixedObjective {
    fn objective(&self, _: &CustomerName, _: &ServiceName) -> Option<ObjectiveTerm> {
        Some(self.0)
    }
}

fn instance(name: &str, incarnation: u64) -> InstanceId {
    InstanceId {
        node: NodeId::of(name),
        incarnation: NodeIncarnation(incarnation),
    }
}

fn names() -> (CustomerName, ServiceName) {
    ("brannock".into(), "orders".into())
}

fn counts(good: u64, failed: u64) -> BurnCounts {
    let mut counts = BurnCounts::default();
    counts.add(BurnOutcome::Good, good);
    counts.add(BurnOutcome::Failed, failed);
    counts
}

fn row(objective: BurnObjective, windows: [BurnCounts; 5]) -> BurnRow {
    let (customer, service) = names();
    BurnRow {
        customer,
        service,
        objective,
        version: 1,
        windows,
        recent: Vec::new(),
        long: Vec::new(),
    }
}

/// Returns the alert of a row whose windows are fully counted.
fn alert(objective: BurnObjective, windows: [BurnCounts; 5]) -> BurnAlert {
    BurnAlert::of(&row(objective, windows), &WindowCoverage::FULL)
}

fn objective(success: f64, days: u64) -> BurnObjective {
    BurnObjective {
        success,
        window: Duration::from_hours(24 * days),
        ..BurnObjective::default()
    }
}

#[test]
fn requests_leave_windows_in_order() {
    let (customer, service) = names();
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START);
    ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Failed);
    let mut seen = Vec::new();
    for minutes in [1, 6, 31, 61, 361, 4_321] {
        let report = ledger.report(
            Duration::from_mins(minutes),
            ReportDetail::Windows,
            &NoObjectives,
        );
        let bad = report
            .rows
            .first()
            .map_or([0; 5], |row| row.windows.map(|window| window.bad()));
        seen.push(format!("after {minutes} min: {bad:?}"));
    }
    insta::assert_snapshot!(seen.join("\n"), @r#"
    after 1 min: [1, 1, 1, 1, 1]
    after 6 min: [0, 1, 1, 1, 1]
    after 31 min: [0, 0, 1, 1, 1]
    after 61 min: [0, 0, 0, 1, 1]
    after 361 min: [0, 0, 0, 0, 1]
    after 4321 min: [0, 0, 0, 0, 0]
    "#);
}

#[test]
fn request_before_the_newest_bucket_is_counted() {
    let (customer, service) = names();
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START);
    for (minute, outcome) in [(10, BurnOutcome::Good), (9, BurnOutcome::Late)] {
        ledger.record(Duration::from_mins(minute), &customer, &service, outcome);
    }
    let report = ledger.report(
        Duration::from_mins(10),
        ReportDetail::Windows,
        &NoObjectives,
    );
    let five = report.rows[0].counts(BurnWindow::FiveMinutes);
    assert_eq!((five.total(), five.get(BurnOutcome::Late)), (2, 1));
}

/// Customers beyond the maximum number of series are counted together, so that memory stays bounded
/// and the total of the service stays correct.
#[test]
fn full_ledger_counts_further_customers_together() {
    let service = ServiceName::new("orders");
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START).max_series(2);
    for number in 0..10 {
        let customer = CustomerName::new(&format!("customer-{number}"));
        ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Good);
    }
    let report = ledger.report(Duration::ZERO, ReportDetail::Windows, &NoObjectives);
    let rows: Vec<_> = report
        .rows
        .iter()
        .map(|row| {
            (
                row.customer.as_str(),
                row.counts(BurnWindow::OneHour).total(),
            )
        })
        .collect();
    let expected = [(OTHER_NAME, 8), ("customer-0", 1), ("customer-1", 1)];
    assert_eq!(rows, expected);
}

/// A series without requests for three days has no row in the report.
#[test]
fn idle_series_is_left_out_of_the_report() {
    let (customer, service) = names();
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START);
    ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Good);
    let later = Duration::from_hours(73);
    assert!(
        ledger
            .report(later, ReportDetail::Points, &NoObjectives)
            .rows
            .is_empty()
    );
}

/// Customers come and go for two years. A customer without requests for three days is dropped when
/// a new one needs its place, so that the new one is counted under its own name.
#[test]
fn full_ledger_drops_idle_series() {
    let service = ServiceName::new("orders");
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START).max_series(2);
    for day in 0..360 {
        let customer = CustomerName::new(&format!("customer-{day}"));
        let now = Duration::from_hours(24 * 2 * day);
        ledger.record(now, &customer, &service, BurnOutcome::Good);
        let report = ledger.report(now, ReportDetail::Windows, &NoObjectives);
        assert!(report.rows.iter().any(|row| row.customer == customer));
    }
}

/// Requests for a thousand services by as many customers do not exceed the bound of the ledger, and
/// every request is counted.
#[test]
fn many_services_and_customers_do_not_exceed_the_bound() {
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START).max_series(10);
    for number in 0..1_000 {
        let customer = CustomerName::new(&format!("customer-{number}"));
        let service = ServiceName::new(&format!("service-{number}"));
        ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Good);
    }
    let report = ledger.report(Duration::ZERO, ReportDetail::Windows, &NoObjectives);
    let total: u64 = report
        .rows
        .iter()
        .map(|row| row.counts(BurnWindow::OneHour).total())
        .sum();
    assert_eq!((report.rows.len(), total), (21, 1_000));
}

#[test]
fn thresholds_depend_on_the_objective() {
    let mut lines = Vec::new();
    for (success, days) in [(0.999, 30), (0.999, 7), (0.95, 30), (0.9, 30), (0.3, 30)] {
        let objective = objective(success, days);
        let thresholds = BurnRule::ALL.map(|rule| format!("{:.2}", rule.threshold(&objective)));
        lines.push(format!("{success} over {days}d: {}", thresholds.join(" ")));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    0.999 over 30d: 14.40 6.00 1.00
    0.999 over 7d: 14.40 6.00 1.00
    0.95 over 30d: 10.00 5.00 1.00
    0.9 over 30d: 5.00 2.50 1.00
    0.3 over 30d: 1.00 1.00 1.00
    "#);
}

#[test]
fn alert_needs_both_windows() {
    let target = objective(0.999, 30);
    let (healthy, burning) = (counts(1_000, 0), counts(9_800, 200));
    let all = [burning; 5];
    assert_eq!(alert(target, all), BurnAlert::Fast);
    // The short windows are healthy: the burn has ended.
    let ended = [healthy, healthy, burning, healthy, healthy];
    assert_eq!(alert(target, ended), BurnAlert::Quiet);
    // The long windows are healthy: the burn is too short to be significant.
    let spike = [burning, burning, healthy, healthy, healthy];
    assert_eq!(alert(target, spike), BurnAlert::Quiet);
    let slow = [healthy, burning, burning, burning, healthy];
    assert_eq!(alert(target, slow), BurnAlert::Slow);
    let drift = [healthy, healthy, healthy, burning, burning];
    assert_eq!(alert(target, drift), BurnAlert::Drift);
}

#[test]
fn rate_equal_to_the_threshold_raises_the_alert() {
    let target = objective(0.999, 30);
    // 144 of 10,000 are 1.44%, which is 14.4 times the budget of 0.1%.
    let at = [counts(9_856, 144); 5];
    assert_eq!(alert(target, at), BurnAlert::Fast);
    let under = [counts(9_857, 143); 5];
    assert_eq!(alert(target, under), BurnAlert::Slow);
}

/// With one request a minute, a single bad request puts the burn rate far over the threshold. No
/// alert is raised until three are bad.
#[test]
fn alert_needs_three_bad_requests() {
    let target = objective(0.999, 30);
    let two = [counts(58, 2); 5];
    assert!(burn_rate(&two[0], &target) > 30.0);
    assert_eq!(alert(target, two), BurnAlert::Quiet);
    let three = [counts(57, 3); 5];
    assert_eq!(alert(target, three), BurnAlert::Fast);
}

/// A daemon started ten minutes ago has a few bad requests. Spread over six hours they raise no
/// slow burn, but a fast burn is raised nevertheless.
#[test]
fn recently_started_daemon_raises_only_fast_burns() {
    let target = objective(0.999, 30);
    let coverage = WindowCoverage::of(&[Duration::from_mins(10)]);
    let slow = row(target, [counts(9_900, 100); 5]);
    assert_eq!(BurnAlert::of(&slow, &WindowCoverage::FULL), BurnAlert::Slow);
    assert_eq!(BurnAlert::of(&slow, &coverage), BurnAlert::Quiet);
    let fast = row(target, [counts(9_800, 200); 5]);
    assert_eq!(BurnAlert::of(&fast, &coverage), BurnAlert::Fast);
}

/// An objective of 90% burns at 10 at most, which is below 14.4. A service whose requests all fail
/// must still raise a fast burn.
#[test]
fn low_objective_can_reach_a_fast_burn() {
    let all_bad = [counts(0, 100); 5];
    let lax = objective(0.9, 30);
    assert_eq!(alert(lax, all_bad), BurnAlert::Fast);
}

#[test]
fn merge_adds_counts_and_points() {
    let [long_running, restarted] = support::fleet_reports();
    let merged = support::fleet_report();
    for (index, row) in merged.rows.iter().enumerate() {
        let (left, right) = (&long_running.rows[index], &restarted.rows[index]);
        for window in BurnWindow::ALL {
            let sum = left.counts(window).total() + right.counts(window).total();
            assert_eq!(row.counts(window).total(), sum);
        }
        let points: u64 = row.recent.iter().map(|point| point.1.total()).sum();
        assert_eq!(points, row.counts(BurnWindow::OneHour).total());
    }
}

#[test]
fn merge_does_not_depend_on_the_order() {
    let [long_running, restarted] = support::fleet_reports();
    let mut left = long_running.clone();
    assert!(left.merge(&restarted));
    let mut right = restarted;
    assert!(right.merge(&long_running));
    assert_eq!(left, right);
}

/// The command line may get the report of one daemon twice, through two addresses or in the sum of
/// another daemon. The second report is rejected, because its requests would be counted twice.
#[test]
fn merge_rejects_a_daemon_twice() {
    let [long_running, _] = support::fleet_reports();
    let mut sum = support::fleet_report();
    let before = sum.clone();
    assert!(!sum.merge(&long_running));
    assert_eq!(sum, before);
}

/// A restarted daemon starts counting from zero, so a report of its earlier incarnation is of other
/// requests and is added.
#[test]
fn merge_adds_two_incarnations_of_a_daemon() {
    let (customer, service) = names();
    let mut reports = [1, 2].map(|incarnation| {
        let mut ledger = BurnLedger::new(instance("a", incarnation), WALL_AT_START);
        ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Good);
        ledger.report(Duration::ZERO, ReportDetail::Points, &NoObjectives)
    });
    let second = reports[1].clone();
    assert!(reports[0].merge(&second));
    assert_eq!(reports[0].rows[0].counts(BurnWindow::OneHour).total(), 2);
}

/// While a new contract is being distributed, reports have different objectives. The sum uses that
/// of the newer contract.
#[test]
fn merge_uses_the_objective_of_the_newer_contract() {
    let (customer, service) = names();
    let report = |name: &str, version, success| {
        let mut ledger = BurnLedger::new(instance(name, 1), WALL_AT_START);
        ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Good);
        let objective = objective(success, 30);
        let source = FixedObjective(ObjectiveTerm { objective, version });
        ledger.report(Duration::ZERO, ReportDetail::Windows, &source)
    };
    let (newer, older) = (report("a", 9, 0.99), report("b", 8, 0.9));
    for (mut left, right) in [(newer.clone(), older.clone()), (older, newer)] {
        assert!(left.merge(&right));
        assert_eq!(left.rows[0].objective, objective(0.99, 30));
    }
}

#[test]
fn report_round_trips_through_json() {
    let report = support::fleet_report();
    let text = serde_json::to_string(&report).expect("a report is plain data");
    let read: BurnReport = serde_json::from_str(&text).expect("the written report can be parsed");
    assert_eq!(read, report);
}

#[test]
fn alert_change_is_reported_once() {
    let target = objective(0.999, 30);
    let report = |failed| BurnReport {
        sources: vec![BurnSource {
            instance: instance("a", 1),
            covers: BurnWindow::ThreeDays.length(),
        }],
        rows: vec![row(target, [counts(10_000, failed); 5])],
        ..BurnReport::default()
    };
    let mut tracker = AlertTracker::default();
    let mut seen = Vec::new();
    for failed in [0, 100, 100, 500, 100, 0, 0] {
        for change in tracker.update(&report(failed)) {
            seen.push(change.event());
        }
    }
    let expected = [
        Some(EventCode::BurnSlow),
        Some(EventCode::BurnFast),
        Some(EventCode::BurnSlow),
        Some(EventCode::BurnEnded),
    ];
    assert_eq!(seen, expected);
}

#[test]
fn query_selects_rows() {
    let mut ledger = BurnLedger::new(instance("a", 1), WALL_AT_START);
    for customer in ["brannock", "moreton-keel"] {
        for service in ["orders", "survey"] {
            let (customer, service) = (customer.into(), service.into());
            ledger.record(Duration::ZERO, &customer, &service, BurnOutcome::Good);
        }
    }
    let query = r#"{"customer": "brannock", "detail": "points"}"#;
    let query: BurnQuery = serde_json::from_str(query).expect("the query is valid");
    let report = ledger.query(Duration::ZERO, &query, &NoObjectives);
    let rows: Vec<_> = report
        .rows
        .iter()
        .map(|row| {
            (
                row.customer.as_str(),
                row.service.as_str(),
                row.recent.len(),
            )
        })
        .collect();
    assert_eq!(rows, [("brannock", "orders", 1), ("brannock", "survey", 1)]);
}

/// The table shows the number of daemons without a report, because the sum lacks their requests.
#[test]
fn missing_daemons_are_shown() {
    let mut report = support::fleet_report();
    report.count_missing();
    let text = BurnTable(&BurnSummary::of(&report)).to_string();
    assert!(text.contains("2 daemons, 1 more did not answer;"), "{text}");
}

#[test]
fn budget_uses_the_longest_window_within_the_objective() {
    let hour = BurnWindow::OneHour.length();
    let mut lines = Vec::new();
    for hours in [1, 2, 24, 30 * 24] {
        let target = BurnObjective {
            window: hour * hours,
            ..objective(0.99, 30)
        };
        let source = BurnSource {
            instance: instance("a", 1),
            covers: hour * 36,
        };
        let report = BurnReport {
            sources: vec![source],
            rows: vec![row(target, [counts(99, 1); 5])],
            ..BurnReport::default()
        };
        let summary = BurnSummary::of(&report);
        let row = &summary.rows[0];
        lines.push(format!(
            "{hours}h: {} of {}",
            row.budget_used, row.budget_window
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    1h: 1 of 1h
    2h: 0.5 of 1h
    24h: 0.25 of 6h
    720h: 0.05 of 3d
    ");
}

/// Outcome of each reply status and refusal: in time, late, and when the request may have run.
#[test]
fn request_ends_are_classified() {
    let target = BurnObjective::default();
    let classify = |late: bool, end: &RequestEnd| {
        let latency = target.latency * if late { 2 } else { 1 };
        target
            .classify(latency, end)
            .map_or("not counted", |outcome| outcome.as_str())
    };
    let mut lines = Vec::new();
    for status in [200, 404, 500] {
        let end = RequestEnd::Reply(status);
        lines.push(format!(
            "{status}: {}, {}",
            classify(false, &end),
            classify(true, &end)
        ));
    }
    for code in RefusalCode::ALL {
        let not_run = RequestEnd::Refusal(RequestRefusal::not_run(*code));
        let unknown = RequestEnd::Refusal(RequestRefusal::unknown(*code));
        let (in_time, late) = (classify(false, &not_run), classify(true, &not_run));
        lines.push(format!(
            "{code}: {in_time}, {late}, {}",
            classify(false, &unknown)
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn invalid_objective_is_reported() {
    let text = r#"{"latency": "0s", "success": 1.0, "window": "1m"}"#;
    let wrong: BurnObjective = serde_json::from_str(text).expect("the objective has valid fields");
    let mut findings = sycamorelink_core::FindingList::default();
    wrong.check("services[0].objective", &mut findings);
    insta::assert_snapshot!(findings, @r#"
    services[0].objective.latency: must be above zero
    services[0].objective.success: must be between 0 and 1, both excluded: without any budget nothing can be judged
    services[0].objective.window: must be between "5m" and "365d"
    "#);
}

#[test]
fn times_are_displayed_in_utc() {
    let times = [0, 951_827_696, 1_709_251_199, 1_768_458_620, 4_102_444_800];
    let lines = times.map(|seconds| UtcTime(seconds).to_string());
    insta::assert_snapshot!(lines.join("\n"), @r#"
    1970-01-01T00:00:00Z
    2000-02-29T12:34:56Z
    2024-02-29T23:59:59Z
    2026-01-15T06:30:20Z
    2100-01-01T00:00:00Z
    "#);
}
