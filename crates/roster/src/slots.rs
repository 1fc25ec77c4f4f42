//! Compact storage of one member's upstreams, sixteen bytes each.

use std::collections::BTreeMap;

use crate::digest::{combine, mix};
use crate::facts::UpstreamPhase;
use crate::message::SlotRun;
use crate::names::ServiceNumber;

/// One upstream of a member, or a tombstone of one that was removed.
///
/// The sequence is the member's own change counter, so within one incarnation the slot and the
/// sequence determine all other fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotEntry {
    pub(crate) slot: u16,
    pub(crate) slots: u16,
    pub(crate) sequence: u32,
    pub(crate) service: ServiceNumber,
    pub(crate) phase: UpstreamPhase,
}

impl SlotEntry {
    pub(crate) fn is_gone(&self) -> bool {
        self.service == ServiceNumber::GONE
    }

    fn hash(&self) -> u64 {
        combine(mix(u64::from(self.slot)), u64::from(self.sequence))
    }

    fn continues(&self, run: &SlotRun) -> bool {
        self.slot == run.first.wrapping_add(run.count)
            && self.slots == run.slots
            && self.phase == run.phase
            && self.sequence == run.sequence
    }
}

/// Slot entries sorted by slot, with a running hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotTable {
    entries: Vec<SlotEntry>,
    hash: u64,
}

impl SlotTable {
    pub(crate) const fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn get(&self, slot: u16) -> Option<&SlotEntry> {
        let index = self.find(slot).ok()?;
        self.entries.get(index)
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, SlotEntry> {
        self.entries.iter()
    }

    /// Stores an entry and returns the one it replaced.
    pub(crate) fn put(&mut self, entry: SlotEntry) -> Option<SlotEntry> {
        self.hash ^= entry.hash();
        match self.find(entry.slot) {
            Ok(index) => {
                let old = std::mem::replace(&mut self.entries[index], entry);
                self.hash ^= old.hash();
                Some(old)
            }
            Err(index) => {
                self.entries.insert(index, entry);
                None
            }
        }
    }

    fn find(&self, slot: u16) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&slot, |entry| entry.slot)
    }
}

/// Groups entries, sorted by slot, into runs by service.
pub(crate) fn slot_runs<'a, I>(entries: I) -> BTreeMap<ServiceNumber, Vec<SlotRun>>
where
    I: IntoIterator<Item = &'a SlotEntry>,
{
    let mut groups: BTreeMap<ServiceNumber, Vec<SlotRun>> = BTreeMap::new();
    for entry in entries {
        let runs = groups.entry(entry.service).or_default();
        match runs.last_mut() {
            Some(run) if entry.continues(run) => run.count += 1,
            _ => runs.push(SlotRun {
                first: entry.slot,
                count: 1,
                slots: entry.slots,
                phase: entry.phase,
                sequence: entry.sequence,
            }),
        }
    }
    groups
}
