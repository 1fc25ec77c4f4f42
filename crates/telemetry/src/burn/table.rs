//! Burn report as a text table.

use std::fmt;

use sycamorelink_core::unit::format_duration;

use super::summary::{BurnSummary, SummaryRow, SummaryWindow};
use super::{BurnAlert, BurnWindow};

/// Maximum number of characters of a name; longer names end with `..`.
const NAME_WIDTH: usize = 28;
/// Part of a window below which the note above the table lists the window.
const FULL_COVERAGE: f64 = 0.95;

const HEADINGS: [&str; 11] = [
    "ALERT",
    "CUSTOMER",
    "SERVICE",
    "OBJECTIVE",
    "5m",
    "30m",
    "1h",
    "6h",
    "3d",
    "USED",
    "CAUSE (1h)",
];
/// First right-aligned column; all further ones except the last are right-aligned too.
const FIRST_NUMERIC_COLUMN: usize = 4;

/// Displays a summary as a text table.
#[derive(Clone, Copy, Debug)]
pub struct BurnTable<'a>(pub &'a BurnSummary);

impl fmt::Display for BurnTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = self.0;
        writeln!(f, "Burn of error budgets at {}", summary.at)?;
        writeln!(f, "{}", CoverageNote(summary))?;
        writeln!(f)?;
        if summary.rows.is_empty() {
            return writeln!(f, "No requests in the last three days.");
        }
        let lines: Vec<_> = summary.rows.iter().map(row_cells).collect();
        let column_widths = column_widths(&lines);
        write_line(f, &HEADINGS.map(str::to_owned), &column_widths)?;
        for line in &lines {
            write_line(f, line, &column_widths)?;
        }
        writeln!(f)?;
        writeln!(
            f,
            "5m to 3d: burn rate, 1x uses the budget up exactly at the end of its window."
        )?;
        writeln!(f, "With ~ less than half of that time is counted.")?;
        writeln!(
            f,
            "USED: part of the budget used in the counted part of the objective's window, 3d at most."
        )
    }
}

/// Displays the number of daemons in a summary, and the windows that they have not fully counted.
pub(super) struct CoverageNote<'a>(pub &'a BurnSummary);

impl fmt::Display for CoverageNote<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let daemons = self.0.daemons;
        let plural = if daemons == 1 { "" } else { "s" };
        write!(f, "{daemons} daemon{plural}")?;
        if self.0.missing > 0 {
            write!(f, ", {} more did not answer", self.0.missing)?;
        }
        write!(f, "; ")?;
        let mut incomplete = self
            .0
            .coverage
            .iter()
            .filter(|(_, part)| **part < FULL_COVERAGE)
            .peekable();
        if incomplete.peek().is_none() {
            return write!(f, "every window is counted whole");
        }
        write!(f, "counted since the start only:")?;
        for (index, (window, part)) in incomplete.enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator} {:.0}% of {window}", part * 100.0)?;
        }
        Ok(())
    }
}

fn row_cells(row: &SummaryRow) -> [String; 11] {
    let rate = |window| window_text(row.window(window));
    [
        alert_text(row.alert).to_owned(),
        truncate_name(row.customer.as_str()),
        truncate_name(row.service.as_str()),
        objective_text(row),
        rate(BurnWindow::FiveMinutes),
        rate(BurnWindow::HalfHour),
        rate(BurnWindow::OneHour),
        rate(BurnWindow::SixHours),
        rate(BurnWindow::ThreeDays),
        format!("{:.1}%", row.budget_used * 100.0),
        cause_text(row),
    ]
}

fn alert_text(alert: BurnAlert) -> &'static str {
    match alert {
        BurnAlert::Fast => "FAST",
        BurnAlert::Slow => "SLOW",
        BurnAlert::Drift => "drift",
        BurnAlert::Quiet => "-",
    }
}

/// Formats an objective, for example `99.9% < 250ms/30d`.
pub(super) fn objective_text(row: &SummaryRow) -> String {
    let objective = &row.objective;
    format!(
        "{} < {}/{}",
        percent_text(objective.success),
        format_duration(objective.latency),
        format_duration(objective.window),
    )
}

/// Formats a share as a percentage with up to four decimal places.
pub(super) fn percent_text(share: f64) -> String {
    let text = format!("{:.4}", share * 100.0);
    let text = text.trim_end_matches('0').trim_end_matches('.');
    format!("{text}%")
}

/// Formats the burn rate of a window, with a `~` in front when the window is partial.
pub(super) fn window_text(window: &SummaryWindow) -> String {
    let prefix = if window.partial { "~" } else { "" };
    format!("{prefix}{}", rate_text(window.burn_rate))
}

/// Formats a burn rate with two decimals below 9.95, one below 99.5, else none.
pub(super) fn rate_text(rate: f64) -> String {
    match rate {
        rate if rate >= 99.5 => format!("{rate:.0}x"),
        rate if rate >= 9.95 => format!("{rate:.1}x"),
        rate => format!("{rate:.2}x"),
    }
}

fn cause_text(row: &SummaryRow) -> String {
    let hour = row.window(BurnWindow::OneHour);
    match hour.main_cause() {
        Some((cause, count)) => format!("{cause} {count} of {}", hour.bad),
        None => "-".to_owned(),
    }
}

fn truncate_name(name: &str) -> String {
    if name.chars().count() <= NAME_WIDTH {
        return name.to_owned();
    }
    let kept: String = name.chars().take(NAME_WIDTH - 2).collect();
    format!("{kept}..")
}

fn column_widths(lines: &[[String; 11]]) -> [usize; 11] {
    let mut column_widths = HEADINGS.map(str::len);
    for line in lines {
        for (width, cell) in column_widths.iter_mut().zip(line) {
            *width = cell.chars().count().max(*width);
        }
    }
    column_widths
}

fn write_line(
    f: &mut fmt::Formatter<'_>,
    row_cells: &[String; 11],
    column_widths: &[usize; 11],
) -> fmt::Result {
    let last = row_cells.len() - 1;
    for (column, (cell, width)) in row_cells.iter().zip(column_widths).enumerate() {
        if column == last {
            return writeln!(f, "{cell}");
        }
        if column < FIRST_NUMERIC_COLUMN {
            write!(f, "{cell:<width$}  ")?;
        } else {
            write!(f, "{cell:>width$}  ")?;
        }
    }
    Ok(())
}
