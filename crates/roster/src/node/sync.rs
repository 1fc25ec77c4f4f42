//! Anti-entropy: detection and repair of differences that gossip left.
//!
//! ```text
//! A                                   B
//! |-- Buckets (a hash each) --------->|  compares
//! |<- BucketMembers (of some that ----|
//! |   differ: a hash per member)      |
//! |-- Pull (members that differ) ---->|
//! |<- State --------------------------|
//! |-- State (where A was newer) ----->|  unless the hashes agree by then
//! ```
//!
//! A joining node, whose roster differs everywhere, runs the same exchange with many peers in quick
//! succession until no unknown member is left.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use sycamorelink_core::NodeId;

use super::full_state::read_hashes;
use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::digest::BUCKETS;
use crate::message::{BucketList, MemberDigest, MemberRumour, MessagePurpose};
use crate::packer::{DatagramPacker, base_size};
use crate::size::encoded_size;
use crate::slots::slot_runs;
use crate::table::MemberEntry;

/// Time between two exchanges while joining.
const JOIN_SYNC_INTERVAL: Duration = Duration::from_millis(300);

/// Peers considered for one exchange while joining; one that has joined itself is preferred.
const JOIN_CANDIDATES: usize = 6;

/// Delay after which state is sent to a peer whose hash of a member differed.
const OFFER_DELAY: Duration = Duration::from_millis(600);

/// Maximum number of pending offers.
const MAX_OFFERS: usize = 64;

/// Maximum number of members requested in one datagram.
const MAX_PULL_NODES: usize = 32;

/// Maximum number of members whose state is sent per request.
const MAX_STATE_NODES: usize = 32;

/// State of a member to send to a peer whose own state of that member differs.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateOffer {
    peer: NodeId,
    node: NodeId,
    /// Hash of the peer's state; zero if the peer lacked the member.
    hash: u32,
    due: Duration,
}

impl NodeRoster {
    /// Starts an exchange with a present member whose root hash differs, at most once per interval.
    pub(super) fn sync_if_different(
        &mut self,
        context: &mut RosterContext<'_>,
        peer: NodeId,
        to: SocketAddr,
        root: u32,
    ) {
        let present = self.table.get(peer).is_some_and(MemberEntry::is_present);
        if !present {
            return;
        }
        if root == self.root() {
            self.finish_join(context);
            return;
        }
        if root == 0 || context.now < self.timers.sync {
            return;
        }
        self.start_sync(context, to);
    }

    /// Starts the next exchange while joining, each with a random peer.
    pub(super) fn sync_while_joining(&mut self, context: &mut RosterContext<'_>) {
        if self.joined || context.now < self.timers.sync {
            return;
        }
        let mut peers = self.select_peers(JOIN_CANDIDATES, &[]);
        peers.sort_by_key(|peer| self.table.get(*peer).is_none_or(|entry| entry.joining));
        if let Some(to) = peers.first().and_then(|peer| self.address(*peer)) {
            self.start_sync(context, to);
        }
    }

    fn start_sync(&mut self, context: &mut RosterContext<'_>, to: SocketAddr) {
        let interval = if self.joined {
            let jitter = self.rng.random_range(0.75..1.25);
            self.settings.sync_interval.mul_f64(jitter)
        } else {
            JOIN_SYNC_INTERVAL
        };
        self.timers.sync = context.now + interval;
        let mut hashes = self.bucket_hashes();
        hashes.extend(self.topics.digest().to_le_bytes());
        let purpose = MessagePurpose::Buckets { hashes };
        self.send(context, SendClass::Sync, to, purpose, Vec::new());
    }

    /// Replies with the members of buckets that differ, as many as fit into one datagram.
    pub(super) fn compare_buckets(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        hashes: &[u8],
    ) {
        let remote = read_hashes(hashes);
        if remote.len() != BUCKETS + 1 {
            return;
        }
        if remote[BUCKETS] != self.topics.digest() {
            let heads = self.topics.heads();
            self.send_topics(context, to, heads, false);
        }
        let digest = self.table.digest();
        let mut differing: Vec<usize> = (0..BUCKETS)
            .filter(|bucket| digest.hash(*bucket) != remote[*bucket])
            .collect();
        let count = u16::try_from(differing.len()).unwrap_or(u16::MAX);
        differing.shuffle(&mut self.rng);
        let mut buckets = Vec::new();
        let mut purpose = bucket_members(count, &buckets);
        for bucket in differing {
            buckets.push(self.list_bucket(bucket));
            let longer = bucket_members(count, &buckets);
            if base_size(&longer) > self.settings.datagram_bytes {
                break;
            }
            purpose = longer;
        }
        self.send(context, SendClass::Sync, to, purpose, Vec::new());
    }

    fn list_bucket(&self, bucket: usize) -> BucketList {
        let members = self
            .table
            .bucket(bucket)
            .map(|entry| MemberDigest {
                node: entry.instance().node,
                hash: entry.hash(),
            })
            .collect();
        BucketList {
            bucket: u16::try_from(bucket).unwrap_or(u16::MAX),
            members,
        }
    }

    /// Requests members whose hashes differ and schedules offers for those the peer may lack.
    pub(super) fn compare_members(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        peer: NodeId,
        differing: u16,
        buckets: &[BucketList],
    ) {
        let mut wanted = Vec::new();
        let mut unknown = false;
        for list in buckets {
            unknown |= self.compare_bucket(context, peer, list, &mut wanted);
        }
        let complete = usize::from(differing) == buckets.len();
        if complete && !unknown {
            self.finish_join(context);
        }
        self.request_states(context, from, &wanted);
    }

    fn compare_bucket(
        &mut self,
        context: &RosterContext<'_>,
        peer: NodeId,
        list: &BucketList,
        wanted: &mut Vec<NodeId>,
    ) -> bool {
        let mut unknown = false;
        for remote in &list.members {
            let own = self.table.get(remote.node);
            let hash = own.map_or(0, MemberEntry::hash);
            if hash == remote.hash {
                continue;
            }
            unknown |= own.is_none();
            wanted.push(remote.node);
            self.schedule_offer(context, peer, remote.node, remote.hash);
        }
        let bucket = usize::from(list.bucket);
        if bucket >= BUCKETS {
            return unknown;
        }
        let absent: Vec<NodeId> = self
            .table
            .bucket(bucket)
            .map(|entry| entry.instance().node)
            .filter(|node| list.members.iter().all(|remote| remote.node != *node))
            .collect();
        for node in absent {
            wanted.push(node);
            self.schedule_offer(context, peer, node, 0);
        }
        unknown
    }

    fn schedule_offer(
        &mut self,
        context: &RosterContext<'_>,
        peer: NodeId,
        node: NodeId,
        hash: u32,
    ) {
        if self.offers.len() >= MAX_OFFERS {
            return;
        }
        let due = context.now + OFFER_DELAY;
        self.offers.push_back(StateOffer {
            peer,
            node,
            hash,
            due,
        });
    }

    fn request_states(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        wanted: &[NodeId],
    ) {
        let wanted: Vec<NodeId> = wanted
            .iter()
            .copied()
            .filter(|node| self.try_record_pull(context.now, *node))
            .collect();
        for nodes in wanted.chunks(MAX_PULL_NODES) {
            let nodes = nodes.to_vec();
            let purpose = MessagePurpose::Pull { nodes };
            self.send(context, SendClass::Sync, from, purpose, Vec::new());
        }
    }

    /// Sends due offers, except those whose hashes agree by now.
    pub(super) fn send_offers(&mut self, context: &mut RosterContext<'_>) {
        while let Some(offer) = self.offers.front().copied() {
            if offer.due > context.now {
                return;
            }
            self.offers.pop_front();
            let hash = self.table.get(offer.node).map_or(0, MemberEntry::hash);
            if hash == offer.hash {
                continue;
            }
            if let Some(to) = self.address(offer.peer) {
                self.send_states(context, to, &[offer.node]);
            }
        }
    }

    /// Sends the state of members as far as the budget permits.
    pub(super) fn send_states(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        nodes: &[NodeId],
    ) {
        let limit = self.settings.datagram_bytes;
        let base = base_size(&MessagePurpose::State);
        let mut packer = DatagramPacker::new(limit, base);
        let pieces: Vec<MemberRumour> = nodes
            .iter()
            .take(MAX_STATE_NODES)
            .flat_map(|node| self.state_of(*node))
            .collect();
        for piece in pieces {
            if packer.add(piece.clone(), limit) {
                continue;
            }
            let full = std::mem::replace(&mut packer, DatagramPacker::new(limit, base));
            if !self.send_state(context, to, full) {
                return;
            }
            packer.add(piece, limit);
        }
        self.send_state(context, to, packer);
    }

    fn send_state(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        packer: DatagramPacker,
    ) -> bool {
        if packer.is_empty() {
            return true;
        }
        let rumours = packer.into_rumours();
        self.send(context, SendClass::Sync, to, MessagePurpose::State, rumours)
    }

    /// Returns the state of one member in rumours that fit into a datagram each.
    pub(super) fn state_of(&self, node: NodeId) -> Vec<MemberRumour> {
        /// Maximum encoded size of one run, in bytes.
        const RUN_BYTES: usize = 3 + 3 + 3 + 1 + 5;
        let Some(entry) = self.table.get(node) else {
            return Vec::new();
        };
        if !entry.is_present() {
            return self.standing_rumour(node).into_iter().collect();
        }
        let mut pieces: Vec<MemberRumour> = self.member_rumour(node).into_iter().collect();
        for (service, runs) in slot_runs(entry.slots.iter()) {
            let service = self.table.service_name(service).cloned();
            let head = MemberRumour::Upstreams {
                instance: entry.instance(),
                service: service.clone(),
                runs: Vec::new(),
            };
            let base = base_size(&MessagePurpose::State);
            let overhead = base + encoded_size(&head) + 8;
            let available = self.settings.datagram_bytes.saturating_sub(overhead);
            for chunk in runs.chunks((available / RUN_BYTES).max(1)) {
                pieces.push(MemberRumour::Upstreams {
                    instance: entry.instance(),
                    service: service.clone(),
                    runs: chunk.to_vec(),
                });
            }
        }
        pieces
    }
}

fn bucket_members(differing: u16, buckets: &[BucketList]) -> MessagePurpose {
    MessagePurpose::BucketMembers {
        differing,
        buckets: buckets.to_vec(),
    }
}
