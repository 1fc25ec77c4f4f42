//! Lifecycle of a suspicion, from the first report to death or refutation.

use std::collections::BTreeSet;

use sycamorelink_core::{InstanceId, NodeId};

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::event::RosterNote;
use crate::facts::MemberStanding;
use crate::message::MessagePurpose;
use crate::queue::RumourSubject;
use crate::suspicion::{Suspicion, suspicion_time};

/// Multiple of the longest suspicion time for which suspicions without an own failed probe are
/// kept.
const UNVERIFIED_RETENTION: u32 = 3;

enum SuspicionOutcome {
    Pending,
    Expired,
    Cleared,
    Dead,
}

impl NodeRoster {
    /// Handles a suspicion received from a peer.
    pub(super) fn receive_suspicion(
        &mut self,
        context: &mut RosterContext<'_>,
        sender: NodeId,
        instance: InstanceId,
        revision: u32,
        observers: &[NodeId],
    ) {
        self.correct_stale_peer(context, sender, instance, revision);
        self.add_suspicion(context, instance, revision, observers);
    }

    /// Sends the current standing to a peer that still spreads an older revision. Without this, a
    /// peer that missed a refutation in heavy packet loss could remove a living member on its own.
    pub(super) fn correct_stale_peer(
        &mut self,
        context: &mut RosterContext<'_>,
        peer: NodeId,
        instance: InstanceId,
        revision: u32,
    ) {
        let known = self.table.get(instance.node);
        let behind = known.is_some_and(|entry| {
            entry.instance() == instance && entry.is_present() && revision < entry.revision
        });
        let Some(to) = self.address(peer).filter(|_| behind) else {
            return;
        };
        let rumours = self.standing_rumour(instance.node).into_iter().collect();
        let purpose = MessagePurpose::Gossip;
        self.send(context, SendClass::Death, to, purpose, rumours);
    }

    /// Merges a suspicion, from an own failed probe or reported by peers.
    pub(super) fn add_suspicion(
        &mut self,
        context: &mut RosterContext<'_>,
        instance: InstanceId,
        revision: u32,
        observers: &[NodeId],
    ) {
        if instance.node == self.own_node {
            if instance == self.own_instance() {
                self.refute(context, revision);
            }
            return;
        }
        let Some(entry) = self.table.get(instance.node) else {
            return;
        };
        if entry.instance() != instance || revision < entry.revision || !entry.is_present() {
            return;
        }
        let Some(known) = self
            .suspicions
            .add(context.now, instance, revision, observers)
        else {
            return;
        };
        context.note(RosterNote::Suspected {
            instance,
            observers: observers.len(),
        });
        if known < self.settings.confirmations + 1 {
            let subject = RumourSubject::Suspect(instance.node);
            self.enqueue(context, SendClass::Death, subject);
        }
    }

    /// Ends suspicions whose time has run out.
    pub(super) fn resolve_suspicions(&mut self, context: &mut RosterContext<'_>) {
        if self.suspicions.len() == 0 {
            return;
        }
        let outcomes: Vec<(InstanceId, SuspicionOutcome)> = self
            .suspicions
            .iter()
            .map(|suspicion| {
                (
                    suspicion.instance,
                    self.evaluate_suspicion(context, suspicion),
                )
            })
            .collect();
        for (instance, outcome) in outcomes {
            match outcome {
                SuspicionOutcome::Pending => {}
                SuspicionOutcome::Expired => {
                    self.suspicions.remove(instance.node);
                }
                SuspicionOutcome::Cleared => {
                    self.suspicions.remove(instance.node);
                    context.note(RosterNote::Cleared { instance });
                }
                SuspicionOutcome::Dead => self.declare_dead(context, instance),
            }
        }
    }

    fn evaluate_suspicion(
        &self,
        context: &RosterContext<'_>,
        suspicion: &Suspicion,
    ) -> SuspicionOutcome {
        let age = context.now.saturating_sub(suspicion.since);
        if !suspicion.observers.contains(&self.own_node) {
            let retention = self.settings.suspicion_longest * UNVERIFIED_RETENTION;
            return if age >= retention {
                SuspicionOutcome::Expired
            } else {
                SuspicionOutcome::Pending
            };
        }
        let confirmations = self.confirmations(suspicion);
        let possible = self.probe_order.len().saturating_sub(1);
        let time = suspicion_time(&self.settings, confirmations, possible);
        if age < self.health.scale(time) {
            return SuspicionOutcome::Pending;
        }
        let entry = self.table.get(suspicion.instance.node);
        let last_contact = entry.and_then(|entry| entry.last_contact);
        if last_contact.is_some_and(|at| at > suspicion.since) {
            return SuspicionOutcome::Cleared;
        }
        if self.has_recent_failed_probe(context, suspicion) {
            SuspicionOutcome::Dead
        } else {
            SuspicionOutcome::Pending
        }
    }

    /// Returns the number of observers besides the first. Observers that are all in one failure
    /// domain do not confirm each other if the fleet has other domains, because their domain may be
    /// cut off.
    fn confirmations(&self, suspicion: &Suspicion) -> usize {
        let domains: BTreeSet<_> = suspicion
            .observers
            .iter()
            .filter_map(|node| self.table.get(*node))
            .map(|entry| &entry.facts.domain)
            .collect();
        if domains.len() < 2 && self.table.domain_count() >= 2 {
            return 0;
        }
        suspicion.observers.len().saturating_sub(1)
    }

    /// Returns whether this node's own last probe of the member is recent and failed while other
    /// nodes replied. A node that is cut off during a suspicion misses the refutation and would
    /// remove a living member; a recent probe shows that others could have forwarded it.
    fn has_recent_failed_probe(&self, context: &RosterContext<'_>, suspicion: &Suspicion) -> bool {
        let settings = &self.settings;
        let probe = settings.probe_timeout + settings.helper_timeout;
        let window = self.health.scale(settings.probe_interval + probe);
        suspicion
            .probe_failed_at
            .is_some_and(|at| context.now.saturating_sub(at) < window)
    }

    fn declare_dead(&mut self, context: &mut RosterContext<'_>, instance: InstanceId) {
        let Some(entry) = self.table.get(instance.node) else {
            return;
        };
        let revision = entry.revision;
        self.change_standing(context, instance.node, revision, MemberStanding::Dead);
    }
}
