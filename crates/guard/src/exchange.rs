//! Anti-entropy exchange of the range map. A node sends hashes of its map to one random peer at a
//! time, and the two nodes exchange entries only for buckets that differ.
//!
//! ```text
//! node                                   peer
//!   |-- Exchange(hash of each bucket) ---->|
//!   |<-- Generations(differing buckets) ---|
//!   |-- Map(entries newer at the node) --->|
//!   |-- Generations(same buckets) -------->|  only if some are newer at the peer
//!   |<-- Map(entries newer at the peer) ---|
//! ```
//!
//! A node that starts while the log is unavailable also gets the map this way.

use std::time::Duration;

use rand::seq::IteratorRandom;
use sycamorelink_core::InstanceId;

use crate::context::GuardContext;
use crate::key::RangeId;
use crate::map::{RangeEntry, RangeGeneration, bucket_of};
use crate::message::GuardMessage;

/// Timer of the map exchange.
#[derive(Debug, Default)]
pub(crate) struct MapExchange {
    next_at: Duration,
}

impl MapExchange {
    pub(crate) fn run_periodic(&mut self, context: &mut GuardContext<'_>) {
        let empty = context.shared.map.iter().next().is_none();
        if context.now < self.next_at && !empty {
            return;
        }
        self.next_at = context.now + context.shared.settings.exchange_every;
        let me = context.me();
        let peers = context.shared.members.up_members().filter(|it| *it != me);
        if let Some(peer) = peers.choose(&mut context.shared.rng) {
            let digests = digests(context);
            context.send(peer, GuardMessage::Exchange { digests });
        }
    }
}

/// Compares the hashes of a peer with the own map, and replies with the generations of the buckets
/// that differ.
pub(crate) fn compare(context: &mut GuardContext<'_>, from: InstanceId, theirs: &[u64]) {
    let own = digests(context);
    let differs = |bucket: &u16| {
        let bucket = usize::from(*bucket);
        own.get(bucket) != theirs.get(bucket)
    };
    let count = u16::try_from(own.len()).unwrap_or(u16::MAX);
    let buckets: Vec<u16> = (0..count).filter(differs).collect();
    if !buckets.is_empty() {
        let answer = true;
        send_generations(context, from, buckets, answer);
    }
}

/// Sends the entries that are newer here than at the peer, and requests those that are newer there.
pub(crate) fn reconcile(
    context: &mut GuardContext<'_>,
    from: InstanceId,
    buckets: Vec<u16>,
    known: &[(RangeId, RangeGeneration)],
    answer: bool,
) {
    let theirs = |range: RangeId| {
        let found = known.binary_search_by_key(&range, |(range, _)| *range);
        found.ok().map(|index| known[index].1)
    };
    let newer = |entry: &&RangeEntry| {
        in_buckets(entry.range, &buckets) && theirs(entry.range) < Some(entry.generation)
    };
    let entries: Vec<RangeEntry> = context.shared.map.iter().filter(newer).cloned().collect();
    let lacking = known.iter().any(|(range, generation)| {
        let mine = context.shared.map.get(*range).map(|entry| entry.generation);
        mine < Some(*generation)
    });
    if !entries.is_empty() {
        context.send(from, GuardMessage::Map { entries });
    }
    if answer && lacking {
        let answer = false;
        send_generations(context, from, buckets, answer);
    }
}

fn send_generations(
    context: &mut GuardContext<'_>,
    to: InstanceId,
    buckets: Vec<u16>,
    answer: bool,
) {
    let entries = context.shared.map.iter();
    let known = entries
        .filter(|entry| in_buckets(entry.range, &buckets))
        .map(|entry| (entry.range, entry.generation))
        .collect();
    let generations = GuardMessage::Generations {
        buckets,
        known,
        answer,
    };
    context.send(to, generations);
}

fn in_buckets(range: RangeId, buckets: &[u16]) -> bool {
    buckets
        .iter()
        .any(|bucket| usize::from(*bucket) == bucket_of(range))
}

fn digests(context: &GuardContext<'_>) -> Vec<u64> {
    context.shared.map.digests(context.shared.settings.ranges)
}
