//! Bar of the used and remaining error budget.

use std::fmt;

use sycamorelink_core::unit::format_duration;

use crate::burn::summary::SummaryRow;

/// Width of the bar in SVG units; the page stretches it.
const WIDTH: f64 = 100.0;
/// Height of the bar in SVG units.
const HEIGHT: f64 = 1.0;

/// Displays the part of the budget used in the counted part of a window, and the maximum that is
/// left.
pub(super) struct BudgetBar<'a> {
    pub id: &'a str,
    pub row: &'a SummaryRow,
}

impl fmt::Display for BudgetBar<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = self.row.budget_used;
        writeln!(f, "<figure><figcaption>{}</figcaption>", self.caption())?;
        writeln!(
            f,
            "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" preserveAspectRatio=\"none\" class=\"bar\" role=\"img\" \
             aria-labelledby=\"{id}-t\">\
             <title id=\"{id}-t\">{:.1}% of the budget used</title>",
            used * 100.0,
            id = self.id,
        )?;
        let boundary = WIDTH * used.clamp(0.0, 1.0);
        let class = if used >= 1.0 {
            "budget-over"
        } else {
            "budget-used"
        };
        write_segment(f, class, 0.0, boundary)?;
        write_segment(f, "budget-left", boundary, WIDTH)?;
        writeln!(f, "</svg></figure>")
    }
}

impl BudgetBar<'_> {
    fn caption(&self) -> String {
        let used = self.row.budget_used;
        let counted = self.row.budget_window;
        let window = format_duration(self.row.objective.window);
        let text = format!(
            "The last {counted} used at least {:.1}% of the error budget for {window}",
            used * 100.0
        );
        if used >= 1.0 {
            return format!("{text}: nothing is left");
        }
        format!("{text}; at most {:.1}% is left", (1.0 - used) * 100.0)
    }
}

fn write_segment(f: &mut fmt::Formatter<'_>, class: &str, from: f64, to: f64) -> fmt::Result {
    writeln!(
        f,
        "<rect class=\"{class}\" x=\"{from:.1}\" y=\"0\" width=\"{:.1}\" height=\"{HEIGHT}\"/>",
        to - from,
    )
}
