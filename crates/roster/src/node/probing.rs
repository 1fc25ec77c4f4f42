//! Failure detection: direct probes, then indirect ones through helpers in other failure domains.
//!
//! ```text
//! ping member ----ack----------------------------> alive
//!      | no ack in time: one miss; two make the member unreachable from here
//!      v
//! ask helpers ----one reached it-----------------> alive for the fleet
//!      |---------some replied, none reached it---> suspect, with them as observers
//!      |---------none replied--------------------> this node suspects itself
//! ```

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use sycamorelink_core::NodeId;

use super::{NodeRoster, RosterContext};
use crate::event::{RosterCommand, RosterNote};
use crate::health::HealthChange;
use crate::message::MessagePurpose;
use crate::probe::{ProbeRecord, ProbeStage};

/// Urgent targets probed per probe interval.
const URGENT_PROBES: usize = 2;

/// Suspects probed again per probe interval.
const SUSPECT_PROBES: usize = 3;

/// Maximum number of queued urgent targets.
const MAX_URGENT_TARGETS: usize = 32;

/// Random members considered per wanted helper.
const CANDIDATES_PER_HELPER: usize = 8;

impl NodeRoster {
    /// Probes the next member in order, some urgent targets and some suspects.
    pub(super) fn probe_next(&mut self, context: &mut RosterContext<'_>) {
        if context.now < self.timers.probe {
            return;
        }
        self.timers.probe = context.now + self.settings.probe_interval;
        if let Some(target) = self.next_target() {
            self.probe(context, target);
        }
        for _ in 0..URGENT_PROBES {
            if let Some(target) = self.urgent_targets.pop_front() {
                self.probe(context, target);
            }
        }
        for target in self.next_suspects() {
            self.probe(context, target);
        }
    }

    fn next_target(&mut self) -> Option<NodeId> {
        if self.probe_cursor >= self.probe_order.len() {
            self.probe_cursor = 0;
            self.probe_order.shuffle(&mut self.rng);
        }
        let target = self.probe_order.get(self.probe_cursor).copied();
        self.probe_cursor += 1;
        target
    }

    fn next_suspects(&mut self) -> Vec<NodeId> {
        let own = self.own_node;
        let mut targets: Vec<NodeId> = self
            .suspicions
            .iter()
            .filter(|suspicion| suspicion.observers.contains(&own))
            .map(|suspicion| suspicion.instance.node)
            .collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(SUSPECT_PROBES);
        targets
    }

    /// Probes a member now, or queues it if other urgent targets are waiting.
    pub(super) fn probe_soon(&mut self, context: &mut RosterContext<'_>, target: NodeId) {
        let pending = self.urgent_targets.contains(&target) || self.probes.is_probing(target);
        if pending || self.urgent_targets.len() >= MAX_URGENT_TARGETS {
            return;
        }
        if self.urgent_targets.is_empty() {
            self.probe(context, target);
        } else {
            self.urgent_targets.push_back(target);
        }
    }

    fn probe(&mut self, context: &mut RosterContext<'_>, target: NodeId) {
        let Some(entry) = self.table.get(target).filter(|entry| entry.is_present()) else {
            return;
        };
        if self.probes.is_probing(target) {
            return;
        }
        let to = entry.facts.gossip_address;
        let timeout = self.health.scale(self.settings.probe_timeout);
        let stage = ProbeStage::Direct;
        let sequence = self.probes.start(context.now, target, stage, timeout);
        self.ping(context, to, target, sequence);
    }

    fn ping(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        target: NodeId,
        sequence: u32,
    ) {
        let purpose = MessagePurpose::Ping { sequence, target };
        let suspicion = self.suspect_rumour(target);
        if !self.send_probe(context, to, purpose, suspicion) {
            self.probes.finish(sequence);
        }
    }

    /// Pings a member on behalf of another node.
    pub(super) fn on_assist(
        &mut self,
        context: &mut RosterContext<'_>,
        requester: SocketAddr,
        sequence: u32,
        target: NodeId,
    ) {
        let Some(to) = self.address(target) else {
            return;
        };
        let stage = ProbeStage::Delegated {
            requester,
            sequence,
        };
        let timeout = self.settings.probe_timeout;
        let number = self.probes.start(context.now, target, stage, timeout);
        self.ping(context, to, target, number);
    }

    pub(super) fn on_ack(
        &mut self,
        context: &mut RosterContext<'_>,
        sender: NodeId,
        sequence: u32,
    ) {
        let matches = self
            .probes
            .get_mut(sequence)
            .is_some_and(|record| record.target == sender);
        if !matches {
            return;
        }
        let Some(record) = self.probes.finish(sequence) else {
            return;
        };
        self.record_answer(context);
        self.set_misses(context, sender, 0);
        if let ProbeStage::Delegated {
            requester,
            sequence,
        } = record.stage
        {
            self.reply_to_requester(context, requester, sequence, record.target, true);
        }
    }

    fn reply_to_requester(
        &mut self,
        context: &mut RosterContext<'_>,
        requester: SocketAddr,
        sequence: u32,
        target: NodeId,
        reached: bool,
    ) {
        let purpose = MessagePurpose::Assisted {
            sequence,
            target,
            reached,
        };
        self.send_probe(context, requester, purpose, None);
    }

    pub(super) fn on_assisted(
        &mut self,
        context: &mut RosterContext<'_>,
        helper: NodeId,
        sequence: u32,
        target: NodeId,
        reached: bool,
    ) {
        self.record_answer(context);
        let Some(record) = self.probes.get_mut(sequence) else {
            return;
        };
        if record.target != target {
            return;
        }
        if reached {
            self.probes.finish(sequence);
            self.queue_second_probe(target);
        } else if !record.failed_helpers.contains(&helper) {
            record.failed_helpers.push(helper);
        }
    }

    /// Queues another probe of a member that only helpers reached: a second miss makes the member
    /// unreachable from this node.
    fn queue_second_probe(&mut self, target: NodeId) {
        let once = self
            .table
            .get(target)
            .is_some_and(|entry| entry.misses == 1);
        if once && self.urgent_targets.len() < MAX_URGENT_TARGETS {
            self.urgent_targets.push_back(target);
        }
    }

    /// Moves probes whose deadline has passed to their next stage.
    pub(super) fn advance_due_probes(&mut self, context: &mut RosterContext<'_>) {
        for (sequence, record) in self.probes.take_due(context.now) {
            match record.stage {
                ProbeStage::Direct => self.request_indirect_probes(context, sequence, record),
                ProbeStage::Indirect => self.conclude_probe(context, &record),
                ProbeStage::Delegated {
                    requester,
                    sequence,
                } => {
                    self.reply_to_requester(context, requester, sequence, record.target, false);
                }
            }
        }
    }

    fn request_indirect_probes(
        &mut self,
        context: &mut RosterContext<'_>,
        sequence: u32,
        mut record: ProbeRecord,
    ) {
        let target = record.target;
        let misses = self.table.get(target).map_or(0, |entry| entry.misses);
        self.set_misses(context, target, misses.saturating_add(1));
        let purpose = MessagePurpose::Assist { sequence, target };
        let helpers = self.select_helpers(target);
        for helper in &helpers {
            if let Some(to) = self.address(*helper) {
                self.send_probe(context, to, purpose.clone(), None);
            }
        }
        record.asked = helpers.len();
        record.stage = ProbeStage::Indirect;
        let timeout = self.health.scale(self.settings.helper_timeout);
        record.deadline = context.now + timeout;
        self.probes.resume(sequence, record);
    }

    /// Chooses helpers from as many failure domains as possible. In a partition between two
    /// domains, a helper in a third domain still reaches both sides.
    fn select_helpers(&mut self, target: NodeId) -> Vec<NodeId> {
        let wanted = self.settings.helpers;
        let mut sampled = self.select_peers(wanted * CANDIDATES_PER_HELPER, &[target]);
        sampled.retain(|node| self.suspicions.get(*node).is_none());
        let mut helpers = Vec::new();
        let mut domains = BTreeSet::new();
        let mut spare = Vec::new();
        for node in sampled {
            let domain = self.table.get(node).map(|entry| &entry.facts.domain);
            if domains.insert(domain.cloned()) {
                helpers.push(node);
            } else {
                spare.push(node);
            }
        }
        helpers.extend(spare);
        helpers.truncate(wanted);
        helpers
    }

    /// Evaluates a probe after which no helper reported that it reached the member.
    fn conclude_probe(&mut self, context: &mut RosterContext<'_>, record: &ProbeRecord) {
        let Some(entry) = self.table.get(record.target) else {
            return;
        };
        let recently_contacted = entry.last_contact.is_some_and(|at| at >= record.started);
        let no_helpers = record.asked == 0;
        if recently_contacted {
            return;
        }
        if record.failed_helpers.is_empty() && !no_helpers {
            let change = self.health.unanswered();
            report_health_change(context, change);
            return;
        }
        if record.failed_helpers.len() < record.asked {
            self.health.helpers_missing();
        }
        let mut observers = record.failed_helpers.clone();
        observers.insert(0, self.own_node);
        let (instance, revision) = (entry.instance(), entry.revision);
        self.add_suspicion(context, instance, revision, &observers);
        self.suspicions
            .record_failed_probe(context.now, record.target);
    }

    pub(super) fn record_answer(&mut self, context: &mut RosterContext<'_>) {
        let change = self.health.answered();
        report_health_change(context, change);
    }

    /// Sets the number of unanswered direct probes and reports a change of reachability.
    pub(super) fn set_misses(&mut self, context: &mut RosterContext<'_>, node: NodeId, misses: u8) {
        let Some(entry) = self.table.get_mut(node) else {
            return;
        };
        let before = entry.is_reachable();
        entry.misses = misses;
        if entry.is_present() && entry.is_reachable() != before {
            context.command(RosterCommand::MemberChanged(entry.view()));
        }
    }
}

fn report_health_change(context: &mut RosterContext<'_>, change: HealthChange) {
    match change {
        HealthChange::Unchanged => {}
        HealthChange::Isolated(probes) => context.note(RosterNote::SelfSuspect { probes }),
        HealthChange::Recovered => context.note(RosterNote::SelfRecovered),
    }
}
