//! Guard of one node: combines the client, seats, ledger, founding and map exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::command::GuardCommand;
use crate::components::NodeComponents;
use crate::context::{GuardContext, SharedState};
use crate::event::GuardEvent;
use crate::map::RangeMap;
use crate::seat::RangeSeat;
use crate::settings::{GuardIdentity, GuardSettings};

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
    shared: SharedState,
    components: NodeComponents,
    periodic_at: Duration,
    drained: bool,
}

impl GuardNode {
    /// Creates a guard without any records. The seed initialises the random number generator.
    #[must_use]
    pub fn new(identity: GuardIdentity, settings: GuardSettings, seed: u64) -> Self {
        Self {
            shared: SharedState::new(identity, settings, seed),
            components: NodeComponents::default(),
            periodic_at: Duration::ZERO,
            drained: false,
        }
    }

    /// Handles one event at `now`, in this node's monotonic time, and appends the resulting
    /// commands. Every event also runs the timers that are due.
    pub fn handle(&mut self, now: Duration, event: GuardEvent, out: &mut Vec<GuardCommand>) {
        let mut context = GuardContext {
            now,
            shared: &mut self.shared,
            out,
        };
        self.components.on_event(&mut context, event);
        self.components.client.tick(&mut context);
        self.components.ledger.tick(&mut context);
        if now >= self.periodic_at {
            self.periodic_at = now + context.shared.settings.resend_after;
            self.components.run_periodic(&mut context);
        }
        let me = context.me();
        while let Some(message) = context.shared.inbox.pop_front() {
            self.components.on_message(&mut context, me, message);
        }
        self.check_drained(out);
    }

    /// Returns the time at which the next `Tick` is due, in this node's monotonic time.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let client = self.components.client.next_wake();
        let ledger = self.components.ledger.next_wake();
        let timers = client.into_iter().chain(ledger);
        Some(timers.fold(self.periodic_at, Duration::min))
    }

    /// Returns the identity given at creation.
    #[must_use]
    pub fn identity(&self) -> &GuardIdentity {
        &self.shared.identity
    }

    /// Returns the settings given at creation.
    #[must_use]
    pub fn settings(&self) -> &GuardSettings {
        &self.shared.settings
    }

    /// Returns the newest known generations of all ranges.
    #[must_use]
    pub fn map(&self) -> &RangeMap {
        &self.shared.map
    }

    /// Returns the counters for metrics and status.
    #[must_use]
    pub fn counts(&self) -> GuardCounts {
        let seats = self.components.seats.seats.values();
        let ready = |seat: &&RangeSeat| seat.is_ready();
        GuardCounts {
            admitted: self.components.client.admitted,
            granted: self.components.client.granted,
            unknown: self.components.client.unknown,
            keys: seats.clone().map(|seat| seat.store.len()).sum(),
            reply_bytes: seats.clone().map(|seat| seat.store.reply_bytes()).sum(),
            seats: seats.filter(ready).count(),
            closed_ranges: self.components.founding.closed_ranges(),
        }
    }

    fn check_drained(&mut self, out: &mut Vec<GuardCommand>) {
        let leaving = self.shared.draining && !self.drained;
        let empty = self.components.seats.is_empty() && self.components.ledger.all_recorded();
        if leaving && empty {
            self.drained = true;
            out.push(GuardCommand::Drained);
        }
    }
}
