//! A metric series and its samples at a flush.

use super::meter::{MetricCounter, MetricGauge, MetricTags, MetricTimer};
use super::sink::{MetricSample, MetricSink};
use super::{MetricKind, MetricName};

/// Number of flushes after which an unchanged gauge is sent again, for a receiver that restarted.
const GAUGE_RESEND_FLUSHES: u32 = 30;
/// Estimated bytes of the value, kind and separators of a line.
const LINE_OVERHEAD_BYTES: usize = 16;

/// Result of a flush.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlushCount {
    /// Number of samples that the sink accepted.
    pub sent: u64,
    /// Number of samples that the sink refused.
    pub dropped: u64,
    /// Estimated bytes of all samples given to the sink.
    pub bytes: usize,
    /// Number of series left for the next flush because the byte budget was used up.
    pub waiting: usize,
}

/// State of a flush in progress.
pub(super) struct MetricFlush<'a> {
    pub prefix: &'a str,
    pub sink: &'a dyn MetricSink,
    pub count: FlushCount,
}

#[derive(Debug)]
pub(super) struct MetricSeries {
    name: MetricName,
    tags: MetricTags,
    meter: SeriesMeter,
}

#[derive(Debug)]
pub(super) enum SeriesMeter {
    Counter(MetricCounter),
    Gauge(GaugeSeries),
    Timer(MetricTimer),
}

#[derive(Debug, Default)]
pub(super) struct GaugeSeries {
    pub gauge: MetricGauge,
    sent: Option<u64>,
    flushes_since_sent: u32,
}

impl GaugeSeries {
    /// Counts a flush, and returns the value when it has changed or has to be sent again.
    fn value_to_send(&mut self) -> Option<u64> {
        let value = self.gauge.get();
        self.flushes_since_sent += 1;
        (self.sent != Some(value) || self.flushes_since_sent >= GAUGE_RESEND_FLUSHES)
            .then_some(value)
    }

    fn mark_sent(&mut self, value: u64) {
        self.sent = Some(value);
        self.flushes_since_sent = 0;
    }
}

impl MetricSeries {
    pub fn new(name: MetricName, tags: MetricTags) -> Self {
        let meter = match name.kind() {
            MetricKind::Counter => SeriesMeter::Counter(MetricCounter::default()),
            MetricKind::Gauge => SeriesMeter::Gauge(GaugeSeries::default()),
            MetricKind::Timer => SeriesMeter::Timer(MetricTimer::default()),
        };
        Self { name, tags, meter }
    }

    pub fn meter(&self) -> &SeriesMeter {
        &self.meter
    }

    /// Sends the samples of the series. A count that the sink refuses is kept for the next flush.
    pub fn flush(&mut self, flush: &mut MetricFlush<'_>) {
        let (name, tags) = (self.name, &self.tags);
        match &mut self.meter {
            SeriesMeter::Counter(counter) => {
                let value = counter.take();
                if value > 0 && !flush.send(name.as_str(), MetricKind::Counter, tags, value) {
                    counter.add(value);
                }
            }
            SeriesMeter::Gauge(series) => {
                if let Some(value) = series.value_to_send()
                    && flush.send(name.as_str(), MetricKind::Gauge, tags, value)
                {
                    series.mark_sent(value);
                }
            }
            SeriesMeter::Timer(timer) => {
                if let Some(summary) = timer.take()
                    && !flush.sink.send_durations(name.as_str(), tags, &summary)
                {
                    flush.send_timer(name, tags, summary.percentiles());
                }
            }
        }
    }
}

impl MetricFlush<'_> {
    fn send_timer(
        &mut self,
        name: MetricName,
        tags: &MetricTags,
        percentiles: crate::latency::LatencyPercentiles,
    ) {
        let samples = [
            ("count", MetricKind::Counter, percentiles.count),
            ("p50", MetricKind::Gauge, percentiles.p50_us),
            ("p99", MetricKind::Gauge, percentiles.p99_us),
            ("p999", MetricKind::Gauge, percentiles.p999_us),
        ];
        for (suffix, kind, value) in samples {
            self.send(&format!("{name}.{suffix}"), kind, tags, value);
        }
    }

    fn send(&mut self, name: &str, kind: MetricKind, tags: &MetricTags, value: u64) -> bool {
        let sample = MetricSample {
            name,
            kind,
            tags,
            value,
        };
        self.count.bytes += self.prefix.len() + name.len() + LINE_OVERHEAD_BYTES + tag_bytes(tags);
        let accepted = self.sink.send(&sample).is_ok();
        if accepted {
            self.count.sent += 1;
        } else {
            self.count.dropped += 1;
        }
        accepted
    }
}

/// Returns the bytes of the tags in a line, with a separator before each name and value.
fn tag_bytes(tags: &MetricTags) -> usize {
    tags.iter()
        .map(|(tag, value)| tag.len() + value.len() + 2)
        .sum()
}
