//! Evidence about upstreams that nodes exchange.
//!
//! An upstream's own node observes every attempt that runs there, so its scores react within a few
//! seconds. Each calling node observes only a small share of the attempts, but it also observes
//! faults of the network path between the two. Both send their present scores instead of changes,
//! so a lost or duplicated report does no harm: the next one replaces it.

use serde::{Deserialize, Serialize};
use sycamorelink_core::UpstreamId;

use crate::score::{KIND_COUNT, KindScores};

/// Hundredths of a nat per nat.
const HUNDREDTHS_PER_NAT: f64 = 100.0;

/// Role in which a node collected its evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvidenceRole {
    /// The node runs beside the upstream and observes all of its attempts.
    Beside,
    /// The node sends attempts to the upstream.
    Caller,
}

/// Scores per kind in hundredths of a nat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceScores {
    /// Server errors and crashes.
    pub failing: u16,
    /// Truncated, mismatched or malformed replies.
    pub wrong: u16,
    /// Timeouts without a byte and broken connections.
    pub silent: u16,
    /// Shift of the whole latency distribution.
    pub slow: u16,
    /// Share of replies far beyond the usual latency.
    pub tail: u16,
}

/// One node's evidence about one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Role in which the evidence was collected.
    pub role: EvidenceRole,
    /// Number of earlier shifts and ejections that still count, so that a newly started node
    /// doesn't treat a flapping upstream as a new one.
    pub strikes: u8,
    /// Attempts that ended since the last report.
    pub samples: u16,
    /// Present scores.
    pub scores: EvidenceScores,
}

impl EvidenceScores {
    pub(crate) fn from_scores(scores: &KindScores) -> Self {
        let [failing, wrong, silent, slow, tail] = scores.map(to_hundredths);
        Self {
            failing,
            wrong,
            silent,
            slow,
            tail,
        }
    }

    pub(crate) fn to_scores(self) -> KindScores {
        let all: [u16; KIND_COUNT] = [self.failing, self.wrong, self.silent, self.slow, self.tail];
        all.map(|hundredths| f64::from(hundredths) / HUNDREDTHS_PER_NAT)
    }
}

fn to_hundredths(nats: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let hundredths = (nats * HUNDREDTHS_PER_NAT)
        .round()
        .clamp(0.0, f64::from(u16::MAX)) as u16;
    hundredths
}
