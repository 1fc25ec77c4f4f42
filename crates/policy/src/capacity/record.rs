//! One report on one upstream, as sent between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{NodeIncarnation, UpstreamId};

/// Greatest concurrency limit that a record may name.
const MAX_LIMIT: u16 = 4096;
/// Longest wait, run time and age that a record may name, in milliseconds.
const MAX_MILLIS: u32 = 60_000;

/// Value of [`CapacityRecord::relative_run`] of a server that is as fast as its service.
const USUAL_RUN: f64 = 64.0;

/// Load and free capacity of one upstream, measured by the node beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityRecord {
    /// The upstream.
    pub id: UpstreamId,
    /// Incarnation of the node beside the upstream.
    pub incarnation: NodeIncarnation,
    /// Number of the measurement within the incarnation.
    pub sequence: u32,
    /// Slots in use.
    pub in_use: u16,
    /// Maximum number of concurrent runs.
    pub limit: u16,
    /// Requests waiting for a slot.
    pub queued: u16,
    /// Expected wait of a new request that can meet its objective, in milliseconds.
    pub expected_wait_ms: u32,
    /// Mean run time in milliseconds.
    pub mean_run_ms: u32,
    /// Chance that the upstream fails part of its requests, in 255ths.
    pub failing: u8,
    /// Run time relative to that of the service for the same kinds of work, in 64ths; 0 if unknown.
    pub relative_run: u8,
    /// Whole repeats left in the upstream's part of the bound on repeats.
    pub repeats: u16,
    /// Time since the measurement in milliseconds.
    pub age_ms: u32,
}

/// Reason why a record is implausible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CapacityError {
    /// The concurrency limit, or the number of slots in use, is out of range.
    #[error("{in_use} of {limit} slots in use, the limit must be 1 to 4096")]
    Limit {
        /// Slots in use.
        in_use: u16,
        /// Concurrency limit.
        limit: u16,
    },
    /// The expected wait in milliseconds is too long.
    #[error("an expected wait of {0}ms, must be 60s or less")]
    Wait(u32),
    /// The mean run time in milliseconds is too long.
    #[error("a mean run time of {0}ms, must be 60s or less")]
    Run(u32),
    /// The age in milliseconds is too great.
    #[error("an age of {0}ms, must be 60s or less")]
    Age(u32),
}

impl CapacityRecord {
    /// Validates a received record.
    ///
    /// # Errors
    ///
    /// Returns the first implausible value.
    pub const fn validate(&self) -> Result<(), CapacityError> {
        let (in_use, limit) = (self.in_use, self.limit);
        if limit == 0 || limit > MAX_LIMIT || in_use > MAX_LIMIT {
            return Err(CapacityError::Limit { in_use, limit });
        }
        if self.expected_wait_ms > MAX_MILLIS {
            return Err(CapacityError::Wait(self.expected_wait_ms));
        }
        if self.mean_run_ms > MAX_MILLIS {
            return Err(CapacityError::Run(self.mean_run_ms));
        }
        if self.age_ms > MAX_MILLIS {
            return Err(CapacityError::Age(self.age_ms));
        }
        Ok(())
    }

    /// Limits all values to those that [`Self::validate`] accepts. For the records that a node
    /// makes of its own upstreams: a server that is hung for minutes must not make its reports
    /// invalid.
    #[must_use]
    pub fn clamped(mut self) -> Self {
        self.limit = self.limit.clamp(1, MAX_LIMIT);
        self.in_use = self.in_use.min(MAX_LIMIT);
        self.expected_wait_ms = self.expected_wait_ms.min(MAX_MILLIS);
        self.mean_run_ms = self.mean_run_ms.min(MAX_MILLIS);
        self.age_ms = self.age_ms.min(MAX_MILLIS);
        self
    }

    /// Returns the time since the measurement, as of the receipt of the record.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }

    /// Returns whether this record was measured after another one of the same upstream.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns the chance, from 0 to 1, that the upstream fails part of its requests.
    #[must_use]
    pub fn failing_chance(&self) -> f64 {
        f64::from(self.failing) / f64::from(u8::MAX)
    }

    /// Returns the run time relative to that of the service; `None` if unknown.
    #[must_use]
    pub fn relative_run_factor(&self) -> Option<f64> {
        (self.relative_run > 0).then(|| f64::from(self.relative_run) / USUAL_RUN)
    }

    /// Returns the value of [`Self::relative_run`] for a factor, at least 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    pub fn encode_relative_run(factor: f64) -> u8 {
        (factor * USUAL_RUN).round().clamp(1.0, f64::from(u8::MAX)) as u8
    }

    /// Returns the number of bytes of the record in a message between nodes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        let integers = [
            self.id.node.0,
            u64::from(self.id.slot),
            self.incarnation.0,
            u64::from(self.sequence),
            u64::from(self.in_use),
            u64::from(self.limit),
            u64::from(self.queued),
            u64::from(self.expected_wait_ms),
            u64::from(self.mean_run_ms),
            u64::from(self.repeats),
            u64::from(self.age_ms),
        ];
        let single_bytes = 2;
        integers.into_iter().map(integer_size).sum::<usize>() + single_bytes
    }
}

/// Returns the number of bytes of an integer in the variable-length encoding of messages.
pub(super) const fn integer_size(value: u64) -> usize {
    match value {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
