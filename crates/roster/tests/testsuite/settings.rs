use sycamorelink_roster::RosterSettings;

#[test]
fn defaults_are_valid_and_round_trip() {
    let settings = RosterSettings::default();
    assert_eq!(settings.validate().into_result(), Ok(()));
    let text = serde_json::to_string(&settings).expect("serializes");
    let back: RosterSettings = serde_json::from_str(&text).expect("parses");
    assert_eq!(back, settings);
}

#[test]
fn findings_name_the_setting() {
    let text = r#"{
        "probe_interval": "500ms",
        "suspicion_longest": "1s",
        "fanout": 0,
        "bytes_per_second": 10,
        "datagram_bytes": 9000
    }"#;
    let settings: RosterSettings = serde_json::from_str(text).expect("parses");
    insta::assert_snapshot!(settings.validate().to_string());
}

#[test]
fn duration_without_a_unit_is_rejected() {
    let error = serde_json::from_str::<RosterSettings>(r#"{"probe_interval": "500"}"#);
    insta::assert_snapshot!(error.expect_err("refused").to_string());
}
