//! Tests for the retry delays of refused callers.

use std::time::Duration;

use sycamorelink_limits::overload::{CallerNeed, ReturnAdvice, ReturnPacer, ServiceOutlook};

/// Daemons that refuse callers in the simulated overload.
const NODES: u32 = 76;
/// Runs per second that the service completes.
const RATE: f64 = 500.0;
/// Callers that each daemon refuses within one second.
const REFUSED: u32 = 6;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn outlook(backlog: u64) -> ServiceOutlook {
    ServiceOutlook {
        backlog: at(backlog),
        rate: RATE,
        refusing_nodes: NODES,
        run_time: at(1_000),
    }
}

fn need(objective: u64, deadline: u64) -> CallerNeed {
    CallerNeed {
        objective_left: Some(at(objective)),
        time_left: at(deadline),
    }
}

// Guards against a second burst: callers that all daemons refuse within one second must return at no
// more than the rate of the service in any second.
#[test]
fn refused_callers_return_at_the_rate_of_the_service() {
    let mut returns = Vec::new();
    for node in 0..NODES {
        let mut pacer = ReturnPacer::default();
        for number in 0..REFUSED {
            let now = at(u64::from(number) * 160 + u64::from(node));
            let ReturnAdvice::After(delay) = pacer.next(now, &outlook(2_000), need(8_000, 12_000))
            else {
                panic!("caller {number} of node {node} can be served in time");
            };
            returns.push(now + delay);
        }
    }
    let busiest = returns.iter().map(|start| {
        let second = *start..*start + Duration::from_secs(1);
        returns.iter().filter(|time| second.contains(time)).count()
    });
    let busiest = busiest.max().unwrap_or(0);
    // Each daemon may begin its own sequence within the second, hence one caller per daemon more.
    let allowed = 500 + NODES as usize;
    assert!(busiest <= allowed, "{busiest} callers return in a second");
}

// Guards against unfair retry times, at which a caller refused later returns earlier.
#[test]
fn callers_return_in_the_order_of_their_refusal() {
    let mut pacer = ReturnPacer::default();
    let mut last = Duration::ZERO;
    for (now, backlog) in [(0, 3_000), (100, 1_000), (200, 4_000), (300, 500)] {
        let advice = pacer.next(at(now), &outlook(backlog), need(8_000, 12_000));
        let ReturnAdvice::After(delay) = advice else {
            panic!("advised {advice:?}");
        };
        assert!(at(now) + delay > last);
        last = at(now) + delay;
    }
}

// Guards against a promise that cannot help: a retry that would end after the objective or after the
// deadline. Such callers must not use up the times of others either.
#[test]
fn callers_without_enough_time_get_no_promise() {
    let mut pacer = ReturnPacer::default();
    let late = pacer.next(at(0), &outlook(2_000), need(2_500, 12_000));
    assert_eq!(late, ReturnAdvice::Late(at(2_000)));
    assert_eq!(late.promised_delay(), None);
    let never = pacer.next(at(0), &outlook(2_000), need(2_500, 2_900));
    assert_eq!(never, ReturnAdvice::Never);
    let first = pacer.next(at(0), &outlook(2_000), need(8_000, 12_000));
    assert_eq!(first.promised_delay(), Some(at(2_000)));
}

// Guards against absurd delays when a service completes nothing, as after the loss of all nodes.
#[test]
fn stopped_service_promises_nothing() {
    let stopped = ServiceOutlook {
        rate: 0.0,
        backlog: Duration::from_hours(1),
        ..outlook(0)
    };
    let mut pacer = ReturnPacer::default();
    let need = need(8_000, 120_000);
    assert_eq!(pacer.next(at(0), &stopped, need), ReturnAdvice::Never);
    let empty = ServiceOutlook {
        backlog: Duration::ZERO,
        ..stopped
    };
    let advice = pacer.next(at(0), &empty, need);
    assert_eq!(advice.promised_delay(), None, "{advice:?}");
}

// Guards against a service that promises nothing for as long as its clock stepped back.
#[test]
fn clock_that_steps_back_does_not_stop_the_promises() {
    let mut pacer = ReturnPacer::default();
    let need = need(8_000, 12_000);
    let advice = pacer.next(at(3_600_000), &outlook(2_000), need);
    assert_eq!(advice, ReturnAdvice::After(at(2_000)));
    let advice = pacer.next(at(1_000), &outlook(2_000), need);
    assert_eq!(advice, ReturnAdvice::After(at(2_000)));
}
