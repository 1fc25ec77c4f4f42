//! Simulated fleet of guard nodes with a fake network, log, roster and backend servers, in virtual
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{AttemptId, DomainName, InstanceId, NodeId, NodeIncarnation, RequestId};
use sycamorelink_guard::{
    DispatchOutcome, DispatchTicket, FoundingRecord, GuardCommand, GuardEvent, GuardIdentity,
    GuardMessage, GuardNode, GuardSettings, KeyId, KeyTime, WorkOutcome, WorkRefusal,
};

use crate::oracle::FleetOracle;

/// Wall-clock time at virtual time zero.
pub const EPOCH: Duration = Duration::from_secs(1_000_000);
/// Interval at which a node polls the log.
const LOG_POLL: Duration = Duration::from_millis(100);

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Result that an executor returns to the ingress.
#[derive(Clone, Debug)]
pub enum WorkResult {
    NotRun,
    Ran,
    Unknown,
    Repeated,
}

/// Packet between two nodes.
#[derive(Clone, Debug)]
pub enum FleetPacket {
    Guard(GuardMessage),
    Dispatch(DispatchTicket),
    Result(AttemptId, WorkResult),
}

#[derive(Clone, Debug)]
pub enum FleetEvent {
    Packet(InstanceId, FleetPacket),
    Guard(Box<GuardEvent>),
    Wake,
    LogPoll,
    WorkDone(AttemptId, WorkOutcome),
    DispatchTimeout(AttemptId),
    GiveUp(RequestId),
    Deadline(RequestId),
}

/// Fault probabilities and the range of delays (ms) of every link.
#[derive(Clone, Debug)]
pub struct LinkFaults {
    pub drop: f64,
    pub repeat: f64,
    pub delay: (u64, u64),
}

impl Default for LinkFaults {
    fn default() -> Self {
        Self {
            drop: 0.0,
            repeat: 0.0,
            delay: (2, 2),
        }
    }
}

/// Behaviour of the backend servers: range of service times (ms), fault probabilities, reply size.
#[derive(Clone, Debug)]
pub struct BackendBehaviour {
    pub service: (u64, u64),
    pub crash: f64,
    pub refuse: f64,
    pub reply_bytes: usize,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            service: (20, 20),
            crash: 0.0,
            refuse: 0.0,
            reply_bytes: 24,
        }
    }
}

/// Request at its ingress, as an engine would store it.
#[derive(Debug)]
pub struct IngressState {
    pub attempt: Option<AttemptId>,
    pub redirects: u32,
}

/// Position of a node in the log.
#[derive(Debug, Default)]
struct LogReader {
    offset: usize,
    current: bool,
}

/// One process of a node, identified by its instance.
#[derive(Debug)]
pub struct NodeProcess {
    pub index: usize,
    pub instance: InstanceId,
    pub guard: GuardNode,
    pub started: Duration,
    pub alive: bool,
    pub frozen: bool,
    /// Whether a later process has taken over the address, so that this one receives nothing.
    pub superseded: bool,
    pub backlog: Vec<FleetEvent>,
    wake_at: Duration,
    log: LogReader,
    pub requests: BTreeMap<RequestId, IngressState>,
    pub tickets: BTreeMap<AttemptId, DispatchTicket>,
    pub drained_at: Option<Duration>,
    /// Time at which the process was last killed, replaced, frozen or resumed.
    pub disturbed_at: Option<Duration>,
}

/// Simulated fleet.
pub struct FakeFleet {
    pub now: Duration,
    pub processes: Vec<NodeProcess>,
    /// Index of the current process of each node.
    pub process_at: Vec<usize>,
    domains: usize,
    settings: GuardSettings,
    queue: BTreeMap<(Duration, u64), (usize, FleetEvent)>,
    sequence: u64,
    pub rng: SmallRng,
    pub faults: LinkFaults,
    pub cuts: BTreeSet<(usize, usize)>,
    pub backend: BackendBehaviour,
    pub log: Vec<Vec<FoundingRecord>>,
    pub log_up: bool,
    /// Nodes that are cut off from the log.
    pub log_cuts: BTreeSet<usize>,
    pub oracle: FleetOracle,
    pub trace: Vec<String>,
    pub tracing: bool,
    pub messages: u64,
    pub wall_spread: u64,
}

pub fn test_settings() -> GuardSettings {
    GuardSettings {
        ranges: 4,
        strike_after: ms(500),
        exchange_every: ms(300),
        ahead_limit: ms(2_000),
        clock_skew: ms(1_000),
        ..GuardSettings::default()
    }
}

impl FakeFleet {
    pub fn new(nodes: usize, domains: usize, settings: GuardSettings, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            processes: Vec::new(),
            process_at: Vec::new(),
            domains,
            settings,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            faults: LinkFaults::default(),
            cuts: BTreeSet::new(),
            backend: BackendBehaviour::default(),
            log: Vec::new(),
            log_up: true,
            log_cuts: BTreeSet::new(),
            oracle: FleetOracle::default(),
            trace: Vec::new(),
            tracing: false,
            messages: 0,
            wall_spread: 0,
        };
        for index in 0..nodes {
            fleet.process_at.push(index);
            fleet.start_process(index, 1);
        }
        fleet
    }

    /// Creates a fleet and runs it until its ranges are founded and served.
    pub fn founded(nodes: usize, domains: usize, settings: GuardSettings, seed: u64) -> Self {
        let mut fleet = Self::new(nodes, domains, settings, seed);
        fleet.run_for(ms(4_000));
        fleet
    }

    fn domain(&self, index: usize) -> DomainName {
        DomainName::new(&format!("d{}", index % self.domains))
    }

    pub fn start_process(&mut self, index: usize, incarnation: u64) {
        let instance = InstanceId {
            node: NodeId(index as u64),
            incarnation: NodeIncarnation(incarnation),
        };
        let spread = self.wall_spread;
        let skew = ms(self.rng.random_range(0..=spread));
        let identity = GuardIdentity {
            instance,
            domain: self.domain(index),
            wall_at_start: EPOCH + self.now + skew,
        };
        let seed = self.rng.random();
        let process = NodeProcess {
            index,
            instance,
            guard: GuardNode::new(identity, self.settings.clone(), seed),
            started: self.now,
            alive: true,
            frozen: false,
            superseded: false,
            backlog: Vec::new(),
            wake_at: Duration::MAX,
            log: LogReader::default(),
            requests: BTreeMap::new(),
            tickets: BTreeMap::new(),
            drained_at: None,
            disturbed_at: None,
        };
        let new = self.processes.len();
        self.processes.push(process);
        self.process_at[index] = new;
        self.announce_process(new);
        self.schedule(new, ms(1), FleetEvent::LogPoll);
        self.schedule(new, ms(0), FleetEvent::Wake);
    }

    /// Reports the new process and the others to each other as up.
    fn announce_process(&mut self, new: usize) {
        for other in 0..self.processes.len() {
            if other == new || !self.processes[other].alive || self.processes[other].superseded {
                continue;
            }
            self.report_up(other, new);
            self.report_up(new, other);
        }
    }

    pub fn report_up(&mut self, listener: usize, subject: usize) {
        let instance = self.processes[subject].instance;
        let domain = self.domain(self.processes[subject].index);
        let delay = ms(self.rng.random_range(1..=200));
        let event = GuardEvent::MemberUp { instance, domain };
        self.schedule(listener, delay, FleetEvent::Guard(Box::new(event)));
    }

    pub fn report_down(&mut self, listener: usize, subject: usize, delay: Duration) {
        let instance = self.processes[subject].instance;
        let event = GuardEvent::MemberDown { instance };
        self.schedule(listener, delay, FleetEvent::Guard(Box::new(event)));
    }

    pub fn report_down_to_all(&mut self, subject: usize) {
        for listener in 0..self.processes.len() {
            if listener != subject && self.processes[listener].alive {
                let delay = ms(self.rng.random_range(300..=900));
                self.report_down(listener, subject, delay);
            }
        }
    }

    pub fn report_up_to_all(&mut self, subject: usize) {
        for listener in 0..self.processes.len() {
            if listener != subject && self.processes[listener].alive {
                self.report_up(listener, subject);
            }
        }
    }

    pub fn note(&mut self, line: &str) {
        if self.tracing {
            self.trace
                .push(format!("{:>7} * {line}", self.now.as_millis()));
        }
    }

    pub fn schedule(&mut self, process: usize, delay: Duration, event: FleetEvent) {
        self.sequence += 1;
        let at = self.now + delay;
        self.queue.insert((at, self.sequence), (process, event));
    }

    /// Returns the index of the process with this instance.
    pub fn process_of(&self, instance: InstanceId) -> Option<usize> {
        self.processes
            .iter()
            .position(|process| process.instance == instance)
    }

    pub fn instance(&self, node: usize) -> InstanceId {
        self.processes[self.process_at[node]].instance
    }

    pub fn transmit(&mut self, from: usize, to: InstanceId, packet: &FleetPacket) {
        self.messages += u64::from(matches!(packet, FleetPacket::Guard(_)));
        let Some(target) = self.process_of(to) else {
            return;
        };
        let link = (self.processes[from].index, self.processes[target].index);
        let (low, high) = self.faults.delay;
        let copies = 1 + u64::from(self.rng.random_bool(self.faults.repeat));
        for _ in 0..copies {
            let delay = ms(self.rng.random_range(low..=high));
            if self.cuts.contains(&link) || self.rng.random_bool(self.faults.drop) {
                continue;
            }
            let from = self.processes[from].instance;
            self.schedule(target, delay, FleetEvent::Packet(from, packet.clone()));
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(((at, sequence), _)) = self.queue.first_key_value() {
            let (at, sequence) = (*at, *sequence);
            if at > end {
                break;
            }
            self.now = at;
            if let Some((process, event)) = self.queue.remove(&(at, sequence)) {
                self.process_event(process, event);
            }
        }
        self.now = end;
    }

    fn process_event(&mut self, process: usize, event: FleetEvent) {
        if let FleetEvent::Deadline(request) = &event {
            let disturbed = self.processes[process].disturbed_at;
            self.oracle.check_deadline(*request, self.now, disturbed);
            return;
        }
        let packet = matches!(event, FleetEvent::Packet(..));
        if !self.processes[process].alive || (packet && self.processes[process].superseded) {
            return;
        }
        if self.processes[process].frozen {
            self.processes[process].backlog.push(event);
            return;
        }
        match event {
            FleetEvent::Packet(from, FleetPacket::Guard(message)) => {
                self.handle_event(process, GuardEvent::Message { from, message });
            }
            FleetEvent::Packet(_, FleetPacket::Dispatch(ticket)) => {
                let attempt = ticket.attempt;
                self.processes[process]
                    .tickets
                    .insert(attempt, ticket.clone());
                self.handle_event(process, GuardEvent::Offered { ticket });
            }
            FleetEvent::Packet(_, FleetPacket::Result(attempt, result)) => {
                self.on_result(process, attempt, &result);
            }
            FleetEvent::Guard(event) => self.handle_event(process, *event),
            FleetEvent::Wake => {
                self.processes[process].wake_at = Duration::MAX;
                self.handle_event(process, GuardEvent::Tick);
            }
            FleetEvent::LogPoll => self.poll_log(process),
            FleetEvent::WorkDone(attempt, outcome) => self.end_work(process, attempt, outcome),
            FleetEvent::DispatchTimeout(attempt) => {
                let waiting = self.processes[process].requests.get(&attempt.request);
                if waiting.is_some_and(|state| state.attempt == Some(attempt)) {
                    self.settle(process, attempt.request, DispatchOutcome::Lost);
                }
            }
            FleetEvent::GiveUp(request) => {
                let waiting = self.processes[process].requests.get(&request);
                if waiting.is_some_and(|state| state.attempt.is_some()) {
                    self.settle(process, request, DispatchOutcome::Lost);
                }
            }
            FleetEvent::Deadline(_) => {}
        }
    }

    fn reaches_log(&self, process: usize) -> bool {
        self.log_up && !self.log_cuts.contains(&self.processes[process].index)
    }

    fn poll_log(&mut self, process: usize) {
        self.schedule(process, LOG_POLL, FleetEvent::LogPoll);
        if !self.reaches_log(process) {
            if std::mem::take(&mut self.processes[process].log.current) {
                self.handle_event(process, GuardEvent::LogLost);
            }
            return;
        }
        while self.processes[process].log.offset < self.log.len() {
            let records = self.log[self.processes[process].log.offset].clone();
            self.processes[process].log.offset += 1;
            self.handle_event(process, GuardEvent::LogFounding { records });
        }
        if !self.processes[process].log.current {
            self.processes[process].log.current = true;
            self.handle_event(process, GuardEvent::LogCurrent { whole: true });
        }
    }

    /// Passes an event to a guard and carries out the resulting commands.
    pub fn handle_event(&mut self, process: usize, event: GuardEvent) {
        let now = self.now.saturating_sub(self.processes[process].started);
        let event_text = self.tracing.then(|| crate::trace_text::event(&event));
        let mut out = Vec::new();
        self.processes[process].guard.handle(now, event, &mut out);
        if let Some(event_text) = event_text {
            self.trace_event(process, &event_text, &out);
        }
        for command in out {
            self.execute(process, command);
        }
        let wake = self.processes[process].guard.next_wake();
        let wake = self.processes[process].started + wake.unwrap_or(Duration::MAX / 2);
        if wake < self.processes[process].wake_at {
            let delay = wake.saturating_sub(self.now);
            self.processes[process].wake_at = wake;
            self.schedule(process, delay, FleetEvent::Wake);
        }
    }

    fn trace_event(&mut self, process: usize, event_text: &str, out: &[GuardCommand]) {
        let lines: Vec<String> = out.iter().filter_map(crate::trace_text::command).collect();
        if lines.is_empty() && (event_text.is_empty() || event_text.starts_with("Exchange")) {
            return;
        }
        let name = self.processes[process].instance_name();
        self.trace.push(format!(
            "{:>7} {name} <- {event_text}",
            self.now.as_millis()
        ));
        for line in lines {
            self.trace.push(format!("           -> {line}"));
        }
    }

    fn execute(&mut self, process: usize, command: GuardCommand) {
        match command {
            GuardCommand::Grant { request, ticket } => self.dispatch(process, request, ticket),
            GuardCommand::Answer { request, verdict } => {
                self.processes[process].requests.remove(&request);
                self.oracle.on_answered(request, self.now, &verdict);
            }
            GuardCommand::Reoffer { request } => self.redirect(process, request),
            GuardCommand::Send { to, message } => {
                self.transmit(process, to, &FleetPacket::Guard(message));
            }
            GuardCommand::AppendFounding { records } => {
                if self.reaches_log(process) {
                    self.log.push(records);
                }
            }
            GuardCommand::RunWork { ticket } => self.run_work(process, &ticket),
            GuardCommand::RefuseWork { attempt, refusal } => {
                let result = match refusal {
                    WorkRefusal::Repeated => WorkResult::Repeated,
                    WorkRefusal::NotRun | WorkRefusal::WrongInstance => WorkResult::NotRun,
                };
                self.reply(process, attempt, result);
            }
            GuardCommand::Drained => self.processes[process].drained_at = Some(self.now),
            GuardCommand::Note(note) => self.oracle.on_note(&note),
        }
    }

    /// Creates a key with the current time.
    pub fn fresh_key(&self, hash: u128) -> KeyId {
        let wall = EPOCH + self.now;
        KeyId {
            hash,
            time: KeyTime::Timed(u64::try_from(wall.as_millis()).unwrap_or_default()),
        }
    }
}

/// Send of a request by a caller.
#[derive(Clone, Debug)]
pub struct CallerSend {
    pub request: RequestId,
    pub key: KeyId,
    pub body: u128,
    pub executor: InstanceId,
    pub timeout: Duration,
}

impl NodeProcess {
    pub fn instance_name(&self) -> String {
        crate::trace_text::instance(self.instance)
    }
}
