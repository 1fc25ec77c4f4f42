//! The roster of one node: takes events and returns commands.
//!
//! ```text
//! event -> stall check -> receive / local -> merge -> queue -> gossip -> Send
//!                                      \-> probing, sync, join   -> Send
//! ```

mod contact;
mod full_state;
mod gossip;
mod local;
mod merge;
mod probing;
mod receive;
mod standing;
mod suspicion;
mod sync;
mod topic_sync;

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

/// Maximum time between two wakes, so that a pause of the process is detected.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two removals of expired entries.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Membership as seen by one node.
#[derive(Debug)]
pub struct NodeRoster {
    settings: RosterSettings,
    own_node: NodeId,
    table: MemberTable,
    queue: RumourQueue,
    topics: TopicStore,
    probes: ProbeTable,
    suspicions: SuspicionTable,
    health: LocalHealth,
    budget: ByteBudget,
    rng: SmallRng,
    /// Present members except this node, in probing order.
    probe_order: Vec<NodeId>,
    probe_cursor: usize,
    /// Members to probe ahead of their turn.
    urgent_targets: VecDeque<NodeId>,
    seeds: Vec<SocketAddr>,
    joined: bool,
    join_started: Option<Duration>,
    superseded: bool,
    /// Whether the next round goes to `leave_fanout` peers instead of `fanout`.
    broadcast: bool,
    sequence: local::ChangeSequence,
    pulled_at: BTreeMap<NodeId, Duration>,
    /// Members whose state is sent to a peer unless the hashes agree by then.
    offers: VecDeque<sync::StateOffer>,
    timers: NodeTimers,
}

/// Next due time of each periodic task, and the time of the last call and round.
#[derive(Debug, Default)]
struct NodeTimers {
    handled_at: Option<Duration>,
    probe: Duration,
    gossip: Duration,
    gossiped_at: Duration,
    sync: Duration,
    join: Duration,
    dead_probe: Duration,
    prune: Duration,
}

/// Context of one call of [`NodeRoster::handle`]: the current time and the commands to append to.
struct RosterContext<'a> {
    now: Duration,
    commands: &'a mut Vec<RosterCommand>,
}

impl RosterContext<'_> {
    fn command(&mut self, command: RosterCommand) {
        self.commands.push(command);
    }

    fn note(&mut self, note: RosterNote) {
        self.commands.push(RosterCommand::Note(note));
    }
}

impl NodeRoster {
    /// Creates a roster with this node as the only member. The names in `own` must be at most 64
    /// bytes long, so that the facts of one member always fit into a datagram.
    #[must_use]
    pub fn new(settings: RosterSettings, own: MemberFacts, seed: u64) -> Self {
        let node = own.instance.node;
        let budget = ByteBudget::new(&settings);
        let mut table = MemberTable::new();
        table.insert(Duration::ZERO, own, 0, MemberStanding::Alive);
        Self {
            settings,
            own_node: node,
            table,
            queue: RumourQueue::default(),
            topics: TopicStore::default(),
            probes: ProbeTable::default(),
            suspicions: SuspicionTable::default(),
            health: LocalHealth::default(),
            budget,
            rng: SmallRng::seed_from_u64(seed),
            probe_order: Vec::new(),
            probe_cursor: 0,
            urgent_targets: VecDeque::new(),
            seeds: Vec::new(),
            joined: false,
            join_started: None,
            superseded: false,
            broadcast: false,
            sequence: local::ChangeSequence::default(),
            pulled_at: BTreeMap::new(),
            offers: VecDeque::new(),
            timers: NodeTimers::default(),
        }
    }

    /// Handles one event and appends the resulting commands to `commands`.
    pub fn handle(&mut self, now: Duration, event: RosterEvent, commands: &mut Vec<RosterCommand>) {
        let mut context = RosterContext { now, commands };
        self.budget.refill(now);
        self.detect_stall(&mut context);
        self.dispatch_event(&mut context, event);
        if !self.has_departed() {
            self.run_due_tasks(&mut context);
        }
    }

    /// Returns the time at which the next [`RosterEvent::Tick`] is due. Any event may bring it
    /// forward.
    #[must_use]
    pub fn next_wake(&self) -> Duration {
        let timers = &self.timers;
        let handled = timers.handled_at.unwrap_or_default();
        let gossip = (!self.queue.is_empty()).then_some(timers.gossip);
        let due = [
            Some(handled + MAX_WAKE_INTERVAL),
            Some(timers.probe),
            gossip,
        ];
        due.into_iter()
            .chain([self.probes.next_deadline()])
            .flatten()
            .min()
            .unwrap_or_default()
    }

    /// Returns this node's instance. Its incarnation may be greater than the one it started with;
    /// see [`RosterCommand::IncarnationRaised`].
    #[must_use]
    pub fn own_instance(&self) -> InstanceId {
        let node = self.own_node;
        self.table.get(node).map_or(
            InstanceId {
                node,
                incarnation: sycamorelink_core::NodeIncarnation::default(),
            },
            MemberEntry::instance,
        )
    }

    /// Returns the present members, including this node, in the order of their ids.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        self.table
            .iter()
            .filter(|entry| entry.is_present())
            .map(MemberEntry::view)
            .collect()
    }

    /// Returns the number of present members, including this node.
    #[must_use]
    pub fn member_count(&self) -> usize {
        let present = self.table.iter().filter(|entry| entry.is_present());
        present.count()
    }

    /// Returns one member, present or removed, or `None` after [`RosterSettings::forget_after`].
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<MemberView> {
        self.table.get(node).map(MemberEntry::view)
    }

    /// Returns the upstreams of a service on present members, in the order of their ids.
    #[must_use]
    pub fn upstreams(&self, service: &str) -> Vec<(UpstreamId, UpstreamFacts)> {
        self.table.upstreams(service)
    }

    /// Returns whether the instance is a present member with its newest known incarnation.
    #[must_use]
    pub fn is_current(&self, instance: InstanceId) -> bool {
        self.table
            .get(instance.node)
            .is_some_and(|entry| entry.is_present() && entry.instance() == instance)
    }

    /// Returns whether a complete roster was pulled from peers, or there were no seeds to contact.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns whether consecutive probes got no reply from any node, so that this node suspects
    /// its own network.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.health.is_isolated()
    }

    /// Returns the hash of everything held; nodes with equal state have equal hashes.
    #[must_use]
    pub const fn root(&self) -> u32 {
        self.table.digest().root() ^ self.topics.digest()
    }

    /// Returns the root hash sent to peers: zero while joining.
    pub(crate) const fn advertised_root(&self) -> u32 {
        if self.joined { self.root() } else { 0 }
    }

    /// Detects that this process did not run for a while. Without this check, replies missed during
    /// the pause would make healthy peers look dead. Extending the suspicion timers by the gap and
    /// dropping the running probes prevents that, because no death is declared without a new probe.
    fn detect_stall(&mut self, context: &mut RosterContext<'_>) {
        let before = self.timers.handled_at.replace(context.now);
        let gap = context.now.saturating_sub(before.unwrap_or(context.now));
        if gap < self.settings.stall_threshold {
            return;
        }
        self.probes.clear();
        self.suspicions.postpone(gap);
        self.health.stalled();
        context.note(RosterNote::Stalled { gap });
    }

    fn dispatch_event(&mut self, context: &mut RosterContext<'_>, event: RosterEvent) {
        match event {
            RosterEvent::Tick => {}
            RosterEvent::Seeds(seeds) => self.set_seeds(context, seeds),
            RosterEvent::Datagram { from, message } => self.receive(context, from, message),
            RosterEvent::UpstreamSet { slot, facts } => self.set_upstream(context, slot, &facts),
            RosterEvent::UpstreamGone { slot } => self.remove_upstream(context, slot),
            RosterEvent::Leave => self.leave(context),
            RosterEvent::Depart => self.depart(context),
            RosterEvent::Unreachable { node } => self.on_unreachable(context, node),
            RosterEvent::Reached { node } => self.on_reached(context, node),
            RosterEvent::Publish {
                topic,
                key,
                version,
                body,
            } => self.publish(context, topic, key, version, body),
        }
    }

    fn run_due_tasks(&mut self, context: &mut RosterContext<'_>) {
        self.advance_due_probes(context);
        self.resolve_suspicions(context);
        self.probe_next(context);
        self.gossip_round(context);
        self.send_offers(context);
        self.contact_seeds(context);
        self.sync_while_joining(context);
        self.probe_dead(context);
        self.prune_expired(context);
    }

    fn prune_expired(&mut self, context: &mut RosterContext<'_>) {
        if context.now < self.timers.prune {
            return;
        }
        self.timers.prune = context.now + PRUNE_INTERVAL;
        self.topics.prune(context.now);
        let limit = self.settings.forget_after;
        let expired: Vec<NodeId> = self
            .table
            .iter()
            .filter(|entry| !entry.is_present())
            .filter(|entry| context.now.saturating_sub(entry.changed_at) > limit)
            .map(|entry| entry.instance().node)
            .collect();
        for node in expired {
            self.table.remove(node);
        }
    }
}
