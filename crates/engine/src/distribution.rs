//! Distribution of the fleet contract among the nodes: announcements, pulls and replies.
//!
//! ```text
//! holder ── FleetHead ──▶ node
//!        ◀─ ContractPull ─
//!        ── ContractPage ─▶ apply
//! ```

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::FleetContract;
use sycamorelink_core::{InstanceId, NodeId};

use crate::command::NodeCommand;
use crate::message::{ContractAsk, PeerMessage};
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Wait before another peer is asked. Over a link of 10 Mbit/s a contract of 100 KB takes a fifth
/// of this time, and the sender serves a few other nodes as well. A shorter wait transfers the
/// contract twice and saturates the links of the nodes that have it.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Interval between two checks for a newer contract. Two checks fit into the time within which a
/// contract must be in force, and each takes some sixty bytes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Peers asked at the same time after the first one has not answered. With a third of the fleet
/// unreachable, at least one of two peers usually answers.
const PARALLEL_PULLS: usize = 2;
/// Pull round in which the node that published the version is asked. Many nodes learn of the
/// version from gossip, so the ancestors in the tree and other peers are asked first to spread the
/// load.
const ORIGIN_PULL_ROUND: u32 = 2;

impl NodeEngine {
    /// Records a version that gossip announced.
    pub(crate) fn on_fleet_head_gossip(&mut self, now: Duration, version: u64, origin: NodeId) {
        self.fleet.record_head(now, version, origin);
    }

    /// Handles the announcement that another node has this version. A node of the same failure
    /// domain is asked for it at once. A node of another domain is asked only if the version does
    /// not arrive within this domain, because traffic between domains is billed.
    pub(crate) fn on_head_announced(
        &mut self,
        now: Duration,
        from: InstanceId,
        version: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.fleet.version();
        if version <= own {
            return;
        }
        let was_behind = self.fleet.behind_since().is_some();
        self.fleet.record_head(now, version, from.node);
        if !self.is_same_domain(from) {
            self.fleet.other_domain_holder = Some(from);
            return;
        }
        if version <= self.fleet.domain_announced {
            return;
        }
        self.fleet.domain_announced = version;
        if !was_behind {
            self.next_pull = now + PULL_RETRY_DELAY;
        }
        let ask = ContractAsk::Fleet { newer_than: own };
        self.send_peer(from, PeerMessage::ContractPull { ask }, out);
    }

    fn is_same_domain(&self, instance: InstanceId) -> bool {
        let member = self.roster.member(instance.node);
        member.is_some_and(|member| member.facts.domain == self.own.domain)
    }

    /// Asks peers for the newest contract if the source has not delivered it in time. A node that
    /// starts while the source is unreachable asks even if no version was announced.
    pub(crate) fn pull_fleet_contract(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if now < self.next_pull {
            return;
        }
        let own = self.fleet.version();
        let peers = match self.fleet.behind_since() {
            Some(announced_at) if now < announced_at + self.fleet.pull_delay() => return,
            Some(_) => self.next_pull_peers(),
            None if own == 0 => self.next_present_peer().into_iter().collect(),
            None => return self.check_for_newer(now, out),
        };
        if peers.is_empty() {
            return;
        }
        self.next_pull = now + PULL_RETRY_DELAY;
        for peer in peers {
            let ask = ContractAsk::Fleet { newer_than: own };
            self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
        }
    }

    /// Selects the peers to ask next for a missing version. The first round asks the node of
    /// another domain that announced a version, or else the parent in this domain. Later rounds ask
    /// several peers at a time, since those that have not answered may be unreachable.
    fn next_pull_peers(&mut self) -> Vec<InstanceId> {
        let pull_rounds = self.fleet.pull_rounds;
        self.fleet.pull_rounds = pull_rounds.saturating_add(1);
        if pull_rounds == 0 {
            let other_domain_holder = self.fleet.other_domain_holder.take();
            let parent = self.domain_order().parent();
            let parent = parent.and_then(|node| self.instance_of(node));
            let first = other_domain_holder
                .or(parent)
                .or_else(|| self.next_present_peer());
            return first.into_iter().collect();
        }
        let origin = self.fleet.head.filter(|_| pull_rounds == ORIGIN_PULL_ROUND);
        let origin = origin.and_then(|(_, node)| self.instance_of(node));
        let other_domain_holder = self.fleet.other_domain_holder.take();
        let others = (0..PARALLEL_PULLS).filter_map(|_| self.next_present_peer());
        let mut peers: Vec<InstanceId> = other_domain_holder
            .into_iter()
            .chain(origin)
            .chain(others)
            .collect();
        peers.dedup();
        peers.truncate(PARALLEL_PULLS);
        peers
    }

    /// Checks for a newer contract that was not announced to this node: asks the parent in the
    /// failure domain and, in turn, another node of the fleet. Neither answers if there is none.
    fn check_for_newer(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.fleet.follow.active || now < self.fleet.next_check {
            return;
        }
        self.fleet.next_check = now + CHECK_INTERVAL;
        let parent = self.domain_order().parent();
        let parent = parent.and_then(|node| self.instance_of(node));
        let newer_than = self.fleet.version();
        for peer in parent.into_iter().chain(self.next_present_peer()) {
            let ask = ContractAsk::Fleet { newer_than };
            self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
        }
    }

    /// Sends the contract in force to a peer that asks for a newer one, if this node has one.
    pub(crate) fn on_fleet_pull(
        &mut self,
        now: Duration,
        from: InstanceId,
        newer_than: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some((contract, _)) = &self.fleet.current else {
            if let Some(age) = self.empty_source_age(now) {
                self.send_peer(from, PeerMessage::SourceSeen { age }, out);
            }
            return;
        };
        if contract.version <= newer_than {
            return;
        }
        match serde_json::to_vec(contract.as_ref()) {
            Ok(page) => {
                out.push(NodeCommand::Note(NodeNote::FleetContractSent {
                    to: from,
                    version: contract.version,
                    newer_than,
                    bytes: page.len(),
                }));
                let ask = ContractAsk::Fleet { newer_than };
                self.send_peer(from, PeerMessage::ContractPage { ask, page }, out);
            }
            Err(error) => out.push(NodeCommand::Note(NodeNote::ContractRejected {
                offset: contract.version,
                reason: format!("the contract cannot be encoded for a peer: {error}"),
            })),
        }
    }

    pub(crate) fn on_fleet_page(
        &mut self,
        now: Duration,
        from: InstanceId,
        page: &[u8],
        out: &mut Vec<NodeCommand>,
    ) {
        let before = self.fleet.version();
        match serde_json::from_slice::<FleetContract>(page) {
            Ok(contract) => {
                self.apply_contract(now, Arc::new(contract), Some(from), out);
                out.push(NodeCommand::Note(NodeNote::FleetContractReceived {
                    from,
                    before,
                    bytes: page.len(),
                    applied: self.fleet.version() > before,
                }));
            }
            Err(error) => out.push(NodeCommand::Note(NodeNote::ContractRejected {
                offset: self.fleet.version(),
                reason: format!("a contract from {from} cannot be read: {error}"),
            })),
        }
    }
}
