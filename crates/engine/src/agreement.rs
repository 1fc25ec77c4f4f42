//! Agreement on the list of members that divide the customers' limits among them.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{InstanceId, stable_hash};
use sycamorelink_limits::{ShareEvent, ShareMember};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Interval between two confirmations that the other members still include this node in their
/// lists.
const ANCHOR_INTERVAL: Duration = Duration::from_mins(1);
/// Largest fleet in which every member sends the digest of its member list to every other.
const MAX_DIGEST_MEMBERS: usize = 64;
/// Interval between two digests while a member uses a different list.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the roster must be unchanged before a member list counts as settled in larger
/// fleets, and before a differing digest is answered with the whole list.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of remembered instances that left.
const MAX_LEFT_INSTANCES: usize = 256;

impl NodeEngine {
    /// Applies a changed list of members. An unresponsive member stays in the list even when it is
    /// declared dead, because it may still use its share on the other side of a partition.
    pub(crate) fn roster_changed(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.uses_fleet_contract() {
            return;
        }
        let digest = self.members_digest();
        if digest == self.roster_digest {
            return;
        }
        self.roster_digest = digest;
        self.roster_version += 1;
        self.roster_changed_at = now;
        self.update_share_roster(now, out);
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

    /// Sends the digest of this node's list to all members of a small fleet. In a large fleet the
    /// list counts as settled after a fixed time instead.
    pub(crate) fn send_digest(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.next_digest = now + DIGEST_INTERVAL;
        if self.share_members.len() > MAX_DIGEST_MEMBERS {
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
        let is_stable = now.saturating_sub(self.roster_changed_at) >= SETTLE_TIME;
        if is_stable && digest != self.roster_digest {
            self.send_share_list(from, out);
        }
        self.settle_roster(now, out);
    }

    /// Sends this node's member list to a peer that still uses a different one after gossip had
    /// time to converge.
    ///
    /// Guards against lists that differ forever, for example because a new node never learns of a
    /// dead member, or one peer misses a departure. Without agreement the new node would get no
    /// share and refuse every request. Except for instances that left, the lists only grow by this
    /// exchange, so they all become equal.
    fn send_share_list(&mut self, to: InstanceId, out: &mut Vec<NodeCommand>) {
        if self.share_members.len() > MAX_DIGEST_MEMBERS {
            return;
        }
        let message = PeerMessage::ShareList {
            members: self.share_members.values().cloned().collect(),
            left: self.departed_share_members.iter().copied().collect(),
        };
        self.send_peer(to, message, out);
    }

    /// Merges the member list of a peer into this node's list.
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

    /// Returns whether this instance of a node, or a later one, has left.
    fn has_left(&self, instance: InstanceId) -> bool {
        let left = self.departed_share_members.range(instance..).next();
        left.is_some_and(|left| left.node == instance.node)
    }

    /// Removes an instance that left. This node's own instance stays in the list while it runs.
    pub(crate) fn remove_left(&mut self, instance: InstanceId) {
        if instance == self.own.instance {
            return;
        }
        let node = instance.node;
        let known = self.share_members.get(&node);
        if known.is_some_and(|member| member.instance.incarnation <= instance.incarnation) {
            self.share_members.remove(&node);
        }
        self.departed_share_members.insert(instance);
        if self.departed_share_members.len() > MAX_LEFT_INSTANCES {
            self.departed_share_members.pop_first();
        }
    }

    /// Marks the roster as settled once every member is known to use the same list or, in a large
    /// fleet, once the list has been unchanged for longer than gossip takes to reach every member.
    pub(crate) fn settle_roster(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.roster.is_joined() {
            return;
        }
        if self.roster_settled >= self.roster_version {
            if now >= self.next_anchor && self.has_half_present() {
                self.anchor_shares(now, out);
            }
            return;
        }
        let own = self.own.instance;
        let all_agree = self.share_members.values().all(|member| {
            member.instance == own
                || self.digests.get(&member.instance) == Some(&self.roster_digest)
        });
        let is_stable = now.saturating_sub(self.roster_changed_at) >= SETTLE_TIME
            && self.share_members.len() > MAX_DIGEST_MEMBERS;
        if all_agree || is_stable {
            self.mark_settled(now, out);
        } else {
            if now >= self.next_anchor && self.has_half_present() && self.present_members_agree() {
                self.anchor_shares(now, out);
            }
            if now >= self.next_digest {
                self.send_digest(now, out);
            }
        }
    }

    /// Returns whether every present member uses this node's list. Absent members cannot confirm
    /// theirs, but while they stay in the list no other member uses their shares.
    fn present_members_agree(&self) -> bool {
        let own = self.own.instance;
        self.share_members.values().all(|member| {
            let instance = member.instance;
            instance == own
                || self.instance_of(instance.node) != Some(instance)
                || self.digests.get(&instance) == Some(&self.roster_digest)
        })
    }

    fn mark_settled(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.roster_settled = self.roster_version;
        let members = &self.share_members;
        self.digests.retain(|instance, _| {
            members
                .get(&instance.node)
                .is_some_and(|member| member.instance == *instance)
        });
        self.update_share_roster(now, out);
        self.anchor_shares(now, out);
    }

    /// Returns whether at least half of the members are present, which is not the case at a node
    /// that is cut off.
    pub(crate) fn has_half_present(&self) -> bool {
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
        self.handle_share_event(now, event, out);
    }

    pub(crate) fn update_share_roster(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let members: Arc<[ShareMember]> = self.share_members.values().cloned().collect();
        let event = ShareEvent::Roster {
            version: self.roster_version,
            members,
            settled: self.roster_settled,
        };
        self.handle_share_event(now, event, out);
    }
}
