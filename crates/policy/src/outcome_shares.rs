//! How runs end on a server that fails part of its requests, and on a sound one.
//!
//! Pattern: the servers of one service fail by losing connections, those of another by answering errors
//! within a few milliseconds, and nobody knows beforehand. An end of a run is evidence by how much more
//! often a failing server gives it than a sound one. Both shares are learned from the server's own runs,
//! each weighed by the belief that it failed at the time, from stated starts.
//!
//! An error that comes before a run of its kind could have done its work is another thing than one
//! after it: the first is the server's, the second may be the request's or that of a call of its own.

use std::collections::VecDeque;

/// How a run ended, as far as that tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// With a whole reply.
    Served,
    /// With an error after a time in which such runs end.
    LateError,
    /// With an error sooner than such runs end.
    EarlyError,
    /// Without a whole reply of its own, and said so.
    Loss,
}

/// Ways to end.
const ENDS: usize = 4;
/// Chances of each on a failing server, at the start: servers lose a connection, answer at once or do
/// their work in about equal parts until some faults were seen.
const FAILING_START: [f64; ENDS] = [0.37, 0.11, 0.3, 0.5];
/// Runs of a failing server that these chances count for: a fault shows about as many before work stays
/// away, so that the second fault of a server is known by the first.
const FAILING_RUNS: f64 = 6.0;
/// Runs of failing servers over which they are learned and forgotten: some ten faults.
const FAILING_MEMORY: f64 = 60.0;
/// Shares on a sound server, before any were counted.
const SOUND_START: [f64; ENDS] = [0.986, 0.01, 0.002, 0.002];
/// Runs that these count for until enough were seen.
const SOUND_RUNS: f64 = 30.0;
/// Runs over which they are learned and forgotten.
const SOUND_MEMORY: f64 = 200.0;
/// Least and greatest chance of an end on a failing server: no end is ever proof.
const CHANCE_BOUNDS: (f64, f64) = (0.05, 0.9);
/// Least share of a bad end on a sound server. A hundred runs without one do not show that there is none.
const LEAST_SHARE: f64 = 0.001;
/// A whole reply is never stronger evidence than this, in nats: faults fail part of the requests only.
const SERVED_MOST: f64 = -2.0;
/// Ends that follow before a bad one is counted. Failure: the first bad end of a fault comes while the
/// server looks sound. Counted as a sound server's, each fault makes the next one harder to see, and where
/// a third of the servers fail by turns, errors soon tell nothing. What follows shows which it was.
const JUDGED_AFTER: usize = 3;

/// The shares of one server.
#[derive(Clone, Debug)]
pub(crate) struct EndShares {
    sound: LearnedShares,
    failing: LearnedShares,
    /// Ends that are not counted yet, with the greatest belief so far that the server failed.
    pending: VecDeque<(RunEnd, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct LearnedShares {
    shares: [f64; ENDS],
    runs: f64,
    memory: f64,
}

impl EndShares {
    pub(crate) const fn new() -> Self {
        Self {
            sound: LearnedShares {
                shares: SOUND_START,
                runs: SOUND_RUNS,
                memory: SOUND_MEMORY,
            },
            failing: LearnedShares {
                shares: FAILING_START,
                runs: FAILING_RUNS,
                memory: FAILING_MEMORY,
            },
            pending: VecDeque::new(),
        }
    }

    /// What an end says, in nats: above zero that the server fails. A bad end never speaks for it.
    pub(crate) fn ratio(&self, end: RunEnd) -> f64 {
        let (least, most) = CHANCE_BOUNDS;
        let failing = self.failing.share(end).clamp(least, most);
        let ratio = (failing / self.sound.share(end).max(LEAST_SHARE)).ln();
        if end == RunEnd::Served {
            ratio.clamp(SERVED_MOST, 0.0)
        } else {
            ratio.max(0.0)
        }
    }

    /// Counts an end; `failing` is the belief, with it, that the server fails.
    pub(crate) fn learn(&mut self, end: RunEnd, failing: f64) {
        for (earlier, belief) in &mut self.pending {
            if *earlier != RunEnd::Served {
                *belief = belief.max(failing);
            }
        }
        self.pending.push_back((end, failing));
        if self.pending.len() <= JUDGED_AFTER {
            return;
        }
        if let Some((end, failing)) = self.pending.pop_front() {
            self.sound.learn(end, 1.0 - failing);
            self.failing.learn(end, failing);
        }
    }
}

impl LearnedShares {
    fn share(&self, end: RunEnd) -> f64 {
        self.shares[end as usize]
    }

    fn learn(&mut self, end: RunEnd, weight: f64) {
        self.runs = (self.runs + weight).min(self.memory);
        let step = weight / self.runs;
        for (place, share) in self.shares.iter_mut().enumerate() {
            let seen = f64::from(u8::from(place == end as usize));
            *share += (seen - *share) * step;
        }
    }
}
