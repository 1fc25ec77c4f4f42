//! Tests for settings in JSON and for the findings of their validation.

use sycamorelink_limits::{
    BudgetSettings, CrashSettings, GateSettings, OverloadSettings, ShareSettings,
};

#[test]
fn defaults_are_valid_and_serialized_with_units() {
    let shares = ShareSettings::default();
    let gate = GateSettings::default();
    let budget = BudgetSettings::default();
    let crash = CrashSettings::default();
    assert_eq!(shares.validate("shares"), Ok(()));
    assert_eq!(gate.validate("gate"), Ok(()));
    assert_eq!(budget.validate("retries"), Ok(()));
    assert_eq!(crash.validate("crash"), Ok(()));
    let text = [
        serde_json::to_string_pretty(&shares).expect("plain data"),
        serde_json::to_string_pretty(&gate).expect("plain data"),
        serde_json::to_string_pretty(&budget).expect("plain data"),
        serde_json::to_string_pretty(&crash).expect("plain data"),
    ];
    insta::assert_snapshot!(text.join("\n"));
}

#[test]
fn findings_are_reported_together() {
    let shares: ShareSettings = serde_json::from_str(
        r#"{"base_percent": 101, "drift_percent": 0, "lease": "1s", "long_lease": "500ms",
            "right_hold": "500ms"}"#,
    )
    .expect("well formed");
    let gate: GateSettings =
        serde_json::from_str(r#"{"slots": 0, "warm_up": "1h"}"#).expect("well formed");
    let crash: CrashSettings =
        serde_json::from_str(r#"{"remember": "1s", "capacity": 1, "turn_wait": "2m"}"#)
            .expect("well formed");
    let findings = [
        shares.validate("shares").expect_err("wrong").to_string(),
        gate.validate("gate").expect_err("wrong").to_string(),
        crash.validate("crash").expect_err("wrong").to_string(),
    ];
    insta::assert_snapshot!(findings.join("\n"));
}

#[test]
fn durations_without_a_unit_are_rejected() {
    let error = serde_json::from_str::<GateSettings>(r#"{"warm_up": "5"}"#).expect_err("no unit");
    insta::assert_snapshot!(error);
}

#[test]
fn overload_control_is_off_by_default_and_reports_all_findings() {
    let defaults = OverloadSettings::default();
    assert_eq!(defaults.objective_from, None);
    assert_eq!(defaults.validate("overload"), Ok(()));
    let overload: OverloadSettings = serde_json::from_str(
        r#"{"objective_from": "0s", "queue": 0, "memory": "1KB", "report_interval": "10ms",
            "report_size": "1B"}"#,
    )
    .expect("well formed");
    let findings = overload.validate("overload").expect_err("wrong");
    insta::assert_snapshot!(findings.to_string());
}
