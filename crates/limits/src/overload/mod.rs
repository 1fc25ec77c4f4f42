//! Overload control for services whose callers can wait for several seconds.
//!
//! The mechanisms take effect only under a fleet contract with an objective of at least
//! [`OverloadSettings::objective_from`]. All other fleets keep the gates and budgets of the sibling
//! modules.

mod concurrency;
mod fair;
mod settings;

pub use concurrency::{ConcurrencyLimit, RunEnd};
pub use fair::{FairQueue, QueueEntry};
pub use settings::OverloadSettings;
