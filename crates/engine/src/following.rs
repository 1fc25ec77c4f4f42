//! Which nodes follow the source of the fleet contract, and how the others come by a contract.
//!
//! ```text
//! source ◀── follow ── a few nodes of each failure domain
//!                        └─ tell ─▶ up to CHILDREN nodes each ─ tell ─▶ theirs
//!                        ◀─ pull ──                            ◀─ pull ─
//! ```
//!
//! Every call to the source has a price, so a few nodes of each failure domain follow it. The nodes of
//! a domain, in the order of their ids, form a tree with these at its roots, and a contract goes down
//! the tree. No node sends it to more than its children, however large the domain is.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{InstanceId, NodeId};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Nodes of the whole fleet that follow the source, spread over the failure domains. Where a third of all
/// nodes is turned away by it at the same time, the chance that none of nine is served is one in 20,000.
const FOLLOWERS: usize = 9;
/// The same of each failure domain at least, so that one that is cut off from the others is served while
/// one of its nodes restarts.
const DOMAIN_FOLLOWERS: usize = 2;
/// Nodes that one node tells of a contract and sends it to: 100 KB to each take a sixth of a second over
/// a link of 20 Mbit/s.
const CHILDREN: usize = 4;
/// Nodes of other failure domains that a node tells of a contract. Each of these messages has some
/// sixty bytes and does not carry the contract.
const OTHER_DOMAIN_PEERS: usize = 2;
/// How long the first nodes of a failure domain must be the same before a node trusts the membership to tell
/// who follows: some rounds of gossip.
const SETTLED_FOR: Duration = Duration::from_millis(300);
/// The same in a fleet that starts for the first time, whose nodes join over some time: until then the first of
/// them follow.
const FIRST_SETTLED_FOR: Duration = Duration::from_secs(4);
/// When a node that has met nobody follows the source by itself. In a fleet that starts for the first time
/// it waits as long as for a contract, since nodes meet over some time.
const ALONE_AFTER: Duration = Duration::from_millis(700);
/// When a node without a contract follows the source, whoever else does, in a fleet that starts for the
/// first time: half of the time in which a node that starts has to be ready.
const CONTRACT_AFTER: Duration = Duration::from_secs(3);
/// Time over which nodes that lose this patience spread, so that the first of them can tell the others.
const CONTRACT_SPREAD: Duration = Duration::from_secs(3);
/// How long it holds that somebody reached the source and found no contract there: some questions to
/// peers, one of which brings the news again.
const SEEN_FOR: Duration = Duration::from_secs(5);
/// How long a version that is heard of may be missing before a node looks at the source itself: two tries to
/// take it from a peer.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);

/// What a node knows of who follows the source.
#[derive(Debug)]
pub(crate) struct FollowState {
    /// Whether the daemon was told to follow the source.
    pub(crate) active: bool,
    /// Whether this node was one of the first of a fleet that starts for the first time.
    early: bool,
    /// When the followers by the order of the failure domain last changed.
    changed: Duration,
    /// How long they must be the same to be trusted.
    settled_for: Duration,
    /// When they were first trusted.
    pub(crate) first_settled: Option<Duration>,
    /// The order of this failure domain as last worked out.
    order: Option<DomainOrder>,
    /// Whether the membership changed since then.
    stale: bool,
    /// When somebody last reached the source and found no contract there.
    seen: Option<Duration>,
    /// When a node without a contract follows the source unless somebody has seen it.
    patience: Duration,
    /// When a node that has met nobody follows the source.
    alone_after: Duration,
}

impl FollowState {
    pub(crate) fn new(first_start: bool, seed: u64) -> Self {
        let spread: f64 = SmallRng::seed_from_u64(seed).random();
        // Where all nodes restart, callers are waiting, and each looks at the source at once.
        let patience = if first_start {
            CONTRACT_AFTER + CONTRACT_SPREAD.mul_f64(spread)
        } else {
            Duration::ZERO
        };
        Self {
            active: false,
            early: false,
            changed: Duration::ZERO,
            settled_for: if first_start {
                FIRST_SETTLED_FOR
            } else {
                SETTLED_FOR
            },
            first_settled: None,
            order: None,
            stale: true,
            seen: None,
            patience,
            alone_after: patience.max(ALONE_AFTER),
        }
    }

    /// The membership changed.
    pub(crate) const fn members_changed(&mut self) {
        self.stale = true;
    }

    fn take_order(&mut self, now: Duration, order: DomainOrder) {
        let known = self.order.as_ref().map(DomainOrder::followers);
        if known != Some(order.followers()) {
            self.changed = now;
        }
        self.order = Some(order);
        self.stale = false;
    }

    /// Somebody reached the source so long ago, and found no contract.
    pub(crate) fn source_seen(&mut self, now: Duration, age: Duration) {
        let at = now.checked_sub(age);
        self.seen = self.seen.max(at);
    }

    fn is_patient(&self, now: Duration) -> bool {
        now < self.patience || self.seen.is_some_and(|seen| now < seen + SEEN_FOR)
    }
}

/// The nodes of one failure domain in the order of their ids, which are hashes of their names: all nodes
/// agree on it, and it stays over restarts.
#[derive(Clone, Debug)]
pub(crate) struct DomainOrder {
    nodes: Vec<NodeId>,
    followers: usize,
    place: usize,
}

/// Position of a node in the tree of its failure domain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TreePosition {
    /// Depth in the tree, 0 at a root.
    pub(crate) depth: u32,
    /// Whether the node follows the source when its ancestors still send messages but no longer
    /// reach it. Limited to the roots and the first child of each, two nodes per root, to bound the
    /// load on the source during an outage.
    pub(crate) takes_over_in_outage: bool,
}

impl DomainOrder {
    /// The order of these nodes and of this one, in a fleet of so many failure domains.
    pub(crate) fn new(own: NodeId, others: BTreeSet<NodeId>, domains: usize) -> Self {
        let mut near = others;
        near.insert(own);
        let nodes: Vec<NodeId> = near.into_iter().collect();
        let place = nodes.iter().position(|node| *node == own).unwrap_or(0);
        let followers = FOLLOWERS.div_ceil(domains.max(1)).max(DOMAIN_FOLLOWERS);
        Self {
            nodes,
            followers,
            place,
        }
    }

    fn followers(&self) -> &[NodeId] {
        let count = self.followers.min(self.nodes.len());
        self.nodes.get(..count).unwrap_or_default()
    }

    /// Whether this node is at a root of the tree.
    pub(crate) const fn is_follower(&self) -> bool {
        self.place < self.followers
    }

    /// Position of this node in the tree.
    pub(crate) fn tree_position(&self) -> TreePosition {
        let mut place = self.place;
        let mut depth = 0;
        while let Some(below) = place.checked_sub(self.followers) {
            place = below / CHILDREN;
            depth += 1;
        }
        let below = self.place.checked_sub(self.followers);
        let is_first_child = below.is_some_and(|below| below % CHILDREN == 0);
        TreePosition {
            depth,
            takes_over_in_outage: depth == 0 || depth == 1 && is_first_child,
        }
    }

    /// The nodes that this one tells of a contract.
    pub(crate) fn children(&self) -> &[NodeId] {
        let first = self.followers + self.place * CHILDREN;
        let range: Range<usize> = first..first + CHILDREN;
        let last = range.end.min(self.nodes.len());
        self.nodes.get(range.start..last).unwrap_or_default()
    }

    /// Another node of the domain, each in its turn.
    pub(crate) fn other_at(&self, turn: usize) -> Option<NodeId> {
        let others = self.nodes.len().checked_sub(1).filter(|count| *count > 0)?;
        let place = (self.place + 1 + turn % others) % self.nodes.len();
        self.nodes.get(place).copied()
    }

    /// The node that tells this one; for one at a root, the next one there, if there is another.
    pub(crate) fn parent(&self) -> Option<NodeId> {
        let parent = match self.place.checked_sub(self.followers) {
            Some(below) => below / CHILDREN,
            None => (self.place + 1) % self.followers.min(self.nodes.len()),
        };
        let parent = (parent != self.place).then_some(parent)?;
        self.nodes.get(parent).copied()
    }
}

impl NodeEngine {
    /// Tells the daemon when this node begins or ceases to follow the source.
    pub(crate) fn choose_follower(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let follow = self.follows_source(now);
        if follow != self.fleet.follow.active {
            self.fleet.follow.active = follow;
            out.push(NodeCommand::FollowSource { follow });
            out.push(NodeCommand::Note(NodeNote::SourceFollowed {
                follow,
                version: self.fleet.version(),
                members: self.roster.member_count(),
            }));
        }
    }

    fn follows_source(&mut self, now: Duration) -> bool {
        if self.fleet.version() == 0 && !self.fleet.follow.is_patient(now) {
            return true;
        }
        if self.roster.member_count() < 2 {
            return self.fleet.follow.active || now >= self.fleet.follow.alone_after;
        }
        if self.fleet.is_overdue(now, OVERDUE_AFTER) {
            return true;
        }
        let follower = self.domain_order().is_follower();
        let contact_lost = self.fleet.version() > 0 && self.is_contact_lost(now);
        let joined = self.roster.is_joined();
        let follow = &mut self.fleet.follow;
        let settled = now >= follow.changed + follow.settled_for && joined;
        if settled && follow.first_settled.is_none() {
            follow.first_settled = Some(now);
            follow.settled_for = SETTLED_FOR;
        }
        follow.early &= !settled;
        follow.early || follower && (settled || follow.active) || contact_lost
    }

    /// The directory held so many entries when this node first read it. The first nodes of a fleet that
    /// starts follow the source until the membership tells who does.
    pub(crate) fn on_directory_read(&mut self, entries: usize) {
        self.fleet.follow.early = self.settings.first_start && entries < FOLLOWERS;
    }

    pub(crate) fn domain_order(&mut self) -> &DomainOrder {
        if self.fleet.follow.stale || self.fleet.follow.order.is_none() {
            let order = self.order_domain();
            self.fleet.follow.take_order(self.now, order);
        }
        let own = self.own.instance.node;
        let order = &mut self.fleet.follow.order;
        order.get_or_insert_with(|| DomainOrder::new(own, BTreeSet::new(), 1))
    }

    fn order_domain(&self) -> DomainOrder {
        let members = self.roster.members();
        let present = members.iter().filter(|member| member.standing.is_present());
        let mut domains = BTreeSet::from([&self.own.domain]);
        let mut near = BTreeSet::new();
        for member in present {
            domains.insert(&member.facts.domain);
            if member.facts.domain == self.own.domain {
                near.insert(member.facts.instance.node);
            }
        }
        DomainOrder::new(self.own.instance.node, near, domains.len())
    }

    /// Tells the children of this node in its failure domain, and some nodes of other domains, that
    /// it has a version.
    pub(crate) fn tell_head(&mut self, version: u64, out: &mut Vec<NodeCommand>) {
        let mut told = self.present_children();
        told.extend(self.other_domain_peers());
        for node in told {
            self.send_peer(node, PeerMessage::FleetHead { version }, out);
        }
    }

    /// The children of this node in its failure domain that are present in the membership.
    pub(crate) fn present_children(&mut self) -> Vec<InstanceId> {
        let children = self.domain_order().children().to_vec();
        let present = children.iter().filter_map(|node| self.instance_of(*node));
        present.collect()
    }

    /// The next nodes of other failure domains after this one, in cyclic order of the node ids.
    ///
    /// Guards against delayed contracts while the followers of a domain, or the ancestors of a node
    /// in its tree, are unreachable but not yet detected as dead. Ids are hashes, so the nodes that
    /// precede a node in this order are spread randomly over the other domains.
    fn other_domain_peers(&self) -> Vec<InstanceId> {
        let own = self.own.instance.node;
        let members = self.roster.members();
        let after = members.partition_point(|member| member.facts.instance.node <= own);
        let (before, next) = members.split_at(after);
        let ring = next.iter().chain(before);
        let others = ring.filter(|member| member.facts.domain != self.own.domain);
        let instances = others.map(|member| member.facts.instance);
        instances.take(OTHER_DOMAIN_PEERS).collect()
    }

    /// What this node can say of a source without a contract: how long ago somebody reached it.
    pub(crate) fn source_seen_ago(&self, now: Duration) -> Option<Duration> {
        if self.fleet.follow.active && self.log_reachable {
            return Some(Duration::ZERO);
        }
        let seen = self.fleet.follow.seen?;
        let age = now.saturating_sub(seen);
        (age < SEEN_FOR).then_some(age)
    }
}
