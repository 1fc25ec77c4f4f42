//! Fault injection: affected upstreams, lost messages, crashes and restarts.

use std::time::Duration;

use rand::Rng;
use sycamorelink_policy::{RetryPlan, SampleKind, UpstreamPhase};

use super::fault::{FaultScope, ServerFault, SituationEvent};
use super::services::CALLER_DEADLINE;
use super::simulation::{EventKind, FleetSimulation, SimulatedRequest, TRIGGER_AT, upstream_id};

/// Time until all daemons know an upstream's new phase.
const PHASE_DELAY: Duration = Duration::from_millis(200);

/// Downtime of a restarted backend server.
const RESTART_TIME: Duration = Duration::from_secs(3);

impl FleetSimulation {
    /// Returns whether the situation affects this upstream.
    pub(super) fn is_affected(&self, server: usize) -> bool {
        let scope = match self.plan.event {
            SituationEvent::Gray { scope, .. } => scope,
            SituationEvent::Flapping { .. } => FaultScope::One,
            _ => return false,
        };
        let upstreams = self.shape.upstreams;
        let offset = (server + upstreams - self.first_faulty) % upstreams;
        match scope {
            FaultScope::One => offset == 0,
            FaultScope::Half => offset < upstreams / 2,
            FaultScope::All => true,
            FaultScope::Domain => self.domain_of(server) == self.domain_of(self.first_faulty),
        }
    }

    /// Returns the upstreams that the situation affects.
    #[must_use]
    pub fn affected_upstreams(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|&server| self.is_affected(server))
            .collect()
    }

    /// Returns the current fault of a backend server and its progress from 0 to 1.
    pub(super) fn fault_of(&self, server: usize) -> Option<(ServerFault, f64)> {
        if !self.trigger_active || !self.is_affected(server) {
            return None;
        }
        let since = self.now.saturating_sub(TRIGGER_AT).as_secs_f64();
        match self.plan.event {
            SituationEvent::Gray { fault, .. } => {
                Some((fault, since / self.plan.duration.as_secs_f64()))
            }
            SituationEvent::Flapping { fault, period } => {
                let phase = (since / period.as_secs_f64()).fract();
                (phase < 0.5).then_some((fault, phase))
            }
            _ => None,
        }
    }

    /// Returns whether messages from an upstream's instance to a daemon are lost.
    pub(super) fn is_cut(&self, node: usize, server: usize) -> bool {
        self.trigger_active
            && self.plan.event == SituationEvent::ObserverCut
            && node == self.first_faulty
            && node != server
    }

    pub(super) fn trigger(&mut self) {
        self.trigger_active = true;
        match self.plan.event {
            SituationEvent::SilentConnections => {
                for _ in 0..10 {
                    let node = self.rng.random_range(0..self.choosers.len());
                    let server = self.rng.random_range(0..self.servers.len());
                    self.silent_connections[node][server] = node != server;
                }
            }
            SituationEvent::CrashRequest => {
                let request = SimulatedRequest {
                    node: self.rng.random_range(0..self.choosers.len()),
                    arrived: self.now,
                    work: 1.0,
                    plan: RetryPlan::new(true, self.now + CALLER_DEADLINE),
                    crashes_server: true,
                    resends_left: 0,
                };
                self.send(request);
            }
            SituationEvent::ColdRestart => {
                for server in 0..self.servers.len() / 3 {
                    self.crash(server);
                }
            }
            _ => {}
        }
    }

    /// Crashes a backend server and schedules its cold restart.
    pub(super) fn crash(&mut self, server: usize) {
        self.servers[server].up = false;
        let running = std::mem::take(&mut self.servers[server].running);
        let queue = std::mem::take(&mut self.servers[server].queue);
        for attempt in running {
            self.report_local_end(attempt, SampleKind::Crashed);
            self.send_reply(attempt, SampleKind::Crashed);
        }
        for attempt in queue {
            self.send_reply(attempt, SampleKind::ConnectionLost);
        }
        self.schedule(
            PHASE_DELAY,
            EventKind::PhaseUpdate {
                server,
                phase: UpstreamPhase::Starting,
            },
        );
        self.schedule(RESTART_TIME, EventKind::Restarted { server });
    }

    pub(super) fn on_restarted(&mut self, server: usize) {
        self.servers[server].up = true;
        self.servers[server].cold_since = Some(self.now.as_secs_f64());
        self.schedule(
            PHASE_DELAY,
            EventKind::PhaseUpdate {
                server,
                phase: UpstreamPhase::Ready,
            },
        );
    }

    pub(super) fn apply_phase(&mut self, server: usize, phase: UpstreamPhase) {
        let facts = self.facts(server, phase);
        for chooser in &mut self.choosers {
            chooser.upsert(self.now, upstream_id(server), &facts);
        }
    }
}
