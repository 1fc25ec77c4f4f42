//! Tests for the deadline gate, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{CustomerName, RefusalCode};
use sycamorelink_limits::{
    AdmissionGate, DeadlineGate, GateCommand, GateDecision, GateSettings, QueueCount, QueueEvent,
    SlotGate, WorkClass, WorkId,
};

#[path = "deadline_gate/simulation.rs"]
mod simulation;

use simulation::{GateSimulation, LoadPhase};

const SLOTS: u32 = 15;
/// Run time of work in the tests without a simulation.
const RUN_TIME: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn gate_with(slots: u32, queue: u32) -> DeadlineGate {
    DeadlineGate::builder(at(0))
        .slots(slots)
        .queue(queue)
        .first_service_time(RUN_TIME)
        .warm_up(Duration::ZERO)
        .build()
}

fn slot_gate() -> SlotGate {
    let settings = GateSettings {
        slots: SLOTS,
        first_service_time: RUN_TIME,
        warm_up: Duration::ZERO,
        ..GateSettings::default()
    };
    SlotGate::new(settings, at(0))
}

/// Returns the class of work with an objective and a deadline, as milliseconds since the start.
fn class(priority: u8, objective: u64, deadline: u64) -> WorkClass {
    WorkClass {
        objective: Some(at(objective)),
        ..WorkClass::new(CustomerName::new("fleet"), priority, at(deadline))
    }
}

/// Offers work to a gate that has no reason to change other work.
fn offer(gate: &mut DeadlineGate, now: u64, work: u64, class: WorkClass) -> GateDecision {
    let mut out = Vec::new();
    let decision = gate.offer(at(now), WorkId(work), class, &mut out);
    assert_eq!(out, []);
    decision
}

/// Occupies every slot until 1,000 ms.
fn fill_slots(gate: &mut DeadlineGate, slots: u64) {
    for work in 0..slots {
        let decision = offer(gate, 0, work, class(0, 60_000, 60_000));
        assert_eq!(decision, GateDecision::Run);
    }
}

fn is_refused(decision: GateDecision) -> bool {
    matches!(
        decision,
        GateDecision::Refused {
            code: RefusalCode::Overloaded,
            retry_after: Some(_)
        }
    )
}

/// The load of the acceptance test: 60% of the capacity, 2.5 times the capacity for five seconds,
/// and 60% again.
const BURST: [LoadPhase; 3] = [
    LoadPhase::new(Duration::from_secs(10), 0.6),
    LoadPhase::new(Duration::from_secs(5), 2.5),
    LoadPhase::new(Duration::from_secs(25), 0.6),
];

// Guards against a burst of 2.5 times the capacity in which work that was accepted as in time is
// late, work waits until its deadline in vain, or the queue stands after the burst.
#[test]
fn burst_is_served_in_time_or_refused_at_once() {
    for seed in 0..8 {
        let gate = Box::new(gate_with(SLOTS, 400));
        let ended = GateSimulation::new(gate, seed).run(&BURST);
        assert_eq!(ended.accepted_in_time_but_served_late, 0, "seed {seed}");
        assert_eq!(ended.accepted_in_time_but_refused, 0, "seed {seed}");
        // Work that is accepted as late may meet more work in time than the inflow announced.
        let waited_in_vain = ended.refused_after_waiting;
        assert!(
            waited_in_vain * 100 <= ended.offered,
            "seed {seed}: {ended:?}"
        );
        assert_eq!(ended.served_after_deadline, 0, "seed {seed}");
        assert_eq!(
            ended.offered,
            ended.served() + ended.refused_at_once + waited_in_vain
        );
        assert_eq!(ended.left, 0, "seed {seed}: the queue drains");
        // At most 6.65 s of work wait when the burst ends after 15 s, and 40% of the capacity are
        // left for it.
        let emptied_at = ended.emptied_at.expect("the queue drains");
        assert!(emptied_at < Duration::from_secs(32), "{emptied_at:?}");
    }
}

// Guards against a queue that serves fewer requests in time than the fixed bounds of the slot gate.
#[test]
fn burst_is_served_better_than_by_the_slot_gate() {
    for seed in 0..8 {
        let deadline_gate = Box::new(gate_with(SLOTS, 400));
        let deadline = GateSimulation::new(deadline_gate, seed).run(&BURST);
        let slot = GateSimulation::new(Box::new(slot_gate()), seed).run(&BURST);
        assert_eq!(deadline.offered, slot.offered);
        assert!(
            deadline.served_in_time > slot.served_in_time,
            "seed {seed}: {} of {} against {}",
            deadline.served_in_time,
            deadline.offered,
            slot.served_in_time
        );
    }
}

// Guards against an overload that lasts a minute and in which the queue stands: everything accepted
// would then wait until just after its objective.
#[test]
fn standing_queue_serves_at_capacity_and_in_time() {
    let load = [
        LoadPhase::new(Duration::from_secs(5), 0.6),
        LoadPhase::new(Duration::from_mins(1), 1.5),
    ];
    for seed in 0..4 {
        let gate = Box::new(gate_with(SLOTS, 400));
        let ended = GateSimulation::new(gate, seed).run(&load);
        assert!(
            ended.refused_after_waiting * 500 <= ended.offered,
            "seed {seed}: {ended:?}"
        );
        let served = ended.served_in_time;
        let capacity = 65.0 * f64::from(SLOTS) / simulation::MEAN_RUN_TIME.as_secs_f64();
        let share = f64::from(served) / capacity;
        assert!(share > 0.9, "seed {seed}: {served} in time, {share:.3}");
        assert_eq!(ended.accepted_in_time_but_served_late, 0, "seed {seed}");
        assert_eq!(ended.accepted_in_time_but_refused, 0, "seed {seed}");
    }
}

// Guards against work that is queued although neither its objective nor its deadline can be met.
#[test]
fn offer_that_can_be_served_in_time_or_late_waits_and_any_other_is_refused() {
    let mut gate = gate_with(2, 400);
    let start = 10_000;
    for work in 0..2 {
        let decision = offer(&mut gate, start, work, class(0, 60_000, 60_000));
        assert_eq!(decision, GateDecision::Run);
    }
    let class = |objective, deadline| class(0, start + objective, start + deadline);
    // Two runs of 1 s at two slots take 1 s, and 1.5 s are allowed for the run itself.
    let decision = offer(&mut gate, start, 10, class(2_600, 9_000));
    assert_eq!(decision, GateDecision::Queued);
    let place = gate.offered_place().expect("it waits");
    assert_eq!((place.position, place.in_time), (0, true));
    assert_eq!(place.expected_wait, Some(at(1_000)));
    // Three runs take 1.5 s, and 6 s at the quarter of the slots that work in time leaves.
    let decision = offer(&mut gate, start, 11, class(1_000, 7_400));
    assert!(is_refused(decision));
    let decision = offer(&mut gate, start, 12, class(1_000, 7_500));
    assert_eq!(decision, GateDecision::Queued);
    let place = gate.offered_place().expect("it waits");
    assert_eq!((place.position, place.in_time), (1, false));
    assert_eq!(place.expected_wait, Some(at(6_000)));
    assert_eq!(
        gate.queue_count(at(start)),
        QueueCount {
            in_time: 1,
            late: 1
        }
    );
    // With the next one, work in time takes all slots, and late work would never start.
    let decision = offer(&mut gate, start, 13, class(2_600, 30_000));
    assert_eq!(decision, GateDecision::Queued);
    let decision = offer(&mut gate, start, 14, class(1_000, 30_000));
    assert!(is_refused(decision));
    let place = gate.offered_place().expect("its place was estimated");
    assert_eq!((place.expected_wait, place.in_time), (None, false));
}

// Guards against accepted work that loses its objective to offers with shorter objectives.
#[test]
fn offer_does_not_displace_the_objective_of_accepted_work() {
    let mut gate = gate_with(1, 400);
    fill_slots(&mut gate, 1);
    assert_eq!(
        offer(&mut gate, 0, 10, class(0, 2_700, 9_000)),
        GateDecision::Queued
    );
    let decision = offer(&mut gate, 0, 11, class(0, 2_600, 4_000));
    assert!(is_refused(decision), "{decision:?}");
    let decision = offer(&mut gate, 0, 12, class(5, 2_600, 4_000));
    assert_eq!(
        decision,
        GateDecision::Queued,
        "a higher priority goes first"
    );
}

// Guards against an order in which late work delays work that can be in time.
#[test]
fn work_starts_in_time_first_then_by_priority_and_latest_start() {
    let mut gate = gate_with(1, 400);
    fill_slots(&mut gate, 1);
    let offers = [
        (11, class(9, 1_000, 40_000)),
        (10, class(0, 30_000, 30_000)),
        (12, class(0, 20_000, 30_000)),
        (13, class(5, 30_000, 30_000)),
    ];
    for (work, class) in offers {
        let decision = offer(&mut gate, 0, work, class);
        assert_eq!(decision, GateDecision::Queued, "{work}");
    }
    let mut started = vec![0];
    for step in 1..=4 {
        let mut out = Vec::new();
        let running = *started.last().expect("one runs");
        gate.finished(at(step * 1_000), WorkId(running), &mut out);
        for command in out {
            let GateCommand::Start { work } = command else {
                panic!("{command:?}");
            };
            started.push(work.0);
        }
    }
    assert_eq!(started, [0, 13, 12, 10, 11]);
}

// Guards against a queue without bound, and against a full queue that keeps the least urgent work.
#[test]
fn full_queue_removes_its_last_entry_for_an_offer_that_sorts_before_it() {
    let mut gate = gate_with(1, 2);
    fill_slots(&mut gate, 1);
    offer(&mut gate, 0, 10, class(0, 20_000, 20_000));
    offer(&mut gate, 0, 11, class(0, 30_000, 30_000));
    assert!(is_refused(offer(
        &mut gate,
        0,
        12,
        class(0, 40_000, 40_000)
    )));
    let mut out = Vec::new();
    let decision = gate.offer(at(0), WorkId(13), class(0, 25_000, 25_000), &mut out);
    assert_eq!(decision, GateDecision::Queued);
    let [GateCommand::Refuse { work, code, .. }] = out[..] else {
        panic!("commanded {out:?}");
    };
    assert_eq!((work, code), (WorkId(11), RefusalCode::Overloaded));
    assert_eq!(
        gate.take_queue_events(),
        [QueueEvent::Displaced(WorkId(11))]
    );
    assert_eq!(gate.load(at(0)).queued, 2);
}

// Guards against queued work that keeps its place in time after it lost its objective, and against
// work that is held until its deadline although it can no longer run by then.
#[test]
fn queued_work_becomes_late_and_is_refused_at_its_latest_start() {
    let mut gate = gate_with(1, 400);
    fill_slots(&mut gate, 1);
    offer(&mut gate, 0, 10, class(0, 4_000, 8_000));
    let mut out = Vec::new();
    gate.tick(at(2_500), &mut out);
    assert_eq!(gate.take_queue_events(), []);
    gate.tick(at(2_501), &mut out);
    assert_eq!(
        gate.take_queue_events(),
        [QueueEvent::BecameLate(WorkId(10))]
    );
    assert_eq!(
        gate.queue_count(at(2_501)),
        QueueCount {
            in_time: 0,
            late: 1
        }
    );
    gate.tick(at(6_500), &mut out);
    assert_eq!(out, []);
    gate.tick(at(6_501), &mut out);
    assert_eq!(gate.take_queue_events(), [QueueEvent::Expired(WorkId(10))]);
    let [GateCommand::Refuse { work, code, .. }] = out[..] else {
        panic!("commanded {out:?}");
    };
    assert_eq!((work, code), (WorkId(10), RefusalCode::Overloaded));
}

// Guards against an assumed run time of 50 ms where runs take a second: too much is accepted, and it
// must be refused by its latest start, and the estimate must follow the first runs.
#[test]
fn wrong_estimate_refuses_at_the_latest_start_and_is_corrected() {
    let load = [LoadPhase::new(Duration::from_secs(20), 2.0)];
    for seed in 0..4 {
        let gate = DeadlineGate::builder(at(0))
            .slots(SLOTS)
            .first_service_time(at(50))
            .warm_up(Duration::ZERO)
            .build();
        let ended = GateSimulation::new(Box::new(gate), seed).run(&load);
        assert_eq!(ended.started_after_latest_start, 0, "seed {seed}");
        assert_eq!(ended.served_after_deadline, 0, "seed {seed}");
        assert_eq!(ended.left, 0, "seed {seed}");
        let late = ended.last_in_time_late;
        assert!(
            late < Duration::from_secs(12),
            "seed {seed}: late until {late:?}"
        );
    }
}

// Guards against a gate that shuts itself because of an estimate that is far too high.
#[test]
fn free_slot_always_runs() {
    let mut gate = gate_with(2, 400);
    fill_slots(&mut gate, 1);
    let mut out = Vec::new();
    gate.finished(at(100_000), WorkId(0), &mut out);
    let decision = offer(&mut gate, 100_000, 1, class(0, 100_010, 100_020));
    assert_eq!(decision, GateDecision::Run);
    let decision = offer(&mut gate, 100_000, 2, class(0, 100_000, 100_001));
    assert_eq!(decision, GateDecision::Run);
    assert!(is_refused(offer(
        &mut gate,
        100_000,
        3,
        class(0, 100_010, 100_020)
    )));
}

// Guards against lost admission rules of the slot gate: closing, cancellation, doubled ids, rate
// limits and warm-up.
#[test]
fn closing_cancellation_limits_and_warm_up_work_as_in_the_slot_gate() {
    let mut gate = gate_with(1, 400);
    fill_slots(&mut gate, 1);
    offer(&mut gate, 0, 10, class(0, 9_000, 9_000));
    let code = RefusalCode::Overloaded;
    let doubled = GateDecision::Refused {
        code,
        retry_after: None,
    };
    assert_eq!(offer(&mut gate, 0, 10, class(0, 9_000, 9_000)), doubled);
    assert!(gate.cancel(at(1), WorkId(10)));
    assert!(!gate.cancel(at(1), WorkId(10)));
    assert!(!gate.cancel(at(1), WorkId(0)), "it runs");
    gate.close();
    let code = RefusalCode::Draining;
    let closed = GateDecision::Refused {
        code,
        retry_after: None,
    };
    assert_eq!(offer(&mut gate, 2, 11, class(0, 9_000, 9_000)), closed);
    gate.released(at(3), WorkId(0), &mut Vec::new());
    assert!(gate.is_idle());

    let mut limited = gate_with(2, 400);
    limited.set_rate_limit(at(0), Some(2.0));
    assert!(is_refused(offer(
        &mut limited,
        0,
        1,
        class(0, 9_000, 9_000)
    )));
    assert_eq!(
        offer(&mut limited, 500, 2, class(0, 9_000, 9_000)),
        GateDecision::Run
    );

    let warming = DeadlineGate::builder(at(0))
        .slots(5)
        .warm_up(at(4_000))
        .build();
    let open: Vec<u32> = (0..=4).map(|s| warming.load(at(s * 1_000)).slots).collect();
    assert_eq!(open, [1, 2, 3, 4, 5]);
}

// Guards against a gate that forgets running work when it replaces another: its slots would be given
// to more work than the backend server has slots for.
#[test]
fn replacing_gate_counts_running_work_that_it_adopts() {
    let mut gate = gate_with(2, 400);
    for work in [1, 2, 3] {
        gate.adopt_running(WorkId(work), class(0, 9_000, 9_000), at(0));
    }
    assert_eq!(gate.running_work(), [WorkId(1), WorkId(2), WorkId(3)]);
    offer(&mut gate, 100, 10, class(0, 9_000, 9_000));
    let mut out = Vec::new();
    gate.finished(at(1_000), WorkId(1), &mut out);
    assert_eq!(out, [], "two still run at two slots");
    gate.finished(at(1_000), WorkId(2), &mut out);
    assert_eq!(out, [GateCommand::Start { work: WorkId(10) }]);
}

// Guards against means that kinds of very different run times share.
#[test]
fn run_times_are_learned_by_kind() {
    let mut gate = gate_with(1, 400);
    let of_kind = |kind, objective| WorkClass {
        kind,
        ..class(0, objective, objective)
    };
    for round in 0..40 {
        let start = round * 10_000;
        offer(&mut gate, start, round * 2, of_kind(1, start + 9_000));
        gate.finished(at(start + 100), WorkId(round * 2), &mut Vec::new());
        offer(
            &mut gate,
            start + 100,
            round * 2 + 1,
            of_kind(2, start + 9_000),
        );
        gate.finished(at(start + 3_100), WorkId(round * 2 + 1), &mut Vec::new());
    }
    let now = 400_000;
    offer(&mut gate, now, 1_000, of_kind(2, now + 9_000));
    offer(&mut gate, now, 1_001, of_kind(1, now + 9_000));
    offer(&mut gate, now, 1_002, of_kind(1, now + 9_500));
    let place = gate.offered_place().expect("it waits");
    assert_eq!((place.position, place.expected_wait), (1, Some(at(3_100))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against work that is lost, refused twice, refused after its start or started twice,
    // whatever the order of offers, ends, cancellations and ticks, and against more runs than slots.
    #[test]
    fn no_work_is_lost_doubled_or_started_twice(seed in any::<u64>()) {
        check_random_session(seed);
    }
}

fn check_random_session(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let slots = random.random_range(1..6);
    let mut gate = gate_with(slots, random.random_range(1..12));
    let mut now = Duration::ZERO;
    let (mut queued, mut running) = (BTreeSet::new(), BTreeSet::new());
    let mut ended: BTreeMap<WorkId, &str> = BTreeMap::new();
    for number in 0..200 {
        now += Duration::from_millis(random.random_range(0..400));
        let mut out = Vec::new();
        match random.random_range(0..10) {
            0..=5 => {
                let work = WorkId(number);
                let objective = now + at(random.random_range(0..6_000));
                let class = WorkClass {
                    kind: random.random_range(0..80),
                    objective: random.random_bool(0.8).then_some(objective),
                    ..class(random.random_range(0..3), 0, 0)
                };
                let deadline = now + at(random.random_range(1..9_000));
                let class = WorkClass { deadline, ..class };
                match gate.offer(now, work, class, &mut out) {
                    GateDecision::Run => assert!(running.insert(work)),
                    GateDecision::Queued => assert!(queued.insert(work)),
                    GateDecision::Refused { .. } => assert_eq!(ended.insert(work, "refused"), None),
                }
            }
            6 | 7 => {
                if let Some(work) = running.pop_first() {
                    ended.insert(work, "ran");
                    if random.random_bool(0.8) {
                        gate.finished(now, work, &mut out);
                    } else {
                        gate.released(now, work, &mut out);
                    }
                }
            }
            8 => {
                if let Some(work) = queued.pop_first() {
                    assert!(gate.cancel(now, work));
                    ended.insert(work, "cancelled");
                }
            }
            _ => gate.tick(now, &mut out),
        }
        for command in out {
            match command {
                GateCommand::Start { work } => {
                    assert!(queued.remove(&work), "{work:?} was not queued");
                    assert!(running.insert(work));
                }
                GateCommand::Refuse { work, .. } => {
                    assert!(queued.remove(&work), "{work:?} was not queued");
                    assert_eq!(ended.insert(work, "refused"), None);
                }
            }
        }
        assert!(running.len() <= slots as usize);
        assert_eq!(gate.load(now).queued as usize, queued.len());
        let held: BTreeSet<WorkId> = gate.running_work().into_iter().collect();
        assert_eq!(held, running);
    }
    let mut out = Vec::new();
    gate.tick(now + Duration::from_mins(1), &mut out);
    let refused = out
        .iter()
        .filter(|c| matches!(c, GateCommand::Refuse { .. }));
    assert_eq!(
        refused.count(),
        queued.len(),
        "all that waits is refused in the end"
    );
}
