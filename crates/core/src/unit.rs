//! Durations and sizes written with their units, such as `"250ms"` and `"64KB"`.
//!
//! ```text
//! "250ms" ── parse_duration ──▶ Duration ── format_duration ──▶ "250ms"
//! "64KB"  ── parse_size ──────▶ bytes    ── format_size ──────▶ "64KB"
//! ```
//!
//! The serialization adapters work with `serde_with` and `schemars`:
//! `#[serde_as(as = "DurationText")] #[schemars(with = "DurationText")]`.
//!
//! A value is a whole number with a single unit, so that formatting and parsing round-trip.
//!
//! Contracts use the [`ExactSyntax`], since the set of texts that readers of the log accept must
//! not change. Settings and command-line arguments, which people type, use the [`LenientSyntax`],
//! which also accepts `" 250 ms"`.

use std::borrow::Cow;
use std::marker::PhantomData;
use std::time::Duration;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

/// Value of `format` in the JSON schema of a duration.
pub const DURATION_FORMAT: &str = "duration-text";
/// Value of `format` in the JSON schema of a size.
pub const SIZE_FORMAT: &str = "size-text";

/// Units of one quantity.
struct UnitTable {
    /// Name of the quantity in error messages.
    kind: &'static str,
    example: &'static str,
    /// Name of each unit and its factor in the smallest unit, greatest first.
    units: &'static [(&'static str, u64)],
}

/// Units of a duration, in nanoseconds.
const DURATION_TABLE: UnitTable = UnitTable {
    kind: "time",
    example: "250ms",
    units: &[
        ("d", 86_400_000_000_000),
        ("h", 3_600_000_000_000),
        ("m", 60_000_000_000),
        ("s", 1_000_000_000),
        ("ms", 1_000_000),
        ("us", 1_000),
        ("ns", 1),
    ],
};

/// Units of a size, in bytes. One KB is 1,024 bytes.
const SIZE_TABLE: UnitTable = UnitTable {
    kind: "size",
    example: "64KB",
    units: &[("GB", 1 << 30), ("MB", 1 << 20), ("KB", 1 << 10), ("B", 1)],
};

/// Error for text that is not a value with a unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// The part before the unit is not a whole number.
    #[error("{text:?} is not a whole number with a unit, as in {example:?}")]
    InvalidNumber {
        /// Input text, as given.
        text: String,
        /// Example of a valid value, quoted in the message.
        example: &'static str,
    },
    /// The unit is missing or unknown.
    #[error("{text:?} has no unit of {kind}; write one of {units}, as in {example:?}")]
    UnknownUnit {
        /// Input text, as given.
        text: String,
        /// The quantity, `time` or `size`.
        kind: &'static str,
        /// Names of the known units, separated by commas.
        units: String,
        /// Example of a valid value, quoted in the message.
        example: &'static str,
    },
    /// The value exceeds 64 bits in the smallest unit.
    #[error("{text:?} is too large")]
    TooLarge {
        /// Input text, as given.
        text: String,
    },
}

/// Syntax accepted for a value with a unit.
pub trait UnitSyntax {
    /// Splits a text into digits and unit, and removes the extra characters that the syntax allows.
    fn split(text: &str) -> (&str, &str);
}

/// Syntax of digits directly followed by a unit, without any other characters.
#[derive(Clone, Copy, Debug)]
pub struct ExactSyntax;

impl UnitSyntax for ExactSyntax {
    fn split(text: &str) -> (&str, &str) {
        let unit = text.find(|letter: char| letter.is_ascii_alphabetic());
        text.split_at(unit.unwrap_or(text.len()))
    }
}

/// Syntax like [`ExactSyntax`] that also allows blanks around the digits and the unit, and a
/// leading plus sign.
#[derive(Clone, Copy, Debug)]
pub struct LenientSyntax;

impl UnitSyntax for LenientSyntax {
    fn split(text: &str) -> (&str, &str) {
        let (digits, unit) = ExactSyntax::split(text.trim());
        let digits = digits.trim_end();
        (digits.strip_prefix('+').unwrap_or(digits), unit)
    }
}

/// Parses a duration such as `"250ms"`.
///
/// # Errors
///
/// Fails if the text is not a whole number followed by one of `ns`, `us`, `ms`, `s`, `m`, `h`, `d`,
/// or if the duration is longer than 584 years.
pub fn parse_duration<F>(text: &str) -> Result<Duration, UnitError>
where
    F: UnitSyntax,
{
    DURATION_TABLE.parse::<F>(text).map(Duration::from_nanos)
}

/// Parses a size such as `"64KB"` and returns it in bytes.
///
/// # Errors
///
/// Fails if the text is not a whole number followed by one of `B`, `KB`, `MB`, `GB`, or if the size
/// exceeds 64 bits.
pub fn parse_size<F>(text: &str) -> Result<u64, UnitError>
where
    F: UnitSyntax,
{
    SIZE_TABLE.parse::<F>(text)
}

/// Formats a duration with the greatest unit that divides it, such as `"250ms"`.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
    if nanos == 0 {
        return "0s".to_owned();
    }
    DURATION_TABLE.format(nanos)
}

/// Formats a size in bytes with the greatest unit that divides it, such as `"64KB"`.
#[must_use]
pub fn format_size(size: u64) -> String {
    if size == 0 {
        return "0B".to_owned();
    }
    SIZE_TABLE.format(size)
}

impl UnitTable {
    fn parse<F>(&self, text: &str) -> Result<u64, UnitError>
    where
        F: UnitSyntax,
    {
        let (digits, unit) = F::split(text);
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(self.invalid_number(text));
        }
        let mut units = self.units.iter();
        let entry = units.find(|(name, _)| *name == unit);
        let (_, factor) = entry.ok_or_else(|| self.unknown_unit(text))?;
        let number: Option<u64> = digits.parse().ok();
        number
            .and_then(|number| number.checked_mul(*factor))
            .ok_or_else(|| too_large(text))
    }

    fn invalid_number(&self, text: &str) -> UnitError {
        UnitError::InvalidNumber {
            text: text.to_owned(),
            example: self.example,
        }
    }

    fn unknown_unit(&self, text: &str) -> UnitError {
        let names: Vec<&str> = self.units.iter().map(|(name, _)| *name).collect();
        UnitError::UnknownUnit {
            text: text.to_owned(),
            kind: self.kind,
            units: names.join(", "),
            example: self.example,
        }
    }

    fn format(&self, value: u64) -> String {
        let mut units = self.units.iter();
        units
            .find(|(_, factor)| value.is_multiple_of(*factor))
            .map_or_else(
                || value.to_string(),
                |(name, factor)| format!("{}{name}", value / factor),
            )
    }
}

fn too_large(text: &str) -> UnitError {
    UnitError::TooLarge {
        text: text.to_owned(),
    }
}

/// Serialization adapter for a [`Duration`] written as `"250ms"`.
#[derive(Clone, Copy, Debug)]
pub struct DurationText<F = ExactSyntax>(PhantomData<F>);

impl<F> SerializeAs<Duration> for DurationText<F> {
    fn serialize_as<S>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_duration(*source))
    }
}

impl<'de, F> DeserializeAs<'de, Duration> for DurationText<F>
where
    F: UnitSyntax,
{
    fn deserialize_as<D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        parse_duration::<F>(&text).map_err(D::Error::custom)
    }
}

impl<F> JsonSchema for DurationText<F> {
    fn schema_name() -> Cow<'static, str> {
        Cow::Borrowed("DurationText")
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": DURATION_FORMAT })
    }

    fn inline_schema() -> bool {
        true
    }
}

/// Serialization adapter for a size in bytes written as `"64KB"`.
#[derive(Clone, Copy, Debug)]
pub struct SizeText<F = ExactSyntax>(PhantomData<F>);

impl<F> SerializeAs<u64> for SizeText<F> {
    fn serialize_as<S>(source: &u64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_size(*source))
    }
}

impl<'de, F> DeserializeAs<'de, u64> for SizeText<F>
where
    F: UnitSyntax,
{
    fn deserialize_as<D>(deserializer: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        parse_size::<F>(&text).map_err(D::Error::custom)
    }
}

impl<F> SerializeAs<usize> for SizeText<F> {
    fn serialize_as<S>(source: &usize, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_size(*source as u64))
    }
}

impl<'de, F> DeserializeAs<'de, usize> for SizeText<F>
where
    F: UnitSyntax,
{
    fn deserialize_as<D>(deserializer: D) -> Result<usize, D::Error>
    where
        D: Deserializer<'de>,
    {
        let size: u64 = <Self as DeserializeAs<'de, u64>>::deserialize_as(deserializer)?;
        usize::try_from(size).map_err(|_| D::Error::custom("the size does not fit this machine"))
    }
}

impl<F> JsonSchema for SizeText<F> {
    fn schema_name() -> Cow<'static, str> {
        Cow::Borrowed("SizeText")
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": SIZE_FORMAT })
    }

    fn inline_schema() -> bool {
        true
    }
}
