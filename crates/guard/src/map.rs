//! Map from ranges to their generations and seats, and the placement of seats.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{DomainName, InstanceId, stable_hash};

use crate::key::RangeId;

/// Version of the seats of a range. A later generation replaces earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RangeGeneration {
    /// Number of times the range was founded again through the log.
    pub epoch: u32,
    /// Number of changes that the seats have chosen by ballot since the founding.
    pub number: u32,
}

impl RangeGeneration {
    /// Returns the generation that the seats of this one may choose by ballot.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            epoch: self.epoch,
            number: self.number + 1,
        }
    }
}

impl fmt::Display for RangeGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "g{}.{}", self.epoch, self.number)
    }
}

/// Seats of a range in one generation. Entries exist only for chosen or founded generations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeEntry {
    /// Range that the seats serve.
    pub range: RangeId,
    /// Version of this entry.
    pub generation: RangeGeneration,
    /// Instances that hold the seats, in the order in which they act as proposers and founders.
    pub seats: Vec<InstanceId>,
    /// Instances from which a new seat copies the records: the seats of the previous generation, or
    /// the survivor named in the founding record. Empty if there are no records to copy.
    pub prior: Vec<InstanceId>,
    /// Time from the founding record, in milliseconds since the Unix epoch. Older keys without a
    /// record are never run.
    pub watermark_ms: u64,
}

impl RangeEntry {
    /// Returns the entry of the next generation with these seats.
    #[must_use]
    pub fn successor(&self, seats: Vec<InstanceId>) -> Self {
        Self {
            range: self.range,
            generation: self.generation.next(),
            seats,
            prior: self.seats.clone(),
            watermark_ms: self.watermark_ms,
        }
    }
}

/// Log record that starts an epoch of a range. The first record of a range and epoch wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingRecord {
    /// Range that is founded.
    pub range: RangeId,
    /// Epoch that this record starts.
    pub epoch: u32,
    /// Seats of generation 0 of the epoch.
    pub seats: Vec<InstanceId>,
    /// Surviving seat of the previous epoch, from which the other seats copy the records. `None` if
    /// no seat with records survived.
    pub source: Option<InstanceId>,
    /// Time in milliseconds since the Unix epoch. Older keys without a record may have run in an
    /// earlier epoch and are never run.
    pub watermark_ms: u64,
    /// Whether this is a copy of the winning record, written to outlast the retention of the log. A
    /// node that reads the log prefers a copy to an earlier record of the same epoch, because the
    /// log may no longer hold the winning record itself.
    pub copy: bool,
}

impl FoundingRecord {
    /// Returns the entry of generation 0 of the epoch.
    #[must_use]
    pub fn entry(&self) -> RangeEntry {
        RangeEntry {
            range: self.range,
            generation: RangeGeneration {
                epoch: self.epoch,
                number: 0,
            },
            seats: self.seats.clone(),
            prior: self.source.into_iter().collect(),
            watermark_ms: self.watermark_ms,
        }
    }
}

/// Newest known entry of every range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeMap {
    entries: BTreeMap<RangeId, RangeEntry>,
}

impl RangeMap {
    /// Returns the newest known entry of a range, or `None` if the range is not known to be
    /// founded.
    #[must_use]
    pub fn get(&self, range: RangeId) -> Option<&RangeEntry> {
        self.entries.get(&range)
    }

    /// Stores an entry if it is newer than the known one. Returns whether the entry was stored.
    pub fn adopt(&mut self, entry: RangeEntry) -> bool {
        let known = self.entries.get(&entry.range);
        if known.is_some_and(|known| known.generation >= entry.generation) {
            return false;
        }
        self.entries.insert(entry.range, entry);
        true
    }

    /// Iterates over all entries in the order of their ranges.
    pub fn iter(&self) -> std::collections::btree_map::Values<'_, RangeId, RangeEntry> {
        self.entries.values()
    }

    /// Returns one hash of ranges and generations per bucket of [`BUCKET_RANGES`] ranges. Maps that
    /// differ in few ranges differ in few hashes.
    #[must_use]
    pub fn digests(&self, ranges: u16) -> Vec<u64> {
        let buckets = bucket_of(RangeId(ranges.saturating_sub(1))) + 1;
        let mut bytes = vec![Vec::new(); buckets];
        for entry in self.entries.values() {
            let Some(bytes) = bytes.get_mut(bucket_of(entry.range)) else {
                continue;
            };
            bytes.extend_from_slice(&entry.range.0.to_le_bytes());
            bytes.extend_from_slice(&entry.generation.epoch.to_le_bytes());
            bytes.extend_from_slice(&entry.generation.number.to_le_bytes());
        }
        bytes.iter().map(|bytes| stable_hash(&[bytes])).collect()
    }
}

/// Number of ranges that share one hash when two nodes compare their maps.
pub const BUCKET_RANGES: u16 = 64;

/// Returns the index of the bucket that holds a range.
#[must_use]
pub fn bucket_of(range: RangeId) -> usize {
    usize::from(range.0 / BUCKET_RANGES)
}

impl<'a> IntoIterator for &'a RangeMap {
    type Item = &'a RangeEntry;
    type IntoIter = std::collections::btree_map::Values<'a, RangeId, RangeEntry>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Selects the seats of a range by rendezvous hashing. The `kept` seats stay, and new seats are
/// placed in the failure domains that hold the fewest seats of the range.
///
/// Every node computes the same placement from the same candidates. A node that joins or leaves
/// moves only the seats that it gains or loses.
#[must_use]
pub fn place_seats(
    range: RangeId,
    kept: &[InstanceId],
    candidates: &BTreeMap<InstanceId, DomainName>,
    count: usize,
) -> Vec<InstanceId> {
    let mut seats = kept.to_vec();
    while seats.len() < count {
        let Some(best) = best_candidate(range, &seats, candidates) else {
            break;
        };
        seats.push(best);
    }
    seats
}

fn best_candidate(
    range: RangeId,
    seats: &[InstanceId],
    candidates: &BTreeMap<InstanceId, DomainName>,
) -> Option<InstanceId> {
    let domain_seats = |domain: &DomainName| {
        let shares = |seat: &&InstanceId| candidates.get(seat) == Some(domain);
        seats.iter().filter(shares).count()
    };
    candidates
        .iter()
        .filter(|(instance, _)| !seats.iter().any(|seat| seat.node == instance.node))
        .min_by_key(|(instance, domain)| (domain_seats(domain), rank(range, **instance)))
        .map(|(instance, _)| *instance)
}

/// Returns the rendezvous rank of an instance for a range. The rank depends on the node and not on
/// its incarnation, so a restarted node gets the same placement.
fn rank(range: RangeId, instance: InstanceId) -> u64 {
    stable_hash(&[&range.0.to_le_bytes(), &instance.node.0.to_le_bytes()])
}
