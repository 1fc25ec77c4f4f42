//! Gossip rounds and the sending of datagrams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use sycamorelink_core::{NodeId, UpstreamId};

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::event::RosterCommand;
use crate::message::{MemberRumour, MessagePurpose, RosterMessage};
use crate::packer::{DatagramPacker, base_size};
use crate::queue::{QueuedRumour, RumourSubject};
use crate::slots::slot_runs;
use crate::table::MemberEntry;

/// Queue entries considered for one datagram.
const MAX_CANDIDATES: usize = 96;

/// Entries that do not fit after which a datagram counts as full.
const MAX_REJECTED: usize = 4;

/// Largest payload of a probe or its reply, including piggybacked rumours, in bytes.
const MAX_PROBE_PAYLOAD: usize = 500;

/// Delay of an urgent round, so that several urgent rumours share one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Minimum time between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of members at which peers are chosen by shuffling the whole list.
const SHUFFLE_LIMIT: usize = 64;

/// Random draws per wanted peer in a larger fleet.
const DRAWS_PER_PEER: usize = 6;

/// Transmissions available to all queued rumours together. When many members change at once, each
/// rumour is sent less often, down to once, because digests repair missed rumours sooner than a
/// long queue would be sent.
const TOTAL_SENDS: u32 = 128;

/// Transmissions available to all queued deaths and suspicions together.
const TOTAL_DEATH_SENDS: u32 = 1_024;

/// Additional transmissions of a leave, per power of ten of the fleet's size.
const EXTRA_LEAVE_SENDS: u32 = 2;

impl NodeRoster {
    /// Queues a rumour; an urgent one brings the next round forward.
    pub(super) fn enqueue(
        &mut self,
        context: &RosterContext<'_>,
        class: SendClass,
        subject: RumourSubject,
    ) {
        self.queue.push(class, subject);
        if class <= SendClass::Head {
            let earliest = self.timers.gossiped_at + MIN_ROUND_INTERVAL;
            let soon = (context.now + BATCH_DELAY).max(earliest);
            self.timers.gossip = self.timers.gossip.min(soon);
        }
    }

    /// Sends queued rumours to a few random peers.
    pub(super) fn gossip_round(&mut self, context: &mut RosterContext<'_>) {
        if context.now < self.timers.gossip || self.queue.is_empty() {
            return;
        }
        self.timers.gossip = context.now + self.settings.gossip_interval;
        self.timers.gossiped_at = context.now;
        let count = if std::mem::take(&mut self.broadcast) {
            self.settings.leave_fanout
        } else {
            self.settings.fanout
        };
        for peer in self.select_peers(count, &[]) {
            if !self.send_rumours(context, peer) {
                break;
            }
        }
    }

    fn send_rumours(&mut self, context: &mut RosterContext<'_>, peer: NodeId) -> bool {
        let Some(to) = self.table.get(peer).map(|entry| entry.facts.gossip_address) else {
            return true;
        };
        let purpose = MessagePurpose::Gossip;
        let limit = self.settings.datagram_bytes;
        let mut packer = DatagramPacker::new(limit, base_size(&purpose));
        let Some(class) = self.fill_datagram(&mut packer) else {
            return false;
        };
        self.send(context, class, to, purpose, packer.into_rumours())
    }

    /// Sends a probe or a reply to one, with rumours piggybacked.
    pub(super) fn send_probe(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        purpose: MessagePurpose,
        first: Option<MemberRumour>,
    ) -> bool {
        let base = base_size(&purpose);
        let mut packer = DatagramPacker::new(MAX_PROBE_PAYLOAD, base);
        if let Some(rumour) = first {
            packer.add(rumour, self.budget.allowance(SendClass::Probe));
        }
        self.fill_datagram(&mut packer);
        self.send(
            context,
            SendClass::Probe,
            to,
            purpose,
            packer.into_rumours(),
        )
    }

    /// Sends one datagram if the budget of its class permits. Returns whether it was sent.
    pub(super) fn send(
        &mut self,
        context: &mut RosterContext<'_>,
        class: SendClass,
        to: SocketAddr,
        purpose: MessagePurpose,
        rumours: Vec<MemberRumour>,
    ) -> bool {
        let message = RosterMessage {
            from: self.own_instance(),
            root: self.advertised_root(),
            purpose,
            rumours,
        };
        let bytes = crate::size::encoded_size(&message);
        if bytes > self.settings.datagram_bytes || !self.budget.take(class, bytes) {
            return false;
        }
        self.mark_own_sequence_sent(&message.rumours);
        context.command(RosterCommand::Send { to, message });
        true
    }

    /// Adds queued rumours as far as the datagram and the budget permit. Returns the most urgent
    /// class added.
    pub(super) fn fill_datagram(&mut self, packer: &mut DatagramPacker) -> Option<SendClass> {
        let mut first = None;
        let mut sent = Vec::new();
        let mut tried = BTreeSet::new();
        let mut rejected = 0;
        for queued in self.queue.first(MAX_CANDIDATES) {
            if !tried.insert(queued.batch()) {
                continue;
            }
            let before = sent.len();
            self.add_queued(packer, queued, &mut sent);
            if sent.len() > before {
                first = first.or(Some(queued.class));
            } else {
                rejected += 1;
            }
            if rejected >= MAX_REJECTED {
                break;
            }
        }
        self.count_sent(sent);
        first
    }

    fn add_queued(
        &mut self,
        packer: &mut DatagramPacker,
        queued: QueuedRumour,
        sent: &mut Vec<RumourSubject>,
    ) {
        let allowed = self.budget.allowance(queued.class);
        if let RumourSubject::Upstream(id) = queued.subject {
            self.add_upstreams(packer, id.node, queued.class, sent);
            return;
        }
        let Some(rumour) = self.rumour(queued.subject) else {
            self.queue.drop_subject(queued.subject);
            return;
        };
        if packer.add(rumour, allowed) {
            sent.push(queued.subject);
        }
    }

    /// Adds all queued upstreams of one member and class, as runs.
    fn add_upstreams(
        &mut self,
        packer: &mut DatagramPacker,
        node: NodeId,
        class: SendClass,
        sent: &mut Vec<RumourSubject>,
    ) {
        let allowed = self.budget.allowance(class);
        let slots = self.queue.upstreams_of(node, class);
        let Some(entry) = self.table.get(node).filter(|entry| entry.is_present()) else {
            for slot in slots {
                let subject = RumourSubject::Upstream(UpstreamId { node, slot });
                self.queue.drop_subject(subject);
            }
            return;
        };
        let entries = slots.iter().filter_map(|slot| entry.slots.get(*slot));
        for (service, mut runs) in slot_runs(entries) {
            while !runs.is_empty() {
                let rumour = MemberRumour::Upstreams {
                    instance: entry.instance(),
                    service: self.table.service_name(service).cloned(),
                    runs: runs.clone(),
                };
                if packer.add(rumour, allowed) {
                    break;
                }
                runs.truncate(runs.len() / 2);
            }
            for run in runs {
                let covered = (0..run.count).map(|step| run.first.wrapping_add(step));
                let ids = covered.map(|slot| UpstreamId { node, slot });
                sent.extend(ids.map(RumourSubject::Upstream));
            }
        }
    }

    fn rumour(&self, subject: RumourSubject) -> Option<MemberRumour> {
        match subject {
            RumourSubject::Member(node) => self.member_rumour(node),
            RumourSubject::Standing(node) => self.standing_rumour(node),
            RumourSubject::Suspect(node) => self.suspect_rumour(node),
            RumourSubject::Topic(topic, key) => self.topics.rumour(topic, key),
            RumourSubject::Upstream(_) => None,
        }
    }

    pub(super) fn member_rumour(&self, node: NodeId) -> Option<MemberRumour> {
        let entry = self.table.get(node).filter(|entry| entry.is_present())?;
        Some(MemberRumour::Member {
            facts: entry.facts.clone(),
            revision: entry.revision,
            standing: entry.standing,
        })
    }

    pub(super) fn standing_rumour(&self, node: NodeId) -> Option<MemberRumour> {
        let entry = self.table.get(node)?;
        Some(MemberRumour::Standing {
            instance: entry.instance(),
            revision: entry.revision,
            standing: entry.standing,
        })
    }

    pub(super) fn suspect_rumour(&self, node: NodeId) -> Option<MemberRumour> {
        let suspicion = self.suspicions.get(node)?;
        Some(MemberRumour::Suspect {
            instance: suspicion.instance,
            revision: suspicion.revision,
            observers: suspicion.observers.iter().copied().collect(),
        })
    }

    fn count_sent(&mut self, sent: Vec<RumourSubject>) {
        for subject in sent {
            self.count_transmission(subject);
        }
    }

    /// Counts a rumour received from a peer as one transmission of the same queued rumour, because
    /// peers know it already.
    pub(super) fn count_received(&mut self, subject: RumourSubject) {
        let class = self.queue.class(subject);
        if class.is_some_and(|class| class >= SendClass::Announce) {
            self.count_transmission(subject);
        }
    }

    fn count_transmission(&mut self, subject: RumourSubject) {
        let Some(class) = self.queue.class(subject) else {
            return;
        };
        let rounds = (self.probe_order.len() + 1).ilog10() + 2;
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX).max(1);
        let settings = &self.settings;
        let limit = match class {
            SendClass::Leave => rounds * (settings.transmit_factor + EXTRA_LEAVE_SENDS),
            SendClass::Death => (rounds * settings.transmit_factor).min(TOTAL_DEATH_SENDS / queued),
            _ => (rounds * settings.transmit_factor).min(TOTAL_SENDS / queued),
        };
        self.queue.count_sent(subject, limit);
    }

    /// Chooses random peers, those reachable from this node first.
    pub(super) fn select_peers(&mut self, count: usize, except: &[NodeId]) -> Vec<NodeId> {
        let mut sampled = self.sample_peers(count, except);
        sampled.sort_by_key(|node| !self.is_reachable(*node));
        sampled.truncate(count);
        sampled
    }

    fn sample_peers(&mut self, count: usize, except: &[NodeId]) -> Vec<NodeId> {
        let total = self.probe_order.len();
        let mut sampled = Vec::new();
        if total <= SHUFFLE_LIMIT.max(count * 2) {
            sampled.extend(
                self.probe_order
                    .iter()
                    .filter(|node| !except.contains(node)),
            );
            sampled.shuffle(&mut self.rng);
            return sampled;
        }
        for _ in 0..count * DRAWS_PER_PEER {
            let node = self.probe_order[self.rng.random_range(0..total)];
            if !except.contains(&node) && !sampled.contains(&node) {
                sampled.push(node);
            }
            if sampled.len() >= count * 2 {
                break;
            }
        }
        sampled
    }

    fn is_reachable(&self, node: NodeId) -> bool {
        self.table.get(node).is_some_and(MemberEntry::is_reachable)
    }
}
