//! One-way messages over a single long-lived stream.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::connection::ConnectionState;
use crate::error::WireError;
use crate::frame::{FrameKind, FrameLimits};
use crate::stream::{FrameWriter, value_frame};

/// Maximum number of messages in one write.
const MAX_BATCH: usize = 64;

/// Reason why a message was not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The queue holds [`WireSettings::message_queue_capacity`] messages already.
    ///
    /// [`WireSettings::message_queue_capacity`]: crate::WireSettings::message_queue_capacity
    #[error("message queue is full")]
    Full,
    /// The connection or its message stream is closed.
    #[error("connection is closed")]
    Closed,
    /// The message cannot be encoded or is larger than [`FrameLimits::message`].
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Queue of messages of one type to one peer. Queued messages are lost if the connection breaks.
#[derive(Debug)]
pub struct MessageSender<M> {
    queue: mpsc::Sender<Bytes>,
    limits: FrameLimits,
    state: ConnectionState,
    marker: PhantomData<fn(M)>,
}

impl<M> Clone for MessageSender<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            limits: self.limits,
            state: self.state.clone(),
            marker: PhantomData,
        }
    }
}

impl<M> MessageSender<M>
where
    M: Serialize,
{
    pub(crate) fn new(
        queue: mpsc::Sender<Bytes>,
        limits: FrameLimits,
        state: ConnectionState,
    ) -> Self {
        Self {
            queue,
            limits,
            state,
            marker: PhantomData,
        }
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, the connection is closed or the message is too large.
    pub fn send(&self, message: &M) -> Result<(), MessageError> {
        let frame = value_frame(FrameKind::Message, message, &self.limits)?;
        self.state.touch();
        self.queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => MessageError::Full,
            mpsc::error::TrySendError::Closed(_) => MessageError::Closed,
        })
    }

    /// Returns whether the connection or its message stream is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Writes queued messages in batches until the queue or the stream ends. The task also waits for a
/// reset while the queue is empty; otherwise the sender would keep accepting messages for a dead
/// stream.
pub(crate) async fn write_messages(mut queue: mpsc::Receiver<Bytes>, mut writer: FrameWriter) {
    let mut frames = Vec::with_capacity(MAX_BATCH);
    loop {
        let count = tokio::select! {
            count = queue.recv_many(&mut frames, MAX_BATCH) => count,
            _ = writer.wait_for_reset() => return,
        };
        if count == 0 {
            writer.finish();
            return;
        }
        if writer
            .write(concat_frames(&mut frames), false)
            .await
            .is_err()
        {
            return;
        }
    }
}

fn concat_frames(frames: &mut Vec<Bytes>) -> Bytes {
    let mut batch = BytesMut::with_capacity(frames.iter().map(Bytes::len).sum());
    for frame in frames.drain(..) {
        batch.extend_from_slice(&frame);
    }
    batch.freeze()
}
