//! Client side of one attempt: runs it locally or sends it to the executor's node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, RunState};
use sycamorelink_engine::{ArrivalKind, AttemptOrder, NodeEvent, WorkOffer, WorkTerms};
use sycamorelink_guard::DispatchTicket;
use sycamorelink_policy::{LoadHint, SampleKind};
use sycamorelink_wire::{
    BodySender, CodecError, FailureKind, LoadReport, ReplyOpening, ReplyReceiver, WireError,
    WorkFailed, WorkHead, WorkRefused, decode_payload, encode_payload,
};
use tokio::sync::oneshot;

use super::executor::{ExecutorTask, execute};
use super::{AttemptTask, ReplySink, WorkContext};
use crate::body::BodyReceiver;
use crate::reply::{AttemptFailure, ReplyEnd, ReplyHead, ReplyPart};

/// Longest time since a peer's last reply for which the peer gets work without a liveness probe.
/// Connections with work on them complete a round trip every 250 ms.
const LIVENESS_AGE_LIMIT: Duration = Duration::from_millis(300);
/// Timeout of a liveness probe before the work goes to another peer: 70 round trips.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(200);

/// Engine data sent with a work head in addition to the node protocol's own fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkExtras {
    /// Proof of the guards' grants, for a request that must not run twice.
    pub ticket: Option<DispatchTicket>,
    /// Reply header in which the backend server must repeat the request id; `None` when the
    /// contract names none.
    pub reply_id_header: Option<String>,
    /// The caller's id of the request, or the fleet's id if the caller sent none.
    pub label: Arc<str>,
    /// Whether the work may probe a suspect backend server: it may run more than once and has not
    /// been attempted yet.
    pub trial_fit: bool,
    /// Whether to run the work although the backend server is suspect.
    pub insist: bool,
    /// Longest wait for a slot; `None` when only the deadline bounds the wait.
    pub patience: Option<Duration>,
    /// Kind of the work, for the statistics of run times.
    pub kind: u64,
    /// Kind of arrival that the work counts as towards the limit on repeats.
    pub arrival: ArrivalKind,
}

impl WorkExtras {
    /// Encodes the extras, followed by the terms for overload control if there are any.
    ///
    /// Builds without overload control reject bytes after the extras, so the terms are left out
    /// where it is off.
    fn encode(&self, terms: Option<&WorkTerms>) -> Result<Vec<u8>, CodecError> {
        match terms {
            Some(terms) => encode_payload(&(self, terms)),
            None => encode_payload(self),
        }
    }

    /// Decodes the extras, and the terms if there are any.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are neither extras nor extras followed by terms.
    pub fn decode(bytes: &[u8]) -> Result<(Self, Option<WorkTerms>), CodecError> {
        match decode_payload::<Self>(bytes) {
            Err(CodecError::Trailing(_)) => {
                let (extras, terms) = decode_payload::<(Self, WorkTerms)>(bytes)?;
                Ok((extras, Some(terms)))
            }
            extras => Ok((extras?, None)),
        }
    }
}

/// Runs one attempt on this node or on a peer.
pub async fn run_attempt(context: WorkContext, task: AttemptTask) {
    match task.order.address {
        None => execute(context.clone(), local_task(&context, task)).await,
        Some(address) => run_remote(context, task, address).await,
    }
}

fn local_task(context: &WorkContext, task: AttemptTask) -> ExecutorTask {
    ExecutorTask {
        offer: work_offer(context, &task.order, task.signature),
        method: task.method,
        target: task.target,
        headers: task.headers,
        body: task.body,
        body_length: task.body_length,
        reply_id_header: task.order.reply_id_header.as_deref().map(str::to_owned),
        reply: task.reply,
        cancelled: task.cancelled,
    }
}

fn work_offer(context: &WorkContext, order: &AttemptOrder, signature: u64) -> WorkOffer {
    WorkOffer {
        work: context.next_work(),
        from: context.instance,
        attempt: order.attempt,
        slot: order.upstream.slot,
        customer: order.customer.clone(),
        service: order.service.clone(),
        priority: order.priority,
        time_left: order.time_left,
        signature,
        ticket: order.ticket.clone(),
        label: Arc::clone(&order.label),
        trial_fit: order.trial_fit,
        insist: order.insist,
        patience: order.patience,
        kind: order.kind,
        arrival: order.arrival,
        terms: order.terms.clone(),
    }
}

async fn run_remote(context: WorkContext, task: AttemptTask, address: SocketAddr) {
    let reply = task.reply.clone();
    let executor = task.order.executor;
    let failure = match context.peers.connection(executor, address).await {
        Ok(connection)
            if !connection
                .is_alive(LIVENESS_AGE_LIMIT, LIVENESS_TIMEOUT)
                .await =>
        {
            tracing::debug!(peer = %executor, "an executor did not respond to a liveness probe");
            let node = executor.node;
            context
                .send_event(NodeEvent::PeerUnreachable { node })
                .await;
            context
                .send_event(NodeEvent::PeerUnresponsive { node })
                .await;
            Some(AttemptFailure::of(
                SampleKind::ConnectionLost,
                RunState::NotRun,
            ))
        }
        Ok(connection) => {
            let head = work_head(&task);
            match connection.work(&head).await {
                Ok((sender, receiver)) => run_exchange(task, sender, receiver).await,
                Err(error) => Some(failure_from_connection(&error)),
            }
        }
        Err(error) => {
            tracing::debug!(peer = %executor, %error, "failed to reach an executor");
            context
                .send_event(NodeEvent::PeerUnreachable {
                    node: executor.node,
                })
                .await;
            Some(AttemptFailure::of(
                SampleKind::ConnectionLost,
                RunState::NotRun,
            ))
        }
    };
    if let Some(failure) = failure {
        if failure.kind == SampleKind::ConnectionLost && failure.run == RunState::Unknown {
            tokio::task::spawn_local(reconnect(context, executor, address));
        }
        reply.send(ReplyPart::Failed(failure)).await;
    }
}

/// Opens a new connection to replace one that broke or went silent during an attempt.
async fn reconnect(context: WorkContext, executor: InstanceId, address: SocketAddr) {
    let node = executor.node;
    let event = match context.peers.connection(executor, address).await {
        Ok(_) => NodeEvent::PeerReconnected { node },
        Err(_) => NodeEvent::PeerUnreachable { node },
    };
    context.send_event(event).await;
}

fn work_head(task: &AttemptTask) -> WorkHead {
    let order = &task.order;
    let extras = WorkExtras {
        ticket: order.ticket.clone(),
        reply_id_header: order.reply_id_header.as_deref().map(str::to_owned),
        label: Arc::clone(&order.label),
        trial_fit: order.trial_fit,
        insist: order.insist,
        patience: order.patience,
        kind: order.kind,
        arrival: order.arrival,
    };
    WorkHead {
        attempt: order.attempt,
        upstream: order.upstream,
        customer: order.customer.clone(),
        service: order.service.clone(),
        method: task.method.clone(),
        target: task.target.clone(),
        headers: task.headers.clone(),
        time_left: order.time_left,
        priority: order.priority,
        signature: task.signature,
        guard: extras.encode(order.terms.as_ref()).ok(),
        body_length: task.body_length,
    }
}

/// Sends the body and receives the reply. Returns the failure when the reply is incomplete. On
/// cancellation, dropping both halves of the stream cancels the work at the executor.
async fn run_exchange(
    task: AttemptTask,
    sender: BodySender,
    receiver: ReplyReceiver,
) -> Option<AttemptFailure> {
    let AttemptTask {
        body,
        body_length,
        reply,
        mut cancelled,
        ..
    } = task;
    let (stop, stopped) = oneshot::channel::<()>();
    tokio::task::spawn_local(send_body(sender, body, body_length, stopped));
    let failure = tokio::select! {
        failure = receive_reply(receiver, &reply) => failure,
        _ = &mut cancelled => None,
    };
    drop(stop);
    failure
}

/// Sends the request body. A truncated body is cancelled instead of finished, so that the executor
/// does not take it for a complete request.
async fn send_body(
    mut sender: BodySender,
    mut body: BodyReceiver,
    length: Option<u64>,
    mut stopped: oneshot::Receiver<()>,
) {
    let sending = async {
        let mut sent = 0;
        loop {
            let chunk = match body.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(_) => return,
            };
            sent += chunk.len() as u64;
            if length == Some(sent) {
                let _ = sender.finish_with(&chunk).await;
                return;
            }
            if sender.send(&chunk).await.is_err() {
                return;
            }
        }
        if length.is_none_or(|length| length == sent) {
            let _ = sender.finish().await;
        }
    };
    tokio::select! {
        () = sending => {}
        _ = &mut stopped => {}
    }
}

async fn receive_reply(mut receiver: ReplyReceiver, reply: &ReplySink) -> Option<AttemptFailure> {
    let head = match receiver.opening().await {
        Ok(ReplyOpening::Reply(head)) => head,
        Ok(ReplyOpening::Refused(refused)) => return Some(failure_from_refusal(&refused)),
        Ok(ReplyOpening::Failed(failed)) => return Some(failure_from_report(&failed)),
        Err(error) => return Some(failure_from_connection(&error)),
    };
    let head = ReplyHead {
        status: head.status,
        headers: head.headers,
        body_length: head.body_length,
    };
    reply.send(ReplyPart::Head(head)).await;
    loop {
        match receiver.chunk().await {
            Ok(Some(chunk)) => {
                if !reply.send(ReplyPart::Chunk(chunk)).await {
                    return None;
                }
            }
            Ok(None) => break,
            Err(error) => return Some(failure_from_connection(&error)),
        }
    }
    match receiver.outcome() {
        Some(Ok(end)) => {
            let service_time: Duration = end.service_time;
            let load = Some(load_hint(end.load));
            reply
                .send(ReplyPart::End(ReplyEnd { service_time, load }))
                .await;
            None
        }
        Some(Err(failed)) => Some(failure_from_report(&failed)),
        None => Some(AttemptFailure::of(SampleKind::Wrong, RunState::Unknown)),
    }
}

fn failure_from_refusal(refused: &WorkRefused) -> AttemptFailure {
    AttemptFailure {
        kind: SampleKind::Refused,
        run: refused.refusal.run,
        code: Some(refused.refusal.code),
        retry_after: refused.refusal.retry_after,
        load: Some(load_hint(refused.load)),
    }
}

fn failure_from_report(failed: &WorkFailed) -> AttemptFailure {
    let kind = match failed.kind {
        FailureKind::Unreachable | FailureKind::ConnectionLost => SampleKind::ConnectionLost,
        FailureKind::NoReply => SampleKind::Silent,
        FailureKind::Truncated | FailureKind::Malformed | FailureKind::WrongRequest => {
            SampleKind::Wrong
        }
        FailureKind::Crashed => SampleKind::Crashed,
        FailureKind::Cancelled => SampleKind::Cancelled,
        FailureKind::Internal => SampleKind::Failed,
    };
    let load = Some(load_hint(failed.load));
    AttemptFailure {
        load,
        ..AttemptFailure::of(kind, failed.run)
    }
}

/// Converts a failure of the connection to the executor, which does not count against the backend
/// server.
fn failure_from_connection(error: &WireError) -> AttemptFailure {
    let kind = match error {
        WireError::NotWhole { .. }
        | WireError::WrongAttempt { .. }
        | WireError::WrongInstance(_) => SampleKind::Wrong,
        WireError::Abandoned => SampleKind::Cancelled,
        WireError::TooManyStreams => SampleKind::Refused,
        _ => SampleKind::ConnectionLost,
    };
    AttemptFailure::of(kind, error.run_state())
}

fn load_hint(load: LoadReport) -> LoadHint {
    LoadHint {
        in_use: load.in_use,
        slots: load.slots,
        queued: u16::try_from(load.queued).unwrap_or(u16::MAX),
        failing: load.failing,
    }
}

/// Converts a load to the node protocol's form.
#[must_use]
pub fn load_report(hint: Option<LoadHint>) -> LoadReport {
    let hint = hint.unwrap_or_default();
    LoadReport {
        in_use: hint.in_use,
        slots: hint.slots,
        queued: u32::from(hint.queued),
        failing: hint.failing,
    }
}
