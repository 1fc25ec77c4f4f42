//! Simulated datagram network in virtual time: seeded loss and delay, one-way cuts, pauses, kills.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{DomainName, InstanceId, NodeId, NodeIncarnation, ServiceName};
use sycamorelink_roster::{
    DownCause, MemberFacts, NodeRoster, RosterCommand, RosterEvent, RosterMessage, RosterNote,
    RosterSettings, UpstreamFacts, UpstreamPhase, encoded_size,
};

/// Bytes of the IP and UDP headers of each datagram.
const HEADER_BYTES: usize = 28;

/// Datagrams that the socket of a paused node buffers.
const SOCKET_BUFFER: usize = 64;

pub fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whether datagrams from one node (first index) to another (second index) are lost.
pub type CutRule = Box<dyn Fn(usize, usize) -> bool>;

pub struct FakeNode {
    pub roster: NodeRoster,
    pub facts: MemberFacts,
    pub log: Vec<(Duration, RosterCommand)>,
    running: bool,
    paused: bool,
    buffer: Vec<(SocketAddr, RosterMessage)>,
    /// Level of a leaky bucket that drains at the budget's rate, an independent check of the
    /// budget.
    bucket_level: f64,
    drained_at: Duration,
    pub peak_bytes: f64,
    pub largest_datagram: usize,
    wake_at: Duration,
    wake_sequence: u64,
}

enum NetworkEvent {
    /// Wakes a node; ignored unless the number is the node's latest.
    Wake(usize, u64),
    Deliver(SocketAddr, SocketAddr, RosterMessage),
}

pub struct FakeNetwork {
    pub now: Duration,
    pub nodes: Vec<FakeNode>,
    pub settings: RosterSettings,
    pub loss: f64,
    cut: Option<CutRule>,
    queue: BTreeMap<(Duration, u64), NetworkEvent>,
    order: u64,
    rng: SmallRng,
}

pub fn address(index: usize) -> SocketAddr {
    let low = u8::try_from(index % 250 + 1).expect("fits");
    SocketAddr::from((
        [10, 0, u8::try_from(index / 250).expect("fits"), low],
        7_000,
    ))
}

/// Returns the facts of a node; every third node is in the same failure domain.
pub fn facts(index: usize, incarnation: u64) -> MemberFacts {
    let name = format!("i-{index:02}");
    MemberFacts {
        instance: InstanceId {
            node: NodeId::of(&name),
            incarnation: NodeIncarnation(incarnation),
        },
        name: name.into(),
        domain: DomainName::new(&format!("zone-{}", index % 3)),
        region: "region".into(),
        peer_address: address(index),
        gossip_address: address(index),
    }
}

pub fn upstream(phase: UpstreamPhase) -> UpstreamFacts {
    UpstreamFacts {
        service: ServiceName::new("orders"),
        slots: 5,
        phase,
    }
}

pub fn is_suspicion(command: &RosterCommand) -> bool {
    matches!(command, RosterCommand::Note(RosterNote::Suspected { .. }))
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            settings: RosterSettings::default(),
            loss: 0.0,
            cut: None,
            queue: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Starts nodes with one upstream each and the first two as seeds, and waits until they
    /// converge.
    pub fn settled(seed: u64, count: usize) -> Self {
        let mut network = Self::new(seed);
        for index in 0..count {
            network.start(index, 1_000, &[0, 1]);
        }
        network.run_for(secs(20));
        let expected = count;
        for node in &network.nodes {
            assert_eq!(
                node.roster.members().len(),
                expected,
                "fleet did not settle"
            );
        }
        network.clear_logs();
        network
    }

    pub fn clear_logs(&mut self) {
        for node in &mut self.nodes {
            node.log.clear();
        }
    }

    /// Starts a node and replaces any earlier incarnation of it.
    pub fn start(&mut self, index: usize, incarnation: u64, seeds: &[usize]) {
        self.start_as(index, facts(index, incarnation), seeds);
    }

    pub fn start_as(&mut self, index: usize, facts: MemberFacts, seeds: &[usize]) {
        let seed = self.rng.random();
        let roster = NodeRoster::new(self.settings.clone(), facts.clone(), seed);
        let node = FakeNode {
            roster,
            facts,
            log: Vec::new(),
            running: true,
            paused: false,
            buffer: Vec::new(),
            bucket_level: 0.0,
            drained_at: self.now,
            peak_bytes: 0.0,
            largest_datagram: 0,
            wake_at: Duration::ZERO,
            wake_sequence: self.order,
        };
        if index < self.nodes.len() {
            self.nodes[index] = node;
        } else {
            assert_eq!(index, self.nodes.len(), "nodes start in order");
            self.nodes.push(node);
        }
        let seeds = seeds.iter().map(|seed| address(*seed)).collect();
        self.event(index, RosterEvent::Seeds(seeds));
        let facts = upstream(UpstreamPhase::Ready);
        self.event(index, RosterEvent::UpstreamSet { slot: 0, facts });
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    /// Resumes a paused node: first it receives the buffered datagrams, then its timers fire.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, message) in std::mem::take(&mut self.nodes[index].buffer) {
            self.event(index, RosterEvent::Datagram { from, message });
        }
        self.event(index, RosterEvent::Tick);
    }

    pub fn cut<F>(&mut self, rule: F)
    where
        F: Fn(usize, usize) -> bool + 'static,
    {
        self.cut = Some(Box::new(rule));
    }

    pub fn heal(&mut self) {
        self.cut = None;
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.process(event);
        }
        self.now = end;
    }

    /// Runs until the condition holds and returns how long that took; panics after `limit`.
    pub fn run_until<F>(&mut self, limit: Duration, mut condition: F) -> Duration
    where
        F: FnMut(&Self) -> bool,
    {
        let start = self.now;
        while !condition(self) {
            let waited = self.now.saturating_sub(start);
            assert!(waited < limit, "condition did not hold within {limit:?}");
            self.run_for(millis(50));
        }
        self.now.saturating_sub(start)
    }

    pub fn event(&mut self, index: usize, event: RosterEvent) {
        let mut commands = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.roster.handle(now, event, &mut commands);
        for command in commands {
            match command {
                RosterCommand::Send { to, message } => self.send(index, to, message),
                other => self.nodes[index].log.push((now, other)),
            }
        }
        self.set_timer(index);
    }

    fn process(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Wake(index, number) => {
                if self.is_active(index) && self.nodes[index].wake_sequence == number {
                    self.event(index, RosterEvent::Tick);
                }
            }
            NetworkEvent::Deliver(from, to, message) => self.deliver(from, to, message),
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: RosterMessage) {
        let index = self
            .nodes
            .iter()
            .position(|node| node.running && node.facts.gossip_address == to);
        let Some(index) = index else {
            return;
        };
        let node = &mut self.nodes[index];
        if node.paused {
            if node.buffer.len() < SOCKET_BUFFER {
                node.buffer.push((from, message));
            }
            return;
        }
        self.event(index, RosterEvent::Datagram { from, message });
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: RosterMessage) {
        self.record_sent_bytes(index, &message);
        let from = self.nodes[index].facts.gossip_address;
        let target = (0..self.nodes.len()).find(|other| address(*other) == to);
        let cut = match (&self.cut, target) {
            (Some(rule), Some(target)) => rule(index, target),
            _ => false,
        };
        if cut || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(800..2_500));
        self.schedule(self.now + delay, NetworkEvent::Deliver(from, to, message));
    }

    fn record_sent_bytes(&mut self, index: usize, message: &RosterMessage) {
        let rate = f64::from(self.settings.bytes_per_second);
        let bytes = encoded_size(message);
        let node = &mut self.nodes[index];
        let drained = self.now.saturating_sub(node.drained_at).as_secs_f64() * rate;
        let total = u32::try_from(bytes + HEADER_BYTES).expect("fits");
        node.bucket_level = (node.bucket_level - drained).max(0.0) + f64::from(total);
        node.drained_at = self.now;
        node.peak_bytes = node.peak_bytes.max(node.bucket_level);
        node.largest_datagram = node.largest_datagram.max(bytes);
    }

    /// Sets the node's timer if the next wake is earlier than the timer's time.
    fn set_timer(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let wake = node.roster.next_wake().max(self.now + millis(1));
        if node.wake_at > self.now && node.wake_at <= wake {
            return;
        }
        node.wake_at = wake;
        node.wake_sequence += 1;
        let number = node.wake_sequence;
        self.schedule(wake, NetworkEvent::Wake(index, number));
    }

    fn schedule(&mut self, at: Duration, event: NetworkEvent) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    pub fn is_active(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.running && !node.paused
    }

    /// Returns the nodes that run and are not paused.
    pub fn active_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.is_active(*index))
            .collect()
    }

    pub fn id(&self, index: usize) -> NodeId {
        self.nodes[index].facts.instance.node
    }

    /// Returns every removal reported by an active node, as (observer, removed node, cause).
    pub fn removals(&self) -> Vec<(usize, usize, DownCause)> {
        let mut removals = Vec::new();
        for observer in self.active_nodes() {
            for (_, command) in &self.nodes[observer].log {
                if let RosterCommand::MemberDown { instance, cause } = command {
                    let removed =
                        (0..self.nodes.len()).find(|index| self.id(*index) == instance.node);
                    removals.push((observer, removed.expect("known"), *cause));
                }
            }
        }
        removals
    }

    /// Returns the number of suspicions reported by all nodes.
    pub fn suspicions(&self) -> usize {
        let commands = self.nodes.iter().flat_map(|node| &node.log);
        commands
            .filter(|(_, command)| is_suspicion(command))
            .count()
    }

    /// Whether the members known to each active node are exactly the active nodes.
    pub fn has_converged(&self) -> bool {
        let active = self.active_nodes();
        let mut expected: Vec<InstanceId> = active
            .iter()
            .map(|index| self.nodes[*index].roster.own_instance())
            .collect();
        expected.sort();
        active.iter().all(|index| {
            let members = self.nodes[*index].roster.members();
            members
                .iter()
                .map(|member| member.facts.instance)
                .eq(expected.iter().copied())
        })
    }

    /// Whether every other active node sees this phase for the target's upstream; `None` for no
    /// upstream.
    pub fn all_see(&self, target: usize, phase: Option<UpstreamPhase>) -> bool {
        let id = self.id(target);
        self.active_nodes()
            .iter()
            .filter(|index| **index != target)
            .all(|index| {
                let upstreams = self.nodes[*index].roster.upstreams("orders");
                let seen = upstreams.iter().find(|(upstream, _)| upstream.node == id);
                seen.map(|(_, facts)| facts.phase) == phase
            })
    }
}
