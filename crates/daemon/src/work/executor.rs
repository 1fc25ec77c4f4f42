//! Runs one piece of work on a backend server of this node once the decision thread grants a slot,
//! and validates the reply.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};
use sycamorelink_engine::{NodeEvent, ServerNotice, WorkEnd, WorkOffer, WorkReport};
use sycamorelink_limits::admission::WorkId;
use sycamorelink_policy::{LoadHint, SampleKind};
use sycamorelink_telemetry::{EventCode, EventFields};
use tokio::sync::{mpsc, oneshot};

use super::backend::{SendFailure, backend_body, refuses_connections};
use super::{ReplySink, WorkCommand, WorkContext};
use crate::adapters::{BackendRequest, ReplyExpectation, ReplyVerdict, RequestSpec};
use crate::body::BodyReceiver;
use crate::callers::{StoredReply, is_hop_by_hop_header};
use crate::inbox::DecisionInput;
use crate::reply::{AttemptFailure, ReplyEnd, ReplyHead, ReplyPart};

/// Capacity of the command channel of one piece of work.
const COMMAND_DEPTH: usize = 4;
/// Largest reply stored for a resend, in bytes of body.
const STORED_REPLY_LIMIT: usize = 16 << 10;
/// Longest wait before a crash is reported, so that the other executors learn of the crash first.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time past the deadline for which work that must not run twice continues, so that its reply can
/// be stored for a resend.
const STORED_REPLY_GRACE: Duration = Duration::from_mins(1);

/// One request for a backend server of this node.
#[derive(Debug)]
pub struct ExecutorTask {
    /// Description of the work for the decision thread.
    pub offer: WorkOffer,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Request headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Chunks of the request body.
    pub body: BodyReceiver,
    /// Length of the body in bytes; `None` when unknown.
    pub body_length: Option<u64>,
    /// Reply header in which the backend server must repeat the request id; `None` when the
    /// contract names none.
    pub reply_id_header: Option<String>,
    /// Channel for the reply.
    pub reply: ReplySink,
    /// Closed when the work is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// Requests a slot for the task and runs it.
pub async fn execute(context: WorkContext, task: ExecutorTask) {
    let (command_sender, mut commands) = mpsc::channel(COMMAND_DEPTH);
    let work = task.offer.work;
    let input = DecisionInput::Offer(task.offer.clone(), command_sender);
    if context.inbox.try_send(input).is_err() {
        let refusal = RequestRefusal::not_run(RefusalCode::Overloaded);
        refuse(&task.reply, &refusal, None).await;
        return;
    }
    let mut task = task;
    let offered_at = Instant::now();
    let cancellable = task.offer.ticket.is_none();
    let life = tokio::select! {
        command = commands.recv() => match command {
            Some(WorkCommand::Run(life)) => life,
            Some(WorkCommand::Release) => None,
            Some(WorkCommand::Refuse(refusal, load)) => {
                refuse(&task.reply, &refusal, Some(load)).await;
                return;
            }
            Some(WorkCommand::Cancel) | None => {
                let refusal = RequestRefusal::not_run(RefusalCode::Draining);
                refuse(&task.reply, &refusal, None).await;
                return;
            }
        },
        _ = &mut task.cancelled, if cancellable => {
            send_event(&context, NodeEvent::WorkCancelled { work }).await;
            return;
        }
    };
    // The backend server receives the time left after the wait for a slot.
    task.offer.time_left = task.offer.time_left.saturating_sub(offered_at.elapsed());
    run_work(context, task, life, commands).await;
}

async fn run_work(
    context: WorkContext,
    task: ExecutorTask,
    life: Option<Arc<str>>,
    mut commands: mpsc::Receiver<WorkCommand>,
) {
    let cancellable = task.offer.ticket.is_none();
    let work = task.offer.work;
    let slot = task.offer.slot;
    let limit = if cancellable {
        task.offer.time_left
    } else {
        task.offer.time_left + STORED_REPLY_GRACE
    };
    let started_at = Instant::now();
    let mut task = task;
    let cancelled = std::mem::replace(&mut task.cancelled, oneshot::channel().1);
    let run = WorkRun::new(context.clone(), task, life);
    let reply = run.reply.clone();
    let end = tokio::select! {
        end = run.execute() => end,
        () = wait_for_stop(&mut commands, cancelled, cancellable) => RunEnd::of(WorkEnd::Cancelled),
        () = tokio::time::sleep(limit) => RunEnd::of(WorkEnd::Silent),
    };
    let service_time = started_at.elapsed();
    let report = WorkReport {
        work,
        end: end.end,
        status: end.status,
        service_time,
        reply: end.stored,
        notice: end.notice,
    };
    send_event(&context, NodeEvent::WorkEnded(report)).await;
    if end.end == WorkEnd::Crashed {
        let released = commands.recv();
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
    }
    let part = match failure_of(end.end) {
        None => ReplyPart::End(ReplyEnd {
            service_time,
            load: context.loads.get(slot),
        }),
        Some(failure) => ReplyPart::Failed(failure),
    };
    reply.send(part).await;
}

async fn wait_for_stop(
    commands: &mut mpsc::Receiver<WorkCommand>,
    cancelled: oneshot::Receiver<()>,
    cancellable: bool,
) {
    if !cancellable {
        pending::<()>().await;
    }
    tokio::select! {
        _ = commands.recv() => {}
        _ = cancelled => {}
    }
}

fn failure_of(end: WorkEnd) -> Option<AttemptFailure> {
    let (kind, run) = match end {
        WorkEnd::Replied => return None,
        WorkEnd::Declined => {
            let mut declined = AttemptFailure::of(SampleKind::Refused, RunState::NotRun);
            declined.code = Some(RefusalCode::UpstreamFailed);
            return Some(declined);
        }
        WorkEnd::NotStarted | WorkEnd::Replaced => (SampleKind::ConnectionLost, RunState::NotRun),
        WorkEnd::Crashed => (SampleKind::Crashed, RunState::Unknown),
        WorkEnd::ConnectionLost => (SampleKind::ConnectionLost, RunState::Unknown),
        WorkEnd::Rejected => (SampleKind::Wrong, RunState::Unknown),
        WorkEnd::Silent => (SampleKind::Silent, RunState::Unknown),
        WorkEnd::Cancelled => (SampleKind::Cancelled, RunState::Unknown),
    };
    Some(AttemptFailure::of(kind, run))
}

async fn refuse(reply: &ReplySink, refusal: &RequestRefusal, load: Option<LoadHint>) {
    let failure = AttemptFailure {
        kind: SampleKind::Refused,
        run: refusal.run,
        code: Some(refusal.code),
        retry_after: refusal.retry_after,
        load,
    };
    reply.send(ReplyPart::Failed(failure)).await;
}

async fn send_event(context: &WorkContext, event: NodeEvent) {
    context.inbox.send(DecisionInput::Event(event)).await;
}

/// Outcome of a run and the reply to store.
struct RunEnd {
    end: WorkEnd,
    status: Option<u16>,
    stored: Option<Arc<[u8]>>,
    notice: Option<ServerNotice>,
}

impl RunEnd {
    fn of(end: WorkEnd) -> Self {
        Self {
            end,
            status: None,
            stored: None,
            notice: None,
        }
    }
}

struct WorkRun {
    context: WorkContext,
    work: WorkId,
    slot: u16,
    /// Incarnation of the backend server that the work is meant for.
    life: Option<Arc<str>>,
    request_id: String,
    /// Whether the work must not run twice, so that its reply is stored for a resend.
    keyed: bool,
    request: Option<(Request<super::backend::BackendBody>, ReplyExpectation)>,
    reply: ReplySink,
}

impl WorkRun {
    fn new(context: WorkContext, task: ExecutorTask, life: Option<Arc<str>>) -> Self {
        let request_id = task.offer.attempt.request.to_string();
        let spec = RequestSpec {
            method: Method::from_bytes(task.method.as_bytes()).unwrap_or(Method::GET),
            target: task.target,
            headers: task.headers,
            request_id: request_id.clone(),
            reply_id_header: task.reply_id_header,
            life: life.clone(),
            time_left: task.offer.time_left,
            body_length: task.body_length,
        };
        let request = context.adapter.request(spec);
        let request = request.map(|BackendRequest { head, expectation }| {
            (head.map(|()| backend_body(task.body)), expectation)
        });
        Self {
            context,
            work: task.offer.work,
            slot: task.offer.slot,
            life,
            request_id,
            keyed: task.offer.ticket.is_some(),
            request,
            reply: task.reply,
        }
    }

    async fn execute(mut self) -> RunEnd {
        let life = self.life.as_deref();
        let Some(address) = self.context.directory.address(self.slot, life) else {
            return RunEnd::of(WorkEnd::NotStarted);
        };
        let Some((request, expectation)) = self.request.take() else {
            return RunEnd::of(WorkEnd::NotStarted);
        };
        match self
            .context
            .backends
            .send(self.slot, address, request)
            .await
        {
            Ok((response, connection)) => {
                let end = self.read_reply(address, response, &expectation).await;
                if end.end == WorkEnd::Replied {
                    self.context.backends.put_back(connection);
                }
                end
            }
            Err(SendFailure::Interim) => self.reject(EventCode::ReplyMalformed),
            Err(SendFailure::NotSent) => RunEnd::of(WorkEnd::NotStarted),
            Err(SendFailure::Broken { silent }) => RunEnd::of(self.classify(address, silent).await),
        }
    }

    /// Distinguishes a terminated backend server, which refuses new connections, from a lost
    /// connection, which must not lead to the ejection of a healthy server.
    async fn classify(&self, address: SocketAddr, silent: bool) -> WorkEnd {
        let work = self.work;
        send_event(&self.context, NodeEvent::WorkConnectionLost { work }).await;
        if silent {
            self.context.backends.discard_idle(self.slot);
        }
        if refuses_connections(address).await {
            WorkEnd::Crashed
        } else {
            WorkEnd::ConnectionLost
        }
    }

    async fn read_reply(
        &self,
        address: SocketAddr,
        response: Response<Incoming>,
        expectation: &ReplyExpectation,
    ) -> RunEnd {
        let (parts, mut body) = response.into_parts();
        let verdict =
            self.context
                .adapter
                .classify_reply(expectation, parts.status, &parts.headers);
        let notice = self.context.adapter.server_notice(&parts.headers);
        match verdict {
            ReplyVerdict::Own => self.report_notice(notice).await,
            ReplyVerdict::Declined => {
                return RunEnd {
                    notice: Some(notice),
                    ..RunEnd::of(WorkEnd::Declined)
                };
            }
            ReplyVerdict::Replaced => return RunEnd::of(WorkEnd::Replaced),
            ReplyVerdict::Mismatched => return self.reject(EventCode::ReplyMismatched),
            ReplyVerdict::Undelimited => return self.reject(EventCode::ReplyMalformed),
        }
        let head = reply_head(parts.status, &parts.headers);
        self.reply.send(ReplyPart::Head(head.clone())).await;
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                if refuses_connections(address).await {
                    return RunEnd::of(WorkEnd::Crashed);
                }
                return self.reject(EventCode::ReplyTruncated);
            };
            if let Ok(chunk) = frame.into_data() {
                self.buffer_chunk(&mut buffer, &chunk);
                let wanted = self.reply.send(ReplyPart::Chunk(chunk)).await;
                if !wanted && !self.keyed {
                    return RunEnd::of(WorkEnd::Cancelled);
                }
            }
        }
        RunEnd {
            end: WorkEnd::Replied,
            status: Some(head.status),
            stored: self.stored_reply(head, &buffer),
            notice: Some(notice),
        }
    }

    /// Reports a notice before the body has arrived, which can take long. A notice without content
    /// is reported at the end of the work only.
    async fn report_notice(&self, notice: ServerNotice) {
        if notice != ServerNotice::default() {
            let work = self.work;
            send_event(&self.context, NodeEvent::ServerNoticed { work, notice }).await;
        }
    }

    fn reject(&self, code: EventCode) -> RunEnd {
        let fields = EventFields::new()
            .request(&self.request_id)
            .upstream(&self.slot);
        self.context.events.emit(code, &fields);
        RunEnd::of(WorkEnd::Rejected)
    }

    fn buffer_chunk(&self, buffer: &mut BytesMut, chunk: &Bytes) {
        if self.keyed && buffer.len() <= STORED_REPLY_LIMIT {
            buffer.extend_from_slice(chunk);
        }
    }

    fn stored_reply(&self, head: ReplyHead, body: &BytesMut) -> Option<Arc<[u8]>> {
        if !self.keyed || body.len() > STORED_REPLY_LIMIT {
            return None;
        }
        let reply = StoredReply {
            status: head.status,
            headers: head.headers,
            body: body.to_vec(),
        };
        reply.encode().map(Arc::from)
    }
}

fn reply_head(status: StatusCode, headers: &HeaderMap) -> ReplyHead {
    let body_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name) && **name != CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    ReplyHead {
        status: status.as_u16(),
        headers: forwarded,
        body_length,
    }
}
