//! HTML rendering of the table with plots, without scripts or external resources.

use std::fmt::Write as _;

use super::figures::TableRow;
use super::services::to_f64;
use super::table::SituationTable;

/// Height of one bar in pixels.
const BAR: f64 = 14.0;

/// Width of the plot area in pixels.
const WIDTH: f64 = 560.0;

/// Width of the labels in pixels.
const LABEL: f64 = 330.0;

/// Lower and upper end of the logarithmic time axis, in seconds.
const AXIS_RANGE: (f64, f64) = (0.1, 100.0);

/// Colours of the bars of the pool choosers and of the baselines.
const COLOURS: (&str, &str) = ("#2a6f97", "#b0b7bd");

impl SituationTable {
    /// Renders the table as an HTML page with one plot of detection times per service.
    #[must_use]
    pub fn to_html(&self) -> String {
        let mut page = String::from(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Situations</title>\
             <style>body{font:13px sans-serif;margin:2em}pre{font-size:11px}</style>\
             </head><body>\n",
        );
        for service in self.services() {
            let rows: Vec<&TableRow> = self
                .rows
                .iter()
                .filter(|row| row.service == service && row.detected.is_some())
                .collect();
            let _ = writeln!(
                page,
                "<h2>{service}: detection time, median and 99th percentile</h2>"
            );
            draw_plot(&mut page, &rows);
        }
        let _ = writeln!(page, "<pre>{}</pre>\n</body></html>", self.to_text());
        page
    }

    fn services(&self) -> Vec<String> {
        let mut names: Vec<String> = self.rows.iter().map(|row| row.service.clone()).collect();
        names.dedup();
        names
    }
}

fn draw_plot(page: &mut String, rows: &[&TableRow]) {
    let height = BAR * (to_f64(rows.len()) + 2.0);
    let _ = writeln!(
        page,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0}\" height=\"{height:.0}\" \
         font-family=\"sans-serif\" font-size=\"10\">",
        LABEL + WIDTH + 60.0
    );
    for mark in [0.1, 1.0, 10.0, 100.0] {
        let x = LABEL + x_offset(mark);
        let _ = writeln!(
            page,
            "<line x1=\"{x:.0}\" y1=\"{BAR}\" x2=\"{x:.0}\" y2=\"{height:.0}\" stroke=\"#ddd\"/>\
             <text x=\"{x:.0}\" y=\"{:.0}\" text-anchor=\"middle\">{mark} s</text>",
            BAR - 3.0
        );
    }
    for (index, row) in rows.iter().enumerate() {
        draw_bar(page, BAR * (to_f64(index) + 1.0), row);
    }
    page.push_str("</svg>\n");
}

fn draw_bar(page: &mut String, y: f64, row: &TableRow) {
    let own = row.chooser.starts_with("sycamorelink");
    let colour = if own { COLOURS.0 } else { COLOURS.1 };
    let base = y + BAR - 4.0;
    let _ = writeln!(
        page,
        "<text x=\"{:.0}\" y=\"{base:.0}\" text-anchor=\"end\">{} {}</text>",
        LABEL - 6.0,
        row.situation,
        row.chooser
    );
    let Some(median) = row.detection_median else {
        let _ = writeln!(
            page,
            "<text x=\"{LABEL:.0}\" y=\"{base:.0}\" fill=\"#888\">not detected in most runs</text>"
        );
        return;
    };
    let _ = writeln!(
        page,
        "<rect x=\"{LABEL:.0}\" y=\"{:.0}\" width=\"{:.0}\" height=\"{:.0}\" fill=\"{colour}\"/>",
        y + 2.0,
        x_offset(median),
        BAR - 4.0
    );
    if let Some(p99) = row.detection_p99 {
        let x = LABEL + x_offset(p99);
        let _ = writeln!(
            page,
            "<line x1=\"{x:.0}\" y1=\"{:.0}\" x2=\"{x:.0}\" y2=\"{:.0}\" stroke=\"#c1121f\" \
             stroke-width=\"2\"/>",
            y + 1.0,
            y + BAR - 1.0
        );
    }
}

/// Returns the position of a time on the logarithmic axis, in pixels.
fn x_offset(seconds: f64) -> f64 {
    let (least, most) = AXIS_RANGE;
    let share = (seconds.clamp(least, most) / least).ln() / (most / least).ln();
    share * WIDTH
}
