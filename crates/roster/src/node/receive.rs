//! Handling of received datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use sycamorelink_core::{InstanceId, NodeId};

use super::{NodeRoster, RosterStep};
use crate::budget::SendClass;
use crate::message::{MemberRumour, MessagePurpose, RosterMessage};

/// Minimum time between two corrections to one member, and between two requests for its state.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of members whose last request is recorded.
const MAX_RECORDED_PULLS: usize = 4_096;

impl NodeRoster {
    pub(super) fn receive(
        &mut self,
        step: &mut RosterStep<'_>,
        from: SocketAddr,
        message: RosterMessage,
    ) {
        if message.from.node == self.own_node || self.has_departed() {
            return;
        }
        let fresh = message.purpose != MessagePurpose::State;
        for rumour in message.rumours {
            self.apply_rumour(step, message.from.node, rumour, fresh);
        }
        self.record_contact(step, from, message.from, message.root);
        self.handle_purpose(step, from, message.from, message.purpose);
        self.sync_if_different(step, message.from.node, from, message.root);
    }

    fn handle_purpose(
        &mut self,
        step: &mut RosterStep<'_>,
        from: SocketAddr,
        sender: InstanceId,
        purpose: MessagePurpose,
    ) {
        match purpose {
            MessagePurpose::Gossip | MessagePurpose::State => {}
            MessagePurpose::Ping { sequence, target } => {
                if target == self.own_node {
                    let ack = MessagePurpose::Ack { sequence };
                    self.send_probe(step, from, ack, None);
                }
            }
            MessagePurpose::Ack { sequence } => self.on_ack(step, sender.node, sequence),
            MessagePurpose::Assist { sequence, target } => {
                self.on_assist(step, from, sequence, target);
            }
            MessagePurpose::Assisted {
                sequence,
                target,
                reached,
            } => self.on_assisted(step, sender.node, sequence, target, reached),
            MessagePurpose::Join => self.on_join(step, from),
            MessagePurpose::Buckets { hashes } => self.compare_buckets(step, from, &hashes),
            MessagePurpose::BucketMembers { differing, buckets } => {
                self.compare_members(step, from, sender.node, differing, &buckets);
            }
            MessagePurpose::Pull { nodes } => self.send_states(step, from, &nodes),
            MessagePurpose::Topics { heads, wanted } => {
                self.compare_topics(step, from, &heads, wanted);
            }
        }
    }

    /// Records direct contact with the sender. Requests the facts of an unknown sender, and
    /// corrects one that is outdated or marked as gone.
    fn record_contact(
        &mut self,
        step: &mut RosterStep<'_>,
        from: SocketAddr,
        sender: InstanceId,
        root: u32,
    ) {
        let known = self.table.get_mut(sender.node);
        let Some(entry) = known.filter(|entry| entry.instance().incarnation >= sender.incarnation)
        else {
            self.request_facts(step, from, sender.node);
            return;
        };
        if entry.instance() != sender {
            self.send_correction(step, sender.node, from);
            return;
        }
        entry.last_contact = Some(step.now);
        entry.joining = root == 0;
        if !entry.is_present() {
            self.send_correction(step, sender.node, from);
        }
    }

    /// Requests the facts of a member whose current incarnation is unknown here.
    pub(super) fn request_facts(
        &mut self,
        step: &mut RosterStep<'_>,
        from: SocketAddr,
        node: NodeId,
    ) {
        if !self.try_record_pull(step.now, node) {
            return;
        }
        let nodes = vec![node];
        let purpose = MessagePurpose::Pull { nodes };
        self.send(step, SendClass::Announce, from, purpose, Vec::new());
    }

    /// Records a request for a member's state; returns false if the last one is too recent.
    pub(super) fn try_record_pull(&mut self, now: Duration, node: NodeId) -> bool {
        let last = self.pulled_at.get(&node);
        if last.is_some_and(|at| now.saturating_sub(*at) < MIN_REPEAT_INTERVAL) {
            return false;
        }
        if self.pulled_at.len() >= MAX_RECORDED_PULLS {
            self.pulled_at.clear();
        }
        self.pulled_at.insert(node, now);
        true
    }

    /// Sends a member the state that the fleet holds about it, so that the member can refute it. A
    /// member that is marked dead learns of its death; a replaced incarnation learns of its
    /// successor.
    pub(super) fn send_correction(
        &mut self,
        step: &mut RosterStep<'_>,
        node: NodeId,
        to: SocketAddr,
    ) {
        let rumour = self
            .member_rumour(node)
            .or_else(|| self.standing_rumour(node));
        self.send_direct(step, node, to, rumour);
    }

    /// Sends one rumour directly to the member it describes, at most once per
    /// [`MIN_REPEAT_INTERVAL`].
    pub(super) fn send_direct(
        &mut self,
        step: &mut RosterStep<'_>,
        node: NodeId,
        to: SocketAddr,
        rumour: Option<MemberRumour>,
    ) {
        let Some(entry) = self.table.get_mut(node) else {
            return;
        };
        let last = entry.corrected_at;
        if last.is_some_and(|at| step.now.saturating_sub(at) < MIN_REPEAT_INTERVAL) {
            return;
        }
        entry.corrected_at = Some(step.now);
        let rumours = rumour.into_iter().collect();
        let purpose = MessagePurpose::Gossip;
        self.send(step, SendClass::Death, to, purpose, rumours);
    }
}
