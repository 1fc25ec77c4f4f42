//! Asks the node beside an upstream what became of work when the way to it broke.
//!
//! ```text
//! dispatch ── connection lost ──▶ FenceAsk ──▶ not begun: never will be ──▶ sent elsewhere
//!                                          └─▶ begun ────────────────────▶ "may have run"
//! ```
//!
//! Failure: something between two nodes resets their connections, and every request on them that
//! must not repeat ends with "may have run", though most never reached a backend server. Only the
//! node beside a backend server can hand work to it, so its word is enough: what it has not begun
//! when it is asked, it refuses from then on.

use std::time::Duration;

use sycamorelink_contract::RepeatClass;
use sycamorelink_core::{AttemptId, InstanceId, RefusalCode, RequestId, RunState};
use sycamorelink_limits::WorkId;
use sycamorelink_policy::SampleKind;

use crate::command::NodeCommand;
use crate::event::AttemptReport;
use crate::message::PeerMessage;
use crate::node::{NodeEngine, TimerPurpose};
use crate::request::{OpenAttempt, RequestPhase, WorkPhase};

/// Longest wait for the answer: a new connection and a round trip, many times over. After it the
/// caller is told that its request may have run.
const FENCE_WAIT: Duration = Duration::from_millis(300);
/// How long a node remembers what it has begun or refused: longer than any request lasts.
const FENCE_MEMORY: Duration = Duration::from_secs(30);

/// What a node remembers of attempts that were offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceMark {
    /// The backend server was handed it.
    Begun,
    /// It was asked about before it was begun, and is refused from then on.
    Refused,
}

impl NodeEngine {
    /// Asks about an attempt whose end is not known. False when nobody can tell.
    pub(crate) fn ask_fence(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: OpenAttempt,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let own = self.own.instance.node;
        let way_broke = report.kind == SampleKind::ConnectionLost && report.load.is_none();
        let unknown = report.run == RunState::Unknown && attempt.upstream.node != own;
        if !self.has_fleet_form() || !way_broke || !unknown {
            return false;
        }
        let lives = self.instance_of(attempt.upstream.node) == Some(attempt.executor);
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        if !lives || state.rule.repeat == RepeatClass::Idempotent {
            return false;
        }
        state.phase = RequestPhase::Resolving;
        let until = now + FENCE_WAIT;
        self.timers.insert((until, TimerPurpose::Fence, id));
        let ask = PeerMessage::FenceAsk {
            attempt: report.attempt,
        };
        self.send_peer(attempt.executor, ask, out);
        true
    }

    /// The answer came, or did not come in time.
    pub(crate) fn on_fence_answer(
        &mut self,
        now: Duration,
        id: RequestId,
        number: Option<u16>,
        begun: bool,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.phase != RequestPhase::Resolving {
            return;
        }
        let Some(mut report) = state.last.clone() else {
            return;
        };
        if number.is_some_and(|number| number != report.attempt.number) {
            return;
        }
        state.phase = RequestPhase::Dispatched;
        if begun || number.is_none() {
            self.give_answer(now, id, &report, out);
            return;
        }
        state.uncertain = state.uncertain.saturating_sub(1);
        report.run = RunState::NotRun;
        state.last = Some(report.clone());
        self.try_elsewhere(now, id, &report, out);
    }

    /// A peer asks what became of an attempt that it offered.
    pub(crate) fn on_fence_ask(
        &mut self,
        now: Duration,
        from: InstanceId,
        attempt: AttemptId,
        out: &mut Vec<NodeCommand>,
    ) {
        let mut offered = self.works.iter();
        let offered = offered.find(|(_, state)| state.offer.attempt == attempt);
        let waiting = offered.filter(|(_, state)| state.phase != WorkPhase::Running);
        let waiting: Option<WorkId> = waiting.map(|(work, _)| *work);
        if let Some(work) = waiting {
            if let Some(slot) = self.works.get(&work).map(|state| state.offer.slot)
                && let Some(upstream) = self.upstreams.get_mut(&slot)
            {
                upstream.gate.cancel(now, work);
            }
            // Nobody reads this refusal: the way it would take is the one that broke.
            self.refuse_gated(now, work, RefusalCode::Draining, None, out);
        }
        let begun = self.fence_mark(attempt) == Some(FenceMark::Begun);
        if !begun {
            self.mark_fence(now, attempt, FenceMark::Refused);
        }
        let answer = PeerMessage::FenceAnswer { attempt, begun };
        self.send_peer(from, answer, out);
    }

    /// What is remembered of an attempt.
    pub(crate) fn fence_mark(&self, attempt: AttemptId) -> Option<FenceMark> {
        self.fences.get(&attempt).map(|(mark, _)| *mark)
    }

    /// Remembers what became of an attempt.
    pub(crate) fn mark_fence(&mut self, now: Duration, attempt: AttemptId, mark: FenceMark) {
        if self.has_fleet_form() {
            self.fences.insert(attempt, (mark, now + FENCE_MEMORY));
        }
    }

    /// Forgets attempts that no request can still wait for.
    pub(crate) fn forget_fences(&mut self, now: Duration) {
        self.fences.retain(|_, (_, until)| *until > now);
    }
}
