//! What a deadline gate reports about queued work.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::WorkId;

/// Place of offered work in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePlace {
    /// Number of requests that start before this one.
    pub position: u32,
    /// Expected time until the start; `None` if work that is in time occupies every slot.
    pub expected_wait: Option<Duration>,
    /// Whether the work can meet its objective.
    pub in_time: bool,
    /// Number of requests of the same account that start before this one; `None` if the queue does
    /// not distinguish accounts. Requests without a known account count as one account.
    #[serde(default)]
    pub in_lane: Option<u32>,
}

/// Change to queued work that needs a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueEvent {
    /// The work can no longer meet its objective and continues to wait as late.
    BecameLate(WorkId),
    /// The work can no longer meet its deadline and is refused.
    Expired(WorkId),
    /// The queue was full and an offer sorted before the work, which is refused.
    Displaced(WorkId),
    /// The account of the work is above its share, and an offer of another account took its place.
    /// The work is refused.
    DisplacedByShare(WorkId),
}

impl QueueEvent {
    /// Returns the work that the event is about.
    #[must_use]
    pub const fn work(self) -> WorkId {
        match self {
            Self::BecameLate(work)
            | Self::Expired(work)
            | Self::Displaced(work)
            | Self::DisplacedByShare(work) => work,
        }
    }
}
