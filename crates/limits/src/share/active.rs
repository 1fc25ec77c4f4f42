//! State of one customer in use at a holder.

use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::bucket::{TOKEN, TokenBucket};
use super::contract::LimitRow;
use super::demand::DemandMeter;
use super::lease::{LeaseAmount, LeaseTotals, ShareLease};
use super::ring::{KeeperPlace, mix};
use super::view::RosterView;
use super::{Admission, AskEntry, CustomerIndex, GrantEntry, ShareSettings};

/// Upper bound of the `retry_after` hint in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// `retry_after` hint when no time is known at which a token or slot returns.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of tokens that one ask requests.
const MAX_TOKENS_PER_ASK: u32 = 100;

/// Resources that a refused or waiting request lacks.
#[derive(Debug, Clone, Copy)]
struct ShareShortage {
    token: bool,
    slot: bool,
}

/// Rights of this node under one contract, and the demand of its callers.
#[derive(Debug)]
pub struct ActiveCustomer {
    index: CustomerIndex,
    limit: LimitRow,
    bucket: TokenBucket,
    demand: DemandMeter,
    leases: Vec<ShareLease>,
    slots: u32,
    base_blocks: u32,
    base_slots: u32,
    rights_end: Duration,
    /// Requests since the last plan that lacked a token or a slot.
    shortage_count: u32,
    /// Whether a request may wait for the next grant.
    has_waiting: bool,
    mean_finish_interval: Duration,
    finished_at: Duration,
    last_hinted_at: Duration,
    /// Whether the customer is queued for planning before the next periodic scan.
    pub is_urgent: bool,
}

impl ActiveCustomer {
    /// Creates the state without leases.
    #[must_use]
    pub fn new(now: Duration, index: CustomerIndex, limit: LimitRow) -> Self {
        Self {
            index,
            limit,
            bucket: TokenBucket::new(now, 0),
            demand: DemandMeter::new(now),
            leases: Vec::new(),
            slots: 0,
            base_blocks: 0,
            base_slots: 0,
            rights_end: Duration::ZERO,
            shortage_count: 0,
            has_waiting: false,
            mean_finish_interval: Duration::ZERO,
            finished_at: now,
            last_hinted_at: Duration::ZERO,
            is_urgent: false,
        }
    }

    /// Returns the dense number of the customer.
    #[must_use]
    pub const fn index(&self) -> CustomerIndex {
        self.index
    }

    /// Returns the rate in force, in thousandths of a request per second.
    #[must_use]
    pub const fn rate(&self) -> u64 {
        self.bucket.rate()
    }

    /// Returns the slots in force.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.demand.in_flight()
    }

    /// Returns the time at which the rights in force must be recomputed.
    #[must_use]
    pub const fn rights_end(&self) -> Duration {
        self.rights_end
    }

    /// Updates the list of keepers from the roster in force, with those of the own domain first.
    ///
    /// Keeps the leases of keepers that are unchanged, unless `drop_all` is set.
    pub fn update_keepers(
        &mut self,
        view: &RosterView,
        own: u64,
        drop_all: bool,
        interval: Duration,
    ) {
        let Some(ring) = view.ring() else {
            self.leases.clear();
            return;
        };
        self.base_blocks = view.base_blocks(self.limit.customer);
        let mut places: Vec<KeeperPlace> = ring.keepers(self.limit.customer).collect();
        let customer = self.limit.customer;
        places.sort_by_key(|place| {
            let elsewhere = place.domain != view.own_domain();
            let spread = mix(own ^ customer ^ mix(place.domain ^ u64::from(place.place)));
            (elsewhere, spread)
        });
        let mut former = std::mem::take(&mut self.leases);
        self.leases = places
            .into_iter()
            .map(|place| take_lease(&mut former, place, self.limit, interval))
            .collect();
        if drop_all {
            self.leases.iter_mut().for_each(ShareLease::clear);
        }
    }

    /// Drops all leases.
    pub fn drop_leases(&mut self) {
        self.leases.iter_mut().for_each(ShareLease::clear);
    }

    /// Applies an amended contract.
    pub fn set_limit(&mut self, limit: LimitRow) {
        self.limit = limit;
    }

    /// Recomputes the rate and slots that are in force now.
    pub fn update_rights(&mut self, now: Duration, view: &RosterView, settings: &ShareSettings) {
        self.bucket.fill(now, settings.burst);
        let mut rate = view.base_rate(now, self.limit);
        let mut slots = 0;
        let mut end = view.rights_end();
        self.base_slots = view.base_slots(now, self.limit, self.base_blocks);
        if view.may_hold(now) {
            for lease in &self.leases {
                rate += lease.rate(now, self.limit);
                slots += lease.slots(now, self.limit);
                end = lease.ends_after(now).map_or(end, |ends| end.min(ends));
            }
        }
        self.slots = (slots + self.base_slots).min(self.limit.concurrency);
        self.bucket
            .set_rate(rate.min(self.limit.rate), settings.burst);
        if rate == 0 {
            self.bucket.empty();
        }
        self.rights_end = if end > now { end } else { Duration::MAX };
    }

    /// Decides on one request. The rights must be up to date. `again` means that the request has
    /// waited.
    pub fn admit(&mut self, now: Duration, settings: &ShareSettings, again: bool) -> Admission {
        if !again {
            self.demand.offered(now);
        }
        self.bucket.fill(now, settings.burst);
        let has_free_slot = self.in_flight() < self.slots;
        if has_free_slot && self.bucket.take() {
            self.demand.started(now);
            return Admission::Admitted;
        }
        let shortage = ShareShortage {
            token: self.bucket.next_token() != Some(Duration::ZERO),
            slot: !has_free_slot,
        };
        self.record_shortage(shortage);
        match self.wait_until(now, settings, shortage) {
            Some(until) if !again => {
                self.has_waiting = true;
                Admission::Wait { until }
            }
            _ => Admission::Refused {
                retry_after: self.retry_after_hint(now, shortage),
            },
        }
    }

    fn record_shortage(&mut self, shortage: ShareShortage) {
        self.shortage_count = self.shortage_count.saturating_add(1);
        if shortage.slot {
            self.demand.record_slot_shortage();
        }
    }

    /// Returns until when a request should wait, if a grant or a token is expected soon.
    fn wait_until(
        &self,
        now: Duration,
        settings: &ShareSettings,
        shortage: ShareShortage,
    ) -> Option<Duration> {
        let last = now + settings.first_wait;
        let next = self.bucket.next_token().map(|wait| now + wait);
        if !shortage.slot && next.is_some_and(|next| next <= last) && self.shortage_count <= 1 {
            return next;
        }
        let ask_pending = self.leases.iter().any(ShareLease::is_ask_pending);
        let may_gain = self.leases.iter().any(|lease| lease.may_grant(now));
        (ask_pending || may_gain).then_some(last)
    }

    /// Returns the time after which a refused caller may retry.
    ///
    /// Hints to successive callers are one token apart, because only one caller can get the next
    /// token.
    fn retry_after_hint(&mut self, now: Duration, shortage: ShareShortage) -> Duration {
        let token = if shortage.token {
            self.token_wait(now)
        } else {
            Duration::ZERO
        };
        let slot = if shortage.slot {
            self.slot_wait(now)
        } else {
            Duration::ZERO
        };
        token.max(slot).min(MAX_RETRY_AFTER)
    }

    fn token_wait(&mut self, now: Duration) -> Duration {
        let Some(next) = self.bucket.next_token() else {
            return self.grant_wait(now);
        };
        let spacing = Duration::from_micros(TOKEN / self.bucket.rate().max(1));
        let next = (now + next)
            .max(self.last_hinted_at + spacing)
            .min(now + MAX_RETRY_AFTER);
        self.last_hinted_at = next;
        next.saturating_sub(now)
    }

    fn slot_wait(&self, now: Duration) -> Duration {
        if self.slots == 0 || self.mean_finish_interval.is_zero() {
            return self.grant_wait(now);
        }
        self.mean_finish_interval
    }

    fn grant_wait(&self, now: Duration) -> Duration {
        let next = self.leases.iter().map(ShareLease::renew_at);
        let next = next.filter(|at| *at > now).min();
        next.map_or(DEFAULT_RETRY_AFTER, |at| at.saturating_sub(now))
    }

    /// Frees the slot of an admitted request.
    pub fn finished(&mut self, now: Duration) {
        self.demand.ended(now);
        let interval = now.saturating_sub(self.finished_at);
        self.mean_finish_interval = (self.mean_finish_interval * 7 + interval) / 8;
        self.finished_at = now;
    }

    /// Builds the asks that are due. `number` is the last number used and grows with each ask.
    ///
    /// Leases stay at their keepers while their sum is close to the need. Additional amounts are
    /// requested from one keeper after the other, nearest first, and a surplus is released from the
    /// farthest. Moving leases between keepers without need would leave the holder without them for
    /// a while each time.
    pub fn plan<F>(
        &mut self,
        now: Duration,
        settings: &ShareSettings,
        number: &mut u32,
        mut send: F,
    ) where
        F: FnMut(KeeperPlace, AskEntry),
    {
        self.demand.roll(now);
        let totals = LeaseTotals {
            need: self.need(now, settings),
            least_rate: self.demand.offered_rate().min(self.limit.rate),
            held: self.held(now),
        };
        let mut missing = missing_amount(totals);
        let mut surplus = self.surplus(totals);
        let mut overflow = self.in_flight().saturating_sub(self.slots);
        for lease in self.leases.iter_mut().rev() {
            lease.expire_ask(now);
            surplus = lease.plan_release(now, self.limit, totals.need.rate, surplus);
        }
        for lease in &mut self.leases {
            missing = lease.plan_request(now, missing);
            if lease.is_due(now) {
                *number = number.wrapping_add(1).max(1);
                send(lease.place(), lease.ask(now, *number, totals, overflow));
                overflow = 0;
            }
        }
    }

    /// Returns the amount that this node's callers need of all keepers together.
    fn need(&mut self, now: Duration, settings: &ShareSettings) -> LeaseAmount {
        self.bucket.fill(now, settings.burst);
        let lacks_token = self.bucket.next_token() != Some(Duration::ZERO);
        let shortage_count = std::mem::take(&mut self.shortage_count);
        let slots = self.demand.want_slots().min(self.limit.concurrency);
        LeaseAmount {
            rate: self.demand.want_rate(self.is_scarce()).min(self.limit.rate),
            slots: slots.max(self.in_flight()).saturating_sub(self.base_slots),
            tokens: if lacks_token {
                shortage_count.min(MAX_TOKENS_PER_ASK)
            } else {
                0
            },
        }
    }

    fn is_scarce(&self) -> bool {
        self.leases.iter().any(ShareLease::is_exhausted)
    }

    fn held(&self, now: Duration) -> LeaseAmount {
        let leases = self.leases.iter();
        leases.fold(LeaseAmount::default(), |sum, lease| LeaseAmount {
            rate: sum.rate + lease.rate(now, self.limit),
            slots: sum.slots + lease.slots(now, self.limit),
            tokens: 0,
        })
    }

    /// Returns the amount held beyond the need, if it exceeds a quarter of the need or is scarce.
    fn surplus(&self, totals: LeaseTotals) -> LeaseAmount {
        let LeaseTotals { need, held, .. } = totals;
        let rate = held.rate.saturating_sub(need.rate);
        let slots = held.slots.saturating_sub(need.slots);
        let scarce = self.is_scarce();
        let much_rate = scarce || rate > need.rate / 4;
        let much_slots = scarce || slots > (need.slots / 4).max(1);
        LeaseAmount {
            rate: if much_rate { rate } else { 0 },
            slots: if much_slots { slots } else { 0 },
            tokens: 0,
        }
    }

    /// Applies a grant. Returns true if waiting requests should be tried again.
    pub fn apply_grant(
        &mut self,
        now: Duration,
        from: InstanceId,
        grant: &GrantEntry,
        burst: Duration,
    ) -> bool {
        let mut matching = self
            .leases
            .iter_mut()
            .filter(|lease| lease.place().keeper == from && lease.place().place == grant.place);
        let Some(tokens) = matching.find_map(|lease| lease.apply(now, grant, self.limit)) else {
            return false;
        };
        self.bucket.fill(now, burst);
        self.bucket.give(tokens);
        std::mem::take(&mut self.has_waiting)
    }

    /// Returns whether the state can be dropped without losing anything.
    #[must_use]
    pub fn is_removable(&self, now: Duration) -> bool {
        let is_in_use = |lease: &ShareLease| lease.is_held(now) || lease.is_ask_pending();
        self.in_flight() == 0 && self.demand.is_idle() && !self.leases.iter().any(is_in_use)
    }
}

/// Returns the amount needed beyond what is held.
///
/// Headroom is requested only when the rate falls short without it, so that not every change of the
/// demand causes an ask.
fn missing_amount(totals: LeaseTotals) -> LeaseAmount {
    let LeaseTotals { need, held, .. } = totals;
    let lacks = held.rate < totals.least_rate;
    LeaseAmount {
        rate: if lacks {
            need.rate.saturating_sub(held.rate)
        } else {
            0
        },
        slots: need.slots.saturating_sub(held.slots),
        tokens: need.tokens,
    }
}

/// Removes and returns the former lease from the same keeper and place, or returns an empty lease.
fn take_lease(
    former: &mut Vec<ShareLease>,
    place: KeeperPlace,
    limit: LimitRow,
    interval: Duration,
) -> ShareLease {
    match former.iter().position(|lease| lease.place() == place) {
        Some(position) => former.swap_remove(position),
        None => ShareLease::empty(place, limit, interval),
    }
}
