//! Settings of one daemon, parsed from JSON and validated as a whole.
//!
//! ```text
//! text --parse--> JSON value --collect--> DaemonSettings --check--> DaemonSettings
//!                     |                      |                |
//!                     +------ FindingList ---+----------------+
//! ```
//!
//! Every step continues after a finding, so that one run reports all invalid settings. Each finding
//! carries the file and the JSON path of the value. `docs/settings.md` lists every key.

mod builder;
mod check;
mod collect;
mod model;
mod sections;
mod units;

pub use builder::SettingsBuilder;
pub use model::{
    DaemonSettings, DrainSettings, FleetKey, FleetKeyring, InterfaceProtocol, ListenAddresses,
    LogLevel, LogOutput, OperatorAccount, OperatorRole, PlatformLog, TelemetrySettings,
};
pub use sections::section_defaults;
pub use units::{UnitBytes, UnitDuration, parse_duration};
