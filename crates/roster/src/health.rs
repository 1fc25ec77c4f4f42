//! Health score of this node's own network and process.
//!
//! A node that was paused, starved or cut off gets no replies and would declare the other members
//! dead. A probe that fails while no helper replies either therefore raises the prober's own score,
//! which lengthens its timers, and does not count against the member.

use std::time::Duration;

/// Largest score; each point lengthens a timer by its base length once.
const MAX_SCORE: u32 = 8;

/// Points added when this process was paused.
const STALL_POINTS: u32 = 3;

/// Consecutive probes without any reply after which the node reports that it suspects itself.
const ISOLATION_PROBES: u32 = 3;

/// Change of the isolation state of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// No change.
    Unchanged,
    /// No node replies any more; holds the number of consecutive failed probes.
    Isolated(u32),
    /// Another node replied again.
    Recovered,
}

/// Health score of this node; zero is healthy.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
    unanswered_probes: u32,
}

impl LocalHealth {
    /// Returns a timer's length under the current score.
    pub(crate) fn scale(&self, length: Duration) -> Duration {
        length * (1 + self.score)
    }

    /// Records a reply from a member or a helper.
    pub(crate) fn answered(&mut self) -> HealthChange {
        self.score = self.score.saturating_sub(1);
        let was_isolated = self.unanswered_probes >= ISOLATION_PROBES;
        self.unanswered_probes = 0;
        if was_isolated {
            HealthChange::Recovered
        } else {
            HealthChange::Unchanged
        }
    }

    /// Records a probe that neither the member nor any helper answered.
    pub(crate) fn unanswered(&mut self) -> HealthChange {
        self.add_points(1);
        self.unanswered_probes += 1;
        if self.unanswered_probes == ISOLATION_PROBES {
            HealthChange::Isolated(self.unanswered_probes)
        } else {
            HealthChange::Unchanged
        }
    }

    /// Records that some helpers did not reply in time.
    pub(crate) fn helpers_missing(&mut self) {
        self.add_points(1);
    }

    /// Records that peers wrongly suspected this node or marked it dead.
    pub(crate) fn refuted(&mut self) {
        self.add_points(1);
    }

    /// Records that this process was paused.
    pub(crate) fn stalled(&mut self) {
        self.add_points(STALL_POINTS);
    }

    /// Returns whether the last [`ISOLATION_PROBES`] probes got no reply from any node.
    pub(crate) const fn is_isolated(&self) -> bool {
        self.unanswered_probes >= ISOLATION_PROBES
    }

    fn add_points(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }
}
