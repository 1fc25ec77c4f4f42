//! Metrics: the table of names, handles for the request path, and the export to statsd and
//! Prometheus.

mod document;
mod meter;
mod name;
mod page;
mod registry;
mod series;
mod settings;
mod sink;

pub use document::render_metrics;
pub use meter::{MetricCounter, MetricGauge, MetricTags, MetricTimer};
pub use name::{MetricKind, MetricName};
pub use page::MetricPage;
pub use registry::{MetricRegistry, OTHER_SERIES};
pub use series::FlushCount;
pub use settings::MetricSettings;
pub use sink::{MetricSample, MetricSink, NoopSink, SinkError, StatsdSink, TeeSink, open_sink};
