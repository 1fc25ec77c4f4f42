//! The bound on repeats of a service, counted by the executors beside its backend servers.
//!
//! ```text
//! first arrival ────▶ adds its share to the budget of this server
//! repeat ───────────▶ takes one from it, or is refused as not run ──▶ tried elsewhere
//! call of a repeat ─▶ adds its share, and takes one even if none is left
//! ```
//!
//! The bound applies to the whole fleet. Divided among the sending nodes, each part would be a few
//! repeats in ten seconds, and most of it would go unused where no request fails: if a fifth of a
//! service's requests fail at the same time, only a fifth of these may be repeated. The executors
//! have fewer and larger parts, count every arrival whichever node sent it, and need no additional
//! message.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::{RefusalCode, ServiceName};
use sycamorelink_limits::{
    BudgetPart, BudgetSettings, HolderCount, LOAN_DURATION, MILLIS_PER_REPEAT, RepeatBooks,
    RepeatOrigin, WorkId,
};
use sycamorelink_policy::{OpenWork, PolicyMechanism};

use crate::attribution::{CallingRun, open_work};
use crate::budgets::share_to_percent;
use crate::event::{ArrivalKind, WorkOffer};
use crate::fleet::REPEAT_WINDOW;
use crate::node::NodeEngine;
use crate::request::WorkPhase;

/// Percentage of the bound that repeats of work which makes calls may use. The calls that they add
/// at the called service are only estimated, and that service has repeats of its own: repeating a
/// failed call is cheaper than repeating the run that makes it.
const CALLING_PERCENT: u32 = 75;

/// Minimum time for which a server that is no longer known still counts as a holder of the bound,
/// because the other side of a partition continues to use its parts. Longer than most partitions.
const HOLDER_RETENTION: Duration = Duration::from_mins(5);
/// Interval at which holders are counted when there are no requests.
const HOLDER_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// A backend server's part of the bound on repeats at the time of a decision on a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatBudgetView {
    /// Servers among which the bound is divided: the recent maximum in this node's roster.
    pub servers: usize,
    /// Whole repeats left at the server.
    pub left: u64,
}

/// Percentage of the bound that servers use which lend repeats to each other.
///
/// Each server compares its repeats with its own requests at the time of each repeat, so the fleet
/// exceeds the bound by up to 1% in some windows when requests arrive unevenly. Without loans most
/// of the bound is unused; with them the excess would show.
const LENDING_PERCENT: u32 = 95;

/// Returns a part of a fleet that uses nearly all of the bound, which allows only whole repeats if
/// it has one.
///
/// With random thresholds, parts add up to the bound on average only. This exceeds the bound once
/// loans let the fleet use all of it. Parts below one repeat keep their threshold, since such a
/// fleet would have no repeats otherwise.
fn lending_part(part: BudgetPart) -> BudgetPart {
    let slack = part.slack * u64::from(LENDING_PERCENT) / 100;
    let threshold = if slack >= MILLIS_PER_REPEAT {
        MILLIS_PER_REPEAT
    } else {
        part.threshold
    };
    BudgetPart { slack, threshold }
}

impl NodeEngine {
    /// Returns whether executors count the repeats sent to their backend servers.
    pub(crate) fn counts_repeats_at_executor(&self) -> bool {
        self.uses_fleet_contract() && self.settings.policy.is_on(PolicyMechanism::BesideBudget)
    }

    /// Withdraws a repeat from the budget of a server. Returns `None` if repeats are not counted
    /// here.
    ///
    /// Withdrawing on arrival, with a refund if the work is not forwarded to the server, guards
    /// against several repeats that queue for a slot on the same remaining balance and together
    /// exceed the bound.
    ///
    /// Work that makes calls has a second budget to which only such work adds. It guards against a
    /// service whose requests are mostly non-repeatable bookings and whose bound is used for
    /// look-ups only: the calls of the repeated look-ups would exceed the bound of a smaller
    /// service that they call. With the second budget, calls of repeats are as small a fraction of
    /// all calls as repeats are of requests.
    ///
    /// # Errors
    ///
    /// Returns the code to refuse the repeat with if none is left.
    pub(crate) fn withdraw_repeat(
        &mut self,
        now: Duration,
        slot: u16,
        kind: u64,
    ) -> Result<Option<RepeatOrigin>, RefusalCode> {
        if !self.counts_repeats_at_executor() {
            return Ok(None);
        }
        let calls = self.call_rates.makes_calls(kind);
        let lends = self.lends_repeats();
        let Some(books) = self.repeat_books(now, slot) else {
            return Ok(None);
        };
        if lends {
            books.record_request(now, calls);
        }
        let origin = books.withdraw(now, calls);
        origin.map(Some).ok_or(RefusalCode::RepeatsSpent)
    }

    /// Returns the state of the bound on repeats at the offered server, or `None` unless the offer
    /// is a repeat counted there.
    pub(crate) fn repeat_budget_view(
        &mut self,
        now: Duration,
        offer: &WorkOffer,
    ) -> Option<RepeatBudgetView> {
        if offer.arrival != ArrivalKind::Repeat || !self.counts_repeats_at_executor() {
            return None;
        }
        let servers = self.count_holders(now, &offer.service);
        let left = self.repeat_books(now, offer.slot)?.balance(now);
        Some(RepeatBudgetView { servers, left })
    }

    /// Returns the number of whole repeats left at a local backend server; zero where executors do
    /// not count repeats.
    pub(crate) fn repeats_left(&mut self, now: Duration, slot: u16) -> u16 {
        if !self.counts_repeats_at_executor() {
            return 0;
        }
        let books = self.repeat_books(now, slot);
        let left = books.map_or(0, |books| books.balance(now));
        u16::try_from(left).unwrap_or(u16::MAX)
    }

    /// Refunds the repeat of work that is not forwarded to its server.
    pub(crate) fn refund_repeat(&mut self, now: Duration, work: WorkId) {
        let state = self.works.get(&work);
        let unused = state.filter(|state| {
            state.offer.arrival == ArrivalKind::Repeat && state.phase != WorkPhase::Running
        });
        let Some((slot, kind, repeat)) =
            unused.map(|state| (state.offer.slot, state.offer.kind, state.repeat))
        else {
            return;
        };
        if !self.counts_repeats_at_executor() {
            return;
        }
        let Some(origin) = self.counted_origin(now, kind, repeat) else {
            return;
        };
        if let Some(books) = self.repeat_books(now, slot) {
            books.refund(now, origin);
        }
    }

    /// Returns what a repeat was withdrawn from; `None` if it was not withdrawn or no longer is.
    ///
    /// Without loans, whether the work makes calls is looked up again and the oldest withdrawal
    /// stands for that of the repeat.
    fn counted_origin(
        &self,
        now: Duration,
        kind: u64,
        repeat: Option<RepeatOrigin>,
    ) -> Option<RepeatOrigin> {
        let is_borrowed = repeat.is_some_and(|origin| origin.borrowed_until().is_some());
        if self.lends_repeats() || is_borrowed {
            return repeat;
        }
        Some(RepeatOrigin::own(now, self.call_rates.makes_calls(kind)))
    }

    /// Counts a request that is forwarded to a local backend server. A repeat was withdrawn on
    /// arrival; its window restarts here, since it may have waited for a slot.
    ///
    /// Returns false if the request must not be forwarded: a repeat whose loan ended while it
    /// waited, with no other repeat left.
    pub(crate) fn count_arrival(&mut self, now: Duration, work: WorkId) -> bool {
        let Some(state) = self.works.get(&work) else {
            return true;
        };
        let (slot, arrival, kind) = (state.offer.slot, state.offer.arrival, state.offer.kind);
        let repeat = state.repeat;
        if !self.counts_repeats_at_executor() {
            return true;
        }
        let calls = self.call_rates.makes_calls(kind);
        let lends = self.lends_repeats();
        let origin = self.counted_origin(now, kind, repeat);
        let Some(books) = self.repeat_books(now, slot) else {
            return true;
        };
        if arrival == ArrivalKind::Repeat {
            // A repeat that was not counted on arrival, since the contract changed, is counted now.
            let restarted = match origin {
                Some(origin) => books.restart(now, origin),
                None => books.withdraw(now, calls),
            };
            if let Some(state) = self.works.get_mut(&work) {
                state.repeat = restarted.or(Some(RepeatOrigin::unfunded(calls)));
            }
            return restarted.is_some();
        }
        books.deposit(now, calls);
        if arrival == ArrivalKind::CalledByRepeat {
            books.charge(now);
            if lends {
                books.record_request(now, false);
            }
        }
        true
    }

    /// Returns how the first arrival of a request that enters the fleet at this node counts. Some
    /// arrivals are attributed to runs that are repeats themselves.
    ///
    /// Guards against a large service that calls a small one: calls made by repeated runs are
    /// repeats for the small service, and together with that service's own repeats exceed its
    /// bound. A call does not say which run made it. Of the requests to other services that enter
    /// at this node, the fraction charged therefore equals the fraction of repeats among the local
    /// runs of work that makes calls. This is correct on average, and slightly too much if callers
    /// of this node without an account key are among them. If the run that made the call is known,
    /// the call counts as its call alone.
    pub(crate) fn first_arrival(
        &mut self,
        service: &ServiceName,
        keyed: bool,
        called_by: Option<&CallingRun>,
    ) -> ArrivalKind {
        if !self.counts_repeats_at_executor() || self.runs(service) || keyed {
            return ArrivalKind::First;
        }
        let open: Vec<OpenWork> = if let Some(run) = called_by {
            vec![run.open]
        } else {
            let running = self.works.values();
            let running = running.filter(|state| state.phase == WorkPhase::Running);
            running.map(open_work).collect()
        };
        let repeat_fraction = self.call_rates.called(&open);
        if repeat_fraction > 0.0 && self.fleet.random.random::<f64>() < repeat_fraction {
            ArrivalKind::CalledByRepeat
        } else {
            ArrivalKind::First
        }
    }

    /// Returns the repeat budgets of a backend server, with their part of the slack updated.
    pub(crate) fn repeat_books(&mut self, now: Duration, slot: u16) -> Option<&mut RepeatBooks> {
        let service = self.upstreams.get(&slot)?.announced.service.clone();
        let part = self.budget_part(now, &service);
        let lends = self.lends_repeats();
        let (contract, _) = self.fleet.current.as_ref()?;
        let percent = share_to_percent(contract.retry_budget.share);
        let all = BudgetSettings {
            percent: if lends {
                percent * LENDING_PERCENT / 100
            } else {
                percent
            },
            minimum_per_second: 0,
            ..BudgetSettings::default()
        };
        // Repeats of work that makes calls get half of the slack. Guards against slack that is used
        // twice: for a service's own repeats, and for the calls of another service's repeats.
        let calling_part = BudgetPart {
            slack: part.slack / 2,
            ..part
        };
        let calling = BudgetSettings {
            percent: all.percent * CALLING_PERCENT / 100,
            ..all.clone()
        };
        let controls_overload = self.controls_overload();
        let upstream = self.upstreams.get_mut(&slot)?;
        let books = upstream
            .repeats
            .get_or_insert_with(|| RepeatBooks::new(&all, &calling));
        // The contract may have changed since the books were created.
        if controls_overload {
            books.set_percents(all.percent, calling.percent);
        }
        if lends {
            books.set_parts(lending_part(part), lending_part(calling_part));
        } else {
            books.set_parts(part, calling_part);
        }
        Some(books)
    }

    /// Returns this server's part of the bound. The threshold for a repeat is drawn anew
    /// periodically, so that parts smaller than one repeat also add up to the bound.
    fn budget_part(&mut self, now: Duration, service: &ServiceName) -> BudgetPart {
        let servers = self.count_holders(now, service);
        let part = self.slack_part(now, servers);
        let slack = if self.may_have_lent(now) {
            0
        } else {
            part.slack
        };
        BudgetPart { slack, ..part }
    }

    /// Returns whether repeats that a previous incarnation of this node lent may still count.
    ///
    /// A loan may be used until its end, a second after the previous incarnation granted it, and
    /// counts for one window from then on.
    fn may_have_lent(&self, now: Duration) -> bool {
        self.lends_repeats() && !self.settings.first_start && now < REPEAT_WINDOW + LOAN_DURATION
    }

    /// Updates and returns the number of servers among which the bound of a service is divided.
    fn count_holders(&mut self, now: Duration, service: &ServiceName) -> usize {
        let known = self.roster.upstreams(service.as_str()).len();
        let entry = self.holder_counts.entry(service.clone());
        let count = entry.or_insert_with(|| HolderCount::new(HOLDER_RETENTION));
        count.observe(now, known)
    }

    /// Counts the holders for each service with a local backend server, so that the retained
    /// maximum does not depend on requests.
    pub(crate) fn tick_holder_counts(&mut self, now: Duration) {
        if now < self.next_holder_count {
            return;
        }
        self.next_holder_count = now + HOLDER_COUNT_INTERVAL;
        let services = self.upstreams.values();
        let services = services.map(|upstream| upstream.announced.service.clone());
        let services: BTreeSet<ServiceName> = services.collect();
        for service in services {
            self.count_holders(now, &service);
        }
    }
}
