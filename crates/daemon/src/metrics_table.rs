//! Handles of the metrics that the decision thread updates, created on first use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{CustomerName, ServiceName};
use sycamorelink_telemetry::metric::{MetricCounter, MetricGauge, MetricTimer, OTHER_SERIES};
use sycamorelink_telemetry::{MetricName, MetricRegistry, MetricTags};

/// Maximum number of handles of one kind (counter, gauge or timer), as many as the registry keeps
/// series.
const MAX_HANDLES: usize = 1024;

/// A metric and the values of its tags. Values for tags that the metric lacks are ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    name: MetricName,
    customer: Option<CustomerName>,
    service: Option<ServiceName>,
    detail: &'static str,
}

impl SeriesKey {
    /// Creates the key of a metric without tag values.
    #[must_use]
    pub const fn of(name: MetricName) -> Self {
        Self {
            name,
            customer: None,
            service: None,
            detail: "",
        }
    }

    /// Sets the value of the tag `customer`.
    #[must_use]
    pub fn customer(mut self, customer: &CustomerName) -> Self {
        self.customer = Some(customer.clone());
        self
    }

    /// Sets the value of the tag `service`.
    #[must_use]
    pub fn service(mut self, service: &ServiceName) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Sets the value of any other tag of the metric, such as an outcome.
    #[must_use]
    pub const fn detail(mut self, detail: &'static str) -> Self {
        self.detail = detail;
        self
    }

    fn tags(&self) -> MetricTags {
        let known = self.name.tags().iter().filter_map(|tag| {
            let value = match *tag {
                "customer" => self.customer.as_ref().map(CustomerName::as_str),
                "service" => self.service.as_ref().map(ServiceName::as_str),
                _ => Some(self.detail),
            };
            value
                .filter(|value| !value.is_empty())
                .map(|value| (*tag, value))
        });
        known.fold(MetricTags::new(), |tags, (tag, value)| {
            tags.with(tag, value)
        })
    }

    fn overflow(mut self) -> Self {
        self.customer = self.customer.map(|_| CustomerName::new(OTHER_SERIES));
        self.service = self.service.map(|_| ServiceName::new(OTHER_SERIES));
        self
    }
}

/// Looks up metric handles by name and tags.
///
/// The number of handles is bounded, so that a flood of customer or service names cannot grow the
/// table without limit. Beyond the bound, further names share one handle, as they share a series.
#[derive(Debug)]
pub struct MetricTable {
    registry: Arc<MetricRegistry>,
    counters: BTreeMap<SeriesKey, MetricCounter>,
    gauges: BTreeMap<SeriesKey, MetricGauge>,
    timers: BTreeMap<SeriesKey, MetricTimer>,
}

impl MetricTable {
    /// Creates a table without handles.
    #[must_use]
    pub fn new(registry: Arc<MetricRegistry>) -> Self {
        Self {
            registry,
            counters: BTreeMap::new(),
            gauges: BTreeMap::new(),
            timers: BTreeMap::new(),
        }
    }

    /// Adds `count` to a counter.
    pub fn add(&mut self, key: SeriesKey, count: u64) {
        let registry = &self.registry;
        let create = |key: &SeriesKey| registry.counter(key.name, &key.tags());
        handle_for(&mut self.counters, key, create).add(count);
    }

    /// Sets a gauge to `value`.
    pub fn set(&mut self, key: SeriesKey, value: u64) {
        let registry = &self.registry;
        let create = |key: &SeriesKey| registry.gauge(key.name, &key.tags());
        handle_for(&mut self.gauges, key, create).set(value);
    }

    /// Adds a duration to a timer.
    pub fn record(&mut self, key: SeriesKey, duration: Duration) {
        let registry = &self.registry;
        let create = |key: &SeriesKey| registry.timer(key.name, &key.tags());
        handle_for(&mut self.timers, key, create).record(duration);
    }
}

fn handle_for<M, F>(handles: &mut BTreeMap<SeriesKey, M>, key: SeriesKey, create: F) -> &M
where
    F: FnOnce(&SeriesKey) -> M,
{
    let full = handles.len() >= MAX_HANDLES;
    let key = if full && !handles.contains_key(&key) {
        key.overflow()
    } else {
        key
    };
    handles.entry(key).or_insert_with_key(create)
}
