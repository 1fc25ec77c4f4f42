//! Frames: version, kind, length, payload.
//!
//! ```text
//! byte   0        1     2..6              6..
//!        version  kind  length, BE        payload
//! ```

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Version of the inner protocol.
pub const WIRE_VERSION: u8 = 1;

/// Size of a frame header in bytes.
pub(crate) const HEADER_BYTES: usize = 6;

macro_rules! frame_kinds {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)+) => {
        /// Kind of a frame's payload, encoded as one byte.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        #[repr(u8)]
        pub enum FrameKind {
            $($(#[$doc])* $name = $code,)+
        }

        impl FrameKind {
            /// All kinds in order of their codes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            fn from_code(code: u8) -> Option<Self> {
                match code {
                    $($code => Some(Self::$name),)+
                    _ => None,
                }
            }
        }
    };
}

frame_kinds! {
    /// Client's instance, target, nonce and key ids; opens the handshake.
    Hello = 1,
    /// Server's instance, nonce and selected key id.
    Challenge = 2,
    /// Client's proof of the fleet key.
    Proof = 3,
    /// Server's proof of the fleet key.
    Accepted = 4,
    /// Refusal of the handshake; the server closes the connection.
    HandshakeRefused = 5,
    /// Head of a request for an upstream.
    WorkHead = 16,
    /// Chunk of a request body.
    BodyChunk = 17,
    /// End of a request body, with length and digest.
    BodyEnd = 18,
    /// Refusal of a request that did not run on the receiving node.
    WorkRefused = 32,
    /// Head of a reply.
    ReplyHead = 33,
    /// Chunk of a reply body.
    ReplyChunk = 34,
    /// End of a reply body, with length and digest.
    ReplyEnd = 35,
    /// Failure of the upstream before or during the reply.
    WorkFailed = 36,
    /// One-way message.
    Message = 48,
    /// Payload of a UDP datagram; never sent on a stream.
    Datagram = 64,
}

/// Maximum payload sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLimits {
    /// Heads and ends of requests and replies, refusals and failures.
    pub head: usize,
    /// One chunk of a body.
    pub chunk: usize,
    /// One message.
    pub message: usize,
}

impl Default for FrameLimits {
    fn default() -> Self {
        Self {
            head: 256 * 1024,
            chunk: 64 * 1024,
            message: 4 * 1024 * 1024,
        }
    }
}

impl FrameLimits {
    /// Returns the maximum payload in bytes of frames of a kind.
    #[must_use]
    pub const fn for_kind(&self, kind: FrameKind) -> usize {
        match kind {
            FrameKind::Hello
            | FrameKind::Challenge
            | FrameKind::Proof
            | FrameKind::Accepted
            | FrameKind::HandshakeRefused => crate::handshake::MAX_HANDSHAKE_BYTES,
            FrameKind::BodyChunk | FrameKind::ReplyChunk => self.chunk,
            FrameKind::Message => self.message,
            FrameKind::Datagram => crate::datagram::DATAGRAM_BYTES,
            FrameKind::WorkHead
            | FrameKind::BodyEnd
            | FrameKind::WorkRefused
            | FrameKind::ReplyHead
            | FrameKind::ReplyEnd
            | FrameKind::WorkFailed => self.head,
        }
    }
}

/// Decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Kind of the payload.
    pub kind: FrameKind,
    /// Encoded payload, without the header.
    pub payload: Bytes,
}

/// Reason why bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header has another protocol version.
    #[error("unsupported protocol version {0}, expected {WIRE_VERSION}")]
    Version(u8),
    /// The header has an unknown kind.
    #[error("unknown frame kind {0}")]
    Kind(u8),
    /// The payload is above the limit of its kind.
    #[error("frame of {length} bytes is above the limit of {limit}")]
    Oversized {
        /// Payload length in the header, in bytes.
        length: usize,
        /// Limit of the kind in bytes.
        limit: usize,
    },
    /// The stream ended within a frame.
    #[error("stream ended within a frame")]
    Truncated,
}

/// Encodes a frame, header and payload.
#[must_use]
pub fn encode_frame(kind: FrameKind, payload: &[u8]) -> Bytes {
    let mut buffer = BytesMut::with_capacity(HEADER_BYTES + payload.len());
    put_frame(&mut buffer, kind, payload);
    buffer.freeze()
}

/// Appends a frame to a buffer. [`FrameLimits`] keep payloads far below the 4 GiB that the length
/// field can express.
pub(crate) fn put_frame(buffer: &mut BytesMut, kind: FrameKind, payload: &[u8]) {
    buffer.put_u8(WIRE_VERSION);
    buffer.put_u8(kind as u8);
    buffer.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
    buffer.put_slice(payload);
}

/// Parses a frame header and returns the kind and the payload length.
///
/// # Errors
///
/// Fails if the version or kind is unknown or the length is above the limit.
pub(crate) fn read_header(
    header: [u8; HEADER_BYTES],
    limits: &FrameLimits,
) -> Result<(FrameKind, usize), FrameError> {
    let [version, code, length @ ..] = header;
    if version != WIRE_VERSION {
        return Err(FrameError::Version(version));
    }
    let kind = FrameKind::from_code(code).ok_or(FrameError::Kind(code))?;
    let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    let limit = limits.for_kind(kind);
    if length > limit {
        return Err(FrameError::Oversized { length, limit });
    }
    Ok((kind, length))
}

/// Incremental decoder of the frames in a byte stream. The decoder buffers at most one frame and
/// one piece of input, regardless of the length in the header.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    limits: FrameLimits,
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Creates a decoder that rejects payloads above `limits`.
    #[must_use]
    pub fn new(limits: FrameLimits) -> Self {
        Self {
            limits,
            buffer: BytesMut::new(),
        }
    }

    /// Appends bytes received on the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` until enough bytes were pushed.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid frame. The stream cannot be decoded further after an
    /// error.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let (kind, length) = read_header(*header, &self.limits)?;
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length).freeze();
        Ok(Some(Frame { kind, payload }))
    }

    /// Checks that the stream ended on a frame boundary.
    ///
    /// # Errors
    ///
    /// Fails with [`FrameError::Truncated`] if the stream ended within a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() {
            Ok(())
        } else {
            Err(FrameError::Truncated)
        }
    }
}
