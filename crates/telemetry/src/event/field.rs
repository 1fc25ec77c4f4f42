//! Escaping of field values in the log.

use std::fmt::{self, Write};

/// Displays a value with its control characters escaped.
///
/// Keeps a caller from forging a log line by a line break in a path or header that is logged as a
/// reason. Field values are the only part of a line that comes from outside.
pub(super) struct EscapedText<'a>(pub &'a dyn fmt::Display);

impl fmt::Display for EscapedText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(ControlEscaper(f), "{}", self.0)
    }
}

/// Writer that escapes control characters.
struct ControlEscaper<'a, 'f>(&'a mut fmt::Formatter<'f>);

impl Write for ControlEscaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for part in text.split_inclusive(char::is_control) {
            let plain = part.trim_end_matches(char::is_control);
            self.0.write_str(plain)?;
            for character in part[plain.len()..].chars() {
                write!(self.0, "{}", character.escape_default())?;
            }
        }
        Ok(())
    }
}
