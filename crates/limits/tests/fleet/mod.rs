//! Share nodes connected by a message queue. The tests control delays, losses and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{CustomerName, DomainName, InstanceId, NodeId, NodeIncarnation};
use sycamorelink_limits::{
    Admission, CustomerIndex, CustomerLimit, ShareCommand, ShareEvent, ShareMember, ShareMessage,
    ShareNode, ShareSettings,
};

/// The only customer of the fleet.
pub const CUSTOMER: CustomerIndex = CustomerIndex(0);
/// Duration of one simulation step.
pub const STEP: Duration = Duration::from_millis(20);
/// Default one-way latency of a message.
const DELAY: Duration = Duration::from_millis(2);
/// Speed of a clock without drift, in thousandths.
pub const NORMAL_SPEED: u32 = 1000;

/// One incarnation of one node.
pub struct FleetNode {
    /// Node under test.
    pub share: ShareNode,
    /// Roster entry of the node.
    pub member: ShareMember,
    /// Whether the node is paused. A paused node neither receives nor sends; its clock continues.
    pub paused: bool,
    /// Whether the newest roster lists the node. A node that is not listed may still run,
    /// partitioned.
    pub is_listed: bool,
    /// Whether the node reads the log.
    pub reads_log: bool,
    /// Speed of the node's clock in thousandths.
    pub speed: u32,
    started: Duration,
    inbox: Vec<(InstanceId, ShareMessage)>,
}

/// Simulated fleet.
pub struct ShareFleet {
    /// Simulated time, without drift.
    pub now: Duration,
    /// Every incarnation of every node.
    pub nodes: Vec<FleetNode>,
    /// Newest version of the roster.
    pub version: u64,
    /// Partitioned links, as pairs of sender and receiver.
    pub partitioned_links: BTreeSet<(usize, usize)>,
    /// One-way latency of a message.
    pub delay: Duration,
    /// Limits of the contract.
    pub limit: CustomerLimit,
    /// Settings of every node.
    pub settings: ShareSettings,
    adopted: BTreeMap<InstanceId, u64>,
    queue: Vec<(Duration, usize, InstanceId, ShareMessage)>,
}

impl ShareFleet {
    /// Creates a fleet without nodes.
    pub fn empty(settings: ShareSettings, rate_millis: u32, concurrency: u32) -> Self {
        Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            version: 0,
            partitioned_links: BTreeSet::new(),
            delay: DELAY,
            limit: CustomerLimit {
                customer: CustomerName::new("brannock"),
                rate_millis,
                concurrency,
            },
            settings,
            adopted: BTreeMap::new(),
            queue: Vec::new(),
        }
    }

    /// Starts an incarnation of a node and adds it to the newest roster.
    pub fn join(&mut self, instance: usize, incarnation: u64, domain: usize, speed: u32) {
        let own = InstanceId {
            node: NodeId::of(&format!("instance-{instance}")),
            incarnation: NodeIncarnation(incarnation),
        };
        let mut share = ShareNode::new(own, self.settings.clone());
        let event = ShareEvent::Contract {
            index: CUSTOMER,
            limit: self.limit.clone(),
        };
        share.handle(Duration::ZERO, event, &mut Vec::new());
        self.nodes.push(FleetNode {
            share,
            member: ShareMember {
                instance: own,
                domain: DomainName::new(&format!("zone-{domain}")),
            },
            paused: false,
            is_listed: true,
            reads_log: true,
            speed,
            started: self.now,
            inbox: Vec::new(),
        });
        self.version += 1;
    }

    /// Stops a node permanently and removes it from the roster.
    pub fn stop(&mut self, number: usize) {
        self.nodes[number].paused = true;
        self.nodes[number].share =
            ShareNode::new(self.nodes[number].member.instance, self.settings.clone());
        self.remove_from_roster(number);
    }

    /// Removes a node from the roster without stopping it.
    pub fn remove_from_roster(&mut self, number: usize) {
        self.nodes[number].is_listed = false;
        self.version += 1;
    }

    fn members(&self) -> Arc<[ShareMember]> {
        self.nodes
            .iter()
            .filter(|node| node.is_listed)
            .map(|node| node.member.clone())
            .collect()
    }

    fn settled(&self) -> u64 {
        self.nodes
            .iter()
            .filter(|node| node.is_listed)
            .map(|node| self.adopted.get(&node.member.instance).copied())
            .map(Option::unwrap_or_default)
            .min()
            .unwrap_or(0)
    }

    /// Makes one node adopt the newest roster and the version that all nodes have adopted.
    pub fn adopt(&mut self, number: usize) {
        let own = self.nodes[number].member.instance;
        self.adopted.insert(own, self.version);
        let event = ShareEvent::Roster {
            version: self.version,
            members: self.members(),
            settled: self.settled(),
        };
        self.deliver(number, event);
    }

    /// Makes every node adopt the newest roster and learn that all others have adopted it.
    pub fn settle(&mut self) {
        for _ in 0..2 {
            for number in 0..self.nodes.len() {
                self.adopt(number);
            }
        }
    }

    /// Returns the time on the clock of a node.
    pub fn clock(&self, number: usize) -> Duration {
        let node = &self.nodes[number];
        self.now.saturating_sub(node.started) * node.speed / NORMAL_SPEED
    }

    /// Passes an event to a node and sends the resulting messages.
    pub fn deliver(&mut self, number: usize, event: ShareEvent) {
        let mut out = Vec::new();
        let now = self.clock(number);
        self.nodes[number].share.handle(now, event, &mut out);
        self.send_messages(number, out);
    }

    fn send_messages(&mut self, number: usize, out: Vec<ShareCommand>) {
        let from = self.nodes[number].member.instance;
        for command in out {
            let ShareCommand::Send { to, message } = command else {
                continue;
            };
            let mut nodes = self.nodes.iter();
            let target = nodes.position(|node| node.member.instance == to);
            let target =
                target.filter(|target| !self.partitioned_links.contains(&(number, *target)));
            if let Some(target) = target {
                self.queue
                    .push((self.now + self.delay, target, from, message));
            }
        }
    }

    /// Sends one request to a node. Returns whether the node admitted it.
    pub fn request(&mut self, number: usize) -> bool {
        let now = self.clock(number);
        let node = &mut self.nodes[number];
        !node.paused && node.share.admit(now, CUSTOMER) == Admission::Admitted
    }

    /// Ends one request at a node.
    pub fn finish(&mut self, number: usize) {
        let now = self.clock(number);
        self.nodes[number].share.finished(now, CUSTOMER);
    }

    /// Advances the time by one step and delivers due messages.
    pub fn step(&mut self) {
        self.now += STEP;
        let (due, later) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.queue = later;
        for (_, target, from, message) in due {
            self.nodes[target].inbox.push((from, message));
        }
        for number in 0..self.nodes.len() {
            if !self.nodes[number].paused {
                self.run_node(number);
            }
        }
    }

    fn run_node(&mut self, number: usize) {
        for (from, message) in std::mem::take(&mut self.nodes[number].inbox) {
            self.deliver(number, ShareEvent::Received { from, message });
        }
        if self.nodes[number].reads_log {
            let event = ShareEvent::Anchored {
                version: self.version,
                since: self.clock(number),
            };
            self.deliver(number, event);
        }
        let now = self.clock(number);
        let mut out = Vec::new();
        self.nodes[number].share.tick(now, &mut out);
        self.send_messages(number, out);
    }

    /// Returns the rate and slots in force in the whole fleet. Includes paused and removed nodes,
    /// because they use their rights as soon as they continue.
    pub fn in_force(&self) -> (u64, u32) {
        let mut sum = (0, 0);
        for (number, node) in self.nodes.iter().enumerate() {
            let now = self.clock(number);
            sum.0 += node.share.share().rate(now, CUSTOMER);
            sum.1 += node.share.share().slots(now, CUSTOMER);
        }
        sum
    }
}
