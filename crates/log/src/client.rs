//! The log as an interface.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;

/// What a call to the log resolves to.
pub type LogFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LogError>> + Send + 'a>>;

/// An append that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReceipt {
    /// Offset of the record in its stream.
    pub offset: u64,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// Wall time of the log service when it took the record, since the Unix epoch. For people
    /// only; no decision depends on it.
    pub wall: Duration,
    /// What was appended.
    pub data: Bytes,
}

/// A run of records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset that is kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// Records from the offset asked for, in order, without gaps.
    pub records: Vec<LogRecord>,
}

/// Which records to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRange {
    /// First offset wanted.
    pub from: u64,
    /// Records wanted at most.
    pub max: u32,
    /// How long the log may hold the answer back while there is no record.
    pub wait: Duration,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The log refuses this call for good; it took no effect.
    #[error("log refuses the call with status {status}: {reason}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// What the log says.
        reason: String,
    },
    /// The call cannot be written, or its answer cannot be read. A further try gives the same.
    #[error("a call of the log, or its answer, is malformed: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The log takes no more appends now; it took no effect.
    #[error("log takes no more calls now, try again in {retry_after:?}")]
    Throttled {
        /// When a later try may help.
        retry_after: Duration,
    },
    /// The log cannot be reached or is down; it took no effect.
    #[error("log is unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// No reply came back; an append may have taken effect. Read back, do not append again.
    #[error("log gave no reply, the append may have taken effect: {reason}")]
    Uncertain {
        /// What was seen.
        reason: String,
    },
    /// The records asked for are no longer kept.
    #[error("log keeps records only from offset {first}")]
    Trimmed {
        /// The oldest offset that is kept.
        first: u64,
    },
}

impl LogError {
    /// Whether an append that failed so may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Uncertain { .. })
    }

    /// Whether the same call may succeed later.
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
