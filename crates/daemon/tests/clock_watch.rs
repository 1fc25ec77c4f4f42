//! Tests for the detection of pauses by the wall clock.

use std::time::Duration;

use sycamorelink_daemon::clock_watch::ClockWatch;

const WALL: Duration = Duration::from_secs(1_790_000_000);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against a suspended virtual machine whose loans of repeats seem to be valid still.
#[test]
fn pause_with_a_stopped_clock_is_detected() {
    let mut watch = ClockWatch::new(at(0), WALL);
    assert!(!watch.has_paused(at(500), WALL + at(500)));
    assert!(watch.has_paused(at(510), WALL + at(9_510)));
    assert!(!watch.has_paused(at(520), WALL + at(9_520)));
}

// Guards against several short pauses within the second of a loan that are each below the limit.
#[test]
fn short_pauses_within_a_second_add_up() {
    let mut watch = ClockWatch::new(at(0), WALL);
    assert!(!watch.has_paused(at(100), WALL + at(130)));
    assert!(watch.has_paused(at(200), WALL + at(260)));
}

// Guards against loans that are dropped all the time because a wall clock is slowly corrected or
// was set back.
#[test]
fn slow_and_backward_corrections_are_not_pauses() {
    let mut watch = ClockWatch::new(at(0), WALL);
    for second in 1..100 {
        let now = at(second * 1_000);
        assert!(!watch.has_paused(now, WALL + now + at(second)));
    }
    let set_back = WALL.saturating_sub(at(5_000));
    assert!(!watch.has_paused(at(100_000), set_back + at(100_000)));
    assert!(!watch.has_paused(at(100_010), set_back + at(100_010)));
}
