//! Tests for admission control in front of a backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{CustomerName, RefusalCode};
use sycamorelink_limits::{GateCommand, GateDecision, GateSettings, SlotGate, WorkClass, WorkId};

const SERVICE: Duration = Duration::from_millis(50);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn warm_gate() -> SlotGate {
    let settings = GateSettings {
        warm_up: Duration::ZERO,
        ..GateSettings::default()
    };
    SlotGate::new(settings, Duration::ZERO)
}

fn class(customer: &str, priority: u8, deadline: u64) -> WorkClass {
    WorkClass {
        expected: SERVICE,
        ..WorkClass::new(CustomerName::new(customer), priority, at(deadline))
    }
}

fn fill_slots(gate: &mut SlotGate) {
    for work in 0..5 {
        let decision = gate.offer(at(0), WorkId(work), class("filler", 0, 10_000));
        assert_eq!(decision, GateDecision::Run);
    }
}

// Guards against queueing a request that cannot meet its deadline. All slots are busy for 50 ms, so
// a deadline in 55 ms leaves no time for 50 ms of service; the refusal contains a retry time.
#[test]
fn request_with_unreachable_deadline_is_refused_immediately() {
    let mut gate = warm_gate();
    fill_slots(&mut gate);
    let decision = gate.offer(at(0), WorkId(9), class("a", 0, 55));
    let GateDecision::Refused { code, retry_after } = decision else {
        panic!("decided {decision:?}");
    };
    assert_eq!(code, RefusalCode::Overloaded);
    assert_eq!(retry_after, Some(SERVICE));
    let decision = gate.offer(at(0), WorkId(10), class("a", 0, 500));
    assert_eq!(decision, GateDecision::Queued);
}

// Guards against keeping queued work whose deadline has become unreachable because the backend
// server is slow. The work is refused as not run before any slot becomes free.
#[test]
fn queued_work_is_refused_when_its_deadline_becomes_unreachable() {
    let mut gate = warm_gate();
    fill_slots(&mut gate);
    gate.offer(at(0), WorkId(9), class("a", 0, 200));
    let mut out = Vec::new();
    gate.tick(at(149), &mut out);
    assert_eq!(out, []);
    gate.tick(at(151), &mut out);
    let [GateCommand::Refuse { work, code, .. }] = out[..] else {
        panic!("commanded {out:?}");
    };
    assert_eq!((work, code), (WorkId(9), RefusalCode::Overloaded));
    assert_eq!(gate.load(at(151)).queued, 0);
}

// Guards against losing admitted work when the backend server shuts down. New requests are refused,
// while five running requests and one queued request are finished.
#[test]
fn closed_gate_finishes_running_and_queued_work() {
    let mut gate = warm_gate();
    fill_slots(&mut gate);
    gate.offer(at(0), WorkId(9), class("a", 0, 1000));
    gate.close();
    let decision = gate.offer(at(1), WorkId(10), class("a", 0, 1000));
    let code = RefusalCode::Draining;
    let retry_after = None;
    assert_eq!(decision, GateDecision::Refused { code, retry_after });
    let mut out = Vec::new();
    gate.finished(at(50), WorkId(0), &mut out);
    assert_eq!(out, [GateCommand::Start { work: WorkId(9) }]);
    for work in [1, 2, 3, 4, 9] {
        gate.finished(at(60), WorkId(work), &mut out);
    }
    assert!(gate.is_idle());
}

// Guards against sending a full load to a cold backend server. One slot is open at first, and the
// others open one after the other.
#[test]
fn slots_open_gradually_after_a_cold_start() {
    let settings = GateSettings::default();
    let mut gate = SlotGate::new(settings, at(0));
    let started: Vec<u32> = (0..=5)
        .map(|second| gate.load(at(second * 1000)).slots)
        .collect();
    assert_eq!(started, [1, 1, 2, 3, 4, 5]);
    assert_eq!(
        gate.offer(at(0), WorkId(0), class("a", 0, 9000)),
        GateDecision::Run
    );
    assert_eq!(
        gate.offer(at(0), WorkId(1), class("a", 0, 9000)),
        GateDecision::Queued
    );
    let mut out = Vec::new();
    gate.tick(at(1300), &mut out);
    assert_eq!(out, [GateCommand::Start { work: WorkId(1) }]);
}

#[test]
fn cancelled_work_leaves_the_queue() {
    let mut gate = warm_gate();
    fill_slots(&mut gate);
    gate.offer(at(0), WorkId(9), class("a", 0, 1000));
    assert!(gate.cancel(at(1), WorkId(9)));
    assert!(!gate.cancel(at(1), WorkId(9)));
    assert!(!gate.cancel(at(1), WorkId(0)), "it runs");
    assert_eq!(gate.load(at(1)).queued, 0);
    let mut out = Vec::new();
    gate.finished(at(50), WorkId(0), &mut out);
    assert_eq!(out, []);
}

#[test]
fn higher_priority_and_earlier_deadline_run_first() {
    let mut gate = warm_gate();
    fill_slots(&mut gate);
    gate.offer(at(0), WorkId(10), class("a", 0, 900));
    gate.offer(at(0), WorkId(11), class("a", 0, 800));
    gate.offer(at(0), WorkId(12), class("a", 5, 1000));
    let mut out = Vec::new();
    for work in 0..3 {
        gate.finished(at(50), WorkId(work), &mut out);
    }
    let started = [12, 11, 10].map(|work| GateCommand::Start { work: WorkId(work) });
    assert_eq!(out, started);
}

// Guards against a flood that crowds out another customer. One customer sends five times the
// capacity; the other sends a request occasionally, is never refused and waits for one slot at
// most.
#[test]
fn flood_does_not_block_other_customers() {
    let mut gate = warm_gate();
    let mut ends: BTreeSet<(Duration, WorkId)> = BTreeSet::new();
    let mut small: Vec<(WorkId, Duration)> = Vec::new();
    let mut out = Vec::new();
    for millis in 0..20_000 {
        let now = at(millis);
        while let Some((end, work)) = ends.first().copied().filter(|(end, _)| *end <= now) {
            ends.pop_first();
            gate.finished(end, work, &mut out);
        }
        if millis % 2 == 0 {
            let work = WorkId(millis);
            if gate.offer(now, work, class("flood", 0, millis + 1000)) == GateDecision::Run {
                ends.insert((now + SERVICE, work));
            }
        }
        if millis % 200 == 101 {
            let work = WorkId(1_000_000 + millis);
            match gate.offer(now, work, class("small", 0, millis + 1000)) {
                GateDecision::Run => {
                    ends.insert((now + SERVICE, work));
                }
                GateDecision::Queued => small.push((work, now)),
                refused @ GateDecision::Refused { .. } => panic!("refused {refused:?}"),
            }
        }
        gate.tick(now, &mut out);
        for command in out.drain(..) {
            let GateCommand::Start { work } = command else {
                continue;
            };
            ends.insert((now + SERVICE, work));
            if let Some((_, since)) = small.iter().find(|(id, _)| *id == work) {
                let waited = now.saturating_sub(*since);
                assert!(waited <= SERVICE, "waited {waited:?}");
            }
        }
    }
    assert!(small.len() > 50, "the small customer met a busy gate");
}

// Guards against leaked counts under any order of offers, ends, cancellations and ticks. Each unit
// of work is refused, cancelled or finished exactly once, the slots never exceed the limit, and an
// empty gate counts nothing.
proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn counts_match_running_and_queued_work(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gate = SlotGate::new(GateSettings::default(), Duration::ZERO);
        let mut running: Vec<WorkId> = Vec::new();
        let mut queued: BTreeSet<WorkId> = BTreeSet::new();
        let mut now = Duration::ZERO;
        let mut out = Vec::new();
        for number in 0..2000 {
            now += at(rng.random_range(0..20));
            match rng.random_range(0..4) {
                0 | 1 => {
                    let customer = ["a", "b", "c"][rng.random_range(0..3)];
                    let (customer, priority) =
                        (CustomerName::new(customer), rng.random_range(0..4));
                    let deadline = now + at(rng.random_range(0..2000));
                    let class = WorkClass {
                        expected: at(rng.random_range(0..100)),
                        ..WorkClass::new(customer, priority, deadline)
                    };
                    let work = WorkId(number);
                    match gate.offer(now, work, class) {
                        GateDecision::Run => running.push(work),
                        GateDecision::Queued => assert!(queued.insert(work)),
                        GateDecision::Refused { .. } => {}
                    }
                }
                2 if !running.is_empty() => {
                    let work = running.swap_remove(rng.random_range(0..running.len()));
                    gate.finished(now, work, &mut out);
                }
                _ => {
                    if let Some(work) = queued.first().copied() {
                        assert!(gate.cancel(now, work));
                        queued.remove(&work);
                    }
                }
            }
            gate.tick(now, &mut out);
            for command in out.drain(..) {
                match command {
                    GateCommand::Start { work } => {
                        assert!(queued.remove(&work));
                        running.push(work);
                    }
                    GateCommand::Refuse { work, .. } => assert!(queued.remove(&work)),
                }
            }
            let load = gate.load(now);
            assert_eq!(load.in_use as usize, running.len());
            assert_eq!(load.queued as usize, queued.len());
            assert!(load.in_use <= 5);
        }
        gate.close();
        while let Some(work) = running.pop() {
            gate.finished(now, work, &mut out);
            for command in out.drain(..) {
                if let GateCommand::Start { work } = command {
                    running.push(work);
                }
            }
        }
        assert!(gate.is_idle());
    }
}

/// Window of the bound on the requests that a limited backend server gets.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Offers requests at random times to a gate whose rate limit changes, and returns the start times.
fn starts_under_limits(seed: u64, rates: &[f64]) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut gate = warm_gate();
    let mut now = Duration::ZERO;
    let mut starts = Vec::new();
    let mut commands = Vec::new();
    for work in 0..2_000 {
        now += at(random.random_range(0..60));
        let rate = rates[usize::try_from(now.as_secs() / 10).unwrap_or(0) % rates.len()];
        gate.set_rate_limit(now, Some(rate));
        gate.tick(now, &mut commands);
        let deadline = now + at(random.random_range(10..2_000));
        let class = WorkClass {
            deadline,
            ..class("dealer", 5, 0)
        };
        let mut started: Vec<WorkId> = commands.drain(..).filter_map(started_work).collect();
        if gate.offer(now, WorkId(work), class) == GateDecision::Run {
            started.push(WorkId(work));
        }
        for work in started {
            starts.push(now);
            gate.finished(now, work, &mut commands);
        }
        let more: Vec<WorkId> = commands.drain(..).filter_map(started_work).collect();
        starts.extend(more.iter().map(|_| now));
        for work in more {
            gate.released(now, work, &mut commands);
        }
    }
    starts
}

fn started_work(command: GateCommand) -> Option<WorkId> {
    match command {
        GateCommand::Start { work } => Some(work),
        GateCommand::Refuse { .. } => None,
    }
}

// Guards against bursts beyond a rate limit after a pause, after a change of the limit, or from the
// queue.
#[test]
fn no_window_holds_more_starts_than_the_rate_limit() {
    for seed in 0..50 {
        for rates in [&[0.0, 1.0][..], &[1.9], &[2.2, 40.0, 0.5], &[15.0, 3.0]] {
            let starts = starts_under_limits(seed, rates);
            let highest = rates.iter().copied().fold(0.0, f64::max);
            let allowed = highest * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
            for start in &starts {
                let window = *start..*start + LIMIT_WINDOW;
                let count = starts.iter().filter(|at| window.contains(*at)).count();
                let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
                assert!(count <= allowed, "seed {seed}, {rates:?}: {count} starts");
            }
        }
    }
}

// Guards against callers that are told to come back before the next permit.
#[test]
fn refusal_under_a_rate_limit_names_the_time_of_the_next_permit() {
    let mut gate = warm_gate();
    gate.set_rate_limit(at(0), Some(0.5));
    let decision = gate.offer(at(0), WorkId(1), class("dealer", 5, 1_000));
    let retry_after = Some(Duration::from_secs(2));
    let code = RefusalCode::Overloaded;
    assert_eq!(decision, GateDecision::Refused { code, retry_after });
}

// Guards against capacity reports that name a wait while a slot is free, or none behind a queue.
#[test]
fn load_names_the_wait_of_the_next_request() {
    let mut gate = warm_gate();
    assert_eq!(gate.load(at(0)).expected_wait, Duration::ZERO);
    fill_slots(&mut gate);
    assert_eq!(gate.load(at(0)).expected_wait, SERVICE);
    for work in 5..10 {
        let decision = gate.offer(at(0), WorkId(work), class("a", 0, 10_000));
        assert_eq!(decision, GateDecision::Queued);
    }
    assert_eq!(gate.load(at(0)).expected_wait, SERVICE * 2);
    let assumed = GateSettings::default().first_service_time;
    assert_eq!(gate.load(at(0)).mean_run, assumed);
}
