//! Replication of the limits that backend servers name, so that a restarted daemon knows them.
//!
//! ```text
//! daemon ── ServerLimit ──▶ three replicas
//!   ✕ restarts
//! restarted ── the question for leaving servers ──▶ replicas ── StoredLimits ──▶ restarted daemon
//! ```
//!
//! The nodes that send work keep sending at their usual pace after a daemon has restarted. Until the
//! first answer names the limit again, the server would get as many requests as it has slots.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, NodeId};

use crate::command::NodeCommand;
use crate::event::LifeId;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Time for which a limit is stored for the next incarnation of a node.
const RECORD_LIFETIME: Duration = Duration::from_mins(1);
/// Interval at which the replicas of a limit in force are renewed.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum number of limits stored per node.
const MAX_RECORDS_PER_NODE: usize = 8;

/// Limit that one incarnation of a backend server names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitedServer {
    /// Number of the server on its node.
    pub slot: u16,
    /// Incarnation that names the limit.
    pub life: LifeId,
    /// Requests per second; `None` if it names no limit any more.
    pub rate: Option<f64>,
}

/// Limits stored for other nodes, and those of this node's previous incarnation.
#[derive(Debug, Default)]
pub(crate) struct LimitRecords {
    stored: BTreeMap<NodeId, BTreeMap<u16, LimitRecord>>,
    previous: BTreeMap<u16, LimitedServer>,
}

#[derive(Debug)]
struct LimitRecord {
    limited: LimitedServer,
    until: Duration,
}

impl LimitRecords {
    /// Stores a limit for the next incarnation of a node.
    pub(crate) fn store(&mut self, now: Duration, node: NodeId, limited: LimitedServer) {
        let stored = self.stored.entry(node).or_default();
        stored.retain(|_, record| now < record.until);
        if limited.rate.is_none() {
            stored.remove(&limited.slot);
        } else if stored.len() < MAX_RECORDS_PER_NODE || stored.contains_key(&limited.slot) {
            let until = now + RECORD_LIFETIME;
            stored.insert(limited.slot, LimitRecord { limited, until });
        }
    }

    fn stored_for(&self, now: Duration, node: NodeId) -> Vec<LimitedServer> {
        let stored = self
            .stored
            .get(&node)
            .into_iter()
            .flat_map(BTreeMap::values);
        let valid = stored.filter(|record| now < record.until);
        valid.map(|record| record.limited.clone()).collect()
    }

    /// Removes records that have expired.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.stored.retain(|_, stored| {
            stored.retain(|_, record| now < record.until);
            !stored.is_empty()
        });
    }
}

impl NodeEngine {
    /// Sends the limit of a local backend server to the replicas.
    pub(crate) fn replicate_limit(&mut self, slot: u16, out: &mut Vec<NodeCommand>) {
        let Some(upstream) = self.upstreams.get(&slot) else {
            return;
        };
        let Some(life) = upstream.life_id().filter(|_| self.uses_fleet_contract()) else {
            return;
        };
        let rate = upstream.limit.map(|limit| limit.rate);
        let limited = LimitedServer { slot, life, rate };
        for replica in self.replicas_of(self.own.instance.node) {
            self.send_peer(replica, PeerMessage::ServerLimit(limited.clone()), out);
        }
    }

    /// Sends the limits stored for a node that has started, if there are any.
    pub(crate) fn send_stored_limits(
        &self,
        now: Duration,
        asker: InstanceId,
        address: std::net::SocketAddr,
        out: &mut Vec<NodeCommand>,
    ) {
        let limits = self.limit_records.stored_for(now, asker.node);
        if !limits.is_empty() {
            out.push(NodeCommand::SendPeer {
                to: asker,
                address,
                message: PeerMessage::StoredLimits(limits),
            });
        }
    }

    /// Handles the limits that a peer stored for this node.
    pub(crate) fn on_stored_limits(&mut self, now: Duration, limits: Vec<LimitedServer>) {
        for limited in limits.into_iter().take(MAX_RECORDS_PER_NODE) {
            let slot = limited.slot;
            self.limit_records.previous.insert(slot, limited);
            self.restore_limit(now, slot);
        }
    }

    /// Puts the limit of a server into force that it named before this node restarted. Limits that
    /// it has named since go first.
    pub(crate) fn restore_limit(&mut self, now: Duration, slot: u16) {
        let Some(limited) = self.limit_records.previous.get(&slot) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let same = upstream
            .life_id()
            .is_some_and(|life| limited.life.matches(&life));
        if same && !upstream.has_answered {
            upstream.set_limit(now, limited.rate);
        }
    }
}
