//! Replies of the log stand-in.

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

use super::store::{StoreError, StoredPage, StoredRecord};
use crate::reply::{ReplyBody, error_reply, json_reply};

/// Header with the retry delay in milliseconds, which `Retry-After` rounds up to seconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

#[serde_as]
#[derive(Serialize)]
struct RecordReply {
    offset: u64,
    wall_ms: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Serialize)]
struct PageReply {
    first: u64,
    next: u64,
    records: Vec<RecordReply>,
}

#[derive(Serialize)]
struct AppendReply {
    offset: u64,
}

#[derive(Serialize)]
struct TrimmedReply {
    first: u64,
}

/// Builds the reply to an append that took effect.
pub(super) fn append_reply(offset: u64) -> Response<ReplyBody> {
    json_reply(StatusCode::CREATED, &AppendReply { offset })
}

/// Builds the reply to a read.
pub(super) fn page_reply(page: &StoredPage) -> Response<ReplyBody> {
    let records = page.records.iter().map(record_reply).collect();
    let reply = PageReply {
        first: page.first,
        next: page.next,
        records,
    };
    json_reply(StatusCode::OK, &reply)
}

/// Builds the reply to an append or a read that the store rejected.
pub(super) fn store_error_reply(error: &StoreError) -> Response<ReplyBody> {
    match error {
        StoreError::Trimmed { first } => {
            json_reply(StatusCode::GONE, &TrimmedReply { first: *first })
        }
        StoreError::Throttled(wait) => {
            let mut reply = error_reply(StatusCode::TOO_MANY_REQUESTS, "too many appends");
            let seconds = wait.as_secs() + 1;
            let millis = wait.as_millis() + 1;
            let headers = reply.headers_mut();
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            if let Ok(value) = HeaderValue::try_from(millis.to_string()) {
                headers.insert(RETRY_AFTER_MS, value);
            }
            reply
        }
    }
}

fn record_reply(record: &StoredRecord) -> RecordReply {
    RecordReply {
        offset: record.offset,
        wall_ms: u64::try_from(record.wall.as_millis()).unwrap_or(u64::MAX),
        data: record.data.to_vec(),
    }
}
