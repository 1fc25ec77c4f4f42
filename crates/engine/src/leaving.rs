//! Leavings of backend servers that outlive the daemon beside them.
//!
//! ```text
//! daemon ── Leaves ──▶ three keepers
//!   ✕ restarts
//! next life ── Ask ──▶ any two members ── Ask ──▶ keepers ── Leaving ──▶ next life
//! ```
//!
//! The acknowledgement of a leaving binds the next life of the daemon too, and a late heartbeat from
//! before the leaving may be the first that it gets. So it asks which servers beside it leave, and
//! takes no server as ready before it was told or a short wait is over.

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

/// Nodes that keep the leavings of one node: the loss of two of them loses nothing.
const KEEPERS: usize = 3;
/// Keepers whose answers end the wait of a node that starts.
const ANSWERS: usize = 2;
/// Members that a node asks when it starts; each hands the question on to the keepers.
const MEMBERS_ASKED: usize = 2;
/// Longest wait for the answers, from the start on: a third of the pause between two heartbeats, and
/// many times the way to a keeper and back.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// How long a leaving is kept for the next life. A server that leaves is gone by then.
const KEEP_TIME: Duration = Duration::from_mins(1);
/// Leavings kept of one node.
const KEPT_LIVES: usize = 8;

/// One message about leavings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingMessage {
    /// A backend server beside the sender leaves.
    Leaves(LeavingLife),
    /// A node that has started asks which backend servers beside it were leaving.
    Ask {
        /// Who asks.
        asker: InstanceId,
        /// Where it takes the answer.
        address: SocketAddr,
        /// Whether this is for the receiver itself to answer, and not to be handed on.
        handed_on: bool,
    },
    /// What a keeper knows of the backend servers beside the receiver.
    Leaving(Vec<LeavingLife>),
}

/// A backend server that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingLife {
    /// Its number on its node.
    pub slot: u16,
    /// Its life.
    pub life: LifeId,
}

/// What a node knows of leavings: those it keeps for others, and those of its own former life.
#[derive(Debug, Default)]
pub(crate) struct LeavingRecords {
    kept: BTreeMap<NodeId, Vec<KeptLeaving>>,
    former: Vec<LeavingLife>,
    recall: LeavingRecall,
}

#[derive(Debug)]
struct KeptLeaving {
    leaving: LeavingLife,
    until: Duration,
}

/// How far a node that has started is with asking.
#[derive(Debug, Default)]
struct LeavingRecall {
    done: bool,
    asked: usize,
    answered: BTreeSet<NodeId>,
    /// The newest announcement of each server that waits for the answers.
    held: BTreeMap<u16, UpstreamAnnouncement>,
}

impl LeavingRecords {
    /// Records of a node that had no former life, or asks nobody about it.
    pub(crate) fn without_recall() -> Self {
        let recall = LeavingRecall {
            done: true,
            ..LeavingRecall::default()
        };
        Self {
            recall,
            ..Self::default()
        }
    }

    fn keep(&mut self, now: Duration, node: NodeId, leaving: LeavingLife) {
        let kept = self.kept.entry(node).or_default();
        kept.retain(|other| other.leaving != leaving && now < other.until);
        kept.push(KeptLeaving {
            leaving,
            until: now + KEEP_TIME,
        });
        if kept.len() > KEPT_LIVES {
            kept.remove(0);
        }
    }

    fn kept_of(&self, now: Duration, node: NodeId) -> Vec<LeavingLife> {
        let kept = self.kept.get(&node).into_iter().flatten();
        let valid = kept.filter(|kept| now < kept.until);
        valid.map(|kept| kept.leaving.clone()).collect()
    }

    fn forget_old(&mut self, now: Duration) {
        self.kept.retain(|_, kept| {
            kept.retain(|kept| now < kept.until);
            !kept.is_empty()
        });
    }

    /// Whether this announcement's life was leaving in the former life of the node.
    fn was_leaving(&self, announced: &UpstreamAnnouncement) -> bool {
        let life = announced.life.as_ref();
        life.is_some_and(|life| {
            let mut former = self.former.iter();
            former.any(|former| former.slot == announced.slot && former.life.names(&life.id))
        })
    }

    fn hold(&mut self, announced: UpstreamAnnouncement) {
        let order =
            |announced: &UpstreamAnnouncement| announced.life.as_ref().map(|life| life.order);
        let held = self.recall.held.get(&announced.slot);
        let same = held.filter(|held| life_of(held) == life_of(&announced));
        if same.is_none_or(|held| order(held) < order(&announced)) {
            self.recall.held.insert(announced.slot, announced);
        }
    }
}

fn life_of(announced: &UpstreamAnnouncement) -> Option<&LifeId> {
    announced.life.as_ref().map(|life| &life.id)
}

impl NodeEngine {
    /// An announcement as far as it may be acted upon now; none while it waits for the answers.
    pub(crate) fn recall_leaving(
        &mut self,
        announced: UpstreamAnnouncement,
    ) -> Option<UpstreamAnnouncement> {
        let leaves = announced.phase == UpstreamPhase::Leaving;
        if leaves {
            self.leavings.recall.held.remove(&announced.slot);
            return Some(announced);
        }
        if self.leavings.was_leaving(&announced) {
            let phase = UpstreamPhase::Leaving;
            return Some(UpstreamAnnouncement { phase, ..announced });
        }
        if self.leavings.recall.done || announced.life.is_none() {
            return Some(announced);
        }
        self.leavings.hold(announced);
        None
    }

    /// A server withdrew whose announcement still waits.
    pub(crate) fn drop_held_announcement(&mut self, slot: u16, life: Option<&LifeId>) {
        let held = self.leavings.recall.held.get(&slot);
        let Some(held) = held.and_then(life_of).cloned() else {
            return;
        };
        if life.is_none_or(|life| life.names(&held)) {
            self.leavings.recall.held.remove(&slot);
            self.leavings.former.push(LeavingLife { slot, life: held });
        }
    }

    /// Has a leaving kept for this node's next life.
    pub(crate) fn record_leaving(
        &mut self,
        announced: &UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(life) = life_of(announced).filter(|_| self.has_fleet_form()) else {
            return;
        };
        let leaving = LeavingLife {
            slot: announced.slot,
            life: life.clone(),
        };
        for keeper in self.leaving_keepers(self.own.instance.node) {
            let message = LeavingMessage::Leaves(leaving.clone());
            self.send_peer(keeper, PeerMessage::Leaving(message), out);
        }
    }

    /// The nodes that keep the leavings of a node: of the others, those that rank first for it.
    fn leaving_keepers(&self, node: NodeId) -> Vec<InstanceId> {
        let members = self.present_instances();
        let others = members.into_iter().filter(|other| other.node != node);
        let rank =
            |other: &InstanceId| stable_hash(&[&node.0.to_be_bytes(), &other.node.0.to_be_bytes()]);
        let mut ranked: Vec<InstanceId> = others.collect();
        ranked.sort_by_cached_key(rank);
        ranked.truncate(KEEPERS);
        ranked
    }

    /// Asks a member that this node has just met, unless enough were asked.
    pub(crate) fn ask_for_leavings(&mut self, member: InstanceId, out: &mut Vec<NodeCommand>) {
        let recall = &mut self.leavings.recall;
        if recall.done || recall.asked >= MEMBERS_ASKED {
            return;
        }
        recall.asked += 1;
        let ask = LeavingMessage::Ask {
            asker: self.own.instance,
            address: self.own.peer_address,
            handed_on: false,
        };
        self.send_peer(member, PeerMessage::Leaving(ask), out);
    }

    /// Ends the wait for answers when it is over, and forgets what is old.
    pub(crate) fn tick_leavings(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.leavings.forget_old(now);
        let recall = &mut self.leavings.recall;
        let enough = recall.answered.len() >= ANSWERS || now >= ANSWER_LIMIT;
        if recall.done || !enough {
            return;
        }
        recall.done = true;
        for announced in std::mem::take(&mut recall.held).into_values() {
            self.on_announced(now, announced, out);
        }
    }

    pub(crate) fn on_leaving_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: LeavingMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        match message {
            LeavingMessage::Leaves(leaving) => self.leavings.keep(now, from.node, leaving),
            LeavingMessage::Ask {
                asker,
                address,
                handed_on: true,
            } => self.answer_leavings(now, asker, address, out),
            LeavingMessage::Ask { asker, address, .. } => {
                self.hand_ask_on(now, asker, address, out);
            }
            LeavingMessage::Leaving(lives) => self.on_leavings_told(now, from, lives, out),
        }
    }

    fn hand_ask_on(
        &mut self,
        now: Duration,
        asker: InstanceId,
        address: SocketAddr,
        out: &mut Vec<NodeCommand>,
    ) {
        for keeper in self.leaving_keepers(asker.node) {
            if keeper == self.own.instance {
                self.answer_leavings(now, asker, address, out);
                continue;
            }
            let ask = LeavingMessage::Ask {
                asker,
                address,
                handed_on: true,
            };
            self.send_peer(keeper, PeerMessage::Leaving(ask), out);
        }
    }

    fn answer_leavings(
        &self,
        now: Duration,
        asker: InstanceId,
        address: SocketAddr,
        out: &mut Vec<NodeCommand>,
    ) {
        let lives = self.leavings.kept_of(now, asker.node);
        // The keeper may not have heard of the new life yet, so the answer goes where it says.
        out.push(NodeCommand::SendPeer {
            to: asker,
            address,
            message: PeerMessage::Leaving(LeavingMessage::Leaving(lives)),
        });
    }

    fn on_leavings_told(
        &mut self,
        now: Duration,
        from: InstanceId,
        lives: Vec<LeavingLife>,
        out: &mut Vec<NodeCommand>,
    ) {
        self.leavings.recall.answered.insert(from.node);
        for leaving in lives {
            if !self.leavings.former.contains(&leaving) {
                self.leavings.former.push(leaving.clone());
            }
            self.close_taken(now, &leaving, out);
        }
        self.tick_leavings(now, out);
    }

    /// A server that was taken as ready before the answer came leaves.
    fn close_taken(&mut self, now: Duration, leaving: &LeavingLife, out: &mut Vec<NodeCommand>) {
        let known = self.upstreams.get(&leaving.slot);
        let taken = known.filter(|known| {
            let life = known.life_id();
            known.up && life.is_some_and(|life| leaving.life.names(&life))
        });
        if let Some(announced) = taken.map(|known| known.announced.clone()) {
            self.take_as_leaving(now, announced, out);
        }
    }
}
