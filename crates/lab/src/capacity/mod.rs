//! Capacity measurements: memory, traffic and processor time of a node as functions of fleet size.
//!
//! ```text
//! CapacityPlan -> roster, contracts, components: memory of one node's state at each count
//!              -> overload: memory, traffic and decisions of overload control
//!              -> gossip and mass_events over fleet, with churn: many rosters in virtual time
//!              -> CapacityReport: fitted lines, values at the target scale, budgets
//! ```

pub mod churn;
pub mod components;
pub mod contracts;
pub mod fit;
pub mod fleet;
pub mod gossip;
pub mod mass_events;
pub mod memory;
pub mod node_facts;
pub mod overload;
pub mod plan;
pub mod report;
pub mod roster;

pub use plan::CapacityPlan;
pub use report::CapacityReport;
