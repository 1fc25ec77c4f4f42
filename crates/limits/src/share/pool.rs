//! Pool of one contract's units in one place, from which a keeper grants leases.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::ShareSettings;
use super::bucket::TokenBucket;
use super::message::{AskEntry, GrantEntry};
use super::ring::mix;
use super::view::PoolSize;

/// Interval at which the remainder slots of a contended contract rotate among holders.
const ROTATION_INTERVAL: Duration = Duration::from_secs(4);
/// Fixed-point representation of 1 in the calculation of fractional slots.
const FIXED_ONE: u64 = 1 << 16;
/// Average time between two asks that a pool aims for: at most about fifty asks per second,
/// regardless of the number of holders.
const TARGET_ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Amounts that a pool may lease.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolOffer {
    /// Size of this pool.
    pub size: PoolSize,
    /// Size of all pools of the contract together.
    pub whole: PoolSize,
}

/// Lease of one holder, and its total need.
#[derive(Debug, Clone, Default)]
struct PoolHolding {
    number: u32,
    rate: u64,
    slots: u32,
    need_rate: u64,
    need_slots: u32,
    /// Whether the last grant was less than requested.
    underserved: bool,
    /// End of the longest grant that may still be in force.
    ends: Duration,
    /// End of the newest grant.
    newest_ends: Duration,
}

impl PoolHolding {
    /// Updates the need from an ask. The need of a holder that requests nothing counts as zero,
    /// because the holder does not ask again for a while and the value would become stale.
    fn update_need(&mut self, ask: &AskEntry) {
        self.need_rate = if ask.want_rate > 0 {
            u64::from(ask.need_rate)
        } else {
            0
        };
        self.need_slots = if ask.want_slots > 0 {
            ask.need_slots
        } else {
            0
        };
    }
}

/// Sums over the holders of a pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolSums {
    rate: u64,
    slots: u32,
    need_rate: u64,
    need_slots: u64,
    /// Holders that need at least one slot.
    needing_slots: u64,
    /// Holders whose last grant was less than requested.
    underserved: u32,
}

impl PoolSums {
    fn add(&mut self, holding: &PoolHolding) {
        self.rate += holding.rate;
        self.slots += holding.slots;
        self.need_rate += holding.need_rate;
        self.need_slots += u64::from(holding.need_slots);
        self.needing_slots += u64::from(holding.need_slots > 0);
        self.underserved += u32::from(holding.underserved);
    }

    fn subtract(&mut self, holding: &PoolHolding) {
        self.rate -= holding.rate;
        self.slots -= holding.slots;
        self.need_rate -= holding.need_rate;
        self.need_slots -= u64::from(holding.need_slots);
        self.needing_slots -= u64::from(holding.need_slots > 0);
        self.underserved -= u32::from(holding.underserved);
    }
}

/// Length, renewal time and pause of a lease.
#[derive(Debug, Clone, Copy)]
struct LeaseTerms {
    lease: Duration,
    renewal: Duration,
    pause: Duration,
}

/// Pool of one contract's units in one place.
#[derive(Debug)]
pub struct LeasePool {
    holdings: BTreeMap<InstanceId, PoolHolding>,
    bucket: TokenBucket,
    sums: PoolSums,
    next_expiry: Duration,
}

impl LeasePool {
    /// Creates a pool without leases whose rate has accrued tokens since `kept_since`.
    #[must_use]
    pub fn new(kept_since: Duration, size: PoolSize) -> Self {
        Self {
            holdings: BTreeMap::new(),
            bucket: TokenBucket::new(kept_since, size.rate),
            sums: PoolSums::default(),
            next_expiry: Duration::MAX,
        }
    }

    /// Returns whether the pool can be dropped without granting any token twice.
    #[must_use]
    pub fn is_removable(&self) -> bool {
        self.holdings.is_empty() && self.bucket.is_full()
    }

    /// Returns the number of holders with a lease.
    #[must_use]
    pub fn holder_count(&self) -> usize {
        self.holdings.len()
    }

    /// Ends expired leases.
    pub fn expire(&mut self, now: Duration) {
        if now >= self.next_expiry {
            self.retain_holders(now, |_| true);
        }
    }

    /// Ends expired leases, and those of holders that have certainly stopped.
    pub fn retain_holders<F>(&mut self, now: Duration, is_running: F)
    where
        F: Fn(InstanceId) -> bool,
    {
        let mut next_expiry = Duration::MAX;
        let sums = &mut self.sums;
        self.holdings.retain(|holder, holding| {
            if holding.ends > now && is_running(*holder) {
                next_expiry = next_expiry.min(holding.ends);
                return true;
            }
            sums.subtract(holding);
            false
        });
        self.next_expiry = next_expiry;
    }

    /// Accrues tokens at the rate that is not leased.
    pub fn accrue(&mut self, now: Duration, size: PoolSize, burst: Duration) {
        let free = size.rate.saturating_sub(self.sums.rate);
        self.bucket.fill(now, burst);
        self.bucket.set_rate(free, burst);
    }

    /// Answers an ask. Returns `None` for an ask that is not newer than the last one.
    pub fn answer(
        &mut self,
        now: Duration,
        from: InstanceId,
        ask: &AskEntry,
        offer: PoolOffer,
        settings: &ShareSettings,
    ) -> Option<GrantEntry> {
        self.expire(now);
        self.accrue(now, offer.size, settings.burst);
        let mut holding = self.holdings.remove(&from).unwrap_or_default();
        self.sums.subtract(&holding);
        let is_newer =
            holding.number == 0 || ask.number.wrapping_sub(holding.number) < u32::MAX / 2;
        let grant = (is_newer && ask.number != holding.number)
            .then(|| self.grant(now, from, ask, offer, settings, &mut holding));
        self.sums.add(&holding);
        self.next_expiry = self.next_expiry.min(holding.ends);
        self.holdings.insert(from, holding);
        self.accrue(now, offer.size, settings.burst);
        grant
    }

    /// Decides on one ask. The sums must not include the holding.
    ///
    /// The previous lease counts until the holder has applied the answer that reduced it: an answer
    /// may be lost, and then the holder continues with the previous lease.
    fn grant(
        &mut self,
        now: Duration,
        from: InstanceId,
        ask: &AskEntry,
        offer: PoolOffer,
        settings: &ShareSettings,
        holding: &mut PoolHolding,
    ) -> GrantEntry {
        if ask.applied == holding.number {
            holding.rate = holding.rate.min(u64::from(ask.held_rate));
            holding.slots = holding.slots.min(ask.held_slots);
            holding.ends = holding.newest_ends;
        }
        holding.number = ask.number;
        holding.update_need(ask);
        let mut sums = self.sums;
        sums.add(holding);
        let free = PoolSize {
            rate: offer.size.rate.saturating_sub(self.sums.rate),
            slots: offer.size.slots.saturating_sub(self.sums.slots),
        };
        let offset = rotation_offset(now, from, ask.customer);
        let fair = PoolSize {
            rate: fair_rate(ask, offer, &sums),
            slots: fair_slots(ask, offer, &sums, offset),
        };
        let (rate, slots) = self.allot(ask, holding, free, fair);
        holding.rate = holding.rate.max(rate);
        holding.slots = holding.slots.max(slots);
        holding.underserved = rate < u64::from(ask.want_rate) || slots < ask.want_slots;
        let terms = self.terms(offer.size, holding, settings);
        holding.newest_ends = now + settings.reuse_wait(terms.lease);
        holding.ends = holding.ends.max(holding.newest_ends);
        GrantEntry {
            customer: ask.customer,
            place: ask.place,
            number: ask.number,
            rate: u32::try_from(rate).unwrap_or(u32::MAX),
            slots,
            tokens: self.bucket.take_up_to(ask.want_tokens),
            lease_ms: millis(terms.lease),
            renew_ms: millis(terms.renewal),
            pause_ms: millis(terms.pause),
        }
    }

    /// Returns the rate and slots for one holder: everything it requests, unless another holder
    /// lacks any.
    ///
    /// Otherwise the holder is reduced to its fair part, but always gets its part of what is free,
    /// because the needs known here may be outdated.
    fn allot(
        &self,
        ask: &AskEntry,
        holding: &PoolHolding,
        free: PoolSize,
        fair: PoolSize,
    ) -> (u64, u32) {
        let rate = u64::from(ask.want_rate).min(free.rate);
        let slots = ask.want_slots.min(free.slots);
        let underserved_others = self.sums.underserved;
        if underserved_others == 0 {
            return (rate, slots);
        }
        let unused_rate = free.rate.saturating_sub(holding.rate);
        let unused_slots = free.slots.saturating_sub(holding.slots);
        let least_rate = holding.rate + unused_rate / u64::from(underserved_others + 1);
        let least_slots = holding.slots + unused_slots / (underserved_others + 1);
        let has_lease = ask.held_rate > 0 || ask.held_slots > 0;
        let must_yield = has_lease && unused_rate == 0;
        let least_rate = if must_yield { 0 } else { least_rate };
        let must_yield = has_lease && unused_slots == 0;
        let least_slots = if must_yield { 0 } else { least_slots };
        (
            rate.min(fair.rate.max(least_rate)),
            slots.min(fair.slots.max(least_slots)),
        )
    }

    /// Returns the terms of a lease: long while at most half of the pool is leased, renewed early
    /// if less than requested was granted.
    fn terms(&self, size: PoolSize, holding: &PoolHolding, settings: &ShareSettings) -> LeaseTerms {
        let pause = self.pause(holding, settings);
        let spare_rate = (self.sums.rate + holding.rate) * 2 <= size.rate;
        let spare_slots = (self.sums.slots + holding.slots) * 2 <= size.slots;
        if !holding.underserved && spare_rate && spare_slots {
            let lease = settings.long_lease;
            let renewal = lease / 3;
            return LeaseTerms {
                lease,
                renewal,
                pause,
            };
        }
        let lease = (pause * 3).clamp(settings.lease, settings.long_lease);
        let renewal = if holding.underserved {
            pause
        } else {
            lease / 3
        };
        LeaseTerms {
            lease,
            renewal,
            pause,
        }
    }

    /// Returns the time for which a holder should not ask again.
    ///
    /// Holders with a large part of the total need may ask often and the many with little need
    /// rarely, so that all together keep to [`TARGET_ASK_INTERVAL`].
    fn pause(&self, holding: &PoolHolding, settings: &ShareSettings) -> Duration {
        let holders = u64::try_from(self.holdings.len() + 1).unwrap_or(u64::MAX);
        let total = self.sums.need_rate + holding.need_rate;
        let intervals = total.checked_div(holding.need_rate).unwrap_or(holders);
        let pause =
            TARGET_ASK_INTERVAL.saturating_mul(u32::try_from(intervals).unwrap_or(u32::MAX));
        pause.clamp(settings.ask_interval, settings.long_lease / 3)
    }
}

/// Returns the rate that gives a holder its fair part of the whole, less what it holds elsewhere.
///
/// If the sum of all known needs exceeds the whole, the needs are scaled down to it.
fn fair_rate(ask: &AskEntry, offer: PoolOffer, sums: &PoolSums) -> u64 {
    let need = u64::from(ask.need_rate);
    let want = u64::from(ask.want_rate);
    let fair = scale_to_fit(need, offer.whole.rate, sums.need_rate) / FIXED_ONE;
    want.min(fair.saturating_sub(u64::from(ask.other_rate)))
}

/// Returns the slots for a holder by the same rule.
///
/// Every holder with any need first gets one slot while there are enough, because a holder without
/// a slot admits nothing.
fn fair_slots(ask: &AskEntry, offer: PoolOffer, sums: &PoolSums, offset: u64) -> u32 {
    let need = u64::from(ask.need_slots);
    let want = u64::from(ask.want_slots);
    let whole = u64::from(offer.whole.slots);
    let parts = if sums.need_slots <= whole || need == 0 {
        need.saturating_mul(FIXED_ONE)
    } else if sums.needing_slots >= whole {
        scale_to_fit(1, whole, sums.needing_slots)
    } else {
        let rest = scale_to_fit(
            need - 1,
            whole - sums.needing_slots,
            sums.need_slots - sums.needing_slots,
        );
        FIXED_ONE + rest
    };
    let fair = (parts + offset) / FIXED_ONE;
    let slots = want.min(fair.saturating_sub(u64::from(ask.other_slots)));
    u32::try_from(slots).unwrap_or(u32::MAX)
}

/// Returns `want` scaled so that all wants together fit `size`, as a fixed-point number.
fn scale_to_fit(want: u64, size: u64, total: u64) -> u64 {
    if total <= size {
        return want.saturating_mul(FIXED_ONE);
    }
    let scaled = u128::from(want) * u128::from(size) * u128::from(FIXED_ONE) / u128::from(total);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Returns a number below [`FIXED_ONE`] that decides whether a remainder slot goes to this holder
/// now.
///
/// The number changes with time, so that holders that compete for one slot get it in turn.
fn rotation_offset(now: Duration, from: InstanceId, customer: u64) -> u64 {
    let epoch = now.as_secs() / ROTATION_INTERVAL.as_secs();
    mix(customer ^ mix(from.node.0 ^ mix(epoch))) % FIXED_ONE
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
