//! What the end of a request says: an event, counts and burn.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};
use sycamorelink_engine::RequestSummary;
use sycamorelink_telemetry::burn::{ObjectiveSource, RequestEnd};
use sycamorelink_telemetry::{BurnOutcome, EventCode, EventFields, MetricName};

use super::NoteKeeper;
use crate::metrics_table::SeriesKey;

/// Services whose upstreams are counted in gauges, at most.
const SERVICE_BOUND: usize = 64;
/// Outcome in the metric of what the caller brought about itself.
const CALLER_OUTCOME: &str = "caller";

impl NoteKeeper {
    pub(super) fn settle(&mut self, now: Duration, summary: &RequestSummary) {
        let outcome = self.judge(now, summary);
        self.count_request(summary, outcome);
        let code = match &summary.refusal {
            Some(refusal) => refusal_event(refusal),
            None => EventCode::RequestServed,
        };
        self.tell(code, summary);
        if let Some(refusal) = &summary.refusal {
            self.count_refusal(now, summary, refusal);
        }
    }

    /// A service without an objective of its own is judged by the usual one, as the report does. A
    /// request that no contract is known for burns nothing, and is judged alike for the metric.
    fn judge(&mut self, now: Duration, summary: &RequestSummary) -> Option<BurnOutcome> {
        let parts = summary.customer.as_ref().zip(summary.service.as_ref());
        let term =
            parts.and_then(|(customer, service)| self.objectives.objective(customer, service));
        let objective = term.unwrap_or_default().objective;
        let outcome = objective.judge(summary.latency, &end_of(summary))?;
        if let Some((customer, service)) = parts {
            self.burn.record(now, customer, service, outcome);
        }
        Some(outcome)
    }

    fn count_request(&mut self, summary: &RequestSummary, outcome: Option<BurnOutcome>) {
        let outcome = outcome.map_or(CALLER_OUTCOME, BurnOutcome::as_str);
        let mut requests = SeriesKey::of(MetricName::Requests).detail(outcome);
        if let Some(customer) = &summary.customer {
            requests = requests.customer(customer);
        }
        if let Some(service) = &summary.service {
            requests = requests.service(service);
            if self.services.len() < SERVICE_BOUND && !self.services.contains(service) {
                self.services.insert(service.clone());
            }
            let latency = SeriesKey::of(MetricName::Latency).service(service);
            self.meters.record(latency, summary.latency);
            let attempts = SeriesKey::of(MetricName::Attempts).service(service);
            self.meters.add(attempts, u64::from(summary.attempts));
        }
        self.count(requests);
    }

    fn count_refusal(&mut self, now: Duration, summary: &RequestSummary, refusal: &RequestRefusal) {
        let code = refusal.code;
        let mut refusals = SeriesKey::of(MetricName::Refusals).detail(code.as_str());
        if let Some(service) = &summary.service {
            refusals = refusals.service(service);
        }
        self.count(refusals);
        let (Some(customer), Some(service)) = (&summary.customer, &summary.service) else {
            return;
        };
        if refusal.run == RunState::Unknown && code != RefusalCode::CallerGone {
            let unknowns = SeriesKey::of(MetricName::Unknowns);
            self.count(unknowns.customer(customer).service(service));
        }
        match code {
            RefusalCode::LimitExceeded => {
                self.count(SeriesKey::of(MetricName::LimitRefused).customer(customer));
            }
            RefusalCode::Overloaded => {
                self.count(SeriesKey::of(MetricName::Shed).service(service));
                self.shedding.insert(service.clone(), now);
            }
            _ => {}
        }
    }

    fn tell(&self, code: EventCode, summary: &RequestSummary) {
        let attempts = format!("attempts {}", summary.attempts);
        let took = format!("{}ms", summary.latency.as_millis());
        let status = summary.status.unwrap_or_default();
        let mut fields = EventFields::new().request(&summary.label);
        fields = fields.reason(&attempts).duration(&took);
        if summary.status.is_some() {
            fields = fields.count(&status);
        }
        if let Some(customer) = &summary.customer {
            fields = fields.customer(customer);
        }
        if let Some(service) = &summary.service {
            fields = fields.service(service);
        }
        if let Some(refusal) = &summary.refusal {
            fields = fields.refusal(&refusal.code).run(&refusal.run);
        }
        self.emit(code, &fields);
    }
}

fn end_of(summary: &RequestSummary) -> RequestEnd {
    match (&summary.refusal, summary.status) {
        (Some(refusal), _) => RequestEnd::Refusal(refusal.clone()),
        (None, status) => RequestEnd::Reply(status.unwrap_or_default()),
    }
}

/// The event of a refusal: that of its code, but an unknown end is always told as such.
fn refusal_event(refusal: &RequestRefusal) -> EventCode {
    match (refusal.code, refusal.run) {
        (RefusalCode::CallerGone, _) => EventCode::CallerGone,
        (_, RunState::Unknown) => EventCode::RequestUnknown,
        (RefusalCode::UnknownCustomer, _) => EventCode::CallerDenied,
        (RefusalCode::LimitExceeded, _) => EventCode::LimitExceeded,
        (RefusalCode::Overloaded, _) => EventCode::OverloadShedding,
        (RefusalCode::NoUpstream, _) => EventCode::NoUpstream,
        (RefusalCode::DeadlineExceeded, _) => EventCode::DeadlineExceeded,
        (RefusalCode::NotReady, _) => EventCode::ContractMissing,
        (RefusalCode::KeyReused, _) => EventCode::KeyReused,
        (RefusalCode::KeyExpired, _) => EventCode::KeyExpired,
        (RefusalCode::KeyBusy, _) => EventCode::GrantRefused,
        (RefusalCode::GuardsUnreachable, _) => EventCode::GuardsUnreachable,
        (RefusalCode::BadRequest, _) => EventCode::BadRequest,
        (RefusalCode::HeadersTooLarge, _) => EventCode::HeadersTooLarge,
        (RefusalCode::BodyTooLarge, _) => EventCode::BodyTooLarge,
        _ => EventCode::RequestRefused,
    }
}
