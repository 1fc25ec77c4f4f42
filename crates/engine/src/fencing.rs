//! Resolution of attempts whose connection broke, by asking the node beside the upstream.
//!
//! ```text
//! dispatch ── connection lost ──▶ FenceAsk ──▶ not started: never will be ──▶ retried elsewhere
//!                                          └─▶ started ────────────────────▶ "may have run"
//! ```
//!
//! When a device between two nodes resets their connections, every non-idempotent request on these
//! connections would end with "may have run", although most never reached a backend server. Only
//! the node beside a backend server can forward work to it, so the answer of that node is
//! authoritative: an attempt that was not started when the question arrives is refused from then
//! on.

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

/// Maximum wait for the answer: several times a new connection and a round trip. After that the
/// caller is answered that its request may have run.
const FENCE_WAIT: Duration = Duration::from_millis(300);
/// Minimum time for which a node remembers attempts that it started or refused. Those that it started
/// are remembered for longer if their caller may wait longer.
const FENCE_RETENTION: Duration = Duration::from_secs(30);

/// Recorded state of an attempt that was offered to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceMark {
    /// The attempt was forwarded to the backend server.
    Begun,
    /// The attempt was not started when its ingress node asked, and is refused from then on.
    Refused,
}

impl NodeEngine {
    /// Asks the executor about an attempt with an unknown end. Returns false if no node can answer.
    pub(crate) fn ask_fence(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: OpenAttempt,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let own = self.own.instance.node;
        let connection_lost = report.kind == SampleKind::ConnectionLost && report.load.is_none();
        let unknown = report.run == RunState::Unknown && attempt.upstream.node != own;
        if !self.uses_fleet_contract() || !connection_lost || !unknown {
            return false;
        }
        let is_current = self.instance_of(attempt.upstream.node) == Some(attempt.executor);
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        if !is_current || state.rule.repeat == RepeatClass::Idempotent {
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

    /// Processes the answer, or the end of the wait for the answer if `number` is `None`.
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
            self.send_final_answer(now, id, &report, out);
            return;
        }
        state.uncertain = state.uncertain.saturating_sub(1);
        report.run = RunState::NotRun;
        state.last = Some(report.clone());
        self.try_elsewhere(now, id, &report, out);
    }

    /// Answers a peer that asks about an attempt it offered, and refuses the attempt if it was not
    /// started.
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
            // A peer whose connection broke does not receive this refusal and waits for the answer
            // below. One that recalls an attempt gets the refusal.
            self.refuse_waiting(now, work, RefusalCode::Draining, out);
        }
        let begun = self.fence_mark(attempt) == Some(FenceMark::Begun);
        if !begun {
            self.mark_fence(now, attempt, FenceMark::Refused, FENCE_RETENTION);
        }
        let answer = PeerMessage::FenceAnswer { attempt, begun };
        self.send_peer(from, answer, out);
    }

    /// Returns the recorded state of an attempt.
    pub(crate) fn fence_mark(&self, attempt: AttemptId) -> Option<FenceMark> {
        self.fences.get(&attempt).map(|(mark, _)| *mark)
    }

    /// Records that an attempt was started whose caller waits for at most `time_left`.
    pub(crate) fn mark_begun(&mut self, now: Duration, attempt: AttemptId, time_left: Duration) {
        let retention = FENCE_RETENTION.max(time_left.saturating_add(FENCE_WAIT));
        self.mark_fence(now, attempt, FenceMark::Begun, retention);
    }

    fn mark_fence(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        mark: FenceMark,
        retention: Duration,
    ) {
        if self.uses_fleet_contract() {
            let until = now.saturating_add(retention);
            self.fences.insert(attempt, (mark, until));
        }
    }

    /// Removes entries that no request can still depend on.
    pub(crate) fn forget_fences(&mut self, now: Duration) {
        self.fences.retain(|_, (_, until)| *until > now);
    }
}
