//! What the local backend servers report about themselves in their answers.
//!
//! ```text
//! answer ─ head ─▶ ServerNotice ─▶ limit of the server that ran the work
//! ```

use std::time::Duration;

use sycamorelink_limits::WorkId;

use crate::command::NodeCommand;
use crate::event::{LimitNotice, ServerNotice};
use crate::executor::upstream_id;
use crate::node::{LocalUpstream, NodeEngine};
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
        let before = upstream.limit;
        upstream.apply_limit(now, notice.limit);
        let after = upstream.limit;
        if before.map(|limit| limit.rate) == after.map(|limit| limit.rate) {
            return;
        }
        let since = before.or(after).map_or(now, |limit| limit.since);
        out.push(NodeCommand::Note(NodeNote::ServerLimitChanged {
            id: upstream_id(self.own.instance, slot),
            service: upstream.announced.service.clone(),
            rate: after.map(|limit| limit.rate),
            limited_for: now.saturating_sub(since),
        }));
    }
}

impl LocalUpstream {
    fn apply_limit(&mut self, now: Duration, notice: LimitNotice) {
        match notice {
            LimitNotice::Rate(rate) => {
                self.limit = Some(ServerLimit {
                    rate,
                    since: self.limit.map_or(now, |limit| limit.since),
                    reported_at: now,
                });
            }
            LimitNotice::Absent => {
                self.limit = self
                    .limit
                    .filter(|limit| now < limit.reported_at + LIMIT_RETENTION);
            }
            LimitNotice::Malformed => {}
        }
    }
}
