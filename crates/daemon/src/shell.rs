//! The decision thread: feeds the decision logic from its ring and carries out its commands.
//!
//! ```text
//!  callers, work, log, gossip, operators ──ring──▶ DecisionShell ──▶ NodeEngine
//!       ▲                                              │ commands
//!       └──────────────────────────────────────────────┘
//! ```

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sycamorelink_core::{NodeClock, RequestId};
use sycamorelink_engine::{LogStream, NodeCommand, NodeEngine, NodeEvent, WorkEnd, WorkOffer};
use sycamorelink_limits::admission::WorkId;
use sycamorelink_roster::RosterMessage;
use sycamorelink_telemetry::metric::MetricCounter;
use sycamorelink_telemetry::{MetricName, MetricTags};
use sycamorelink_wire::{FleetKeys, encode_datagram};
use tokio::sync::mpsc;

use crate::callers::CallerCommand;
use crate::inbox::ShellInput;
use crate::log_thread::LogOrder;
use crate::metrics::NodeTelemetry;
use crate::notes::NoteKeeper;
use crate::operators::answer_query;
use crate::ring::RingReceiver;
use crate::work::{BackendDirectory, LoadBoard, PeerOrder, WorkCommand};

/// Items taken from the ring between two looks at the clock.
const BATCH: usize = 64;
/// Longest sleep of the thread.
const LONGEST_WAIT: Duration = Duration::from_millis(100);

/// Where the decision thread's commands go.
#[derive(Debug)]
pub struct ShellPorts {
    /// Messages to peers.
    pub messages: mpsc::Sender<PeerOrder>,
    /// Appends to the log.
    pub appends: mpsc::Sender<LogOrder>,
    /// Datagrams to peers.
    pub gossip: UdpSocket,
    /// Keys that seal datagrams.
    pub keys: Arc<FleetKeys>,
    /// Loads, for replies.
    pub loads: LoadBoard,
    /// Where the backend servers listen.
    pub directory: BackendDirectory,
    /// Set when everything is handed over or finished.
    pub drained: Arc<AtomicBool>,
    /// Set while requests can be served.
    pub ready: Arc<AtomicBool>,
    /// Events and metrics.
    pub telemetry: NodeTelemetry,
}

/// The decision logic with everything around it.
pub struct DecisionShell {
    engine: NodeEngine,
    clock: Arc<dyn NodeClock>,
    inbox: RingReceiver<ShellInput>,
    ports: ShellPorts,
    notes: NoteKeeper,
    gossip_bytes: MetricCounter,
    callers: BTreeMap<RequestId, mpsc::Sender<CallerCommand>>,
    works: BTreeMap<WorkId, WorkPort>,
    commands: Vec<NodeCommand>,
}

#[derive(Debug)]
struct WorkPort {
    slot: u16,
    port: mpsc::Sender<WorkCommand>,
}

impl DecisionShell {
    /// Puts the parts together.
    #[must_use]
    pub fn new(
        engine: NodeEngine,
        clock: Arc<dyn NodeClock>,
        inbox: RingReceiver<ShellInput>,
        ports: ShellPorts,
    ) -> Self {
        let notes = NoteKeeper::new(
            engine.own_instance(),
            clock.wall().saturating_sub(clock.now()),
            &ports.telemetry,
        );
        let gossip = MetricTags::new().with("kind", "gossip");
        let registry = &ports.telemetry.registry;
        let gossip_bytes = registry.counter(MetricName::ControlBytesSent, &gossip);
        Self {
            engine,
            clock,
            inbox,
            ports,
            notes,
            gossip_bytes,
            callers: BTreeMap::new(),
            works: BTreeMap::new(),
            commands: Vec::new(),
        }
    }

    /// Runs until told to stop.
    pub fn run(mut self) {
        loop {
            let mut taken = 0;
            while taken < BATCH {
                let Some(input) = self.inbox.try_recv() else {
                    break;
                };
                taken += 1;
                if !self.take(input) {
                    return;
                }
            }
            let now = self.clock.now();
            if self.engine.next_wake() <= now {
                self.feed(NodeEvent::Tick);
            }
            self.notes.tick(now, &self.engine);
            if taken == 0 {
                let wait = self.engine.next_wake().saturating_sub(self.clock.now());
                self.inbox.wait(wait.min(LONGEST_WAIT));
            }
        }
    }

    fn take(&mut self, input: ShellInput) -> bool {
        match input {
            ShellInput::Event(event) => self.feed(event),
            ShellInput::Request(caller, port) => {
                self.callers.insert(caller.id, port);
                self.feed(NodeEvent::RequestArrived(caller));
            }
            ShellInput::Offer(offer, port) => self.take_offer(offer, port),
            ShellInput::Query(query, reply) => {
                let now = self.clock.now();
                let directory = &self.ports.directory;
                let answer = answer_query(&self.engine, &self.notes, directory, now, &query);
                let _ = reply.send(Arc::new(answer));
            }
            ShellInput::Stop => return false,
        }
        true
    }

    fn take_offer(&mut self, offer: WorkOffer, port: mpsc::Sender<WorkCommand>) {
        let slot = offer.slot;
        self.works.insert(offer.work, WorkPort { slot, port });
        self.feed(NodeEvent::WorkOffered(offer));
        self.publish_load(slot);
    }

    fn feed(&mut self, event: NodeEvent) {
        let ended = match &event {
            NodeEvent::WorkEnded(report) if report.end == WorkEnd::Crashed => None,
            NodeEvent::WorkEnded(report) => Some(report.work),
            NodeEvent::WorkCancelled { work } => Some(*work),
            _ => None,
        };
        let now = self.clock.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.engine.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.obey(now, command);
        }
        self.commands = commands;
        if let Some(port) = ended.and_then(|work| self.works.remove(&work)) {
            self.publish_load(port.slot);
        }
        self.ports
            .ready
            .store(self.engine.is_ready(), Ordering::Relaxed);
    }

    fn publish_load(&self, slot: u16) {
        self.ports.loads.set(slot, self.engine.load_of(slot));
    }

    fn obey(&mut self, now: Duration, command: NodeCommand) {
        match command {
            NodeCommand::Refuse { request, refusal } => {
                self.tell_caller(request, CallerCommand::Refuse(refusal));
            }
            NodeCommand::ReadBody { request, limit } => {
                self.tell_caller(request, CallerCommand::ReadBody(limit));
            }
            NodeCommand::Dispatch(order) => {
                let request = order.attempt.request;
                self.tell_caller(request, CallerCommand::Dispatch(order));
            }
            NodeCommand::CancelAttempt { attempt } => {
                self.tell_caller(attempt.request, CallerCommand::Cancel(attempt.number));
            }
            NodeCommand::Deliver { attempt } => {
                self.tell_caller(attempt.request, CallerCommand::Deliver(attempt.number));
            }
            NodeCommand::AnswerKept { request, reply } => {
                self.tell_caller(request, CallerCommand::Kept(reply));
            }
            NodeCommand::AnswerGone { request } => {
                self.tell_caller(request, CallerCommand::Gone);
            }
            NodeCommand::RunWork { work, life } => self.tell_work(work, WorkCommand::Run(life)),
            NodeCommand::RefuseWork {
                work,
                refusal,
                load,
            } => {
                self.tell_work(work, WorkCommand::Refuse(refusal, load));
                self.works.remove(&work);
            }
            NodeCommand::ReleaseWork { work } => self.release(work),
            NodeCommand::CancelWork { work } => self.tell_work(work, WorkCommand::Cancel),
            NodeCommand::SendPeer {
                to,
                address,
                message,
            } => {
                let order = PeerOrder {
                    to,
                    address,
                    message,
                };
                if self.ports.messages.try_send(order).is_err() {
                    self.ports.telemetry.ring_full("messages");
                }
            }
            NodeCommand::SendDatagram { to, message } => self.send_datagram(to, &message),
            NodeCommand::AppendGuard { bytes } => {
                self.order(LogOrder::Append {
                    stream: LogStream::Guard,
                    bytes,
                });
            }
            NodeCommand::AppendContract { bytes } => {
                self.order(LogOrder::Append {
                    stream: LogStream::Contracts,
                    bytes,
                });
            }
            NodeCommand::ReadContract { offset } => self.order(LogOrder::ReadBack { offset }),
            NodeCommand::RereadContracts => self.order(LogOrder::Reread),
            NodeCommand::FollowSource { follow } => self.order(LogOrder::Follow { follow }),
            NodeCommand::FindMembers => self.order(LogOrder::FindMembers),
            NodeCommand::RecordIncarnation(incarnation) => {
                let incarnation = incarnation.0;
                self.order(LogOrder::RecordIncarnation { incarnation });
            }
            NodeCommand::ContractsChanged => self.notes.refresh_objectives(self.engine.table()),
            NodeCommand::Drained => self.ports.drained.store(true, Ordering::Release),
            NodeCommand::Note(note) => {
                if let Some(request) = self.notes.take(now, &note) {
                    self.callers.remove(&request);
                }
            }
        }
    }

    fn tell_caller(&self, request: RequestId, command: CallerCommand) {
        if let Some(port) = self.callers.get(&request) {
            let _ = port.try_send(command);
        }
    }

    fn tell_work(&self, work: WorkId, command: WorkCommand) {
        if let Some(port) = self.works.get(&work) {
            let _ = port.port.try_send(command);
        }
    }

    /// The last command for work that crashed its backend server.
    fn release(&mut self, work: WorkId) {
        self.tell_work(work, WorkCommand::Release);
        if let Some(port) = self.works.remove(&work) {
            self.publish_load(port.slot);
        }
    }

    fn send_datagram(&self, to: std::net::SocketAddr, message: &RosterMessage) {
        match encode_datagram(&self.ports.keys, message) {
            Ok(bytes) => {
                self.gossip_bytes.add(bytes.len() as u64);
                let _ = self.ports.gossip.send_to(&bytes, to);
            }
            Err(error) => tracing::debug!(%to, %error, "a datagram could not be encoded"),
        }
    }

    fn order(&self, order: LogOrder) {
        if self.ports.appends.try_send(order).is_err() {
            self.ports.telemetry.ring_full("appends");
        }
    }
}
