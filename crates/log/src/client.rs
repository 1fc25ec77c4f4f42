//! Client interface of the log and its types.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;

/// Future returned by the calls of a [`LogClient`].
pub type LogFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LogError>> + Send + 'a>>;

/// Confirmation of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReceipt {
    /// Offset of the record in its stream.
    pub offset: u64,
}

/// Record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Wall-clock time at which the log service accepted the record, since the Unix epoch. For
    /// display only; no decision depends on it.
    pub wall: Duration,
    /// Data that was appended.
    pub data: Bytes,
}

/// Consecutive records of a stream, with the bounds of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Oldest offset that the log retains.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the requested offset on, in order and without gaps.
    pub records: Vec<LogRecord>,
}

/// Range of records to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRange {
    /// First requested offset.
    pub from: u64,
    /// Maximum number of records.
    pub max: u32,
    /// Long poll: maximum time that the log waits for a record if there is none yet.
    pub wait: Duration,
}

/// Error of a call to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The log permanently rejects the call, which had no effect.
    #[error("log refuses the call with status {status}: {reason}")]
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Response of the log.
        reason: String,
    },
    /// The request cannot be built or the response cannot be parsed. A retry gives the same result.
    #[error("a call of the log, or its answer, is malformed: {reason}")]
    Malformed {
        /// Description of the problem.
        reason: String,
    },
    /// The log rate-limits the caller; the call had no effect.
    #[error("log takes no more calls now, try again in {retry_after:?}")]
    Throttled {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The log cannot be reached or is down; an append had no effect.
    #[error("log is unavailable: {reason}")]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
    /// No reply arrived, so an append may have taken effect. The caller must read back instead of
    /// appending again.
    #[error("log gave no reply, the append may have taken effect: {reason}")]
    Uncertain {
        /// Description of the failure.
        reason: String,
    },
    /// The requested records are no longer retained.
    #[error("log keeps records only from offset {first}")]
    Trimmed {
        /// Oldest offset that the log retains.
        first: u64,
    },
}

impl LogError {
    /// Returns whether an append that failed with this error may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Uncertain { .. })
    }

    /// Returns whether the same call may succeed later.
    #[must_use]
    pub const fn is_temporary(&self) -> bool {
        matches!(
            self,
            Self::Throttled { .. } | Self::Unavailable { .. } | Self::Uncertain { .. }
        )
    }
}

/// The platform's append-only log.
pub trait LogClient: Send + Sync {
    /// Appends one record to a stream.
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> LogFuture<'a, AppendReceipt>;

    /// Reads records of a stream.
    fn read<'a>(&'a self, stream: &'a str, range: ReadRange) -> LogFuture<'a, LogPage>;
}
