//! Order, bound, release and expiry of the caller queue, and the pace of its releases.

use std::time::Duration;

use sycamorelink_core::{RequestId, ServiceName};
use sycamorelink_limits::{
    CallerQueue, JoinDecision, ReleasePace, WaitEntry, WaitReason, WaitTerms,
};

const RUN_TIME: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn orders() -> ServiceName {
    ServiceName::new("orders")
}

/// Returns the terms of a request that misses its objective at 4 s.
fn terms(priority: u8, deadline: u64) -> WaitTerms {
    WaitTerms::new(orders(), WaitReason::Declining, at(deadline))
        .objective(Some(at(4_000)))
        .run_time(RUN_TIME)
        .priority(priority)
}

fn ids(entries: &[WaitEntry]) -> Vec<u128> {
    entries.iter().map(|entry| entry.request.0).collect()
}

fn join(queue: &mut CallerQueue, id: u128, terms: WaitTerms) -> JoinDecision {
    queue.join(at(0), at(0), RequestId(id), terms)
}

fn release_all(queue: &mut CallerQueue, now: Duration) -> Vec<u128> {
    ids(&queue.release(now, &orders(), 10, |_| true))
}

// Guards against releasing requests in the order of their arrival while some callers have less time
// left or a higher priority.
#[test]
fn higher_priority_and_then_less_time_left_go_first() {
    let mut queue = CallerQueue::new(10);
    let early = terms(5, 8_000).objective(Some(at(3_000)));
    join(&mut queue, 1, terms(5, 8_000));
    join(&mut queue, 2, early);
    let decision = join(&mut queue, 3, terms(9, 12_000));
    assert_eq!(
        decision,
        JoinDecision::Waits {
            place: 0,
            removed: None
        }
    );
    join(&mut queue, 4, terms(1, 5_000));
    assert_eq!(release_all(&mut queue, at(0)), [3, 2, 1, 4]);
}

// Guards against requests that already missed their objective, and are worth little to their
// callers, delaying those that can still meet it.
#[test]
fn request_that_misses_its_objective_moves_behind_all_in_time() {
    let mut queue = CallerQueue::new(10);
    join(&mut queue, 1, terms(9, 8_000).objective(Some(at(2_000))));
    join(&mut queue, 2, terms(1, 12_000));
    assert_eq!(release_all(&mut queue.clone(), at(900)), [1, 2]);
    assert_eq!(release_all(&mut queue, at(1_100)), [2, 1]);
}

// Guards against late requests with different deadlines being ordered by the objective that they
// have missed.
#[test]
fn late_requests_are_ordered_by_their_deadline() {
    let mut queue = CallerQueue::new(10);
    join(&mut queue, 1, terms(5, 12_000).objective(Some(at(1_000))));
    join(&mut queue, 2, terms(5, 8_000));
    assert_eq!(release_all(&mut queue, at(5_000)), [2, 1]);
}

// Guards against a flood of waiting requests: the queue stays within its limit, and a request that
// goes before the last one takes its place.
#[test]
fn last_request_leaves_a_full_queue_only_for_one_before_it() {
    let mut queue = CallerQueue::new(2);
    join(&mut queue, 1, terms(5, 8_000));
    join(&mut queue, 2, terms(3, 8_000));
    assert_eq!(join(&mut queue, 3, terms(2, 8_000)), JoinDecision::Full);
    let JoinDecision::Waits { place, removed } = join(&mut queue, 4, terms(4, 8_000)) else {
        panic!("request 4 does not wait");
    };
    assert_eq!(place, 1);
    assert_eq!(removed.map(|entry| entry.request), Some(RequestId(2)));
    assert_eq!(queue.len(), 2);
}

// Guards against holding a request beyond the time in which it can be served.
#[test]
fn request_expires_when_no_run_can_start_in_time() {
    let mut queue = CallerQueue::new(10);
    join(&mut queue, 1, terms(5, 8_000));
    join(&mut queue, 2, terms(5, 12_000));
    assert!(queue.expire(at(7_000)).is_empty());
    assert_eq!(ids(&queue.expire(at(7_001))), [1]);
    let late = queue.join(at(7_000), at(7_100), RequestId(3), terms(5, 8_000));
    assert_eq!(late, JoinDecision::TooLate);
    assert_eq!(queue.len(), 1);
}

// Guards against releasing requests of another service, or requests whose reason to wait persists.
#[test]
fn only_requests_of_the_service_and_the_released_reasons_leave() {
    let mut queue = CallerQueue::new(10);
    let archive = WaitTerms::new(
        ServiceName::new("archive"),
        WaitReason::NoRepeats,
        at(8_000),
    );
    let spent = WaitTerms::new(orders(), WaitReason::NoRepeats, at(8_000));
    join(&mut queue, 1, terms(9, 8_000));
    join(&mut queue, 2, archive);
    join(&mut queue, 3, spent);
    let released = queue.release(at(100), &orders(), 10, |entry| {
        entry.terms.reason() == WaitReason::NoRepeats
    });
    assert_eq!(ids(&released), [3]);
    assert_eq!(queue.count(WaitReason::Declining), 1);
    assert_eq!(queue.services().len(), 2);
    assert!(queue.leave(RequestId(1)).is_some());
    assert!(queue.leave(RequestId(1)).is_none());
}

// Guards against holding a request until it has missed its objective while it could be tried.
#[test]
fn request_is_nearly_late_before_its_latest_start_in_time() {
    let lead = Duration::from_secs(2);
    let terms = terms(5, 8_000);
    assert!(!terms.is_nearly_late(at(1_000), lead));
    assert!(terms.is_nearly_late(at(1_001), lead));
    assert!(terms.is_nearly_late(at(3_000), lead));
    assert!(!terms.is_nearly_late(at(3_001), lead));
    assert!(!terms.objective(None).is_nearly_late(at(2_000), lead));
}

// Guards against releasing all waiting requests at once to servers that have no repeats left.
#[test]
fn releases_grow_from_one_and_return_to_one_after_a_refusal() {
    let mut pace = ReleasePace::default();
    let mut allowances = Vec::new();
    for tick in 0..6 {
        allowances.push(pace.allowance(at(tick * 100)));
        pace.released(at(tick * 100));
    }
    assert_eq!(allowances, [1, 2, 4, 8, 16, 16]);
    pace.refused(at(520));
    assert_eq!(pace.allowance(at(600)), 0);
    assert_eq!(pace.allowance(at(720)), 1);
}

// Guards against hundreds of nodes that each ask three servers ten times a second for repeats while
// none has any left.
#[test]
fn refused_trials_become_rarer() {
    let mut pace = ReleasePace::default();
    let mut trials = Vec::new();
    for tick in 0..40 {
        let now = at(tick * 100);
        if pace.allowance(now) > 0 {
            trials.push(tick);
            pace.released(now);
            pace.refused(now);
        }
    }
    assert_eq!(trials, [0, 2, 6, 14, 22, 30, 38]);
}
