//! Dispatches membership events and peer messages to the parts of the engine that handle them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sycamorelink_core::{InstanceId, NodeId, RequestId, ServiceName};
use sycamorelink_guard::GuardEvent;
use sycamorelink_limits::{
    CrashEvent, CrashMessage, CustomerIndex, ShareCommand, ShareEvent, ShareMember,
};
use sycamorelink_roster::{
    DownCause, MemberFacts, MemberStanding, MemberView, RosterCommand, RosterEvent, RosterNote,
    topic,
};

use crate::command::NodeCommand;
use crate::dispatch::SUSPECT_AVOIDANCE;
use crate::message::{ContractAsk, PeerMessage};
use crate::node::NodeEngine;
use crate::note::NodeNote;

impl NodeEngine {
    /// Returns the present instance of a node, or `None` if the node is not present.
    pub(crate) fn instance_of(&self, node: NodeId) -> Option<InstanceId> {
        if node == self.own.instance.node {
            return Some(self.own.instance);
        }
        let member = self.roster.member(node)?;
        member
            .standing
            .is_present()
            .then_some(member.facts.instance)
    }

    pub(crate) fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.roster
            .member(node)
            .map(|member| member.facts.peer_address)
    }

    /// Sends a message to one instance of a node if the roster knows its address.
    pub(crate) fn send_peer(
        &mut self,
        to: InstanceId,
        message: PeerMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(address) = self.address_of(to.node) {
            out.push(NodeCommand::SendPeer {
                to,
                address,
                message,
            });
        }
    }

    pub(crate) fn handle_roster_event(
        &mut self,
        now: Duration,
        event: RosterEvent,
        out: &mut Vec<NodeCommand>,
    ) {
        let mut commands = Vec::new();
        self.roster.handle(now, event, &mut commands);
        for command in commands {
            self.on_roster_command(now, command, out);
        }
    }

    fn on_roster_command(
        &mut self,
        now: Duration,
        command: RosterCommand,
        out: &mut Vec<NodeCommand>,
    ) {
        match command {
            RosterCommand::Send { to, message } => {
                out.push(NodeCommand::SendDatagram { to, message });
            }
            RosterCommand::MemberUp(facts) => self.on_member_up(now, &facts, out),
            RosterCommand::MemberChanged(view) => self.on_member_changed(now, &view, out),
            RosterCommand::MemberDown { instance, cause } => {
                self.on_member_down(now, instance, cause, out);
            }
            RosterCommand::UpstreamChanged { id, facts } => {
                self.on_upstream_changed(now, id, &facts);
                self.refresh_executors(now, &facts.service, out);
            }
            RosterCommand::UpstreamGone { id, service } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.remove(now, id);
                }
                self.refresh_executors(now, &service, out);
            }
            RosterCommand::Rumour {
                topic,
                version,
                origin,
                ..
            } => {
                if topic == topic::CONTRACT_HEAD {
                    if self.uses_fleet_contract() {
                        self.on_fleet_head_gossip(now, version, origin);
                    } else {
                        self.on_contract_head_gossip(version, origin);
                    }
                }
            }
            RosterCommand::IncarnationRaised(instance) => {
                // The wall clock was set back, and peers remember a later incarnation of this node.
                // Grants and connections are bound to the incarnation that the node started with,
                // so it leaves; a restart with a correct clock resolves the conflict.
                out.push(NodeCommand::Note(NodeNote::IncarnationRaised(instance)));
                out.push(NodeCommand::RecordIncarnation(instance.incarnation));
                self.on_superseded(now, out);
            }
            RosterCommand::Superseded { by } => {
                out.push(NodeCommand::Note(NodeNote::Superseded(by)));
                self.on_superseded(now, out);
            }
            RosterCommand::Note(note) => {
                match &note {
                    RosterNote::Suspected { instance, .. } => {
                        self.avoid_node(now, instance.node, SUSPECT_AVOIDANCE);
                    }
                    RosterNote::Cleared { instance } => self.stop_avoiding_node(instance.node),
                    _ => {}
                }
                out.push(NodeCommand::Note(NodeNote::Roster(note)));
            }
        }
    }

    /// Stops accepting requests because a newer instance of this node runs elsewhere.
    fn on_superseded(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.draining.get_or_insert(now);
        self.handle_guard_event(now, GuardEvent::DrainRequested, out);
    }

    fn on_member_up(&mut self, now: Duration, facts: &MemberFacts, out: &mut Vec<NodeCommand>) {
        let instance = facts.instance;
        out.push(NodeCommand::Note(NodeNote::MemberUp(instance)));
        let domain = facts.domain.clone();
        let member = ShareMember {
            instance,
            domain: domain.clone(),
        };
        self.share_members.insert(instance.node, member);
        self.handle_guard_event(now, GuardEvent::MemberUp { instance, domain }, out);
        self.query_leaving_servers(instance, out);
        self.fleet.follow.members_changed();
        self.roster_changed(now, out);
    }

    fn on_member_changed(&mut self, now: Duration, view: &MemberView, out: &mut Vec<NodeCommand>) {
        let instance = view.facts.instance;
        if view.standing == MemberStanding::Leaving {
            self.handle_guard_event(now, GuardEvent::MemberDraining { instance }, out);
        }
    }

    /// Handles the end of a member. One that left does not return; one that is only unresponsive
    /// may.
    fn on_member_down(
        &mut self,
        now: Duration,
        instance: InstanceId,
        cause: DownCause,
        out: &mut Vec<NodeCommand>,
    ) {
        out.push(NodeCommand::Note(NodeNote::MemberDown { instance, cause }));
        self.fleet.follow.members_changed();
        match cause {
            DownCause::Left => {
                self.remove_left(instance);
                self.handle_guard_event(now, GuardEvent::MemberGone { instance }, out);
            }
            DownCause::Dead | DownCause::LostWhileLeaving | DownCause::Replaced => {
                self.handle_guard_event(now, GuardEvent::MemberDown { instance }, out);
            }
        }
        self.roster_changed(now, out);
    }

    /// Handles a replaced connection to a peer.
    ///
    /// Guards against upstreams that are treated as unresponsive because a device between the nodes
    /// lost track of an open connection. If a new connection opens, the old one was at fault, so
    /// the evidence that it caused against the upstreams behind it is discarded.
    pub(crate) fn on_reconnected(
        &mut self,
        now: Duration,
        node: NodeId,
        out: &mut Vec<NodeCommand>,
    ) {
        for pool in self.pools.values_mut() {
            let behind = pool.standings();
            let behind = behind.iter().filter(|standing| standing.id.node == node);
            for standing in behind {
                pool.connection_replaced(now, standing.id);
            }
        }
        self.handle_roster_event(now, RosterEvent::Reached { node }, out);
    }

    /// Updates the executors of a service in the crash registry if this node runs the service.
    fn refresh_executors(
        &mut self,
        now: Duration,
        service: &ServiceName,
        out: &mut Vec<NodeCommand>,
    ) {
        if !self.runs(service) {
            return;
        }
        let nodes: BTreeSet<NodeId> = self
            .roster
            .upstreams(service.as_str())
            .into_iter()
            .map(|(id, _)| id.node)
            .chain([self.own.instance.node])
            .collect();
        let members = nodes
            .into_iter()
            .filter_map(|node| self.instance_of(node))
            .collect();
        let service = service.clone();
        let mut commands = Vec::new();
        self.crash.handle(
            now,
            CrashEvent::Executors { service, members },
            &mut commands,
        );
        self.on_crash_commands(now, commands, out);
    }

    pub(crate) fn domain_of(&self, node: NodeId) -> Option<sycamorelink_core::DomainName> {
        if node == self.own.instance.node {
            return Some(self.own.domain.clone());
        }
        self.roster.member(node).map(|member| member.facts.domain)
    }

    fn on_crash_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: CrashMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        let mut commands = Vec::new();
        self.crash
            .handle(now, CrashEvent::Received { from, message }, &mut commands);
        self.crash.tick(now, &mut commands);
        self.on_crash_commands(now, commands, out);
    }

    pub(crate) fn on_peer_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: PeerMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        match message {
            PeerMessage::Guard(message) => {
                self.handle_guard_event(now, GuardEvent::Message { from, message }, out);
            }
            PeerMessage::Share(message) => {
                self.handle_share_event(now, ShareEvent::Received { from, message }, out);
            }
            PeerMessage::RosterDigest { digest } => self.on_digest(now, from, digest, out),
            PeerMessage::ShareList { members, left } => {
                self.on_share_list(now, members, left, out);
            }
            PeerMessage::Crash(message) => self.on_crash_message(now, from, message, out),
            PeerMessage::Evidence { service, evidence } => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.merge(now, from.node, &evidence);
                }
            }
            // Only the executor of an upstream may report its load.
            PeerMessage::Standing { service, id, load } => {
                if id.node == from.node {
                    self.on_upstream_health(now, id, &service, load, out);
                }
            }
            PeerMessage::FenceAsk { attempt } => self.on_fence_ask(now, from, attempt, out),
            PeerMessage::FenceAnswer { attempt, begun } => {
                let number = Some(attempt.number);
                self.on_fence_answer(now, attempt.request, number, begun, out);
            }
            PeerMessage::HeadAsk { ask } => {
                let offset = self.book.next_offset();
                self.send_peer(from, PeerMessage::HeadReply { ask, offset }, out);
            }
            PeerMessage::HeadReply { offset, .. } => {
                self.contract_offsets.insert(from.node, offset);
            }
            PeerMessage::ContractPull {
                ask: ContractAsk::Fleet { newer_than },
            } => self.on_fleet_pull(now, from, newer_than, out),
            PeerMessage::ContractPull {
                ask: ContractAsk::FleetPatch { base },
            } => self.on_patch_pull(now, from, base, out),
            PeerMessage::ContractPage {
                ask: ContractAsk::FleetPatch { base },
                page,
            } => self.on_patch_page(now, from, (base, &page), out),
            PeerMessage::ContractPage {
                ask: ContractAsk::Fleet { .. },
                page,
            } => self.on_fleet_page(now, from, &page, out),
            PeerMessage::ContractPull { ask } => self.on_contract_pull(from, ask, out),
            PeerMessage::ContractPage { ask, page } => {
                self.on_contract_page(now, from, &ask, &page, out);
            }
            PeerMessage::ServerLimit(limited) => {
                self.limit_records.store(now, from.node, limited);
            }
            PeerMessage::StoredLimits(limits) => self.on_stored_limits(now, limits),
            PeerMessage::FleetHead { version } => self.on_head_announced(now, from, version, out),
            PeerMessage::RosterAsk { hashes } => self.on_roster_ask(from, &hashes, out),
            PeerMessage::RosterState { state } => self.on_roster_state(now, from, state, out),
            PeerMessage::SourceContact { age, version } => {
                self.on_source_contact(now, from, (age, version), out);
            }
            PeerMessage::SourceSeen { age } => self.fleet.follow.on_empty_source(now, age),
            PeerMessage::Quota(message) => self.on_quota_message(now, from, message),
            PeerMessage::Leaving(message) => self.on_leaving_message(now, from, message, out),
            PeerMessage::Capacity { service, records } => {
                self.on_capacity(now, from, &service, &records, out);
            }
            PeerMessage::RepeatLoan(message) => self.on_repeat_loan(now, from, message, out),
        }
    }

    pub(crate) fn handle_share_event(
        &mut self,
        now: Duration,
        event: ShareEvent,
        out: &mut Vec<NodeCommand>,
    ) {
        if self.uses_fleet_contract() {
            return;
        }
        let mut commands = Vec::new();
        self.shares.handle(now, event, &mut commands);
        self.on_share_commands(now, commands, out);
    }

    pub(crate) fn tick_shares(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.uses_fleet_contract() {
            return;
        }
        let mut commands = Vec::new();
        self.shares.tick(now, &mut commands);
        self.on_share_commands(now, commands, out);
    }

    fn on_share_commands(
        &mut self,
        now: Duration,
        commands: Vec<ShareCommand>,
        out: &mut Vec<NodeCommand>,
    ) {
        for command in commands {
            match command {
                ShareCommand::Send { to, message } => {
                    self.send_peer(to, PeerMessage::Share(message), out);
                }
                ShareCommand::Ready { index } => self.try_share_queue(now, index, out),
            }
        }
    }

    /// Retries the requests that wait for a share, in order, until one is not admitted.
    fn try_share_queue(&mut self, now: Duration, index: CustomerIndex, out: &mut Vec<NodeCommand>) {
        let waiting: Vec<RequestId> = self
            .share_queue
            .get(&index)
            .map(|queue| queue.iter().copied().collect())
            .unwrap_or_default();
        for request in waiting {
            self.try_share(now, request, out);
            let state = self.requests.get(&request);
            if !state.is_some_and(|state| state.share_held) {
                return;
            }
        }
    }
}
