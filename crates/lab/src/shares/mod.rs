//! Simulations of fleet-wide limits, admission control and retries under load and faults.
//!
//! ```text
//!   ShareFault x count x LimiterKind -> ShareTrial     (virtual time) -> ShareRow
//!   customers x GateKind             -> GateSimulation (virtual time) -> FloodRow, OverloadRow
//!   callers x retry rule             -> GateSimulation (virtual time) -> StormRow
//! ```
//!
//! The share rows drive [`sycamorelink_limits::ShareNode`] with seeded demand that follows a Zipf
//! distribution over the daemons, at 80% of the contracted rate. A message takes one step of the
//! clock. Keepers are the nodes that divide the contracted rate and grant leases on it. The
//! baselines are a static split, one central bucket without latency or faults (an unrealizable
//! ideal), and the same leases with keepers selected from the members that each side of a partition
//! sees alive.

mod demand;
mod flood;
mod gate_simulation;
mod lease_limiter;
mod limiter;
mod size;
mod storm;
mod table;
mod traffic;
mod trial;

pub use flood::{FloodRow, OverloadRow};
pub use gate_simulation::GateKind;
pub use limiter::LimiterKind;
pub use storm::StormRow;
pub use table::{ShareOptions, ShareTable, run_table};
pub use traffic::TrafficRow;
pub use trial::{ShareFault, ShareRow};
