//! A daemon with a log service, a receiver of its metrics, and all events of the process.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use sycamorelink_contract::ContentDigest;
use sycamorelink_daemon::settings::{DaemonSettings, OperatorAccount, OperatorRole};
use sycamorelink_daemon::{Daemon, DaemonHandle};
use sycamorelink_telemetry::{LogFormat, LogSettings};

use super::http::{HttpReply, call};
use super::log::start_log;

/// Longest wait for anything.
const LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);
/// Greatest datagram of metrics, in bytes.
const DATAGRAM_BYTES: usize = 65536;
/// Token of the administrator that every daemon here knows.
pub const ADMIN_TOKEN: &str = "authorization: Bearer admin-token";

/// Looks until something is there.
pub fn wait_for<T, F>(what: &str, mut look: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let until = Instant::now() + LIMIT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "gave up waiting for {what}");
        thread::sleep(PAUSE);
    }
}

#[derive(Clone, Default)]
struct LineKeeper(Arc<Mutex<Vec<u8>>>);

impl io::Write for LineKeeper {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn keeper() -> &'static LineKeeper {
    static KEEPER: OnceLock<LineKeeper> = OnceLock::new();
    KEEPER.get_or_init(|| {
        let keeper = LineKeeper::default();
        let writer = keeper.clone();
        let settings = LogSettings {
            format: LogFormat::Json,
            level: "off,sycamorelink::event=debug".to_owned(),
            ..LogSettings::default()
        };
        let subscriber = settings.subscriber(move || writer.clone());
        let subscriber = subscriber.expect("the level is valid");
        tracing::subscriber::set_global_default(subscriber).expect("set once");
        keeper
    })
}

/// The first event with this code whose field has this value.
pub fn wait_event(code: &str, field: &str, value: &str) -> Value {
    wait_for(&format!("{code} with {field} {value}"), || {
        let bytes = keeper().0.lock().expect("no writer panics").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        text.lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .find(|event| event["code"] == code && event[field] == value)
    })
}

/// One running daemon.
pub struct NodeFixture {
    pub handle: DaemonHandle,
    receiver: UdpSocket,
    received: String,
}

impl NodeFixture {
    /// Starts a daemon that has an administrator of this name.
    pub fn start(operator: &str) -> Self {
        keeper();
        let receiver = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        receiver.set_nonblocking(true).expect("the socket is set");
        let metrics = receiver.local_addr().expect("the socket has an address");
        let hash = ContentDigest::of(b"admin-token").to_string();
        let account = OperatorAccount {
            name: Arc::from(operator),
            token_sha256: Arc::from(hash),
            role: OperatorRole::Admin,
            team: None,
        };
        let settings = DaemonSettings::builder(operator, "domain-1")
            .log_address(start_log())
            .fleet_key("k1", "0123456789abcdef0123456789abcdef")
            .operator(account)
            .adjust(|settings| settings.telemetry.metrics = Some(metrics))
            .build()
            .expect("the settings are right");
        Self {
            handle: Daemon::start(settings).expect("the daemon starts"),
            receiver,
            received: String::new(),
        }
    }

    /// Calls the operators' port as the administrator.
    pub fn admin(&self, head: &str, headers: &[&str], body: &str) -> HttpReply {
        let mut all = vec![ADMIN_TOKEN];
        all.extend(headers);
        call(self.operators(), head, &all, body)
    }

    /// Address of the operators' port.
    pub fn operators(&self) -> SocketAddr {
        self.handle.addresses().operators
    }

    /// Publishes the sample contract under this id.
    pub fn publish(&self, id: &str) {
        let contract = sycamorelink_contract::samples::brannock_json();
        let key = format!("idempotency-key: {id}");
        let headers = ["if-match: \"0\"", key.as_str()];
        let reply = self.admin("PUT /v1/contracts/brannock", &headers, &contract);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Waits for a line of the metrics.
    pub fn wait_metric(&mut self, line: &str) {
        wait_for(line, || {
            let mut buffer = vec![0; DATAGRAM_BYTES];
            while let Ok(length) = self.receiver.recv(&mut buffer) {
                self.received
                    .push_str(&String::from_utf8_lossy(&buffer[..length]));
                self.received.push('\n');
            }
            self.received
                .lines()
                .any(|found| found == line)
                .then_some(())
        });
    }
}
