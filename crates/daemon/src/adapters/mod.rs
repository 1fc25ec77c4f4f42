//! Adapter traits between the daemon and the systems around it.
//!
//! ```text
//!  callers ───────── CallerAdapter ───────┐            ┌─ BackendAdapter ── backend servers
//!  backend servers ─ AnnouncementAdapter ─┼─▶ daemon ──┤
//!  operators ─────── ContractSource ──────┘            └─ MemberDirectory ─ other nodes' addresses
//! ```
//!
//! The native protocols are the defaults. Other implementations only translate between protocols:
//! every decision, all state that must be recovered and every retry stay in the daemon.

mod announcement;
mod backend;
mod caller;
mod source;

use std::sync::Arc;

use sycamorelink_log::{HttpLogClient, HttpLogSettings, LogClient};

use crate::settings::DaemonSettings;

pub use announcement::{AnnouncementAdapter, AnnouncementAnswer, AnnouncementCall};
pub use backend::{
    BackendAdapter, BackendRequest, NativeBackendAdapter, ReplyExpectation, ReplyVerdict,
    RequestSpec, build_request_head, read_leaving, read_limit,
};
pub use caller::{CallerAdapter, NativeCallerAdapter};
pub use source::{
    AdapterFuture, ContractSource, DirectoryListing, LeavingEntry, MemberDirectory, MemberEntry,
    SourceUpdate,
};

/// The adapters of one daemon.
pub struct DaemonAdapters {
    /// Protocol of callers.
    pub caller: Arc<dyn CallerAdapter>,
    /// Protocol for requests to backend servers.
    pub backend: Arc<dyn BackendAdapter>,
    /// Additional protocol for announcements of backend servers; the native one is always accepted.
    pub announcement: Option<Arc<dyn AnnouncementAdapter>>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Source of the fleet contract; `None` when contracts are chains of records in the log.
    pub contracts: Option<Box<dyn ContractSource>>,
    /// Directory in which nodes find each other; `None` when only the settings list seeds.
    pub members: Option<Arc<dyn MemberDirectory>>,
}

impl DaemonAdapters {
    /// Returns the adapters for the native protocols.
    #[must_use]
    pub fn native(settings: &DaemonSettings) -> Self {
        let log = HttpLogClient::new(settings.log.address, HttpLogSettings::default());
        Self {
            caller: Arc::new(NativeCallerAdapter),
            backend: Arc::new(NativeBackendAdapter),
            announcement: None,
            log: Arc::new(log),
            contracts: None,
            members: None,
        }
    }
}
