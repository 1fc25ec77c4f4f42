//! Memory of the state of upstream pools, guard seats and shares.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use sycamorelink_core::{
    CustomerName, DomainName, InstanceId, NodeId, NodeIncarnation, RequestId, UpstreamId,
};
use sycamorelink_guard::{
    DispatchOutcome, GuardCommand, GuardEvent, GuardIdentity, GuardNode, GuardSettings,
    KeyFingerprint, KeyId, KeyTime,
};
use sycamorelink_limits::{
    CustomerIndex, CustomerLimit, ShareEvent, ShareMember, ShareNode, ShareSettings,
};
use sycamorelink_policy::{PoolSettings, SampleKind, ServicePool, UpstreamPhase, UpstreamSample};

use super::fit::{MeasuredPoint, to_f64};
use super::memory::measure_growth;

/// Upstreams per service at the target scale.
const SERVICE_UPSTREAMS: usize = 22;

/// Samples recorded for each upstream, so that its state is fully allocated.
const SAMPLES: u32 = 8;

/// Number of failure domains of the members.
const DOMAINS: usize = 7;

/// Number of members of the share ring.
const RING_MEMBERS: u64 = 3;

/// Number of guards; each remembers every key.
const GUARDS: u64 = 3;

/// Unix time of the guards at their start.
const GUARD_EPOCH: Duration = Duration::from_secs(1_790_000_000);

/// Virtual time for the guards to found their key ranges.
const FOUNDING_LIMIT: Duration = Duration::from_secs(30);

pub(super) fn measure_points<T, F>(counts: &[usize], mut build: F) -> Result<Vec<MeasuredPoint>>
where
    F: FnMut(usize) -> T,
{
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for count in counts {
        let (state, bytes) = measure_growth(|| build(*count))?;
        kept.push(state);
        points.push(MeasuredPoint {
            count: to_f64(*count),
            value: to_f64(usize::try_from(bytes)?),
        });
    }
    Ok(points)
}

/// Measures the memory of pools of 22 upstreams each, in bytes, against the total number of
/// upstreams.
///
/// # Errors
///
/// Returns an error when resident memory cannot be read.
pub fn measure_pools(counts: &[usize]) -> Result<Vec<MeasuredPoint>> {
    measure_points(counts, |count| {
        let pools = count.div_ceil(SERVICE_UPSTREAMS);
        (0..pools).map(warm_pool).collect::<Vec<_>>()
    })
}

fn warm_pool(service: usize) -> ServicePool {
    let mut pool = ServicePool::new(PoolSettings::default(), service as u64);
    let now = Duration::from_secs(1);
    for number in 0..SERVICE_UPSTREAMS {
        let id = UpstreamId {
            node: NodeId((service * SERVICE_UPSTREAMS + number) as u64),
            slot: 0,
        };
        let facts = sycamorelink_policy::UpstreamFacts {
            slots: 5,
            domain: DomainName::new(&format!("domain-{}", number % DOMAINS)),
            phase: UpstreamPhase::Ready,
        };
        pool.upsert(now, id, &facts);
        for sample in 0..SAMPLES {
            let latency = Duration::from_millis(u64::from(20 + sample));
            pool.sent(now, id);
            pool.observe(now, id, &UpstreamSample::new(SampleKind::Served, latency));
        }
    }
    pool
}

/// Measures the memory of one node's shares, in bytes, against the number of customers that have
/// sent a request to the node.
///
/// # Errors
///
/// Returns an error when resident memory cannot be read.
pub fn measure_share_customers(counts: &[usize]) -> Result<Vec<MeasuredPoint>> {
    measure_points(counts, share_node)
}

fn share_node(customers: usize) -> ShareNode {
    let own = instance(0);
    let mut node = ShareNode::new(own, ShareSettings::default());
    let mut out = Vec::new();
    let members: Arc<[ShareMember]> = (0..RING_MEMBERS)
        .map(|number| ShareMember {
            instance: instance(number),
            domain: DomainName::new(&format!("domain-{}", number % DOMAINS as u64)),
        })
        .collect();
    let roster = ShareEvent::Roster {
        version: 1,
        members,
        settled: 1,
    };
    node.handle(Duration::ZERO, roster, &mut out);
    for customer in 0..customers {
        let index = CustomerIndex(u32::try_from(customer).unwrap_or(u32::MAX));
        let limit = CustomerLimit {
            customer: CustomerName::new(&format!("customer-{customer:05}")),
            rate_millis: 400_000,
            concurrency: 120,
        };
        let contract = ShareEvent::Contract { index, limit };
        node.handle(Duration::ZERO, contract, &mut out);
        node.admit(Duration::from_secs(1), index);
        out.clear();
    }
    node
}

/// Measures the memory of one guard seat, in bytes, against the number of remembered keys. Three
/// guards are built for each point, and the growth is divided by three.
///
/// # Errors
///
/// Returns an error when resident memory cannot be read or the guards do not grant every key.
pub fn measure_guard_keys(counts: &[usize]) -> Result<Vec<MeasuredPoint>> {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for count in counts {
        let (group, bytes) = measure_growth(|| GuardGroup::with_keys(*count))?;
        ensure!(
            group.granted == *count,
            "{} of {count} keys granted",
            group.granted
        );
        kept.push(group);
        let seat = to_f64(usize::try_from(bytes)?) / f64::from(u32::try_from(GUARDS)?);
        points.push(MeasuredPoint {
            count: to_f64(*count),
            value: seat,
        });
    }
    Ok(points)
}

/// Three guards that deliver messages to each other immediately, so that each of them has a seat in
/// every key range.
struct GuardGroup {
    now: Duration,
    nodes: Vec<GuardNode>,
    inbox: VecDeque<(usize, GuardEvent)>,
    granted: usize,
}

impl GuardGroup {
    fn with_keys(count: usize) -> Self {
        let settings = GuardSettings {
            max_keys: usize::MAX,
            ..GuardSettings::default()
        };
        let nodes = (0..GUARDS)
            .map(|number| {
                let identity = GuardIdentity {
                    instance: instance(number),
                    domain: DomainName::new(&format!("domain-{number}")),
                    wall_at_start: GUARD_EPOCH,
                };
                GuardNode::new(identity, settings.clone(), number)
            })
            .collect();
        let mut group = Self {
            now: Duration::ZERO,
            nodes,
            inbox: VecDeque::new(),
            granted: 0,
        };
        group.found_ranges();
        for number in 0..count {
            group.add_key(number);
        }
        group
    }

    fn found_ranges(&mut self) {
        for node in 0..self.nodes.len() {
            for other in 0..GUARDS {
                let event = GuardEvent::MemberUp {
                    instance: instance(other),
                    domain: DomainName::new(&format!("domain-{other}")),
                };
                if other != node as u64 {
                    self.inbox.push_back((node, event));
                }
            }
            let whole = GuardEvent::LogCurrent { whole: true };
            self.inbox.push_back((node, whole));
        }
        while self.now < FOUNDING_LIMIT {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(100);
        for node in 0..self.nodes.len() {
            self.inbox.push_back((node, GuardEvent::Tick));
            let whole = GuardEvent::LogCurrent { whole: true };
            self.inbox.push_back((node, whole));
        }
        self.deliver();
    }

    /// Admits one request with a new key and delivers all resulting messages, including the grant
    /// and its settlement.
    fn add_key(&mut self, number: usize) {
        let request = RequestId(number as u128 + 1);
        let wall = GUARD_EPOCH + self.now;
        let time = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
        let key = format!("{number:032x}");
        let customer = CustomerName::new("customer-00001");
        let event = GuardEvent::Admit {
            request,
            key: KeyId::of(&customer, &key, KeyTime::Timed(time)),
            fingerprint: KeyFingerprint::of("POST", "/bookings", key.as_bytes()),
            executor: instance(1),
            deadline: self.now + Duration::from_secs(2),
        };
        self.inbox.push_back((0, event));
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some((node, event)) = self.inbox.pop_front() {
            let mut out = Vec::new();
            self.nodes[node].handle(self.now, event, &mut out);
            for command in out {
                self.execute_command(node, command);
            }
        }
    }

    fn execute_command(&mut self, node: usize, command: GuardCommand) {
        match command {
            GuardCommand::Send { to, message } => {
                let target = usize::try_from(to.node.0).unwrap_or(usize::MAX);
                if target < self.nodes.len() {
                    let from = instance(node as u64);
                    let event = GuardEvent::Message { from, message };
                    self.inbox.push_back((target, event));
                }
            }
            GuardCommand::AppendFounding { records } => {
                for reader in 0..self.nodes.len() {
                    let records = records.clone();
                    let event = GuardEvent::LogFounding { records };
                    self.inbox.push_back((reader, event));
                }
            }
            GuardCommand::Grant { request, .. } => {
                self.granted += 1;
                let outcome = DispatchOutcome::Ran;
                let event = GuardEvent::Settled { request, outcome };
                self.inbox.push_back((node, event));
            }
            _ => {}
        }
    }
}

fn instance(number: u64) -> InstanceId {
    InstanceId {
        node: NodeId(number),
        incarnation: NodeIncarnation(1),
    }
}
