//! Trial requests to upstreams that [`ServicePool::pick_cheapest`] avoids.
//!
//! ```text
//! repeatable request ─ one or two upstreams drawn evenly ─┬─ one is avoided ──▶ trial request
//!                                                         └─ none is avoided ─▶ cheapest upstream
//! ```
//!
//! Where a third of a service's upstreams fail in turn for a few seconds each, selection by cost
//! avoids every one that was reported as failing, and no request would show that it has recovered.
//! Within ten seconds half of the service would be idle and the other half full.
//!
//! Each avoided upstream therefore gets at least the repeatable requests that an even spread would
//! give it, whatever was reported about it, and twice as many where few upstreams are avoided. The
//! upstream's node admits one trial every other second and refuses the others before they run; a
//! trial without a timely answer is repeated on another upstream.

use std::time::Duration;

use rand::Rng;
use sycamorelink_core::UpstreamId;

use crate::pool::ServicePool;
use crate::record::UpstreamRecord;
use crate::selection::COST_JITTER;

/// Share of avoided upstreams up to which a second upstream is drawn when the first isn't avoided.
/// Where four of five requests are not repeatable, an even share of the others is one request in
/// two seconds, and a recovered server waits even longer. Above a third, two draws would send most
/// repeatable requests to upstreams that are likely to fail them.
const MAX_SHARE_FOR_TWO_DRAWS: f64 = 1.0 / 3.0;
/// Initial share. Above [`MAX_SHARE_FOR_TWO_DRAWS`], so that a node draws twice only after some
/// draws found no avoided upstream.
pub(crate) const INITIAL_AVOIDED_SHARE: f64 = 0.5;
/// Weight of one more draw in the running share: about twenty requests count.
const SHARE_STEP: f64 = 0.05;
/// Highest cost of distance for a trial. The nodes of every failure domain send trials; requests
/// with replies that are expensive between domains are left to the nodes nearby.
const MAX_TRIAL_DISTANCE_COST: f64 = 0.1;

impl ServicePool {
    /// Picks an upstream for a trial with a repeatable request: drawn evenly from all candidates,
    /// and returned only if selection by cost avoids it. `None` if one or two draws found no such
    /// upstream.
    pub fn pick_trial(
        &mut self,
        now: Duration,
        exclude: &[UpstreamId],
        kind: u64,
    ) -> Option<UpstreamId> {
        let first = self.draw_avoided(now, exclude, kind);
        let hit = f64::from(u8::from(first.is_some()));
        self.avoided_share += (hit - self.avoided_share) * SHARE_STEP;
        if first.is_some() || self.avoided_share > MAX_SHARE_FOR_TWO_DRAWS {
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
        let busy = record.is_probing() && record.flights.count() > 0;
        let too_far = self.is_far(record) && self.distance_cost(kind) > MAX_TRIAL_DISTANCE_COST;
        let fit = !busy && !too_far && !exclude.contains(&record.id);
        (fit && self.is_avoided(now, record)).then_some(record.id)
    }

    /// Returns whether selection by cost avoids an upstream because of its faults: its cost is
    /// higher by more than the random jitter evens out.
    fn is_avoided(&self, now: Duration, record: &UpstreamRecord) -> bool {
        self.fault_cost(now, record) >= COST_JITTER
    }
}
