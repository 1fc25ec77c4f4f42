//! Merging of received rumours. Every merge rule is commutative and idempotent.

use std::cmp::Ordering;
use std::net::SocketAddr;

use sycamorelink_core::{InstanceId, NodeId, ServiceName, UpstreamId};

use super::local::topic_class;
use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::event::{DownCause, RosterCommand};
use crate::facts::{MemberFacts, MemberStanding, UpstreamPhase};
use crate::message::{MemberRumour, SlotRun, TopicHead};
use crate::names::ServiceNumber;
use crate::queue::RumourSubject;
use crate::slots::SlotEntry;
use crate::table::{MemberEntry, SlotChange};
use crate::topic::MAX_BODY_BYTES;

/// Maximum number of slots accepted from one run, far above the upstreams of any node.
const MAX_RUN_SLOTS: u16 = 4_096;

impl NodeRoster {
    /// Merges one rumour. `fresh` rumours are forwarded; pulled state is not.
    pub(super) fn apply_rumour(
        &mut self,
        context: &mut RosterContext<'_>,
        sender: NodeId,
        rumour: MemberRumour,
        fresh: bool,
    ) {
        match rumour {
            MemberRumour::Member {
                facts,
                revision,
                standing,
            } => self.merge_member(context, facts, revision, standing, fresh),
            MemberRumour::Standing {
                instance,
                revision,
                standing,
            } => self.merge_standing(context, sender, instance, revision, standing),
            MemberRumour::Suspect {
                instance,
                revision,
                observers,
            } => self.receive_suspicion(context, sender, instance, revision, &observers),
            MemberRumour::Upstreams {
                instance,
                service,
                runs,
            } => self.merge_upstreams(context, sender, instance, service.as_ref(), &runs, fresh),
            MemberRumour::Topic {
                origin,
                topic,
                key,
                version,
                body,
            } => {
                let head = TopicHead {
                    topic,
                    key,
                    version,
                };
                self.merge_topic(context, head, origin, body, fresh);
            }
        }
    }

    fn merge_member(
        &mut self,
        context: &mut RosterContext<'_>,
        facts: MemberFacts,
        revision: u32,
        standing: MemberStanding,
        fresh: bool,
    ) {
        let instance = facts.instance;
        if instance.node == self.own_node {
            let address = Some(facts.gossip_address);
            self.on_rumour_about_self(context, instance, revision, standing, address);
            return;
        }
        let known = self.table.get(instance.node).map(MemberEntry::instance);
        let order = known.map_or(Ordering::Greater, |known| {
            instance.incarnation.cmp(&known.incarnation)
        });
        match order {
            Ordering::Equal => {
                self.count_received(RumourSubject::Member(instance.node));
                self.apply_standing(context, instance, revision, standing);
            }
            Ordering::Greater if standing.is_present() => {
                self.insert_member(context, facts, revision, standing, fresh);
            }
            Ordering::Less | Ordering::Greater => {}
        }
    }

    /// Inserts a new member or a new incarnation of one.
    fn insert_member(
        &mut self,
        context: &mut RosterContext<'_>,
        facts: MemberFacts,
        revision: u32,
        standing: MemberStanding,
        fresh: bool,
    ) {
        let node = facts.instance.node;
        self.report_down(context, node, DownCause::Replaced);
        self.drop_rumours_about(node);
        self.table.insert(context.now, facts, revision, standing);
        self.report_up(context, node);
        if fresh {
            let class = if standing == MemberStanding::Leaving {
                SendClass::Leave
            } else {
                SendClass::Announce
            };
            self.enqueue(context, class, RumourSubject::Member(node));
        }
    }

    fn drop_rumours_about(&mut self, node: NodeId) {
        self.queue.drop_subject(RumourSubject::Standing(node));
        self.queue.drop_subject(RumourSubject::Suspect(node));
        self.suspicions.remove(node);
    }

    fn merge_standing(
        &mut self,
        context: &mut RosterContext<'_>,
        sender: NodeId,
        instance: InstanceId,
        revision: u32,
        standing: MemberStanding,
    ) {
        if instance.node == self.own_node {
            self.on_rumour_about_self(context, instance, revision, standing, None);
            return;
        }
        let known = self.table.get(instance.node).map(MemberEntry::instance);
        if known == Some(instance) {
            self.correct_stale_peer(context, sender, instance, revision);
            self.apply_standing(context, instance, revision, standing);
        } else if known.is_none_or(|known| known < instance) && standing.is_present() {
            self.request_facts_from(context, sender, instance.node);
        }
    }

    fn request_facts_from(
        &mut self,
        context: &mut RosterContext<'_>,
        sender: NodeId,
        node: NodeId,
    ) {
        let Some(to) = self.address(sender) else {
            return;
        };
        self.request_facts(context, to, node);
    }

    pub(super) fn address(&self, node: NodeId) -> Option<SocketAddr> {
        Some(self.table.get(node)?.facts.gossip_address)
    }

    fn merge_upstreams(
        &mut self,
        context: &mut RosterContext<'_>,
        sender: NodeId,
        instance: InstanceId,
        service: Option<&ServiceName>,
        runs: &[SlotRun],
        fresh: bool,
    ) {
        if instance.node == self.own_node {
            return;
        }
        let known = self.table.get(instance.node).map(MemberEntry::instance);
        if known != Some(instance) {
            if known.is_none_or(|known| known < instance) {
                self.request_facts_from(context, sender, instance.node);
            }
            return;
        }
        let number = service.map_or(ServiceNumber::GONE, |name| {
            self.table.services().intern(name)
        });
        for run in runs {
            for offset in 0..run.count.min(MAX_RUN_SLOTS) {
                let entry = SlotEntry {
                    slot: run.first.saturating_add(offset),
                    slots: run.slots,
                    sequence: run.sequence,
                    service: number,
                    phase: run.phase,
                };
                self.store_slot(context, instance.node, entry, fresh);
            }
        }
    }

    /// Stores a slot entry, reports the change and forwards it if it is fresh.
    pub(super) fn store_slot(
        &mut self,
        context: &mut RosterContext<'_>,
        node: NodeId,
        slot: SlotEntry,
        fresh: bool,
    ) {
        let change = if node == self.own_node {
            self.table.replace_slot(node, slot)
        } else {
            self.table.put_slot(node, slot)
        };
        let id = UpstreamId {
            node,
            slot: slot.slot,
        };
        let SlotChange::Stored(old) = change else {
            self.count_received(RumourSubject::Upstream(id));
            return;
        };
        self.report_slot(context, node, old, slot);
        if fresh {
            let class = if slot.is_gone() || slot.phase == UpstreamPhase::Leaving {
                SendClass::Leave
            } else {
                SendClass::Announce
            };
            self.enqueue(context, class, RumourSubject::Upstream(id));
        }
    }

    fn report_slot(
        &self,
        context: &mut RosterContext<'_>,
        node: NodeId,
        old: Option<SlotEntry>,
        new: SlotEntry,
    ) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let id = UpstreamId {
            node,
            slot: new.slot,
        };
        let before = old.and_then(|old| self.table.upstream_facts(entry, &old));
        let after = self.table.upstream_facts(entry, &new);
        if before == after {
            return;
        }
        if let Some(before) = before {
            let moved = after.as_ref().map(|facts| &facts.service) != Some(&before.service);
            if moved {
                let service = before.service;
                context.command(RosterCommand::UpstreamGone { id, service });
            }
        }
        if let Some(facts) = after {
            context.command(RosterCommand::UpstreamChanged { id, facts });
        }
    }

    fn merge_topic(
        &mut self,
        context: &mut RosterContext<'_>,
        head: TopicHead,
        origin: NodeId,
        body: Vec<u8>,
        fresh: bool,
    ) {
        if body.len() > MAX_BODY_BYTES {
            return;
        }
        let TopicHead {
            topic,
            key,
            version,
        } = head;
        if !self.topics.store(context.now, head, origin, body.clone()) {
            return;
        }
        if fresh {
            let subject = RumourSubject::Topic(topic, key);
            self.enqueue(context, topic_class(topic), subject);
        }
        context.command(RosterCommand::Rumour {
            topic,
            key,
            version,
            body,
            origin,
        });
    }
}
