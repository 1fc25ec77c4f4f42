//! Rounds of rumours, and everything that is sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use sycamorelink_core::{NodeId, UpstreamId};

use super::{NodeRoster, RosterStep};
use crate::budget::SendClass;
use crate::event::RosterCommand;
use crate::message::{MemberRumour, MessagePurpose, RosterMessage};
use crate::packer::{DatagramPacker, base_size};
use crate::queue::{QueuedRumour, RumourSubject};
use crate::slots::slot_runs;
use crate::table::MemberEntry;

/// Queue entries looked at for one datagram.
const CANDIDATES: usize = 96;

/// Entries that do not fit, after which a datagram counts as full.
const REFUSED_MAX: usize = 4;

/// Largest payload of a probe or its answer with rumours riding along, in bytes.
const PROBE_PAYLOAD: usize = 500;

/// Urgent news waits this long for others, so that many share one datagram.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Shortest time between two rounds.
const ROUND_GAP: Duration = Duration::from_millis(20);

/// Up to this many members, peers are drawn by shuffling all of them.
const SMALL_FLEET: usize = 64;

/// Draws for each peer wanted, in a large fleet.
const DRAWS: usize = 6;

/// Sendings of all queued news together. When many members change at once each change is sent on
/// less often, down to once: digests heal what that misses sooner than a long queue empties.
const QUEUE_SENDS: u32 = 128;

/// The same of deaths and suspicions.
const DEATH_SENDS: u32 = 1_024;

/// Sendings of news of a leave, beyond those of other news, for each power of ten.
const LEAVE_EXTRA: u32 = 2;

impl NodeRoster {
    /// Queues news; urgent news brings the next round forward.
    pub(super) fn spread(
        &mut self,
        step: &RosterStep<'_>,
        class: SendClass,
        subject: RumourSubject,
    ) {
        self.queue.push(class, subject);
        if class <= SendClass::Head {
            let earliest = self.timers.gossiped_at + ROUND_GAP;
            let soon = (step.now + GATHER_TIME).max(earliest);
            self.timers.gossip = self.timers.gossip.min(soon);
        }
    }

    /// Sends queued news to some peers.
    pub(super) fn gossip_round(&mut self, step: &mut RosterStep<'_>) {
        if step.now < self.timers.gossip || self.queue.is_empty() {
            return;
        }
        self.timers.gossip = step.now + self.settings.gossip_interval;
        self.timers.gossiped_at = step.now;
        let count = if std::mem::take(&mut self.broadcast) {
            self.settings.leave_fanout
        } else {
            self.settings.fanout
        };
        for peer in self.pick_peers(count, &[]) {
            if !self.send_rumours(step, peer) {
                break;
            }
        }
    }

    fn send_rumours(&mut self, step: &mut RosterStep<'_>, peer: NodeId) -> bool {
        let Some(to) = self.table.get(peer).map(|entry| entry.facts.gossip_address) else {
            return true;
        };
        let purpose = MessagePurpose::Gossip;
        let limit = self.settings.datagram_bytes;
        let mut packer = DatagramPacker::new(limit, base_size(&purpose));
        let Some(class) = self.fill(&mut packer) else {
            return false;
        };
        self.send(step, class, to, purpose, packer.into_rumours())
    }

    /// Sends a probe or an answer, with news riding along.
    pub(super) fn send_probe(
        &mut self,
        step: &mut RosterStep<'_>,
        to: SocketAddr,
        purpose: MessagePurpose,
        first: Option<MemberRumour>,
    ) -> bool {
        let base = base_size(&purpose);
        let mut packer = DatagramPacker::new(PROBE_PAYLOAD, base);
        if let Some(rumour) = first {
            packer.add(rumour, self.budget.allowance(SendClass::Probe));
        }
        self.fill(&mut packer);
        self.send(step, SendClass::Probe, to, purpose, packer.into_rumours())
    }

    /// Sends one datagram if the budget of its class allows it.
    pub(super) fn send(
        &mut self,
        step: &mut RosterStep<'_>,
        class: SendClass,
        to: SocketAddr,
        purpose: MessagePurpose,
        rumours: Vec<MemberRumour>,
    ) -> bool {
        let message = RosterMessage {
            from: self.own_instance(),
            root: self.told_root(),
            purpose,
            rumours,
        };
        let bytes = crate::size::encoded_size(&message);
        if bytes > self.settings.datagram_bytes || !self.budget.take(class, bytes) {
            return false;
        }
        self.mark_seen(&message.rumours);
        step.command(RosterCommand::Send { to, message });
        true
    }

    /// Adds queued news as far as datagram and budget allow. Returns the most urgent class added.
    pub(super) fn fill(&mut self, packer: &mut DatagramPacker) -> Option<SendClass> {
        let mut first = None;
        let mut sent = Vec::new();
        let mut tried = BTreeSet::new();
        let mut refused = 0;
        for queued in self.queue.first(CANDIDATES) {
            if !tried.insert(queued.batch()) {
                continue;
            }
            let before = sent.len();
            self.add_queued(packer, queued, &mut sent);
            if sent.len() > before {
                first = first.or(Some(queued.class));
            } else {
                refused += 1;
            }
            if refused >= REFUSED_MAX {
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

    /// Adds all queued upstreams of one member in one class, as runs.
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
        let suspicion = self.suspects.get(node)?;
        Some(MemberRumour::Suspect {
            instance: suspicion.instance,
            revision: suspicion.revision,
            observers: suspicion.observers.iter().copied().collect(),
        })
    }

    fn count_sent(&mut self, sent: Vec<RumourSubject>) {
        for subject in sent {
            self.count_one(subject);
        }
    }

    /// A peer sent news that is queued here: peers know it already, so it is sent on less often.
    pub(super) fn count_heard(&mut self, subject: RumourSubject) {
        let class = self.queue.class(subject);
        if class.is_some_and(|class| class >= SendClass::Up) {
            self.count_one(subject);
        }
    }

    fn count_one(&mut self, subject: RumourSubject) {
        let Some(class) = self.queue.class(subject) else {
            return;
        };
        let powers = (self.order.len() + 1).ilog10() + 2;
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX).max(1);
        let settings = &self.settings;
        let limit = match class {
            SendClass::Leave => powers * (settings.transmit_factor + LEAVE_EXTRA),
            SendClass::Death => (powers * settings.transmit_factor).min(DEATH_SENDS / waiting),
            _ => (powers * settings.transmit_factor).min(QUEUE_SENDS / waiting),
        };
        self.queue.count_sent(subject, limit);
    }

    /// Draws peers, those that this node reaches first.
    pub(super) fn pick_peers(&mut self, count: usize, except: &[NodeId]) -> Vec<NodeId> {
        let mut drawn = self.draw(count, except);
        drawn.sort_by_key(|node| !self.is_reachable(*node));
        drawn.truncate(count);
        drawn
    }

    fn draw(&mut self, count: usize, except: &[NodeId]) -> Vec<NodeId> {
        let total = self.order.len();
        let mut drawn = Vec::new();
        if total <= SMALL_FLEET.max(count * 2) {
            drawn.extend(self.order.iter().filter(|node| !except.contains(node)));
            drawn.shuffle(&mut self.rng);
            return drawn;
        }
        for _ in 0..count * DRAWS {
            let node = self.order[self.rng.random_range(0..total)];
            if !except.contains(&node) && !drawn.contains(&node) {
                drawn.push(node);
            }
            if drawn.len() >= count * 2 {
                break;
            }
        }
        drawn
    }

    fn is_reachable(&self, node: NodeId) -> bool {
        self.table.get(node).is_some_and(MemberEntry::is_reachable)
    }
}
