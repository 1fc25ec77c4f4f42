//! JSON form of the status of overload control.

use std::time::Duration;

use serde_json::{Value, json};
use sycamorelink_engine::{OverloadStatus, QueueStatus};
use sycamorelink_limits::{RefusalSummary, RefusalWindow};
use sycamorelink_policy::CapacityRecord;

/// Returns the status of overload control for one service. Times are in milliseconds.
pub(super) fn overload_value(status: &OverloadStatus) -> Value {
    let queues: Vec<Value> = status.queues.iter().map(queue_value).collect();
    let servers: Vec<Value> = status.servers.iter().map(server_value).collect();
    let waiting = status.waiting.as_ref().map(|statuses| {
        let reasons = statuses.iter().map(|(reason, status)| {
            json!({
                "reason": reason.as_str(),
                "count": status.count,
                "longest_wait_ms": status.longest_wait.map(millis),
            })
        });
        reasons.collect::<Vec<Value>>()
    });
    json!({
        "queues": queues,
        "waiting": waiting,
        "refusals": refusals_value(&status.refusals),
        "servers": servers,
    })
}

fn queue_value(queue: &QueueStatus) -> Value {
    json!({
        "upstream": queue.id.to_string(),
        "in_time": queue.count.in_time,
        "late": queue.count.late,
        "longest_wait_ms": queue.longest_wait.map(millis),
    })
}

fn refusals_value(refusals: &RefusalSummary) -> Value {
    let reasons = refusals
        .reasons
        .iter()
        .map(|(code, count)| json!({ "refusal": code.as_str(), "count": count }));
    let accounts = refusals
        .accounts
        .iter()
        .map(|(account, count)| json!({ "account": account, "count": count }));
    json!({
        "window_ms": millis(RefusalWindow::LENGTH),
        "reasons": reasons.collect::<Vec<Value>>(),
        "accounts": accounts.collect::<Vec<Value>>(),
        "other_accounts": refusals.other_accounts,
    })
}

fn server_value(record: &CapacityRecord) -> Value {
    json!({
        "upstream": record.id.to_string(),
        "in_use": record.in_use,
        "limit": record.limit,
        "queued": record.queued,
        "expected_wait_ms": record.expected_wait_ms,
        "mean_run_ms": record.mean_run_ms,
        "repeats": record.repeats,
        "age_ms": record.age_ms,
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
