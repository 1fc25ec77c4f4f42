//! Status of overload control in the reply about a service.

use serde::{Deserialize, Serialize};

/// Status of overload control for one service, as seen by one daemon. Times are in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct OverloadView {
    /// Queues beside the backend servers of the answering daemon; empty if the deadline queue is
    /// off.
    pub queues: Vec<QueueView>,
    /// Requests in the caller queue of the answering daemon; `None` if the caller queue is off.
    pub waiting: Option<Vec<WaitView>>,
    /// Refusals to callers of the answering daemon.
    pub refusals: RefusalView,
    /// What the answering daemon knows of each backend server; empty if the capacity reports are
    /// off.
    pub servers: Vec<ServerView>,
}

/// Requests that wait beside one backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct QueueView {
    /// Node id and slot number of the backend server.
    pub upstream: String,
    /// Number of waiting requests that can meet their objective.
    pub in_time: u32,
    /// Number of waiting requests that can only meet their deadline.
    pub late: u32,
    /// Time for which the oldest of them has waited; `None` if none waits.
    pub longest_wait_ms: Option<u64>,
}

/// Requests that wait in the caller queue for one reason.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WaitView {
    /// Reason of the wait, such as `no-capacity`.
    pub reason: String,
    /// Number of waiting requests.
    pub count: u64,
    /// Time for which the oldest of them has waited; `None` if none waits.
    pub longest_wait_ms: Option<u64>,
}

/// Recent refusals to callers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RefusalView {
    /// Time that the counts cover.
    pub window_ms: u64,
    /// Number of refusals by reason.
    pub reasons: Vec<ReasonCount>,
    /// Number of refusals of the client accounts with most refusals, most first.
    pub accounts: Vec<AccountCount>,
    /// Number of refusals of all other client accounts.
    pub other_accounts: u64,
}

/// Number of refusals for one reason.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ReasonCount {
    /// Refusal code, such as `overloaded`.
    pub refusal: String,
    /// Number of refusals.
    pub count: u64,
}

/// Number of refusals of one client account.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct AccountCount {
    /// Name of the account.
    pub account: String,
    /// Number of refusals.
    pub count: u64,
}

/// What a daemon knows of one backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerView {
    /// Node id and slot number of the backend server.
    pub upstream: String,
    /// Number of slots in use.
    pub in_use: u32,
    /// Number of requests that may run concurrently.
    pub limit: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Expected wait of a request that can meet its objective.
    pub expected_wait_ms: u64,
    /// Mean run time.
    pub mean_run_ms: u64,
    /// Number of whole repeats left.
    pub repeats: u32,
    /// Time since the measurement.
    pub age_ms: u64,
}
