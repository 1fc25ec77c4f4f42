//! Tests of the quick table of situations.

use sycamorelink_lab::situations::{TableOptions, run_table};

/// Checks that the table is reproducible. The simulation itself asserts the capacity floor in every
/// step.
#[test]
fn quick_table_matches_snapshot() {
    let table = run_table(&TableOptions::quick());
    insta::assert_snapshot!(table.to_text());
}

#[test]
fn thread_count_does_not_change_table() {
    let mut options = TableOptions::quick();
    options.situations = vec!["one-failing-50".to_owned()];
    options.threads = 1;
    let single_threaded = run_table(&options).to_text();
    options.threads = 3;
    assert_eq!(run_table(&options).to_text(), single_threaded);
}

/// Checks that the HTML page has no scripts and loads no external resources.
#[test]
fn html_page_is_self_contained() {
    let mut options = TableOptions::quick();
    options.situations = vec!["one-failing-50".to_owned()];
    let page = run_table(&options).to_html();
    assert!(page.contains("<svg"));
    assert!(!page.contains("<script") && !page.contains("src="));
}
