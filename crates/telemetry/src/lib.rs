//! Telemetry of the daemon: numbered events, logging, metrics and error budget reports.
//!
//! ```text
//! decision logic --notes--> daemon --EventThrottle--> tracing --LogSettings--> stderr
//!                             |---- MetricRegistry --flush once a second--> MetricSink (statsd)
//!                             `---- BurnLedger --report--> BurnReport --merge--> command line
//! ```
//!
//! This crate makes no decisions about requests and must not slow them down. On the request path, a
//! suppressed event costs two atomic additions, a metric one atomic addition, and a burn count two
//! map lookups by name. Callers pass in the current time.

pub mod burn;
pub mod event;
pub mod latency;
pub mod log;
pub mod metric;
pub mod reach;

pub use burn::{BurnLedger, BurnObjective, BurnOutcome, BurnReport};
pub use event::{
    EventCode, EventEntry, EventFields, EventLevel, EventThrottle, RefusalEntry, emit, explain,
    render_catalogue,
};
pub use latency::{LatencyPercentiles, LatencySummary};
pub use log::{LogFormat, LogGuard, LogSettings, LogTarget};
pub use metric::{
    MetricName, MetricPage, MetricRegistry, MetricSettings, MetricSink, MetricTags, open_sink,
    render_metrics,
};
