//! Settling an append whose reply was lost.
//!
//! An append can take effect although its reply is lost. Appending again would put the change
//! into the log twice, and a change that names its base version would then be answered as a
//! conflict with itself. So the stream is read back from an offset known before the append, and
//! the record is looked for by the change's own id.
//!
//! ```text
//! append ──▶ receipt ───────────────────────────────▶ Taken
//!        └─▶ uncertain ─▶ read back ─▶ found ───────▶ Taken
//!                                  └─▶ end reached ─▶ NotSeen
//!                                  └─▶ trimmed/down ▶ error, still uncertain
//! ```

use std::time::Duration;

use bytes::Bytes;

use crate::client::{LogClient, LogError, LogRecord, ReadRange};

/// Records read at once while reading back.
const PAGE_RECORDS: u32 = 500;

/// Where to look for a record whose append got no reply.
#[derive(Clone, Copy, Debug)]
pub struct ReadBack<'a> {
    /// The stream.
    pub stream: &'a str,
    /// An offset at or before the record's: the `next` of a read before the append.
    pub from: u64,
    /// How long to wait at the end of the stream for an append that is still under way.
    pub patience: Duration,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleResult {
    /// It took effect.
    Taken {
        /// Offset of the record.
        offset: u64,
    },
    /// It is not among the records before `next`. An append still under way may yet take effect
    /// later, so that a second append is safe only when readers drop a change whose id they know.
    NotSeen {
        /// End of the stream as seen.
        next: u64,
    },
}

/// Looks for the first record that the matcher takes for the change's own.
///
/// # Errors
///
/// When the log cannot be read to its end. The append stays uncertain.
pub async fn read_back<F>(
    client: &dyn LogClient,
    range: ReadBack<'_>,
    is_own: F,
) -> Result<SettleResult, LogError>
where
    F: Fn(&LogRecord) -> bool,
{
    let mut from = range.from;
    let mut wait = Duration::ZERO;
    loop {
        let asked = ReadRange {
            from,
            max: PAGE_RECORDS,
            wait,
        };
        let page = client.read(range.stream, asked).await?;
        if let Some(record) = page.records.iter().find(|record| is_own(record)) {
            return Ok(SettleResult::Taken {
                offset: record.offset,
            });
        }
        let Some(last) = page.records.last() else {
            if !wait.is_zero() || range.patience.is_zero() {
                return Ok(SettleResult::NotSeen { next: page.next });
            }
            wait = range.patience;
            continue;
        };
        from = last.offset + 1;
    }
}

/// Appends once, and settles a lost reply by reading back.
///
/// # Errors
///
/// An error of the append that says it took no effect, or [`LogError::Uncertain`] with the
/// reason when the log could not be read back either.
pub async fn append_and_settle<F>(
    client: &dyn LogClient,
    range: ReadBack<'_>,
    data: Bytes,
    is_own: F,
) -> Result<SettleResult, LogError>
where
    F: Fn(&LogRecord) -> bool,
{
    let error = match client.append(range.stream, data).await {
        Ok(receipt) => {
            return Ok(SettleResult::Taken {
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
