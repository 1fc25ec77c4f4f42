//! Table of suspected members, those that did not reply to observers.
//!
//! Only observers run a timer: a node that merely received a suspicion declares no death, so
//! missing the refutation does no harm there. The timer is shorter when other observers confirm the
//! suspicion.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::{InstanceId, NodeId};

use crate::settings::RosterSettings;

/// Maximum number of observers kept per suspicion. At the default settings three already give the
/// shortest timer.
const MAX_OBSERVERS: usize = 4;

/// A suspected member and its observers.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) instance: InstanceId,
    pub(crate) revision: u32,
    pub(crate) observers: BTreeSet<NodeId>,
    /// When this node first learned of the suspicion.
    pub(crate) since: Duration,
    /// When this node's own last probe of the member failed while helpers replied or there were
    /// none.
    pub(crate) probe_failed_at: Option<Duration>,
}

/// Suspicions by member.
#[derive(Debug, Default)]
pub(crate) struct SuspicionTable {
    suspicions: BTreeMap<NodeId, Suspicion>,
}

impl SuspicionTable {
    /// Adds observers. Returns the number known before for this incarnation and revision, or `None`
    /// if none of them is new.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        instance: InstanceId,
        revision: u32,
        observers: &[NodeId],
    ) -> Option<usize> {
        let suspicion = self
            .suspicions
            .entry(instance.node)
            .or_insert_with(|| Suspicion {
                instance,
                revision,
                observers: BTreeSet::new(),
                since: now,
                probe_failed_at: None,
            });
        if (suspicion.instance, suspicion.revision) != (instance, revision) {
            suspicion.instance = instance;
            suspicion.revision = revision;
            suspicion.observers.clear();
            suspicion.since = now;
            suspicion.probe_failed_at = None;
        }
        let before = suspicion.observers.len();
        for observer in observers {
            if suspicion.observers.len() < MAX_OBSERVERS {
                suspicion.observers.insert(*observer);
            }
        }
        (suspicion.observers.len() > before).then_some(before)
    }

    /// Records that this node's own probe of the member failed while helpers replied or there were
    /// none.
    pub(crate) fn record_failed_probe(&mut self, now: Duration, node: NodeId) {
        if let Some(suspicion) = self.suspicions.get_mut(&node) {
            suspicion.probe_failed_at = Some(now);
        }
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&Suspicion> {
        self.suspicions.get(&node)
    }

    pub(crate) fn remove(&mut self, node: NodeId) -> Option<Suspicion> {
        self.suspicions.remove(&node)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Suspicion> {
        self.suspicions.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Moves all start times forward by a pause of this process and requires new probes.
    pub(crate) fn postpone(&mut self, gap: Duration) {
        for suspicion in self.suspicions.values_mut() {
            suspicion.since += gap;
            suspicion.probe_failed_at = None;
        }
    }
}

/// Returns the time from suspicion to death with `confirmations` observers besides the first, of
/// which the fleet has at most `possible`.
pub(crate) fn suspicion_time(
    settings: &RosterSettings,
    confirmations: usize,
    possible: usize,
) -> Duration {
    let wanted = settings.confirmations.min(possible);
    if confirmations == 0 {
        return settings.suspicion_longest;
    }
    if confirmations >= wanted {
        return settings.suspicion_shortest;
    }
    let longest = settings.suspicion_longest;
    let range = longest.saturating_sub(settings.suspicion_shortest);
    let share = log_plus_one(confirmations) / log_plus_one(wanted);
    longest.saturating_sub(range.mul_f64(share))
}

fn log_plus_one(count: usize) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    (f64::from(count) + 1.0).ln()
}
