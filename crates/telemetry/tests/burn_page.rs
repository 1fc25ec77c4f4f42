//! Output formats of the burn report: text table, JSON and HTML page.

mod support;

use sycamorelink_telemetry::burn::{BurnPage, BurnReport, BurnSummary, BurnTable};

#[test]
fn table_of_a_fleet() {
    let summary = BurnSummary::of(&support::fleet_report());
    insta::assert_snapshot!(BurnTable(&summary));
}

/// A daemon that started forty minutes ago has counted only a small part of the longer windows,
/// which the table marks.
#[test]
fn table_marks_partial_windows() {
    let [_, restarted] = support::fleet_reports();
    insta::assert_snapshot!(BurnTable(&BurnSummary::of(&restarted)));
}

/// The page for operators explains this table, so it must contain it unchanged.
#[test]
fn operators_page_contains_the_table() {
    let table = BurnTable(&BurnSummary::of(&support::fleet_report())).to_string();
    let (head, _) = table.rsplit_once("\n\n").expect("notes follow the table");
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/burn.md");
    let page = std::fs::read_to_string(path).expect("the page exists");
    assert!(
        page.contains(head),
        "docs/operators/burn.md has another table than\n{head}"
    );
}

#[test]
fn table_without_requests() {
    let summary = BurnSummary::of(&BurnReport::default());
    insta::assert_snapshot!(BurnTable(&summary));
}

#[test]
fn json_of_a_fleet() {
    let mut report = support::fleet_report();
    for row in &mut report.rows {
        row.recent.truncate(2);
        row.long.truncate(2);
    }
    let summary = BurnSummary::of(&report);
    insta::assert_snapshot!(summary.to_json().expect("the summary is plain data"));
}

#[test]
fn page_of_a_fleet() {
    let summary = BurnSummary::of(&support::fleet_report());
    insta::assert_snapshot!(BurnPage(&summary));
}

/// A report for a whole fleet has no points, so its page has no plots.
#[test]
fn page_without_plots() {
    let mut report = support::fleet_report();
    for row in &mut report.rows {
        row.recent.clear();
        row.long.clear();
    }
    let page = BurnPage(&BurnSummary::of(&report)).to_string();
    assert!(!page.contains("<polyline"));
    assert_eq!(page.matches("<section").count(), report.rows.len());
}

/// A daemon that started forty minutes ago counted nothing before. The plots mark that time, which
/// would otherwise look like time without bad requests.
#[test]
fn plots_mark_time_before_the_start() {
    let [_, restarted] = support::fleet_reports();
    let page = BurnPage(&BurnSummary::of(&restarted)).to_string();
    // In both plots of each of the four rows.
    assert_eq!(page.matches("not counted</text>").count(), 8);

    let fleet = BurnPage(&BurnSummary::of(&support::fleet_report())).to_string();
    assert!(!fleet.contains("not counted</text>"));
}

/// The page must work offline during an outage, so it loads no other files and runs no scripts.
#[test]
fn page_is_self_contained() {
    let page = BurnPage(&BurnSummary::of(&support::fleet_report())).to_string();
    for forbidden in ["http:", "https:", "src=", "<script", "@import", "url("] {
        assert!(!page.contains(forbidden), "the page has {forbidden}");
    }
}

/// Markup in the name of a customer is shown as text and does not run in the browser.
#[test]
fn page_escapes_customer_names() {
    let mut report = support::fleet_report();
    report.rows.truncate(1);
    report.rows[0].customer = "<script>alert('x')</script>&\"".into();
    let page = BurnPage(&BurnSummary::of(&report)).to_string();
    assert!(!page.contains("<script"));
    assert!(page.contains("&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;&amp;&quot;"));
}
