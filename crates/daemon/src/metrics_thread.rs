//! The metrics thread: sends what has added up, once a second.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use anyhow::Context;
use sycamorelink_telemetry::metric::{MetricCounter, PairSink};
use sycamorelink_telemetry::{
    EventCode, EventFields, MetricName, MetricSink, MetricTags, open_sink,
};

use crate::metrics::NodeTelemetry;

/// Time between two sendings.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);
/// How long a pause of the thread is before the stop flag is looked at.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts the thread; it ends soon after the flag is set, with a last sending.
///
/// # Errors
///
/// When the address of the settings cannot be sent to or the thread cannot be started.
pub fn start_metrics(
    telemetry: NodeTelemetry,
    stop: Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let sink = open_sink(&telemetry.settings).context("cannot send metrics")?;
    let sink: Box<dyn MetricSink> = match &telemetry.page {
        Some(page) => Box::new(PairSink::new(sink, Box::new(page.clone()))),
        None => sink,
    };
    let sender = MetricSender::new(telemetry, sink);
    thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || run_thread(sender, &stop))
        .context("cannot start the metrics thread")
}

fn run_thread(mut sender: MetricSender, stop: &AtomicBool) {
    let mut next = Instant::now() + FLUSH_PERIOD;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= next {
            next = now + FLUSH_PERIOD;
            sender.send();
        }
        thread::sleep(PAUSE.min(next.saturating_duration_since(now)));
    }
    sender.send();
}

struct MetricSender {
    telemetry: NodeTelemetry,
    sink: Box<dyn MetricSink>,
    dropped: MetricCounter,
    lost: u64,
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
            lost: 0,
        }
    }

    fn send(&mut self) {
        self.telemetry.events.sweep();
        let flushed = self.telemetry.registry.flush(self.sink.as_ref());
        let lost = self.sink.lost();
        let missing = flushed.dropped + lost.saturating_sub(self.lost);
        self.lost = lost;
        if missing > 0 {
            self.dropped.add(missing);
            let fields = EventFields::new().count(&missing);
            self.telemetry
                .events
                .emit(EventCode::MetricsDropped, &fields);
        }
    }
}
