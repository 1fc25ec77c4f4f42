//! Circuit breaker checks for work offered to a local backend server, and reports on that work.
//!
//! ```text
//! offer ─ breaker ─┬─ admitted, or a trial ─▶ slot gate
//!                  └─ rejected ─▶ refused as not run: the caller's node retries elsewhere
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
use crate::note::{NodeNote, QueueStep};

/// Failure chance from which the breaker refuses non-idempotent work even when every other upstream
/// that was asked is suspect too.
///
/// Such work may not be repeated, so a "not run" refusal serves the caller better than a run that
/// is expected to succeed well under half of the time.
const MAX_FORCED_FAILURE_CHANCE: f64 = 0.75;

/// Time after a failed call during which an error from the backend server that made the call is
/// attributed to that call.
///
/// A backend server answers at once when a call that it needs fails, and the call goes through the
/// node of the same instance.
const FAILED_CALL_WINDOW: Duration = Duration::from_millis(20);

impl NodeEngine {
    /// Returns whether the breaker of the upstream lets the work run.
    ///
    /// Under per-customer contracts the breaker is not consulted: ejection then relies on the
    /// callers' view alone, which is what the tests of that mode measure.
    pub(crate) fn passes_breaker(&mut self, now: Duration, work: WorkId) -> bool {
        if !self.uses_fleet_contract() {
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
            && upstream.breaker.chance(now) < MAX_FORCED_FAILURE_CHANCE;
        if state.offer.insist && (state.offer.trial_fit || least_suspect) {
            return true;
        }
        let verdict = upstream.breaker.admit(now, state.offer.trial_fit);
        state.on_trial = verdict == BreakerVerdict::Trial;
        verdict != BreakerVerdict::Held
    }

    /// Reports the decision on tracked work, with the load and failure odds at that moment.
    pub(crate) fn note_work_decision(
        &mut self,
        work: WorkId,
        refused: Option<RefusalCode>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let left = state.deadline.saturating_sub(self.now);
        let queue = state.queue_step;
        let offer = state.offer.clone();
        self.note_offer_decision(&offer, (refused, queue), left, out);
    }

    /// Reports the decision on an offer, including one refused before it is tracked as work.
    pub(crate) fn note_offer_decision(
        &mut self,
        offer: &WorkOffer,
        (refused, queue): (Option<RefusalCode>, Option<QueueStep>),
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
            queue,
        }));
    }

    /// Reports how a run ended and how long it waited and took.
    pub(crate) fn note_work_end(
        &self,
        now: Duration,
        report: &WorkReport,
        out: &mut Vec<NodeCommand>,
    ) {
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

    /// Records a lost connection in the breaker before the cause is known.
    ///
    /// Distinguishing a crashed backend server from a lost connection takes some ten milliseconds,
    /// in which a failing server would be given more non-idempotent work. The server is suspect in
    /// either case, so the breaker is updated at once.
    pub(crate) fn on_work_connection_lost(
        &mut self,
        now: Duration,
        work: WorkId,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get_mut(&work) else {
            return;
        };
        state.connection_lost = true;
        self.record_in_breaker(now, work, Some(SampleKind::ConnectionLost), out);
    }

    /// Attributes an error of a run to a failed call that the run itself made.
    ///
    /// A backend server returns an error when a service that it calls failed. Every server of the
    /// calling service does so at the same time, and without this check the breakers would reject
    /// work for healthy servers because of another service's fault. This node returned the failed
    /// answer to that call a moment before, so it can attribute the error.
    pub(crate) fn attributes_error_to_call(
        &mut self,
        now: Duration,
        work: WorkId,
        kind: SampleKind,
    ) -> bool {
        let called = self
            .last_failed_call
            .filter(|at| now < *at + FAILED_CALL_WINDOW);
        let started = self.works.get(&work).map(|state| state.started);
        let within = called.zip(started).is_some_and(|(at, since)| at >= since);
        let explained = self.uses_fleet_contract() && kind == SampleKind::Failed && within;
        if explained
            && let Some(state) = self.works.get(&work)
            && let Some(upstream) = self.upstreams.get_mut(&state.offer.slot)
        {
            upstream.breaker.ended_without_evidence(work.0);
            self.last_failed_call = None;
        }
        explained
    }

    /// Records the end of work in the breaker; `kind` is `None` when the work ended without a run.
    pub(crate) fn record_in_breaker(
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
        // A run in an earlier incarnation of the server says nothing about the current one.
        let kind = kind.filter(|_| life == upstream.life_id());
        if let Some(kind) = kind {
            upstream.breaker.ended(now, work.0, kind);
        }
        if trial {
            upstream.breaker.end_trial();
        }
        if self.uses_fleet_contract() {
            self.check_health(now, slot, kind, out);
        }
    }
}
