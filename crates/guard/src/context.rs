//! State shared by the components of a node, and the context in which they handle one event.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use sycamorelink_core::InstanceId;

use crate::command::{GuardCommand, GuardNote};
use crate::key::{KeyId, RangeId};
use crate::map::{RangeEntry, RangeMap};
use crate::members::MemberTable;
use crate::message::GuardMessage;
use crate::settings::{GuardIdentity, GuardSettings};

/// State that the components share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) identity: GuardIdentity,
    pub(crate) settings: GuardSettings,
    pub(crate) members: MemberTable,
    pub(crate) map: RangeMap,
    /// Highest fenced epoch of each range. This node promised not to take part in it any longer;
    /// see [`crate::founding`].
    pub(crate) fenced: BTreeMap<RangeId, u32>,
    pub(crate) draining: bool,
    pub(crate) rng: SmallRng,
    /// Messages from this node to itself.
    pub(crate) inbox: VecDeque<GuardMessage>,
}

impl SharedState {
    pub(crate) fn new(identity: GuardIdentity, settings: GuardSettings, seed: u64) -> Self {
        let mut members = MemberTable::default();
        members.mark_up(identity.instance, identity.domain.clone());
        Self {
            identity,
            settings,
            members,
            map: RangeMap::default(),
            fenced: BTreeMap::new(),
            draining: false,
            rng: SmallRng::seed_from_u64(seed),
            inbox: VecDeque::new(),
        }
    }

    /// Returns whether this node promised not to take part in an epoch of a range any longer.
    ///
    /// The node still adopts later generations of that epoch. Otherwise a founder would poll
    /// forever about a generation that the other members know to be replaced.
    pub(crate) fn is_fenced(&self, range: RangeId, epoch: u32) -> bool {
        self.fenced
            .get(&range)
            .is_some_and(|fenced| *fenced >= epoch)
    }

    /// Promises not to take part in an epoch of a range any longer.
    pub(crate) fn fence(&mut self, range: RangeId, epoch: u32) {
        let fenced = self.fenced.entry(range).or_insert(epoch);
        *fenced = epoch.max(*fenced);
    }
}

/// Context of handling one event.
#[derive(Debug)]
pub(crate) struct GuardContext<'a> {
    pub(crate) now: Duration,
    pub(crate) shared: &'a mut SharedState,
    pub(crate) out: &'a mut Vec<GuardCommand>,
}

impl GuardContext<'_> {
    /// Returns the instance of this node.
    pub(crate) const fn me(&self) -> InstanceId {
        self.shared.identity.instance
    }

    /// Returns the wall-clock time of this node, in milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self) -> u64 {
        millis(self.shared.identity.wall_at_start + self.now)
    }

    /// Returns the range of a key.
    pub(crate) fn range_of(&self, key: KeyId) -> RangeId {
        key.range(self.shared.settings.ranges)
    }

    /// Returns the newest known entry for the range of a key.
    pub(crate) fn entry_of(&self, key: KeyId) -> Option<RangeEntry> {
        self.shared.map.get(self.range_of(key)).cloned()
    }

    pub(crate) fn send(&mut self, to: InstanceId, message: GuardMessage) {
        if to == self.me() {
            self.shared.inbox.push_back(message);
        } else {
            self.out.push(GuardCommand::Send { to, message });
        }
    }

    /// Sends a message through a random third member, in case the direct link is cut. Sends
    /// directly if no third member is up.
    pub(crate) fn send_relayed(&mut self, to: InstanceId, message: GuardMessage) {
        let me = self.me();
        let others = self.shared.members.up_members();
        let relay = others
            .filter(|other| *other != me && *other != to)
            .choose(&mut self.shared.rng);
        let Some(relay) = relay.filter(|_| to != me) else {
            self.send(to, message);
            return;
        };
        let message = GuardMessage::Relay {
            origin: me,
            target: to,
            message: Box::new(message),
        };
        self.send(relay, message);
    }

    /// Sends a message directly on even `tries` and through a relay on odd ones.
    pub(crate) fn send_alternating(&mut self, tries: u32, to: InstanceId, message: GuardMessage) {
        if tries % 2 == 1 {
            self.send_relayed(to, message);
        } else {
            self.send(to, message);
        }
    }

    pub(crate) fn note(&mut self, note: GuardNote) {
        self.out.push(GuardCommand::Note(note));
    }

    /// Returns the time of the next send after `tries` sends. The delay doubles up to eight times
    /// `resend_after`, plus a random jitter of up to a quarter, so that two nodes do not keep
    /// sending in lockstep.
    pub(crate) fn next_resend(&mut self, tries: u32) -> Duration {
        let wait = self.shared.settings.resend_after * (1 << tries.min(MAX_RESEND_DOUBLINGS));
        let spread = self.shared.rng.random_range(0..=millis(wait) / 4);
        self.now + wait + Duration::from_millis(spread)
    }
}

/// Maximum number of times that the delay between two sends doubles.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
