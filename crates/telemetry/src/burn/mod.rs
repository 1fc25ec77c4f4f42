//! Error budget burn: how fast a service uses up the bad requests that its objective allows.

mod alert;
mod classify;
mod counts;
mod html;
mod ledger;
mod objective;
mod report;
mod ring;
mod summary;
mod table;
mod time;
mod tracker;
mod window;

pub use alert::{BurnAlert, BurnRule, burn_rate};
pub use classify::RequestEnd;
pub use counts::{BurnCounts, BurnOutcome};
pub use html::BurnPage;
pub use ledger::{BurnLedger, OTHER_NAME, ObjectiveSource, ObjectiveTerm};
pub use objective::BurnObjective;
pub use report::{BurnPoint, BurnQuery, BurnReport, BurnRow, BurnSource, ReportDetail};
pub use summary::{BurnSummary, SummaryPoint, SummaryRow, SummaryWindow};
pub use table::BurnTable;
pub use time::UtcTime;
pub use tracker::{AlertChange, AlertTracker};
pub use window::{BurnWindow, WindowCoverage};
