//! Types of the settings. Every key has a default here; [`super::check`] rejects settings that lack
//! a required one.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::serde_as;
use sycamorelink_core::{DomainName, ServiceName};
use sycamorelink_engine::{LEAVE_LIMIT, LEAVE_SERVING};
use sycamorelink_telemetry::{LogFormat, LogTarget};

use super::units::{UnitBytes, UnitDuration};

/// Default region of a daemon.
const DEFAULT_REGION: &str = "r1";
/// Default name of the log stream that carries contract changes.
const DEFAULT_STREAM: &str = "contracts";
/// Default maximum size of a request body, in bytes. A contract can set a smaller one.
const DEFAULT_BODY_LIMIT: usize = 64 << 20;
/// Default maximum size of a request's header block, in bytes.
const DEFAULT_HEADER_LIMIT: usize = 16 << 10;
/// Default number of reply bytes buffered before the reply's head is sent to the caller.
const DEFAULT_REPLY_BUFFER: usize = 64 << 10;
/// Time before the platform kills the process in which the daemon writes its last answers and stops.
pub(super) const STOP_TIME: Duration = Duration::from_millis(200);

/// Settings of one daemon, read at its start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this instance, unique in the fleet.
    pub instance: Arc<str>,
    /// Failure domain that this instance belongs to.
    pub domain: DomainName,
    /// Region that the failure domain belongs to.
    pub region: Arc<str>,
    /// Protocols that the daemon uses with callers, backend servers and the platform.
    pub interface: InterfaceProtocol,
    /// Service of this instance's backend server. When set, requests that the backend server sends
    /// are counted under it.
    pub service: Option<ServiceName>,
    /// Addresses that the daemon listens on.
    pub listen: ListenAddresses,
    /// IP address advertised to peers, when it differs from the listening one.
    pub advertise: Option<IpAddr>,
    /// Whether the whole fleet starts for the first time, so that no earlier incarnation of this
    /// instance can have left any state.
    pub first_start: bool,
    /// Gossip addresses of some other daemons to join through.
    pub seeds: Vec<SocketAddr>,
    /// Address and stream of the platform's log service.
    pub log: PlatformLog,
    /// Shared keys that daemons authenticate each other with.
    pub fleet_keys: FleetKeyring,
    /// Number of threads that serve HTTP to callers.
    pub http_workers: usize,
    /// Maximum size of a request body, in bytes.
    #[serde_as(as = "UnitBytes")]
    pub body_limit: usize,
    /// Maximum size of a request's header block, in bytes.
    #[serde_as(as = "UnitBytes")]
    pub header_limit: usize,
    /// Number of reply bytes buffered before the reply's head is sent to the caller.
    #[serde_as(as = "UnitBytes")]
    pub reply_buffer: usize,
    /// Timeouts of a drain.
    pub drain: DrainSettings,
    /// Output of logs and metrics.
    pub telemetry: TelemetrySettings,
    /// Accounts of the operators' API.
    pub operators: Vec<OperatorAccount>,
    /// Section of the package `sycamorelink-limits`.
    pub limits: Value,
    /// Section of the package `sycamorelink-guard`, for at-most-once execution.
    pub guard: Value,
    /// Section of the package `sycamorelink-roster`, for membership.
    pub roster: Value,
    /// Section of the package `sycamorelink-policy`, which selects the mechanisms that decide on
    /// requests.
    pub policy: Value,
    /// Deployment facts for the platform's own protocols, read by the package that implements them.
    pub platform: Value,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        Self {
            instance: Arc::from(""),
            domain: DomainName::new(""),
            region: Arc::from(DEFAULT_REGION),
            interface: InterfaceProtocol::default(),
            service: None,
            listen: ListenAddresses::default(),
            advertise: None,
            first_start: false,
            seeds: Vec::new(),
            log: PlatformLog::default(),
            fleet_keys: FleetKeyring::default(),
            http_workers: 1,
            body_limit: DEFAULT_BODY_LIMIT,
            header_limit: DEFAULT_HEADER_LIMIT,
            reply_buffer: DEFAULT_REPLY_BUFFER,
            drain: DrainSettings::default(),
            telemetry: TelemetrySettings::default(),
            operators: Vec::new(),
            limits: empty_section(),
            guard: empty_section(),
            roster: empty_section(),
            policy: empty_section(),
            platform: empty_section(),
        }
    }
}

fn empty_section() -> Value {
    Value::Object(serde_json::Map::new())
}

/// Any free port on the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Addresses that a daemon listens on. Port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenAddresses {
    /// HTTP port for callers.
    pub callers: SocketAddr,
    /// HTTP port for operators and the backend servers of this instance.
    pub operators: SocketAddr,
    /// TCP port for the peer protocol between daemons.
    pub peers: SocketAddr,
    /// UDP port for gossip between daemons.
    pub gossip: SocketAddr,
    /// Separate HTTP port for readiness probes; none when absent.
    pub ready: Option<SocketAddr>,
    /// HTTP port that serves the metrics as text; none when absent.
    pub metrics: Option<SocketAddr>,
}

/// Set of protocols used with callers, backend servers and the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InterfaceProtocol {
    /// Native protocols of this project.
    #[default]
    Own,
    /// Protocols of the platform that the instances run on.
    Platform,
}

impl Default for ListenAddresses {
    fn default() -> Self {
        Self {
            callers: ANY_PORT,
            operators: ANY_PORT,
            peers: ANY_PORT,
            gossip: ANY_PORT,
            ready: None,
            metrics: None,
        }
    }
}

/// Location of the platform's log service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformLog {
    /// Address of the service; its port must not be 0.
    pub address: SocketAddr,
    /// Name of the stream that carries contract changes.
    pub stream: Arc<str>,
}

impl Default for PlatformLog {
    fn default() -> Self {
        Self {
            address: ANY_PORT,
            stream: Arc::from(DEFAULT_STREAM),
        }
    }
}

/// Shared keys that daemons authenticate each other with. Two keys can be valid at once, so that a
/// key can be rotated without downtime.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetKeyring {
    /// Key that this daemon signs with.
    pub current: FleetKey,
    /// Key that this daemon still accepts from others.
    pub previous: Option<FleetKey>,
}

/// A secret shared by all daemons of the fleet.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetKey {
    /// Name of the key, sent unencrypted.
    pub id: Arc<str>,
    /// Secret of the key, never logged.
    pub secret: Arc<str>,
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Timeouts of a drain.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Maximum time for requests in flight before the daemon stops and cuts them off.
    #[serde_as(as = "UnitDuration")]
    pub limit: Duration,
    /// Time between the platform's order to stop and the kill of the process. When set, the drain
    /// ends shortly before the kill instead of at `limit`.
    #[serde_as(as = "Option<UnitDuration>")]
    pub grace: Option<Duration>,
    /// Time after the start of the drain for which callers may not have moved to another daemon yet.
    /// The daemon accepts their requests if they are likely to end before the drain does; later it
    /// accepts only those whose deadline is before that.
    #[serde_as(as = "UnitDuration")]
    pub serving: Duration,
}

impl DrainSettings {
    /// Returns the time after the start of the drain at which the daemon stops.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        self.grace
            .map_or(self.limit, |grace| grace.saturating_sub(STOP_TIME))
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            limit: LEAVE_LIMIT,
            grace: None,
            serving: LEAVE_SERVING,
        }
    }
}

/// Output of logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TelemetrySettings {
    /// Format, level and destination of the log.
    pub log: LogOutput,
    /// UDP address that metrics are sent to; none are sent when absent.
    pub metrics: Option<SocketAddr>,
}

/// Format, level and destination of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogOutput {
    /// Format of each line: text or JSON.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Destination: standard error or standard output.
    pub output: LogTarget,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Faults that the fleet handles.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
    /// All details.
    Trace,
}

impl LogLevel {
    /// Returns the level as a `tracing` filter directive.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// An account of the operators' API, for an operator or a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorAccount {
    /// Name that changes are recorded under.
    pub name: Arc<str>,
    /// SHA-256 digest of the account's bearer token, in hexadecimal.
    pub token_sha256: Arc<str>,
    /// Role that sets which calls the account may make.
    pub role: OperatorRole,
    /// Team whose contracts a publisher may change; all teams when absent.
    pub team: Option<Arc<str>>,
}

/// Role of an account, from the fewest to the most permissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read everything and change nothing.
    #[default]
    Reader,
    /// May also publish contracts of the account's team.
    Publisher,
    /// May also publish any contract and drain daemons.
    Admin,
}
