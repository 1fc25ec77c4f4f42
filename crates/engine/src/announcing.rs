//! Backend servers beside this node: their announcements, and what the fleet is told of them.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, ServiceName, UpstreamId};
use sycamorelink_limits::{SlotGate, WorkId};
use sycamorelink_policy::{PolicyMechanism, UpstreamBreaker, UpstreamPhase};
use sycamorelink_roster::RosterEvent;

use crate::command::NodeCommand;
use crate::event::{LifeId, UpstreamAnnouncement};
use crate::node::{CLOSE_GRACE, LocalUpstream, NodeEngine};
use crate::note::NodeNote;
use crate::request::WorkPhase;

impl NodeEngine {
    /// A backend server beside this node announced itself or renewed its announcement.
    pub(crate) fn on_announced(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(announced) = self.recall_leaving(announced) else {
            return;
        };
        let Some(announced) = self.admit_announcement(announced) else {
            return;
        };
        if announced.phase == UpstreamPhase::Leaving {
            self.record_leaving(&announced, out);
        }
        let slot = announced.slot;
        let lapses = now + self.settings.announcement;
        let mut known = self.upstreams.remove(&slot);
        if let Some(known) = &mut known {
            known.end_if_replaced(&announced);
        }
        let ended = known.as_ref().map(|known| known.ended.clone());
        let fresh = known.as_ref().is_none_or(|known| !known.up);
        let same = known.as_ref().is_some_and(|known| {
            known.up
                && known.announced.service == announced.service
                && known.announced.slots == announced.slots
                && known.announced.phase == announced.phase
        });
        let repeats = known
            .as_mut()
            .filter(|known| known.announced.service == announced.service)
            .and_then(|known| known.repeats.take());
        let kept = known.filter(|known| is_same_life(known, &announced));
        let new_gate = kept.is_none();
        // Failure: this node restarts after it acknowledged that its backend server leaves, hears
        // of the leaving once more, and hands it work for another while. The grace is for peers
        // that have not heard; a leaving that is the first thing known of a life may be old news.
        let closes = if new_gate { now } else { now + CLOSE_GRACE };
        let mut upstream = kept.unwrap_or_else(|| self.new_upstream(now, &announced));
        // Kept across restarts: a reset would refill the server's part of the bound on every crash.
        upstream.repeats = repeats;
        upstream.closes = match announced.phase {
            UpstreamPhase::Leaving => upstream.closes.or(Some(closes)),
            UpstreamPhase::Starting | UpstreamPhase::Ready => None,
        };
        if !upstream.up {
            upstream.life += 1;
            upstream.up = true;
        }
        upstream.lapses = lapses;
        upstream.ended = ended.unwrap_or_default();
        upstream.announced = announced;
        let facts = facts_of(&upstream.announced);
        let phase = upstream.announced.phase;
        self.upstreams.insert(slot, upstream);
        if new_gate {
            self.refuse_queued(now, slot, RefusalCode::Overloaded, out);
        }
        if !same {
            self.note_announced(slot, fresh, phase, out);
            // Failure: a node that leaves is told that its own backend server leaves too, and goes
            // on handing it work: for peers nothing changed, so the membership reports nothing.
            // The own pool is told here, whatever the membership reports.
            let id = UpstreamId {
                node: self.own.instance.node,
                slot,
            };
            self.tell_roster(
                now,
                RosterEvent::UpstreamSet {
                    slot,
                    facts: facts.clone(),
                },
                out,
            );
            self.on_upstream_changed(now, id, &facts);
        }
    }

    /// An announcement as far as it is news; none when it is late or from a life that ended.
    ///
    /// Failure: an announcement is held up, its sender ends, and another life takes its place; the
    /// late one would bring the dead life back. Each life counts its announcements, and a life that
    /// another replaced is never taken again. One that leaves goes on leaving whatever it says.
    ///
    /// Failure: a backend server starts again under its name and counts its announcements anew. Taken
    /// for late ones of the life before, they are ignored until the count has caught up, and the
    /// server stands idle. The time of its start tells the later life.
    fn admit_announcement(&self, announced: UpstreamAnnouncement) -> Option<UpstreamAnnouncement> {
        let Some(life) = &announced.life else {
            return Some(announced);
        };
        let Some(known) = self.upstreams.get(&announced.slot) else {
            return Some(announced);
        };
        if known.ended.contains(&life.id) {
            return None;
        }
        let current = known.announced.life.as_ref();
        if current.is_some_and(|current| life.id.is_earlier_than(&current.id)) {
            return None;
        }
        let same = current.filter(|same| same.id == life.id);
        if same.is_some_and(|same| life.order <= same.order) {
            return None;
        }
        let leaves = same.is_some() && known.announced.phase == UpstreamPhase::Leaving;
        let phase = if leaves {
            UpstreamPhase::Leaving
        } else {
            announced.phase
        };
        Some(UpstreamAnnouncement { phase, ..announced })
    }

    /// A backend server says that it ends. One that did not say before that it leaves goes on
    /// serving for a while, so it is taken as leaving first.
    pub(crate) fn on_withdrawal(
        &mut self,
        now: Duration,
        slot: u16,
        life: Option<&LifeId>,
        out: &mut Vec<NodeCommand>,
    ) {
        self.drop_held_announcement(slot, life);
        let Some(known) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let Some(id) = life else {
            return self.on_withdrawn(now, slot, out);
        };
        let current = known.life_id();
        let Some(current) = current.filter(|current| id.names(current)) else {
            known.end_life(id.clone());
            return;
        };
        if known.announced.phase == UpstreamPhase::Leaving {
            known.end_life(current);
            return self.on_withdrawn(now, slot, out);
        }
        let announced = known.announced.clone();
        self.take_as_leaving(now, announced, out);
    }

    /// A server leaves although its newest announcement does not say so.
    pub(crate) fn take_as_leaving(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) {
        let mut leaving = announced;
        leaving.phase = UpstreamPhase::Leaving;
        if let Some(life) = &mut leaving.life {
            life.order += 1;
        }
        self.on_announced(now, leaving, out);
    }

    /// Another server answered where one life was meant: that life has ended, and what is there
    /// now has not announced itself yet.
    pub(crate) fn on_replaced(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        if let Some(known) = self.upstreams.get_mut(&slot)
            && let Some(id) = known.life_id()
        {
            known.end_life(id);
        }
        self.on_withdrawn(now, slot, out);
    }

    /// Failure: a backend server announces itself anew while work waits for it, and its slots are
    /// counted afresh. What waited in the former count is never started nor refused. It is refused
    /// here as not run, so that it may run elsewhere.
    pub(crate) fn refuse_queued(
        &mut self,
        now: Duration,
        slot: u16,
        code: RefusalCode,
        out: &mut Vec<NodeCommand>,
    ) {
        let queued = self
            .works
            .iter()
            .filter(|(_, work)| work.offer.slot == slot && work.phase == WorkPhase::Queued);
        let queued: Vec<WorkId> = queued.map(|(work, _)| *work).collect();
        for work in queued {
            self.refuse_gated(now, work, code, None, out);
        }
    }

    pub(crate) fn new_upstream(
        &self,
        now: Duration,
        announced: &UpstreamAnnouncement,
    ) -> LocalUpstream {
        let mut settings = self.settings.gate.clone();
        settings.slots = u32::from(announced.slots);
        LocalUpstream {
            announced: announced.clone(),
            gate: SlotGate::new(settings, now).warm_up_left(now, announced.warm_up),
            breaker: UpstreamBreaker::new(now)
                .count_ages(self.settings.policy.is_on(PolicyMechanism::OpenRuns)),
            told: None,
            repeats: None,
            lapses: now,
            closes: None,
            life: 0,
            up: true,
            ended: Vec::new(),
        }
    }

    pub(crate) fn on_withdrawn(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        if let Some(upstream) = self.upstreams.get_mut(&slot)
            && upstream.up
        {
            upstream.up = false;
            self.note_if_idle(slot, out);
            self.tell_roster(now, RosterEvent::UpstreamGone { slot }, out);
        }
    }

    /// Tells that an upstream is gone, once it is and its last work has ended.
    pub(crate) fn note_if_idle(&self, slot: u16, out: &mut Vec<NodeCommand>) {
        let gone = self
            .upstreams
            .get(&slot)
            .is_some_and(|upstream| !upstream.up);
        if gone && !self.works.values().any(|work| work.offer.slot == slot) {
            self.note_upstream(slot, out, |id, service| NodeNote::UpstreamGone {
                id,
                service,
            });
        }
    }

    pub(crate) fn note_announced(
        &self,
        slot: u16,
        fresh: bool,
        phase: UpstreamPhase,
        out: &mut Vec<NodeCommand>,
    ) {
        if fresh {
            self.note_upstream(slot, out, |id, service| NodeNote::UpstreamAnnounced {
                id,
                service,
            });
        }
        match phase {
            UpstreamPhase::Starting => {}
            UpstreamPhase::Ready => {
                self.note_upstream(slot, out, |id, service| NodeNote::UpstreamReady {
                    id,
                    service,
                });
            }
            UpstreamPhase::Leaving => {
                self.note_upstream(slot, out, |id, service| NodeNote::UpstreamLeaving {
                    id,
                    service,
                });
            }
        }
    }

    pub(crate) fn note_upstream<F>(&self, slot: u16, out: &mut Vec<NodeCommand>, make: F)
    where
        F: FnOnce(UpstreamId, ServiceName) -> NodeNote,
    {
        if let Some(upstream) = self.upstreams.get(&slot) {
            let id = UpstreamId {
                node: self.own.instance.node,
                slot,
            };
            let service = upstream.announced.service.clone();
            out.push(NodeCommand::Note(make(id, service)));
        }
    }

    /// A backend server that stopped renewing its announcement gets no new work.
    pub(crate) fn lapse_upstreams(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let lapsed: Vec<u16> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.up && upstream.lapses <= now)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in lapsed {
            self.note_upstream(slot, out, |id, service| NodeNote::UpstreamLapsed {
                id,
                service,
            });
            self.on_withdrawn(now, slot, out);
        }
    }
}

/// Lives of one backend server that are remembered as ended. A late announcement comes seconds
/// after its sender's end, and a life lasts longer than that.
const ENDED_LIVES: usize = 8;

impl LocalUpstream {
    /// The life that runs now.
    pub(crate) fn life_id(&self) -> Option<LifeId> {
        let life = self.announced.life.as_ref();
        life.map(|life| life.id.clone())
    }

    /// Remembers that a life ended.
    pub(crate) fn end_life(&mut self, id: LifeId) {
        if !self.ended.contains(&id) {
            self.ended.push(id);
        }
        if self.ended.len() > ENDED_LIVES {
            self.ended.remove(0);
        }
    }

    /// Remembers that the life that runs now ended, if another one announces itself.
    fn end_if_replaced(&mut self, announced: &UpstreamAnnouncement) {
        let next = announced.life.as_ref().map(|life| &life.id);
        if let Some(id) = self.life_id()
            && next != Some(&id)
        {
            self.end_life(id);
        }
    }
}

/// A backend server that closed its gate and comes back is a new life of it.
fn is_same_life(known: &LocalUpstream, announced: &UpstreamAnnouncement) -> bool {
    let reopened = known.closes.is_some() && announced.phase != UpstreamPhase::Leaving;
    let same = known.life_id().as_ref() == announced.life.as_ref().map(|life| &life.id);
    known.announced.slots == announced.slots && !reopened && same
}

/// What the fleet is told.
fn facts_of(announced: &UpstreamAnnouncement) -> sycamorelink_roster::UpstreamFacts {
    let phase = match announced.phase {
        UpstreamPhase::Starting => sycamorelink_roster::UpstreamPhase::Starting,
        UpstreamPhase::Ready => sycamorelink_roster::UpstreamPhase::Ready,
        UpstreamPhase::Leaving => sycamorelink_roster::UpstreamPhase::Leaving,
    };
    sycamorelink_roster::UpstreamFacts {
        service: announced.service.clone(),
        slots: announced.slots,
        phase,
    }
}
