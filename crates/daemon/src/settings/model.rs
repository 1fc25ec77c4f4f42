//! The settings as types. Every key has a default here; [`super::check`] says which must be given.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::serde_as;
use sycamorelink_core::{DomainName, ServiceName};
use sycamorelink_engine::LEAVE_SERVING;
use sycamorelink_telemetry::{LogFormat, LogTarget};

use super::units::{UnitBytes, UnitDuration};

/// Region of a daemon whose settings name none.
const DEFAULT_REGION: &str = "r1";
/// Stream of contract changes unless the settings name another.
const DEFAULT_STREAM: &str = "contracts";
/// Greatest request body unless a contract sets a smaller one, in bytes.
const DEFAULT_BODY_LIMIT: usize = 64 << 20;
/// Greatest header block of a request, in bytes.
const DEFAULT_HEADER_LIMIT: usize = 16 << 10;
/// Bytes of a reply held back before its head goes to the caller.
const DEFAULT_REPLY_BUFFER: usize = 64 << 10;
/// How long a drain waits for requests in flight.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Everything that one daemon learns at its start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this instance, unique in the fleet.
    pub instance: Arc<str>,
    /// Failure domain that this instance stands in.
    pub domain: DomainName,
    /// Region that the failure domain belongs to.
    pub region: Arc<str>,
    /// Which forms the daemon speaks towards callers, backend servers and the platform.
    pub interface: InterfaceForm,
    /// Service that the backend server beside this instance runs, where its requests are counted
    /// under it.
    pub service: Option<ServiceName>,
    /// Where the daemon listens.
    pub listen: ListenAddresses,
    /// Address that peers are told, when it differs from the one listened on.
    pub advertise: Option<IpAddr>,
    /// Whether the whole fleet starts for the first time, so that no earlier life of this instance
    /// can have left anything.
    pub first_start: bool,
    /// Gossip addresses of some other daemons.
    pub seeds: Vec<SocketAddr>,
    /// The platform's log service.
    pub log: PlatformLog,
    /// Keys that daemons prove to each other.
    pub fleet_keys: FleetKeyring,
    /// Threads that serve HTTP.
    pub http_workers: usize,
    /// Greatest request body, in bytes.
    #[serde_as(as = "UnitBytes")]
    pub body_limit: usize,
    /// Greatest header block of a request, in bytes.
    #[serde_as(as = "UnitBytes")]
    pub header_limit: usize,
    /// Bytes of a reply held back before its head goes to the caller.
    #[serde_as(as = "UnitBytes")]
    pub reply_buffer: usize,
    /// How the daemon leaves.
    pub drain: DrainSettings,
    /// Logs and metrics.
    pub telemetry: TelemetrySettings,
    /// Who may use the operators' API.
    pub operators: Vec<OperatorAccount>,
    /// Settings of limits, read by that package.
    pub limits: Value,
    /// Settings of at-most-once execution, read by that package.
    pub guard: Value,
    /// Settings of the roster, read by that package.
    pub roster: Value,
    /// Which mechanisms decide on requests, read by that package.
    pub policy: Value,
    /// What the platform tells about the deployment, read by the package that speaks its forms.
    pub platform: Value,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        Self {
            instance: Arc::from(""),
            domain: DomainName::new(""),
            region: Arc::from(DEFAULT_REGION),
            interface: InterfaceForm::default(),
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

/// Where a daemon listens. Port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenAddresses {
    /// Callers, HTTP.
    pub callers: SocketAddr,
    /// Operators and the backend servers of this instance, HTTP.
    pub operators: SocketAddr,
    /// Other daemons, inner protocol over TCP.
    pub peers: SocketAddr,
    /// Other daemons, gossip over UDP.
    pub gossip: SocketAddr,
    /// Whoever asks whether the daemon takes requests, HTTP; no port of its own without it.
    pub ready: Option<SocketAddr>,
    /// Whoever reads the metrics as text, HTTP; not served without it.
    pub metrics: Option<SocketAddr>,
}

/// Forms spoken towards callers, backend servers and the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InterfaceForm {
    /// The product's own.
    #[default]
    Own,
    /// Those of the platform that the instances run on.
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

/// The platform's log service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformLog {
    /// Its address.
    pub address: SocketAddr,
    /// Stream of contract changes.
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

/// Keys that daemons prove to each other. Two at once allow a change of key without a stop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetKeyring {
    /// Key that this daemon signs with.
    pub current: FleetKey,
    /// Key that this daemon still accepts from others.
    pub previous: Option<FleetKey>,
}

/// One key of the fleet.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetKey {
    /// Name of the key, sent in the clear.
    pub id: Arc<str>,
    /// The key itself, never logged.
    pub secret: Arc<str>,
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// How a daemon leaves.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// How long requests in flight may take before the daemon stops regardless.
    #[serde_as(as = "UnitDuration")]
    pub limit: Duration,
    /// How long callers' requests are still taken while the daemon leaves.
    #[serde_as(as = "UnitDuration")]
    pub serving: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            limit: DEFAULT_DRAIN_LIMIT,
            serving: LEAVE_SERVING,
        }
    }
}

/// Logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TelemetrySettings {
    /// Form of the log.
    pub log: LogOutput,
    /// Address that takes metrics by UDP; none are sent without it.
    pub metrics: Option<SocketAddr>,
}

/// Form of the log, and where it goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogOutput {
    /// One line of text or of JSON for each event.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Standard error or standard output.
    pub output: LogTarget,
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need a person.
    Error,
    /// Faults that the fleet handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// The level as a filter directive.
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

/// One operator or team account of the operators' API.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorAccount {
    /// Name that changes are recorded under.
    pub name: Arc<str>,
    /// SHA-256 of the account's bearer token, in hexadecimal.
    pub token_sha256: Arc<str>,
    /// What the account may do.
    pub role: OperatorRole,
    /// Team whose contracts a publisher may change; all teams when absent.
    pub team: Option<Arc<str>>,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// Reads everything, changes nothing.
    #[default]
    Reader,
    /// Publishes contracts of the account's team besides.
    Publisher,
    /// Publishes any contract and drains daemons.
    Admin,
}
