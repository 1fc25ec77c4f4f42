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
use sycamorelink_policy::{BreakerVerdict, SampleKind};

use crate::command::NodeCommand;
use crate::event::WorkReport;
use crate::executor::upstream_id;
use crate::node::NodeEngine;
use crate::note::NodeNote;

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
        if state.offer.insist && state.offer.trial_fit {
            return true;
        }
        let verdict = upstream.breaker.admit(now, state.offer.trial_fit);
        state.on_trial = verdict == BreakerVerdict::Trial;
        verdict != BreakerVerdict::Held
    }

    /// Tells what was decided on work, with what decided it.
    pub(crate) fn note_decided(
        &self,
        work: WorkId,
        refused: Option<RefusalCode>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let slot = state.offer.slot;
        let upstream = self.upstreams.get(&slot);
        out.push(NodeCommand::Note(NodeNote::WorkDecided {
            label: Arc::clone(&state.offer.label),
            number: state.offer.attempt.number,
            id: upstream_id(self.own.instance, slot),
            service: state.offer.service.clone(),
            refused,
            load: self.load_of(slot),
            odds: upstream.map_or(0.0, |upstream| upstream.breaker.odds()),
            left: state.deadline.saturating_sub(self.now),
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
        if let Some(upstream) = self.upstreams.get_mut(&state.offer.slot) {
            // What ran in a life that has ended says nothing about the one that followed.
            let kind = kind.filter(|_| state.life == upstream.life_id());
            let before = upstream.breaker.is_suspect();
            if let Some(kind) = kind {
                upstream.breaker.ended(now, kind);
            }
            if trial {
                upstream.breaker.trial_ended(now);
            }
            let suspect = upstream.breaker.is_suspect();
            if suspect != before {
                out.push(NodeCommand::Note(NodeNote::BreakerTurned {
                    id: upstream_id(self.own.instance, state.offer.slot),
                    service: state.offer.service.clone(),
                    suspect,
                    kind,
                    odds: upstream.breaker.odds(),
                }));
            }
        }
    }
}
