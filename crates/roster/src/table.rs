//! Table of all members, with the digest and the index by service kept up to date.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{DomainName, InstanceId, NodeId, UpstreamId};

use crate::digest::{DigestTable, bucket_range, member_hash};
use crate::facts::{MemberFacts, MemberStanding, MemberView, UpstreamFacts, UpstreamPhase};
use crate::names::{LocationNames, ServiceNames, ServiceNumber};
use crate::slots::{SlotEntry, SlotTable};

/// Consecutive unanswered direct probes that make a member unreachable from this node.
const UNREACHABLE_MISSES: u8 = 2;

/// State of one member.
#[derive(Debug)]
pub(crate) struct MemberEntry {
    pub(crate) facts: MemberFacts,
    pub(crate) revision: u32,
    pub(crate) standing: MemberStanding,
    pub(crate) slots: SlotTable,
    /// Last direct contact with the member.
    pub(crate) last_contact: Option<Duration>,
    /// Last time this node sent the member a rumour about itself.
    pub(crate) corrected_at: Option<Duration>,
    /// Last change of the standing.
    pub(crate) changed_at: Duration,
    /// Consecutive unanswered direct probes.
    pub(crate) misses: u8,
    /// Whether the member announced that it is still joining, so that it has little state to offer.
    pub(crate) joining: bool,
}

impl MemberEntry {
    pub(crate) const fn instance(&self) -> InstanceId {
        self.facts.instance
    }

    pub(crate) const fn is_present(&self) -> bool {
        self.standing.is_present()
    }

    pub(crate) const fn is_reachable(&self) -> bool {
        self.misses < UNREACHABLE_MISSES
    }

    pub(crate) fn view(&self) -> MemberView {
        MemberView {
            facts: self.facts.clone(),
            standing: self.standing,
            reachable: self.is_reachable(),
        }
    }

    /// Returns whether the last direct contact is no longer than `window` ago.
    pub(crate) fn contacted_within(&self, now: Duration, window: Duration) -> bool {
        self.last_contact
            .is_some_and(|at| now.saturating_sub(at) <= window)
    }

    /// Returns the digest hash; zero for members that are not present.
    pub(crate) fn hash(&self) -> u32 {
        if !self.is_present() {
            return 0;
        }
        let InstanceId { node, incarnation } = self.facts.instance;
        let slots = self.slots.hash();
        member_hash(node, incarnation.0, self.revision, self.standing, slots)
    }
}

/// All members, present and removed.
#[derive(Debug)]
pub(crate) struct MemberTable {
    members: BTreeMap<NodeId, MemberEntry>,
    digest: DigestTable,
    services: ServiceNames,
    locations: LocationNames,
    by_service: Vec<Vec<UpstreamId>>,
    domains: BTreeMap<DomainName, usize>,
}

impl MemberTable {
    pub(crate) fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            digest: DigestTable::new(),
            services: ServiceNames::default(),
            locations: LocationNames::default(),
            by_service: Vec::new(),
            domains: BTreeMap::new(),
        }
    }

    pub(crate) const fn digest(&self) -> &DigestTable {
        &self.digest
    }

    pub(crate) fn services(&mut self) -> &mut ServiceNames {
        &mut self.services
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&MemberEntry> {
        self.members.get(&node)
    }

    /// Returns an entry for changes to fields that neither the digest nor the index depends on.
    pub(crate) fn get_mut(&mut self, node: NodeId) -> Option<&mut MemberEntry> {
        self.members.get_mut(&node)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    pub(crate) fn bucket(&self, bucket: usize) -> impl Iterator<Item = &MemberEntry> {
        let (first, last) = bucket_range(bucket);
        self.members
            .range(first..=last)
            .map(|(_, entry)| entry)
            .filter(|entry| entry.is_present())
    }

    /// Returns the number of failure domains with a present member.
    pub(crate) fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Inserts a member and replaces any earlier incarnation.
    pub(crate) fn insert(
        &mut self,
        now: Duration,
        mut facts: MemberFacts,
        revision: u32,
        standing: MemberStanding,
    ) {
        let node = facts.instance.node;
        self.remove(node);
        facts.domain = self.locations.domain(&facts.domain);
        facts.region = self.locations.region(&facts.region);
        let entry = MemberEntry {
            facts,
            revision,
            standing,
            slots: SlotTable::default(),
            last_contact: None,
            corrected_at: None,
            changed_at: now,
            misses: 0,
            joining: false,
        };
        self.add_to_totals(&entry);
        self.members.insert(node, entry);
    }

    /// Removes a member and its upstreams.
    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(entry) = self.members.remove(&node) else {
            return;
        };
        self.remove_from_totals(&entry);
        for slot in entry.slots.iter() {
            unindex_slot(&mut self.by_service, node, slot);
        }
    }

    /// Sets the revision and standing of a member.
    pub(crate) fn set_standing(
        &mut self,
        now: Duration,
        node: NodeId,
        revision: u32,
        standing: MemberStanding,
    ) {
        let Some(mut entry) = self.members.remove(&node) else {
            return;
        };
        self.remove_from_totals(&entry);
        entry.revision = revision;
        entry.standing = standing;
        entry.changed_at = now;
        self.add_to_totals(&entry);
        self.members.insert(node, entry);
    }

    /// Stores a slot entry if its sequence is greater than the current one's.
    pub(crate) fn put_slot(&mut self, node: NodeId, slot: SlotEntry) -> SlotChange {
        let Some(entry) = self.members.get_mut(&node) else {
            return SlotChange::Stale;
        };
        if entry
            .slots
            .get(slot.slot)
            .is_some_and(|old| old.sequence >= slot.sequence)
        {
            return SlotChange::Stale;
        }
        self.replace_slot(node, slot)
    }

    /// Stores a slot entry regardless of its sequence.
    pub(crate) fn replace_slot(&mut self, node: NodeId, slot: SlotEntry) -> SlotChange {
        let Some(entry) = self.members.get_mut(&node) else {
            return SlotChange::Stale;
        };
        self.digest.toggle(node, entry.hash());
        let old = entry.slots.put(slot);
        self.digest.toggle(node, entry.hash());
        if let Some(old) = &old {
            unindex_slot(&mut self.by_service, node, old);
        }
        self.index_slot(node, &slot);
        SlotChange::Stored(old)
    }

    /// Returns the facts of an upstream, or `None` if the upstream or its member is gone. Upstreams
    /// of a leaving member count as leaving.
    pub(crate) fn upstream_facts(
        &self,
        entry: &MemberEntry,
        slot: &SlotEntry,
    ) -> Option<UpstreamFacts> {
        if !entry.is_present() {
            return None;
        }
        let service = self.services.name(slot.service)?.clone();
        let leaving = entry.standing == MemberStanding::Leaving;
        let phase = if leaving {
            UpstreamPhase::Leaving
        } else {
            slot.phase
        };
        Some(UpstreamFacts {
            service,
            slots: slot.slots,
            phase,
        })
    }

    pub(crate) fn service_name(
        &self,
        number: ServiceNumber,
    ) -> Option<&sycamorelink_core::ServiceName> {
        self.services.name(number)
    }

    /// Returns the upstreams of a service on present members.
    pub(crate) fn upstreams(&self, service: &str) -> Vec<(UpstreamId, UpstreamFacts)> {
        let listed = self
            .services
            .number(service)
            .and_then(|number| self.by_service.get(number.index()));
        let Some(listed) = listed else {
            return Vec::new();
        };
        listed
            .iter()
            .filter_map(|id| {
                let entry = self.members.get(&id.node)?;
                let slot = entry.slots.get(id.slot)?;
                let facts = self.upstream_facts(entry, slot)?;
                Some((*id, facts))
            })
            .collect()
    }

    fn add_to_totals(&mut self, entry: &MemberEntry) {
        self.digest.toggle(entry.instance().node, entry.hash());
        if entry.is_present() {
            *self.domains.entry(entry.facts.domain.clone()).or_default() += 1;
        }
    }

    fn remove_from_totals(&mut self, entry: &MemberEntry) {
        self.digest.toggle(entry.instance().node, entry.hash());
        if !entry.is_present() {
            return;
        }
        if let Some(count) = self.domains.get_mut(&entry.facts.domain) {
            *count -= 1;
            if *count == 0 {
                self.domains.remove(&entry.facts.domain);
            }
        }
    }

    fn index_slot(&mut self, node: NodeId, slot: &SlotEntry) {
        if slot.is_gone() {
            return;
        }
        let index = slot.service.index();
        if self.by_service.len() <= index {
            self.by_service.resize_with(index + 1, Vec::new);
        }
        let id = UpstreamId {
            node,
            slot: slot.slot,
        };
        let listed = &mut self.by_service[index];
        if let Err(index) = listed.binary_search(&id) {
            listed.insert(index, id);
        }
    }
}

/// Result of storing a slot entry.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SlotChange {
    /// Not stored: the current entry is as new, or the member is unknown.
    Stale,
    /// Stored; holds the replaced entry.
    Stored(Option<SlotEntry>),
}

fn unindex_slot(by_service: &mut [Vec<UpstreamId>], node: NodeId, slot: &SlotEntry) {
    let id = UpstreamId {
        node,
        slot: slot.slot,
    };
    let Some(listed) = by_service.get_mut(slot.service.index()) else {
        return;
    };
    if let Ok(index) = listed.binary_search(&id) {
        listed.remove(index);
    }
}
