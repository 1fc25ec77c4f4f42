//! Many rosters in one process and virtual time, to measure their traffic and processor time.
//!
//! No datagram is lost and no fault is injected except restarts and kills; the roster's own tests
//! cover failures. Delays are seeded, so byte counts are reproducible.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{InstanceId, NodeId};
use sycamorelink_roster::{
    DownCause, MemberFacts, MemberRumour, MemberStanding, MessagePurpose, NodeRoster,
    RosterCommand, RosterEvent, RosterMessage, RosterSettings, SlotRun, UpstreamPhase,
    encoded_size,
};

use super::node_facts::{SLOTS, address, index_of, member_facts, service_name, upstream_facts};

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Incarnation of the initial processes: a Unix time in milliseconds, so that its encoded length is
/// realistic.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// One-way network delay between any two nodes: 1.5 ms, plus or minus a third.
const DELAY_MICROS: std::ops::Range<u64> = 1_000..2_000;

/// Traffic sent by one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentCount {
    /// Bytes sent, including IP and UDP headers.
    pub bytes: usize,
    /// Number of datagrams sent.
    pub datagrams: usize,
}

/// Update whose propagation an [`UpdateWatch`] measures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchedUpdate {
    /// A version of a topic, as topic number and version.
    Topic(u8, u64),
    /// An upstream of this node is leaving.
    Leaving(NodeId),
    /// This node is down.
    Down(NodeId),
}

/// Propagation of one update to all nodes.
#[derive(Debug)]
pub struct UpdateWatch {
    /// Update that the nodes are expected to report.
    pub update: WatchedUpdate,
    since: Duration,
    seen: Vec<bool>,
    /// Time from the update until each node reported it.
    pub times: Vec<Duration>,
}

struct FleetNode {
    roster: NodeRoster,
    facts: MemberFacts,
    running: bool,
    sent: SentCount,
    timer: TickTimer,
}

/// Latest scheduled tick of a node.
#[derive(Clone, Copy, Debug, Default)]
struct TickTimer {
    at: Duration,
    number: u64,
}

enum FleetEvent {
    /// Scheduled tick of a node; only the one with the latest number takes effect.
    Tick(usize, u64),
    Deliver(usize, SocketAddr, RosterMessage),
}

/// Fleet of rosters and the datagrams in flight between them.
pub struct RosterFleet {
    now: Duration,
    nodes: Vec<FleetNode>,
    upstreams: u16,
    queue: BTreeMap<(Duration, u64), FleetEvent>,
    sequence: u64,
    rng: SmallRng,
    handle_time: Duration,
    watches: Vec<UpdateWatch>,
    indices: BTreeMap<NodeId, usize>,
    false_removals: usize,
}

impl RosterFleet {
    /// Starts a fleet in which every node already knows all members, with this many upstreams per
    /// node.
    #[must_use]
    pub fn start(count: usize, upstreams: u16, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            upstreams,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            handle_time: Duration::ZERO,
            watches: Vec::new(),
            indices: BTreeMap::new(),
            false_removals: 0,
        };
        for index in 0..count {
            let facts = member_facts(index, FIRST_INCARNATION);
            fleet.indices.insert(facts.instance.node, index);
            let node = fleet.new_node(facts);
            fleet.nodes.push(node);
        }
        let full_state = fleet.full_state();
        for index in 0..count {
            fleet.announce(index, UpstreamPhase::Ready);
            fleet.handle(index, RosterEvent::Seeds(Vec::new()));
            let event = RosterEvent::Datagram {
                from: address(0),
                message: full_state.clone(),
            };
            fleet.handle(index, event);
        }
        fleet
    }

    /// Returns the number of nodes, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the fleet has no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the virtual time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the real time spent in the rosters' event handlers since the last reset.
    #[must_use]
    pub fn handle_time(&self) -> Duration {
        self.handle_time
    }

    /// Returns the traffic sent by each node since the last reset.
    pub fn sent(&self) -> impl Iterator<Item = SentCount> {
        self.nodes.iter().map(|node| node.sent)
    }

    /// Returns the number of running nodes.
    #[must_use]
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).count()
    }

    /// Returns the number of running nodes that have not reported the watched update.
    #[must_use]
    pub fn unreported_nodes(&self, watch: &UpdateWatch) -> usize {
        let nodes = self.nodes.iter().zip(&watch.seen);
        nodes.filter(|(node, seen)| node.running && !**seen).count()
    }

    /// Returns how often any roster removed a node whose process was running.
    #[must_use]
    pub fn false_removals(&self) -> usize {
        self.false_removals
    }

    /// Resets the traffic and time counters.
    pub fn reset_counts(&mut self) {
        self.handle_time = Duration::ZERO;
        for node in &mut self.nodes {
            node.sent = SentCount::default();
        }
    }

    /// Advances the simulation by `time`.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.process_event(event);
        }
        self.now = end;
    }

    /// Publishes a version of a topic at one node and watches its propagation to all others.
    pub fn publish(&mut self, index: usize, topic: u8, version: u64) {
        self.watch(WatchedUpdate::Topic(topic, version), index);
        let event = RosterEvent::Publish {
            topic,
            key: 1,
            version,
            body: version.to_le_bytes().to_vec(),
        };
        self.handle(index, event);
    }

    /// Marks a node's first upstream as leaving and watches the propagation to all others.
    pub fn leave_upstream(&mut self, index: usize) {
        let node = self.nodes[index].facts.instance.node;
        self.watch(WatchedUpdate::Leaving(node), index);
        let facts = upstream_facts(index, UpstreamPhase::Leaving);
        self.handle(index, RosterEvent::UpstreamSet { slot: 0, facts });
    }

    /// Starts to drain a node.
    pub fn drain(&mut self, index: usize) {
        self.handle(index, RosterEvent::Leave);
    }

    /// Stops a drained node.
    pub fn depart(&mut self, index: usize) {
        self.handle(index, RosterEvent::Depart);
        self.nodes[index].running = false;
    }

    /// Kills a node and watches the propagation of its death to all others.
    pub fn kill(&mut self, index: usize) {
        let node = self.nodes[index].facts.instance.node;
        self.watch(WatchedUpdate::Down(node), index);
        self.nodes[index].running = false;
    }

    /// Restarts a node with a new incarnation and cold upstreams; it initially knows two seed
    /// addresses.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].facts.instance.incarnation.0;
        let facts = member_facts(index, incarnation + 60_000);
        let FleetNode { sent, timer, .. } = self.nodes[index];
        self.nodes[index] = self.new_node(facts);
        self.nodes[index].sent = sent;
        self.nodes[index].timer = timer;
        let seeds = (0..2)
            .map(|_| address(self.rng.random_range(0..self.nodes.len())))
            .collect();
        self.handle(index, RosterEvent::Seeds(seeds));
        self.announce(index, UpstreamPhase::Starting);
    }

    /// Marks one upstream of a node as ready.
    pub fn warm_up(&mut self, index: usize, slot: u16) {
        let facts = upstream_facts(index, UpstreamPhase::Ready);
        self.handle(index, RosterEvent::UpstreamSet { slot, facts });
    }

    /// Returns the number of upstreams per node.
    #[must_use]
    pub fn upstreams(&self) -> u16 {
        self.upstreams
    }

    /// Returns whether a node is running.
    #[must_use]
    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].running
    }

    /// Returns a random running node.
    pub fn pick_running(&mut self) -> usize {
        loop {
            let index = self.rng.random_range(0..self.nodes.len());
            if self.nodes[index].running {
                return index;
            }
        }
    }

    /// Removes and returns all watches.
    pub fn take_watches(&mut self) -> Vec<UpdateWatch> {
        std::mem::take(&mut self.watches)
    }

    /// Returns the number of running nodes whose member count differs from the number of running
    /// nodes.
    #[must_use]
    pub fn wrong_rosters(&self) -> usize {
        let running = self.running();
        self.nodes
            .iter()
            .filter(|node| node.running)
            .filter(|node| node.roster.member_count() != running)
            .count()
    }

    fn watch(&mut self, update: WatchedUpdate, except: usize) {
        let mut seen = vec![false; self.nodes.len()];
        seen[except] = true;
        self.watches.push(UpdateWatch {
            update,
            since: self.now,
            seen,
            times: Vec::new(),
        });
    }

    fn new_node(&mut self, facts: MemberFacts) -> FleetNode {
        let seed = self.rng.random();
        FleetNode {
            roster: NodeRoster::new(RosterSettings::default(), facts.clone(), seed),
            facts,
            running: true,
            sent: SentCount::default(),
            timer: TickTimer::default(),
        }
    }

    fn announce(&mut self, index: usize, phase: UpstreamPhase) {
        for slot in 0..self.upstreams {
            let facts = upstream_facts(index, phase);
            self.handle(index, RosterEvent::UpstreamSet { slot, facts });
        }
    }

    /// Returns the state of all members as one message, which is larger than any datagram.
    fn full_state(&self) -> RosterMessage {
        let mut rumours = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            rumours.push(MemberRumour::Member {
                facts: node.facts.clone(),
                revision: 0,
                standing: MemberStanding::Alive,
            });
            rumours.push(MemberRumour::Upstreams {
                instance: node.facts.instance,
                service: Some(service_name(index)),
                runs: vec![SlotRun {
                    first: 0,
                    count: self.upstreams,
                    slots: SLOTS,
                    phase: UpstreamPhase::Ready,
                    sequence: 1,
                }],
            });
        }
        RosterMessage {
            from: self.nodes[0].facts.instance,
            root: 0,
            purpose: MessagePurpose::State,
            rumours,
        }
    }

    fn handle(&mut self, index: usize, event: RosterEvent) {
        let mut commands = Vec::new();
        let started = Instant::now();
        let roster = &mut self.nodes[index].roster;
        roster.handle(self.now, event, &mut commands);
        self.handle_time += started.elapsed();
        for command in commands {
            match command {
                RosterCommand::Send { to, message } => self.send(index, to, message),
                other => self.record_watched_update(index, &other),
            }
        }
        self.schedule_tick(index);
    }

    fn record_watched_update(&mut self, index: usize, command: &RosterCommand) {
        let update = match command {
            RosterCommand::Rumour { topic, version, .. } => WatchedUpdate::Topic(*topic, *version),
            RosterCommand::UpstreamChanged { id, facts }
                if facts.phase == UpstreamPhase::Leaving =>
            {
                WatchedUpdate::Leaving(id.node)
            }
            RosterCommand::MemberDown { instance, cause } => {
                self.count_false_removal(*instance, *cause);
                WatchedUpdate::Down(instance.node)
            }
            _ => return,
        };
        for watch in &mut self.watches {
            if watch.update == update && !watch.seen[index] {
                watch.seen[index] = true;
                watch.times.push(self.now.saturating_sub(watch.since));
            }
        }
    }

    fn count_false_removal(&mut self, instance: InstanceId, cause: DownCause) {
        let Some(index) = self.indices.get(&instance.node) else {
            return;
        };
        let node = &self.nodes[*index];
        let was_running = node.running && node.facts.instance == instance;
        if was_running && cause == DownCause::Dead {
            self.false_removals += 1;
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: RosterMessage) {
        let sent = &mut self.nodes[index].sent;
        sent.bytes += encoded_size(&message) + HEADER_BYTES;
        sent.datagrams += 1;
        let Some(target) = index_of(to).filter(|target| *target < self.nodes.len()) else {
            return;
        };
        let delay = Duration::from_micros(self.rng.random_range(DELAY_MICROS));
        let event = FleetEvent::Deliver(target, address(index), message);
        self.schedule(self.now + delay, event);
    }

    fn process_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Tick(index, number) => {
                let node = &self.nodes[index];
                if node.running && node.timer.number == number {
                    self.handle(index, RosterEvent::Tick);
                }
            }
            FleetEvent::Deliver(index, from, message) => {
                if self.nodes[index].running {
                    self.handle(index, RosterEvent::Datagram { from, message });
                }
            }
        }
    }

    /// Schedules the node's next tick unless an earlier one is already scheduled.
    fn schedule_tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let earliest = self.now + Duration::from_millis(1);
        let at = node.roster.next_wake().max(earliest);
        let is_scheduled = node.timer.at > self.now;
        if is_scheduled && node.timer.at <= at {
            return;
        }
        node.timer.at = at;
        node.timer.number += 1;
        let number = node.timer.number;
        self.schedule(at, FleetEvent::Tick(index, number));
    }

    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }
}
