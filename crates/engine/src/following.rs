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
//! failure domain follow it. On a fleet of 24 that takes two of three calls away, and more on a greater one.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::command::NodeCommand;
use crate::node::NodeEngine;

/// Nodes of the whole fleet that follow the source, spread over the failure domains. Where a third of all
/// nodes is turned away by it at the same time, the chance that none of nine is served is one in 20,000.
const FOLLOWERS: usize = 9;
/// The same of each failure domain at least, so that one that is cut off from the others is served while
/// one of its nodes restarts.
const DOMAIN_FOLLOWERS: usize = 2;
/// How long the membership must be unchanged before a node that starts trusts it to tell who follows:
/// some rounds of gossip.
const JOINED_FOR: Duration = Duration::from_millis(300);
/// When a node that has met nobody follows the source by itself.
const ALONE_AFTER: Duration = Duration::from_millis(700);
/// When a node without a contract follows the source, whoever else does, in a fleet that starts for the
/// first time: half of the time in which a node that starts has to be ready.
const CONTRACT_AFTER: Duration = Duration::from_secs(3);
/// How long a version that is heard of may be missing before a node looks at the source itself: five tries to
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

    /// Whether this node is among the first of its failure domain. Nodes are in the order of their ids,
    /// which are hashes of their names, so that all agree on it and it stays over restarts.
    fn is_follower(&self) -> bool {
        let own = self.own.instance.node;
        let members = self.roster.members();
        let present = members.iter().filter(|member| member.standing.is_present());
        let mut domains = BTreeSet::from([&self.own.domain]);
        let mut before = 0;
        for member in present {
            domains.insert(&member.facts.domain);
            let near = member.facts.domain == self.own.domain;
            before += usize::from(near && member.facts.instance.node < own);
        }
        before < FOLLOWERS.div_ceil(domains.len()).max(DOMAIN_FOLLOWERS)
    }
}
