//! Fleet of nodes and backend servers in virtual time that exchange capacity records.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{DomainName, NodeId, NodeIncarnation, ServiceName, UpstreamId, name_hash};
use sycamorelink_policy::{
    CapacityForecast, CapacityRecord, CapacityTable, LoadHint, PoolSettings, SampleKind,
    ServicePool, SoonestTerms, UpstreamFacts, UpstreamPhase, UpstreamSample, select_freshest,
};

/// Maximum number of bytes of one report.
pub const REPORT_SIZE: usize = 1024;
/// Slots of each server.
pub const SLOTS: u16 = 15;
/// Mean run time.
pub const MEAN_RUN: Duration = Duration::from_millis(900);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(1);
const DOMAINS: usize = 4;
/// Refusals for overload after which a request is not offered again.
const MAX_REFUSALS: u32 = 2;
const OBJECTIVES: [Duration; 3] = [
    Duration::from_millis(2_500),
    Duration::from_secs(4),
    Duration::from_secs(8),
];
const DEADLINES: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(12)];

/// One request in flight.
#[derive(Clone, Copy, Debug)]
struct SimRequest {
    node: usize,
    sent: Duration,
    deadline: Duration,
}

/// A backend server with a queue in order of arrival.
#[derive(Debug, Default)]
pub struct SimServer {
    running: u16,
    queue: VecDeque<SimRequest>,
    /// Run times relative to [`MEAN_RUN`] in 64ths, as reported; 0 for one, not reported.
    pub relative_run: u8,
    /// Number of requests that the server has answered.
    pub served: u32,
}

impl SimServer {
    fn mean_run(&self) -> Duration {
        match self.relative_run {
            0 => MEAN_RUN,
            factor => MEAN_RUN * u32::from(factor) / 64,
        }
    }

    fn expected_wait(&self) -> Duration {
        if self.running < SLOTS {
            return Duration::ZERO;
        }
        let runs = f64::from(SLOTS) * 0.5 + count(self.queue.len());
        self.mean_run().mul_f64(runs / f64::from(SLOTS))
    }

    fn hint(&self) -> LoadHint {
        LoadHint {
            in_use: self.running,
            slots: SLOTS,
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            failing: 0,
        }
    }
}

/// A node with its view of the service.
pub struct SimNode {
    pub pool: ServicePool,
    pub tables: BTreeMap<ServiceName, CapacityTable>,
    /// Bytes of capacity reports that the node sent.
    pub bytes_sent: usize,
    /// Size of the largest report that the node sent.
    pub largest_report: usize,
    sequence: u32,
    next_report: Duration,
}

impl SimNode {
    pub fn table(&self) -> &CapacityTable {
        &self.tables[&service()]
    }

    pub fn table_mut(&mut self) -> &mut CapacityTable {
        self.tables.get_mut(&service()).expect("the service")
    }
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetCounts {
    pub ended: u32,
    pub offers: u32,
    pub refused_offers: u32,
    pub refused_at_once: u32,
    pub served: u32,
}

/// Nodes and servers; the first nodes have one server each.
pub struct CapacityFleet {
    pub now: Duration,
    pub nodes: Vec<SimNode>,
    pub servers: Vec<SimServer>,
    pub counts: FleetCounts,
    /// Whether no message passes between the first and the second half of the nodes.
    pub is_cut: bool,
    ends: BTreeMap<(Duration, u64), (usize, SimRequest)>,
    next_end: u64,
    due: f64,
    random: SmallRng,
}

/// Returns the only service of the fleet.
pub fn service() -> ServiceName {
    ServiceName::new("booking")
}

/// Returns the id of the server beside a node.
pub fn upstream(node: usize) -> UpstreamId {
    UpstreamId {
        node: NodeId(name_hash(&format!("node-{node}"))),
        slot: 0,
    }
}

/// Returns a number as a float.
pub fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

impl CapacityFleet {
    pub fn new(nodes: usize, servers: usize) -> Self {
        Self::with_pools(nodes, servers, servers)
    }

    /// Creates a fleet of nodes with one server each that only exchange records.
    pub fn exchange_only(nodes: usize) -> Self {
        Self::with_pools(nodes, nodes, 0)
    }

    fn with_pools(nodes: usize, servers: usize, pooled: usize) -> Self {
        let pool_of = |node: usize| {
            let mut pool = ServicePool::new(PoolSettings::default(), node as u64);
            pool.prefer_domain(domain(node));
            for server in 0..pooled {
                let facts = UpstreamFacts {
                    slots: SLOTS,
                    domain: domain(server),
                    phase: UpstreamPhase::Ready,
                };
                pool.upsert(Duration::ZERO, upstream(server), &facts);
            }
            pool
        };
        let nodes = (0..nodes).map(|node| SimNode {
            pool: pool_of(node),
            tables: BTreeMap::from([(service(), CapacityTable::new(upstream(node).node))]),
            bytes_sent: 0,
            largest_report: 0,
            sequence: 0,
            next_report: REPORT_INTERVAL.mul_f64(count(node) / count(nodes)),
        });
        Self {
            now: Duration::ZERO,
            nodes: nodes.collect(),
            servers: (0..servers).map(|_| SimServer::default()).collect(),
            counts: FleetCounts::default(),
            is_cut: false,
            ends: BTreeMap::new(),
            next_end: 0,
            due: 0.0,
            random: SmallRng::seed_from_u64(3),
        }
    }

    /// Returns the requests per second that all servers together can run.
    pub fn capacity(&self) -> f64 {
        count(self.servers.len()) * f64::from(SLOTS) / MEAN_RUN.as_secs_f64()
    }

    /// Runs for a time with this many requests per second in the whole fleet.
    pub fn run_for(&mut self, time: Duration, rate: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.end_runs();
            self.exchange();
            self.due += rate * STEP.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                let node = self.random.random_range(0..self.nodes.len());
                self.request(node);
            }
        }
    }

    /// Returns the greatest and the mean number of waiting requests of a server.
    pub fn queues(&self) -> (f64, f64) {
        let queues = self.servers.iter().map(|server| count(server.queue.len()));
        let sum: f64 = queues.clone().sum();
        (queues.fold(0.0, f64::max), sum / count(self.servers.len()))
    }

    /// Returns the forecast of a node.
    pub fn forecast(&mut self, node: usize) -> Option<CapacityForecast> {
        let now = self.now;
        let SimNode { pool, tables, .. } = &mut self.nodes[node];
        pool.forecast(now, &tables[&service()], &[])
    }

    /// Picks an upstream at a node without sending a request.
    pub fn pick(&mut self, node: usize, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        let now = self.now;
        let terms = SoonestTerms {
            kind: 1,
            objective_left: OBJECTIVES[1],
            is_repeat: false,
        };
        let SimNode { pool, tables, .. } = &mut self.nodes[node];
        pool.pick_soonest(now, &tables[&service()], exclude, &terms)
    }

    fn request(&mut self, node: usize) {
        let deadline = self.now + DEADLINES[self.random.random_range(0..DEADLINES.len())];
        let objective = OBJECTIVES[self.random.random_range(0..OBJECTIVES.len())];
        let terms = SoonestTerms {
            kind: 1,
            objective_left: objective,
            is_repeat: false,
        };
        self.counts.ended += 1;
        let mut tried = Vec::new();
        for _ in 0..MAX_REFUSALS {
            let now = self.now;
            let SimNode { pool, tables, .. } = &mut self.nodes[node];
            let table = &tables[&service()];
            let forecast = pool.forecast(now, table, &tried);
            let left = deadline.saturating_sub(now);
            if forecast.is_some_and(|forecast| forecast.excess(left).is_some()) {
                self.counts.refused_at_once += 1;
                return;
            }
            let Some(id) = pool.pick_soonest(now, table, &tried, &terms) else {
                return;
            };
            tried.push(id);
            let request = SimRequest {
                node,
                sent: now,
                deadline,
            };
            if self.offer(id, request) {
                return;
            }
        }
    }

    /// Offers a request and returns whether it was accepted.
    fn offer(&mut self, id: UpstreamId, request: SimRequest) -> bool {
        let now = self.now;
        self.counts.offers += 1;
        let sender = &mut self.nodes[request.node];
        sender.pool.sent(now, id);
        sender.table_mut().sent(now, id);
        let index = self.index_of(id);
        let server = &mut self.servers[index];
        if server.running < SLOTS {
            self.start(index, request);
            return true;
        }
        if now + server.expected_wait() + server.mean_run() <= request.deadline {
            server.queue.push_back(request);
            return true;
        }
        self.refuse(index, request);
        false
    }

    fn refuse(&mut self, index: usize, request: SimRequest) {
        self.counts.refused_offers += 1;
        self.answer(index, request, SampleKind::Refused);
    }

    fn answer(&mut self, index: usize, request: SimRequest, kind: SampleKind) {
        let latency = self.now.saturating_sub(request.sent);
        let sample = UpstreamSample::new(kind, latency).load(self.servers[index].hint());
        let node = &mut self.nodes[request.node];
        node.pool.observe(self.now, upstream(index), &sample);
        node.table_mut().ended(upstream(index), request.sent);
    }

    fn start(&mut self, index: usize, request: SimRequest) {
        self.servers[index].running += 1;
        let time = self.servers[index]
            .mean_run()
            .mul_f64(self.random.random_range(0.78..1.22));
        self.next_end += 1;
        let key = (self.now + time, self.next_end);
        self.ends.insert(key, (index, request));
    }

    fn end_runs(&mut self) {
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, request) = entry.remove();
            self.servers[index].running -= 1;
            self.servers[index].served += 1;
            self.counts.served += 1;
            self.answer(index, request, SampleKind::Served);
            while let Some(next) = self.servers[index].queue.pop_front() {
                if self.now + self.servers[index].mean_run() <= next.deadline {
                    self.start(index, next);
                    break;
                }
                self.refuse(index, next);
            }
        }
    }

    fn index_of(&self, id: UpstreamId) -> usize {
        (0..self.servers.len())
            .find(|index| upstream(*index) == id)
            .expect("a server of the fleet")
    }

    /// Returns the record of the server beside a node.
    pub fn record_of(&self, node: usize, sequence: u32) -> CapacityRecord {
        let server = &self.servers[node];
        let hint = server.hint();
        CapacityRecord {
            id: upstream(node),
            incarnation: NodeIncarnation(1_790_000_000_000),
            sequence,
            in_use: hint.in_use,
            limit: SLOTS,
            queued: hint.queued,
            expected_wait_ms: millis(server.expected_wait()),
            mean_run_ms: millis(server.mean_run()),
            failing: 0,
            relative_run: server.relative_run,
            repeats: 1,
            age_ms: 0,
        }
    }

    /// Sends the due reports: to two nodes of the same domain, and every second time also to one of
    /// another.
    fn exchange(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].next_report > self.now {
                continue;
            }
            self.nodes[index].next_report += REPORT_INTERVAL;
            self.nodes[index].sequence += 1;
            let sequence = self.nodes[index].sequence;
            if index < self.servers.len() {
                let record = self.record_of(index, sequence);
                let now = self.now;
                self.nodes[index].table_mut().set_own(now, record);
            }
            let tables = &self.nodes[index].tables;
            let report = select_freshest(self.now, tables, REPORT_SIZE);
            let receivers = self.receivers_of(index, sequence);
            for receiver in receivers {
                let bytes = report_bytes(&report);
                self.nodes[index].bytes_sent += bytes;
                let largest = &mut self.nodes[index].largest_report;
                *largest = bytes.max(*largest);
                self.receive(index, receiver, &report);
            }
        }
    }

    fn receivers_of(&mut self, sender: usize, sequence: u32) -> Vec<usize> {
        let total = self.nodes.len();
        let near: Vec<usize> = (0..total)
            .filter(|node| *node != sender && node % DOMAINS == sender % DOMAINS)
            .collect();
        let far: Vec<usize> = (0..total)
            .filter(|node| node % DOMAINS != sender % DOMAINS)
            .collect();
        let mut receivers = vec![
            near[self.random.random_range(0..near.len())],
            near[self.random.random_range(0..near.len())],
        ];
        if sequence.is_multiple_of(2) {
            receivers.push(far[self.random.random_range(0..far.len())]);
        }
        receivers
    }

    fn receive(
        &mut self,
        from: usize,
        to: usize,
        report: &BTreeMap<ServiceName, Vec<CapacityRecord>>,
    ) {
        let half = self.nodes.len() / 2;
        if self.is_cut && (from < half) != (to < half) {
            return;
        }
        let now = self.now;
        for record in report.values().flatten() {
            let merged = self.nodes[to].table_mut().merge(now, *record);
            merged.expect("nodes send valid records");
        }
    }
}

/// Returns the bytes of a report in the encoding of messages between nodes.
pub fn report_bytes(report: &BTreeMap<ServiceName, Vec<CapacityRecord>>) -> usize {
    let variant_bytes = 1;
    let encoded = report.iter().map(|message| {
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
        bytes.expect("a record can be encoded").len() + variant_bytes
    });
    encoded.sum()
}

fn domain(node: usize) -> DomainName {
    DomainName::new(&format!("domain-{}", node % DOMAINS))
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
