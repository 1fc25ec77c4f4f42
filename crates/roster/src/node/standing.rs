//! Changes of a member's standing and their effect on its upstreams.

use std::net::SocketAddr;

use rand::Rng;
use sycamorelink_core::{InstanceId, NodeId, UpstreamId};

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::event::{DownCause, RosterCommand, RosterNote};
use crate::facts::MemberStanding;
use crate::queue::RumourSubject;

impl NodeRoster {
    /// Applies a standing that outranks the current one: the greater revision wins, and within one
    /// revision the greater standing.
    pub(super) fn apply_standing(
        &mut self,
        context: &mut RosterContext<'_>,
        instance: InstanceId,
        revision: u32,
        standing: MemberStanding,
    ) {
        let Some(entry) = self.table.get(instance.node) else {
            return;
        };
        if (revision, standing) <= (entry.revision, entry.standing) {
            return;
        }
        let declares_dead = standing == MemberStanding::Dead && entry.is_present();
        if declares_dead && entry.contacted_within(context.now, self.settings.probe_interval * 2) {
            self.dispute_death(context, instance.node, revision, standing);
            return;
        }
        self.change_standing(context, instance.node, revision, standing);
    }

    /// Sends a reported death to the member instead of applying it. The member was in contact with
    /// this node just now, so observers behind a partition must not remove it everywhere. The
    /// member refutes the death; if it cannot, its contact expires and the next digest exchange
    /// applies the death.
    fn dispute_death(
        &mut self,
        context: &mut RosterContext<'_>,
        node: NodeId,
        revision: u32,
        standing: MemberStanding,
    ) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let to: SocketAddr = entry.facts.gossip_address;
        let instance = entry.instance();
        let rumour = crate::message::MemberRumour::Standing {
            instance,
            revision,
            standing,
        };
        self.send_direct(context, node, to, Some(rumour));
    }

    pub(super) fn change_standing(
        &mut self,
        context: &mut RosterContext<'_>,
        node: NodeId,
        revision: u32,
        standing: MemberStanding,
    ) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let (instance, before) = (entry.instance(), entry.standing);
        let was_suspect = self.suspicions.remove(node).is_some();
        self.queue.drop_subject(RumourSubject::Suspect(node));
        if before.is_present() && !standing.is_present() {
            self.report_down(context, node, down_cause(before, standing));
        }
        self.table
            .set_standing(context.now, node, revision, standing);
        if !before.is_present() && standing.is_present() {
            self.report_up(context, node);
        } else if before != standing && standing == MemberStanding::Leaving {
            self.report_leaving(context, node);
        }
        if was_suspect && standing.is_present() {
            context.note(RosterNote::Cleared { instance });
        }
        let class = match standing {
            MemberStanding::Leaving | MemberStanding::Left => SendClass::Leave,
            MemberStanding::Alive | MemberStanding::Dead => SendClass::Death,
        };
        self.enqueue(context, class, RumourSubject::Standing(node));
    }

    /// Reports a member's upstreams as gone and then the member as down. The member must still be
    /// in the table.
    pub(super) fn report_down(
        &mut self,
        context: &mut RosterContext<'_>,
        node: NodeId,
        cause: DownCause,
    ) {
        let Some(entry) = self.table.get(node).filter(|entry| entry.is_present()) else {
            return;
        };
        for slot in entry.slots.iter() {
            let Some(facts) = self.table.upstream_facts(entry, slot) else {
                continue;
            };
            let id = UpstreamId {
                node,
                slot: slot.slot,
            };
            let service = facts.service;
            context.command(RosterCommand::UpstreamGone { id, service });
        }
        let instance = entry.instance();
        context.command(RosterCommand::MemberDown { instance, cause });
        self.queue.drop_subject(RumourSubject::Member(node));
        if let Some(index) = self.probe_order.iter().position(|other| *other == node) {
            self.probe_order.remove(index);
            if index < self.probe_cursor {
                self.probe_cursor -= 1;
            }
        }
    }

    /// Reports a member as up, with its upstreams. The member must already be in the table.
    pub(super) fn report_up(&mut self, context: &mut RosterContext<'_>, node: NodeId) {
        if let Some(entry) = self.table.get_mut(node) {
            entry.misses = 0;
        }
        let Some(entry) = self.table.get(node) else {
            return;
        };
        context.command(RosterCommand::MemberUp(entry.facts.clone()));
        if entry.standing == MemberStanding::Leaving {
            context.command(RosterCommand::MemberChanged(entry.view()));
        }
        self.report_upstreams(context, node);
        let index = self.rng.random_range(0..=self.probe_order.len());
        self.probe_order.insert(index, node);
    }

    fn report_leaving(&mut self, context: &mut RosterContext<'_>, node: NodeId) {
        if let Some(entry) = self.table.get(node) {
            context.command(RosterCommand::MemberChanged(entry.view()));
        }
        self.report_upstreams(context, node);
    }

    fn report_upstreams(&self, context: &mut RosterContext<'_>, node: NodeId) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        for slot in entry.slots.iter() {
            let Some(facts) = self.table.upstream_facts(entry, slot) else {
                continue;
            };
            let id = UpstreamId {
                node,
                slot: slot.slot,
            };
            context.command(RosterCommand::UpstreamChanged { id, facts });
        }
    }
}

/// Returns the cause of a removal. Only an announced departure proves that the process has ended;
/// callers rely on this before they take over the member's obligations.
const fn down_cause(before: MemberStanding, standing: MemberStanding) -> DownCause {
    match (before, standing) {
        (_, MemberStanding::Left) => DownCause::Left,
        (MemberStanding::Leaving, _) => DownCause::LostWhileLeaving,
        _ => DownCause::Dead,
    }
}
