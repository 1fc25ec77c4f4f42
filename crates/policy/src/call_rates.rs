//! Which of the runs on a backend server make calls, learned from when calls begin.
//!
//! Pattern: a server runs look-ups, each of which calls another service twice, and bookings, which call
//! nobody. A call names no run that makes it. To tell how many of the calls come from repeated runs, it
//! must be known which kinds of work call at all: taken as spread over all runs, half of the calls of
//! repeated look-ups are put down to bookings.
//!
//! Each kind has a rate of calls. A call is divided over the runs that are open when it begins by the
//! rates known so far, which sharpens them in turn (expectation maximisation, one event at a time).

use std::collections::BTreeMap;

/// Calls of each kind taken as seen before any was, and the time in which they were, in seconds of runs:
/// all kinds alike, outweighed by a few seconds of runs.
const FIRST_CALLS: f64 = 1.0;
/// See [`FIRST_CALLS`].
const FIRST_SECONDS: f64 = 1.0;
/// The same in runs: a kind is taken to call until some of its runs have not.
const FIRST_RUNS: f64 = 2.0;
/// Calls of a run below which its kind counts as one that makes none: what is put down to it by chance, since
/// it is open beside others that call.
const SELDOM_CALLS: f64 = 0.4;
/// Part of what was seen that a call leaves: some two hundred calls count, so that a changed version of
/// a server is learned within a minute at a few calls a second.
const KEPT: f64 = 0.995;
/// Kinds of work that are told apart. A service has a few; further ones share one rate.
const KINDS_MOST: usize = 64;
/// The kind that they share.
const OTHER_KIND: u64 = u64::MAX;

/// Rates of calls by kind of work.
#[derive(Clone, Debug, Default)]
pub struct CallRates {
    kinds: BTreeMap<u64, KindCalls>,
}

#[derive(Clone, Copy, Debug)]
struct KindCalls {
    calls: f64,
    seconds: f64,
    runs: f64,
}

/// A run that is open when a call begins.
#[derive(Clone, Copy, Debug)]
pub struct OpenWork {
    /// Its kind.
    pub kind: u64,
    /// Whether it is a repeat.
    pub repeat: bool,
}

impl CallRates {
    /// Counts the time that a run took.
    pub fn ran(&mut self, kind: u64, seconds: f64) {
        let known = self.entry(kind);
        known.seconds += seconds;
        known.runs += 1.0;
    }

    /// Counts a call that begins while these runs are open, and gives the chance that one which is a repeat
    /// makes it.
    pub fn called(&mut self, open: &[OpenWork]) -> f64 {
        let rates: Vec<f64> = open.iter().map(|work| self.rate(work.kind)).collect();
        let sum: f64 = rates.iter().sum();
        if sum <= 0.0 {
            return 0.0;
        }
        for calls in self.kinds.values_mut() {
            calls.calls *= KEPT;
            calls.seconds *= KEPT;
            calls.runs *= KEPT;
        }
        let mut by_repeats = 0.0;
        for (work, rate) in open.iter().zip(rates) {
            let part = rate / sum;
            self.entry(work.kind).calls += part;
            if work.repeat {
                by_repeats += part;
            }
        }
        by_repeats
    }

    /// Whether runs of a kind make calls. One that is not known is taken to: after a loss of all nodes the
    /// bound on what they call is to hold from the first repeat on.
    #[must_use]
    pub fn makes_calls(&self, kind: u64) -> bool {
        let known = self.kinds.get(&self.place(kind));
        known.is_none_or(|known| known.calls > known.runs * SELDOM_CALLS)
    }

    fn rate(&self, kind: u64) -> f64 {
        let known = self.kinds.get(&self.place(kind));
        known.map_or(FIRST_CALLS / FIRST_SECONDS, |known| {
            known.calls / known.seconds.max(f64::MIN_POSITIVE)
        })
    }

    fn entry(&mut self, kind: u64) -> &mut KindCalls {
        let place = self.place(kind);
        self.kinds.entry(place).or_insert(KindCalls {
            calls: FIRST_CALLS,
            seconds: FIRST_SECONDS,
            runs: FIRST_RUNS,
        })
    }

    fn place(&self, kind: u64) -> u64 {
        let full = self.kinds.len() >= KINDS_MOST;
        if full && !self.kinds.contains_key(&kind) {
            OTHER_KIND
        } else {
            kind
        }
    }
}
