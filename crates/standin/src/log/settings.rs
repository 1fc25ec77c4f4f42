//! Settings and failure modes of the log stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Settings of a log stand-in. Missing fields take their defaults.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogStandinSettings {
    /// Rate limit of appends over all streams, in appends per second; excess appends get a 429.
    pub appends_per_second: u32,
    /// Maximum number of records kept per stream.
    pub retain_records: usize,
    /// Age after which records are dropped, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retain_age_ms")]
    pub retain_age: Duration,
    /// Maximum size of a record in bytes.
    pub record_bytes: usize,
    /// Maximum number of records in one page.
    pub page_records: usize,
    /// Maximum duration of a long poll, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_limit_ms")]
    pub wait_limit: Duration,
}

impl Default for LogStandinSettings {
    fn default() -> Self {
        Self {
            appends_per_second: 400,
            retain_records: 100_000,
            retain_age: Duration::from_hours(24),
            record_bytes: 1024 * 1024,
            page_records: 1000,
            wait_limit: Duration::from_secs(30),
        }
    }
}

/// Failure mode of the log stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "mode")]
pub enum LogMode {
    /// Normal operation.
    #[default]
    Up,
    /// Closes every connection without a reply; no append takes effect.
    Down,
    /// Answers every request with a 503; no append takes effect.
    Unavailable,
    /// Accepts requests and never replies; no append takes effect.
    Hang,
    /// Delays every request. An append takes effect after the delay, even if its client has
    /// disconnected.
    Slow {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Applies appends, then closes the connection without a reply. Reads work.
    LoseReplies,
    /// Answers appends with a 503 without applying them. Reads work.
    AppendsDown,
    /// Answers reads with a 503. Appends work.
    ReadsDown,
}
