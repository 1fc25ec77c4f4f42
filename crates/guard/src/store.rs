//! Key records of one range at one seat.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorelink_core::AttemptId;

use crate::key::{KeyFingerprint, KeyId, KeyTime};
use crate::message::{AttemptHolder, ClaimRequest, SeatVerdict};

/// Outcome of an attempt as recorded at the seats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// The attempt ran. The reply is `None` if it is not stored.
    Ran(Option<Arc<[u8]>>),
    /// The attempt may have run.
    Unknown,
}

/// State of one key at one seat. A key without a record is unused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// An attempt has this seat's grant.
    Granted,
    /// The attempt ran. The reply is `None` if it is not stored.
    Ran(Option<Arc<[u8]>>),
    /// The attempt may have run. Only a late record from the executor changes this state.
    Closed,
}

/// Record of one key at a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Hash of method, target and body of the request.
    pub fingerprint: KeyFingerprint,
    /// Attempt that holds the key.
    pub holder: AttemptHolder,
    /// State of that attempt.
    pub state: KeyState,
}

/// Returns whether an attempt is dead. Each entry of `dead` also covers the lower numbers of its
/// request.
pub(crate) fn is_dead(attempt: AttemptId, dead: &[AttemptId]) -> bool {
    dead.iter()
        .any(|other| other.request == attempt.request && other.number >= attempt.number)
}

/// Limits on the age of a key at the time of a claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyLimits {
    /// Latest accepted key time, in milliseconds since the Unix epoch.
    pub(crate) latest_ms: u64,
    /// Maximum window of a key without a time, in milliseconds.
    pub(crate) window_ms: u64,
}

/// Key records of one range, ordered by key and by age.
#[derive(Debug, Default)]
pub(crate) struct KeyStore {
    records: BTreeMap<KeyId, KeyRecord>,
    ages: BTreeSet<(u64, KeyId)>,
    /// Keys with a stored reply, by age.
    replied: BTreeSet<(u64, KeyId)>,
    reply_bytes: usize,
    /// Time below which keys were dropped, in milliseconds since the Unix epoch.
    watermark_ms: u64,
    /// Time in milliseconds since the Unix epoch. Older keys without a record may have run under a
    /// generation whose records were lost.
    floor_ms: u64,
}

impl KeyStore {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) const fn reply_bytes(&self) -> usize {
        self.reply_bytes
    }

    pub(crate) const fn watermark_ms(&self) -> u64 {
        self.watermark_ms
    }

    /// Returns the stamp of the oldest key, in milliseconds since the Unix epoch.
    pub(crate) fn oldest(&self) -> Option<u64> {
        self.ages.first().map(|(stamp_ms, _)| *stamp_ms)
    }

    /// Decides a claim. Grants it only if the key is unused or its attempt is dead.
    pub(crate) fn claim(&mut self, claim: &ClaimRequest, limits: KeyLimits) -> SeatVerdict {
        let attempt = claim.holder.attempt;
        if let Some(record) = self.records.get(&claim.key) {
            let same = record.holder.attempt == attempt;
            let replaced = !same && is_dead(record.holder.attempt, &claim.dead);
            if record.state != KeyState::Granted || !replaced {
                return known_verdict(record, claim);
            }
        } else if self.may_be_dropped(claim, limits) {
            return SeatVerdict::Expired;
        } else if claim.holder.stamp_ms > limits.latest_ms {
            return SeatVerdict::Ahead;
        }
        let record = KeyRecord {
            fingerprint: claim.fingerprint,
            holder: claim.holder,
            state: KeyState::Granted,
        };
        self.insert(claim.key, record);
        SeatVerdict::Granted
    }

    /// Returns whether a key without a record may have had one that was dropped or lost.
    ///
    /// Without this check, a resend whose key was dropped from a full store would run again. Only
    /// keys below the watermark are dropped, the watermark never decreases, and custody transfers
    /// include it. The floor covers records that were lost and is part of the range's entry.
    fn may_be_dropped(&self, claim: &ClaimRequest, limits: KeyLimits) -> bool {
        let oldest_ms = match claim.key.time {
            KeyTime::Timed(key_ms) => key_ms,
            KeyTime::Window(window_ms) => {
                let window_ms = window_ms.min(limits.window_ms);
                claim.holder.stamp_ms.saturating_sub(window_ms)
            }
        };
        oldest_ms < self.watermark_ms.max(self.floor_ms)
    }

    /// Drops the grant of a dead attempt.
    pub(crate) fn release(&mut self, key: KeyId, attempt: AttemptId) {
        let dead = [attempt];
        let void = |record: &KeyRecord| {
            record.state == KeyState::Granted && is_dead(record.holder.attempt, &dead)
        };
        if self.records.get(&key).is_some_and(void) {
            self.remove(key);
        }
    }

    /// Closes a key whose attempt may have run.
    pub(crate) fn close(&mut self, key: KeyId, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&key)
            && record.state == KeyState::Granted
            && record.holder.attempt == attempt
        {
            record.state = KeyState::Closed;
        }
    }

    /// Stores the outcome of an attempt, unless the key is already recorded as run.
    pub(crate) fn record(&mut self, key: KeyId, record: KeyRecord) {
        if record.holder.stamp_ms < self.watermark_ms {
            return;
        }
        let ran = |known: &KeyRecord| matches!(known.state, KeyState::Ran(_));
        if self.records.get(&key).is_some_and(ran) {
            return;
        }
        self.insert(key, record);
    }

    /// Stores a record copied from another seat, unless the key already has one.
    pub(crate) fn merge(&mut self, key: KeyId, record: KeyRecord) {
        if !self.records.contains_key(&key) {
            self.insert(key, record);
        }
    }

    /// Returns the records after a key, in order, and whether no more follow. Stops at `count`
    /// records or once the replies reach `bytes`.
    pub(crate) fn chunk(
        &self,
        after: Option<KeyId>,
        count: usize,
        bytes: usize,
    ) -> (Vec<(KeyId, KeyRecord)>, bool) {
        let from = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let mut rest = self.records.range((from, std::ops::Bound::Unbounded));
        let mut chunk = Vec::new();
        let mut size = 0;
        while chunk.len() < count && size < bytes {
            let Some((key, record)) = rest.next() else {
                return (chunk, true);
            };
            size += reply_len(record);
            chunk.push((*key, record.clone()));
        }
        let done = rest.next().is_none();
        (chunk, done)
    }

    /// Raises the floor for keys without a record. Existing records stay.
    pub(crate) fn raise_floor(&mut self, floor_ms: u64) {
        self.floor_ms = self.floor_ms.max(floor_ms);
    }

    /// Closes every key that is granted but not known to have ended.
    ///
    /// A range may be founded from a seat that missed a later generation whose records were all
    /// lost. In that generation, another attempt may have replaced the recorded one and run. If the
    /// recorded attempt then turned out to be dead, the key would run again. A closed key never
    /// runs, and a late record from the executor still stores the outcome.
    pub(crate) fn close_granted(&mut self) {
        for record in self.records.values_mut() {
            if record.state == KeyState::Granted {
                record.state = KeyState::Closed;
            }
        }
    }

    /// Raises the watermark and drops the keys below it. A lower value has no effect.
    pub(crate) fn raise_watermark(&mut self, watermark_ms: u64) {
        self.watermark_ms = self.watermark_ms.max(watermark_ms);
        while let Some((stamp_ms, key)) = self.ages.first().copied() {
            if stamp_ms >= self.watermark_ms {
                break;
            }
            self.remove(key);
        }
    }

    /// Drops the replies of the oldest keys until at most `bytes` remain. The keys stay recorded as
    /// run.
    pub(crate) fn trim_replies(&mut self, bytes: usize) {
        while self.reply_bytes > bytes {
            let Some((_, key)) = self.replied.pop_first() else {
                break;
            };
            if let Some(record) = self.records.get_mut(&key) {
                self.reply_bytes -= reply_len(record);
                record.state = KeyState::Ran(None);
            }
        }
    }

    fn insert(&mut self, key: KeyId, record: KeyRecord) {
        self.remove(key);
        let age = (record.holder.stamp_ms, key);
        if reply_len(&record) > 0 {
            self.reply_bytes += reply_len(&record);
            self.replied.insert(age);
        }
        self.ages.insert(age);
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: KeyId) {
        if let Some(record) = self.records.remove(&key) {
            let age = (record.holder.stamp_ms, key);
            self.reply_bytes -= reply_len(&record);
            self.ages.remove(&age);
            self.replied.remove(&age);
        }
    }
}

fn reply_len(record: &KeyRecord) -> usize {
    match &record.state {
        KeyState::Ran(Some(reply)) => reply.len(),
        _ => 0,
    }
}

fn known_verdict(record: &KeyRecord, claim: &ClaimRequest) -> SeatVerdict {
    if record.fingerprint != claim.fingerprint {
        return SeatVerdict::Reused;
    }
    match &record.state {
        KeyState::Granted if record.holder.attempt == claim.holder.attempt => SeatVerdict::Granted,
        KeyState::Granted => SeatVerdict::Held(record.holder),
        KeyState::Ran(reply) => SeatVerdict::Ran(reply.clone()),
        KeyState::Closed => SeatVerdict::Closed,
    }
}
