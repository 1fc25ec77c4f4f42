//! The daemon: threads, rings and sockets around the decision logic.
//!
//! ```text
//!  callers ──▶ callers thread ─┐            ┌─▶ work thread ──▶ backend servers, peers
//!  operators ▶ operators thread┤            │
//!  peers ────▶ work thread ────┼─ ring ─▶ decision thread ──▶ datagrams
//!  peers ────▶ gossip thread ──┤            │
//!  log ──────▶ log thread ─────┘            └─▶ log thread ──▶ appends
//! ```
//!
//! Each thread has one duty and they are joined by bounded rings. All decisions are taken by
//! [`sycamorelink_engine::NodeEngine`] on the decision thread; everything else carries bytes.

pub mod border;
mod callers;
mod daemon;
mod gossip;
mod http_server;
mod inbox;
mod log_thread;
pub mod members;
mod metrics;
mod metrics_table;
mod metrics_thread;
mod notes;
mod operators;
pub mod part;
mod ready;
mod ring;
pub mod settings;
mod shell;
mod sockets;
mod source_thread;
mod starting;
mod work;

pub use callers::{declared_body, is_hop_header, plain_head_answer, target_of};
pub use daemon::{Daemon, DaemonHandle};
pub use sockets::DaemonAddresses;
