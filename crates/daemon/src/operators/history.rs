//! The history of a contract: its accepted and rejected changes, newest first.

use std::time::Duration;

use serde_json::{Value, json};
use sycamorelink_contract::HistoryItem;
use sycamorelink_contract::book::{ContractBook, RejectedChange};
use sycamorelink_telemetry::burn::UtcTime;

/// Returns the changes of a customer's contract, or null when none is known.
pub(super) fn contract_history(book: &ContractBook, customer: &str) -> Value {
    let accepted = book
        .history(customer)
        .map(|item| (item.version, accepted_value(item)));
    let rejected = book
        .rejected(customer)
        .map(|item| (item.place, rejected_value(item)));
    let mut entries: Vec<_> = accepted.chain(rejected).collect();
    if entries.is_empty() {
        return Value::Null;
    }
    entries.sort_by(|(left, _), (right, _)| right.cmp(left));
    let entries: Vec<Value> = entries.into_iter().map(|(_, value)| value).collect();
    json!({ "customer": customer, "entries": entries })
}

fn accepted_value(item: &HistoryItem) -> Value {
    json!({
        "change": item.change,
        "version": item.version.0,
        "base": item.base.map(|base| base.0),
        "action": item.action,
        "operator": item.author,
        "at": utc(item.stamp),
        "outcome": "accepted",
    })
}

fn rejected_value(item: &RejectedChange) -> Value {
    json!({
        "change": item.change,
        "version": null,
        "base": item.base.0,
        "action": item.action,
        "operator": item.author,
        "at": utc(item.stamp),
        "outcome": "rejected",
        "reason": item.reason.to_string(),
    })
}

fn utc(stamp: Duration) -> UtcTime {
    UtcTime(stamp.as_secs())
}
