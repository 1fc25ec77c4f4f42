//! A node that knows no other looks for them where nodes leave their addresses.

use std::time::Duration;

use crate::command::NodeCommand;
use crate::node::NodeEngine;

/// When a node that has met nobody looks again: some tries to reach those that it found at its start.
const LOOK_AFTER: Duration = Duration::from_secs(1);
/// The same in a fleet that starts for the first time, where the first look is spread over some time.
const FIRST_LOOK_AFTER: Duration = Duration::from_secs(5);
/// Longest pause between two looks of a node that stays alone.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// When a node that is alone looks next.
#[derive(Debug)]
pub(crate) struct MeetingState {
    next: Duration,
    pause: Duration,
}

impl MeetingState {
    pub(crate) const fn new(first_start: bool) -> Self {
        let next = if first_start {
            FIRST_LOOK_AFTER
        } else {
            LOOK_AFTER
        };
        Self {
            next,
            pause: LOOK_AFTER,
        }
    }
}

impl NodeEngine {
    /// Asks for a look while this node is alone, each after twice the pause of the one before.
    pub(crate) fn tick_meeting(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let state = &mut self.meeting;
        if self.roster.member_count() >= 2 {
            state.pause = LOOK_AFTER;
            state.next = now + LOOK_AFTER;
            return;
        }
        if now < state.next {
            return;
        }
        state.next = now + state.pause;
        state.pause = (state.pause * 2).min(LONGEST_PAUSE);
        out.push(NodeCommand::FindMembers);
    }
}
