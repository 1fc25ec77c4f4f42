//! One running daemon: its threads, started in order and stopped in the reverse.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use serde::Serialize;
use sycamorelink_core::{InstanceId, NodeClock, NodeId, NodeIncarnation, SystemClock};
use sycamorelink_engine::{EngineSettings, NodeEngine, NodeEvent};
use sycamorelink_log::{HttpLogClient, HttpLogSettings, LogClient};
use sycamorelink_roster::MemberFacts;
use sycamorelink_telemetry::{EventCode, EventFields, emit};
use sycamorelink_wire::{FleetKey, FleetKeys, PeerIdentity, WireSettings};
use tokio::sync::watch;

use crate::callers::{CallerContext, CallerServer, CallerSockets};
use crate::gossip::start_gossip;
use crate::inbox::{INBOX_DEPTH, ShellInput};
use crate::log_thread::{LogParts, start_log};
use crate::metrics::NodeTelemetry;
use crate::metrics_thread::start_metrics;
use crate::operators::{OperatorContext, OperatorGate, OperatorServer};
use crate::ring::{RingSender, bounded_ring};
use crate::settings::DaemonSettings;
use crate::shell::{DecisionShell, ShellPorts};
use crate::work::{BackendDirectory, LoadBoard, WorkParts, WorkThread};

/// Greatest request body that is held so that it can be sent again, in bytes.
const BODY_BUFFER: usize = 64 << 10;
/// Time that the last replies to peers get to be written out.
const REPLY_TIME: Duration = Duration::from_secs(5);
/// Time between two looks at whether a drain is done.
const DRAIN_STEP: Duration = Duration::from_millis(20);
/// Time that the last datagrams and the last bytes of answers get. The HTTP library's own graceful
/// stop waits for idle connections as well, for half a minute.
const GOODBYE_TIME: Duration = Duration::from_millis(100);

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DaemonAddresses {
    /// Callers, HTTP.
    pub callers: SocketAddr,
    /// Operators, HTTP.
    pub operators: SocketAddr,
    /// Inner protocol, TCP.
    pub peers: SocketAddr,
    /// Gossip, UDP.
    pub gossip: SocketAddr,
}

struct DaemonSockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
}

impl DaemonSockets {
    fn bind(settings: &DaemonSettings) -> anyhow::Result<Self> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind_tcp("callers", listen.callers)?,
            operators: bind_tcp("operators", listen.operators)?,
            peers: bind_tcp("peers", listen.peers)?,
            gossip: UdpSocket::bind(listen.gossip)
                .inspect_err(|error| tell_listen_failed(listen.gossip, error))
                .with_context(|| format!("cannot listen for gossip on {}", listen.gossip))?,
        })
    }

    fn addresses(&self) -> anyhow::Result<DaemonAddresses> {
        Ok(DaemonAddresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
            gossip: self.gossip.local_addr()?,
        })
    }
}

fn bind_tcp(name: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .inspect_err(|error| tell_listen_failed(address, error))
        .with_context(|| format!("cannot listen for {name} on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn tell_listen_failed(address: SocketAddr, error: &std::io::Error) {
    let fields = EventFields::new().address(&address).reason(error);
    emit(EventCode::ListenFailed, &fields);
}

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
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a daemon is started once from its settings"
    )]
    pub fn start(settings: DaemonSettings) -> anyhow::Result<DaemonHandle> {
        let sockets = DaemonSockets::bind(&settings)?;
        let addresses = sockets.addresses()?;
        let clock: Arc<dyn NodeClock> = Arc::new(SystemClock::start());
        let facts = member_facts(&settings, &addresses, clock.as_ref());
        let keys = fleet_keys(&settings);
        let engine_settings = engine_settings(&settings)?;
        let gate = OperatorGate::new(&settings.operators)
            .context("the operators' accounts have findings")?;
        let (inbox, receiver) = bounded_ring(INBOX_DEPTH);
        let shared = SharedParts::new(&settings, clock, inbox, facts.instance);
        let metrics_thread = start_metrics(shared.telemetry.clone(), Arc::clone(&shared.stop))?;
        let work = start_work(&shared, sockets.peers, keys.clone())?;
        let (appends, log_thread) = start_log(shared.log_parts())?;
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
        let callers = CallerServer::start(
            Arc::new(shared.caller_context(&settings, &work)),
            sockets.callers,
            settings.http_workers,
        )?;
        let operators = OperatorServer::start(
            Arc::new(shared.operator_context(gate, &addresses)),
            sockets.operators,
        )?;
        Ok(DaemonHandle {
            addresses,
            shared,
            callers,
            operators,
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
    log: Arc<dyn LogClient>,
    stream: Arc<str>,
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
    ) -> Self {
        let log = HttpLogClient::new(settings.log.address, HttpLogSettings::default());
        let telemetry = NodeTelemetry::new(Arc::clone(&clock), settings.telemetry.metrics);
        Self {
            instance,
            clock,
            inbox,
            log: Arc::new(log),
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
            client: Arc::clone(&self.log),
            stream: Arc::clone(&self.stream),
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
        }
    }

    fn operator_context(&self, gate: OperatorGate, addresses: &DaemonAddresses) -> OperatorContext {
        OperatorContext {
            inbox: self.inbox.clone(),
            log: Arc::clone(&self.log),
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
            ..WireSettings::default()
        },
        listener,
        inbox: shared.inbox.clone(),
        directory: shared.directory.clone(),
        loads: shared.loads.clone(),
        events: shared.telemetry.events.clone(),
        drain: shared.drain.subscribe(),
    })
}

fn member_facts(
    settings: &DaemonSettings,
    addresses: &DaemonAddresses,
    clock: &dyn NodeClock,
) -> MemberFacts {
    let millis = u64::try_from(clock.wall().as_millis()).unwrap_or(u64::MAX);
    let advertised = |address: SocketAddr| {
        SocketAddr::new(settings.advertise.unwrap_or(address.ip()), address.port())
    };
    MemberFacts {
        instance: InstanceId {
            node: NodeId::of(&settings.instance),
            incarnation: NodeIncarnation(millis),
        },
        name: Arc::clone(&settings.instance),
        domain: settings.domain.clone(),
        region: Arc::clone(&settings.region),
        peer_address: advertised(addresses.peers),
        gossip_address: advertised(addresses.gossip),
    }
}

fn fleet_keys(settings: &DaemonSettings) -> FleetKeys {
    let current = FleetKey::new(&settings.fleet_keys.current.secret);
    let previous = settings.fleet_keys.previous.as_ref();
    FleetKeys {
        current,
        previous: previous.map(|key| FleetKey::new(&key.secret)),
    }
}

fn engine_settings(settings: &DaemonSettings) -> anyhow::Result<EngineSettings> {
    let mut parts = EngineSettings {
        roster: section("roster", &settings.roster)?,
        guard: section("guard", &settings.guard)?,
        ..EngineSettings::default()
    };
    if let Some(share) = settings.limits.get("share") {
        parts.share = section("limits.share", share)?;
    }
    if let Some(crash) = settings.limits.get("crash") {
        parts.crash = section("limits.crash", crash)?;
    }
    if let Some(gate) = settings.limits.get("gate") {
        parts.gate = section("limits.gate", gate)?;
    }
    parts
        .validate()
        .into_result()
        .context("the settings have findings")?;
    Ok(parts)
}

fn section<T>(place: &str, value: &serde_json::Value) -> anyhow::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    serde_path_to_error::deserialize(value).with_context(|| format!("cannot read {place}"))
}

/// A running daemon.
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    shared: SharedParts,
    callers: CallerServer,
    operators: OperatorServer,
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

    /// Whether an operator asked the daemon to leave.
    #[must_use]
    pub fn drain_wanted(&self) -> bool {
        self.shared.drain_wanted.load(Ordering::Acquire)
    }

    /// Begins to leave; [`Self::is_drained`] tells when nothing is left.
    pub fn drain(&self) {
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
        self.operators.stop();
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
