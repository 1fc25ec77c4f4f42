//! Replies about the fleet, as seen by one daemon.

use serde::{Deserialize, Serialize};

/// Members of the fleet and their upstreams.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetView {
    /// Members ordered by instance name.
    pub members: Vec<MemberView>,
}

/// One member of the fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberView {
    /// Name of the instance.
    pub instance: String,
    /// Id of the node.
    pub node: String,
    /// Incarnation of the node; `None` if unknown.
    pub incarnation: Option<String>,
    /// Failure domain of the instance.
    pub domain: String,
    /// Region of the instance; `None` if unknown.
    pub region: Option<String>,
    /// Membership state, such as `alive`, `leaving`, `left` or `dead`.
    pub state: String,
    /// Whether the answering daemon reaches the member directly.
    pub reachable: bool,
    /// Next offset that the member reads for contract changes; `None` if unknown. All earlier
    /// changes are applied at the member.
    pub contract_head: Option<u64>,
    /// Backend servers of the member.
    pub upstreams: Vec<MemberUpstream>,
}

/// One backend server of a member.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberUpstream {
    /// Node id and slot number.
    pub upstream: String,
    /// Name of the service.
    pub service: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u16,
    /// Announced phase, such as `ready` or `leaving`.
    pub phase: String,
}
