//! Choosing an upstream for one attempt.
//!
//! Candidates are drawn at random and kept with the probability of their weight; of two drawn the
//! less loaded one is taken (power of two choices). The time does not depend on the number of
//! upstreams.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use sycamorelink_core::UpstreamId;

use crate::pool::ServicePool;
use crate::record::UpstreamRecord;

/// Draws for the two choices before giving up on weights.
const DRAWS: usize = 12;

/// Candidates looked at, whatever their number.
const SCAN: usize = 64;

/// Load per slot up to which an upstream in the preferred domain is taken without a look at others:
/// all of its slots may be in use, and its node refuses what would have to wait for long.
const NEAR_LOAD: f64 = 1.0;

/// Weight from which an upstream in the preferred domain counts as well.
const NEAR_WEIGHT: f64 = 0.5;

/// Time constant with which a load hint grows stale.
const HINT_FADE: f64 = 0.3;

/// Share of its requests that a failing upstream fails.
const FAILED_SHARE: f64 = 0.6;
/// Cost of an upstream that callers' scores left no weight: as if it failed for certain.
const SHIFTED_COST: f64 = 0.6;
/// Cost of an upstream in another failure domain: bytes between domains have a price, and the way is
/// longer. Less than the wait at a server with three of four slots in use.
const FAR_COST: f64 = 0.04;
/// The same for each KiB of the reply: one of 20 KiB is worth a wait for a slot in the own domain.
const FAR_KIB_COST: f64 = 0.015;
/// Most that distance costs, whatever the reply: as much as an upstream that fails three of four
/// requests, so that a download goes far when all that is near fails.
const FAR_MOST: f64 = 0.45;
const KIB: f64 = 1024.0;
/// Kinds of work whose reply sizes are learned; further ones count as small.
const SIZES_MOST: usize = 64;
/// Weight of one more reply in what is learned of their size.
const SIZE_STEP: f64 = 0.2;
/// Cost of an upstream with all slots in use.
const FULL_COST: f64 = 0.15;
/// Cost of each further run for each slot that waits there: a run takes about a quarter of the time
/// in which an answer is of full worth.
const QUEUED_COST: f64 = 0.25;
/// Costs that differ by less are drawn from at random, so that nodes that know the same do not all
/// choose the same upstream.
pub(crate) const COST_JITTER: f64 = 0.03;
/// Time constant, in seconds, with which the chance that was told fades: a server that turns tells
/// it, so no news means little.
const TOLD_FADE: f64 = 10.0;

impl ServicePool {
    /// Picks an upstream for an attempt: never one that is leaving, starting or in `exclude`.
    /// `None` when there is no other.
    pub fn pick(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        if let Some(near) = self.pick_near(now, exclude) {
            return Some(near);
        }
        let first = self.draw(exclude, None);
        let second = first.and_then(|first| self.draw(exclude, Some(first)));
        let place = match (first, second) {
            (Some(first), Some(second)) => self.less_loaded(now, first, second),
            (Some(first), None) => first,
            _ => self.scan(now, exclude)?,
        };
        Some(self.records[place].id)
    }

    /// The less loaded of two upstreams in the preferred domain, while it has a slot to spare. Bytes
    /// between domains have a price, and one within costs less time as well.
    fn pick_near(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        let near = self.near.as_ref()?;
        let domain = self.domains.iter().position(|name| name == near)?;
        let candidates = self.candidates.iter().copied();
        let usable: Vec<usize> = candidates
            .filter(|&place| {
                let record = &self.records[place];
                record.domain_index == domain
                    && record.weight >= NEAR_WEIGHT
                    && !record.probing()
                    && !exclude.contains(&record.id)
            })
            .collect();
        if usable.is_empty() {
            return None;
        }
        let first = usable[self.random.random_range(0..usable.len())];
        let second = usable[self.random.random_range(0..usable.len())];
        let place = self.less_loaded(now, first, second);
        let record = &self.records[place];
        (load_of(now, record) < NEAR_LOAD).then_some(record.id)
    }

    /// The upstream with the least expected cost of those that may be picked. Of many upstreams a
    /// bounded number is looked at.
    pub fn pick_cheapest(
        &mut self,
        now: Duration,
        exclude: &[UpstreamId],
        kind: u64,
    ) -> Option<UpstreamId> {
        let far = self.far_cost(kind);
        let mut best: Option<(usize, f64)> = None;
        for candidate in self.walk_candidates() {
            let place = self.candidates[candidate];
            let record = &self.records[place];
            if exclude.contains(&record.id) || (record.probing() && record.flights.count() > 0) {
                continue;
            }
            let jitter = self.random.random::<f64>() * COST_JITTER;
            let cost = self.cost_of(now, place, far) + jitter;
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((place, cost));
            }
        }
        best.map(|(place, _)| self.records[place].id)
    }

    /// The cheapest of these upstreams, whoever else there is.
    #[must_use]
    pub fn cheapest_of(
        &self,
        now: Duration,
        ids: &[UpstreamId],
        kind: u64,
    ) -> Option<(UpstreamId, f64)> {
        let far = self.far_cost(kind);
        let places = ids.iter().filter_map(|id| self.index.get(id).copied());
        places
            .filter(|&place| self.records[place].pickable())
            .map(|place| (self.records[place].id, self.cost_of(now, place, far)))
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Expected cost of one attempt, in parts of what its request is worth.
    fn cost_of(&self, now: Duration, place: usize, far: f64) -> f64 {
        let record = &self.records[place];
        let distance = if self.is_far(record) { far } else { 0.0 };
        self.fault_cost(now, record) + wait_cost(load_of(now, record)) + distance
    }

    /// Expected cost of an upstream for what is known of its faults.
    pub(crate) fn fault_cost(&self, now: Duration, record: &UpstreamRecord) -> f64 {
        let fails = self.excess_chance(now, record) * FAILED_SHARE;
        fails + (1.0 - record.weight) * SHIFTED_COST
    }

    /// Whether an upstream is in another failure domain than the preferred one.
    pub(crate) fn is_far(&self, record: &UpstreamRecord) -> bool {
        let near = self.near.as_ref();
        near.is_some_and(|near| self.domains[record.domain_index] != *near)
    }

    /// Cost of an upstream in another failure domain, by what replies to this kind of work bring.
    pub(crate) fn far_cost(&self, kind: u64) -> f64 {
        let bytes = self.reply_sizes.get(&kind).copied().unwrap_or(0.0);
        (FAR_COST + bytes / KIB * FAR_KIB_COST).min(FAR_MOST)
    }

    /// Learns how large the replies to a kind of work are.
    pub fn learn_reply_size(&mut self, kind: u64, bytes: u64) {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        if self.reply_sizes.len() >= SIZES_MOST && !self.reply_sizes.contains_key(&kind) {
            return;
        }
        let size = self.reply_sizes.entry(kind).or_insert(bytes);
        *size += (bytes - *size) * SIZE_STEP;
    }

    /// How much likelier than usual an upstream is to fail, by what the node beside it told, which
    /// counts less as it grows old: a server that turns says so.
    ///
    /// Failure: an upstream of which little is known looks somewhat worse than those that answered
    /// last, and gets nothing for seconds while they are full. One that is no worse than usual in the
    /// service is as good as any.
    fn excess_chance(&self, now: Duration, record: &UpstreamRecord) -> f64 {
        let Some((heard, hint)) = record.hint else {
            return 0.0;
        };
        let age = now.saturating_sub(heard).as_secs_f64();
        (hint.failing_chance() - self.usual_failing()).max(0.0) * (-age / TOLD_FADE).exp()
    }

    /// Share of the service's upstreams that fail at any time.
    #[must_use]
    pub fn usual_failing(&self) -> f64 {
        self.usual.share
    }

    /// Learns the share of failing upstreams from what the nodes beside them told last.
    pub(crate) fn learn_usual(&mut self, now: Duration) {
        let told = self.records.iter().filter(|record| record.hint.is_some());
        let usual = self.usual_failing();
        let (sum, count) = told.fold((0.0, 0.0), |(sum, count), record| {
            let told = record.hint.map_or(usual, |(_, hint)| hint.failing_chance());
            (
                sum + told.min(usual) + self.excess_chance(now, record),
                count + 1.0,
            )
        });
        if count > 0.0 {
            self.usual.learn(now, sum / count);
        }
    }

    fn draw(&mut self, exclude: &[UpstreamId], other: Option<usize>) -> Option<usize> {
        if self.candidates.is_empty() {
            return None;
        }
        for _ in 0..DRAWS {
            let drawn = self.random.random_range(0..self.candidates.len());
            let place = self.candidates[drawn];
            let record = &self.records[place];
            if other == Some(place) || exclude.contains(&record.id) {
                continue;
            }
            if record.probing() && record.flights.count() > 0 {
                continue;
            }
            if record.weight >= 1.0 || self.random.random::<f64>() < record.weight {
                return Some(place);
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

    /// Takes the best of a bounded number of candidates when the draws found none.
    fn scan(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for candidate in self.walk_candidates() {
            let place = self.candidates[candidate];
            let record = &self.records[place];
            if exclude.contains(&record.id) {
                continue;
            }
            let cost = (1.0 + load_of(now, record)) / record.weight.max(1e-3);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((place, cost));
            }
        }
        best.map(|(place, _)| place)
    }

    fn walk_candidates(&mut self) -> CandidateWalk {
        CandidateWalk::new(self.candidates.len(), &mut self.random)
    }

    /// Puts an upstream into the list of candidates or takes it out.
    pub(crate) fn list_candidate(&mut self, place: usize) {
        let record = &mut self.records[place];
        match (record.pickable(), record.place) {
            (true, None) => {
                record.place = Some(self.candidates.len());
                self.candidates.push(place);
            }
            (false, Some(_)) => self.drop_candidate(place),
            _ => {}
        }
    }

    pub(crate) fn drop_candidate(&mut self, place: usize) {
        let Some(candidate) = self.records[place].place.take() else {
            return;
        };
        self.candidates.swap_remove(candidate);
        if let Some(&moved) = self.candidates.get(candidate) {
            self.records[moved].place = Some(candidate);
        }
    }
}

/// Places of some candidates, each place as likely as any other.
///
/// All nodes list the upstreams in the same order. With neighbours in it looked at together, an upstream
/// whose neighbours are all in other failure domains would be the cheapest in most looks of its own.
#[derive(Debug)]
struct CandidateWalk {
    count: usize,
    next: usize,
    stride: usize,
    left: usize,
}

impl CandidateWalk {
    fn new(count: usize, random: &mut SmallRng) -> Self {
        let next = if count == 0 {
            0
        } else {
            random.random_range(0..count)
        };
        let mut stride = 1;
        if count > SCAN {
            // A stride without a common divisor meets no place twice.
            stride = random.random_range(1..count);
            while greatest_divisor(stride, count) != 1 {
                stride = random.random_range(1..count);
            }
        }
        Self {
            count,
            next,
            stride,
            left: count.min(SCAN),
        }
    }
}

impl Iterator for CandidateWalk {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.left = self.left.checked_sub(1)?;
        let place = self.next;
        self.next = (place + self.stride) % self.count;
        Some(place)
    }
}

const fn greatest_divisor(first: usize, second: usize) -> usize {
    let (mut greater, mut lesser) = (first, second);
    while lesser != 0 {
        (greater, lesser) = (lesser, greater % lesser);
    }
    greater
}

/// What a wait for a slot costs at this load per slot. Up to half of the slots hardly anybody waits;
/// with all in use one waits for a part of a run, and each further one for its share of a whole run.
fn wait_cost(load: f64) -> f64 {
    let busy = load.min(1.0).powi(4) * FULL_COST;
    busy + (load - 1.0).max(0.0) * QUEUED_COST
}

/// Load per slot: what this node has in flight, and what else the last hint told.
fn load_of(now: Duration, record: &UpstreamRecord) -> f64 {
    let slots = f64::from(record.slots.max(1));
    let own = f64::from(record.flights.count());
    let Some((heard, hint)) = record.hint else {
        return own / slots;
    };
    let age = now.saturating_sub(heard).as_secs_f64();
    let told = f64::from(hint.in_use) + f64::from(hint.queued);
    let mut load = own.max(own + (told - own) / (1.0 + age / HINT_FADE));
    if now < record.refused_until {
        load += slots;
    }
    load / slots
}
