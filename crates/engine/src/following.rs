//! Which nodes follow the source of the fleet contract.
//!
//! ```text
//! source ◀── follow ── a few nodes of each failure domain
//!                            └─ rumour of a version ──▶ all others ── pull ──▶ a peer that has it
//! ```
//!
//! Pattern: hundreds of nodes wait at one service for a change that comes a few times a minute. Each
//! change answers all of them, each loss of its history makes all of them look again, each refusal is
//! tried again by all, and every call has a price. A change reaches every node over the peers within
//! half a second anyway, since some are always turned away by the source. So a few nodes of each
//! failure domain follow it. On a fleet of 24 in six failure domains that takes a quarter of the calls away, on
//! one of 86 in three more than half.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::{InstanceId, NodeId};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Nodes of the whole fleet that follow the source, spread over the failure domains. Where a third of all
/// nodes is turned away by it at the same time, the chance that none of nine is served is one in 20,000.
const FOLLOWERS: usize = 9;
/// The same of each failure domain at least, so that one that is cut off from the others is served while
/// one of its nodes restarts.
const DOMAIN_FOLLOWERS: usize = 2;
/// Nodes of a failure domain to one follower at most: as many as it can send a contract of 100 KB within a
/// second over a link of 20 Mbit/s.
const FOLLOWED_MOST: usize = 16;
/// How long the membership must be unchanged before a node that starts trusts it to tell who follows:
/// some rounds of gossip.
const JOINED_FOR: Duration = Duration::from_millis(300);
/// When a node that has met nobody follows the source by itself.
const ALONE_AFTER: Duration = Duration::from_millis(700);
/// When a node without a contract follows the source, whoever else does, in a fleet that starts for the
/// first time: half of the time in which a node that starts has to be ready.
const CONTRACT_AFTER: Duration = Duration::from_secs(3);
/// How long a version that is heard of may be missing before a node looks at the source itself: two tries to
/// take it from a peer.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);

impl NodeEngine {
    /// Tells the daemon when this node begins or ceases to follow the source.
    pub(crate) fn choose_follower(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let follow = self.follows_source(now);
        if follow != self.fleet.following {
            self.fleet.following = follow;
            out.push(NodeCommand::FollowSource { follow });
        }
    }

    fn follows_source(&self, now: Duration) -> bool {
        // Failure: all nodes lose power and come back, and callers are refused for another second while
        // each waits to hear who follows. Only a fleet that has no callers yet has that time.
        let patience = if self.settings.first_start {
            CONTRACT_AFTER
        } else {
            Duration::ZERO
        };
        if self.fleet.version() == 0 && now >= patience {
            return true;
        }
        if self.roster.member_count() < 2 {
            return self.fleet.following || now >= ALONE_AFTER;
        }
        if self.fleet.is_overdue(now, OVERDUE_AFTER) {
            return true;
        }
        let joined = now >= self.roster_changed_at + JOINED_FOR;
        if joined || self.fleet.following {
            self.is_follower()
        } else {
            false
        }
    }

    fn is_follower(&self) -> bool {
        self.near_followers().contains(&self.own.instance.node)
    }

    /// The followers of this node's failure domain: the first of its nodes, in the order of their ids.
    /// These are hashes of their names, so that all nodes agree on them and they stay over restarts.
    fn near_followers(&self) -> Vec<NodeId> {
        let members = self.roster.members();
        let present = members.iter().filter(|member| member.standing.is_present());
        let mut domains = BTreeSet::from([&self.own.domain]);
        let mut near = BTreeSet::from([self.own.instance.node]);
        for member in present {
            domains.insert(&member.facts.domain);
            if member.facts.domain == self.own.domain {
                near.insert(member.facts.instance.node);
            }
        }
        let count = FOLLOWERS
            .div_ceil(domains.len())
            .max(near.len().div_ceil(FOLLOWED_MOST))
            .max(DOMAIN_FOLLOWERS);
        near.into_iter().take(count).collect()
    }

    /// A follower tells the nodes of its failure domain that it has a version.
    ///
    /// Failure: while a part of a large fleet restarts, its gossip is full of that, and some nodes hear of a
    /// new contract only after seconds. Within a failure domain a word to each node costs some bytes over
    /// the shortest links, and all know within one hop.
    pub(crate) fn tell_head(&mut self, version: u64, out: &mut Vec<NodeCommand>) {
        if !self.fleet.following {
            return;
        }
        let own = self.own.instance.node;
        let members = self.roster.members();
        let near = members.iter().filter(|member| {
            member.standing.is_present()
                && member.facts.domain == self.own.domain
                && member.facts.instance.node != own
        });
        let near: Vec<InstanceId> = near.map(|member| member.facts.instance).collect();
        for peer in near {
            self.send_peer(peer, PeerMessage::FleetHead { version }, out);
        }
    }

    /// The follower of this node's failure domain that it asks first for a contract.
    ///
    /// Failure: all nodes ask the one that told of a version. It sends a contract of some ten KB to hundreds
    /// of nodes over a link of 20 Mbit/s, which takes seconds, and the contract is late on most of them. The
    /// nodes of a domain divide themselves over its followers, which heard it from the source.
    pub(crate) fn near_follower(&mut self) -> Option<NodeId> {
        let own = self.own.instance.node;
        let followers = self.near_followers();
        let others: Vec<NodeId> = followers.into_iter().filter(|node| *node != own).collect();
        let place = self.fleet.random.random_range(0..others.len().max(1));
        others.get(place).copied()
    }
}
