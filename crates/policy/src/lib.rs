//! Detection, balancing, ejection floor, retries and hedges over one service's upstreams.
//!
//! A [`ServicePool`] is one node's view of one service. It does no I/O and reads no clock: every
//! call passes `now`, the time since the node started, and the seed comes with construction.
//!
//! ```text
//!   caller's node:   pick ──> sent ──────────> observe
//!   node beside it:           started_here ──> ended_here
//!                                │ age            │ typed sample
//!                                v                v
//!   tick <── scores per kind (failing, wrong, silent, slow) <── merge (evidence of peers)
//!    │
//!    └──> weights for pick, findings, report (evidence for peers)
//! ```
//!
//! Each kind of fault has a score in nats: the log-likelihood ratio of "sick" against "like its
//! peers", bounded below by zero (a CUSUM test). A rising score first takes weight from the
//! upstream; only a high score that stays high ejects it, and never below the floor.

pub mod evidence;
pub mod facts;
pub mod finding;
pub mod pool;
pub mod retry;
pub mod sample;
pub mod settings;

mod baseline;
mod breaker;
mod call_rates;
mod eject;
mod exchange;
mod failing_share;
mod flight;
mod floor;
mod mechanisms;
mod outcome_shares;
mod record;
mod run_times;
mod score;
mod scoring;
mod selection;
mod tick;
mod trials;
mod weight;

pub use breaker::{BreakerVerdict, UpstreamBreaker};
pub use call_rates::{CallRates, OpenWork};
pub use evidence::{EvidenceRole, EvidenceScores, UpstreamEvidence};
pub use facts::{UpstreamFacts, UpstreamPhase, UpstreamStanding, UpstreamView};
pub use finding::{EjectionCause, PoolFinding};
pub use floor::FloorStatus;
pub use mechanisms::{PolicyMechanism, PolicySettings};
pub use pool::ServicePool;
pub use retry::{AttemptOutcome, RetryDecision, RetryPlan};
pub use sample::{LoadHint, SampleKind, UpstreamSample};
pub use settings::{Leaning, PoolSettings};
