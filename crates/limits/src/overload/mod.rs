//! Overload control for services whose callers can wait for several seconds.
//!
//! The mechanisms take effect only under a fleet contract with an objective of at least
//! [`OverloadSettings::objective_from`]. All other fleets keep the gates and budgets of the sibling
//! modules.

mod returns;
mod settings;

pub use returns::{CallerNeed, ReturnAdvice, ReturnPacer, ServiceOutlook};
pub use settings::OverloadSettings;
