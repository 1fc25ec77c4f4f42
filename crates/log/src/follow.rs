//! Following a stream of the log: a pure state machine that says when to read and from where.
//!
//! ```text
//!        step(now) ──▶ Read{range} ──▶ (client) ──▶ page(now, ..)  ──▶ Records | Gap | Rewound
//!            │                                 └──▶ error(now, ..) ──▶ Gap | Outage
//!            └──────▶ Wait{until}
//! ```
//!
//! Only the owner does I/O. One read is under way at a time.

use std::time::Duration;

use crate::backoff::{BackoffSettings, OutageBackoff};
use crate::client::{LogError, LogPage, LogRecord, ReadRange};

/// Settings of a follower.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// Records asked for at once.
    pub page_records: u32,
    /// Long poll: how long the log may hold an answer back. Bounds the calls of an idle node.
    pub poll_wait: Duration,
    /// Least time between two reads. Bounds the calls of a busy stream, whose records then come
    /// in pages instead of one by one.
    pub least_interval: Duration,
    /// Pauses while the log is away.
    pub backoff: BackoffSettings,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            page_records: 500,
            poll_wait: Duration::from_secs(20),
            least_interval: Duration::from_millis(100),
            backoff: BackoffSettings::default(),
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowStep {
    /// Read these records now.
    Read(ReadRange),
    /// Nothing before this time since the node started.
    Wait {
        /// The time.
        until: Duration,
    },
    /// A read is under way.
    Busy,
}

/// What a page or an error means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// New records in order; empty when the long poll ended without any.
    Records {
        /// The records.
        records: Vec<LogRecord>,
        /// Whether the end of the stream was reached.
        at_end: bool,
    },
    /// Records were trimmed before they were read. What they said must come from a record that
    /// carries the state forward or from a peer. Following goes on at `first`.
    Gap {
        /// First offset that is missing.
        from: u64,
        /// The oldest offset that is kept.
        first: u64,
    },
    /// The log ends before what was read already: another log answers, or it lost its tail.
    /// Following holds its place, so that nothing goes back to an older version.
    Rewound {
        /// The offset that should come next.
        expected: u64,
        /// The end that the log tells.
        next: u64,
    },
    /// The log did not answer.
    Outage {
        /// How long it has been away.
        away_for: Duration,
        /// What was seen.
        error: LogError,
    },
}

/// Follows one stream.
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
    /// Creates a follower that starts at the offset. The seed spreads the nodes' tries.
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

    /// The offset that is wanted next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Whether everything that the log holds was read at the last answer.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// How long the log has been away, if it is.
    #[must_use]
    pub fn away_for(&self, now: Duration) -> Option<Duration> {
        self.backoff.away_for(now)
    }

    /// Moves forward to an offset whose state was learned elsewhere, such as from a peer.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Says what to do now. After a read step the answer must be given to [`Self::page`] or
    /// [`Self::error`].
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
        self.not_before = now + self.settings.least_interval;
        FollowStep::Read(ReadRange {
            from: self.next,
            max: self.settings.page_records,
            wait: self.poll_wait(),
        })
    }

    /// Takes the answer to a read.
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
        // A record below the wanted offset was read or skipped while the read was under way.
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

    /// Takes the failure of a read.
    pub fn error(&mut self, now: Duration, error: LogError) -> FollowEvent {
        self.reading = false;
        if let LogError::Trimmed { first } = error {
            self.backoff.succeed();
            if first > self.next {
                return self.gap(first);
            }
        }
        let mut pause = self.backoff.fail(now);
        if let LogError::Throttled { retry_after } = error {
            pause = pause.max(retry_after);
        }
        self.not_before = now + pause;
        FollowEvent::Outage {
            away_for: self.backoff.away_for(now).unwrap_or_default(),
            error,
        }
    }

    fn gap(&mut self, first: u64) -> FollowEvent {
        let from = self.next;
        self.next = first;
        self.at_end = false;
        FollowEvent::Gap { from, first }
    }

    /// A follower that is behind, or unsure whether the log is there, wants an answer at once.
    fn poll_wait(&self) -> Duration {
        if self.at_end && !self.backoff.is_away() {
            self.settings.poll_wait
        } else {
            Duration::ZERO
        }
    }
}
