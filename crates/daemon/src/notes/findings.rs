//! Records findings of failure detection and notes of the at-most-once guard.

use sycamorelink_core::ServiceName;
use sycamorelink_guard::GuardNote;
use sycamorelink_policy::PoolFinding;
use sycamorelink_telemetry::{EventCode, EventFields, MetricName};

use super::NoteRecorder;
use crate::metrics_table::SeriesKey;

impl NoteRecorder {
    pub(super) fn record_pool_finding(&mut self, service: &ServiceName, finding: &PoolFinding) {
        if let Some(name) = finding_metric(finding) {
            self.increment(SeriesKey::of(name).service(service));
        }
        let fields = EventFields::new().service(service);
        match finding {
            PoolFinding::Suspected { id, cause, .. } => {
                let fields = fields.upstream(id).reason(cause);
                self.emit(EventCode::UpstreamSuspected, &fields);
            }
            PoolFinding::Shifted { id, cause, .. } => {
                let fields = fields.upstream(id).reason(cause);
                self.emit(EventCode::WeightShifted, &fields);
            }
            PoolFinding::Ejected { id, cause, .. } => {
                let fields = fields.upstream(id).reason(cause);
                self.emit(EventCode::UpstreamEjected, &fields);
            }
            PoolFinding::Readmitted { id } => {
                self.emit(EventCode::UpstreamRecovered, &fields.upstream(id));
            }
            PoolFinding::FloorHeld { id, cause } => {
                self.emit(EventCode::FloorHeld, &fields.upstream(id).reason(cause));
            }
            PoolFinding::SharedCause { suspects, active } => {
                let fields = fields.count(suspects).limit(active);
                self.emit(EventCode::SharedCause, &fields);
            }
            PoolFinding::ObserverSuspect { suspects, active } => {
                let fields = fields.count(suspects).limit(active);
                self.emit(EventCode::ObserverSuspect, &fields);
            }
            PoolFinding::ConnectionSuspect { id, .. } => {
                self.emit(EventCode::ConnectionSuspect, &fields.upstream(id));
            }
        }
    }

    pub(super) fn record_guard_note(&mut self, note: &GuardNote) {
        match note {
            GuardNote::AnsweredUnknown { request, key } => {
                let fields = EventFields::new().request(request).key(key);
                self.emit(EventCode::KeyUnknown, &fields);
            }
            GuardNote::KeyClosed { key, attempt } => {
                self.increment(SeriesKey::of(MetricName::KeysClosed));
                let fields = EventFields::new().key(key).request(&attempt.request);
                self.emit(EventCode::KeyClosed, &fields);
            }
            GuardNote::GenerationChanged {
                range, generation, ..
            } => {
                let fields = EventFields::new().range(range).version(generation);
                self.emit(EventCode::GuardReplaced, &fields);
            }
            GuardNote::SeatServing { range, keys, .. } => {
                let fields = EventFields::new().range(range).count(keys);
                self.emit(EventCode::CustodyHanded, &fields);
            }
            GuardNote::RangeClosed { range, .. } => {
                self.emit(EventCode::RangeClosed, &EventFields::new().range(range));
            }
            GuardNote::WatermarkRaised { range, .. } => {
                self.emit(EventCode::KeyTableFull, &EventFields::new().range(range));
            }
        }
    }
}

fn finding_metric(finding: &PoolFinding) -> Option<MetricName> {
    match finding {
        PoolFinding::Ejected { .. } => Some(MetricName::Ejections),
        PoolFinding::Readmitted { .. } => Some(MetricName::Readmissions),
        PoolFinding::FloorHeld { .. } => Some(MetricName::FloorHeld),
        _ => None,
    }
}
