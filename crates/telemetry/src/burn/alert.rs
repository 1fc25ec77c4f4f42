//! Burn rate alerts over two windows each.
//!
//! The burn rate is the share of bad requests over the share that the objective allows: at 1 the
//! budget lasts exactly for its window, at 14.4 a budget for 30 days is used up in 50 hours. The
//! rules are the multi-window alerts of the Site Reliability Workbook: the long window shows that
//! the burn is significant, the short one that it is still going on, and both must be at or over
//! the threshold.
//!
//! | Rule | Long | Short | Threshold | Part of a 30-day budget used in the long window |
//! |---|---|---|---|---|
//! | fast | 1 h | 5 min | 14.4 | 2% |
//! | slow | 6 h | 30 min | 6 | 5% |
//! | drift | 3 d | 6 h | 1 | 10% |

use std::fmt;

use serde::{Deserialize, Serialize};

use super::counts::as_float;
use super::report::BurnRow;
use super::{BurnCounts, BurnObjective, BurnWindow, WindowCoverage};

/// Minimum number of bad requests in the long window for a rule to hold.
///
/// With one request a minute, a single bad request puts the burn rate far over every threshold.
/// Services with frequent requests have more than three bad ones at any threshold.
const MIN_BAD_REQUESTS: u64 = 3;

/// Severity of a burn.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum BurnAlert {
    /// Within the budget.
    #[default]
    Quiet,
    /// The budget will not last for its window; can wait for working hours.
    Drift,
    /// A large part of the budget is used up within about a day.
    Slow,
    /// Callers are affected now.
    Fast,
}

impl BurnAlert {
    /// Every state, most severe first.
    pub const ALL: [Self; 4] = [Self::Fast, Self::Slow, Self::Drift, Self::Quiet];

    /// Returns the name used in reports and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Drift => "drift",
            Self::Slow => "slow",
            Self::Fast => "fast",
        }
    }

    /// Returns the state of the most severe rule that holds for the row.
    #[must_use]
    pub fn of(row: &BurnRow, coverage: &WindowCoverage) -> Self {
        BurnRule::ALL
            .iter()
            .find(|rule| rule.holds(row, coverage))
            .map_or(Self::Quiet, |rule| rule.alert)
    }
}

impl fmt::Display for BurnAlert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A burn rate threshold that two windows must reach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnRule {
    /// State raised while the rule holds.
    pub alert: BurnAlert,
    /// Window that shows that the burn is significant.
    pub long: BurnWindow,
    /// Window that shows that the burn is still going on.
    pub short: BurnWindow,
    /// Burn rate from which the rule holds, before [`Self::threshold`] adapts it.
    rate: f64,
    /// Share of bad requests that always reaches the threshold.
    ///
    /// An objective of 90% burns at 10 at most, so a threshold of 14.4 would not be reached even if
    /// every request failed.
    sufficient_bad_share: f64,
    /// Whether time that no daemon counted is taken to have only good requests.
    ///
    /// Otherwise a daemon started ten minutes ago with a few bad requests would show the rate of
    /// these ten minutes as that of six hours, and every replacement of a daemon could raise an
    /// alert. The fast rule does not do so, because it must not wait for an hour after each start.
    assume_uncounted_good: bool,
}

impl BurnRule {
    /// Every rule, most severe first.
    pub const ALL: [Self; 3] = [
        Self {
            alert: BurnAlert::Fast,
            long: BurnWindow::OneHour,
            short: BurnWindow::FiveMinutes,
            rate: 14.4,
            sufficient_bad_share: 0.5,
            assume_uncounted_good: false,
        },
        Self {
            alert: BurnAlert::Slow,
            long: BurnWindow::SixHours,
            short: BurnWindow::HalfHour,
            rate: 6.0,
            sufficient_bad_share: 0.25,
            assume_uncounted_good: true,
        },
        Self {
            alert: BurnAlert::Drift,
            long: BurnWindow::ThreeDays,
            short: BurnWindow::SixHours,
            rate: 1.0,
            sufficient_bad_share: 0.25,
            assume_uncounted_good: true,
        },
    ];

    /// Returns the burn rate from which the rule holds for an objective.
    ///
    /// At least 1, the rate at which the budget lasts exactly for its window.
    #[must_use]
    pub fn threshold(&self, objective: &BurnObjective) -> f64 {
        let reachable = self.sufficient_bad_share / objective.error_budget();
        self.rate.min(reachable).max(1.0)
    }

    /// Returns whether both windows of the row reach the threshold.
    #[must_use]
    pub fn holds(&self, row: &BurnRow, coverage: &WindowCoverage) -> bool {
        let threshold = self.threshold(&row.objective);
        let counted_part = if self.assume_uncounted_good {
            coverage.get(self.long)
        } else {
            1.0
        };
        let long = row.counts(self.long);
        let short = row.counts(self.short);
        long.bad() >= MIN_BAD_REQUESTS
            && reaches_threshold(
                long,
                &row.objective,
                threshold / counted_part.max(f64::EPSILON),
            )
            && reaches_threshold(short, &row.objective, threshold)
    }
}

/// Returns the share of bad requests divided by the share that the objective allows.
#[must_use]
pub fn burn_rate(counts: &BurnCounts, objective: &BurnObjective) -> f64 {
    counts.bad_share() / objective.error_budget()
}

/// Returns whether the burn rate reaches the threshold, with a tolerance for rounding errors.
fn reaches_threshold(counts: &BurnCounts, objective: &BurnObjective, threshold: f64) -> bool {
    let allowed = threshold * objective.error_budget() * as_float(counts.total());
    counts.bad() > 0 && as_float(counts.bad()) >= allowed * (1.0 - 1e-9)
}
