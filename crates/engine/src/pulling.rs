//! Pulls per-customer contracts from peers while the log is unreachable or lacks records.
//!
//! ```text
//! nothing yet, or records missed:  Page, Page, .. Newer ──▶ SnapshotAssembly ──▶ adopt
//! behind by a few changes:         Newer ─────────────────────────────────────▶ adopt entries
//! ```
//!
//! A page fits into one message however large the contracts of the fleet are, and each page may
//! come from a different peer.

use std::time::Duration;

use sycamorelink_contract::{
    AdoptOutcome, ContractVersion, PageRequest, SnapshotAssembly, SnapshotPage,
};
use sycamorelink_core::{InstanceId, NodeId};

use crate::command::NodeCommand;
use crate::message::{ContractAsk, PeerMessage};
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Interval between two pulls from peers while contracts are behind.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a page of contracts, in bytes.
const PAGE_BYTES: usize = 256 << 10;

impl NodeEngine {
    /// Pulls missing contracts from a peer if the log does not deliver them.
    pub(crate) fn pull_contracts(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        let newest = self.newest_contract();
        let is_behind = self.contract_head > newest || self.book.needs_snapshot();
        let is_empty_start = self.in_force.is_empty() && self.contract_head == 0;
        if !(is_behind || is_empty_start) || (self.log_reachable && !self.book.needs_snapshot()) {
            return;
        }
        if is_behind {
            let head = self.contract_head;
            out.push(NodeCommand::Note(NodeNote::ContractsBehind {
                offset: newest,
                head,
            }));
        }
        if let Some(peer) = self.next_present_peer() {
            self.request_contracts(peer, out);
        }
    }

    /// Returns the newest log offset that this node's contracts include.
    pub(crate) fn newest_contract(&self) -> u64 {
        self.book
            .version_digest()
            .newest
            .0
            .max(self.book.next_offset())
    }

    fn request_contracts(&mut self, peer: InstanceId, out: &mut Vec<NodeCommand>) {
        let whole = self.book.needs_snapshot() || self.in_force.is_empty();
        let ask = if whole {
            next_ask(self.assembly.get_or_insert_default())
        } else {
            ContractAsk::Newer(self.newest_contract())
        };
        self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
    }

    /// Returns the next present peer in rotation, so that one unresponsive peer does not block
    /// pulls. `None` if no other node is present.
    pub(crate) fn next_present_peer(&mut self) -> Option<InstanceId> {
        let own = self.own.instance.node;
        let peers: Vec<InstanceId> = self
            .roster
            .members()
            .into_iter()
            .filter(|member| member.standing.is_present() && member.facts.instance.node != own)
            .map(|member| member.facts.instance)
            .collect();
        if peers.is_empty() {
            return None;
        }
        self.peer_rotation = self.peer_rotation.wrapping_add(1);
        Some(peers[self.peer_rotation % peers.len()])
    }

    /// Sends the requested page of contracts to a peer, unless this node has no contracts.
    pub(crate) fn on_contract_pull(
        &mut self,
        from: InstanceId,
        ask: ContractAsk,
        out: &mut Vec<NodeCommand>,
    ) {
        if self.in_force.is_empty() {
            return;
        }
        let page = match &ask {
            ContractAsk::Page(after) => self.book.page(after.as_ref(), PAGE_BYTES),
            ContractAsk::Newer(version) => self.book.newer(ContractVersion(*version)),
            // The fleet contract has its own request and reply handlers.
            ContractAsk::Fleet { .. } | ContractAsk::FleetPatch { .. } => return,
        };
        if let Ok(page) = serde_json::to_vec(&page) {
            self.send_peer(from, PeerMessage::ContractPage { ask, page }, out);
        }
    }

    pub(crate) fn on_contract_page(
        &mut self,
        now: Duration,
        from: InstanceId,
        ask: &ContractAsk,
        page: &[u8],
        out: &mut Vec<NodeCommand>,
    ) {
        let Ok(page) = serde_json::from_slice::<SnapshotPage>(page) else {
            return;
        };
        let Some(assembly) = self.assembly.take() else {
            let outcome = self
                .book
                .adopt_entries(page.entries.iter().map(|part| &part.entry));
            self.on_contracts_adopted(now, from, &outcome, out);
            return;
        };
        if next_ask(&assembly) == *ask {
            self.add_page(now, from, assembly, page, out);
        } else {
            self.assembly = Some(assembly);
        }
    }

    fn add_page(
        &mut self,
        now: Duration,
        from: InstanceId,
        mut assembly: SnapshotAssembly,
        page: SnapshotPage,
        out: &mut Vec<NodeCommand>,
    ) {
        if matches!(assembly.next_request(), PageRequest::Page(_)) {
            assembly.add(page);
            let ask = next_ask(&assembly);
            self.assembly = Some(assembly);
            self.send_peer(from, PeerMessage::ContractPull { ask }, out);
            return;
        }
        match assembly.finish(page) {
            Ok(snapshot) => {
                let outcome = self.book.adopt(&snapshot);
                self.on_contracts_adopted(now, from, &outcome, out);
            }
            // The final reply is older than one of the pages, or too far ahead: request all pages
            // again.
            Err(_) => self.assembly = None,
        }
    }

    fn on_contracts_adopted(
        &mut self,
        now: Duration,
        from: InstanceId,
        outcome: &AdoptOutcome,
        out: &mut Vec<NodeCommand>,
    ) {
        if !outcome.taken.is_empty() || outcome.moved {
            let offset = self.newest_contract();
            out.push(NodeCommand::Note(NodeNote::ContractsAdopted {
                from,
                offset,
            }));
            self.refresh_contracts(now, out);
        }
    }

    /// Records that a node of the fleet has contracts up to this log offset.
    pub(crate) fn on_contract_head_gossip(&mut self, offset: u64, _origin: NodeId) {
        self.contract_head = self.contract_head.max(offset);
    }
}

fn next_ask(assembly: &SnapshotAssembly) -> ContractAsk {
    match assembly.next_request() {
        PageRequest::Page(after) => ContractAsk::Page(after),
        PageRequest::Newer(version) => ContractAsk::Newer(version.0),
    }
}
