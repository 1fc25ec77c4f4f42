//! State machine that follows a stream of the log: it decides when to read and from which offset.
//!
//! ```text
//!        step(now) ──▶ Read{range} ──▶ (client) ──▶ page(now, ..)  ──▶ Records | Gap | Rewound
//!            │                                 └──▶ error(now, ..) ──▶ Gap | Outage
//!            └──────▶ Wait{until} | Busy
//! ```
//!
//! The state machine does no I/O; its owner performs the reads. At most one read is in progress.

use std::time::Duration;

use crate::backoff::{BackoffSettings, OutageBackoff};
use crate::client::{LogError, LogPage, LogRecord, ReadRange};

/// Settings of a [`LogFollower`].
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// Maximum number of records per read.
    pub page_records: u32,
    /// Long poll: maximum time that the log holds a read open. Bounds the call rate of an idle
    /// node.
    pub poll_wait: Duration,
    /// Minimum time between two reads. Bounds the call rate on a busy stream, whose records then
    /// arrive in pages instead of one by one.
    pub min_read_interval: Duration,
    /// Delays between retries during an outage of the log.
    pub backoff: BackoffSettings,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            page_records: 500,
            poll_wait: Duration::from_secs(20),
            min_read_interval: Duration::from_millis(100),
            backoff: BackoffSettings::default(),
        }
    }
}

/// Next action of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowStep {
    /// Read this range now.
    Read(ReadRange),
    /// Wait until this time.
    Wait {
        /// Time since the start of the node.
        until: Duration,
    },
    /// Wait for the read in progress.
    Busy,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// New records in order; empty if the long poll ended without any.
    Records {
        /// Records that were not delivered before.
        records: Vec<LogRecord>,
        /// Whether the records reach the end of the stream.
        at_end: bool,
    },
    /// Records were trimmed before they were read. Their content must be recovered from a record
    /// that carries the state forward or from a peer. The follower continues at `first`.
    Gap {
        /// First missing offset.
        from: u64,
        /// Oldest offset that the log retains.
        first: u64,
    },
    /// The log ends before the follower's position: another log answers, or the log lost its latest
    /// records. The follower keeps its position, so that the node never returns to an older
    /// version.
    Rewound {
        /// Offset that the follower expects next.
        expected: u64,
        /// End of the stream as reported by the log.
        next: u64,
    },
    /// The log could not be read.
    Outage {
        /// Duration of the outage so far.
        outage_duration: Duration,
        /// Error of the read.
        error: LogError,
    },
}

/// Follower of one stream.
#[derive(Debug)]
pub struct LogFollower {
    settings: FollowSettings,
    backoff: OutageBackoff,
    next: u64,
    not_before: Duration,
    reading: bool,
    at_end: bool,
}

impl LogFollower {
    /// Creates a follower that starts at an offset. The seed gives each node its own retry jitter.
    #[must_use]
    pub fn new(settings: FollowSettings, from: u64, seed: u64) -> Self {
        Self {
            settings,
            backoff: OutageBackoff::new(settings.backoff, seed),
            next: from,
            not_before: Duration::ZERO,
            reading: false,
            at_end: false,
        }
    }

    /// Returns the next offset to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns whether the last page reached the end of the stream.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Returns the duration of the current outage, or `None` if the log is available.
    #[must_use]
    pub fn outage_duration(&self, now: Duration) -> Option<Duration> {
        self.backoff.outage_duration(now)
    }

    /// Skips to an offset whose preceding state was received elsewhere, for example from a peer.
    /// Never moves backward.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Returns the next action. After [`FollowStep::Read`] the owner must pass the result to
    /// [`Self::page`] or [`Self::error`].
    pub fn step(&mut self, now: Duration) -> FollowStep {
        if self.reading {
            return FollowStep::Busy;
        }
        if now < self.not_before {
            return FollowStep::Wait {
                until: self.not_before,
            };
        }
        self.reading = true;
        self.not_before = now + self.settings.min_read_interval;
        FollowStep::Read(ReadRange {
            from: self.next,
            max: self.settings.page_records,
            wait: self.poll_wait(),
        })
    }

    /// Processes the page returned by a read.
    pub fn page(&mut self, now: Duration, page: LogPage) -> FollowEvent {
        self.reading = false;
        if page.next < self.next {
            self.not_before = now + self.backoff.fail(now);
            return FollowEvent::Rewound {
                expected: self.next,
                next: page.next,
            };
        }
        self.backoff.succeed();
        if page.first > self.next {
            return self.gap(page.first);
        }
        // Records below `next` were skipped while the read was in progress.
        let next = self.next;
        let mut records = page.records;
        records.retain(|record| record.offset >= next);
        if let Some(last) = records.last() {
            self.next = last.offset + 1;
        }
        self.at_end = self.next >= page.next;
        FollowEvent::Records {
            records,
            at_end: self.at_end,
        }
    }

    /// Processes the error of a read.
    pub fn error(&mut self, now: Duration, error: LogError) -> FollowEvent {
        self.reading = false;
        if let LogError::Trimmed { first } = error {
            self.backoff.succeed();
            if first > self.next {
                return self.gap(first);
            }
        }
        let mut delay = self.backoff.fail(now);
        if let LogError::Throttled { retry_after } = error {
            delay = delay.max(retry_after);
        }
        self.not_before = now + delay;
        FollowEvent::Outage {
            outage_duration: self.backoff.outage_duration(now).unwrap_or_default(),
            error,
        }
    }

    fn gap(&mut self, first: u64) -> FollowEvent {
        let from = self.next;
        self.next = first;
        self.at_end = false;
        FollowEvent::Gap { from, first }
    }

    /// Returns the long-poll wait of the next read: zero while the follower is behind or the log
    /// may be down, so that the log answers at once.
    fn poll_wait(&self) -> Duration {
        if self.at_end && !self.backoff.in_outage() {
            self.settings.poll_wait
        } else {
            Duration::ZERO
        }
    }
}
