//! Decision logic of one node: typed events in, typed commands out, no I/O.
//!
//! ```text
//!            NodeEvent                                   NodeCommand
//!  daemon ──────────────▶ NodeEngine::handle(now, ..) ──────────────▶ daemon
//!                          │ contracts ── ContractBook, RouteTable
//!                          │ ingress ──── ShareNode, ServicePool, RetryBudget
//!                          │ executor ─── SlotGate, CrashRegistry
//!                          │ guard ────── GuardNode (at most once)
//!                          └ membership ─ NodeRoster
//! ```
//!
//! The same code runs in the daemon and in golden sessions: time is passed in as the time since
//! the node started, and randomness as a seed.
//!
//! A request's way: it arrives at any node (ingress), which finds its route, takes a share of the
//! customer's limits, asks the key's guards where it must not repeat, and dispatches it to an
//! upstream. The node beside that upstream (executor) gives it a slot or refuses it.

mod agreement;
mod announcing;
mod budgets;
mod command;
mod contact;
mod contracts;
mod crashing;
mod dispatch;
mod ending;
mod event;
mod executor;
mod fencing;
mod fleet;
mod following;
mod guarding;
mod holding;
mod ingress;
mod joining;
mod leaving;
mod meeting;
mod membership;
mod message;
mod node;
mod note;
mod pools;
mod pulling;
mod quotas;
mod repeats;
mod request;
mod settings;
mod standing;
mod status;

pub use command::{AttemptOrder, NodeCommand};
pub use event::{
    ArrivalKind, AttemptReport, CallerRequest, LifeId, LogEntry, LogStream, NodeEvent,
    UpstreamAnnouncement, UpstreamLife, WorkEnd, WorkOffer, WorkReport,
};
pub use fleet::ContractForm;
pub use leaving::{LeavingLife, LeavingMessage};
pub use message::{ContractAsk, PeerMessage};
pub use node::NodeEngine;
pub use note::{NodeNote, RequestSummary};
pub use repeats::RepeatBudgetView;
pub use settings::{EngineSettings, LEAVE_SERVING};
pub use status::{MemberStatus, NodeStatus, ServiceStatus, UpstreamStatus};
