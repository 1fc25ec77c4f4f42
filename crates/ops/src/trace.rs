//! The `trace` command: reconstructs from the logs of all daemons what happened to one request.
//!
//! ```text
//! log files ─┬─▶ lines of the request, sorted by time ────────┬──▶ tables and summary
//!            └─▶ recent events of the upstreams that it used ─┘
//! ```
//!
//! Each line is parsed from its first brace on, because log collectors may prefix it with the name
//! of the instance. Lines without JSON are skipped.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde_json::Value;
use sycamorelink_telemetry::EventCode;

use crate::context::ShellContext;
use crate::exit::ToolFailure;
use crate::table::TextTable;

/// File name that selects standard input.
const STANDARD_INPUT: &str = "-";
/// Maximum number of upstream events to show: the latest ones before the end of the request.
const MAX_UPSTREAM_LINES: usize = 6;
/// Upstream events that may explain the outcome of a request.
const UPSTREAM_EVENTS: [EventCode; 8] = [
    EventCode::WorkHeldOff,
    EventCode::WorkReleased,
    EventCode::UpstreamSuspected,
    EventCode::WeightShifted,
    EventCode::UpstreamEjected,
    EventCode::UpstreamLeaving,
    EventCode::HeartbeatLapsed,
    EventCode::CrashSuspected,
];

/// One parsed log line.
#[derive(Clone, Debug)]
struct LogLine {
    /// Timestamp as logged. Its text form sorts chronologically.
    time: String,
    /// Last word of the line's prefix, or the file name without its extension if there is no
    /// prefix.
    source: String,
    code: String,
    fields: Value,
}

impl LogLine {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn has_code(&self, code: EventCode) -> bool {
        self.code == code.as_str()
    }

    /// Formats the fields that describe the event, in a fixed order.
    fn details(&self) -> String {
        let shown = [
            "upstream", "version", "refusal", "run", "count", "duration", "limit", "reason",
        ];
        let parts = shown.iter().filter(|name| !self.field(name).is_empty());
        let parts: Vec<String> = parts
            .map(|name| format!("{name} {}", self.field(name)))
            .collect();
        parts.join("; ")
    }
}

/// Log lines of one request and of its upstreams.
#[derive(Clone, Debug, Default)]
struct RequestTrace {
    lines: Vec<LogLine>,
    upstream_lines: Vec<LogLine>,
}

/// Prints the log lines of a request, related upstream events and a summary of the outcome.
///
/// # Errors
///
/// Returns an error if a log cannot be read or no log has a line of the request.
pub fn trace_request(context: &mut ShellContext, id: &str, logs: &[PathBuf]) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    for log in logs {
        read_log(log, &mut lines).with_context(|| format!("could not read {}", log.display()))?;
    }
    let trace = collect_trace(id, lines);
    if trace.lines.is_empty() {
        let message = format!("no line names the request {id:?}; are the logs of level `debug`?");
        return Err(ToolFailure::NotFound(message).into());
    }
    context.data_line(event_table(&trace.lines))?;
    if !trace.upstream_lines.is_empty() {
        context.data_line("Known of its upstreams:")?;
        context.data_line(event_table(&trace.upstream_lines))?;
    }
    context.data_line(describe_outcome(&trace))
}

fn read_log(log: &Path, lines: &mut Vec<LogLine>) -> anyhow::Result<()> {
    let reader: Box<dyn Read> = if log.as_os_str() == STANDARD_INPUT {
        Box::new(std::io::stdin())
    } else {
        Box::new(File::open(log)?)
    };
    let name = log
        .file_stem()
        .map(|stem| stem.to_string_lossy().into_owned());
    let name = name.unwrap_or_default();
    for line in BufReader::new(reader).split(b'\n') {
        let line = line?;
        lines.extend(parse_line(&String::from_utf8_lossy(&line), &name));
    }
    Ok(())
}

fn parse_line(line: &str, file: &str) -> Option<LogLine> {
    let (prefix, _) = line.split_once('{')?;
    let fields: Value = serde_json::from_str(line[prefix.len()..].trim_end()).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    let source = prefix.split_whitespace().last().unwrap_or(file).to_owned();
    Some(LogLine {
        time: text("timestamp")?,
        source,
        code: text("code")?,
        fields,
    })
}

fn collect_trace(id: &str, lines: Vec<LogLine>) -> RequestTrace {
    let (mut request_lines, others): (Vec<LogLine>, Vec<LogLine>) = lines
        .into_iter()
        .partition(|line| line.field("request") == id);
    request_lines.sort_by(|left, right| left.time.cmp(&right.time));
    let upstreams: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.field("upstream"))
        .collect();
    let end = request_lines
        .last()
        .map(|line| line.time.clone())
        .unwrap_or_default();
    let mut upstream_lines: Vec<LogLine> = others
        .into_iter()
        .filter(|line| UPSTREAM_EVENTS.iter().any(|code| line.has_code(*code)))
        .filter(|line| !line.field("upstream").is_empty() && line.time <= end)
        .filter(|line| upstreams.contains(line.field("upstream")))
        .collect();
    upstream_lines.sort_by(|left, right| left.time.cmp(&right.time));
    let surplus = upstream_lines.len().saturating_sub(MAX_UPSTREAM_LINES);
    upstream_lines.drain(..surplus);
    RequestTrace {
        lines: request_lines,
        upstream_lines,
    }
}

fn event_table(lines: &[LogLine]) -> TextTable {
    let mut table = TextTable::new(&["TIME", "FROM", "CODE", "EVENT", "WHAT"]);
    for line in lines {
        table.row([
            line.time.clone(),
            line.source.clone(),
            line.code.clone(),
            line.field("event").to_owned(),
            line.details(),
        ]);
    }
    table
}

/// Describes the waits of the request in the caller queue; empty if it never waited.
fn describe_waits(trace: &RequestTrace) -> String {
    let mut lines = trace.lines.iter();
    let Some(start) = lines.find(|line| line.has_code(EventCode::RequestWaiting)) else {
        return String::new();
    };
    let ended = |line: &&LogLine| {
        line.has_code(EventCode::RequestReleased) || line.has_code(EventCode::RequestExpired)
    };
    let waits: Vec<String> = trace
        .lines
        .iter()
        .filter(ended)
        .map(|line| {
            let released = line.has_code(EventCode::RequestReleased);
            let end = if released { "released" } else { "ended" };
            format!(
                "{end} after {} ({})",
                line.field("duration"),
                line.field("reason")
            )
        })
        .collect();
    let waits = if waits.is_empty() {
        "and no log has the end of the wait".to_owned()
    } else {
        waits.join(", then ")
    };
    format!(
        " It waited at {} from {}: {waits}.",
        start.source, start.time
    )
}

/// Summarizes the outcome of the request in one or two sentences.
fn describe_outcome(trace: &RequestTrace) -> String {
    let last = |codes: &[EventCode]| {
        let mut lines = trace.lines.iter().rev();
        lines.find(|line| codes.iter().any(|code| line.has_code(*code)))
    };
    let started = trace
        .lines
        .iter()
        .filter(|line| line.has_code(EventCode::WorkStarted));
    let started = match started.count() {
        0 => "at no time".to_owned(),
        1 => "once".to_owned(),
        count => format!("{count} times"),
    };
    let end = trace
        .lines
        .iter()
        .rev()
        .find(|line| !line.field("run").is_empty());
    let retry_note = match last(&[EventCode::RetryBudgetExhausted]) {
        Some(line) => format!(
            " The retry budget of {} allowed no further try at {}.",
            line.source, line.time
        ),
        None => String::new(),
    };
    let retry_note = retry_note + &describe_waits(trace);
    let Some(end) = end else {
        return match last(&[EventCode::RequestServed]) {
            Some(line) => format!("Served: {}.{retry_note}", line.details()),
            None => "No log has its end: a daemon's log is missing, or it still runs.".to_owned(),
        };
    };
    let cause = match last(&[EventCode::WorkEnded, EventCode::WorkRefused]) {
        Some(line) => format!("{}: {}", line.field("event"), line.details()),
        None => "no node beside an upstream was asked".to_owned(),
    };
    match end.field("run") {
        "not-run" => format!(
            "Not run ({}): handed to a backend server {started}, and run by none. Last \
             word from beside an upstream: {cause}.{retry_note}",
            end.field("refusal")
        ),
        _ => format!(
            "May have run ({}): handed to a backend server {started}. Last word from beside \
             an upstream: {cause}.{retry_note}",
            end.field("refusal")
        ),
    }
}
