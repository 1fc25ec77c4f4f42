//! Validation and prefix matching of request paths.
//!
//! A backend server may interpret a path differently than this fleet, because it may decode
//! escapes, resolve dot segments or merge slashes. An ambiguous path could reach a non-idempotent
//! operation through the route of an idempotent one and be retried. Therefore only paths in normal
//! form are accepted. All others are refused and never rewritten.

/// Reason for which a path is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// The path does not start with `/`.
    #[error("must start with '/'")]
    NotAbsolute,
    /// The path has an empty segment.
    #[error("has an empty segment ('//')")]
    EmptySegment,
    /// The path has a segment `.` or `..`, with or without parameters.
    #[error("has a dot segment")]
    DotSegment,
    /// The path escapes an unreserved character, a separator or a control character.
    #[error("escapes a letter, digit, dot, slash or other character that may not be escaped")]
    NeedlessEscape,
    /// A `%` is not followed by two hexadecimal digits.
    #[error("has a '%' without two hexadecimal digits")]
    BrokenEscape,
    /// The path contains a character that is not allowed in paths.
    #[error("has a backslash, space, control or other character that no path may have")]
    BadCharacter,
    /// The path is longer than [`MAX_PATH_BYTES`].
    #[error("is too long")]
    TooLong,
}

/// Maximum length of a path without its query, in bytes.
pub const MAX_PATH_BYTES: usize = 4096;

/// Returns the path without its query and fragment.
#[must_use]
pub fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or_default()
}

/// Checks that a path is in normal form. Ignores the query.
///
/// # Errors
///
/// Returns the first problem of the path.
pub fn check(path: &str) -> Result<(), PathError> {
    let path = without_query(path);
    if path.len() > MAX_PATH_BYTES {
        return Err(PathError::TooLong);
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Err(PathError::NotAbsolute);
    };
    check_characters(rest.as_bytes())?;
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        // An empty last segment is a trailing slash, which is allowed.
        if segment.is_empty() && segments.peek().is_some() {
            return Err(PathError::EmptySegment);
        }
        // Some servers remove `;parameters` before they resolve dot segments.
        let name = segment.split(';').next().unwrap_or_default();
        if name == "." || name == ".." {
            return Err(PathError::DotSegment);
        }
        if name.is_empty() && !segment.is_empty() {
            return Err(PathError::EmptySegment);
        }
    }
    Ok(())
}

fn check_characters(bytes: &[u8]) -> Result<(), PathError> {
    let mut rest = bytes;
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte == b'%' {
            rest = check_escape(after)?;
        } else if !is_path_character(byte) {
            return Err(PathError::BadCharacter);
        }
    }
    Ok(())
}

fn check_escape(after: &[u8]) -> Result<&[u8], PathError> {
    let digit = |index: usize| {
        let byte = after.get(index).copied().unwrap_or_default();
        char::from(byte).to_digit(16).ok_or(PathError::BrokenEscape)
    };
    let value = digit(0)? * 16 + digit(1)?;
    let byte = u8::try_from(value).map_err(|_| PathError::BrokenEscape)?;
    let not_allowed = is_unreserved(byte)
        || byte.is_ascii_control()
        || matches!(byte, b'/' | b'\\' | b'%' | b';');
    if not_allowed {
        return Err(PathError::NeedlessEscape);
    }
    Ok(&after[2..])
}

const fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

const fn is_path_character(byte: u8) -> bool {
    is_unreserved(byte)
        || matches!(
            byte,
            b'/' | b'!'
                | b'$'
                | b'&'
                | b'\''
                | b'('
                | b')'
                | b'*'
                | b'+'
                | b','
                | b';'
                | b'='
                | b':'
                | b'@'
        )
}

/// Returns a prefix without its trailing slash: `/orders/` and `/orders` are the same prefix, and
/// `/` is the empty prefix.
#[must_use]
pub fn canonical_prefix(prefix: &str) -> &str {
    prefix.strip_suffix('/').unwrap_or(prefix)
}

/// Returns the prefixes of a checked path at segment boundaries, longest first, down to the empty
/// prefix.
#[must_use]
pub fn prefixes(path: &str) -> PathPrefixes<'_> {
    PathPrefixes {
        rest: Some(canonical_prefix(without_query(path))),
    }
}

/// Iterator over the prefixes of a path, longest first; see [`prefixes`].
#[derive(Clone, Debug)]
pub struct PathPrefixes<'a> {
    rest: Option<&'a str>,
}

impl<'a> Iterator for PathPrefixes<'a> {
    type Item = &'a str;

    fn next(&mut self) -> Option<Self::Item> {
        let current = self.rest?;
        self.rest = current.rfind('/').map(|slash| &current[..slash]);
        Some(current)
    }
}
