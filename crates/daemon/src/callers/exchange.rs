//! One request and its response.
//!
//! The exchange handles commands from the decision thread and parts of replies as they arrive. A
//! reply that fits into the reply buffer is buffered until it is complete, so a truncated reply
//! never reaches the caller and the request can be retried. A larger reply is streamed; when it is
//! truncated, the exchange aborts the connection, so the caller does not take the response for a
//! complete one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response};
use sycamorelink_core::{AttemptId, RefusalCode, RequestId, RequestRefusal, RunState, stable_hash};
use sycamorelink_engine::{AttemptOrder, AttemptReport, NodeEvent};
use sycamorelink_policy::SampleKind;
use sycamorelink_telemetry::{EventCode, EventFields};
use tokio::sync::{mpsc, oneshot};
use xitca_web::body::{RequestBody, ResponseBody};

use super::head::request_target;
use super::request_body::CallerBody;
use super::response::{replay_response, reply_unavailable_response};
use super::socket::{CallerSocket, wait_for_disconnect};
use super::stream::{StreamedReply, stream_body};
use super::{COMMAND_DEPTH, CallerCommand, CallerContext};
use crate::inbox::DecisionInput;
use crate::memory::{MemoryAccount, MemoryReservation};
use crate::metrics::EventPort;
use crate::reply::{REPLY_DEPTH, ReplyEnd, ReplyHead, ReplyPart};
use crate::work::{AttemptTask, ReplySink};

/// Retry delay sent to a caller whose request was refused because the ring is full.
const RING_FULL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay sent to a caller whose request does not fit into the memory for waiting requests. About
/// the time of one run, after which some of them have ended.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Lowest HTTP status that counts as a server error.
const SERVER_ERROR_STATUS: u16 = 500;

/// Part of a reply with the number of its attempt.
pub type NumberedPart = (u16, ReplyPart);

/// Handles one request and returns its response.
pub async fn answer_request(
    context: Arc<CallerContext>,
    request: Request<RequestBody>,
    socket: Option<CallerSocket>,
) -> Response<ResponseBody> {
    let id = context.next_request();
    let (head, body) = request.into_parts();
    let request = Request::from_parts(head, ());
    let caller = match context
        .adapter
        .read_head(id, &request, context.replay_limit())
    {
        Ok(caller) => caller,
        Err(code) => return refuse(&context, id, &RequestRefusal::not_run(code)),
    };
    let (command_sender, commands) = mpsc::channel(COMMAND_DEPTH);
    let replayable = caller.replayable;
    let declared = caller.body_length;
    // Reserved as a whole, so that a request is not refused after half of its body was read.
    let bytes = declared.filter(|_| replayable).unwrap_or(0);
    let Some(memory) = context.memory.try_reserve(bytes) else {
        report_exhausted(&context.events, &context.memory, bytes);
        let refusal = RequestRefusal::not_run(RefusalCode::Overloaded);
        let refusal = refusal.retry_after(MEMORY_RETRY_DELAY);
        return refuse(&context, id, &refusal);
    };
    if context
        .inbox
        .try_send(DecisionInput::Request(caller, command_sender))
        .is_err()
    {
        let refusal =
            RequestRefusal::not_run(RefusalCode::Overloaded).retry_after(RING_FULL_RETRY_DELAY);
        return refuse(&context, id, &refusal);
    }
    let (part_sender, parts) = mpsc::channel(REPLY_DEPTH);
    let (body_end_sender, body_ends) = mpsc::channel(1);
    let exchange = CallerExchange {
        socket,
        context,
        id,
        target: request_target(&request).to_owned(),
        method: request.method().as_str().to_owned(),
        headers: request.headers().clone(),
        body: CallerBody::Unsent {
            prefix: Bytes::new(),
            rest: body,
        },
        replayable,
        declared,
        memory: Some(memory),
        body_end_sender,
        body_ends,
        commands,
        deferred: VecDeque::new(),
        part_sender,
        parts,
        attempts: BTreeMap::new(),
        may_have_run: false,
        answered: false,
    };
    exchange.run().await
}

fn refuse(
    context: &CallerContext,
    id: RequestId,
    refusal: &RequestRefusal,
) -> Response<ResponseBody> {
    context
        .adapter
        .refusal(id, refusal)
        .map(ResponseBody::bytes)
}

/// State of one attempt whose reply is being received.
struct AttemptProgress {
    started: Instant,
    order: Box<AttemptOrder>,
    head: Option<ReplyHead>,
    buffer: BytesMut,
    /// Reservation for the buffer.
    memory: MemoryReservation,
    end: Option<ReplyEnd>,
    /// Cancels the attempt when dropped.
    cancel: oneshot::Sender<()>,
}

/// State of one request. The methods that read its body are in [`super::exchange_body`].
pub(super) struct CallerExchange {
    pub(super) socket: Option<CallerSocket>,
    pub(super) context: Arc<CallerContext>,
    pub(super) id: RequestId,
    pub(super) target: String,
    pub(super) method: String,
    headers: HeaderMap,
    pub(super) body: CallerBody,
    pub(super) replayable: bool,
    /// Declared length of the body in bytes; `None` for a chunked body.
    pub(super) declared: Option<u64>,
    /// Reservation for the body until it is buffered.
    pub(super) memory: Option<MemoryReservation>,
    pub(super) body_end_sender: mpsc::Sender<Result<(), RefusalCode>>,
    /// Result of streaming the body to an attempt.
    body_ends: mpsc::Receiver<Result<(), RefusalCode>>,
    pub(super) commands: mpsc::Receiver<CallerCommand>,
    /// Commands that arrived while the body was being read.
    pub(super) deferred: VecDeque<CallerCommand>,
    part_sender: mpsc::Sender<NumberedPart>,
    parts: mpsc::Receiver<NumberedPart>,
    attempts: BTreeMap<u16, AttemptProgress>,
    /// Whether a backend server may have run one of the attempts that ended.
    may_have_run: bool,
    answered: bool,
}

impl CallerExchange {
    async fn run(mut self) -> Response<ResponseBody> {
        let disconnected = wait_for_disconnect(self.socket.clone());
        tokio::pin!(disconnected);
        loop {
            if let Some(command) = self.deferred.pop_front() {
                if let Some(response) = self.on_command(command).await {
                    return response;
                }
                continue;
            }
            let body_read = self.body.is_read() || self.declared == Some(0);
            tokio::select! {
                () = &mut disconnected, if body_read =>
                    return self.abort(RefusalCode::CallerGone).await,
                command = self.commands.recv() => {
                    let Some(command) = command else {
                        return self.refuse_request(&RequestRefusal::unknown(RefusalCode::Draining));
                    };
                    if let Some(response) = self.on_command(command).await {
                        return response;
                    }
                }
                Some((number, part)) = self.parts.recv() => {
                    if let Some(response) = self.on_part(number, part).await {
                        return response;
                    }
                }
                Some(end) = self.body_ends.recv() => match end {
                    Ok(()) => self.body = CallerBody::Streamed,
                    Err(code) => return self.abort(code).await,
                },
            }
        }
    }

    async fn on_command(&mut self, command: CallerCommand) -> Option<Response<ResponseBody>> {
        match command {
            CallerCommand::Refuse(refusal) => Some(self.refuse_request(&refusal)),
            CallerCommand::ReadBody(limit) => self.read_body(limit).await,
            CallerCommand::Dispatch(order) => self.start_attempt(order).await,
            CallerCommand::Cancel(number) => {
                self.may_have_run |= self.attempts.remove(&number).is_some();
                None
            }
            CallerCommand::Deliver(number) => self.deliver(number),
            CallerCommand::Replay(reply) => {
                self.answered = true;
                Some(replay_response(self.id, &reply).map(ResponseBody::bytes))
            }
            CallerCommand::ReplyUnavailable => {
                self.answered = true;
                Some(reply_unavailable_response(self.id).map(ResponseBody::bytes))
            }
        }
    }

    pub(super) fn refuse_request(&mut self, refusal: &RequestRefusal) -> Response<ResponseBody> {
        self.answered = true;
        refuse(&self.context, self.id, refusal)
    }

    /// Aborts the request for a reason that the exchange detected and notifies the decision thread.
    pub(super) async fn abort(&mut self, code: RefusalCode) -> Response<ResponseBody> {
        self.send_event(NodeEvent::CallerGone { request: self.id })
            .await;
        let retry_after = (code == RefusalCode::Overloaded).then_some(MEMORY_RETRY_DELAY);
        self.refuse_request(&RequestRefusal {
            code,
            run: self.run_state(),
            retry_after,
        })
    }

    /// Returns what is certain about the runs of the attempts so far.
    fn run_state(&self) -> RunState {
        if self.may_have_run || !self.attempts.is_empty() {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }

    async fn start_attempt(&mut self, order: Box<AttemptOrder>) -> Option<Response<ResponseBody>> {
        let number = order.attempt.number;
        if self.replayable {
            if let Some(response) = self.keep_body(order.max_body).await {
                return Some(response);
            }
            if self.has_deferred_cancel(number) {
                return None;
            }
        }
        let Some((body, length)) = self.attempt_body(order.max_body) else {
            self.reject_attempt(&order).await;
            return None;
        };
        let (cancel, cancelled) = oneshot::channel();
        let task = AttemptTask {
            order: order.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self
                .context
                .adapter
                .forwarded(&self.headers, order.account.as_ref()),
            body,
            body_length: length,
            signature: self.signature(order.signature),
            reply: ReplySink::new(number, self.part_sender.clone()),
            cancelled,
        };
        let progress = AttemptProgress {
            started: Instant::now(),
            order,
            head: None,
            buffer: BytesMut::new(),
            memory: self.context.memory.reserve(0),
            end: None,
            cancel,
        };
        self.attempts.insert(number, progress);
        let _ = self.context.attempts.send(task).await;
        None
    }

    /// Returns the request's signature for the crash-request registry. The signature includes the
    /// body's hash, so that blocking a request that crashes backend servers does not block others
    /// with the same path. Without a buffered body the signature is zero, which is never blocked.
    fn signature(&self, head: u64) -> u64 {
        let body = self.body.kept();
        body.map_or(0, |bytes| stable_hash(&[&head.to_be_bytes(), bytes]))
    }

    async fn on_part(&mut self, number: u16, part: ReplyPart) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.get_mut(&number)?;
        match part {
            ReplyPart::Head(head) => {
                progress.head = Some(head);
                None
            }
            ReplyPart::Chunk(chunk) => {
                progress.buffer.extend_from_slice(&chunk);
                progress.memory.grow(chunk.len() as u64);
                let limit = self.context.reply_buffer.min(progress.order.reply_buffer);
                let full = progress.buffer.len() > limit;
                // A reply that may be replaced by a retry stays buffered. Any other is passed on
                // when memory is short, so that its caller's pace limits what is held.
                let is_final = progress.head.as_ref().is_some_and(has_succeeded);
                if full || (is_final && self.context.memory.is_full()) {
                    self.stream_reply(number)
                } else {
                    None
                }
            }
            ReplyPart::End(end) => self.on_end(number, end).await,
            ReplyPart::Failed(failure) => {
                let progress = self.attempts.remove(&number)?;
                self.may_have_run |= failure.run != RunState::NotRun;
                let mut report = attempt_report(&progress, failure.kind, failure.run);
                report.code = failure.code;
                report.load = failure.load;
                report.retry_after = failure.retry_after;
                self.send_event(NodeEvent::AttemptEnded(report)).await;
                None
            }
        }
    }

    /// Handles the end of a complete reply. A server error is buffered until the decision thread
    /// decides whether to retry; any other reply is delivered.
    async fn on_end(&mut self, number: u16, end: ReplyEnd) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.get_mut(&number)?;
        progress.end = Some(end);
        let status = progress.head.as_ref()?.status;
        let kind = sample_kind(status);
        let failed = kind == SampleKind::Failed;
        let mut report = attempt_report(progress, kind, RunState::Ran);
        report.service_time = Some(end.service_time);
        report.load = end.load;
        report.status = Some(status);
        self.send_event(NodeEvent::AttemptEnded(report)).await;
        if failed { None } else { self.deliver(number) }
    }

    fn deliver(&mut self, number: u16) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.remove(&number)?;
        let head = progress.head?;
        self.answered = true;
        let body = ResponseBody::bytes(progress.memory.hold(progress.buffer.freeze()));
        Some(self.reply(&head, body))
    }

    fn reply(&self, head: &ReplyHead, body: ResponseBody) -> Response<ResponseBody> {
        self.context.adapter.reply(self.id, head).map(|()| body)
    }

    /// Streams a reply that exceeds the buffer to the caller. The other attempts are cancelled,
    /// because none can replace this reply from now on.
    fn stream_reply(&mut self, number: u16) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.remove(&number)?;
        let head = progress.head.clone()?;
        self.attempts.clear();
        self.answered = true;
        let (_, empty) = mpsc::channel(1);
        let streamed = StreamedReply {
            number,
            report: attempt_report(&progress, sample_kind(head.status), RunState::Ran),
            started: progress.started,
            status: head.status,
            buffered: Some(progress.memory.hold(progress.buffer.freeze())),
            memory: self.context.memory.clone(),
            parts: std::mem::replace(&mut self.parts, empty),
            inbox: self.context.inbox.clone(),
            cancel: progress.cancel,
            socket: self.socket.clone(),
        };
        let body = ResponseBody::boxed(stream_body(streamed, head.body_length));
        Some(self.reply(&head, body))
    }

    pub(super) async fn send_event(&self, event: NodeEvent) {
        self.context.inbox.send(DecisionInput::Event(event)).await;
    }
}

impl Drop for CallerExchange {
    /// Notifies the decision thread when the caller disconnects, so that the request does not
    /// occupy its slot at the backend server until the deadline. The exchange is dropped with its
    /// connection.
    fn drop(&mut self) {
        if !self.answered {
            let event = NodeEvent::CallerGone { request: self.id };
            let _ = self.context.inbox.try_send(DecisionInput::Event(event));
        }
    }
}

fn has_succeeded(head: &ReplyHead) -> bool {
    sample_kind(head.status) == SampleKind::Served
}

pub(super) fn report_exhausted(events: &EventPort, memory: &MemoryAccount, bytes: u64) {
    let limit = memory.limit().unwrap_or_default();
    let reason = format!("{bytes} bytes needed");
    let (used, fields) = (memory.used(), EventFields::new());
    let fields = fields.count(&used).limit(&limit).reason(&reason);
    events.emit(EventCode::MemoryExhausted, &fields);
}

fn sample_kind(status: u16) -> SampleKind {
    if status >= SERVER_ERROR_STATUS {
        SampleKind::Failed
    } else {
        SampleKind::Served
    }
}

fn attempt_report(progress: &AttemptProgress, kind: SampleKind, run: RunState) -> AttemptReport {
    AttemptReport {
        latency: progress.started.elapsed(),
        reply_bytes: u64::try_from(progress.buffer.len()).unwrap_or(u64::MAX),
        ..report_without_reply(progress.order.attempt, kind, run)
    }
}

/// Returns the report of an attempt of which nothing else is known.
pub(super) fn report_without_reply(
    attempt: AttemptId,
    kind: SampleKind,
    run: RunState,
) -> AttemptReport {
    AttemptReport {
        attempt,
        kind,
        run,
        status: None,
        latency: Duration::ZERO,
        service_time: None,
        load: None,
        code: None,
        retry_after: None,
        reply_bytes: 0,
    }
}
