//! This node's own state: upstreams, standing, published updates and refutations.

use std::net::SocketAddr;

use sycamorelink_core::{InstanceId, NodeIncarnation, UpstreamId};

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::event::{RosterCommand, RosterNote};
use crate::facts::{MemberFacts, MemberStanding, UpstreamFacts, UpstreamPhase};
use crate::message::{MemberRumour, TopicHead};
use crate::names::ServiceNumber;
use crate::queue::RumourSubject;
use crate::slots::SlotEntry;
use crate::topic;

/// Longest service name that is announced, in bytes.
const MAX_SERVICE_NAME_BYTES: usize = 128;

impl NodeRoster {
    pub(super) fn set_upstream(
        &mut self,
        context: &mut RosterContext<'_>,
        slot: u16,
        facts: &UpstreamFacts,
    ) {
        let bytes = facts.service.as_str().len();
        if bytes > MAX_SERVICE_NAME_BYTES {
            context.note(RosterNote::ServiceNameTooLong { slot, bytes });
            return;
        }
        let service = self.table.services().intern(&facts.service);
        let leaving = facts.phase == UpstreamPhase::Leaving;
        self.store_own_slot(context, slot, service, facts.slots, facts.phase);
        if leaving {
            self.broadcast = true;
        }
    }

    pub(super) fn remove_upstream(&mut self, context: &mut RosterContext<'_>, slot: u16) {
        let known = self
            .own_entry()
            .and_then(|entry| entry.slots.get(slot))
            .is_some_and(|entry| !entry.is_gone());
        if known {
            self.store_own_slot(
                context,
                slot,
                ServiceNumber::GONE,
                0,
                UpstreamPhase::Leaving,
            );
            self.broadcast = true;
        }
    }

    /// Stores a change of an own slot. Changes that no peer has seen yet share one sequence, so
    /// that the upstreams of a starting node are sent as one run.
    fn store_own_slot(
        &mut self,
        context: &mut RosterContext<'_>,
        slot: u16,
        service: ServiceNumber,
        slots: u16,
        phase: UpstreamPhase,
    ) {
        let entry = SlotEntry {
            slot,
            slots,
            sequence: self.sequence.next(),
            service,
            phase,
        };
        self.store_slot(context, self.own_node, entry, true);
    }

    /// Marks this node as leaving.
    pub(super) fn leave(&mut self, context: &mut RosterContext<'_>) {
        self.set_own_standing(context, MemberStanding::Leaving);
    }

    /// Announces the departure at once. The node sends nothing afterwards.
    pub(super) fn depart(&mut self, context: &mut RosterContext<'_>) {
        self.set_own_standing(context, MemberStanding::Left);
        self.timers.gossip = context.now;
        self.gossip_round(context);
    }

    fn set_own_standing(&mut self, context: &mut RosterContext<'_>, standing: MemberStanding) {
        let Some((revision, before)) = self.own_entry().map(|e| (e.revision, e.standing)) else {
            return;
        };
        if before >= standing {
            return;
        }
        self.table
            .set_standing(context.now, self.own_node, revision, standing);
        self.broadcast = true;
        self.enqueue(
            context,
            SendClass::Leave,
            RumourSubject::Standing(self.own_node),
        );
    }

    pub(super) fn has_departed(&self) -> bool {
        self.own_entry().is_some_and(|entry| !entry.is_present())
    }

    pub(super) fn own_entry(&self) -> Option<&crate::table::MemberEntry> {
        self.table.get(self.own_node)
    }

    pub(super) fn publish(
        &mut self,
        context: &mut RosterContext<'_>,
        topic: u8,
        key: u64,
        version: u64,
        body: Vec<u8>,
    ) {
        let bytes = body.len();
        if bytes > topic::MAX_BODY_BYTES {
            context.note(RosterNote::TopicBodyTooLarge { topic, bytes });
            return;
        }
        let head = TopicHead {
            topic,
            key,
            version,
        };
        if self.topics.store(context.now, head, self.own_node, body) {
            let class = topic_class(topic);
            self.enqueue(context, class, RumourSubject::Topic(topic, key));
        }
    }

    /// Handles state that a peer holds about this node, and refutes it if it is wrong.
    pub(super) fn on_rumour_about_self(
        &mut self,
        context: &mut RosterContext<'_>,
        instance: InstanceId,
        revision: u32,
        standing: MemberStanding,
        address: Option<SocketAddr>,
    ) {
        let Some(own) = self.own_entry() else {
            return;
        };
        let own_incarnation = own.instance().incarnation;
        let outranks_own = (revision, standing) > (own.revision, own.standing);
        if instance.incarnation > own_incarnation {
            self.on_newer_incarnation(context, instance, standing, address);
        } else if instance.incarnation < own_incarnation {
            let subject = RumourSubject::Member(self.own_node);
            if !self.queue.contains(subject) {
                self.enqueue(context, SendClass::Announce, subject);
            }
        } else if outranks_own {
            self.refute(context, revision);
        }
    }

    /// Raises this node's revision above the suspected one, so that the refutation wins every
    /// merge.
    pub(super) fn refute(&mut self, context: &mut RosterContext<'_>, suspected_revision: u32) {
        let Some(own) = self.own_entry() else {
            return;
        };
        if !own.is_present() || suspected_revision < own.revision {
            return;
        }
        let (standing, revision) = (own.standing, suspected_revision + 1);
        self.table
            .set_standing(context.now, self.own_node, revision, standing);
        self.health.refuted();
        context.note(RosterNote::Refuted { revision });
        self.enqueue(
            context,
            SendClass::Death,
            RumourSubject::Standing(self.own_node),
        );
    }

    /// Handles an incarnation of this node's name that is greater than its own.
    ///
    /// That incarnation either belongs to an earlier process, from before the clock was set back,
    /// or to a process that replaced this one while it was paused. Two processes that run at the
    /// same time have different addresses; the one with the greater incarnation stays.
    fn on_newer_incarnation(
        &mut self,
        context: &mut RosterContext<'_>,
        instance: InstanceId,
        standing: MemberStanding,
        address: Option<SocketAddr>,
    ) {
        let own_address = self.own_entry().map(|own| own.facts.gossip_address);
        if !standing.is_present() || address.is_some() && address == own_address {
            self.raise_incarnation(context, instance.incarnation);
        } else if address.is_some() && !self.superseded {
            self.superseded = true;
            context.command(RosterCommand::Superseded { by: instance });
        }
    }

    fn raise_incarnation(&mut self, context: &mut RosterContext<'_>, above: NodeIncarnation) {
        let Some(own) = self.own_entry() else {
            return;
        };
        let standing = own.standing;
        let slots: Vec<SlotEntry> = own.slots.iter().copied().collect();
        let mut facts: MemberFacts = own.facts.clone();
        facts.instance.incarnation = NodeIncarnation(above.0 + 1);
        context.command(RosterCommand::IncarnationRaised(facts.instance));
        self.table.insert(context.now, facts, 0, standing);
        for slot in slots {
            self.table.replace_slot(self.own_node, slot);
            let id = UpstreamId {
                node: self.own_node,
                slot: slot.slot,
            };
            self.queue
                .push(SendClass::Announce, RumourSubject::Upstream(id));
        }
        self.enqueue(
            context,
            SendClass::Announce,
            RumourSubject::Member(self.own_node),
        );
    }

    pub(super) fn own_rumour(&self) -> Option<MemberRumour> {
        let own = self.own_entry()?;
        Some(MemberRumour::Member {
            facts: own.facts.clone(),
            revision: own.revision,
            standing: own.standing,
        })
    }

    /// Marks the current sequence as seen when a datagram carries own upstreams.
    pub(super) fn mark_own_sequence_sent(&mut self, rumours: &[MemberRumour]) {
        let carries_own = rumours.iter().any(|rumour| match rumour {
            MemberRumour::Upstreams { instance, .. } => instance.node == self.own_node,
            _ => false,
        });
        if carries_own {
            self.sequence.mark_seen();
        }
    }
}

/// Counter for changes of this node's own upstreams.
#[derive(Debug, Default)]
pub(super) struct ChangeSequence {
    value: u32,
    /// Whether peers may have seen the current value.
    seen: bool,
}

impl ChangeSequence {
    /// Returns the number for a change: a new one if peers may have seen the current one.
    fn next(&mut self) -> u32 {
        if self.seen || self.value == 0 {
            self.value += 1;
            self.seen = false;
        }
        self.value
    }

    fn mark_seen(&mut self) {
        self.seen = true;
    }
}

/// Returns the send class of a topic.
pub(super) const fn topic_class(topic: u8) -> SendClass {
    match topic {
        topic::CONTRACT_HEAD | topic::GUARD_MAP_HEAD | topic::CRASH_SIGNATURE => SendClass::Head,
        _ => SendClass::Evidence,
    }
}
