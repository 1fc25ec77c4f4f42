//! Exchange of capacity records between nodes, and their use on requests.
//!
//! ```text
//! gate, breaker, repeats ─▶ own records ─┐            ┌─▶ two peers of the domain, one of another
//!                                        ├─ tables ───┤
//! peers ─ PeerMessage::Capacity ─────────┘            └─▶ selection, refusal by forecast
//! ```
//!
//! Without a valid record of another node, selection and retries are those of a fleet without
//! capacity reports.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{
    InstanceId, NodeId, RefusalCode, RequestId, RequestRefusal, ServiceName, UpstreamId,
};
use sycamorelink_policy::{
    CapacityError, CapacityForecast, CapacityRecord, CapacityTable, ExpectedTime, PolicyMechanism,
    SoonestTerms, UpstreamPhase, select_freshest,
};

use crate::command::NodeCommand;
use crate::event::AttemptReport;
use crate::executor::upstream_id;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;
use crate::request::RequestState;

/// Offers refused as overloaded after which a request is not offered again. With current records,
/// a third server is as full as the first two.
const MAX_OVERLOADED_OFFERS: u16 = 2;
/// Members of the own failure domain that receive each report.
const NEAR_RECEIVERS: usize = 2;
/// Interval at which the lists of receivers are updated.
const MEMBER_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two ticks from which the process counts as paused. Messages that waited in its
/// sockets name ages that do not include the pause.
const PAUSE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of records of one message that are read; a report of the largest configurable
/// size has fewer.
const MAX_RECORDS_PER_MESSAGE: usize = 4096;
/// Minimum time between two events about invalid records of one sender.
const INVALID_EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the retry delay given to a request that is refused by forecast.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));

/// A forecast that refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedForecast {
    /// The earliest expected reply, and what it was computed from.
    pub forecast: CapacityForecast,
    /// Time left until the deadline of the request.
    pub left: Duration,
}

/// Status of the capacity records of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of valid records.
    pub records: usize,
    /// Greatest age of a valid record.
    pub oldest: Duration,
}

/// Capacity records known to this node, and their exchange.
#[derive(Debug)]
pub(crate) struct CapacityExchange {
    pub(crate) tables: BTreeMap<ServiceName, CapacityTable>,
    own: NodeId,
    sequence: u32,
    next_report: Duration,
    last_tick: Option<Duration>,
    /// End of the time after a pause in which reports are ignored.
    ignores_until: Duration,
    /// Other members of this node's failure domain, and those of other domains.
    members: (Vec<InstanceId>, Vec<InstanceId>),
    next_refresh: Duration,
    /// Time of the latest event about invalid records of each sender.
    invalid_events: BTreeMap<NodeId, Duration>,
    random: SmallRng,
}

impl CapacityExchange {
    pub(crate) fn new(own: NodeId, seed: u64) -> Self {
        Self {
            tables: BTreeMap::new(),
            own,
            sequence: 0,
            next_report: Duration::ZERO,
            last_tick: None,
            ignores_until: Duration::ZERO,
            members: (Vec::new(), Vec::new()),
            next_refresh: Duration::ZERO,
            invalid_events: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Removes all state except the number of the latest report, which must grow for as long as
    /// this incarnation runs.
    fn reset(&mut self) {
        self.tables.clear();
        self.members = (Vec::new(), Vec::new());
        self.next_refresh = Duration::ZERO;
        self.last_tick = None;
        self.invalid_events.clear();
    }

    fn table(&mut self, service: &ServiceName) -> &mut CapacityTable {
        let own = self.own;
        let entry = self.tables.entry(service.clone());
        entry.or_insert_with(|| CapacityTable::new(own))
    }

    /// Drops what expired, and everything after a pause or a step back of the clock.
    fn tick(&mut self, now: Duration, report_interval: Duration) {
        let elapsed = self.last_tick.map(|last| now.checked_sub(last));
        let is_resuming = elapsed.is_some_and(|time| time.is_none_or(|time| time >= PAUSE_TIME));
        if is_resuming {
            self.restart_after_pause(now, report_interval);
        }
        self.last_tick = Some(now);
        for table in self.tables.values_mut() {
            table.expire(now);
        }
        self.invalid_events
            .retain(|_, at| now < *at + INVALID_EVENT_INTERVAL);
    }

    /// Drops all records, and ignores reports that may have waited during the pause.
    fn restart_after_pause(&mut self, now: Duration, report_interval: Duration) {
        self.tables.values_mut().for_each(CapacityTable::clear);
        self.invalid_events.clear();
        self.ignores_until = now + report_interval;
        self.next_report = now;
    }

    /// Returns whether reports may have waited during a pause of this process.
    fn ignores_reports(&self, now: Duration) -> bool {
        let elapsed = self.last_tick.and_then(|last| now.checked_sub(last));
        now < self.ignores_until || elapsed.is_none_or(|elapsed| elapsed >= PAUSE_TIME)
    }

    /// Returns whether an event about invalid records of a sender is due.
    fn is_invalid_event_due(&mut self, now: Duration, from: NodeId) -> bool {
        let is_due = !self.invalid_events.contains_key(&from);
        if is_due {
            self.invalid_events.insert(from, now);
        }
        is_due
    }

    /// Returns the receivers of the present report: two members of the own domain, and every second
    /// time one of another. Members of other domains replace those that the own domain lacks.
    fn draw_receivers(&mut self) -> Vec<InstanceId> {
        let (near, far) = &self.members;
        let wants_far = usize::from(self.sequence.is_multiple_of(2));
        let near = near.choose_multiple(&mut self.random, NEAR_RECEIVERS);
        let mut receivers: Vec<InstanceId> = near.copied().collect();
        let missing = NEAR_RECEIVERS - receivers.len() + wants_far;
        receivers.extend(far.choose_multiple(&mut self.random, missing));
        receivers
    }
}

impl NodeEngine {
    fn uses_capacity_reports(&self) -> bool {
        self.uses_overload_mechanism(PolicyMechanism::CapacityReports)
    }

    /// Returns the number and the greatest age of the known capacity records of each service; empty
    /// where no reports are exchanged.
    #[must_use]
    pub fn capacity_status(&self) -> Vec<CapacityStatus> {
        let tables = self.capacity.tables.iter();
        tables
            .map(|(service, table)| {
                let (records, oldest) = table.status(self.now);
                CapacityStatus {
                    service: service.clone(),
                    records,
                    oldest,
                }
            })
            .collect()
    }

    /// Drops expired records and sends the due report.
    pub(crate) fn tick_capacity(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.uses_capacity_reports() {
            self.capacity.reset();
            return;
        }
        let interval = self.settings.overload.report_interval;
        self.capacity.tick(now, interval);
        let contract = self.fleet.current.as_ref().map(|(contract, _)| contract);
        let services = contract.map_or(&[][..], |contract| &contract.services);
        let tables = &mut self.capacity.tables;
        tables.retain(|service, table| !table.is_empty() || services.contains(service));
        if now < self.capacity.next_report {
            return;
        }
        // A random part keeps nodes that start together from reporting at the same moments.
        let spread = self.capacity.random.random_range(0.95..1.05);
        self.capacity.next_report = now + interval.mul_f64(spread);
        self.capacity.sequence += 1;
        self.refresh_receivers(now);
        self.set_own_records(now);
        let max_bytes = usize::try_from(self.settings.overload.report_size).unwrap_or(usize::MAX);
        let report = select_freshest(now, &self.capacity.tables, max_bytes);
        if report.is_empty() {
            return;
        }
        for receiver in self.capacity.draw_receivers() {
            for (service, records) in &report {
                let message = PeerMessage::Capacity {
                    service: service.clone(),
                    records: records.clone(),
                };
                self.send_peer(receiver, message, out);
            }
        }
    }

    /// Drops all records after a pause that the monotonic clock may not show, since their ages do not
    /// include it.
    pub(crate) fn drop_capacity_records(&mut self, now: Duration) {
        if self.uses_capacity_reports() {
            let interval = self.settings.overload.report_interval;
            self.capacity.restart_after_pause(now, interval);
        }
    }

    fn refresh_receivers(&mut self, now: Duration) {
        if now < self.capacity.next_refresh {
            return;
        }
        self.capacity.next_refresh = now + MEMBER_REFRESH_INTERVAL;
        let own = self.own.instance.node;
        let members = self.roster.members().into_iter();
        let present = members
            .filter(|member| member.standing.is_present() && member.facts.instance.node != own);
        let (near, far): (Vec<_>, Vec<_>) =
            present.partition(|member| member.facts.domain == self.own.domain);
        let instances = |members: Vec<sycamorelink_roster::MemberView>| {
            let members = members.into_iter();
            members.map(|member| member.facts.instance).collect()
        };
        self.capacity.members = (instances(near), instances(far));
    }

    /// Replaces the records of the local backend servers. Those of servers that take no new work
    /// are removed.
    fn set_own_records(&mut self, now: Duration) {
        for table in self.capacity.tables.values_mut() {
            table.remove_own();
        }
        let slots: Vec<u16> = self.upstreams.keys().copied().collect();
        for slot in slots {
            let repeats = self.repeats_left(now, slot);
            if let Some((service, record)) = self.own_record(now, slot, repeats) {
                self.capacity.table(&service).set_own(now, record);
            }
        }
    }

    /// Updates the records of the local backend servers of one service to the present moment, apart
    /// from their repeats.
    fn refresh_own_records(&mut self, now: Duration, service: &ServiceName) {
        let slots: Vec<u16> = self.upstreams.keys().copied().collect();
        for slot in slots {
            let id = upstream_id(self.own.instance, slot);
            let table = self.capacity.tables.get(service);
            let Some(known) = table.and_then(|table| table.record(now, id)) else {
                continue;
            };
            if let Some((service, record)) = self.own_record(now, slot, known.repeats) {
                self.capacity.table(&service).set_own(now, record);
            }
        }
    }

    fn own_record(
        &self,
        now: Duration,
        slot: u16,
        repeats: u16,
    ) -> Option<(ServiceName, CapacityRecord)> {
        let upstream = self.upstreams.get(&slot)?;
        let announced = &upstream.announced;
        let load = upstream.gate.load(now);
        if !upstream.available || load.closed || announced.phase != UpstreamPhase::Ready {
            return None;
        }
        let hint = self.load_of(slot);
        let record = CapacityRecord {
            id: upstream_id(self.own.instance, slot),
            incarnation: self.own.instance.incarnation,
            sequence: self.capacity.sequence,
            in_use: hint.in_use,
            limit: hint.slots,
            queued: hint.queued,
            expected_wait_ms: millis(load.expected_wait),
            mean_run_ms: millis(load.mean_run),
            failing: hint.failing,
            relative_run: self.relative_run(slot),
            repeats,
            age_ms: 0,
        };
        Some((announced.service.clone(), record))
    }

    /// Handles a report of a peer.
    pub(crate) fn on_capacity(
        &mut self,
        now: Duration,
        from: InstanceId,
        service: &ServiceName,
        records: &[CapacityRecord],
        out: &mut Vec<NodeCommand>,
    ) {
        let contract = self.fleet.current.as_ref().map(|(contract, _)| contract);
        let is_known = contract.is_some_and(|contract| contract.services.contains(service));
        if !self.uses_capacity_reports() || !is_known || self.capacity.ignores_reports(now) {
            return;
        }
        let table = self.capacity.table(service);
        let mut invalid: Option<(UpstreamId, CapacityError)> = None;
        for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
            if let Err(error) = table.merge(now, *record) {
                invalid.get_or_insert((record.id, error));
            }
        }
        if let Some((id, error)) = invalid
            && self.capacity.is_invalid_event_due(now, from.node)
        {
            out.push(NodeCommand::Note(NodeNote::CapacityReportInvalid {
                from,
                service: service.clone(),
                id,
                error,
            }));
        }
    }

    /// Updates what is known about a service before an upstream is selected by expected time.
    /// Returns whether it can be: reports are exchanged, and one of another node is valid.
    pub(crate) fn prepare_capacity(&mut self, now: Duration, service: &ServiceName) -> bool {
        let table = self.capacity.tables.get(service);
        let has_reports = table.is_some_and(|table| table.has_reports(now));
        if !has_reports || !self.uses_capacity_reports() {
            return false;
        }
        self.refresh_own_records(now, service);
        true
    }

    /// Returns the refusal of a request that is not offered to a further upstream for lack of
    /// capacity, or `None` if it is offered. `report` is the end of its last attempt, if any.
    ///
    /// A request that may have run is not refused by forecast, since a late reply may still tell
    /// its outcome.
    pub(crate) fn overload_refusal(
        &mut self,
        now: Duration,
        id: RequestId,
        report: Option<&AttemptReport>,
    ) -> Option<RequestRefusal> {
        if report.is_some_and(|report| report.code != Some(RefusalCode::Overloaded)) {
            return None;
        }
        let service = self.requests.get(&id)?.rule.service.clone();
        if !self.prepare_capacity(now, &service) {
            return None;
        }
        let state = self.requests.get_mut(&id)?;
        if let Some(report) = report
            && state.overloaded >= MAX_OVERLOADED_OFFERS
        {
            return Some(self.refusal_for(id, report));
        }
        if state.may_have_run() {
            return None;
        }
        self.ensure_pool(now, &service);
        let state = self.requests.get_mut(&id)?;
        let left = state.deadline.saturating_sub(now);
        let table = self.capacity.tables.get(&service)?;
        let tried = state.plan.exclude();
        let pool = self.pools.get_mut(&service)?;
        let forecast = pool.forecast(now, table, tried.as_slice())?;
        let excess = forecast.excess(left)?;
        state.forecast = Some(RefusedForecast { forecast, left });
        let (shortest, longest) = RETRY_DELAYS;
        let delay = excess.clamp(shortest, longest);
        Some(RequestRefusal::not_run(RefusalCode::Overloaded).retry_after(delay))
    }

    /// Returns the expected time to the reply of an upstream to a request, for the log. `None`
    /// where no reports are known.
    pub(crate) fn expected_time(
        &self,
        now: Duration,
        id: RequestId,
        upstream: UpstreamId,
    ) -> Option<ExpectedTime> {
        let service = &self.requests.get(&id)?.rule.service;
        let table = self.capacity.tables.get(service)?;
        let pool = self.pools.get(service)?;
        pool.expected_time(now, table, upstream)
    }

    /// Records the end of an attempt that was sent at `sent`.
    pub(crate) fn count_send_end(&mut self, service: &ServiceName, to: UpstreamId, sent: Duration) {
        if let Some(table) = self.capacity.tables.get_mut(service) {
            table.ended(to, sent);
        }
    }
}

/// Returns the terms on which an upstream is selected for the next attempt of a request.
pub(crate) fn soonest_terms(now: Duration, state: &RequestState) -> SoonestTerms {
    let objective = state.rule.objective;
    let objective_at = objective.map(|objective| state.arrived + objective.latency);
    let objective_left = objective_at.and_then(|at| at.checked_sub(now));
    let objective_left = objective_left.filter(|left| !left.is_zero());
    SoonestTerms {
        kind: state.rule.work_kind(),
        objective_left: objective_left.unwrap_or_else(|| state.deadline.saturating_sub(now)),
        is_repeat: state.arrivals > 0 || !state.open.is_empty(),
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
