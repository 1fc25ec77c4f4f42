//! Replies that are streamed to the caller.

use std::time::Instant;

use bytes::Bytes;
use futures_util::stream::{Stream, unfold};
use sycamorelink_core::RunState;
use sycamorelink_engine::{AttemptReport, NodeEvent};
use sycamorelink_policy::SampleKind;
use tokio::sync::{mpsc, oneshot};
use xitca_web::body::{Body, Frame, SizeHint, StreamDataBody};

use super::exchange::NumberedPart;
use super::socket::CallerSocket;
use crate::body::BodyTruncated;
use crate::inbox::DecisionInput;
use crate::memory::MemoryAccount;
use crate::reply::ReplyPart;
use crate::ring::RingSender;

/// A streamed reply, which outlives its exchange.
pub struct StreamedReply {
    /// Number of the attempt; parts of other attempts are ignored.
    pub number: u16,
    /// Report of the attempt, completed and sent at the end of the reply.
    pub report: AttemptReport,
    /// Start of the attempt.
    pub started: Instant,
    /// Status of the reply.
    pub status: u16,
    /// Bytes that were buffered before streaming started.
    pub buffered: Option<Bytes>,
    /// Account of the chunks that the caller has not read.
    pub memory: MemoryAccount,
    /// Channel for the remaining parts.
    pub parts: mpsc::Receiver<NumberedPart>,
    /// Ring of the decision thread, for the report.
    pub inbox: RingSender<DecisionInput>,
    /// Cancels the attempt when dropped, for example because the caller disconnected.
    pub cancel: oneshot::Sender<()>,
    /// The caller's connection, which is aborted when the reply is truncated.
    pub socket: Option<CallerSocket>,
}

impl StreamedReply {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyTruncated>> {
        if let Some(buffered) = self.buffered.take() {
            return Some(Ok(buffered));
        }
        loop {
            match self.parts.recv().await {
                Some((number, part)) if number == self.number => return self.on_part(part).await,
                Some(_) => {}
                None => {
                    self.abort_connection();
                    return Some(Err(BodyTruncated));
                }
            }
        }
    }

    async fn on_part(&mut self, part: ReplyPart) -> Option<Result<Bytes, BodyTruncated>> {
        match part {
            ReplyPart::Chunk(chunk) => Some(Ok(self.memory.hold(chunk))),
            ReplyPart::End(end) => {
                self.report.service_time = Some(end.service_time);
                self.report.load = end.load;
                self.report_end().await;
                None
            }
            ReplyPart::Head(_) => {
                self.abort_connection();
                Some(Err(BodyTruncated))
            }
            ReplyPart::Failed(failure) => {
                self.report.kind = failure.kind;
                self.report.run = RunState::Unknown;
                self.report_end().await;
                self.abort_connection();
                Some(Err(BodyTruncated))
            }
        }
    }

    /// Aborts the caller's connection, so that the caller neither waits for the rest of a truncated
    /// reply nor takes the reply for a complete one.
    fn abort_connection(&self) {
        if let Some(socket) = &self.socket {
            socket.shut_down();
        }
    }

    async fn report_end(&mut self) {
        self.report.latency = self.started.elapsed();
        self.report.status = Some(self.status);
        let event = NodeEvent::AttemptEnded(self.report.clone());
        self.inbox.send(DecisionInput::Event(event)).await;
    }
}

impl Drop for StreamedReply {
    /// Reports that the caller is gone, unless the attempt has ended, which closes `cancel`.
    fn drop(&mut self) {
        if self.cancel.is_closed() {
            return;
        }
        self.report.kind = SampleKind::Cancelled;
        let event = NodeEvent::CallerGone {
            request: self.report.attempt.request,
        };
        let _ = self.inbox.try_send(DecisionInput::Event(event));
    }
}

/// Returns a reply as a response body, with its length if known.
pub fn stream_body(
    reply: StreamedReply,
    length: Option<u64>,
) -> SizedBody<StreamDataBody<impl Stream<Item = Result<Bytes, BodyTruncated>>>> {
    let stream = unfold(Some(reply), |reply| async move {
        let mut reply = reply?;
        let chunk = reply.next_chunk().await?;
        let next = chunk.is_ok().then_some(reply);
        Some((chunk, next))
    });
    SizedBody {
        inner: Box::pin(StreamDataBody::new(stream)),
        length,
    }
}

/// Body with an optional known length. With a length the response has a `Content-Length`, by which
/// the caller detects truncation.
pub struct SizedBody<B> {
    inner: std::pin::Pin<Box<B>>,
    length: Option<u64>,
}

impl<B> Body for SizedBody<B>
where
    B: Body,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.inner.as_mut().poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
