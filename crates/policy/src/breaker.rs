//! Whether the backend server beside a node is to be given work right now.
//!
//! ```text
//!   open to all ──a loss, errors, runs that stay open──▶ suspect: trials, and what is insisted on
//!        ▲                                                      │
//!        └──────────── whole replies in a row, or time ─────────┘
//! ```
//!
//! The node beside a backend server sees every run on it. It keeps the odds that the server fails
//! part of its requests: each end of a run moves them by its likelihood ratio, a run that stays open
//! for longer than such runs do moves them while it lasts, and time draws them back to what is usual
//! in the service. This answers within the first failures, where scores that all callers agree on
//! need seconds; work that must not repeat is the dearest to lose, so it is the first to stay away.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::outcome_shares::{EndShares, RunEnd};
use crate::run_times::RunTimes;
use crate::sample::SampleKind;

/// Chance that a server about which nothing is known fails part of its requests, until the service's
/// own share is learned. Low, so that a quiet fleet holds nothing off on one error.
const USUAL_CHANCE: f64 = 0.03;
/// Greatest share of failing servers taken as usual: beyond it one more failure would hardly count.
const USUAL_MOST: f64 = 0.4;
/// Odds from which work that must not repeat stays away where few servers fail: three in ten.
const SUSPECT_ODDS: f64 = -0.85;
/// How far the odds lie above the usual ones at least before work stays away. Where a third of the
/// servers fail, one that is no likelier to fail than the others is as good as any.
const SUSPECT_RISE: f64 = 1.5;
/// Odds above which further bad ends are no news, so that a short fault is soon forgotten.
const HIGHEST_ODDS: f64 = 3.5;
/// Odds below which further good ends are no news, so that a fault that begins is soon seen.
const LOWEST_ODDS: f64 = -4.5;
/// Share of its requests that a failing server fails: faults of a tenth to all of the requests are met,
/// and six in ten is within a factor of two of most of them.
const FAILED_SHARE: f64 = 0.6;
/// Of those, the share that it leaves without an answer, until some were seen.
///
/// Failure: servers grow slow when they are nearly full, their runs last longer than they used to, and
/// on a fleet whose faults are lost connections every one of them is held off as if it hung. Where bad
/// ends are seldom silent, ages say little. It starts low, since it is learned within the first fault:
/// from 0.8, four played days of a fleet without silent faults lost 0.015 of their mean worth.
const SILENT_SHARE: f64 = 0.3;
/// Bad ends that this share counts for.
const SILENT_RUNS: f64 = 2.0;
/// Evidence in nats from which a run that its caller gave up counts as one that hung.
const HUNG_RATIO: f64 = 1.5;
/// What open runs beyond the oldest add: a pause of the whole server makes all of them late at once,
/// so each further one says less.
const FURTHER_SHARE: f64 = 0.5;
/// Share of the runs of a kind that end sooner than what counts as an early end.
const EARLY_SHARE: f64 = 0.05;
/// Runs over which they are learned and forgotten.
const SHARE_MEMORY: f64 = 200.0;
/// Time constant with which the odds return to the usual ones until faults were seen to end: the
/// middle, on a scale of ratios, of faults of a second and of a minute.
const FIRST_RETURN: Duration = Duration::from_secs(7);
/// Shortest time constant that is learned: below it a server would be back before its first trial.
const SHORTEST_RETURN: Duration = Duration::from_secs(2);
/// Longest: a server that is whole again and that nobody can try stays away that long.
const LONGEST_RETURN: Duration = Duration::from_mins(1);
/// Weight of one more fault in what is learned of their length.
const RETURN_WEIGHT: f64 = 0.3;
/// Whole replies in a row after which a fault has ended.
const ENDED_AFTER: u32 = 2;
/// Time between the first trials of a server that is more likely failing than not, as a share of the
/// time that faults last: most such trials are repeated elsewhere, and repeats are bounded.
const TRIAL_SHARE: f64 = 0.2;
/// Trials at the same time. Failure: a trial hangs for seconds, the server is whole again meanwhile, and
/// gets nothing until the trial ends. The pause runs from the start of a trial, so that it bounds how
/// long a server goes without one; two at a time are as many as fit into the time in which one is late.
const MOST_TRIALS: u32 = 2;
/// Most doublings of the pause.
const MOST_DOUBLINGS: u32 = 4;
/// Longest time between two trials, however long faults last: a trial is one repeatable request that
/// is sent elsewhere as well once it hangs. Were the pause to grow with the length of faults, faults
/// would seem as long as the pause. Under two seconds, so that no server that is whole again goes
/// without a request for longer.
const LONGEST_PAUSE: Duration = Duration::from_millis(1750);
/// Longest time between the first trials of a fault.
const FIRST_PAUSE: Duration = Duration::from_millis(1500);
/// Time that a bad run takes, in seconds, for which the pauses above are made: its caller waits so long
/// before it is sent elsewhere.
const WHOLE_TRIAL_COST: f64 = 1.0;
/// Least part of the pauses. A trial that fails within some ms costs its caller next to nothing, and what
/// is lost is a repeat: at this part a server takes three of its service's bound in a second.
///
/// Failure: a third of the servers fail by turns for some seconds each, and each is held off for another
/// second and more until its next trial. Under load a third of the whole capacity stands idle for that.
const LEAST_PAUSE_PART: f64 = 0.2;
/// Weight of one more bad run in what is learned of the time that they take.
const COST_STEP: f64 = 0.2;

/// What the node beside a backend server lets through.
#[derive(Clone, Debug)]
pub struct UpstreamBreaker {
    /// Odds from the runs that ended.
    odds: f64,
    at: Duration,
    /// Chance that a server of this service fails part of its requests.
    usual: f64,
    open: BTreeMap<u64, OpenRun>,
    times: RunTimes,
    ends: EndShares,
    /// Of the bad ends of a failing server, those without an answer.
    silent: EndShare,
    trials: u32,
    /// When the last trial began; none when the next may begin at once.
    last_trial: Option<Duration>,
    /// Trials in a row that went badly.
    failed_trials: u32,
    /// Time that a bad run takes, in seconds.
    bad_time: f64,
    return_time: Duration,
    /// When the present fault began.
    fault_since: Option<Duration>,
    /// Whole replies since the last bad end.
    served: u32,
    ages_count: bool,
}

/// A run that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenRun {
    since: Duration,
    kind: u64,
    /// What it counted for, in nats, when it was taken for one that hung.
    counted: Option<f64>,
}

/// A share that is learned.
#[derive(Clone, Copy, Debug)]
struct EndShare {
    share: f64,
    runs: f64,
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
    pub fn new(now: Duration) -> Self {
        Self {
            odds: odds_of(USUAL_CHANCE),
            at: now,
            usual: USUAL_CHANCE,
            open: BTreeMap::new(),
            times: RunTimes::default(),
            ends: EndShares::new(),
            silent: EndShare::new(SILENT_SHARE, SILENT_RUNS),
            trials: 0,
            last_trial: None,
            failed_trials: 0,
            bad_time: WHOLE_TRIAL_COST,
            return_time: FIRST_RETURN,
            fault_since: None,
            served: 0,
            ages_count: true,
        }
    }

    /// The same with or without the evidence of runs that have not ended with a reply.
    #[must_use]
    pub const fn count_ages(mut self, count: bool) -> Self {
        self.ages_count = count;
        self
    }

    /// Takes over which share of the service's servers fails at any time.
    pub fn set_usual(&mut self, chance: f64) {
        self.usual = chance.clamp(0.001, USUAL_MOST);
    }

    /// Whether work may run now, at least as a trial where it is fit for one.
    pub fn admit(&mut self, now: Duration, trial_fit: bool) -> BreakerVerdict {
        if !self.is_suspect(now) {
            return BreakerVerdict::Admitted;
        }
        let rested = self
            .last_trial
            .is_none_or(|last| now.saturating_sub(last) >= self.trial_pause());
        if !trial_fit || self.trials >= MOST_TRIALS || !rested {
            return BreakerVerdict::Held;
        }
        self.trials += 1;
        self.last_trial = Some(now);
        BreakerVerdict::Trial
    }

    /// Notes that a trial ended, whatever its end. After one that brought a whole reply the next may
    /// follow at once.
    pub fn trial_ended(&mut self) {
        self.trials = self.trials.saturating_sub(1);
        if self.odds <= 0.0 || self.served > 0 {
            self.last_trial = None;
        }
    }

    /// Counts the runs that have hung by now as ended badly, and gives them; none while the server is
    /// not suspect, since what its runs say still grows.
    ///
    /// Failure: a fault of two seconds leaves runs open until the caller's deadline. Counted for as long
    /// as they stay open, they hold a server off for six seconds and more after it is whole again, half
    /// of the servers of a service stand idle, and faults seem that long. What a run says is how the
    /// server was when the run became late; from then on it fades like all else, and trials tell more.
    pub fn take_late(&mut self, now: Duration) -> Vec<u64> {
        if !self.is_suspect(now) {
            return Vec::new();
        }
        let open = self.open.iter().filter(|(_, run)| run.counted.is_none());
        let late = open.filter(|(_, run)| self.age_ratio(now, **run) >= HUNG_RATIO);
        let late: Vec<u64> = late.map(|(id, _)| *id).collect();
        for run in &late {
            self.count_late(now, *run);
        }
        late
    }

    fn count_late(&mut self, now: Duration, id: u64) {
        let Some(run) = self.open.get(&id).copied() else {
            return;
        };
        self.age(now);
        let ratio = self.age_ratio(now, run);
        self.take_ratio(ratio);
        self.silent.learn(true, chance_of(self.odds));
        self.follow_fault(
            now,
            SampleKind::Silent,
            ratio,
            now.saturating_sub(run.since),
        );
        let counted = Some(ratio);
        self.open.insert(id, OpenRun { counted, ..run });
    }

    fn take_ratio(&mut self, ratio: f64) {
        self.odds = (self.odds + ratio).clamp(LOWEST_ODDS, HIGHEST_ODDS);
    }

    /// Notes that a run begins; `allowed` is the time that its caller gives.
    pub fn started(&mut self, now: Duration, run: u64, kind: u64, allowed: Duration) {
        self.times.meet(kind, allowed);
        let since = now;
        self.open.insert(
            run,
            OpenRun {
                since,
                kind,
                counted: None,
            },
        );
    }

    /// Notes how a run ended; as refused one that the server itself turned away.
    pub fn ended(&mut self, now: Duration, run: u64, kind: SampleKind) {
        self.age(now);
        let ended = self.open.remove(&run);
        let counted = ended.and_then(|run| run.counted);
        let end = self.end_of(now, ended, kind);
        let ratio = match (end, kind) {
            // A reply, however late, takes back what the age of its run said.
            (Some(RunEnd::Served), _) => self.ends.ratio(RunEnd::Served) - counted.unwrap_or(0.0),
            _ if counted.is_some() => 0.0,
            (Some(end), _) => self.ends.ratio(end),
            // A server that sheds part of its work loses none of it: what it turns away goes elsewhere.
            // Counted as failing, all servers of a service that sheds as a whole are held off, and
            // a fifth more of its requests are refused.
            (None, SampleKind::Refused) => return,
            (None, _) => ended.map_or(0.0, |run| self.age_ratio(now, run)),
        };
        self.take_ratio(ratio);
        let failing = chance_of(self.odds);
        if let Some(end) = end {
            self.ends.learn(end, failing);
        }
        self.learn_time(now, ended, end, 1.0 - failing);
        let lost = is_loss(kind);
        if lost || (kind != SampleKind::Failed && ratio >= HUNG_RATIO) {
            self.silent.learn(!lost, failing);
        }
        // One whose begin is not known is taken for a whole one.
        let took = ended.map_or(Duration::from_secs(1), |run| now.saturating_sub(run.since));
        self.follow_fault(now, kind, ratio, took);
    }

    /// Notes that a run ended in a way that tells nothing of the server: with an error because a call of
    /// its own had failed.
    pub fn ended_unjudged(&mut self, run: u64) {
        self.open.remove(&run);
    }

    /// How a run ended; none for one that ended without a reply of any kind.
    fn end_of(&self, now: Duration, run: Option<OpenRun>, kind: SampleKind) -> Option<RunEnd> {
        match kind {
            SampleKind::Served => Some(RunEnd::Served),
            SampleKind::Failed if self.is_early(now, run) => Some(RunEnd::EarlyError),
            SampleKind::Failed => Some(RunEnd::LateError),
            _ => is_loss(kind).then_some(RunEnd::Loss),
        }
    }

    /// Whether a run ends sooner than nearly all of its kind that did their work.
    fn is_early(&self, now: Duration, run: Option<OpenRun>) -> bool {
        run.is_some_and(|run| {
            let took = now.saturating_sub(run.since);
            1.0 - self.times.survival(run.kind, took) <= EARLY_SHARE
        })
    }

    /// What a run that ended tells of how long sound runs last.
    fn learn_time(&mut self, now: Duration, run: Option<OpenRun>, end: Option<RunEnd>, sound: f64) {
        let replied = matches!(end, Some(RunEnd::Served | RunEnd::LateError));
        if let Some(run) = run.filter(|_| replied) {
            let took = now.saturating_sub(run.since);
            self.times.learn(run.kind, took, sound);
        }
    }

    /// Learns how long faults last, and counts failed trials.
    fn follow_fault(&mut self, now: Duration, kind: SampleKind, ratio: f64, took: Duration) {
        if kind == SampleKind::Served {
            self.failed_trials = 0;
            self.served += 1;
            if self.served >= ENDED_AFTER
                && self.odds < self.suspect_odds()
                && let Some(since) = self.fault_since.take()
            {
                self.learn_length(now.saturating_sub(since));
            }
        } else if ratio > 0.0 {
            self.bad_time += (took.as_secs_f64() - self.bad_time) * COST_STEP;
            self.served = 0;
            self.failed_trials += u32::from(self.trials > 0);
            if self.odds >= self.suspect_odds() {
                self.fault_since.get_or_insert(now);
            }
        }
    }

    fn learn_length(&mut self, length: Duration) {
        let length = length.clamp(SHORTEST_RETURN, LONGEST_RETURN);
        let ratio = length.as_secs_f64() / self.return_time.as_secs_f64();
        self.return_time = self.return_time.mul_f64(ratio.powf(RETURN_WEIGHT));
    }

    /// The pause doubles with each further trial that goes badly, and is shorter where bad runs end soon.
    fn trial_pause(&self) -> Duration {
        let factor = 1_u32 << self.failed_trials.saturating_sub(1).min(MOST_DOUBLINGS);
        let first = self.return_time.mul_f64(TRIAL_SHARE).min(FIRST_PAUSE);
        let part = (self.bad_time / WHOLE_TRIAL_COST).clamp(LEAST_PAUSE_PART, 1.0);
        (first * factor).min(LONGEST_PAUSE).mul_f64(part)
    }

    /// Whether work that must not repeat stays away.
    #[must_use]
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.odds(now) >= self.suspect_odds()
    }

    /// Odds in nats that the server fails part of its requests.
    #[must_use]
    pub fn odds(&self, now: Duration) -> f64 {
        (self.aged(now) + self.open_evidence(now)).min(HIGHEST_ODDS)
    }

    /// Chance that the server fails part of its requests.
    #[must_use]
    pub fn chance(&self, now: Duration) -> f64 {
        chance_of(self.odds(now))
    }

    fn suspect_odds(&self) -> f64 {
        SUSPECT_ODDS.max(odds_of(self.usual) + SUSPECT_RISE)
    }

    /// What the runs that have not ended say, in nats.
    fn open_evidence(&self, now: Duration) -> f64 {
        let open = self.open.values().filter(|run| run.counted.is_none());
        let ratios = open.map(|run| self.age_ratio(now, *run));
        let (sum, most) = ratios.fold((0.0_f64, 0.0_f64), |(sum, most), ratio| {
            (sum + ratio, most.max(ratio))
        });
        most + (sum - most) * FURTHER_SHARE
    }

    /// What one run says by its age alone: a failing server leaves some of its runs open for good,
    /// a sound one ends them as it usually does.
    fn age_ratio(&self, now: Duration, run: OpenRun) -> f64 {
        if !self.ages_count {
            return 0.0;
        }
        let survival = self.times.survival(run.kind, now.saturating_sub(run.since));
        let hung = FAILED_SHARE * self.silent.share;
        ((hung + (1.0 - hung) * survival) / survival).ln()
    }

    fn age(&mut self, now: Duration) {
        self.odds = self.aged(now);
        self.at = now;
    }

    /// The odds from the runs that ended, as time has drawn them towards the usual ones.
    fn aged(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / self.return_time.as_secs_f64()).exp();
        let chance = self.usual + (chance_of(self.odds) - self.usual) * kept;
        odds_of(chance).clamp(LOWEST_ODDS, HIGHEST_ODDS)
    }
}

impl EndShare {
    const fn new(share: f64, runs: f64) -> Self {
        Self { share, runs }
    }

    fn learn(&mut self, hit: bool, sound: f64) {
        self.runs = (self.runs + sound).min(SHARE_MEMORY);
        let seen = f64::from(u8::from(hit));
        self.share += (seen - self.share) * sound / self.runs;
    }
}

/// Whether a run ended without a whole reply of its own, and said so.
fn is_loss(kind: SampleKind) -> bool {
    matches!(
        kind,
        SampleKind::Wrong | SampleKind::ConnectionLost | SampleKind::Crashed
    )
}

/// Odds in nats of a chance.
fn odds_of(chance: f64) -> f64 {
    let chance = chance.clamp(1e-4, 1.0 - 1e-4);
    (chance / (1.0 - chance)).ln()
}

fn chance_of(odds: f64) -> f64 {
    1.0 / (1.0 + (-odds).exp())
}
