//! Admission control in front of a backend server: slots, a bounded queue and early refusals.
//!
//! ```text
//! offer -> [deadline too near? refuse] -> [slot and permit free? run] -> [queue full? refuse] -> queued
//! finished / tick -> next queued by customer fairness, priority and deadline -> Start
//!                 -> queued whose deadline can no longer be met -> Refuse (not run)
//! ```

mod estimate;
mod gate;
mod interface;
mod lane;
mod permits;
mod reserve;
mod settings;
mod warm_up;

pub use gate::SlotGate;
pub use interface::AdmissionGate;
pub use permits::PermitBucket;
pub use settings::GateSettings;
pub use warm_up::WarmUp;

pub(crate) use estimate::RetryPacer;
pub(crate) use gate::MAX_PERMIT_WAIT;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, RefusalCode};

/// Identifier of a unit of work, unique on its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// Properties of a request that admission depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkClass {
    /// Customer that sent the request.
    pub customer: CustomerName,
    /// Priority; a higher value goes first among the work of one customer.
    ///
    /// Also the weight of the work when customers compete for slots: priority 0 weighs 1, priority
    /// 9 and above weigh 10.
    pub priority: u8,
    /// Time at which the caller stops waiting, since the node started.
    pub deadline: Duration,
    /// Expected service time if the calling side knows one, else zero.
    pub expected: Duration,
    /// Hash of the route, by which service times are learned.
    pub kind: u64,
    /// Time by which the answer has its full value for the caller, since the node started; `None`
    /// if the route has no objective.
    pub objective: Option<Duration>,
    /// Client account that the work is done for; `None` if unknown.
    pub account: Option<CustomerName>,
}

impl WorkClass {
    /// Creates a class without an expected service time, a kind, an objective and an account.
    #[must_use]
    pub const fn new(customer: CustomerName, priority: u8, deadline: Duration) -> Self {
        Self {
            customer,
            priority,
            deadline,
            expected: Duration::ZERO,
            kind: 0,
            objective: None,
            account: None,
        }
    }
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GateDecision {
    /// Run the request now. The slot is taken until [`SlotGate::finished`] or
    /// [`SlotGate::released`].
    Run,
    /// Wait for [`GateCommand::Start`] or [`GateCommand::Refuse`].
    Queued,
    /// Do not run the request.
    Refused {
        /// Reason of the refusal.
        code: RefusalCode,
        /// Expected time until a slot is free for similar work.
        retry_after: Option<Duration>,
    },
}

/// Command for queued work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GateCommand {
    /// Run the work now. A slot is taken.
    Start {
        /// Work to start.
        work: WorkId,
    },
    /// Refuse the work as not run.
    Refuse {
        /// Work to refuse.
        work: WorkId,
        /// Reason of the refusal.
        code: RefusalCode,
        /// Expected time until a slot is free for similar work.
        retry_after: Option<Duration>,
    },
}

/// Load of one gate, reported with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLoad {
    /// Occupied slots.
    pub in_use: u32,
    /// Open slots; fewer than configured during warm-up.
    pub slots: u32,
    /// Queued requests.
    pub queued: u32,
    /// Whether new work is refused because the backend server is shutting down.
    pub closed: bool,
    /// Expected wait of a new request that can meet its objective; zero while a slot is free.
    pub expected_wait: Duration,
    /// Mean run time.
    pub mean_run: Duration,
}
