//! The daemon process: threads, bounded queues and sockets around the decision logic.
//!
//! ```text
//!  callers ──▶ callers thread ─┐            ┌─▶ work thread ──▶ backend servers, peers
//!  operators ▶ operators thread┤            │
//!  peers ────▶ work thread ────┼─ ring ─▶ decision thread ──▶ datagrams
//!  peers ────▶ gossip thread ──┤            │
//!  log ──────▶ log thread ─────┘            └─▶ log thread ──▶ appends
//! ```
//!
//! Each thread has one responsibility, and bounded rings connect them. The decision thread runs
//! [`sycamorelink_engine::NodeEngine`], which makes every decision; the other threads only do I/O.
//!
//! When the fleet contract comes from a [`adapters::ContractSource`], the source thread takes the
//! place of the log thread.

pub mod adapters;
pub mod body;
mod callers;
pub mod clock_watch;
mod daemon;
mod decision_loop;
mod gossip;
mod http_server;
mod inbox;
mod leaving_record;
mod log_thread;
pub mod members;
pub mod memory;
mod metrics;
mod metrics_table;
mod metrics_thread;
mod notes;
mod open_replies;
mod operators;
mod ready;
pub mod reply;
mod ring;
pub mod settings;
mod sockets;
mod source_thread;
mod startup;
mod work;

pub use callers::{
    declared_body_length, is_hop_by_hop_header, plain_response_head, request_target,
};
pub use daemon::{Daemon, DaemonHandle};
pub use sockets::DaemonAddresses;
