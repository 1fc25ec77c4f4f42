//! Exit codes, their documentation page and rejected arguments.

use std::fmt::Write;

use sycamorelink_ops::ExitKind;

use super::run;

#[test]
fn exit_code_page_lists_every_code() {
    let page = include_str!("../../../docs/exit-codes.md");
    for kind in ExitKind::ALL {
        let mut row = String::new();
        write!(row, "| {} | {} |", kind.code(), kind.meaning()).expect("text");
        assert!(page.contains(&row), "the page lacks {row}");
    }
}

#[test]
fn exit_codes_are_distinct() {
    let mut codes: Vec<u8> = ExitKind::ALL.iter().map(|kind| kind.code()).collect();
    codes.dedup();
    assert_eq!(codes.len(), ExitKind::ALL.len());
    assert!(codes.is_sorted());
}

#[test]
fn drain_requires_exactly_one_daemon() {
    let args = [
        "drain",
        "--daemon",
        "127.0.0.1:1",
        "--daemon",
        "127.0.0.1:2",
    ];
    insta::assert_snapshot!(run(&args));
}

#[test]
fn invalid_daemon_address_is_rejected() {
    insta::assert_snapshot!(run(&["fleet", "--daemon", "localhost:80"]));
}
