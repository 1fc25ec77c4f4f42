//! Selects the nodes that follow the source of the fleet contract, and their distribution tree.
//!
//! ```text
//! source ◀── follow ── a few nodes of each failure domain
//!                        └─ announce ─▶ up to MAX_CHILDREN nodes each ─ announce ─▶ their children
//!                        ◀─── pull ───                                ◀─── pull ───
//! ```
//!
//! Every call to the source is billed, so only a few nodes of each failure domain follow it. The
//! nodes of a domain, ordered by id, form a tree with the followers as its roots, and a contract
//! propagates down the tree. No node sends it to more than its children, however large the domain
//! is.

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

/// Number of nodes that follow the source, spread over the failure domains. If the source refuses a
/// third of all nodes at the same time, the probability that it serves none of nine is one in
/// 20,000.
const FLEET_FOLLOWERS: usize = 9;
/// Minimum number of followers per failure domain, so that a domain that is cut off from the others
/// is served while one of its nodes restarts.
const MIN_DOMAIN_FOLLOWERS: usize = 2;
/// Maximum number of children that one node announces a contract to and sends it to: 100 KB to each
/// take a sixth of a second over a link of 20 Mbit/s.
const MAX_CHILDREN: usize = 4;
/// Nodes of other failure domains that a node announces a contract to. Each of these messages has
/// some sixty bytes and does not carry the contract.
const OTHER_DOMAIN_PEERS: usize = 2;
/// Time for which the followers of a failure domain must stay the same before a node relies on the
/// membership to select them: some rounds of gossip.
const FOLLOWER_SETTLE_TIME: Duration = Duration::from_millis(300);
/// The same in a fleet that starts for the first time, because its nodes join over some time. Until
/// then the nodes that started first follow the source.
const FIRST_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after which a node that knows no other member follows the source. In a fleet that starts
/// for the first time the node waits as long as for a contract, because nodes join over some time.
const ALONE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a node without a contract follows the source even if other nodes do, in a fleet
/// that starts for the first time: half of the time within which a starting node has to be ready.
const CONTRACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Range over which [`CONTRACT_TIMEOUT`] is spread, so that the first nodes to reach the source can
/// inform the others.
const CONTRACT_TIMEOUT_JITTER: Duration = Duration::from_secs(3);
/// Time for which a report that the source has no contract stays valid: several questions to peers,
/// one of which renews the report.
const SOURCE_REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Time for which an announced version may be missing before a node follows the source itself: two
/// attempts to pull it from a peer.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(1);

/// State that determines whether this node follows the source.
#[derive(Debug)]
pub(crate) struct FollowState {
    /// Whether the daemon was instructed to follow the source.
    pub(crate) active: bool,
    /// Whether this node was one of the first of a fleet that starts for the first time, and the
    /// membership has not settled since.
    is_early: bool,
    /// When the followers of this failure domain last changed.
    followers_changed_at: Duration,
    /// Time for which the followers must stay the same to count as settled.
    settle_time: Duration,
    /// When the followers first settled, or `None` if they have not yet.
    pub(crate) first_settled_at: Option<Duration>,
    /// The last computed order of this failure domain.
    order: Option<DomainOrder>,
    /// Whether the membership has changed since `order` was computed.
    is_stale: bool,
    /// When a node of the fleet last reached the source and found no contract there.
    empty_source_seen_at: Option<Duration>,
    /// When this node follows the source if it has no contract and no recent report that there is
    /// none.
    contract_timeout: Duration,
    /// When this node follows the source if it knows no other member.
    alone_timeout: Duration,
}

impl FollowState {
    pub(crate) fn new(first_start: bool, seed: u64) -> Self {
        let spread: f64 = SmallRng::seed_from_u64(seed).random();
        // If all nodes restart, callers are waiting, so each node follows the source at once.
        let contract_timeout = if first_start {
            CONTRACT_TIMEOUT + CONTRACT_TIMEOUT_JITTER.mul_f64(spread)
        } else {
            Duration::ZERO
        };
        Self {
            active: false,
            is_early: false,
            followers_changed_at: Duration::ZERO,
            settle_time: if first_start {
                FIRST_SETTLE_TIME
            } else {
                FOLLOWER_SETTLE_TIME
            },
            first_settled_at: None,
            order: None,
            is_stale: true,
            empty_source_seen_at: None,
            contract_timeout,
            alone_timeout: contract_timeout.max(ALONE_TIMEOUT),
        }
    }

    /// Marks the order as outdated because the membership changed.
    pub(crate) const fn members_changed(&mut self) {
        self.is_stale = true;
    }

    fn set_order(&mut self, now: Duration, order: DomainOrder) {
        let previous = self.order.as_ref().map(DomainOrder::followers);
        if previous != Some(order.followers()) {
            self.followers_changed_at = now;
        }
        self.order = Some(order);
        self.is_stale = false;
    }

    /// Records that a node of the fleet reached the source `age` ago and found no contract.
    pub(crate) fn on_empty_source(&mut self, now: Duration, age: Duration) {
        let at = now.checked_sub(age);
        self.empty_source_seen_at = self.empty_source_seen_at.max(at);
    }

    fn awaits_contract(&self, now: Duration) -> bool {
        now < self.contract_timeout
            || self
                .empty_source_seen_at
                .is_some_and(|seen| now < seen + SOURCE_REPORT_LIFETIME)
    }
}

/// The nodes of one failure domain, ordered by id. Ids are hashes of the node names, so all nodes
/// compute the same order and restarts do not change it.
#[derive(Clone, Debug)]
pub(crate) struct DomainOrder {
    nodes: Vec<NodeId>,
    followers: usize,
    index: usize,
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
    /// Creates the order of this node and the others of its failure domain, in a fleet of `domains`
    /// failure domains.
    pub(crate) fn new(own: NodeId, others: BTreeSet<NodeId>, domains: usize) -> Self {
        let mut domain_nodes = others;
        domain_nodes.insert(own);
        let nodes: Vec<NodeId> = domain_nodes.into_iter().collect();
        let index = nodes.iter().position(|node| *node == own).unwrap_or(0);
        let followers = FLEET_FOLLOWERS
            .div_ceil(domains.max(1))
            .max(MIN_DOMAIN_FOLLOWERS);
        Self {
            nodes,
            followers,
            index,
        }
    }

    fn followers(&self) -> &[NodeId] {
        let count = self.followers.min(self.nodes.len());
        self.nodes.get(..count).unwrap_or_default()
    }

    /// Returns whether this node is a root of the tree.
    pub(crate) const fn is_follower(&self) -> bool {
        self.index < self.followers
    }

    /// Returns the position of this node in the tree.
    pub(crate) fn tree_position(&self) -> TreePosition {
        let mut index = self.index;
        let mut depth = 0;
        while let Some(offset) = index.checked_sub(self.followers) {
            index = offset / MAX_CHILDREN;
            depth += 1;
        }
        let offset = self.index.checked_sub(self.followers);
        let is_first_child = offset.is_some_and(|offset| offset % MAX_CHILDREN == 0);
        TreePosition {
            depth,
            takes_over_in_outage: depth == 0 || depth == 1 && is_first_child,
        }
    }

    /// Returns the nodes that this node announces a contract to.
    pub(crate) fn children(&self) -> &[NodeId] {
        let first = self.followers + self.index * MAX_CHILDREN;
        let range: Range<usize> = first..first + MAX_CHILDREN;
        let last = range.end.min(self.nodes.len());
        self.nodes.get(range.start..last).unwrap_or_default()
    }

    /// Returns another node of the domain, cycling through all of them as `turn` grows. `None` if
    /// there is no other.
    pub(crate) fn peer_at(&self, turn: usize) -> Option<NodeId> {
        let others = self.nodes.len().checked_sub(1).filter(|count| *count > 0)?;
        let index = (self.index + 1 + turn % others) % self.nodes.len();
        self.nodes.get(index).copied()
    }

    /// Returns the node that announces contracts to this one. For a root, returns the next root, or
    /// `None` if there is no other.
    pub(crate) fn parent(&self) -> Option<NodeId> {
        let parent = match self.index.checked_sub(self.followers) {
            Some(offset) => offset / MAX_CHILDREN,
            None => (self.index + 1) % self.followers.min(self.nodes.len()),
        };
        let parent = (parent != self.index).then_some(parent)?;
        self.nodes.get(parent).copied()
    }
}

impl NodeEngine {
    /// Starts or stops following the source if the selection changed, and informs the daemon.
    pub(crate) fn update_following(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
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
        if self.fleet.version() == 0 && !self.fleet.follow.awaits_contract(now) {
            return true;
        }
        if self.roster.member_count() < 2 {
            return self.fleet.follow.active || now >= self.fleet.follow.alone_timeout;
        }
        if self.fleet.is_overdue(now, OVERDUE_TIMEOUT) {
            return true;
        }
        let follower = self.domain_order().is_follower();
        let contact_lost = self.fleet.version() > 0 && self.is_contact_lost(now);
        let joined = self.roster.is_joined();
        let follow = &mut self.fleet.follow;
        let settled = now >= follow.followers_changed_at + follow.settle_time && joined;
        if settled && follow.first_settled_at.is_none() {
            follow.first_settled_at = Some(now);
            follow.settle_time = FOLLOWER_SETTLE_TIME;
        }
        follow.is_early &= !settled;
        follow.is_early || follower && (settled || follow.active) || contact_lost
    }

    /// Handles the first read of the directory, which held `entries` other nodes. The first nodes
    /// of a fleet that starts for the first time follow the source until the membership selects the
    /// followers.
    pub(crate) fn on_directory_read(&mut self, entries: usize) {
        self.fleet.follow.is_early = self.settings.first_start && entries < FLEET_FOLLOWERS;
    }

    pub(crate) fn domain_order(&mut self) -> &DomainOrder {
        if self.fleet.follow.is_stale || self.fleet.follow.order.is_none() {
            let order = self.compute_domain_order();
            self.fleet.follow.set_order(self.now, order);
        }
        let own = self.own.instance.node;
        let order = &mut self.fleet.follow.order;
        order.get_or_insert_with(|| DomainOrder::new(own, BTreeSet::new(), 1))
    }

    fn compute_domain_order(&self) -> DomainOrder {
        let members = self.roster.members();
        let present = members.iter().filter(|member| member.standing.is_present());
        let mut domains = BTreeSet::from([&self.own.domain]);
        let mut domain_nodes = BTreeSet::new();
        for member in present {
            domains.insert(&member.facts.domain);
            if member.facts.domain == self.own.domain {
                domain_nodes.insert(member.facts.instance.node);
            }
        }
        DomainOrder::new(self.own.instance.node, domain_nodes, domains.len())
    }

    /// Announces a version to the children of this node in its failure domain and to some nodes of
    /// other domains.
    pub(crate) fn announce_head(&mut self, version: u64, out: &mut Vec<NodeCommand>) {
        let mut receivers = self.present_children();
        receivers.extend(self.other_domain_peers());
        for node in receivers {
            self.send_peer(node, PeerMessage::FleetHead { version }, out);
        }
    }

    /// Returns the children of this node in its failure domain that are present in the membership.
    pub(crate) fn present_children(&mut self) -> Vec<InstanceId> {
        let children = self.domain_order().children().to_vec();
        let present = children.iter().filter_map(|node| self.instance_of(*node));
        present.collect()
    }

    /// Returns the next nodes of other failure domains after this one, in cyclic order of the node
    /// ids.
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

    /// Returns how long ago a node of the fleet reached the source and found no contract, or `None`
    /// if there is no recent report.
    pub(crate) fn empty_source_age(&self, now: Duration) -> Option<Duration> {
        if self.fleet.follow.active && self.log_reachable {
            return Some(Duration::ZERO);
        }
        let seen = self.fleet.follow.empty_source_seen_at?;
        let age = now.saturating_sub(seen);
        (age < SOURCE_REPORT_LIFETIME).then_some(age)
    }
}
