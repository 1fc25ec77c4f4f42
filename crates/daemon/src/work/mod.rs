//! The work thread: sends attempts to executors and runs work on the backend servers of this node.
//!
//! ```text
//!  exchange ──AttemptTask──▶ attempt ──node protocol──▶ executor of another node
//!                               └──────── this node ──▶ executor ──HTTP/1.1──▶ backend server
//!  other node ──node protocol──▶ serving side ────────────▲
//! ```
//!
//! The executor requests a slot from the decision thread before it contacts the backend server.

mod attempt;
mod backend;
mod directory;
mod executor;
mod serving;
mod thread;

pub use directory::BackendDirectory;
pub use thread::{LoadBoard, OutboundMessage, WorkContext, WorkParts, WorkThread};

use std::sync::Arc;

use sycamorelink_core::RequestRefusal;
use sycamorelink_engine::AttemptOrder;
use sycamorelink_policy::LoadHint;
use tokio::sync::{mpsc, oneshot};

use crate::body::BodyReceiver;
use crate::reply::ReplyPart;

/// One attempt, sent from the exchange to the work thread.
#[derive(Debug)]
pub struct AttemptTask {
    /// Order of the decision thread.
    pub order: Box<AttemptOrder>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Chunks of the request body.
    pub body: BodyReceiver,
    /// Length of the body in bytes; `None` when unknown.
    pub body_length: Option<u64>,
    /// Hash that identifies the request in the crash-request registry; zero when unknown.
    pub signature: u64,
    /// Channel for the parts of the reply.
    pub reply: ReplySink,
    /// Closed when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// Channel for the parts of a reply, labelled with the attempt's number.
#[derive(Clone, Debug)]
pub struct ReplySink {
    number: u16,
    parts: mpsc::Sender<(u16, ReplyPart)>,
}

impl ReplySink {
    /// Creates a sink for the attempt with this number.
    #[must_use]
    pub fn new(number: u16, parts: mpsc::Sender<(u16, ReplyPart)>) -> Self {
        Self { number, parts }
    }

    /// Sends a part. Returns false when the receiver is closed.
    pub async fn send(&self, part: ReplyPart) -> bool {
        self.parts.send((self.number, part)).await.is_ok()
    }
}

/// Command from the decision thread to one piece of work.
#[derive(Debug)]
pub enum WorkCommand {
    /// Sends the work to the backend server with this process incarnation.
    Run(Option<Arc<str>>),
    /// Refuses the work and reports the backend server's load.
    Refuse(RequestRefusal, LoadHint),
    /// Allows the work to report that its backend server crashed.
    Release,
    /// Cancels the work.
    Cancel,
}
