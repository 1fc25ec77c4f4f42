//! Handles of metrics for code on the request path.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::latency::LatencySummary;

/// Tags of a series, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MetricTags(Vec<(&'static str, Arc<str>)>);

impl MetricTags {
    /// Returns an empty set of tags.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a tag. Separators of the statsd format and control characters in its value become `_`.
    #[must_use]
    pub fn with(mut self, tag: &'static str, value: &str) -> Self {
        let value = value.replace(is_separator, "_");
        self.0.push((tag, Arc::from(value)));
        self.0.sort_unstable();
        self
    }

    /// Returns the names and values of the tags.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &str)> {
        self.0.iter().map(|(tag, value)| (*tag, value.as_ref()))
    }
}

fn is_separator(character: char) -> bool {
    character.is_control() || matches!(character, ':' | '|' | '#' | ',' | '@')
}

/// Counter whose clones share one count. Adding is one atomic operation.
#[derive(Clone, Debug, Default)]
pub struct MetricCounter(Arc<AtomicU64>);

impl MetricCounter {
    /// Adds `count` to the counter.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the count since the last flush.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns the count since the last call and resets it to zero.
    pub(super) fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Gauge whose clones share one value.
#[derive(Clone, Debug, Default)]
pub struct MetricGauge(Arc<AtomicU64>);

impl MetricGauge {
    /// Sets the value of the gauge.
    pub fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Returns the value last set, initially 0.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Timer whose clones share one histogram of the durations since the last flush.
///
/// Recording holds a lock for a short time.
#[derive(Clone, Default)]
pub struct MetricTimer(Arc<Mutex<LatencySummary>>);

impl MetricTimer {
    /// Records a duration.
    pub fn record(&self, duration: Duration) {
        if let Ok(mut summary) = self.0.lock() {
            summary.record(duration);
        }
    }

    /// Returns the durations since the last call and removes them, or `None` when there are none.
    pub(super) fn take(&self) -> Option<LatencySummary> {
        let mut summary = self.0.lock().ok()?;
        if summary.count() == 0 {
            return None;
        }
        let taken = summary.clone();
        summary.clear();
        Some(taken)
    }
}

impl fmt::Debug for MetricTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricTimer").finish_non_exhaustive()
    }
}
