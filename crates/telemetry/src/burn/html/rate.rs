//! Plot of the burn rate over the last hour.

use std::fmt;

use super::frame::{BOTTOM, PlotFrame, TOP, write_grid_line, write_line_label, write_plot_start};
use crate::burn::counts::share;
use crate::burn::summary::SummaryRow;
use crate::burn::table::rate_text;
use crate::burn::{BurnAlert, UtcTime};

/// Time span of the plot, in seconds.
const SPAN_SECONDS: u64 = 3600;
/// Width of one step, in seconds.
const STEP_SECONDS: u64 = 60;
/// Steps that a rate covers: the five minutes of the short window of the fast rule.
const TRAILING_STEPS: u64 = 5;
/// Distance of two labels of the time axis, in seconds.
const TIME_LABEL_SECONDS: u64 = 600;
/// Lowest burn rate of the scale; lower ones are drawn at the bottom.
const MIN_RATE: f64 = 0.1;
/// Minimum number of decades shown, from [`MIN_RATE`].
const MIN_DECADES: u32 = 3;

/// Displays the burn rate on a logarithmic scale, because rates differ by orders of magnitude.
pub(super) struct RatePlot<'a> {
    pub id: &'a str,
    pub at: UtcTime,
    pub since: UtcTime,
    pub row: &'a SummaryRow,
}

impl fmt::Display for RatePlot<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let frame = PlotFrame::ending_at(self.at, SPAN_SECONDS, STEP_SECONDS);
        let points = trailing_rates(self.row, &frame);
        let scale = RateScale::fitting(&points, self.row.threshold(BurnAlert::Fast));
        writeln!(
            f,
            "<figure><figcaption>Burn rate over five minutes, last hour (logarithmic)</figcaption>"
        )?;
        write_plot_start(
            f,
            self.id,
            "Burn rate over the last hour",
            &self.description(&points),
        )?;
        frame.write_uncounted(f, self.since)?;
        frame.write_time_axis(f, TIME_LABEL_SECONDS, UtcTime::hour_minute)?;
        scale.write_grid(f)?;
        self.write_thresholds(f, &scale)?;
        write_curve(f, &frame, &scale, &points)?;
        self.write_threshold_labels(f, &scale)?;
        writeln!(f, "</svg></figure>")
    }
}

impl RatePlot<'_> {
    fn description(&self, points: &[RatePoint]) -> String {
        let highest = points.iter().map(|point| point.rate);
        let highest = highest.fold(0.0, f64::max);
        format!(
            "Highest {}; a fast burn starts at {}. Minutes without requests are left out.",
            rate_text(highest),
            rate_text(self.row.threshold(BurnAlert::Fast)),
        )
    }

    fn write_thresholds(&self, f: &mut fmt::Formatter<'_>, scale: &RateScale) -> fmt::Result {
        let fast = self.row.threshold(BurnAlert::Fast);
        write_grid_line(f, "limit limit-fast", scale.y(fast), "")?;
        write_grid_line(f, "limit limit-even", scale.y(1.0), "")
    }

    /// Writes the labels of the thresholds. Called after the curve is drawn, so that it does not
    /// cover them.
    fn write_threshold_labels(&self, f: &mut fmt::Formatter<'_>, scale: &RateScale) -> fmt::Result {
        let fast = self.row.threshold(BurnAlert::Fast);
        let label = format!("fast burn from {}", rate_text(fast));
        write_line_label(f, "text-fast", scale.y(fast), &label)?;
        write_line_label(f, "text-even", scale.y(1.0), "1x: budget lasts exactly")
    }
}

/// Burn rate over the [`TRAILING_STEPS`] minutes that end with the one that starts at `at`.
struct RatePoint {
    at: u64,
    rate: f64,
}

/// Returns burn rates over [`TRAILING_STEPS`] minutes each, because rates of single minutes jump
/// with each bad request.
///
/// Minutes at the start of the frame without a whole window before them are left out.
fn trailing_rates(row: &SummaryRow, frame: &PlotFrame) -> Vec<RatePoint> {
    let mut points = Vec::new();
    for (index, point) in row.recent.iter().enumerate() {
        let first = point
            .at
            .0
            .saturating_sub(STEP_SECONDS * (TRAILING_STEPS - 1));
        if first < frame.from {
            continue;
        }
        let window = row.recent[..=index].iter().rev();
        let window = window.take_while(|point| point.at.0 >= first);
        let (bad, all) = window.fold((0, 0), |(bad, all), point| {
            (bad + point.bad(), all + point.requests)
        });
        let rate = share(bad, all) / row.objective.error_budget();
        let at = point.at.0;
        points.push(RatePoint { at, rate });
    }
    points
}

/// Logarithmic vertical scale of burn rates.
struct RateScale {
    decades: u32,
}

impl RateScale {
    fn fitting(points: &[RatePoint], threshold: f64) -> Self {
        let rates = points.iter().map(|point| point.rate);
        let highest = rates.fold(threshold, f64::max);
        let mut decades = MIN_DECADES;
        while rate_at_decade(decades) < highest {
            decades += 1;
        }
        Self { decades }
    }

    fn y(&self, rate: f64) -> f64 {
        let part = (rate.max(MIN_RATE) / MIN_RATE).log10() / f64::from(self.decades);
        BOTTOM - (BOTTOM - TOP) * part.clamp(0.0, 1.0)
    }

    fn write_grid(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for decade in 0..=self.decades {
            let rate = rate_at_decade(decade);
            let label = if decade == 0 {
                "&lt;0.1x".to_owned()
            } else {
                format!("{rate:.0}x")
            };
            write_grid_line(f, "grid", self.y(rate), &label)?;
        }
        Ok(())
    }
}

/// Returns the burn rate at the upper end of `decade` decades from [`MIN_RATE`].
fn rate_at_decade(decade: u32) -> f64 {
    (0..decade).fold(MIN_RATE, |rate, _| rate * 10.0)
}

/// Writes a line for each run of consecutive minutes, and a dot for a run of one minute.
fn write_curve(
    f: &mut fmt::Formatter<'_>,
    frame: &PlotFrame,
    scale: &RateScale,
    points: &[RatePoint],
) -> fmt::Result {
    for run in points.chunk_by(|left, right| left.at + STEP_SECONDS == right.at) {
        let coordinates: Vec<_> = run
            .iter()
            .map(|point| (frame.x(point.at + STEP_SECONDS / 2), scale.y(point.rate)))
            .collect();
        if let [(x, y)] = coordinates.as_slice() {
            writeln!(
                f,
                "<circle class=\"dot\" cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"2.5\"/>"
            )?;
            continue;
        }
        write!(f, "<polyline class=\"curve\" points=\"")?;
        for (x, y) in coordinates {
            write!(f, "{x:.1},{y:.1} ")?;
        }
        writeln!(f, "\"/>")?;
    }
    Ok(())
}
