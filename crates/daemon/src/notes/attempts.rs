//! Records attempts: the selected upstream and the view it was selected from, the decision of the
//! upstream's node, and the result.

use sycamorelink_core::ServiceName;
use sycamorelink_engine::{NodeNote, QueueStep, RepeatBudgetView};
use sycamorelink_limits::QueuePlace;
use sycamorelink_policy::{ExpectedTime, UpstreamView};
use sycamorelink_telemetry::{EventCode, EventFields, MetricName};

use super::NoteRecorder;
use crate::metrics_table::SeriesKey;

impl NoteRecorder {
    pub(super) fn record_attempt(&mut self, note: &NodeNote) {
        match note {
            NodeNote::AttemptSent {
                label,
                number,
                to,
                service,
                prefix,
                version,
                left,
                view,
                expected,
            } => {
                let reason = format!(
                    "attempt {number}, route {prefix}, {}{}",
                    view.as_ref()
                        .map_or_else(|| "no view".to_owned(), view_text),
                    expected.as_ref().map_or_else(String::new, expected_text)
                );
                let left = format!("{}ms", left.as_millis());
                let fields = EventFields::new().request(label).service(service);
                let fields = fields.upstream(to).version(version).limit(&left);
                self.emit(EventCode::AttemptSent, &fields.reason(&reason));
            }
            NodeNote::WorkDecided {
                label,
                number,
                id,
                service,
                refused,
                load,
                odds,
                left,
                repeat_budget,
                queue,
            } => {
                let reason = format!(
                    "attempt {number}, {} of {} slots in use, {} waiting, odds {odds:.1}{}{}",
                    load.in_use,
                    load.slots,
                    load.queued,
                    repeat_budget.map_or_else(String::new, repeat_budget_text),
                    queue.map_or_else(String::new, queue_text)
                );
                let left = format!("{}ms", left.as_millis());
                let fields = EventFields::new().request(label).service(service);
                let fields = fields.upstream(id).limit(&left).reason(&reason);
                self.count_queue_step(service, *queue);
                match refused {
                    None if queue.is_some() => self.emit(EventCode::WorkQueued, &fields),
                    None => self.emit(EventCode::WorkStarted, &fields),
                    Some(code) => self.emit(EventCode::WorkRefused, &fields.refusal(code)),
                }
            }
            NodeNote::WorkBecameLate {
                label,
                number,
                id,
                service,
                waited,
                left,
            } => {
                self.increment(SeriesKey::of(MetricName::QueueLate).service(service));
                let reason = format!("attempt {number}");
                let waited = format!("{}ms", waited.as_millis());
                let left = format!("{}ms", left.as_millis());
                let fields = EventFields::new().request(label).service(service);
                let fields = fields.upstream(id).duration(&waited).limit(&left);
                self.emit(EventCode::WorkBecameLate, &fields.reason(&reason));
            }
            NodeNote::WorkDone {
                label,
                number,
                id,
                service,
                end,
                status,
                waited,
                took,
            } => {
                let wait = SeriesKey::of(MetricName::QueueWait).service(service);
                self.metrics.record(wait, *waited);
                let run = SeriesKey::of(MetricName::UpstreamLatency).service(service);
                self.metrics.record(run, *took);
                let status = status.map_or_else(String::new, |status| format!(" {status}"));
                let reason = format!(
                    "attempt {number}, {end:?}{status}, waited {}ms",
                    waited.as_millis()
                );
                let took = format!("{}ms", took.as_millis());
                let fields = EventFields::new().request(label).service(service);
                let fields = fields.upstream(id).duration(&took);
                self.emit(EventCode::WorkEnded, &fields.reason(&reason));
            }
            _ => {}
        }
    }

    fn count_queue_step(&mut self, service: &ServiceName, step: Option<QueueStep>) {
        let name = match step {
            None | Some(QueueStep::Queued(_)) => return,
            Some(QueueStep::Declined(_)) => MetricName::QueueDeclined,
            Some(QueueStep::Expired) => MetricName::QueueExpired,
            Some(QueueStep::Displaced) => MetricName::QueueDisplaced,
            Some(QueueStep::DisplacedByShare) => MetricName::QueueDisplacedByShare,
        };
        self.increment(SeriesKey::of(name).service(service));
    }
}

fn queue_text(step: QueueStep) -> String {
    match step {
        QueueStep::Queued(place) => format!(", queued {}", place_text(place)),
        QueueStep::Declined(place) => format!(", not queued {}", place_text(place)),
        QueueStep::Expired => ", deadline lost in the queue".to_owned(),
        QueueStep::Displaced => ", removed from the full queue".to_owned(),
        QueueStep::DisplacedByShare => {
            ", removed from the queue because its account is above its share".to_owned()
        }
    }
}

fn place_text(place: QueuePlace) -> String {
    let standing = if place.in_time { "in time" } else { "late" };
    let wait = place.expected_wait.map_or_else(
        || "work in time takes every slot".to_owned(),
        |wait| format!("expected wait {}ms", wait.as_millis()),
    );
    let lane = place.in_lane.map_or_else(String::new, |ahead| {
        format!(", {ahead} ahead in the lane of its account")
    });
    format!("behind {} {standing}, {wait}{lane}", place.position)
}

fn repeat_budget_text(budget: RepeatBudgetView) -> String {
    let RepeatBudgetView { servers, left } = budget;
    format!(", repeat ({left} left at this server, {servers} servers known)")
}

fn expected_text(expected: &ExpectedTime) -> String {
    format!(
        ", expected wait {}ms and run {}ms by information of {}ms ago",
        expected.wait.as_millis(),
        expected.run.as_millis(),
        expected.age.as_millis()
    )
}

fn view_text(view: &UpstreamView) -> String {
    let reported = view.told.map_or_else(
        || "nothing told".to_owned(),
        |(load, age)| {
            format!(
                "{} of {} slots in use and {} waiting {}ms ago",
                load.in_use,
                load.slots,
                load.queued,
                age.as_millis()
            )
        },
    );
    format!(
        "{} in flight from here, weight {:.2}, suspicion {:.1}, {reported}",
        view.in_flight, view.weight, view.suspicion
    )
}
