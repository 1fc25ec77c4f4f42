//! Plot of bad requests by cause over the last three days.

use std::collections::BTreeMap;
use std::fmt;

use super::frame::{BOTTOM, PlotFrame, TOP, write_grid_line, write_plot_start};
use crate::burn::counts::as_float;
use crate::burn::summary::{SummaryPoint, SummaryRow};
use crate::burn::{BurnOutcome, BurnWindow, UtcTime};

/// Time span of the plot, in seconds.
const SPAN_SECONDS: u64 = 3 * 24 * 3600;
/// Width of one bar, in seconds.
const STEP_SECONDS: u64 = 3600;
/// Distance of two labels of the time axis, in seconds.
const TIME_LABEL_SECONDS: u64 = 12 * 3600;
/// Space between two bars, in SVG units.
const BAR_GAP: f64 = 1.0;
/// Number of grid lines above zero.
const GRID_STEPS: u64 = 4;

/// Displays the bad requests of each hour as bars stacked by cause, with a legend of the counts.
pub(super) struct CausePlot<'a> {
    pub id: &'a str,
    pub at: UtcTime,
    pub since: UtcTime,
    pub row: &'a SummaryRow,
}

impl fmt::Display for CausePlot<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let frame = PlotFrame::ending_at(self.at, SPAN_SECONDS, STEP_SECONDS);
        let highest = highest_total(&self.row.long);
        writeln!(
            f,
            "<figure><figcaption>Bad requests by cause, last three days by hour</figcaption>"
        )?;
        let description = format!("Stacked bars; the worst hour has {highest} bad requests.");
        write_plot_start(f, self.id, "Bad requests by cause", &description)?;
        frame.write_uncounted(f, self.since)?;
        frame.write_time_axis(f, TIME_LABEL_SECONDS, time_label)?;
        let scale = CountScale::fitting(highest);
        scale.write_grid(f)?;
        for point in &self.row.long {
            write_bar(f, &frame, &scale, point)?;
        }
        writeln!(f, "</svg>")?;
        let causes = &self.row.window(BurnWindow::ThreeDays).causes;
        write!(f, "{}</figure>", CauseLegend(causes))
    }
}

fn time_label(at: UtcTime) -> String {
    if at.since_midnight() == 0 {
        at.month_day()
    } else {
        at.hour_minute()
    }
}

fn highest_total(points: &[SummaryPoint]) -> u64 {
    points.iter().map(SummaryPoint::bad).max().unwrap_or(0)
}

/// Vertical scale of counts.
struct CountScale {
    top: u64,
}

impl CountScale {
    /// Creates a scale up to at least `highest` whose steps are 1, 2 or 5 times a power of ten.
    fn fitting(highest: u64) -> Self {
        let mut power = 1;
        loop {
            for factor in [1, 2, 5] {
                let top = GRID_STEPS * factor * power;
                if top >= highest {
                    return Self { top };
                }
            }
            power *= 10;
        }
    }

    fn y(&self, count: u64) -> f64 {
        BOTTOM - (BOTTOM - TOP) * as_float(count) / as_float(self.top)
    }

    fn write_grid(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in 0..=GRID_STEPS {
            let count = self.top / GRID_STEPS * step;
            let class = if step == 0 { "axis" } else { "grid" };
            write_grid_line(f, class, self.y(count), &count.to_string())?;
        }
        Ok(())
    }
}

fn write_bar(
    f: &mut fmt::Formatter<'_>,
    frame: &PlotFrame,
    scale: &CountScale,
    point: &SummaryPoint,
) -> fmt::Result {
    let left = frame.x(point.at.0);
    let width = (frame.x(point.at.0 + STEP_SECONDS) - left - BAR_GAP).max(BAR_GAP);
    let mut below = 0;
    for (cause, count) in &point.causes {
        let bottom = scale.y(below);
        below += count;
        let top = scale.y(below);
        writeln!(
            f,
            "<rect class=\"fill-{cause}\" x=\"{left:.1}\" y=\"{top:.1}\" width=\"{width:.1}\" \
             height=\"{:.1}\"><title>{} {cause}: {count}</title></rect>",
            bottom - top,
            point.at,
        )?;
    }
    Ok(())
}

/// Displays the causes with their colour, name and count. Causes that did not occur are left out.
struct CauseLegend<'a>(&'a BTreeMap<BurnOutcome, u64>);

impl fmt::Display for CauseLegend<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return writeln!(f, "<p class=\"soft\">No bad requests.</p>");
        }
        writeln!(f, "<ul class=\"legend\">")?;
        for (cause, count) in self.0 {
            writeln!(
                f,
                "<li><svg viewBox=\"0 0 12 12\" aria-hidden=\"true\"><rect class=\"fill-{cause}\" \
                 width=\"12\" height=\"12\"/></svg>{cause}: {count} ({})</li>",
                cause_meaning(*cause),
            )?;
        }
        writeln!(f, "</ul>")
    }
}

fn cause_meaning(cause: BurnOutcome) -> &'static str {
    match cause {
        BurnOutcome::Good => "answered whole and in time",
        BurnOutcome::Refused => "no capacity or no upstream",
        BurnOutcome::Failed => "backend server failed",
        BurnOutcome::Late => "over the latency",
        BurnOutcome::Unknown => "may have run",
        BurnOutcome::Wrong => "reply dropped",
    }
}
