//! Client side of one request: sends the body and receives the reply.

use bytes::{Bytes, BytesMut};
use h2::Reason;
use h2::client::ResponseFuture;
use sycamorelink_core::{AttemptId, InstanceId};

use crate::checksum::BodyChecksum;
use crate::codec::decode_payload;
use crate::connection::{ConnectionState, OpenWork};
use crate::error::WireError;
use crate::frame::{Frame, FrameKind, FrameLimits, put_frame};
use crate::stream::{FrameReader, FrameWriter, chunk_frames, put_value};
use crate::work::{BodyEnd, ReplyEnd, ReplyHead, WorkFailed, WorkRefused};

/// Sender of a request body. Dropping it before [`Self::finish`] cancels the request.
#[derive(Debug)]
pub struct BodySender {
    writer: FrameWriter,
    limits: FrameLimits,
    state: ConnectionState,
    checksum: BodyChecksum,
    finished: bool,
}

impl BodySender {
    pub(crate) fn new(writer: FrameWriter, limits: FrameLimits, state: ConnectionState) -> Self {
        Self {
            writer,
            limits,
            state,
            checksum: BodyChecksum::default(),
            finished: false,
        }
    }

    /// Sends part of the body, waiting while the peer's flow-control window is full.
    ///
    /// # Errors
    ///
    /// Fails if the peer needs no more of the body or the connection ends.
    pub async fn send(&mut self, chunk: &[u8]) -> Result<(), WireError> {
        let limits = self.limits;
        for (frame, piece) in chunk_frames(FrameKind::BodyChunk, chunk, &limits)
            .zip(chunk.chunks(limits.chunk.max(1)))
        {
            self.checksum.update(piece);
            let written = self.writer.write(frame, false).await;
            written.map_err(|error| self.state.refine_error(error))?;
        }
        Ok(())
    }

    /// Sends the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the peer needs no more of the body or the connection ends.
    pub async fn finish(mut self) -> Result<(), WireError> {
        let mut buffer = BytesMut::new();
        self.put_end(&mut buffer)?;
        self.write_end(buffer).await
    }

    /// Sends the whole body and its end in one write.
    ///
    /// # Errors
    ///
    /// Fails if the peer needs no more of the body or the connection ends.
    pub async fn finish_with(mut self, body: &[u8]) -> Result<(), WireError> {
        let mut buffer = BytesMut::with_capacity(body.len() + self.limits.chunk.min(256));
        for piece in body.chunks(self.limits.chunk.max(1)) {
            self.checksum.update(piece);
            put_frame(&mut buffer, FrameKind::BodyChunk, piece);
        }
        self.put_end(&mut buffer)?;
        self.write_end(buffer).await
    }

    fn put_end(&self, buffer: &mut BytesMut) -> Result<(), WireError> {
        let end = BodyEnd {
            length: self.checksum.length,
            digest: self.checksum.digest,
        };
        put_value(buffer, FrameKind::BodyEnd, &end, &self.limits)
    }

    async fn write_end(&mut self, buffer: BytesMut) -> Result<(), WireError> {
        let written = self.writer.write(buffer.freeze(), true).await;
        self.finished = written.is_ok();
        written.map_err(|error| self.state.refine_error(error))
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            self.writer.cancel(Reason::CANCEL);
        }
    }
}

/// First frame of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyOpening {
    /// The peer refused the request.
    Refused(WorkRefused),
    /// The upstream failed before it replied.
    Failed(WorkFailed),
    /// The upstream replied; the body follows.
    Reply(ReplyHead),
}

#[derive(Debug)]
enum ReceiveState {
    Waiting(ResponseFuture),
    Open(FrameReader),
}

/// Receiver of the reply to a request. Each frame is checked against the request's attempt, and the
/// body against the length and digest in its last frame.
#[derive(Debug)]
pub struct ReplyReceiver {
    state: ReceiveState,
    open_work: OpenWork,
    peer: InstanceId,
    attempt: AttemptId,
    limits: FrameLimits,
    declared_length: Option<u64>,
    checksum: BodyChecksum,
    outcome: Option<Result<ReplyEnd, WorkFailed>>,
}

impl ReplyReceiver {
    pub(crate) fn new(
        response: ResponseFuture,
        open_work: OpenWork,
        peer: InstanceId,
        attempt: AttemptId,
        limits: FrameLimits,
    ) -> Self {
        Self {
            state: ReceiveState::Waiting(response),
            open_work,
            peer,
            attempt,
            limits,
            declared_length: None,
            checksum: BodyChecksum::default(),
            outcome: None,
        }
    }

    /// Waits for the first frame of the reply. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends without a reply or the reply is for another attempt.
    pub async fn opening(&mut self) -> Result<ReplyOpening, WireError> {
        let frame = self.next_frame().await?;
        self.open_work.record_reply();
        match frame.kind {
            FrameKind::WorkRefused => {
                let refused: WorkRefused = decode_payload(&frame.payload)?;
                self.check_attempt(refused.attempt)?;
                Ok(ReplyOpening::Refused(refused))
            }
            FrameKind::WorkFailed => {
                let failed: WorkFailed = decode_payload(&frame.payload)?;
                self.check_attempt(failed.attempt)?;
                Ok(ReplyOpening::Failed(failed))
            }
            FrameKind::ReplyHead => {
                let head: ReplyHead = decode_payload(&frame.payload)?;
                self.check_attempt(head.attempt)?;
                if head.instance != self.peer {
                    return Err(WireError::WrongInstance(head.instance));
                }
                self.declared_length = head.body_length;
                Ok(ReplyOpening::Reply(head))
            }
            other => Err(WireError::UnexpectedFrame(other)),
        }
    }

    /// Returns the next chunk of the body, or `None` at its end; [`Self::outcome`] then tells
    /// whether the body is complete. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends early or the body does not match its length and digest.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, WireError> {
        if self.outcome.is_some() {
            return Ok(None);
        }
        let frame = self.next_frame().await?;
        match frame.kind {
            FrameKind::ReplyChunk => {
                self.checksum.update(&frame.payload);
                Ok(Some(frame.payload))
            }
            FrameKind::ReplyEnd => {
                let end: ReplyEnd = decode_payload(&frame.payload)?;
                self.check_attempt(end.attempt)?;
                self.verify_body(&end)?;
                self.outcome = Some(Ok(end));
                Ok(None)
            }
            FrameKind::WorkFailed => {
                let failed: WorkFailed = decode_payload(&frame.payload)?;
                self.check_attempt(failed.attempt)?;
                self.outcome = Some(Err(failed));
                Ok(None)
            }
            other => Err(WireError::UnexpectedFrame(other)),
        }
    }

    /// Returns how the body ended, or `None` before its end: complete, or cut short because the
    /// upstream failed.
    #[must_use]
    pub fn outcome(&self) -> Option<Result<ReplyEnd, WorkFailed>> {
        self.outcome
    }

    async fn next_frame(&mut self) -> Result<Frame, WireError> {
        let frame = match self.reader().await {
            Ok(reader) => reader.next().await,
            Err(error) => Err(error),
        };
        match frame {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => Err(self.open_work.state().refine_error(WireError::EndedEarly)),
            Err(error) => Err(self.open_work.state().refine_error(error)),
        }
    }

    async fn reader(&mut self) -> Result<&mut FrameReader, WireError> {
        if let ReceiveState::Waiting(response) = &mut self.state {
            let response = response.await?;
            let reader = FrameReader::new(response.into_body(), self.limits);
            self.state = ReceiveState::Open(reader);
        }
        match &mut self.state {
            ReceiveState::Open(reader) => Ok(reader),
            ReceiveState::Waiting(_) => Err(WireError::EndedEarly),
        }
    }

    fn check_attempt(&self, actual: AttemptId) -> Result<(), WireError> {
        if actual == self.attempt {
            return Ok(());
        }
        Err(WireError::WrongAttempt {
            expected: self.attempt,
            actual,
        })
    }

    fn verify_body(&self, end: &ReplyEnd) -> Result<(), WireError> {
        let received = self.checksum;
        let matches_declared = self
            .declared_length
            .is_none_or(|length| length == received.length);
        if matches_declared && end.length == received.length && end.digest == received.digest {
            return Ok(());
        }
        Err(WireError::NotWhole {
            expected: self.declared_length.unwrap_or(end.length),
            actual: received.length,
        })
    }
}
