//! The `dev` command: a complete development fleet on the loopback interface, in one process.
//!
//! ```text
//! callers  ──HTTP──▶ any of 7 daemons ──▶ 7 backend stand-ins
//! daemons  ──contracts──▶ log stand-in
//! scenario ──faults──▶ backend stand-ins
//! scenario ──drain──▶ daemon
//! daemons  ──operators' API──▶ snapshot ──▶ timeline ──▶ screen, report
//! callers  ──statuses──▶ stats ──▶ audit ◀──runs by key── backend stand-ins
//!                          │         └──▶ report
//!                          └──▶ screen, report
//! ```
//!
//! Contracts are published and all displayed data is read through the operators' API, so the screen
//! shows only what an operator can see. Only the final audit queries the backend servers directly.

mod fleet;
mod plan;
mod report;
mod runtime;
mod scenario;
mod screen;
mod session;
mod setup;
mod snapshot;
mod stats;
mod timeline;
mod traffic;

pub use plan::{CallPlan, SERVICES, ServicePlan, dev_contracts};
pub use report::ClosingReport;
pub use scenario::{ScenarioAction, ScenarioStep, scenario_steps};
pub use screen::{render_entry, render_screen, render_status};
pub use session::{DevOptions, run_dev};
pub use snapshot::{BurnLine, FleetSnapshot, ServiceSnapshot, UpstreamSnapshot};
pub use stats::{CallCounts, KeyAudit, RecentCalls};
pub use timeline::{DrainRecord, FaultRecord, FleetTimeline, TimelineEntry};
