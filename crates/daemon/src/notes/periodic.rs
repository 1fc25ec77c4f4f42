//! Periodic work of the note recorder: gauges, the end of overloads, and burn alerts.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::ServiceName;
use sycamorelink_engine::NodeEngine;
use sycamorelink_roster::MemberStanding;
use sycamorelink_telemetry::burn::{BurnQuery, BurnWindow, burn_rate};
use sycamorelink_telemetry::{BurnReport, EventCode, EventFields, MetricName};

use super::NoteRecorder;
use crate::metrics_table::SeriesKey;

/// Time between two updates of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);
/// Time between two checks of the burn and of gauges that need a walk over all members. Short
/// enough for the shortest alert window, five minutes.
const SLOW_CHECK_PERIOD: Duration = Duration::from_secs(30);
/// Time without an overload refusal after which the overload of a service counts as ended.
const OVERLOAD_CLEAR_TIME: Duration = Duration::from_secs(10);
/// Thousandths in one. Metrics carry whole numbers, so burn rates are sent in thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

impl NoteRecorder {
    /// Updates gauges and checks for burn alerts when they are due.
    pub fn tick(&mut self, now: Duration, engine: &NodeEngine) {
        if now < self.next_gauges {
            return;
        }
        self.next_gauges = now + GAUGE_PERIOD;
        self.update_gauges(engine);
        self.emit_ended_overloads(now);
        if now >= self.next_slow_check {
            self.next_slow_check = now + SLOW_CHECK_PERIOD;
            self.partitions.expire_lost(now);
            self.update_member_gauges(engine);
            self.update_upstream_gauges(engine);
            self.check_burn_alerts(now);
        }
    }

    fn update_gauges(&mut self, engine: &NodeEngine) {
        let offset = engine.book().next_offset();
        self.set_gauge(MetricName::InFlight, engine.in_flight() as u64);
        self.set_gauge(MetricName::ContractVersion, offset);
        if offset >= self.missing_head {
            self.set_gauge(MetricName::ContractLag, 0);
        }
        self.update_wait_gauges(engine);
        let mut loads: BTreeMap<ServiceName, (u64, u64)> = BTreeMap::new();
        for (_, announced, load) in engine.local_upstreams() {
            let (used, queued) = loads.entry(announced.service).or_default();
            *used += u64::from(load.in_use);
            *queued += u64::from(load.queued);
        }
        for (service, (used, queued)) in &loads {
            let key = SeriesKey::of(MetricName::SlotsUsed).service(service);
            self.metrics.set(key, *used);
            let key = SeriesKey::of(MetricName::QueueLength).service(service);
            self.metrics.set(key, *queued);
        }
        for status in engine.capacity_status() {
            let key = SeriesKey::of(MetricName::CapacityRecords).service(&status.service);
            self.metrics.set(key, status.records as u64);
            let oldest = u64::try_from(status.oldest.as_millis()).unwrap_or(u64::MAX);
            let key = SeriesKey::of(MetricName::CapacityAge).service(&status.service);
            self.metrics.set(key, oldest);
        }
        self.update_queue_gauges(engine);
        self.update_speed_gauges(engine);
        if self.memory.limit().is_some() {
            self.set_gauge(MetricName::MemoryHeld, self.memory.used());
        }
    }

    /// Updates the gauges of waiting work. They return to zero when the deadline queue is switched
    /// off.
    fn update_queue_gauges(&mut self, engine: &NodeEngine) {
        for (in_time, late) in self.queues.values_mut() {
            (*in_time, *late) = (0, 0);
        }
        for (announced, count) in engine.queue_counts() {
            let (in_time, late) = self.queues.entry(announced.service).or_default();
            *in_time += u64::from(count.in_time);
            *late += u64::from(count.late);
        }
        for (service, (in_time, late)) in &self.queues {
            let key = SeriesKey::of(MetricName::QueueWaiting).service(service);
            self.metrics.set(key.clone().detail("in-time"), *in_time);
            self.metrics.set(key.detail("late"), *late);
        }
    }

    /// Updates the learned limits and run times of the local backend servers. They keep their last
    /// values when the limit is switched off.
    fn update_speed_gauges(&mut self, engine: &NodeEngine) {
        let mut speeds: BTreeMap<ServiceName, (u64, Duration, u32)> = BTreeMap::new();
        for status in engine.server_speeds() {
            let (limit, time, count) = speeds.entry(status.service).or_default();
            *limit += u64::from(status.limit);
            *time += status.mean_run;
            *count += 1;
        }
        for (service, (limit, time, count)) in &speeds {
            let key = SeriesKey::of(MetricName::ConcurrencyLimit).service(service);
            self.metrics.set(key, *limit);
            let mean_run = (*time / *count).as_millis();
            let key = SeriesKey::of(MetricName::MeanRunTime).service(service);
            self.metrics
                .set(key, u64::try_from(mean_run).unwrap_or(u64::MAX));
        }
    }

    fn update_member_gauges(&mut self, engine: &NodeEngine) {
        let status = engine.status();
        self.set_gauge(MetricName::KeysHeld, status.guard.keys as u64);
        let mut standings = BTreeMap::from([("up", 0), ("leaving", 0), ("down", 0)]);
        for member in engine.fleet() {
            *standings.entry(standing_name(member.standing)).or_default() += 1;
        }
        for (standing, count) in standings {
            let key = SeriesKey::of(MetricName::Members).detail(standing);
            self.metrics.set(key, count);
        }
    }

    fn update_upstream_gauges(&mut self, engine: &NodeEngine) {
        for service in &self.services {
            let Some(floor) = engine.floor_of(service) else {
                continue;
            };
            let key = SeriesKey::of(MetricName::UpstreamsInUse).service(service);
            self.metrics.set(key, u64::from(floor.serving_count));
            let key = SeriesKey::of(MetricName::UpstreamsEjected).service(service);
            self.metrics.set(key, u64::from(floor.ejected_count));
        }
    }

    fn emit_ended_overloads(&mut self, now: Duration) {
        let is_over = |since: &Duration| now >= *since + OVERLOAD_CLEAR_TIME;
        let ended: Vec<ServiceName> = self
            .last_shed
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(service, _)| service.clone())
            .collect();
        for service in ended {
            self.last_shed.remove(&service);
            let fields = EventFields::new().service(&service);
            self.emit(EventCode::OverloadEnded, &fields);
        }
    }

    fn check_burn_alerts(&mut self, now: Duration) {
        let report = self.burn_report(now, &BurnQuery::default());
        for change in self.alert_tracker.update(&report) {
            if let Some(code) = change.event() {
                let fields = EventFields::new()
                    .customer(&change.customer)
                    .service(&change.service);
                self.emit(code, &fields);
            }
        }
        self.update_burn_gauges(&report);
    }

    fn update_burn_gauges(&mut self, report: &BurnReport) {
        for row in &report.rows {
            for window in [BurnWindow::FiveMinutes, BurnWindow::OneHour] {
                let rate = burn_rate(row.counts(window), &row.objective);
                let key = SeriesKey::of(MetricName::BurnRate)
                    .customer(&row.customer)
                    .service(&row.service)
                    .detail(window.as_str());
                self.metrics.set(key, thousandths(rate));
            }
        }
    }

    fn set_gauge(&mut self, name: MetricName, value: u64) {
        self.metrics.set(SeriesKey::of(name), value);
    }
}

const fn standing_name(standing: MemberStanding) -> &'static str {
    match standing {
        MemberStanding::Alive => "up",
        MemberStanding::Leaving => "leaving",
        MemberStanding::Left | MemberStanding::Dead => "down",
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
fn thousandths(rate: f64) -> u64 {
    (rate * THOUSANDTHS_PER_UNIT).round().clamp(0.0, 1e12) as u64
}
