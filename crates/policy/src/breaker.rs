//! Whether the backend server beside a node is to be given work right now.
//!
//! ```text
//!   open to all ──a loss, or two errors close together──▶ on trial: one repeatable request at a time
//!        ▲                                                      │
//!        └────────────── some whole replies in a row ───────────┘
//! ```
//!
//! The node beside a backend server sees every run on it. It keeps the odds that the server fails
//! part of its requests: each end of a run moves them by its likelihood ratio, and time draws them
//! back to what is usual. This answers within the first failures, where scores that all callers
//! agree on need seconds; work that must not repeat is the dearest to lose, so it is the first to
//! stay away.

use std::time::Duration;

use crate::sample::SampleKind;

/// Odds in nats that a server about which nothing is known fails part of its requests: about three
/// in a hundred do at any time on the users' instances.
const USUAL_ODDS: f64 = -3.5;
/// Odds from which work that must not repeat stays away: three in ten.
const SUSPECT_ODDS: f64 = -0.85;
/// Odds above which further bad ends are no news, so that a short fault is soon forgotten.
const HIGHEST_ODDS: f64 = 3.5;
/// A lost connection or a garbled reply: every second one of a failing server ends so, and about
/// one in five hundred of a sound one.
const LOSS_RATIO: f64 = 5.5;
/// A server's error or a run that never ends: about one in a hundred of a sound server ends so.
const ERROR_RATIO: f64 = 2.4;
/// A whole reply: a failing server gives one in two to one in six times.
const SERVED_RATIO: f64 = -1.0;
/// Time constant with which the odds return to the usual ones when no trial comes: without one, a
/// server that lost a connection is left alone for some nine seconds, which is as long as faults last.
const RETURN_TIME: Duration = Duration::from_secs(12);
/// Least time between two trials of a server that is more likely failing than not. Most such trials
/// are repeated elsewhere, and repeats are bounded: a trial of each failing server in this time
/// stays under a quarter of what a service may repeat when a third of its servers fail.
const TRIAL_PAUSE: Duration = Duration::from_millis(1500);
/// Longest time between two trials: half the shortest fault that is usual.
const LONGEST_PAUSE: Duration = Duration::from_millis(2500);
/// Most doublings of the pause.
const MOST_DOUBLINGS: u32 = 4;

/// What the node beside a backend server lets through.
#[derive(Clone, Debug)]
pub struct UpstreamBreaker {
    odds: f64,
    at: Duration,
    trials: u32,
    last_trial: Option<Duration>,
    /// Trials in a row that went badly.
    failed_trials: u32,
}

/// What becomes of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerVerdict {
    /// It may run.
    Admitted,
    /// It may run as a trial; its end must be told.
    Trial,
    /// It must not run here now.
    Held,
}

impl UpstreamBreaker {
    /// A breaker for a backend server about which nothing is known.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            odds: USUAL_ODDS,
            at: now,
            trials: 0,
            last_trial: None,
            failed_trials: 0,
        }
    }

    /// Whether work may run now, at least as a trial where it is fit for one.
    pub fn admit(&mut self, now: Duration, trial_fit: bool) -> BreakerVerdict {
        self.age(now);
        if self.odds < SUSPECT_ODDS {
            return BreakerVerdict::Admitted;
        }
        let rested = self
            .last_trial
            .is_none_or(|last| now.saturating_sub(last) >= self.trial_pause());
        if !trial_fit || self.trials > 0 || !rested {
            return BreakerVerdict::Held;
        }
        self.trials += 1;
        BreakerVerdict::Trial
    }

    /// Notes that a trial ended, whatever its end.
    pub fn trial_ended(&mut self, now: Duration) {
        self.trials = self.trials.saturating_sub(1);
        self.last_trial = (self.odds > 0.0).then_some(now);
    }

    /// Notes how a run ended.
    pub fn ended(&mut self, now: Duration, kind: SampleKind) {
        let ratio = match kind {
            SampleKind::Served => SERVED_RATIO,
            SampleKind::Failed | SampleKind::Silent => ERROR_RATIO,
            SampleKind::Wrong | SampleKind::ConnectionLost | SampleKind::Crashed => LOSS_RATIO,
            SampleKind::Refused | SampleKind::Cancelled => return,
        };
        self.age(now);
        self.odds = (self.odds + ratio).clamp(USUAL_ODDS, HIGHEST_ODDS);
        self.failed_trials = match kind {
            SampleKind::Served => 0,
            _ if self.trials > 0 => self.failed_trials + 1,
            _ => self.failed_trials,
        };
    }

    /// The pause doubles with each further trial that goes badly, up to [`LONGEST_PAUSE`].
    fn trial_pause(&self) -> Duration {
        let factor = 1_u32 << self.failed_trials.saturating_sub(1).min(MOST_DOUBLINGS);
        (TRIAL_PAUSE * factor).min(LONGEST_PAUSE)
    }

    /// Whether work that must not repeat stays away.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.odds >= SUSPECT_ODDS
    }

    /// Odds in nats that the server fails part of its requests.
    #[must_use]
    pub const fn odds(&self) -> f64 {
        self.odds
    }

    fn age(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / RETURN_TIME.as_secs_f64()).exp();
        self.odds = USUAL_ODDS + (self.odds - USUAL_ODDS) * kept;
        self.at = now;
    }
}
