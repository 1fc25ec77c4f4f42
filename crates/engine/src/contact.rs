//! Detects that no ancestor of a node in its failure domain reaches the source of contracts.
//!
//! ```text
//! source ◀─ follow ─ root ─ SourceContact ─▶ children ─ SourceContact ─▶ their children
//!                                             └─ on timeout: follow the source directly
//! ```
//!
//! A node that receives no contract cannot tell whether the source has nothing new or its followers
//! are unreachable, and the membership needs seconds to detect that they are dead. The nodes that
//! follow the source therefore send a periodic message down the tree of their failure domain. A
//! node that does not receive it in time follows the source until the messages resume.

use std::time::Duration;

use sycamorelink_core::InstanceId;

use crate::command::NodeCommand;
use crate::following::TreePosition;
use crate::message::PeerMessage;
use crate::node::NodeEngine;

/// Time between two contact messages of a node to its children. Each has some sixty bytes and stays
/// within the failure domain.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without contact after which a child of a root follows the source: two intervals and the
/// delivery. This leaves 0.9 s of the two seconds within which a contract has to be in force.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Added to the timeout for each further level of the tree, so that a node does not follow the
/// source when its parent takes over.
const TIMEOUT_PER_LEVEL: Duration = Duration::from_millis(200);

/// Last known contact of this node's ancestors with the source.
#[derive(Debug, Default)]
pub(crate) struct ContactState {
    /// Latest time at which an ancestor reached the source.
    source_reached: Duration,
    /// When this node last received a contact message.
    last_received: Duration,
    /// When this node last sent contact messages to its children.
    last_sent: Duration,
}

impl ContactState {
    /// Returns whether a node at this position in the tree has to follow the source itself. Contact
    /// messages are expected only after the tree has settled.
    fn is_lost(&self, now: Duration, position: TreePosition, settled_at: Duration) -> bool {
        let timeout = CONTACT_TIMEOUT + TIMEOUT_PER_LEVEL * position.depth.saturating_sub(1);
        let silent = now >= self.last_received.max(settled_at) + timeout;
        let unreached = now >= self.source_reached.max(settled_at) + timeout;
        silent || unreached && position.takes_over_in_outage
    }
}

impl NodeEngine {
    /// Returns whether this node has to follow the source because its ancestors no longer reach it.
    pub(crate) fn is_contact_lost(&mut self, now: Duration) -> bool {
        let Some(settled_at) = self.fleet.follow.first_settled_at else {
            return false;
        };
        let position = self.domain_order().tree_position();
        self.fleet.contact.is_lost(now, position, settled_at)
    }

    /// Sends contact messages at a fixed interval while this node follows the source.
    pub(crate) fn tick_contact(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.fleet.follow.active && now >= self.fleet.contact.last_sent + CONTACT_INTERVAL {
            self.send_contact(now, out);
        }
    }

    /// Handles a contact message and forwards it, unless this node follows the source and sends its
    /// own.
    pub(crate) fn on_source_contact(
        &mut self,
        now: Duration,
        from: InstanceId,
        (age, version): (Duration, u64),
        out: &mut Vec<NodeCommand>,
    ) {
        let state = &mut self.fleet.contact;
        state.last_received = now;
        state.source_reached = state.source_reached.max(now.saturating_sub(age));
        let due = now >= state.last_sent + CONTACT_INTERVAL / 2;
        if due && !self.fleet.follow.active {
            self.send_contact(now, out);
        }
        self.on_head_announced(now, from, version, out);
    }

    fn send_contact(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.fleet.contact.last_sent = now;
        let reaches_source = self.fleet.follow.active && self.log_reachable;
        let age = if reaches_source {
            Duration::ZERO
        } else {
            now.saturating_sub(self.fleet.contact.source_reached)
        };
        let version = self.fleet.version();
        for child in self.present_children() {
            self.send_peer(child, PeerMessage::SourceContact { age, version }, out);
        }
    }
}
