//! The work thread: carries attempts to executors and runs work at the backend servers beside this
//! node.
//!
//! ```text
//!  exchange ──AttemptTask──▶ attempt ──inner protocol──▶ executor of another node
//!                               └──────── this node ───▶ executor ──HTTP/1.1──▶ backend server
//!  other node ──inner protocol──▶ serving side ────────────▲
//! ```
//!
//! The executor asks the decision thread for a slot before the backend server sees anything.

mod attempt;
mod backend;
mod directory;
mod executor;
mod serving;
mod thread;

pub use directory::BackendDirectory;
pub use thread::{LoadBoard, PeerOrder, WorkContext, WorkParts, WorkThread};

use std::sync::Arc;

use sycamorelink_core::RequestRefusal;
use sycamorelink_engine::AttemptOrder;
use sycamorelink_policy::LoadHint;
use tokio::sync::{mpsc, oneshot};

use crate::part::{BodyReceiver, ReplyPart};

/// One attempt as the exchange hands it over.
#[derive(Debug)]
pub struct AttemptTask {
    /// What the decision thread ordered.
    pub order: Box<AttemptOrder>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers to hand on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: BodyReceiver,
    /// Its length, where known.
    pub body_length: Option<u64>,
    /// Exact identity of the request for the crash-request registry; zero when unknown.
    pub signature: u64,
    /// Where the parts of the reply go.
    pub reply: ReplySink,
    /// Closed when nobody wants the attempt any more.
    pub cancelled: oneshot::Receiver<()>,
}

/// Puts an attempt's number on the parts of its reply.
#[derive(Clone, Debug)]
pub struct ReplySink {
    number: u16,
    parts: mpsc::Sender<(u16, ReplyPart)>,
}

impl ReplySink {
    /// A sink for the attempt with this number.
    #[must_use]
    pub fn new(number: u16, parts: mpsc::Sender<(u16, ReplyPart)>) -> Self {
        Self { number, parts }
    }

    /// Hands a part on; false when nobody takes it any more.
    pub async fn send(&self, part: ReplyPart) -> bool {
        self.parts.send((self.number, part)).await.is_ok()
    }
}

/// What the decision thread tells one piece of work.
#[derive(Debug)]
pub enum WorkCommand {
    /// Hand it to the backend server, of which this life is meant.
    Run(Option<Arc<str>>),
    /// Refuse it.
    Refuse(RequestRefusal, LoadHint),
    /// Tell its failure.
    Release,
    /// Stop it.
    Cancel,
}
