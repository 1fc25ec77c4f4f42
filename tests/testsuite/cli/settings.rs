//! The `settings check` command.

use std::fs;

use super::run_in;

const VALID: &str = r#"{
  "instance": "i-01", "domain": "d1",
  "log": {"address": "127.0.0.1:7000"},
  "fleet_keys": {"current": {"id": "k1", "secret": "0123456789abcdef0123456789abcdef"}}
}"#;

const INVALID: &str = r#"{
  "instance": "i-01", "domain": "d1",
  "listn": {},
  "log": {"address": "log.example:7000"},
  "drain": {"limit": "30"},
  "fleet_keys": {"current": {"id": "k1", "secret": "short"}}
}"#;

#[test]
fn valid_settings_are_accepted() {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("node.json"), VALID).expect("a file");
    let text = run_in(directory.path(), &["settings", "check", "node.json"]);
    insta::assert_snapshot!(text);
}

#[test]
fn check_reports_all_findings() {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("node.json"), INVALID).expect("a file");
    let text = run_in(directory.path(), &["settings", "check", "node.json"]);
    insta::assert_snapshot!(text);
}

#[test]
fn missing_settings_file_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    let text = run_in(directory.path(), &["settings", "check", "none.json"]);
    insta::assert_snapshot!(text);
}
