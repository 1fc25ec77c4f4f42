//! Holder side of the fleet-wide limits.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::active::ActiveCustomer;
use super::contract::ContractTable;
use super::message::{AskEntry, GrantEntry};
use super::view::RosterView;
use super::{Admission, CustomerIndex, ShareCommand, ShareSettings};

/// Interval at which every customer in use is planned.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Marks a customer that is not in use.
const NOT_IN_USE: u32 = u32::MAX;

/// Rights of this node under each contract.
///
/// A customer that is not in use takes four bytes.
#[derive(Debug)]
pub struct CustomerShare {
    own: InstanceId,
    settings: ShareSettings,
    slots: Vec<u32>,
    active: Vec<Option<ActiveCustomer>>,
    free_entries: Vec<u32>,
    urgent: Vec<u32>,
    number: u32,
    last_scan_at: Duration,
}

impl CustomerShare {
    /// Creates a holder without contracts.
    #[must_use]
    pub fn new(own: InstanceId, settings: ShareSettings) -> Self {
        Self {
            own,
            settings,
            slots: Vec::new(),
            active: Vec::new(),
            free_entries: Vec::new(),
            urgent: Vec::new(),
            number: 0,
            last_scan_at: Duration::ZERO,
        }
    }

    /// Reserves an entry for a dense number.
    pub(super) fn reserve(&mut self, index: CustomerIndex) {
        let slot = index.0 as usize;
        if self.slots.len() <= slot {
            self.slots.resize(slot + 1, NOT_IN_USE);
        }
    }

    /// Returns the number of customers in use.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.active.len() - self.free_entries.len()
    }

    fn get(&self, index: CustomerIndex) -> Option<&ActiveCustomer> {
        let slot = *self.slots.get(index.0 as usize)?;
        self.active.get(slot as usize)?.as_ref()
    }

    fn get_mut(&mut self, index: CustomerIndex) -> Option<&mut ActiveCustomer> {
        let slot = *self.slots.get(index.0 as usize)?;
        self.active.get_mut(slot as usize)?.as_mut()
    }

    /// Returns the rate in force, in thousandths of a request per second.
    #[must_use]
    pub fn rate(&self, now: Duration, index: CustomerIndex) -> u64 {
        self.get(index)
            .filter(|active| now < active.rights_end())
            .map_or(0, ActiveCustomer::rate)
    }

    /// Returns the slots in force.
    #[must_use]
    pub fn slots(&self, now: Duration, index: CustomerIndex) -> u32 {
        self.get(index)
            .filter(|active| now < active.rights_end())
            .map_or(0, ActiveCustomer::slots)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn in_flight(&self, index: CustomerIndex) -> u32 {
        self.get(index).map_or(0, ActiveCustomer::in_flight)
    }

    /// Decides on one request. `again` means that the request has waited.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        index: CustomerIndex,
        again: bool,
        contracts: &ContractTable,
        view: &RosterView,
    ) -> Admission {
        let Some(slot) = self.activate(now, index, contracts, view) else {
            return Admission::Refused {
                retry_after: self.settings.lease,
            };
        };
        let Some(active) = self.active[slot as usize].as_mut() else {
            return Admission::Refused {
                retry_after: self.settings.lease,
            };
        };
        if now >= active.rights_end() {
            active.update_rights(now, view, &self.settings);
        }
        let admission = active.admit(now, &self.settings, again);
        if admission != Admission::Admitted && !active.is_urgent {
            active.is_urgent = true;
            self.urgent.push(slot);
        }
        admission
    }

    fn activate(
        &mut self,
        now: Duration,
        index: CustomerIndex,
        contracts: &ContractTable,
        view: &RosterView,
    ) -> Option<u32> {
        let slot = *self.slots.get(index.0 as usize)?;
        if slot != NOT_IN_USE {
            return Some(slot);
        }
        let mut active = ActiveCustomer::new(now, index, contracts.row(index)?);
        let interval = self.settings.ask_interval;
        active.update_keepers(view, self.own.node.0, false, interval);
        active.update_rights(now, view, &self.settings);
        let slot = self.insert(active);
        self.slots[index.0 as usize] = slot;
        Some(slot)
    }

    fn insert(&mut self, active: ActiveCustomer) -> u32 {
        if let Some(slot) = self.free_entries.pop() {
            self.active[slot as usize] = Some(active);
            return slot;
        }
        self.active.push(Some(active));
        u32::try_from(self.active.len() - 1).unwrap_or(NOT_IN_USE)
    }

    /// Frees the slot of an admitted request.
    pub(super) fn finished(&mut self, now: Duration, index: CustomerIndex) {
        if let Some(active) = self.get_mut(index) {
            active.finished(now);
        }
    }

    /// Applies an amended or withdrawn contract.
    pub(super) fn amend(
        &mut self,
        now: Duration,
        index: CustomerIndex,
        contracts: &ContractTable,
        view: &RosterView,
    ) {
        let settings = self.settings.clone();
        let Some(active) = self.get_mut(index) else {
            return;
        };
        match contracts.row(index) {
            Some(limit) => active.set_limit(limit),
            None => active.drop_leases(),
        }
        active.update_rights(now, view, &settings);
    }

    /// Drops leases that the roster in force no longer supports, or all leases if `drop_all` is
    /// set.
    pub(super) fn follow_roster(&mut self, now: Duration, view: &RosterView, drop_all: bool) {
        for active in self.active.iter_mut().flatten() {
            let interval = self.settings.ask_interval;
            active.update_keepers(view, self.own.node.0, drop_all, interval);
            active.update_rights(now, view, &self.settings);
        }
    }

    /// Drops every lease.
    pub(super) fn drop_leases(&mut self, now: Duration, view: &RosterView) {
        for active in self.active.iter_mut().flatten() {
            active.drop_leases();
            active.update_rights(now, view, &self.settings);
        }
    }

    /// Applies grants from a keeper.
    pub(super) fn apply_grants(
        &mut self,
        now: Duration,
        from: InstanceId,
        grants: &[GrantEntry],
        contracts: &ContractTable,
        view: &RosterView,
        out: &mut Vec<ShareCommand>,
    ) {
        let settings = self.settings.clone();
        for grant in grants {
            let Some(index) = contracts.index_of(grant.customer) else {
                continue;
            };
            let Some(slot) = self.slots.get(index.0 as usize).copied() else {
                continue;
            };
            let Some(active) = self.active.get_mut(slot as usize).and_then(Option::as_mut) else {
                continue;
            };
            let waiting = active.apply_grant(now, from, grant, settings.burst);
            active.update_rights(now, view, &settings);
            if waiting {
                out.push(ShareCommand::Ready { index });
            }
            if !active.is_urgent {
                active.is_urgent = true;
                self.urgent.push(slot);
            }
        }
    }

    /// Builds the asks that are due, grouped by keeper.
    pub(super) fn plan(
        &mut self,
        now: Duration,
        view: &RosterView,
        asks: &mut BTreeMap<InstanceId, Vec<AskEntry>>,
    ) {
        let urgent = std::mem::take(&mut self.urgent);
        for slot in &urgent {
            self.plan_one(now, *slot, view, asks);
        }
        self.urgent = urgent;
        self.urgent.clear();
        if now < self.last_scan_at + SCAN_INTERVAL {
            return;
        }
        self.last_scan_at = now;
        for slot in 0..u32::try_from(self.active.len()).unwrap_or(NOT_IN_USE) {
            self.plan_one(now, slot, view, asks);
            self.remove_unused(now, slot);
        }
    }

    fn plan_one(
        &mut self,
        now: Duration,
        slot: u32,
        view: &RosterView,
        asks: &mut BTreeMap<InstanceId, Vec<AskEntry>>,
    ) {
        let Some(active) = self.active.get_mut(slot as usize).and_then(Option::as_mut) else {
            return;
        };
        active.is_urgent = false;
        if !view.may_hold(now) {
            return;
        }
        let mut asked = false;
        active.plan(now, &self.settings, &mut self.number, |place, entry| {
            asked = true;
            asks.entry(place.keeper).or_default().push(entry);
        });
        if asked || now >= active.rights_end() {
            active.update_rights(now, view, &self.settings);
        }
    }

    fn remove_unused(&mut self, now: Duration, slot: u32) {
        let entry = &mut self.active[slot as usize];
        let Some(active) = entry.as_ref().filter(|active| active.is_removable(now)) else {
            return;
        };
        self.slots[active.index().0 as usize] = NOT_IN_USE;
        *entry = None;
        self.free_entries.push(slot);
    }
}
