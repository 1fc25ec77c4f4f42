//! Holding work off the backend server beside this node, and what is told of each decision on work.
//!
//! ```text
//! offer ─ breaker ─┬─ admitted, or a trial ─▶ slot gate
//!                  └─ held ─▶ refused, not run: the caller's node asks elsewhere
//! end of a run ────▶ breaker
//! ```

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::RefusalCode;
use sycamorelink_limits::WorkId;
use sycamorelink_policy::{BreakerVerdict, PolicyMechanism, SampleKind};

use crate::command::NodeCommand;
use crate::event::{WorkOffer, WorkReport};
use crate::executor::upstream_id;
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Chance of failing from which work that must not repeat is not run even where all that were asked
/// are suspect: a caller is better told that it has not run when less than half of it would end well.
const INSIST_MOST: f64 = 0.75;

/// How long after the failed answer to a call an error of the backend server that made it is explained by
/// that: a backend server answers at once when a call that it needs fails, from the same instance.
const EXPLAINED_FOR: Duration = Duration::from_millis(20);

impl NodeEngine {
    /// Under customers' contracts the callers' view decides alone, as their tests measure it.
    pub(crate) fn passes_breaker(&mut self, now: Duration, work: WorkId) -> bool {
        if !self.has_fleet_form() {
            return true;
        }
        let Some(state) = self.works.get_mut(&work) else {
            return false;
        };
        let Some(upstream) = self.upstreams.get_mut(&state.offer.slot) else {
            return false;
        };
        let policy = &self.settings.policy;
        if !policy.is_on(PolicyMechanism::Breaker) {
            return true;
        }
        let least_suspect = policy.is_on(PolicyMechanism::LeastSuspect)
            && upstream.breaker.chance(now) < INSIST_MOST;
        if state.offer.insist && (state.offer.trial_fit || least_suspect) {
            return true;
        }
        let verdict = upstream.breaker.admit(now, state.offer.trial_fit);
        state.on_trial = verdict == BreakerVerdict::Trial;
        verdict != BreakerVerdict::Held
    }

    /// Tells what was decided on work, with what decided it.
    pub(crate) fn note_decided(
        &mut self,
        work: WorkId,
        refused: Option<RefusalCode>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let left = state.deadline.saturating_sub(self.now);
        let offer = state.offer.clone();
        self.note_offer_decided(&offer, refused, left, out);
    }

    /// Reports the decision on an offer, including one refused before it is tracked as work.
    pub(crate) fn note_offer_decided(
        &mut self,
        offer: &WorkOffer,
        refused: Option<RefusalCode>,
        left: Duration,
        out: &mut Vec<NodeCommand>,
    ) {
        let repeat_budget = self.repeat_budget_view(self.now, offer);
        out.push(NodeCommand::Note(NodeNote::WorkDecided {
            label: Arc::clone(&offer.label),
            number: offer.attempt.number,
            id: upstream_id(self.own.instance, offer.slot),
            service: offer.service.clone(),
            refused,
            load: self.load_of(offer.slot),
            odds: self.odds_of(offer.slot),
            left,
            repeat_budget,
        }));
    }

    /// Tells how work ended.
    pub(crate) fn note_done(&self, now: Duration, report: &WorkReport, out: &mut Vec<NodeCommand>) {
        let Some(state) = self.works.get(&report.work) else {
            return;
        };
        out.push(NodeCommand::Note(NodeNote::WorkDone {
            label: Arc::clone(&state.offer.label),
            number: state.offer.attempt.number,
            id: upstream_id(self.own.instance, state.offer.slot),
            service: state.offer.service.clone(),
            end: report.end,
            status: report.status,
            waited: state.started.saturating_sub(state.offered),
            took: now.saturating_sub(state.started),
        }));
    }

    /// Failure: it takes some ten milliseconds to tell a backend server that ended from a lost
    /// connection, and work that must not repeat is handed to a failing server meanwhile. Either way
    /// the server is suspect, so the breaker hears at once.
    pub(crate) fn on_work_broke(
        &mut self,
        now: Duration,
        work: WorkId,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        state.broke = true;
        self.tell_breaker(now, work, Some(SampleKind::ConnectionLost), out);
    }

    /// Whether a run ended with an error because a call of its own failed.
    ///
    /// Failure: a backend server answers an error when a service that it calls failed. Its neighbours do
    /// the same, and all servers of a sound service are held off for the faults of another. The node beside
    /// it gave that call its final answer a moment before, so the error is explained.
    pub(crate) fn explains_error(&mut self, now: Duration, work: WorkId, kind: SampleKind) -> bool {
        let called = self.call_failed.filter(|at| now < *at + EXPLAINED_FOR);
        let started = self.works.get(&work).map(|state| state.started);
        let within = called.zip(started).is_some_and(|(at, since)| at >= since);
        let explained = self.has_fleet_form() && kind == SampleKind::Failed && within;
        if explained
            && let Some(state) = self.works.get(&work)
            && let Some(upstream) = self.upstreams.get_mut(&state.offer.slot)
        {
            upstream.breaker.ended_unjudged(work.0);
            self.call_failed = None;
        }
        explained
    }

    /// Tells the breaker how work ended; `kind` is none when it ended without a run.
    pub(crate) fn tell_breaker(
        &mut self,
        now: Duration,
        work: WorkId,
        kind: Option<SampleKind>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        let trial = std::mem::take(&mut state.on_trial);
        let slot = state.offer.slot;
        let life = state.life.clone();
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        // What ran in a life that has ended says nothing about the one that followed.
        let kind = kind.filter(|_| life == upstream.life_id());
        if let Some(kind) = kind {
            upstream.breaker.ended(now, work.0, kind);
        }
        if trial {
            upstream.breaker.trial_ended();
        }
        if self.has_fleet_form() {
            self.check_standing(now, slot, kind, out);
        }
    }
}
