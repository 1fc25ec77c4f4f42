//! What the fleet is told of the backend server beside this node, and what it makes of such news.
//!
//! ```text
//! breaker turns ──▶ work that waits here is refused, not run
//!             └───▶ news to callers' nodes ──▶ their next choices, and repeats of what hangs here
//! ```
//!
//! Pattern: some of a service's servers stop answering for a while. Whoever must find that out by
//! asking loses a try, and work that must not repeat is lost with it. The node beside the server
//! knows first, and its word is a few bytes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{InstanceId, RefusalCode, RequestId, ServiceName, UpstreamId};
use sycamorelink_limits::WorkId;
use sycamorelink_policy::{LoadHint, PolicyMechanism, SampleKind};

use crate::command::NodeCommand;
use crate::executor::upstream_id;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;
use crate::request::WorkPhase;

/// Change of the chance of failing that is news although nothing turned.
const NEWS_STEP: f64 = 0.35;

/// Chance of failing from which repeatable work that waits there is sent elsewhere as well: more likely
/// than not. A repeat for nothing costs a slot for the time of one run.
const REPEAT_FROM: f64 = 0.5;

/// What was last told of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ToldStanding {
    suspect: bool,
    chance: f64,
}

impl NodeEngine {
    /// Odds in nats that a backend server of this node fails part of its requests.
    pub(crate) fn odds_of(&self, slot: u16) -> f64 {
        let upstream = self.upstreams.get(&slot);
        upstream.map_or(0.0, |upstream| upstream.breaker.odds(self.now))
    }

    /// Looks at what the passing of time makes of runs that stay open.
    pub(crate) fn tick_standings(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.has_fleet_form() {
            return;
        }
        let slots: Vec<u16> = self.upstreams.keys().copied().collect();
        for slot in slots {
            self.learn_usual(slot);
            self.check_standing(now, slot, None, out);
            self.settle_late_runs(now, slot, out);
        }
    }

    /// Failure: a request begins on a server that is known to be failing, as a trial or because all
    /// others are as bad. Nothing turns any more, so no news is told, and the request waits there until
    /// its deadline. Its caller's node hears when it lasts longer than sound runs do, and sends it
    /// elsewhere as well.
    ///
    /// A trial that has hung is over, so that the next one may follow.
    fn settle_late_runs(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let mut callers: BTreeSet<InstanceId> = BTreeSet::new();
        for run in upstream.breaker.take_late(now) {
            let Some(state) = self.works.get_mut(&WorkId(run)) else {
                continue;
            };
            if std::mem::take(&mut state.on_trial) {
                upstream.breaker.trial_ended();
            }
            if state.offer.trial_fit {
                callers.insert(state.offer.from);
            }
        }
        let service = upstream.announced.service.clone();
        let id = upstream_id(self.own.instance, slot);
        let load = self.load_of(slot);
        for caller in callers {
            self.tell_standing(now, caller, id, &service, load, out);
        }
    }

    /// Tells one node, which may be this one.
    fn tell_standing(
        &mut self,
        now: Duration,
        to: InstanceId,
        id: UpstreamId,
        service: &ServiceName,
        load: LoadHint,
        out: &mut Vec<NodeCommand>,
    ) {
        if to.node == self.own.instance.node {
            self.on_standing(now, id, service, load, out);
            return;
        }
        let message = PeerMessage::Standing {
            service: service.clone(),
            id,
            load,
        };
        self.send_peer(to, message, out);
    }

    /// Tells the breaker which share of its service's servers fails.
    fn learn_usual(&mut self, slot: u16) {
        if !self.settings.policy.is_on(PolicyMechanism::UsualShare) {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        if let Some(pool) = self.pools.get(&upstream.announced.service) {
            upstream.breaker.set_usual(pool.usual_failing());
        }
    }

    /// Acts when a backend server turned suspect or sound; `kind` is the end of a run that decided it.
    pub(crate) fn check_standing(
        &mut self,
        now: Duration,
        slot: u16,
        kind: Option<SampleKind>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let standing = ToldStanding {
            suspect: upstream.breaker.is_suspect(now),
            chance: upstream.breaker.chance(now),
        };
        let told = upstream.told.unwrap_or(ToldStanding {
            suspect: false,
            chance: 0.0,
        });
        let turned = standing.suspect != told.suspect;
        let moved = (standing.chance - told.chance).abs() >= NEWS_STEP;
        if !turned && !moved {
            return;
        }
        upstream.told = Some(standing);
        let service = upstream.announced.service.clone();
        let id = upstream_id(self.own.instance, slot);
        if turned {
            out.push(NodeCommand::Note(NodeNote::BreakerTurned {
                id,
                service: service.clone(),
                suspect: standing.suspect,
                kind,
                odds: self.odds_of(slot),
            }));
        }
        let load = self.load_of(slot);
        self.on_standing(now, id, &service, load, out);
        if self.settings.policy.is_on(PolicyMechanism::ToldStandings) {
            self.spread_standing(id, &service, load, out);
        }
        if turned && standing.suspect {
            self.release_queue(now, slot, out);
        }
    }

    /// Failure: work waits for a slot of a server that stops answering, and its time runs out there.
    /// It is refused as not run, so that it goes elsewhere while it still can; what was sent here
    /// because all others are as bad stays.
    fn release_queue(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        let queued = self.works.iter().filter(|(_, work)| {
            work.offer.slot == slot && work.phase == WorkPhase::Queued && !work.offer.insist
        });
        let queued: Vec<WorkId> = queued.map(|(work, _)| *work).collect();
        for work in queued {
            if let Some(upstream) = self.upstreams.get_mut(&slot) {
                upstream.gate.cancel(now, work);
            }
            self.refuse_gated(now, work, RefusalCode::UpstreamSuspect, None, out);
        }
    }

    /// Tells the nodes that have work here, and only them.
    ///
    /// Failure: all callers' nodes hear that a server is suspect, all keep away from it at once, and for
    /// long after it is whole. The servers that are left are full, and a tenth of the requests is refused.
    /// A node without work here learns of it from its next refusal, which costs a way there and back.
    fn spread_standing(
        &mut self,
        id: UpstreamId,
        service: &ServiceName,
        load: LoadHint,
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.own.instance.node;
        let here = self.works.values();
        let here = here.filter(|work| work.offer.slot == id.slot && work.offer.from.node != own);
        let peers: BTreeSet<InstanceId> = here.map(|work| work.offer.from).collect();
        for peer in peers {
            self.tell_standing(self.now, peer, id, service, load, out);
        }
    }

    /// Takes in what the node beside an upstream tells of it.
    pub(crate) fn on_standing(
        &mut self,
        now: Duration,
        id: UpstreamId,
        service: &ServiceName,
        load: LoadHint,
        out: &mut Vec<NodeCommand>,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.hint(now, id, load);
        }
        let silent = load.failing_chance() >= REPEAT_FROM;
        if silent && self.settings.policy.is_on(PolicyMechanism::SilentRepeats) {
            self.repeat_silent(now, id, out);
        }
    }

    /// Sends what waits for a suspect upstream elsewhere as well, where it may be repeated. The first
    /// attempt goes on; the one that answers first ends the other, which frees its slot.
    fn repeat_silent(&mut self, now: Duration, id: UpstreamId, out: &mut Vec<NodeCommand>) {
        let waiting = self.requests.iter().filter(|(_, state)| {
            state.open.len() == 1
                && state.open[0].upstream == id
                && state.rule.hedge
                && state.caller.replayable
                && !state.has_run_everywhere()
        });
        let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        for request in waiting {
            let Some((upstream, _)) = self.choose(now, request) else {
                return;
            };
            let Some(state) = self.requests.get(&request) else {
                continue;
            };
            out.push(NodeCommand::Note(NodeNote::HedgeSent {
                request: Arc::clone(&state.caller.label),
                service: state.rule.service.clone(),
                to: upstream,
            }));
            self.dispatch(now, request, upstream, out);
        }
    }
}
