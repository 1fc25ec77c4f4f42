//! Test fixture: a daemon with a log service, a metrics receiver, and the captured events of the
//! process.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use sycamorelink_contract::ContentDigest;
use sycamorelink_daemon::adapters::{ContractSource, DaemonAdapters};
use sycamorelink_daemon::settings::{DaemonSettings, OperatorAccount, OperatorRole};
use sycamorelink_daemon::{Daemon, DaemonHandle};
use sycamorelink_telemetry::{LogFormat, LogSettings};

use super::http::{HttpReply, call};
use super::log::start_log;

/// Maximum wait for any condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a metrics datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65536;
/// `Authorization` header of the administrator account of every fixture.
pub const ADMIN_TOKEN: &str = "authorization: Bearer admin-token";

/// Polls until a value is present; panics after [`WAIT_TIMEOUT`].
pub fn wait_for<T, F>(description: &str, mut poll: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "gave up waiting for {description}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_buffer() -> &'static LogBuffer {
    static LOG_BUFFER: OnceLock<LogBuffer> = OnceLock::new();
    LOG_BUFFER.get_or_init(|| {
        let log_buffer = LogBuffer::default();
        let writer = log_buffer.clone();
        let settings = LogSettings {
            format: LogFormat::Json,
            level: "off,sycamorelink::event=debug".to_owned(),
            ..LogSettings::default()
        };
        let subscriber = settings.subscriber(move || writer.clone());
        let subscriber = subscriber.expect("the level is valid");
        tracing::subscriber::set_global_default(subscriber).expect("set once");
        log_buffer
    })
}

/// Waits for an event with this code and field value, and returns the first one.
pub fn wait_event(code: &str, field: &str, value: &str) -> Value {
    wait_for(&format!("{code} with {field} {value}"), || {
        let bytes = log_buffer().0.lock().expect("no writer panics").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        text.lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .find(|event| event["code"] == code && event[field] == value)
    })
}

/// A running daemon and the metrics that it sent.
pub struct NodeFixture {
    pub handle: DaemonHandle,
    receiver: UdpSocket,
    received: String,
}

impl NodeFixture {
    /// Starts a daemon whose instance and administrator account are both named `operator`.
    pub fn start(operator: &str) -> Self {
        Self::start_with_limits(operator, serde_json::json!({}))
    }

    /// Does the same with the section `limits` of the settings.
    pub fn start_with_limits(operator: &str, limits: Value) -> Self {
        Self::start_with(operator, limits, None)
    }

    /// Does the same under the fleet contract of a source.
    pub fn start_fleet(operator: &str, limits: Value, source: Box<dyn ContractSource>) -> Self {
        Self::start_with(operator, limits, Some(source))
    }

    fn start_with(operator: &str, limits: Value, source: Option<Box<dyn ContractSource>>) -> Self {
        log_buffer();
        let receiver = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        receiver.set_nonblocking(true).expect("the socket is set");
        let metrics = receiver.local_addr().expect("the socket has an address");
        let digest = ContentDigest::of(b"admin-token").to_string();
        let account = OperatorAccount {
            name: Arc::from(operator),
            token_sha256: Arc::from(digest),
            role: OperatorRole::Admin,
            team: None,
        };
        let settings = DaemonSettings::builder(operator, "domain-1")
            .log_address(start_log())
            .fleet_key("k1", "0123456789abcdef0123456789abcdef")
            .operator(account)
            .adjust(|settings| {
                settings.telemetry.metrics = Some(metrics);
                settings.limits = limits;
            })
            .build()
            .expect("the settings are right");
        let mut adapters = DaemonAdapters::native(&settings);
        adapters.contracts = source;
        Self {
            handle: Daemon::start_with(settings, adapters).expect("the daemon starts"),
            receiver,
            received: String::new(),
        }
    }

    /// Calls the operators' port with the administrator's token.
    pub fn admin(&self, head: &str, headers: &[&str], body: &str) -> HttpReply {
        let mut all = vec![ADMIN_TOKEN];
        all.extend(headers);
        call(self.operators(), head, &all, body)
    }

    /// Returns the address of the operators' port.
    pub fn operators(&self) -> SocketAddr {
        self.handle.addresses().operators
    }

    /// Publishes the sample contract as the change with this id.
    pub fn publish(&self, id: &str) {
        let contract = sycamorelink_contract::samples::brannock_json();
        let key = format!("idempotency-key: {id}");
        let headers = ["if-match: \"0\"", key.as_str()];
        let reply = self.admin("PUT /v1/contracts/brannock", &headers, &contract);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Waits until the daemon has sent this line of metrics.
    pub fn wait_metric(&mut self, line: &str) {
        wait_for(line, || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
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
