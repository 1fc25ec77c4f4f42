//! Circuit breaker that a node keeps for each of its backend servers.
//!
//! ```text
//!   closed: all work ── lost runs, errors, hung runs ──▶ suspect: trial runs only
//!         ▲                                                      │
//!         └────── consecutive complete replies, or time ─────────┘
//! ```
//!
//! A node sees every run on its own backend servers. For each server it keeps the log-odds that the
//! server fails part of its requests. The end of a run adds the log-likelihood ratio of its
//! outcome, a run that stays open for longer than usual adds evidence while it lasts, and the odds
//! decay over time to the usual value of the service.
//!
//! The breaker reacts within the first failures, whereas scores that are exchanged between nodes
//! need seconds. Work that isn't repeatable is held off first, because a lost run can't be retried.
//! A *trial* is one repeatable request that a suspect server runs to show whether it has recovered;
//! a trial that hangs is also sent to another server.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::outcome_shares::{OutcomeShares, RunOutcome};
use crate::run_times::RunTimes;
use crate::sample::SampleKind;

/// Prior chance that a server fails part of its requests, until the service's own share is learned.
/// Low, so that on a fleet with few faults a single error holds nothing off.
const DEFAULT_CHANCE: f64 = 0.03;
/// Upper bound of the usual share of failing servers. Above it, one more failure would hardly move
/// the odds.
const MAX_USUAL_CHANCE: f64 = 0.4;
/// Log-odds from which a server is suspect in a service with few faults: a chance of three in ten.
const SUSPECT_ODDS: f64 = -0.85;
/// Least distance in nats between the usual odds and those of a suspect. Where a third of the
/// servers fail, one that is no likelier to fail than the others is as good as any.
const SUSPECT_MARGIN: f64 = 1.5;
/// Upper bound of the log-odds. It lets a server recover soon after a short fault.
const MAX_ODDS: f64 = 3.5;
/// Lower bound of the log-odds. It lets a new fault show after few bad runs.
const MIN_ODDS: f64 = -4.5;
/// Assumed share of requests that a failing server fails. Faults hit between a tenth and all of the
/// requests; six in ten is within a factor of two of most of them.
const FAILED_SHARE: f64 = 0.6;
/// Prior share of the bad outcomes that are hung runs, until some outcomes were observed.
///
/// A server that is nearly full also takes longer per run. Where faults rarely hang runs, the age
/// of a run is therefore weak evidence, and a high prior holds off loaded servers. The share is
/// learned within the first fault. A prior of 0.8 cost 0.015 of the mean score in four simulated
/// days without hung runs.
const SILENT_SHARE: f64 = 0.3;
/// Number of observed bad outcomes that the prior [`SILENT_SHARE`] weighs as much as.
const SILENT_PRIOR_RUNS: f64 = 2.0;
/// Evidence in nats from which an open run, or one that its caller cancelled, counts as hung.
const HUNG_EVIDENCE: f64 = 1.5;
/// Weight of the open runs other than the one with the most evidence. A pause of the whole server
/// delays all of its runs at once, so each further late run adds less.
const FURTHER_RUN_WEIGHT: f64 = 0.5;
/// Quantile of the run times of a kind of work up to which an error counts as early.
const EARLY_QUANTILE: f64 = 0.05;
/// Number of runs that a learned share remembers.
const SHARE_MEMORY_RUNS: f64 = 200.0;
/// Initial time constant of the decay of the odds, until the length of a fault is learned: the
/// geometric mean of faults of about a second and of a minute.
const INITIAL_DECAY_TIME: Duration = Duration::from_secs(7);
/// Lower bound of the time constant. Below it a server would be back before its first trial.
const MIN_DECAY_TIME: Duration = Duration::from_secs(2);
/// Upper bound of the time constant: how long a recovered server that gets no trials stays suspect.
const MAX_DECAY_TIME: Duration = Duration::from_mins(1);
/// Weight of one more fault in the learned length of faults.
const FAULT_LENGTH_STEP: f64 = 0.3;
/// Consecutive complete replies after which a fault counts as over.
const RECOVERY_REPLIES: u32 = 2;
/// Pause between the first trials, as a share of the learned length of faults. Most early trials
/// fail and are repeated elsewhere, and the retry budget is limited.
const TRIAL_PAUSE_SHARE: f64 = 0.2;
/// Maximum number of concurrent trials. With one only, a trial that hangs for seconds would keep a
/// recovered server out of service until it ends. The pause runs from the start of a trial, and two
/// trials fit into the time after which one counts as late.
const MAX_TRIALS: u32 = 2;
/// Maximum number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Upper bound of the pause between two trials, however long faults last. If the pause grew with
/// the learned length of faults, a fault would in turn seem to last as long as the pause. Below two
/// seconds, so that a recovered server gets a request within that time.
const MAX_PAUSE: Duration = Duration::from_millis(1750);
/// Upper bound of the pause between the first trials of a fault.
const MAX_FIRST_PAUSE: Duration = Duration::from_millis(1500);
/// Length of a bad run, in seconds, for which the pauses above are set: its caller waits that long
/// before the request is repeated elsewhere.
const REFERENCE_BAD_SECONDS: f64 = 1.0;
/// Lower bound of the factor by which short bad runs shorten the pauses. A trial that fails within
/// a few milliseconds costs its caller only a retry; with this factor a server uses up three
/// retries of the service's budget in a second.
///
/// Without the shorter pauses, a service where a third of the servers fail in turn for a few
/// seconds each holds every one off for a second or more after it has recovered, and a third of its
/// capacity is idle under load.
const MIN_PAUSE_FACTOR: f64 = 0.2;
/// Weight of one more bad run in the learned length of bad runs.
const BAD_SECONDS_STEP: f64 = 0.2;

/// Circuit breaker of one backend server.
#[derive(Clone, Debug)]
pub struct UpstreamBreaker {
    /// Log-odds from the runs that have ended, as of `updated_at`.
    odds: f64,
    updated_at: Duration,
    /// Share of the service's servers that usually fail part of their requests.
    usual_chance: f64,
    open_runs: BTreeMap<u64, OpenRun>,
    times: RunTimes,
    outcomes: OutcomeShares,
    /// Share of the bad outcomes that are hung runs.
    silent_share: RunningShare,
    open_trials: u32,
    /// When the last trial began; `None` when the next one may begin at once.
    last_trial: Option<Duration>,
    /// Consecutive failed trials.
    failed_trials: u32,
    /// Average length of a bad run, in seconds.
    bad_seconds: f64,
    decay_time: Duration,
    /// When the present fault began.
    fault_started_at: Option<Duration>,
    /// Complete replies since the last bad outcome.
    served_in_row: u32,
    /// Whether runs that have not ended with a reply count as evidence.
    use_ages: bool,
}

/// A run that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenRun {
    started_at: Duration,
    kind: u64,
    /// Evidence in nats that was added to the odds when the run was counted as hung.
    counted_evidence: Option<f64>,
}

/// Running average of a share.
#[derive(Clone, Copy, Debug)]
struct RunningShare {
    share: f64,
    runs: f64,
}

/// Decision of the breaker about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerVerdict {
    /// The request may run.
    Admitted,
    /// The request may run as a trial; the caller must report its end to
    /// [`UpstreamBreaker::end_trial`].
    Trial,
    /// The request must not run on this server now.
    Held,
}

impl UpstreamBreaker {
    /// Creates a breaker for a backend server without any history.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            odds: log_odds(DEFAULT_CHANCE),
            updated_at: now,
            usual_chance: DEFAULT_CHANCE,
            open_runs: BTreeMap::new(),
            times: RunTimes::default(),
            outcomes: OutcomeShares::new(),
            silent_share: RunningShare::new(SILENT_SHARE, SILENT_PRIOR_RUNS),
            open_trials: 0,
            last_trial: None,
            failed_trials: 0,
            bad_seconds: REFERENCE_BAD_SECONDS,
            decay_time: INITIAL_DECAY_TIME,
            fault_started_at: None,
            served_in_row: 0,
            use_ages: true,
        }
    }

    /// Sets whether runs that have not ended with a reply count as evidence. On by default.
    #[must_use]
    pub const fn use_run_ages(mut self, enabled: bool) -> Self {
        self.use_ages = enabled;
        self
    }

    /// Sets the share of the service's servers that usually fail part of their requests.
    pub fn set_usual_chance(&mut self, chance: f64) {
        self.usual_chance = chance.clamp(0.001, MAX_USUAL_CHANCE);
    }

    /// Decides whether a request may run now. `trial_fit` says that the request may serve as a
    /// trial.
    pub fn admit(&mut self, now: Duration, trial_fit: bool) -> BreakerVerdict {
        if !self.is_suspect(now) {
            return BreakerVerdict::Admitted;
        }
        let pause_over = self
            .last_trial
            .is_none_or(|last| now.saturating_sub(last) >= self.trial_pause());
        if !trial_fit || self.open_trials >= MAX_TRIALS || !pause_over {
            return BreakerVerdict::Held;
        }
        self.open_trials += 1;
        self.last_trial = Some(now);
        BreakerVerdict::Trial
    }

    /// Records the end of a trial, whatever its outcome. After a complete reply the next trial may
    /// start at once.
    pub fn end_trial(&mut self) {
        self.open_trials = self.open_trials.saturating_sub(1);
        if self.odds <= 0.0 || self.served_in_row > 0 {
            self.last_trial = None;
        }
    }

    /// Counts open runs that are late by now as hung and returns their ids. Returns nothing while
    /// the server isn't suspect, because the evidence of its open runs still grows.
    ///
    /// Each run counts once, at the moment it becomes late, and its evidence decays from then on. A
    /// fault of two seconds leaves runs open until their callers' deadline; if they counted for as
    /// long as they are open, the server would stay suspect for six seconds or more after its
    /// recovery, half of the service's servers would be idle, and the learned length of faults
    /// would grow accordingly.
    pub fn count_hung_runs(&mut self, now: Duration) -> Vec<u64> {
        if !self.is_suspect(now) {
            return Vec::new();
        }
        let open_runs = self
            .open_runs
            .iter()
            .filter(|(_, run)| run.counted_evidence.is_none());
        let late = open_runs.filter(|(_, run)| self.age_ratio(now, **run) >= HUNG_EVIDENCE);
        let late: Vec<u64> = late.map(|(id, _)| *id).collect();
        for run in &late {
            self.count_hung(now, *run);
        }
        late
    }

    fn count_hung(&mut self, now: Duration, id: u64) {
        let Some(run) = self.open_runs.get(&id).copied() else {
            return;
        };
        self.apply_decay(now);
        let ratio = self.age_ratio(now, run);
        self.add_evidence(ratio);
        self.silent_share.learn(true, chance_from_odds(self.odds));
        self.track_fault(
            now,
            SampleKind::Silent,
            ratio,
            now.saturating_sub(run.started_at),
        );
        let counted_evidence = Some(ratio);
        self.open_runs.insert(
            id,
            OpenRun {
                counted_evidence,
                ..run
            },
        );
    }

    fn add_evidence(&mut self, ratio: f64) {
        self.odds = (self.odds + ratio).clamp(MIN_ODDS, MAX_ODDS);
    }

    /// Records the start of a run. `allowed` is the time that its caller waits.
    pub fn started(&mut self, now: Duration, run: u64, kind: u64, allowed: Duration) {
        self.times.ensure_kind(kind, allowed);
        let started_at = now;
        self.open_runs.insert(
            run,
            OpenRun {
                started_at,
                kind,
                counted_evidence: None,
            },
        );
    }

    /// Records the end of a run. `SampleKind::Refused` stands for a refusal by the server itself.
    pub fn ended(&mut self, now: Duration, run: u64, kind: SampleKind) {
        self.apply_decay(now);
        let ended = self.open_runs.remove(&run);
        let counted_evidence = ended.and_then(|run| run.counted_evidence);
        let outcome = self.outcome_of(now, ended, kind);
        let ratio = match (outcome, kind) {
            // A reply, however late, cancels the evidence that the age of its run added.
            (Some(RunOutcome::Served), _) => {
                self.outcomes.ratio(RunOutcome::Served) - counted_evidence.unwrap_or(0.0)
            }
            _ if counted_evidence.is_some() => 0.0,
            (Some(outcome), _) => self.outcomes.ratio(outcome),
            // A refused request isn't lost, as it runs elsewhere. If refusals counted as failures,
            // a service that sheds load as a whole would hold off all of its servers and refuse a
            // fifth more of its requests.
            (None, SampleKind::Refused) => return,
            (None, _) => ended.map_or(0.0, |run| self.age_ratio(now, run)),
        };
        self.add_evidence(ratio);
        let failing = chance_from_odds(self.odds);
        if let Some(outcome) = outcome {
            self.outcomes.learn(outcome, failing);
        }
        self.learn_run_time(now, ended, outcome, 1.0 - failing);
        let lost = is_loss(kind);
        if lost || (kind != SampleKind::Failed && ratio >= HUNG_EVIDENCE) {
            self.silent_share.learn(!lost, failing);
        }
        // A run whose start is unknown counts with a full second.
        let took = ended.map_or(Duration::from_secs(1), |run| {
            now.saturating_sub(run.started_at)
        });
        self.track_fault(now, kind, ratio, took);
    }

    /// Removes a run whose end is no evidence about the server, such as an error that a failed
    /// downstream call explains.
    pub fn ended_without_evidence(&mut self, run: u64) {
        self.open_runs.remove(&run);
    }

    /// Returns the outcome of a run, or `None` if it ended without any kind of reply.
    fn outcome_of(
        &self,
        now: Duration,
        run: Option<OpenRun>,
        kind: SampleKind,
    ) -> Option<RunOutcome> {
        match kind {
            SampleKind::Served => Some(RunOutcome::Served),
            SampleKind::Failed if self.is_early(now, run) => Some(RunOutcome::EarlyError),
            SampleKind::Failed => Some(RunOutcome::LateError),
            _ => is_loss(kind).then_some(RunOutcome::Loss),
        }
    }

    /// Returns whether a run ends sooner than nearly all completed runs of its kind.
    fn is_early(&self, now: Duration, run: Option<OpenRun>) -> bool {
        run.is_some_and(|run| {
            let took = now.saturating_sub(run.started_at);
            1.0 - self.times.survival(run.kind, took) <= EARLY_QUANTILE
        })
    }

    /// Adds the length of a run to the run times of a healthy server, weighted by the chance that
    /// the server was healthy.
    fn learn_run_time(
        &mut self,
        now: Duration,
        run: Option<OpenRun>,
        outcome: Option<RunOutcome>,
        weight: f64,
    ) {
        let replied = matches!(outcome, Some(RunOutcome::Served | RunOutcome::LateError));
        if let Some(run) = run.filter(|_| replied) {
            let took = now.saturating_sub(run.started_at);
            self.times.learn(run.kind, took, weight);
        }
    }

    /// Updates the learned length of faults and of bad runs, and counts failed trials.
    fn track_fault(&mut self, now: Duration, kind: SampleKind, ratio: f64, took: Duration) {
        if kind == SampleKind::Served {
            self.failed_trials = 0;
            self.served_in_row += 1;
            if self.served_in_row >= RECOVERY_REPLIES
                && self.odds < self.suspect_odds()
                && let Some(started_at) = self.fault_started_at.take()
            {
                self.learn_fault_length(now.saturating_sub(started_at));
            }
        } else if ratio > 0.0 {
            self.bad_seconds += (took.as_secs_f64() - self.bad_seconds) * BAD_SECONDS_STEP;
            self.served_in_row = 0;
            self.failed_trials += u32::from(self.open_trials > 0);
            if self.odds >= self.suspect_odds() {
                self.fault_started_at.get_or_insert(now);
            }
        }
    }

    fn learn_fault_length(&mut self, length: Duration) {
        let length = length.clamp(MIN_DECAY_TIME, MAX_DECAY_TIME);
        let ratio = length.as_secs_f64() / self.decay_time.as_secs_f64();
        self.decay_time = self.decay_time.mul_f64(ratio.powf(FAULT_LENGTH_STEP));
    }

    /// Returns the least time between the starts of two trials. The pause doubles with each
    /// consecutive failed trial and is shorter where bad runs end soon.
    fn trial_pause(&self) -> Duration {
        let factor = 1_u32 << self.failed_trials.saturating_sub(1).min(MAX_DOUBLINGS);
        let first_pause = self
            .decay_time
            .mul_f64(TRIAL_PAUSE_SHARE)
            .min(MAX_FIRST_PAUSE);
        let scale = (self.bad_seconds / REFERENCE_BAD_SECONDS).clamp(MIN_PAUSE_FACTOR, 1.0);
        (first_pause * factor).min(MAX_PAUSE).mul_f64(scale)
    }

    /// Returns whether the server is held off from all work but trials.
    #[must_use]
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.odds(now) >= self.suspect_odds()
    }

    /// Returns the log-odds, in nats, that the server fails part of its requests.
    #[must_use]
    pub fn odds(&self, now: Duration) -> f64 {
        (self.decayed_odds(now) + self.open_evidence(now)).min(MAX_ODDS)
    }

    /// Returns the chance, from 0 to 1, that the server fails part of its requests.
    #[must_use]
    pub fn chance(&self, now: Duration) -> f64 {
        chance_from_odds(self.odds(now))
    }

    fn suspect_odds(&self) -> f64 {
        SUSPECT_ODDS.max(log_odds(self.usual_chance) + SUSPECT_MARGIN)
    }

    /// Returns the evidence of all open runs, in nats.
    fn open_evidence(&self, now: Duration) -> f64 {
        let open_runs = self
            .open_runs
            .values()
            .filter(|run| run.counted_evidence.is_none());
        let ratios = open_runs.map(|run| self.age_ratio(now, *run));
        let (sum, largest) = ratios.fold((0.0_f64, 0.0_f64), |(sum, largest), ratio| {
            (sum + ratio, largest.max(ratio))
        });
        largest + (sum - largest) * FURTHER_RUN_WEIGHT
    }

    /// Returns the evidence, in nats, of the age of one run: a failing server never ends some of
    /// its runs, a healthy one ends all of them in the usual time.
    fn age_ratio(&self, now: Duration, run: OpenRun) -> f64 {
        if !self.use_ages {
            return 0.0;
        }
        let survival = self
            .times
            .survival(run.kind, now.saturating_sub(run.started_at));
        let hung = FAILED_SHARE * self.silent_share.share;
        ((hung + (1.0 - hung) * survival) / survival).ln()
    }

    fn apply_decay(&mut self, now: Duration) {
        self.odds = self.decayed_odds(now);
        self.updated_at = now;
    }

    /// Returns the log-odds from the runs that have ended, decayed towards the usual odds.
    fn decayed_odds(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let retained = (-elapsed / self.decay_time.as_secs_f64()).exp();
        let chance =
            self.usual_chance + (chance_from_odds(self.odds) - self.usual_chance) * retained;
        log_odds(chance).clamp(MIN_ODDS, MAX_ODDS)
    }
}

impl RunningShare {
    const fn new(share: f64, runs: f64) -> Self {
        Self { share, runs }
    }

    fn learn(&mut self, hit: bool, weight: f64) {
        self.runs = (self.runs + weight).min(SHARE_MEMORY_RUNS);
        let observed = f64::from(u8::from(hit));
        self.share += (observed - self.share) * weight / self.runs;
    }
}

/// Returns whether a run is known to have ended without a complete reply.
fn is_loss(kind: SampleKind) -> bool {
    matches!(
        kind,
        SampleKind::Wrong | SampleKind::ConnectionLost | SampleKind::Crashed
    )
}

/// Returns the log-odds of a chance, in nats.
fn log_odds(chance: f64) -> f64 {
    let chance = chance.clamp(1e-4, 1.0 - 1e-4);
    (chance / (1.0 - chance)).ln()
}

fn chance_from_odds(odds: f64) -> f64 {
    1.0 / (1.0 + (-odds).exp())
}
