//! What a daemon does with one service's upstreams, as the lab drives it.

use std::time::Duration;

use sycamorelink_core::{NodeId, UpstreamId};
use sycamorelink_policy::{
    FloorStatus, PoolFinding, PoolSettings, ServicePool, UpstreamEvidence, UpstreamFacts,
    UpstreamSample,
};

/// What a chooser wants the lab to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooserNotice {
    /// It ejected an upstream.
    Ejected(UpstreamId),
    /// It took most of an upstream's weight.
    Shifted(UpstreamId),
    /// It wants a new connection tried.
    Reconnect(UpstreamId),
}

/// One daemon's way to choose among upstreams.
pub trait UpstreamChooser: Send {
    /// Takes over an upstream's facts.
    fn upsert(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts);

    /// Chooses an upstream.
    fn pick(&mut self, now: Duration, exclude: &[UpstreamId]) -> Option<UpstreamId>;

    /// Notes that an attempt was sent.
    fn sent(&mut self, now: Duration, id: UpstreamId);

    /// Notes how an attempt ended.
    fn observe(&mut self, now: Duration, id: UpstreamId, sample: &UpstreamSample);

    /// Notes that an attempt took a slot beside this daemon.
    fn started_locally(&mut self, _now: Duration, _id: UpstreamId) {}

    /// Notes how an attempt ended that ran beside this daemon.
    fn ended_locally(&mut self, _now: Duration, _id: UpstreamId, _sample: &UpstreamSample) {}

    /// Does what is due.
    fn tick(&mut self, _now: Duration, _notices: &mut Vec<ChooserNotice>) {}

    /// Evidence for peers.
    fn report(&mut self, _now: Duration) -> Vec<UpstreamEvidence> {
        Vec::new()
    }

    /// Evidence of a peer.
    fn merge(&mut self, _now: Duration, _from: NodeId, _evidence: &[UpstreamEvidence]) {}

    /// A new connection answered.
    fn connection_replaced(&mut self, _now: Duration, _id: UpstreamId) {}

    /// The floor, where there is one.
    fn floor_status(&self) -> Option<FloorStatus> {
        None
    }

    /// Share of its fair share that an upstream is offered.
    fn weight(&self, _id: UpstreamId) -> f64 {
        1.0
    }
}

/// The pool of this project as a chooser.
#[derive(Debug)]
pub struct PoolChooser {
    pool: ServicePool,
    findings: Vec<PoolFinding>,
}

impl PoolChooser {
    /// A pool with these settings.
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
        let told = self.findings.iter().filter_map(|finding| match *finding {
            PoolFinding::Ejected { id, .. } => Some(ChooserNotice::Ejected(id)),
            PoolFinding::Shifted { id, .. } => Some(ChooserNotice::Shifted(id)),
            PoolFinding::ConnectionSuspect { id, .. } => Some(ChooserNotice::Reconnect(id)),
            _ => None,
        });
        notices.extend(told);
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
