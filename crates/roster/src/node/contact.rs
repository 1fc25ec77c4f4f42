//! Joining and rejoining the fleet: seeds, request outcomes, probes of dead members.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::NodeId;

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::event::RosterNote;
use crate::message::{MemberRumour, MessagePurpose};

/// Time between two messages to seeds while this node is alone, isolated or not joined.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two messages to a seed that is not a member, once joined. These messages merge
/// parts of a fleet that started separately.
const SEED_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Seeds contacted at once while disconnected.
const SEEDS_PER_RETRY: usize = 2;

impl NodeRoster {
    pub(super) fn set_seeds(&mut self, context: &mut RosterContext<'_>, seeds: Vec<SocketAddr>) {
        let own = self.address(self.own_node);
        self.seeds = seeds;
        self.seeds.retain(|seed| Some(*seed) != own);
        self.timers.join = context.now;
        if self.seeds.is_empty() {
            self.finish_join(context);
        }
    }

    pub(super) fn finish_join(&mut self, context: &mut RosterContext<'_>) {
        if self.joined {
            return;
        }
        self.joined = true;
        let started = self.join_started.unwrap_or(context.now);
        context.note(RosterNote::Joined {
            members: self.probe_order.len() + 1,
            after: context.now.saturating_sub(started),
        });
    }

    /// Sends join messages to seeds when they are due.
    pub(super) fn contact_seeds(&mut self, context: &mut RosterContext<'_>) {
        if context.now < self.timers.join || self.seeds.is_empty() {
            return;
        }
        let disconnected = !self.joined || self.probe_order.is_empty() || self.health.is_isolated();
        self.timers.join = context.now
            + if disconnected {
                SEED_RETRY_INTERVAL
            } else {
                SEED_CHECK_INTERVAL
            };
        self.join_started.get_or_insert(context.now);
        let count = if disconnected { SEEDS_PER_RETRY } else { 1 };
        for _ in 0..count {
            let index = self.rng.random_range(0..self.seeds.len());
            let seed = self.seeds[index];
            if disconnected || !self.is_member_address(seed) {
                let rumours: Vec<MemberRumour> = self.own_rumour().into_iter().collect();
                self.send(
                    context,
                    SendClass::Leave,
                    seed,
                    MessagePurpose::Join,
                    rumours,
                );
            }
        }
    }

    fn is_member_address(&self, address: SocketAddr) -> bool {
        self.table
            .iter()
            .any(|entry| entry.is_present() && entry.facts.gossip_address == address)
    }

    /// Replies to a join message with this node's facts.
    pub(super) fn on_join(&mut self, context: &mut RosterContext<'_>, from: SocketAddr) {
        let rumours: Vec<MemberRumour> = self.own_rumour().into_iter().collect();
        // Uses the class `Head` because rumours of the class `Announce` use up the budget when many
        // nodes start at once.
        self.send(
            context,
            SendClass::Head,
            from,
            MessagePurpose::State,
            rumours,
        );
    }

    /// Records a request that did not reach a member and probes the member at once, so that
    /// failures seen by real traffic are detected first.
    pub(super) fn on_unreachable(&mut self, context: &mut RosterContext<'_>, node: NodeId) {
        let Some(entry) = self.table.get(node).filter(|entry| entry.is_present()) else {
            return;
        };
        if node == self.own_node || self.probes.is_probing(node) {
            return;
        }
        let misses = entry.misses.saturating_add(1);
        self.set_misses(context, node, misses);
        self.probe_soon(context, node);
    }

    /// Records a request that a member answered, with the same effect as a probe reply.
    pub(super) fn on_reached(&mut self, context: &mut RosterContext<'_>, node: NodeId) {
        let Some(entry) = self.table.get_mut(node) else {
            return;
        };
        entry.last_contact = Some(context.now);
        self.record_answer(context);
        self.set_misses(context, node, 0);
    }

    /// Pings a random member that is marked dead. After a partition heals, the ping lets the member
    /// learn that it was marked dead and refute it, which reconnects both sides.
    pub(super) fn probe_dead(&mut self, context: &mut RosterContext<'_>) {
        if context.now < self.timers.dead_probe {
            return;
        }
        self.timers.dead_probe = context.now + self.settings.dead_probe_interval;
        let gone: Vec<NodeId> = self
            .table
            .iter()
            .filter(|entry| !entry.is_present())
            .map(|entry| entry.instance().node)
            .collect();
        if gone.is_empty() {
            return;
        }
        let target = gone[self.rng.random_range(0..gone.len())];
        let Some(to) = self.address(target) else {
            return;
        };
        let sequence = self.probes.next_number();
        let purpose = MessagePurpose::Ping { sequence, target };
        let verdict = self.standing_rumour(target);
        self.send_probe(context, to, purpose, verdict);
    }
}
