//! Overload control for services whose callers can wait for several seconds.
//!
//! The mechanisms take effect only under a fleet contract with an objective of at least
//! [`OverloadSettings::objective_from`]. All other fleets keep the gates and budgets of the sibling
//! modules.
//!
//! ```text
//! offer ─ slot free ─▶ run
//!       ├ meets its objective ─▶ queued in time ─┬─▶ start
//!       ├ meets its deadline ──▶ queued late ────┤
//!       │                                        └─▶ refused at its latest start (not run)
//!       └ else ─▶ refused at once (not run)
//! ```

mod account_queue;
mod caller_queue;
mod concurrency;
mod fair;
mod gate;
mod gate_admission;
mod gate_builder;
mod gate_limit;
mod gate_sharing;
mod inflow;
pub mod loans;
mod queue;
mod queue_report;
mod refusals;
mod release_pace;
mod returns;
mod run_cost;
mod settings;
mod speed;
mod waiting_queue;

pub use account_queue::AccountQueue;
pub use caller_queue::{CallerQueue, JoinDecision, WaitEntry, WaitReason, WaitTerms};
pub use concurrency::{ConcurrencyLimit, LimitCause, LimitChange, RunEnd};
pub use fair::{FairQueue, QueueEntry};
pub use gate::DeadlineGate;
pub use gate_builder::DeadlineGateBuilder;
pub use gate_limit::LearnedRuns;
pub use loans::{
    GrantError, LOAN_DURATION, LoanAsk, LoanAskHistory, LoanCandidate, RepeatBooks, RepeatOrigin,
    choose_lenders,
};
pub use queue::{DeadlineQueue, QueueCount, WaitingWork};
pub use queue_report::{QueueEvent, QueuePlace};
pub use refusals::{RefusalSummary, RefusalWindow};
pub use release_pace::ReleasePace;
pub use returns::{CallerNeed, ReturnAdvice, ReturnPacer, ServiceOutlook};
pub use run_cost::RunCosts;
pub use settings::OverloadSettings;
pub use speed::{ServerSpeed, ServiceTimes};
pub use waiting_queue::WaitingQueue;
