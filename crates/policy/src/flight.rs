//! Requests in flight to one upstream, in constant memory.

use std::time::Duration;

/// Number of requests tracked by age; further ones are only counted.
const TRACKED_REQUESTS: usize = 8;

/// Largest difference, in microseconds, between the recorded start of a request and the start
/// derived from its latency; both are rounded.
const MATCH_TOLERANCE_US: u64 = 2_000;

/// Weight of the ages of requests other than the one with the most evidence. A pause of the whole
/// process delays all requests in flight at once: five late ones are little more evidence than one.
const FURTHER_REQUEST_WEIGHT: f64 = 0.6;

/// One request in flight. Kept small, so that a pool of ten thousand upstreams fits in the CPU
/// cache.
#[derive(Clone, Copy, Debug)]
struct Flight {
    /// When the request was sent, in microseconds since the node started.
    sent: u64,
    /// Evidence of the request's age on its own, in nats.
    evidence: f32,
    /// Whether the request was counted as late.
    late: bool,
}

impl Flight {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_micros(self.sent))
    }
}

/// Evidence that was counted for a request before it ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlightCredit {
    /// Evidence for the request's age, in nats.
    pub(crate) evidence: f64,
    /// Whether the request was counted as late.
    pub(crate) late: bool,
}

/// Requests in flight to one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlightTable {
    tracked: [Option<Flight>; TRACKED_REQUESTS],
    count: u32,
    /// Evidence counted for all ages together, in nats.
    credited: f64,
}

impl FlightTable {
    pub(crate) const fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn add(&mut self, now: Duration) {
        self.count = self.count.saturating_add(1);
        if let Some(entry) = self.tracked.iter_mut().find(|entry| entry.is_none()) {
            *entry = Some(Flight {
                sent: to_micros(now),
                evidence: 0.0,
                late: false,
            });
        }
    }

    /// Removes the request that was sent closest to `sent` and returns the evidence counted for it.
    pub(crate) fn finish(&mut self, sent: Duration) -> FlightCredit {
        self.count = self.count.saturating_sub(1);
        let total = self.evidence();
        let ended = self
            .nearest(sent)
            .and_then(|index| self.tracked[index].take());
        let Some(flight) = ended else {
            return FlightCredit::default();
        };
        let share = if total > 0.0 {
            self.credited * f64::from(flight.evidence) / total
        } else {
            0.0
        };
        self.credited -= share;
        FlightCredit {
            evidence: share,
            late: flight.late,
        }
    }

    fn nearest(&self, sent: Duration) -> Option<usize> {
        let sent = to_micros(sent);
        let distance = |index: &usize| {
            self.tracked[*index].map_or(u64::MAX, |flight| flight.sent.abs_diff(sent))
        };
        (0..TRACKED_REQUESTS)
            .min_by_key(distance)
            .filter(|index| distance(index) <= MATCH_TOLERANCE_US)
    }

    /// Returns the sum of the evidence of each age on its own.
    fn evidence(&self) -> f64 {
        self.tracked
            .iter()
            .flatten()
            .map(|flight| f64::from(flight.evidence))
            .sum()
    }

    /// Returns the age of the oldest tracked request, or `None` if none is tracked.
    pub(crate) fn oldest(&self, now: Duration) -> Option<Duration> {
        self.tracked
            .iter()
            .flatten()
            .map(|flight| flight.age(now))
            .max()
    }

    /// Recomputes the evidence for all ages and returns the part that isn't counted yet. `ratio`
    /// gives the evidence for one age.
    pub(crate) fn update_evidence<F>(&mut self, now: Duration, ratio: F) -> f64
    where
        F: Fn(Duration) -> f64,
    {
        let mut highest: f64 = 0.0;
        for flight in self.tracked.iter_mut().flatten() {
            let evidence = ratio(flight.age(now));
            highest = highest.max(evidence);
            flight.evidence = to_f32(evidence);
        }
        let others = self.evidence() - highest;
        let credited = highest + FURTHER_REQUEST_WEIGHT * others;
        credited - self.credited
    }

    /// Adds `change` to the evidence that counts as credited.
    pub(crate) fn add_credit(&mut self, change: f64) {
        self.credited += change;
    }

    /// Marks the requests older than `usual` as late and returns how many were newly marked.
    pub(crate) fn mark_late(&mut self, now: Duration, usual: Duration) -> u32 {
        let mut marked = 0;
        for flight in self.tracked.iter_mut().flatten() {
            if !flight.late && flight.age(now) > usual {
                flight.late = true;
                marked += 1;
            }
        }
        marked
    }

    /// Stops tracking all requests by age. Returns the evidence counted for them and the number
    /// counted as late.
    pub(crate) fn clear_tracked(&mut self) -> (f64, u32) {
        let late = self
            .tracked
            .iter()
            .flatten()
            .map(|flight| u32::from(flight.late))
            .sum();
        self.tracked = [None; TRACKED_REQUESTS];
        (std::mem::take(&mut self.credited), late)
    }
}

fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn to_f32(value: f64) -> f32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a score of a few nats keeps seven digits"
    )]
    let narrowed = value as f32;
    narrowed
}
