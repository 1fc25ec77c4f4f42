//! Tests for the share of requests that goes to other failure domains.

use std::collections::VecDeque;
use std::time::Duration;

use sycamorelink_core::{DomainName, NodeId, NodeIncarnation, UpstreamId};
use sycamorelink_policy::{
    CapacityRecord, CapacityTable, DomainWaits, PoolSettings, ServicePool, SoonestTerms,
    SpilloverShare, UpstreamFacts, UpstreamPhase,
};

/// Number of failure domains.
const DOMAINS: usize = 4;
/// Period of the demand in seconds.
const PERIOD: f64 = 13.0;
/// Relative amplitude of the demand.
const AMPLITUDE: f64 = 0.55;
/// Mean demand relative to the capacity of a domain.
const LOAD: f64 = 0.9;
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Age of the reports about other domains, in steps.
const REPORT_STEPS: usize = 10;
const OBJECTIVE: Duration = Duration::from_secs(4);
const CROSSING: Duration = Duration::from_millis(160);

/// Result of a simulated minute.
struct SpilloverRun {
    /// Greatest expected wait in any domain, in seconds.
    greatest_wait: f64,
    /// Mean share of the demand that crossed.
    crossed: f64,
    /// Number of times per period and domain that the share turned from rising to falling.
    turns: f64,
}

/// Simulates four domains with fluid queues whose demand swings a quarter of the period apart.
fn simulate(spills: bool) -> SpilloverRun {
    let steps = 1_200;
    let step = STEP.as_secs_f64();
    let mut waits = [0.0_f64; DOMAINS];
    let mut reports: VecDeque<[f64; DOMAINS]> = VecDeque::new();
    let mut shares = [SpilloverShare::default(); DOMAINS];
    let mut run = SpilloverRun {
        greatest_wait: 0.0,
        crossed: 0.0,
        turns: 0.0,
    };
    let mut last = [(0.0_f64, false); DOMAINS];
    for number in 0..steps {
        let now = STEP * number;
        reports.push_back(waits);
        let old = reports[reports.len().saturating_sub(REPORT_STEPS + 1)];
        let mut inflow = [0.0_f64; DOMAINS];
        for domain in 0..DOMAINS {
            let phase =
                now.as_secs_f64() / PERIOD - f64::from(u32::try_from(domain).unwrap()) / 4.0;
            let demand = LOAD * (1.0 + AMPLITUDE * (phase * std::f64::consts::TAU).sin());
            let others = (0..DOMAINS).filter(|other| *other != domain);
            let soonest = others.min_by(|left, right| old[*left].total_cmp(&old[*right]));
            let soonest = soonest.expect("several domains");
            let share = &mut shares[domain];
            if spills {
                let domain_waits = DomainWaits {
                    near: Duration::from_secs_f64(waits[domain]),
                    far: Duration::from_secs_f64(old[soonest]),
                };
                share.update(now, domain_waits, CROSSING, OBJECTIVE);
            }
            let crossing = demand * share.share();
            inflow[domain] += demand - crossing;
            inflow[soonest] += crossing;
            run.crossed += crossing / demand / f64::from(steps) / 4.0;
            let (value, rising) = last[domain];
            let now_rising = share.share() > value + 0.001;
            let now_falling = share.share() < value - 0.001;
            run.turns += f64::from(u8::from(rising && now_falling));
            last[domain] = (share.share(), now_rising || (rising && !now_falling));
        }
        for (wait, inflow) in waits.iter_mut().zip(inflow) {
            *wait = (*wait + (inflow - 1.0) * step).max(0.0);
            run.greatest_wait = run.greatest_wait.max(*wait);
        }
    }
    let periods = step * f64::from(steps) / PERIOD;
    run.turns /= periods * 4.0;
    run
}

// Guards against waits beyond the objective in the domain with the most demand while others have free
// capacity: demand of ±55% with a period of 13 s, four domains a quarter of it apart.
#[test]
fn uneven_demand_is_shared_without_oscillation() {
    let without = simulate(false);
    let with = simulate(true);
    let objective = OBJECTIVE.as_secs_f64();
    assert!(
        with.greatest_wait < without.greatest_wait / 2.0,
        "{} s",
        with.greatest_wait
    );
    assert!(
        with.greatest_wait < objective / 4.0,
        "{} s",
        with.greatest_wait
    );
    // A share that follows the demand turns once in a period; oscillation would turn it more often.
    assert!(with.turns <= 1.5, "{} turns in a period", with.turns);
    assert!(
        with.crossed < 0.25,
        "{} of the requests crossed",
        with.crossed
    );
}

// Guards against crossing for a difference that does not pay for it.
#[test]
fn small_differences_do_not_cross() {
    let mut share = SpilloverShare::default();
    let waits = DomainWaits {
        near: Duration::from_millis(150),
        far: Duration::ZERO,
    };
    for second in 0..10 {
        share.update(Duration::from_secs(second), waits, CROSSING, OBJECTIVE);
    }
    assert!(share.share() <= 0.0);
    assert!(!share.crosses(0.0, 0.0));
}

// Guards against large replies that use up the links between domains while small ones could cross.
#[test]
fn large_replies_cross_last() {
    let mut share = SpilloverShare::default();
    let waits = DomainWaits {
        near: Duration::from_millis(600),
        far: Duration::ZERO,
    };
    for second in 0..20 {
        share.update(Duration::from_secs(second), waits, CROSSING, OBJECTIVE);
    }
    assert!(share.crosses(0.3, 0.0));
    assert!(!share.crosses(0.0, 1.0));
}

/// Servers of each of the two failure domains.
const SERVERS: u64 = 6;
const KIND: u64 = 1;

fn upstream(number: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(number),
        slot: 0,
    }
}

/// Reports the waits of all servers; those with the lower numbers are in the caller's domain.
fn report(table: &mut CapacityTable, now: Duration, sequence: u32, near_wait_ms: u32) {
    for number in 0..SERVERS * 2 {
        let expected_wait_ms = if number < SERVERS { near_wait_ms } else { 0 };
        let is_full = expected_wait_ms > 0;
        let record = CapacityRecord {
            id: upstream(number),
            incarnation: NodeIncarnation(1),
            sequence,
            in_use: if is_full { 15 } else { 5 },
            limit: 15,
            queued: if is_full { 20 } else { 0 },
            expected_wait_ms,
            mean_run_ms: 900,
            failing: 0,
            repeats: 1,
            relative_run: 0,
            age_ms: 0,
        };
        table.merge(now, record).expect("a valid record");
    }
}

/// Selects for two seconds and returns the share of requests that went to the other domain in the
/// second one.
fn share_of_far(
    pool: &mut ServicePool,
    table: &mut CapacityTable,
    start: Duration,
    near_wait_ms: u32,
) -> f64 {
    let terms = SoonestTerms {
        kind: KIND,
        objective_left: OBJECTIVE,
        is_repeat: false,
    };
    let mut far = 0;
    for step in 0..400_u32 {
        let now = start + Duration::from_millis(5) * step;
        if step % 50 == 0 {
            let sequence = u32::try_from(now.as_millis()).expect("a few seconds");
            report(table, now, sequence, near_wait_ms);
        }
        let picked = pool
            .pick_soonest(now, table, &[], &terms)
            .expect("a server");
        far += u32::from(step >= 200 && picked.node.0 >= SERVERS);
    }
    f64::from(far) / 200.0
}

/// Returns a pool with servers in two failure domains, which prefers the near one.
fn pool_of_two_domains() -> ServicePool {
    let mut pool = ServicePool::new(PoolSettings::default(), 3);
    for number in 0..SERVERS * 2 {
        let facts = UpstreamFacts {
            slots: 15,
            domain: DomainName::new(if number < SERVERS { "near" } else { "far" }),
            phase: UpstreamPhase::Ready,
        };
        pool.upsert(Duration::ZERO, upstream(number), &facts);
    }
    pool.prefer_domain(DomainName::new("near"));
    pool.spill_over(true);
    pool
}

// Guards against requests that leave their failure domain for nothing, and against callers that wait
// behind a full domain while another one has free slots.
#[test]
fn selection_follows_the_waits_of_the_domains() {
    let mut pool = pool_of_two_domains();
    let mut table = CapacityTable::new(NodeId(100));
    let even = share_of_far(&mut pool, &mut table, Duration::from_secs(10), 0);
    assert!(even <= 0.0, "{even} of the requests crossed at even waits");
    let uneven = share_of_far(&mut pool, &mut table, Duration::from_secs(12), 760);
    assert!((0.45..0.75).contains(&uneven), "{uneven} crossed");
    let after = share_of_far(&mut pool, &mut table, Duration::from_secs(14), 0);
    assert!(after < 0.05, "{after} crossed after the load had gone");
}

// Guards against a service whose only kind of work counts as the one with the largest replies, so that
// none of its requests cross until the waits differ by much more than the cost of crossing.
#[test]
fn only_kind_of_work_crosses_like_one_with_small_replies() {
    let mut pool = pool_of_two_domains();
    pool.learn_reply_size(KIND, 200);
    let mut table = CapacityTable::new(NodeId(100));
    let uneven = share_of_far(&mut pool, &mut table, Duration::from_secs(10), 760);
    assert!((0.45..0.75).contains(&uneven), "{uneven} crossed");
}
