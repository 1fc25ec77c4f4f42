//! Measurements of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::services::to_f64;

/// Width of one bin of the send counts, in milliseconds.
const BIN_MS: usize = 50;

/// Windows, in bins, over each of which the share must stay below [`DETECTED_SHARE`] for an
/// upstream to count as detected.
const DETECTION_WINDOWS: [usize; 5] = [4, 10, 20, 40, 100];

/// Part of its fair share of requests up to which an upstream counts as detected.
const DETECTED_SHARE: f64 = 0.1;

/// Ejections of one healthy upstream within this time, by any daemons, count as one event.
const EVENT_MERGE_WINDOW: Duration = Duration::from_secs(30);

/// Counters and histograms of one run.
#[derive(Debug)]
pub struct RunMeter {
    /// Attempts sent, by upstream and bin.
    sends: Vec<Vec<u32>>,
    /// Requests that succeeded, by second of arrival.
    pub successes: Vec<u32>,
    /// Requests that failed or were refused, by second of arrival.
    pub failures: Vec<u32>,
    /// Latency in microseconds of successful requests that arrived while the event lasted.
    pub latency: Histogram<u64>,
    /// Requests that arrived while the event lasted.
    pub offered: u64,
    /// Successful requests among `offered`.
    pub served: u64,
    /// Requests among `offered` that were refused before they ran.
    pub refused: u64,
    /// Requests among `offered` that failed otherwise.
    pub failed: u64,
    /// Total seconds in slots, and number, of the attempts that ended while the event lasted.
    pub slot_time: (f64, u64),
    /// Retries sent during the whole run.
    pub retries: u64,
    /// Requests received during the whole run.
    pub requests: u64,
    /// False ejections: the upstream and the time of its last ejection.
    false_ejections: Vec<(usize, Duration)>,
    /// Healthy upstreams that lost most of their weight, and the time of the last loss.
    false_shifts: Vec<(usize, Duration)>,
    /// Ejections of faulty upstreams, by any daemon.
    pub true_ejections: u64,
    /// Lowest share of slots in service in any daemon's view.
    pub least_serving: f64,
    /// Lowest share of capacity left by the weights of all daemons together.
    pub least_weight: f64,
    /// Bytes of evidence sent, by node and second of the run.
    pub evidence: Vec<Vec<u32>>,
}

impl RunMeter {
    /// Creates a meter for this many upstreams and seconds.
    #[must_use]
    pub fn new(upstreams: usize, seconds: usize) -> Self {
        Self {
            sends: vec![vec![0; seconds * 1_000 / BIN_MS + 1]; upstreams],
            successes: vec![0; seconds + 1],
            failures: vec![0; seconds + 1],
            latency: Histogram::new_with_bounds(1, 60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are valid")),
            offered: 0,
            served: 0,
            refused: 0,
            failed: 0,
            slot_time: (0.0, 0),
            retries: 0,
            requests: 0,
            false_ejections: Vec::new(),
            false_shifts: Vec::new(),
            true_ejections: 0,
            least_serving: 1.0,
            least_weight: 1.0,
            evidence: vec![vec![0; seconds + 1]; upstreams],
        }
    }

    /// Counts an attempt sent to an upstream.
    pub fn record_send(&mut self, now: Duration, upstream: usize) {
        let bin = bin_of(now);
        if let Some(sends) = self.sends[upstream].get_mut(bin) {
            *sends += 1;
        }
    }

    /// Counts an ejection of a healthy upstream.
    pub fn record_false_ejection(&mut self, now: Duration, upstream: usize) {
        record_event(&mut self.false_ejections, now, upstream);
    }

    /// Counts a healthy upstream that lost most of its weight.
    pub fn record_false_shift(&mut self, now: Duration, upstream: usize) {
        record_event(&mut self.false_shifts, now, upstream);
    }

    /// Returns the number of false ejections.
    #[must_use]
    pub fn false_ejections(&self) -> usize {
        self.false_ejections.len()
    }

    /// Returns how often healthy upstreams lost most of their weight.
    #[must_use]
    pub fn false_shifts(&self) -> usize {
        self.false_shifts.len()
    }

    /// Returns the seconds from `start` until an upstream's share falls below a tenth of its fair
    /// share and stays there, and the requests sent to it until then. `None` when that does not
    /// happen before `end`.
    #[must_use]
    pub fn detection(&self, upstream: usize, start: Duration, end: Duration) -> Option<(f64, u32)> {
        let (first, last) = (bin_of(start), bin_of(end));
        let search_end = last.saturating_sub(DETECTION_WINDOWS[3]);
        let found =
            (first..search_end).find(|&bin| self.stays_below_threshold(upstream, bin, last))?;
        let sent = self.sends[upstream][first..found].iter().sum();
        Some((to_f64(found - first) * to_f64(BIN_MS) / 1_000.0, sent))
    }

    fn stays_below_threshold(&self, upstream: usize, bin: usize, last: usize) -> bool {
        DETECTION_WINDOWS.iter().all(|&window| {
            let to = (bin + window).min(last);
            let sent: u32 = self.sends[upstream][bin..to].iter().sum();
            f64::from(sent) <= self.fair_share(bin, to) * DETECTED_SHARE
        })
    }

    /// Returns the fair share of one upstream in a range of bins, in attempts.
    fn fair_share(&self, from: usize, to: usize) -> f64 {
        let total: u32 = self
            .sends
            .iter()
            .map(|sends| sends[from..to].iter().sum::<u32>())
            .sum();
        f64::from(total) / to_f64(self.sends.len())
    }

    /// Returns the attempts sent to an upstream between two times, as a share of its fair share.
    #[must_use]
    pub fn share(&self, upstream: usize, start: Duration, end: Duration) -> f64 {
        let (from, to) = (bin_of(start), bin_of(end));
        let sent: u32 = self.sends[upstream][from..to].iter().sum();
        f64::from(sent) / self.fair_share(from, to).max(1.0)
    }

    /// Returns the seconds after `end` until no later second has more than 2% unsuccessful
    /// requests.
    #[must_use]
    pub fn recovery(&self, end: Duration) -> f64 {
        let first = usize::try_from(end.as_secs()).unwrap_or(0);
        let complete = self.successes.len().saturating_sub(4);
        let last_failing = (first..complete).rev().find(|&second| {
            let total = self.successes[second] + self.failures[second];
            f64::from(self.failures[second]) > 0.02 * f64::from(total)
        });
        last_failing.map_or(0.0, |second| to_f64(second + 1 - first))
    }

    /// Returns the largest number of bytes of evidence that one node sent in one second.
    #[must_use]
    pub fn evidence_peak(&self) -> u32 {
        self.evidence.iter().flatten().copied().max().unwrap_or(0)
    }
}

fn bin_of(now: Duration) -> usize {
    usize::try_from(now.as_millis()).unwrap_or(usize::MAX) / BIN_MS
}

fn record_event(events: &mut Vec<(usize, Duration)>, now: Duration, upstream: usize) {
    let recent_event = events
        .iter_mut()
        .rev()
        .find(|(index, last)| *index == upstream && now.saturating_sub(*last) < EVENT_MERGE_WINDOW);
    match recent_event {
        Some(event) => event.1 = now,
        None => events.push((upstream, now)),
    }
}
