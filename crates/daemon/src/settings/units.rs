//! Durations and sizes with units, as written in settings and command-line arguments.

use std::time::Duration;

use sycamorelink_core::unit;
use sycamorelink_core::{DurationText, LenientSyntax, SizeText, UnitError};

/// `serde_with` adapter for a duration such as `"250ms"`; spaces around the number are allowed.
pub type UnitDuration = DurationText<LenientSyntax>;

/// `serde_with` adapter for a size in bytes such as `"64KB"`; spaces around the number are allowed.
pub type UnitBytes = SizeText<LenientSyntax>;

/// Parses a duration such as `"250ms"`.
///
/// # Errors
///
/// When the number or the unit is missing, or the value does not fit.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    unit::parse_duration::<LenientSyntax>(text)
}
