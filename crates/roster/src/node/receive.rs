//! Handling of received datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use sycamorelink_core::{InstanceId, NodeId};

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::message::{MemberRumour, MessagePurpose, RosterMessage};

/// Minimum time between two corrections to one member, and between two requests for its state.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of members whose last request is recorded.
const MAX_RECORDED_PULLS: usize = 4_096;

impl NodeRoster {
    pub(super) fn receive(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        message: RosterMessage,
    ) {
        if message.from.node == self.own_node || self.has_departed() {
            return;
        }
        let fresh = message.purpose != MessagePurpose::State;
        for rumour in message.rumours {
            self.apply_rumour(context, message.from.node, rumour, fresh);
        }
        self.record_contact(context, from, message.from, message.root);
        self.handle_purpose(context, from, message.from, message.purpose);
        self.sync_if_different(context, message.from.node, from, message.root);
    }

    fn handle_purpose(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        sender: InstanceId,
        purpose: MessagePurpose,
    ) {
        match purpose {
            MessagePurpose::Gossip | MessagePurpose::State => {}
            MessagePurpose::Ping { sequence, target } => {
                if target == self.own_node {
                    let ack = MessagePurpose::Ack { sequence };
                    self.send_probe(context, from, ack, None);
                }
            }
            MessagePurpose::Ack { sequence } => self.on_ack(context, sender.node, sequence),
            MessagePurpose::Assist { sequence, target } => {
                self.on_assist(context, from, sequence, target);
            }
            MessagePurpose::Assisted {
                sequence,
                target,
                reached,
            } => self.on_assisted(context, sender.node, sequence, target, reached),
            MessagePurpose::Join => self.on_join(context, from),
            MessagePurpose::Buckets { hashes } => self.compare_buckets(context, from, &hashes),
            MessagePurpose::BucketMembers { differing, buckets } => {
                self.compare_members(context, from, sender.node, differing, &buckets);
            }
            MessagePurpose::Pull { nodes } => self.send_states(context, from, &nodes),
            MessagePurpose::Topics { heads, wanted } => {
                self.compare_topics(context, from, &heads, wanted);
            }
        }
    }

    /// Records direct contact with the sender. Requests the facts of an unknown sender, and
    /// corrects one that is outdated or marked as gone.
    fn record_contact(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        sender: InstanceId,
        root: u32,
    ) {
        let known = self.table.get_mut(sender.node);
        let Some(entry) = known.filter(|entry| entry.instance().incarnation >= sender.incarnation)
        else {
            self.request_facts(context, from, sender.node);
            return;
        };
        if entry.instance() != sender {
            self.send_correction(context, sender.node, from);
            return;
        }
        entry.last_contact = Some(context.now);
        entry.joining = root == 0;
        if !entry.is_present() {
            self.send_correction(context, sender.node, from);
        }
    }

    /// Requests the facts of a member whose current incarnation is unknown here.
    pub(super) fn request_facts(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        node: NodeId,
    ) {
        if !self.try_record_pull(context.now, node) {
            return;
        }
        let nodes = vec![node];
        let purpose = MessagePurpose::Pull { nodes };
        self.send(context, SendClass::Announce, from, purpose, Vec::new());
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
        context: &mut RosterContext<'_>,
        node: NodeId,
        to: SocketAddr,
    ) {
        let rumour = self
            .member_rumour(node)
            .or_else(|| self.standing_rumour(node));
        self.send_direct(context, node, to, rumour);
    }

    /// Sends one rumour directly to the member it describes, at most once per
    /// [`MIN_REPEAT_INTERVAL`].
    pub(super) fn send_direct(
        &mut self,
        context: &mut RosterContext<'_>,
        node: NodeId,
        to: SocketAddr,
        rumour: Option<MemberRumour>,
    ) {
        let Some(entry) = self.table.get_mut(node) else {
            return;
        };
        let last = entry.corrected_at;
        if last.is_some_and(|at| context.now.saturating_sub(at) < MIN_REPEAT_INTERVAL) {
            return;
        }
        entry.corrected_at = Some(context.now);
        let rumours = rumour.into_iter().collect();
        let purpose = MessagePurpose::Gossip;
        self.send(context, SendClass::Death, to, purpose, rumours);
    }
}
