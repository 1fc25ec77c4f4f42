//! The `contract` subcommands that run without a daemon.

use std::fs;
use std::path::Path;

use super::{run, run_in};

fn write_sample(directory: &Path, file: &str, change: (&str, &str)) {
    let sample = sycamorelink_contract::samples::brannock_json();
    let text = sample.replace(change.0, change.1);
    fs::write(directory.join(file), text).expect("a file");
}

#[test]
fn samples_are_valid() {
    let directory = tempfile::tempdir().expect("a directory");
    for name in ["brannock", "harbour-mesh"] {
        let printed = super::output_in(directory.path(), &["contract", "sample", name]);
        fs::write(directory.path().join(name), printed.stdout).expect("a file");
    }
    let args = ["contract", "validate", "brannock", "harbour-mesh"];
    insta::assert_snapshot!(run_in(directory.path(), &args));
}

#[test]
fn unknown_sample_gets_hint() {
    insta::assert_snapshot!(run(&["contract", "sample", "branock"]));
}

#[test]
fn validate_reports_findings_of_all_files() {
    let directory = tempfile::tempdir().expect("a directory");
    write_sample(
        directory.path(),
        "a.json",
        ("\"floor\": 0.7", "\"flor\": 0.7"),
    );
    write_sample(
        directory.path(),
        "b.json",
        ("\"service\": \"orders\"", "\"service\": \"order\""),
    );
    write_sample(directory.path(), "c.json", ("x", "x"));
    fs::write(directory.path().join("d.json"), "{").expect("a file");
    let args = [
        "contract", "validate", "a.json", "b.json", "c.json", "d.json",
    ];
    insta::assert_snapshot!(run_in(directory.path(), &args));
}

#[test]
fn diff_lists_every_changed_value() {
    let directory = tempfile::tempdir().expect("a directory");
    write_sample(directory.path(), "old.json", ("x", "x"));
    let sample = sycamorelink_contract::samples::brannock_json()
        .replace("\"per_second\": 400", "\"per_second\": 500")
        .replace("\"floor\": 0.7", "\"floor\": 0.6")
        .replace("{\"prefix\": \"/stock\"", "{\"prefix\": \"/stocks\"");
    fs::write(directory.path().join("new.json"), sample).expect("a file");
    let differ = run_in(
        directory.path(),
        &["contract", "diff", "new.json", "--against", "old.json"],
    );
    let equal = run_in(
        directory.path(),
        &["contract", "diff", "old.json", "--against", "old.json"],
    );
    insta::assert_snapshot!(format!("{differ}\n{equal}"));
}

#[test]
fn missing_daemon_address_gets_hint() {
    insta::assert_snapshot!(run(&["contract", "show", "brannock"]));
}

#[test]
fn unreachable_daemon_is_an_error() {
    // Port 1 of the loopback interface is not listened on.
    let args = ["--daemon", "127.0.0.1:1", "contract", "show", "brannock"];
    insta::assert_snapshot!(run(&args));
}
