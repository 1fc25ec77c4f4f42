//! Ways into the fleet and back into it: seeds, reports from requests, probes of the dead.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::NodeId;

use super::{NodeRoster, RosterStep};
use crate::budget::SendClass;
use crate::event::RosterNote;
use crate::message::{MemberRumour, MessagePurpose};

/// Time between two calls to seeds while this node is alone or not joined.
const SEED_RETRY: Duration = Duration::from_secs(1);

/// Time between two calls to a seed that is no member, once joined. Two parts of a fleet that
/// started apart find each other by it.
const SEED_CHECK: Duration = Duration::from_secs(10);

/// Seeds called at once.
const SEED_CALLS: usize = 2;

impl NodeRoster {
    pub(super) fn set_seeds(&mut self, step: &mut RosterStep<'_>, seeds: Vec<SocketAddr>) {
        let own = self.address(self.own);
        self.seeds = seeds;
        self.seeds.retain(|seed| Some(*seed) != own);
        self.timers.join = step.now;
        if self.seeds.is_empty() {
            self.finish_join(step);
        }
    }

    pub(super) fn finish_join(&mut self, step: &mut RosterStep<'_>) {
        if self.joined {
            return;
        }
        self.joined = true;
        let started = self.join_started.unwrap_or(step.now);
        step.note(RosterNote::Joined {
            members: self.order.len() + 1,
            after: step.now.saturating_sub(started),
        });
    }

    /// Calls seeds when it is time.
    pub(super) fn contact_seeds(&mut self, step: &mut RosterStep<'_>) {
        if step.now < self.timers.join || self.seeds.is_empty() {
            return;
        }
        let lost = !self.joined || self.order.is_empty() || self.health.is_silent();
        self.timers.join = step.now + if lost { SEED_RETRY } else { SEED_CHECK };
        self.join_started.get_or_insert(step.now);
        let count = if lost { SEED_CALLS } else { 1 };
        for _ in 0..count {
            let place = self.rng.random_range(0..self.seeds.len());
            let seed = self.seeds[place];
            if lost || !self.is_member_address(seed) {
                let rumours: Vec<MemberRumour> = self.own_rumour().into_iter().collect();
                self.send(step, SendClass::Leave, seed, MessagePurpose::Join, rumours);
            }
        }
    }

    fn is_member_address(&self, address: SocketAddr) -> bool {
        self.table
            .iter()
            .any(|entry| entry.is_present() && entry.facts.gossip_address == address)
    }

    /// Answers a node that asks for contact.
    pub(super) fn welcome(&mut self, step: &mut RosterStep<'_>, from: SocketAddr) {
        let rumours: Vec<MemberRumour> = self.own_rumour().into_iter().collect();
        // Where many nodes start at once this goes before the news of them, which fills the budget.
        self.send(step, SendClass::Head, from, MessagePurpose::State, rumours);
    }

    /// A request did not get through. The observers that matter are those who use the system:
    /// the member is probed at once.
    pub(super) fn report_unreachable(&mut self, step: &mut RosterStep<'_>, node: NodeId) {
        let Some(entry) = self.table.get(node).filter(|entry| entry.is_present()) else {
            return;
        };
        if node == self.own || self.probes.is_probing(node) {
            return;
        }
        let misses = entry.misses.saturating_add(1);
        self.set_misses(step, node, misses);
        self.probe_soon(step, node);
    }

    /// A request was answered: as good as an answered probe.
    pub(super) fn report_reached(&mut self, step: &mut RosterStep<'_>, node: NodeId) {
        let Some(entry) = self.table.get_mut(node) else {
            return;
        };
        entry.heard_at = Some(step.now);
        self.note_answer(step);
        self.set_misses(step, node, 0);
    }

    /// Pings one member that is held dead. When a cut has healed, it hears by this that it is
    /// held dead, refutes it, and both sides find each other again.
    pub(super) fn probe_dead(&mut self, step: &mut RosterStep<'_>) {
        if step.now < self.timers.dead_probe {
            return;
        }
        self.timers.dead_probe = step.now + self.settings.dead_probe_interval;
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
        self.send_probe(step, to, purpose, verdict);
    }
}
