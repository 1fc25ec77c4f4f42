//! Gray-failure situations: detection time and false ejections against baselines.
//!
//! ```text
//!   SituationPlan x ServiceShape x ChooserKind x seed
//!       └─> FleetSimulation (virtual time) ─> RunMeter ─> RunFigures ─> TableRow ─> SituationTable
//! ```
//!
//! The simulation feeds the choosers the same typed samples as the daemon does. There is no
//! network: delays, partitions and silent connections are simulated. Every chooser gets the same
//! admission control in front of the backend servers, the same retry rule and the same retry
//! budget, so that the rows differ only by detection and upstream selection.
//!
//! An upstream counts as detected from the first moment `t` such that, in each of the windows of
//! 0.2 s, 0.5 s, 1 s, 2 s and 5 s that begin at `t`, it receives at most a tenth of its fair share
//! of requests.

pub mod baselines;
pub mod chooser;
pub mod chooser_kind;
pub mod cost;
pub mod fault;
pub mod figures;
pub mod meter;
pub mod plot;
pub mod services;
pub mod simulation;
pub mod table;

mod flow;
mod injection;
mod periodic;
mod server;

pub use chooser_kind::ChooserKind;
pub use cost::{CostFigures, measure_cost};
pub use figures::TableRow;
pub use table::{SituationTable, TableOptions, run_table};
