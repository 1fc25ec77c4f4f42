//! Settings, phases and faults of the backend stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sycamorelink_core::ServiceName;

/// Slowdown after a start or a `cold_start` control request, decreasing linearly to none.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Multiplier of the service time at the beginning.
    pub factor: f64,
    /// Time until the service time is normal, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "warm_after_ms")]
    pub warm_after: Duration,
}

/// Settings of a backend stand-in. Missing fields take their defaults.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Service that the backend server announces.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of requests that wait for a slot; further ones get a 503.
    pub queue_limit: u32,
    /// Mean service time, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "service_time_ms")]
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time; 0 makes the service time constant.
    pub sigma: f64,
    /// Slowdown after the start; `None` starts at the normal service time.
    pub cold_start: Option<ColdStart>,
    /// Requests per second that the server names as its limit in its replies; `None` names none.
    pub limit: Option<f64>,
    /// Seed of the random service times and of the `fail` fault.
    pub seed: u64,
    /// Operators' address of the daemon that receives the announcements; `None` sends none.
    pub daemon: Option<SocketAddr>,
    /// Slot number under which the server announces itself to the daemon.
    pub daemon_slot: u16,
    /// Interval between announcements, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: Duration,
    /// Minimum age of the load that `GET /load` reports, serialized in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// Whether a crash ends the server for good, as it does for a real process.
    pub crash_ends: bool,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            service: ServiceName::new("orders"),
            slots: 5,
            queue_limit: 50,
            service_time: Duration::from_millis(20),
            sigma: 0.4,
            cold_start: None,
            limit: None,
            seed: 1,
            daemon: None,
            daemon_slot: 0,
            heartbeat: Duration::from_secs(1),
            load_lag: Duration::from_secs(5),
            crash_ends: false,
        }
    }
}

/// Lifecycle phase that a backend server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendPhase {
    /// Not ready for requests yet.
    Starting,
    /// Ready for requests.
    Ready,
    /// Shutting down: finishes the requests in flight and should get no new ones.
    Leaving,
}

/// Fault that a backend stand-in injects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum BackendFault {
    /// No fault.
    #[default]
    Healthy,
    /// Multiplies every service time.
    Slow {
        /// The multiplier; negative values count as 0.
        factor: f64,
    },
    /// Runs a random share of the requests and answers them with a 500.
    Fail {
        /// Probability of a failure, from 0 to 1.
        share: f64,
    },
    /// Replies with the id and the body of the previous request.
    WrongReply,
    /// Aborts the reply after half of its body.
    Truncate,
    /// Runs the request, then closes the connection without a reply.
    Silent,
    /// Reads requests and never replies.
    Hang,
    /// Simulates a crash on a request that contains the marker in a header value or the body:
    /// closes the listener and all connections, then listens again.
    CrashOn {
        /// Text to search for; an empty text matches no request.
        marker: String,
        /// Time in milliseconds until the server listens again.
        #[serde(default = "default_down_ms")]
        down_ms: u64,
    },
}

fn default_down_ms() -> u64 {
    2000
}
