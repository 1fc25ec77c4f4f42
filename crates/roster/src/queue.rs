//! Queue of rumours still to be sent.
//!
//! An entry holds only the subject of a rumour; the content is read from the table when a datagram
//! is filled. A newer change therefore replaces an older one, and outdated state is never sent.

use std::collections::{BTreeMap, BTreeSet};

use sycamorelink_core::{NodeId, UpstreamId};

use crate::budget::SendClass;

/// Maximum number of entries. Beyond it the least urgent are dropped and reach peers through
/// digests.
const MAX_QUEUED: usize = 8_192;

/// Subject of a rumour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumourSubject {
    /// A member with its facts.
    Member(NodeId),
    /// A member's standing.
    Standing(NodeId),
    /// A suspicion of a member.
    Suspect(NodeId),
    /// One upstream.
    Upstream(UpstreamId),
    /// A published update, by topic and key.
    Topic(u8, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    class: SendClass,
    sent: u32,
    order: u64,
    subject: RumourSubject,
}

/// One queue entry, without its rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRumour {
    pub(crate) class: SendClass,
    pub(crate) subject: RumourSubject,
}

impl QueuedRumour {
    /// Returns a key that is equal for entries sent as one rumour: the upstreams of one member in
    /// one class.
    pub(crate) fn batch(&self) -> (SendClass, RumourSubject) {
        let subject = match self.subject {
            RumourSubject::Upstream(id) => RumourSubject::Upstream(UpstreamId {
                node: id.node,
                slot: 0,
            }),
            other => other,
        };
        (self.class, subject)
    }
}

/// Rumours ordered by class, then by the number of transmissions so far.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    ranks: BTreeMap<RumourSubject, QueueRank>,
    ordered: BTreeSet<QueueRank>,
    next_order: u64,
}

impl RumourQueue {
    /// Queues a rumour; a queued one with the same subject starts over.
    pub(crate) fn push(&mut self, class: SendClass, subject: RumourSubject) {
        self.drop_subject(subject);
        let rank = QueueRank {
            class,
            sent: 0,
            order: self.next_order,
            subject,
        };
        self.next_order += 1;
        self.ranks.insert(subject, rank);
        self.ordered.insert(rank);
        if self.ranks.len() > MAX_QUEUED {
            self.drop_last();
        }
    }

    pub(crate) fn drop_subject(&mut self, subject: RumourSubject) {
        if let Some(rank) = self.ranks.remove(&subject) {
            self.ordered.remove(&rank);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub(crate) fn contains(&self, subject: RumourSubject) -> bool {
        self.ranks.contains_key(&subject)
    }

    pub(crate) fn class(&self, subject: RumourSubject) -> Option<SendClass> {
        self.ranks.get(&subject).map(|rank| rank.class)
    }

    /// Returns the first `count` entries, most urgent first.
    pub(crate) fn first(&self, count: usize) -> Vec<QueuedRumour> {
        self.ordered
            .iter()
            .take(count)
            .map(|rank| QueuedRumour {
                class: rank.class,
                subject: rank.subject,
            })
            .collect()
    }

    /// Returns the queued upstreams of one node in one class.
    pub(crate) fn upstreams_of(&self, node: NodeId, class: SendClass) -> Vec<u16> {
        let first = RumourSubject::Upstream(UpstreamId { node, slot: 0 });
        let last = RumourSubject::Upstream(UpstreamId {
            node,
            slot: u16::MAX,
        });
        self.ranks
            .range(first..=last)
            .filter(|(_, rank)| rank.class == class)
            .filter_map(|(subject, _)| match subject {
                RumourSubject::Upstream(id) => Some(id.slot),
                _ => None,
            })
            .collect()
    }

    /// Counts one transmission and removes the entry when `limit` is reached.
    pub(crate) fn count_sent(&mut self, subject: RumourSubject, limit: u32) {
        let Some(mut rank) = self.ranks.remove(&subject) else {
            return;
        };
        self.ordered.remove(&rank);
        rank.sent += 1;
        if rank.sent >= limit {
            return;
        }
        self.ranks.insert(subject, rank);
        self.ordered.insert(rank);
    }

    fn drop_last(&mut self) {
        if let Some(rank) = self.ordered.pop_last() {
            self.ranks.remove(&rank.subject);
        }
    }
}
