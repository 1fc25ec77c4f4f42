//! Records the requests that wait in the caller queue, and services that decline work.

use std::sync::Arc;

use sycamorelink_core::ServiceName;
use sycamorelink_engine::{NodeEngine, NodeNote};
use sycamorelink_limits::{ReturnAdvice, ServiceOutlook};
use sycamorelink_telemetry::{EventCode, EventFields, MetricName};

use super::NoteRecorder;
use crate::metrics_table::SeriesKey;

impl NoteRecorder {
    pub(super) fn record_advice(
        &mut self,
        (request, service): (&Arc<str>, &ServiceName),
        advice: ReturnAdvice,
        outlook: &ServiceOutlook,
    ) {
        let (name, delay) = match advice {
            ReturnAdvice::After(delay) => ("after", delay),
            ReturnAdvice::Late(delay) => ("late", delay),
            ReturnAdvice::Never => ("never", outlook.backlog),
        };
        let advised = SeriesKey::of(MetricName::ReturnsAdvised).service(service);
        self.increment(advised.detail(name));
        let reason = format!(
            "{name}, backlog {}ms, {:.0} runs a second, {} daemons",
            outlook.backlog.as_millis(),
            outlook.rate,
            outlook.refusing_nodes
        );
        let delay = format!("{}ms", delay.as_millis());
        let fields = EventFields::new().request(request).service(service);
        let fields = fields.duration(&delay).reason(&reason);
        self.emit(EventCode::RetryAdvised, &fields);
    }

    pub(super) fn record_wait(&mut self, note: &NodeNote) {
        match note {
            NodeNote::WaitStarted {
                request,
                service,
                reason,
                place,
                waiting,
                left,
                expected,
            } => {
                let expected = expected.map_or_else(
                    || "release not known".to_owned(),
                    |wait| format!("release expected in {}ms", wait.as_millis()),
                );
                let reason = format!("{}, place {place}, {expected}", reason.as_str());
                let left = format!("{}ms", left.as_millis());
                let fields = EventFields::new().request(request).service(service);
                let fields = fields.count(waiting).limit(&left).reason(&reason);
                self.emit(EventCode::RequestWaiting, &fields);
            }
            NodeNote::WaitReleased {
                request,
                service,
                reason,
                waited,
                left,
            } => {
                let reason = reason.as_str();
                let released = SeriesKey::of(MetricName::CallersReleased).service(service);
                self.increment(released.detail(reason));
                let waited = format!("{}ms", waited.as_millis());
                let left = format!("{}ms", left.as_millis());
                let fields = EventFields::new().request(request).service(service);
                let fields = fields.duration(&waited).limit(&left).reason(&reason);
                self.emit(EventCode::RequestReleased, &fields);
            }
            NodeNote::WaitEnded {
                request,
                service,
                reason,
                end,
                waited,
                left,
            } => {
                let ended = SeriesKey::of(MetricName::CallersExpired).service(service);
                self.increment(ended.detail(end.as_str()));
                let reason = format!("{}, {}", end.as_str(), reason.as_str());
                let waited = format!("{}ms", waited.as_millis());
                let left = format!("{}ms", left.as_millis());
                let fields = EventFields::new().request(request).service(service);
                let fields = fields.duration(&waited).limit(&left).reason(&reason);
                self.emit(EventCode::RequestExpired, &fields);
            }
            NodeNote::DecliningChanged {
                service,
                declining,
                counts,
                waiting,
            } => {
                let code = if *declining {
                    EventCode::ServiceDeclining
                } else {
                    EventCode::ServiceAccepting
                };
                let reason = format!(
                    "declined by {} servers, {waiting} requests wait here",
                    counts.servers
                );
                let fields = EventFields::new().service(service).reason(&reason);
                let fields = fields.count(&counts.declined).limit(&counts.arrivals);
                self.emit(code, &fields);
            }
            _ => {}
        }
    }

    /// Updates the gauge of waiting requests, where the node has a caller queue.
    pub(super) fn update_wait_gauges(&mut self, engine: &NodeEngine) {
        for (reason, count) in engine.waiting_requests().into_iter().flatten() {
            let key = SeriesKey::of(MetricName::CallersWaiting).detail(reason.as_str());
            self.metrics.set(key, count as u64);
        }
    }
}
