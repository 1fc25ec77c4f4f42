//! Fault detection, load balancing, ejection, retries and hedges over one service's upstreams.
//!
//! A [`ServicePool`] is one node's view of one service. The crate does no I/O and reads no clock:
//! every call passes `now`, the time since the node started, and the random seed is passed to the
//! constructor.
//!
//! A node plays two roles. As a caller it sends attempts to upstreams on any node. It also runs
//! *beside* its own backend servers and observes every attempt that runs on them; for an upstream,
//! this is "the upstream's own node".
//!
//! ```text
//!   attempts of this node as a caller:      pick, sent, observe
//!   attempts on this node's own upstreams:  started_locally, ended_locally
//!   evidence of peers:                      merge
//!        │
//!        v
//!   scores per kind (failing, wrong, silent, slow, tail)
//!        │
//!        v
//!   tick ──> weights for pick, findings, report (evidence for peers)
//! ```
//!
//! Each kind of fault has a score in nats: the log-likelihood ratio of a faulty upstream against a
//! typical one, bounded below by zero (a CUSUM test). A rising score first takes weight from the
//! upstream: the upstream is *shifted*. Only a high score that stays high ejects it, and ejections
//! never take more capacity than the floor allows.

pub mod capacity;
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
mod declines;
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
mod soonest;
mod spillover;
mod tick;
mod trials;
mod weight;

pub use breaker::{BreakerVerdict, UpstreamBreaker};
pub use call_rates::{CallRates, OpenWork};
pub use capacity::{
    CapacityError, CapacityForecast, CapacityRecord, CapacityTable, ExpectedTime, ServiceCapacity,
    select_freshest,
};
pub use declines::{DeclineCounts, DeclineMonitor};
pub use evidence::{EvidenceRole, EvidenceScores, UpstreamEvidence};
pub use facts::{UpstreamFacts, UpstreamPhase, UpstreamStanding, UpstreamView};
pub use finding::{EjectionCause, PoolFinding};
pub use floor::FloorStatus;
pub use mechanisms::{PolicyMechanism, PolicySettings};
pub use pool::ServicePool;
pub use retry::{AttemptOutcome, RetryDecision, RetryPlan};
pub use sample::{LoadHint, SampleKind, UpstreamSample};
pub use settings::{Leaning, PoolSettings};
pub use soonest::SoonestTerms;
pub use spillover::{DomainWaits, SpilloverShare};
