//! Errors of connections and streams.

use h2::Reason;
use sycamorelink_core::{AttemptId, InstanceId, RunState};

use crate::codec::CodecError;
use crate::frame::{FrameError, FrameKind};
use crate::handshake::HandshakeRefusal;

/// Reason why a connection was not established. No request was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The TCP connection failed, or broke during the handshake.
    #[error("cannot reach the peer: {0}")]
    Unreachable(String),
    /// TCP connect and handshake exceeded [`WireSettings::connect_limit`].
    ///
    /// [`WireSettings::connect_limit`]: crate::WireSettings::connect_limit
    #[error("handshake timed out")]
    TimedOut,
    /// The peer refused the handshake.
    #[error("peer refused the handshake: {0}")]
    Refused(HandshakeRefusal),
    /// The address belongs to another node or to another incarnation of the expected node.
    #[error("expected instance {expected}, but {actual} answers")]
    WrongInstance {
        /// Instance that the client asked for.
        expected: InstanceId,
        /// Instance that answered.
        actual: InstanceId,
    },
    /// The peer cannot prove that it holds a key of this fleet.
    #[error("peer does not hold a key of this fleet")]
    Unauthenticated,
    /// The peer sent bytes that are not valid frames.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer sent a frame whose payload cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The peer sent a frame of an unexpected kind.
    #[error("unexpected frame {0:?}")]
    UnexpectedFrame(FrameKind),
}

/// Reason why a stream failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The connection accepts no new streams; nothing was sent.
    #[error("connection accepts no new streams: {0}")]
    NotOpened(String),
    /// [`WireSettings::max_streams`] work streams are open; nothing was sent.
    ///
    /// [`WireSettings::max_streams`]: crate::WireSettings::max_streams
    #[error("connection has reached its limit of open requests")]
    TooManyStreams,
    /// The peer refused the stream without processing any of it.
    #[error("peer refused the stream unprocessed")]
    StreamRefused,
    /// The peer no longer answers heartbeats. The network path or the peer is at fault, not the
    /// upstream.
    #[error("connection went silent")]
    ConnectionSilent,
    /// The connection to the peer broke; the text describes the error.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// This side dropped the exchange, for example the body before its end.
    #[error("exchange was dropped on this side")]
    Abandoned,
    /// The peer cancelled the stream.
    #[error("peer cancelled the stream")]
    Cancelled,
    /// The peer has replied and needs no more of the request body; the reply holds the result.
    #[error("peer needs no more of the body")]
    BodyNotNeeded,
    /// An earlier write was cancelled midway, so the stream is unusable.
    #[error("an earlier write was cancelled midway")]
    WriteInterrupted,
    /// The peer reset the stream.
    #[error("peer reset the stream: {0}")]
    Reset(String),
    /// The stream ended before its last frame.
    #[error("stream ended early")]
    EndedEarly,
    /// The stream carries bytes that are not valid frames.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The stream carries a frame whose payload cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The stream carries a frame of an unexpected kind.
    #[error("unexpected frame {0:?}")]
    UnexpectedFrame(FrameKind),
    /// The body does not match the length or digest sent with it.
    #[error("body does not match its length or digest: got {actual} bytes, expected {expected}")]
    NotWhole {
        /// Declared length in bytes.
        expected: u64,
        /// Received length in bytes.
        actual: u64,
    },
    /// The reply is for another attempt or request.
    #[error("reply is for attempt {actual}, not {expected}")]
    WrongAttempt {
        /// Attempt that was sent.
        expected: AttemptId,
        /// Attempt that the reply names.
        actual: AttemptId,
    },
    /// A reply, or the upstream of a request, names an instance other than the connection's server.
    #[error("reply is from instance {0}")]
    WrongInstance(InstanceId),
    /// An encoded payload is larger than its limit in [`FrameLimits`], in bytes.
    ///
    /// [`FrameLimits`]: crate::FrameLimits
    #[error("payload of {0} bytes is above the limit")]
    Oversized(usize),
}

impl WireError {
    /// Returns whether a request that failed with this error may have run.
    ///
    /// Only a stream that was never opened or that the peer refused unprocessed certainly did not
    /// run. A broken or silent connection gives no information about the peer's side.
    #[must_use]
    pub const fn run_state(&self) -> RunState {
        match self {
            Self::NotOpened(_) | Self::TooManyStreams | Self::StreamRefused => RunState::NotRun,
            _ => RunState::Unknown,
        }
    }

    pub(crate) fn from_reason(reason: Reason) -> Self {
        match reason {
            Reason::REFUSED_STREAM => Self::StreamRefused,
            Reason::CANCEL => Self::Cancelled,
            Reason::NO_ERROR => Self::BodyNotNeeded,
            other => Self::Reset(other.description().to_owned()),
        }
    }
}

impl From<h2::Error> for WireError {
    fn from(error: h2::Error) -> Self {
        match error.reason() {
            Some(reason) if error.is_reset() && error.is_remote() => Self::from_reason(reason),
            Some(_) if error.is_reset() => Self::Abandoned,
            _ => Self::ConnectionLost(error.to_string()),
        }
    }
}
