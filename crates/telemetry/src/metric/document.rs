//! Rendering of the metrics as the page `docs/metrics.md`.

use std::fmt::Write;

use super::MetricName;

const HEAD: &str = "\
# Metrics

The daemon sends metrics by UDP in the statsd format with tags (`name:value|c|#tag:value`) to the
address in its settings (`telemetry.metrics`), through the library `cadence`. Without an address it
sends none. Every name starts with `sycamorelink.`.

This page is generated from the table in `crates/telemetry/src/metric/name.rs`; a test compares the
two. To update it after a change of the table, run
`UPDATE_DOCS=1 cargo test -p sycamorelink-telemetry --test documents`.

## Cost

- On the request path a counter or gauge costs one atomic operation, and a timer holds a lock for a
  short time. Names and tags are looked up once, when the handle is created.
- Series are aggregated on the node and sent once a second. A counter without a change is not sent,
  and an unchanged gauge only every 30 flushes.
- A flush stops once it has sent 4,096 bytes, so it exceeds this budget by at most one series.
  Counters that do not fit are sent by a later flush and are not lost; gauges and timers arrive
  later.
- The 7 KB/s for control traffic between daemons do **not** include metrics: they go to a
  receiver of the operators and have the budget above. `control_bytes_sent` shows the traffic that
  counts against the 7 KB/s.
- At most 1,024 series are kept, 64 of them timers with up to 12 kB each. Beyond that, the counters
  and timers of one name share a series with `(other)` in its tags, and gauges are not sent.
- The socket is non-blocking: samples that it does not accept at once are dropped and counted in
  `metrics_dropped`. Requests never wait for metrics.

A timer is sent as four lines with a suffix: `.count` (a counter) and the gauges `.p50`, `.p99` and
`.p999`, each over the time since the last flush. The error of a percentile is at most 1%.

## Names

A name marked *Reserved* is not sent by this version.

| Name | Kind | Unit | Tags | Meaning |
|---|---|---|---|---|
";

/// Returns the content of `docs/metrics.md`.
#[must_use]
pub fn render_metrics() -> String {
    let mut page = String::from(HEAD);
    for name in MetricName::ALL {
        let tags: Vec<_> = name.tags().iter().map(|tag| format!("`{tag}`")).collect();
        let mark = if name.is_reserved() {
            "*Reserved.* "
        } else {
            ""
        };
        let _ = writeln!(
            page,
            "| `{name}` | {} | {} | {} | {mark}{} |",
            name.kind(),
            name.unit(),
            tags.join(", "),
            name.meaning(),
        );
    }
    page
}
