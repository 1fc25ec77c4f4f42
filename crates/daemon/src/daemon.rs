//! One running daemon: its threads, started in order and stopped in the reverse.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::{InstanceId, NodeClock, SystemClock};
use sycamorelink_engine::{ContractForm, NodeEngine, NodeEvent};
use sycamorelink_roster::MemberFacts;
use sycamorelink_wire::{FleetKeys, PeerIdentity, WireSettings};
use tokio::sync::watch;

use crate::border::{ContractSource, DaemonBorders, MemberEntry};
use crate::callers::{CallerContext, CallerSockets, serve_callers};
use crate::gossip::start_gossip;
use crate::http_server::{HttpPorts, PortServer};
use crate::inbox::{INBOX_DEPTH, ShellInput};
use crate::log_thread::{LogParts, start_log};
use crate::members::MemberParts;
use crate::metrics::NodeTelemetry;
use crate::metrics_thread::start_metrics;
use crate::operators::{OperatorContext, OperatorGate, serve_operators};
use crate::ready::{serve_metrics_page, serve_ready};
use crate::ring::{RingSender, bounded_ring};
use crate::settings::DaemonSettings;
use crate::shell::{DecisionShell, ShellPorts};
use crate::sockets::{DaemonAddresses, DaemonSockets};
use crate::source_thread::{SourceParts, start_source};
use crate::starting::{
    earlier_entries, engine_settings, fleet_keys, known_incarnation, member_facts,
};
use crate::work::{BackendDirectory, LoadBoard, WorkParts, WorkThread};

/// Greatest request body that is held so that it can be sent again, in bytes.
const BODY_BUFFER: usize = 64 << 10;
/// Longest wait for a connection to a peer. A peer that is lost refuses nothing, and the request that
/// waits is sent to another only afterwards.
const PEER_CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Time that the last replies to peers get to be written out.
const REPLY_TIME: Duration = Duration::from_secs(5);
/// Time between two looks at whether a drain is done.
const DRAIN_STEP: Duration = Duration::from_millis(20);
/// Time that the last datagrams and the last bytes of answers get. The HTTP library's own graceful
/// stop waits for idle connections as well, for half a minute.
const GOODBYE_TIME: Duration = Duration::from_millis(100);

/// A daemon that is being started.
#[derive(Debug)]
pub struct Daemon;

impl Daemon {
    /// Starts all threads of a daemon.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened on, a section of the settings is wrong or a thread
    /// cannot be started.
    pub fn start(settings: DaemonSettings) -> anyhow::Result<DaemonHandle> {
        let borders = DaemonBorders::own(&settings);
        Self::start_with(settings, borders)
    }

    /// Starts all threads of a daemon with these borders.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a daemon is started once from its settings"
    )]
    pub fn start_with(
        settings: DaemonSettings,
        mut borders: DaemonBorders,
    ) -> anyhow::Result<DaemonHandle> {
        let sockets = DaemonSockets::bind(&settings)?;
        let addresses = sockets.addresses()?;
        let clock: Arc<dyn NodeClock> = Arc::new(SystemClock::start());
        let earlier = earlier_entries(&settings, borders.members.as_deref())?;
        let least = known_incarnation(&settings, &earlier);
        let facts = member_facts(&settings, &addresses, clock.as_ref(), least);
        let keys = fleet_keys(&settings);
        let mut engine_settings = engine_settings(&settings)?;
        let contracts = borders.contracts.take();
        if contracts.is_some() {
            engine_settings.contracts = ContractForm::Fleet;
        }
        let gate = OperatorGate::new(&settings.operators)
            .context("the operators' accounts have findings")?;
        let (inbox, receiver) = bounded_ring(INBOX_DEPTH);
        let shared = SharedParts::new(&settings, clock, inbox, facts.instance, borders);
        let metrics_thread = start_metrics(shared.telemetry.clone(), Arc::clone(&shared.stop))?;
        let work = start_work(&shared, sockets.peers, keys.clone())?;
        let (appends, log_thread) = match contracts {
            Some(contracts) => {
                start_source(shared.source_parts(contracts, &facts, earlier, settings.first_start))?
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
        let ports = ShellPorts {
            messages: work.messages.clone(),
            appends,
            gossip: sockets.gossip,
            keys: Arc::new(keys),
            loads: shared.loads.clone(),
            directory: shared.directory.clone(),
            drained: Arc::clone(&shared.drained),
            ready: Arc::clone(&shared.ready),
            telemetry: shared.telemetry.clone(),
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
        let shell = DecisionShell::new(engine, Arc::clone(&shared.clock), receiver, ports);
        let decision = thread::Builder::new()
            .name("decision".to_owned())
            .spawn(move || shell.run())
            .context("cannot start the decision thread")?;
        let callers = serve_callers(
            PortServer::new(settings.http_workers),
            sockets.callers,
            Arc::new(shared.caller_context(&settings, &work)),
        )
        .start("callers")?;
        let mut small = serve_operators(
            PortServer::new(1),
            sockets.operators,
            Arc::new(shared.operator_context(gate, &addresses)),
        );
        if let (Some(listener), Some(page)) = (sockets.metrics, shared.telemetry.page.clone()) {
            small = serve_metrics_page(small, listener, page);
        }
        if let Some(listener) = sockets.ready {
            small = serve_ready(small, listener, Arc::clone(&shared.ready));
        }
        Ok(DaemonHandle {
            addresses,
            shared,
            callers,
            small_ports: small.start("small ports")?,
            work,
            decision,
            log_thread,
            gossip_thread,
            metrics_thread,
        })
    }
}

/// What several threads share.
struct SharedParts {
    instance: InstanceId,
    clock: Arc<dyn NodeClock>,
    inbox: RingSender<ShellInput>,
    borders: DaemonBorders,
    stream: Arc<str>,
    leaving: Arc<AtomicBool>,
    directory: BackendDirectory,
    loads: LoadBoard,
    ready: Arc<AtomicBool>,
    drained: Arc<AtomicBool>,
    drain_wanted: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    drain: watch::Sender<bool>,
    telemetry: NodeTelemetry,
}

impl SharedParts {
    fn new(
        settings: &DaemonSettings,
        clock: Arc<dyn NodeClock>,
        inbox: RingSender<ShellInput>,
        instance: InstanceId,
        borders: DaemonBorders,
    ) -> Self {
        let telemetry = NodeTelemetry::new(
            Arc::clone(&clock),
            settings.telemetry.metrics,
            settings.listen.metrics.is_some(),
        );
        Self {
            instance,
            clock,
            inbox,
            borders,
            leaving: Arc::default(),
            stream: Arc::clone(&settings.log.stream),
            directory: BackendDirectory::default(),
            loads: LoadBoard::default(),
            ready: Arc::default(),
            drained: Arc::default(),
            drain_wanted: Arc::default(),
            stop: Arc::default(),
            drain: watch::Sender::new(false),
            telemetry,
        }
    }

    fn log_parts(&self) -> LogParts {
        LogParts {
            client: Arc::clone(&self.borders.log),
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
        earlier: Vec<MemberEntry>,
        first_start: bool,
    ) -> SourceParts {
        let entry = MemberEntry {
            name: Arc::clone(&facts.name),
            gossip: facts.gossip_address,
            incarnation: facts.instance.incarnation.0,
        };
        let members = self.borders.members.clone().map(|directory| MemberParts {
            directory,
            entry,
            earlier,
            first_start,
            clock: Arc::clone(&self.clock),
            inbox: self.inbox.clone(),
            seed: self.instance.node.0,
        });
        SourceParts {
            contracts,
            members,
            leave: Arc::clone(&self.drain_wanted),
            clock: Arc::clone(&self.clock),
            inbox: self.inbox.clone(),
            seed: self.instance.node.0,
            telemetry: self.telemetry.clone(),
        }
    }

    fn caller_context(&self, settings: &DaemonSettings, work: &WorkThread) -> CallerContext {
        CallerContext {
            instance: self.instance,
            inbox: self.inbox.clone(),
            attempts: work.attempts.clone(),
            reply_buffer: settings.reply_buffer,
            body_buffer: BODY_BUFFER.min(settings.body_limit),
            counter: AtomicU64::new(1),
            sockets: CallerSockets::default(),
            border: Arc::clone(&self.borders.caller),
            leaving: Arc::clone(&self.leaving),
        }
    }

    fn operator_context(&self, gate: OperatorGate, addresses: &DaemonAddresses) -> OperatorContext {
        OperatorContext {
            inbox: self.inbox.clone(),
            log: Arc::clone(&self.borders.log),
            announcement: self.borders.announcement.clone(),
            stream: Arc::clone(&self.stream),
            gate,
            clock: Arc::clone(&self.clock),
            directory: self.directory.clone(),
            ready: Arc::clone(&self.ready),
            drain_wanted: Arc::clone(&self.drain_wanted),
            own_ip: addresses.operators.ip(),
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
            drain_limit: REPLY_TIME,
            connect_limit: PEER_CONNECT_LIMIT,
            ..WireSettings::default()
        },
        listener,
        inbox: shared.inbox.clone(),
        directory: shared.directory.clone(),
        loads: shared.loads.clone(),
        events: shared.telemetry.events.clone(),
        border: Arc::clone(&shared.borders.backend),
        drain: shared.drain.subscribe(),
    })
}

/// A running daemon.
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    shared: SharedParts,
    callers: HttpPorts,
    /// Operators and announcements, readiness and metrics.
    small_ports: HttpPorts,
    work: WorkThread,
    decision: JoinHandle<()>,
    log_thread: JoinHandle<()>,
    gossip_thread: JoinHandle<()>,
    metrics_thread: JoinHandle<()>,
}

impl DaemonHandle {
    /// Where the daemon listens.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Relaxed)
    }

    /// Hands on gossip addresses of other daemons from settings that were read again.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared
            .inbox
            .send_blocking(ShellInput::Event(NodeEvent::SeedsFound(seeds)));
    }

    /// Whether an operator asked the daemon to leave.
    #[must_use]
    pub fn drain_wanted(&self) -> bool {
        self.shared.drain_wanted.load(Ordering::Acquire)
    }

    /// Begins to leave; [`Self::is_drained`] tells when nothing is left.
    pub fn drain(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.shared
            .inbox
            .send_blocking(ShellInput::Event(NodeEvent::DrainRequested));
    }

    /// Whether everything is handed over or finished.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.shared.drained.load(Ordering::Acquire)
    }

    /// Waits for the end of a drain, at most so long; false when something is left.
    #[must_use]
    pub fn wait_drained(&self, limit: Duration) -> bool {
        let until = self.shared.clock.now() + limit;
        while !self.is_drained() {
            if self.shared.clock.now() >= until {
                return false;
            }
            thread::sleep(DRAIN_STEP);
        }
        true
    }

    /// Stops all threads. What is still in flight is cut off; drain first to avoid that.
    pub fn stop(self) {
        self.shared
            .inbox
            .send_blocking(ShellInput::Event(NodeEvent::Departed));
        thread::sleep(GOODBYE_TIME);
        self.callers.stop(false);
        self.small_ports.stop(false);
        let _ = self.shared.drain.send(true);
        self.shared.stop.store(true, Ordering::Relaxed);
        self.shared.inbox.send_blocking(ShellInput::Stop);
        let _ = self.decision.join();
        let _ = self.gossip_thread.join();
        self.work.join();
        let _ = self.log_thread.join();
        let _ = self.metrics_thread.join();
    }
}
