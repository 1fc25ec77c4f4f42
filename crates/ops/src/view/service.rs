//! Replies about one service, as seen by one daemon.

use serde::{Deserialize, Serialize};

use super::overload::OverloadView;

/// Weight below which an upstream counts as shifted: most of its work goes to others.
pub const SHIFTED_WEIGHT: f64 = 0.5;
/// Minimum weight of an upstream that counts as fully in service.
pub const FULL_WEIGHT: f64 = 0.95;
/// Suspicion score, in nats, below which an upstream counts as unsuspected. An unsuspected upstream
/// with reduced weight is ramping up after a cold start or a fault.
pub const UNSUSPECTED_SCORE: f64 = 0.5;

/// Capacity floor and upstreams of a service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceView {
    /// Name of the service.
    pub service: String,
    /// Capacity of a service compared with its floor.
    pub floor: FloorView,
    /// Upstreams of the service.
    pub upstreams: Vec<ServiceUpstream>,
    /// Status of overload control; `None` where it does not apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overload: Option<OverloadView>,
}

/// Capacity of a service compared with its floor.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FloorView {
    /// Number of slots of all upstreams, in any phase.
    pub known_slots: u32,
    /// Number of slots that ejections must leave in service.
    pub floor_slots: u32,
    /// Number of upstreams that ejections must leave in service.
    pub floor_count: u32,
    /// Number of slots in service.
    pub serving_slots: u32,
    /// Number of upstreams in service.
    pub serving_count: u32,
    /// Number of upstreams that are ejected or on probation after an ejection.
    pub ejected_count: u32,
}

/// One upstream of a service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceUpstream {
    /// Node id and slot number.
    pub upstream: String,
    /// Name of the instance; `None` if unknown.
    pub instance: Option<String>,
    /// Failure domain of the instance; `None` if unknown.
    pub domain: Option<String>,
    /// Announced phase, such as `ready` or `leaving`.
    pub phase: String,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Fraction of its fair share of work that the upstream receives, from 0 to 1.
    pub weight: f64,
    /// Highest suspicion score over all kinds of fault, in nats.
    pub suspicion: f64,
    /// Kind of fault with the highest score; `None` if there is none.
    pub cause: Option<String>,
    /// Whether the upstream is ejected.
    pub ejected: bool,
    /// Time until the upstream is tried again, with a unit; `None` unless it is ejected.
    pub ejected_for: Option<String>,
    /// Number of requests that the answering daemon has in flight at the upstream.
    pub in_flight: u32,
}

impl ServiceUpstream {
    /// Returns the state in one or two words, for tables.
    #[must_use]
    pub fn state(&self) -> &'static str {
        if self.ejected {
            return "ejected";
        }
        match self.phase.as_str() {
            "leaving" => "leaving",
            "starting" => "starting",
            _ if self.weight >= FULL_WEIGHT => "in service",
            _ if self.suspicion < UNSUSPECTED_SCORE => "ramping up",
            _ if self.weight < SHIFTED_WEIGHT => "shifted",
            _ => "suspected",
        }
    }
}
