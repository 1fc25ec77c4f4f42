//! Interface between the simulation and a daemon's upstream selection.

use std::time::Duration;

use sycamorelink_core::{NodeId, UpstreamId};
use sycamorelink_policy::{
    FloorStatus, PoolFinding, PoolSettings, ServicePool, UpstreamEvidence, UpstreamFacts,
    UpstreamSample,
};

/// Decision that a chooser reports to the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooserNotice {
    /// The chooser ejected an upstream.
    Ejected(UpstreamId),
    /// The chooser removed most of an upstream's weight.
    Shifted(UpstreamId),
    /// The chooser requests a new connection to an upstream.
    Reconnect(UpstreamId),
}

/// One daemon's upstream selection for one service.
pub trait UpstreamChooser: Send {
    /// Adds an upstream or updates its facts.
    fn upsert(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts);

    /// Selects an upstream, or returns `None` when none outside `exclude` is available.
    fn pick(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId>;

    /// Records that an attempt was sent.
    fn sent(&mut self, now: Duration, id: UpstreamId);

    /// Records how an attempt ended.
    fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample);

    /// Records that an attempt took a slot of the backend server on this daemon's instance.
    fn started_locally(&mut self, _now: Duration, _id: UpstreamId) {}

    /// Records how an attempt ended on the backend server of this daemon's instance.
    fn ended_locally(&mut self, _now: Duration, _id: UpstreamId, _sample: &UpstreamSample) {}

    /// Runs periodic work and appends the resulting decisions to `notices`.
    fn tick(&mut self, _now: Duration, _notices: &mut Vec<ChooserNotice>) {}

    /// Returns the evidence to send to peers.
    fn report(&mut self, _now: Duration) -> Vec<UpstreamEvidence> {
        Vec::new()
    }

    /// Merges evidence received from a peer.
    fn merge(&mut self, _now: Duration, _from: NodeId, _evidence: &[UpstreamEvidence]) {}

    /// Records that a new connection to an upstream answered.
    fn connection_replaced(&mut self, _now: Duration, _id: UpstreamId) {}

    /// Returns the state of the ejection floor, or `None` for choosers without one.
    fn floor_status(&self) -> Option<FloorStatus> {
        None
    }

    /// Returns the part of its fair share of requests that an upstream is offered.
    fn weight(&self, _id: UpstreamId) -> f64 {
        1.0
    }
}

/// Chooser backed by [`ServicePool`].
#[derive(Debug)]
pub struct PoolChooser {
    pool: ServicePool,
    findings: Vec<PoolFinding>,
}

impl PoolChooser {
    /// Creates a chooser whose pool has these settings.
    #[must_use]
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        Self {
            pool: ServicePool::new(settings, seed),
            findings: Vec::new(),
        }
    }
}

impl UpstreamChooser for PoolChooser {
    fn upsert(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        self.pool.upsert(now, id, facts);
    }

    fn pick(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId> {
        self.pool.pick(now, exclude)
    }

    fn sent(&mut self, now: Duration, id: UpstreamId) {
        self.pool.sent(now, id);
    }

    fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        self.pool.observe(now, id, sample);
    }

    fn started_locally(&mut self, now: Duration, id: UpstreamId) {
        self.pool.started_locally(now, id);
    }

    fn ended_locally(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample) {
        self.pool.ended_locally(now, id, sample);
    }

    fn tick(&mut self, now: Duration, notices: &mut Vec<ChooserNotice>) {
        self.findings.clear();
        self.pool.tick(now, &mut self.findings);
        let mapped = self.findings.iter().filter_map(|finding| match *finding {
            PoolFinding::Ejected { id, .. } => Some(ChooserNotice::Ejected(id)),
            PoolFinding::Shifted { id, .. } => Some(ChooserNotice::Shifted(id)),
            PoolFinding::ConnectionSuspect { id, .. } => Some(ChooserNotice::Reconnect(id)),
            _ => None,
        });
        notices.extend(mapped);
    }

    fn report(&mut self, now: Duration) -> Vec<UpstreamEvidence> {
        self.pool.report(now)
    }

    fn merge(&mut self, now: Duration, from: NodeId, evidence: &[UpstreamEvidence]) {
        self.pool.merge(now, from, evidence);
    }

    fn connection_replaced(&mut self, now: Duration, id: UpstreamId) {
        self.pool.connection_replaced(now, id);
    }

    fn floor_status(&self) -> Option<FloorStatus> {
        Some(self.pool.floor_status())
    }

    fn weight(&self, id: UpstreamId) -> f64 {
        self.pool
            .standing(id)
            .map_or(0.0, |standing| standing.weight)
    }
}
