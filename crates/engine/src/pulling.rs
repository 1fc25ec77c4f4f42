//! Contracts from peers, for a node that starts or lags while the log does not help.
//!
//! ```text
//! nothing yet, or records missed:  Page, Page, .. Newer ──▶ SnapshotAssembly ──▶ adopt
//! behind by a few changes:         Newer ─────────────────────────────────────▶ adopt entries
//! ```
//!
//! A page fits into one message whatever the size of the fleet's contracts, and each may come from
//! another peer.

use std::time::Duration;

use sycamorelink_contract::{
    AdoptOutcome, ContractVersion, PageRequest, SnapshotAssembly, SnapshotPage,
};
use sycamorelink_core::{InstanceId, NodeId};

use crate::command::NodeCommand;
use crate::message::{ContractAsk, PeerMessage};
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Time between two pulls from peers while contracts are behind.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Size of a page of contracts, in bytes.
const PAGE_BYTES: usize = 256 << 10;

impl NodeEngine {
    /// Pulls what is missing while the log does not give it.
    pub(crate) fn pull_contracts(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        let newest = self.newest_contract();
        let behind = self.contract_head > newest || self.book.needs_snapshot();
        let fresh = self.in_force.is_empty() && self.contract_head == 0;
        if !(behind || fresh) || (self.log_reachable && !self.book.needs_snapshot()) {
            return;
        }
        if behind {
            let head = self.contract_head;
            out.push(NodeCommand::Note(NodeNote::ContractsBehind {
                offset: newest,
                head,
            }));
        }
        if let Some(peer) = self.pull_source() {
            self.ask_contracts(peer, out);
        }
    }

    /// The newest offset that this node's contracts have.
    pub(crate) fn newest_contract(&self) -> u64 {
        self.book
            .version_digest()
            .newest
            .0
            .max(self.book.next_offset())
    }

    fn ask_contracts(&mut self, peer: InstanceId, out: &mut Vec<NodeCommand>) {
        let whole = self.book.needs_snapshot() || self.in_force.is_empty();
        let ask = if whole {
            ask_of(self.assembly.get_or_insert_default())
        } else {
            ContractAsk::Newer(self.newest_contract())
        };
        self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
    }

    /// Another peer at each pull, so that one that cannot answer does not stop the catching up.
    pub(crate) fn pull_source(&mut self) -> Option<InstanceId> {
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
        self.pull_turn = self.pull_turn.wrapping_add(1);
        Some(peers[self.pull_turn % peers.len()])
    }

    /// Answers a peer, unless this node has nothing that the peer lacks.
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
            // A fleet contract is asked for and answered apart from the pages of customers' contracts.
            ContractAsk::Fleet { .. } => return,
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
            self.on_adopted(now, from, &outcome, out);
            return;
        };
        if ask_of(&assembly) == *ask {
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
            let ask = ask_of(&assembly);
            self.assembly = Some(assembly);
            self.send_peer(from, PeerMessage::ContractPull { ask }, out);
            return;
        }
        match assembly.finish(page) {
            Ok(snapshot) => {
                let outcome = self.book.adopt(&snapshot);
                self.on_adopted(now, from, &outcome, out);
            }
            // The answer is older than a page, or too much later: the pages are asked for anew.
            Err(_) => self.assembly = None,
        }
    }

    fn on_adopted(
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

    /// Somebody in the fleet has contracts up to this offset.
    pub(crate) fn on_contract_head(&mut self, offset: u64, _origin: NodeId) {
        self.contract_head = self.contract_head.max(offset);
    }
}

fn ask_of(assembly: &SnapshotAssembly) -> ContractAsk {
    match assembly.next_request() {
        PageRequest::Page(after) => ContractAsk::Page(after),
        PageRequest::Newer(version) => ContractAsk::Newer(version.0),
    }
}
