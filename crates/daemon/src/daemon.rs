//! Starts and stops the threads of a daemon.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::{InstanceId, NodeClock, SystemClock};
use sycamorelink_engine::{ContractMode, NodeEngine, NodeEvent};
use sycamorelink_roster::MemberFacts;
use sycamorelink_telemetry::{EventCode, EventFields};
use sycamorelink_wire::{FleetKeys, PeerIdentity, WireSettings};
use tokio::sync::watch;

use crate::adapters::{ContractSource, DaemonAdapters, DirectoryListing, MemberEntry};
use crate::callers::{CallerContext, CallerSockets, serve_callers};
use crate::decision_loop::{DecisionLoop, DecisionOutputs};
use crate::gossip::start_gossip;
use crate::http_server::{HttpPorts, PortServer};
use crate::inbox::{DecisionInput, INBOX_DEPTH};
use crate::leaving_record::LeavingRecord;
use crate::log_thread::{LogParts, start_log};
use crate::members::MemberParts;
use crate::memory::MemoryAccount;
use crate::metrics::NodeTelemetry;
use crate::metrics_thread::start_metrics;
use crate::open_replies::OpenReplies;
use crate::operators::{OperatorAuthenticator, OperatorContext, serve_operators};
use crate::ready::{serve_metrics_page, serve_ready};
use crate::ring::{RingSender, bounded_ring};
use crate::settings::DaemonSettings;
use crate::sockets::{DaemonAddresses, DaemonSockets};
use crate::source_thread::{SourceParts, start_source};
use crate::startup::{
    engine_settings, fleet_keys, least_incarnation, member_facts, read_directory,
};
use crate::work::{BackendDirectory, LoadBoard, WorkParts, WorkThread};

/// Largest request body that is buffered so that it can be resent, in bytes.
const BODY_REPLAY_LIMIT: usize = 64 << 10;
/// Timeout for a connection to a peer. A lost peer does not refuse connections, and a request that
/// waits for one moves to another peer only after this timeout.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to write the last replies to peers when a daemon stops without a limit.
const REPLY_DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// Interval at which [`DaemonHandle::wait_drained`] checks for the end of the drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time to send the last datagrams and refusals at shutdown. The HTTP library's graceful stop is
/// unsuitable: it waits up to half a minute for idle connections too.
const SHUTDOWN_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Entry point that starts a daemon.
#[derive(Debug)]
pub struct Daemon;

impl Daemon {
    /// Starts all threads of a daemon with the native adapters.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, a section of the settings is invalid or a
    /// thread cannot be started.
    pub fn start(settings: DaemonSettings) -> anyhow::Result<DaemonHandle> {
        let adapters = DaemonAdapters::native(&settings);
        Self::start_with(settings, adapters)
    }

    /// Starts all threads of a daemon with the given adapters.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::start`].
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a daemon is started once from its settings"
    )]
    pub fn start_with(
        settings: DaemonSettings,
        mut adapters: DaemonAdapters,
    ) -> anyhow::Result<DaemonHandle> {
        let sockets = DaemonSockets::bind(&settings)?;
        let addresses = sockets.addresses()?;
        let clock: Arc<dyn NodeClock> = Arc::new(SystemClock::start());
        let listing = read_directory(&settings, adapters.members.as_deref())?;
        let entries = listing.as_ref().map_or(&[][..], |listing| &listing.members);
        let least = least_incarnation(&settings, entries);
        let facts = member_facts(&settings, &addresses, clock.as_ref(), least);
        let keys = fleet_keys(&settings);
        let mut engine_settings = engine_settings(&settings)?;
        let contracts = adapters.contracts.take();
        if contracts.is_some() {
            engine_settings.contracts = ContractMode::Fleet;
        }
        let authenticator = OperatorAuthenticator::new(&settings.operators)
            .context("the operators' accounts have findings")?;
        let (inbox, receiver) = bounded_ring(INBOX_DEPTH);
        let mut shared = SharedParts::new(&settings, clock, inbox, facts.instance, adapters);
        let overload = &engine_settings.overload;
        shared.memory = MemoryAccount::new(overload.objective_from.map(|_| overload.memory));
        // The contract decides.
        shared.memory.enforce(false);
        let metrics_thread = start_metrics(shared.telemetry.clone(), Arc::clone(&shared.stop))?;
        let work = start_work(&shared, sockets.peers, keys.clone())?;
        let (log_commands, log_thread) = match contracts {
            Some(contracts) => {
                start_source(shared.source_parts(contracts, &facts, listing, settings.first_start))?
            }
            None => start_log(shared.log_parts())?,
        };
        let gossip_thread = start_gossip(
            sockets
                .gossip
                .try_clone()
                .context("cannot share the gossip socket")?,
            Arc::new(keys.clone()),
            shared.inbox.clone(),
            shared.telemetry.clone(),
            Arc::clone(&shared.stop),
        )?;
        let outputs = DecisionOutputs {
            messages: work.messages.clone(),
            log_commands,
            gossip: sockets.gossip,
            keys: Arc::new(keys),
            loads: shared.loads.clone(),
            directory: shared.directory.clone(),
            drained: Arc::clone(&shared.drained),
            ready: Arc::clone(&shared.ready),
            telemetry: shared.telemetry.clone(),
            memory: shared.memory.clone(),
            leaving_record: shared.leaving_record.clone(),
            open_replies: shared.open_replies.clone(),
        };
        let seeds = settings.seeds.clone();
        let wall = shared.clock.wall().saturating_sub(shared.clock.now());
        let engine = NodeEngine::new(
            facts.clone(),
            engine_settings,
            wall,
            facts.instance.incarnation.0,
        )
        .seeds(seeds);
        if shared.adapters.members.is_none() {
            let nothing_recorded = NodeEvent::LeavingServersRead(Vec::new());
            let inbox = &shared.inbox;
            inbox.send_blocking(DecisionInput::Event(nothing_recorded));
        }
        let decision_loop = DecisionLoop::new(engine, Arc::clone(&shared.clock), receiver, outputs);
        let decision = thread::Builder::new()
            .name("decision".to_owned())
            .spawn(move || decision_loop.run())
            .context("cannot start the decision thread")?;
        let callers = serve_callers(
            PortServer::new(settings.http_workers),
            sockets.callers,
            Arc::new(shared.caller_context(&settings, &work)),
        )
        .start("callers")?;
        let mut auxiliary = serve_operators(
            PortServer::new(1),
            sockets.operators,
            Arc::new(shared.operator_context(authenticator, &addresses)),
        );
        if let (Some(listener), Some(page)) = (sockets.metrics, shared.telemetry.page.clone()) {
            auxiliary = serve_metrics_page(auxiliary, listener, page);
        }
        if let Some(listener) = sockets.ready {
            auxiliary = serve_ready(auxiliary, listener, Arc::clone(&shared.ready));
        }
        Ok(DaemonHandle {
            addresses,
            shared,
            callers,
            auxiliary_ports: auxiliary.start("small ports")?,
            work,
            decision,
            log_thread,
            gossip_thread,
            metrics_thread,
        })
    }
}

/// State and channels that several threads share.
struct SharedParts {
    instance: InstanceId,
    clock: Arc<dyn NodeClock>,
    inbox: RingSender<DecisionInput>,
    adapters: DaemonAdapters,
    stream: Arc<str>,
    leaving: Arc<AtomicBool>,
    directory: BackendDirectory,
    loads: LoadBoard,
    ready: Arc<AtomicBool>,
    drained: Arc<AtomicBool>,
    drain_requested: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    drain: watch::Sender<bool>,
    telemetry: NodeTelemetry,
    memory: MemoryAccount,
    leaving_record: LeavingRecord,
    open_replies: OpenReplies,
    sockets: CallerSockets,
}

impl SharedParts {
    fn new(
        settings: &DaemonSettings,
        clock: Arc<dyn NodeClock>,
        inbox: RingSender<DecisionInput>,
        instance: InstanceId,
        adapters: DaemonAdapters,
    ) -> Self {
        let telemetry = NodeTelemetry::new(
            Arc::clone(&clock),
            settings.telemetry.metrics,
            settings.listen.metrics.is_some(),
        );
        let open_replies = OpenReplies::default();
        Self {
            instance,
            clock,
            inbox,
            adapters,
            leaving: Arc::default(),
            stream: Arc::clone(&settings.log.stream),
            directory: BackendDirectory::default(),
            loads: LoadBoard::default(),
            ready: Arc::default(),
            drained: Arc::default(),
            drain_requested: Arc::default(),
            stop: Arc::default(),
            drain: watch::Sender::new(false),
            telemetry,
            memory: MemoryAccount::default(),
            leaving_record: LeavingRecord::default(),
            sockets: CallerSockets::new(open_replies.clone()),
            open_replies,
        }
    }

    fn log_parts(&self) -> LogParts {
        LogParts {
            client: Arc::clone(&self.adapters.log),
            stream: Arc::clone(&self.stream),
            clock: Arc::clone(&self.clock),
            inbox: self.inbox.clone(),
            seed: self.instance.node.0,
            telemetry: self.telemetry.clone(),
        }
    }

    fn source_parts(
        &self,
        contracts: Box<dyn ContractSource>,
        facts: &MemberFacts,
        listing: Option<DirectoryListing>,
        first_start: bool,
    ) -> SourceParts {
        let entry = MemberEntry {
            name: Arc::clone(&facts.name),
            gossip: facts.gossip_address,
            incarnation: facts.instance.incarnation.0,
        };
        let members = self.adapters.members.clone().map(|directory| MemberParts {
            directory,
            entry,
            listing,
            first_start,
            clock: Arc::clone(&self.clock),
            inbox: self.inbox.clone(),
            seed: self.instance.node.0,
        });
        SourceParts {
            contracts,
            members,
            leave: Arc::clone(&self.drain_requested),
            clock: Arc::clone(&self.clock),
            inbox: self.inbox.clone(),
            seed: self.instance.node.0,
            telemetry: self.telemetry.clone(),
            leaving_record: self.leaving_record.clone(),
        }
    }

    fn caller_context(&self, settings: &DaemonSettings, work: &WorkThread) -> CallerContext {
        CallerContext {
            instance: self.instance,
            inbox: self.inbox.clone(),
            attempts: work.attempts.clone(),
            reply_buffer: settings.reply_buffer,
            body_buffer: BODY_REPLAY_LIMIT.min(settings.body_limit),
            counter: AtomicU64::new(1),
            sockets: self.sockets.clone(),
            adapter: Arc::clone(&self.adapters.caller),
            leaving: Arc::clone(&self.leaving),
            memory: self.memory.clone(),
            events: self.telemetry.events.clone(),
        }
    }

    fn operator_context(
        &self,
        authenticator: OperatorAuthenticator,
        addresses: &DaemonAddresses,
    ) -> OperatorContext {
        OperatorContext {
            inbox: self.inbox.clone(),
            log: Arc::clone(&self.adapters.log),
            announcement_adapter: self.adapters.announcement.clone(),
            stream: Arc::clone(&self.stream),
            authenticator,
            clock: Arc::clone(&self.clock),
            directory: self.directory.clone(),
            ready: Arc::clone(&self.ready),
            drain_requested: Arc::clone(&self.drain_requested),
            leaving_record: self.leaving_record.clone(),
            listen_ip: addresses.operators.ip(),
        }
    }
}

fn start_work(
    shared: &SharedParts,
    listener: TcpListener,
    keys: FleetKeys,
) -> anyhow::Result<WorkThread> {
    WorkThread::start(WorkParts {
        identity: PeerIdentity::new(shared.instance, keys),
        wire: WireSettings {
            connect_limit: PEER_CONNECT_TIMEOUT,
            ..WireSettings::default()
        },
        listener,
        inbox: shared.inbox.clone(),
        directory: shared.directory.clone(),
        loads: shared.loads.clone(),
        events: shared.telemetry.events.clone(),
        memory: shared.memory.clone(),
        adapter: Arc::clone(&shared.adapters.backend),
        open_replies: shared.open_replies.clone(),
        drain: shared.drain.subscribe(),
    })
}

/// Ports, threads and shared state of a running daemon.
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    shared: SharedParts,
    callers: HttpPorts,
    /// Ports for operators and announcements, readiness and metrics.
    auxiliary_ports: HttpPorts,
    work: WorkThread,
    decision: JoinHandle<()>,
    log_thread: JoinHandle<()>,
    gossip_thread: JoinHandle<()>,
    metrics_thread: JoinHandle<()>,
}

impl DaemonHandle {
    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns whether the daemon can serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Relaxed)
    }

    /// Passes the engine the gossip addresses of other daemons from reloaded settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared
            .inbox
            .send_blocking(DecisionInput::Event(NodeEvent::SeedsFound(seeds)));
    }

    /// Returns whether an operator requested a drain.
    #[must_use]
    pub fn drain_requested(&self) -> bool {
        self.shared.drain_requested.load(Ordering::Acquire)
    }

    /// Starts a drain, which [`Self::is_drained`] reports as complete.
    pub fn drain(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.shared
            .inbox
            .send_blocking(DecisionInput::Event(NodeEvent::DrainRequested));
    }

    /// Returns whether the drain is complete: all work is handed over or finished.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.shared.drained.load(Ordering::Acquire)
    }

    /// Waits up to `limit` for the end of a drain. Returns false when work is left.
    #[must_use]
    pub fn wait_drained(&self, limit: Duration) -> bool {
        let deadline = self.shared.clock.now() + limit;
        while !self.is_drained() {
            if self.shared.clock.now() >= deadline {
                return false;
            }
            thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        true
    }

    /// Stops all threads and aborts requests in flight; [`Self::drain`] completes them first.
    pub fn stop(self) {
        self.stop_within(REPLY_DRAIN_LIMIT);
    }

    /// Like [`Self::stop`], with a limit on the time to write the last replies to peers.
    pub fn stop_within(self, limit: Duration) {
        let stops_at = self.shared.clock.now() + limit;
        self.shared
            .inbox
            .send_blocking(DecisionInput::Event(NodeEvent::Departed));
        thread::sleep(SHUTDOWN_FLUSH_TIME);
        self.close_callers();
        self.callers.stop(false);
        self.auxiliary_ports.stop(false);
        let _ = self.shared.drain.send(true);
        self.shared.stop.store(true, Ordering::Relaxed);
        self.shared.inbox.send_blocking(DecisionInput::Stop);
        let _ = self.decision.join();
        let _ = self.gossip_thread.join();
        let left = stops_at.saturating_sub(self.shared.clock.now());
        self.work.join(left);
        let _ = self.log_thread.join();
        let _ = self.metrics_thread.join();
    }

    /// Closes the callers' connections and reports the replies that are cut off by it.
    fn close_callers(&self) {
        for unsent in self.shared.sockets.close_all() {
            let fields = EventFields::new().address(&unsent.peer).count(&unsent.left);
            let events = &self.shared.telemetry.events;
            events.emit(EventCode::ReplyCutOff, &fields);
        }
    }
}
