//! Tests for the queue that client accounts share, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;
use std::time::Duration;

use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::CustomerName;
use sycamorelink_limits::{FairQueue, QueueEntry, WorkId};

const SLOTS: u32 = 15;
const QUEUE: usize = 400;
/// Mean run time.
const COST: Duration = Duration::from_millis(900);
/// Latest start for an objective of 4 s, and for a deadline of 8 s.
const START_IN_TIME: Duration = Duration::from_millis(3100);
const LATEST_START: Duration = Duration::from_millis(7100);
const STEP: Duration = Duration::from_millis(5);
const SEEDS: std::ops::Range<u64> = 1..9;
/// Client accounts, and the exponent of their sizes.
const ACCOUNTS: u32 = 74;
const SKEW: f64 = 1.2;
/// The account that sends five times its rate.
const GREEDY: u32 = 20;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[allow(clippy::unnecessary_wraps, reason = "entries take an optional account")]
fn account(number: u32) -> Option<CustomerName> {
    Some(CustomerName::new(format!("account-{number:02}").as_str()))
}

fn entry(work: u64, account: Option<CustomerName>, priority: u8) -> QueueEntry {
    QueueEntry {
        work: WorkId(work),
        account,
        priority,
        objective_start: Some(secs(100)),
        deadline_start: secs(200),
        cost: COST,
    }
}

/// What became of the requests of one source.
#[derive(Clone, Copy, Debug, Default)]
struct SourceCounts {
    offered: u32,
    refused: u32,
    started: u32,
    late: u32,
    longest_wait: Duration,
}

/// Requests of one account and priority at a rate per second.
struct RequestSource {
    account: Option<CustomerName>,
    priority: u8,
    rate: f64,
    counts: SourceCounts,
}

/// Gate with slots in front of a fair queue, without the rest of admission control.
struct QueueSimulation {
    now: Duration,
    queue: FairQueue,
    sources: Vec<RequestSource>,
    /// End of each run.
    runs: BTreeMap<WorkId, Duration>,
    /// Source and time of arrival of each request that waits.
    waiting: BTreeMap<WorkId, (usize, Duration)>,
    next_work: u64,
    rng: SmallRng,
}

impl QueueSimulation {
    fn new(seed: u64, sources: &[(Option<CustomerName>, u8, f64)]) -> Self {
        let sources = sources
            .iter()
            .map(|(account, priority, rate)| RequestSource {
                account: account.clone(),
                priority: *priority,
                rate: *rate,
                counts: SourceCounts::default(),
            });
        Self {
            now: Duration::ZERO,
            queue: FairQueue::new(QUEUE),
            sources: sources.collect(),
            runs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_work: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let mut expired = Vec::new();
        self.queue.expire(self.now, &mut expired);
        for work in expired {
            self.refuse(work);
        }
        let ended = self.runs.iter().filter(|(_, end)| **end <= self.now);
        let ended: Vec<WorkId> = ended.map(|(work, _)| *work).collect();
        for work in ended {
            self.runs.remove(&work);
            self.queue.ended(work, COST);
        }
        for source in 0..self.sources.len() {
            let chance = self.sources[source].rate * STEP.as_secs_f64();
            if self.rng.random::<f64>() < chance {
                self.offer(source);
            }
        }
        while self.runs.len() < SLOTS as usize
            && let Some(entry) = self.queue.pop(self.now)
        {
            self.start(&entry);
        }
    }

    fn offer(&mut self, source: usize) {
        let work = WorkId(self.next_work);
        self.next_work += 1;
        self.sources[source].counts.offered += 1;
        let offer = QueueEntry {
            objective_start: Some(self.now + START_IN_TIME),
            deadline_start: self.now + LATEST_START,
            ..entry(
                work.0,
                self.sources[source].account.clone(),
                self.sources[source].priority,
            )
        };
        self.waiting.insert(work, (source, self.now));
        let left = self.runs.values().map(|end| end.saturating_sub(self.now));
        let max_ahead = START_IN_TIME * SLOTS;
        let max_ahead = max_ahead.saturating_sub(left.sum());
        if self.queue.cost_ahead(&offer) > max_ahead {
            for displaced in self.queue.displaced_for(&offer, max_ahead) {
                self.queue.remove(displaced).unwrap();
                self.refuse(displaced);
            }
        }
        if self.queue.is_full() {
            let Some(displaced) = self.queue.displaced_by(&offer) else {
                self.refuse(work);
                return;
            };
            self.queue.remove(displaced).unwrap();
            self.refuse(displaced);
        }
        assert!(self.queue.push(self.now, offer));
    }

    fn refuse(&mut self, work: WorkId) {
        let (source, _) = self.waiting.remove(&work).unwrap();
        self.sources[source].counts.refused += 1;
    }

    fn start(&mut self, entry: &QueueEntry) {
        let (source, offered) = self.waiting.remove(&entry.work).unwrap();
        let counts = &mut self.sources[source].counts;
        counts.started += 1;
        counts.late += u32::from(entry.objective_start.is_none());
        counts.longest_wait = counts.longest_wait.max(self.now.saturating_sub(offered));
        let normal = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt()
            * (TAU * self.rng.random::<f64>()).cos();
        let time = COST.mul_f64((normal * 0.25 + 1.0).clamp(0.3, 3.0));
        self.runs.insert(entry.work, self.now + time);
    }
}

/// Returns the rates per second of the accounts, of which 70% can be served.
fn skewed_rates() -> Vec<f64> {
    let size = |rank: u32| f64::from(rank + 1).powf(-SKEW);
    let sizes = (0..ACCOUNTS).map(|rank| size(rank) * if rank == GREEDY { 5.0 } else { 1.0 });
    let sizes: Vec<f64> = sizes.collect();
    let demand = f64::from(SLOTS) / COST.as_secs_f64() / 0.7;
    let total: f64 = sizes.iter().sum();
    sizes.iter().map(|size| size / total * demand).collect()
}

/// Returns the rate up to which all accounts are served if the capacity is divided equally among those
/// that need it; infinite if it suffices for all.
fn fair_rate(rates: &[f64]) -> f64 {
    let mut left = f64::from(SLOTS) / COST.as_secs_f64();
    let mut rates = rates.to_vec();
    rates.sort_by(f64::total_cmp);
    for (rate, others) in rates.iter().zip((0..rates.len()).rev()) {
        let equal = left / f64::from(u32::try_from(others + 1).unwrap());
        if *rate > equal {
            return equal;
        }
        left -= rate;
    }
    f64::INFINITY
}

/// Requests of accounts below given fractions of their share, out of 74 accounts of very uneven size
/// that share a server with capacity for 70% of their demand.
struct SkewedLoad {
    offered: u32,
    refused: u32,
    /// Refused requests of accounts below half of their share.
    half_refused: u32,
    /// Requests of accounts below nine tenths of their share, and the refused ones.
    below_offered: u32,
    below_refused: u32,
}

impl SkewedLoad {
    fn of(seed: u64) -> Self {
        let rates = skewed_rates();
        let share = fair_rate(&rates);
        let sources = rates.iter().zip(0..);
        let sources = sources.map(|(rate, rank)| (account(rank), 5, *rate));
        let sources: Vec<_> = sources.collect();
        let mut simulation = QueueSimulation::new(seed, &sources);
        simulation.run_for(secs(300));
        let sum = |part: fn(&SourceCounts) -> u32, max_rate: f64| -> u32 {
            let sources = simulation.sources.iter();
            let sources = sources.filter(|source| source.rate < max_rate);
            sources.map(|source| part(&source.counts)).sum()
        };
        let load = Self {
            offered: sum(|c| c.offered, f64::MAX),
            refused: sum(|c| c.refused, f64::MAX),
            half_refused: sum(|c| c.refused, share * 0.5),
            below_offered: sum(|c| c.offered, share * 0.9),
            below_refused: sum(|c| c.refused, share * 0.9),
        };
        let late = sum(|c| c.late, share * 0.9);
        println!(
            "seed {seed}: {} of {} refused; of the {} of accounts below a share of {share:.2}/s {} \
             refused and {late} late",
            load.refused, load.offered, load.below_offered, load.below_refused,
        );
        assert!(load.refused * 4 > load.offered, "seed {seed}: no overload");
        load
    }
}

// Guards against refusing an account below its share while others are above theirs: one of the 74
// accounts sends five times its rate.
#[test]
fn no_account_below_its_share_is_refused() {
    let refused: u32 = SEEDS.map(|seed| SkewedLoad::of(seed).below_refused).sum();
    assert_eq!(refused, 0);
}

// Guards against refusing small accounts when large ones fill the queue, also if several requests of
// a small account arrive together.
#[test]
fn small_accounts_are_served_beside_large_ones() {
    for seed in SEEDS {
        let load = SkewedLoad::of(seed);
        assert_eq!(load.half_refused, 0, "seed {seed}");
        let allowed = load.below_offered / 1000;
        assert!(load.below_refused <= allowed, "seed {seed}");
    }
}

// Guards against one large account whose flood keeps the slots and the queue from seventy others.
#[test]
fn flood_of_one_account_does_not_starve_seventy_others() {
    for seed in SEEDS {
        let mut sources = vec![(account(0), 5, 60.0)];
        sources.extend((1..=70).map(|number| (account(number), 5, 0.15)));
        let mut simulation = QueueSimulation::new(seed, &sources);
        simulation.run_for(secs(120));
        let others = &simulation.sources[1..];
        let refused: u32 = others.iter().map(|source| source.counts.refused).sum();
        let longest = others.iter().map(|source| source.counts.longest_wait).max();
        println!("seed {seed}: {refused} of the others refused, longest wait {longest:?}");
        assert_eq!(refused, 0, "seed {seed}");
        assert!(longest < Some(START_IN_TIME), "seed {seed}: {longest:?}");
    }
}

// Guards against a priority that is never started, or has no place in the queue, while higher ones
// use all of the capacity.
#[test]
fn no_priority_starves() {
    for seed in SEEDS {
        let sources = [
            (account(0), 9, 40.0),
            (account(1), 5, 10.0),
            (account(2), 1, 10.0),
        ];
        let mut simulation = QueueSimulation::new(seed, &sources);
        simulation.run_for(secs(120));
        let started = simulation
            .sources
            .iter()
            .map(|source| source.counts.started);
        let started: Vec<u32> = started.collect();
        println!("seed {seed}: started {started:?}");
        let total: u32 = started.iter().sum();
        let lower = started[1] + started[2];
        assert!((total / 12..=total / 8).contains(&lower), "{started:?}");
        assert!(
            started[1] > total / 50 && started[2] > total / 50,
            "{started:?}"
        );
    }
}

// Guards against a lowest priority that loses each of its places to the one above it, which then has
// all places that are reserved for lower priorities.
#[test]
fn lowest_priority_keeps_places_beside_a_crowded_one_above_it() {
    for seed in SEEDS {
        let sources = [
            (account(0), 9, 100.0),
            (account(1), 5, 60.0),
            (account(2), 1, 10.0),
        ];
        let mut simulation = QueueSimulation::new(seed, &sources);
        simulation.run_for(secs(120));
        let counts = simulation.sources.iter().map(|source| source.counts);
        let started: Vec<u32> = counts.map(|counts| counts.started).collect();
        println!("seed {seed}: started {started:?}");
        let total: u32 = started.iter().sum();
        assert!(started[1] > total / 50, "{started:?}");
        assert!(started[2] > total / 50, "{started:?}");
    }
}

// Guards against an offer that is refused because its priority has exactly its part of the places,
// although another account of that priority holds all of them.
#[test]
fn account_gets_a_place_within_the_part_of_its_priority() {
    for others in [0, 20] {
        let mut queue = FairQueue::new(QUEUE);
        for work in 0..40 - others {
            assert!(queue.push(secs(0), entry(work, account(1), 5)));
        }
        for work in 40 - others..40 {
            assert!(queue.push(secs(0), entry(work, account(2), 1)));
        }
        for work in 40..400 {
            assert!(queue.push(secs(0), entry(work, account(0), 9)));
        }
        let offer = entry(400, account(3), 5);
        assert_eq!(queue.displaced_by(&offer), Some(WorkId(39 - others)));
    }
}

// Guards against calls of backend servers, which have no known account, that wait behind all of the
// accounts although a run waits for each of them.
#[test]
fn work_without_an_account_is_not_last() {
    let mut queue = FairQueue::new(QUEUE);
    let mut work = 0;
    for number in 0..74 {
        for _ in 0..3 {
            assert!(queue.push(secs(0), entry(work, account(number), 5)));
            work += 1;
        }
    }
    for _ in 0..60 {
        assert!(queue.push(secs(0), entry(work, None, 5)));
        work += 1;
    }
    let started: Vec<bool> = std::iter::from_fn(|| queue.pop(secs(0)))
        .take(148)
        .map(|entry| entry.account.is_none())
        .collect();
    let unknown = started.iter().filter(|is_unknown| **is_unknown).count();
    assert!((30..=60).contains(&unknown), "{unknown} of 148 starts");
    let longest = started
        .split(|is_unknown| *is_unknown)
        .map(<[bool]>::len)
        .max();
    assert!(longest < Some(20), "{longest:?} other starts in succession");
}

// Guards against the opposite: work without an account must not take all slots from a known one.
#[test]
fn work_without_an_account_leaves_half_to_a_single_account() {
    let mut queue = FairQueue::new(QUEUE);
    for work in 0..100 {
        assert!(queue.push(secs(0), entry(work, None, 5)));
        assert!(queue.push(secs(0), entry(work + 100, account(1), 5)));
    }
    let started = std::iter::from_fn(|| queue.pop(secs(0))).take(100);
    let known = started.filter(|entry| entry.account.is_some()).count();
    assert!((40..=50).contains(&known), "{known} of 100 starts");
}

// Guards against an account that gets ahead of others by leaving the queue and returning: its state
// is dropped only when the others have used as much.
#[test]
fn returning_account_does_not_jump_ahead() {
    let mut queue = FairQueue::new(QUEUE);
    for work in 0..10 {
        assert!(queue.push(secs(0), entry(work, account(1), 5)));
    }
    // A run of account 2 takes ten times as long as expected.
    queue.started(&entry(100, account(2), 5));
    queue.ended(WorkId(100), COST * 10);
    assert_eq!(queue.lane_count(), 2);
    assert!(queue.push(secs(0), entry(101, account(2), 5)));
    let order = std::iter::from_fn(|| queue.pop(secs(0))).map(|entry| entry.work.0);
    let order: Vec<u64> = order.collect();
    assert_eq!(order.last(), Some(&101), "{order:?}");
    for work in order {
        queue.ended(WorkId(work), COST);
    }
    assert_eq!(queue.lane_count(), 0);
}

// Guards against late work, which is worth a tenth, that delays work in time; and against an order
// within an account other than by the latest start.
#[test]
fn lane_starts_work_in_time_first_and_then_by_latest_start() {
    let mut queue = FairQueue::new(QUEUE);
    let with_starts = |work: u64, objective: Option<u64>, deadline: u64| QueueEntry {
        objective_start: objective.map(secs),
        deadline_start: secs(deadline),
        ..entry(work, account(1), 5)
    };
    assert!(queue.push(secs(0), with_starts(1, None, 5)));
    assert!(queue.push(secs(0), with_starts(2, Some(4), 9)));
    assert!(queue.push(secs(0), with_starts(3, Some(3), 9)));
    assert!(queue.push(secs(0), with_starts(4, Some(1), 9)));
    assert!(queue.push(secs(0), with_starts(5, Some(1), 1)));
    let mut expired = Vec::new();
    queue.expire(secs(2), &mut expired);
    assert_eq!(expired, [WorkId(5)]);
    let order = std::iter::from_fn(|| queue.pop(secs(2))).map(|entry| entry.work.0);
    assert_eq!(order.collect::<Vec<_>>(), [3, 2, 1, 4]);
}

// Guards against a full queue that refuses a small account, or lets an account displace others by
// sending more.
#[test]
fn full_queue_loses_the_newest_work_of_the_account_most_above_its_share() {
    let mut queue = FairQueue::new(10);
    for work in 0..7 {
        assert!(queue.push(secs(0), entry(work, account(1), 5)));
    }
    for work in 7..10 {
        assert!(queue.push(secs(0), entry(work, account(2), 5)));
    }
    assert!(!queue.push(secs(0), entry(10, account(3), 5)));
    assert_eq!(
        queue.displaced_by(&entry(10, account(3), 5)),
        Some(WorkId(6))
    );
    assert_eq!(
        queue.displaced_by(&entry(10, account(2), 5)),
        Some(WorkId(6))
    );
    assert_eq!(queue.displaced_by(&entry(10, account(1), 5)), None);
    assert_eq!(
        queue.displaced_by(&entry(10, account(1), 6)),
        Some(WorkId(6))
    );
}

// Guards against removing work in vain, and against removing work of accounts within their share. A
// run of account 2 took ten times as long as expected, so ten requests of account 1 go first.
#[test]
fn objective_is_met_by_removing_work_of_accounts_above_their_share() {
    let mut queue = FairQueue::new(QUEUE);
    for work in 0..20 {
        assert!(queue.push(secs(0), entry(work, account(1), 5)));
    }
    assert!(queue.push(secs(0), entry(20, account(3), 5)));
    queue.started(&entry(99, account(2), 5));
    queue.ended(WorkId(99), COST * 10);
    let offer = entry(100, account(2), 5);
    assert_eq!(queue.cost_ahead(&offer), COST * 12, "eleven and one");
    assert_eq!(queue.displaced_for(&offer, COST * 12), []);
    let displaced = queue.displaced_for(&offer, COST * 8);
    assert_eq!(displaced.len(), 13, "{displaced:?}");
    assert!(displaced.iter().all(|work| (7..20).contains(&work.0)));
    for work in displaced {
        queue.remove(work).unwrap();
    }
    assert_eq!(queue.cost_ahead(&offer), COST * 8);
    let greedy = entry(101, account(1), 5);
    assert_eq!(
        queue.displaced_for(&greedy, COST * 3),
        [],
        "above its share"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against work that is lost, or started or refused twice, in any order of operations.
    #[test]
    fn nothing_is_lost_or_doubled(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = FairQueue::new(30);
        let (mut waiting, mut running) = (BTreeSet::new(), BTreeSet::new());
        let mut now = Duration::ZERO;
        for number in 0..600_u64 {
            now += Duration::from_millis(rng.random_range(0..200));
            let mut expired = Vec::new();
            queue.expire(now, &mut expired);
            for work in expired {
                assert!(waiting.remove(&work), "{work:?} expired");
            }
            match rng.random_range(0..6) {
                0..=2 => {
                    let source = rng.random_range(0..5);
                    let objective = now + Duration::from_millis(rng.random_range(0..3000));
                    let offer = QueueEntry {
                        objective_start: rng.random_bool(0.8).then_some(objective),
                        deadline_start: objective + Duration::from_millis(rng.random_range(0..2000)),
                        cost: Duration::from_millis(rng.random_range(0..2000)),
                        ..entry(number, account(source).filter(|_| source > 0), rng.random_range(0..3))
                    };
                    let max_ahead = Duration::from_millis(rng.random_range(0..20_000));
                    let mut displaced = queue.displaced_for(&offer, max_ahead);
                    if queue.is_full() && displaced.is_empty() {
                        displaced.extend(queue.displaced_by(&offer));
                    }
                    for work in displaced {
                        assert!(queue.remove(work).is_some() && waiting.remove(&work));
                    }
                    if queue.push(now, offer) {
                        assert!(waiting.insert(WorkId(number)));
                    }
                }
                3 => {
                    if let Some(entry) = queue.pop(now) {
                        assert!(waiting.remove(&entry.work) && running.insert(entry.work));
                    } else {
                        assert!(waiting.is_empty());
                    }
                }
                4 => {
                    if let Some(work) = running.pop_first() {
                        queue.ended(work, Duration::from_millis(rng.random_range(0..5000)));
                    }
                }
                _ => {
                    if let Some(work) = waiting.pop_last() {
                        assert!(queue.remove(work).is_some());
                        assert!(queue.remove(work).is_none());
                    }
                }
            }
            assert_eq!(queue.len(), waiting.len());
            assert!(waiting.iter().all(|work| queue.contains(*work)));
        }
        while let Some(entry) = queue.pop(now) {
            assert!(waiting.remove(&entry.work) && running.insert(entry.work));
        }
        assert!(waiting.is_empty());
        for work in running {
            queue.ended(work, COST);
        }
        assert_eq!(queue.lane_count(), 0);
    }
}

// Guards against a cost ahead of waiting work that differs from the one by which that work was
// accepted.
#[test]
fn cost_ahead_of_waiting_work_is_that_of_an_offer() {
    let mut queue = FairQueue::new(QUEUE);
    for number in 0..300_u32 {
        let work = u64::from(number);
        let name = if work % 7 == 0 {
            None
        } else {
            account(number % 5)
        };
        let mut waiting = entry(work, name, 4 + u8::from(number % 11 > 4));
        waiting.objective_start = (work % 6 > 0).then(|| secs(100 + work * 37 % 300));
        waiting.deadline_start = secs(1000 + work);
        waiting.cost = Duration::from_millis(300 + work % 13 * 100);
        assert!(queue.push(secs(0), waiting));
    }
    for _ in 0..40 {
        queue.pop(secs(0));
    }
    let mut compared = 0;
    for name in [None, account(0), account(1), account(4)] {
        for objective in [Some(secs(50)), Some(secs(250)), None] {
            let mut offer = entry(1000, name.clone(), 5);
            offer.objective_start = objective;
            offer.deadline_start = secs(500);
            for (behind, cost) in queue.costs_behind(&offer) {
                assert_eq!(behind.objective_start.is_none(), objective.is_none());
                assert_eq!(cost, queue.cost_ahead(behind).saturating_sub(behind.cost));
                compared += 1;
            }
        }
    }
    assert!(compared > 30, "{compared}");
}
