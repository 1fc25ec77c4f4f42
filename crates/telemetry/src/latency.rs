//! Histogram of latencies that can be merged between daemons.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Highest latency that the histogram records, in microseconds: five minutes.
const MAX_LATENCY_US: u64 = 300_000_000;
/// Significant decimal digits kept: the error of a value is at most 1%.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Histogram of latencies.
///
/// Values are kept to two significant digits, so the size is bounded. In JSON, a summary is a list
/// of buckets with their counts, so that the sum over many daemons is exact.
#[derive(Clone, Debug)]
pub struct LatencySummary {
    histogram: Histogram<u32>,
}

/// Serialized form of a summary: pairs of the value of a bucket in microseconds and its count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct LatencyBuckets(Vec<(u64, u32)>);

/// Percentiles shown in reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyPercentiles {
    /// Number of latencies recorded.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Highest latency recorded, in microseconds.
    pub max_us: u64,
}

impl Default for LatencySummary {
    fn default() -> Self {
        Self::new()
    }
}

impl LatencySummary {
    /// Creates an empty summary.
    ///
    /// # Panics
    ///
    /// Never panics: the bounds are constants that the histogram accepts.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid constants");
        Self { histogram }
    }

    /// Records a latency. One above five minutes counts as five minutes, one below a microsecond as
    /// one.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds the latencies of another summary.
    pub fn merge(&mut self, other: &Self) {
        for value in other.histogram.iter_recorded() {
            self.histogram
                .saturating_record_n(value.value_iterated_to(), value.count_at_value());
        }
    }

    /// Removes all recorded latencies.
    pub fn clear(&mut self) {
        self.histogram.reset();
    }

    /// Returns the recorded values in microseconds, ascending, with the count of each.
    pub fn buckets(&self) -> impl Iterator<Item = (u32, u32)> {
        let recorded = self.histogram.iter_recorded();
        recorded.map(|value| {
            let micros = u32::try_from(value.value_iterated_to()).unwrap_or(u32::MAX);
            (micros, value.count_at_value())
        })
    }

    /// Returns the number of latencies recorded.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the latency at a quantile from 0 to 1, or zero when nothing was recorded.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }

    /// Returns the percentiles shown in reports.
    #[must_use]
    pub fn percentiles(&self) -> LatencyPercentiles {
        LatencyPercentiles {
            count: self.count(),
            p50_us: self.histogram.value_at_quantile(0.5),
            p99_us: self.histogram.value_at_quantile(0.99),
            p999_us: self.histogram.value_at_quantile(0.999),
            max_us: self.histogram.max(),
        }
    }
}

impl PartialEq for LatencySummary {
    fn eq(&self, other: &Self) -> bool {
        self.histogram == other.histogram
    }
}

impl Serialize for LatencySummary {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let buckets = self
            .histogram
            .iter_recorded()
            .map(|value| (value.value_iterated_to(), value.count_at_value()))
            .collect();
        LatencyBuckets(buckets).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for LatencySummary {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let LatencyBuckets(buckets) = LatencyBuckets::deserialize(deserializer)?;
        let mut summary = Self::new();
        for (micros, count) in buckets {
            summary.histogram.saturating_record_n(micros, count);
        }
        Ok(summary)
    }
}
