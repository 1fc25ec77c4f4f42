//! The metrics thread: flushes the metric registry once a second.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use anyhow::Context;
use sycamorelink_telemetry::metric::{MetricCounter, TeeSink};
use sycamorelink_telemetry::{
    EventCode, EventFields, MetricName, MetricSink, MetricTags, open_sink,
};

use crate::metrics::NodeTelemetry;

/// Time between two flushes.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time between two checks of the stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the metrics thread. Once `stop` is set, the thread flushes a last time and ends.
///
/// # Errors
///
/// When no socket for the configured address can be opened or the thread cannot be started.
pub fn start_metrics(
    telemetry: NodeTelemetry,
    stop: Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let sink = open_sink(&telemetry.settings).context("cannot send metrics")?;
    let sink: Box<dyn MetricSink> = match &telemetry.page {
        Some(page) => Box::new(TeeSink::new(sink, Box::new(page.clone()))),
        None => sink,
    };
    let sender = MetricSender::new(telemetry, sink);
    thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || run_thread(sender, &stop))
        .context("cannot start the metrics thread")
}

fn run_thread(mut sender: MetricSender, stop: &AtomicBool) {
    let mut next_flush = Instant::now() + FLUSH_PERIOD;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= next_flush {
            next_flush = now + FLUSH_PERIOD;
            sender.flush();
        }
        thread::sleep(STOP_POLL_INTERVAL.min(next_flush.saturating_duration_since(now)));
    }
    sender.flush();
}

struct MetricSender {
    telemetry: NodeTelemetry,
    sink: Box<dyn MetricSink>,
    dropped: MetricCounter,
    lost_before: u64,
}

impl MetricSender {
    fn new(telemetry: NodeTelemetry, sink: Box<dyn MetricSink>) -> Self {
        let tags = MetricTags::new();
        let dropped = telemetry
            .registry
            .counter(MetricName::MetricsDropped, &tags);
        Self {
            telemetry,
            sink,
            dropped,
            lost_before: 0,
        }
    }

    fn flush(&mut self) {
        self.telemetry.events.report_suppressed();
        let flushed = self.telemetry.registry.flush(self.sink.as_ref());
        let lost = self.sink.lost();
        let newly_dropped = flushed.dropped + lost.saturating_sub(self.lost_before);
        self.lost_before = lost;
        if newly_dropped > 0 {
            self.dropped.add(newly_dropped);
            let fields = EventFields::new().count(&newly_dropped);
            self.telemetry
                .events
                .emit(EventCode::MetricsDropped, &fields);
        }
    }
}
