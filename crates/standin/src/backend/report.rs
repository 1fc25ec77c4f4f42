//! Counts of the runs of a backend stand-in, which are the requests executed in a slot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of idempotency keys, and of request ids, with counts of their own. Runs of
/// further ones are included only in the totals.
const MAX_TRACKED: usize = 200_000;

/// Run counts, in total or for one request id or idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs that acquired a slot and began.
    pub started: u64,
    /// Runs that completed their work.
    pub finished: u64,
}

/// Run counts of one backend server since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Counts over all requests.
    pub total: RunCounts,
    /// Runs that ended early because the caller disconnected or the deadline passed.
    pub cancelled: u64,
    /// Requests refused because the queue was full or the deadline passed in the queue.
    pub shed: u64,
    /// Counts by `Idempotency-Key`.
    pub by_key: BTreeMap<String, RunCounts>,
    /// Counts by `x-request-id`.
    pub by_request: BTreeMap<String, RunCounts>,
}

impl RunReport {
    pub(super) fn start(&mut self, key: Option<&str>, request: Option<&str>) {
        self.update(key, request, |counts| counts.started += 1);
    }

    pub(super) fn finish(&mut self, key: Option<&str>, request: Option<&str>) {
        self.update(key, request, |counts| counts.finished += 1);
    }

    fn update<F>(&mut self, key: Option<&str>, request: Option<&str>, change: F)
    where
        F: Fn(&mut RunCounts),
    {
        change(&mut self.total);
        update_counts(&mut self.by_key, key, &change);
        update_counts(&mut self.by_request, request, &change);
    }
}

fn update_counts<F>(counts: &mut BTreeMap<String, RunCounts>, name: Option<&str>, change: F)
where
    F: Fn(&mut RunCounts),
{
    let Some(name) = name else { return };
    if let Some(tracked) = counts.get_mut(name) {
        change(tracked);
    } else if counts.len() < MAX_TRACKED {
        change(counts.entry(name.to_owned()).or_default());
    }
}
