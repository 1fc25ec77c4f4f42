//! In-memory record store with retention and an append rate limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::LogStandinSettings;

/// A record with its offset and the times of its append.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    pub(super) offset: u64,
    pub(super) wall: Duration,
    pub(super) data: Bytes,
    appended_at: Duration,
}

/// Result of a read.
#[derive(Debug)]
pub(super) struct StoredPage {
    pub(super) first: u64,
    pub(super) next: u64,
    pub(super) records: Vec<StoredRecord>,
}

/// Reason for rejecting an append or a read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum StoreError {
    /// The append exceeds the rate limit; the client may retry after this time.
    Throttled(Duration),
    /// Retention or a trim has dropped the offset; `first` is the oldest offset available.
    Trimmed { first: u64 },
}

#[derive(Debug, Default)]
struct StoredStream {
    first: u64,
    records: VecDeque<StoredRecord>,
}

impl StoredStream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    fn apply_retention(&mut self, settings: &LogStandinSettings, now: Duration) {
        while self.records.len() > settings.retain_records {
            self.drop_oldest();
        }
        let oldest = now.saturating_sub(settings.retain_age);
        while self.records.front().is_some_and(|r| r.appended_at < oldest) {
            self.drop_oldest();
        }
    }
}

/// The streams of the log and the token bucket that limits appends.
#[derive(Debug)]
pub(super) struct LogStore {
    settings: LogStandinSettings,
    streams: BTreeMap<String, StoredStream>,
    tokens: f64,
    refilled_at: Duration,
    pub(super) appends: u64,
}

impl LogStore {
    pub(super) fn new(settings: LogStandinSettings) -> Self {
        let tokens = f64::from(settings.appends_per_second);
        Self {
            settings,
            streams: BTreeMap::new(),
            tokens,
            refilled_at: Duration::ZERO,
            appends: 0,
        }
    }

    pub(super) fn append(
        &mut self,
        stream: &str,
        data: Bytes,
        now: Duration,
        wall: Duration,
    ) -> Result<u64, StoreError> {
        self.take_token(now)?;
        self.appends += 1;
        let stored = self.streams.entry(stream.to_owned()).or_default();
        let offset = stored.next();
        stored.records.push_back(StoredRecord {
            offset,
            wall,
            data,
            appended_at: now,
        });
        stored.apply_retention(&self.settings, now);
        Ok(offset)
    }

    pub(super) fn read(
        &mut self,
        stream: &str,
        from: u64,
        max: usize,
        now: Duration,
    ) -> Result<StoredPage, StoreError> {
        let Some(stored) = self.streams.get_mut(stream) else {
            return Ok(StoredPage {
                first: 0,
                next: 0,
                records: Vec::new(),
            });
        };
        stored.apply_retention(&self.settings, now);
        if from < stored.first {
            return Err(StoreError::Trimmed {
                first: stored.first,
            });
        }
        let skipped = usize::try_from(from - stored.first).unwrap_or(usize::MAX);
        let records = stored.records.iter().skip(skipped).take(max).cloned();
        Ok(StoredPage {
            first: stored.first,
            next: stored.next(),
            records: records.collect(),
        })
    }

    pub(super) fn trim_to(&mut self, stream: &str, offset: u64) {
        if let Some(stored) = self.streams.get_mut(stream) {
            while stored.first < offset && !stored.records.is_empty() {
                stored.drop_oldest();
            }
        }
    }

    fn take_token(&mut self, now: Duration) -> Result<(), StoreError> {
        let rate = f64::from(self.settings.appends_per_second.max(1));
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / rate;
        Err(StoreError::Throttled(Duration::from_secs_f64(wait)))
    }
}
