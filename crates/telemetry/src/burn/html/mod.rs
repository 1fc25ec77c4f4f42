//! Burn report as one self-contained HTML page.
//!
//! For accessibility, every alert is shown as a word besides its colour, every plot has a title and
//! a description, and the numbers of the windows are also in a table.

mod budget;
mod causes;
mod frame;
mod rate;
mod text;

use std::fmt;

use budget::BudgetBar;
use causes::CausePlot;
use rate::RatePlot;
use text::HtmlText;

use super::alert::BurnRule;
use super::summary::{BurnSummary, SummaryRow, SummaryWindow};
use super::table::{CoverageNote, objective_text, window_text};
use super::{BurnAlert, BurnOutcome, BurnWindow};

const STYLE: &str = include_str!("style.css");

/// Displays a summary as an HTML page.
#[derive(Clone, Copy, Debug)]
pub struct BurnPage<'a>(pub &'a BurnSummary);

impl fmt::Display for BurnPage<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = self.0;
        writeln!(
            f,
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
             <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
             <title>{} - burn of error budgets</title>\n<style>\n{STYLE}</style>\n</head>\n<body>",
            headline(summary),
        )?;
        write_header(f, summary)?;
        if summary.rows.is_empty() {
            writeln!(f, "<p>No requests in the last three days.</p>")?;
        } else {
            write_overview(f, summary)?;
        }
        for (index, row) in summary.rows.iter().enumerate() {
            write_section(f, summary, index, row)?;
        }
        writeln!(f, "</body>\n</html>")
    }
}

/// Returns the most severe alert with its number of rows, for the page title.
fn headline(summary: &BurnSummary) -> String {
    let most_severe = BurnAlert::ALL
        .into_iter()
        .filter(|alert| *alert != BurnAlert::Quiet)
        .map(|alert| (alert, summary.count(alert)))
        .find(|(_, count)| *count > 0);
    match most_severe {
        Some((alert, count)) => format!("{count} {alert}"),
        None => "All quiet".to_owned(),
    }
}

fn write_header(f: &mut fmt::Formatter<'_>, summary: &BurnSummary) -> fmt::Result {
    writeln!(f, "<header>\n<h1>Burn of error budgets</h1>")?;
    writeln!(f, "<p class=\"soft\">{}</p>", summary.at)?;
    write!(f, "<p>")?;
    for alert in BurnAlert::ALL {
        let count = summary.count(alert);
        write!(f, "<span class=\"badge {alert}\">{count} {alert}</span> ")?;
    }
    writeln!(f, "</p>")?;
    let fully_counted = summary.coverage.values().all(|part| *part >= 1.0);
    let complete = fully_counted && summary.missing == 0;
    let class = if complete { "soft" } else { "warning" };
    writeln!(f, "<p class=\"{class}\">{}</p>", CoverageNote(summary))?;
    writeln!(f, "</header>")
}

fn write_overview(f: &mut fmt::Formatter<'_>, summary: &BurnSummary) -> fmt::Result {
    writeln!(f, "<div class=\"scroll\"><table>")?;
    writeln!(
        f,
        "<caption class=\"soft\">Burn rates: at 1x the budget lasts exactly for its window. Rates \
         over the threshold of their rule are underlined; with ~ less than half of the window is \
         counted.</caption>"
    )?;
    write!(
        f,
        "<thead><tr><th scope=\"col\">State</th><th scope=\"col\">Customer</th>\
         <th scope=\"col\">Service</th><th scope=\"col\">Objective</th>"
    )?;
    for window in BurnWindow::ALL {
        write!(f, "<th scope=\"col\" class=\"number\">{window}</th>")?;
    }
    writeln!(
        f,
        "<th scope=\"col\" class=\"number\">Budget used</th><th scope=\"col\">Main cause (1h)</th>\
         </tr></thead>\n<tbody>"
    )?;
    for (index, row) in summary.rows.iter().enumerate() {
        write_overview_row(f, index, row)?;
    }
    writeln!(f, "</tbody></table></div>")
}

fn write_overview_row(f: &mut fmt::Formatter<'_>, index: usize, row: &SummaryRow) -> fmt::Result {
    let alert = row.alert;
    write!(
        f,
        "<tr><td><span class=\"badge {alert}\">{alert}</span></td>\
         <th scope=\"row\"><a href=\"#r{index}\">{}</a></th><td>{}</td><td>{}</td>",
        HtmlText(row.customer.as_str()),
        HtmlText(row.service.as_str()),
        HtmlText(&objective_text(row)),
    )?;
    for window in &row.windows {
        let class = if reaches_rule_threshold(row, window) {
            "number over"
        } else {
            "number"
        };
        write!(f, "<td class=\"{class}\">{}</td>", window_text(window))?;
    }
    let cause = row.window(BurnWindow::OneHour).main_cause();
    let cause = cause.map_or_else(
        || "-".to_owned(),
        |(cause, count)| format!("{cause} ({count})"),
    );
    writeln!(
        f,
        "<td class=\"number\">{:.1}%</td><td>{cause}</td></tr>",
        row.budget_used * 100.0,
    )
}

/// Returns whether the window reaches the threshold of a rule that uses it.
fn reaches_rule_threshold(row: &SummaryRow, window: &SummaryWindow) -> bool {
    BurnRule::ALL
        .iter()
        .filter(|rule| rule.long == window.window || rule.short == window.window)
        .any(|rule| window.burn_rate >= row.threshold(rule.alert))
}

/// Writes the section of one row: expanded when an alert holds, else collapsed.
fn write_section(
    f: &mut fmt::Formatter<'_>,
    summary: &BurnSummary,
    index: usize,
    row: &SummaryRow,
) -> fmt::Result {
    let alert = row.alert;
    let open = if alert == BurnAlert::Quiet {
        ""
    } else {
        " open"
    };
    writeln!(
        f,
        "<section id=\"r{index}\" aria-labelledby=\"h{index}\">\n<details{open}>\
         <summary class=\"heading\"><h2 id=\"h{index}\">{} / {}</h2>\
         <span class=\"badge {alert}\">{alert}</span>\
         <span class=\"soft\">{}, contract version {}</span></summary>",
        HtmlText(row.customer.as_str()),
        HtmlText(row.service.as_str()),
        HtmlText(&objective_text(row)),
        row.contract_version,
    )?;
    write_events_to_check(f, row)?;
    let id = format!("b{index}");
    write!(f, "{}", BudgetBar { id: &id, row })?;
    if !row.long.is_empty() {
        write_plots(f, summary, index, row)?;
    }
    write_window_table(f, row)?;
    writeln!(f, "</details>\n</section>")
}

fn write_plots(
    f: &mut fmt::Formatter<'_>,
    summary: &BurnSummary,
    index: usize,
    row: &SummaryRow,
) -> fmt::Result {
    let (at, since) = (summary.at, summary.counted_since);
    let id = format!("p{index}");
    let rate = RatePlot {
        id: &id,
        at,
        since,
        row,
    };
    let id = format!("c{index}");
    let cause = CausePlot {
        id: &id,
        at,
        since,
        row,
    };
    writeln!(f, "<div class=\"plots\">\n{rate}{cause}</div>")
}

/// Writes the events to look for, by the main cause of the last hour.
fn write_events_to_check(f: &mut fmt::Formatter<'_>, row: &SummaryRow) -> fmt::Result {
    let cause = row.window(BurnWindow::OneHour).main_cause();
    let Some((cause, _)) = cause.filter(|_| row.alert != BurnAlert::Quiet) else {
        return Ok(());
    };
    write!(
        f,
        "<p>Most bad requests of the last hour: <b>{cause}</b>. Look for"
    )?;
    for (index, code) in cause.events().iter().enumerate() {
        let separator = if index == 0 { "" } else { "," };
        write!(f, "{separator} <code>{code}</code> {}", code.name())?;
    }
    writeln!(f, ".</p>")
}

fn write_window_table(f: &mut fmt::Formatter<'_>, row: &SummaryRow) -> fmt::Result {
    writeln!(
        f,
        "<details><summary>Numbers</summary><div class=\"scroll\"><table>"
    )?;
    write!(
        f,
        "<thead><tr><th scope=\"col\">Window</th><th scope=\"col\" class=\"number\">Requests</th>\
         <th scope=\"col\" class=\"number\">Bad</th><th scope=\"col\" class=\"number\">Burn</th>"
    )?;
    for cause in BurnOutcome::BAD {
        write!(f, "<th scope=\"col\" class=\"number\">{cause}</th>")?;
    }
    writeln!(f, "</tr></thead>\n<tbody>")?;
    for window in &row.windows {
        write_window_row(f, window)?;
    }
    writeln!(f, "</tbody></table></div></details>")
}

fn write_window_row(f: &mut fmt::Formatter<'_>, window: &SummaryWindow) -> fmt::Result {
    write!(
        f,
        "<tr><th scope=\"row\">{}</th><td class=\"number\">{}</td><td class=\"number\">{}</td>\
         <td class=\"number\">{}</td>",
        window.window,
        window.requests,
        window.bad,
        window_text(window),
    )?;
    for cause in BurnOutcome::BAD {
        let count = window.causes.get(&cause).copied().unwrap_or(0);
        write!(f, "<td class=\"number\">{count}</td>")?;
    }
    writeln!(f, "</tr>")
}
