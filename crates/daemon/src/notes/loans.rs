//! Notes on loans of repeats between backend servers.

use sycamorelink_engine::NodeNote;
use sycamorelink_telemetry::{EventCode, EventFields, MetricName};

use super::NoteRecorder;
use crate::metrics_table::SeriesKey;

impl NoteRecorder {
    pub(super) fn record_loan(&mut self, note: &NodeNote) {
        match note {
            NodeNote::LoanAsked {
                id,
                service,
                lender,
                wanted,
                balance,
                demand,
            } => {
                let reason = balance_text(*balance, *demand);
                let fields = EventFields::new().upstream(id).service(service);
                let fields = fields.peer(lender).count(wanted).reason(&reason);
                self.emit(EventCode::RepeatsRequested, &fields);
            }
            NodeNote::LoanAnswered {
                service,
                borrower,
                wanted,
                repeats,
                balance,
                demand,
            } => {
                let reason = balance_text(*balance, *demand);
                let fields = EventFields::new().service(service).peer(borrower);
                let fields = fields.count(repeats).limit(wanted).reason(&reason);
                if *repeats == 0 {
                    self.emit(EventCode::RepeatsRefused, &fields);
                    return;
                }
                let lent = SeriesKey::of(MetricName::RepeatsLent).service(service);
                self.metrics.add(lent, u64::from(*repeats));
                self.emit(EventCode::RepeatsLent, &fields);
            }
            NodeNote::LoanReceived {
                id,
                service,
                lender,
                repeats,
                balance,
            } => {
                let borrowed = SeriesKey::of(MetricName::RepeatsBorrowed).service(service);
                self.metrics.add(borrowed, u64::from(*repeats));
                let reason = format!("{balance} left");
                let fields = EventFields::new().upstream(id).service(service);
                let fields = fields.peer(lender).count(repeats).reason(&reason);
                self.emit(EventCode::RepeatsBorrowed, &fields);
            }
            NodeNote::LoanDropped {
                service,
                from,
                reason,
            } => {
                let fields = EventFields::new().service(service).peer(from);
                self.emit(EventCode::LoanDropped, &fields.reason(reason));
            }
            NodeNote::LoanEnded { service, repeats } => {
                let unused = SeriesKey::of(MetricName::RepeatsUnused).service(service);
                self.metrics.add(unused, *repeats);
            }
            _ => {}
        }
    }
}

fn balance_text(balance: u64, demand: u64) -> String {
    format!("{balance} left, {demand} requested in the last second")
}
