//! Which upstreams that choices keep away from are tried, and by which requests.
//!
//! ```text
//! request that may be repeated ─ one upstream drawn evenly ─┬─ avoided ─▶ tried
//!                                                           └─ in use ──▶ the cheapest of all
//! ```
//!
//! Pattern: a third of a service's upstreams fail by turns, each for some seconds. Choices by cost
//! keep away from every one that was told to be failing, so nobody meets it once it is whole again.
//! Within ten seconds half of the service stands idle, and the other half is full.
//!
//! Each upstream that is avoided gets the part of the repeatable requests that an even spread would
//! give it, whatever is told of it. The node beside it lets one at a time run and turns the others
//! away unrun, and what does not answer in time is sent elsewhere as well.

use std::time::Duration;

use rand::Rng;
use sycamorelink_core::UpstreamId;

use crate::choice::COST_JITTER;
use crate::pool::ServicePool;
use crate::record::UpstreamRecord;

/// Most that distance may cost a trial. Every node of every failure domain tries; one whose replies are
/// dear between domains leaves it to those nearby.
const TRIAL_FAR_MOST: f64 = 0.1;

impl ServicePool {
    /// An upstream to try with a request that may be repeated: one drawn evenly from all, if choices
    /// keep away from it.
    pub fn pick_trial(
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
