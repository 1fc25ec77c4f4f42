//! Records settled requests: an event, metrics and the error budget burn.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};
use sycamorelink_engine::{RefusedForecast, RequestSummary};
use sycamorelink_telemetry::burn::{ObjectiveSource, RequestEnd};
use sycamorelink_telemetry::{BurnOutcome, EventCode, EventFields, MetricName};

use super::NoteRecorder;
use crate::metrics_table::SeriesKey;

/// Maximum number of services whose upstreams are counted in gauges.
const MAX_GAUGED_SERVICES: usize = 64;
/// Outcome tag of requests that failed because of their caller and so burn no error budget.
const CALLER_OUTCOME: &str = "caller";

impl NoteRecorder {
    pub(super) fn record_settled(&mut self, now: Duration, summary: &RequestSummary) {
        let outcome = self.classify(now, summary);
        self.count_request(summary, outcome);
        let code = match &summary.refusal {
            Some(refusal) => refusal_event(refusal),
            None => EventCode::RequestServed,
        };
        self.emit_settled(code, summary);
        if let Some(refusal) = &summary.refusal {
            self.count_refusal(now, summary, refusal);
        }
    }

    /// Returns the outcome of a request against its objective, and records it in the burn ledger.
    ///
    /// The default objective applies to a service without one, as in the burn report. A request
    /// without a known contract is classified for the metric only and burns no budget.
    fn classify(&mut self, now: Duration, summary: &RequestSummary) -> Option<BurnOutcome> {
        let parts = summary.customer.as_ref().zip(summary.service.as_ref());
        let term =
            parts.and_then(|(customer, service)| self.objectives.objective(customer, service));
        let objective = term.unwrap_or_default().objective;
        let outcome = objective.classify(summary.latency, &request_end(summary))?;
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
            if self.services.len() < MAX_GAUGED_SERVICES && !self.services.contains(service) {
                self.services.insert(service.clone());
            }
            let latency = SeriesKey::of(MetricName::Latency).service(service);
            self.metrics.record(latency, summary.latency);
            let attempts = SeriesKey::of(MetricName::Attempts).service(service);
            self.metrics.add(attempts, u64::from(summary.attempts));
            if summary.overloaded_offers > 0 {
                let offers = SeriesKey::of(MetricName::OverloadedOffers).service(service);
                self.metrics
                    .add(offers, u64::from(summary.overloaded_offers));
            }
            if summary.forecast.is_some() {
                self.increment(SeriesKey::of(MetricName::ForecastRefused).service(service));
            }
        }
        self.increment(requests);
    }

    fn count_refusal(&mut self, now: Duration, summary: &RequestSummary, refusal: &RequestRefusal) {
        let code = refusal.code;
        let mut refusals = SeriesKey::of(MetricName::Refusals).detail(code.as_str());
        if let Some(service) = &summary.service {
            refusals = refusals.service(service);
        }
        self.increment(refusals);
        let (Some(customer), Some(service)) = (&summary.customer, &summary.service) else {
            return;
        };
        if refusal.run == RunState::Unknown && code != RefusalCode::CallerGone {
            let unknowns = SeriesKey::of(MetricName::Unknowns);
            self.increment(unknowns.customer(customer).service(service));
        }
        match code {
            RefusalCode::LimitExceeded => {
                self.increment(SeriesKey::of(MetricName::LimitRefused).customer(customer));
            }
            RefusalCode::Overloaded | RefusalCode::NoCapacity => {
                self.increment(SeriesKey::of(MetricName::Shed).service(service));
                self.last_shed.insert(service.clone(), now);
            }
            _ => {}
        }
    }

    fn emit_settled(&self, code: EventCode, summary: &RequestSummary) {
        let forecast = summary.forecast.as_ref();
        let forecast = forecast.map_or_else(String::new, forecast_text);
        let attempts = format!("attempts {}{forecast}", summary.attempts);
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

fn forecast_text(refused: &RefusedForecast) -> String {
    let forecast = &refused.forecast;
    format!(
        ", forecast: wait {}ms, run {}ms, {}ms left, {} of {} upstreams known, {}ms old",
        forecast.earliest.wait.as_millis(),
        forecast.earliest.run.as_millis(),
        refused.left.as_millis(),
        forecast.known,
        forecast.candidates,
        forecast.earliest.age.as_millis()
    )
}

fn request_end(summary: &RequestSummary) -> RequestEnd {
    match (&summary.refusal, summary.status) {
        (Some(refusal), _) => RequestEnd::Refusal(refusal.clone()),
        (None, status) => RequestEnd::Reply(status.unwrap_or_default()),
    }
}

/// Returns the event of a refusal. An unknown outcome takes precedence over the refusal's code,
/// except when the caller gave up.
fn refusal_event(refusal: &RequestRefusal) -> EventCode {
    match (refusal.code, refusal.run) {
        (RefusalCode::CallerGone, _) => EventCode::CallerGone,
        (_, RunState::Unknown) => EventCode::RequestUnknown,
        (RefusalCode::UnknownCustomer, _) => EventCode::CallerDenied,
        (RefusalCode::LimitExceeded, _) => EventCode::LimitExceeded,
        (RefusalCode::Overloaded | RefusalCode::NoCapacity, _) => EventCode::OverloadShedding,
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
