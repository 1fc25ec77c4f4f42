//! Parsing and formatting of durations and sizes with units.

use std::time::Duration;

use sycamorelink_core::unit::{format_duration, format_size, parse_duration, parse_size};
use sycamorelink_core::{ExactSyntax, LenientSyntax};

#[test]
fn formatted_values_round_trip() {
    let durations = ["0s", "1ns", "1500us", "250ms", "90s", "2m", "36h", "7d"];
    for text in durations {
        assert_eq!(
            format_duration(parse_duration::<ExactSyntax>(text).unwrap()),
            text
        );
    }
    for text in ["0B", "1B", "1500B", "64KB", "3MB", "2GB"] {
        assert_eq!(format_size(parse_size::<ExactSyntax>(text).unwrap()), text);
    }
    assert_eq!(parse_size::<ExactSyntax>("64KB"), Ok(65_536));
    assert_eq!(
        parse_duration::<ExactSyntax>("60s"),
        Ok(Duration::from_mins(1))
    );
}

#[test]
fn invalid_text_is_rejected_with_an_example() {
    let errors: Vec<String> = ["", "250", "ms", "2 s", "1.5s", "-1s", "99999999999d", "1S"]
        .iter()
        .map(|text| parse_duration::<ExactSyntax>(text).unwrap_err().to_string())
        .collect();
    insta::assert_debug_snapshot!(errors);
    let errors: Vec<String> = ["64", "64kb", "KB", "99999999999GB"]
        .iter()
        .map(|text| parse_size::<ExactSyntax>(text).unwrap_err().to_string())
        .collect();
    insta::assert_debug_snapshot!(errors);
}

#[test]
fn lenient_syntax_allows_blanks_and_a_plus_sign() {
    for text in ["250ms", " 250 ms ", "+250ms"] {
        assert_eq!(
            parse_duration::<LenientSyntax>(text),
            Ok(Duration::from_millis(250))
        );
    }
    assert_eq!(parse_size::<LenientSyntax>("64 KB"), Ok(65_536));
    for text in ["2 5s", "2.5 s", "++2s", "2 s x", "s"] {
        assert!(parse_duration::<LenientSyntax>(text).is_err(), "{text:?}");
    }
}
