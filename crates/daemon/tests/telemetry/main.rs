//! Telemetry of a running daemon: metrics, numbered events, the audit trail and the burn report.

mod http;
mod log;
mod node;

mod audit;
mod events;
mod memory_bound;
mod metrics;
mod overload;
