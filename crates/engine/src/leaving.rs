//! Replication of leaving backend servers, so that a restarted daemon knows which ones leave.
//!
//! ```text
//! daemon ──┬─ Leaves ──▶ three replicas
//!   ✕      └─ RecordLeaving ──▶ platform's store
//! restarted ─┬─ Ask ──▶ any two members ── Ask ──▶ replicas ── Leaving ──▶ restarted daemon
//!            └───────────────── platform's store ── LeavingServersRead ──▶ restarted daemon
//! ```
//!
//! The next incarnation of the daemon must also honour the acknowledgement that a backend server is
//! leaving, but may first receive a delayed heartbeat from before the server began to leave. The
//! restarted daemon therefore asks which of its local servers are leaving, and accepts no server as
//! ready before the replies have arrived or a short timeout has passed.
//!
//! The replicas answer while the store is unreachable. The store has the record when all nodes were
//! lost at once, and the replicas know nothing. A daemon that cannot read the store accepts a server
//! only after its second announcement.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, NodeId, stable_hash};
use sycamorelink_policy::UpstreamPhase;

use crate::command::NodeCommand;
use crate::event::{LifeId, UpstreamAnnouncement};
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Nodes that store the leaving servers of one node. The records survive the loss of two of them.
const REPLICAS: usize = 3;
/// Replies from replicas that end the wait of a node that starts.
const REQUIRED_REPLIES: usize = 2;
/// Members that a node asks when it starts; each forwards the query to the replicas.
const MAX_QUERIED_MEMBERS: usize = 2;
/// Timeout for the replies, counted from the start: a third of the interval between two heartbeats,
/// and many times the round trip to a replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a record is stored for the next incarnation. A leaving server is gone by then.
pub const LEAVING_RECORD_LIFETIME: Duration = Duration::from_mins(1);
/// Maximum number of records stored per node.
const MAX_RECORDS_PER_NODE: usize = 8;

/// Message between nodes about leaving backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingMessage {
    /// A local backend server of the sender is leaving.
    Leaves(LeavingServer),
    /// A node that has started asks which of its local backend servers were leaving.
    Ask {
        /// Node that asks.
        asker: InstanceId,
        /// Address to which the reply is sent.
        address: SocketAddr,
        /// Whether the query was forwarded, so that the receiver answers it and does not forward it
        /// again.
        handed_on: bool,
    },
    /// The leaving backend servers of the receiver that the sender has stored.
    Leaving(Vec<LeavingServer>),
}

/// One incarnation of a backend server that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// Number of the server on its node.
    pub slot: u16,
    /// Incarnation that is leaving.
    pub life: LifeId,
}

impl LeavingServer {
    /// Returns the server of an announcement; `None` if it does not name its incarnation.
    pub(crate) fn of(announced: &UpstreamAnnouncement) -> Option<Self> {
        let life = life_of(announced)?.clone();
        let slot = announced.slot;
        Some(Self { slot, life })
    }
}

/// Leaving servers stored for other nodes and, under this node, its own; and those that replicas
/// stored for this node's previous incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeavingRecords {
    stored: BTreeMap<NodeId, Vec<LeavingRecord>>,
    previous: Vec<LeavingServer>,
    lookup: LeavingLookup,
}

#[derive(Debug)]
struct LeavingRecord {
    leaving: LeavingServer,
    until: Duration,
}

/// Progress of a started node in asking for the leaving servers of its previous incarnation.
#[derive(Debug, Default)]
struct LeavingLookup {
    is_done: bool,
    /// Whether the record in the platform's store was read.
    is_read: bool,
    queries: usize,
    replied: BTreeSet<NodeId>,
    /// The newest announcement of each server that is held until the replies arrive.
    held: BTreeMap<u16, UpstreamAnnouncement>,
}

impl LeavingRecords {
    /// Returns records of a node that had no previous incarnation, or does not ask about one.
    pub(crate) fn without_lookup() -> Self {
        let lookup = LeavingLookup {
            is_done: true,
            ..LeavingLookup::default()
        };
        Self {
            lookup,
            ..Self::default()
        }
    }

    fn store(&mut self, now: Duration, node: NodeId, leaving: LeavingServer) {
        let stored = self.stored.entry(node).or_default();
        stored.retain(|other| other.leaving != leaving && now < other.until);
        stored.push(LeavingRecord {
            leaving,
            until: now + LEAVING_RECORD_LIFETIME,
        });
        if stored.len() > MAX_RECORDS_PER_NODE {
            stored.remove(0);
        }
    }

    fn stored_for(&self, now: Duration, node: NodeId) -> Vec<LeavingServer> {
        let stored = self.stored.get(&node).into_iter().flatten();
        let valid = stored.filter(|stored| now < stored.until);
        valid.map(|stored| stored.leaving.clone()).collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.stored.retain(|_, stored| {
            stored.retain(|stored| now < stored.until);
            !stored.is_empty()
        });
    }

    /// Returns whether the announced server was leaving in the previous incarnation of this node, or
    /// is known to leave by this one.
    fn was_leaving(&self, own: NodeId, announced: &UpstreamAnnouncement) -> bool {
        let life = announced.life.as_ref();
        life.is_some_and(|life| {
            let stored = self.stored.get(&own).into_iter().flatten();
            let stored = stored.map(|record| &record.leaving);
            let mut leaving = self.previous.iter().chain(stored);
            leaving.any(|leaving| leaving.slot == announced.slot && leaving.life.matches(&life.id))
        })
    }

    fn hold_announcement(&mut self, announced: UpstreamAnnouncement) {
        let held = self.lookup.held.get(&announced.slot);
        let same = held.filter(|held| life_of(held) == life_of(&announced));
        if same.is_none_or(|held| order_of(held) < order_of(&announced)) {
            self.lookup.held.insert(announced.slot, announced);
        }
    }

    /// Returns whether an announcement is later than one of the same incarnation that is held.
    fn is_repeated(&self, announced: &UpstreamAnnouncement) -> bool {
        let held = self.lookup.held.get(&announced.slot);
        held.is_some_and(|held| {
            life_of(held) == life_of(announced) && order_of(held) < order_of(announced)
        })
    }
}

pub(crate) fn life_of(announced: &UpstreamAnnouncement) -> Option<&LifeId> {
    announced.life.as_ref().map(|life| &life.id)
}

pub(crate) fn order_of(announced: &UpstreamAnnouncement) -> Option<u64> {
    announced.life.as_ref().map(|life| life.order)
}

impl NodeEngine {
    /// Returns the announcement to act on now, marked as leaving if the server was leaving before
    /// the restart. Returns `None` if the announcement is held until the replies arrive.
    pub(crate) fn resolve_leaving(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
    ) -> Option<UpstreamAnnouncement> {
        let leaves = announced.phase == UpstreamPhase::Leaving;
        if leaves {
            self.leaving_records.lookup.held.remove(&announced.slot);
            return Some(announced);
        }
        let own = self.own.instance.node;
        if self.leaving_records.was_leaving(own, &announced) {
            let phase = UpstreamPhase::Leaving;
            return Some(UpstreamAnnouncement { phase, ..announced });
        }
        if self.leaving_records.lookup.is_done || announced.life.is_none() {
            return Some(announced);
        }
        if now >= REPLY_TIMEOUT && self.is_confirmed(&announced) {
            self.leaving_records.lookup.held.remove(&announced.slot);
            return Some(announced);
        }
        self.leaving_records.hold_announcement(announced);
        None
    }

    /// Returns whether a server announced itself at least twice to this incarnation of the node. A
    /// server sends no announcement of its readiness after it began to leave, and one that is
    /// delayed is hardly followed by another.
    fn is_confirmed(&self, announced: &UpstreamAnnouncement) -> bool {
        let known = self.upstreams.get(&announced.slot);
        let accepted = known
            .is_some_and(|known| known.available && known.life_id().as_ref() == life_of(announced));
        accepted || self.leaving_records.is_repeated(announced)
    }

    /// Drops the held announcement of a server that withdrew.
    pub(crate) fn drop_held_announcement(&mut self, slot: u16, life: Option<&LifeId>) {
        let held = self.leaving_records.lookup.held.get(&slot);
        let Some(held) = held.and_then(life_of).cloned() else {
            return;
        };
        if life.is_none_or(|life| life.matches(&held)) {
            self.leaving_records.lookup.held.remove(&slot);
            self.leaving_records
                .previous
                .push(LeavingServer { slot, life: held });
        }
    }

    /// Records the withdrawal of a server that is not the current one or has not announced itself
    /// yet. Its delayed announcement may still arrive, at the next incarnation of this node too.
    pub(crate) fn remember_withdrawal(
        &mut self,
        slot: u16,
        life: &LifeId,
        out: &mut Vec<NodeCommand>,
    ) {
        let leaving = LeavingServer {
            slot,
            life: life.clone(),
        };
        self.replicate_leaving(&leaving, out);
    }

    /// Sends a leaving server to the replicas and the platform's store, for this node's next
    /// incarnation.
    pub(crate) fn replicate_leaving(
        &mut self,
        leaving: &LeavingServer,
        out: &mut Vec<NodeCommand>,
    ) {
        if !self.uses_fleet_contract() {
            return;
        }
        let (now, own) = (self.now, self.own.instance.node);
        let stored = self.leaving_records.stored_for(now, own);
        self.leaving_records.store(now, own, leaving.clone());
        if !stored.contains(leaving) {
            let servers = self.leaving_records.stored_for(now, own);
            out.push(NodeCommand::RecordLeaving(servers));
        }
        for replica in self.replicas_of(self.own.instance.node) {
            let message = LeavingMessage::Leaves(leaving.clone());
            self.send_peer(replica, PeerMessage::Leaving(message), out);
        }
    }

    /// Returns the replicas of a node: the other members that rank first in a hash order specific
    /// to it.
    pub(crate) fn replicas_of(&self, node: NodeId) -> Vec<InstanceId> {
        let members = self.present_instances();
        let others = members.into_iter().filter(|other| other.node != node);
        let rank =
            |other: &InstanceId| stable_hash(&[&node.0.to_be_bytes(), &other.node.0.to_be_bytes()]);
        let mut ranked: Vec<InstanceId> = others.collect();
        ranked.sort_by_cached_key(rank);
        ranked.truncate(REPLICAS);
        ranked
    }

    /// Asks a newly discovered member for leaving servers, unless enough members were asked.
    pub(crate) fn query_leaving_servers(&mut self, member: InstanceId, out: &mut Vec<NodeCommand>) {
        let lookup = &mut self.leaving_records.lookup;
        if lookup.is_done || lookup.queries >= MAX_QUERIED_MEMBERS {
            return;
        }
        lookup.queries += 1;
        let ask = LeavingMessage::Ask {
            asker: self.own.instance,
            address: self.own.peer_address,
            handed_on: false,
        };
        self.send_peer(member, PeerMessage::Leaving(ask), out);
    }

    /// Removes expired records and, once the wait for replies is over, processes the held
    /// announcements.
    pub(crate) fn tick_leaving_servers(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.leaving_records.remove_expired(now);
        self.limit_records.remove_expired(now);
        let lookup = &mut self.leaving_records.lookup;
        let enough = lookup.replied.len() >= REQUIRED_REPLIES || now >= REPLY_TIMEOUT;
        if lookup.is_done || !lookup.is_read || !enough {
            return;
        }
        lookup.is_done = true;
        for announced in std::mem::take(&mut lookup.held).into_values() {
            self.on_announced(now, announced, out);
        }
    }

    /// Handles the record that an earlier incarnation of this node wrote to the platform's store.
    pub(crate) fn on_leaving_servers_read(
        &mut self,
        now: Duration,
        servers: Vec<LeavingServer>,
        out: &mut Vec<NodeCommand>,
    ) {
        self.leaving_records.lookup.is_read = true;
        let own = self.own.instance.node;
        for leaving in servers {
            self.leaving_records.store(now, own, leaving.clone());
            self.close_accepted(now, &leaving, out);
        }
        self.tick_leaving_servers(now, out);
    }

    pub(crate) fn on_leaving_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: LeavingMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        match message {
            LeavingMessage::Leaves(leaving) => self.leaving_records.store(now, from.node, leaving),
            LeavingMessage::Ask {
                asker,
                address,
                handed_on: true,
            } => self.send_leaving_servers(now, asker, address, out),
            LeavingMessage::Ask { asker, address, .. } => {
                self.forward_query(now, asker, address, out);
            }
            LeavingMessage::Leaving(servers) => self.on_leaving_reply(now, from, servers, out),
        }
    }

    fn forward_query(
        &mut self,
        now: Duration,
        asker: InstanceId,
        address: SocketAddr,
        out: &mut Vec<NodeCommand>,
    ) {
        for replica in self.replicas_of(asker.node) {
            if replica == self.own.instance {
                self.send_leaving_servers(now, asker, address, out);
                continue;
            }
            let ask = LeavingMessage::Ask {
                asker,
                address,
                handed_on: true,
            };
            self.send_peer(replica, PeerMessage::Leaving(ask), out);
        }
    }

    fn send_leaving_servers(
        &self,
        now: Duration,
        asker: InstanceId,
        address: SocketAddr,
        out: &mut Vec<NodeCommand>,
    ) {
        // Sent first, because the reply below ends the wait of the asking node.
        self.send_stored_limits(now, asker, address, out);
        let servers = self.leaving_records.stored_for(now, asker.node);
        // The membership of this node may not include the new incarnation yet, so the reply goes to
        // the address in the query.
        out.push(NodeCommand::SendPeer {
            to: asker,
            address,
            message: PeerMessage::Leaving(LeavingMessage::Leaving(servers)),
        });
    }

    fn on_leaving_reply(
        &mut self,
        now: Duration,
        from: InstanceId,
        servers: Vec<LeavingServer>,
        out: &mut Vec<NodeCommand>,
    ) {
        self.leaving_records.lookup.replied.insert(from.node);
        for leaving in servers {
            if !self.leaving_records.previous.contains(&leaving) {
                self.leaving_records.previous.push(leaving.clone());
            }
            self.close_accepted(now, &leaving, out);
        }
        self.tick_leaving_servers(now, out);
    }

    /// Marks a server as leaving that was accepted as ready before the reply arrived.
    fn close_accepted(
        &mut self,
        now: Duration,
        leaving: &LeavingServer,
        out: &mut Vec<NodeCommand>,
    ) {
        let known = self.upstreams.get(&leaving.slot);
        let accepted = known.filter(|known| {
            let life = known.life_id();
            known.available && life.is_some_and(|life| leaving.life.matches(&life))
        });
        if let Some(announced) = accepted.map(|known| known.announced.clone()) {
            self.mark_leaving(now, announced, out);
        }
    }
}
