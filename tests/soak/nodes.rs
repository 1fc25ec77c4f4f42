//! One instance: a daemon as a process, the backend server beside it, and the proxies in its ways.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::callers::ask_once;
use crate::plan::{BackendMode, Way, WayFault};
use crate::processes::process::TestProcess;
use crate::processes::wait_for;
use crate::proxy::LoopbackProxy;
use crate::record::{SeenRun, SoakLedger};
use crate::support::backend::own_headers;
use crate::support::client::post;
use crate::support::http::{Reaction, SeenRequest, serve};

const DAEMON: &str = env!("CARGO_BIN_EXE_sycamorelinkd");
/// Pause between two heartbeats of a backend server.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
/// Distance of a proxy's address from that of the daemon behind it.
const PROXY_OCTET: usize = 100;
/// Time that a sound backend server takes for a request, and a slow one.
const WORK_TIME: Duration = Duration::from_millis(5);
const SLOW_TIME: Duration = Duration::from_millis(500);

/// The process of an instance, as far as there is one.
#[derive(Default)]
pub struct ProcessState {
    pub process: Option<TestProcess>,
    /// Counts the processes of the instance.
    pub number: u32,
    /// Somebody will start it again.
    pub pending: bool,
    /// Numbers of those that were killed, and of those that were asked to leave.
    pub killed: Vec<u32>,
    pub asked: Vec<u32>,
    /// When it stood still.
    pub pauses: Vec<(Instant, Instant)>,
    callers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
}

struct BackendState {
    life: Mutex<Arc<str>>,
    mode: Mutex<BackendMode>,
    leaving: AtomicBool,
    lives: AtomicU64,
    turn: AtomicU64,
}

/// An instance.
pub struct SoakNode {
    pub index: usize,
    pub name: String,
    directory: PathBuf,
    store: LoopbackProxy,
    way_back: LoopbackProxy,
    way_peers: Mutex<Option<LoopbackProxy>>,
    backend: Arc<BackendState>,
    state: Mutex<ProcessState>,
}

impl SoakNode {
    pub fn new(
        seed: u64,
        index: usize,
        directory: PathBuf,
        store: SocketAddr,
        ledger: &SoakLedger,
    ) -> Self {
        let name = format!("node-{seed}-{index}");
        let backend = Arc::new(BackendState {
            life: Mutex::new(Arc::from(format!("i-{index}-0"))),
            mode: Mutex::new(BackendMode::Sound),
            leaving: AtomicBool::new(false),
            lives: AtomicU64::new(0),
            turn: AtomicU64::new(0),
        });
        let (shared, runs) = (Arc::clone(&backend), ledger.clone());
        let served = serve(move |request| react(&shared, &runs, request));
        Self {
            index,
            name,
            directory,
            store: LoopbackProxy::start(Ipv4Addr::LOCALHOST, move |_| store),
            way_back: LoopbackProxy::start(Ipv4Addr::LOCALHOST, move |_| served),
            way_peers: Mutex::new(None),
            backend,
            state: Mutex::default(),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().expect("the process")
    }

    /// Where callers reach it now, and which process that is.
    pub fn callers(&self) -> Option<(SocketAddr, (usize, u32))> {
        let state = self.state();
        state
            .callers
            .map(|address| (address, (self.index, state.number)))
    }

    /// Starts a process. Others reach its peers' port through a proxy on an address of its own.
    pub fn start(&self) {
        let own = self.own_address(PROXY_OCTET);
        let inner = self.own_address(0);
        let behind = move |port| SocketAddr::from((inner, port));
        let peers = LoopbackProxy::start(own, behind);
        let settings = json!({
            "instance": self.name,
            "domain": format!("d{}", self.index % 2),
            "interface": "platform",
            "service": "orders",
            "advertise": own.to_string(),
            "listen": {
                "peers": behind(peers.address.port()).to_string(),
                "gossip": format!("{own}:0"),
                "ready": "127.0.0.1:0",
            },
            "log": { "address": self.store.address.to_string() },
            "fleet_keys": { "current": { "id": "k1", "secret": "a-secret-of-at-least-32-characters" } },
            "drain": { "serving": "1500ms", "limit": "4s" },
            "limits": { "gate": { "warm_up": "0s" } },
            "telemetry": { "log": { "format": "json", "level": "debug" } },
            "platform": { "retry_share": 0.2, "retry_slack": 50 },
        });
        let path = self.directory.join(format!("{}.json", self.name));
        fs::write(&path, settings.to_string()).expect("settings are written");
        let process = TestProcess::start(DAEMON, &["--settings", path.to_str().expect("a path")]);
        let mut state = self.state();
        let address = |name: &str| process.address(name).parse().expect("an address");
        state.callers = Some(address("callers"));
        state.operators = Some(address("operators"));
        state.number += 1;
        state.process = Some(process);
        state.pending = false;
        *self.way_peers.lock().expect("the way") = Some(peers);
    }

    /// A loopback address that nothing else listens on or calls from, so that a port that is free at
    /// one of them is free at the other.
    fn own_address(&self, offset: usize) -> Ipv4Addr {
        let session = std::process::id().to_be_bytes();
        let last = u8::try_from(self.index + 1 + offset).expect("few nodes");
        Ipv4Addr::new(127, session[2] | 1, session[3], last)
    }

    /// Sends a signal, if there is a process.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.state().process {
            process.signal(name);
        }
    }

    /// Lets the process stand still for a time.
    pub fn pause(&self, time: Duration) {
        let begin = Instant::now();
        self.signal("STOP");
        thread::sleep(time);
        self.signal("CONT");
        self.state().pauses.push((begin, Instant::now()));
    }

    /// Ends the process at once. Whether the caller has to start it again.
    pub fn kill(&self) -> bool {
        let mut state = self.state();
        let number = state.number;
        state.killed.push(number);
        if let Some(mut process) = state.process.take() {
            process.kill();
        }
        state.callers = None;
        state.operators = None;
        !std::mem::replace(&mut state.pending, true)
    }

    /// Asks the process to leave. Whether the caller has to start it again once it has ended.
    pub fn ask_to_leave(&self) -> bool {
        let mut state = self.state();
        let number = state.number;
        state.asked.push(number);
        if let Some(process) = &state.process {
            process.signal("TERM");
        }
        !std::mem::replace(&mut state.pending, true)
    }

    /// Waits until a process that was asked to leave has ended; whether it ended in order, or was
    /// killed meanwhile.
    pub fn wait_for_end(&self) -> bool {
        wait_for("a daemon to leave", || {
            let mut state = self.state();
            let Some(process) = &mut state.process else {
                return Some(true);
            };
            let status = process.try_end()?;
            state.process = None;
            state.callers = None;
            state.operators = None;
            Some(status.success())
        })
    }

    pub fn harm(&self, way: Way, fault: WayFault) {
        match way {
            Way::Store => self.store.harm(fault),
            Way::Backend => self.way_back.harm(fault),
            Way::Peers => {
                if let Some(proxy) = &*self.way_peers.lock().expect("the way") {
                    proxy.harm(fault);
                }
            }
        }
    }

    pub fn set_mode(&self, mode: BackendMode) {
        *self.backend.mode.lock().expect("the mode") = mode;
    }

    /// Another backend server takes the place of the one there is, at the same address.
    pub fn replace_backend(&self) {
        let number = self.backend.lives.fetch_add(1, Ordering::Relaxed) + 1;
        let mut life = self.backend.life.lock().expect("the life");
        *life = Arc::from(format!("i-{}-{number}", self.index));
        self.backend.leaving.store(false, Ordering::Relaxed);
    }

    /// The backend server says from now on that it leaves.
    pub fn drain_backend(&self) {
        self.backend.leaving.store(true, Ordering::Relaxed);
    }

    /// Sends heartbeats until told to stop.
    pub fn beat_until(&self, ledger: &SoakLedger, stop: &AtomicBool) {
        let mut seq = 0;
        while !stop.load(Ordering::Relaxed) {
            seq += 1;
            self.beat(seq, ledger);
            thread::sleep(HEARTBEAT);
        }
    }

    fn beat(&self, seq: u64, ledger: &SoakLedger) {
        let Some(operators) = self.state().operators else {
            return;
        };
        let life = Arc::clone(&*self.backend.life.lock().expect("the life"));
        let leaving = self.backend.leaving.load(Ordering::Relaxed);
        let body = json!({
            "service": "orders", "address": self.way_back.address.to_string(),
            "zone": format!("d{}", self.index % 2), "version": "v1", "slots": 5,
            "state": if leaving { "draining" } else { "ready" }, "warmupLeft": "0ms", "seq": seq,
        });
        let path = format!("/instances/{life}/heartbeat");
        let answered = ask_once(operators, &post(&path, &body.to_string()), HEARTBEAT_LIMIT);
        if leaving && answered.is_ok_and(|answer| (200..300).contains(&answer.status)) {
            ledger.leaves(&life);
        }
    }
}

/// What the backend server does with a request; a run is noted before it has any effect.
fn react(backend: &BackendState, ledger: &SoakLedger, request: &SeenRequest) -> Reaction {
    let life = Arc::clone(&*backend.life.lock().expect("the life"));
    let mode = *backend.mode.lock().expect("the mode");
    let expected = request.header("expected-instance");
    if !expected.is_empty() && expected != &*life {
        let told = vec![("Instance-Id".to_owned(), life.to_string())];
        return Reaction::Reply(421, told, Vec::new());
    }
    let mut headers = own_headers(request);
    if mode == BackendMode::Shedding {
        headers.push(("Not-Executed".to_owned(), "1".to_owned()));
        return Reaction::Reply(503, headers, Vec::new());
    }
    let every_other = backend
        .turn
        .fetch_add(1, Ordering::Relaxed)
        .is_multiple_of(2);
    let status = match mode {
        BackendMode::Failing if every_other => 500,
        BackendMode::Resetting if every_other => 0,
        BackendMode::Silent | BackendMode::Halving => 0,
        _ => 200,
    };
    let run = SeenRun {
        at: Instant::now(),
        life: Arc::clone(&life),
        status,
    };
    ledger.ran(request.header("request-id"), run);
    thread::sleep(if mode == BackendMode::Slow {
        SLOW_TIME
    } else {
        WORK_TIME
    });
    let body = format!("{} {} by {life}", request.method, request.target).into_bytes();
    match (mode, status) {
        (BackendMode::Silent, _) => Reaction::Silence,
        (BackendMode::Halving, _) => {
            let half = body[..body.len() / 2].to_vec();
            Reaction::Endless(headers, half, true)
        }
        (_, 0) => Reaction::Reset,
        (_, status) => Reaction::Reply(status, headers, body),
    }
}
