//! Distribution of the fleet contract among the nodes: announcements, pulls and replies.
//!
//! ```text
//! holder ── FleetHead ──▶ node
//!        ◀─ ContractPull ─       the contract that the node has
//!        ── ContractPage ─▶ apply   a patch from that contract, or the whole one
//! ```
//!
//! A patch is in force only if its result has the digest that the sender gave. A node whose contract
//! the sender does not know, or whose patch does not apply, receives the whole contract.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{ContractStamp, FleetContract, FleetPatch, PatchError};
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
/// Pull rounds between two that request the contract as JSON while the fleet has nodes of an older
/// build, which cannot read requests for patches.
const JSON_PULL_PERIOD: u32 = 4;
/// Time for which a request for JSON shows that the fleet has nodes of an older build. Each of these
/// sends two a second. JSON is many times larger than a patch, so it is not requested otherwise.
const OLDER_BUILD_RETENTION: Duration = Duration::from_mins(1);

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
        if version < own {
            self.send_peer(from, PeerMessage::FleetHead { version: own }, out);
        }
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
        self.request_patch(from, out);
    }

    /// Requests the newest contract from a peer, as a patch to the one in force.
    fn request_patch(&mut self, peer: InstanceId, out: &mut Vec<NodeCommand>) {
        let base = self.fleet.history.current();
        let ask = ContractAsk::FleetPatch { base };
        self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
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
            None if own == 0 => self.next_first_peer(),
            None => return self.check_for_newer(now, out),
        };
        if peers.is_empty() {
            return;
        }
        self.next_pull = now + PULL_RETRY_DELAY;
        let has_older_builds = self
            .fleet
            .json_pulled_at
            .is_some_and(|at| now < at + OLDER_BUILD_RETENTION);
        let is_json_round = self.fleet.pull_rounds.is_multiple_of(JSON_PULL_PERIOD);
        let uses_json = has_older_builds && is_json_round;
        for peer in peers {
            if uses_json {
                let ask = ContractAsk::Fleet { newer_than: own };
                self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
            } else {
                self.request_patch(peer, out);
            }
        }
    }

    /// Selects the peer to ask next while no version was announced and none is in force.
    fn next_first_peer(&mut self) -> Vec<InstanceId> {
        self.fleet.pull_rounds = self.fleet.pull_rounds.saturating_add(1);
        self.next_present_peer().into_iter().collect()
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

    /// Checks for a newer contract that was not announced to this node: announces its own version to
    /// the parent in the failure domain and, in turn, to another node of the fleet. A node with a
    /// newer version announces that in return.
    fn check_for_newer(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.fleet.follow.active || now < self.fleet.next_check {
            return;
        }
        self.fleet.next_check = now + CHECK_INTERVAL;
        let parent = self.domain_order().parent();
        let parent = parent.and_then(|node| self.instance_of(node));
        let version = self.fleet.version();
        for peer in parent.into_iter().chain(self.next_present_peer()) {
            self.send_peer(peer, PeerMessage::FleetHead { version }, out);
        }
    }

    /// Sends a patch to the contract in force to a peer that has an older one or none.
    pub(crate) fn on_patch_pull(
        &mut self,
        now: Duration,
        from: InstanceId,
        base: Option<ContractStamp>,
        out: &mut Vec<NodeCommand>,
    ) {
        let newer_than = base.map_or(0, |base| base.version);
        if !self.has_newer_contract(now, from, newer_than, out) {
            return;
        }
        let ask = ContractAsk::FleetPatch { base };
        match self.fleet.history.patch_from(base) {
            Some(Ok(patch)) => self.send_contract(from, newer_than, ask, patch, out),
            Some(Err(error)) => reject_unencoded(self.fleet.version(), &error, out),
            None => {}
        }
    }

    /// Sends the contract in force as JSON to a peer that has an older one or none.
    pub(crate) fn on_fleet_pull(
        &mut self,
        now: Duration,
        from: InstanceId,
        newer_than: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        self.fleet.json_pulled_at = Some(now);
        if !self.has_newer_contract(now, from, newer_than, out) {
            return;
        }
        let Some((contract, _)) = &self.fleet.current else {
            return;
        };
        match serde_json::to_vec(contract.as_ref()) {
            Ok(page) => {
                let ask = ContractAsk::Fleet { newer_than };
                self.send_contract(from, newer_than, ask, page, out);
            }
            Err(error) => reject_unencoded(contract.version, &error, out),
        }
    }

    /// Returns whether this node has a contract newer than this version. Without any contract,
    /// informs the peer if the source has none either.
    fn has_newer_contract(
        &mut self,
        now: Duration,
        peer: InstanceId,
        version: u64,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        if self.fleet.current.is_none()
            && let Some(age) = self.empty_source_age(now)
        {
            self.send_peer(peer, PeerMessage::SourceSeen { age }, out);
        }
        self.fleet.version() > version
    }

    fn send_contract(
        &mut self,
        to: InstanceId,
        newer_than: u64,
        ask: ContractAsk,
        page: Vec<u8>,
        out: &mut Vec<NodeCommand>,
    ) {
        out.push(NodeCommand::Note(NodeNote::FleetContractSent {
            to,
            version: self.fleet.version(),
            newer_than,
            bytes: page.len(),
        }));
        self.send_peer(to, PeerMessage::ContractPage { ask, page }, out);
    }

    /// Applies the patch that a peer sent from `base`. If it does not lead to the contract that it
    /// names, the whole contract is requested instead.
    pub(crate) fn on_patch_page(
        &mut self,
        now: Duration,
        from: InstanceId,
        (base, page): (Option<ContractStamp>, &[u8]),
        out: &mut Vec<NodeCommand>,
    ) {
        let before = self.fleet.version();
        match self.read_patch(page) {
            Ok(Some((contract, stamp, base))) => {
                self.apply_stamped(now, (Arc::new(contract), stamp), Some(from), out);
                if self.fleet.history.current() == Some(stamp) {
                    self.fleet.history.keep_patch(base, page);
                }
            }
            Ok(None) => {}
            Err(error) => {
                reject_unreadable(before, from, &error, out);
                // A peer whose whole contract is faulty is not asked again at once.
                if base.is_some() {
                    let ask = ContractAsk::FleetPatch { base: None };
                    self.send_peer(from, PeerMessage::ContractPull { ask }, out);
                }
            }
        }
        self.note_received(from, before, page.len(), out);
    }

    /// Decodes a patch and applies it to its base. Returns `None` if its target is not newer than
    /// the contract in force.
    fn read_patch(&self, page: &[u8]) -> Result<Option<PatchedContract>, PatchError> {
        let patch = FleetPatch::decode(page)?;
        let (base, target) = (patch.base(), patch.target());
        if target.version <= self.fleet.version() {
            return Ok(None);
        }
        let contract = self.fleet.history.apply(patch)?;
        Ok(Some((contract, target, base)))
    }

    /// Applies a contract that a peer sent as JSON.
    pub(crate) fn on_fleet_page(
        &mut self,
        now: Duration,
        from: InstanceId,
        page: &[u8],
        out: &mut Vec<NodeCommand>,
    ) {
        let before = self.fleet.version();
        match serde_json::from_slice::<FleetContract>(page) {
            Ok(contract) => self.apply_contract(now, Arc::new(contract), Some(from), out),
            Err(error) => reject_unreadable(before, from, &error, out),
        }
        self.note_received(from, before, page.len(), out);
    }

    fn note_received(
        &self,
        from: InstanceId,
        before: u64,
        bytes: usize,
        out: &mut Vec<NodeCommand>,
    ) {
        out.push(NodeCommand::Note(NodeNote::FleetContractReceived {
            from,
            before,
            bytes,
            applied: self.fleet.version() > before,
        }));
    }
}

/// A contract, its stamp, and the base of the patch that resulted in it.
type PatchedContract = (FleetContract, ContractStamp, Option<ContractStamp>);

fn reject_unencoded(version: u64, error: &dyn std::error::Error, out: &mut Vec<NodeCommand>) {
    out.push(NodeCommand::Note(NodeNote::ContractRejected {
        offset: version,
        reason: format!("the contract cannot be encoded for a peer: {error}"),
    }));
}

fn reject_unreadable(
    version: u64,
    from: InstanceId,
    error: &dyn std::error::Error,
    out: &mut Vec<NodeCommand>,
) {
    out.push(NodeCommand::Note(NodeNote::ContractRejected {
        offset: version,
        reason: format!("a contract from {from} cannot be read: {error}"),
    }));
}
