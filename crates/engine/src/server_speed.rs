//! Speed of the local backend servers, and the use of their runs by the gate.
//!
//! ```text
//! replies to own attempts ─▶ run time by kind of the service ─┐
//! runs of a local server ───▶ run time / that of the kind ────┴─▶ relative run time ─▶ record
//! ```

use std::time::Duration;

use sycamorelink_core::{ServiceName, UpstreamId};
use sycamorelink_policy::{CapacityRecord, PolicyMechanism, SampleKind};

use crate::event::{AttemptReport, WorkEnd, WorkReport};
use crate::executor::{SERVER_ERROR, upstream_id};
use crate::local_upstream::{GateKind, LocalUpstream};
use crate::node::NodeEngine;

/// What a gate may learn from the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunUse {
    /// Nothing: it ended without a reply, or with an error.
    None,
    /// The run time, but nothing on the concurrency: the server may have been failing.
    RunTime,
    /// The run time, and how it depends on the concurrency.
    Concurrency,
}

/// Learned limit and run time of a local backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpeedStatus {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Concurrent runs that the gate allows; fewer than the limit during warm-up.
    pub limit: u32,
    /// Mean run time.
    pub mean_run: Duration,
    /// Run times as a multiple of those of the service for the same kinds; `None` without samples.
    pub relative_run: Option<f64>,
}

impl NodeEngine {
    /// Returns whether gates learn a concurrency limit. Only deadline gates do.
    pub(crate) fn limits_concurrency(&self) -> bool {
        self.uses_overload_mechanism(PolicyMechanism::AdaptiveConcurrency)
    }

    /// Returns what the gate learns from the end of a run. Called before the breaker gets the end as
    /// evidence, so that a success does not make itself a sample.
    pub(crate) fn run_use(&self, now: Duration, report: &WorkReport) -> RunUse {
        // An end without a reply, such as a reset connection, says nothing about the duration of
        // work.
        if report.end != WorkEnd::Replied {
            return RunUse::None;
        }
        if !self.limits_concurrency() {
            return RunUse::RunTime;
        }
        if report.status.is_some_and(|status| status >= SERVER_ERROR) {
            return RunUse::None;
        }
        let slot = self.works.get(&report.work).map(|work| work.offer.slot);
        let upstream = slot.and_then(|slot| self.upstreams.get(&slot));
        let is_healthy = upstream.is_some_and(|upstream| !upstream.breaker.is_suspect(now));
        if is_healthy {
            RunUse::Concurrency
        } else {
            RunUse::RunTime
        }
    }

    /// Learns the run time of an attempt at any server of a service.
    pub(crate) fn learn_service_time(
        &mut self,
        service: &ServiceName,
        kind: u64,
        report: &AttemptReport,
    ) {
        if !self.limits_concurrency() {
            self.service_times.clear();
            return;
        }
        let is_error = report.status.is_some_and(|status| status >= SERVER_ERROR);
        if report.kind == SampleKind::Served
            && !is_error
            && let Some(time) = report.service_time
        {
            let times = self.service_times.entry(service.clone()).or_default();
            times.record(kind, time);
        }
    }

    /// Compares the run time of a local server with that of its service.
    pub(crate) fn learn_server_speed(&mut self, now: Duration, report: &WorkReport) {
        let Some(state) = self.works.get(&report.work) else {
            return;
        };
        let times = self.service_times.get(&state.offer.service);
        let usual = times.and_then(|times| times.mean_of(state.offer.kind));
        let upstream = self.upstreams.get_mut(&state.offer.slot);
        if let (Some(usual), Some(upstream)) = (usual, upstream)
            && upstream.life_id() == state.life
        {
            let took = now.saturating_sub(state.started);
            upstream.speed.record(took, usual);
        }
    }

    /// Returns the relative run time of a local server as capacity records carry it.
    pub(crate) fn relative_run(&self, slot: u16) -> u8 {
        let upstream = self.upstreams.get(&slot);
        let upstream = upstream.filter(|_| self.limits_concurrency());
        let relative = upstream.and_then(|upstream| upstream.speed.relative_run());
        relative.map_or(0, CapacityRecord::encode_relative_run)
    }

    /// Returns the learned limits and run times of the local backend servers; empty where no limit
    /// is learned.
    #[must_use]
    pub fn server_speeds(&self) -> Vec<ServerSpeedStatus> {
        let limited = self.upstreams.iter().filter(|(_, upstream)| {
            self.limits_concurrency() && upstream.available && upstream.gate_kind != GateKind::Slots
        });
        let status_of = |(slot, upstream): (&u16, &LocalUpstream)| {
            let load = upstream.gate.load(self.now);
            ServerSpeedStatus {
                id: upstream_id(self.own.instance, *slot),
                service: upstream.announced.service.clone(),
                limit: load.slots,
                mean_run: load.mean_run,
                relative_run: upstream.speed.relative_run(),
            }
        };
        limited.map(status_of).collect()
    }
}
