//! Announced facts about an upstream, and the pool's assessment of it.

use std::time::Duration;

use sycamorelink_core::{DomainName, UpstreamId};

use crate::finding::EjectionCause;

/// Lifecycle phase that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamPhase {
    /// Not yet able to serve.
    Starting,
    /// Serving.
    Ready,
    /// Draining: the upstream gets no new work.
    Leaving,
}

/// State of an upstream that a pick was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamView {
    /// Requests that this node has in flight to the upstream.
    pub in_flight: u32,
    /// Fraction of its fair share of requests that the upstream gets, from 0 to 1.
    pub weight: f64,
    /// Highest score over the kinds of fault, in nats.
    pub suspicion: f64,
    /// Load that the upstream's own node last reported, with the age of the report.
    pub told: Option<(crate::LoadHint, Duration)>,
}

/// Facts that an upstream announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamFacts {
    /// Number of requests that the upstream runs at once.
    pub slots: u16,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Lifecycle phase of the upstream.
    pub phase: UpstreamPhase,
}

/// One node's assessment of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamStanding {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Fraction of its fair share of requests that the upstream gets, from 0 to 1.
    pub weight: f64,
    /// Highest score over the kinds of fault, in nats.
    pub suspicion: f64,
    /// Kind of fault with the highest score.
    pub cause: EjectionCause,
    /// Highest score of this node as a caller, in nats.
    pub caller_score: f64,
    /// Highest score of the upstream's own node, in nats.
    pub beside_score: f64,
    /// Highest summed score of calling peers, in nats.
    pub peer_score: f64,
    /// Whether the upstream is on probation after an ejection.
    pub probing: bool,
    /// Cause of the ejection, while the upstream is ejected.
    pub ejected: Option<EjectionCause>,
    /// End of the ejection, as time since the node started; `None` when not ejected.
    pub until: Option<Duration>,
    /// Requests that this node has in flight to the upstream.
    pub in_flight: u32,
}
