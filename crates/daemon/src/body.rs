//! Channel for a request body between the exchange, the attempts and the executor.
//!
//! The end of a body is sent explicitly. Without it, a sender that stops early would look like the
//! end of the body, and a backend server would run a part of the request.

use bytes::Bytes;
use tokio::sync::mpsc;

/// Capacity of the channel for a body between two threads, in chunks.
const BODY_DEPTH: usize = 8;

/// Error for a body that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body ended before it was complete")]
pub struct BodyTruncated;

#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    End,
}

/// Sends the chunks of a request body. The receiver takes the body for truncated when the sender is
/// dropped before [`BodySender::finish`].
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<BodyPart>);

impl BodySender {
    /// Sends the next chunk. Returns false when the receiver is closed.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.0.send(BodyPart::Chunk(chunk)).await.is_ok()
    }

    /// Sends the end of the body.
    pub async fn finish(self) {
        let _ = self.0.send(BodyPart::End).await;
    }
}

/// Receives the chunks of a request body.
#[derive(Debug)]
pub struct BodyReceiver {
    parts: mpsc::Receiver<BodyPart>,
    ended: bool,
}

impl BodyReceiver {
    /// Returns the next chunk, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the body ends before it is complete.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        match self.parts.recv().await {
            Some(BodyPart::Chunk(chunk)) => Ok(Some(chunk)),
            Some(BodyPart::End) => {
                self.ended = true;
                Ok(None)
            }
            None if self.ended => Ok(None),
            None => Err(BodyTruncated),
        }
    }
}

/// Creates a channel for a body whose chunks arrive later.
#[must_use]
pub fn body_channel() -> (BodySender, BodyReceiver) {
    channel(BODY_DEPTH)
}

/// Returns a receiver for a body that is already complete.
#[must_use]
pub fn whole_body(bytes: Bytes) -> BodyReceiver {
    let (BodySender(parts), receiver) = channel(2);
    if !bytes.is_empty() {
        let _ = parts.try_send(BodyPart::Chunk(bytes));
    }
    let _ = parts.try_send(BodyPart::End);
    receiver
}

fn channel(depth: usize) -> (BodySender, BodyReceiver) {
    let (sender, parts) = mpsc::channel(depth);
    let receiver = BodyReceiver {
        parts,
        ended: false,
    };
    (BodySender(sender), receiver)
}
