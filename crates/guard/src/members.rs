//! Members of the fleet, as reported by the roster.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::{DomainName, InstanceId, NodeId, NodeIncarnation};

/// State of one instance, as reported by the roster.
#[derive(Clone, Debug)]
struct MemberState {
    domain: DomainName,
    /// Start of the current suspicion; `None` while the member is up.
    down_since: Option<Duration>,
    draining: bool,
}

/// All known members, and the instances known to have ended.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<InstanceId, MemberState>,
    newest: BTreeMap<NodeId, NodeIncarnation>,
    ended: BTreeSet<InstanceId>,
}

impl MemberTable {
    /// Lists a member as alive. Earlier instances of the node have ended.
    pub(crate) fn mark_up(&mut self, instance: InstanceId, domain: DomainName) {
        if self.is_gone(instance) {
            return;
        }
        let newest = self.newest.entry(instance.node).or_default();
        *newest = instance.incarnation.max(*newest);
        self.members
            .retain(|other, _| other.node != instance.node || *other == instance);
        self.ended.retain(|other| other.node != instance.node);
        let draining = self.is_draining(instance);
        let state = MemberState {
            domain,
            down_since: None,
            draining,
        };
        self.members.insert(instance, state);
    }

    pub(crate) fn mark_down(&mut self, now: Duration, instance: InstanceId) {
        if let Some(member) = self.members.get_mut(&instance) {
            member.down_since.get_or_insert(now);
        }
    }

    pub(crate) fn mark_gone(&mut self, instance: InstanceId) {
        self.members.remove(&instance);
        self.ended.insert(instance);
    }

    pub(crate) fn mark_draining(&mut self, instance: InstanceId) {
        if let Some(member) = self.members.get_mut(&instance) {
            member.draining = true;
        }
    }

    /// Returns whether this instance has certainly ended: a later instance of the node was listed,
    /// an operator confirmed the end, or the instance announced it. Suspicion is never enough.
    pub(crate) fn is_gone(&self, instance: InstanceId) -> bool {
        let newest = self.newest.get(&instance.node);
        newest.is_some_and(|newest| *newest > instance.incarnation)
            || self.ended.contains(&instance)
    }

    pub(crate) fn is_draining(&self, instance: InstanceId) -> bool {
        self.members
            .get(&instance)
            .is_some_and(|member| member.draining)
    }

    /// Returns whether the member is listed and not suspected.
    pub(crate) fn is_up(&self, instance: InstanceId) -> bool {
        self.members
            .get(&instance)
            .is_some_and(|member| member.down_since.is_none())
    }

    /// Returns whether the member has ended or is suspected.
    pub(crate) fn is_down(&self, instance: InstanceId) -> bool {
        let member = self.members.get(&instance);
        self.is_gone(instance) || member.is_some_and(|member| member.down_since.is_some())
    }

    /// Returns whether the member has ended, or has been suspected for at least `wait`.
    ///
    /// An unknown member counts as present, because the roster may not have reported it yet.
    pub(crate) fn is_lost(&self, now: Duration, instance: InstanceId, wait: Duration) -> bool {
        let since = self.members.get(&instance).and_then(|it| it.down_since);
        self.is_gone(instance) || since.is_some_and(|since| now >= since + wait)
    }

    /// Iterates over the members that are up, in order.
    pub(crate) fn up_members(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.down_since.is_none())
            .map(|(instance, _)| *instance)
    }

    /// Iterates over all members that are not known to have ended, in order.
    pub(crate) fn all(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.members.keys().copied()
    }

    /// Returns the members that may take a new seat, with their failure domains.
    pub(crate) fn candidates(&self) -> BTreeMap<InstanceId, DomainName> {
        self.members
            .iter()
            .filter(|(_, member)| member.down_since.is_none() && !member.draining)
            .map(|(instance, member)| (*instance, member.domain.clone()))
            .collect()
    }
}
