//! Choosing an upstream for one attempt.
//!
//! Candidates are drawn at random and kept with the probability of their weight; of two drawn the
//! less loaded one is taken (power of two choices). The time does not depend on the number of
//! upstreams.

use std::time::Duration;

use rand::Rng;
use sycamorelink_core::UpstreamId;

use crate::pool::ServicePool;
use crate::record::UpstreamRecord;

/// Draws for the two choices before giving up on weights.
const DRAWS: usize = 12;

/// Candidates looked at in order when the draws found none.
const SCAN: usize = 64;

/// Load per slot up to which an upstream in the preferred domain is taken without a look at others:
/// all of its slots may be in use, and its node refuses what would have to wait for long.
const NEAR_LOAD: f64 = 1.0;

/// Weight from which an upstream in the preferred domain counts as well.
const NEAR_WEIGHT: f64 = 0.5;

/// Time constant with which a load hint grows stale.
const HINT_FADE: f64 = 0.3;

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
        let count = self.candidates.len();
        if count == 0 {
            return None;
        }
        let start = self.random.random_range(0..count);
        let mut best: Option<(usize, f64)> = None;
        for step in 0..count.min(SCAN) {
            let place = self.candidates[(start + step) % count];
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
