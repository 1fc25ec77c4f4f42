//! Numbered event catalogue, log set-up, metrics and the burn report.
//!
//! ```text
//! decision logic --notes--> daemon --EventThrottle--> tracing --LogSettings--> stderr
//!                             |---- MetricRegistry --flush once a second--> MetricSink (statsd)
//!                             `---- BurnLedger --report--> BurnReport --merge--> command line
//! ```
//!
//! Nothing here decides about requests, and none of it may slow one down: on the request path an
//! event is two atomic additions when it is suppressed, a metric one, and a burn count two
//! look-ups of names. Time is passed in.

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
