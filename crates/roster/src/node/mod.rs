//! The roster of one node: takes events, decides, gives commands.
//!
//! ```text
//! event -> stall check -> receive / own -> merge -> queue -> gossip -> Send
//!                                      \-> probing, sync, join   -> Send
//! ```

mod contact;
mod gossip;
mod heads;
mod merge;
mod own;
mod probing;
mod receive;

mod suspect;
mod sync;
mod transition;
mod whole;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sycamorelink_core::{InstanceId, NodeId, UpstreamId};

use crate::budget::ByteBudget;
use crate::event::{RosterCommand, RosterEvent, RosterNote};
use crate::facts::{MemberFacts, MemberStanding, MemberView, UpstreamFacts};
use crate::health::LocalHealth;
use crate::probe::ProbeTable;
use crate::queue::RumourQueue;
use crate::settings::RosterSettings;
use crate::suspicion::SuspicionTable;
use crate::table::{MemberEntry, MemberTable};
use crate::topics::TopicStore;

/// A quarter of a second at most passes between two wakes, so that a pause is noticed.
const WAKE_MAX: Duration = Duration::from_millis(250);

/// Time between two rounds of forgetting what is old.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Membership as one node knows it.
#[derive(Debug)]
pub struct NodeRoster {
    settings: RosterSettings,
    own: NodeId,
    table: MemberTable,
    queue: RumourQueue,
    topics: TopicStore,
    probes: ProbeTable,
    suspects: SuspicionTable,
    health: LocalHealth,
    budget: ByteBudget,
    rng: SmallRng,
    /// Present members but this node, in probing order.
    order: Vec<NodeId>,
    cursor: usize,
    /// Members to probe out of turn.
    urgent: VecDeque<NodeId>,
    seeds: Vec<SocketAddr>,
    joined: bool,
    join_started: Option<Duration>,
    superseded: bool,
    /// Whether the next round tells as many peers as the budget allows.
    broadcast: bool,
    sequence: own::ChangeSequence,
    pulled_at: BTreeMap<NodeId, Duration>,
    /// Members to offer to a peer unless the hashes agree by then.
    offers: VecDeque<sync::StateOffer>,
    timers: NodeTimers,
}

/// When each duty is due.
#[derive(Debug, Default)]
struct NodeTimers {
    handled_at: Option<Duration>,
    probe: Duration,
    gossip: Duration,
    gossiped_at: Duration,
    sync: Duration,
    join: Duration,
    dead_probe: Duration,
    forget: Duration,
}

/// One call: the time, and where the commands go.
struct RosterStep<'a> {
    now: Duration,
    commands: &'a mut Vec<RosterCommand>,
}

impl RosterStep<'_> {
    fn command(&mut self, command: RosterCommand) {
        self.commands.push(command);
    }

    fn note(&mut self, note: RosterNote) {
        self.commands.push(RosterCommand::Note(note));
    }
}

impl NodeRoster {
    /// Starts with this node as the only member. Names in `own` are at most 64 bytes long, so
    /// that the facts of one member always fit a datagram.
    #[must_use]
    pub fn new(settings: RosterSettings, own: MemberFacts, seed: u64) -> Self {
        let node = own.instance.node;
        let budget = ByteBudget::new(&settings);
        let mut table = MemberTable::new();
        table.insert(Duration::ZERO, own, 0, MemberStanding::Alive);
        Self {
            settings,
            own: node,
            table,
            queue: RumourQueue::default(),
            topics: TopicStore::default(),
            probes: ProbeTable::default(),
            suspects: SuspicionTable::default(),
            health: LocalHealth::default(),
            budget,
            rng: SmallRng::seed_from_u64(seed),
            order: Vec::new(),
            cursor: 0,
            urgent: VecDeque::new(),
            seeds: Vec::new(),
            joined: false,
            join_started: None,
            superseded: false,
            broadcast: false,
            sequence: own::ChangeSequence::default(),
            pulled_at: BTreeMap::new(),
            offers: VecDeque::new(),
            timers: NodeTimers::default(),
        }
    }

    /// Takes one event and adds what follows from it to `commands`.
    pub fn handle(&mut self, now: Duration, event: RosterEvent, commands: &mut Vec<RosterCommand>) {
        let mut step = RosterStep { now, commands };
        self.budget.refill(now);
        self.notice_stall(&mut step);
        self.take_event(&mut step, event);
        if !self.has_departed() {
            self.run_due(&mut step);
        }
    }

    /// When the next [`RosterEvent::Tick`] is due. Any event may bring it forward.
    #[must_use]
    pub fn next_wake(&self) -> Duration {
        let timers = &self.timers;
        let handled = timers.handled_at.unwrap_or_default();
        let gossip = (!self.queue.is_empty()).then_some(timers.gossip);
        let due = [Some(handled + WAKE_MAX), Some(timers.probe), gossip];
        due.into_iter()
            .chain([self.probes.next_deadline()])
            .flatten()
            .min()
            .unwrap_or_default()
    }

    /// This node's own instance; its incarnation may have been raised.
    #[must_use]
    pub fn own_instance(&self) -> InstanceId {
        let node = self.own;
        self.table.get(node).map_or(
            InstanceId {
                node,
                incarnation: sycamorelink_core::NodeIncarnation::default(),
            },
            MemberEntry::instance,
        )
    }

    /// Present members, this node included, in the order of their ids.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        self.table
            .iter()
            .filter(|entry| entry.is_present())
            .map(MemberEntry::view)
            .collect()
    }

    /// How many members are present.
    #[must_use]
    pub fn member_count(&self) -> usize {
        let present = self.table.iter().filter(|entry| entry.is_present());
        present.count()
    }

    /// One member, present or remembered as gone.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<MemberView> {
        self.table.get(node).map(MemberEntry::view)
    }

    /// Upstreams of a service on present members, in the order of their ids.
    #[must_use]
    pub fn upstreams(&self, service: &str) -> Vec<(UpstreamId, UpstreamFacts)> {
        self.table.upstreams(service)
    }

    /// Whether this life of the node is the newest known and is present.
    #[must_use]
    pub fn is_current(&self, instance: InstanceId) -> bool {
        self.table
            .get(instance.node)
            .is_some_and(|entry| entry.is_present() && entry.instance() == instance)
    }

    /// Whether a whole roster was pulled from peers, or there were no seeds to ask.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.joined
    }

    /// Whether probes in a row found nobody: this node rather suspects its own network.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.health.is_silent()
    }

    /// Hash over everything held; equal on nodes that hold the same.
    #[must_use]
    pub const fn root(&self) -> u32 {
        self.table.digest().root() ^ self.topics.digest()
    }

    /// The root as others are told it: zero while joining.
    pub(crate) const fn told_root(&self) -> u32 {
        if self.joined { self.root() } else { 0 }
    }

    /// Failure: this process did not run for a while. Symptom: every answer of that time seems
    /// missing, and peers that answered seem dead. Moving the timers by the gap and dropping the
    /// probes under way is enough, because nothing is decided without a fresh probe.
    fn notice_stall(&mut self, step: &mut RosterStep<'_>) {
        let before = self.timers.handled_at.replace(step.now);
        let gap = step.now.saturating_sub(before.unwrap_or(step.now));
        if gap < self.settings.stall_threshold {
            return;
        }
        self.probes.clear();
        self.suspects.shift(gap);
        self.health.stalled();
        step.note(RosterNote::Stalled { gap });
    }

    fn take_event(&mut self, step: &mut RosterStep<'_>, event: RosterEvent) {
        match event {
            RosterEvent::Tick => {}
            RosterEvent::Seeds(seeds) => self.set_seeds(step, seeds),
            RosterEvent::Datagram { from, message } => self.receive(step, from, message),
            RosterEvent::UpstreamSet { slot, facts } => self.set_upstream(step, slot, &facts),
            RosterEvent::UpstreamGone { slot } => self.drop_upstream(step, slot),
            RosterEvent::Leave => self.leave(step),
            RosterEvent::Depart => self.depart(step),
            RosterEvent::Unreachable { node } => self.report_unreachable(step, node),
            RosterEvent::Reached { node } => self.report_reached(step, node),
            RosterEvent::Publish {
                topic,
                key,
                version,
                body,
            } => self.publish(step, topic, key, version, body),
        }
    }

    fn run_due(&mut self, step: &mut RosterStep<'_>) {
        self.finish_probes(step);
        self.expire_suspicions(step);
        self.probe_next(step);
        self.gossip_round(step);
        self.send_offers(step);
        self.contact_seeds(step);
        self.sync_while_joining(step);
        self.probe_dead(step);
        self.forget_old(step);
    }

    fn forget_old(&mut self, step: &mut RosterStep<'_>) {
        if step.now < self.timers.forget {
            return;
        }
        self.timers.forget = step.now + FORGET_INTERVAL;
        self.topics.forget(step.now);
        let limit = self.settings.forget_after;
        let old: Vec<NodeId> = self
            .table
            .iter()
            .filter(|entry| !entry.is_present())
            .filter(|entry| step.now.saturating_sub(entry.changed_at) > limit)
            .map(|entry| entry.instance().node)
            .collect();
        for node in old {
            self.table.remove(node);
        }
    }
}
