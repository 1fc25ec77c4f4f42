//! Selection by the expected time to an answer, from capacity reports.
//!
//! ```text
//! up to 64 candidates ─▶ least cost: (wait + run) / objective + faults + distance
//!                           │ candidates with no more faults and distance than that one
//!                           ▼
//!                        drawn by what each can take until newer reports arrive
//! ```
//!
//! All nodes have nearly the same reports. If each of them sent to the least loaded upstream, that
//! one would get the requests of the whole fleet until the next report. The nodes therefore spread
//! their requests so that together they level the waits.

use std::time::Duration;

use rand::Rng;
use sycamorelink_core::UpstreamId;

use crate::capacity::{CapacityForecast, CapacityTable, ExpectedTime, LoadEstimate};
use crate::pool::ServicePool;
use crate::selection::COST_JITTER;
use crate::spillover::{DomainWaits, FULL_SHARE_WAIT};

/// Shortest objective by which expected times are divided.
const MIN_OBJECTIVE: Duration = Duration::from_millis(250);
/// Cost of an upstream that reports no repeats left, for a repeat. It refuses the repeat, which
/// costs a round trip and one of the few offers of the request.
const NO_REPEATS_COST: f64 = 0.2;

/// What the selection by expected time depends on, apart from the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoonestTerms {
    /// Hash of the route, by which reply sizes are learned.
    pub kind: u64,
    /// Time left in which the answer has its full value; if there is none, the time left until the
    /// deadline.
    pub objective_left: Duration,
    /// Whether the attempt is a repeat, which an upstream without repeats left refuses.
    pub is_repeat: bool,
}

/// A candidate with its estimated load and costs.
#[derive(Clone, Copy, Debug)]
struct SoonestCandidate {
    index: usize,
    load: LoadEstimate,
    /// Cost apart from the expected time: faults, distance and spent repeats.
    standing_cost: f64,
    /// Whether the upstream is in another failure domain than the preferred one.
    is_far: bool,
    /// Whole cost, with its random part.
    cost: f64,
}

/// Mean wait and least other cost of the candidates in one or more failure domains.
#[derive(Clone, Copy, Debug)]
struct DomainOutlook {
    /// Mean expected wait in seconds.
    wait: f64,
    /// Least cost apart from the expected time.
    standing_cost: f64,
}

impl DomainOutlook {
    /// Returns the outlook of the candidates with no more than the usual faults; `None` without
    /// candidates.
    fn of<'a, I>(candidates: I) -> Option<Self>
    where
        I: Iterator<Item = &'a SoonestCandidate> + Clone,
    {
        let costs = candidates.clone().map(|other| other.standing_cost);
        let standing_cost = costs.min_by(f64::total_cmp)?;
        let sound = candidates.filter(|other| other.standing_cost <= standing_cost + COST_JITTER);
        let (sum, count) = sound.fold((0.0, 0.0), |(sum, count), other| {
            (sum + other.load.wait, count + 1.0)
        });
        Some(Self {
            wait: sum / count,
            standing_cost,
        })
    }
}

impl ServicePool {
    /// Picks an upstream by the expected time to an answer, the faults and the distance of up to 64
    /// upstreams that may be picked. Falls back to [`Self::pick_cheapest`] while no report of
    /// another node is valid.
    pub fn pick_soonest(
        &mut self,
        now: Duration,
        table: &CapacityTable,
        exclude: &[UpstreamId],
        terms: &SoonestTerms,
    ) -> Option<UpstreamId> {
        let mean = table.mean_load(now).filter(|_| table.has_reports(now));
        let Some(mean) = mean else {
            return self.pick_cheapest(now, exclude, terms.kind);
        };
        let far_cost = self.distance_cost(terms.kind);
        let objective = terms.objective_left.max(MIN_OBJECTIVE).as_secs_f64();
        let mut candidates = Vec::new();
        for index in self.pickable_sample(exclude) {
            let mut load = self.load_at(now, table, &mean, index);
            let record = &self.records[index];
            let is_far = self.is_far(record);
            let distance = if is_far { far_cost } else { 0.0 };
            let repeats = if terms.is_repeat && load.repeats_spent {
                NO_REPEATS_COST
            } else {
                0.0
            };
            let reported = table.failing_chance(now, record.id);
            let faults = self.reported_fault_cost(now, record, reported);
            if faults > COST_JITTER {
                load = load.failing(&mean);
            }
            let standing_cost = faults + distance + repeats;
            let jitter = self.random.random::<f64>() * COST_JITTER;
            candidates.push(SoonestCandidate {
                index,
                load,
                standing_cost,
                is_far,
                cost: standing_cost + load.reply_time() / objective + jitter,
            });
        }
        self.choose_domain(now, &mut candidates, far_cost, terms);
        let best = candidates
            .iter()
            .min_by(|left, right| left.cost.total_cmp(&right.cost))
            .copied()?;
        candidates.retain(|other| other.standing_cost <= best.standing_cost + COST_JITTER);
        let index = self.draw_by_room(&candidates).unwrap_or(best.index);
        Some(self.records[index].id)
    }

    /// Keeps the candidates of the preferred failure domain or those of the others, in proportion to
    /// the share that the waits of both suggest.
    ///
    /// All candidates are kept if every one in the preferred domain is worse, apart from its wait,
    /// than one in another domain: a share by waits says nothing about faults. They are also kept if
    /// the waits differ so much that all requests would cross, since the share follows a burst at
    /// this node only after some hundred milliseconds. Repeats are few and go where some are left.
    fn choose_domain(
        &mut self,
        now: Duration,
        candidates: &mut Vec<SoonestCandidate>,
        far_cost: f64,
        terms: &SoonestTerms,
    ) {
        if terms.is_repeat {
            return;
        }
        let size_share = self.relative_reply_size(terms.kind);
        let Some(spillover) = &mut self.spillover else {
            return;
        };
        let [near, far] = [false, true].map(|is_far| {
            let domain = candidates.iter().filter(|other| other.is_far == is_far);
            DomainOutlook::of(domain)
        });
        let (Some(near), Some(far)) = (near, far) else {
            return;
        };
        let waits = DomainWaits {
            near: Duration::from_secs_f64(near.wait),
            far: Duration::from_secs_f64(far.wait),
        };
        let objective = terms.objective_left.max(MIN_OBJECTIVE);
        spillover.update(now, waits, objective.mul_f64(far_cost), objective);
        let crosses = spillover.crosses(self.random.random(), size_share);
        if waits.near.saturating_sub(waits.far) > objective.mul_f64(FULL_SHARE_WAIT) {
            return;
        }
        let is_sound = far.standing_cost <= near.standing_cost + far_cost + COST_JITTER;
        if crosses && is_sound {
            candidates.retain(|other| other.is_far);
        } else if near.standing_cost <= far.standing_cost {
            candidates.retain(|other| !other.is_far);
        }
    }

    /// Returns the earliest expected reply over up to 64 upstreams that may be picked. `None`
    /// without an upstream, and while no report of another node is valid.
    pub fn forecast(
        &mut self,
        now: Duration,
        table: &CapacityTable,
        exclude: &[UpstreamId],
    ) -> Option<CapacityForecast> {
        let mean = table.mean_load(now).filter(|_| table.has_reports(now))?;
        let sample = self.pickable_sample(exclude);
        let loads = sample
            .iter()
            .map(|&index| self.load_at(now, table, &mean, index));
        let loads: Vec<LoadEstimate> = loads.collect();
        let earliest = loads
            .iter()
            .min_by(|left, right| left.reply_time().total_cmp(&right.reply_time()))?;
        let known = sample.iter().map(|&index| self.records[index].id);
        let known = known.filter(|id| table.record(now, *id).is_some());
        Some(CapacityForecast {
            earliest: earliest.expected_time(),
            has_free_slot: loads.iter().any(LoadEstimate::has_free_slot),
            candidates: loads.len(),
            known: known.count(),
        })
    }

    /// Returns the expected time to an answer of an upstream. `None` for an unknown upstream, and
    /// while no report of another node is valid.
    #[must_use]
    pub fn expected_time(
        &self,
        now: Duration,
        table: &CapacityTable,
        id: UpstreamId,
    ) -> Option<ExpectedTime> {
        let mean = table.mean_load(now).filter(|_| table.has_reports(now))?;
        let index = *self.index_by_id.get(&id)?;
        Some(self.load_at(now, table, &mean, index).expected_time())
    }

    /// Returns the indexes of a bounded number of upstreams that may be picked now.
    fn pickable_sample(&mut self, exclude: &[UpstreamId]) -> Vec<usize> {
        let sample = self.sample_candidates();
        let indexes = sample.map(|candidate| self.candidates[candidate]);
        indexes
            .filter(|&index| {
                let record = &self.records[index];
                let is_probed = record.is_probing() && record.flights.count() > 0;
                !is_probed && !exclude.contains(&record.id)
            })
            .collect()
    }

    fn load_at(
        &self,
        now: Duration,
        table: &CapacityTable,
        mean: &LoadEstimate,
        index: usize,
    ) -> LoadEstimate {
        let record = &self.records[index];
        let load = table.load(now, mean, record.id, record.hint);
        if now < record.refused_until {
            load.refused()
        } else {
            load
        }
    }

    /// Draws one of several upstreams that differ only in load, each in proportion to the requests
    /// that it can take before other nodes learn of them.
    ///
    /// The information is as old as the time for which all nodes decide by it. Within that time an
    /// upstream can take its free slots, the runs that end, and as many requests more or fewer as
    /// its expected time is below or above the mean.
    fn draw_by_room(&mut self, candidates: &[SoonestCandidate]) -> Option<usize> {
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX));
        let loads = candidates.iter().map(|candidate| candidate.load);
        let sums = loads.fold((0.0, 0.0), |(time, age), load| {
            (time + load.reply_time(), age + load.age.as_secs_f64())
        });
        let (mean_time, mean_age) = (sums.0 / count, sums.1 / count);
        let room_of = |load: &LoadEstimate| {
            let ended = load.in_use / load.run * mean_age;
            let levelled = (mean_time - load.reply_time()) * load.limit / load.run;
            (load.free + ended + levelled).max(0.0)
        };
        let rooms = candidates
            .iter()
            .map(|candidate| room_of(&candidate.load))
            .collect::<Vec<f64>>();
        let mut drawn = self.random.random::<f64>() * rooms.iter().sum::<f64>();
        for (candidate, room) in candidates.iter().zip(&rooms) {
            drawn -= room;
            if *room > 0.0 && drawn <= 0.0 {
                return Some(candidate.index);
            }
        }
        None
    }
}
