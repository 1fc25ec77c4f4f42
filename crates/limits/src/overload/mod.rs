//! Overload control for services whose callers can wait for several seconds.
//!
//! The mechanisms take effect only under a fleet contract with an objective of at least
//! [`OverloadSettings::objective_from`]. All other fleets keep the gates and budgets of the sibling
//! modules.

mod caller_queue;
mod release_pace;
mod settings;

pub use caller_queue::{CallerQueue, JoinDecision, WaitEntry, WaitReason, WaitTerms};
pub use release_pace::ReleasePace;
pub use settings::OverloadSettings;
