//! Selection of an upstream for one attempt.
//!
//! [`ServicePool::pick`] draws candidates at random, keeps each with the probability of its weight,
//! and takes the less loaded of two (power of two choices). [`ServicePool::pick_cheapest`] compares
//! the expected cost of up to [`MAX_SCANNED`] candidates. The time of either is bounded, whatever
//! the number of upstreams; only a preferred failure domain makes `pick` visit all candidates.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use sycamorelink_core::UpstreamId;

use crate::pool::ServicePool;
use crate::record::UpstreamRecord;

/// Maximum number of draws for each of the two choices before `pick` falls back to a scan.
const MAX_DRAWS: usize = 12;

/// Maximum number of candidates that one selection compares.
const MAX_SCANNED: usize = 64;

/// Load per slot below which an upstream in the preferred domain is taken without comparing others.
/// All of its slots may be in use; its node refuses requests that would wait for long.
const MAX_NEAR_LOAD: f64 = 1.0;

/// Least weight of an upstream in the preferred domain to be preferred.
const MIN_NEAR_WEIGHT: f64 = 0.5;

/// Time constant, in seconds, with which a load hint loses weight.
const HINT_DECAY_SECONDS: f64 = 0.3;

/// Assumed share of requests that a failing upstream fails.
const FAILED_SHARE: f64 = 0.6;
/// Cost of an upstream without any weight left: as if it failed for certain.
const NO_WEIGHT_COST: f64 = 0.6;
/// Base cost of an upstream in another failure domain, for the price of traffic between domains and
/// the longer path. Less than the wait at a server with three of four slots in use.
const DISTANCE_COST: f64 = 0.04;
/// Additional cost for each KiB of the reply: a reply of 20 KiB is worth a wait for a slot in the
/// preferred domain.
const DISTANCE_COST_PER_KIB: f64 = 0.015;
/// Upper bound of the cost of distance: that of an upstream that fails three of four requests, so
/// that large downloads go to other domains when all nearby upstreams fail.
const MAX_DISTANCE_COST: f64 = 0.45;
const BYTES_PER_KIB: f64 = 1024.0;
/// Maximum number of kinds of work with a learned reply size; further kinds count as small.
const MAX_REPLY_KINDS: usize = 64;
/// Weight of one more reply in the learned reply size.
const REPLY_SIZE_STEP: f64 = 0.2;
/// Cost of waiting at an upstream with all slots in use.
const FULL_COST: f64 = 0.15;
/// Cost of each queued run per slot: a run takes about a quarter of the time in which a reply is of
/// full value.
const QUEUED_COST: f64 = 0.25;
/// Range of the random part of a cost, so that nodes with the same information don't all select the
/// same upstream.
pub(crate) const COST_JITTER: f64 = 0.03;
/// Time constant, in seconds, with which a reported chance of failing loses weight. A server's node
/// reports when the server becomes suspect, so the absence of reports says little.
const REPORT_DECAY_SECONDS: f64 = 10.0;

impl ServicePool {
    /// Picks an upstream for an attempt; never one that is leaving, starting or in `exclude`.
    /// `None` when there is no other.
    pub fn pick(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        if let Some(near) = self.pick_near(now, exclude) {
            return Some(near);
        }
        let first = self.draw(exclude, None);
        let second = first.and_then(|first| self.draw(exclude, Some(first)));
        let index = match (first, second) {
            (Some(first), Some(second)) => self.less_loaded(now, first, second),
            (Some(first), None) => first,
            _ => self.scan(now, exclude)?,
        };
        Some(self.records[index].id)
    }

    /// Returns the less loaded of two upstreams in the preferred domain if it has a free slot.
    /// Traffic between domains is charged, and the path within the domain is shorter.
    fn pick_near(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        let near = self.preferred_domain.as_ref()?;
        let domain = self.domains.iter().position(|name| name == near)?;
        let candidates = self.candidates.iter().copied();
        let preferred: Vec<usize> = candidates
            .filter(|&index| {
                let record = &self.records[index];
                record.domain_index == domain
                    && record.weight >= MIN_NEAR_WEIGHT
                    && !record.is_probing()
                    && !exclude.contains(&record.id)
            })
            .collect();
        if preferred.is_empty() {
            return None;
        }
        let first = preferred[self.random.random_range(0..preferred.len())];
        let second = preferred[self.random.random_range(0..preferred.len())];
        let index = self.less_loaded(now, first, second);
        let record = &self.records[index];
        (load_of(now, record) < MAX_NEAR_LOAD).then_some(record.id)
    }

    /// Picks the upstream with the least expected cost of those that may be picked. Compares a
    /// bounded number of candidates.
    pub fn pick_cheapest(
        &mut self,
        now: Duration,
        exclude: &[UpstreamId],
        kind: u64,
    ) -> Option<UpstreamId> {
        let far_cost = self.distance_cost(kind);
        let mut best: Option<(usize, f64)> = None;
        for candidate in self.sample_candidates() {
            let index = self.candidates[candidate];
            let record = &self.records[index];
            if exclude.contains(&record.id) || (record.is_probing() && record.flights.count() > 0) {
                continue;
            }
            let jitter = self.random.random::<f64>() * COST_JITTER;
            let cost = self.cost_of(now, index, far_cost) + jitter;
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        best.map(|(index, _)| self.records[index].id)
    }

    /// Returns the cheapest of the given upstreams and its cost, regardless of others. `None` when
    /// none of them may be picked.
    #[must_use]
    pub fn cheapest_of(
        &self,
        now: Duration,
        ids: &[UpstreamId],
        kind: u64,
    ) -> Option<(UpstreamId, f64)> {
        let far_cost = self.distance_cost(kind);
        let indexes = ids
            .iter()
            .filter_map(|id| self.index_by_id.get(id).copied());
        indexes
            .filter(|&index| self.records[index].is_pickable())
            .map(|index| (self.records[index].id, self.cost_of(now, index, far_cost)))
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Returns the expected cost of one attempt, as a fraction of the value of its request.
    fn cost_of(&self, now: Duration, index: usize, far_cost: f64) -> f64 {
        let record = &self.records[index];
        let distance = if self.is_far(record) { far_cost } else { 0.0 };
        self.fault_cost(now, record) + wait_cost(load_of(now, record)) + distance
    }

    /// Returns the expected cost of an upstream's faults.
    pub(crate) fn fault_cost(&self, now: Duration, record: &UpstreamRecord) -> f64 {
        self.reported_fault_cost(now, record, None)
    }

    /// Returns the expected cost of an upstream's faults, where its node also reported a chance of
    /// failing in a capacity record, with the time of that report.
    pub(crate) fn reported_fault_cost(
        &self,
        now: Duration,
        record: &UpstreamRecord,
        reported: Option<(Duration, f64)>,
    ) -> f64 {
        let hinted = record.hint.map(|(at, hint)| (at, hint.failing_chance()));
        let newest = match (hinted, reported) {
            (Some(hinted), Some(reported)) if reported.0 > hinted.0 => Some(reported),
            (hinted, reported) => hinted.or(reported),
        };
        let fails = newest.map_or(0.0, |(at, chance)| self.excess_of(now, at, chance));
        fails * FAILED_SHARE + (1.0 - record.weight) * NO_WEIGHT_COST
    }

    /// Returns whether an upstream is in another failure domain than the preferred one.
    pub(crate) fn is_far(&self, record: &UpstreamRecord) -> bool {
        let near = self.preferred_domain.as_ref();
        near.is_some_and(|near| self.domains[record.domain_index] != *near)
    }

    /// Returns the cost of an upstream in another failure domain, given the learned size of the
    /// replies to a kind of work.
    pub(crate) fn distance_cost(&self, kind: u64) -> f64 {
        let bytes = self.reply_sizes.get(&kind).copied().unwrap_or(0.0);
        (DISTANCE_COST + bytes / BYTES_PER_KIB * DISTANCE_COST_PER_KIB).min(MAX_DISTANCE_COST)
    }

    /// Returns by how much the learned replies to a kind of work are larger than those of the
    /// smallest kind, relative to the largest kind, from 0 to 1. It is 0 where all kinds are alike.
    pub(crate) fn relative_reply_size(&self, kind: u64) -> f64 {
        let Some(bytes) = self.reply_sizes.get(&kind).copied() else {
            return 0.0;
        };
        let sizes = self.reply_sizes.values().copied();
        let smallest = sizes.clone().fold(f64::INFINITY, f64::min);
        let largest = sizes.fold(1.0, f64::max);
        (bytes - smallest) / largest
    }

    /// Updates the learned size of the replies to a kind of work.
    pub fn learn_reply_size(&mut self, kind: u64, bytes: u64) {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        if self.reply_sizes.len() >= MAX_REPLY_KINDS && !self.reply_sizes.contains_key(&kind) {
            return;
        }
        let size = self.reply_sizes.entry(kind).or_insert(bytes);
        *size += (bytes - *size) * REPLY_SIZE_STEP;
    }

    /// Returns how much likelier than usual an upstream is to fail, from the chance that its own
    /// node last reported. The report loses weight with age.
    ///
    /// An upstream that is no worse than usual counts as healthy. Otherwise one without a recent
    /// report would look slightly worse than those that just answered, and would get no requests
    /// for seconds while they are full.
    fn excess_chance(&self, now: Duration, record: &UpstreamRecord) -> f64 {
        let Some((received_at, hint)) = record.hint else {
            return 0.0;
        };
        self.excess_of(now, received_at, hint.failing_chance())
    }

    fn excess_of(&self, now: Duration, reported_at: Duration, chance: f64) -> f64 {
        let age = now.saturating_sub(reported_at).as_secs_f64();
        (chance - self.usual_failing_share()).max(0.0) * (-age / REPORT_DECAY_SECONDS).exp()
    }

    /// Returns the share of the service's upstreams that usually fail part of their requests, from
    /// 0 to 1.
    #[must_use]
    pub fn usual_failing_share(&self) -> f64 {
        self.failing_share.share
    }

    /// Updates the share of failing upstreams from the chances that the upstreams' own nodes last
    /// reported.
    pub(crate) fn learn_failing_share(&mut self, now: Duration) {
        let reported = self.records.iter().filter(|record| record.hint.is_some());
        let usual_chance = self.usual_failing_share();
        let (sum, count) = reported.fold((0.0, 0.0), |(sum, count), record| {
            let reported = record
                .hint
                .map_or(usual_chance, |(_, hint)| hint.failing_chance());
            (
                sum + reported.min(usual_chance) + self.excess_chance(now, record),
                count + 1.0,
            )
        });
        if count > 0.0 {
            self.failing_share.learn(now, sum / count);
        }
    }

    fn draw(&mut self, exclude: &[UpstreamId], other: Option<usize>) -> Option<usize> {
        if self.candidates.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let drawn = self.random.random_range(0..self.candidates.len());
            let index = self.candidates[drawn];
            let record = &self.records[index];
            if other == Some(index) || exclude.contains(&record.id) {
                continue;
            }
            if record.is_probing() && record.flights.count() > 0 {
                continue;
            }
            if record.weight >= 1.0 || self.random.random::<f64>() < record.weight {
                return Some(index);
            }
        }
        None
    }

    fn less_loaded(&self, now: Duration, first: usize, second: usize) -> usize {
        let first_load = load_of(now, &self.records[first]);
        let second_load = load_of(now, &self.records[second]);
        if second_load < first_load {
            second
        } else {
            first
        }
    }

    /// Returns the best of a bounded number of candidates, for when the draws found none.
    fn scan(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for candidate in self.sample_candidates() {
            let index = self.candidates[candidate];
            let record = &self.records[index];
            if exclude.contains(&record.id) {
                continue;
            }
            let cost = (1.0 + load_of(now, record)) / record.weight.max(1e-3);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        best.map(|(index, _)| index)
    }

    pub(crate) fn sample_candidates(&mut self) -> CandidateSample {
        CandidateSample::new(self.candidates.len(), &mut self.random)
    }

    /// Adds an upstream to the list of candidates or removes it.
    pub(crate) fn update_candidate(&mut self, index: usize) {
        let record = &mut self.records[index];
        match (record.is_pickable(), record.candidate_index) {
            (true, None) => {
                record.candidate_index = Some(self.candidates.len());
                self.candidates.push(index);
            }
            (false, Some(_)) => self.remove_candidate(index),
            _ => {}
        }
    }

    pub(crate) fn remove_candidate(&mut self, index: usize) {
        let Some(candidate) = self.records[index].candidate_index.take() else {
            return;
        };
        self.candidates.swap_remove(candidate);
        if let Some(&moved) = self.candidates.get(candidate) {
            self.records[moved].candidate_index = Some(candidate);
        }
    }
}

/// Iterator over a bounded number of candidate indexes, each as likely as any other.
///
/// All nodes list the upstreams in the same order. If neighbours in that order were compared
/// together, an upstream whose neighbours are all in other failure domains would be the cheapest in
/// most comparisons that include it.
#[derive(Debug)]
pub(crate) struct CandidateSample {
    count: usize,
    next: usize,
    stride: usize,
    left: usize,
}

impl CandidateSample {
    fn new(count: usize, random: &mut SmallRng) -> Self {
        let next = if count == 0 {
            0
        } else {
            random.random_range(0..count)
        };
        let mut stride = 1;
        if count > MAX_SCANNED {
            // A stride that is coprime to the count visits no index twice.
            stride = random.random_range(1..count);
            while greatest_common_divisor(stride, count) != 1 {
                stride = random.random_range(1..count);
            }
        }
        Self {
            count,
            next,
            stride,
            left: count.min(MAX_SCANNED),
        }
    }
}

impl Iterator for CandidateSample {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.left = self.left.checked_sub(1)?;
        let index = self.next;
        self.next = (index + self.stride) % self.count;
        Some(index)
    }
}

const fn greatest_common_divisor(first: usize, second: usize) -> usize {
    let (mut greater, mut lesser) = (first, second);
    while lesser != 0 {
        (greater, lesser) = (lesser, greater % lesser);
    }
    greater
}

/// Returns the cost of waiting for a slot at this load per slot. Up to half of the slots in use,
/// hardly any request waits; with all in use it waits for part of a run, and each queued run adds
/// its share of a whole run.
fn wait_cost(load: f64) -> f64 {
    let busy = load.min(1.0).powi(4) * FULL_COST;
    busy + (load - 1.0).max(0.0) * QUEUED_COST
}

/// Returns the load per slot: the requests that this node has in flight, plus the load from the
/// last hint, which loses weight with age.
fn load_of(now: Duration, record: &UpstreamRecord) -> f64 {
    let slots = f64::from(record.slots.max(1));
    let own = f64::from(record.flights.count());
    let Some((received_at, hint)) = record.hint else {
        return own / slots;
    };
    let age = now.saturating_sub(received_at).as_secs_f64();
    let reported = f64::from(hint.in_use) + f64::from(hint.queued);
    let mut load = own.max(own + (reported - own) / (1.0 + age / HINT_DECAY_SECONDS));
    if now < record.refused_until {
        load += slots;
    }
    load / slots
}
