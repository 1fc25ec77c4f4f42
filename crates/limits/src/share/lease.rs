//! Lease that a holder has from one keeper.

use std::time::Duration;

use super::contract::LimitRow;
use super::demand::HIGH_RATE_MILLIS;
use super::message::{AskEntry, GrantEntry};
use super::ring::KeeperPlace;

/// Time for which a keeper that did not answer is not asked.
const UNRESPONSIVE_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Time for which a keeper without spare tokens is not asked for any.
const NO_TOKENS_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout of an ask.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of the last ask to a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeeperState {
    /// The keeper granted everything that was asked for, or has not been asked.
    Available,
    /// The keeper granted less than was asked for.
    Exhausted,
    /// The keeper did not answer.
    Unresponsive {
        /// Time at which to ask again.
        until: Duration,
    },
}

/// Rate, slots and tokens that a holder needs, holds, requests or releases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseAmount {
    /// Rate, in thousandths of a request per second.
    pub rate: u64,
    /// Concurrent requests.
    pub slots: u32,
    /// Tokens, one for each waiting request.
    pub tokens: u32,
}

/// Totals of a holder over all keepers.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTotals {
    /// Need, including headroom.
    pub need: LeaseAmount,
    /// Rate needed, without headroom.
    pub least_rate: u64,
    /// Amount in force.
    pub held: LeaseAmount,
}

/// Lease from one keeper. May be empty.
#[derive(Debug, Clone)]
pub struct ShareLease {
    place: KeeperPlace,
    /// Minimum time between two asks.
    interval: Duration,
    number: u32,
    applied: u32,
    pending_since: Option<Duration>,
    requested: LeaseAmount,
    planned: LeaseAmount,
    /// Whether the planned decrease is large enough to inform the keeper before the renewal.
    should_release_early: bool,
    /// Whether the keeper still counts the amount that its last grant took away, which it does
    /// until the next ask.
    shrunk: bool,
    last_ask_at: Option<Duration>,
    no_tokens_until: Duration,
    pause: Duration,
    /// Rate needed of all keepers together: now, and at the time of the last ask.
    need_rate: u64,
    requested_need: u64,
    rate: u64,
    slots: u32,
    ends: Duration,
    renew_at: Duration,
    granted_limit: LimitRow,
    state: KeeperState,
}

impl ShareLease {
    /// Creates an empty lease.
    #[must_use]
    pub fn empty(place: KeeperPlace, granted_limit: LimitRow, interval: Duration) -> Self {
        Self {
            interval,
            place,
            number: 0,
            applied: 0,
            pending_since: None,
            requested: LeaseAmount::default(),
            planned: LeaseAmount::default(),
            should_release_early: false,
            shrunk: false,
            last_ask_at: None,
            no_tokens_until: Duration::ZERO,
            pause: Duration::ZERO,
            need_rate: 0,
            requested_need: 0,
            rate: 0,
            slots: 0,
            ends: Duration::ZERO,
            renew_at: Duration::ZERO,
            granted_limit,
            state: KeeperState::Available,
        }
    }

    /// Returns the keeper and its place.
    #[must_use]
    pub const fn place(&self) -> KeeperPlace {
        self.place
    }

    /// Returns the rate in force, in thousandths of a request per second.
    ///
    /// If the contract was reduced since the grant, the rate is scaled down immediately.
    #[must_use]
    pub fn rate(&self, now: Duration, limit: LimitRow) -> u64 {
        if now >= self.ends {
            return 0;
        }
        scaled_down(self.rate, limit.rate, self.granted_limit.rate)
    }

    /// Returns the slots in force, scaled down like the rate.
    #[must_use]
    pub fn slots(&self, now: Duration, limit: LimitRow) -> u32 {
        if now >= self.ends {
            return 0;
        }
        let limited = u64::from(limit.concurrency);
        let granted_limit = u64::from(self.granted_limit.concurrency);
        let slots = scaled_down(u64::from(self.slots), limited, granted_limit);
        u32::try_from(slots).unwrap_or(0)
    }

    /// Returns the end of the lease, or `None` if it has ended.
    #[must_use]
    pub fn ends_after(&self, now: Duration) -> Option<Duration> {
        (self.ends > now).then_some(self.ends)
    }

    /// Returns whether a rate or slots may be in force.
    #[must_use]
    pub fn is_held(&self, now: Duration) -> bool {
        now < self.ends && (self.rate > 0 || self.slots > 0)
    }

    /// Returns whether the keeper may grant more now.
    #[must_use]
    pub fn may_grant(&self, now: Duration) -> bool {
        match self.state {
            KeeperState::Available => true,
            KeeperState::Exhausted => now >= self.renew_at || self.is_pause_over(now),
            KeeperState::Unresponsive { until } => now >= until,
        }
    }

    /// Returns whether the pause that the keeper requested is over.
    ///
    /// The keeper derives the pause from the need in the last ask. The pause shrinks as the need
    /// grows; otherwise a node that was one of many with little need could not ask for more when it
    /// becomes the busiest.
    fn is_pause_over(&self, now: Duration) -> bool {
        let Some(last) = self.last_ask_at else {
            return true;
        };
        let pause = if self.need_rate > self.requested_need {
            let millis = u64::try_from(self.pause.as_millis()).unwrap_or(u64::MAX);
            Duration::from_millis(millis.saturating_mul(self.requested_need) / self.need_rate)
        } else {
            self.pause
        };
        now >= last + pause.max(self.interval)
    }

    /// Returns whether the keeper granted less than was asked for last.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.state == KeeperState::Exhausted
    }

    /// Returns whether the keeper is considered reachable.
    #[must_use]
    pub fn is_reachable(&self, now: Duration) -> bool {
        match self.state {
            KeeperState::Unresponsive { until } => now >= until,
            _ => true,
        }
    }

    /// Returns whether the keeper may have spare tokens.
    #[must_use]
    pub fn may_have_tokens(&self, now: Duration) -> bool {
        self.is_reachable(now) && now >= self.no_tokens_until
    }

    /// Returns whether an ask is unanswered.
    #[must_use]
    pub const fn is_ask_pending(&self) -> bool {
        self.pending_since.is_some()
    }

    /// Returns the time at which the lease should be renewed.
    #[must_use]
    pub const fn renew_at(&self) -> Duration {
        self.renew_at
    }

    /// Abandons an ask that has timed out.
    pub fn expire_ask(&mut self, now: Duration) {
        let has_timed_out = |sent_at: Duration| now >= sent_at + ASK_TIMEOUT;
        if self.pending_since.is_some_and(has_timed_out) {
            self.pending_since = None;
            self.state = KeeperState::Unresponsive {
                until: now + UNRESPONSIVE_RETRY_DELAY,
            };
        }
    }

    /// Drops the lease. A grant that arrives later for an earlier ask is ignored.
    pub fn clear(&mut self) {
        self.rate = 0;
        self.slots = 0;
        self.ends = Duration::ZERO;
        self.renew_at = Duration::ZERO;
        self.pending_since = None;
        self.last_ask_at = None;
        self.shrunk = false;
        self.state = KeeperState::Available;
    }

    /// Plans to keep the amount held less `surplus`, and returns the surplus that is left.
    ///
    /// `need_rate` is the rate needed of all keepers together.
    pub fn plan_release(
        &mut self,
        now: Duration,
        limit: LimitRow,
        need_rate: u64,
        surplus: LeaseAmount,
    ) -> LeaseAmount {
        self.need_rate = need_rate;
        let rate = self.rate(now, limit);
        let slots = self.slots(now, limit);
        self.should_release_early =
            surplus.rate >= HIGH_RATE_MILLIS / 2 && surplus.rate * 2 >= rate;
        self.planned = LeaseAmount {
            rate: rate.saturating_sub(surplus.rate),
            slots: slots.saturating_sub(surplus.slots),
            tokens: 0,
        };
        LeaseAmount {
            rate: surplus.rate.saturating_sub(rate),
            slots: surplus.slots.saturating_sub(slots),
            tokens: 0,
        }
    }

    /// Plans to also request `missing` if the keeper may grant it, and returns the amount to
    /// request from the next keeper.
    pub fn plan_request(&mut self, now: Duration, missing: LeaseAmount) -> LeaseAmount {
        if self.is_ask_pending() {
            return LeaseAmount {
                rate: missing
                    .rate
                    .saturating_sub(self.requested.rate.saturating_sub(self.rate)),
                slots: missing
                    .slots
                    .saturating_sub(self.requested.slots.saturating_sub(self.slots)),
                tokens: missing.tokens.saturating_sub(self.requested.tokens),
            };
        }
        let mut left = missing;
        if self.may_grant(now) {
            self.planned.rate += missing.rate;
            self.planned.slots += missing.slots;
            left = LeaseAmount {
                tokens: missing.tokens,
                ..LeaseAmount::default()
            };
        }
        if self.may_have_tokens(now) {
            self.planned.tokens = missing.tokens;
            left.tokens = 0;
        }
        left
    }

    /// Returns whether an ask is due for the planned amount.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        if self.is_ask_pending() || !self.is_reachable(now) {
            return false;
        }
        let planned = self.planned;
        if self.shrunk {
            return true;
        }
        if planned == LeaseAmount::default() && !self.is_held(now) {
            return false;
        }
        if now >= self.renew_at {
            return true;
        }
        let pause_is_over = self.is_pause_over(now);
        let more = planned.rate > self.rate || planned.slots > self.slots || planned.tokens > 0;
        let less = self.should_release_early && planned.rate < self.rate;
        pause_is_over && (less || more)
    }

    /// Builds the ask for the planned amount.
    ///
    /// Releases the amount held above the plan first, so that the keeper may reuse it as soon as
    /// the ask arrives. `number` must grow with each ask of this node, `totals` are those of all
    /// keepers together, and `overflow` is the number of requests that still run on slots released
    /// earlier.
    pub fn ask(
        &mut self,
        now: Duration,
        number: u32,
        totals: LeaseTotals,
        overflow: u32,
    ) -> AskEntry {
        let planned = self.planned;
        let other_rate = totals.held.rate.saturating_sub(self.rate);
        let other_slots = totals.held.slots.saturating_sub(self.slots);
        if now >= self.ends {
            self.rate = 0;
            self.slots = 0;
        }
        self.rate = self.rate.min(planned.rate);
        self.slots = self.slots.min(planned.slots);
        self.number = number;
        self.shrunk = false;
        self.requested_need = totals.need.rate;
        self.pending_since = Some(now);
        self.last_ask_at = Some(now);
        self.requested = planned;
        AskEntry {
            customer: self.granted_limit.customer,
            place: self.place.place,
            number: self.number,
            applied: self.applied,
            held_rate: u32::try_from(self.rate).unwrap_or(u32::MAX),
            held_slots: self.slots.saturating_add(overflow),
            want_rate: u32::try_from(planned.rate).unwrap_or(u32::MAX),
            want_slots: planned.slots,
            other_rate: u32::try_from(other_rate).unwrap_or(u32::MAX),
            other_slots,
            need_rate: u32::try_from(totals.need.rate).unwrap_or(u32::MAX),
            need_slots: totals.need.slots,
            want_tokens: planned.tokens,
        }
    }

    /// Applies a grant. Returns the granted tokens, or `None` if the grant answers no open ask or
    /// its lease has already ended.
    ///
    /// The lease ends relative to the time when the ask was sent. The keeper counts from when it
    /// answered, which is later, so the lease always ends here first, even if the answer was
    /// delayed.
    pub fn apply(&mut self, now: Duration, grant: &GrantEntry, limit: LimitRow) -> Option<u32> {
        if grant.number != self.number {
            return None;
        }
        let pending_since = self.pending_since.take()?;
        self.applied = grant.number;
        let previous = (self.rate, self.slots);
        self.rate = u64::from(grant.rate);
        self.slots = grant.slots;
        self.ends = pending_since + grant.lease();
        self.renew_at = now + Duration::from_millis(u64::from(grant.renew_ms));
        self.pause = Duration::from_millis(u64::from(grant.pause_ms));
        self.granted_limit = limit;
        let short = self.rate < self.requested.rate || self.slots < self.requested.slots;
        self.state = if short {
            KeeperState::Exhausted
        } else {
            KeeperState::Available
        };
        if grant.tokens < self.requested.tokens {
            self.no_tokens_until = now + NO_TOKENS_RETRY_DELAY;
        }
        self.shrunk = self.slots < previous.1 || self.rate < previous.0;
        (now < self.ends).then_some(grant.tokens)
    }
}

fn scaled_down(value: u64, limit: u64, granted_limit: u64) -> u64 {
    if limit >= granted_limit {
        value
    } else {
        value * limit / granted_limit
    }
}
