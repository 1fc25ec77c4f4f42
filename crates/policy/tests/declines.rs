//! Recognition of a service that declines work.

use std::time::Duration;

use sycamorelink_core::{NodeId, UpstreamId};
use sycamorelink_policy::{DeclineCounts, DeclineMonitor};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn server(number: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(number),
        slot: 0,
    }
}

/// Observes arrivals at seven servers in turn, of which every `period`th is declined.
fn observe_all(monitor: &mut DeclineMonitor, from: u64, count: u64, period: u64) -> Vec<bool> {
    let arrivals = 0..count;
    arrivals
        .filter_map(|number| {
            let declined = number % period == 0;
            monitor.observe(at(from + number * 10), server(number % 7), declined)
        })
        .collect()
}

// Guards against spending the repeats of the fleet while every server declines a third of its work.
#[test]
fn service_declines_from_thirty_percent_on() {
    let mut monitor = DeclineMonitor::default();
    assert_eq!(observe_all(&mut monitor, 0, 20, 3), [true]);
    assert!(monitor.is_declining());
    let mut monitor = DeclineMonitor::default();
    assert!(observe_all(&mut monitor, 0, 200, 5).is_empty());
}

// Guards against holding the requests of a whole service for the fault of two of its servers, which
// the others can serve.
#[test]
fn two_declining_servers_are_not_the_service() {
    let mut monitor = DeclineMonitor::default();
    for number in 0..40 {
        let change = monitor.observe(at(number * 10), server(number % 2), true);
        assert_eq!(change, None);
    }
    let counts = monitor.counts();
    assert_eq!(
        counts,
        DeclineCounts {
            arrivals: 20,
            declined: 20,
            servers: 2
        }
    );
    assert_eq!(monitor.observe(at(400), server(7), true), Some(true));
}

// Guards against releasing and holding requests in turn while the share of declined arrivals varies
// around one threshold.
#[test]
fn service_accepts_again_below_ten_percent() {
    let mut monitor = DeclineMonitor::default();
    observe_all(&mut monitor, 0, 20, 2);
    for number in 0..16 {
        let change = monitor.observe(at(200 + number), server(number), false);
        assert_eq!(change, None, "arrival {number}");
    }
    assert_eq!(monitor.counts().declined, 2);
    assert_eq!(monitor.observe(at(216), server(1), false), Some(false));
}

// Guards against requests that wait until their deadline on old evidence, because no new request
// arrives.
#[test]
fn old_arrivals_do_not_count() {
    let mut monitor = DeclineMonitor::default();
    observe_all(&mut monitor, 0, 20, 1);
    assert_eq!(monitor.update(at(3_900)), None);
    assert!(monitor.is_declining());
    assert_eq!(monitor.update(at(4_200)), Some(false));
    assert!(monitor.is_idle());
}

// Guards against holding requests for a few declined arrivals, as at a node with little traffic.
#[test]
fn five_declined_arrivals_are_not_enough() {
    let mut monitor = DeclineMonitor::default();
    assert!(observe_all(&mut monitor, 0, 5, 1).is_empty());
    assert_eq!(observe_all(&mut monitor, 50, 1, 1), [true]);
}
