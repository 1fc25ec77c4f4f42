//! The bound on repeats of a service, counted beside its backend servers.
//!
//! ```text
//! first arrival ──▶ adds its share to the pot of this server
//! repeat ─────────▶ takes one from it, or is refused as not run ──▶ asked for elsewhere
//! call of a repeat ▶ adds its share, and takes one that may not be there
//! ```
//!
//! Pattern: a fifth of a service's requests fail at once, and a fifth of them may be repeated. The
//! bound is one for the whole fleet. Divided over the nodes that send, each part is a few repeats in
//! ten seconds, and most of it is never used where no request fails. Beside the backend servers are
//! fewer and greater parts, each arrival is seen there whoever sent it, and no message more is needed.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::ServiceName;
use sycamorelink_limits::{BudgetPart, BudgetSettings, HolderCount, RetryBudget, WorkId};
use sycamorelink_policy::{OpenWork, PolicyMechanism};

use crate::budgets::percent_of;
use crate::event::{ArrivalKind, WorkOffer};
use crate::node::NodeEngine;
use crate::request::WorkPhase;

/// Part of the bound that repeats of work which makes calls may use, in percent. What their calls take from
/// the bound of the called service is an estimate, and that service has repeats of its own: a call that
/// fails is cheaper to repeat than the run that makes it.
const CALLING_PERCENT: u32 = 75;

/// Minimum time for which a server that is no longer known still counts as a holder of the bound, because
/// the other side of a partition continues to use its parts. Longer than most partitions.
const HOLDER_RETENTION: Duration = Duration::from_mins(5);
/// Interval at which holders are counted when there are no requests.
const HOLDER_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Repeats that a backend server may be handed.
#[derive(Debug)]
pub(crate) struct RepeatPots {
    /// Of all work.
    all: RetryBudget,
    /// Of work that makes calls, which takes from both.
    calling: RetryBudget,
}

/// A backend server's part of the bound on repeats when a repeat is decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatBudgetView {
    /// Servers among which the bound is divided: the recent maximum in this node's roster.
    pub servers: usize,
    /// Whole repeats left at the server.
    pub left: u64,
}

impl RepeatPots {
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
    /// Whether repeats are counted beside the backend servers.
    pub(crate) fn counts_repeats_beside(&self) -> bool {
        self.has_fleet_form() && self.settings.policy.is_on(PolicyMechanism::BesideBudget)
    }

    /// Takes a repeat from the pot of the server that it is for; false when none is left.
    ///
    /// Failure: repeats are counted when the server is handed them, several wait for a slot at the
    /// same time on the word that one is left, and the fleet goes beyond its bound. What waits has
    /// taken its part, and gives it back when it is not handed on.
    ///
    /// Failure: most of a service's requests are bookings, which are never repeated, and all of the bound is
    /// used for look-ups. Each of these calls a smaller service, and the calls of the repeated ones alone go
    /// beyond what that one may be repeated. So work that makes calls has a second pot, to which only such
    /// work adds: the calls of its repeats are then as small a part of all calls.
    pub(crate) fn take_repeat(&mut self, now: Duration, slot: u16, kind: u64) -> bool {
        if !self.counts_repeats_beside() {
            return true;
        }
        let calls = self.call_rates.makes_calls(kind);
        let Some(pots) = self.pots(now, slot) else {
            return true;
        };
        if calls && !pots.calling.withdraw(now) {
            return false;
        }
        let taken = pots.all.withdraw(now);
        if calls && !taken {
            pots.calling.refund(now);
        }
        taken
    }

    /// State of the bound on repeats at the offered server; none unless the offer is a repeat
    /// counted there.
    pub(crate) fn repeat_budget_view(
        &mut self,
        now: Duration,
        offer: &WorkOffer,
    ) -> Option<RepeatBudgetView> {
        if offer.arrival != ArrivalKind::Repeat || !self.counts_repeats_beside() {
            return None;
        }
        let servers = self.count_holders(now, &offer.service);
        let left = self.pots(now, offer.slot)?.all.balance(now);
        Some(RepeatBudgetView { servers, left })
    }

    /// Gives back what work took that is not handed to its server.
    pub(crate) fn return_repeat(&mut self, now: Duration, work: WorkId) {
        let state = self.works.get(&work);
        let unused = state.filter(|state| {
            state.offer.arrival == ArrivalKind::Repeat && state.phase != WorkPhase::Running
        });
        let Some((slot, kind)) = unused.map(|state| (state.offer.slot, state.offer.kind)) else {
            return;
        };
        let calls = self.call_rates.makes_calls(kind);
        if self.counts_repeats_beside()
            && let Some(pots) = self.pots(now, slot)
        {
            pots.all.refund(now);
            if calls {
                pots.calling.refund(now);
            }
        }
    }

    /// Counts a request that is handed to a backend server of this node. A repeat was withdrawn on arrival;
    /// its window restarts here, since it may have waited for a slot.
    pub(crate) fn count_arrival(&mut self, now: Duration, work: WorkId) {
        let Some(offer) = self.works.get(&work).map(|state| &state.offer) else {
            return;
        };
        let (slot, arrival, kind) = (offer.slot, offer.arrival, offer.kind);
        if !self.counts_repeats_beside() {
            return;
        }
        let calls = self.call_rates.makes_calls(kind);
        let Some(pots) = self.pots(now, slot) else {
            return;
        };
        if arrival == ArrivalKind::Repeat {
            pots.all.restart_withdrawal(now);
            if calls {
                pots.calling.restart_withdrawal(now);
            }
            return;
        }
        pots.all.deposit(now);
        if calls {
            pots.calling.deposit(now);
        }
        if arrival == ArrivalKind::CalledByRepeat {
            pots.all.charge(now);
        }
    }

    /// How the first arrival of a request that begins here counts: some are taken for those that
    /// repeated runs make.
    ///
    /// Failure: a large service calls a small one. Its repeated runs call once more, those calls count as
    /// repeats of the small service, and together with that service's own they go beyond its bound. Nothing
    /// in a call tells which run makes it, so of the requests to other services that begin beside a server
    /// as many are charged as of its runs of such work are repeats: on average what is owed, and rather
    /// more, since callers of this node are among them where they bring no key of an account.
    pub(crate) fn first_arrival(&mut self, service: &ServiceName, keyed: bool) -> ArrivalKind {
        if !self.counts_repeats_beside() || self.runs(service) || keyed {
            return ArrivalKind::First;
        }
        let running = self.works.values();
        let running = running.filter(|state| state.phase == WorkPhase::Running);
        let open: Vec<OpenWork> = running
            .map(|state| OpenWork {
                kind: state.offer.kind,
                repeat: state.offer.arrival == ArrivalKind::Repeat,
            })
            .collect();
        let by_repeats = self.call_rates.called(&open);
        if by_repeats > 0.0 && self.fleet.random.random::<f64>() < by_repeats {
            ArrivalKind::CalledByRepeat
        } else {
            ArrivalKind::First
        }
    }

    /// The pots of a backend server, with its part of what the service may be repeated besides.
    fn pots(&mut self, now: Duration, slot: u16) -> Option<&mut RepeatPots> {
        let service = self.upstreams.get(&slot)?.announced.service.clone();
        let part = self.part_of(now, &service);
        let (contract, _) = self.fleet.known.as_ref()?;
        let settings = BudgetSettings {
            percent: percent_of(contract.retry_budget.share),
            minimum_per_second: 0,
            ..BudgetSettings::default()
        };
        let upstream = self.upstreams.get_mut(&slot)?;
        let pots = upstream
            .repeats
            .get_or_insert_with(|| RepeatPots::new(&settings));
        pots.all.set_part(part);
        // Failure: what each service may be repeated besides its share is used for its own repeats and, once
        // more, by calls that another service repeats. Half of it is for those.
        pots.calling.set_part(BudgetPart {
            slack: part.slack / 2,
            ..part
        });
        Some(pots)
    }

    /// This server's part of the bound. What has to be left for a repeat is drawn anew from time to time,
    /// so that parts below one add up to the bound as well.
    fn part_of(&mut self, now: Duration, service: &ServiceName) -> BudgetPart {
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

    /// Counts the holders for each service with a backend server at this node, so that the retained maximum
    /// does not depend on requests.
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
