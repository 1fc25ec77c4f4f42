//! State of the backend servers beside a node.

use std::time::Duration;

use sycamorelink_limits::{AdmissionGate, LearnedRuns, RepeatBooks, ServerSpeed};
use sycamorelink_policy::UpstreamBreaker;

use crate::event::{LifeId, UpstreamAnnouncement};
use crate::health::ReportedHealth;
use crate::rivals::RivalLives;
use crate::server_notices::ServerLimit;

/// Maximum number of ended incarnations remembered per backend server. A delayed announcement
/// arrives seconds after the end of its sender, and an incarnation lasts longer than that.
const MAX_ENDED_LIVES: usize = 8;

/// Kind of the gate in front of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GateKind {
    /// A slot gate, without overload control.
    Slots,
    /// A deadline gate with one lane for all work.
    Deadline,
    /// A deadline gate that shares the waiting work among client accounts.
    Accounts,
}

/// State of a backend server beside this node.
#[derive(Debug)]
pub(crate) struct LocalUpstream {
    pub(crate) announced: UpstreamAnnouncement,
    pub(crate) gate: Box<dyn AdmissionGate>,
    pub(crate) gate_kind: GateKind,
    /// What a former deadline gate has learned, while the gate is a slot gate.
    pub(crate) learned: Option<LearnedRuns>,
    /// Run times of this incarnation relative to those of its service.
    pub(crate) speed: ServerSpeed,
    pub(crate) breaker: UpstreamBreaker,
    /// Budget of repeats that the server may be given; `None` before the first repeat.
    pub(crate) repeats: Option<RepeatBooks>,
    /// Limit on the requests that the server gets, as last reported by it.
    pub(crate) limit: Option<ServerLimit>,
    /// Whether the server has answered this incarnation of the node.
    pub(crate) has_answered: bool,
    /// Health last reported to the nodes of callers.
    pub(crate) reported_health: Option<ReportedHealth>,
    /// Time at which the announcement expires unless renewed.
    pub(crate) expires_at: Duration,
    /// Time from which a leaving backend server accepts no more work.
    pub(crate) closes_at: Option<Duration>,
    /// Number of incarnations of the backend server so far.
    pub(crate) life: u64,
    /// Whether the server may be given work: announced, and neither withdrawn nor crashed.
    pub(crate) available: bool,
    /// Incarnations that ended, oldest first; at most [`MAX_ENDED_LIVES`].
    pub(crate) ended_lives: Vec<LifeId>,
    /// Other incarnations that announced themselves and may be the one that runs.
    pub(crate) rivals: RivalLives,
}

impl LocalUpstream {
    /// Returns the current incarnation, or `None` if the server does not announce one.
    pub(crate) fn life_id(&self) -> Option<LifeId> {
        let life = self.announced.life.as_ref();
        life.map(|life| life.id.clone())
    }

    /// Records that an incarnation ended, as it announced itself.
    pub(crate) fn end_life(&mut self, id: LifeId) {
        self.rivals.remove_matching(&id);
        if !self.ended_lives.contains(&id) {
            self.ended_lives.push(id);
        }
        if self.ended_lives.len() > MAX_ENDED_LIVES {
            self.ended_lives.remove(0);
        }
    }
}
