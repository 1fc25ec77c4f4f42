//! Snapshots of the development fleet, read through the operators' API.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_telemetry::BurnReport;
use sycamorelink_telemetry::burn::{BurnSummary, BurnWindow};

use super::plan::ServicePlan;
use super::stats::RecentCalls;
use crate::client::{ApiCall, DaemonClient};
use crate::view::{FloorView, ServiceUpstream, ServiceView};

/// State of the development fleet at one moment.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Time since the scenario started.
    pub now: Duration,
    /// Duration of the whole scenario.
    pub length: Duration,
    /// Whether the fleet is still warming up and the scenario has not started.
    pub warming_up: bool,
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Services of the fleet.
    pub services: Vec<ServiceSnapshot>,
    /// Error-budget burn of each customer at each service.
    pub burns: Vec<BurnLine>,
}

/// State of one service at one moment.
#[derive(Clone, Debug, Default)]
pub struct ServiceSnapshot {
    /// Name of the service.
    pub service: &'static str,
    /// Customer that calls the service.
    pub customer: &'static str,
    /// Call statistics of the callers.
    pub calls: RecentCalls,
    /// Capacity compared with the floor, from the daemon that sees the fewest slots in service.
    pub floor: FloorView,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamSnapshot>,
}

/// State of one upstream at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamSnapshot {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Label of the injected fault; empty if there is none.
    pub fault: &'static str,
    /// Announced phase; empty if no daemon knows the upstream.
    pub phase: String,
    /// Fraction of its fair share of work that the upstream receives, averaged over the daemons.
    pub weight: f64,
    /// Highest suspicion score at any daemon, in nats.
    pub suspicion: f64,
    /// Number of daemons that give the upstream less than its share of work.
    pub reduced: usize,
    /// Number of daemons that have ejected the upstream.
    pub ejected: usize,
    /// Number of runs started since the previous snapshot.
    pub runs: u64,
}

/// Error-budget burn of one customer at one service over the shortest window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BurnLine {
    /// Name of the customer.
    pub customer: String,
    /// Name of the service.
    pub service: String,
    /// Number of requests that count against the error budget.
    pub bad: u64,
    /// Number of all requests.
    pub requests: u64,
    /// Fraction of bad requests divided by the fraction that the objective allows.
    pub rate: f64,
}

/// Weight below which a daemon counts as giving an upstream reduced work.
const REDUCED_WEIGHT: f64 = 0.9;

/// State of one service, aggregated over all daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceAggregate {
    pub(super) floor: FloorView,
    pub(super) upstreams: BTreeMap<String, UpstreamAggregate>,
}

/// State of one upstream, aggregated over all daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamAggregate {
    pub(super) phase: String,
    pub(super) weight: f64,
    pub(super) suspicion: f64,
    pub(super) reduced: usize,
    pub(super) ejected: usize,
    reports: u32,
}

impl UpstreamAggregate {
    /// Returns the number of daemons that report the upstream.
    pub(super) fn reports(&self) -> usize {
        usize::try_from(self.reports).unwrap_or(usize::MAX)
    }

    fn add(&mut self, view: &ServiceUpstream) {
        self.phase.clone_from(&view.phase);
        let before = self.weight * f64::from(self.reports);
        self.reports += 1;
        self.weight = (before + view.weight) / f64::from(self.reports);
        self.suspicion = self.suspicion.max(view.suspicion);
        self.reduced += usize::from(view.weight < REDUCED_WEIGHT);
        self.ejected += usize::from(view.ejected);
    }
}

/// Polls every daemon for a service and aggregates the replies. Daemons that fail to answer are
/// skipped.
pub(super) fn poll_service(client: &DaemonClient, plan: &ServicePlan) -> ServiceAggregate {
    let call = ApiCall::get(&format!("/v1/services/{}", plan.service));
    let replies = client.call_all(&call).into_iter();
    let views = replies.filter_map(|(_, reply)| reply.ok()?.json::<ServiceView>().ok());
    let mut aggregate = ServiceAggregate::default();
    for view in views {
        if aggregate.upstreams.is_empty()
            || view.floor.serving_slots < aggregate.floor.serving_slots
        {
            aggregate.floor = view.floor;
        }
        for upstream in &view.upstreams {
            let name = upstream.instance.clone().unwrap_or_default();
            aggregate.upstreams.entry(name).or_default().add(upstream);
        }
    }
    aggregate
}

/// Polls every daemon for its burn report and sums the replies.
pub(super) fn poll_burn(client: &DaemonClient) -> BurnSummary {
    let mut sum = BurnReport::default();
    for (_, reply) in client.call_all(&ApiCall::get("/v1/burn")) {
        if let Some(report) = reply.ok().and_then(|reply| reply.json::<BurnReport>().ok()) {
            sum.merge(&report);
        }
    }
    BurnSummary::of(&sum)
}

/// Converts a burn summary to lines over the shortest window.
pub(super) fn burn_lines(summary: &BurnSummary) -> Vec<BurnLine> {
    let rows = summary.rows.iter();
    rows.map(|row| {
        let window = row.window(BurnWindow::FiveMinutes);
        BurnLine {
            customer: row.customer.to_string(),
            service: row.service.to_string(),
            bad: window.bad,
            requests: window.requests,
            rate: window.burn_rate,
        }
    })
    .collect()
}
