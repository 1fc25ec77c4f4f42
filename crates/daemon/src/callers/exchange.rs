//! One request and its answer.
//!
//! The exchange waits for the decision thread's commands and for parts of replies, whichever comes
//! first. A reply that fits the reply buffer is held until it is whole, so a reply that breaks off
//! never reaches the caller and the request may still be tried elsewhere. A longer one is streamed;
//! when it breaks off, the connection is broken off too, so a short answer never looks whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response};
use sycamorelink_core::{AttemptId, RefusalCode, RequestId, RequestRefusal, RunState, stable_hash};
use sycamorelink_engine::{AttemptOrder, AttemptReport, NodeEvent};
use sycamorelink_guard::KeyFingerprint;
use sycamorelink_policy::SampleKind;
use tokio::sync::{mpsc, oneshot};
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};

use super::answer::{gone_answer, kept_answer};
use super::head::target_of;
use super::socket::{CallerSocket, gone_caller};
use super::stream::{StreamedReply, stream_body};
use super::{COMMAND_DEPTH, CallerCommand, CallerContext};
use crate::inbox::ShellInput;
use crate::part::{
    BODY_DEPTH, BodyBroken, BodyReceiver, BodySender, REPLY_DEPTH, ReplyEnd, ReplyHead, ReplyPart,
    whole_body,
};
use crate::work::{AttemptTask, ReplySink};

/// When a caller refused for a full ring should come back.
const RING_FULL_WAIT: Duration = Duration::from_millis(250);
/// First status that counts as a server's error.
const SERVER_ERROR: u16 = 500;

/// A part of a reply with the number of its attempt.
pub type NumberedPart = (u16, ReplyPart);

/// Answers one request.
pub async fn answer_request(
    context: Arc<CallerContext>,
    request: Request<RequestBody>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let id = context.next_request();
    let (head, body) = request.into_parts();
    let request = Request::from_parts(head, ());
    let caller = match context
        .border
        .read_head(id, &request, context.replay_limit())
    {
        Ok(caller) => caller,
        Err(code) => return refuse(&context, id, &RequestRefusal::not_run(code)),
    };
    let (port, commands) = mpsc::channel(COMMAND_DEPTH);
    let replayable = caller.replayable;
    let declared = caller.body_length;
    if context
        .inbox
        .try_send(ShellInput::Request(caller, port))
        .is_err()
    {
        let refusal = RequestRefusal::not_run(RefusalCode::Overloaded).retry_after(RING_FULL_WAIT);
        return refuse(&context, id, &refusal);
    }
    let (parts_in, parts) = mpsc::channel(REPLY_DEPTH);
    let exchange = CallerExchange {
        socket: context.sockets.get(peer),
        context,
        id,
        target: target_of(&request).to_owned(),
        method: request.method().as_str().to_owned(),
        headers: request.headers().clone(),
        body: Some(body),
        replayable,
        declared,
        held: None,
        commands,
        parts_in,
        parts,
        attempts: BTreeMap::new(),
        settled: false,
    };
    exchange.run().await
}

fn refuse(
    context: &CallerContext,
    id: RequestId,
    refusal: &RequestRefusal,
) -> Response<ResponseBody> {
    context.border.refusal(id, refusal).map(ResponseBody::bytes)
}

/// One attempt as its parts arrive.
struct AttemptProgress {
    started: Instant,
    order: Box<AttemptOrder>,
    head: Option<ReplyHead>,
    buffer: BytesMut,
    end: Option<ReplyEnd>,
    /// Dropping it stops the attempt.
    cancel: oneshot::Sender<()>,
}

/// Why a body was not held.
enum HoldEnd {
    /// The decision thread refused the request meanwhile.
    Refused(RequestRefusal),
    /// The body cannot be had.
    Broken(RefusalCode),
}

struct CallerExchange {
    socket: Option<CallerSocket>,
    context: Arc<CallerContext>,
    id: RequestId,
    target: String,
    method: String,
    headers: HeaderMap,
    body: Option<RequestBody>,
    replayable: bool,
    declared: Option<u64>,
    held: Option<Bytes>,
    commands: mpsc::Receiver<CallerCommand>,
    parts_in: mpsc::Sender<NumberedPart>,
    parts: mpsc::Receiver<NumberedPart>,
    attempts: BTreeMap<u16, AttemptProgress>,
    settled: bool,
}

impl CallerExchange {
    async fn run(mut self) -> Response<ResponseBody> {
        let gone = gone_caller(self.socket.clone());
        tokio::pin!(gone);
        loop {
            let body_read = self.held.is_some() || self.declared == Some(0);
            tokio::select! {
                () = &mut gone, if body_read => return self.give_up(RefusalCode::CallerGone).await,
                command = self.commands.recv() => {
                    let Some(command) = command else {
                        return self.answer_refusal(&RequestRefusal::unknown(RefusalCode::Draining));
                    };
                    if let Some(answer) = self.on_command(command).await {
                        return answer;
                    }
                }
                Some((number, part)) = self.parts.recv() => {
                    if let Some(answer) = self.on_part(number, part).await {
                        return answer;
                    }
                }
            }
        }
    }

    async fn on_command(&mut self, command: CallerCommand) -> Option<Response<ResponseBody>> {
        match command {
            CallerCommand::Refuse(refusal) => Some(self.answer_refusal(&refusal)),
            CallerCommand::ReadBody(limit) => self.read_whole(limit).await,
            CallerCommand::Dispatch(order) => self.start_attempt(order).await,
            CallerCommand::Cancel(number) => {
                self.attempts.remove(&number);
                None
            }
            CallerCommand::Deliver(number) => self.deliver(number),
            CallerCommand::Kept(reply) => {
                self.settled = true;
                Some(kept_answer(self.id, &reply).map(ResponseBody::bytes))
            }
            CallerCommand::Gone => {
                self.settled = true;
                Some(gone_answer(self.id).map(ResponseBody::bytes))
            }
        }
    }

    fn answer_refusal(&mut self, refusal: &RequestRefusal) -> Response<ResponseBody> {
        self.settled = true;
        refuse(&self.context, self.id, refusal)
    }

    /// Reads the body whole and tells its fingerprint.
    async fn read_whole(&mut self, limit: u64) -> Option<Response<ResponseBody>> {
        if let Some(answer) = self.hold_body(limit).await {
            return Some(answer);
        }
        let bytes = self.held.clone().unwrap_or_default();
        let fingerprint = KeyFingerprint::of(&self.method, &self.target, &bytes);
        let request = self.id;
        self.tell(NodeEvent::BodyRead {
            request,
            fingerprint,
        })
        .await;
        None
    }

    /// The request cannot go on for a reason that the decision thread does not know yet.
    async fn give_up(&mut self, code: RefusalCode) -> Response<ResponseBody> {
        self.tell(NodeEvent::CallerGone { request: self.id }).await;
        self.answer_refusal(&RequestRefusal::not_run(code))
    }

    async fn start_attempt(&mut self, order: Box<AttemptOrder>) -> Option<Response<ResponseBody>> {
        if self.held.is_none() && self.replayable {
            let limit = order.max_body.min(self.context.replay_limit());
            if let Some(answer) = self.hold_body(limit).await {
                return Some(answer);
            }
        }
        let (body, length) = match &self.held {
            Some(bytes) => (whole_body(bytes.clone()), Some(bytes.len() as u64)),
            None => (self.stream_request(order.max_body), None),
        };
        let (cancel, cancelled) = oneshot::channel();
        let number = order.attempt.number;
        let task = AttemptTask {
            order: order.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self
                .context
                .border
                .forwarded(&self.headers, order.account.as_ref()),
            body,
            body_length: length,
            signature: self.signature(order.signature),
            reply: ReplySink::new(number, self.parts_in.clone()),
            cancelled,
        };
        let progress = AttemptProgress {
            started: Instant::now(),
            order,
            head: None,
            buffer: BytesMut::new(),
            end: None,
            cancel,
        };
        self.attempts.insert(number, progress);
        let _ = self.context.attempts.send(task).await;
        None
    }

    /// Failure: a request that crashes backend servers is stopped, and another with the same path
    /// and another body with it. The body's hash goes into the signature; where the body was not
    /// seen whole there is no signature, and nobody is stopped for it.
    fn signature(&self, head: u64) -> u64 {
        let body = self.held.as_ref();
        body.map_or(0, |bytes| stable_hash(&[&head.to_be_bytes(), bytes]))
    }

    /// Reads the body whole and holds it. Answers early when it is too large, broken off, or the
    /// decision thread refuses meanwhile: a caller that sends slowly is not waited for beyond its
    /// deadline.
    async fn hold_body(&mut self, limit: u64) -> Option<Response<ResponseBody>> {
        let Some(mut body) = self.body.take() else {
            self.held.get_or_insert_default();
            return None;
        };
        let read = {
            let read = collect_body(&mut body, limit, self.declared);
            tokio::pin!(read);
            loop {
                tokio::select! {
                    bytes = &mut read => break bytes.map_err(HoldEnd::Broken),
                    command = self.commands.recv() => match command {
                        Some(CallerCommand::Refuse(refusal)) => break Err(HoldEnd::Refused(refusal)),
                        Some(_) => {}
                        None => break Err(HoldEnd::Broken(RefusalCode::Draining)),
                    },
                }
            }
        };
        match read {
            Ok(bytes) => {
                self.held = Some(bytes);
                None
            }
            Err(HoldEnd::Refused(refusal)) => Some(self.answer_refusal(&refusal)),
            Err(HoldEnd::Broken(code)) => Some(self.give_up(code).await),
        }
    }

    fn stream_request(&mut self, limit: u64) -> BodyReceiver {
        let (sender, receiver) = mpsc::channel(BODY_DEPTH);
        if let Some(body) = self.body.take() {
            tokio::task::spawn_local(pump_body(body, sender, limit, self.declared));
        }
        receiver
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
                let most = self.context.reply_buffer.min(progress.order.reply_buffer);
                let full = progress.buffer.len() > most;
                if full {
                    self.stream_reply(number)
                } else {
                    None
                }
            }
            ReplyPart::End(end) => self.on_end(number, end).await,
            ReplyPart::Failed(failure) => {
                let progress = self.attempts.remove(&number)?;
                let mut report = report_of(&progress, failure.kind, failure.run);
                report.code = failure.code;
                report.load = failure.load;
                report.retry_after = failure.retry_after;
                self.tell(NodeEvent::AttemptEnded(report)).await;
                None
            }
        }
    }

    /// A whole reply. A server's error is held until the decision thread says whether to try
    /// elsewhere; any other is the answer.
    async fn on_end(&mut self, number: u16, end: ReplyEnd) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.get_mut(&number)?;
        progress.end = Some(end);
        let status = progress.head.as_ref()?.status;
        let kind = kind_of(status);
        let failed = kind == SampleKind::Failed;
        let mut report = report_of(progress, kind, RunState::Ran);
        report.service_time = Some(end.service_time);
        report.load = end.load;
        report.status = Some(status);
        self.tell(NodeEvent::AttemptEnded(report)).await;
        if failed { None } else { self.deliver(number) }
    }

    fn deliver(&mut self, number: u16) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.remove(&number)?;
        let head = progress.head?;
        self.settled = true;
        let body = ResponseBody::bytes(progress.buffer.freeze());
        Some(self.reply(&head, body))
    }

    fn reply(&self, head: &ReplyHead, body: ResponseBody) -> Response<ResponseBody> {
        self.context.border.reply(self.id, head).map(|()| body)
    }

    /// The reply outgrew the buffer: it goes to the caller as it comes, and no other attempt can
    /// take its place any more.
    fn stream_reply(&mut self, number: u16) -> Option<Response<ResponseBody>> {
        let progress = self.attempts.remove(&number)?;
        let head = progress.head.clone()?;
        self.attempts.clear();
        self.settled = true;
        let (_, empty) = mpsc::channel(1);
        let streamed = StreamedReply {
            number,
            report: report_of(&progress, kind_of(head.status), RunState::Ran),
            started: progress.started,
            status: head.status,
            first: Some(progress.buffer.freeze()),
            parts: std::mem::replace(&mut self.parts, empty),
            inbox: self.context.inbox.clone(),
            cancel: progress.cancel,
            socket: self.socket.clone(),
        };
        let body = ResponseBody::boxed(stream_body(streamed, head.body_length));
        Some(self.reply(&head, body))
    }

    async fn tell(&self, event: NodeEvent) {
        self.context.inbox.send(ShellInput::Event(event)).await;
    }
}

impl Drop for CallerExchange {
    /// Failure: a caller goes away while its request runs; without a word the slot at the backend
    /// server stays taken until the deadline. The exchange is dropped with its connection, so one
    /// event from here is enough for the decision thread to cancel.
    fn drop(&mut self) {
        if !self.settled {
            let event = NodeEvent::CallerGone { request: self.id };
            let _ = self.context.inbox.try_send(ShellInput::Event(event));
        }
    }
}

fn kind_of(status: u16) -> SampleKind {
    if status >= SERVER_ERROR {
        SampleKind::Failed
    } else {
        SampleKind::Served
    }
}

fn report_of(progress: &AttemptProgress, kind: SampleKind, run: RunState) -> AttemptReport {
    let attempt: AttemptId = progress.order.attempt;
    AttemptReport {
        attempt,
        kind,
        run,
        status: None,
        latency: progress.started.elapsed(),
        service_time: None,
        load: None,
        code: None,
        retry_after: None,
        reply_bytes: u64::try_from(progress.buffer.len()).unwrap_or(u64::MAX),
    }
}

/// Failure: a caller breaks off in the middle of its body, and the HTTP library ends the body there
/// as if it were whole; the backend server would run half a request. A body is whole only when it
/// has the length that its head declared.
async fn collect_body(
    body: &mut RequestBody,
    limit: u64,
    declared: Option<u64>,
) -> Result<Bytes, RefusalCode> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| RefusalCode::BadRequest)?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() as u64 > limit {
            return Err(RefusalCode::BodyTooLarge);
        }
    }
    if declared.is_some_and(|length| length != bytes.len() as u64) {
        return Err(RefusalCode::BadRequest);
    }
    Ok(bytes.freeze())
}

/// The same for a body that is sent on as it comes.
async fn pump_body(mut body: RequestBody, sender: BodySender, limit: u64, declared: Option<u64>) {
    let mut sent = 0;
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| BodyBroken);
        sent += chunk.as_ref().map_or(0, |bytes| bytes.len() as u64);
        let chunk = if sent > limit { Err(BodyBroken) } else { chunk };
        let broken = chunk.is_err();
        if sender.send(chunk).await.is_err() || broken {
            return;
        }
    }
    if declared.is_some_and(|length| length != sent) {
        let _ = sender.send(Err(BodyBroken)).await;
    }
}
