//! Time windows of burn rates.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::counts::as_float;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

/// Time window that ends at the time of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BurnWindow {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Half an hour.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl BurnWindow {
    /// Every window, shortest first.
    pub const ALL: [Self; 5] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::OneHour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length of the window.
    #[must_use]
    pub const fn length(self) -> Duration {
        Duration::from_secs(match self {
            Self::FiveMinutes => 5 * MINUTE,
            Self::HalfHour => 30 * MINUTE,
            Self::OneHour => HOUR,
            Self::SixHours => 6 * HOUR,
            Self::ThreeDays => 3 * DAY,
        })
    }

    /// Returns the name used in reports and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::OneHour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }

    /// Returns the index in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for BurnWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Part of each window that the daemons of a report have counted on average, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowCoverage([f64; 5]);

impl WindowCoverage {
    /// Every window is fully counted.
    pub const FULL: Self = Self([1.0; 5]);

    /// Returns the coverage of daemons that have counted for these times; 0 for no daemons.
    #[must_use]
    pub fn of(times: &[Duration]) -> Self {
        Self(BurnWindow::ALL.map(|window| mean_coverage(times, window.length())))
    }

    /// Returns the part of a window, from 0 to 1.
    #[must_use]
    pub const fn get(&self, window: BurnWindow) -> f64 {
        self.0[window.index()]
    }
}

fn mean_coverage(times: &[Duration], length: Duration) -> f64 {
    let parts = times
        .iter()
        .map(|time| time.min(&length).as_secs_f64() / length.as_secs_f64());
    let total = as_float(u64::try_from(times.len()).unwrap_or(u64::MAX));
    parts.fold(0.0, |sum, part| sum + part) / total.max(1.0)
}
