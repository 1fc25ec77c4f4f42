//! Store of published updates: the newest version of each key.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::NodeId;

use crate::digest::{combine, fold, mix};
use crate::message::{MemberRumour, TopicHead};
use crate::topic::is_retained;

/// Keys kept per retained topic; the versions of three such topics fit into one datagram.
const RETAINED_KEYS: usize = 16;

/// Keys kept per transient topic.
const TRANSIENT_KEYS: usize = 4_096;

/// Time for which a transient update is kept; by then no node forwards it any more.
const TRANSIENT_TTL: Duration = Duration::from_mins(1);

/// Newest version of one key.
#[derive(Clone, Debug)]
pub(crate) struct TopicEntry {
    pub(crate) origin: NodeId,
    pub(crate) version: u64,
    pub(crate) body: Vec<u8>,
    stored_at: Duration,
}

/// Newest version of each key of each topic.
#[derive(Debug, Default)]
pub(crate) struct TopicStore {
    entries: BTreeMap<(u8, u64), TopicEntry>,
    digest: u32,
}

impl TopicStore {
    /// Returns the hash of the retained topics.
    pub(crate) const fn digest(&self) -> u32 {
        self.digest
    }

    /// Stores a version if it is newer than the current one. Returns whether it is held now.
    pub(crate) fn store(
        &mut self,
        now: Duration,
        head: TopicHead,
        origin: NodeId,
        body: Vec<u8>,
    ) -> bool {
        let topic_key = (head.topic, head.key);
        if self.version(head.topic, head.key) >= Some(head.version) {
            return false;
        }
        self.remove_from_digest(topic_key);
        let entry = TopicEntry {
            origin,
            version: head.version,
            body,
            stored_at: now,
        };
        self.entries.insert(topic_key, entry);
        self.toggle_digest(topic_key);
        self.trim(head.topic);
        self.entries.contains_key(&topic_key)
    }

    pub(crate) fn version(&self, topic: u8, key: u64) -> Option<u64> {
        self.entries.get(&(topic, key)).map(|entry| entry.version)
    }

    pub(crate) fn rumour(&self, topic: u8, key: u64) -> Option<MemberRumour> {
        let entry = self.entries.get(&(topic, key))?;
        Some(MemberRumour::Topic {
            origin: entry.origin,
            topic,
            key,
            version: entry.version,
            body: entry.body.clone(),
        })
    }

    /// Returns the versions of all keys of the retained topics.
    pub(crate) fn heads(&self) -> Vec<TopicHead> {
        self.entries
            .iter()
            .filter(|((topic, _), _)| is_retained(*topic))
            .map(|((topic, key), entry)| TopicHead {
                topic: *topic,
                key: *key,
                version: entry.version,
            })
            .collect()
    }

    /// Removes expired transient updates.
    pub(crate) fn prune(&mut self, now: Duration) {
        self.entries.retain(|(topic, _), entry| {
            is_retained(*topic) || now.saturating_sub(entry.stored_at) < TRANSIENT_TTL
        });
    }

    /// Drops the key with the smallest version when a topic has too many. All nodes must drop the
    /// same keys regardless of the order of arrival, or the digests would differ permanently.
    fn trim(&mut self, topic: u8) {
        let limit = if is_retained(topic) {
            RETAINED_KEYS
        } else {
            TRANSIENT_KEYS
        };
        let range = (topic, u64::MIN)..=(topic, u64::MAX);
        if self.entries.range(range.clone()).count() <= limit {
            return;
        }
        let smallest = self
            .entries
            .range(range)
            .min_by_key(|((_, key), entry)| (entry.version, *key))
            .map(|(topic_key, _)| *topic_key);
        if let Some(topic_key) = smallest {
            self.remove_from_digest(topic_key);
            self.entries.remove(&topic_key);
        }
    }

    fn toggle_digest(&mut self, topic_key: (u8, u64)) {
        let (topic, key) = topic_key;
        if !is_retained(topic) {
            return;
        }
        if let Some(entry) = self.entries.get(&topic_key) {
            let hash = combine(combine(mix(u64::from(topic)), key), entry.version);
            self.digest ^= fold(hash);
        }
    }

    /// Removes a key's hash from the digest. XOR is its own inverse, so this toggles the hash
    /// again.
    fn remove_from_digest(&mut self, topic_key: (u8, u64)) {
        self.toggle_digest(topic_key);
    }
}
