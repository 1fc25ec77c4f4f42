//! Selection of the records that a node sends to others.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::ServiceName;

use super::record::{CapacityRecord, integer_size};
use super::table::CapacityTable;

/// Bytes of the number of the message variant and of the number of records of one message.
const MESSAGE_BYTES: usize = 1 + 3;

/// Returns the freshest records of all services that fit into a number of bytes, grouped by
/// service. One message per service is counted. Own records have the least age and come first.
#[must_use]
pub fn select_freshest(
    now: Duration,
    tables: &BTreeMap<ServiceName, CapacityTable>,
    max_bytes: usize,
) -> BTreeMap<ServiceName, Vec<CapacityRecord>> {
    let aged = tables.iter().flat_map(|(service, table)| {
        let records = table.live_records(now);
        records.map(move |record| (service, record))
    });
    let mut aged: Vec<(&ServiceName, CapacityRecord)> = aged.collect();
    aged.sort_unstable_by_key(|(_, record)| (record.age_ms, record.id));
    let mut left = max_bytes;
    let mut selected: BTreeMap<ServiceName, Vec<CapacityRecord>> = BTreeMap::new();
    for (service, record) in aged {
        let mut bytes = record.encoded_size();
        if !selected.contains_key(service) {
            let name = service.as_str().len();
            bytes += MESSAGE_BYTES + integer_size(name as u64) + name;
        }
        let Some(rest) = left.checked_sub(bytes) else {
            break;
        };
        left = rest;
        selected.entry(service.clone()).or_default().push(record);
    }
    selected
}
