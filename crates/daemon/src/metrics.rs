//! Telemetry that every thread of the daemon shares: numbered events and metrics.
//!
//! ```text
//!  decision thread ─ NoteRecorder ─┐
//!  log, gossip, work threads ──────┼─▶ EventPort ─▶ EventThrottle ─▶ log on stderr
//!  operators thread ─ audit ───────┘        │
//!                                           ▼
//!                  MetricTable ─▶ MetricRegistry ─ metrics thread, once a second ─▶ UDP
//! ```
//!
//! No call blocks on the network: an event costs a few atomic additions and at most one line on
//! stderr, a metric costs one atomic addition, and only the metrics thread sends.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::NodeClock;
use sycamorelink_telemetry::{
    EventCode, EventFields, EventThrottle, MetricName, MetricPage, MetricRegistry, MetricSettings,
    MetricTags, emit,
};

/// Period over which the throttle counts the events of one code.
const THROTTLE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of events of one code that are logged in one [`THROTTLE_PERIOD`].
const THROTTLE_BURST: u32 = 20;

/// Logs numbered events, throttled per event code.
#[derive(Clone)]
pub struct EventPort {
    throttle: Arc<EventThrottle>,
    registry: Arc<MetricRegistry>,
    clock: Arc<dyn NodeClock>,
}

impl EventPort {
    /// Creates a port that also counts every event in the registry's event metric.
    #[must_use]
    pub fn with_counters(clock: Arc<dyn NodeClock>, registry: &Arc<MetricRegistry>) -> Self {
        let throttle = EventThrottle::new(THROTTLE_PERIOD, THROTTLE_BURST).with_counters(registry);
        Self {
            throttle: Arc::new(throttle),
            registry: Arc::clone(registry),
            clock,
        }
    }

    /// Logs an event, or only counts it when the throttle of its code is exhausted.
    pub fn emit(&self, code: EventCode, fields: &EventFields<'_>) {
        self.throttle.emit(self.clock.now(), code, fields);
    }

    /// Logs an event without throttling. For rare events that must not be missing from the log.
    pub fn emit_unthrottled(&self, code: EventCode, fields: &EventFields<'_>) {
        let tags = MetricTags::new().with("code", code.as_str());
        self.registry.counter(MetricName::Events, &tags).add(1);
        emit(code, fields);
    }

    /// Logs how many events were suppressed. The metrics thread calls this once a second.
    pub fn report_suppressed(&self) {
        self.throttle.emit_suppressed(self.clock.now());
    }
}

impl fmt::Debug for EventPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventPort").finish_non_exhaustive()
    }
}

/// Events and metrics of one daemon; cloning shares them.
#[derive(Clone, Debug)]
pub struct NodeTelemetry {
    /// Logger of numbered events.
    pub events: EventPort,
    /// Registry of all metrics of the daemon.
    pub registry: Arc<MetricRegistry>,
    /// Destination and prefix of the metrics that are sent.
    pub settings: MetricSettings,
    /// Metrics as text for collectors that poll; `None` when no such port is configured.
    pub page: Option<MetricPage>,
}

impl NodeTelemetry {
    /// Creates telemetry that sends metrics to `address`, if there is one, and keeps a text page of
    /// them if `serve_page` is set.
    #[must_use]
    pub fn new(clock: Arc<dyn NodeClock>, address: Option<SocketAddr>, serve_page: bool) -> Self {
        let settings = MetricSettings {
            address,
            ..MetricSettings::default()
        };
        let registry = Arc::new(MetricRegistry::new(&settings));
        Self {
            events: EventPort::with_counters(clock, &registry),
            registry,
            page: serve_page.then(|| MetricPage::new(&settings.prefix)),
            settings,
        }
    }

    /// Records that an item for another thread was dropped because its ring was full. Drops happen
    /// only under load, and looking up the counter on each costs less than the dropped work.
    pub fn record_ring_full(&self, ring: &'static str) {
        let tags = MetricTags::new().with("ring", ring);
        self.registry.counter(MetricName::RingFull, &tags).add(1);
        self.events
            .emit(EventCode::RingFull, &EventFields::new().reason(&ring));
    }
}
