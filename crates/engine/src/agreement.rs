//! Which members share the customers' limits, and whether all of them know it.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{InstanceId, stable_hash};
use sycamorelink_limits::{ShareEvent, ShareMember};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Time between two proofs that this node is still named by its peers.
const ANCHOR_INTERVAL: Duration = Duration::from_mins(1);
/// Members up to which each tells every other which list it uses.
const DIGEST_MEMBERS: usize = 64;
/// Time between two tellings while somebody uses another list.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// How long the roster of a larger fleet must stand still to count as adopted by every member.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Lives that said goodbye and are remembered as such.
const LEFT_KEPT: usize = 256;

impl NodeEngine {
    /// Takes over a changed list of members. A member that is only silent stays in the list, so
    /// its death changes nothing here: it may still use its share behind a cut.
    pub(crate) fn roster_changed(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.has_fleet_form() {
            return;
        }
        let digest = self.members_digest();
        if digest == self.roster_digest {
            return;
        }
        self.roster_digest = digest;
        self.roster_version += 1;
        self.roster_changed_at = now;
        self.tell_members(now, out);
        self.send_digest(now, out);
    }

    pub(crate) fn members_digest(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.share_members.len() * 16);
        for member in self.share_members.values() {
            bytes.extend(member.instance.node.0.to_be_bytes());
            bytes.extend(member.instance.incarnation.0.to_be_bytes());
        }
        stable_hash(&[&bytes])
    }

    /// Tells the members of a small fleet which list this node uses; in a large one the time that
    /// gossip takes has to do.
    pub(crate) fn send_digest(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.next_digest = now + DIGEST_INTERVAL;
        if self.share_members.len() > DIGEST_MEMBERS {
            return;
        }
        let own = self.own.instance;
        let peers: Vec<InstanceId> = self
            .share_members
            .values()
            .map(|member| member.instance)
            .filter(|instance| *instance != own)
            .collect();
        let digest = self.roster_digest;
        for peer in peers {
            self.send_peer(peer, PeerMessage::RosterDigest { digest }, out);
        }
    }

    pub(crate) fn on_digest(
        &mut self,
        now: Duration,
        from: InstanceId,
        digest: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        self.digests.insert(from, digest);
        let still = now.saturating_sub(self.roster_changed_at) >= SETTLE_TIME;
        if still && digest != self.roster_digest {
            self.send_share_list(from, out);
        }
        self.settle_roster(now, out);
    }

    /// Failure: a node dies for good, and another joins that never hears of it; or one peer hears
    /// a goodbye that another misses. Their lists differ for ever, so nobody settles, and the new
    /// node refuses every request for want of a share. Whoever sees that a peer still uses another
    /// list once gossip had its time tells that peer the whole list. Lists only grow by this, but
    /// for lives that said goodbye, so all of them become the same.
    fn send_share_list(&mut self, to: InstanceId, out: &mut Vec<NodeCommand>) {
        if self.share_members.len() > DIGEST_MEMBERS {
            return;
        }
        let message = PeerMessage::ShareList {
            members: self.share_members.values().cloned().collect(),
            left: self.share_left.iter().copied().collect(),
        };
        self.send_peer(to, message, out);
    }

    /// A peer told which members it uses.
    pub(crate) fn on_share_list(
        &mut self,
        now: Duration,
        members: Vec<ShareMember>,
        left: Vec<InstanceId>,
        out: &mut Vec<NodeCommand>,
    ) {
        for instance in left {
            self.remove_left(instance);
        }
        for member in members {
            let node = member.instance.node;
            let known = self.share_members.get(&node);
            let newer =
                known.is_none_or(|known| known.instance.incarnation < member.instance.incarnation);
            if newer && node != self.own.instance.node && !self.has_left(member.instance) {
                self.share_members.insert(node, member);
            }
        }
        self.roster_changed(now, out);
    }

    /// Whether this life of a node, or a later one, said goodbye.
    fn has_left(&self, instance: InstanceId) -> bool {
        let left = self.share_left.range(instance..).next();
        left.is_some_and(|left| left.node == instance.node)
    }

    /// Takes out a life that said goodbye; this node itself stays in as long as it runs.
    pub(crate) fn remove_left(&mut self, instance: InstanceId) {
        if instance == self.own.instance {
            return;
        }
        let node = instance.node;
        let named = self.share_members.get(&node);
        if named.is_some_and(|member| member.instance.incarnation <= instance.incarnation) {
            self.share_members.remove(&node);
        }
        self.share_left.insert(instance);
        if self.share_left.len() > LEFT_KEPT {
            self.share_left.pop_first();
        }
    }

    /// Takes the roster for settled once every member is known to use the same list, or, in a
    /// large fleet, once it stood still for longer than the news takes to reach everybody.
    pub(crate) fn settle_roster(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.roster.is_joined() {
            return;
        }
        if self.roster_settled >= self.roster_version {
            if now >= self.next_anchor && self.hears_half() {
                self.anchor_shares(now, out);
            }
            return;
        }
        let own = self.own.instance;
        let agreed = self.share_members.values().all(|member| {
            member.instance == own
                || self.digests.get(&member.instance) == Some(&self.roster_digest)
        });
        let still = now.saturating_sub(self.roster_changed_at) >= SETTLE_TIME
            && self.share_members.len() > DIGEST_MEMBERS;
        if agreed || still {
            self.settle_at(now, out);
        } else {
            if now >= self.next_anchor && self.hears_half() && self.present_agree() {
                self.anchor_shares(now, out);
            }
            if now >= self.next_digest {
                self.send_digest(now, out);
            }
        }
    }

    /// Whether every member that is present uses this node's list. A silent one cannot say so, and
    /// while it stays in the list nobody uses what is its own.
    fn present_agree(&self) -> bool {
        let own = self.own.instance;
        self.share_members.values().all(|member| {
            let instance = member.instance;
            instance == own
                || self.instance_of(instance.node) != Some(instance)
                || self.digests.get(&instance) == Some(&self.roster_digest)
        })
    }

    fn settle_at(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.roster_settled = self.roster_version;
        let members = &self.share_members;
        self.digests.retain(|instance, _| {
            members
                .get(&instance.node)
                .is_some_and(|member| member.instance == *instance)
        });
        self.tell_members(now, out);
        self.anchor_shares(now, out);
    }

    /// Whether at least half of the members are present, which a cut-off node cannot see.
    pub(crate) fn hears_half(&self) -> bool {
        let present = self
            .share_members
            .keys()
            .filter(|node| self.instance_of(**node).is_some())
            .count();
        present * 2 >= self.share_members.len()
    }

    pub(crate) fn anchor_shares(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.next_anchor = now + ANCHOR_INTERVAL;
        let event = ShareEvent::Anchored {
            version: self.roster_version,
            since: now,
        };
        self.tell_shares(now, event, out);
    }

    pub(crate) fn tell_members(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let members: Arc<[ShareMember]> = self.share_members.values().cloned().collect();
        let event = ShareEvent::Roster {
            version: self.roster_version,
            members,
            settled: self.roster_settled,
        };
        self.tell_shares(now, event, out);
    }
}
