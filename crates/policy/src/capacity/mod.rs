//! Free capacity of the upstreams of a service, as the nodes beside them report it.
//!
//! ```text
//! node beside the upstream ─ CapacityRecord ─▶ other nodes ─▶ CapacityTable
//!                                                               │ + load hints, own requests since
//!                                                               ▼
//!                                       ServicePool::pick_soonest, ServicePool::forecast
//! ```
//!
//! Every record carries its age instead of a time of day, so that clocks need not agree.

mod estimate;
mod record;
mod report;
mod table;

pub use estimate::{CapacityForecast, ExpectedTime, ServiceCapacity};
pub use record::{CapacityError, CapacityRecord};
pub use report::select_freshest;
pub use table::CapacityTable;

pub(crate) use estimate::LoadEstimate;
