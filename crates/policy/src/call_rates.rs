//! Rates at which the kinds of work on a backend server call other services.
//!
//! A call doesn't name the run that makes it. To charge calls of repeated runs to the retry budget,
//! the node must estimate which of the open runs made a call. For example, a server runs look-ups,
//! each of which calls another service twice, and bookings, which make no calls. If calls were
//! spread evenly over all open runs, half of the calls of repeated look-ups would be attributed to
//! bookings.
//!
//! Each kind has a call rate. A call is divided among the runs that are open when it begins, in
//! proportion to the current rates, which in turn refines the rates (expectation maximisation, one
//! event at a time).

use std::collections::BTreeMap;

/// Prior number of calls of each kind. With [`PRIOR_SECONDS`] it gives all kinds the same rate; a
/// few seconds of runs outweigh it.
const PRIOR_CALLS: f64 = 1.0;
/// Seconds of runs in which the prior calls were made.
const PRIOR_SECONDS: f64 = 1.0;
/// Prior number of runs. A kind is taken to make calls until some of its runs made none.
const PRIOR_RUNS: f64 = 2.0;
/// Calls per run below which a kind counts as one that makes no calls. Fewer are attributed to it
/// by chance, because its runs are open beside runs that do make calls.
const MIN_CALLS_PER_RUN: f64 = 0.4;
/// Factor by which one more call reduces the weight of earlier observations. About two hundred
/// calls count, so the rates follow a new version of a server within a minute at a few calls per
/// second.
const DECAY_FACTOR: f64 = 0.995;
/// Maximum number of kinds of work with a rate of their own. A service has a few; further kinds
/// share one rate.
const MAX_KINDS: usize = 64;
/// Key of the rate that further kinds share.
const OTHER_KIND: u64 = u64::MAX;

/// Estimated call rates of one backend server, per kind of work.
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
    /// Kind of work of the run.
    pub kind: u64,
    /// Whether the run repeats an earlier attempt of the same request.
    pub repeat: bool,
}

impl CallRates {
    /// Adds a finished run and its length in seconds.
    pub fn ran(&mut self, kind: u64, seconds: f64) {
        let kind_calls = self.entry(kind);
        kind_calls.seconds += seconds;
        kind_calls.runs += 1.0;
    }

    /// Adds a call that begins while the runs in `open` are open, and returns the chance that a
    /// repeated run makes it.
    pub fn called(&mut self, open: &[OpenWork]) -> f64 {
        let rates: Vec<f64> = open.iter().map(|work| self.rate(work.kind)).collect();
        let sum: f64 = rates.iter().sum();
        if sum <= 0.0 {
            return 0.0;
        }
        for calls in self.kinds.values_mut() {
            calls.calls *= DECAY_FACTOR;
            calls.seconds *= DECAY_FACTOR;
            calls.runs *= DECAY_FACTOR;
        }
        let mut repeat_share = 0.0;
        for (work, rate) in open.iter().zip(rates) {
            let share = rate / sum;
            self.entry(work.kind).calls += share;
            if work.repeat {
                repeat_share += share;
            }
        }
        repeat_share
    }

    /// Returns whether runs of a kind make calls. An unknown kind is taken to make them, so that
    /// after a loss of all nodes the bound on calls of repeated runs holds from the first one on.
    #[must_use]
    pub fn makes_calls(&self, kind: u64) -> bool {
        let kind_calls = self.kinds.get(&self.kind_key(kind));
        kind_calls.is_none_or(|kind_calls| kind_calls.calls > kind_calls.runs * MIN_CALLS_PER_RUN)
    }

    fn rate(&self, kind: u64) -> f64 {
        let kind_calls = self.kinds.get(&self.kind_key(kind));
        kind_calls.map_or(PRIOR_CALLS / PRIOR_SECONDS, |kind_calls| {
            kind_calls.calls / kind_calls.seconds.max(f64::MIN_POSITIVE)
        })
    }

    fn entry(&mut self, kind: u64) -> &mut KindCalls {
        let key = self.kind_key(kind);
        self.kinds.entry(key).or_insert(KindCalls {
            calls: PRIOR_CALLS,
            seconds: PRIOR_SECONDS,
            runs: PRIOR_RUNS,
        })
    }

    fn kind_key(&self, kind: u64) -> u64 {
        let full = self.kinds.len() >= MAX_KINDS;
        if full && !self.kinds.contains_key(&kind) {
            OTHER_KIND
        } else {
            kind
        }
    }
}
