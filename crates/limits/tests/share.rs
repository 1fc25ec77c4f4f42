//! Tests for fleet-wide limits from the callers' point of view.

mod fleet;

use std::time::Duration;

use fleet::{CUSTOMER, NORMAL_SPEED, STEP, ShareFleet};
use sycamorelink_limits::{Admission, CustomerLimit, ShareEvent, ShareSettings};

const RATE_MILLIS: u32 = 100_000;
const CONCURRENCY: u32 = 50;
const DOMAINS: usize = 4;

fn started_fleet(count: usize, rate_millis: u32, concurrency: u32) -> ShareFleet {
    let mut fleet = ShareFleet::empty(ShareSettings::default(), rate_millis, concurrency);
    for number in 0..count {
        fleet.join(number, 1, number % DOMAINS, NORMAL_SPEED);
    }
    fleet.settle();
    fleet
}

/// Sends `per_second` short requests per second to each of the nodes and returns how many were
/// admitted.
fn send_requests(
    fleet: &mut ShareFleet,
    nodes: &[usize],
    per_second: u32,
    length: Duration,
) -> u32 {
    let end = fleet.now + length;
    let mut admitted = 0;
    let mut owed = 0;
    while fleet.now < end {
        owed += per_second * u32::try_from(STEP.as_millis()).expect("short");
        while owed >= 1000 {
            owed -= 1000;
            for number in nodes {
                if fleet.request(*number) {
                    admitted += 1;
                    fleet.finish(*number);
                }
            }
        }
        fleet.step();
    }
    admitted
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

// Guards against a fleet of one that waits for leases of others to expire. The single node is its
// own keeper and admits the request at the second step.
#[test]
fn single_node_admits_after_one_step() {
    let mut fleet = started_fleet(1, RATE_MILLIS, CONCURRENCY);
    fleet.step();
    let now = fleet.clock(0);
    assert!(matches!(
        fleet.nodes[0].share.admit(now, CUSTOMER),
        Admission::Wait { .. }
    ));
    fleet.step();
    let now = fleet.clock(0);
    let admission = fleet.nodes[0].share.admit_again(now, CUSTOMER);
    assert_eq!(admission, Admission::Admitted);
}

// Guards against shares that stay at nodes without callers. One of seventeen daemons gets all
// requests of a customer and can use nearly the whole contract; when the callers move, the share
// follows.
#[test]
fn share_follows_the_callers() {
    let mut fleet = started_fleet(17, RATE_MILLIS, CONCURRENCY);
    send_requests(&mut fleet, &[3], 90, seconds(5));
    let first = send_requests(&mut fleet, &[3], 90, seconds(10));
    assert!(first >= 890, "admitted {first} of 900");
    send_requests(&mut fleet, &[9], 90, seconds(20));
    let moved = send_requests(&mut fleet, &[9], 90, seconds(10));
    assert!(moved >= 890, "admitted {moved} of 900");
}

// Guards against losing the share of a holder that has failed. When its leases have expired,
// callers of another daemon get the share.
#[test]
fn share_of_a_lost_holder_is_reused() {
    let mut fleet = started_fleet(17, RATE_MILLIS, CONCURRENCY);
    send_requests(&mut fleet, &[3], 90, seconds(10));
    fleet.nodes[3].paused = true;
    send_requests(&mut fleet, &[9], 80, seconds(30));
    let admitted = send_requests(&mut fleet, &[9], 80, seconds(10));
    assert!(admitted >= 720, "admitted {admitted} of 800");
}

// Guards against losing the share during a rolling replacement of all daemons.
#[test]
fn share_survives_replacement_of_all_daemons() {
    let mut fleet = started_fleet(4, RATE_MILLIS, CONCURRENCY);
    for number in 0..4 {
        fleet.join(4 + number, 1, number % DOMAINS, NORMAL_SPEED);
        fleet.settle();
        fleet.stop(number);
        fleet.settle();
        send_requests(&mut fleet, &[4 + number], 80, seconds(5));
        let admitted = send_requests(&mut fleet, &[4 + number], 80, seconds(5));
        assert!(admitted >= 390, "admitted {admitted} of 400");
    }
}

// Guards against a partitioned daemon that still uses its share after its removal from the roster.
// Its rights end before it is removed.
#[test]
fn removed_daemon_uses_nothing() {
    let mut fleet = started_fleet(4, RATE_MILLIS, CONCURRENCY);
    send_requests(&mut fleet, &[0, 1], 30, seconds(5));
    fleet.nodes[0].reads_log = false;
    fleet.partitioned_links = (1..4).flat_map(|other| [(0, other), (other, 0)]).collect();
    send_requests(&mut fleet, &[1], 30, seconds(5));
    let silent = fleet.settings.removal_wait();
    let end = fleet.now + silent;
    while fleet.now < end {
        fleet.now += seconds(1);
        fleet.step();
    }
    let now = fleet.clock(0);
    assert!(!fleet.nodes[0].share.is_active(now));
    fleet.nodes[0].share.admit(now, CUSTOMER);
    assert_eq!(fleet.nodes[0].share.share().rate(now, CUSTOMER), 0);
    fleet.remove_from_roster(0);
    for number in [1, 2, 3, 1, 2, 3] {
        fleet.adopt(number);
    }
    send_requests(&mut fleet, &[1], 80, seconds(5));
    let admitted = send_requests(&mut fleet, &[1], 80, seconds(5));
    assert!(admitted >= 390, "admitted {admitted} of 400");
}

// Guards against a paused holder that admits requests on a lease that expired during the pause.
#[test]
fn paused_holder_does_not_use_an_expired_lease() {
    let mut fleet = started_fleet(17, RATE_MILLIS, CONCURRENCY);
    send_requests(&mut fleet, &[3], 50, seconds(5));
    let now = fleet.clock(3);
    let share = fleet.nodes[3].share.share();
    let leased = share.rate(now, CUSTOMER);
    assert!(leased >= 50_000, "leased {leased}");
    fleet.nodes[3].paused = true;
    let long = fleet.settings.long_lease;
    send_requests(&mut fleet, &[9], 1, long);
    let now = fleet.clock(3);
    fleet.nodes[3].share.admit(now, CUSTOMER);
    let left = fleet.nodes[3].share.share().rate(now, CUSTOMER);
    let base = u64::from(RATE_MILLIS) * 5 / 100 / 17;
    assert_eq!(left, base);
}

// Guards against stale leases when the monotonic clock stops during a pause. After the daemon
// detects that the wall clock has advanced, it drops its lease, and its base share too until it has
// read the log.
#[test]
fn pause_not_shown_by_the_clock_drops_leases() {
    let mut fleet = started_fleet(17, RATE_MILLIS, CONCURRENCY);
    send_requests(&mut fleet, &[3], 50, seconds(5));
    fleet.deliver(3, ShareEvent::Resumed);
    let now = fleet.clock(3);
    assert_eq!(fleet.nodes[3].share.share().rate(now, CUSTOMER), 0);
    send_requests(&mut fleet, &[3], 50, seconds(2));
    let admitted = send_requests(&mut fleet, &[3], 50, seconds(4));
    assert!(admitted >= 190, "admitted {admitted} of 200");
}

// Guards against leases that outlive an amendment. After the contract is reduced to a tenth, every
// holder keeps to the new limit immediately, before its lease is renewed.
#[test]
fn amended_contract_limits_existing_leases() {
    let mut fleet = started_fleet(17, RATE_MILLIS, CONCURRENCY);
    send_requests(&mut fleet, &[3, 4, 5], 25, seconds(10));
    let limit = CustomerLimit {
        rate_millis: RATE_MILLIS / 10,
        concurrency: CONCURRENCY / 10,
        ..fleet.limit.clone()
    };
    for number in 0..17 {
        let event = ShareEvent::Contract {
            index: CUSTOMER,
            limit: limit.clone(),
        };
        fleet.deliver(number, event);
    }
    let (rate, slots) = fleet.in_force();
    assert!(rate <= u64::from(RATE_MILLIS / 10), "rate {rate}");
    assert!(slots <= CONCURRENCY / 10, "slots {slots}");
}

// Guards against starvation when slots are scarce. Four daemons with callers share two slots, and
// each gets a slot in turn.
#[test]
fn scarce_slots_rotate_among_nodes() {
    let mut fleet = started_fleet(4, 1_000_000, 2);
    let mut admitted = [0; 4];
    let mut running = [false; 4];
    for step in 0..6000_u32 {
        for number in 0..4 {
            if running[number] && step % 5 == 0 {
                fleet.finish(number);
                running[number] = false;
            }
            if !running[number] && fleet.request(number) {
                running[number] = true;
                admitted[number] += 1;
            }
        }
        assert!(running.iter().filter(|running| **running).count() <= 2);
        fleet.step();
    }
    assert!(admitted.iter().all(|count| *count > 50), "{admitted:?}");
}

// Guards against a retry time that is too early. A caller that returns after `retry_after` gets a
// token.
#[test]
fn token_is_available_after_retry_after() {
    let mut fleet = started_fleet(1, 2_000, CONCURRENCY);
    send_requests(&mut fleet, &[0], 10, seconds(20));
    let now = fleet.clock(0);
    let share = &mut fleet.nodes[0].share;
    let hint = loop {
        match share.admit_again(now, CUSTOMER) {
            Admission::Admitted => share.finished(now, CUSTOMER),
            Admission::Refused { retry_after } => break retry_after,
            Admission::Wait { until } => panic!("told to wait until {until:?} again"),
        }
    };
    let admission = share.admit_again(now + hint, CUSTOMER);
    assert_eq!(admission, Admission::Admitted, "after {hint:?}");
}

// Guards against a joining keeper that leases units that others still use. It keeps nothing until
// all members have adopted the roster that lists it.
#[test]
fn joining_keeper_waits_until_all_adopt_the_roster() {
    let mut fleet = started_fleet(4, RATE_MILLIS, CONCURRENCY);
    fleet.join(4, 1, 0, NORMAL_SPEED);
    fleet.adopt(4);
    assert!(!fleet.nodes[4].share.is_active(fleet.clock(4)));
    fleet.settle();
    assert!(fleet.nodes[4].share.is_active(fleet.clock(4)));
}

// Guards against a holder that skips the roster in which a failure domain was missing. Its lease
// from the interim keeper must not stay in force beside leases of the domain's new keeper.
#[test]
fn skipped_roster_leaves_no_stale_lease() {
    let mut fleet = started_fleet(3, RATE_MILLIS, CONCURRENCY);
    fleet.stop(2);
    fleet.adopt(1);
    let long = fleet.settings.long_lease + seconds(10);
    send_requests(&mut fleet, &[0], 120, long);
    fleet.partitioned_links = [(0, 1), (1, 0)].into();
    fleet.join(3, 1, 2, NORMAL_SPEED);
    fleet.settle();
    for _ in 0..20 {
        send_requests(&mut fleet, &[0, 3], 120, seconds(1));
        let (rate, _) = fleet.in_force();
        assert!(rate <= u64::from(RATE_MILLIS), "rate {rate}");
    }
}
