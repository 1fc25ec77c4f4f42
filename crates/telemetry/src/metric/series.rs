//! One series and what a flush sends of it.

use super::meter::{MetricCounter, MetricGauge, MetricTags, MetricTimer};
use super::sink::{MetricSample, MetricSink};
use super::{MetricKind, MetricName};

/// Flushes after which an unchanged gauge is sent again, for a receiver that restarted.
const GAUGE_REPEAT: u32 = 30;
/// Bytes of a line besides its name, tags and prefix: value, kind and separators.
const LINE_OVERHEAD: usize = 16;

/// What a flush did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlushCount {
    /// Samples given to the sink.
    pub sent: u64,
    /// Samples the sink did not take.
    pub dropped: u64,
    /// Bytes given to the sink, by estimate.
    pub bytes: usize,
    /// Series that had to wait for the next flush.
    pub waiting: usize,
}

/// A flush under way.
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
    age: u32,
}

impl GaugeSeries {
    /// The value when it has to be sent.
    fn due(&mut self) -> Option<u64> {
        let value = self.gauge.get();
        self.age += 1;
        (self.sent != Some(value) || self.age >= GAUGE_REPEAT).then_some(value)
    }

    fn mark_sent(&mut self, value: u64) {
        self.sent = Some(value);
        self.age = 0;
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

    /// Sends what is due. A count that the sink does not take is kept for the next flush.
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
                if let Some(value) = series.due()
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
        shown: crate::latency::LatencyPercentiles,
    ) {
        let parts = [
            ("count", MetricKind::Counter, shown.count),
            ("p50", MetricKind::Gauge, shown.p50_us),
            ("p99", MetricKind::Gauge, shown.p99_us),
            ("p999", MetricKind::Gauge, shown.p999_us),
        ];
        for (part, kind, value) in parts {
            self.send(&format!("{name}.{part}"), kind, tags, value);
        }
    }

    fn send(&mut self, name: &str, kind: MetricKind, tags: &MetricTags, value: u64) -> bool {
        let sample = MetricSample {
            name,
            kind,
            tags,
            value,
        };
        self.count.bytes += self.prefix.len() + name.len() + LINE_OVERHEAD + tag_bytes(tags);
        let taken = self.sink.send(&sample).is_ok();
        if taken {
            self.count.sent += 1;
        } else {
            self.count.dropped += 1;
        }
        taken
    }
}

/// Bytes of the tags on the line, with a separator before each part.
fn tag_bytes(tags: &MetricTags) -> usize {
    tags.iter()
        .map(|(tag, value)| tag.len() + value.len() + 2)
        .sum()
}
