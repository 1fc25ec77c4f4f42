//! Input queue of the decision thread.

use std::sync::Arc;

use sycamorelink_engine::{CallerRequest, NodeEvent, WorkOffer};
use tokio::sync::{mpsc, oneshot};

use crate::callers::CallerCommand;
use crate::operators::OperatorQuery;
use crate::work::WorkCommand;

/// One input of the decision thread.
#[derive(Debug)]
pub enum DecisionInput {
    /// An event that expects no direct reply.
    Event(NodeEvent),
    /// An event whose sender waits until it was handled.
    Confirmed(NodeEvent, oneshot::Sender<()>),
    /// A caller's request, and the channel for commands to its exchange.
    Request(CallerRequest, mpsc::Sender<CallerCommand>),
    /// Offered work, and the channel for commands to its executor task.
    Offer(WorkOffer, mpsc::Sender<WorkCommand>),
    /// A query or an instruction from the operators' port, and the channel for its reply.
    Query(OperatorQuery, oneshot::Sender<Arc<serde_json::Value>>),
    /// Stops the decision thread without draining.
    Stop,
}

/// Capacity of the decision thread's ring, in items.
pub const INBOX_DEPTH: usize = 16 * 1024;
