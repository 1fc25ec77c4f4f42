//! Text output of a `dev` session: a full screen on a terminal, otherwise one status line per
//! second.

use std::fmt::Write;
use std::time::Duration;

use super::snapshot::{FleetSnapshot, ServiceSnapshot, UpstreamSnapshot};
use super::timeline::{FleetTimeline, TimelineEntry};
use crate::table::TextTable;
use crate::view::{FULL_WEIGHT, SHIFTED_WEIGHT, UNSUSPECTED_SCORE};

/// Maximum number of timeline entries on the screen.
const MAX_TIMELINE_ENTRIES: usize = 9;
/// Width of a full bar, in characters.
const BAR_WIDTH: f64 = 12.0;

/// Returns the screen as text.
#[must_use]
pub fn render_screen(snapshot: &FleetSnapshot, timeline: &FleetTimeline) -> String {
    let mut text = format!(
        "sycamorelink dev   {}   {} daemons, one backend server beside each   Ctrl-C ends it\n",
        time_text(snapshot),
        snapshot.daemons,
    );
    for service in &snapshot.services {
        text.push('\n');
        text.push_str(&render_service(service, snapshot.daemons));
    }
    text.push_str("\nerror budgets, last 5 minutes\n");
    for burn in &snapshot.burns {
        let _ = writeln!(
            text,
            "  {} at {}: {} of {} requests bad, {:.1} times the rate that the budget allows",
            burn.customer, burn.service, burn.bad, burn.requests, burn.rate
        );
    }
    text.push_str("\nwhat happened   (! done to the fleet, > done by the fleet)\n");
    let skipped = timeline.entries.len().saturating_sub(MAX_TIMELINE_ENTRIES);
    for entry in &timeline.entries[skipped..] {
        let _ = writeln!(text, "  {}", render_entry(entry));
    }
    text
}

fn render_service(service: &ServiceSnapshot, daemons: usize) -> String {
    let calls = &service.calls;
    let counts = &calls.counts;
    let floor = &service.floor;
    let mut text = format!(
        "{} for {}   {} calls/s, half within {}, 99% within {}\n",
        service.service,
        service.customer,
        calls.calls,
        millis_text(calls.p50),
        millis_text(calls.p99),
    );
    let _ = writeln!(
        text,
        "  answered {}, not run {}, unknown {}, failed {}   floor: {} of {} slots must stay, {} serve",
        counts.answered,
        counts.not_run,
        counts.unknown,
        counts.failed,
        floor.floor_slots,
        floor.known_slots,
        floor.serving_slots,
    );
    let heading = [
        "  INSTANCE",
        "DOMAIN",
        "FAULT",
        "FLEET SAYS",
        "SHARE OF WORK",
        "",
        "RUNS/S",
        "WARY",
        "EJECT",
    ];
    let mut table = TextTable::new(&heading);
    for upstream in &service.upstreams {
        table.row(upstream_row(upstream, daemons));
    }
    let _ = write!(text, "{table}");
    text
}

fn upstream_row(upstream: &UpstreamSnapshot, daemons: usize) -> [String; 9] {
    let fault = if upstream.fault.is_empty() {
        "-"
    } else {
        upstream.fault
    };
    [
        format!("  {}", upstream.instance),
        upstream.domain.clone(),
        fault.to_owned(),
        state_text(upstream, daemons).to_owned(),
        render_bar(upstream.weight),
        format!("{:>3.0}%", upstream.weight * 100.0),
        format!("{:>6}", upstream.runs),
        format!("{}/{daemons}", upstream.reduced),
        format!("{}/{daemons}", upstream.ejected),
    ]
}

fn state_text(upstream: &UpstreamSnapshot, daemons: usize) -> &'static str {
    match upstream.phase.as_str() {
        "leaving" => "leaving",
        "starting" => "starting",
        "" => "gone",
        _ if upstream.ejected * 2 > daemons => "ejected",
        _ if upstream.weight >= FULL_WEIGHT => "in service",
        _ if upstream.suspicion < UNSUSPECTED_SCORE => "ramping up",
        _ if upstream.weight < SHIFTED_WEIGHT => "shifted",
        _ => "suspected",
    }
}

/// Returns a bar of block characters with a resolution of one eighth of a character.
fn render_bar(share: f64) -> String {
    const EIGHTHS: [char; 8] = [' ', '▏', '▎', '▍', '▌', '▋', '▊', '▉'];
    let mut left = share.clamp(0.0, 1.0) * BAR_WIDTH;
    let mut text = String::new();
    while left >= 1.0 {
        text.push('█');
        left -= 1.0;
    }
    let steps = (1..EIGHTHS.len()).rev();
    let eighth = steps
        .map(|index| (index, EIGHTHS[index]))
        .find(|(index, _)| left * 8.0 >= f64::from(u8::try_from(*index).unwrap_or(0)));
    if let Some((_, block)) = eighth {
        text.push(block);
    }
    text
}

/// Returns a status line for output that is not a terminal.
#[must_use]
pub fn render_status(snapshot: &FleetSnapshot) -> String {
    let services = snapshot.services.iter().map(service_status);
    let services = services.collect::<Vec<_>>().join(" | ");
    format!("{}   {services}", time_text(snapshot))
}

fn service_status(service: &ServiceSnapshot) -> String {
    let calls = &service.calls;
    let mut parts = vec![
        format!("{} {}/s", service.service, calls.calls),
        format!("p99 {}", millis_text(calls.p99)),
        format!("not run {}", calls.counts.not_run),
        format!("unknown {}", calls.counts.unknown),
    ];
    let reduced = |upstream: &&UpstreamSnapshot| upstream.weight < FULL_WEIGHT;
    let upstreams = service.upstreams.iter().filter(reduced);
    parts.extend(upstreams.map(upstream_status));
    parts.join(", ")
}

fn upstream_status(upstream: &UpstreamSnapshot) -> String {
    let name = &upstream.instance;
    match upstream.phase.as_str() {
        "" => format!("{name} gone"),
        "leaving" => format!("{name} leaving"),
        _ => format!("{name} at {:.0}%", upstream.weight * 100.0),
    }
}

fn time_text(snapshot: &FleetSnapshot) -> String {
    if snapshot.warming_up {
        return "warming up".to_owned();
    }
    format!(
        "{} of {}",
        clock_text(snapshot.now),
        clock_text(snapshot.length)
    )
}

/// Returns a timeline entry as one line.
#[must_use]
pub fn render_entry(entry: &TimelineEntry) -> String {
    let mark = if entry.by_fleet { '>' } else { '!' };
    format!("{} {mark} {}", clock_text(entry.at), entry.text)
}

pub(super) fn clock_text(time: Duration) -> String {
    let seconds = time.as_secs();
    format!("{:02}:{:02}", seconds / 60, seconds % 60)
}

pub(super) fn millis_text(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}
