//! Differences between contracts in the form shown to operators.

use sycamorelink_contract::{diff, samples};

#[test]
fn diff_reports_changes_but_not_reordering() {
    let old = samples::brannock();
    let mut new = old.clone();
    assert_eq!(diff(&old, &new), []);
    new.routes.reverse();
    new.services.reverse();
    assert_eq!(diff(&old, &new), []);
    new.concurrency = 150;
    new.services[0].floor = 0.8;
    new.reply_id_header = None;
    new.routes.pop();
    new.routes[0].hedge = None;
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
