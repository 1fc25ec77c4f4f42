//! How a node that starts takes up the whole membership.
//!
//! Each of hundreds of nodes that start together knows only itself. Gossip within its budget takes minutes
//! until all know all, and until then work goes only to the servers that a node has heard of. So a node
//! asks one peer after the other for all that it lacks, over a connection, until two in a row have nothing
//! more to tell. What nodes know doubles with each round.

use std::time::Duration;

use sycamorelink_core::InstanceId;
use sycamorelink_roster::{RosterEvent, RosterMessage};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Pause between two questions while answers bring news: the whole membership of a thousand nodes is some 100 KB, a twentieth of a
/// second over a link of 20 Mbit/s.
const ASK_PAUSE: Duration = Duration::from_millis(600);
/// Growth of the pause with each answer in a row that tells nearly nothing.
const PAUSE_GROWTH: f64 = 1.4;
/// One question in so many goes to any node, the others to nodes of the own failure domain: bytes between
/// domains have a price.
const FAR_TURN: usize = 4;
/// Time in which a node goes on asking although nothing new came: nodes that start together have little to
/// tell at first.
const ASK_TIME: Duration = Duration::from_secs(6);
/// Answers in a row that tell nearly nothing, after which a node no longer asks.
const QUIET_ANSWERS: u32 = 2;
/// An answer about fewer members than one in so many tells nearly nothing: somebody always comes or goes.
const QUIET_PART: usize = 16;

/// How far a node is with joining.
#[derive(Debug)]
pub(crate) struct JoinState {
    next: Duration,
    pause: Duration,
    asked: usize,
    quiet: u32,
}

impl Default for JoinState {
    fn default() -> Self {
        Self {
            next: Duration::ZERO,
            pause: ASK_PAUSE,
            asked: 0,
            quiet: 0,
        }
    }
}

impl NodeEngine {
    /// Asks the next peer for what this node lacks of the membership.
    pub(crate) fn tick_joining(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let done = self.joining.quiet >= QUIET_ANSWERS && now >= ASK_TIME;
        if done || now < self.joining.next {
            return;
        }
        let Some(peer) = self.join_peer() else {
            return;
        };
        let state = &mut self.joining;
        state.asked += 1;
        state.next = now + state.pause;
        let hashes = self.roster.bucket_hashes();
        self.send_peer(peer, PeerMessage::RosterAsk { hashes }, out);
    }

    /// The next node to ask, mostly one of the own failure domain.
    fn join_peer(&mut self) -> Option<InstanceId> {
        let asked = self.joining.asked;
        let any = self.pull_source();
        let turn = self.pull_turn;
        let near = self.domain_order().other_at(turn);
        let near = near.and_then(|node| self.instance_of(node));
        near.filter(|_| !asked.is_multiple_of(FAR_TURN)).or(any)
    }

    pub(crate) fn on_roster_ask(
        &mut self,
        from: InstanceId,
        hashes: &[u8],
        out: &mut Vec<NodeCommand>,
    ) {
        let state = self.roster.state_beyond(hashes);
        self.send_peer(from, PeerMessage::RosterState { state }, out);
    }

    pub(crate) fn on_roster_state(
        &mut self,
        now: Duration,
        from: InstanceId,
        state: RosterMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(member) = self.roster.member(from.node) else {
            return;
        };
        let few = self.roster.member_count().div_ceil(QUIET_PART);
        if state.rumours.len() <= few {
            self.joining.quiet += 1;
            self.joining.pause = self.joining.pause.mul_f64(PAUSE_GROWTH);
        } else {
            self.joining.quiet = 0;
            self.joining.pause = ASK_PAUSE;
        }
        let event = RosterEvent::Datagram {
            from: member.facts.gossip_address,
            message: state,
        };
        self.tell_roster(now, event, out);
    }
}
