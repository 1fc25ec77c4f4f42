//! Reader and writer of frames on an h2 stream.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use serde::Serialize;

use crate::codec::encode_payload;
use crate::error::WireError;
use crate::frame::{Frame, FrameDecoder, FrameKind, FrameLimits, put_frame};

/// Reader of frames from an h2 stream. Data is read, and flow-control capacity released, only when
/// a frame is requested, so that an idle reader buffers at most the stream's window.
#[derive(Debug)]
pub(crate) struct FrameReader {
    stream: RecvStream,
    decoder: FrameDecoder,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream, limits: FrameLimits) -> Self {
        Self {
            stream,
            decoder: FrameDecoder::new(limits),
        }
    }

    /// Returns the next frame, or `None` at the end of the stream. Cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(Some(frame));
            }
            let Some(data) = poll_fn(|cx| self.stream.poll_data(cx)).await else {
                self.decoder.finish()?;
                return Ok(None);
            };
            let data = data?;
            self.decoder.push(&data);
            self.stream.flow_control().release_capacity(data.len())?;
        }
    }
}

/// Writer of frames to an h2 stream, limited by the peer's flow-control window.
#[derive(Debug)]
pub(crate) struct FrameWriter {
    stream: SendStream<Bytes>,
    write_pending: bool,
}

impl FrameWriter {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self {
            stream,
            write_pending: false,
        }
    }

    /// Writes complete frames. A write that is cancelled midway makes the stream unusable, since
    /// the peer would read the next frame as the rest of the current one; later writes fail.
    pub(crate) async fn write(&mut self, mut bytes: Bytes, end: bool) -> Result<(), WireError> {
        if std::mem::replace(&mut self.write_pending, true) {
            return Err(WireError::WriteInterrupted);
        }
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let granted = self.capacity().await?;
            let piece = bytes.split_to(granted.min(bytes.len()));
            let last = end && bytes.is_empty();
            self.stream.send_data(piece, last)?;
        }
        self.write_pending = false;
        Ok(())
    }

    /// Ends the stream after the data written so far. Has no effect on a stream that has ended.
    pub(crate) fn finish(&mut self) {
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    async fn capacity(&mut self) -> Result<usize, WireError> {
        loop {
            let ready = self.stream.capacity();
            if ready > 0 {
                return Ok(ready);
            }
            match poll_fn(|cx| self.stream.poll_capacity(cx)).await {
                Some(granted) => {
                    granted?;
                }
                None => return Err(self.wait_for_reset().await),
            }
        }
    }

    /// Waits until the peer resets the stream or the connection ends, and returns the error.
    pub(crate) async fn wait_for_reset(&mut self) -> WireError {
        match poll_fn(|cx| self.stream.poll_reset(cx)).await {
            Ok(reason) => WireError::from_reason(reason),
            Err(error) => error.into(),
        }
    }

    pub(crate) fn cancel(&mut self, reason: Reason) {
        self.stream.send_reset(reason);
    }
}

/// Encodes a value as a frame and appends it to a buffer.
pub(crate) fn put_value<T>(
    buffer: &mut BytesMut,
    kind: FrameKind,
    value: &T,
    limits: &FrameLimits,
) -> Result<(), WireError>
where
    T: Serialize,
{
    let payload = encode_payload(value)?;
    if payload.len() > limits.for_kind(kind) {
        return Err(WireError::Oversized(payload.len()));
    }
    put_frame(buffer, kind, &payload);
    Ok(())
}

/// Encodes a value as a frame.
pub(crate) fn value_frame<T>(
    kind: FrameKind,
    value: &T,
    limits: &FrameLimits,
) -> Result<Bytes, WireError>
where
    T: Serialize,
{
    let mut buffer = BytesMut::new();
    put_value(&mut buffer, kind, value, limits)?;
    Ok(buffer.freeze())
}

/// Splits a chunk of any size into frames of at most [`FrameLimits::chunk`] bytes of payload.
pub(crate) fn chunk_frames(
    kind: FrameKind,
    chunk: &[u8],
    limits: &FrameLimits,
) -> impl Iterator<Item = Bytes> {
    chunk.chunks(limits.chunk.max(1)).map(move |piece| {
        let mut buffer = BytesMut::with_capacity(piece.len() + crate::frame::HEADER_BYTES);
        put_frame(&mut buffer, kind, piece);
        buffer.freeze()
    })
}
