//! Operations behind the command line.
//!
//! Each operation is a function that takes a [`ShellContext`] and typed options, so that the
//! program itself stays a thin layer of argument parsing and every operation can be called from a
//! test with captured output and a clock of its own.
//!
//! ```text
//! argument ──▶ options ──▶ operation ──▶ DaemonClient ──HTTP──▶ any daemon
//!                              │
//!                              ├── data ──▶ stdout
//!                              └── status lines, findings, hints ──▶ stderr
//! ```

pub mod burn;
pub mod client;
pub mod context;
pub mod contract;
pub mod dev;
pub mod exit;
pub mod explain;
pub mod fleet;
pub mod reload;
pub mod serve;
pub mod settings;
pub mod settings_check;
pub mod stand_in;
pub mod table;
pub mod trace;
pub mod view;

pub use client::{ApiCall, ApiReply, DaemonClient, Method};
pub use context::{OutputFormat, ShellBuilder, ShellContext};
pub use exit::{ExitKind, ToolFailure, exit_kind};
pub use settings::ToolSettings;
