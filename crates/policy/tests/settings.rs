//! Settings in JSON, their defaults and their validation.

use sycamorelink_policy::{Leaning, PoolSettings};

#[test]
fn defaults_in_json() -> Result<(), serde_json::Error> {
    let text = serde_json::to_string_pretty(&PoolSettings::default())?;
    insta::assert_snapshot!(text);
    let back: PoolSettings = serde_json::from_str(&text)?;
    assert_eq!(back, PoolSettings::default());
    Ok(())
}

#[test]
fn every_leaning_is_valid() {
    for leaning in [
        Leaning::FewFalseEjections,
        Leaning::Balanced,
        Leaning::FastDetection,
    ] {
        let findings = PoolSettings::for_leaning(leaning).validate();
        assert_eq!(findings.0, vec![], "{leaning:?}");
    }
}

/// Contradictory settings would give a pool that ejects before it shifts weight, never ejects, or
/// lets one peer eject. All violations must be reported at once.
#[test]
fn contradictory_settings_are_refused() -> Result<(), serde_json::Error> {
    let settings: PoolSettings = serde_json::from_str(
        r#"{
            "shift-from": 20.0,
            "shift-full": 12.0,
            "eject-at": 8.0,
            "peer-share": 1.0,
            "usual-rate": 0.5,
            "sick-rate": 0.2,
            "report-step": 30.0,
            "report-size": 0,
            "eject-for": "10m",
            "eject-longest": "1m",
            "forgive-after": "1s",
            "fade": "1s"
        }"#,
    )?;
    insta::assert_snapshot!(settings.validate());
    Ok(())
}

#[test]
fn durations_need_a_unit() {
    let settings = serde_json::from_str::<PoolSettings>(r#"{"fade": "20"}"#);
    assert!(settings.is_err());
    let settings = serde_json::from_str::<PoolSettings>(r#"{"fadee": "20s"}"#);
    assert!(settings.is_err());
}
