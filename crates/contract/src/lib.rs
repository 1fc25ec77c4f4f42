//! Customer contracts: JSON form, validation, change replay and the compiled form.
//!
//! ```text
//! operator -> JSON -> CustomerContract -> ContractChange -> the platform's log
//!                                                              |
//!            RouteTable <- TableBuilder <- ContractBook <------+---- peers' snapshots
//!                |
//!           request path
//! ```
//!
//! This crate performs no I/O, starts no threads and reads no clock.

pub mod access;
pub mod book;
pub mod change;
pub mod contract;
pub mod diff;
pub mod digest;
pub mod fleet;
mod pack;
pub mod samples;
mod schema;
pub mod table;
pub mod terms;
mod text;
mod validate;

pub use book::{
    AdoptOutcome, ApplyOutcome, BookEntry, BookSnapshot, CarryWindow, ChangeOutcome, ContractBook,
    DueCarries, HistoryItem, PageRequest, RejectReason, SnapshotAssembly, SnapshotPage,
    VersionConflict, VersionDigest,
};
pub use change::{
    CarryRecord, ChangeAction, ChangeBuilder, ChangeId, ContractChange, ContractVersion, LogRecord,
    RecordError,
};
pub use contract::{CustomerContract, contract_schema};
pub use diff::{ValueChange, diff};
pub use digest::ContentDigest;
pub use fleet::{
    AccountQuota, AccountRule, ContractStamp, FLEET_CUSTOMER, FleetAccount, FleetContract,
    FleetPatch, FleetRoute, FleetRule, FleetTable, PatchError, RoutePart,
};
pub use table::{
    AccountMatch, CustomerIndex, CustomerRule, KeyRule, MethodSet, RouteRule, RouteTable,
    ServiceIndex, ServiceRule,
};
pub use terms::{
    ClientAccount, DetectionLeaning, HedgeBudget, KeyTerms, OpaqueKeys, RateLimit, RepeatClass,
    RetryBudget, RouteMethod, RouteTerms, ServiceObjective, ServiceTerms,
};
pub use text::ContractText;
