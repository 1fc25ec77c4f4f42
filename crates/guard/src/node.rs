//! Guard of one node: combines the client, seats, ledger, founding and map exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::command::GuardCommand;
use crate::event::GuardEvent;
use crate::map::RangeMap;
use crate::parts::NodeParts;
use crate::seat::RangeSeat;
use crate::settings::{GuardIdentity, GuardSettings};
use crate::turn::{GuardTurn, NodeView};

/// Counters for metrics and status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardCounts {
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Tickets granted since the start.
    pub granted: u64,
    /// Requests answered "unknown" since the start.
    pub unknown: u64,
    /// Keys currently stored as a seat.
    pub keys: usize,
    /// Size of the replies currently stored as a seat, in bytes.
    pub reply_bytes: usize,
    /// Seats that this node currently serves.
    pub seats: usize,
    /// Ranges that cannot serve until they are founded again through the log, as far as this node
    /// knows.
    pub closed_ranges: usize,
}

/// Guard state machine of one node.
#[derive(Debug)]
pub struct GuardNode {
    view: NodeView,
    parts: NodeParts,
    pulse_at: Duration,
    drained: bool,
}

impl GuardNode {
    /// Creates a guard without any records. The seed initialises the random number generator.
    #[must_use]
    pub fn new(identity: GuardIdentity, settings: GuardSettings, seed: u64) -> Self {
        Self {
            view: NodeView::new(identity, settings, seed),
            parts: NodeParts::default(),
            pulse_at: Duration::ZERO,
            drained: false,
        }
    }

    /// Handles one event at `now`, in this node's monotonic time, and appends the resulting
    /// commands. Every event also runs the timers that are due.
    pub fn handle(&mut self, now: Duration, event: GuardEvent, out: &mut Vec<GuardCommand>) {
        let mut turn = GuardTurn {
            now,
            view: &mut self.view,
            out,
        };
        self.parts.take_event(&mut turn, event);
        self.parts.client.tick(&mut turn);
        self.parts.ledger.tick(&mut turn);
        if now >= self.pulse_at {
            self.pulse_at = now + turn.view.settings.resend_after;
            self.parts.pulse(&mut turn);
        }
        let me = turn.me();
        while let Some(message) = turn.view.inbox.pop_front() {
            self.parts.take_message(&mut turn, me, message);
        }
        self.check_drained(out);
    }

    /// Returns the time at which the next `Tick` is due, in this node's monotonic time.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let client = self.parts.client.next_wake();
        let ledger = self.parts.ledger.next_wake();
        let wakes = client.into_iter().chain(ledger);
        Some(wakes.fold(self.pulse_at, Duration::min))
    }

    /// Returns the identity given at creation.
    #[must_use]
    pub fn identity(&self) -> &GuardIdentity {
        &self.view.identity
    }

    /// Returns the settings given at creation.
    #[must_use]
    pub fn settings(&self) -> &GuardSettings {
        &self.view.settings
    }

    /// Returns the newest known generations of all ranges.
    #[must_use]
    pub fn map(&self) -> &RangeMap {
        &self.view.map
    }

    /// Returns the counters for metrics and status.
    #[must_use]
    pub fn counts(&self) -> GuardCounts {
        let seats = self.parts.seats.seats.values();
        let ready = |seat: &&RangeSeat| seat.is_ready();
        GuardCounts {
            admitted: self.parts.client.admitted,
            granted: self.parts.client.granted,
            unknown: self.parts.client.unknown,
            keys: seats.clone().map(|seat| seat.store.len()).sum(),
            reply_bytes: seats.clone().map(|seat| seat.store.reply_bytes()).sum(),
            seats: seats.filter(ready).count(),
            closed_ranges: self.parts.founding.closed_ranges(),
        }
    }

    fn check_drained(&mut self, out: &mut Vec<GuardCommand>) {
        let leaving = self.view.draining && !self.drained;
        let empty = self.parts.seats.drained() && self.parts.ledger.recorded();
        if leaving && empty {
            self.drained = true;
            out.push(GuardCommand::Drained);
        }
    }
}
