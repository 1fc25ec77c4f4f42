//! Operations behind the `sycamorelink` and `sycamorelinkd` commands.
//!
//! Each operation is a function that takes a [`ShellContext`] and typed options. The binaries only
//! parse arguments, and tests call operations directly with captured output and their own clock.
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
mod overload;
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
