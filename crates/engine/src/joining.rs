//! Transfers the whole membership to a node that starts.
//!
//! When hundreds of nodes start together, each knows only itself. Gossip within its byte budget
//! takes minutes until all nodes know each other, and until then a node sends work only to the
//! servers that it knows. A starting node therefore asks one peer after another for the members
//! that it lacks, over a connection, until two replies in a row bring almost nothing new. The
//! number of members that nodes know doubles with each round.

use std::time::Duration;

use sycamorelink_core::InstanceId;
use sycamorelink_roster::{RosterEvent, RosterMessage};

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Interval between two queries while replies bring new members. The whole membership of a thousand
/// nodes is some 100 KB, a twentieth of a second over a link of 20 Mbit/s.
const QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Factor by which the interval grows with each consecutive reply that brings almost nothing new.
const INTERVAL_GROWTH: f64 = 1.4;
/// One query in this many goes to any node, the others to nodes of the same failure domain, because
/// traffic between domains is billed.
const ANY_DOMAIN_PERIOD: usize = 4;
/// Time since the start for which a node continues to query even if replies bring nothing new:
/// nodes that start together know few members at first.
const MIN_QUERY_TIME: Duration = Duration::from_secs(6);
/// Consecutive replies with almost nothing new after which a node stops querying.
const MAX_QUIET_REPLIES: u32 = 2;
/// A reply with at most one in this many members counts as almost nothing new, because some members
/// always join or leave.
const QUIET_REPLY_DIVISOR: usize = 16;

/// Progress of a node in learning the membership.
#[derive(Debug)]
pub(crate) struct JoinState {
    next_query: Duration,
    interval: Duration,
    queries: usize,
    quiet_replies: u32,
}

impl Default for JoinState {
    fn default() -> Self {
        Self {
            next_query: Duration::ZERO,
            interval: QUERY_INTERVAL,
            queries: 0,
            quiet_replies: 0,
        }
    }
}

impl NodeEngine {
    /// Asks the next peer for the members that this node lacks.
    pub(crate) fn tick_joining(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let done = self.joining.quiet_replies >= MAX_QUIET_REPLIES && now >= MIN_QUERY_TIME;
        if done || now < self.joining.next_query {
            return;
        }
        let Some(peer) = self.next_join_peer() else {
            return;
        };
        let state = &mut self.joining;
        state.queries += 1;
        state.next_query = now + state.interval;
        let hashes = self.roster.bucket_hashes();
        self.send_peer(peer, PeerMessage::RosterAsk { hashes }, out);
    }

    /// Returns the next node to ask, usually one of the same failure domain.
    fn next_join_peer(&mut self) -> Option<InstanceId> {
        let queries = self.joining.queries;
        let any_peer = self.next_present_peer();
        let turn = self.peer_rotation;
        let domain_peer = self.domain_order().peer_at(turn);
        let domain_peer = domain_peer.and_then(|node| self.instance_of(node));
        domain_peer
            .filter(|_| !queries.is_multiple_of(ANY_DOMAIN_PERIOD))
            .or(any_peer)
    }

    pub(crate) fn on_roster_ask(
        &mut self,
        from: InstanceId,
        hashes: &[u8],
        out: &mut Vec<NodeCommand>,
    ) {
        let state = self.roster.differing_state(hashes);
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
        let quiet_limit = self.roster.member_count().div_ceil(QUIET_REPLY_DIVISOR);
        if state.rumours.len() <= quiet_limit {
            self.joining.quiet_replies += 1;
            self.joining.interval = self.joining.interval.mul_f64(INTERVAL_GROWTH);
        } else {
            self.joining.quiet_replies = 0;
            self.joining.interval = QUERY_INTERVAL;
        }
        let event = RosterEvent::Datagram {
            from: member.facts.gossip_address,
            message: state,
        };
        self.handle_roster_event(now, event, out);
    }
}
