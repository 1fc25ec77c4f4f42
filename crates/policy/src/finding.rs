//! Typed findings of the pool, which the daemon logs as numbered events.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::UpstreamId;

/// Kind of fault that an upstream shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionCause {
    /// Server errors and crashes.
    Failing,
    /// Truncated, mismatched or malformed replies.
    Wrong,
    /// Timeouts without a byte and broken connections.
    Silent,
    /// Replies much later than those of its peers.
    Slow,
}

impl fmt::Display for EjectionCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failing => "failing",
            Self::Wrong => "wrong",
            Self::Silent => "silent",
            Self::Slow => "slow",
        })
    }
}

/// One finding or action of the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolFinding {
    /// The score of an upstream rose above ordinary noise.
    Suspected {
        /// Upstream whose score rose.
        id: UpstreamId,
        /// The kind with the highest score.
        cause: EjectionCause,
        /// Highest score, in nats.
        suspicion: f64,
    },
    /// An upstream has lost at least nine tenths of its weight, as far as the floor allows.
    Shifted {
        /// Upstream that lost the weight.
        id: UpstreamId,
        /// The kind with the highest score.
        cause: EjectionCause,
        /// Its weight from 0 to 1.
        weight: f64,
    },
    /// An upstream was ejected.
    Ejected {
        /// Upstream that was ejected.
        id: UpstreamId,
        /// Cause of the ejection.
        cause: EjectionCause,
        /// End of the ejection, as time since the node started.
        until: Duration,
    },
    /// An upstream has its full weight back.
    Readmitted {
        /// Upstream that has its full weight back.
        id: UpstreamId,
    },
    /// An upstream is due for ejection, but the floor keeps it in service.
    FloorHeld {
        /// Upstream that the floor keeps in service.
        id: UpstreamId,
        /// Cause for which the upstream is due for ejection.
        cause: EjectionCause,
    },
    /// Most upstreams look faulty at once: the cause lies elsewhere and nothing is ejected.
    SharedCause {
        /// Upstreams that look faulty.
        suspects: u32,
        /// Upstreams in service.
        active: u32,
    },
    /// Most upstreams look faulty to this node alone: the node itself is suspect and reports
    /// nothing as a caller.
    ObserverSuspect {
        /// Upstreams that look faulty to this node.
        suspects: u32,
        /// Upstreams in service.
        active: u32,
    },
    /// The connection to an upstream may have gone silent. The node should probe it and a new
    /// connection. If only the new one answers, the node closes the old one and calls
    /// [`crate::ServicePool::connection_replaced`].
    ConnectionSuspect {
        /// Upstream at the other end of the connection.
        id: UpstreamId,
        /// Age of the oldest request in flight there.
        oldest: Duration,
    },
}
