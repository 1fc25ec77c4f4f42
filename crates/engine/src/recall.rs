//! Recall of a leaving node's requests that wait beside backend servers of other nodes.
//!
//! ```text
//! drain ── half of the serving time ──▶ FenceAsk for each open attempt ─┬─ begun: reply is awaited
//!                                                                      └─ waiting: refused, not run
//! ```
//!
//! Under overload control a request can wait for longer than a leaving node may run. Its caller
//! would see the connection end without an answer, although the request never ran.

use std::time::Duration;

use sycamorelink_core::{AttemptId, InstanceId};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::request::RequestState;

/// Fraction of the time for which a leaving node serves callers, after which their requests no
/// longer wait. The rest, and the time after serving, is left for their runs.
const START_FRACTION: u32 = 2;

impl NodeEngine {
    /// Returns the time until which the requests of this leaving node may wait; `None` if it is not
    /// leaving.
    pub(crate) fn latest_wait_to_leave(&self) -> Option<Duration> {
        let since = self.draining?;
        Some(since + self.settings.leave_serving / START_FRACTION)
    }

    /// Returns the time by which the requests of this leaving node must have started; `None` if it
    /// is not leaving or without a deadline queue.
    pub(crate) fn latest_start_to_leave(&self) -> Option<Duration> {
        self.latest_wait_to_leave()
            .filter(|_| self.queues_by_deadline())
    }

    /// Asks the executors to refuse the attempts of this leaving node that still wait, once the
    /// time by which they must have started has passed.
    ///
    /// An attempt that was started ignores the question. One that was not is refused as not run,
    /// and its request then only goes to a server that can start it at once.
    pub(crate) fn recall_waiting(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let Some(latest_start) = self.latest_start_to_leave() else {
            return;
        };
        if self.recalled_at.is_some() || now < latest_start {
            return;
        }
        self.recalled_at = Some(now);
        let own = self.own.instance.node;
        let open = self.requests.iter().flat_map(|(id, state)| {
            let attempts = open_attempts(state);
            attempts.map(move |(number, executor)| {
                let request = *id;
                (AttemptId { request, number }, executor)
            })
        });
        // The work of this node's own servers was refused when the node started to leave.
        let remote: Vec<(AttemptId, InstanceId)> =
            open.filter(|(_, executor)| executor.node != own).collect();
        for (attempt, executor) in remote {
            self.send_peer(executor, PeerMessage::FenceAsk { attempt }, out);
        }
    }
}

fn open_attempts(state: &RequestState) -> impl Iterator<Item = (u16, InstanceId)> {
    let open = state.open.iter();
    open.map(|attempt| (attempt.number, attempt.executor))
}
