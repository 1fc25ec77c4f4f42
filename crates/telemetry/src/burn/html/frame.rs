//! Shared parts of plots: the time axis, grid lines and labels.

use std::fmt;

use crate::burn::UtcTime;
use crate::burn::counts::as_float;

/// Width of a plot in SVG units.
pub(super) const WIDTH: f64 = 640.0;
/// Height of a plot in SVG units.
pub(super) const HEIGHT: f64 = 200.0;
/// Left edge of the plot area, with room for labels.
pub(super) const LEFT: f64 = 52.0;
/// Right edge of the plot area.
pub(super) const RIGHT: f64 = 632.0;
/// Top edge of the plot area.
pub(super) const TOP: f64 = 10.0;
/// Bottom edge of the plot area, with room for the labels of the time axis.
pub(super) const BOTTOM: f64 = 172.0;
/// Distance of a label from its line.
const LABEL_OFFSET: f64 = 4.0;
/// Distance of the baseline of time labels from the edge of the plot area.
const TIME_LABEL_OFFSET: f64 = 18.0;

/// Time span of a plot, in seconds since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlotFrame {
    /// Start of the span.
    pub from: u64,
    /// End of the span, after the start.
    pub to: u64,
}

impl PlotFrame {
    /// Returns the span of `length` seconds that ends with the step that contains `at`.
    pub fn ending_at(at: UtcTime, length: u64, step: u64) -> Self {
        let to = at.0 - at.0 % step + step;
        let from = to.saturating_sub(length);
        Self { from, to }
    }

    /// Returns the horizontal position of a time, limited to the plot area.
    pub fn x(&self, at: u64) -> f64 {
        let elapsed = at.clamp(self.from, self.to) - self.from;
        let span = (self.to - self.from).max(1);
        LEFT + (RIGHT - LEFT) * as_float(elapsed) / as_float(span)
    }

    /// Marks the time before `since` as not counted, so that it is not taken for time without bad
    /// requests.
    pub fn write_uncounted(&self, f: &mut fmt::Formatter<'_>, since: UtcTime) -> fmt::Result {
        if since.0 <= self.from {
            return Ok(());
        }
        let right = self.x(since.0);
        writeln!(
            f,
            "<rect class=\"uncounted\" x=\"{LEFT}\" y=\"{TOP}\" width=\"{:.1}\" height=\"{:.1}\"/>\
             <text class=\"label\" x=\"{:.1}\" y=\"{:.1}\">not counted</text>",
            right - LEFT,
            BOTTOM - TOP,
            LEFT + LABEL_OFFSET,
            TOP + TIME_LABEL_OFFSET,
        )
    }

    /// Writes a grid line and label at each multiple of `every` seconds.
    pub fn write_time_axis<L>(
        &self,
        f: &mut fmt::Formatter<'_>,
        every: u64,
        label: L,
    ) -> fmt::Result
    where
        L: Fn(UtcTime) -> String,
    {
        let mut at = self.from.next_multiple_of(every);
        while at < self.to {
            let x = self.x(at);
            writeln!(
                f,
                "<line class=\"grid\" x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{TOP}\" y2=\"{BOTTOM}\"/>\
                 <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
                BOTTOM + TIME_LABEL_OFFSET,
                label(UtcTime(at)),
            )?;
            at += every;
        }
        Ok(())
    }
}

/// Writes a horizontal line across the plot area, with its value to the left.
pub(super) fn write_grid_line(
    f: &mut fmt::Formatter<'_>,
    class: &str,
    y: f64,
    label: &str,
) -> fmt::Result {
    writeln!(
        f,
        "<line class=\"{class}\" x1=\"{LEFT}\" x2=\"{RIGHT}\" y1=\"{y:.1}\" y2=\"{y:.1}\"/>\
         <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{label}</text>",
        LEFT - LABEL_OFFSET,
        y + LABEL_OFFSET,
    )
}

/// Writes a label inside the plot area, above the right end of a line.
pub(super) fn write_line_label(
    f: &mut fmt::Formatter<'_>,
    class: &str,
    y: f64,
    name: &str,
) -> fmt::Result {
    writeln!(
        f,
        "<text class=\"label {class}\" x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{name}</text>",
        RIGHT - LABEL_OFFSET,
        y - LABEL_OFFSET,
    )
}

/// Writes the opening tag of a plot, with its title and description for screen readers.
pub(super) fn write_plot_start(
    f: &mut fmt::Formatter<'_>,
    id: &str,
    title: &str,
    description: &str,
) -> fmt::Result {
    writeln!(
        f,
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-labelledby=\"{id}-t {id}-d\">\n\
         <title id=\"{id}-t\">{title}</title>\n<desc id=\"{id}-d\">{description}</desc>"
    )
}
