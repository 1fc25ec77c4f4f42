//! UTC times in reports.

use std::fmt;

use serde::{Serialize, Serializer};

const SECONDS_PER_DAY: u64 = 86_400;

/// A time in seconds since the Unix epoch, displayed in UTC as `2026-01-31T08:15:00Z`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UtcTime(pub u64);

impl UtcTime {
    /// Returns hours and minutes, for example `08:15`.
    #[must_use]
    pub fn hour_minute(self) -> String {
        let (hour, minute, _) = self.time_of_day();
        format!("{hour:02}:{minute:02}")
    }

    /// Returns month and day, for example `01-31`.
    #[must_use]
    pub fn month_day(self) -> String {
        let (_, month, day) = self.date();
        format!("{month:02}-{day:02}")
    }

    /// Returns the seconds since midnight UTC.
    #[must_use]
    pub const fn since_midnight(self) -> u64 {
        self.0 % SECONDS_PER_DAY
    }

    fn time_of_day(self) -> (u64, u64, u64) {
        let seconds = self.since_midnight();
        (seconds / 3600, seconds / 60 % 60, seconds % 60)
    }

    /// Returns year, month and day.
    ///
    /// Counts days from 1 March of year 0 in eras of 400 years, so that a leap day is the last day
    /// of its year.
    fn date(self) -> (u64, u64, u64) {
        let days = self.0 / SECONDS_PER_DAY + 719_468;
        let era = days / 146_097;
        let day_of_era = days % 146_097;
        let year =
            (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
        let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
        let month_from_march = (5 * day_of_year + 2) / 153;
        let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
        let month = if month_from_march < 10 {
            month_from_march + 3
        } else {
            month_from_march - 9
        };
        let year = year + era * 400 + u64::from(month <= 2);
        (year, month, day)
    }
}

impl fmt::Display for UtcTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = self.date();
        let (hour, minute, second) = self.time_of_day();
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z"
        )
    }
}

impl Serialize for UtcTime {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}
