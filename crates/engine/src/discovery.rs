//! Repeats the lookup of gossip addresses in the directory while a node knows no other member.

use std::time::Duration;

use crate::command::NodeCommand;
use crate::node::NodeEngine;

/// Wait before a node that knows no other member queries the directory again: several attempts to
/// reach the nodes found at the start.
const DISCOVERY_DELAY: Duration = Duration::from_secs(1);
/// The same in a fleet that starts for the first time, where the first query is spread over some
/// time.
const FIRST_DISCOVERY_DELAY: Duration = Duration::from_secs(5);
/// Maximum interval between two queries of a node that still knows no other member.
const MAX_DISCOVERY_INTERVAL: Duration = Duration::from_secs(30);

/// Schedule of the directory queries of a node that knows no other member.
#[derive(Debug)]
pub(crate) struct DiscoveryState {
    next_query: Duration,
    interval: Duration,
}

impl DiscoveryState {
    pub(crate) const fn new(first_start: bool) -> Self {
        let next_query = if first_start {
            FIRST_DISCOVERY_DELAY
        } else {
            DISCOVERY_DELAY
        };
        Self {
            next_query,
            interval: DISCOVERY_DELAY,
        }
    }
}

impl NodeEngine {
    /// Requests a directory query while this node knows no other member, with exponential backoff.
    pub(crate) fn tick_discovery(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let state = &mut self.discovery;
        if self.roster.member_count() >= 2 {
            state.interval = DISCOVERY_DELAY;
            state.next_query = now + DISCOVERY_DELAY;
            return;
        }
        if now < state.next_query {
            return;
        }
        state.next_query = now + state.interval;
        state.interval = (state.interval * 2).min(MAX_DISCOVERY_INTERVAL);
        out.push(NodeCommand::FindMembers);
    }
}
