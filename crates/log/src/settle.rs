//! Resolves appends whose reply was lost.
//!
//! An append can take effect although its reply is lost. Appending again would write the change
//! twice, and a change that names its base version would conflict with itself. The stream is
//! instead read back from an offset known before the append, and searched for the id of the change.
//!
//! ```text
//! append ──▶ receipt ───────────────────────────────▶ Appended
//!        └─▶ uncertain ─▶ read back ─▶ found ───────▶ Appended
//!                                  ├─▶ end reached ─▶ NotFound
//!                                  └─▶ trimmed/down ▶ error, outcome unknown
//! ```

use std::time::Duration;

use bytes::Bytes;

use crate::client::{LogClient, LogError, LogRecord, ReadRange};

/// Number of records per read.
const PAGE_RECORDS: u32 = 500;

/// Where to search for a record whose append got no reply.
#[derive(Clone, Copy, Debug)]
pub struct ReadBack<'a> {
    /// Name of the stream.
    pub stream: &'a str,
    /// Offset at or before that of the record: `next` of a read before the append.
    pub from: u64,
    /// Time to wait at the end of the stream for an append that is still in progress.
    pub patience: Duration,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The append took effect.
    Appended {
        /// Offset of the record.
        offset: u64,
    },
    /// The record is not among those before `next`. An append still in progress may take effect
    /// later, so a second append is safe only if readers drop a change whose id they have seen.
    NotFound {
        /// End of the stream when it was read.
        next: u64,
    },
}

/// Searches the stream for the first record that matches `is_own`.
///
/// # Errors
///
/// Fails if the log cannot be read to its end. The outcome of the append remains unknown.
pub async fn read_back<F>(
    client: &dyn LogClient,
    range: ReadBack<'_>,
    is_own: F,
) -> Result<AppendOutcome, LogError>
where
    F: Fn(&LogRecord) -> bool,
{
    let mut from = range.from;
    let mut wait = Duration::ZERO;
    loop {
        let request = ReadRange {
            from,
            max: PAGE_RECORDS,
            wait,
        };
        let page = client.read(range.stream, request).await?;
        if let Some(record) = page.records.iter().find(|record| is_own(record)) {
            return Ok(AppendOutcome::Appended {
                offset: record.offset,
            });
        }
        let Some(last) = page.records.last() else {
            if !wait.is_zero() || range.patience.is_zero() {
                return Ok(AppendOutcome::NotFound { next: page.next });
            }
            wait = range.patience;
            continue;
        };
        from = last.offset + 1;
    }
}

/// Appends once, and reads the stream back if the reply is lost.
///
/// # Errors
///
/// Returns the error of an append that had no effect, or [`LogError::Uncertain`] if the log could
/// not be read back either.
pub async fn append_and_settle<F>(
    client: &dyn LogClient,
    range: ReadBack<'_>,
    data: Bytes,
    is_own: F,
) -> Result<AppendOutcome, LogError>
where
    F: Fn(&LogRecord) -> bool,
{
    let error = match client.append(range.stream, data).await {
        Ok(receipt) => {
            return Ok(AppendOutcome::Appended {
                offset: receipt.offset,
            });
        }
        Err(error) => error,
    };
    if !error.may_have_taken_effect() {
        return Err(error);
    }
    read_back(client, range, is_own)
        .await
        .map_err(|cause| LogError::Uncertain {
            reason: format!("{error}; reading back failed: {cause}"),
        })
}
