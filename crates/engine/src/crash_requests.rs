//! Isolation of requests that crash the backend servers that run them.

use std::time::Duration;

use sycamorelink_core::{NodeIncarnation, RefusalCode, RequestRefusal, UpstreamId};
use sycamorelink_limits::crash::CrashVictim;
use sycamorelink_limits::{CrashCommand, CrashEvent, CrashSignature, WorkId};
use sycamorelink_roster::RosterEvent;

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;
use crate::request::{WorkPhase, WorkState};

impl NodeEngine {
    pub(crate) fn request_turn(&mut self, now: Duration, work: WorkId, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        state.phase = WorkPhase::AwaitingTurn;
        let signature = state.signature();
        self.awaiting_turn.insert(work.0, work);
        let mut commands = Vec::new();
        self.crash
            .request_turn(now, signature, work.0, &mut commands);
        self.on_crash_commands(now, commands, out);
    }

    pub(crate) fn stop_crash_request(
        &mut self,
        work: WorkId,
        retry_after: Duration,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(state) = self.works.get(&work) {
            let request = state.attempt().request;
            out.push(NodeCommand::Note(NodeNote::CrashRequestStopped { request }));
        }
        self.refuse_work(
            work,
            RequestRefusal::not_run(RefusalCode::CrashRequest).retry_after(retry_after),
            out,
        );
    }

    pub(crate) fn return_turn(
        &mut self,
        now: Duration,
        signature: CrashSignature,
        out: &mut Vec<NodeCommand>,
    ) {
        let mut commands = Vec::new();
        self.crash.return_turn(signature, &mut commands);
        self.on_crash_commands(now, commands, out);
    }

    /// Handles a backend server that crashed while it ran work. Any of its running requests may be
    /// the cause, so all of them are recorded. The server gets no more work until it announces
    /// itself again.
    pub(crate) fn on_backend_crash(
        &mut self,
        now: Duration,
        work: WorkId,
        slot: u16,
        out: &mut Vec<NodeCommand>,
    ) {
        let node = self.own.instance.node;
        let state = self.works.get(&work);
        let is_current = state.is_some_and(|state| self.is_current(slot, state.life.as_ref()));
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let life = NodeIncarnation(self.own.instance.incarnation.0 + upstream.life);
        let victim = CrashVictim {
            upstream: UpstreamId { node, slot },
            incarnation: life,
        };
        self.held_failures.entry(victim).or_default().push(work);
        let upstream_service = upstream.announced.service.clone();
        // The crash of an earlier incarnation may be noticed only after the next one has started.
        let first = upstream.available && is_current;
        upstream.available &= !is_current;
        let running = self
            .works
            .values()
            .filter(|state| state.offer.slot == slot && state.phase == WorkPhase::Running)
            .map(WorkState::signature)
            .filter(|signature| signature.0 != 0)
            .collect();
        let service = upstream_service;
        let event = CrashEvent::Crashed {
            service,
            victim,
            running,
        };
        let mut commands = Vec::new();
        self.crash.handle(now, event, &mut commands);
        self.on_crash_commands(now, commands, out);
        if first {
            self.note_upstream(slot, out, |id, service| NodeNote::UpstreamCrashed {
                id,
                service,
            });
            self.handle_roster_event(now, RosterEvent::UpstreamGone { slot }, out);
        }
    }

    pub(crate) fn on_crash_commands(
        &mut self,
        now: Duration,
        commands: Vec<CrashCommand>,
        out: &mut Vec<NodeCommand>,
    ) {
        for command in commands {
            match command {
                CrashCommand::Send { to, message } => {
                    self.send_peer(to, PeerMessage::Crash(message), out);
                }
                CrashCommand::Release { victim, .. } => self.release_failures(victim, out),
                CrashCommand::Turn {
                    ask,
                    granted,
                    retry_after,
                    ..
                } => {
                    self.on_turn(now, ask, granted, retry_after, out);
                }
            }
        }
    }

    /// Releases the failures of work on a crashed server.
    ///
    /// A caller that receives the failure may resend the request at once, and the resend could
    /// reach the next executor before the crash report does. The failure is therefore held until
    /// the other executors have acknowledged the report, which takes one round trip, or until
    /// [`sycamorelink_limits::CrashSettings::report_wait`] has passed.
    fn release_failures(&mut self, victim: CrashVictim, out: &mut Vec<NodeCommand>) {
        let works = self.held_failures.remove(&victim).unwrap_or_default();
        out.extend(
            works
                .into_iter()
                .map(|work| NodeCommand::ReleaseWork { work }),
        );
    }

    pub(crate) fn on_turn(
        &mut self,
        now: Duration,
        ask: u64,
        granted: bool,
        retry_after: Duration,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(work) = self.awaiting_turn.remove(&ask) else {
            return;
        };
        if granted {
            if let Some(state) = self.works.get_mut(&work) {
                state.on_turn = true;
            }
            self.ask_guard(now, work, out);
        } else {
            let refusal = RequestRefusal::not_run(RefusalCode::CrashRequest);
            self.refuse_work(work, refusal.retry_after(retry_after), out);
        }
    }

    pub(crate) fn tick_crash(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let mut commands = Vec::new();
        self.crash.tick(now, &mut commands);
        self.on_crash_commands(now, commands, out);
    }
}
