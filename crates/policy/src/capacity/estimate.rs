//! Estimated load of an upstream, and the expected time to an answer.

use std::time::Duration;

use super::record::CapacityRecord;
use crate::sample::LoadHint;

/// Shortest mean run time in seconds, so that a service without runs yet causes no division by
/// zero.
const MIN_RUN_SECONDS: f64 = 0.001;
/// Part of a run that is left of a running request on average.
const REMAINING_PART: f64 = 0.5;
/// Free slots from which a request is expected to start at once.
const FREE_SLOT: f64 = 0.5;

/// Expected time to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Expected run time.
    pub run: Duration,
    /// Age of the information on the upstream; that of an expired record if there is none.
    pub age: Duration,
}

impl ExpectedTime {
    /// Returns the time from now to the reply.
    #[must_use]
    pub fn reply(&self) -> Duration {
        self.wait.saturating_add(self.run)
    }
}

/// Earliest expected reply over the candidates of a service, and what it was computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityForecast {
    /// Expected time at the candidate with the earliest expected reply.
    pub earliest: ExpectedTime,
    /// Whether a candidate is expected to have a free slot.
    pub has_free_slot: bool,
    /// Number of candidates that were compared.
    pub candidates: usize,
    /// Number of those with a valid record.
    pub known: usize,
}

impl CapacityForecast {
    /// Known candidates that are enough for a refusal, whatever the number of candidates.
    const MIN_SAMPLE: usize = 16;

    /// Returns by how much the earliest expected reply is too late for a request with this much
    /// time left. `None` if the request should be offered.
    ///
    /// A request is offered while an upstream has a free slot, however long the mean run time is:
    /// this request may be shorter than the mean. It is also offered while less than half of the
    /// candidates are known, since the mean of a few loaded upstreams says little about the others.
    #[must_use]
    pub fn excess(&self, left: Duration) -> Option<Duration> {
        let is_representative = self.known >= (self.candidates / 2).clamp(1, Self::MIN_SAMPLE);
        let excess = self.earliest.reply().checked_sub(left)?;
        (is_representative && !self.has_free_slot && !excess.is_zero()).then_some(excess)
    }
}

/// Capacity of a service over the fleet, from its valid records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// Mean expected wait of a new request that can meet its objective.
    pub wait: Duration,
    /// Mean run time.
    pub run: Duration,
    /// Runs that the service completes per second with all slots in use.
    pub rate: f64,
}

/// Estimated load of one upstream, or mean load of a service. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Expected wait for a slot.
    pub(crate) wait: f64,
    /// Expected run time, above zero.
    pub(crate) run: f64,
    /// Run time of the service, over the kinds of work of all its upstreams.
    pub(super) usual_run: f64,
    /// Free slots.
    pub(crate) free: f64,
    /// Slots in use.
    pub(crate) in_use: f64,
    /// Concurrency limit, at least one.
    pub(crate) limit: f64,
    /// Requests waiting for a slot.
    queued: f64,
    /// Age of the information.
    pub(crate) age: Duration,
    /// Whether the upstream reports that it has no repeat left.
    pub(crate) repeats_spent: bool,
}

impl LoadEstimate {
    /// Returns the load that a record reports. The run time is that of the service times the
    /// relative run time of the upstream: its own mean depends on the kinds of work that it ran.
    pub(super) fn of_record(record: &CapacityRecord, usual_run: f64) -> Self {
        let factor = record.relative_run_factor();
        let run = factor.map_or(seconds(record.mean_run_ms), |factor| factor * usual_run);
        let limit = f64::from(record.limit.max(1));
        let in_use = f64::from(record.in_use);
        let free = if record.queued == 0 {
            (limit - in_use).max(0.0)
        } else {
            0.0
        };
        Self {
            wait: seconds(record.expected_wait_ms),
            run: run.max(MIN_RUN_SECONDS),
            usual_run,
            free,
            in_use,
            limit,
            queued: f64::from(record.queued),
            age: Duration::ZERO,
            repeats_spent: record.repeats == 0,
        }
    }

    /// Returns the load that a hint reports. An earlier record of the upstream is adjusted by the
    /// change since then, because its wait is that of an in-time request, while a hint counts all
    /// queued work.
    pub(super) fn of_hint(hint: LoadHint, earlier: Option<&Self>, mean: &Self) -> Self {
        let slots = f64::from(hint.slots.max(1));
        let limit = earlier.map_or(slots, |earlier| earlier.limit);
        let run = earlier.map_or(mean.run, |earlier| earlier.run);
        let (in_use, queued) = (f64::from(hint.in_use), f64::from(hint.queued));
        let is_full = in_use >= limit || queued > 0.0;
        let wait = match earlier {
            _ if !is_full => 0.0,
            Some(earlier) if earlier.wait > 0.0 => {
                let change = in_use + queued - earlier.in_use - earlier.queued;
                (earlier.wait + change * run / limit).max(0.0)
            }
            _ => run * (in_use * REMAINING_PART + queued) / limit,
        };
        Self {
            wait,
            run,
            usual_run: mean.usual_run,
            free: if is_full { 0.0 } else { limit - in_use },
            in_use,
            limit,
            queued,
            age: Duration::ZERO,
            repeats_spent: earlier.is_some_and(|earlier| earlier.repeats_spent),
        }
    }

    /// Returns the weighted mean; `None` without any weight.
    pub(super) fn mean<I>(weighted: I) -> Option<Self>
    where
        I: Iterator<Item = (Self, f64)>,
    {
        let mut sum = Self {
            wait: 0.0,
            run: 0.0,
            usual_run: 0.0,
            free: 0.0,
            in_use: 0.0,
            limit: 0.0,
            queued: 0.0,
            age: Duration::ZERO,
            repeats_spent: false,
        };
        let mut total = 0.0;
        for (load, weight) in weighted {
            sum = sum.combine(&load, 1.0, weight);
            total += weight;
        }
        (total > 0.0).then(|| sum.combine(&sum, 1.0 / total, 0.0))
    }

    /// Returns `self` times `own` plus `other` times `others`, for all quantities.
    fn combine(&self, other: &Self, own: f64, others: f64) -> Self {
        Self {
            wait: self.wait * own + other.wait * others,
            run: self.run * own + other.run * others,
            usual_run: self.usual_run * own + other.usual_run * others,
            free: self.free * own + other.free * others,
            in_use: self.in_use * own + other.in_use * others,
            limit: self.limit * own + other.limit * others,
            queued: self.queued * own + other.queued * others,
            age: self.age,
            repeats_spent: self.repeats_spent,
        }
    }

    /// Moves the estimate towards the mean of the service; `weight` is what is left of its own
    /// value, from 0 to 1.
    pub(super) fn approach(&self, mean: &Self, weight: f64) -> Self {
        Self {
            limit: self.limit,
            ..self.combine(mean, weight, 1.0 - weight)
        }
    }

    /// Adds requests that were sent after the measurement. They take the free slots first.
    pub(super) fn with_requests(mut self, count: u32) -> Self {
        let count = f64::from(count);
        let waiting = (count - self.free).max(0.0);
        self.wait += waiting * self.run / self.limit;
        self.free = (self.free - count).max(0.0);
        self
    }

    pub(super) const fn aged(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }

    /// Marks the upstream as full for at least one run, after a refusal.
    pub(crate) fn refused(mut self) -> Self {
        self.free = 0.0;
        self.wait += self.run;
        self
    }

    /// Raises the run time of an upstream that fails requests to at least the mean, since its
    /// failures may be fast.
    pub(crate) const fn failing(mut self, mean: &Self) -> Self {
        self.run = self.run.max(mean.run);
        self
    }

    /// Returns the expected time to an answer in seconds.
    pub(crate) fn reply_time(&self) -> f64 {
        self.wait + self.run
    }

    /// Returns whether a slot is expected to be free.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.free >= FREE_SLOT
    }

    pub(crate) fn expected_time(&self) -> ExpectedTime {
        ExpectedTime {
            wait: Duration::from_secs_f64(self.wait),
            run: Duration::from_secs_f64(self.run),
            age: self.age,
        }
    }
}

fn seconds(millis: u32) -> f64 {
    f64::from(millis) / 1000.0
}
