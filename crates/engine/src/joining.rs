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

/// Pause between two questions: the whole membership of a thousand nodes is some 100 KB, a twentieth of a
/// second over a link of 20 Mbit/s.
const ASK_PAUSE: Duration = Duration::from_millis(600);
/// Time in which a node goes on asking although nothing new came: nodes that start together have little to
/// tell at first.
const ASK_TIME: Duration = Duration::from_secs(6);
/// Answers in a row that tell nearly nothing, after which a node no longer asks.
const QUIET_ANSWERS: u32 = 2;
/// An answer about fewer members than one in so many tells nearly nothing: somebody always comes or goes.
const QUIET_PART: usize = 16;

/// How far a node is with joining.
#[derive(Debug, Default)]
pub(crate) struct JoinState {
    next: Duration,
    quiet: u32,
}

impl NodeEngine {
    /// Asks the next peer for what this node lacks of the membership.
    pub(crate) fn tick_joining(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let done = self.joining.quiet >= QUIET_ANSWERS && now >= ASK_TIME;
        if done || now < self.joining.next {
            return;
        }
        let Some(peer) = self.pull_source() else {
            return;
        };
        self.joining.next = now + ASK_PAUSE;
        let hashes = self.roster.bucket_hashes();
        self.send_peer(peer, PeerMessage::RosterAsk { hashes }, out);
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
        } else {
            self.joining.quiet = 0;
        }
        let event = RosterEvent::Datagram {
            from: member.facts.gossip_address,
            message: state,
        };
        self.tell_roster(now, event, out);
    }
}
