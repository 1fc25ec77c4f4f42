//! What is known of an upstream without any request, and what the pool makes of it.

use std::time::Duration;

use sycamorelink_core::{DomainName, UpstreamId};

use crate::finding::EjectionCause;

/// Phase that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamPhase {
    /// Not yet able to serve.
    Starting,
    /// Serving.
    Ready,
    /// Draining: it gets no new work.
    Leaving,
}

/// What a node knew of an upstream when it picked it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamView {
    /// Requests that this node has in flight to it.
    pub in_flight: u32,
    /// Share of its usual work that it is given, 0 to 1.
    pub weight: f64,
    /// Score in nats that it is failing or slow.
    pub suspicion: f64,
    /// Load last told by the node beside it, and how long ago.
    pub told: Option<(crate::LoadHint, Duration)>,
}

/// What an upstream announces of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamFacts {
    /// Requests it runs at once.
    pub slots: u16,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its phase.
    pub phase: UpstreamPhase,
}

/// What one node thinks of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamStanding {
    /// The upstream.
    pub id: UpstreamId,
    /// Share of its fair share that it is offered, from 0 to 1.
    pub weight: f64,
    /// Highest score over the kinds of fault, in nats.
    pub suspicion: f64,
    /// The kind with the highest score.
    pub cause: EjectionCause,
    /// What this node knows as a caller, in nats.
    pub caller_score: f64,
    /// What the node beside the upstream knows, in nats.
    pub beside_score: f64,
    /// What calling peers know, in nats.
    pub peer_score: f64,
    /// Whether it is tried again after an ejection.
    pub probing: bool,
    /// The cause, while it is ejected.
    pub ejected: Option<EjectionCause>,
    /// Until when it is ejected.
    pub until: Option<Duration>,
    /// Requests this node has in flight there.
    pub in_flight: u32,
}
