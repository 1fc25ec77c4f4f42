//! Where the daemon meets what is not its own, each as an interface.
//!
//! ```text
//!  callers ──── CallerBorder ───────┐          ┌── BackendBorder ──── backend servers
//!  backend servers ─ AnnouncementBorder ─▶ daemon ┤
//!  operators ── ContractSource ─────┘          └── MemberDirectory ── other nodes' addresses
//! ```
//!
//! The product's own forms are the defaults. Another form translates only: it reads and writes, and
//! leaves every decision, all state that must be recovered and every retry to the daemon.

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

/// All borders of one daemon.
pub struct DaemonBorders {
    /// Callers.
    pub caller: Arc<dyn CallerBorder>,
    /// Backend servers, as they are sent requests.
    pub backend: Arc<dyn BackendBorder>,
    /// Backend servers, as they announce themselves; the product's own form is always understood.
    pub announcement: Option<Arc<dyn AnnouncementBorder>>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Where a fleet contract comes from; none when contracts are chains in the log.
    pub contracts: Option<Box<dyn ContractSource>>,
    /// Where nodes find each other besides the settings.
    pub members: Option<Arc<dyn MemberDirectory>>,
}

impl DaemonBorders {
    /// The product's own forms.
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
