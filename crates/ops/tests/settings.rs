//! Settings of a daemon: defaults, validation findings and their paths.

use serde_json::Value;
use sycamorelink_core::LenientSyntax;
use sycamorelink_core::unit::parse_size;
use sycamorelink_daemon::settings::{DaemonSettings, parse_duration, section_defaults};

const VALID: &str = r#"{
  "instance": "i-01", "domain": "d1",
  "listen": {"callers": "127.0.0.1:8080"},
  "log": {"address": "127.0.0.1:7000"},
  "fleet_keys": {"current": {"id": "k1", "secret": "0123456789abcdef0123456789abcdef"}},
  "drain": {"limit": "45s"},
  "body_limit": "8MB"
}"#;

fn findings(text: &str) -> String {
    match DaemonSettings::from_json(text, "node.json") {
        Ok(_) => "valid".to_owned(),
        Err(findings) => findings.to_string(),
    }
}

#[test]
fn minimal_settings_get_the_defaults() {
    let settings = DaemonSettings::from_json(VALID, "node.json").expect("valid settings");
    let mut written = serde_json::to_value(&settings).expect("JSON");
    written["fleet_keys"]["current"]["secret"] = "…".into();
    insta::assert_json_snapshot!(written);
}

#[test]
fn all_findings_are_reported_with_their_paths() {
    let text = r#"{
      "instance": "", "domian": "d1", "region": 7,
      "listen": {"callers": "localhost:80", "peers": "0.0.0.0:9000", "opperators": "127.0.0.1:1"},
      "seeds": ["127.0.0.1:0", "x"],
      "fleet_keys": {"current": {"id": "k1", "secret": "short"}},
      "http_workers": 0, "body_limit": "64", "reply_buffer": "12XB",
      "drain": {"limit": "0s"},
      "telemetry": {"log": {"format": "jsn", "level": "verbose"}},
      "operators": [
        {"name": "ada", "token_sha256": "00", "role": "publisher"},
        {"name": "ada", "token_sha256": 1, "role": "amdin", "team": "t"}
      ],
      "guard": []
    }"#;
    insta::assert_snapshot!(findings(text));
}

#[test]
fn sections_are_validated_by_their_packages() {
    let text = VALID.replace(
        "\"body_limit\"",
        r#""roster": {"helpers": "3", "probe_interval": "0s", "fan_out": 2},
           "guard": {"seets": 3},
           "limits": {"gate": {"slots": 0}, "shares": {}},
           "body_limit""#,
    );
    insta::assert_snapshot!(findings(&text));
}

#[test]
fn invalid_json_is_a_single_finding() {
    insta::assert_snapshot!(
        findings("{\"instance\": }"),
        @"node.json: not JSON: expected value at line 1 column 14"
    );
}

#[test]
fn debug_output_omits_the_secret() {
    let settings = DaemonSettings::from_json(VALID, "node.json").expect("valid settings");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn values_require_a_unit() {
    let cases = [
        "250ms",
        "2 s",
        "1h",
        "250",
        "ms",
        "1.5s",
        "99999999999999999999h",
    ];
    let durations: Vec<String> = cases
        .iter()
        .map(|text| render(parse_duration(text)))
        .collect();
    insta::assert_snapshot!(durations.join("\n"));
    let cases = ["64KB", "1GB", "12B", "12", "64kb"];
    let sizes: Vec<String> = cases
        .iter()
        .map(|text| render(parse_size::<LenientSyntax>(text)))
        .collect();
    insta::assert_snapshot!(sizes.join("\n"));
}

fn render<T, E>(result: Result<T, E>) -> String
where
    T: std::fmt::Debug,
    E: std::fmt::Display,
{
    match result {
        Ok(value) => format!("{value:?}"),
        Err(error) => format!("error: {error}"),
    }
}

/// Returns the start of the documentation row of every key below a path, with its default.
fn expected_rows(path: &str, value: &Value) -> Vec<String> {
    let Some(keys) = value.as_object() else {
        return vec![format!("| `{path}` | `{value}` |")];
    };
    keys.iter()
        .flat_map(|(key, value)| expected_rows(&format!("{path}.{key}"), value))
        .collect()
}

#[test]
fn documentation_lists_every_key_with_its_default() {
    let page = include_str!("../../../docs/settings.md");
    let sections = section_defaults();
    let sections = sections.as_object().expect("an object");
    let rows = sections
        .iter()
        .flat_map(|(name, value)| expected_rows(name, value));
    let missing: Vec<String> = rows.filter(|row| !page.contains(row)).collect();
    assert!(
        missing.is_empty(),
        "the page lacks:\n{}",
        missing.join("\n")
    );
    let top = serde_json::to_value(DaemonSettings::default()).expect("JSON");
    for key in top.as_object().expect("an object").keys() {
        let found = ["", ".", "["]
            .iter()
            .any(|end| page.contains(&format!("| `{key}{end}")));
        assert!(found, "the page lacks {key}");
    }
}
