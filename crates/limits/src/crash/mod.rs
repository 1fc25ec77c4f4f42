//! Detection and blocking of requests that crash backend servers.
//!
//! Only the executors of a service run its requests, so crash evidence is shared among them. When a
//! backend server dies, the node beside it reports every request that ran on the server to all
//! executors of the service. It holds back the failed answers until all executors have acknowledged
//! the report, for at most [`CrashSettings::report_wait`]. The caller resends only after the
//! answer, so the resend reaches executors that have the evidence.
//!
//! A request is identified by its [`CrashSignature`]. The owner of a signature is the executor that
//! ranks first for it. A turn is the exclusive permission to run a request on probation; the owner
//! grants it to one executor at a time.
//!
//! ```text
//! check -> Clear       no crash known: run it
//!       -> Probation   one crash: run it only with the turn from the owner, one at a time
//!       -> Stopped     two crashes, counted by incarnation of a backend server: blocked, not run
//!
//! Crashed   -> Report to all executors of the service -> acknowledged -> Release the answers
//! completed -> Cleared to all executors: the request did not cause the crash
//! ```
//!
//! Requests that ran beside the cause are also suspects after the first crash. They run one at a
//! time until one run completes. If the owner of a signature is unreachable, the request is refused
//! as not run.

mod entry;
mod registry;
mod report;
mod settings;
mod turn;

pub use registry::CrashRegistry;
pub use settings::CrashSettings;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, NodeIncarnation, ServiceName, UpstreamId, stable_hash};

/// Identity of a request for crash detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashSignature(pub u64);

impl CrashSignature {
    /// Returns the signature of a request.
    ///
    /// `target` is the method, path and query, `body` a fingerprint of the whole body. The
    /// idempotency key is left out: otherwise a caller that resends the same request with a new key
    /// would crash two more backend servers with each key.
    #[must_use]
    pub fn of(customer: &str, target: &str, body: u64) -> Self {
        Self(stable_hash(&[
            customer.as_bytes(),
            target.as_bytes(),
            &body.to_be_bytes(),
        ]))
    }
}

/// Incarnation of a backend server that died while it ran a request.
///
/// Reports of the same crash count once, however they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashVictim {
    /// Upstream of the backend server.
    pub upstream: UpstreamId,
    /// Incarnation of the backend server that died.
    pub incarnation: NodeIncarnation,
}

/// Verdict on a request before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashCheck {
    /// No crash is known: run the request.
    Clear,
    /// One crash is known: call [`CrashRegistry::request_turn`] and run the request only after a
    /// granted [`CrashCommand::Turn`].
    Probation,
    /// The request is blocked in the whole fleet: answer `crash-request`, not run.
    Stopped {
        /// Time until the block expires.
        retry_after: Duration,
    },
}

/// Evidence that one node has about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Service that the request belongs to.
    pub service: ServiceName,
    /// Signature of the request.
    pub signature: CrashSignature,
    /// Backend servers that died while they ran the request.
    pub victims: Vec<CrashVictim>,
    /// Victims after which a run of the request completed. They no longer count.
    pub cleared: Vec<CrashVictim>,
}

/// Message between executors of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Sends the evidence that the sender has.
    Report {
        /// Number of the report to acknowledge; zero asks for no acknowledgement.
        number: u64,
        /// Evidence, one entry for each request.
        evidence: Vec<CrashEvidence>,
    },
    /// Confirms that a report was processed.
    Acknowledged {
        /// Number of the report.
        number: u64,
    },
    /// Asks the owner for the turn to run a request on probation.
    TurnAsk {
        /// Number that the asking node gave to its request for the turn.
        ask: u64,
        /// Evidence that the asking node has.
        evidence: CrashEvidence,
    },
    /// Returns a turn that was not used.
    TurnBack {
        /// Signature of the request.
        signature: CrashSignature,
    },
    /// Answers a [`CrashMessage::TurnAsk`].
    TurnReply {
        /// Number of the request for the turn.
        ask: u64,
        /// Whether the request may run now.
        granted: bool,
        /// Evidence that the owner has.
        evidence: CrashEvidence,
    },
}

/// Input of a [`CrashRegistry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvent {
    /// The executors of a service have changed. This node is one of them.
    Executors {
        /// Service of the executors.
        service: ServiceName,
        /// Live executors, including this node.
        members: Vec<InstanceId>,
    },
    /// A backend server of this node died.
    Crashed {
        /// Service of the backend server.
        service: ServiceName,
        /// Upstream and incarnation of the backend server.
        victim: CrashVictim,
        /// Every request that ran on the backend server.
        running: Vec<CrashSignature>,
    },
    /// A crash message of an instance arrived.
    Received {
        /// Sender.
        from: InstanceId,
        /// Content of the message.
        message: CrashMessage,
    },
}

/// Output of a [`CrashRegistry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashCommand {
    /// Send a message to one node.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Content of the message.
        message: CrashMessage,
    },
    /// Send the failed answers of the requests that ran on this backend server to their callers.
    Release {
        /// Backend server that died.
        victim: CrashVictim,
        /// Executors that have not acknowledged the report in time.
        missing: u32,
    },
    /// Result of [`CrashRegistry::request_turn`].
    Turn {
        /// Number of the request for the turn.
        ask: u64,
        /// Signature of the request.
        signature: CrashSignature,
        /// Whether the request may run now; false means answer `crash-request`, not run.
        granted: bool,
        /// Time after which the caller may retry. Zero when granted.
        retry_after: Duration,
    },
}
