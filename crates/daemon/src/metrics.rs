//! What every thread of the daemon tells operators with: numbered events and metrics.
//!
//! ```text
//!  decision thread ─ NoteKeeper ─┐
//!  log, gossip, work threads ────┼─▶ EventPort ─▶ EventThrottle ─▶ log on stderr
//!  operators thread ─ audit ─────┘        │
//!                                         ▼
//!                 MeterTable ─▶ MetricRegistry ─ metrics thread, once a second ─▶ UDP
//! ```
//!
//! Nothing here waits: an event is a few atomic additions and at most a line on stderr, a metric is
//! an atomic addition, and sending is the duty of the metrics thread alone.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::NodeClock;
use sycamorelink_telemetry::{
    EventCode, EventFields, EventThrottle, MetricName, MetricPage, MetricRegistry, MetricSettings,
    MetricTags, emit,
};

/// Time over which events of one code are counted for the throttle.
const THROTTLE_PERIOD: Duration = Duration::from_secs(1);
/// Events of one code logged in that time.
const THROTTLE_BURST: u32 = 20;

/// Logs numbered events, bounded by code.
#[derive(Clone)]
pub struct EventPort {
    throttle: Arc<EventThrottle>,
    registry: Arc<MetricRegistry>,
    clock: Arc<dyn NodeClock>,
}

impl EventPort {
    /// A port that counts every event in the registry's metric.
    #[must_use]
    pub fn counting(clock: Arc<dyn NodeClock>, registry: &Arc<MetricRegistry>) -> Self {
        let throttle = EventThrottle::new(THROTTLE_PERIOD, THROTTLE_BURST).counting(registry);
        Self {
            throttle: Arc::new(throttle),
            registry: Arc::clone(registry),
            clock,
        }
    }

    /// Logs an event, or counts it when too many like it came.
    pub fn emit(&self, code: EventCode, fields: &EventFields<'_>) {
        self.throttle.emit(self.clock.now(), code, fields);
    }

    /// Logs an event whatever came before. For rare ones that must not be missing.
    pub fn emit_always(&self, code: EventCode, fields: &EventFields<'_>) {
        let tags = MetricTags::new().with("code", code.as_str());
        self.registry.counter(MetricName::Events, &tags).add(1);
        emit(code, fields);
    }

    /// Logs how many events were only counted. Once a second.
    pub fn sweep(&self) {
        self.throttle.sweep(self.clock.now());
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
    /// Where events go.
    pub events: EventPort,
    /// Where metrics add up.
    pub registry: Arc<MetricRegistry>,
    /// How metrics are sent.
    pub settings: MetricSettings,
    /// Metrics as text, where a collector reads them.
    pub page: Option<MetricPage>,
}

impl NodeTelemetry {
    /// Telemetry that sends metrics to this address, or none without one, and keeps a page of them
    /// where one is read.
    #[must_use]
    pub fn new(clock: Arc<dyn NodeClock>, address: Option<SocketAddr>, paged: bool) -> Self {
        let settings = MetricSettings {
            address,
            ..MetricSettings::default()
        };
        let registry = Arc::new(MetricRegistry::new(&settings));
        Self {
            events: EventPort::counting(clock, &registry),
            registry,
            page: paged.then(|| MetricPage::new(&settings.prefix)),
            settings,
        }
    }

    /// Tells that an entry for another thread was dropped. It happens under load only, where a
    /// look-up of the counter costs less than what was dropped.
    pub fn ring_full(&self, ring: &'static str) {
        let tags = MetricTags::new().with("ring", ring);
        self.registry.counter(MetricName::RingFull, &tags).add(1);
        self.events
            .emit(EventCode::RingFull, &EventFields::new().reason(&ring));
    }
}
