//! One instance: a daemon process, its backend server, and the fault-injecting proxies on its
//! links.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::callers::send_once;
use crate::plan::{BackendMode, LinkFault, ProxyLink};
use crate::processes::process::TestProcess;
use crate::processes::wait_for;
use crate::proxy::LoopbackProxy;
use crate::record::{BodyDigest, ObservedRun, SessionRecord};
use crate::support::backend::reply_headers;
use crate::support::client::post;
use crate::support::http::{ReceivedRequest, ServerAction, serve};

const DAEMON: &str = env!("CARGO_BIN_EXE_sycamorelinkd");
/// Interval between heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Response timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Difference between the last octets of a proxy's address and of its daemon's address.
const PROXY_OCTET_OFFSET: usize = 100;
/// Service time of a healthy backend server.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Requests per second that a limited backend server takes.
const LIMITED_RATE: f64 = 2.0;
/// Service time of a slow backend server.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(500);

/// State of an instance's daemon process.
#[derive(Default)]
pub struct ProcessState {
    /// `None` while the daemon is not running.
    pub process: Option<TestProcess>,
    /// Number of daemon processes started so far.
    pub number: u32,
    /// Whether another thread is already going to restart the process.
    pub restart_pending: bool,
    /// Numbers of the processes that were killed.
    pub killed: Vec<u32>,
    /// Numbers of the processes that received SIGTERM.
    pub shutdown_requested: Vec<u32>,
    /// Start and end of each pause by SIGSTOP and SIGCONT.
    pub pauses: Vec<(Instant, Instant)>,
    caller_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
}

struct BackendState {
    incarnation: Mutex<Arc<str>>,
    mode: Mutex<BackendMode>,
    draining: AtomicBool,
    replacements: AtomicU64,
    request_count: AtomicU64,
}

/// An instance under test.
pub struct SoakNode {
    pub index: usize,
    pub name: String,
    directory: PathBuf,
    store_proxy: LoopbackProxy,
    backend_proxy: LoopbackProxy,
    peer_proxy: Mutex<Option<LoopbackProxy>>,
    backend: Arc<BackendState>,
    state: Mutex<ProcessState>,
}

impl SoakNode {
    pub fn new(
        seed: u64,
        index: usize,
        directory: PathBuf,
        store: SocketAddr,
        record: &SessionRecord,
    ) -> Self {
        let name = format!("node-{seed}-{index}");
        let backend = Arc::new(BackendState {
            incarnation: Mutex::new(Arc::from(format!("i-{index}-0"))),
            mode: Mutex::new(BackendMode::Healthy),
            draining: AtomicBool::new(false),
            replacements: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
        });
        let (shared, runs) = (Arc::clone(&backend), record.clone());
        let backend_address = serve(move |request| handle_request(&shared, &runs, request));
        Self {
            index,
            name,
            directory,
            store_proxy: LoopbackProxy::start(Ipv4Addr::LOCALHOST, move |_| store),
            backend_proxy: LoopbackProxy::start(Ipv4Addr::LOCALHOST, move |_| backend_address),
            peer_proxy: Mutex::new(None),
            backend,
            state: Mutex::default(),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().expect("the process")
    }

    /// Returns the daemon's address for callers with the instance index and process number, or
    /// `None` while the daemon is not running.
    pub fn caller_address(&self) -> Option<(SocketAddr, (usize, u32))> {
        let state = self.state();
        state
            .caller_address
            .map(|address| (address, (self.index, state.number)))
    }

    /// Starts a daemon process. Other daemons reach its peer port through a proxy on a separate
    /// loopback address.
    pub fn start(&self) {
        let proxy_ip = self.loopback_address(PROXY_OCTET_OFFSET);
        let daemon_ip = self.loopback_address(0);
        let daemon_address = move |port| SocketAddr::from((daemon_ip, port));
        let peers = LoopbackProxy::start(proxy_ip, daemon_address);
        let settings = json!({
            "instance": self.name,
            "domain": format!("d{}", self.index % 2),
            "interface": "platform",
            "service": "orders",
            "advertise": proxy_ip.to_string(),
            "listen": {
                "peers": daemon_address(peers.address.port()).to_string(),
                "gossip": format!("{proxy_ip}:0"),
                "ready": "127.0.0.1:0",
            },
            "log": { "address": self.store_proxy.address.to_string() },
            "fleet_keys": {
                "current": { "id": "k1", "secret": "a-secret-of-at-least-32-characters" },
            },
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
        state.caller_address = Some(address("callers"));
        state.operator_address = Some(address("operators"));
        state.number += 1;
        state.process = Some(process);
        state.restart_pending = false;
        *self.peer_proxy.lock().expect("the proxy") = Some(peers);
    }

    /// Returns a loopback address that no other program uses. The daemon and its proxy bind the
    /// same port on two such addresses, so a port that is free on one must be free on the other.
    fn loopback_address(&self, offset: usize) -> Ipv4Addr {
        let session = std::process::id().to_be_bytes();
        let last = u8::try_from(self.index + 1 + offset).expect("few nodes");
        Ipv4Addr::new(127, session[2] | 1, session[3], last)
    }

    /// Sends a signal to the daemon if it is running.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.state().process {
            process.signal(name);
        }
    }

    /// Stops the daemon with SIGSTOP for a duration and then resumes it.
    pub fn pause(&self, time: Duration) {
        let begin = Instant::now();
        self.signal("STOP");
        thread::sleep(time);
        self.signal("CONT");
        self.state().pauses.push((begin, Instant::now()));
    }

    /// Kills the daemon. Returns whether the caller must restart it.
    pub fn kill(&self) -> bool {
        let mut state = self.state();
        let number = state.number;
        state.killed.push(number);
        if let Some(mut process) = state.process.take() {
            process.kill();
        }
        state.caller_address = None;
        state.operator_address = None;
        !std::mem::replace(&mut state.restart_pending, true)
    }

    /// Sends SIGTERM to the daemon. Returns whether the caller must restart it after it exits.
    pub fn request_shutdown(&self) -> bool {
        let mut state = self.state();
        let number = state.number;
        state.shutdown_requested.push(number);
        if let Some(process) = &state.process {
            process.signal("TERM");
        }
        !std::mem::replace(&mut state.restart_pending, true)
    }

    /// Waits until the daemon exits after SIGTERM. Returns whether it exited successfully; a daemon
    /// that was killed in the meantime counts as successful.
    pub fn wait_for_exit(&self) -> bool {
        wait_for("a daemon to leave", || {
            let mut state = self.state();
            let Some(process) = &mut state.process else {
                return Some(true);
            };
            let status = process.try_wait()?;
            state.process = None;
            state.caller_address = None;
            state.operator_address = None;
            Some(status.success())
        })
    }

    pub fn inject_fault(&self, link: ProxyLink, fault: LinkFault) {
        match link {
            ProxyLink::Store => self.store_proxy.inject_fault(fault),
            ProxyLink::Backend => self.backend_proxy.inject_fault(fault),
            ProxyLink::Peers => {
                if let Some(proxy) = &*self.peer_proxy.lock().expect("the proxy") {
                    proxy.inject_fault(fault);
                }
            }
        }
    }

    pub fn set_backend_mode(&self, mode: BackendMode) {
        *self.backend.mode.lock().expect("the mode") = mode;
    }

    /// Replaces the backend server with a new incarnation at the same address.
    pub fn replace_backend(&self) {
        let number = self.backend.replacements.fetch_add(1, Ordering::Relaxed) + 1;
        let mut incarnation = self.backend.incarnation.lock().expect("the incarnation");
        *incarnation = Arc::from(format!("i-{}-{number}", self.index));
        self.backend.draining.store(false, Ordering::Relaxed);
    }

    /// Makes the backend server report `draining` in its heartbeats.
    pub fn drain_backend(&self) {
        self.backend.draining.store(true, Ordering::Relaxed);
    }

    /// Sends heartbeats of the backend server until `stop` is set.
    pub fn send_heartbeats(&self, record: &SessionRecord, stop: &AtomicBool) {
        let mut seq = 0;
        while !stop.load(Ordering::Relaxed) {
            seq += 1;
            self.send_heartbeat(seq, record);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn send_heartbeat(&self, seq: u64, record: &SessionRecord) {
        let Some(operators) = self.state().operator_address else {
            return;
        };
        let incarnation = Arc::clone(&*self.backend.incarnation.lock().expect("the incarnation"));
        let draining = self.backend.draining.load(Ordering::Relaxed);
        let body = json!({
            "service": "orders", "address": self.backend_proxy.address.to_string(),
            "zone": format!("d{}", self.index % 2), "version": "v1", "slots": 5,
            "state": if draining { "draining" } else { "ready" }, "warmupLeft": "0ms", "seq": seq,
        });
        let path = format!("/instances/{incarnation}/heartbeat");
        let answered = send_once(
            operators,
            &post(&path, &body.to_string()),
            HEARTBEAT_TIMEOUT,
        );
        if draining && answered.is_ok_and(|response| (200..300).contains(&response.status)) {
            record.add_drain_ack(&incarnation);
        }
    }
}

/// Handles a request at the backend server. The run is recorded before the response is produced.
fn handle_request(
    backend: &BackendState,
    record: &SessionRecord,
    request: &ReceivedRequest,
) -> ServerAction {
    let incarnation = Arc::clone(&*backend.incarnation.lock().expect("the incarnation"));
    let mode = *backend.mode.lock().expect("the mode");
    let expected = request.header("expected-instance");
    if !expected.is_empty() && expected != &*incarnation {
        let identity = vec![("Instance-Id".to_owned(), incarnation.to_string())];
        return ServerAction::Reply(421, identity, Vec::new());
    }
    let mut headers = reply_headers(request);
    let limit = (mode == BackendMode::Limited).then_some(LIMITED_RATE);
    if let Some(limit) = limit {
        headers.push(("Server-Limit".to_owned(), limit.to_string()));
    }
    if backend.draining.load(Ordering::Relaxed) {
        headers.push(("Server-Leaving".to_owned(), "1".to_owned()));
    }
    if mode == BackendMode::Shedding {
        headers.push(("Not-Executed".to_owned(), "1".to_owned()));
        return ServerAction::Reply(503, headers, Vec::new());
    }
    let every_other = backend
        .request_count
        .fetch_add(1, Ordering::Relaxed)
        .is_multiple_of(2);
    let status = match mode {
        BackendMode::Failing if every_other => 500,
        BackendMode::Resetting if every_other => 0,
        BackendMode::Silent | BackendMode::Truncating => 0,
        _ => 200,
    };
    let run = ObservedRun {
        at: Instant::now(),
        incarnation: Arc::clone(&incarnation),
        status,
        limit,
        body: BodyDigest::of(&request.body),
    };
    record.add_run(request.header("request-id"), run);
    thread::sleep(if mode == BackendMode::Slow {
        SLOW_SERVICE_TIME
    } else {
        SERVICE_TIME
    });
    let body = format!("{} {} by {incarnation}", request.method, request.target).into_bytes();
    match (mode, status) {
        (BackendMode::Silent, _) => ServerAction::Unanswered,
        (BackendMode::Truncating, _) => {
            let half = body[..body.len() / 2].to_vec();
            ServerAction::UntilClose(headers, half, true)
        }
        (_, 0) => ServerAction::Reset,
        (_, status) => ServerAction::Reply(status, headers, body),
    }
}
