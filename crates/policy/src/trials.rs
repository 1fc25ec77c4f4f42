//! Which upstreams that choices keep away from are tried, and by which requests.
//!
//! ```text
//! request that may be repeated ─ upstreams drawn evenly ─┬─ one avoided ─▶ tried
//!                                                        └─ all in use ──▶ the cheapest of all
//! ```
//!
//! Pattern: a third of a service's upstreams fail by turns, each for some seconds. Choices by cost
//! keep away from every one that was told to be failing, so nobody meets it once it is whole again.
//! Within ten seconds half of the service stands idle, and the other half is full.
//!
//! Each upstream that is avoided gets at least the part of the repeatable requests that an even spread
//! would give it, whatever is told of it, and twice that where few are avoided. The node beside it lets
//! one run every other second and turns the others away unrun, and what does not answer in time is sent
//! elsewhere as well.

use std::time::Duration;

use rand::Rng;
use sycamorelink_core::UpstreamId;

use crate::pool::ServicePool;
use crate::record::UpstreamRecord;
use crate::selection::COST_JITTER;

/// Share of avoided upstreams up to which a second one is drawn when the first is in use. Where four of five
/// requests must not repeat, an even part of the others is one in two seconds, and a server that is whole
/// again goes without for longer. Beyond a third, two draws would give most of what may be repeated to
/// upstreams that are likely to fail it.
const TWO_DRAWS_MOST: f64 = 1.0 / 3.0;
/// The share before any draw: above that, so that a node draws twice only once some draws met none.
pub(crate) const FIRST_AVOIDED: f64 = 0.5;
/// Weight of one more draw in that share: some twenty requests count.
const SHARE_STEP: f64 = 0.05;
/// Most that distance may cost a trial. Every node of every failure domain tries; one whose replies are
/// dear between domains leaves it to those nearby.
const TRIAL_FAR_MOST: f64 = 0.1;

impl ServicePool {
    /// An upstream to try with a request that may be repeated: one drawn evenly from all that choices
    /// keep away from, if there is one among a few drawn.
    pub fn pick_trial(
        &mut self,
        now: Duration,
        exclude: &[UpstreamId],
        kind: u64,
    ) -> Option<UpstreamId> {
        let first = self.draw_avoided(now, exclude, kind);
        let hit = f64::from(u8::from(first.is_some()));
        self.avoided_share += (hit - self.avoided_share) * SHARE_STEP;
        if first.is_some() || self.avoided_share > TWO_DRAWS_MOST {
            return first;
        }
        self.draw_avoided(now, exclude, kind)
    }

    fn draw_avoided(
        &mut self,
        now: Duration,
        exclude: &[UpstreamId],
        kind: u64,
    ) -> Option<UpstreamId> {
        if self.candidates.is_empty() {
            return None;
        }
        let drawn = self.random.random_range(0..self.candidates.len());
        let record = &self.records[self.candidates[drawn]];
        let busy = record.probing() && record.flights.count() > 0;
        let too_far = self.is_far(record) && self.far_cost(kind) > TRIAL_FAR_MOST;
        let fit = !busy && !too_far && !exclude.contains(&record.id);
        (fit && self.is_avoided(now, record)).then_some(record.id)
    }

    /// Whether choices keep away from an upstream because of what is known of it: it is worse than others
    /// by more than chance evens out.
    fn is_avoided(&self, now: Duration, record: &UpstreamRecord) -> bool {
        self.fault_cost(now, record) >= COST_JITTER
    }
}
