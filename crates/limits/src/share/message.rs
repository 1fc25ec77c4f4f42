//! Messages between holders and keepers.
//!
//! All entries for one node are sent in one message. Entries identify a customer by the stable hash
//! of its name, so that nodes need not agree on dense numbers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Request of a holder for a lease on one customer's contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskEntry {
    /// Stable hash of the customer's name.
    pub customer: u64,
    /// Place of the keeper within its failure domain.
    pub place: u8,
    /// Number of this ask; grows with each ask of the holder.
    pub number: u32,
    /// Number of the ask whose grant the holder applied last.
    pub applied: u32,
    /// Rate in force at the holder from this keeper, in thousandths of a request per second.
    pub held_rate: u32,
    /// Slots in force at the holder from this keeper.
    pub held_slots: u32,
    /// Rate wanted of this keeper, in thousandths of a request per second.
    pub want_rate: u32,
    /// Slots wanted of this keeper.
    pub want_slots: u32,
    /// Rate in force at the holder from other keepers, in thousandths of a request per second.
    pub other_rate: u32,
    /// Slots in force at the holder from other keepers.
    pub other_slots: u32,
    /// Rate needed of all keepers together, in thousandths of a request per second.
    pub need_rate: u32,
    /// Slots needed of all keepers together.
    pub need_slots: u32,
    /// Tokens wanted now, one for each waiting request.
    pub want_tokens: u32,
}

/// Grant of a keeper for one customer's contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// Stable hash of the customer's name.
    pub customer: u64,
    /// Place of the keeper within its failure domain.
    pub place: u8,
    /// Number of the ask that the grant answers.
    pub number: u32,
    /// Rate granted, in thousandths of a request per second.
    pub rate: u32,
    /// Slots granted.
    pub slots: u32,
    /// Tokens granted, for immediate use.
    pub tokens: u32,
    /// Length of the lease in milliseconds, counted from when the ask was sent.
    pub lease_ms: u32,
    /// Time until renewal in milliseconds.
    pub renew_ms: u32,
    /// Minimum time until the next ask in milliseconds, regardless of the need.
    pub pause_ms: u32,
}

impl GrantEntry {
    /// Returns the length of the lease.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms as u64)
    }
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Asks from a holder to a keeper.
    Ask {
        /// Fingerprint of the failure domains in the holder's roster.
        layout: u32,
        /// Asks, one for each lease.
        entries: Vec<AskEntry>,
    },
    /// Grants from a keeper to a holder.
    Grant {
        /// Grants, one for each answered ask.
        entries: Vec<GrantEntry>,
    },
}
