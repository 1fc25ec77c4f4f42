//! Capacity floor: the capacity that ejections must leave in service.
//!
//! ```text
//!   floor         = share of the known slots
//!   serving slots = slots of ready upstreams that are neither ejected nor probing
//! ```
//!
//! The serving slots must not fall below the floor in the service as a whole, each failure domain
//! keeps a share of its own slots, and a minimum number of failure domains stays in service.
//!
//! Every node enforces the floor in its own view. Nodes that eject different upstreams at the same
//! time still leave each caller a full floor. The upstreams in use across the fleet are the union
//! of those that the nodes keep, so the fleet as a whole also stays above the floor.

use crate::facts::UpstreamPhase;
use crate::record::{ServiceState, UpstreamRecord};

/// Capacity of a service against its floor, as seen by one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloorStatus {
    /// Slots of all upstreams, in any phase.
    pub known_slots: u32,
    /// Slots that ejections must leave in service.
    pub floor_slots: u32,
    /// Upstreams that ejections must leave in service.
    pub floor_count: u32,
    /// Slots in service.
    pub serving_slots: u32,
    /// Upstreams in service.
    pub serving_count: u32,
    /// Upstreams that are ejected or probing.
    pub ejected_count: u32,
}

impl FloorStatus {
    /// Returns whether more capacity is in service than the floor requires.
    #[must_use]
    pub const fn above(&self) -> bool {
        self.serving_slots > self.floor_slots && self.serving_count > self.floor_count
    }

    /// Returns whether the capacity in service meets the floor.
    #[must_use]
    pub const fn kept(&self) -> bool {
        self.serving_slots >= self.floor_slots && self.serving_count >= self.floor_count
    }
}

/// Floor as set by the contract.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FloorRule {
    /// Share of all known slots, from 0 to 1.
    pub(crate) share: f64,
    /// Minimum number of upstreams.
    pub(crate) count: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct DomainSlots {
    known: u32,
    serving: u32,
}

/// Capacity in service, in total and by failure domain, at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct FloorLedger {
    pub(crate) status: FloorStatus,
    domains: Vec<DomainSlots>,
    domain_share: f64,
    domain_count: u32,
}

impl FloorLedger {
    /// Recounts all upstreams, reusing the allocated memory.
    pub(crate) fn recount<'a, I>(
        &mut self,
        rule: FloorRule,
        domain_share: f64,
        domain_count: u16,
        records: I,
    ) where
        I: Iterator<Item = &'a UpstreamRecord>,
    {
        self.status = FloorStatus::default();
        self.domains.clear();
        self.domain_share = domain_share;
        for record in records {
            self.count(record);
        }
        let populated = self.domains.iter().filter(|slots| slots.known > 0).count();
        let populated = u32::try_from(populated).unwrap_or(u32::MAX);
        self.domain_count = u32::from(domain_count).min(populated);
        self.status.floor_slots = slots_for_share(self.status.known_slots, rule.share);
        self.status.floor_count = rule.count.max(1);
    }

    fn count(&mut self, record: &UpstreamRecord) {
        let slots = u32::from(record.slots);
        if self.domains.len() <= record.domain_index {
            self.domains
                .resize(record.domain_index + 1, DomainSlots::default());
        }
        let domain = &mut self.domains[record.domain_index];
        domain.known += slots;
        self.status.known_slots += slots;
        if record.state != ServiceState::InService {
            self.status.ejected_count += 1;
        } else if record.phase == UpstreamPhase::Ready {
            domain.serving += slots;
            self.status.serving_slots += slots;
            self.status.serving_count += 1;
        }
    }

    /// Returns the slots in service above the floor.
    pub(crate) const fn spare_slots(&self) -> u32 {
        self.status
            .serving_slots
            .saturating_sub(self.status.floor_slots)
    }

    /// Returns whether the floor allows this upstream to be ejected now.
    pub(crate) fn may_eject(&self, record: &UpstreamRecord) -> bool {
        let slots = u32::from(record.slots);
        let Some(domain) = self.domains.get(record.domain_index) else {
            return false;
        };
        let service_floor_met = self.status.serving_slots >= self.status.floor_slots + slots
            && self.status.serving_count > self.status.floor_count;
        let left = domain.serving.saturating_sub(slots);
        let domain_floor_met = left >= slots_for_share(domain.known, self.domain_share);
        service_floor_met && domain_floor_met && (left > 0 || self.may_empty_domain())
    }

    /// Returns whether one more failure domain may go out of service entirely.
    fn may_empty_domain(&self) -> bool {
        let serving = self
            .domains
            .iter()
            .filter(|slots| slots.serving > 0)
            .count();
        u32::try_from(serving).unwrap_or(u32::MAX) > self.domain_count
    }

    /// Subtracts an upstream that is ejected.
    pub(crate) fn record_ejected(&mut self, record: &UpstreamRecord) {
        let slots = u32::from(record.slots);
        self.status.serving_slots = self.status.serving_slots.saturating_sub(slots);
        self.status.serving_count = self.status.serving_count.saturating_sub(1);
        self.status.ejected_count += 1;
        if let Some(domain) = self.domains.get_mut(record.domain_index) {
            domain.serving = domain.serving.saturating_sub(slots);
        }
    }

    /// Adds an upstream that returns to service.
    pub(crate) fn record_restored(&mut self, record: &UpstreamRecord) {
        let slots = u32::from(record.slots);
        self.status.serving_slots += slots;
        self.status.serving_count += 1;
        self.status.ejected_count = self.status.ejected_count.saturating_sub(1);
        if let Some(domain) = self.domains.get_mut(record.domain_index) {
            domain.serving += slots;
        }
    }
}

/// Returns a share of `slots`, rounded up.
fn slots_for_share(slots: u32, share: f64) -> u32 {
    let wanted = (f64::from(slots) * share.clamp(0.0, 1.0)).ceil();
    // The product is at most `slots`, so it fits.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by `slots` and never negative"
    )]
    let wanted = wanted as u32;
    wanted.min(slots)
}
