//! Keeper side of the fleet-wide limits.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::ShareSettings;
use super::contract::ContractTable;
use super::message::{AskEntry, GrantEntry};
use super::pool::{LeasePool, PoolOffer};
use super::view::RosterView;

/// Interval at which pools without leases are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a holder may ask again when it got nothing.
const REFUSED_ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Units that this node keeps for customers. Only pools with leases take memory.
#[derive(Debug)]
pub struct ShareKeeper {
    settings: ShareSettings,
    pools: BTreeMap<(u64, u8), LeasePool>,
    last_sweep_at: Duration,
}

impl ShareKeeper {
    /// Creates a keeper without units.
    #[must_use]
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            pools: BTreeMap::new(),
            last_sweep_at: Duration::ZERO,
        }
    }

    /// Returns the number of pools with leases.
    #[must_use]
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Returns the number of leases in all pools.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.pools.values().map(LeasePool::holder_count).sum()
    }

    /// Answers an ask. Returns `None` if the ask is outdated.
    ///
    /// A holder that the roster does not list gets nothing, because no node would wait for it to
    /// drop the lease when the keeper changes.
    ///
    /// A holder whose roster has different failure domains gets nothing either. It may skip a
    /// roster in which a domain was missing and this keeper had its units. Its domains before and
    /// after are then the same, so it would keep its lease on those units while the domain's new
    /// keeper leases them again. A holder drops all leases when its layout changes, so the layouts
    /// need to be equal only when a lease is granted.
    pub(super) fn on_ask(
        &mut self,
        now: Duration,
        from: InstanceId,
        layout: u32,
        ask: &AskEntry,
        contracts: &ContractTable,
        view: &RosterView,
    ) -> Option<GrantEntry> {
        let is_listed = view.ring().is_some_and(|ring| ring.contains(from));
        let layouts_agree = is_listed && layout == view.layout();
        let limit = contracts.row_of(ask.customer).filter(|_| layouts_agree);
        let Some(limit) = limit else {
            return Some(empty_grant(ask));
        };
        let size = view.pool_size(now, limit, ask.place);
        let pool = self
            .pools
            .entry((ask.customer, ask.place))
            .or_insert_with(|| LeasePool::new(view.kept_since(now, limit, ask.place), size));
        let offer = PoolOffer {
            size,
            whole: view.whole_size(limit),
        };
        pool.answer(now, from, ask, offer, &self.settings)
    }

    /// Ends expired leases and removes pools without leases.
    pub(super) fn tick(&mut self, now: Duration, contracts: &ContractTable, view: &RosterView) {
        if now >= self.last_sweep_at + SWEEP_INTERVAL {
            self.sweep(now, contracts, view);
        }
    }

    /// Applies a new roster. A member that is no longer listed has certainly stopped, so its leases
    /// are free immediately.
    pub(super) fn follow_roster(
        &mut self,
        now: Duration,
        contracts: &ContractTable,
        view: &RosterView,
    ) {
        if let Some(ring) = view.ring() {
            for pool in self.pools.values_mut() {
                pool.retain_holders(now, |holder| ring.contains(holder));
            }
        }
        self.sweep(now, contracts, view);
    }

    /// Applies the contracts and the roster in force to all pools.
    fn sweep(&mut self, now: Duration, contracts: &ContractTable, view: &RosterView) {
        self.last_sweep_at = now;
        let burst = self.settings.burst;
        self.pools.retain(|(customer, place), pool| {
            pool.expire(now);
            let Some(limit) = contracts.row_of(*customer) else {
                return pool.holder_count() > 0;
            };
            pool.accrue(now, view.pool_size(now, limit, *place), burst);
            !pool.is_removable()
        });
    }
}

fn empty_grant(ask: &AskEntry) -> GrantEntry {
    GrantEntry {
        customer: ask.customer,
        place: ask.place,
        number: ask.number,
        rate: 0,
        slots: 0,
        tokens: 0,
        lease_ms: 0,
        renew_ms: u32::try_from(REFUSED_ASK_INTERVAL.as_millis()).unwrap_or(u32::MAX),
        pause_ms: u32::try_from(REFUSED_ASK_INTERVAL.as_millis()).unwrap_or(u32::MAX),
    }
}
