//! Announcements of the local backend servers, and their publication in the membership.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{RefusalCode, ServiceName, UpstreamId};
use sycamorelink_limits::ServerSpeed;
use sycamorelink_policy::{PolicyMechanism, UpstreamBreaker, UpstreamPhase};
use sycamorelink_roster::RosterEvent;

use crate::command::NodeCommand;
use crate::event::{LifeId, UpstreamAnnouncement};
use crate::executor::upstream_id;
use crate::leaving::{LeavingServer, life_of};
use crate::local_upstream::LocalUpstream;
use crate::node::{CLOSE_GRACE, NodeEngine};
use crate::note::NodeNote;
use crate::rivals::{KeptState, RivalClaim, RivalLives, TakeoverReason};

impl NodeEngine {
    /// Handles the first or a renewed announcement of a local backend server.
    pub(crate) fn on_announced(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(announced) = self.resolve_leaving(now, announced) else {
            return;
        };
        if announced.phase == UpstreamPhase::Leaving && self.end_rival(&announced, out) {
            return;
        }
        if let Some(announced) = self.admit_announcement(now, announced, out) {
            self.apply_announcement(now, announced, out);
        }
    }

    /// Ends an incarnation that is not the current one and announces that it leaves. Returns whether
    /// it did. A later start under the current name gets the same work, so it takes the place.
    fn end_rival(&mut self, announced: &UpstreamAnnouncement, out: &mut Vec<NodeCommand>) -> bool {
        let known = self.upstreams.get_mut(&announced.slot);
        let (Some(known), Some(leaving)) = (known, LeavingServer::of(announced)) else {
            return false;
        };
        let current = known.life_id();
        let is_rival =
            current.is_some_and(|current| known.available && current.name != leaving.life.name);
        if !is_rival {
            return false;
        }
        known.end_life(leaving.life.clone());
        self.replicate_leaving(&leaving, out);
        true
    }

    fn apply_announcement(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) {
        if announced.phase == UpstreamPhase::Leaving
            && let Some(leaving) = LeavingServer::of(&announced)
        {
            self.replicate_leaving(&leaving, out);
        }
        let slot = announced.slot;
        let expires_at = now + self.settings.announcement;
        let mut known = self.upstreams.remove(&slot);
        let mut rivals = known
            .as_mut()
            .map(|known| std::mem::take(&mut known.rivals))
            .unwrap_or_default();
        let ended_lives = known.as_ref().map(|known| known.ended_lives.clone());
        let is_new = known.as_ref().is_none_or(|known| !known.available);
        let same = known.as_ref().is_some_and(|known| {
            known.available
                && known.announced.service == announced.service
                && known.announced.slots == announced.slots
                && known.announced.phase == announced.phase
        });
        let repeats = known
            .as_mut()
            .filter(|known| known.announced.service == announced.service)
            .and_then(|known| known.repeats.take());
        let mut kept = KeptState::default();
        if let Some(known) = &mut known {
            if known.life_id().as_ref() == life_of(&announced) {
                kept.limit = known.take_limit();
            } else {
                kept = rivals.displace(known, life_of(&announced));
            }
        }
        let existing = known.filter(|known| is_same_life(known, &announced));
        let new_gate = existing.is_none();
        // Guards against new work for a leaving server after a restart of this node. The grace
        // period is for peers that do not know of the leaving yet; if the first announcement of an
        // incarnation says that it leaves, peers may have known for long.
        let closes_at = if new_gate { now } else { now + CLOSE_GRACE };
        let mut upstream = existing.unwrap_or_else(|| self.new_upstream(now, &announced));
        // Kept across restarts of the server: a reset would refill its part of the bound on every
        // crash.
        upstream.repeats = repeats.or(kept.repeats);
        if let Some(limit) = kept.limit {
            upstream.put_limit(limit);
        }
        upstream.closes_at = match announced.phase {
            UpstreamPhase::Leaving => upstream.closes_at.or(Some(closes_at)),
            UpstreamPhase::Starting | UpstreamPhase::Ready => None,
        };
        if !upstream.available {
            upstream.life += 1;
            upstream.available = true;
        }
        upstream.expires_at = expires_at;
        upstream.ended_lives = ended_lives.unwrap_or_default();
        upstream.rivals = rivals;
        upstream.announced = announced;
        let facts = facts_of(&upstream.announced);
        let phase = upstream.announced.phase;
        self.upstreams.insert(slot, upstream);
        if new_gate {
            self.restore_limit(now, slot);
            self.refuse_queued(now, slot, RefusalCode::Overloaded, out);
        }
        if !same {
            self.note_announced(slot, is_new, phase, out);
            // Guards against work for a local server that leaves while this node itself is leaving.
            // Nothing changes for peers then, so the membership reports no event and the local pool
            // is updated here.
            let id = upstream_id(self.own.instance, slot);
            self.handle_roster_event(
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

    /// Returns the announcement to apply, or `None` if it is outdated.
    ///
    /// Guards against a delayed announcement that revives an ended incarnation: each incarnation
    /// numbers its announcements, and one that is known to have ended is never accepted again. An
    /// incarnation that is leaving stays leaving whatever phase it announces.
    ///
    /// The rules for another incarnation than the current one are in [`crate::rivals`].
    fn admit_announcement(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) -> Option<UpstreamAnnouncement> {
        let Some(life) = &announced.life else {
            return Some(announced);
        };
        let Some(known) = self.upstreams.get_mut(&announced.slot) else {
            return Some(announced);
        };
        if known.ended_lives.contains(&life.id) {
            return None;
        }
        let current = known.announced.life.as_ref();
        let Some(same) = current.filter(|same| same.id == life.id) else {
            return self.admit_rival(now, announced, out);
        };
        if life.order <= same.order {
            return None;
        }
        known.rivals.restart_counts();
        let phase = if known.announced.phase == UpstreamPhase::Leaving {
            UpstreamPhase::Leaving
        } else {
            announced.phase
        };
        Some(UpstreamAnnouncement { phase, ..announced })
    }

    /// Returns the announcement of another incarnation than the current one, if it takes the place.
    fn admit_rival(
        &mut self,
        now: Duration,
        announced: UpstreamAnnouncement,
        out: &mut Vec<NodeCommand>,
    ) -> Option<UpstreamAnnouncement> {
        let known = self.upstreams.get(&announced.slot)?;
        let claim = RivalClaim {
            announced: &announced,
            expires_at: now + self.settings.announcement,
            is_in_force: self.is_in_force(&announced.service),
            is_current_in_force: self.is_in_force(&known.announced.service),
        };
        let known = self.upstreams.get_mut(&announced.slot)?;
        let reason = known.judge_rival(now, claim);
        self.note_rival(&announced, reason, out);
        reason.map(|_| announced)
    }

    /// Returns whether a service is in force, as far as this node knows.
    fn is_in_force(&self, service: &ServiceName) -> bool {
        let contract = self.fleet.current.as_ref();
        contract.is_none_or(|(contract, _)| contract.services.contains(service))
    }

    /// Reports the decision about an incarnation that is not the current one.
    fn note_rival(
        &self,
        announced: &UpstreamAnnouncement,
        reason: Option<TakeoverReason>,
        out: &mut Vec<NodeCommand>,
    ) {
        let slot = announced.slot;
        let current = self.upstreams.get(&slot).and_then(LocalUpstream::life_id);
        let (Some(current), Some(rival)) = (current, life_of(announced)) else {
            return;
        };
        out.push(NodeCommand::Note(NodeNote::RivalAnnounced {
            id: upstream_id(self.own.instance, slot),
            service: announced.service.clone(),
            rival: Arc::clone(&rival.name),
            current: current.name,
            reason,
        }));
    }

    /// Handles the withdrawal of a backend server. One that did not announce before that it leaves
    /// continues to serve for a while, so it is marked as leaving first.
    pub(crate) fn on_withdrawal(
        &mut self,
        now: Duration,
        slot: u16,
        life: Option<&LifeId>,
        out: &mut Vec<NodeCommand>,
    ) {
        self.drop_held_announcement(slot, life);
        let Some(known) = self.upstreams.get_mut(&slot) else {
            if let Some(life) = life {
                self.remember_withdrawal(slot, life, out);
            }
            return;
        };
        let Some(id) = life else {
            return self.on_withdrawn(now, slot, out);
        };
        let current = known.life_id();
        let Some(current) = current.filter(|current| id.matches(current)) else {
            known.end_life(id.clone());
            self.remember_withdrawal(slot, id, out);
            return;
        };
        if known.announced.phase == UpstreamPhase::Leaving {
            known.end_life(current);
            return self.on_withdrawn(now, slot, out);
        }
        let announced = known.announced.clone();
        self.mark_leaving(now, announced, out);
    }

    /// Marks a server as leaving although its newest announcement does not say so.
    pub(crate) fn mark_leaving(
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

    /// Handles the rejection of work that was sent to an incarnation: another server runs in its place.
    /// That is the rival that was heard last, or one that has not announced itself yet.
    ///
    /// The rejection may be late, so the incarnation that is current by now may be another one.
    pub(crate) fn on_replaced(
        &mut self,
        now: Duration,
        slot: u16,
        life: Option<&LifeId>,
        out: &mut Vec<NodeCommand>,
    ) {
        let known = self.upstreams.get_mut(&slot);
        let (Some(known), Some(life)) = (known, life) else {
            return self.on_withdrawn(now, slot, out);
        };
        if known.life_id().as_ref() != Some(life) {
            return known.rivals.reject(life);
        }
        let Some(announced) = known.rivals.latest(now).cloned() else {
            return self.on_withdrawn(now, slot, out);
        };
        self.note_rival(&announced, Some(TakeoverReason::Rejected), out);
        self.apply_announcement(now, announced, out);
        if let Some(known) = self.upstreams.get_mut(&slot) {
            known.rivals.reject(life);
        }
    }

    /// Returns whether an incarnation is the current one.
    pub(crate) fn is_current(&self, slot: u16, life: Option<&LifeId>) -> bool {
        let known = self.upstreams.get(&slot);
        known.is_some_and(|known| known.life_id().as_ref() == life)
    }

    /// Records that an incarnation replied to work that was sent to it.
    pub(crate) fn confirm_life(&mut self, slot: u16, life: Option<&LifeId>) {
        if self.is_current(slot, life)
            && let Some(known) = self.upstreams.get_mut(&slot)
        {
            known.rivals.restart_counts();
        }
    }

    pub(crate) fn new_upstream(
        &self,
        now: Duration,
        announced: &UpstreamAnnouncement,
    ) -> LocalUpstream {
        LocalUpstream {
            announced: announced.clone(),
            gate: self.new_gate(now, announced),
            gate_kind: self.gate_kind(),
            learned: None,
            speed: ServerSpeed::default(),
            breaker: UpstreamBreaker::new(now)
                .use_run_ages(self.settings.policy.is_on(PolicyMechanism::OpenRuns)),
            limit: None,
            has_answered: false,
            reported_health: None,
            repeats: None,
            expires_at: now,
            closes_at: None,
            life: 0,
            available: true,
            ended_lives: Vec::new(),
            rivals: RivalLives::default(),
        }
    }

    pub(crate) fn on_withdrawn(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        if let Some(upstream) = self.upstreams.get_mut(&slot)
            && upstream.available
        {
            upstream.available = false;
            self.note_if_idle(slot, out);
            self.handle_roster_event(now, RosterEvent::UpstreamGone { slot }, out);
        }
    }

    /// Reports that an upstream is gone once it has withdrawn and its last work has ended.
    pub(crate) fn note_if_idle(&self, slot: u16, out: &mut Vec<NodeCommand>) {
        let gone = self
            .upstreams
            .get(&slot)
            .is_some_and(|upstream| !upstream.available);
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
        is_new: bool,
        phase: UpstreamPhase,
        out: &mut Vec<NodeCommand>,
    ) {
        if is_new {
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
            let id = upstream_id(self.own.instance, slot);
            let service = upstream.announced.service.clone();
            out.push(NodeCommand::Note(make(id, service)));
        }
    }

    /// Withdraws the backend servers that stopped renewing their announcements, so that they get no
    /// new work.
    pub(crate) fn expire_upstreams(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let expired: Vec<u16> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.available && upstream.expires_at <= now)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in expired {
            self.note_upstream(slot, out, |id, service| NodeNote::UpstreamLapsed {
                id,
                service,
            });
            self.on_withdrawn(now, slot, out);
        }
    }
}

/// Returns whether an announcement continues the known incarnation. A backend server that closed
/// its gate and returns counts as a new one.
fn is_same_life(known: &LocalUpstream, announced: &UpstreamAnnouncement) -> bool {
    let reopened = known.closes_at.is_some() && announced.phase != UpstreamPhase::Leaving;
    let same = known.life_id().as_ref() == life_of(announced);
    known.announced.slots == announced.slots && !reopened && same
}

/// Returns the facts that the membership publishes about an announced server.
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
