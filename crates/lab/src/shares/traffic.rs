//! Message cost of leases for a node that serves many small customers in a large fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use sycamorelink_core::{CustomerName, InstanceId};
use sycamorelink_limits::{
    Admission, CustomerIndex, CustomerLimit, ShareCommand, ShareEvent, ShareMember, ShareMessage,
    ShareNode, ShareSettings,
};

use super::lease_limiter::members;
use super::size::message_size;
use super::trial::{percent, ratio};

/// Number of nodes with callers (lease holders); the other nodes only act as keepers.
const HOLDERS: usize = 4;
/// Number of customers of each holder, about one per connection.
const CUSTOMERS: usize = 390;
/// Requests per second at each holder.
const RATE: u32 = 391;
/// Rate of each contract, in thousandths of a request per second.
const CONTRACT_MILLIS: u32 = 50_000;
/// Concurrency of each contract.
const CONCURRENCY: u32 = 20;
/// Step of the clock.
const STEP: Duration = Duration::from_millis(10);
/// Time from which messages are counted.
const COUNT_FROM: Duration = Duration::from_secs(30);
/// End of the run.
const RUN_END: Duration = Duration::from_secs(150);

/// Message cost of leases at one node.
#[derive(Clone, Debug, Serialize)]
pub struct TrafficRow {
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Number of customers of the node.
    pub customers: usize,
    /// Requests per second at the node.
    pub rate: u32,
    /// Messages sent and received per second as a holder.
    pub messages_per_second: f64,
    /// Bytes of lease requests sent per second. On average every node receives the same amount as a
    /// keeper.
    pub asks_per_second: f64,
    /// Bytes of grants received per second.
    pub grants_per_second: f64,
    /// Requests that waited, in percent.
    pub waited_percent: f64,
    /// Requests refused, in percent.
    pub refused_percent: f64,
}

#[derive(Default)]
struct TrafficCount {
    messages: u64,
    asks: u64,
    grants: u64,
    offered: u64,
    waited: u64,
    refused: u64,
}

struct TrafficSimulation {
    now: Duration,
    nodes: Vec<ShareNode>,
    indices: BTreeMap<InstanceId, usize>,
    members: Vec<ShareMember>,
    queue: Vec<(usize, InstanceId, ShareMessage)>,
    waiting: Vec<(usize, CustomerIndex, Duration)>,
    count: TrafficCount,
}

impl TrafficSimulation {
    fn new(count: usize) -> Self {
        let members = members(count);
        let all: Arc<[ShareMember]> = members.iter().cloned().collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            indices: BTreeMap::new(),
            members,
            queue: Vec::new(),
            waiting: Vec::new(),
            count: TrafficCount::default(),
        };
        for number in 0..count {
            let own = simulation.members[number].instance;
            let mut node = ShareNode::new(own, ShareSettings::default());
            for customer in 0..HOLDERS * CUSTOMERS {
                let event = contract_event(customer);
                node.handle(Duration::ZERO, event, &mut Vec::new());
            }
            let event = ShareEvent::Roster {
                version: 1,
                members: Arc::clone(&all),
                settled: 1,
            };
            node.handle(Duration::ZERO, event, &mut Vec::new());
            simulation.nodes.push(node);
            simulation.indices.insert(own, number);
        }
        simulation
    }

    fn execute_commands(&mut self, from: usize, out: Vec<ShareCommand>) {
        let counts = self.now >= COUNT_FROM;
        for command in out {
            let ShareCommand::Send { to, message } = command else {
                continue;
            };
            if counts {
                self.count.messages += 1;
                let size = message_size(&message);
                match message {
                    ShareMessage::Ask { .. } => self.count.asks += size,
                    ShareMessage::Grant { .. } => self.count.grants += size,
                }
            }
            let from = self.members[from].instance;
            self.queue.push((self.indices[&to], from, message));
        }
    }

    fn offer(&mut self, holder: usize, index: CustomerIndex) {
        self.count.offered += 1;
        match self.nodes[holder].admit(self.now, index) {
            Admission::Admitted => self.nodes[holder].finished(self.now, index),
            Admission::Refused { .. } => self.count.refused += 1,
            Admission::Wait { until } => {
                self.count.waited += 1;
                self.waiting.push((holder, index, until));
            }
        }
    }

    fn retry_waiting(&mut self) {
        for (holder, index, until) in std::mem::take(&mut self.waiting) {
            let admission = self.nodes[holder].admit_again(self.now, index);
            if admission == Admission::Admitted {
                self.nodes[holder].finished(self.now, index);
            } else if self.now >= until {
                self.count.refused += 1;
            } else {
                self.waiting.push((holder, index, until));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for (target, from, message) in std::mem::take(&mut self.queue) {
            let mut out = Vec::new();
            let event = ShareEvent::Received { from, message };
            self.nodes[target].handle(self.now, event, &mut out);
            self.execute_commands(target, out);
        }
        self.retry_waiting();
        for holder in 0..HOLDERS {
            let mut out = Vec::new();
            self.nodes[holder].tick(self.now, &mut out);
            self.execute_commands(holder, out);
        }
    }
}

fn contract_event(customer: usize) -> ShareEvent {
    ShareEvent::Contract {
        index: CustomerIndex(u32::try_from(customer).unwrap_or(0)),
        limit: CustomerLimit {
            customer: CustomerName::new(&format!("account-{customer}")),
            rate_millis: CONTRACT_MILLIS,
            concurrency: CONCURRENCY,
        },
    }
}

/// Runs the simulation in a fleet of `count` nodes.
pub fn traffic_row(count: usize, seed: u64) -> TrafficRow {
    let mut simulation = TrafficSimulation::new(count);
    let mut rng = SmallRng::seed_from_u64(seed);
    let per_step = f64::from(RATE) * STEP.as_secs_f64();
    while simulation.now < RUN_END {
        simulation.step();
        for holder in 0..HOLDERS {
            let mut left = per_step;
            while left > 0.0 && rng.random_bool(left.min(1.0)) {
                left -= 1.0;
                let customer = holder * CUSTOMERS + rng.random_range(0..CUSTOMERS);
                let index = CustomerIndex(u32::try_from(customer).unwrap_or(0));
                simulation.offer(holder, index);
            }
        }
    }
    let seconds = RUN_END.saturating_sub(COUNT_FROM).as_secs() * HOLDERS as u64;
    let counts = &simulation.count;
    TrafficRow {
        nodes: count,
        customers: CUSTOMERS,
        rate: RATE,
        messages_per_second: ratio(counts.messages, seconds),
        asks_per_second: ratio(counts.asks, seconds),
        grants_per_second: ratio(counts.grants, seconds),
        waited_percent: percent(counts.waited, counts.offered),
        refused_percent: percent(counts.refused, counts.offered),
    }
}
