//! Stand-ins for the platform's log service and for backend servers.
//!
//! Both are in-memory HTTP/1.1 servers, so tests and the development fleet need no external
//! service. A control endpoint injects faults. A stand-in runs inside the caller's runtime or,
//! through `run_until`, as a separate process.
//!
//! ```text
//!  daemon ── POST/GET /v1/logs/{stream}/records ──▶ LogStandin
//!  daemon ── any path ──▶ BackendStandin ── PUT /v1/local/upstreams/{slot} ──▶ local daemon
//!  test   ── POST /control, GET /control/... ─────▶ either
//! ```

pub mod backend;
pub mod log;
mod reply;
mod server;

pub use backend::{
    BackendFault, BackendPhase, BackendSettings, BackendStandin, ColdStart, RunCounts, RunReport,
    RunningBackend,
};
pub use log::{LogMode, LogStandin, LogStandinSettings, RunningLog};
