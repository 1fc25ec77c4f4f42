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
use sycamorelink_core::ServiceName;
use sycamorelink_limits::{BudgetPart, BudgetSettings, HolderCount, RetryBudget, WorkId};
use sycamorelink_policy::{OpenWork, PolicyMechanism};

use crate::attribution::{CallingRun, open_work};
use crate::budgets::share_to_percent;
use crate::event::{ArrivalKind, WorkOffer};
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

/// Budgets for the repeats that a backend server may receive.
#[derive(Debug)]
pub(crate) struct RepeatBudgets {
    /// Budget for repeats of all work.
    all: RetryBudget,
    /// Additional budget for repeats of work that makes calls; these are withdrawn from both.
    calling: RetryBudget,
}

/// A backend server's part of the bound on repeats at the time of a decision on a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatBudgetView {
    /// Servers among which the bound is divided: the recent maximum in this node's roster.
    pub servers: usize,
    /// Whole repeats left at the server.
    pub left: u64,
}

impl RepeatBudgets {
    fn new(settings: &BudgetSettings) -> Self {
        let calling = BudgetSettings {
            percent: settings.percent * CALLING_PERCENT / 100,
            ..settings.clone()
        };
        Self {
            all: RetryBudget::new(settings),
            calling: RetryBudget::new(&calling),
        }
    }
}

impl NodeEngine {
    /// Returns whether executors count the repeats sent to their backend servers.
    pub(crate) fn counts_repeats_at_executor(&self) -> bool {
        self.uses_fleet_contract() && self.settings.policy.is_on(PolicyMechanism::BesideBudget)
    }

    /// Withdraws a repeat from the budget of a server. Returns false if none is left.
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
    pub(crate) fn withdraw_repeat(&mut self, now: Duration, slot: u16, kind: u64) -> bool {
        if !self.counts_repeats_at_executor() {
            return true;
        }
        let calls = self.call_rates.makes_calls(kind);
        let Some(budgets) = self.repeat_budgets(now, slot) else {
            return true;
        };
        if calls && !budgets.calling.withdraw(now) {
            return false;
        }
        let taken = budgets.all.withdraw(now);
        if calls && !taken {
            budgets.calling.refund(now);
        }
        taken
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
        let left = self.repeat_budgets(now, offer.slot)?.all.balance(now);
        Some(RepeatBudgetView { servers, left })
    }

    /// Refunds the repeat of work that is not forwarded to its server.
    pub(crate) fn refund_repeat(&mut self, now: Duration, work: WorkId) {
        let state = self.works.get(&work);
        let unused = state.filter(|state| {
            state.offer.arrival == ArrivalKind::Repeat && state.phase != WorkPhase::Running
        });
        let Some((slot, kind)) = unused.map(|state| (state.offer.slot, state.offer.kind)) else {
            return;
        };
        let calls = self.call_rates.makes_calls(kind);
        if self.counts_repeats_at_executor()
            && let Some(budgets) = self.repeat_budgets(now, slot)
        {
            budgets.all.refund(now);
            if calls {
                budgets.calling.refund(now);
            }
        }
    }

    /// Counts a request that is forwarded to a local backend server. A repeat was withdrawn on
    /// arrival; its window restarts here, since it may have waited for a slot.
    pub(crate) fn count_arrival(&mut self, now: Duration, work: WorkId) {
        let Some(offer) = self.works.get(&work).map(|state| &state.offer) else {
            return;
        };
        let (slot, arrival, kind) = (offer.slot, offer.arrival, offer.kind);
        if !self.counts_repeats_at_executor() {
            return;
        }
        let calls = self.call_rates.makes_calls(kind);
        let Some(budgets) = self.repeat_budgets(now, slot) else {
            return;
        };
        if arrival == ArrivalKind::Repeat {
            budgets.all.restart_withdrawal(now);
            if calls {
                budgets.calling.restart_withdrawal(now);
            }
            return;
        }
        budgets.all.deposit(now);
        if calls {
            budgets.calling.deposit(now);
        }
        if arrival == ArrivalKind::CalledByRepeat {
            budgets.all.charge(now);
        }
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
    fn repeat_budgets(&mut self, now: Duration, slot: u16) -> Option<&mut RepeatBudgets> {
        let service = self.upstreams.get(&slot)?.announced.service.clone();
        let part = self.budget_part(now, &service);
        let (contract, _) = self.fleet.current.as_ref()?;
        let settings = BudgetSettings {
            percent: share_to_percent(contract.retry_budget.share),
            minimum_per_second: 0,
            ..BudgetSettings::default()
        };
        let upstream = self.upstreams.get_mut(&slot)?;
        let budgets = upstream
            .repeats
            .get_or_insert_with(|| RepeatBudgets::new(&settings));
        budgets.all.set_part(part);
        // Repeats of work that makes calls get half of the slack. Guards against slack that is used
        // twice: for a service's own repeats, and for the calls of another service's repeats.
        budgets.calling.set_part(BudgetPart {
            slack: part.slack / 2,
            ..part
        });
        Some(budgets)
    }

    /// Returns this server's part of the bound. The threshold for a repeat is drawn anew
    /// periodically, so that parts smaller than one repeat also add up to the bound.
    fn budget_part(&mut self, now: Duration, service: &ServiceName) -> BudgetPart {
        let servers = self.count_holders(now, service);
        self.slack_part(now, servers)
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
