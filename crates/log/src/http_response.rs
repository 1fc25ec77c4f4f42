//! Parsing of responses of the log service.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use hyper_util::client::legacy::Error as ClientError;
use serde::Deserialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::client::{AppendReceipt, LogError, LogPage, LogRecord, ReadRange};

/// Maximum length in characters of the response text kept in an error.
const MAX_REASON_CHARS: usize = 200;

/// Retry delay after a 429 response without a retry header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Header with the retry delay in milliseconds, finer than `Retry-After`.
const RETRY_AFTER_MS: &str = "retry-after-ms";

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct TrimmedResponse {
    first: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct RecordResponse {
    offset: u64,
    wall_ms: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Deserialize)]
struct PageResponse {
    first: u64,
    next: u64,
    records: Vec<RecordResponse>,
}

/// Response with its complete body.
pub(crate) struct LogResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl LogResponse {
    /// Parses the response to an append. A success that cannot be parsed is uncertain.
    pub(crate) fn into_receipt(self) -> Result<AppendReceipt, LogError> {
        if !self.status.is_success() {
            return Err(append_error(&self));
        }
        let receipt: AppendResponse = serde_json::from_slice(&self.body)
            .map_err(|error| uncertain(&format!("answer not understood: {error}")))?;
        Ok(AppendReceipt {
            offset: receipt.offset,
        })
    }

    /// Parses the response to a read of `range`.
    pub(crate) fn into_page(self, range: ReadRange) -> Result<LogPage, LogError> {
        if self.status.is_success() {
            parse_page(&self.body, range)
        } else {
            Err(read_error(&self))
        }
    }
}

/// Maps an error of the HTTP client. Only a failed connect proves that nothing was sent.
pub(crate) fn request_error(error: &ClientError) -> LogError {
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

/// Maps an error of a read. A read has no effect, so a lost response is an ordinary outage.
pub(crate) fn read_request_error(error: LogError) -> LogError {
    match error {
        LogError::Uncertain { reason } => LogError::Unavailable { reason },
        other => other,
    }
}

fn append_error(response: &LogResponse) -> LogError {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS => throttled(response),
        StatusCode::SERVICE_UNAVAILABLE => unavailable(&response_reason(response)),
        // A gateway timeout or an internal error of the log does not tell whether the append took
        // effect.
        status if status.is_server_error() => uncertain(&response_reason(response)),
        _ => rejected(response),
    }
}

fn read_error(response: &LogResponse) -> LogError {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS => throttled(response),
        StatusCode::GONE => match serde_json::from_slice::<TrimmedResponse>(&response.body) {
            Ok(trimmed) => LogError::Trimmed {
                first: trimmed.first,
            },
            Err(error) => unavailable(&format!("answer not understood: {error}")),
        },
        status if status.is_server_error() => unavailable(&response_reason(response)),
        _ => rejected(response),
    }
}

/// Parses a page and rejects one whose records are not those requested, in order: a reader would
/// otherwise apply changes in another order than all others.
fn parse_page(body: &[u8], range: ReadRange) -> Result<LogPage, LogError> {
    let page: PageResponse = serde_json::from_slice(body)
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
        records: page.records.into_iter().map(to_record).collect(),
    })
}

fn to_record(record: RecordResponse) -> LogRecord {
    LogRecord {
        offset: record.offset,
        wall: Duration::from_millis(record.wall_ms),
        data: Bytes::from(record.data),
    }
}

fn throttled(response: &LogResponse) -> LogError {
    let millis = header_number(&response.headers, RETRY_AFTER_MS).map(Duration::from_millis);
    let seconds = header_number(&response.headers, header::RETRY_AFTER.as_str());
    LogError::Throttled {
        retry_after: millis
            .or(seconds.map(Duration::from_secs))
            .unwrap_or(DEFAULT_RETRY_AFTER),
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn rejected(response: &LogResponse) -> LogError {
    LogError::Rejected {
        status: response.status.as_u16(),
        reason: response_reason(response),
    }
}

fn response_reason(response: &LogResponse) -> String {
    let text = String::from_utf8_lossy(&response.body);
    let short: String = text.chars().take(MAX_REASON_CHARS).collect();
    format!("{}: {short}", response.status)
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
