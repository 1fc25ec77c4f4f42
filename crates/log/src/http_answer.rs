//! What an answer of the log service means.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use hyper_util::client::legacy::Error as ClientError;
use serde::Deserialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::client::{AppendReceipt, LogError, LogPage, LogRecord, ReadRange};

/// Longest text of a refusal that is kept, in characters.
const REASON_CHARS: usize = 200;

/// Wait after a 429 without a time to come back.
const THROTTLE_DEFAULT: Duration = Duration::from_secs(1);

/// Header with the time to come back in milliseconds, finer than `Retry-After`.
const RETRY_AFTER_MS: &str = "retry-after-ms";

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Deserialize)]
struct TrimmedAnswer {
    first: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct RecordAnswer {
    offset: u64,
    wall_ms: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Deserialize)]
struct PageAnswer {
    first: u64,
    next: u64,
    records: Vec<RecordAnswer>,
}

/// The status and the whole body of an answer.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl WholeAnswer {
    /// The answer to an append.
    pub(crate) fn into_receipt(self) -> Result<AppendReceipt, LogError> {
        if !self.status.is_success() {
            return Err(append_error(&self));
        }
        let taken: AppendAnswer = serde_json::from_slice(&self.body)
            .map_err(|error| uncertain(&format!("answer not understood: {error}")))?;
        Ok(AppendReceipt {
            offset: taken.offset,
        })
    }

    /// The answer to a read.
    pub(crate) fn into_page(self, range: ReadRange) -> Result<LogPage, LogError> {
        if self.status.is_success() {
            page_of(&self.body, range)
        } else {
            Err(read_error(&self))
        }
    }
}

/// Only a connection that never came about proves that nothing was sent.
pub(crate) fn call_error(error: &ClientError) -> LogError {
    let reason = error_chain(error);
    if error.is_connect() {
        LogError::Unavailable { reason }
    } else {
        LogError::Uncertain { reason }
    }
}

fn error_chain(error: &ClientError) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// A read has no effect, so that a lost answer is no more than an outage.
pub(crate) fn read_call_error(error: LogError) -> LogError {
    match error {
        LogError::Uncertain { reason } => LogError::Unavailable { reason },
        other => other,
    }
}

fn append_error(answer: &WholeAnswer) -> LogError {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => throttled(answer),
        StatusCode::SERVICE_UNAVAILABLE => unavailable(&reason_of(answer)),
        // A gateway's timeout or a fault inside the log says nothing about the append.
        status if status.is_server_error() => uncertain(&reason_of(answer)),
        _ => rejected(answer),
    }
}

fn read_error(answer: &WholeAnswer) -> LogError {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => throttled(answer),
        StatusCode::GONE => match serde_json::from_slice::<TrimmedAnswer>(&answer.body) {
            Ok(trimmed) => LogError::Trimmed {
                first: trimmed.first,
            },
            Err(error) => unavailable(&format!("answer not understood: {error}")),
        },
        status if status.is_server_error() => unavailable(&reason_of(answer)),
        _ => rejected(answer),
    }
}

/// A page whose records are not those asked for, in order, is none: its reader would hold another
/// order of changes than everybody else.
fn page_of(body: &[u8], range: ReadRange) -> Result<LogPage, LogError> {
    let page: PageAnswer = serde_json::from_slice(body)
        .map_err(|error| unavailable(&format!("answer not understood: {error}")))?;
    let in_order = page
        .records
        .iter()
        .zip(range.from..)
        .all(|(record, offset)| record.offset == offset);
    if !in_order {
        return Err(unavailable("records out of order"));
    }
    Ok(LogPage {
        first: page.first,
        next: page.next,
        records: page.records.into_iter().map(record_of).collect(),
    })
}

fn record_of(record: RecordAnswer) -> LogRecord {
    LogRecord {
        offset: record.offset,
        wall: Duration::from_millis(record.wall_ms),
        data: Bytes::from(record.data),
    }
}

fn throttled(answer: &WholeAnswer) -> LogError {
    let millis = header_number(&answer.headers, RETRY_AFTER_MS).map(Duration::from_millis);
    let seconds = header_number(&answer.headers, header::RETRY_AFTER.as_str());
    LogError::Throttled {
        retry_after: millis
            .or(seconds.map(Duration::from_secs))
            .unwrap_or(THROTTLE_DEFAULT),
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn rejected(answer: &WholeAnswer) -> LogError {
    LogError::Rejected {
        status: answer.status.as_u16(),
        reason: reason_of(answer),
    }
}

fn reason_of(answer: &WholeAnswer) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    let short: String = text.chars().take(REASON_CHARS).collect();
    format!("{}: {short}", answer.status)
}

pub(crate) fn unavailable(reason: &str) -> LogError {
    LogError::Unavailable {
        reason: reason.to_owned(),
    }
}

pub(crate) fn uncertain(reason: &str) -> LogError {
    LogError::Uncertain {
        reason: reason.to_owned(),
    }
}
