//! Summary of latencies by a histogram, mergeable between daemons.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Greatest latency told apart, in microseconds: five minutes.
const HIGHEST_US: u64 = 300_000_000;
/// Significant decimal digits kept: a value is off by at most one in a hundred.
const DIGITS: u8 = 2;

/// Latencies of one service.
///
/// A value is kept to two digits, so the size is bounded whatever is recorded. In JSON it is the
/// list of counts by bucket, so that summaries of many daemons add up exactly.
#[derive(Clone, Debug)]
pub struct LatencySummary {
    histogram: Histogram<u32>,
}

/// A summary as sent: pairs of a bucket's value in microseconds and its count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct LatencyBuckets(Vec<(u64, u32)>);

/// The percentiles that reports show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyPercentiles {
    /// How many were recorded.
    pub count: u64,
    /// Half were faster, in microseconds.
    pub p50_us: u64,
    /// 99 of 100 were faster, in microseconds.
    pub p99_us: u64,
    /// 999 of 1000 were faster, in microseconds.
    pub p999_us: u64,
    /// The slowest, in microseconds.
    pub max_us: u64,
}

impl Default for LatencySummary {
    fn default() -> Self {
        Self::new()
    }
}

impl LatencySummary {
    /// An empty summary.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram accepts.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_US, DIGITS)
            .expect("the bounds are valid constants");
        Self { histogram }
    }

    /// Adds a latency. One over five minutes counts as five minutes.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds what another summary holds.
    pub fn merge(&mut self, other: &Self) {
        for value in other.histogram.iter_recorded() {
            self.histogram
                .saturating_record_n(value.value_iterated_to(), value.count_at_value());
        }
    }

    /// Empties the summary.
    pub fn clear(&mut self) {
        self.histogram.reset();
    }

    /// Values in microseconds with how often each was recorded, rising.
    pub fn buckets(&self) -> impl Iterator<Item = (u32, u32)> {
        let recorded = self.histogram.iter_recorded();
        recorded.map(|value| {
            let micros = u32::try_from(value.value_iterated_to()).unwrap_or(u32::MAX);
            (micros, value.count_at_value())
        })
    }

    /// How many were recorded.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The latency below which `share` of the recorded ones are, from 0 to 1.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(share))
    }

    /// The percentiles that reports show.
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
