//! Adapter traits between the daemon and the systems around it.
//!
//! ```text
//!  callers ──── CallerBorder ───────┐          ┌── BackendBorder ──── backend servers
//!  backend servers ─ AnnouncementBorder ─▶ daemon ┤
//!  operators ── ContractSource ─────┘          └── MemberDirectory ── other nodes' addresses
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

pub use announcement::{AnnouncementAnswer, AnnouncementBorder, AnnouncementCall};
pub use backend::{
    BackendAsk, BackendBorder, BackendRequest, OwnBackendBorder, ReplyExpectation, ReplyVerdict,
    begin_request,
};
pub use caller::{CallerBorder, OwnCallerBorder};
pub use source::{BorderFuture, ContractSource, MemberDirectory, MemberEntry, SourceNews};

/// The adapters of one daemon.
pub struct DaemonBorders {
    /// Protocol of callers.
    pub caller: Arc<dyn CallerBorder>,
    /// Protocol for requests to backend servers.
    pub backend: Arc<dyn BackendBorder>,
    /// Additional protocol for announcements of backend servers; the native one is always accepted.
    pub announcement: Option<Arc<dyn AnnouncementBorder>>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Source of the fleet contract; `None` when contracts are chains of records in the log.
    pub contracts: Option<Box<dyn ContractSource>>,
    /// Directory in which nodes find each other; `None` when only the settings list seeds.
    pub members: Option<Arc<dyn MemberDirectory>>,
}

impl DaemonBorders {
    /// Returns the adapters for the native protocols.
    #[must_use]
    pub fn own(settings: &DaemonSettings) -> Self {
        let log = HttpLogClient::new(settings.log.address, HttpLogSettings::default());
        Self {
            caller: Arc::new(OwnCallerBorder),
            backend: Arc::new(OwnBackendBorder),
            announcement: None,
            log: Arc::new(log),
            contracts: None,
            members: None,
        }
    }
}
