//! Metrics in the Prometheus text format, for collectors that scrape them.
//!
//! ```text
//! MetricRegistry --flush, once a second--> PageSink --totals--> MetricPage --text--> collector
//! ```
//!
//! Counters are totals since the start of the daemon; durations are histograms in seconds.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

use super::sink::{MetricSample, MetricSink, SinkError};
use super::{MetricKind, MetricTags};
use crate::latency::LatencySummary;

/// Upper bound of the first bucket: about one round trip to a peer.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of buckets; each bound is twice the previous one, up to half a minute.
const BUCKET_COUNT: u16 = 16;
const MICROS_PER_SECOND: f64 = 1e6;

type PageLabels = Vec<(String, String)>;
type HistogramFamily = Family<PageLabels, Histogram, fn() -> Histogram>;

#[derive(Default)]
struct PageState {
    registry: Registry,
    counters: BTreeMap<String, Family<PageLabels, Counter>>,
    gauges: BTreeMap<String, Family<PageLabels, Gauge>>,
    histograms: BTreeMap<String, HistogramFamily>,
}

/// Metrics in the Prometheus text format; clones share one page.
#[derive(Clone, Default)]
pub struct MetricPage {
    state: Arc<Mutex<PageState>>,
    prefix: Arc<str>,
}

impl fmt::Debug for MetricPage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricPage").finish_non_exhaustive()
    }
}

impl MetricPage {
    /// Creates an empty page whose metric names start with `prefix`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            state: Arc::default(),
            prefix: Arc::from(prefix),
        }
    }

    /// Returns the page as text, as of the last flush.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let encoded = self
            .state
            .lock()
            .map(|state| encode(&mut text, &state.registry));
        match encoded {
            Ok(Ok(())) => text,
            // Writing to a string cannot fail, and a poisoned lock means that a thread panicked.
            Ok(Err(_)) | Err(_) => "# the metrics cannot be read\n".to_owned(),
        }
    }

    fn name(&self, name: &str) -> String {
        let plain = name.replace(['.', '-'], "_");
        format!(
            "{}_{plain}",
            self.prefix.trim_end_matches('.').replace('.', "_")
        )
    }
}

fn labels_of(tags: &MetricTags) -> PageLabels {
    tags.iter()
        .map(|(tag, value)| (tag.to_owned(), value.to_owned()))
        .collect()
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

/// Returns the family with this name, and registers it on first use.
fn family_of<T>(
    registry: &mut Registry,
    families: &mut BTreeMap<String, T>,
    name: String,
    create: fn() -> T,
) -> T
where
    T: Metric + Clone,
{
    let family = families.entry(name).or_insert_with_key(|name| {
        let family = create();
        registry.register(name, "see docs/metrics.md", family.clone());
        family
    });
    family.clone()
}

impl PageState {
    fn counter(&mut self, name: String) -> Family<PageLabels, Counter> {
        family_of(
            &mut self.registry,
            &mut self.counters,
            name,
            Family::default,
        )
    }

    fn gauge(&mut self, name: String) -> Family<PageLabels, Gauge> {
        family_of(&mut self.registry, &mut self.gauges, name, Family::default)
    }

    fn histogram(&mut self, name: String) -> HistogramFamily {
        let create = || Family::new_with_constructor(new_histogram as fn() -> Histogram);
        family_of(&mut self.registry, &mut self.histograms, name, create)
    }
}

impl MetricSink for MetricPage {
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError> {
        let Ok(mut state) = self.state.lock() else {
            return Err(SinkError::Page);
        };
        let (name, labels) = (self.name(sample.name), labels_of(sample.tags));
        match sample.kind {
            MetricKind::Counter => {
                state
                    .counter(name)
                    .get_or_create(&labels)
                    .inc_by(sample.value);
            }
            MetricKind::Gauge | MetricKind::Timer => {
                let value = i64::try_from(sample.value).unwrap_or(i64::MAX);
                state.gauge(name).get_or_create(&labels).set(value);
            }
        }
        Ok(())
    }

    fn send_durations(&self, name: &str, tags: &MetricTags, summary: &LatencySummary) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        let family = state.histogram(format!("{}_seconds", self.name(name)));
        let histogram = family.get_or_create(&labels_of(tags));
        for (micros, count) in summary.buckets() {
            for _ in 0..count {
                histogram.observe(f64::from(micros) / MICROS_PER_SECOND);
            }
        }
        true
    }
}
