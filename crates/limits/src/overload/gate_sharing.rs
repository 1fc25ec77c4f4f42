//! Displacement of queued work for accounts within their share.

use std::time::Duration;

use crate::admission::GateCommand;

use super::gate::DeadlineGate;
use super::queue::{WaitingWork, uncautious_wait};
use super::queue_report::QueueEvent;

impl DeadlineGate {
    /// Refuses queued work of accounts above their share if an offer of another account can meet its
    /// objective only without it.
    ///
    /// `busy` is the remaining time of the current runs, summed over the slots.
    pub(super) fn make_way(
        &mut self,
        now: Duration,
        offered: &WaitingWork,
        busy: Duration,
        out: &mut Vec<GateCommand>,
    ) {
        let Some(left) = offered.latest_start().checked_sub(now) else {
            return;
        };
        let slots = self.open_slots(now);
        let max_wait = uncautious_wait(left);
        let wait = self.queue.expected_wait(now, offered, busy, slots);
        if self.permit_wait(now) > left || wait <= max_wait {
            return;
        }
        for work in self.queue.make_way(now, offered, max_wait, busy, slots) {
            self.events.push(QueueEvent::DisplacedByShare(work));
            self.refuse_queued(now, work, out);
        }
    }
}
