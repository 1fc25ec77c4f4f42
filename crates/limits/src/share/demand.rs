//! Demand of a holder's callers.

use std::time::Duration;

/// Length of the window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of windows without requests that are applied to the average one by one.
const MAX_IDLE_WINDOWS: u64 = 64;
/// Rate from which a decrease takes effect without smoothing, in thousandths of a request per
/// second.
pub const HIGH_RATE_MILLIS: u64 = 8_000;
/// Headroom on the measured rate, in percent.
const HEADROOM_PERCENT: u64 = 10;
/// Margin of the requested rate, in standard deviations of the number of requests per second.
const RATE_DEVIATIONS: u64 = 2;
/// Margin of the requested slots, in standard deviations of the number of concurrent requests.
const SLOT_DEVIATIONS: u64 = 2;

/// Rate and concurrency that callers of one customer need at this node.
///
/// Slots are derived from the offered rate and the measured time that a request holds a slot
/// (Little's law). Counting the requests that were refused for lack of a slot would overstate the
/// need: all nodes together would request many times the slots that are needed and withhold them
/// from each other.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    window_start: Duration,
    offered: u64,
    rate: u64,
    in_flight: u32,
    peak: u32,
    previous_peak: u32,
    shortage_count: u32,
    ended: u64,
    /// Request-microseconds in this window.
    occupied_micros: u64,
    occupied_until: Duration,
    /// Mean time that a request holds a slot, in microseconds. `None` until measured.
    mean_hold_micros: Option<u64>,
}

impl DemandMeter {
    /// Creates a meter without demand.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            window_start: now,
            occupied_until: now,
            ..Self::default()
        }
    }

    /// Records a request.
    pub fn offered(&mut self, now: Duration) {
        self.roll(now);
        self.offered += 1;
    }

    /// Records a request that found no free slot.
    pub fn record_slot_shortage(&mut self) {
        self.shortage_count = self.shortage_count.saturating_add(1);
    }

    /// Records a request that takes a slot.
    pub fn started(&mut self, now: Duration) {
        self.accumulate_occupancy(now);
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    /// Records a request that frees its slot.
    pub fn ended(&mut self, now: Duration) {
        self.accumulate_occupancy(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended += 1;
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn accumulate_occupancy(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.occupied_until);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let occupied_micros = micros.saturating_mul(u64::from(self.in_flight));
        self.occupied_micros = self.occupied_micros.saturating_add(occupied_micros);
        self.occupied_until = now.max(self.occupied_until);
    }

    /// Closes the window if it is over.
    pub fn roll(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        self.accumulate_occupancy(now);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let measured = self.offered * 1_000_000 / millis.max(1);
        for _ in 0..(millis / 1000).min(MAX_IDLE_WINDOWS) {
            self.rate = smoothed(self.rate, measured);
        }
        if let Some(mean_hold_micros) = self.occupied_micros.checked_div(self.ended) {
            self.mean_hold_micros = Some(
                self.mean_hold_micros
                    .map_or(mean_hold_micros, |mean| (mean * 3 + mean_hold_micros) / 4),
            );
            self.occupied_micros = 0;
            self.ended = 0;
        }
        self.previous_peak = self.peak;
        self.peak = self.in_flight;
        self.shortage_count = 0;
        self.offered = 0;
        self.window_start = now;
    }

    /// Returns the smoothed rate, or the rate of the open window if it is higher than chance
    /// explains.
    #[must_use]
    pub fn offered_rate(&self) -> u64 {
        let offered = self.offered * 1000;
        if offered > self.rate + random_variation(self.rate) {
            offered
        } else {
            self.rate
        }
    }

    /// Returns the rate to request, in thousandths of a request per second.
    ///
    /// Unless the rate is scarce, the result covers the random variation of few requests, so that
    /// not each of them causes an ask.
    #[must_use]
    pub fn want_rate(&self, scarce: bool) -> u64 {
        let rate = self.offered_rate();
        let headroom = rate * HEADROOM_PERCENT / 100;
        let random_variation = RATE_DEVIATIONS * rate.saturating_mul(1000).isqrt();
        rate + if scarce {
            headroom
        } else {
            headroom.max(random_variation)
        }
    }

    /// Returns the slots to request.
    #[must_use]
    pub fn want_slots(&self) -> u32 {
        let used = self.peak.max(self.previous_peak);
        let Some(mean_hold_micros) = self.mean_hold_micros else {
            return used.max(self.in_flight.saturating_add(self.shortage_count));
        };
        let mean = self.offered_rate().saturating_mul(mean_hold_micros) / 1_000_000;
        let spread = SLOT_DEVIATIONS * mean.saturating_mul(1000).isqrt();
        let slots = (mean + spread).div_ceil(1000);
        let least = u32::from(self.offered_rate() > 0);
        u32::try_from(slots)
            .unwrap_or(u32::MAX)
            .max(used)
            .max(least)
    }

    /// Returns whether there has been no demand for some time.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.rate == 0 && self.offered == 0 && self.in_flight == 0
    }
}

/// Returns the random variation to expect of a rate within a window of one second.
fn random_variation(rate: u64) -> u64 {
    RATE_DEVIATIONS * rate.saturating_mul(1000).isqrt()
}

/// Returns the new average. Changes beyond the random variation take effect immediately, others are
/// smoothed.
fn smoothed(rate: u64, measured: u64) -> u64 {
    let has_risen = measured > rate + random_variation(rate);
    let has_fallen = rate >= HIGH_RATE_MILLIS && measured + random_variation(rate) < rate;
    if has_risen || has_fallen {
        measured
    } else {
        (rate * 3 + measured) / 4
    }
}
