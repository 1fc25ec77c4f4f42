//! Server side of one request: receives the body and sends the reply.

use std::future::poll_fn;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::Reason;
use h2::server::SendResponse;
use http::Response;
use sycamorelink_core::{AttemptId, InstanceId};

use crate::checksum::BodyChecksum;
use crate::codec::decode_payload;
use crate::connection::OpenWork;
use crate::error::WireError;
use crate::frame::{FrameKind, FrameLimits, put_frame};
use crate::stream::{FrameReader, FrameWriter, chunk_frames, put_value, value_frame};
use crate::work::{BodyEnd, LoadReport, ReplyEnd, ReplyHead, WorkFailed, WorkHead, WorkRefused};

/// Request from a peer for an upstream of this node.
#[derive(Debug)]
pub struct WorkExchange {
    /// Instance of the peer that sent the request.
    pub peer: InstanceId,
    /// Head of the request.
    pub head: WorkHead,
    /// Receiver of the request body.
    pub body: BodyReceiver,
    /// Sender of the reply.
    pub reply: ReplySender,
}

/// Receiver of a request body, which verifies the body against the length and digest at its end.
#[derive(Debug)]
pub struct BodyReceiver {
    reader: FrameReader,
    declared_length: Option<u64>,
    checksum: BodyChecksum,
    ended: bool,
}

impl BodyReceiver {
    pub(crate) fn new(reader: FrameReader, declared_length: Option<u64>) -> Self {
        Self {
            reader,
            declared_length,
            checksum: BodyChecksum::default(),
            ended: false,
        }
    }

    /// Returns the next chunk of the body, or `None` after its verified end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancels, the connection ends or the body does not match its length and
    /// digest.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, WireError> {
        if self.ended {
            return Ok(None);
        }
        let Some(frame) = self.reader.next().await? else {
            return Err(WireError::EndedEarly);
        };
        match frame.kind {
            FrameKind::BodyChunk => {
                self.checksum.update(&frame.payload);
                Ok(Some(frame.payload))
            }
            FrameKind::BodyEnd => {
                self.verify_body(&decode_payload(&frame.payload)?)?;
                self.ended = true;
                Ok(None)
            }
            other => Err(WireError::UnexpectedFrame(other)),
        }
    }

    fn verify_body(&self, end: &BodyEnd) -> Result<(), WireError> {
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

#[derive(Debug)]
enum SendState {
    Unopened(SendResponse<Bytes>),
    Open(FrameWriter),
}

/// Sender of the reply to a request. Dropping it before the end of the reply resets the stream, and
/// the peer gets an error instead of a truncated reply.
#[derive(Debug)]
pub struct ReplySender {
    state: SendState,
    attempt: AttemptId,
    limits: FrameLimits,
    checksum: BodyChecksum,
    finished: bool,
    _open_work: OpenWork,
}

impl ReplySender {
    pub(crate) fn new(
        response: SendResponse<Bytes>,
        attempt: AttemptId,
        limits: FrameLimits,
        open: OpenWork,
    ) -> Self {
        Self {
            state: SendState::Unopened(response),
            attempt,
            limits,
            checksum: BodyChecksum::default(),
            finished: false,
            _open_work: open,
        }
    }

    /// Waits until the peer cancels the request or the connection ends, and returns which. Never
    /// resolves otherwise. Cancel-safe.
    pub async fn cancelled(&mut self) -> WireError {
        match &mut self.state {
            SendState::Unopened(response) => match poll_fn(|cx| response.poll_reset(cx)).await {
                Ok(reason) => WireError::from_reason(reason),
                Err(error) => error.into(),
            },
            SendState::Open(writer) => writer.wait_for_reset().await,
        }
    }

    /// Refuses the request.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancelled the request or the connection ended.
    pub async fn refuse(mut self, refused: &WorkRefused) -> Result<(), WireError> {
        let frame = value_frame(FrameKind::WorkRefused, refused, &self.limits)?;
        self.write_last(frame).await
    }

    /// Reports that the upstream failed, before or during the reply.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancelled the request or the connection ended.
    pub async fn fail(mut self, failed: &WorkFailed) -> Result<(), WireError> {
        let frame = value_frame(FrameKind::WorkFailed, failed, &self.limits)?;
        self.write_last(frame).await
    }

    /// Sends the head of the reply.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancelled the request or the connection ended.
    pub async fn head(&mut self, head: &ReplyHead) -> Result<(), WireError> {
        let frame = value_frame(FrameKind::ReplyHead, head, &self.limits)?;
        self.writer()?.write(frame, false).await
    }

    /// Sends part of the body, waiting while the peer's flow-control window is full.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancelled the request or the connection ended.
    pub async fn chunk(&mut self, chunk: &[u8]) -> Result<(), WireError> {
        let limits = self.limits;
        for (frame, piece) in chunk_frames(FrameKind::ReplyChunk, chunk, &limits)
            .zip(chunk.chunks(limits.chunk.max(1)))
        {
            self.checksum.update(piece);
            self.writer()?.write(frame, false).await?;
        }
        Ok(())
    }

    /// Sends the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancelled the request or the connection ended.
    pub async fn end(mut self, service_time: Duration, load: LoadReport) -> Result<(), WireError> {
        let mut buffer = BytesMut::new();
        self.put_end(&mut buffer, service_time, load)?;
        self.write_last(buffer.freeze()).await
    }

    /// Sends the whole reply in one write.
    ///
    /// # Errors
    ///
    /// Fails if the peer cancelled the request or the connection ended.
    pub async fn whole(
        mut self,
        head: &ReplyHead,
        body: &[u8],
        service_time: Duration,
    ) -> Result<(), WireError> {
        let mut buffer = BytesMut::new();
        put_value(&mut buffer, FrameKind::ReplyHead, head, &self.limits)?;
        for piece in body.chunks(self.limits.chunk.max(1)) {
            self.checksum.update(piece);
            put_frame(&mut buffer, FrameKind::ReplyChunk, piece);
        }
        self.put_end(&mut buffer, service_time, head.load)?;
        self.write_last(buffer.freeze()).await
    }

    fn put_end(
        &self,
        buffer: &mut BytesMut,
        service_time: Duration,
        load: LoadReport,
    ) -> Result<(), WireError> {
        let end = ReplyEnd {
            attempt: self.attempt,
            length: self.checksum.length,
            digest: self.checksum.digest,
            service_time,
            load,
        };
        put_value(buffer, FrameKind::ReplyEnd, &end, &self.limits)
    }

    async fn write_last(&mut self, frame: Bytes) -> Result<(), WireError> {
        self.writer()?.write(frame, true).await?;
        self.finished = true;
        Ok(())
    }

    /// Returns the frame writer. The h2 response headers are sent together with the first frame, so
    /// that a short reply is a single write.
    fn writer(&mut self) -> Result<&mut FrameWriter, WireError> {
        if let SendState::Unopened(response) = &mut self.state {
            let stream = response.send_response(Response::new(()), false)?;
            self.state = SendState::Open(FrameWriter::new(stream));
        }
        match &mut self.state {
            SendState::Open(writer) => Ok(writer),
            SendState::Unopened(_) => Err(WireError::EndedEarly),
        }
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        match &mut self.state {
            SendState::Unopened(response) => response.send_reset(Reason::INTERNAL_ERROR),
            SendState::Open(writer) => writer.cancel(Reason::INTERNAL_ERROR),
        }
    }
}
