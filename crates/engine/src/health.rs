//! Health reports on local backend servers, and the handling of reports from other nodes.
//!
//! ```text
//! breaker changes ─┬─▶ queued work here is refused as not run
//!                  └─▶ report to callers' nodes ──▶ next selections, repeats of waiting requests
//! ```
//!
//! When some servers of a service stop answering, a caller's node that detects this by sending
//! requests loses an attempt each time, and the attempt of a non-idempotent request cannot be
//! repeated. The node beside the server detects the fault first, and its report takes a few bytes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{InstanceId, RefusalCode, RequestId, ServiceName, UpstreamId};
use sycamorelink_limits::WorkId;
use sycamorelink_policy::{LoadHint, PolicyMechanism, SampleKind};

use crate::command::NodeCommand;
use crate::executor::upstream_id;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;
use crate::request::WorkPhase;

/// Change of the failure chance that is reported even if the server did not turn suspect or
/// healthy.
const REPORTED_CHANCE_STEP: f64 = 0.35;

/// Failure chance from which idempotent requests waiting at an upstream are also sent elsewhere:
/// failure is more likely than success. An unneeded repeat occupies a slot for the time of one run.
const REPEAT_CHANCE: f64 = 0.5;

/// Health of a backend server as last reported to callers' nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedHealth {
    suspect: bool,
    chance: f64,
}

impl NodeEngine {
    /// Returns the odds, in nats, that a local backend server fails part of its requests.
    pub(crate) fn odds_of(&self, slot: u16) -> f64 {
        let upstream = self.upstreams.get(&slot);
        upstream.map_or(0.0, |upstream| upstream.breaker.odds(self.now))
    }

    /// Rechecks the health of local backend servers, which declines without an event while a run
    /// takes long.
    pub(crate) fn tick_health(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.uses_fleet_contract() {
            return;
        }
        let slots: Vec<u16> = self.upstreams.keys().copied().collect();
        for slot in slots {
            self.update_usual_failing(slot);
            self.check_health(now, slot, None, out);
            self.report_late_runs(now, slot, out);
        }
    }

    /// Reports runs on suspect servers that are late, and ends their trials.
    ///
    /// A request can start on a server that is already suspect, as a trial or because all others
    /// are as bad. No change of health is reported then, and the request would wait there until its
    /// deadline. The caller's node is therefore notified when a run exceeds the time of healthy
    /// runs, and sends the request elsewhere as well.
    ///
    /// A late trial counts as ended, so that the next trial can start.
    fn report_late_runs(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let mut callers: BTreeSet<InstanceId> = BTreeSet::new();
        for run in upstream.breaker.count_hung_runs(now) {
            let Some(state) = self.works.get_mut(&WorkId(run)) else {
                continue;
            };
            if std::mem::take(&mut state.on_trial) {
                upstream.breaker.end_trial();
            }
            if state.offer.trial_fit {
                callers.insert(state.offer.from);
            }
        }
        let service = upstream.announced.service.clone();
        let id = upstream_id(self.own.instance, slot);
        let load = self.load_of(slot);
        for caller in callers {
            self.send_health(now, caller, id, &service, load, out);
        }
    }

    /// Sends a health report to one node, which may be this one.
    fn send_health(
        &mut self,
        now: Duration,
        to: InstanceId,
        id: UpstreamId,
        service: &ServiceName,
        load: LoadHint,
        out: &mut Vec<NodeCommand>,
    ) {
        if to.node == self.own.instance.node {
            self.on_upstream_health(now, id, service, load, out);
            return;
        }
        let message = PeerMessage::Standing {
            service: service.clone(),
            id,
            load,
        };
        self.send_peer(to, message, out);
    }

    /// Passes the usual fraction of failing servers of the service to the breaker.
    fn update_usual_failing(&mut self, slot: u16) {
        if !self.settings.policy.is_on(PolicyMechanism::UsualShare) {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        if let Some(pool) = self.pools.get(&upstream.announced.service) {
            upstream
                .breaker
                .set_usual_chance(pool.usual_failing_share());
        }
    }

    /// Reports a backend server that turned suspect or healthy, or whose failure chance changed
    /// much; `kind` is the end of the run that caused the check.
    pub(crate) fn check_health(
        &mut self,
        now: Duration,
        slot: u16,
        kind: Option<SampleKind>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let health = ReportedHealth {
            suspect: upstream.breaker.is_suspect(now),
            chance: upstream.breaker.chance(now),
        };
        let reported = upstream.reported_health.unwrap_or(ReportedHealth {
            suspect: false,
            chance: 0.0,
        });
        let suspicion_changed = health.suspect != reported.suspect;
        let chance_changed = (health.chance - reported.chance).abs() >= REPORTED_CHANCE_STEP;
        if !suspicion_changed && !chance_changed {
            return;
        }
        upstream.reported_health = Some(health);
        let service = upstream.announced.service.clone();
        let id = upstream_id(self.own.instance, slot);
        if suspicion_changed {
            out.push(NodeCommand::Note(NodeNote::BreakerChanged {
                id,
                service: service.clone(),
                suspect: health.suspect,
                kind,
                odds: self.odds_of(slot),
            }));
        }
        let load = self.load_of(slot);
        self.on_upstream_health(now, id, &service, load, out);
        if self.settings.policy.is_on(PolicyMechanism::ToldStandings) {
            self.send_health_to_callers(id, &service, load, out);
        }
        if suspicion_changed && health.suspect {
            self.refuse_suspect_queue(now, slot, out);
        }
    }

    /// Refuses work that waits for a slot of a server that turned suspect.
    ///
    /// Such work would reach its deadline in the queue of a server that stopped answering. Refused
    /// as not run, the work can still go elsewhere. Work that was forced onto this server, because
    /// the others are as bad, stays.
    fn refuse_suspect_queue(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        let queued = self.works.iter().filter(|(_, work)| {
            work.offer.slot == slot && work.phase == WorkPhase::Queued && !work.offer.insist
        });
        let queued: Vec<WorkId> = queued.map(|(work, _)| *work).collect();
        for work in queued {
            self.refuse_waiting(now, work, RefusalCode::UpstreamSuspect, out);
        }
    }

    /// Sends a health report to the nodes that have work here, and only to them.
    ///
    /// If the nodes of all callers received the report, all would avoid the server at the same time
    /// and until long after its recovery. The remaining servers would be full, and a tenth of the
    /// requests would be refused. A node without work here gets the information with its next
    /// refusal, at the cost of a round trip.
    fn send_health_to_callers(
        &mut self,
        id: UpstreamId,
        service: &ServiceName,
        load: LoadHint,
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.own.instance.node;
        let local_works = self.works.values();
        let local_works =
            local_works.filter(|work| work.offer.slot == id.slot && work.offer.from.node != own);
        let peers: BTreeSet<InstanceId> = local_works.map(|work| work.offer.from).collect();
        for peer in peers {
            self.send_health(self.now, peer, id, service, load, out);
        }
    }

    /// Processes the health report of the node beside an upstream.
    pub(crate) fn on_upstream_health(
        &mut self,
        now: Duration,
        id: UpstreamId,
        service: &ServiceName,
        load: LoadHint,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.hint(now, id, load);
        }
        let likely_failing = load.failing_chance() >= REPEAT_CHANCE;
        if likely_failing && self.settings.policy.is_on(PolicyMechanism::SilentRepeats) {
            self.repeat_waiting(now, id, out);
        }
    }

    /// Sends idempotent requests that wait for a suspect upstream elsewhere as well.
    ///
    /// The first attempt continues. The first answer cancels the other attempt, which frees its
    /// slot.
    fn repeat_waiting(&mut self, now: Duration, id: UpstreamId, out: &mut Vec<NodeCommand>) {
        let waiting = self.requests.iter().filter(|(_, state)| {
            state.open.len() == 1
                && state.open[0].upstream == id
                && state.rule.hedge
                && state.caller.replayable
                && !state.has_reached_run_limit()
        });
        let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        for request in waiting {
            let Some((upstream, _)) = self.select_upstream(now, request) else {
                return;
            };
            let Some(state) = self.requests.get(&request) else {
                continue;
            };
            out.push(NodeCommand::Note(NodeNote::HedgeSent {
                request: Arc::clone(&state.caller.label),
                service: state.rule.service.clone(),
                to: upstream,
            }));
            self.dispatch(now, request, upstream, out);
        }
    }
}
