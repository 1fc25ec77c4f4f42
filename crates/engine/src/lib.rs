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
//! The daemon and the simulated sessions of the tests run the same code: the time since the node
//! started is an argument, and randomness comes from a seed.
//!
//! A request may arrive at any node. This ingress node finds the route, takes a share of the
//! customer's limits, asks the guards of the key if the request is not idempotent, and dispatches
//! the request to an upstream. The node beside that upstream, the executor, assigns a slot or
//! refuses the request.

mod agreement;
mod announcing;
mod attribution;
mod breaker;
mod budgets;
mod caller_queue;
mod capacity;
mod command;
mod completion;
mod contact;
mod contract_history;
mod contracts;
mod crash_requests;
mod discovery;
mod dispatch;
mod distribution;
mod drain;
mod event;
mod executor;
mod fencing;
mod fleet;
mod following;
mod gates;
mod guarding;
mod health;
mod ingress;
mod joining;
mod leaving;
mod limit_records;
mod local_upstream;
mod membership;
mod message;
mod node;
mod note;
mod overload;
mod overload_status;
mod pools;
mod pulling;
mod quotas;
mod recall;
mod repeat_loans;
mod repeats;
mod request;
mod returns;
mod rivals;
mod server_notices;
mod server_speed;
mod settings;
mod status;

pub use capacity::{CapacityStatus, RefusedForecast};
pub use command::{AttemptOrder, NodeCommand};
pub use event::{
    ArrivalKind, AttemptReport, CallerRequest, LifeId, LimitNotice, LogEntry, LogStream, NodeEvent,
    ServerNotice, UpstreamAnnouncement, UpstreamLife, WorkEnd, WorkOffer, WorkReport, WorkTerms,
};
pub use fleet::ContractMode;
pub use leaving::{LEAVING_RECORD_LIFETIME, LeavingMessage, LeavingServer};
pub use limit_records::LimitedServer;
pub use message::{ContractAsk, PeerMessage};
pub use node::NodeEngine;
pub use note::{NodeNote, QueueStep, RequestSummary, WaitEnd};
pub use overload_status::{OverloadStatus, QueueStatus, WaitStatus};
pub use repeat_loans::RepeatLoanMessage;
pub use repeats::RepeatBudgetView;
pub use rivals::TakeoverReason;
pub use server_speed::ServerSpeedStatus;
pub use settings::{EngineSettings, LEAVE_LIMIT, LEAVE_SERVING};
pub use status::{MemberStatus, NodeStatus, ServiceStatus, UpstreamStatus};
