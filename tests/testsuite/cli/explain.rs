//! The `explain` command.

use super::run;

#[test]
fn event_is_explained_by_number_and_name() {
    let by_number = run(&["explain", "SL3006"]);
    assert_eq!(by_number, run(&["explain", "floor-held"]));
    assert_eq!(by_number, run(&["explain", "3006"]));
    insta::assert_snapshot!(by_number);
}

#[test]
fn refusal_is_explained() {
    insta::assert_snapshot!(run(&["explain", "key-busy"]));
}

#[test]
fn unknown_code_gets_hint() {
    let texts = [
        run(&["explain", "flor-held"]),
        run(&["explain", "SL3099"]),
        run(&["explain", "what"]),
        run(&["explain"]),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn list_contains_every_event() {
    let list = run(&["explain", "--list"]);
    for code in sycamorelink_telemetry::EventCode::ALL {
        assert!(list.contains(code.as_str()), "{code} is missing");
    }
}
