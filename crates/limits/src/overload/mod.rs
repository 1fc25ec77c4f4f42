//! Overload control for services whose callers can wait for several seconds.
//!
//! The mechanisms take effect only under a fleet contract with an objective of at least
//! [`OverloadSettings::objective_from`]. All other fleets keep the gates and budgets of the sibling
//! modules.

pub mod loans;
mod settings;

pub use loans::{
    GrantError, LOAN_DURATION, LoanAsk, LoanAskHistory, LoanCandidate, RepeatBooks, RepeatOrigin,
    choose_lenders,
};
pub use settings::OverloadSettings;
