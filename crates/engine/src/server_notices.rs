//! What the local backend servers report about themselves in their answers.
//!
//! ```text
//! answer ─ head ─▶ ServerNotice ─┬─▶ limit of the server that ran the work ─▶ SlotGate
//!                                └─▶ leaving, as if it had announced that
//! ```
//!
//! All work for a server passes the slot gate beside it, whichever node sent it, so a limit that is
//! held there holds for all nodes together.

use std::time::Duration;

use sycamorelink_core::RefusalCode;
use sycamorelink_limits::{PermitBucket, WorkId};
use sycamorelink_policy::UpstreamPhase;

use crate::command::NodeCommand;
use crate::event::{LimitNotice, ServerNotice};
use crate::executor::upstream_id;
use crate::limit_records::RENEWAL_INTERVAL;
use crate::local_upstream::LocalUpstream;
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Time for which a limit stays in force after the last answer that named it. Answers of concurrent
/// runs may arrive in another order than the server sent them.
const LIMIT_RETENTION: Duration = Duration::from_secs(1);

/// Limit on the requests that a backend server gets, as reported by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServerLimit {
    /// Requests per second.
    pub(crate) rate: f64,
    /// When the server first reported a limit.
    since: Duration,
    /// When the server last reported the limit.
    reported_at: Duration,
    /// When the limit was last sent to the replicas, other than because it changed.
    replicated_at: Duration,
}

impl NodeEngine {
    /// Handles what a local backend server reports in its answer to running work.
    pub(crate) fn on_server_notice(
        &mut self,
        now: Duration,
        work: WorkId,
        notice: ServerNotice,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(state) = self.works.get(&work) else {
            return;
        };
        let slot = state.offer.slot;
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        if upstream.life_id() != state.life {
            return;
        }
        upstream.has_answered = true;
        let before = upstream.limit;
        upstream.apply_limit(now, notice.limit);
        let after = upstream.limit;
        if before.map(|limit| limit.rate) != after.map(|limit| limit.rate) {
            self.on_limit_changed(now, slot, before, out);
        }
        self.renew_limit_replicas(now, slot, out);
        if notice.leaving {
            self.on_leaving_notice(now, slot, out);
        }
    }

    /// Marks a server as leaving that reports it in its answers. Its announcement may be late or
    /// lost. A server that names no incarnation is not marked, since nothing would show that the
    /// next one is ready.
    fn on_leaving_notice(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        let upstream = self.upstreams.get(&slot);
        let ready = upstream.filter(|upstream| {
            upstream.available
                && upstream.announced.phase != UpstreamPhase::Leaving
                && upstream.announced.life.is_some()
        });
        if let Some(upstream) = ready {
            let announced = upstream.announced.clone();
            self.mark_leaving(now, announced, out);
        }
    }

    fn on_limit_changed(
        &mut self,
        now: Duration,
        slot: u16,
        before: Option<ServerLimit>,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some(upstream) = self.upstreams.get(&slot) else {
            return;
        };
        let since = before.or(upstream.limit).map_or(now, |limit| limit.since);
        out.push(NodeCommand::Note(NodeNote::ServerLimitChanged {
            id: upstream_id(self.own.instance, slot),
            service: upstream.announced.service.clone(),
            rate: upstream.limit.map(|limit| limit.rate),
            limited_for: now.saturating_sub(since),
        }));
        if before.is_none() {
            // Queued work was accepted at another pace. Other servers may still serve it in time.
            self.refuse_queued(now, slot, RefusalCode::Overloaded, out);
        }
        self.replicate_limit(slot, out);
    }

    fn renew_limit_replicas(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        let upstream = self.upstreams.get_mut(&slot);
        let limit = upstream.and_then(|upstream| upstream.limit.as_mut());
        let due = limit.filter(|limit| now >= limit.replicated_at + RENEWAL_INTERVAL);
        if let Some(limit) = due {
            limit.replicated_at = now;
            self.replicate_limit(slot, out);
        }
    }
}

impl LocalUpstream {
    fn apply_limit(&mut self, now: Duration, notice: LimitNotice) {
        match notice {
            LimitNotice::Rate(rate) => self.set_limit(now, Some(rate)),
            LimitNotice::Absent => {
                let limit = self.limit;
                if limit.is_some_and(|limit| now >= limit.reported_at + LIMIT_RETENTION) {
                    self.set_limit(now, None);
                }
            }
            LimitNotice::Malformed => {}
        }
    }

    /// Takes the limit in force with its permits, for the next gate of the same incarnation.
    pub(crate) fn take_limit(&mut self) -> Option<(ServerLimit, PermitBucket)> {
        let limit = self.limit.take()?;
        Some((limit, self.gate.take_permits()?))
    }

    /// Puts a limit with its permits into force.
    pub(crate) fn put_limit(&mut self, (limit, permits): (ServerLimit, PermitBucket)) {
        self.limit = Some(limit);
        self.gate.put_permits(permits);
    }

    /// Puts a limit into force, or ends it.
    pub(crate) fn set_limit(&mut self, now: Duration, rate: Option<f64>) {
        let before = self.limit;
        self.limit = rate.map(|rate| ServerLimit {
            rate,
            since: before.map_or(now, |limit| limit.since),
            reported_at: now,
            replicated_at: before.map_or(now, |limit| limit.replicated_at),
        });
        if before.map(|limit| limit.rate) != rate {
            self.gate.set_rate_limit(now, rate);
        }
    }
}
