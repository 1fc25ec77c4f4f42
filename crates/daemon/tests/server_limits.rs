//! Reading of the limits that backend servers name.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use sycamorelink_daemon::adapters::read_limit;

const NAME: HeaderName = HeaderName::from_static("x-backend-limit");

fn describe(values: &[&str]) -> String {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a header value");
        headers.append(NAME, value);
    }
    format!("{values:?}: {:?}", read_limit(&headers, &NAME))
}

// Guards against a malformed limit that is taken for one, such as a negative number that would keep
// all requests away.
#[test]
fn only_decimal_numbers_are_limits() {
    let huge = "9".repeat(400);
    let lines = [
        describe(&[]),
        describe(&["2"]),
        describe(&["1.9"]),
        describe(&[" 0.5 "]),
        describe(&["0"]),
        describe(&["1000000000000"]),
        describe(&["3", "1.5", "x"]),
        describe(&[""]),
        describe(&["-1"]),
        describe(&["+2"]),
        describe(&["1e3"]),
        describe(&["inf"]),
        describe(&["NaN"]),
        describe(&["."]),
        describe(&["1,5"]),
        describe(&["2 a second"]),
        describe(&[&huge]).replace(&huge, "400 digits"),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
