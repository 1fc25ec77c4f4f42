//! The decision thread: passes inputs from its ring to the engine and executes the commands that
//! the engine returns.
//!
//! ```text
//!  callers, work, log, gossip, operators ──ring──▶ DecisionLoop ───▶ NodeEngine
//!       ▲                                              │ commands
//!       └──────────────────────────────────────────────┘
//! ```

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sycamorelink_core::{NodeClock, RequestId};
use sycamorelink_engine::{
    LogStream, NodeCommand, NodeEngine, NodeEvent, PeerMessage, WorkEnd, WorkOffer,
};
use sycamorelink_limits::admission::WorkId;
use sycamorelink_roster::RosterMessage;
use sycamorelink_telemetry::metric::MetricCounter;
use sycamorelink_telemetry::{EventCode, EventFields, MetricName, MetricTags};
use sycamorelink_wire::{FleetKeys, encode_datagram};
use tokio::sync::mpsc;

use crate::callers::CallerCommand;
use crate::clock_watch::ClockWatch;
use crate::inbox::DecisionInput;
use crate::leaving_record::LeavingRecord;
use crate::log_thread::LogCommand;
use crate::memory::MemoryAccount;
use crate::metrics::NodeTelemetry;
use crate::notes::NoteRecorder;
use crate::open_replies::OpenReplies;
use crate::operators::answer_query;
use crate::ring::RingReceiver;
use crate::work::{BackendDirectory, LoadBoard, OutboundMessage, WorkCommand};

/// Inputs handled between two checks of the engine's timers.
const MAX_BATCH: usize = 64;
/// Duration of one input above which it is reported: half of the longest pause of a process that
/// has used up its CPU quota.
const DELAY_THRESHOLD: Duration = Duration::from_millis(50);
/// Longest wait for an input.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Channels, sockets and shared state that the decision thread writes to.
#[derive(Debug)]
pub struct DecisionOutputs {
    /// Messages to peers, sent by the work thread.
    pub messages: mpsc::Sender<OutboundMessage>,
    /// Commands to the log thread, or to the source thread when contracts come from a source.
    pub log_commands: mpsc::Sender<LogCommand>,
    /// Socket for gossip datagrams to peers.
    pub gossip: UdpSocket,
    /// Keys that authenticate datagrams.
    pub keys: Arc<FleetKeys>,
    /// Current load of each backend server, attached to replies to peers.
    pub loads: LoadBoard,
    /// Addresses of this node's backend servers.
    pub directory: BackendDirectory,
    /// Set when a drain is complete: all work is handed over or finished.
    pub drained: Arc<AtomicBool>,
    /// Set while the node can serve requests.
    pub ready: Arc<AtomicBool>,
    /// Events and metrics.
    pub telemetry: NodeTelemetry,
    /// Account of the bytes held for waiting requests and unread replies.
    pub memory: MemoryAccount,
    /// Record of the local backend servers that leave.
    pub leaving_record: LeavingRecord,
    /// Replies to callers and peers that are not written completely.
    pub open_replies: OpenReplies,
}

/// Event loop that runs the engine and executes its commands.
pub struct DecisionLoop {
    engine: NodeEngine,
    clock: Arc<dyn NodeClock>,
    clock_watch: ClockWatch,
    inbox: RingReceiver<DecisionInput>,
    outputs: DecisionOutputs,
    notes: NoteRecorder,
    gossip_bytes: MetricCounter,
    callers: BTreeMap<RequestId, mpsc::Sender<CallerCommand>>,
    works: BTreeMap<WorkId, WorkChannel>,
    commands: Vec<NodeCommand>,
}

#[derive(Debug)]
struct WorkChannel {
    slot: u16,
    commands: mpsc::Sender<WorkCommand>,
}

impl DecisionLoop {
    /// Creates a loop that has not started.
    #[must_use]
    pub fn new(
        engine: NodeEngine,
        clock: Arc<dyn NodeClock>,
        inbox: RingReceiver<DecisionInput>,
        outputs: DecisionOutputs,
    ) -> Self {
        let notes = NoteRecorder::new(
            engine.own_instance(),
            clock.wall().saturating_sub(clock.now()),
            &outputs.telemetry,
            outputs.memory.clone(),
        );
        let clock_watch = ClockWatch::new(clock.now(), clock.wall());
        let gossip = MetricTags::new().with("kind", "gossip");
        let registry = &outputs.telemetry.registry;
        let gossip_bytes = registry.counter(MetricName::ControlBytesSent, &gossip);
        Self {
            engine,
            clock,
            clock_watch,
            inbox,
            outputs,
            notes,
            gossip_bytes,
            callers: BTreeMap::new(),
            works: BTreeMap::new(),
            commands: Vec::new(),
        }
    }

    /// Handles inputs until [`DecisionInput::Stop`] arrives.
    pub fn run(mut self) {
        loop {
            let mut handled = 0;
            while handled < MAX_BATCH {
                let Some(input) = self.inbox.try_recv() else {
                    break;
                };
                handled += 1;
                if !self.handle_input(input) {
                    return;
                }
            }
            let now = self.clock.now();
            if self.engine.next_wake() <= now {
                self.handle_event(NodeEvent::Tick);
            }
            self.notes.tick(now, &self.engine);
            if handled == 0 {
                let wait = self.engine.next_wake().saturating_sub(self.clock.now());
                self.inbox.wait(wait.min(MAX_WAIT));
            }
        }
    }

    fn handle_input(&mut self, input: DecisionInput) -> bool {
        match input {
            DecisionInput::Event(event) => self.handle_event(event),
            DecisionInput::Confirmed(event, handled) => {
                self.handle_event(event);
                let _ = handled.send(());
            }
            DecisionInput::Request(caller, commands) => {
                self.callers.insert(caller.id, commands);
                self.handle_event(NodeEvent::RequestArrived(caller));
            }
            DecisionInput::Offer(offer, commands) => self.on_work_offer(offer, commands),
            DecisionInput::Query(query, reply) => {
                let now = self.clock.now();
                let directory = &self.outputs.directory;
                let answer = answer_query(&self.engine, &self.notes, directory, now, &query);
                let _ = reply.send(Arc::new(answer));
            }
            DecisionInput::Stop => return false,
        }
        true
    }

    fn on_work_offer(&mut self, offer: WorkOffer, commands: mpsc::Sender<WorkCommand>) {
        let slot = offer.slot;
        self.works
            .insert(offer.work, WorkChannel { slot, commands });
        self.handle_event(NodeEvent::WorkOffered(offer));
        self.publish_load(slot);
    }

    fn handle_event(&mut self, event: NodeEvent) {
        let started_at = self.clock.now();
        if self.clock_watch.has_paused(started_at, self.clock.wall()) {
            self.apply_event(started_at, NodeEvent::Resumed);
        }
        if self.engine.is_draining() {
            let count = self.outputs.open_replies.count();
            self.apply_event(started_at, NodeEvent::OpenReplies { count });
        }
        let kind = event_kind(&event);
        self.apply_event(started_at, event);
        let took = self.clock.now().saturating_sub(started_at);
        if took >= DELAY_THRESHOLD {
            let duration = format!("{}ms", took.as_millis());
            let fields = EventFields::new().reason(&kind).duration(&duration);
            let events = &self.outputs.telemetry.events;
            events.emit(EventCode::DecisionDelayed, &fields);
        }
    }

    fn apply_event(&mut self, now: Duration, event: NodeEvent) {
        let ended = match &event {
            NodeEvent::WorkEnded(report) if report.end == WorkEnd::Crashed => None,
            NodeEvent::WorkEnded(report) => Some(report.work),
            NodeEvent::WorkCancelled { work } => Some(*work),
            _ => None,
        };
        let mut commands = std::mem::take(&mut self.commands);
        self.engine.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute(now, command);
        }
        self.commands = commands;
        if let Some(channel) = ended.and_then(|work| self.works.remove(&work)) {
            self.publish_load(channel.slot);
        }
        self.outputs
            .ready
            .store(self.engine.is_ready(), Ordering::Relaxed);
    }

    fn publish_load(&self, slot: u16) {
        self.outputs.loads.set(slot, self.engine.load_of(slot));
    }

    fn execute(&mut self, now: Duration, command: NodeCommand) {
        match command {
            NodeCommand::Refuse { request, refusal } => {
                self.send_to_caller(request, CallerCommand::Refuse(refusal));
            }
            NodeCommand::ReadBody { request, limit } => {
                self.send_to_caller(request, CallerCommand::ReadBody(limit));
            }
            NodeCommand::Dispatch(order) => {
                let request = order.attempt.request;
                self.send_to_caller(request, CallerCommand::Dispatch(order));
            }
            NodeCommand::CancelAttempt { attempt } => {
                self.send_to_caller(attempt.request, CallerCommand::Cancel(attempt.number));
            }
            NodeCommand::Deliver { attempt } => {
                self.send_to_caller(attempt.request, CallerCommand::Deliver(attempt.number));
            }
            NodeCommand::AnswerKept { request, reply } => {
                self.send_to_caller(request, CallerCommand::Replay(reply));
            }
            NodeCommand::AnswerGone { request } => {
                self.send_to_caller(request, CallerCommand::ReplyUnavailable);
            }
            NodeCommand::RunWork { work, life } => self.send_to_work(work, WorkCommand::Run(life)),
            NodeCommand::RefuseWork {
                work,
                refusal,
                load,
            } => {
                self.send_to_work(work, WorkCommand::Refuse(refusal, load));
                self.works.remove(&work);
            }
            NodeCommand::ReleaseWork { work } => self.release_work(work),
            NodeCommand::CancelWork { work } => self.send_to_work(work, WorkCommand::Cancel),
            NodeCommand::SendPeer {
                to,
                address,
                message,
            } => {
                let outbound = OutboundMessage {
                    to,
                    address,
                    message,
                };
                if self.outputs.messages.try_send(outbound).is_err() {
                    self.outputs.telemetry.record_ring_full("messages");
                }
            }
            NodeCommand::SendDatagram { to, message } => self.send_datagram(to, &message),
            NodeCommand::AppendGuard { bytes } => {
                self.send_log(LogCommand::Append {
                    stream: LogStream::Guard,
                    bytes,
                });
            }
            NodeCommand::AppendContract { bytes } => {
                self.send_log(LogCommand::Append {
                    stream: LogStream::Contracts,
                    bytes,
                });
            }
            NodeCommand::ReadContract { offset } => self.send_log(LogCommand::ReadBack { offset }),
            NodeCommand::RereadContracts => self.send_log(LogCommand::Reread),
            NodeCommand::FollowSource { follow } => self.send_log(LogCommand::Follow { follow }),
            NodeCommand::FindMembers => self.send_log(LogCommand::FindMembers),
            NodeCommand::RecordIncarnation(incarnation) => {
                let incarnation = incarnation.0;
                self.send_log(LogCommand::RecordIncarnation { incarnation });
            }
            NodeCommand::RecordLeaving(servers) => self.outputs.leaving_record.request(servers),
            NodeCommand::ContractsChanged => {
                self.notes.refresh_objectives(self.engine.table());
                self.outputs
                    .memory
                    .enforce(self.engine.queues_by_deadline());
            }
            NodeCommand::Drained => self.outputs.drained.store(true, Ordering::Release),
            NodeCommand::Note(note) => {
                if let Some(request) = self.notes.record(now, &note) {
                    self.callers.remove(&request);
                }
            }
        }
    }

    fn send_to_caller(&self, request: RequestId, command: CallerCommand) {
        if let Some(commands) = self.callers.get(&request) {
            let _ = commands.try_send(command);
        }
    }

    fn send_to_work(&self, work: WorkId, command: WorkCommand) {
        if let Some(channel) = self.works.get(&work) {
            let _ = channel.commands.try_send(command);
        }
    }

    /// Sends the last command to work whose backend server crashed, and forgets the work.
    fn release_work(&mut self, work: WorkId) {
        self.send_to_work(work, WorkCommand::Release);
        if let Some(channel) = self.works.remove(&work) {
            self.publish_load(channel.slot);
        }
    }

    fn send_datagram(&self, to: std::net::SocketAddr, message: &RosterMessage) {
        match encode_datagram(&self.outputs.keys, message) {
            Ok(bytes) => {
                self.gossip_bytes.add(bytes.len() as u64);
                let _ = self.outputs.gossip.send_to(&bytes, to);
            }
            Err(error) => tracing::debug!(%to, %error, "failed to encode a datagram"),
        }
    }

    fn send_log(&self, command: LogCommand) {
        if self.outputs.log_commands.try_send(command).is_err() {
            self.outputs.telemetry.record_ring_full("appends");
        }
    }
}

/// Returns the kind of an event, for the report of a slow one.
const fn event_kind(event: &NodeEvent) -> &'static str {
    match event {
        NodeEvent::Tick => "tick",
        NodeEvent::RequestArrived(_)
        | NodeEvent::BodyRead { .. }
        | NodeEvent::BodyNotKept { .. } => "request",
        NodeEvent::WorkOffered(_) | NodeEvent::WorkEnded(_) => "work",
        NodeEvent::FleetContract(_)
        | NodeEvent::PeerReceived {
            message: PeerMessage::ContractPage { .. } | PeerMessage::ContractPull { .. },
            ..
        } => "contract",
        NodeEvent::PeerReceived { .. } => "peer message",
        NodeEvent::DatagramReceived { .. } => "gossip",
        _ => "other",
    }
}
