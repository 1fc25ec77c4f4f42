//! Closing report of a `dev` session: call results, audit of runs, and reaction times of the fleet.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use super::screen::clock_text;
use super::snapshot::BurnLine;
use super::stats::{CallCounts, KeyAudit};
use super::timeline::{DrainRecord, FaultRecord, FleetTimeline};
use crate::table::TextTable;

/// Data of the closing report.
#[derive(Clone, Debug, Default)]
pub struct ClosingReport {
    /// Time that the scenario ran.
    pub length: Duration,
    /// Call counts by service.
    pub calls: BTreeMap<&'static str, CallCounts>,
    /// Result of comparing the statuses that callers received with actual runs.
    pub audit: KeyAudit,
    /// Faults, drains and reactions of the fleet.
    pub timeline: FleetTimeline,
    /// Error-budget burn at the end.
    pub burns: Vec<BurnLine>,
    /// The first few calls that got no answer.
    pub lost: Vec<String>,
    /// Number of calls still in flight after the final wait.
    pub unfinished: u64,
}

impl ClosingReport {
    /// Returns the guarantees that were violated. Empty on a correct run.
    #[must_use]
    pub fn broken_guarantees(&self) -> Vec<String> {
        let mismatched: u64 = self.calls.values().map(|counts| counts.mismatched).sum();
        let audit = &self.audit;
        let guarantees = [
            (audit.duplicated, "keys that ran more than once"),
            (
                audit.false_not_run,
                "callers told \"not run\" about a key that ran",
            ),
            (
                audit.false_ran,
                "callers told \"ran\" about a key that did not",
            ),
            (mismatched, "callers with somebody else's reply"),
        ];
        let violated = guarantees.into_iter().filter(|(count, _)| *count > 0);
        violated
            .map(|(count, text)| format!("{text}: {count}"))
            .collect()
    }

    /// Returns the report as text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = format!("\nclosing report after {}\n\n", clock_text(self.length));
        let _ = writeln!(text, "{}", self.call_table());
        self.render_refusals(&mut text);
        self.render_audit(&mut text);
        self.render_faults(&mut text);
        self.render_drains(&mut text);
        self.render_burn(&mut text);
        self.render_guarantees(&mut text);
        text
    }

    fn call_table(&self) -> TextTable {
        let heading = [
            "SERVICE",
            "CALLS",
            "ANSWERED",
            "NOT RUN",
            "UNKNOWN",
            "FAILED",
            "NO ANSWER",
            "FOREIGN",
        ];
        let mut table = TextTable::new(&heading);
        for (service, counts) in &self.calls {
            let numbers = [
                counts.ended,
                counts.answered,
                counts.not_run,
                counts.unknown,
                counts.failed,
                counts.lost,
                counts.mismatched,
            ];
            let cells = numbers.iter().map(ToString::to_string);
            table.row(std::iter::once((*service).to_owned()).chain(cells));
        }
        table
    }

    fn render_refusals(&self, text: &mut String) {
        for (service, counts) in &self.calls {
            let codes = counts.refusals.iter();
            let codes: Vec<String> = codes
                .map(|(code, count)| format!("{code} {count}"))
                .collect();
            if !codes.is_empty() {
                let _ = writeln!(text, "refused by {service}: {}\n", codes.join(", "));
            }
        }
    }

    fn render_audit(&self, text: &mut String) {
        let audit = &self.audit;
        let _ = writeln!(
            text,
            "bookings and payouts: {} keys, {} sent again\n  \
             ran once {}, doubled {}, told \"unknown\" {}, \
             told \"not run\" though it ran {}, told \"ran\" though it did not {}\n",
            audit.keys,
            audit.resends,
            audit.ran_once,
            audit.duplicated,
            audit.unknown,
            audit.false_not_run,
            audit.false_ran,
        );
    }

    fn render_faults(&self, text: &mut String) {
        text.push_str("gray failures\n");
        for fault in &self.timeline.faults {
            let _ = writeln!(text, "  {}", fault_text(fault));
        }
        let count = self.timeline.false_ejections;
        let _ = writeln!(text, "  healthy backend servers ejected: {count}\n");
    }

    fn render_drains(&self, text: &mut String) {
        if self.timeline.drains.is_empty() {
            return;
        }
        text.push_str("drains\n");
        for drain in &self.timeline.drains {
            let _ = writeln!(text, "  {}", drain_text(drain));
        }
        text.push('\n');
    }

    fn render_burn(&self, text: &mut String) {
        text.push_str("error budgets, last 5 minutes\n");
        for burn in &self.burns {
            let _ = writeln!(
                text,
                "  {} at {}: {} of {} bad, {:.1} times the allowed rate",
                burn.customer, burn.service, burn.bad, burn.requests, burn.rate
            );
        }
        text.push('\n');
    }

    fn render_guarantees(&self, text: &mut String) {
        for call in &self.lost {
            let _ = writeln!(text, "no answer: {call}");
        }
        if self.unfinished > 0 {
            let _ = writeln!(text, "calls without an end: {}", self.unfinished);
        }
        let violated = self.broken_guarantees();
        if violated.is_empty() {
            text.push_str("every promise was kept\n");
        }
        for guarantee in violated {
            let _ = writeln!(text, "BROKEN: {guarantee}");
        }
    }
}

fn drain_text(drain: &DrainRecord) -> String {
    let end = match drain.duration {
        Some(duration) => format!("nothing left after {}", seconds_text(duration)),
        None => "something was left at the end".to_owned(),
    };
    let started = clock_text(drain.started);
    format!("{} from {started}: {end}", drain.instance)
}

fn fault_text(fault: &FaultRecord) -> String {
    let shifted = match fault.shifted_after {
        Some(time) => format!("most work elsewhere after {}", seconds_text(time)),
        None => "most work stayed".to_owned(),
    };
    let ejected = match fault.ejected_after {
        Some(time) => format!("ejected by most daemons after {}", seconds_text(time)),
        None => "not ejected by most daemons".to_owned(),
    };
    format!(
        "{} ({}) from {} to {}: {shifted}, {ejected}",
        fault.instance,
        fault.label,
        clock_text(fault.started),
        fault.ended.map_or("the end".to_owned(), clock_text),
    )
}

fn seconds_text(time: Duration) -> String {
    format!("{:.0}s", time.as_secs_f64())
}
