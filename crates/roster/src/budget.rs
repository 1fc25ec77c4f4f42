//! Token bucket for the bytes that the node sends.
//!
//! Each class of traffic may drain the bucket only to its own floor, so a flood of less important
//! rumours never uses up the bytes for probes and leave announcements. Probes have the lowest
//! floor, because a probe that the budget suppresses looks like a dead member.

use std::time::Duration;

use crate::settings::RosterSettings;

/// Bytes of the IP and UDP headers of each datagram.
pub(crate) const HEADER_BYTES: usize = 28;

const MICROS_PER_BYTE: u64 = 1_000_000;
const PERCENT: u64 = 100;

/// Priority of a datagram or rumour, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SendClass {
    /// Probes and their replies.
    Probe,
    /// A member or an upstream leaves.
    Leave,
    /// Suspicions, deaths and refutations.
    Death,
    /// Contract heads and other retained topics.
    Head,
    /// Digests and pulled state. They precede [`Self::Announce`], which would starve them when many
    /// nodes join at once; they carry the same state, but only to nodes that lack it.
    Sync,
    /// A member or an upstream appeared or changed.
    Announce,
    /// Evidence and limit shares.
    Evidence,
}

impl SendClass {
    /// Returns the percentage of the burst that the class leaves to more important classes.
    const fn floor_percent(self) -> u64 {
        match self {
            Self::Probe => 0,
            Self::Leave => 8,
            Self::Death => 16,
            Self::Head => 22,
            Self::Sync => 30,
            Self::Announce => 40,
            Self::Evidence => 45,
        }
    }
}

/// Token bucket; `rate` is in bytes per second, `burst` and `level` are in millionths of a byte.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    rate: u64,
    burst: u64,
    level: u64,
    filled_at: Duration,
}

impl ByteBudget {
    pub(crate) fn new(settings: &RosterSettings) -> Self {
        let burst = u64::from(settings.burst_bytes) * MICROS_PER_BYTE;
        Self {
            rate: u64::from(settings.bytes_per_second),
            burst,
            level: burst,
            filled_at: Duration::ZERO,
        }
    }

    /// Adds the tokens gained since the last call.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_micros();
        let micros = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.filled_at += Duration::from_micros(micros);
        let gained = micros.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.burst);
    }

    /// Returns the largest payload, in bytes, that a datagram of this class may have now.
    pub(crate) fn allowance(&self, class: SendClass) -> usize {
        let floor = self.burst / PERCENT * class.floor_percent();
        let bytes = self.level.saturating_sub(floor) / MICROS_PER_BYTE;
        usize::try_from(bytes)
            .unwrap_or(usize::MAX)
            .saturating_sub(HEADER_BYTES)
    }

    /// Takes the bytes of a datagram (payload and headers) from the bucket. Returns false and takes
    /// nothing when the class has too few left.
    pub(crate) fn take(&mut self, class: SendClass, payload: usize) -> bool {
        if self.allowance(class) < payload {
            return false;
        }
        let bytes = payload + HEADER_BYTES;
        self.level -= (bytes as u64) * MICROS_PER_BYTE;
        true
    }
}
