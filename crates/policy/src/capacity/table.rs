//! The newest records of the upstreams of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{NodeId, UpstreamId};

use super::estimate::{LoadEstimate, ServiceCapacity};
use super::record::{CapacityError, CapacityRecord};
use crate::sample::LoadHint;

/// Age from which a record is dropped.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Time constant, in seconds, with which an estimate approaches the mean of its service.
const DECAY_SECONDS: f64 = 2.0;
/// Maximum number of records of one service; further upstreams count as unknown.
const MAX_RECORDS: usize = 4096;

/// A record and when this node received or made it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredRecord {
    pub(super) record: CapacityRecord,
    received_at: Duration,
}

impl StoredRecord {
    /// Returns the time since the measurement, or `None` if the record has expired. A record from
    /// the future means that the clock stepped back, after which ages are unknown.
    fn age(&self, now: Duration) -> Option<Duration> {
        let age = self.record.age() + now.checked_sub(self.received_at)?;
        (age < MAX_AGE).then_some(age)
    }

    /// Returns the time of the measurement by this node's clock; zero if it was before this node
    /// started.
    fn measured_at(&self) -> Duration {
        self.received_at.saturating_sub(self.record.age())
    }
}

/// Capacity of the upstreams of one service, as known to one node.
///
/// Records of the node's own upstreams are set with [`set_own`](Self::set_own), those of other
/// nodes with [`merge`](Self::merge).
#[derive(Clone, Debug)]
pub struct CapacityTable {
    own: NodeId,
    records: BTreeMap<UpstreamId, StoredRecord>,
    /// Times at which this node sent the requests that it has in flight to each upstream.
    sends: BTreeMap<UpstreamId, Vec<Duration>>,
}

impl CapacityTable {
    /// Creates an empty table of the node `own`.
    #[must_use]
    pub const fn new(own: NodeId) -> Self {
        Self {
            own,
            records: BTreeMap::new(),
            sends: BTreeMap::new(),
        }
    }

    /// Stores a received record if it is newer than the known one. Returns whether it was stored.
    /// Records of the node's own upstreams, which peers relay, and expired ones are ignored.
    ///
    /// # Errors
    ///
    /// Returns why the record is implausible. It then changes nothing.
    pub fn merge(&mut self, now: Duration, record: CapacityRecord) -> Result<bool, CapacityError> {
        record.validate()?;
        if record.id.node == self.own || record.age() >= MAX_AGE {
            return Ok(false);
        }
        let known = self.records.get(&record.id);
        let known = known.filter(|known| known.age(now).is_some());
        let is_newer = known.is_none_or(|known| record.is_newer_than(&known.record));
        let has_room = known.is_some() || self.records.len() < MAX_RECORDS;
        if is_newer && has_room {
            self.store(now, record);
        }
        Ok(is_newer && has_room)
    }

    /// Replaces the record of an upstream of this node.
    pub fn set_own(&mut self, now: Duration, record: CapacityRecord) {
        self.store(now, record.clamped());
    }

    fn store(&mut self, now: Duration, record: CapacityRecord) {
        let received_at = now;
        let stored = StoredRecord {
            record,
            received_at,
        };
        self.records.insert(record.id, stored);
    }

    /// Removes the records of the node's own upstreams.
    pub fn remove_own(&mut self) {
        let own = self.own;
        self.records.retain(|id, _| id.node != own);
    }

    /// Returns whether the table has neither records nor requests in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.sends.is_empty()
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, stored| stored.age(now).is_some());
    }

    /// Drops all records, for when their ages are unknown.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Records that this node sent a request to an upstream.
    pub fn sent(&mut self, now: Duration, id: UpstreamId) {
        self.sends.entry(id).or_default().push(now);
    }

    /// Records the end of a request that this node sent at `sent`.
    pub fn ended(&mut self, id: UpstreamId, sent: Duration) {
        let Some(sends) = self.sends.get_mut(&id) else {
            return;
        };
        if let Some(index) = sends.iter().position(|at| *at == sent) {
            sends.swap_remove(index);
        }
        if sends.is_empty() {
            self.sends.remove(&id);
        }
    }

    /// Returns whether any record of another node is valid. Without one, a node selects as if there
    /// were no reports.
    #[must_use]
    pub fn has_reports(&self, now: Duration) -> bool {
        let mut stored = self.records.values();
        stored.any(|stored| stored.record.id.node != self.own && stored.age(now).is_some())
    }

    /// Returns the number of valid records and the greatest age of one.
    #[must_use]
    pub fn status(&self, now: Duration) -> (usize, Duration) {
        let ages = self.records.values().filter_map(|stored| stored.age(now));
        ages.fold((0, Duration::ZERO), |(count, oldest), age| {
            (count + 1, oldest.max(age))
        })
    }

    /// Returns the valid record of an upstream with its present age.
    #[must_use]
    pub fn record(&self, now: Duration, id: UpstreamId) -> Option<CapacityRecord> {
        aged(self.records.get(&id)?, now)
    }

    /// Returns the valid records with their present ages.
    pub(super) fn live_records(&self, now: Duration) -> impl Iterator<Item = CapacityRecord> {
        let stored = self.records.values();
        stored.filter_map(move |stored| aged(stored, now))
    }

    /// Returns whether any valid record reports a repeat left.
    #[must_use]
    pub fn has_repeats(&self, now: Duration) -> bool {
        self.live_records(now).any(|record| record.repeats > 0)
    }

    /// Returns the capacity of the service over the fleet; `None` while no record of another node is
    /// valid.
    #[must_use]
    pub fn service_capacity(&self, now: Duration) -> Option<ServiceCapacity> {
        let mean = self.mean_load(now).filter(|_| self.has_reports(now))?;
        let (count, _) = self.status(now);
        let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        Some(ServiceCapacity {
            wait: Duration::from_secs_f64(mean.wait),
            run: Duration::from_secs_f64(mean.run),
            rate: count * mean.limit / mean.run,
        })
    }

    /// Returns the mean load of the service, in which fresh records have more weight. `None`
    /// without a valid record.
    pub(crate) fn mean_load(&self, now: Duration) -> Option<LoadEstimate> {
        let stored = self.records.values();
        let valid = stored.filter_map(|stored| Some((&stored.record, decay(stored.age(now)?))));
        let (sum, total) = valid
            .clone()
            .fold((0.0, 0.0), |(sum, total), (record, weight)| {
                (sum + usual_run_of(record) * weight, total + weight)
            });
        let usual_run = sum / f64::max(total, f64::MIN_POSITIVE);
        LoadEstimate::mean(
            valid.map(|(record, weight)| (LoadEstimate::of_record(record, usual_run), weight)),
        )
    }

    /// Returns the estimated load of an upstream: the record or the newer hint, weighed against the
    /// mean load of the service by age, plus the requests that this node has sent since.
    pub(crate) fn load(
        &self,
        now: Duration,
        mean: &LoadEstimate,
        id: UpstreamId,
        told: Option<(Duration, LoadHint)>,
    ) -> LoadEstimate {
        let stored = self.records.get(&id);
        let stored = stored.filter(|stored| stored.age(now).is_some());
        let hint = told.filter(|(at, _)| stored.is_none_or(|stored| *at > stored.measured_at()));
        let reported = stored.map(|stored| LoadEstimate::of_record(&stored.record, mean.usual_run));
        let (base, at, age) = match (reported, hint) {
            (reported, Some((at, hint))) => {
                let base = LoadEstimate::of_hint(hint, reported.as_ref(), mean);
                (base, at, now.saturating_sub(at))
            }
            (Some(base), None) => {
                let at = stored.map_or(Duration::ZERO, StoredRecord::measured_at);
                (base, at, now.saturating_sub(at))
            }
            (None, None) => (*mean, Duration::ZERO, MAX_AGE),
        };
        let estimate = base.approach(mean, decay(age));
        estimate.with_requests(self.sent_since(id, at)).aged(age)
    }

    /// Returns the number of requests in flight that this node sent to an upstream after a time.
    fn sent_since(&self, id: UpstreamId, at: Duration) -> u32 {
        let sends = self.sends.get(&id).map_or(&[][..], Vec::as_slice);
        let since = sends.iter().filter(|sent| **sent > at).count();
        u32::try_from(since).unwrap_or(u32::MAX)
    }

    /// Returns the chance of failing that the node beside an upstream reported, and when.
    pub(crate) fn failing_chance(&self, now: Duration, id: UpstreamId) -> Option<(Duration, f64)> {
        let stored = self.records.get(&id)?;
        stored.age(now)?;
        Some((stored.measured_at(), stored.record.failing_chance()))
    }
}

fn aged(stored: &StoredRecord, now: Duration) -> Option<CapacityRecord> {
    let age = stored.age(now)?;
    Some(CapacityRecord {
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        ..stored.record
    })
}

/// Returns the mean run time in seconds that an upstream of usual speed would have for the work of
/// this one.
fn usual_run_of(record: &CapacityRecord) -> f64 {
    let seconds = f64::from(record.mean_run_ms) / 1000.0;
    seconds / record.relative_run_factor().unwrap_or(1.0)
}

/// Returns the weight of information of this age.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_SECONDS).exp()
}
