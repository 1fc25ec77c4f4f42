//! Lease-based limiter: many share nodes that enforce the contract of one customer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{CustomerName, DomainName, InstanceId, NodeId, NodeIncarnation, name_hash};
use sycamorelink_limits::share::{ShareRing, UNIT_COUNT};
use sycamorelink_limits::{
    Admission, CustomerIndex, CustomerLimit, ShareCommand, ShareEvent, ShareMember, ShareMessage,
    ShareNode, ShareSettings,
};

use super::limiter::{LimiterDecision, MessageCount, ShareLimiter};
use super::size::message_size;

/// Index of the only customer in the simulation.
const CUSTOMER: CustomerIndex = CustomerIndex(0);
/// Name of [`CUSTOMER`].
const CUSTOMER_NAME: &str = "harbour-mesh";
/// Number of failure domains.
pub const DOMAINS: usize = 4;
/// Time until the local rosters reflect a partition, pause or recovery.
const DETECTION_DELAY: Duration = Duration::from_secs(3);
/// Steps between two ticks of a node without urgent work.
const TICK_STEPS: usize = 10;

/// Roster from which the nodes select keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterRule {
    /// All members except those known to have stopped.
    Agreed,
    /// The members that each side sees alive, with a wait of one lease after each change.
    LocalView,
}

/// Share nodes that exchange messages with a delay of one step.
pub struct LeaseLimiter {
    rule: RosterRule,
    nodes: Vec<ShareNode>,
    members: Vec<ShareMember>,
    indices: BTreeMap<InstanceId, usize>,
    paused: Vec<bool>,
    sides: Option<Vec<bool>>,
    inbox: Vec<Vec<(InstanceId, ShareMessage)>>,
    /// Whether a request at the node has waited or been refused since the node's last tick.
    urgent: Vec<bool>,
    version: u64,
    /// Time at which the local rosters reflect the last change.
    roster_change_at: Option<Duration>,
    steps: usize,
    message_count: MessageCount,
}

/// Returns the instance with this number.
pub fn instance(number: usize) -> InstanceId {
    InstanceId {
        node: NodeId::of(&format!("instance-{number}")),
        incarnation: NodeIncarnation(1),
    }
}

/// Returns the members of a fleet that is spread evenly over the failure domains.
pub fn members(count: usize) -> Vec<ShareMember> {
    (0..count)
        .map(|number| ShareMember {
            instance: instance(number),
            domain: DomainName::new(&format!("zone-{}", number % DOMAINS)),
        })
        .collect()
}

impl LeaseLimiter {
    /// Creates a fleet in which every node already knows all members.
    pub fn new(rule: RosterRule, count: usize, rate_millis: u32, concurrency: u32) -> Self {
        let mut settings = ShareSettings::default();
        if rule == RosterRule::LocalView {
            settings.long_lease = settings.lease;
        }
        let members = members(count);
        let limit = CustomerLimit {
            customer: CustomerName::new(CUSTOMER_NAME),
            rate_millis,
            concurrency,
        };
        let mut limiter = Self {
            rule,
            nodes: Vec::new(),
            indices: BTreeMap::new(),
            paused: vec![false; count],
            sides: None,
            inbox: vec![Vec::new(); count],
            urgent: vec![false; count],
            version: 1,
            roster_change_at: None,
            steps: 0,
            message_count: MessageCount {
                messages: 0,
                received_bytes: vec![0; count],
            },
            members,
        };
        for (number, member) in limiter.members.iter().enumerate() {
            let mut node = ShareNode::new(member.instance, settings.clone());
            let event = ShareEvent::Contract {
                index: CUSTOMER,
                limit: limit.clone(),
            };
            node.handle(Duration::ZERO, event, &mut Vec::new());
            limiter.nodes.push(node);
            limiter.indices.insert(member.instance, number);
        }
        let all: Arc<[ShareMember]> = limiter.members.iter().cloned().collect();
        for number in 0..count {
            let event = ShareEvent::Roster {
                version: 1,
                members: Arc::clone(&all),
                settled: 1,
            };
            limiter.handle_event(Duration::ZERO, number, event);
        }
        limiter
    }

    fn handle_event(&mut self, now: Duration, number: usize, event: ShareEvent) {
        let mut out = Vec::new();
        self.nodes[number].handle(now, event, &mut out);
        self.execute_commands(number, out);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.sides
            .as_ref()
            .is_none_or(|sides| sides[from] == sides[to])
    }

    fn execute_commands(&mut self, from: usize, out: Vec<ShareCommand>) {
        for command in out {
            match command {
                ShareCommand::Send { to, message } => {
                    let target = self.indices[&to];
                    self.message_count.messages += 1;
                    if self.can_reach(from, target) {
                        self.message_count.received_bytes[target] += message_size(&message);
                        self.inbox[target].push((self.members[from].instance, message));
                    }
                }
                ShareCommand::Ready { .. } => {}
            }
        }
    }

    /// Sends each node the roster of the members that its side sees alive.
    fn update_local_rosters(&mut self, now: Duration) {
        self.version += 1;
        for side in [false, true] {
            let is_visible = |number: &usize| {
                let here = self
                    .sides
                    .as_ref()
                    .is_none_or(|sides| sides[*number] == side);
                here && !self.paused[*number]
            };
            let numbers: Vec<usize> = (0..self.nodes.len()).filter(is_visible).collect();
            let members: Arc<[ShareMember]> = numbers
                .iter()
                .map(|number| self.members[*number].clone())
                .collect();
            for number in numbers {
                let event = ShareEvent::Roster {
                    version: self.version,
                    members: Arc::clone(&members),
                    settled: 1,
                };
                self.handle_event(now, number, event);
            }
        }
    }
}

impl ShareLimiter for LeaseLimiter {
    fn admit(&mut self, now: Duration, node: usize, is_retry: bool) -> LimiterDecision {
        let share = &mut self.nodes[node];
        let admission = if is_retry {
            share.admit_again(now, CUSTOMER)
        } else {
            share.admit(now, CUSTOMER)
        };
        match admission {
            Admission::Admitted => LimiterDecision::Admitted,
            Admission::Wait { until } => {
                self.urgent[node] = true;
                LimiterDecision::Wait(until)
            }
            Admission::Refused { .. } => {
                self.urgent[node] = true;
                LimiterDecision::Refused
            }
        }
    }

    fn finished(&mut self, now: Duration, node: usize) {
        self.nodes[node].finished(now, CUSTOMER);
    }

    fn step(&mut self, now: Duration) {
        self.steps += 1;
        if self.roster_change_at.is_some_and(|at| at <= now) {
            self.roster_change_at = None;
            self.update_local_rosters(now);
        }
        let mut inboxes = std::mem::take(&mut self.inbox);
        self.inbox = vec![Vec::new(); self.nodes.len()];
        for (number, inbox) in inboxes.iter_mut().enumerate() {
            if self.paused[number] {
                self.inbox[number] = std::mem::take(inbox);
                continue;
            }
            for (from, message) in inbox.drain(..) {
                self.handle_event(now, number, ShareEvent::Received { from, message });
            }
            let regular = (self.steps + number).is_multiple_of(TICK_STEPS);
            if self.urgent[number] || regular {
                self.urgent[number] = false;
                let mut out = Vec::new();
                self.nodes[number].tick(now, &mut out);
                self.execute_commands(number, out);
            }
        }
    }

    fn rate_in_force(&self, now: Duration) -> u64 {
        let shares = self.nodes.iter().map(ShareNode::share);
        shares.map(|share| share.rate(now, CUSTOMER)).sum()
    }

    fn set_partition(&mut self, now: Duration, sides: Option<Vec<bool>>) {
        self.sides = sides;
        self.schedule_roster_change(now);
    }

    fn set_paused(&mut self, now: Duration, node: usize, paused: bool) {
        self.paused[node] = paused;
        self.schedule_roster_change(now);
    }

    fn largest_keeper(&self) -> usize {
        let ring = ShareRing::new(1, &self.members);
        let customer = name_hash(CUSTOMER_NAME);
        let mut units: BTreeMap<InstanceId, u32> = BTreeMap::new();
        for unit in 0..UNIT_COUNT {
            let owner = ring.unit_owner(customer, unit);
            let keeper = owner.and_then(|(domain, place)| ring.keeper(customer, domain, place));
            if let Some(keeper) = keeper {
                *units.entry(keeper).or_default() += 1;
            }
        }
        let busiest = units
            .into_iter()
            .max_by_key(|(keeper, count)| (*count, *keeper));
        busiest.map_or(0, |(keeper, _)| self.indices[&keeper])
    }

    fn message_count(&self) -> MessageCount {
        self.message_count.clone()
    }
}

impl LeaseLimiter {
    fn schedule_roster_change(&mut self, now: Duration) {
        if self.rule == RosterRule::LocalView {
            self.roster_change_at = Some(now + DETECTION_DELAY);
        }
    }
}
