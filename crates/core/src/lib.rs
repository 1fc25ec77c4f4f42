//! Types that the other packages share: ids, units, the clock, run states and validation findings.
//!
//! This package does no I/O. The packages with decision logic take the time as a
//! [`std::time::Duration`] since the node started (see [`clock::NodeClock`]) and randomness as a
//! seed, so that the same code runs in the daemon, in deterministic tests and in benchmarks.

pub mod clock;
pub mod finding;
pub mod hash;
pub mod id;
pub mod outcome;
pub mod suggest;
pub mod unit;

pub use clock::{ManualClock, NodeClock, SystemClock};
pub use finding::{FindingList, SettingFinding};
pub use hash::{name_hash, stable_hash};
pub use id::{
    AttemptId, CustomerName, DomainName, InstanceId, NodeId, NodeIncarnation, RequestId,
    ServiceName, UpstreamId,
};
pub use outcome::{RefusalCode, RequestRefusal, RunState};
pub use suggest::nearest_name;
pub use unit::{DurationText, ExactSyntax, LenientSyntax, SizeText, UnitError};
