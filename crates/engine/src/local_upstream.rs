//! State of the backend servers beside a node.

use std::time::Duration;

use sycamorelink_limits::{AdmissionGate, LearnedRuns, RepeatBooks, ServerSpeed};
use sycamorelink_policy::UpstreamBreaker;

use crate::event::{LifeId, UpstreamAnnouncement};
use crate::health::ReportedHealth;
use crate::leaving::{life_of, order_of};
use crate::server_notices::ServerLimit;

/// Maximum number of ended incarnations remembered per backend server. A delayed announcement
/// arrives seconds after the end of its sender, and an incarnation lasts longer than that.
const MAX_ENDED_LIVES: usize = 8;

/// Announcements after which a displaced incarnation counts as the one that runs.
const DISPLACED_ANNOUNCEMENTS: u32 = 2;

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
    /// The former incarnation, until the current one is confirmed.
    pub(crate) displaced: Option<DisplacedLife>,
}

/// An incarnation in whose place another one announced itself. The announcement of the other may be a
/// delayed one of a server that ended before.
#[derive(Debug)]
pub(crate) struct DisplacedLife {
    /// Its newest announcement.
    pub(crate) announced: UpstreamAnnouncement,
    /// Number of its announcements since it was displaced.
    announcements: u32,
}

impl LocalUpstream {
    /// Returns the current incarnation, or `None` if the server does not announce one.
    pub(crate) fn life_id(&self) -> Option<LifeId> {
        let life = self.announced.life.as_ref();
        life.map(|life| life.id.clone())
    }

    /// Records that an incarnation ended.
    pub(crate) fn end_life(&mut self, id: LifeId) {
        if let Some(displaced) = &self.displaced
            && life_of(&displaced.announced).is_some_and(|displaced| id.matches(displaced))
        {
            self.displaced = None;
        }
        if !self.ended_lives.contains(&id) {
            self.ended_lives.push(id);
        }
        if self.ended_lives.len() > MAX_ENDED_LIVES {
            self.ended_lives.remove(0);
        }
    }

    /// Keeps the current incarnation as displaced if a different one announces itself. A second
    /// announcement of the current one confirms it, and the displaced one has ended.
    pub(crate) fn displace_if_replaced(&mut self, announced: &UpstreamAnnouncement) {
        let displaced = self.displaced.take();
        let former = displaced.and_then(|displaced| life_of(&displaced.announced).cloned());
        let next = life_of(announced);
        if let Some(id) = former.filter(|id| next != Some(id)) {
            self.end_life(id);
        }
        if self.life_id().as_ref() != next && self.life_id().is_some() {
            self.displaced = Some(DisplacedLife {
                announced: self.announced.clone(),
                announcements: 0,
            });
        }
    }

    /// Returns whether an announcement is of the displaced incarnation.
    pub(crate) fn is_displaced(&self, announced: &UpstreamAnnouncement) -> bool {
        let displaced = self.displaced.as_ref();
        displaced.is_some_and(|displaced| life_of(&displaced.announced) == life_of(announced))
    }

    /// Counts an announcement of the displaced incarnation. Returns whether the incarnation takes the
    /// place of the current one again: a single announcement may have been delayed.
    pub(crate) fn count_displaced(&mut self, announced: &UpstreamAnnouncement) -> bool {
        let Some(displaced) = &mut self.displaced else {
            return false;
        };
        if order_of(announced) > order_of(&displaced.announced) {
            displaced.announced = announced.clone();
            displaced.announcements += 1;
        }
        displaced.announcements >= DISPLACED_ANNOUNCEMENTS
    }

    /// Records that an incarnation ended. If it was the current one, returns the announcement of the
    /// displaced one, which takes its place.
    pub(crate) fn end_and_restore(&mut self, id: &LifeId) -> Option<UpstreamAnnouncement> {
        let was_current = self.life_id().as_ref() == Some(id);
        self.end_life(id.clone());
        let displaced = self.displaced.take_if(|_| was_current)?;
        Some(displaced.announced)
    }
}
