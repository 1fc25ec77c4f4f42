//! The platform's append-only log: client trait, HTTP client, follower, and resolution of appends
//! whose reply was lost.
//!
//! ```text
//!  owner ── LogFollower (no I/O: decides when and where to read) ──▶ steps
//!    │                                                                │
//!    └── LogClient (trait object) ◀───────────────────────────────────┘
//!          ├─ HttpLogClient   the platform's log service over HTTP/1.1
//!          └─ MemoryLog       in-memory fake for tests
//! ```
//!
//! The log may be down or slow for hours, and an append may take effect although its reply is lost.
//! Every call has a timeout, and every error tells whether the append may have taken effect.
//! [`settle`] resolves an uncertain append by reading the stream back instead of appending again.

pub mod backoff;
pub mod budget;
pub mod client;
pub mod follow;
pub mod http_log;
mod http_response;
pub mod memory;
pub mod settle;

pub use backoff::{BackoffSettings, OutageBackoff};
pub use budget::{AppendBudget, AppendPurpose, await_budget};
pub use client::{AppendReceipt, LogClient, LogError, LogFuture, LogPage, LogRecord, ReadRange};
pub use follow::{FollowEvent, FollowSettings, FollowStep, LogFollower};
pub use http_log::{HttpLogClient, HttpLogSettings};
pub use memory::{MemoryFault, MemoryLog};
pub use settle::{AppendOutcome, ReadBack, append_and_settle, read_back};
