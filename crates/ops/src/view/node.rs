//! Replies about one daemon.

use serde::{Deserialize, Serialize};

/// Status of the answering daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// Name of the instance.
    pub instance: String,
    /// Id of the node.
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Region of the instance.
    pub region: String,
    /// State of the daemon.
    pub state: String,
    /// Time since the daemon started, with a unit.
    pub uptime: String,
    /// Number of caller requests in flight.
    pub in_flight: u64,
    /// Access to the platform's log.
    pub log: LogStatus,
    /// Contracts known to the daemon.
    pub contracts: ContractStatus,
    /// Backend servers of this instance.
    pub upstreams: Vec<LocalUpstream>,
}

/// Access of the daemon to the platform's log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LogStatus {
    /// Whether the last call to the log succeeded.
    pub reachable: bool,
    /// Next log offset that the daemon reads.
    pub offset: u64,
}

/// Contracts known to the daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ContractStatus {
    /// Next offset that the daemon reads for contract changes. All earlier changes are applied at
    /// the daemon.
    pub head: u64,
    /// Number of customers that have a contract.
    pub customers: u64,
}

/// One backend server of the instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LocalUpstream {
    /// Number of the server on this node.
    pub slot: u16,
    /// Name of the service.
    pub service: String,
    /// Address of the server.
    pub address: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u16,
    /// Announced phase, such as `ready` or `leaving`.
    pub phase: String,
    /// Number of slots in use; `None` if unknown.
    pub in_use: Option<u32>,
    /// Number of requests waiting for a slot; `None` if unknown.
    pub waiting: Option<u32>,
}

/// Reply to a drain request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainView {
    /// State of the daemon.
    pub state: String,
    /// Number of caller requests in flight.
    pub in_flight: u64,
}
