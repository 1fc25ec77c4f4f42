//! The platform's append-only log: interface, HTTP client, following, settling of lost replies.
//!
//! ```text
//!  owner ── LogFollower (pure: when to read, what a page means) ──▶ steps
//!    │                                                               │
//!    └── LogClient (trait object) ◀──────────────────────────────────┘
//!          ├─ HttpLogClient   the platform's service over HTTP/1.1
//!          └─ MemoryLog       a fake for tests
//! ```
//!
//! The log may be down or slow for hours, and an append may take effect although its reply is
//! lost. Every call has a timeout, every error says whether the append may have taken effect, and
//! [`settle`] finds out by reading back instead of appending again.

pub mod backoff;
pub mod budget;
pub mod client;
pub mod follow;
mod http_answer;
pub mod http_log;
pub mod memory;
pub mod settle;

pub use backoff::{BackoffSettings, OutageBackoff};
pub use budget::{AppendBudget, AppendPurpose, await_budget};
pub use client::{AppendReceipt, LogClient, LogError, LogFuture, LogPage, LogRecord, ReadRange};
pub use follow::{FollowEvent, FollowSettings, FollowStep, LogFollower};
pub use http_log::{HttpLogClient, HttpLogSettings};
pub use memory::{MemoryFault, MemoryLog};
pub use settle::{ReadBack, SettleResult, append_and_settle, read_back};
