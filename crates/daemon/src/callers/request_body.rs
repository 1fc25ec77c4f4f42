//! Body of a caller's request.
//!
//! A body that fits into the replay limit is read whole and kept, so that every attempt gets it. A
//! longer one is streamed to the first attempt, and there is no other attempt.

use bytes::{Bytes, BytesMut};
use sycamorelink_core::RefusalCode;
use tokio::sync::mpsc;
use xitca_web::body::{BodyExt, RequestBody};

use super::socket::CallerSocket;
use crate::body::BodySender;
use crate::memory::{MemoryAccount, MemoryReservation};

/// State of the body of a caller's request.
pub enum CallerBody {
    /// The body was not sent to an attempt yet, and `prefix` was read.
    Unsent {
        /// First bytes of the body.
        prefix: Bytes,
        /// Rest of the body.
        rest: RequestBody,
    },
    /// The whole body.
    Kept(Bytes),
    /// The body is being streamed to an attempt.
    Streaming,
    /// The whole body was streamed to an attempt.
    Streamed,
}

impl CallerBody {
    /// Returns the body if it was read whole and kept.
    pub fn kept(&self) -> Option<&Bytes> {
        match self {
            Self::Kept(bytes) => Some(bytes),
            _ => None,
        }
    }

    /// Returns whether the whole body was read from the caller.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::Kept(_) | Self::Streamed)
    }
}

/// Check that the caller sent a body to its end.
///
/// The HTTP library reports a body that the caller cut off as complete, and without the check the
/// backend server would run half a request.
pub struct EndCheck {
    /// Declared length of the body in bytes; `None` for a chunked body.
    pub declared: Option<u64>,
    /// Connection of the caller. Its end within a chunked body looks like the end of the body.
    pub socket: Option<CallerSocket>,
}

impl EndCheck {
    fn verify(&self, length: u64) -> Result<(), RefusalCode> {
        let is_whole = match self.declared {
            Some(declared) => declared == length,
            // A caller that closed its connection after the last chunk counts as gone.
            None => self
                .socket
                .as_ref()
                .is_some_and(|socket| !socket.is_closed()),
        };
        is_whole.then_some(()).ok_or(RefusalCode::BadRequest)
    }
}

/// Reads a body until its end or until it exceeds `limit` bytes. Returns the bytes read and whether
/// they are the whole body.
///
/// # Errors
///
/// Returns the code of the refusal when the body is incomplete or does not fit into the memory
/// account.
pub async fn read_up_to(
    body: &mut RequestBody,
    limit: u64,
    check: &EndCheck,
    memory: &mut MemoryReservation,
) -> Result<(Bytes, bool), RefusalCode> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| RefusalCode::BadRequest)?;
        bytes.extend_from_slice(&chunk);
        let missing = (bytes.len() as u64).saturating_sub(memory.bytes());
        if !memory.try_grow(missing) {
            return Err(RefusalCode::Overloaded);
        }
        if bytes.len() as u64 > limit {
            return Ok((bytes.freeze(), false));
        }
    }
    check.verify(bytes.len() as u64)?;
    Ok((bytes.freeze(), true))
}

/// Streams a body of at most `limit` bytes to an attempt, and sends the result to `ends` unless the
/// attempt ends first.
pub async fn stream_to_attempt(
    (prefix, mut rest): (Bytes, RequestBody),
    sender: BodySender,
    limit: u64,
    check: EndCheck,
    memory: MemoryAccount,
    ends: mpsc::Sender<Result<(), RefusalCode>>,
) {
    let mut sent = prefix.len() as u64;
    let mut next = Some(prefix).filter(|prefix| !prefix.is_empty());
    let end = loop {
        if let Some(chunk) = next.take()
            && !sender.send(chunk).await
        {
            return;
        }
        match rest.data().await {
            Some(Ok(chunk)) => {
                sent += chunk.len() as u64;
                if sent > limit {
                    break Err(RefusalCode::BodyTooLarge);
                }
                next = Some(memory.hold(chunk));
            }
            Some(Err(_)) => break Err(RefusalCode::BadRequest),
            None => break check.verify(sent),
        }
    };
    let is_whole = end.is_ok();
    // Reported before the attempt fails for the missing end of the body.
    let _ = ends.send(end).await;
    if is_whole {
        sender.finish().await;
    }
}
