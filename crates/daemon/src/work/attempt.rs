//! The sending side of one attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, RunState};
use sycamorelink_engine::{ArrivalKind, AttemptOrder, NodeEvent, WorkOffer};
use sycamorelink_guard::DispatchTicket;
use sycamorelink_policy::{LoadHint, SampleKind};
use sycamorelink_wire::{
    BodySender, FailureKind, LoadReport, ReplyOpening, ReplyReceiver, WireError, WorkFailed,
    WorkHead, WorkRefused, encode_payload,
};
use tokio::sync::oneshot;

use super::executor::{ExecutorTask, execute};
use super::{AttemptTask, ReplySink, WorkContext};
use crate::part::{AttemptFailure, BodyReceiver, ReplyEnd, ReplyHead, ReplyPart};

/// How long ago a peer may have answered to be sent work without being asked first. Connections with
/// work on them prove a round trip every 250 ms.
const PROOF_AGE: Duration = Duration::from_millis(300);
/// Longest wait for a peer's answer before work is sent to another: seventy times the way there and
/// back.
const PROOF_WAIT: Duration = Duration::from_millis(200);

/// What rides along with a work head besides the inner protocol's own fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkExtras {
    /// Proof of the grants, for a request that must not repeat.
    pub ticket: Option<DispatchTicket>,
    /// Header in which the backend server must repeat the request id.
    pub reply_id_header: Option<String>,
    /// The caller's own id of the request, else the fleet's.
    pub label: Arc<str>,
    /// Whether it may serve as a trial of a backend server that may be failing: it may be run more
    /// than once, and has not been tried yet.
    pub trial_fit: bool,
    /// Whether it is to run although the backend server may be failing.
    pub insist: bool,
    /// How long it may wait for a slot; none when only its deadline bounds the wait.
    pub patience: Option<Duration>,
    /// Which kind of work it is, for what is learned of run times.
    pub kind: u64,
    /// How it counts towards the bound on repeats.
    pub arrival: ArrivalKind,
}

/// Carries out one attempt, here or at a peer.
pub async fn run_attempt(context: WorkContext, task: AttemptTask) {
    match task.order.address {
        None => execute(context.clone(), local_task(&context, task)).await,
        Some(address) => run_remote(context, task, address).await,
    }
}

fn local_task(context: &WorkContext, task: AttemptTask) -> ExecutorTask {
    ExecutorTask {
        offer: offer_of(context, &task.order, task.signature),
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

fn offer_of(context: &WorkContext, order: &AttemptOrder, signature: u64) -> WorkOffer {
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
    }
}

async fn run_remote(context: WorkContext, task: AttemptTask, address: SocketAddr) {
    let reply = task.reply.clone();
    let executor = task.order.executor;
    let part = match context.peers.connection(executor, address).await {
        Ok(connection) if !connection.is_alive(PROOF_AGE, PROOF_WAIT).await => {
            tracing::debug!(peer = %executor, "an executor does not answer");
            let node = executor.node;
            context.tell(NodeEvent::PeerUnreachable { node }).await;
            context.tell(NodeEvent::PeerQuiet { node }).await;
            Some(AttemptFailure::of(
                SampleKind::ConnectionLost,
                RunState::NotRun,
            ))
        }
        Ok(connection) => {
            let head = head_of(&task);
            match connection.work(&head).await {
                Ok((sender, receiver)) => exchange(task, sender, receiver).await,
                Err(error) => Some(lost(&error)),
            }
        }
        Err(error) => {
            tracing::debug!(peer = %executor, %error, "cannot reach an executor");
            context
                .tell(NodeEvent::PeerUnreachable {
                    node: executor.node,
                })
                .await;
            Some(AttemptFailure::of(
                SampleKind::ConnectionLost,
                RunState::NotRun,
            ))
        }
    };
    if let Some(failure) = part {
        if failure.kind == SampleKind::ConnectionLost && failure.run == RunState::Unknown {
            tokio::task::spawn_local(reconnect(context, executor, address));
        }
        reply.send(ReplyPart::Failed(failure)).await;
    }
}

/// Tries a new connection in place of one that broke or went silent under an attempt.
async fn reconnect(context: WorkContext, executor: InstanceId, address: SocketAddr) {
    let node = executor.node;
    let event = match context.peers.connection(executor, address).await {
        Ok(_) => NodeEvent::PeerReconnected { node },
        Err(_) => NodeEvent::PeerUnreachable { node },
    };
    context.tell(event).await;
}

fn head_of(task: &AttemptTask) -> WorkHead {
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
        guard: encode_payload(&extras).ok(),
        body_length: task.body_length,
    }
}

/// Sends the body and takes the reply; gives the failure when there is no whole reply. Dropping
/// both ends on a cancel tells the executor.
async fn exchange(
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

/// A body that breaks off is cancelled, never finished: a short request must not look whole.
async fn send_body(
    mut sender: BodySender,
    mut body: BodyReceiver,
    length: Option<u64>,
    mut stopped: oneshot::Receiver<()>,
) {
    let sending = async {
        let mut sent = 0;
        while let Some(chunk) = body.recv().await {
            let Ok(chunk) = chunk else {
                return;
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
        Ok(ReplyOpening::Refused(refused)) => return Some(refused_by(&refused)),
        Ok(ReplyOpening::Failed(failed)) => return Some(failed_at(&failed)),
        Err(error) => return Some(lost(&error)),
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
            Err(error) => return Some(lost(&error)),
        }
    }
    match receiver.outcome() {
        Some(Ok(end)) => {
            let service_time: Duration = end.service_time;
            let load = Some(hint_of(end.load));
            reply
                .send(ReplyPart::End(ReplyEnd { service_time, load }))
                .await;
            None
        }
        Some(Err(failed)) => Some(failed_at(&failed)),
        None => Some(AttemptFailure::of(SampleKind::Wrong, RunState::Unknown)),
    }
}

fn refused_by(refused: &WorkRefused) -> AttemptFailure {
    AttemptFailure {
        kind: SampleKind::Refused,
        run: refused.refusal.run,
        code: Some(refused.refusal.code),
        retry_after: refused.refusal.retry_after,
        load: Some(hint_of(refused.load)),
    }
}

fn failed_at(failed: &WorkFailed) -> AttemptFailure {
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
    let load = Some(hint_of(failed.load));
    AttemptFailure {
        load,
        ..AttemptFailure::of(kind, failed.run)
    }
}

/// The path to the executor broke: that says nothing about the backend server.
fn lost(error: &WireError) -> AttemptFailure {
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

fn hint_of(load: LoadReport) -> LoadHint {
    LoadHint {
        in_use: load.in_use,
        slots: load.slots,
        queued: u16::try_from(load.queued).unwrap_or(u16::MAX),
        failing: load.failing,
    }
}

/// The load as the inner protocol carries it.
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
