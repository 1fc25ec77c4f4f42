//! Registry of metric series, aggregated on the node and flushed within a byte budget.

use std::collections::BTreeMap;
use std::sync::Mutex;

use super::meter::{MetricCounter, MetricGauge, MetricTags, MetricTimer};
use super::series::{FlushCount, MetricFlush, MetricSeries, SeriesMeter};
use super::sink::MetricSink;
use super::{MetricKind, MetricName, MetricSettings};

/// Tag value of the series shared by all beyond the maximum number of series.
pub const OTHER_SERIES: &str = "(other)";

/// Registry of all metric series of one daemon.
///
/// ```text
/// request path --add/set/record--> series (atomics) --flush, once a second--> MetricSink
/// ```
///
/// A flush stops once it has sent `budget_bytes`. Series that do not fit keep their counts and are
/// sent first by the next flush, so counts may arrive late but are not lost here.
#[derive(Debug)]
pub struct MetricRegistry {
    settings: MetricSettings,
    table: Mutex<SeriesTable>,
}

#[derive(Debug, Default)]
struct SeriesTable {
    index_by_key: BTreeMap<(MetricName, MetricTags), usize>,
    series: Vec<MetricSeries>,
    timers: usize,
    next_index: usize,
}

impl MetricRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(settings: &MetricSettings) -> Self {
        Self {
            settings: settings.clone(),
            table: Mutex::default(),
        }
    }

    /// Returns the counter with this name and these tags. Keep the handle: this takes a lock.
    ///
    /// Beyond the maximum number of series, counters of one name share a series with
    /// [`OTHER_SERIES`] in its tags.
    #[must_use]
    pub fn counter(&self, name: MetricName, tags: &MetricTags) -> MetricCounter {
        self.find_or_create(name, tags, |meter| match meter {
            SeriesMeter::Counter(counter) => Some(counter.clone()),
            _ => None,
        })
    }

    /// Returns the gauge with this name and these tags. Keep the handle: this takes a lock.
    ///
    /// Beyond the maximum number of series the gauge is not sent, because gauges of different
    /// things do not add up.
    #[must_use]
    pub fn gauge(&self, name: MetricName, tags: &MetricTags) -> MetricGauge {
        self.find_or_create(name, tags, |meter| match meter {
            SeriesMeter::Gauge(series) => Some(series.gauge.clone()),
            _ => None,
        })
    }

    /// Returns the timer with this name and these tags. Keep the handle: this takes a lock.
    ///
    /// Beyond the maximum number of timers or series, timers of one name share a series with
    /// [`OTHER_SERIES`] in its tags.
    #[must_use]
    pub fn timer(&self, name: MetricName, tags: &MetricTags) -> MetricTimer {
        self.find_or_create(name, tags, |meter| match meter {
            SeriesMeter::Timer(timer) => Some(timer.clone()),
            _ => None,
        })
    }

    /// Returns the number of series.
    #[must_use]
    pub fn series_count(&self) -> usize {
        self.table.lock().map_or(0, |table| table.series.len())
    }

    /// Sends the changed series to the sink, within the byte budget. Call it once a second.
    pub fn flush(&self, sink: &dyn MetricSink) -> FlushCount {
        let mut flush = MetricFlush {
            prefix: &self.settings.prefix,
            sink,
            count: FlushCount::default(),
        };
        if let Ok(mut table) = self.table.lock() {
            table.flush(&mut flush, self.settings.budget_bytes as usize);
        }
        sink.flush();
        flush.count
    }

    /// Returns the meter of a series, creating the series if needed. For a metric of another kind,
    /// returns a meter that is never sent.
    fn find_or_create<M, F>(&self, name: MetricName, tags: &MetricTags, select: F) -> M
    where
        M: Default,
        F: FnOnce(&SeriesMeter) -> Option<M>,
    {
        let Ok(mut table) = self.table.lock() else {
            return M::default();
        };
        let index = table.series_index(&self.settings, name, tags);
        let meter = index.and_then(|index| select(table.series[index].meter()));
        meter.unwrap_or_default()
    }
}

impl SeriesTable {
    fn flush(&mut self, flush: &mut MetricFlush<'_>, budget: usize) {
        let total = self.series.len();
        for step in 0..total {
            if flush.count.bytes >= budget {
                flush.count.waiting = total - step;
                return;
            }
            let index = self.next_index % total;
            self.series[index].flush(flush);
            self.next_index = index + 1;
        }
    }

    fn series_index(
        &mut self,
        settings: &MetricSettings,
        name: MetricName,
        tags: &MetricTags,
    ) -> Option<usize> {
        if let Some(&index) = self.index_by_key.get(&(name, tags.clone())) {
            return Some(index);
        }
        if !self.is_full(settings, name) {
            return Some(self.insert(name, tags.clone()));
        }
        if name.kind() == MetricKind::Gauge {
            return None;
        }
        let other = other_tags(name);
        let existing = self.index_by_key.get(&(name, other.clone())).copied();
        Some(existing.unwrap_or_else(|| self.insert(name, other)))
    }

    fn is_full(&self, settings: &MetricSettings, name: MetricName) -> bool {
        let timer = name.kind() == MetricKind::Timer;
        let timers_full = timer && self.timers >= settings.max_timers as usize;
        timers_full || self.series.len() >= settings.max_series as usize
    }

    fn insert(&mut self, name: MetricName, tags: MetricTags) -> usize {
        let index = self.series.len();
        self.timers += usize::from(name.kind() == MetricKind::Timer);
        self.index_by_key.insert((name, tags.clone()), index);
        self.series.push(MetricSeries::new(name, tags));
        index
    }
}

fn other_tags(name: MetricName) -> MetricTags {
    name.tags()
        .iter()
        .fold(MetricTags::new(), |tags, tag| tags.with(tag, OTHER_SERIES))
}
