//! Percent-decoding of paths and queries (RFC 3986, section 2.1).

/// Returns the decoded segments of a path, or `None` when an escape is invalid or the result is not
/// UTF-8.
///
/// The path is split before decoding, because a name may contain a `/` written as `%2F`.
pub(super) fn path_segments(path: &str) -> Option<Vec<String>> {
    path.split('/')
        .filter(|segment| !segment.is_empty())
        .map(percent_decode)
        .collect()
}

/// Returns the path with only those escapes that a `/` in a name needs.
///
/// The audit trail matches this form, so that it recognizes the same calls as the router, which
/// decodes segments. Otherwise a change sent to `/v1/%63ontracts/...` would be made but not
/// audited. A path that cannot be decoded matches no route and is returned as it is.
pub(super) fn canonical_path(path: &str) -> String {
    let Some(segments) = path_segments(path) else {
        return path.to_owned();
    };
    let escaped = segments
        .iter()
        .map(|segment| format!("/{}", segment.replace('/', "%2F")));
    escaped.collect()
}

/// Returns the decoded value of a key in a query, or `None` when it is absent or invalid.
pub(super) fn query_value(query: &str, name: &str) -> Option<String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| percent_decode(value))
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, following @ ..] = rest {
        rest = following;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let [high, low, unread @ ..] = following else {
            return None;
        };
        bytes.push(hex_digit(*high)? << 4 | hex_digit(*low)?);
        rest = unread;
    }
    String::from_utf8(bytes).ok()
}

fn hex_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
