//! Server side of the protocol between nodes.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use bytes::Bytes;
use sycamorelink_core::{AttemptId, InstanceId, RefusalCode, RequestRefusal, RunState};
use sycamorelink_engine::{NodeEvent, PeerMessage, WorkOffer, WorkTerms};
use sycamorelink_policy::SampleKind;
use sycamorelink_telemetry::{EventCode, EventFields};
use sycamorelink_wire::{
    BodyReceiver as WireBody, ConnectError, FailureKind, FrameError, HandlerFuture,
    HandshakeRefusal, PeerHandler, PeerIdentity, ReplyHead as WireHead, ReplySender, WireError,
    WireSettings, WorkExchange, WorkFailed, WorkHead, WorkRefused, serve_listener,
};
use tokio::sync::{mpsc, oneshot, watch};

use super::attempt::{WorkExtras, load_report};
use super::executor::{ExecutorTask, execute};
use super::{ReplySink, WorkContext};
use crate::body::{BodySender, body_channel};
use crate::inbox::DecisionInput;
use crate::memory::MemoryAccount;
use crate::reply::{AttemptFailure, REPLY_DEPTH, ReplyHead, ReplyPart};

/// Serves peers until the node drains and the last reply is sent.
pub async fn serve_peers(
    context: WorkContext,
    identity: PeerIdentity,
    settings: WireSettings,
    listener: TcpListener,
    drain: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let handler: Rc<dyn PeerHandler<PeerMessage>> = Rc::new(DaemonHandler { context });
    serve_listener(listener, &identity, settings, handler, drain).await;
}

/// Returns the event for a refused connection, or `None` for a network error.
fn refusal_event(error: &ConnectError) -> Option<EventCode> {
    match error {
        ConnectError::Refused(HandshakeRefusal::UnknownVersion)
        | ConnectError::Frame(FrameError::Version(_)) => Some(EventCode::PeerVersion),
        ConnectError::Refused(HandshakeRefusal::UnknownKey) => Some(EventCode::KeyMismatched),
        ConnectError::Refused(HandshakeRefusal::WrongProof) | ConnectError::Unauthenticated => {
            Some(EventCode::PeerForeign)
        }
        ConnectError::Refused(HandshakeRefusal::WrongInstance { .. })
        | ConnectError::WrongInstance { .. } => Some(EventCode::PeerIncarnation),
        ConnectError::Frame(FrameError::Oversized { .. }) => Some(EventCode::FrameOversized),
        ConnectError::Refused(HandshakeRefusal::Malformed)
        | ConnectError::Frame(FrameError::Kind(_) | FrameError::Truncated)
        | ConnectError::Codec(_)
        | ConnectError::UnexpectedFrame(_) => Some(EventCode::FrameMalformed),
        ConnectError::Unreachable(_) | ConnectError::TimedOut => None,
    }
}

struct DaemonHandler {
    context: WorkContext,
}

impl PeerHandler<PeerMessage> for DaemonHandler {
    fn work(&self, exchange: WorkExchange) -> HandlerFuture {
        let context = self.context.clone();
        Box::pin(serve_work(context, exchange))
    }

    fn refused(&self, from: SocketAddr, error: &ConnectError) {
        if let Some(code) = refusal_event(error) {
            let fields = EventFields::new().address(&from).reason(error);
            self.context.events.emit(code, &fields);
        } else {
            tracing::debug!(%from, %error, "failed to accept a connection from a peer");
        }
    }

    fn message(&self, from: InstanceId, message: PeerMessage) {
        let event = NodeEvent::PeerReceived { from, message };
        if self
            .context
            .inbox
            .try_send(DecisionInput::Event(event))
            .is_err()
        {
            let fields = EventFields::new().peer(&from).reason(&"decision");
            self.context.events.emit(EventCode::RingFull, &fields);
        }
    }
}

async fn serve_work(context: WorkContext, exchange: WorkExchange) {
    let WorkExchange {
        peer,
        head,
        body,
        reply,
    } = exchange;
    let _open = context.open_replies.open();
    let attempt = head.attempt;
    let slot = head.upstream.slot;
    if context.memory.is_full() {
        refuse_exhausted(&context, reply, &head).await;
        return;
    }
    let extras = head.guard.as_deref().map(WorkExtras::decode);
    let Some(Ok((extras, terms))) = extras else {
        refuse_malformed(reply, attempt).await;
        return;
    };
    let (part_sender, parts) = mpsc::channel(REPLY_DEPTH);
    let (body_sender, body_receiver) = body_channel();
    let (cancel, cancelled) = oneshot::channel();
    let reply_id_header = extras.reply_id_header.clone();
    let offer = work_offer(&context, peer, &head, (extras, terms));
    let task = ExecutorTask {
        offer,
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: body_receiver,
        body_length: head.body_length,
        reply_id_header,
        reply: ReplySink::new(attempt.number, part_sender),
        cancelled,
    };
    let relay = ReplyRelay {
        context: context.clone(),
        attempt,
        slot,
    };
    let memory = context.memory.clone();
    tokio::task::spawn_local(forward_body(body, body_sender, memory));
    tokio::task::spawn_local(execute(context, task));
    relay.run(parts, reply, cancel).await;
}

fn work_offer(
    context: &WorkContext,
    peer: InstanceId,
    head: &WorkHead,
    (extras, terms): (WorkExtras, Option<WorkTerms>),
) -> WorkOffer {
    WorkOffer {
        work: context.next_work(),
        from: peer,
        attempt: head.attempt,
        slot: head.upstream.slot,
        customer: head.customer.clone(),
        service: head.service.clone(),
        priority: head.priority,
        time_left: head.time_left,
        signature: head.signature,
        ticket: extras.ticket,
        label: extras.label,
        trial_fit: extras.trial_fit,
        insist: extras.insist,
        patience: extras.patience,
        kind: extras.kind,
        arrival: extras.arrival,
        terms,
    }
}

async fn refuse_malformed(reply: ReplySender, attempt: AttemptId) {
    let refused = WorkRefused {
        attempt,
        refusal: RequestRefusal::not_run(RefusalCode::BadRequest),
        load: load_report(None),
    };
    let _ = reply.refuse(&refused).await;
}

/// Refuses work that would wait here while waiting bodies hold all memory for them.
async fn refuse_exhausted(context: &WorkContext, reply: ReplySender, head: &WorkHead) {
    let (used, limit) = (context.memory.used(), context.memory.limit());
    let limit = limit.unwrap_or_default();
    let reason = format!("{} bytes needed", head.body_length.unwrap_or_default());
    let fields = EventFields::new().service(&head.service).count(&used);
    let fields = fields.upstream(&head.upstream).limit(&limit);
    let fields = fields.reason(&reason);
    context.events.emit(EventCode::MemoryExhausted, &fields);
    let refused = WorkRefused {
        attempt: head.attempt,
        refusal: RequestRefusal::not_run(RefusalCode::Overloaded),
        load: load_report(context.loads.get(head.upstream.slot)),
    };
    let _ = reply.refuse(&refused).await;
}

async fn forward_body(mut body: WireBody, sender: BodySender, memory: MemoryAccount) {
    loop {
        match body.chunk().await {
            Ok(Some(chunk)) => {
                if !sender.send(memory.hold(chunk)).await {
                    return;
                }
            }
            Ok(None) => return sender.finish().await,
            Err(_) => return,
        }
    }
}

/// Forwards the parts of a reply to the peer.
struct ReplyRelay {
    context: WorkContext,
    attempt: AttemptId,
    slot: u16,
}

impl ReplyRelay {
    /// Forwards parts until the end of the reply or until the peer cancels it. Dropping `cancel`
    /// cancels the work at the executor.
    async fn run(
        self,
        mut parts: mpsc::Receiver<(u16, ReplyPart)>,
        mut reply: ReplySender,
        cancel: oneshot::Sender<()>,
    ) {
        let mut buffered: Option<(ReplyHead, Vec<Bytes>)> = None;
        loop {
            let part = tokio::select! {
                part = parts.recv() => part,
                _ = reply.cancelled() => break,
            };
            let Some((_, part)) = part else {
                break;
            };
            let sent = match part {
                ReplyPart::Head(head) => {
                    buffered = Some((head, Vec::new()));
                    Ok(())
                }
                ReplyPart::Chunk(chunk) => self.send_chunk(&mut reply, &mut buffered, chunk).await,
                ReplyPart::End(end) => {
                    let _ = self.finish(reply, buffered, end.service_time).await;
                    return;
                }
                ReplyPart::Failed(failure) => {
                    let _ = self.fail(reply, failure).await;
                    return;
                }
            };
            if sent.is_err() {
                break;
            }
        }
        drop(cancel);
    }

    /// Sends a chunk, but holds the head and the first chunk back until a second chunk arrives, so
    /// that a reply of one chunk is sent in a single write.
    async fn send_chunk(
        &self,
        reply: &mut ReplySender,
        buffered: &mut Option<(ReplyHead, Vec<Bytes>)>,
        chunk: Bytes,
    ) -> Result<(), WireError> {
        if let Some((_, chunks)) = buffered
            && chunks.is_empty()
        {
            chunks.push(chunk);
            return Ok(());
        }
        if let Some((head, chunks)) = buffered.take() {
            reply.head(&self.wire_head(head)).await?;
            for earlier in chunks {
                reply.chunk(&earlier).await?;
            }
        }
        reply.chunk(&chunk).await
    }

    async fn finish(
        &self,
        reply: ReplySender,
        buffered: Option<(ReplyHead, Vec<Bytes>)>,
        service_time: std::time::Duration,
    ) -> Result<(), WireError> {
        match buffered {
            Some((head, mut chunks)) => {
                let body = chunks.pop().unwrap_or_default();
                reply
                    .whole(&self.wire_head(head), &body, service_time)
                    .await
            }
            None => {
                reply
                    .end(service_time, load_report(self.context.loads.get(self.slot)))
                    .await
            }
        }
    }

    fn wire_head(&self, head: ReplyHead) -> WireHead {
        WireHead {
            attempt: self.attempt,
            instance: self.context.instance,
            status: head.status,
            headers: head.headers,
            body_length: head.body_length,
            load: load_report(self.context.loads.get(self.slot)),
            queue_time: std::time::Duration::ZERO,
        }
    }

    async fn fail(&self, reply: ReplySender, failure: AttemptFailure) -> Result<(), WireError> {
        let load = load_report(failure.load.or_else(|| self.context.loads.get(self.slot)));
        let attempt = self.attempt;
        if let Some(code) = failure.code {
            let refusal = RequestRefusal {
                code,
                run: failure.run,
                retry_after: failure.retry_after,
            };
            return reply
                .refuse(&WorkRefused {
                    attempt,
                    refusal,
                    load,
                })
                .await;
        }
        let kind = failure_kind(failure.kind, failure.run);
        reply
            .fail(&WorkFailed {
                attempt,
                kind,
                run: failure.run,
                load,
            })
            .await
    }
}

fn failure_kind(kind: SampleKind, run: RunState) -> FailureKind {
    match kind {
        SampleKind::ConnectionLost if run == RunState::NotRun => FailureKind::Unreachable,
        SampleKind::ConnectionLost => FailureKind::ConnectionLost,
        SampleKind::Silent => FailureKind::NoReply,
        SampleKind::Wrong => FailureKind::Truncated,
        SampleKind::Crashed => FailureKind::Crashed,
        SampleKind::Cancelled => FailureKind::Cancelled,
        SampleKind::Served | SampleKind::Failed | SampleKind::Refused => FailureKind::Internal,
    }
}
